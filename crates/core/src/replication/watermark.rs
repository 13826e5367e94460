//! Up to which version of the store all of its changes are known.
//!
//! Every answer of the store names its newest version, whichever table was asked for. A
//! version that was named and whose change is known of no table is missing: a wait that
//! ought to have told of it heard nothing. That another table is answered for says nothing
//! about such a wait, and it may last for 20 s.
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
//! let patience = Span::from_micros(10);
//! assert!(watermark.lagging(Time(9), patience).is_empty());
//! assert_eq!(watermark.lagging(Time(10), patience), [0, 1]);
//! watermark.advance(1, 9, [9]);
//! assert!(watermark.lagging(Time(10), patience).is_empty());
//! ```

use crate::unit::{Span, Time};
use std::collections::{BTreeSet, VecDeque};

/// The most versions that are remembered above the first that is missing. Beyond them
/// all tables are asked, which costs a call for each.
const MOST: usize = 1_024;
/// The most versions that wait to be known: one for each answer, of which two or three
/// come in the time that a change may take.
const MOST_NAMED: usize = 64;

/// What is known of the versions of the store.
#[derive(Clone, Debug, Default)]
pub struct Watermark {
    /// The version up to which each table is known.
    tables: Vec<u64>,
    /// The version up to which every change is known, of whichever table.
    covered: u64,
    /// The versions above that whose changes are known.
    beyond: BTreeSet<u64>,
    /// The versions above it that the store named, with the time, the lowest first.
    named: VecDeque<(u64, Time)>,
}

impl Watermark {
    /// Creates the state of a process that knows nothing of a number of tables.
    pub fn new(tables: usize) -> Watermark {
        Watermark {
            tables: vec![0; tables],
            ..Watermark::default()
        }
    }

    /// Notes that a table is known up to a version, and which versions changed it since.
    pub fn advance(&mut self, table: usize, version: u64, changes: impl IntoIterator<Item = u64>) {
        if let Some(known) = self.tables.get_mut(table) {
            *known = version.max(*known);
        }
        self.beyond.extend(changes);
        let all = self.tables.iter().min().copied();
        self.covered = self.covered.max(all.unwrap_or(0));
        // A row that changed twice shows its later version alone: such gaps end when all
        // tables have been answered for.
        while self.beyond.remove(&(self.covered + 1)) {
            self.covered += 1;
        }
        self.beyond = self.beyond.split_off(&(self.covered + 1));
        if self.beyond.len() > MOST {
            self.beyond.clear();
        }
        while self.named.front().is_some_and(|(v, _)| *v <= self.covered) {
            self.named.pop_front();
        }
    }

    /// Notes that the store named its newest version.
    pub fn observe(&mut self, version: u64, now: Time) {
        let newest = self.named.back().map_or(self.covered, |(v, _)| *v);
        if version > newest && self.named.len() < MOST_NAMED {
            self.named.push_back((version, now));
        }
    }

    /// Returns the tables that must be asked anew: those not known up to a version that was
    /// named that long ago and is not covered.
    pub fn lagging(&self, now: Time, patience: Span) -> Vec<usize> {
        let Some((version, since)) = self.named.front() else {
            return Vec::new();
        };
        if now.since(*since) < patience {
            return Vec::new();
        }
        let tables = self.tables.iter().enumerate();
        let behind = tables.filter(|(_, known)| *known < version);
        behind.map(|(table, _)| table).collect()
    }
}
