//! What three tables tell of moves to other releases, and what is to be written again of what
//! entries recorded.

use super::{Mirror, Update, ENTRY_PREFIX};
use sorreldeck::era::Stamp;
use sorreldeck::release::State;
use sorreldeck::{Time, VersionId};
use sorreldeck_platform::store::Row;
use sorreldeck_platform::{release, Table};

/// A row that is to be written again, since the store has lost it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rewrite {
    /// The table.
    pub table: Table,
    /// The key.
    pub key: String,
    /// The value, or `None` where the row is to be dropped.
    pub value: Option<Vec<u8>>,
    /// The version that the row has in the store, 0 where it is not there.
    pub version: u64,
}

/// An order, and when its row was written.
#[derive(Clone, Debug)]
pub(super) struct Written {
    value: Vec<u8>,
    /// When it was written first.
    first: Stamp,
    /// When it was written last: after a loss by the operator once more.
    last: Stamp,
}

impl Mirror {
    /// Puts together what three tables tell of a move.
    pub(super) fn move_news(&mut self, key: &str) -> Option<Update> {
        let value = self.row(Table::Operator, key)?.value.clone()?;
        let number = self.number_of(key, &value)?;
        let read = release::decode(&value, number);
        let read = self.understand(Table::Operator, key, read)?;
        let told = self.row(Table::Progress, key).cloned();
        // What was told before the order belongs to an earlier one.
        let told = told.filter(|_| self.row_stamp(Table::Progress, key) > Some(number));
        let state = told.and_then(|row| {
            let state = release::decode_state(row.value.as_deref()?);
            self.understand(Table::Progress, key, state)
        });
        let state = state.filter(|(to, _)| *to == read.to).map(|(_, s)| s);
        let began = state.and_then(|_| self.began(key));
        Some(Update::Move(read, state, began))
    }

    /// Returns when an order was first written. One that is written again after the store lost it, or
    /// that stands in the copy, is the same order.
    fn number_of(&mut self, key: &str, value: &[u8]) -> Option<Stamp> {
        let stamp = self.row_stamp(Table::Operator, key)?;
        let known = self.orders.get_mut(key).filter(|known| {
            let is_again = stamp.era > known.last.era || stamp == known.last;
            known.value == value && is_again
        });
        if let Some(known) = known {
            known.last = stamp;
            return Some(known.first);
        }
        let written = Written {
            value: value.to_owned(),
            first: stamp,
            last: stamp,
        };
        self.orders.insert(key.to_owned(), written);
        Some(stamp)
    }

    /// Returns when a row that holds was written.
    pub(super) fn row_stamp(&self, table: Table, key: &str) -> Option<Stamp> {
        self.tables.get(&table)?.row_stamp(key)
    }

    /// Returns the rows of entries that the store has lost and that are to be written again; `own`
    /// is the key under which this entry tells where it is.
    pub fn lost_rows(&self, own: &str, now: Time) -> Vec<Rewrite> {
        let tables = [Table::Progress, Table::Own];
        let kept = tables.into_iter().flat_map(|table| {
            let kept = self.kept(table).filter(|kept| kept.left.is_none());
            kept.map(move |kept| (table, &kept.row))
        });
        let is_ours = |row: &Row| !row.key.starts_with(ENTRY_PREFIX) || row.key == own;
        let kept = kept.filter(move |(_, row)| is_ours(row));
        let behind = self.behind_order().map(|row| (Table::Progress, row));
        let lost = kept.chain(behind).map(|(table, row)| Rewrite {
            table,
            key: row.key.clone(),
            value: row.value.clone(),
            version: self.row_version(table, &row.key),
        });
        lost.chain(self.unbegun(now)).collect()
    }

    /// Returns the beginnings of moves that nobody knows though they are recorded: the store lost
    /// them before they were heard of. Such a move begins now.
    fn unbegun(&self, now: Time) -> Vec<Rewrite> {
        if !self.was_restored {
            return Vec::new();
        }
        let is_unbegun = |key: &&String| {
            let state = self.recorded_state(key).map(|(_, state)| state);
            state == Some(State::Running) && self.row(Table::Own, key).is_none()
        };
        let again = |key: &String| {
            let time = self.store_time(now)?.to_string();
            Some(Rewrite {
                table: Table::Own,
                key: key.clone(),
                value: Some(time.into_bytes()),
                version: 0,
            })
        };
        let orders = self.orders.keys().filter(is_unbegun);
        orders.filter_map(again).collect()
    }

    /// Returns what is recorded under the key of an order, of whichever order that was.
    pub fn recorded_state(&self, key: &str) -> Option<(VersionId, State)> {
        let row = self.row(Table::Progress, key)?;
        release::decode_state(row.value.as_deref()?).ok()
    }

    /// Returns the records of moves that stand before their order in the store, though they were made
    /// after it: whoever starts now would take them for those of an earlier one.
    fn behind_order(&self) -> impl Iterator<Item = &Row> {
        let orders = self
            .orders
            .iter()
            .filter(|(_, order)| order.last > order.first);
        orders.filter_map(|(key, order)| {
            let told = self.row_stamp(Table::Progress, key)?;
            let stored = self.row_version(Table::Progress, key);
            let is_behind = stored > 0 && stored < self.row_version(Table::Operator, key);
            let is_told = told > order.first && is_behind;
            self.row(Table::Progress, key).filter(|_| is_told)
        })
    }

    /// Returns when the record of a move was begun, on this process's clock.
    pub(super) fn began(&self, key: &str) -> Option<Time> {
        let row = self.row(Table::Own, key)?.value.as_deref()?;
        let micros: u64 = std::str::from_utf8(row).ok()?.parse().ok()?;
        self.local_time(micros)
    }
}
