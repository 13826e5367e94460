//! What the entries found of moves to other releases: those of this data hall one by one,
//! those of others together.

use sorreldeck::release::Report;
use sorreldeck::{Hall, InstanceId, PoolId};
use std::collections::BTreeMap;

/// What was found.
#[derive(Clone, Debug, Default)]
pub struct Reports {
    near: BTreeMap<(PoolId, InstanceId), Report>,
    far: BTreeMap<(PoolId, Hall), Report>,
    /// The changes so far.
    changes: u64,
}

impl Reports {
    /// Returns how often anything changed.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Notes what an entry of this data hall found.
    pub fn note_near(&mut self, pool: PoolId, entry: InstanceId, report: Report) {
        self.near.insert((pool, entry), report);
        self.changes += 1;
    }

    /// Notes what the entries of another data hall found, if that is news.
    pub fn note_far(&mut self, pool: &PoolId, hall: &Hall, report: &Report) {
        let key = (pool.clone(), hall.clone());
        let known = self.far.get(&key);
        if known.is_none_or(|known| report.is_after(known)) {
            self.far.insert(key, report.clone());
            self.changes += 1;
        }
    }

    /// Returns whether an entry found anything.
    pub fn has_any_by(&self, name: &InstanceId) -> bool {
        self.near.keys().any(|(_, by)| by == name)
    }

    /// Returns what an entry found.
    pub fn by(&self, name: &InstanceId) -> Vec<(PoolId, Report)> {
        let own = self.near.iter().filter(|((_, by), _)| by == name);
        own.map(|((pool, _), report)| (pool.clone(), report.clone()))
            .collect()
    }

    /// Returns what the entries of this data hall found of a pool, but for one of them.
    pub fn near_but(&self, pool: &PoolId, name: &InstanceId) -> Option<Report> {
        let others = self
            .near
            .iter()
            .filter(|((p, by), _)| p == pool && by != name);
        let mut reports = others.map(|(_, report)| report);
        let mut sum = reports.next()?.clone();
        for report in reports {
            sum.add(report);
        }
        Some(sum)
    }

    /// Returns what is told to an entry of a data hall by one of `own`: never what it found
    /// itself, and to other data halls only what this one found.
    pub fn told_to(
        &self,
        entry: &InstanceId,
        hall: &Hall,
        own: &Hall,
    ) -> Vec<(PoolId, Hall, Report)> {
        let mut pools: Vec<&PoolId> = self.near.keys().map(|(pool, _)| pool).collect();
        pools.dedup();
        let near = pools.into_iter().filter_map(|pool| {
            let sum = self.near_but(pool, entry)?;
            Some((pool.clone(), own.clone(), sum))
        });
        let mut found: Vec<_> = near.collect();
        if hall == own {
            let far = self.far.iter();
            found.extend(far.map(|((pool, hall), r)| (pool.clone(), hall.clone(), r.clone())));
        }
        found
    }
}
