//! The platform's store: rows, their changes, and copies from which it comes back.

use sorreldeck::era::Era;
use sorreldeck::{Span, Time};
use sorreldeck_platform::store::{Page, Row};
use sorreldeck_platform::Table;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// How often the store is copied, and how many of its copies are kept.
const COPY_EVERY: Span = Span::from_millis(500);
const COPIES: usize = 16;

/// Rows by table and key.
pub type Rows = BTreeMap<(Table, String), Row>;

/// A state of the store that it may come back from.
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
    /// What was lost and is written again by those who wrote it, unless they change it before.
    pub pending_rewrites: Vec<(Time, Table, Row)>,
    pub compacted_to: u64,
    pub calls: u64,
    /// The changes that were ever made by [`World::change`].
    pub change_count: u64,
    pub down_until: Time,
    pub available_since: Time,
    pub is_hanging: bool,
    /// Waits that begin before then hear nothing until their own end.
    pub feed_stalled_until: Time,
}

impl Store {
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

    /// Returns when the change was made that got a version, or was copied with it.
    pub fn changed_at(&self, version: u64) -> Time {
        let mut changes = self.changes.iter().rev();
        let change = changes.find(|(_, _, v)| *v == version);
        change.map_or(self.available_since, |(at, ..)| *at)
    }

    /// Takes a copy now and then.
    pub fn back_up(&mut self, now: Time) {
        let last = self.backups.back().map(|copy| copy.at);
        if last.is_some_and(|at| now.since(at) < COPY_EVERY) {
            return;
        }
        self.backups.push_back(Backup {
            at: now,
            version: self.version,
            rows: self.rows.clone(),
        });
        if self.backups.len() > COPIES {
            self.backups.pop_front();
        }
    }

    /// Comes back from a copy at a time; returns the rows that are lost, as they stood last.
    pub fn restore(&mut self, copy: Backup, back: Time) -> Vec<(Table, Row)> {
        let rows = std::mem::replace(&mut self.rows, copy.rows);
        self.version = copy.version;
        self.compacted_to = copy.version;
        self.era = Era(self.era.0 + 1);
        self.changes.clear();
        self.down_until = back;
        self.available_since = self.available_since.max(back);
        self.backups.clear();
        let is_lost = |place: &(Table, String), row: &Row| {
            let copied = self.rows.get(place);
            copied.is_none_or(|copied| copied.version != row.version)
        };
        let lost = rows.into_iter().filter(|(place, row)| is_lost(place, row));
        lost.map(|((table, _), row)| (table, row)).collect()
    }

    /// Writes again what is due.
    pub fn rewrite(&mut self, now: Time) {
        let again = std::mem::take(&mut self.pending_rewrites).into_iter();
        let (due, later): (Vec<_>, Vec<_>) = again.partition(|(at, ..)| now >= *at);
        self.pending_rewrites = later;
        for (_, table, row) in due {
            self.put(table, &row.key, row.value, now);
        }
    }

    /// Notes that a row is to be written again at a time.
    pub fn schedule_rewrite(&mut self, at: Time, table: Table, row: Row) {
        self.pending_rewrites
            .retain(|(_, t, r)| (*t, &r.key) != (table, &row.key));
        self.pending_rewrites.push((at, table, row));
    }

    pub fn newest_version(&self, table: Table) -> u64 {
        let of = self.rows.iter().filter(|((t, _), _)| *t == table);
        of.map(|(_, row)| row.version).max().unwrap_or(0)
    }

    pub fn page(&self, table: Table, since: Option<u64>, now: Time) -> (Page, bool) {
        let is_had = |v: &u64| (self.compacted_to..=self.version).contains(v);
        let since = since.filter(is_had);
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
