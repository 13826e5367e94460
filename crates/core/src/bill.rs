//! Bill records, their batches and the totals.
//!
//! A record is named by its request and step, and a bill is the *set* of
//! records: writing a batch twice, from two processes, changes no total, and a
//! step that was tried twice is billed for one try. Records are held by the
//! sidecar that ran the request and the entry that answered it until one of
//! them has written them.
//!
//! ```
//! use sorreldeck::bill::{Record, Total};
//! use sorreldeck::wire::{Run, Usage};
//! use sorreldeck::{Cost, RequestId};
//!
//! let run = Run::first(RequestId::new(1, 1));
//! let record = Record {
//!     run,
//!     account: "payroll".parse()?,
//!     version: "scribe-1".parse()?,
//!     day: 20_000,
//!     usage: Usage { prompt: 10, generated: 5, cached: 0 },
//!     cost: Cost(75),
//! };
//! let totals = Total::add_up([&record, &record]);
//! assert_eq!(totals.values().next().unwrap().requests, 1);
//! # Ok::<(), sorreldeck::Error>(())
//! ```

use crate::id::{AccountId, RequestId, VersionId};
use crate::unit::Cost;
use crate::wire::{Run, Usage};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What one run is billed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The run, by which the record is known.
    pub run: Run,
    /// The client account that pays.
    pub account: AccountId,
    /// The version that ran.
    pub version: VersionId,
    /// The day, in days since 1970-01-01 UTC.
    pub day: u32,
    /// What the run used.
    pub usage: Usage,
    /// The amount.
    pub cost: Cost,
}

impl Record {
    /// Returns the line of the bill that the record belongs to.
    pub fn line(&self) -> Line {
        Line {
            account: self.account.clone(),
            version: self.version.clone(),
            day: self.day,
        }
    }
}

/// What a total is kept by.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Line {
    /// The client account.
    pub account: AccountId,
    /// The version.
    pub version: VersionId,
    /// The day, in days since 1970-01-01 UTC.
    pub day: u32,
}

/// The sum of the records of one line of a bill.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Total {
    /// The runs.
    pub requests: u64,
    /// The prompt tokens.
    pub prompt: u64,
    /// The generated tokens.
    pub generated: u64,
    /// The amount.
    pub cost: Cost,
}

impl Total {
    /// Adds up records, each step once however often its record appears.
    ///
    /// Of several tries of one step the first counts, so that the order in
    /// which records are read changes nothing.
    pub fn add_up<'a>(records: impl IntoIterator<Item = &'a Record>) -> BTreeMap<Line, Total> {
        let mut firsts: BTreeMap<(RequestId, u16), &Record> = BTreeMap::new();
        for record in records {
            let first = firsts
                .entry((record.run.request, record.run.step))
                .or_insert(record);
            if record.run.attempt < first.run.attempt {
                *first = record;
            }
        }
        let mut totals: BTreeMap<Line, Total> = BTreeMap::new();
        for record in firsts.into_values() {
            totals.entry(record.line()).or_default().add(record);
        }
        totals
    }

    fn add(&mut self, record: &Record) {
        self.requests += 1;
        self.prompt += record.usage.prompt;
        self.generated += record.usage.generated;
        self.cost = self.cost + record.cost;
    }
}
