//! The open connections of callers, and which of them are closed where room is short.
//!
//! A connection is not charged for being there, but it holds a descriptor and some bytes. Where these
//! run short, those go first that owe least and have waited longest, never the caller that arrives;
//! one with a request under way stays.

use log::info;
use sorreldeck::{Span, Time};
use sorreldeck_net::h1::{Activity, Door, Standing};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

/// The time in which a connection may send its first request before it may be closed for others:
/// halls and callers are some milliseconds apart.
const MIN_WITHOUT_REQUEST_MS: u64 = 50;
/// The same for its next request.
const MIN_IDLE_MS: u64 = 500;
/// The same for a caller that does not read its answer.
const MIN_UNREAD_MS: u64 = 2_000;
/// How long the list of connections that may be closed is used, since to make it takes a look at all.
const LIST_USED_MS: u64 = 20;
/// The least time between two log lines.
const LOG_INTERVAL: Span = Span::from_millis(1_000);

/// The open connections of a process.
#[derive(Clone, Default)]
pub struct Connections(Arc<Inner>);

#[derive(Default)]
struct Inner {
    slots: Mutex<BTreeMap<u64, Slot>>,
    next: AtomicU64,
    closed: [AtomicU64; 3],
    candidates: Mutex<Candidates>,
    logged: Mutex<(Time, Closed)>,
}

/// The connections that may be closed, the next one last.
#[derive(Default)]
struct Candidates {
    listed_at: u64,
    list: Vec<Candidate>,
}

/// A connection that may be closed, and what it owed when it was listed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Candidate {
    standing: Standing,
    since: u64,
    number: u64,
}

struct Slot {
    activity: Arc<Activity>,
    /// Closing this ends the connection.
    end: async_channel::Sender<()>,
}

/// How many connections were closed for others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Closed {
    /// Those on which no whole head of a request had come.
    pub no_request: u64,
    /// Those that were kept open without a request.
    pub idle: u64,
    /// Those whose callers did not read their answers.
    pub unread: u64,
}

/// An open connection; it leaves the list when dropped.
pub struct Listing {
    connections: Connections,
    number: u64,
    ended: async_channel::Receiver<()>,
}

impl Connections {
    fn slots(&self) -> MutexGuard<'_, BTreeMap<u64, Slot>> {
        self.0.slots.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Adds a connection.
    pub fn add(&self, activity: Arc<Activity>) -> Listing {
        let number = self.0.next.fetch_add(1, Ordering::Relaxed);
        let (end, ended) = async_channel::bounded(1);
        self.slots().insert(number, Slot { activity, end });
        Listing {
            connections: self.clone(),
            number,
            ended,
        }
    }

    /// Closes the connection that owes least and has waited longest; returns whether there was one.
    pub fn make_room(&self, door: &Door) -> bool {
        let now = door.now();
        let slots = self.slots();
        let mut candidates = self.0.candidates.lock().unwrap_or_else(|e| e.into_inner());
        if now.saturating_sub(candidates.listed_at) >= LIST_USED_MS {
            *candidates = Candidates::list(&slots, now);
        }
        while let Some(next) = candidates.list.pop() {
            let slot = slots.get(&next.number);
            let is_unchanged =
                |slot: &&Slot| slot.activity.standing() == (next.standing, next.since);
            if let Some(slot) = slot.filter(is_unchanged) {
                self.0.closed[next.standing as usize].fetch_add(1, Ordering::Relaxed);
                slot.end.close();
                return true;
            }
        }
        false
    }

    /// Returns how many connections were closed for others.
    pub fn closed(&self) -> Closed {
        let [no_request, idle, unread] = &self.0.closed;
        Closed {
            no_request: no_request.load(Ordering::Relaxed),
            idle: idle.load(Ordering::Relaxed),
            unread: unread.load(Ordering::Relaxed),
        }
    }

    /// Logs how many connections were closed for others, if there are more.
    pub fn log(&self, now: Time) {
        let closed = self.closed();
        let mut logged = self.0.logged.lock().unwrap_or_else(|e| e.into_inner());
        let (at, before) = *logged;
        if closed == before || now.since(at) < LOG_INTERVAL {
            return;
        }
        *logged = (now, closed);
        info!(
            "event=connections-closed open={} no_request={} idle={} unread={} in_all={}",
            self.slots().len(),
            closed.no_request - before.no_request,
            closed.idle - before.idle,
            closed.unread - before.unread,
            closed.no_request + closed.idle + closed.unread
        );
    }
}

impl Candidates {
    fn list(slots: &BTreeMap<u64, Slot>, now: u64) -> Candidates {
        let mut list = Vec::new();
        for (number, slot) in slots.iter().filter(|(_, slot)| !slot.end.is_closed()) {
            let (standing, since) = slot.activity.standing();
            let min_ms = match standing {
                Standing::NoRequest => MIN_WITHOUT_REQUEST_MS,
                Standing::Idle => MIN_IDLE_MS,
                Standing::Unread => MIN_UNREAD_MS,
                Standing::Busy => continue,
            };
            if now.saturating_sub(since) >= min_ms {
                list.push(Candidate {
                    standing,
                    since,
                    number: *number,
                });
            }
        }
        list.sort_unstable_by(|a, b| b.cmp(a));
        Candidates {
            listed_at: now,
            list,
        }
    }
}

impl Listing {
    /// Waits until the connection is to be closed for others.
    pub async fn ended(&self) {
        // Nothing is sent over the channel; it is only closed.
        let _ = self.ended.recv().await;
    }
}

impl Drop for Listing {
    fn drop(&mut self) {
        self.connections.slots().remove(&self.number);
    }
}
