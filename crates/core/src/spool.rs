//! Bill records that wait until they are in the platform's store.
//!
//! A sidecar writes its records in batches. An entry holds copies of the
//! records of the answers it passed on, and writes those that the sidecar did
//! not report as written once the link to it has been gone for a while. Both
//! may write the same record: the bill is a set.
//!
//! ```
//! use sorreldeck::spool::Spool;
//! use sorreldeck::{Incarnation, Time};
//!
//! let mut held = Spool::new(Incarnation(1));
//! assert!(held.is_empty());
//! assert!(held.due(Time(0), true).is_none());
//! ```

use crate::bill::Record;
use crate::id::Incarnation;
use crate::pick::Link;
use crate::unit::{Span, Time};
use crate::wire::Run;
use std::collections::{BTreeMap, HashMap};

/// The longest that a record waits for others before its batch is written.
const BATCH_AGE: Span = Span::from_millis(5000);
/// The records at which a batch is written at once, and its largest size.
const BATCH_LEN: usize = 500;
/// The pause after a failed write; it doubles up to [`MAX_PAUSE`].
const MIN_PAUSE: Span = Span::from_millis(500);
const MAX_PAUSE: Span = Span::from_millis(30_000);
const DAY: u64 = 86_400_000_000;

/// Records to be written as one object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch {
    /// The count of the batch in this run of the process.
    pub number: u64,
    /// The run of the process.
    pub incarnation: Incarnation,
    /// The day of the first record.
    pub day: u32,
    /// The records.
    pub records: Vec<Record>,
}

impl Batch {
    /// Returns the name of the object; a repeated write has the same one.
    pub fn name(&self) -> String {
        format!("bill/{}/{}-{}", self.day, self.incarnation, self.number)
    }
}

/// Records that are not known to be written.
#[derive(Debug)]
pub struct Spool {
    incarnation: Incarnation,
    waiting: HashMap<Run, Entry>,
    batches: BTreeMap<u64, Batch>,
    next: u64,
    oldest: Option<Time>,
    pause: Span,
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
    /// Creates an empty holder.
    pub fn new(incarnation: Incarnation) -> Spool {
        Spool {
            incarnation,
            waiting: HashMap::new(),
            batches: BTreeMap::new(),
            next: 0,
            oldest: None,
            pause: MIN_PAUSE,
            not_before: Time::default(),
            in_flight: None,
        }
    }

    /// Returns the day of a time whose origin is 1970-01-01 UTC.
    pub fn day(&self, now: Time) -> u32 {
        (now.0 / DAY) as u32
    }

    /// Returns whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns how many records wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Adds a record and the link whose other end holds a copy; returns whether
    /// it is new.
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

    /// Forgets records that another process has written.
    pub fn remove(&mut self, runs: &[Run]) {
        for run in runs {
            self.waiting.remove(run);
        }
        if self.waiting.is_empty() {
            self.oldest = None;
        }
    }

    /// Notes that a link is gone.
    pub fn remove_link(&mut self, link: Link) {
        for entry in self.waiting.values_mut() {
            if entry.link == Some(link) {
                entry.link = None;
            }
        }
    }

    /// Returns a batch that is to be written now: all that waits, if enough
    /// waits, or long enough, or `hurry` is set. One write goes at a time.
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
        let aged = self.oldest.is_some_and(|t| now.since(t) >= BATCH_AGE);
        if !aged && !hurry && self.waiting.len() < BATCH_LEN {
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
        let number = self.next;
        self.next += 1;
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

    /// Notes that a batch is in the store; returns whom to tell of what.
    pub fn on_written(&mut self, number: u64) -> BTreeMap<Link, Vec<Run>> {
        self.in_flight = None;
        self.pause = MIN_PAUSE;
        let mut told: BTreeMap<Link, Vec<Run>> = BTreeMap::new();
        let Some(batch) = self.batches.remove(&number) else {
            return told;
        };
        for record in &batch.records {
            let Some(entry) = self.waiting.remove(&record.run) else {
                continue;
            };
            if let Some(link) = entry.link {
                told.entry(link).or_default().push(record.run);
            }
        }
        if self.waiting.is_empty() {
            self.oldest = None;
        }
        told
    }

    /// Notes that a batch may not be in the store; it is written again later
    /// under the same name.
    pub fn on_write_failed(&mut self, _number: u64, now: Time) {
        self.in_flight = None;
        self.not_before = now + self.pause;
        self.pause = (self.pause + self.pause).min(MAX_PAUSE);
    }
}
