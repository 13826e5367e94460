//! Writes the records of roll-outs.
//!
//! Any entry may write a record. The write is conditional on the version of the row, so only
//! one of several concurrent writers succeeds. Each entry delays its write by its own jitter,
//! so that usually only one tries.

use super::message::Message;
use super::mirror::Mirror;
use async_channel::Sender;
use async_std::task;
use log::{info, warn};
use sorreldeck::release::{Order, State, Totals};
use sorreldeck::{InstanceId, Span, Time};
use sorreldeck_platform::store::{Change, Row, ROLLOUT_PREFIX};
use sorreldeck_platform::{release, Store, Table};
use std::collections::HashMap;

/// Maximum jitter of an entry's writes.
const MAX_JITTER: Span = Span::from_millis(300);
/// Additional delay of entries that do not read the store. Those that do write first, and the
/// others see the result during this delay.
const NON_READER_DELAY: Span = Span::from_millis(500);
/// Pause after a write, until the follower of the table delivers the row.
const RETRY_PAUSE: Span = Span::from_millis(700);

/// Additional delay before an entry records the start of a roll-out to a release that an
/// existing record names. The order may have been written again after a loss; an entry that
/// knows this writes the earlier record again.
const RECORDED_DELAY: Span = Span::from_millis(1_000);

/// Writes the records of roll-outs.
#[derive(Debug)]
pub struct Mover {
    jitter: Span,
    pending: HashMap<String, Pending>,
}

/// A state that is to be recorded.
#[derive(Clone, Copy, Debug)]
pub struct Proposal<'a> {
    /// The roll-out order.
    pub order: &'a Order,
    /// The state.
    pub state: State,
    /// The grounds for the state, for the log.
    pub grounds: Totals,
    /// Whether this entry reads the store.
    pub reads_store: bool,
}

#[derive(Clone, Copy, Debug)]
struct Pending {
    state: State,
    due: Time,
    is_writing: bool,
}

impl Mover {
    /// Creates the writer of an instance.
    pub fn new(instance: &InstanceId) -> Mover {
        Mover {
            jitter: jitter(instance),
            pending: HashMap::new(),
        }
    }

    /// Writes a record once this entry's delay has passed.
    pub fn propose(
        &mut self,
        proposal: Proposal,
        now: Time,
        mirror: &Mirror,
        store: &Store,
        messages: &Sender<Message>,
    ) {
        let Proposal { order, state, .. } = proposal;
        let Some(key) = key_of(order, mirror) else {
            return;
        };
        let reader_delay = reader_delay(proposal.reads_store);
        let recorded = mirror.recorded_state(&key);
        let names_release = recorded.is_some_and(|(to, _)| to == order.to);
        // A bad release must be stopped everywhere without delay.
        let wait = match state {
            State::RolledBack => reader_delay,
            State::Running if names_release => self.jitter + reader_delay + RECORDED_DELAY,
            _ => self.jitter + reader_delay,
        };
        let new = Pending {
            state,
            due: now + wait,
            is_writing: false,
        };
        let pending = self.pending.entry(key.clone()).or_insert(new);
        if pending.state != state {
            *pending = new;
        }
        if pending.is_writing || now < pending.due {
            return;
        }
        let Some(change) = change_of(&key, state, now, mirror) else {
            return;
        };
        pending.is_writing = true;
        pending.due = now + RETRY_PAUSE;
        info!(
            "event=record pool={} to={} state={state:?} row_version={} {}",
            order.pool,
            order.to,
            mirror.row_version(Table::Progress, &key),
            proposal.grounds
        );
        write(change, store, messages, |result| {
            Message::MoveRecorded(key, result)
        });
    }

    /// Handles the outcome of a write; the row itself arrives through the follower of the
    /// table.
    pub fn on_written(&mut self, key: &str, result: Result<(), String>) {
        if let Err(error) = result {
            warn!("event=record-failed key={key} error={error}");
        }
        if let Some(pending) = self.pending.get_mut(key) {
            pending.is_writing = false;
        }
    }
}

/// Writes a change in a task of its own and sends the outcome to the event loop as a `message`.
pub fn write(
    change: Change,
    store: &Store,
    messages: &Sender<Message>,
    message: impl FnOnce(Result<(), String>) -> Message + Send + 'static,
) {
    let (store, messages) = (store.clone(), messages.clone());
    task::spawn(async move {
        let written = store.change(&change).await;
        let result = written.map(drop).map_err(|error| error.to_string());
        // Sending fails only while the process ends, since the event loop runs until then.
        let _ = messages.send(message(result)).await;
    });
}

/// Returns the additional delay of an entry's writes, by whether it reads the store.
pub fn reader_delay(reads_store: bool) -> Span {
    match reads_store {
        true => Span::default(),
        false => NON_READER_DELAY,
    }
}

/// Returns the delay of an instance's writes that others may make as well.
pub fn jitter(instance: &InstanceId) -> Span {
    let hash = sorreldeck::tree::hash_key(instance.as_str());
    let number = u64::from_str_radix(&hash[..8], 16).unwrap_or(0);
    Span::from_micros(number * MAX_JITTER.micros() / u64::from(u32::MAX))
}

/// Returns the key of the row that holds an order.
fn key_of(order: &Order, mirror: &Mirror) -> Option<String> {
    let mut rows = mirror.rows(Table::Operator);
    let holds_order = |row: &&Row| {
        let value = row
            .value
            .as_deref()
            .filter(|_| row.key.starts_with(ROLLOUT_PREFIX));
        let read = value.map(|buf| release::decode(buf, order.issued));
        let learned = order.learned;
        let is_same = |read: Order| Order { learned, ..read } == *order;
        read.is_some_and(|read| read.is_ok_and(is_same))
    };
    Some(rows.find(holds_order)?.key.clone())
}

/// Returns the change that records a state. The first record of a roll-out also stores its
/// start time on the store's clock.
fn change_of(key: &str, state: State, now: Time, mirror: &Mirror) -> Option<Change> {
    let row = mirror.row(Table::Operator, key)?;
    let buf = release::encode_for(row.value.as_deref()?, state)?;
    let version = mirror.row_version(Table::Progress, key);
    // Versions are reused after a restore, so the version of a single row may match by chance.
    let order = mirror.row_version(Table::Operator, key);
    let change = Change::default()
        .expect(Table::Operator, key, order)
        .expect(Table::Progress, key, version)
        .put(Table::Progress, key, &buf);
    match state {
        State::Running => {
            let started_at = mirror.store_time(now)?.to_string();
            Some(change.put(Table::Own, key, started_at.as_bytes()))
        }
        _ => Some(change),
    }
}
