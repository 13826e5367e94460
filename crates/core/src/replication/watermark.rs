//! Tracks up to which version of the store all changes are known.
//!
//! Every answer of the store names its newest version, whichever table was requested. A version
//! whose change is not known of any table is missing: a long poll that should have returned it did
//! not. An answer for another table says nothing about that long poll, which may last for 20 s.
//!
//! ```
//! use sorreldeck::replication::Watermark;
//! use sorreldeck::{Span, Time};
//!
//! let mut watermark = Watermark::new(2);
//! watermark.advance(0, 7, []);
//! watermark.advance(1, 7, []);
//! watermark.advance(0, 8, [8]);
//! watermark.observe(9, Time(0));
//! let timeout = Span::from_micros(10);
//! assert!(watermark.lagging(Time(9), timeout).is_empty());
//! assert_eq!(watermark.lagging(Time(10), timeout), [0, 1]);
//! watermark.advance(1, 9, [9]);
//! assert!(watermark.lagging(Time(10), timeout).is_empty());
//! ```

use crate::unit::{Span, Time};
use std::collections::{BTreeSet, VecDeque};

/// The most versions that are kept above the first missing one. Beyond them all tables are
/// requested again, which costs one call for each.
const MAX_AHEAD: usize = 1_024;
/// The most reported versions that wait for their change: one for each answer, of which two or
/// three arrive in the time that a change may take.
const MAX_REPORTED: usize = 64;

/// The known versions of the store.
#[derive(Clone, Debug, Default)]
pub struct Watermark {
    /// The version up to which each table is known.
    tables: Vec<u64>,
    /// The version up to which the changes of all tables are known.
    covered: u64,
    /// The versions above `covered` whose changes are known.
    ahead: BTreeSet<u64>,
    /// The versions above `covered` that the store reported, with the time of the report, the
    /// lowest first.
    reported: VecDeque<(u64, Time)>,
}

impl Watermark {
    /// Creates the watermark of a process that knows none of its tables yet.
    pub fn new(tables: usize) -> Watermark {
        Watermark {
            tables: vec![0; tables],
            ..Watermark::default()
        }
    }

    /// Records that a table is known up to a version, and which versions changed it since.
    pub fn advance(&mut self, table: usize, version: u64, changes: impl IntoIterator<Item = u64>) {
        if let Some(known) = self.tables.get_mut(table) {
            *known = version.max(*known);
        }
        self.ahead.extend(changes);
        let all = self.tables.iter().min().copied();
        self.covered = self.covered.max(all.unwrap_or(0));
        // A row that changed twice shows only its later version. Such a gap closes when all tables
        // have been answered.
        while self.ahead.remove(&(self.covered + 1)) {
            self.covered += 1;
        }
        self.ahead = self.ahead.split_off(&(self.covered + 1));
        if self.ahead.len() > MAX_AHEAD {
            self.ahead.clear();
        }
        while self
            .reported
            .front()
            .is_some_and(|(v, _)| *v <= self.covered)
        {
            self.reported.pop_front();
        }
    }

    /// Records the newest version that the store reported.
    pub fn observe(&mut self, version: u64, now: Time) {
        let newest = self.reported.back().map_or(self.covered, |(v, _)| *v);
        if version > newest && self.reported.len() < MAX_REPORTED {
            self.reported.push_back((version, now));
        }
    }

    /// Returns the tables that must be requested again: those that are not known up to a version
    /// that was reported at least `timeout` ago and is not covered.
    pub fn lagging(&self, now: Time, timeout: Span) -> Vec<usize> {
        let Some((version, since)) = self.reported.front() else {
            return Vec::new();
        };
        if now.since(*since) < timeout {
            return Vec::new();
        }
        let tables = self.tables.iter().enumerate();
        let behind = tables.filter(|(_, known)| *known < version);
        behind.map(|(table, _)| table).collect()
    }
}
