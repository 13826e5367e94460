//! Bill records and their totals.
//!
//! A bill is the *set* of records, identified by request and step: writing a batch twice, from two
//! processes, changes no total, and a step with several attempts is billed for one of them. The
//! sidecar that ran the request and the entry that answered it both hold the record until one of
//! them has written it.
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

/// The billed usage and cost of one run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The run, which identifies the record.
    pub run: Run,
    /// The client account billed.
    pub account: AccountId,
    /// The version that ran.
    pub version: VersionId,
    /// The day, in days since 1970-01-01 UTC.
    pub day: u32,
    /// The tokens used.
    pub usage: Usage,
    /// The amount.
    pub cost: Cost,
}

impl Record {
    /// Returns the bill line that the record counts towards.
    pub fn line(&self) -> Line {
        Line {
            account: self.account.clone(),
            version: self.version.clone(),
            day: self.day,
        }
    }
}

/// The key of a total.
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
    /// The number of steps billed.
    pub requests: u64,
    /// The prompt tokens.
    pub prompt: u64,
    /// The generated tokens.
    pub generated: u64,
    /// The amount.
    pub cost: Cost,
}

impl Total {
    /// Sums up records, counting each step once however often its record appears.
    ///
    /// Of several attempts of one step, the one with the lowest number counts, so the order of the
    /// records does not affect the result.
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
