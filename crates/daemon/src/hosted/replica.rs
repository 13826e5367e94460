//! Local copy of one table of the platform's store, with its latest changes, so that other
//! entries can be sent changes instead of the whole table.

use super::pack::{self, RowTuple};
use sorreldeck::era::{Backup, Comparison, Era, History, Prior, Resolution, RowState, Stamp};
use sorreldeck::wire;
use sorreldeck::Span;
use sorreldeck_platform::store::{Page, Row};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Maximum number of latest changes that are remembered, and of their bytes. Without them a
/// subscriber is sent the whole table, about 30 KB.
const MAX_CHANGES: usize = 512;
const MAX_CHANGE_BYTES: usize = 256 * 1024;

/// Maximum number of removed rows that are remembered; beyond it all of them are forgotten.
const MAX_REMOVED: usize = 4_096;

/// The packed rows that were sent last.
#[derive(Clone, Debug)]
struct Packed {
    /// The version after which the rows changed, or `None` if they are the whole table.
    since: Option<u64>,
    version: u64,
    bytes: wire::Packed,
}

/// The part of a table that is sent to another entry.
#[derive(Clone, Debug)]
pub struct Delta {
    /// The version after which the rows changed, or `None` if they are the whole table.
    pub since: Option<u64>,
    /// The rows, packed or not.
    pub rows: Rows,
}

/// Rows as they are sent to another entry.
#[derive(Clone, Debug)]
pub enum Rows {
    /// A few rows, unpacked.
    Plain(Vec<RowTuple>),
    /// Many or large rows, packed.
    Packed(wire::Packed),
}

/// A row of the store, and the era in which it was written.
#[derive(Clone, Debug)]
struct Stored {
    row: Row,
    since: Era,
}

/// A row that remains valid although the store lost it.
#[derive(Clone, Debug)]
pub struct Retained {
    /// The row; its value is `None` if the row was removed.
    pub row: Row,
    /// The era in which the row was written.
    pub era: Era,
    /// The remaining validity, counted only during contact with the store; `None` if the row is
    /// valid until it is written again.
    pub remaining: Option<Span>,
}

/// The mirrored and the stored state of a row, of which one is to be chosen.
pub struct Conflict<'a> {
    pub key: &'a str,
    /// How the stored state relates to the mirrored one.
    pub comparison: Comparison,
    /// The mirrored state.
    pub mirrored: Option<&'a Row>,
    /// The stored state.
    pub stored: Option<&'a Row>,
}

/// The local copy of one table.
#[derive(Clone, Debug, Default)]
pub struct Replica {
    /// The version and era up to which the table is mirrored.
    pub stamp: Stamp,
    /// The rows of the store, by key.
    rows: BTreeMap<String, Stored>,
    /// Rows that replace rows of the store or exist beside them, by key.
    retained: BTreeMap<String, Retained>,
    /// Former states of rows.
    history: History,
    /// The keys of rows that were removed, the latest ones.
    removed: BTreeSet<String>,
    /// The latest changes, in the order of their versions.
    changes: VecDeque<Row>,
    /// The size of `changes` in bytes.
    bytes: usize,
    /// The version after which all changes are in `changes`.
    changes_since: u64,
    /// The version of the latest change, whether or not it is in `changes`.
    pub newest: u64,
    /// Whether the last read of the table failed.
    pub failing: bool,
    /// The packed rows that were sent last.
    packed: Option<Packed>,
}

impl Replica {
    /// Applies a page that is not older than the mirrored version. If `whole` is set, rows that
    /// are not in the page are removed. Returns the keys of the rows that changed.
    ///
    /// In a new era the page holds the whole table, and `resolve` decides for each row that
    /// differs whether its mirrored state remains valid.
    pub fn apply(
        &mut self,
        page: Page,
        era: Era,
        whole: bool,
        resolve: impl Fn(&Conflict) -> Resolution,
    ) -> Vec<String> {
        self.remember_changes(&page, whole);
        let before = std::mem::replace(&mut self.stamp, Stamp::new(era, page.version));
        let is_restored = era != before.era;
        if is_restored {
            self.packed = None;
        }
        match is_restored {
            true => self.replace(page.rows, before.version, resolve),
            false => self.merge(page.rows, whole, resolve),
        }
    }

    /// Returns the valid state of a row.
    pub fn row(&self, key: &str) -> Option<&Row> {
        match self.retained.get(key) {
            Some(retained) => Some(&retained.row).filter(|row| row.value.is_some()),
            None => self.rows.get(key).map(|stored| &stored.row),
        }
    }

    /// Returns the era and version at which the valid state of a row was written.
    pub fn row_stamp(&self, key: &str) -> Option<Stamp> {
        let row = self.row(key)?;
        let era = match self.retained.get(key) {
            Some(retained) => retained.era,
            None => self.rows.get(key)?.since,
        };
        Some(Stamp::new(era, row.version))
    }

    /// Returns the valid rows.
    pub fn rows(&self) -> impl Iterator<Item = &Row> {
        let stored = self.rows.iter();
        let stored = stored.filter(|(key, _)| !self.retained.contains_key(*key));
        let retained = self.retained.values().map(|retained| &retained.row);
        let retained = retained.filter(|row| row.value.is_some());
        stored.map(|(_, stored)| &stored.row).chain(retained)
    }

    /// Returns the version of a row in the store, or 0 if the store has no such row.
    pub fn stored_version(&self, key: &str) -> u64 {
        self.rows.get(key).map_or(0, |stored| stored.row.version)
    }

    /// Returns the rows of the store.
    pub fn stored(&self) -> impl Iterator<Item = &Row> {
        self.rows.values().map(|stored| &stored.row)
    }

    /// Returns the rows that remain valid although the store lost them.
    pub fn retained(&self) -> impl Iterator<Item = &Retained> {
        self.retained.values()
    }

    /// Adds the retained rows that another entry sent with its copy of the table, except for
    /// those that are older than the ones here. Returns their keys.
    pub fn merge_retained(&mut self, retained: Vec<Retained>) -> Vec<String> {
        let mut changed = Vec::new();
        for retained in retained {
            let key = retained.row.key.clone();
            let stamp = Stamp::new(retained.era, retained.row.version);
            let is_not_older = |own: &Retained| Stamp::new(own.era, own.row.version) >= stamp;
            let is_current = self.retained.get(&key).is_some_and(is_not_older);
            if !is_current {
                self.retained.insert(key.clone(), retained);
                changed.push(key);
            }
        }
        changed
    }

    /// Reduces the remaining validity of retained rows by `passed` and drops those that have
    /// expired. Returns their keys.
    pub fn expire(&mut self, passed: Span) -> Vec<String> {
        let mut expired = Vec::new();
        for (key, retained) in &mut self.retained {
            retained.remaining = retained.remaining.map(|remaining| remaining - passed);
            if retained.remaining == Some(Span::default()) {
                expired.push(key.clone());
            }
        }
        for key in &expired {
            self.retained.remove(key);
            if !self.rows.contains_key(key) {
                self.remember_removed(key);
            }
        }
        expired
    }

    /// Replaces the rows by those of another era. Returns the keys of the rows whose valid
    /// values changed. `newest` is the version up to which the table was mirrored before.
    fn replace(
        &mut self,
        rows: Vec<Row>,
        newest: u64,
        resolve: impl Fn(&Conflict) -> Resolution,
    ) -> Vec<String> {
        let era = self.stamp.era;
        let rows = rows.into_iter().filter(|row| row.value.is_some());
        let rows: BTreeMap<String, Row> = rows.map(|row| (row.key.clone(), row)).collect();
        let is_same = |row: &&Row| self.row(&row.key) == Some(*row);
        let backup = Backup::estimate(rows.values().filter(is_same).map(|row| row.version));
        let mut keys: BTreeSet<String> = rows.keys().cloned().collect();
        keys.extend(self.rows.keys().chain(self.retained.keys()).cloned());
        let (mut stored, mut retained, mut changed) =
            (BTreeMap::new(), BTreeMap::new(), Vec::new());
        for key in keys {
            let mirrored = self.row(&key);
            let new = rows.get(&key);
            let conflict = Conflict {
                key: &key,
                comparison: self.comparison(&key, new, &backup, newest),
                mirrored,
                stored: new,
            };
            let since = match conflict.comparison {
                Comparison::Same => self.row_stamp(&key).map_or(era, |stamp| stamp.era),
                _ => era,
            };
            match resolve(&conflict) {
                Resolution::Retain(remaining) => {
                    drop(retained.insert(key.clone(), self.as_retained(&key, remaining)))
                }
                Resolution::Replace if value(mirrored) != value(new) => changed.push(key.clone()),
                Resolution::Replace => {}
            }
            if let Some(row) = new.cloned() {
                stored.insert(key, Stored { row, since });
            }
        }
        self.retained = retained;
        let before = std::mem::replace(&mut self.rows, stored);
        self.remember_replaced(before, &changed);
        changed
    }

    /// Returns how the state of a row in the restored store relates to its mirrored state.
    fn comparison(
        &self,
        key: &str,
        stored: Option<&Row>,
        backup: &Backup,
        newest: u64,
    ) -> Comparison {
        let unknown = Backup::default();
        // A retained row is not part of the history that the backup was taken from, so a match
        // of versions says nothing about it.
        let backup = match self.retained.contains_key(key) {
            true => &unknown,
            false => backup,
        };
        Comparison::of(
            stored.and_then(state_of),
            self.mirrored_state(key),
            &self.history,
            backup,
            newest,
        )
    }

    /// Remembers the former states of replaced rows and which rows were removed.
    fn remember_replaced(&mut self, before: BTreeMap<String, Stored>, changed: &[String]) {
        for before in before.into_values() {
            if self.rows.get(&before.row.key).map(|s| &s.row) != Some(&before.row) {
                self.remember_state(&before.row);
            }
        }
        for key in changed {
            match self.rows.contains_key(key) {
                true => drop(self.removed.remove(key)),
                false => self.remember_removed(key),
            }
        }
    }

    /// Returns the mirrored state of a row.
    fn mirrored_state(&self, key: &str) -> Prior<'_> {
        match self.row(key).and_then(state_of) {
            Some(state_of) => Prior::Present(state_of),
            None if self.removed.contains(key) => Prior::Deleted,
            None => Prior::Unknown,
        }
    }

    /// Returns the mirrored state of a row as a retained row.
    fn as_retained(&self, key: &str, remaining: Option<Span>) -> Retained {
        if let Some(retained) = self.retained.get(key).cloned() {
            return Retained {
                remaining,
                ..retained
            };
        }
        let removed = Row {
            key: key.to_owned(),
            value: None,
            version: 0,
        };
        let mirrored = self.rows.get(key);
        Retained {
            row: mirrored.map_or(removed, |stored| stored.row.clone()),
            era: mirrored.map_or(Era::default(), |stored| stored.since),
            remaining,
        }
    }

    /// Applies rows of the same era. Returns the keys of the rows that changed.
    fn merge(
        &mut self,
        rows: Vec<Row>,
        whole: bool,
        resolve: impl Fn(&Conflict) -> Resolution,
    ) -> Vec<String> {
        let mut changed = Vec::new();
        let mut noted = BTreeSet::new();
        if whole {
            let present: BTreeSet<&str> = rows.iter().map(|r| r.key.as_str()).collect();
            let is_absent = |key: &&String| !present.contains(key.as_str());
            let removed: Vec<String> = self.rows.keys().filter(is_absent).cloned().collect();
            for key in removed {
                self.remove_row(&key);
                self.remember_removed(&key);
                changed.push(key);
            }
        }
        for row in rows {
            if self.stored_version(&row.key) >= row.version {
                continue;
            }
            let key = row.key.clone();
            let is_valid = self.remains_valid(&row, &resolve);
            let was_present = self.remove_row(&key);
            if row.value.is_some() {
                let since = self.stamp.era;
                self.removed.remove(&key);
                self.rows.insert(key.clone(), Stored { row, since });
            } else if was_present {
                self.remember_removed(&key);
            }
            if is_valid {
                continue;
            }
            self.retained.remove(&key);
            if noted.insert(key.clone()) {
                changed.push(key);
            }
        }
        changed.retain(|key| !self.retained.contains_key(key));
        changed
    }

    /// Returns whether a retained row remains valid although the row was written again.
    fn remains_valid(&self, row: &Row, resolve: impl Fn(&Conflict) -> Resolution) -> bool {
        let Some(retained) = self.retained.get(&row.key) else {
            return false;
        };
        let conflict = Conflict {
            key: &row.key,
            comparison: Comparison::New,
            mirrored: Some(&retained.row).filter(|row| row.value.is_some()),
            stored: Some(row).filter(|row| row.value.is_some()),
        };
        resolve(&conflict) != Resolution::Replace
    }

    /// Removes a row of the store and remembers its state. Returns whether there was such a
    /// row.
    fn remove_row(&mut self, key: &str) -> bool {
        let before = self.rows.remove(key);
        if let Some(before) = &before {
            self.remember_state(&before.row);
        }
        before.is_some()
    }

    fn remember_removed(&mut self, key: &str) {
        if self.removed.len() >= MAX_REMOVED {
            self.removed.clear();
        }
        self.removed.insert(key.to_owned());
    }

    fn remember_state(&mut self, row: &Row) {
        if let Some(row) = state_of(row) {
            self.history.insert(row);
        }
    }

    /// Remembers the changes of a page, or clears them if the page holds the whole table.
    fn remember_changes(&mut self, page: &Page, whole: bool) {
        if whole {
            self.changes.clear();
            self.bytes = 0;
            self.changes_since = page.version;
            self.newest = page.version;
            return;
        }
        let mirrored = self.stamp.version;
        for row in page.rows.iter().filter(|row| row.version > mirrored) {
            self.bytes += size_of(row);
            self.newest = self.newest.max(row.version);
            self.changes.push_back(row.clone());
        }
        while self.changes.len() > MAX_CHANGES || self.bytes > MAX_CHANGE_BYTES {
            let Some(row) = self.changes.pop_front() else {
                return;
            };
            self.bytes -= size_of(&row);
            self.changes_since = self.changes_since.max(row.version);
        }
    }

    /// Returns the changes after a version of the current era. Returns the whole table if that
    /// version is 0 or changes since then are no longer remembered. Many or large rows are
    /// packed, and the packed form is cached because up to a hundred subscribers need the same
    /// one.
    pub fn delta(&mut self, after: u64) -> Delta {
        let since = (after > 0 && after >= self.changes_since).then_some(after);
        let is_current = |p: &&Packed| p.since == since && p.version == self.stamp.version;
        if let Some(mirrored) = self.packed.as_ref().filter(is_current) {
            let rows = Rows::Packed(mirrored.bytes.clone());
            return Delta { since, rows };
        }
        let rows = match since {
            Some(since) => self.changes_after(since),
            None => self.stored().cloned().collect(),
        };
        let rows: Vec<RowTuple> = rows.into_iter().map(pack::to_tuple).collect();
        if !pack::should_pack(&rows) {
            let rows = Rows::Plain(rows);
            return Delta { since, rows };
        }
        let bytes: wire::Packed = pack::pack(&rows).into();
        self.packed = Some(Packed {
            since,
            version: self.stamp.version,
            bytes: bytes.clone(),
        });
        let rows = Rows::Packed(bytes);
        Delta { since, rows }
    }

    /// Returns the latest state of each row that changed after a version. All changes after
    /// that version must be remembered.
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

fn value(row: Option<&Row>) -> Option<&[u8]> {
    row.and_then(|row| row.value.as_deref())
}

/// Returns the parts of a row that are compared, or `None` if it was removed.
fn state_of(row: &Row) -> Option<RowState<'_>> {
    Some(RowState {
        key: &row.key,
        version: row.version,
        value: row.value.as_deref()?,
    })
}
