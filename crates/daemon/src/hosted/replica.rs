//! One table of the platform's store as it was known last, with its latest changes, so that
//! they can be handed on one by one.

use super::pack::{self, Handed, PACKED_FROM};
use sorreldeck::era::{Era, Stamp};
use sorreldeck_platform::store::{Page, Row};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The latest changes of a table that are remembered, so that they can be handed on one by
/// one, and their bytes: a table that is handed on whole takes some 30 KB.
const CHANGES: usize = 512;
const CHANGES_BYTES: usize = 256 * 1024;

/// Rows as they are handed on in one piece.
#[derive(Clone, Debug)]
struct Packed {
    /// The version after which they changed, or `None` where they are the whole table.
    since: Option<u64>,
    version: u64,
    bytes: Vec<u8>,
}

/// What is handed on of a table.
#[derive(Clone, Debug)]
pub struct Share {
    /// The version after which the rows changed, or `None` where they are the whole table.
    pub since: Option<u64>,
    /// The rows.
    pub rows: Rows,
}

/// Rows that are handed on.
#[derive(Clone, Debug)]
pub enum Rows {
    /// Few, as they are.
    Plain(Vec<Handed>),
    /// Many, in one piece.
    Packed(Vec<u8>),
}

/// One table as it was known last.
#[derive(Clone, Debug, Default)]
pub struct Replica {
    /// Up to which version of which era it is known.
    pub stamp: Stamp,
    /// Its rows by key.
    pub rows: BTreeMap<String, Row>,
    /// The latest changes, in the order of their versions.
    changes: VecDeque<Row>,
    bytes: usize,
    /// The version after which all changes are remembered.
    remembered: u64,
    /// The version of the latest change, remembered or not.
    pub newest: u64,
    /// Whether the last read of it failed.
    pub failing: bool,
    /// What was handed on last in one piece.
    packed: Option<Packed>,
}

impl Replica {
    /// Takes in a page that is not older than what is known; `whole` says that rows which are
    /// not in it are gone. Returns the keys of the rows that changed.
    ///
    /// In a new era the page holds the whole table, and versions say nothing about which of two
    /// states of a row is the later one.
    pub fn take(&mut self, page: Page, era: Era, whole: bool) -> Vec<String> {
        self.remember(&page, whole);
        let is_restored = era != self.stamp.era;
        if is_restored {
            self.packed = None;
        }
        self.stamp = Stamp::new(era, page.version);
        match is_restored {
            true => replace(&mut self.rows, page.rows),
            false => merge(&mut self.rows, page.rows, whole),
        }
    }

    /// Remembers the changes of a page, or begins anew where it shows the whole table.
    fn remember(&mut self, page: &Page, whole: bool) {
        if whole {
            self.changes.clear();
            self.bytes = 0;
            self.remembered = page.version;
            self.newest = page.version;
            return;
        }
        let known = self.stamp.version;
        for row in page.rows.iter().filter(|row| row.version > known) {
            self.bytes += size_of(row);
            self.newest = self.newest.max(row.version);
            self.changes.push_back(row.clone());
        }
        while self.changes.len() > CHANGES || self.bytes > CHANGES_BYTES {
            let Some(row) = self.changes.pop_front() else {
                return;
            };
            self.bytes -= size_of(&row);
            self.remembered = self.remembered.max(row.version);
        }
    }

    /// Returns what changed after a version of this era, or the whole table where that is 0 or not
    /// all changes since are remembered. Many rows go in one piece, which is made once: a hundred entries that
    /// have the tables from here have the same already.
    pub fn share(&mut self, have: u64) -> Share {
        let since = (have > 0 && have >= self.remembered).then_some(have);
        let is_known = |p: &&Packed| p.since == since && p.version == self.stamp.version;
        if let Some(known) = self.packed.as_ref().filter(is_known) {
            let rows = Rows::Packed(known.bytes.clone());
            return Share { since, rows };
        }
        let rows = match since {
            Some(since) => self.changes_after(since),
            None => self.rows.values().cloned().collect(),
        };
        let rows: Vec<Handed> = rows.into_iter().map(pack::handed).collect();
        if rows.len() < PACKED_FROM {
            let rows = Rows::Plain(rows);
            return Share { since, rows };
        }
        let bytes = pack::pack(&rows);
        self.packed = Some(Packed {
            since,
            version: self.stamp.version,
            bytes: bytes.clone(),
        });
        let rows = Rows::Packed(bytes);
        Share { since, rows }
    }

    /// Returns what changed after a version since which all is remembered, the latest state of
    /// each row.
    fn changes_after(&self, version: u64) -> Vec<Row> {
        let later = self.changes.iter().filter(|row| row.version > version);
        let mut latest: BTreeMap<&str, &Row> = BTreeMap::new();
        for row in later {
            latest.insert(&row.key, row);
        }
        latest.into_values().cloned().collect()
    }
}

fn size_of(row: &Row) -> usize {
    row.key.len() + row.value.as_ref().map_or(0, Vec::len)
}

/// Takes the rows of another era in place of those that are known; returns the keys of those
/// whose values differ.
fn replace(known: &mut BTreeMap<String, Row>, rows: Vec<Row>) -> Vec<String> {
    let rows = rows.into_iter().filter(|row| row.value.is_some());
    let rows: BTreeMap<String, Row> = rows.map(|row| (row.key.clone(), row)).collect();
    let before = std::mem::replace(known, rows);
    let value = |rows: &BTreeMap<String, Row>, key: &str| rows.get(key).map(|r| r.value.clone());
    let keys: BTreeSet<&String> = before.keys().chain(known.keys()).collect();
    let differs = |key: &&String| value(&before, key) != value(known, key);
    keys.into_iter().filter(differs).cloned().collect()
}

/// Takes rows in and returns the keys that changed.
fn merge(known: &mut BTreeMap<String, Row>, rows: Vec<Row>, whole: bool) -> Vec<String> {
    let mut changed = Vec::new();
    let mut noted = BTreeSet::new();
    if whole {
        let present: BTreeSet<&str> = rows.iter().map(|r| r.key.as_str()).collect();
        let gone = known.keys().filter(|k| !present.contains(k.as_str()));
        changed.extend(gone.cloned().collect::<Vec<_>>());
        known.retain(|k, _| present.contains(k.as_str()));
    }
    for row in rows {
        let before = known.get(&row.key);
        if before.is_some_and(|b| b.version >= row.version) {
            continue;
        }
        if noted.insert(row.key.clone()) {
            changed.push(row.key.clone());
        }
        match row.value {
            Some(_) => drop(known.insert(row.key.clone(), row)),
            None => drop(known.remove(&row.key)),
        }
    }
    changed
}
