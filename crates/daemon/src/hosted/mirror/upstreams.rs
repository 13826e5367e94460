//! Evaluation of upstream rows: which upstreams may get requests and which have left.

use super::{Deferred, Mirror, Suspects, Update};
use sorreldeck::start::{self, Step, LATE_ROW_DELAY};
use sorreldeck::{Incarnation, Span, Time, UpstreamId};
use sorreldeck_platform::member::{self, Registration};
use sorreldeck_platform::Table;
use std::collections::btree_map::Entry;

/// Grace period after the rows of many upstreams vanish at once. Leases that lapsed during an
/// outage of the store are renewed within about 2 s, and an upstream that left must get no
/// request after 2 s.
const GRACE_PERIOD: Span = Span::from_millis(1_800);
/// Minimum number of upstreams that must vanish at once to be treated as lapsed leases.
const MIN_LAPSED: usize = 3;
/// They must also be at least this part of all listed upstreams, as 1/`LAPSED_DIVISOR`: a few
/// upstreams that leave together vanish in one page as well.
const LAPSED_DIVISOR: usize = 2;

/// Maximum number of upstreams whose starts are remembered; beyond it those that left are
/// forgotten. Covers about 7 minutes at 600 upstreams that are all replaced once a minute.
const MAX_HISTORIES: usize = 4_096;

impl Mirror {
    pub(super) fn upstream_updates(&mut self, changed: &[String], now: Time) -> Vec<Update> {
        let mut updates = self.vanished_updates(changed, now);
        for id in changed {
            let row = self.row(Table::Upstreams, id).cloned();
            let Some(buf) = row.and_then(|row| row.value) else {
                self.deferred.remove(id);
                continue;
            };
            let read = member::decode(id, &buf);
            match self.decoded(Table::Upstreams, id, read) {
                Some(listed) => updates.extend(self.apply_row(id, listed, false, now)),
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

    /// Applies the row of an upstream; `settled` says that it is not a late one. Another start
    /// under the same name is a different upstream: it has no state of the former one, and
    /// existing runs and connections belong to the former one.
    fn apply_row(
        &mut self,
        id: &str,
        listed: Registration,
        settled: bool,
        now: Time,
    ) -> Vec<Update> {
        let row = start::Row {
            born: listed.member.placement.incarnation,
            address: listed.address,
            sequence: listed.sequence,
            leaving: listed.leaving,
        };
        let step = self.history(id).observe(row, settled);
        if step != Step::Defer {
            self.deferred.remove(id);
        }
        match step {
            Step::Use(start) => self.use_start(id, start, listed),
            Step::Retire => self.retire(id).into_iter().collect(),
            Step::Defer => {
                self.defer(id, row, now);
                Vec::new()
            }
        }
    }

    /// Returns the starts of an upstream.
    fn history(&mut self, id: &str) -> &mut start::History {
        if self.histories.len() >= MAX_HISTORIES {
            let listed = &self.listed;
            self.histories.retain(|id, _| listed.contains_key(id));
        }
        self.histories.entry(id.to_owned()).or_default()
    }

    fn use_start(&mut self, id: &str, start: Incarnation, listed: Registration) -> Vec<Update> {
        self.grace_ends.remove(id);
        let cold = Update::Cold(listed.member.upstream.clone(), listed.cold_left);
        let cold = (listed.cold_left > Span::default()).then_some(cold);
        if self.listed.get(id) == Some(&start) {
            return cold.into_iter().collect();
        }
        let mut updates: Vec<Update> = self.retire(id).into_iter().collect();
        self.listed.insert(id.to_owned(), start);
        updates.push(Update::Joined(Box::new(listed), start));
        updates.extend(cold);
        updates
    }

    fn defer(&mut self, id: &str, row: start::Row, now: Time) {
        if let Entry::Vacant(entry) = self.deferred.entry(id.to_owned()) {
            entry.insert((now, LATE_ROW_DELAY));
            self.new_deferred.push(Deferred {
                key: id.to_owned(),
                row,
                version: self.row_version(Table::Upstreams, id),
                delay: LATE_ROW_DELAY,
            });
        }
    }

    /// Applies the rows that may have been late and that stayed in the store. `passed` is the time
    /// since the last call during which the store could be read.
    pub(super) fn apply_deferred(&mut self, passed: Span, now: Time) -> Vec<Update> {
        for (since, remaining) in self.deferred.values_mut() {
            *remaining = *remaining - passed.min(now.since(*since));
        }
        let is_due = |(_, (_, left)): &(&String, &(Time, Span))| *left == Span::default();
        let due = self.deferred.iter().filter(is_due);
        let due: Vec<String> = due.map(|(id, _)| id.clone()).collect();
        let mut updates = Vec::new();
        for id in due {
            let value = self
                .row(Table::Upstreams, &id)
                .and_then(|row| row.value.clone());
            let read = value.and_then(|value| member::decode(&id, &value).ok());
            self.deferred.remove(&id);
            if let Some(listed) = read {
                updates.extend(self.apply_row(&id, listed, true, now));
            }
        }
        updates
    }

    pub(super) fn retire(&mut self, id: &str) -> Option<Update> {
        self.grace_ends.remove(id);
        self.deferred.remove(id);
        self.listed.remove(id)?;
        Some(Update::Retired(UpstreamId::external(id).ok()?))
    }
}
