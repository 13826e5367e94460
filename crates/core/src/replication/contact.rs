//! What an entry knows of one that may be its source.

use super::{Status, Timeouts};
use crate::unit::{Span, Time};

/// How long an entry that was in vain is not asked again: at first, and at most.
const REST_FIRST: Span = Span::from_millis(500);
const REST_MOST: Span = Span::from_millis(16_000);
/// How long an entry that said it is about to stop is not asked: a planned stop takes a
/// few seconds, and it is back soon after.
const REST_LEAVING: Span = Span::from_millis(3_000);

/// How often in a row an entry is in vain before it is passed over: after some 2 s, by
/// when a process that was killed is back.
const LONG_GONE: u32 = 3;

/// How an entry does as a source.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Health {
    /// It has not been asked, or may be asked again.
    Unknown,
    /// It was asked a moment ago.
    Warming,
    /// It is heard, and what it knows of the store is new enough.
    Fresh,
    /// It is linked, but has not heard the store for too long, or is about to stop.
    Stale,
    /// It is linked, but nothing is heard of it.
    Silent,
    /// It is not asked for a while.
    Resting,
}

/// The state of one entry that may be a source.
#[derive(Clone, Debug, Default)]
pub(super) struct Contact {
    /// Since when it is asked, or its link was opened.
    since: Option<Time>,
    /// When it was heard last.
    heard: Option<Time>,
    /// When it or its sources heard the store last.
    store: Option<Time>,
    /// How often in a row it was in vain.
    vain: u32,
    rests_until: Option<Time>,
    leaving: bool,
}

impl Contact {
    /// Returns whether a link is open or being opened.
    pub fn is_linked(&self) -> bool {
        self.since.is_some()
    }

    /// Returns whether it was in vain so often that it is most likely gone for good.
    pub fn is_long_gone(&self) -> bool {
        self.vain >= LONG_GONE
    }

    pub fn opening(&mut self, now: Time) {
        self.since = Some(now);
        self.heard = None;
        self.store = None;
        self.leaving = false;
        self.rests_until = None;
    }

    pub fn opened(&mut self, now: Time) {
        self.heard = Some(now);
    }

    /// Notes that this entry closed the link, since it needs it no more.
    pub fn dropped(&mut self) {
        self.since = None;
        self.rests_until = None;
    }

    /// Notes that the link is gone or could not be opened.
    pub fn closed(&mut self, now: Time) {
        self.since = None;
        let rest = match self.leaving {
            true => REST_LEAVING,
            false => {
                self.vain += 1;
                let times = 1 << (self.vain - 1).min(5);
                Span::from_micros(REST_FIRST.micros() * times).min(REST_MOST)
            }
        };
        self.rests_until = Some(now + rest);
    }

    /// Takes in what it tells.
    pub fn heard(&mut self, word: Status, now: Time) {
        self.heard = Some(now);
        self.store = self.store.max(word.last_sync);
        self.leaving = word.leaving;
    }

    /// Returns how the entry does; one that does well was not in vain.
    pub fn health(&mut self, now: Time, bounds: &Timeouts) -> Health {
        let health = self.look(now, bounds);
        if health == Health::Fresh {
            self.vain = 0;
        }
        health
    }

    /// Returns how the entry does, and remembers nothing.
    pub fn look(&self, now: Time, bounds: &Timeouts) -> Health {
        let Some(since) = self.since else {
            return match self.rests_until.is_some_and(|until| now < until) {
                true => Health::Resting,
                false => Health::Unknown,
            };
        };
        let within = |at: Option<Time>, span: Span| at.is_some_and(|at| now.since(at) <= span);
        let is_heard = within(self.heard, bounds.silence);
        match now.since(since) <= bounds.warmup {
            _ if is_heard && !self.leaving && within(self.store, bounds.max_staleness) => {
                Health::Fresh
            }
            true => Health::Warming,
            false if is_heard => Health::Stale,
            false => Health::Silent,
        }
    }
}
