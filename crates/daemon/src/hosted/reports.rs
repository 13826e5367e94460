//! Reports of entries on roll-outs: those of this data hall by entry, those of other data halls
//! as one sum each.

use sorreldeck::release::Report;
use sorreldeck::{Hall, InstanceId, PoolId};
use std::collections::BTreeMap;

/// The latest reports.
#[derive(Clone, Debug, Default)]
pub struct Reports {
    local: BTreeMap<(PoolId, InstanceId), Report>,
    remote: BTreeMap<(PoolId, Hall), Report>,
    /// Counts the changes.
    changes: u64,
}

impl Reports {
    /// Returns the change counter.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Stores the report of an entry in this data hall.
    pub fn set_local(&mut self, pool: PoolId, entry: InstanceId, report: Report) {
        self.local.insert((pool, entry), report);
        self.changes += 1;
    }

    /// Stores the summed report of another data hall, if it is newer than the stored one.
    pub fn merge_remote(&mut self, pool: &PoolId, hall: &Hall, report: &Report) {
        let key = (pool.clone(), hall.clone());
        let stored = self.remote.get(&key);
        if stored.is_none_or(|stored| report.is_after(stored)) {
            self.remote.insert(key, report.clone());
            self.changes += 1;
        }
    }

    /// Returns whether there is a report of an entry.
    pub fn has_reports_of(&self, name: &InstanceId) -> bool {
        self.local.keys().any(|(_, by)| by == name)
    }

    /// Returns the reports of an entry.
    pub fn reports_of(&self, name: &InstanceId) -> Vec<(PoolId, Report)> {
        let own = self.local.iter().filter(|((_, by), _)| by == name);
        own.map(|((pool, _), report)| (pool.clone(), report.clone()))
            .collect()
    }

    /// Returns the sum of the reports on a pool by the entries of this data hall, without one
    /// entry.
    pub fn local_sum_without(&self, pool: &PoolId, name: &InstanceId) -> Option<Report> {
        let others = self
            .local
            .iter()
            .filter(|((p, by), _)| p == pool && by != name);
        let mut reports = others.map(|(_, report)| report);
        let mut sum = reports.next()?.clone();
        for report in reports {
            sum.add(report);
        }
        Some(sum)
    }

    /// Returns the reports that are sent to an entry. `own` is the data hall of the sender. The
    /// entry's own reports are left out, and an entry in another data hall gets only the sum of
    /// this data hall.
    pub fn reports_for(
        &self,
        entry: &InstanceId,
        hall: &Hall,
        own: &Hall,
    ) -> Vec<(PoolId, Hall, Report)> {
        let mut pools: Vec<&PoolId> = self.local.keys().map(|(pool, _)| pool).collect();
        pools.dedup();
        let local = pools.into_iter().filter_map(|pool| {
            let sum = self.local_sum_without(pool, entry)?;
            Some((pool.clone(), own.clone(), sum))
        });
        let mut reports: Vec<_> = local.collect();
        if hall == own {
            let remote = self.remote.iter();
            reports.extend(remote.map(|((pool, hall), r)| (pool.clone(), hall.clone(), r.clone())));
        }
        reports
    }
}
