//! Writes the records of entries again that the store lost when it was restored from a backup.
//!
//! Any entry may write a record. The write is conditional on the version of the row in the
//! store, so only one of several concurrent writers succeeds. Entries that read the store write
//! first, and the others see the result before their delay has passed. The row with an entry's
//! address is written only by that entry.

use super::message::Message;
use super::mirror::{Mirror, Rewrite, ENTRY_PREFIX};
use super::mover;
use async_channel::Sender;
use log::{info, warn};
use sorreldeck::{InstanceId, Span, Time};
use sorreldeck_platform::store::Change;
use sorreldeck_platform::{Store, Table};
use std::collections::BTreeMap;

/// Pause after a write, until the follower of the table delivers the row.
const RETRY_PAUSE: Span = Span::from_millis(1_000);
/// Factor on the usual jitter for the rows that every entry writes itself: 300 writes at once
/// would take most of the calls that the store accepts per second.
const OWN_JITTER_FACTOR: u64 = 5;
/// Maximum number of rows in one call, which may hold 100 conditions and changes.
const MAX_ROWS: usize = 50;

/// Writes lost rows again.
#[derive(Debug)]
pub struct Restorer {
    /// The key under which this entry publishes its address.
    own: String,
    jitter: Span,
    due: BTreeMap<(Table, String), Time>,
    is_writing: bool,
}

impl Restorer {
    /// Creates the writer of an instance.
    pub fn new(instance: &InstanceId) -> Restorer {
        Restorer {
            own: format!("{ENTRY_PREFIX}{instance}"),
            jitter: mover::jitter(instance),
            due: BTreeMap::new(),
            is_writing: false,
        }
    }

    /// Writes the rows that are due. `reads_store` says whether this entry reads the store.
    pub fn step(
        &mut self,
        now: Time,
        reads_store: bool,
        mirror: &Mirror,
        store: &Store,
        messages: &Sender<Message>,
    ) {
        let lost = mirror.lost_rows(&self.own, now);
        self.plan(&lost, now, reads_store);
        if self.is_writing || lost.is_empty() {
            return;
        }
        let is_due = |rewrite: &&Rewrite| {
            let due = self.due.get(&(rewrite.table, rewrite.key.clone()));
            due.is_some_and(|due| now >= *due)
        };
        let due: Vec<&Rewrite> = lost.iter().filter(is_due).take(MAX_ROWS).collect();
        if due.is_empty() {
            return;
        }
        for rewrite in &due {
            info!(
                "event=written-again table={:?} key={:?} row_version={}",
                rewrite.table, rewrite.key, rewrite.version
            );
            let place = (rewrite.table, rewrite.key.clone());
            self.due.insert(place, now + RETRY_PAUSE);
        }
        self.is_writing = true;
        let change = due.into_iter().fold(Change::default(), add_row);
        mover::write(change, store, messages, Message::RowsRestored);
    }

    /// Handles the outcome of a write; the rows themselves arrive through the follower of the
    /// table.
    pub fn on_written(&mut self, result: Result<(), String>) {
        self.is_writing = false;
        if let Err(error) = result {
            warn!("event=record-failed key=lost error={error}");
        }
    }

    /// Schedules the rows that are lost and drops those that no longer are.
    fn plan(&mut self, lost: &[Rewrite], now: Time, reads_store: bool) {
        let mut due = std::mem::take(&mut self.due);
        for rewrite in lost {
            let wait = match rewrite.key.starts_with(ENTRY_PREFIX) {
                true => Span::from_micros(self.jitter.micros() * OWN_JITTER_FACTOR),
                false => self.jitter + mover::reader_delay(reads_store),
            };
            let place = (rewrite.table, rewrite.key.clone());
            let known = due.remove(&place);
            self.due.insert(place, known.unwrap_or(now + wait));
        }
    }
}

fn add_row(change: Change, rewrite: &Rewrite) -> Change {
    let change = change.expect(rewrite.table, &rewrite.key, rewrite.version);
    match &rewrite.value {
        Some(value) => change.put(rewrite.table, &rewrite.key, value),
        None => change.remove(rewrite.table, &rewrite.key),
    }
}
