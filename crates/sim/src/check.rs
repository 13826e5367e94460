//! What must hold at each step.

use crate::world::{Node, World};
use sorreldeck::era::Stamp;
use sorreldeck::{Span, Time};
use sorreldeck_platform::store::Row;
use sorreldeck_platform::Table;

/// How much longer than that after its last impairment an entry, or the store, is held to it.
const CONTACT_BEYOND: Span = Span::from_millis(1_000);
/// Returns the number of the change that a row shows.
pub fn change_number(row: &Row) -> u64 {
    let bytes = row.value.iter().flatten();
    bytes.fold(0, |number, byte| number << 8 | u64::from(*byte))
}

impl World {
    /// No row goes back to an earlier state within one life, also where the store does.
    pub fn check_rows(&mut self, node: usize) {
        let n = &mut self.nodes[node];
        for table in [Table::Operator, Table::Progress] {
            for row in n.mirror.rows(table) {
                let number = change_number(row);
                let seen = n
                    .latest_changes
                    .entry((table, row.key.clone()))
                    .or_default();
                assert!(
                    number >= *seen,
                    "{} of {} went back from {seen} to {number} at {:?}",
                    row.key,
                    n.peer.name,
                    self.now
                );
                *seen = number;
            }
        }
    }

    /// Returns the entries that have been without impairment for long, as the store has.
    pub fn unimpaired(&self) -> impl Iterator<Item = &Node> {
        let contact = self.staleness_limit + CONTACT_BEYOND;
        let held = move |since: Time| self.now.since(since) >= contact && self.now >= since;
        let is_stable = held(self.store.available_since);
        self.nodes
            .iter()
            .filter(move |n| is_stable && held(n.healthy_since))
    }

    /// No entry that is held to the bounds uses an upstream whose row went long ago.
    pub fn check_retired(&self) {
        let is_left = |row: &Row| {
            let gone_at = self.store.changed_at(row.version);
            row.value.is_none() && self.now.since(gone_at) >= self.staleness_limit
        };
        for n in self.unimpaired() {
            for used in &n.routable {
                let row = &self.store.rows[&(Table::Upstreams, used.to_string())];
                assert!(
                    !is_left(row),
                    "{} uses {used} at {:?}, gone at {:?} with version {} of {} known; reads {:?} of {:?}",
                    n.peer.name,
                    self.now,
                    self.store.changed_at(row.version),
                    row.version,
                    n.mirror.version(Table::Upstreams),
                    n.subscription,
                    n.relay.follow().sources(self.now),
                );
            }
        }
    }

    /// Whoever has been without impairment for long knows what was changed long ago.
    pub fn check_staleness(&self) {
        for n in self.unimpaired() {
            for table in [Table::Operator, Table::Progress, Table::Upstreams] {
                let due = self.store.changes.iter().rev();
                let due = due.filter(|(_, t, _)| *t == table);
                let mut due = due.filter(|(at, ..)| self.now.since(*at) >= self.staleness_limit);
                let Some((at, _, version)) = due.next() else {
                    continue;
                };
                let known = n.mirror.stamp(table);
                assert!(
                    known >= Stamp::new(self.store.era, *version),
                    "{} at {:?} does not know {table:?} {version} of {:?} but {known}; reads {:?} of {:?}",
                    n.peer.name,
                    self.now,
                    at,
                    n.subscription,
                    n.relay.follow().sources(self.now),
                );
            }
        }
    }
}
