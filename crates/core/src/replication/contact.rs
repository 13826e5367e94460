//! The state of another entry as a source of the store's tables.

use super::{Status, Timeouts};
use crate::unit::{Span, Time};

/// The shortest and the longest time for which an entry is not contacted after a failure.
const MIN_BACKOFF: Span = Span::from_millis(500);
const MAX_BACKOFF: Span = Span::from_millis(16_000);
/// How long an entry is not contacted after it announced its stop: a planned stop takes a few
/// seconds, and the entry is back soon after.
const LEAVING_BACKOFF: Span = Span::from_millis(3_000);

/// Consecutive failures after which an entry counts as gone and is skipped. They take some 2 s, by
/// which time a process that was killed is back.
const GONE_AFTER: u32 = 3;

/// How usable an entry is as a source.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Health {
    /// It was not contacted yet, or may be contacted again.
    Unknown,
    /// It was contacted a moment ago.
    Warming,
    /// It sends messages, and its data of the store is recent enough.
    Fresh,
    /// It is linked, but its last contact with the store was too long ago, or it is about to stop.
    Stale,
    /// It is linked, but sends no messages.
    Silent,
    /// It is not contacted for a while after a failure.
    BackingOff,
}

/// The state of one entry that may be a source.
#[derive(Clone, Debug, Default)]
pub(super) struct Contact {
    /// When its link was requested; `None` without a link.
    requested_at: Option<Time>,
    /// When its link was opened or its last message arrived, whichever is later.
    active_at: Option<Time>,
    /// When it or one of its sources last had contact with the store.
    last_sync: Option<Time>,
    /// The number of consecutive failures.
    failures: u32,
    retry_at: Option<Time>,
    leaving: bool,
}

impl Contact {
    /// Returns whether a link is open or being opened.
    pub fn is_linked(&self) -> bool {
        self.requested_at.is_some()
    }

    /// Returns whether it failed so often in a row that it is most likely gone for good.
    pub fn is_gone(&self) -> bool {
        self.failures >= GONE_AFTER
    }

    pub fn link_requested(&mut self, now: Time) {
        self.requested_at = Some(now);
        self.active_at = None;
        self.last_sync = None;
        self.leaving = false;
        self.retry_at = None;
    }

    pub fn link_opened(&mut self, now: Time) {
        self.active_at = Some(now);
    }

    /// Records that this entry closed the link because it no longer needs it.
    pub fn link_dropped(&mut self) {
        self.requested_at = None;
        self.retry_at = None;
    }

    /// Records that the link broke or could not be opened.
    pub fn link_failed(&mut self, now: Time) {
        self.requested_at = None;
        let backoff = match self.leaving {
            true => LEAVING_BACKOFF,
            false => {
                self.failures += 1;
                let times = 1 << (self.failures - 1).min(5);
                Span::from_micros(MIN_BACKOFF.micros() * times).min(MAX_BACKOFF)
            }
        };
        self.retry_at = Some(now + backoff);
    }

    /// Records the status that it reports.
    pub fn record_status(&mut self, status: Status, now: Time) {
        self.active_at = Some(now);
        self.last_sync = self.last_sync.max(status.last_sync);
        self.leaving = status.leaving;
    }

    /// Returns the health of the entry; a fresh source resets the number of failures.
    pub fn health(&mut self, now: Time, timeouts: &Timeouts) -> Health {
        let health = self.assess(now, timeouts);
        if health == Health::Fresh {
            self.failures = 0;
        }
        health
    }

    /// Returns the health of the entry without a change of its state.
    pub fn assess(&self, now: Time, timeouts: &Timeouts) -> Health {
        let Some(requested_at) = self.requested_at else {
            return match self.retry_at.is_some_and(|until| now < until) {
                true => Health::BackingOff,
                false => Health::Unknown,
            };
        };
        let within = |at: Option<Time>, span: Span| at.is_some_and(|at| now.since(at) <= span);
        let is_active = within(self.active_at, timeouts.silence);
        match now.since(requested_at) <= timeouts.warmup {
            _ if is_active && !self.leaving && within(self.last_sync, timeouts.max_staleness) => {
                Health::Fresh
            }
            true => Health::Warming,
            false if is_active => Health::Stale,
            false => Health::Silent,
        }
    }
}
