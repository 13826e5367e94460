//! Records of quarantined requests in the platform's store.
//!
//! Entries tell one another directly which requests crash upstreams. The records serve entries
//! that start later, were disconnected at the time or have no link over which the reports
//! arrive. Each entry delays its write by its own jitter, so that usually only one of them
//! writes.

use super::message::Message;
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

/// Key prefix of the rows that hold these records.
pub const HELD_PREFIX: &str = "held/";
/// Pause after a failed write.
const RETRY_PAUSE: Span = Span::from_millis(1_000);
/// How long a record is retained after its quarantine ended, so that a request that returns
/// within this time is recognized.
const RETENTION: Span = Span::from_millis(600_000);
/// Maximum number of records in the store, and of those that are removed in one write. A write
/// holds at most 100 rows.
const MAX_RECORDS: usize = 256;
const MAX_REMOVED: usize = 50;

/// The record of a quarantined request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The end of the quarantine on the store's clock, in microseconds.
    pub until_us: u64,
    /// How often the request was quarantined before.
    pub before: u32,
    /// The entry that tries the request first after the quarantine.
    pub by: InstanceId,
}

/// The record that is to be written.
#[derive(Clone, Copy, Debug)]
struct Pending {
    /// The quarantine, or `None` if the record is to be removed.
    hold: Option<Hold>,
    due: Time,
    is_writing: bool,
}

/// Writes the records.
#[derive(Debug)]
pub struct Recorder {
    own: InstanceId,
    jitter: Span,
    pending: BTreeMap<Fingerprint, Pending>,
}

impl Recorder {
    /// Creates the writer of an instance.
    pub fn new(instance: &InstanceId) -> Recorder {
        Recorder {
            own: instance.clone(),
            jitter: mover::jitter(instance),
            pending: BTreeMap::new(),
        }
    }

    /// Schedules writing the record of a request, or removing it if `hold` is `None`.
    pub fn schedule(&mut self, fingerprint: Fingerprint, hold: Option<Hold>, now: Time) {
        let due = match hold {
            Some(_) => now + self.jitter,
            None => now,
        };
        let pending = Pending {
            hold,
            due,
            is_writing: false,
        };
        self.pending.insert(fingerprint, pending);
    }

    /// Handles the outcome of a write.
    pub fn on_written(&mut self, fingerprint: Fingerprint, result: Result<(), String>, now: Time) {
        if let Err(error) = &result {
            warn!("event=record-failed key={HELD_PREFIX}{fingerprint} error={error}");
        }
        if let Some(pending) = self.pending.get_mut(&fingerprint) {
            pending.is_writing = false;
            pending.due = now + RETRY_PAUSE;
        }
    }

    /// Writes the records that are due and not yet in the store.
    pub fn step(&mut self, now: Time, mirror: &Mirror, store: &Store, messages: &Sender<Message>) {
        self.pending.retain(|fingerprint, pending| {
            let has_expired = pending.hold.is_some_and(|hold| now >= hold.until);
            !has_expired && !is_recorded(*fingerprint, pending.hold, mirror)
        });
        for (fingerprint, pending) in &mut self.pending {
            if pending.is_writing || now < pending.due {
                continue;
            }
            let change = change_of(*fingerprint, pending.hold, &self.own, now, mirror);
            let Some(change) = change else {
                continue;
            };
            pending.is_writing = true;
            info!(
                "event=record key={HELD_PREFIX}{fingerprint} held={}",
                pending.hold.is_some()
            );
            let fingerprint = *fingerprint;
            let message = move |result| Message::HoldRecorded(fingerprint, result);
            mover::write(change, store, messages, message);
        }
    }
}

/// Decodes a record.
///
/// # Errors
///
/// Fails if the value is not a valid record.
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

/// Returns the change that writes or removes the record of a request. Writing one also removes
/// records that expired. Returns `None` if the store's clock is unknown or the maximum number
/// of records is reached.
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
    let records = mirror
        .rows(Table::Own)
        .filter(|r| r.key.starts_with(HELD_PREFIX));
    if version == 0 && records.count() >= MAX_RECORDS {
        return None;
    }
    let record = Record {
        until_us: mirror.store_time(hold.until)?,
        before: hold.previous,
        by: own.clone(),
    };
    let buf = serde_json::to_vec(&record).expect("a record is always JSON");
    let change = change.put(Table::Own, &key, &buf);
    let expired = expired_keys(now, mirror).into_iter();
    Some(expired.fold(change, |change, key| change.remove(Table::Own, &key)))
}

/// Returns the keys of records that expired or cannot be decoded.
fn expired_keys(now: Time, mirror: &Mirror) -> Vec<String> {
    let rows = mirror
        .rows(Table::Own)
        .filter(|r| r.key.starts_with(HELD_PREFIX));
    let has_expired = |value: &[u8]| {
        let until = decode(value)
            .ok()
            .and_then(|r| mirror.local_time(r.until_us));
        until.is_none_or(|until| now >= until + RETENTION)
    };
    let expired = rows.filter(|row| row.value.as_deref().is_none_or(has_expired));
    expired
        .take(MAX_REMOVED)
        .map(|row| row.key.clone())
        .collect()
}
