//! Writes the records of moves to other releases.
//!
//! Any entry may write; the row's version is the condition, so of several that
//! try at once one succeeds. Each waits a moment of its own first, so that
//! mostly one tries.

use super::event_loop::Message;
use super::mirror::Mirror;
use async_channel::Sender;
use async_std::task;
use log::{info, warn};
use sorreldeck::release::{Order, State, Totals};
use sorreldeck::{InstanceId, Span, Time};
use sorreldeck_platform::store::{Change, Row, ROLLOUT_PREFIX};
use sorreldeck_platform::{release, Store, Table};
use std::collections::HashMap;

/// The most that an entry waits before it writes.
const SPREAD: Span = Span::from_millis(300);
/// How much longer an entry waits that does not read the store: those that do write first,
/// and what they wrote is heard meanwhile.
const BEHIND: Span = Span::from_millis(500);
/// How long an entry waits after it has written, for the feed to bring it.
const AGAIN: Span = Span::from_millis(700);

/// How much longer an entry waits before it begins a move whose release a record names: the order may
/// have been written again after a loss, and whoever knows that writes the record again.
const RECORDED: Span = Span::from_millis(1_000);

/// Writes the records of moves.
#[derive(Debug)]
pub struct Mover {
    offset: Span,
    wanted: HashMap<String, Pending>,
}

/// What ought to be recorded.
#[derive(Clone, Copy, Debug)]
pub struct Proposal<'a> {
    /// The order.
    pub order: &'a Order,
    /// The state that ought to be recorded.
    pub state: State,
    /// What the move is judged by, for the log.
    pub grounds: Totals,
    /// Whether this entry reads the store.
    pub reads: bool,
}

#[derive(Clone, Copy, Debug)]
struct Pending {
    state: State,
    due: Time,
    writing: bool,
}

impl Mover {
    /// Creates the writer of an instance.
    pub fn new(instance: &InstanceId) -> Mover {
        Mover {
            offset: jitter(instance),
            wanted: HashMap::new(),
        }
    }

    /// Writes a record when this entry's moment has come.
    pub fn propose(
        &mut self,
        proposal: Proposal,
        now: Time,
        mirror: &Mirror,
        store: &Store,
        tell: &Sender<Message>,
    ) {
        let Proposal { order, state, .. } = proposal;
        let Some(key) = key_of(order, mirror) else {
            return;
        };
        let behind = behind(proposal.reads);
        let recorded = mirror.recorded_state(&key);
        let names_release = recorded.is_some_and(|(to, _)| to == order.to);
        // A release that is bad must be stopped at once everywhere.
        let wait = match state {
            State::RolledBack => behind,
            State::Running if names_release => self.offset + behind + RECORDED,
            _ => self.offset + behind,
        };
        let fresh = Pending {
            state,
            due: now + wait,
            writing: false,
        };
        let wanted = self.wanted.entry(key.clone()).or_insert(fresh);
        if wanted.state != state {
            *wanted = fresh;
        }
        if wanted.writing || now < wanted.due {
            return;
        }
        let Some(change) = change_of(&key, state, now, mirror) else {
            return;
        };
        wanted.writing = true;
        wanted.due = now + AGAIN;
        info!(
            "event=record pool={} to={} state={state:?} row_version={} {}",
            order.pool,
            order.to,
            mirror.row_version(Table::Progress, &key),
            proposal.grounds
        );
        write(change, store, tell, |result| {
            Message::MoveRecorded(key, result)
        });
    }

    /// Takes in what came of a write; the row itself comes with the feed.
    pub fn written(&mut self, key: &str, result: Result<(), String>) {
        if let Err(trouble) = result {
            warn!("event=record-failed key={key} error={trouble}");
        }
        if let Some(wanted) = self.wanted.get_mut(key) {
            wanted.writing = false;
        }
    }
}

/// Writes a change; `message` makes of what came of it what the loop is told.
pub fn write(
    change: Change,
    store: &Store,
    tell: &Sender<Message>,
    message: impl FnOnce(Result<(), String>) -> Message + Send + 'static,
) {
    let (store, tell) = (store.clone(), tell.clone());
    task::spawn(async move {
        let written = store.change(&change).await;
        let result = written.map(drop).map_err(|trouble| trouble.to_string());
        // The loop ends only with the process.
        let _ = tell.send(message(result)).await;
    });
}

/// Returns how much longer an entry waits than its own moment, by whether it reads the store.
pub fn behind(reads: bool) -> Span {
    match reads {
        true => Span::default(),
        false => BEHIND,
    }
}

/// Returns how long an instance waits before it writes what others may write as well.
pub fn jitter(instance: &InstanceId) -> Span {
    let hash = sorreldeck::tree::hash_key(instance.as_str());
    let number = u64::from_str_radix(&hash[..8], 16).unwrap_or(0);
    Span::from_micros(number * SPREAD.micros() / u64::from(u32::MAX))
}

/// Returns the key of the row that holds an order.
fn key_of(order: &Order, mirror: &Mirror) -> Option<String> {
    let mut rows = mirror.rows(Table::Operator);
    let asks_for = |row: &&Row| {
        let value = row
            .value
            .as_deref()
            .filter(|_| row.key.starts_with(ROLLOUT_PREFIX));
        let read = value.map(|buf| release::decode(buf, order.issued));
        read.is_some_and(|read| read.is_ok_and(|read| read == *order))
    };
    Some(rows.find(asks_for)?.key.clone())
}

/// Returns the change that records a state. The first record of a move says
/// when it was made, on the store's clock.
fn change_of(key: &str, state: State, now: Time, mirror: &Mirror) -> Option<Change> {
    let row = mirror.row(Table::Operator, key)?;
    let buf = release::encode_for(row.value.as_deref()?, state)?;
    let version = mirror.row_version(Table::Progress, key);
    // Versions are given out again: that of one row may be right by chance.
    let order = mirror.row_version(Table::Operator, key);
    let change = Change::default()
        .expect(Table::Operator, key, order)
        .expect(Table::Progress, key, version)
        .put(Table::Progress, key, &buf);
    match state {
        State::Running => {
            let began = mirror.store_time(now)?.to_string();
            Some(change.put(Table::Own, key, began.as_bytes()))
        }
        _ => Some(change),
    }
}
