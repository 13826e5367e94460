//! The simulated store of the platform, with its change history and the backups that it is restored
//! from.

use sorreldeck::era::Era;
use sorreldeck::{Span, Time};
use sorreldeck_platform::store::{Page, Row};
use sorreldeck_platform::Table;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Interval between two backups, and the number of backups kept.
const BACKUP_INTERVAL: Span = Span::from_millis(500);
const MAX_BACKUPS: usize = 16;

/// Rows by table and key.
pub type Rows = BTreeMap<(Table, String), Row>;

/// A backup that the store may be restored from.
#[derive(Clone)]
pub struct Backup {
    pub at: Time,
    pub version: u64,
    pub rows: Rows,
}

/// The store, with the time of each change.
#[derive(Default)]
pub struct Store {
    pub era: Era,
    pub version: u64,
    pub rows: Rows,
    /// The changes of this era.
    pub changes: Vec<(Time, Table, u64)>,
    pub backups: VecDeque<Backup>,
    /// Rows lost in a restore, with the time at which their writers write them again unless they
    /// change them before.
    pub pending_rewrites: Vec<(Time, Table, Row)>,
    /// The version before which the history of changes is no longer available.
    pub compacted_to: u64,
    /// The number of calls received.
    pub calls: u64,
    /// The number of numbered changes made by [`World`](crate::World).
    pub change_count: u64,
    /// The store is down until this time.
    pub down_until: Time,
    /// The end of the latest impairment of the store.
    pub available_since: Time,
    /// Whether calls hang, instead of being refused, while the store is down.
    pub is_hanging: bool,
    /// Long polls that start before this time are not notified of changes until they end.
    pub feed_stalled_until: Time,
}

impl Store {
    /// Writes a row, or deletes it if `value` is `None`.
    pub fn put(&mut self, table: Table, key: &str, value: Option<Vec<u8>>, now: Time) {
        self.version += 1;
        let row = Row {
            key: key.to_owned(),
            value,
            version: self.version,
        };
        self.rows.insert((table, key.to_owned()), row);
        self.changes.push((now, table, self.version));
        self.pending_rewrites
            .retain(|(_, t, r)| (*t, r.key.as_str()) != (table, key));
    }

    /// Returns the time of the change with a version, or the time since which the store is available
    /// if the change came with the backup.
    pub fn changed_at(&self, version: u64) -> Time {
        let mut changes = self.changes.iter().rev();
        let change = changes.find(|(_, _, v)| *v == version);
        change.map_or(self.available_since, |(at, ..)| *at)
    }

    /// Takes a backup if the interval has passed.
    pub fn back_up(&mut self, now: Time) {
        let last = self.backups.back().map(|backup| backup.at);
        if last.is_some_and(|at| now.since(at) < BACKUP_INTERVAL) {
            return;
        }
        self.backups.push_back(Backup {
            at: now,
            version: self.version,
            rows: self.rows.clone(),
        });
        if self.backups.len() > MAX_BACKUPS {
            self.backups.pop_front();
        }
    }

    /// Restores a backup, so that the store is available again at `back`; returns the last state of
    /// the lost rows.
    pub fn restore(&mut self, backup: Backup, back: Time) -> Vec<(Table, Row)> {
        let rows = std::mem::replace(&mut self.rows, backup.rows);
        self.version = backup.version;
        self.compacted_to = backup.version;
        self.era = Era(self.era.0 + 1);
        self.changes.clear();
        self.down_until = back;
        self.available_since = self.available_since.max(back);
        self.backups.clear();
        let is_lost = |key: &(Table, String), row: &Row| {
            let copied = self.rows.get(key);
            copied.is_none_or(|copied| copied.version != row.version)
        };
        let lost = rows.into_iter().filter(|(key, row)| is_lost(key, row));
        lost.map(|((table, _), row)| (table, row)).collect()
    }

    /// Writes the lost rows again whose time has come.
    pub fn rewrite(&mut self, now: Time) {
        let rewrites = std::mem::take(&mut self.pending_rewrites).into_iter();
        let (due, later): (Vec<_>, Vec<_>) = rewrites.partition(|(at, ..)| now >= *at);
        self.pending_rewrites = later;
        for (_, table, row) in due {
            self.put(table, &row.key, row.value, now);
        }
    }

    /// Schedules the time at which a lost row is written again.
    pub fn schedule_rewrite(&mut self, at: Time, table: Table, row: Row) {
        self.pending_rewrites
            .retain(|(_, t, r)| (*t, &r.key) != (table, &row.key));
        self.pending_rewrites.push((at, table, row));
    }

    /// Returns the version of the latest change of a table.
    pub fn newest_version(&self, table: Table) -> u64 {
        let of = self.rows.iter().filter(|((t, _), _)| *t == table);
        of.map(|(_, row)| row.version).max().unwrap_or(0)
    }

    /// Returns the changes of a table after a version, or all its rows where these are not
    /// available, and whether it returns all rows.
    pub fn page(&self, table: Table, since: Option<u64>, now: Time) -> (Page, bool) {
        let is_available = |v: &u64| (self.compacted_to..=self.version).contains(v);
        let since = since.filter(is_available);
        let of = self.rows.iter().filter(|((t, _), _)| *t == table);
        let rows = of.map(|(_, row)| row.clone()).filter(|row| match since {
            Some(version) => row.version > version,
            None => row.value.is_some(),
        });
        let page = Page {
            rows: rows.collect(),
            version: self.version,
            now: Duration::from_micros(now.0),
            era: Some(self.era),
        };
        (page, since.is_none())
    }
}
