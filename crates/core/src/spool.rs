//! Bill records waiting to be written to the platform's store.
//!
//! A sidecar writes its records in batches. An entry holds copies of the records of the answers it
//! forwarded, and writes those that the sidecar has not reported as written once the link to it has
//! been gone for a while. Both may write the same record, since the bill is a set.
//!
//! ```
//! use sorreldeck::spool::Spool;
//! use sorreldeck::{Incarnation, Time};
//!
//! let mut spool = Spool::new(Incarnation(1));
//! assert!(spool.is_empty());
//! assert!(spool.due(Time(0), true).is_none());
//! ```

use crate::bill::Record;
use crate::id::Incarnation;
use crate::pick::Link;
use crate::unit::{Span, Time};
use crate::wire::Run;
use std::collections::{BTreeMap, HashMap};

/// The longest time that a record waits before its batch is written.
const BATCH_AGE: Span = Span::from_millis(5000);
/// The number of records that triggers a batch at once, and the largest batch.
const BATCH_LEN: usize = 500;
/// The shortest back-off after a failed write; it doubles up to [`MAX_BACKOFF`].
const MIN_BACKOFF: Span = Span::from_millis(500);
const MAX_BACKOFF: Span = Span::from_millis(30_000);
const DAY_US: u64 = 86_400_000_000;

/// Records written as one object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch {
    /// The sequence number of the batch in this incarnation.
    pub number: u64,
    /// The incarnation of the process.
    pub incarnation: Incarnation,
    /// The day of the first record.
    pub day: u32,
    /// The records.
    pub records: Vec<Record>,
}

impl Batch {
    /// Returns the object name; a repeated write uses the same one.
    pub fn name(&self) -> String {
        format!("bill/{}/{}-{}", self.day, self.incarnation, self.number)
    }
}

/// Records whose write is not confirmed.
#[derive(Debug)]
pub struct Spool {
    incarnation: Incarnation,
    waiting: HashMap<Run, Entry>,
    batches: BTreeMap<u64, Batch>,
    next_number: u64,
    oldest: Option<Time>,
    backoff: Span,
    not_before: Time,
    in_flight: Option<u64>,
}

#[derive(Debug)]
struct Entry {
    record: Record,
    link: Option<Link>,
    batch: Option<u64>,
}

impl Spool {
    /// Creates an empty spool.
    pub fn new(incarnation: Incarnation) -> Spool {
        Spool {
            incarnation,
            waiting: HashMap::new(),
            batches: BTreeMap::new(),
            next_number: 0,
            oldest: None,
            backoff: MIN_BACKOFF,
            not_before: Time::default(),
            in_flight: None,
        }
    }

    /// Returns the day of a time whose origin is 1970-01-01 UTC.
    pub fn day(&self, now: Time) -> u32 {
        (now.0 / DAY_US) as u32
    }

    /// Returns whether no records wait.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the number of waiting records.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Adds a record and the link whose peer holds a copy; returns whether it is new.
    pub fn add(&mut self, record: Record, link: Option<Link>, now: Time) -> bool {
        let run = record.run;
        if self.waiting.contains_key(&run) {
            return false;
        }
        self.oldest.get_or_insert(now);
        let entry = Entry {
            record,
            link,
            batch: None,
        };
        self.waiting.insert(run, entry);
        true
    }

    /// Removes records that another process has written.
    pub fn remove(&mut self, runs: &[Run]) {
        for run in runs {
            self.waiting.remove(run);
        }
        if self.waiting.is_empty() {
            self.oldest = None;
        }
    }

    /// Clears the link of the records whose peer is gone.
    pub fn remove_link(&mut self, link: Link) {
        for entry in self.waiting.values_mut() {
            if entry.link == Some(link) {
                entry.link = None;
            }
        }
    }

    /// Returns the batch to write now, if any: all waiting records once they are numerous or old
    /// enough, or if `hurry` is set. Only one write is in flight at a time.
    pub fn due(&mut self, now: Time, hurry: bool) -> Option<Batch> {
        self.due_where(now, hurry, |_| true)
    }

    /// Like [`Spool::due`], but only for records whose link is gone.
    pub fn due_orphans(&mut self, now: Time, hurry: bool) -> Option<Batch> {
        self.due_where(now, hurry, |entry| entry.link.is_none())
    }

    fn due_where(
        &mut self,
        now: Time,
        hurry: bool,
        take: impl Fn(&Entry) -> bool,
    ) -> Option<Batch> {
        if self.in_flight.is_some() || now < self.not_before {
            return None;
        }
        if let Some(batch) = self.batches.values().next() {
            self.in_flight = Some(batch.number);
            return Some(batch.clone());
        }
        let is_aged = self.oldest.is_some_and(|t| now.since(t) >= BATCH_AGE);
        if !is_aged && !hurry && self.waiting.len() < BATCH_LEN {
            return None;
        }
        let mut runs: Vec<Run> = self
            .waiting
            .iter()
            .filter(|(_, entry)| take(entry))
            .map(|(run, _)| *run)
            .collect();
        runs.sort_unstable();
        runs.truncate(BATCH_LEN);
        if runs.is_empty() {
            return None;
        }
        Some(self.seal(runs, now))
    }

    fn seal(&mut self, runs: Vec<Run>, now: Time) -> Batch {
        let number = self.next_number;
        self.next_number += 1;
        let mut records = Vec::with_capacity(runs.len());
        for run in runs {
            if let Some(entry) = self.waiting.get_mut(&run) {
                entry.batch = Some(number);
                records.push(entry.record.clone());
            }
        }
        let batch = Batch {
            number,
            incarnation: self.incarnation,
            day: records.first().map_or(0, |r| r.day),
            records,
        };
        self.batches.insert(number, batch.clone());
        self.in_flight = Some(number);
        self.oldest = Some(now);
        batch
    }

    /// Handles a confirmed write; returns the runs to announce as written, by link.
    pub fn on_written(&mut self, number: u64) -> BTreeMap<Link, Vec<Run>> {
        self.in_flight = None;
        self.backoff = MIN_BACKOFF;
        let mut announced: BTreeMap<Link, Vec<Run>> = BTreeMap::new();
        let Some(batch) = self.batches.remove(&number) else {
            return announced;
        };
        for record in &batch.records {
            let Some(entry) = self.waiting.remove(&record.run) else {
                continue;
            };
            if let Some(link) = entry.link {
                announced.entry(link).or_default().push(record.run);
            }
        }
        if self.waiting.is_empty() {
            self.oldest = None;
        }
        announced
    }

    /// Handles a write that failed or whose outcome is unknown. The batch is written again later
    /// under the same name.
    pub fn on_write_failed(&mut self, _number: u64, now: Time) {
        self.in_flight = None;
        self.not_before = now + self.backoff;
        self.backoff = (self.backoff + self.backoff).min(MAX_BACKOFF);
    }
}
