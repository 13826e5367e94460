//! State of roll-outs, combined from three tables, and the records that entries must write
//! again after the store lost them.

use super::{Mirror, Update, ENTRY_PREFIX};
use sorreldeck::era::Stamp;
use sorreldeck::release::State;
use sorreldeck::{Time, VersionId};
use sorreldeck_platform::store::Row;
use sorreldeck_platform::{release, Table};

/// A row that must be written again because the store lost it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rewrite {
    pub table: Table,
    pub key: String,
    /// The value, or `None` if the row is to be removed.
    pub value: Option<Vec<u8>>,
    /// The version of the row in the store, 0 if the store has no such row.
    pub version: u64,
}

/// A roll-out order and when its row was written.
#[derive(Clone, Debug)]
pub(super) struct OrderRow {
    value: Vec<u8>,
    /// When the row was first written.
    first_written: Stamp,
    /// When the row was last written: the operator writes it again after the store lost it.
    last_written: Stamp,
    /// Up to where the store was known when the row was read first.
    learned: Stamp,
}

impl Mirror {
    /// Combines the order, the recorded state and the start time of a roll-out from three
    /// tables.
    pub(super) fn roll_out_update(&mut self, key: &str) -> Option<Update> {
        let value = self.row(Table::Operator, key)?.value.clone()?;
        let (number, learned) = self.issued_at(key, &value)?;
        let order = release::decode(&value, number);
        let mut order = self.decoded(Table::Operator, key, order)?;
        order.learned = learned;
        let record = self.row(Table::Progress, key).cloned();
        // A record written before the order belongs to an earlier order.
        let record = record.filter(|_| self.row_stamp(Table::Progress, key) > Some(number));
        let state = record.and_then(|row| {
            let state = release::decode_state(row.value.as_deref()?);
            self.decoded(Table::Progress, key, state)
        });
        let state = state.filter(|(to, _)| *to == order.to).map(|(_, s)| s);
        let started_at = state.and_then(|_| self.started_at(key));
        Some(Update::Move(order, state, started_at))
    }

    /// Returns the stamp at which an order was first written, which identifies it, and the one
    /// up to which the store was known when it was first read. A row with the same value that was
    /// written again after a loss, or that is part of the restored backup, is the same order.
    fn issued_at(&mut self, key: &str, value: &[u8]) -> Option<(Stamp, Stamp)> {
        let stamp = self.row_stamp(Table::Operator, key)?;
        let known = self.orders.get_mut(key).filter(|known| {
            let is_same = stamp.era > known.last_written.era || stamp == known.last_written;
            known.value == value && is_same
        });
        if let Some(known) = known {
            known.last_written = stamp;
            return Some((known.first_written, known.learned));
        }
        let newest = self.tables.values().map(|table| table.stamp).max();
        let learned = newest.unwrap_or_default().max(stamp);
        let written = OrderRow {
            value: value.to_owned(),
            first_written: stamp,
            last_written: stamp,
            learned,
        };
        self.orders.insert(key.to_owned(), written);
        Some((stamp, learned))
    }

    /// Returns the era and version at which the valid state of a row was written.
    pub(super) fn row_stamp(&self, table: Table, key: &str) -> Option<Stamp> {
        self.tables.get(&table)?.row_stamp(key)
    }

    /// Returns the rows of entries that the store lost and that must be written again. `own` is
    /// the key under which this entry publishes its address.
    pub fn lost_rows(&self, own: &str, now: Time) -> Vec<Rewrite> {
        let tables = [Table::Progress, Table::Own];
        let retained = tables.into_iter().flat_map(|table| {
            let retained = self
                .retained(table)
                .filter(|retained| retained.remaining.is_none());
            retained.map(move |retained| (table, &retained.row))
        });
        let is_ours = |row: &Row| !row.key.starts_with(ENTRY_PREFIX) || row.key == own;
        let retained = retained.filter(move |(_, row)| is_ours(row));
        let behind = self
            .records_before_order()
            .map(|row| (Table::Progress, row));
        let lost = retained.chain(behind).map(|(table, row)| Rewrite {
            table,
            key: row.key.clone(),
            value: row.value.clone(),
            version: self.row_version(table, &row.key),
        });
        lost.chain(self.missing_starts(now)).collect()
    }

    /// Returns the missing start times of roll-outs that are recorded as running: the store
    /// lost them before any entry had read them. Such a roll-out counts as started now.
    fn missing_starts(&self, now: Time) -> Vec<Rewrite> {
        if !self.was_restored {
            return Vec::new();
        }
        let lacks_start = |key: &&String| {
            let state = self.recorded_state(key).map(|(_, state)| state);
            state == Some(State::Running) && self.row(Table::Own, key).is_none()
        };
        let rewrite = |key: &String| {
            let time = self.store_time(now)?.to_string();
            Some(Rewrite {
                table: Table::Own,
                key: key.clone(),
                value: Some(time.into_bytes()),
                version: 0,
            })
        };
        let orders = self.orders.keys().filter(lacks_start);
        orders.filter_map(rewrite).collect()
    }

    /// Returns the state recorded under the key of an order and the release it names, even if
    /// it belongs to an earlier order.
    pub fn recorded_state(&self, key: &str) -> Option<(VersionId, State)> {
        let row = self.row(Table::Progress, key)?;
        release::decode_state(row.value.as_deref()?).ok()
    }

    /// Returns the records whose version in the store is lower than that of their order
    /// although they were made after it. A process that starts now would attribute them to an
    /// earlier order.
    fn records_before_order(&self) -> impl Iterator<Item = &Row> {
        let orders = self
            .orders
            .iter()
            .filter(|(_, order)| order.last_written > order.first_written);
        orders.filter_map(|(key, order)| {
            let record = self.row_stamp(Table::Progress, key)?;
            let stored = self.row_version(Table::Progress, key);
            let is_before_order = stored > 0 && stored < self.row_version(Table::Operator, key);
            let is_recorded = record > order.first_written && is_before_order;
            self.row(Table::Progress, key).filter(|_| is_recorded)
        })
    }

    /// Returns when a roll-out started, on this process's clock.
    pub(super) fn started_at(&self, key: &str) -> Option<Time> {
        let row = self.row(Table::Own, key)?.value.as_deref()?;
        let micros: u64 = std::str::from_utf8(row).ok()?.parse().ok()?;
        self.local_time(micros)
    }
}
