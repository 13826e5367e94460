//! Evaluation of upstream rows: which upstreams may get requests and which have left.

use super::{Mirror, Suspects, Update};
use sorreldeck::{Incarnation, Span, Time};
use sorreldeck_platform::member::{self, Registration};
use sorreldeck_platform::Table;
use std::net::SocketAddr;

/// Grace period after the rows of many upstreams vanish at once. Leases that lapsed during an
/// outage of the store are renewed within about 2 s, and an upstream that left must get no
/// request after 2 s.
const GRACE_PERIOD: Span = Span::from_millis(1_800);
/// Minimum number of upstreams that must vanish at once to be treated as lapsed leases.
const MIN_LAPSED: usize = 3;
/// They must also be at least this part of all listed upstreams, as 1/`LAPSED_DIVISOR`: a few
/// upstreams that leave together vanish in one page as well.
const LAPSED_DIVISOR: usize = 2;

/// Maximum number of upstreams whose latest incarnation is remembered; beyond it those that
/// left are forgotten. Covers about 7 minutes at 600 upstreams that are all replaced once a
/// minute.
const MAX_INCARNATIONS: usize = 4_096;

/// One incarnation of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Identity {
    /// The incarnation, if the upstream reports it.
    incarnation: Option<Incarnation>,
    address: SocketAddr,
}

impl Mirror {
    pub(super) fn upstream_updates(&mut self, changed: &[String], now: Time) -> Vec<Update> {
        let mut updates = self.vanished_updates(changed, now);
        for id in changed {
            let row = self.row(Table::Upstreams, id).cloned();
            let Some(buf) = row.and_then(|row| row.value) else {
                continue;
            };
            let read = member::decode(id, &buf);
            match self.decoded(Table::Upstreams, id, read) {
                Some(listed) => updates.extend(self.apply_row(id, listed)),
                // A row that cannot be decoded replaced the upstream's own row, whoever wrote
                // it.
                None => updates.extend(self.retire(id)),
            }
        }
        updates
    }

    /// Handles rows of upstreams that vanished: retires these upstreams, or retains them for a
    /// grace period if their leases seem to have lapsed.
    pub(super) fn vanished_updates(&mut self, changed: &[String], now: Time) -> Vec<Update> {
        // Rows of upstreams that were already retired may vanish at any time, many in one page.
        let has_vanished = |id: &&String| {
            self.listed.contains_key(*id) && self.row(Table::Upstreams, id).is_none()
        };
        let vanished: Vec<String> = changed.iter().filter(has_vanished).cloned().collect();
        if vanished.is_empty() || !self.have_leases_lapsed(vanished.len()) {
            return vanished.iter().filter_map(|id| self.retire(id)).collect();
        }
        for id in &vanished {
            self.grace_ends
                .entry(id.clone())
                .or_insert(now + GRACE_PERIOD);
        }
        self.suspects.push(Suspects {
            keys: vanished,
            listed: self.listed.len(),
            grace_period: GRACE_PERIOD,
        });
        Vec::new()
    }

    /// Returns whether the number of upstreams that vanished at once suggests lapsed leases.
    ///
    /// Only the rows are considered, not failed calls of this entry or of its sources. A call
    /// may fail because of one connection or because one entry cannot reach a healthy store;
    /// treating that as a sign would retain upstreams that left without notice.
    fn have_leases_lapsed(&self, vanished: usize) -> bool {
        let vanished = vanished + self.grace_ends.len();
        vanished >= MIN_LAPSED && vanished * LAPSED_DIVISOR >= self.listed.len()
    }

    fn record_incarnation(&mut self, id: &str, incarnation: Option<Incarnation>) {
        let Some(incarnation) = incarnation else {
            return;
        };
        if self.incarnations.len() >= MAX_INCARNATIONS {
            let listed = &self.listed;
            self.incarnations.retain(|id, _| listed.contains_key(id));
        }
        self.incarnations.insert(id.to_owned(), incarnation);
    }

    /// Applies the row of an upstream. A newer incarnation under the same name is a different
    /// upstream: it has no state of the former one, and existing runs and connections belong to
    /// the former one. A row of an older incarnation that arrives late is ignored.
    pub(super) fn apply_row(&mut self, id: &str, listed: Registration) -> Vec<Update> {
        let latest = self.incarnations.get(id).copied();
        let incarnation = listed.member.placement.incarnation.or(latest);
        if incarnation < latest {
            return Vec::new();
        }
        self.record_incarnation(id, incarnation);
        let identity = Identity {
            incarnation,
            address: listed.address,
        };
        let known = self.listed.get(id).copied();
        self.grace_ends.remove(id);
        if listed.leaving {
            return self.retire(id).into_iter().collect();
        }
        let cold = Update::Cold(listed.member.upstream.clone(), listed.cold_left);
        let cold = (listed.cold_left > Span::default()).then_some(cold);
        if known == Some(identity) {
            return cold.into_iter().collect();
        }
        let mut updates: Vec<Update> = self.retire(id).into_iter().collect();
        self.listed.insert(id.to_owned(), identity);
        updates.push(Update::Joined(Box::new(listed)));
        updates.extend(cold);
        updates
    }

    pub(super) fn retire(&mut self, id: &str) -> Option<Update> {
        self.grace_ends.remove(id);
        self.listed.remove(id)?;
        Some(Update::Retired(id.parse().ok()?))
    }
}
