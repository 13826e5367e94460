//! One table of the platform's store as it was known last, with its latest changes, so that
//! they can be handed on one by one.

use super::pack::{self, RowTuple};
use sorreldeck::era::{Backup, Comparison, Era, History, Prior, Resolution, RowState, Stamp};
use sorreldeck::wire;
use sorreldeck::Span;
use sorreldeck_platform::store::{Page, Row};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The latest changes of a table that are remembered, so that they can be handed on one by
/// one, and their bytes: a table that is handed on whole takes some 30 KB.
const CHANGES: usize = 512;
const CHANGES_BYTES: usize = 256 * 1024;

/// The most rows that are remembered to be gone; beyond them all are forgotten.
const GONE: usize = 4_096;

/// Rows as they are handed on in one piece.
#[derive(Clone, Debug)]
struct Packed {
    /// The version after which they changed, or `None` where they are the whole table.
    since: Option<u64>,
    version: u64,
    bytes: wire::Packed,
}

/// What is handed on of a table.
#[derive(Clone, Debug)]
pub struct Delta {
    /// The version after which the rows changed, or `None` where they are the whole table.
    pub since: Option<u64>,
    /// The rows.
    pub rows: Rows,
}

/// Rows that are handed on.
#[derive(Clone, Debug)]
pub enum Rows {
    /// Few, as they are.
    Plain(Vec<RowTuple>),
    /// Many, in one piece.
    Packed(wire::Packed),
}

/// A row of the store, and since which of its eras it stands so.
#[derive(Clone, Debug)]
struct Stored {
    row: Row,
    since: Era,
}

/// What was known of a row, and holds though the store has lost it.
#[derive(Clone, Debug)]
pub struct Kept {
    /// The row; without a value where it was dropped.
    pub row: Row,
    /// The era in which it was written.
    pub era: Era,
    /// For how long it holds while the store is heard; `None` until it is written again.
    pub left: Option<Span>,
}

/// A row of a table, for the decision which of two states holds.
pub struct Conflict<'a> {
    /// The key.
    pub key: &'a str,
    /// What the store holds of it, against what was known.
    pub standing: Comparison,
    /// What was known of it.
    pub known: Option<&'a Row>,
    /// What the store holds of it.
    pub stored: Option<&'a Row>,
}

/// One table as it was known last.
#[derive(Clone, Debug, Default)]
pub struct Replica {
    /// Up to which version of which era it is known.
    pub stamp: Stamp,
    /// The rows of the store by key.
    rows: BTreeMap<String, Stored>,
    /// What holds in place of these, or besides them.
    kept: BTreeMap<String, Kept>,
    /// What rows were before.
    past: History,
    /// The keys of rows that were there and are not any more, the latest of them.
    gone: BTreeSet<String>,
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
    /// In a new era the page holds the whole table, and `fate` decides for each row that differs
    /// whether what was known of it holds.
    pub fn apply(
        &mut self,
        page: Page,
        era: Era,
        whole: bool,
        fate: impl Fn(&Conflict) -> Resolution,
    ) -> Vec<String> {
        self.remember(&page, whole);
        let before = std::mem::replace(&mut self.stamp, Stamp::new(era, page.version));
        let is_restored = era != before.era;
        if is_restored {
            self.packed = None;
        }
        match is_restored {
            true => self.replace(page.rows, before.version, fate),
            false => self.merge(page.rows, whole, fate),
        }
    }

    /// Returns a row as it holds.
    pub fn row(&self, key: &str) -> Option<&Row> {
        match self.kept.get(key) {
            Some(kept) => Some(&kept.row).filter(|row| row.value.is_some()),
            None => self.rows.get(key).map(|stored| &stored.row),
        }
    }

    /// Returns when a row that holds was written.
    pub fn row_stamp(&self, key: &str) -> Option<Stamp> {
        let row = self.row(key)?;
        let era = match self.kept.get(key) {
            Some(kept) => kept.era,
            None => self.rows.get(key)?.since,
        };
        Some(Stamp::new(era, row.version))
    }

    /// Returns the rows as they hold.
    pub fn rows(&self) -> impl Iterator<Item = &Row> {
        let stored = self.rows.iter();
        let stored = stored.filter(|(key, _)| !self.kept.contains_key(*key));
        let kept = self.kept.values().map(|kept| &kept.row);
        let kept = kept.filter(|row| row.value.is_some());
        stored.map(|(_, stored)| &stored.row).chain(kept)
    }

    /// Returns the version of a row in the store, or 0 if there is none.
    pub fn stored_version(&self, key: &str) -> u64 {
        self.rows.get(key).map_or(0, |stored| stored.row.version)
    }

    /// Returns the rows of the store.
    pub fn stored(&self) -> impl Iterator<Item = &Row> {
        self.rows.values().map(|stored| &stored.row)
    }

    /// Returns what holds though the store has lost it.
    pub fn kept(&self) -> impl Iterator<Item = &Kept> {
        self.kept.values()
    }

    /// Takes over what another entry keeps with the table that was just taken from it, but for
    /// what is known better here; returns the keys.
    pub fn merge_kept(&mut self, kept: Vec<Kept>) -> Vec<String> {
        let mut changed = Vec::new();
        for kept in kept {
            let key = kept.row.key.clone();
            let stamp = Stamp::new(kept.era, kept.row.version);
            let is_later = |own: &Kept| Stamp::new(own.era, own.row.version) >= stamp;
            let is_known = self.kept.get(&key).is_some_and(is_later);
            if !is_known {
                self.kept.insert(key.clone(), kept);
                changed.push(key);
            }
        }
        changed
    }

    /// Drops what holds no longer after the store was heard for so long more; returns the keys.
    pub fn expire(&mut self, passed: Span) -> Vec<String> {
        let mut over = Vec::new();
        for (key, kept) in &mut self.kept {
            kept.left = kept.left.map(|left| left - passed);
            if kept.left == Some(Span::default()) {
                over.push(key.clone());
            }
        }
        for key in &over {
            self.kept.remove(key);
            if !self.rows.contains_key(key) {
                self.note_gone(key);
            }
        }
        over
    }

    /// Takes the rows of another era in place of those that are known; returns the keys of those
    /// whose values differ then. `newest` is the version up to which the table was known.
    fn replace(
        &mut self,
        rows: Vec<Row>,
        newest: u64,
        fate: impl Fn(&Conflict) -> Resolution,
    ) -> Vec<String> {
        let era = self.stamp.era;
        let rows = rows.into_iter().filter(|row| row.value.is_some());
        let rows: BTreeMap<String, Row> = rows.map(|row| (row.key.clone(), row)).collect();
        let is_same = |row: &&Row| self.row(&row.key) == Some(*row);
        let copied = Backup::estimate(rows.values().filter(is_same).map(|row| row.version));
        let mut keys: BTreeSet<String> = rows.keys().cloned().collect();
        keys.extend(self.rows.keys().chain(self.kept.keys()).cloned());
        let (mut stored, mut kept, mut changed) = (BTreeMap::new(), BTreeMap::new(), Vec::new());
        for key in keys {
            let known = self.row(&key);
            let new = rows.get(&key);
            let case = Conflict {
                key: &key,
                standing: self.standing(&key, new, &copied, newest),
                known,
                stored: new,
            };
            let since = match case.standing {
                Comparison::Same => self.row_stamp(&key).map_or(era, |stamp| stamp.era),
                _ => era,
            };
            match fate(&case) {
                Resolution::Retain(left) => {
                    drop(kept.insert(key.clone(), self.as_kept(&key, left)))
                }
                Resolution::Replace if value(known) != value(new) => changed.push(key.clone()),
                Resolution::Replace => {}
            }
            if let Some(row) = new.cloned() {
                stored.insert(key, Stored { row, since });
            }
        }
        self.kept = kept;
        let before = std::mem::replace(&mut self.rows, stored);
        self.note_replaced(before, &changed);
        changed
    }

    /// Returns what the store holds of a row after it came back, against what was known.
    fn standing(
        &self,
        key: &str,
        stored: Option<&Row>,
        copied: &Backup,
        newest: u64,
    ) -> Comparison {
        let unknown = Backup::default();
        // What was kept before is of another history than what was copied.
        let copied = match self.kept.contains_key(key) {
            true => &unknown,
            false => copied,
        };
        Comparison::of(
            stored.and_then(seen),
            self.was(key),
            &self.past,
            copied,
            newest,
        )
    }

    /// Remembers what rows were that others have replaced, and which are gone.
    fn note_replaced(&mut self, before: BTreeMap<String, Stored>, changed: &[String]) {
        for before in before.into_values() {
            if self.rows.get(&before.row.key).map(|s| &s.row) != Some(&before.row) {
                self.remember_past(&before.row);
            }
        }
        for key in changed {
            match self.rows.contains_key(key) {
                true => drop(self.gone.remove(key)),
                false => self.note_gone(key),
            }
        }
    }

    /// Returns what is known of a row.
    fn was(&self, key: &str) -> Prior<'_> {
        match self.row(key).and_then(seen) {
            Some(seen) => Prior::Present(seen),
            None if self.gone.contains(key) => Prior::Deleted,
            None => Prior::Unknown,
        }
    }

    /// Returns what is known of a row, to be kept.
    fn as_kept(&self, key: &str, left: Option<Span>) -> Kept {
        if let Some(kept) = self.kept.get(key).cloned() {
            return Kept { left, ..kept };
        }
        let gone = Row {
            key: key.to_owned(),
            value: None,
            version: 0,
        };
        let known = self.rows.get(key);
        Kept {
            row: known.map_or(gone, |stored| stored.row.clone()),
            era: known.map_or(Era::default(), |stored| stored.since),
            left,
        }
    }

    /// Takes rows of the same era in; returns the keys that changed.
    fn merge(
        &mut self,
        rows: Vec<Row>,
        whole: bool,
        fate: impl Fn(&Conflict) -> Resolution,
    ) -> Vec<String> {
        let mut changed = Vec::new();
        let mut noted = BTreeSet::new();
        if whole {
            let present: BTreeSet<&str> = rows.iter().map(|r| r.key.as_str()).collect();
            let is_gone = |key: &&String| !present.contains(key.as_str());
            let gone: Vec<String> = self.rows.keys().filter(is_gone).cloned().collect();
            for key in gone {
                self.forget(&key);
                self.note_gone(&key);
                changed.push(key);
            }
        }
        for row in rows {
            if self.stored_version(&row.key) >= row.version {
                continue;
            }
            let key = row.key.clone();
            let holds = self.still_holds(&row, &fate);
            let was_there = self.forget(&key);
            if row.value.is_some() {
                let since = self.stamp.era;
                self.gone.remove(&key);
                self.rows.insert(key.clone(), Stored { row, since });
            } else if was_there {
                self.note_gone(&key);
            }
            if holds {
                continue;
            }
            self.kept.remove(&key);
            if noted.insert(key.clone()) {
                changed.push(key);
            }
        }
        changed.retain(|key| !self.kept.contains_key(key));
        changed
    }

    /// Returns whether what is kept of a row holds though the row was written since.
    fn still_holds(&self, row: &Row, fate: impl Fn(&Conflict) -> Resolution) -> bool {
        let Some(kept) = self.kept.get(&row.key) else {
            return false;
        };
        let case = Conflict {
            key: &row.key,
            standing: Comparison::New,
            known: Some(&kept.row).filter(|row| row.value.is_some()),
            stored: Some(row).filter(|row| row.value.is_some()),
        };
        fate(&case) != Resolution::Replace
    }

    /// Drops a row of the store and remembers what it was; returns whether there was one.
    fn forget(&mut self, key: &str) -> bool {
        let before = self.rows.remove(key);
        if let Some(before) = &before {
            self.remember_past(&before.row);
        }
        before.is_some()
    }

    fn note_gone(&mut self, key: &str) {
        if self.gone.len() >= GONE {
            self.gone.clear();
        }
        self.gone.insert(key.to_owned());
    }

    fn remember_past(&mut self, row: &Row) {
        if let Some(row) = seen(row) {
            self.past.insert(row);
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
    /// all changes since are remembered. Many or large rows go in one piece, which is made once: a hundred entries that
    /// have the tables from here have the same already.
    pub fn delta(&mut self, have: u64) -> Delta {
        let since = (have > 0 && have >= self.remembered).then_some(have);
        let is_known = |p: &&Packed| p.since == since && p.version == self.stamp.version;
        if let Some(known) = self.packed.as_ref().filter(is_known) {
            let rows = Rows::Packed(known.bytes.clone());
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

fn value(row: Option<&Row>) -> Option<&[u8]> {
    row.and_then(|row| row.value.as_deref())
}

/// Returns what is compared of a row.
fn seen(row: &Row) -> Option<RowState<'_>> {
    Some(RowState {
        key: &row.key,
        version: row.version,
        value: row.value.as_deref()?,
    })
}
