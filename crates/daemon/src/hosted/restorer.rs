//! Writes again what entries had recorded and the store lost when it came back from a copy.
//!
//! Any entry may write; the version of the row in the store is the condition, so of several
//! that try at once one succeeds. Those that read the store write first, and what they wrote is
//! heard by the others meanwhile. Where an entry is, it alone writes.

use super::event_loop::Message;
use super::mirror::{Mirror, Rewrite, ENTRY_PREFIX};
use super::mover;
use async_channel::Sender;
use log::{info, warn};
use sorreldeck::{InstanceId, Span, Time};
use sorreldeck_platform::store::Change;
use sorreldeck_platform::{Store, Table};
use std::collections::BTreeMap;

/// How long an entry waits after it has written, for the feed to bring it.
const AGAIN: Span = Span::from_millis(1_000);
/// How many times the usual spread entries take that all write a row of their own: 300 at once are
/// most of the calls that the store takes in a second.
const OWN_SPREAD: u64 = 5;
/// The most rows of one call, which may hold 100 conditions and changes.
const MOST: usize = 50;

/// Writes what was lost again.
#[derive(Debug)]
pub struct Restorer {
    /// The key under which this entry tells where it is.
    own: String,
    offset: Span,
    due: BTreeMap<(Table, String), Time>,
    writing: bool,
}

impl Restorer {
    /// Creates the writer of an instance.
    pub fn new(instance: &InstanceId) -> Restorer {
        Restorer {
            own: format!("{ENTRY_PREFIX}{instance}"),
            offset: mover::jitter(instance),
            due: BTreeMap::new(),
            writing: false,
        }
    }

    /// Writes what is due; `reads` says whether this entry reads the store.
    pub fn step(
        &mut self,
        now: Time,
        reads: bool,
        mirror: &Mirror,
        store: &Store,
        tell: &Sender<Message>,
    ) {
        let lost = mirror.lost_rows(&self.own, now);
        self.plan(&lost, now, reads);
        if self.writing || lost.is_empty() {
            return;
        }
        let is_due = |again: &&Rewrite| {
            let due = self.due.get(&(again.table, again.key.clone()));
            due.is_some_and(|due| now >= *due)
        };
        let due: Vec<&Rewrite> = lost.iter().filter(is_due).take(MOST).collect();
        if due.is_empty() {
            return;
        }
        for again in &due {
            info!(
                "event=written-again table={:?} key={:?} row_version={}",
                again.table, again.key, again.version
            );
            let place = (again.table, again.key.clone());
            self.due.insert(place, now + AGAIN);
        }
        self.writing = true;
        let change = due.into_iter().fold(Change::default(), add);
        mover::write(change, store, tell, Message::RowsRestored);
    }

    /// Takes in what came of a write; the rows themselves come with the feed.
    pub fn written(&mut self, result: Result<(), String>) {
        self.writing = false;
        if let Err(trouble) = result {
            warn!("event=record-failed key=lost error={trouble}");
        }
    }

    /// Sets when what is lost is written, and forgets what is not lost any more.
    fn plan(&mut self, lost: &[Rewrite], now: Time, reads: bool) {
        let mut due = std::mem::take(&mut self.due);
        for again in lost {
            let wait = match again.key.starts_with(ENTRY_PREFIX) {
                true => Span::from_micros(self.offset.micros() * OWN_SPREAD),
                false => self.offset + mover::behind(reads),
            };
            let place = (again.table, again.key.clone());
            let known = due.remove(&place);
            self.due.insert(place, known.unwrap_or(now + wait));
        }
    }
}

fn add(change: Change, again: &Rewrite) -> Change {
    let change = change.expect(again.table, &again.key, again.version);
    match &again.value {
        Some(value) => change.put(again.table, &again.key, value),
        None => change.remove(again.table, &again.key),
    }
}
