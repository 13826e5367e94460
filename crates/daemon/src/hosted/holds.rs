//! Records in the platform's store which requests are held back, since they crash upstreams.
//!
//! Entries tell one another at once what crashed where; the record is for those that start
//! later, were cut off meanwhile, or are on no way over which that is told. Each waits a moment
//! of its own before it writes, so that mostly one does.

use super::event_loop::Message;
use super::mirror::Mirror;
use super::mover;
use async_channel::Sender;
use log::{info, warn};
use serde::{Deserialize, Serialize};
use sorreldeck::quarantine::{Fingerprint, Hold};
use sorreldeck::{InstanceId, Span, Time};
use sorreldeck_platform::store::Change;
use sorreldeck_platform::{Store, Table};
use std::collections::BTreeMap;

/// The beginning of the keys of rows that hold these records.
pub const HELD_PREFIX: &str = "held/";
/// How long an entry waits after a write that failed.
const AGAIN: Span = Span::from_millis(1_000);
/// How long after its end a record is kept, so that a request that is back then is known.
const KEPT: Span = Span::from_millis(600_000);
/// The most records in the store, and the most that are dropped with one write; a write holds
/// 100 rows at most.
const MOST: usize = 256;
const DROPPED: usize = 50;

/// A record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Until when the request is held back, on the store's clock, in microseconds.
    pub until_us: u64,
    /// How often it was held back before.
    pub before: u32,
    /// The entry that tries it first when that time has passed.
    pub by: InstanceId,
}

/// What is to be recorded of a request.
#[derive(Clone, Copy, Debug)]
struct Pending {
    /// `None` where the record is to go.
    hold: Option<Hold>,
    due: Time,
    writing: bool,
}

/// Writes the records.
#[derive(Debug)]
pub struct Recorder {
    own: InstanceId,
    offset: Span,
    wanted: BTreeMap<Fingerprint, Pending>,
}

impl Recorder {
    /// Creates the writer of an instance.
    pub fn new(instance: &InstanceId) -> Recorder {
        Recorder {
            own: instance.clone(),
            offset: mover::jitter(instance),
            wanted: BTreeMap::new(),
        }
    }

    /// Notes that a request is held back, or that it is not any more.
    pub fn want(&mut self, fingerprint: Fingerprint, hold: Option<Hold>, now: Time) {
        let due = match hold {
            Some(_) => now + self.offset,
            None => now,
        };
        let wanted = Pending {
            hold,
            due,
            writing: false,
        };
        self.wanted.insert(fingerprint, wanted);
    }

    /// Takes in what came of a write.
    pub fn written(&mut self, fingerprint: Fingerprint, result: Result<(), String>, now: Time) {
        if let Err(trouble) = &result {
            warn!("event=record-failed key={HELD_PREFIX}{fingerprint} error={trouble}");
        }
        if let Some(wanted) = self.wanted.get_mut(&fingerprint) {
            wanted.writing = false;
            wanted.due = now + AGAIN;
        }
    }

    /// Writes what is due and not recorded yet.
    pub fn step(&mut self, now: Time, mirror: &Mirror, store: &Store, tell: &Sender<Message>) {
        self.wanted.retain(|fingerprint, wanted| {
            let is_over = wanted.hold.is_some_and(|hold| now >= hold.until);
            !is_over && !is_recorded(*fingerprint, wanted.hold, mirror)
        });
        for (fingerprint, wanted) in &mut self.wanted {
            if wanted.writing || now < wanted.due {
                continue;
            }
            let change = change_of(*fingerprint, wanted.hold, &self.own, now, mirror);
            let Some(change) = change else {
                continue;
            };
            wanted.writing = true;
            info!(
                "event=record key={HELD_PREFIX}{fingerprint} held={}",
                wanted.hold.is_some()
            );
            let fingerprint = *fingerprint;
            let message = move |result| Message::HoldRecorded(fingerprint, result);
            mover::write(change, store, tell, message);
        }
    }
}

/// Reads a record.
///
/// # Errors
///
/// Fails when the row is no record.
pub fn decode(value: &[u8]) -> sorreldeck::Result<Record> {
    serde_json::from_slice(value).map_err(|e| {
        let message = format!("invalid record of a quarantined request: {e}");
        sorreldeck::Error::new(sorreldeck::Category::Invalid, message)
    })
}

fn record_of(fingerprint: Fingerprint, mirror: &Mirror) -> Option<Record> {
    let row = mirror.row(Table::Own, &format!("{HELD_PREFIX}{fingerprint}"))?;
    decode(row.value.as_deref()?).ok()
}

fn is_recorded(fingerprint: Fingerprint, hold: Option<Hold>, mirror: &Mirror) -> bool {
    let record = record_of(fingerprint, mirror);
    match (hold, record) {
        (None, record) => record.is_none(),
        (Some(_), None) => false,
        (Some(hold), Some(record)) => record.before >= hold.previous,
    }
}

/// Returns the change that records a request, or drops its record, with records that ended
/// long ago; `None` where the store's clock is not known or there is no room.
fn change_of(
    fingerprint: Fingerprint,
    hold: Option<Hold>,
    own: &InstanceId,
    now: Time,
    mirror: &Mirror,
) -> Option<Change> {
    let key = format!("{HELD_PREFIX}{fingerprint}");
    let version = mirror.row_version(Table::Own, &key);
    let change = Change::default().expect(Table::Own, &key, version);
    let Some(hold) = hold else {
        return Some(change.remove(Table::Own, &key));
    };
    let held = mirror
        .rows(Table::Own)
        .filter(|r| r.key.starts_with(HELD_PREFIX));
    if version == 0 && held.count() >= MOST {
        return None;
    }
    let record = Record {
        until_us: mirror.store_time(hold.until)?,
        before: hold.previous,
        by: own.clone(),
    };
    let buf = serde_json::to_vec(&record).expect("a record is always JSON");
    let change = change.put(Table::Own, &key, &buf);
    let dropped = ended(now, mirror).into_iter();
    Some(dropped.fold(change, |change, key| change.remove(Table::Own, &key)))
}

/// Returns the keys of records that ended long ago, or cannot be read.
fn ended(now: Time, mirror: &Mirror) -> Vec<String> {
    let rows = mirror
        .rows(Table::Own)
        .filter(|r| r.key.starts_with(HELD_PREFIX));
    let is_over = |value: &[u8]| {
        let until = decode(value)
            .ok()
            .and_then(|r| mirror.local_time(r.until_us));
        until.is_none_or(|until| now >= until + KEPT)
    };
    let over = rows.filter(|row| row.value.as_deref().is_none_or(is_over));
    over.take(DROPPED).map(|row| row.key.clone()).collect()
}
