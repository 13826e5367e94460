//! Invariants that the simulation checks.

use crate::world::{Node, World};
use sorreldeck::era::Stamp;
use sorreldeck::{Span, Time};
use sorreldeck_platform::store::Row;
use sorreldeck_platform::Table;

/// Time beyond the staleness limit for which an entry, and the store, must have been unimpaired
/// before the limit applies to the entry.
const RECOVERY_MARGIN: Span = Span::from_millis(1_000);

/// Returns the number of the change that a row holds as its value.
pub fn change_number(row: &Row) -> u64 {
    let bytes = row.value.iter().flatten();
    bytes.fold(0, |number, byte| number << 8 | u64::from(*byte))
}

impl World {
    /// Checks that no row of an entry returns to an earlier state between two restarts of the entry,
    /// even if the store is restored to one.
    ///
    /// # Panics
    ///
    /// Panics if one does.
    pub fn check_rows(&mut self, node: usize) {
        let n = &mut self.nodes[node];
        for table in [Table::Operator, Table::Progress] {
            for row in n.mirror.rows(table) {
                let number = change_number(row);
                let latest = n
                    .latest_changes
                    .entry((table, row.key.clone()))
                    .or_default();
                assert!(
                    number >= *latest,
                    "row {} of {} returned from change {latest} to {number} at {:?}",
                    row.key,
                    n.peer.name,
                    self.now
                );
                *latest = number;
            }
        }
    }

    /// Returns the entries that have been unimpaired for longer than the staleness limit, or none if
    /// the store has not.
    pub fn unimpaired(&self) -> impl Iterator<Item = &Node> {
        let min_time = self.staleness_limit + RECOVERY_MARGIN;
        let is_recovered =
            move |since: Time| self.now.since(since) >= min_time && self.now >= since;
        let is_stable = is_recovered(self.store.available_since);
        self.nodes
            .iter()
            .filter(move |n| is_stable && is_recovered(n.healthy_since))
    }

    /// Checks that no unimpaired entry routes to an upstream whose row was deleted longer ago than
    /// the staleness limit.
    ///
    /// # Panics
    ///
    /// Panics if one does.
    pub fn check_retired(&self) {
        let is_expired = |row: &Row| {
            let deleted_at = self.store.changed_at(row.version);
            row.value.is_none() && self.now.since(deleted_at) >= self.staleness_limit
        };
        for n in self.unimpaired() {
            for upstream in &n.routable {
                let row = &self.store.rows[&(Table::Upstreams, upstream.to_string())];
                assert!(
                    !is_expired(row),
                    "{} routes to {upstream} at {:?}, which was deleted at {:?} with version {}, at version {}; subscription {:?}, sources {:?}",
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

    /// Checks that every unimpaired entry has received all changes older than the staleness limit.
    ///
    /// # Panics
    ///
    /// Panics if one has not.
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
                    "{} at {:?} lacks version {version} of {table:?} from {:?} and is at {known}; subscription {:?}, sources {:?}",
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
