//! The pending prefill at an upstream.

use crate::unit::{Span, Time};
use std::collections::VecDeque;

/// Prefill that is completed as time passes.
///
/// An entry reports which prompts it sends but not when their prefill ends. Each prefill is a time
/// at the upstream's learned rate, so the rest follows from the time that has passed.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Backlog {
    remaining: Span,
    updated: Time,
}

impl Backlog {
    /// Adds a prefill that begins after the remaining one.
    pub fn add(&mut self, prefill: Span, now: Time) {
        self.remaining = self.remaining(now) + prefill;
        self.updated = now;
    }

    /// Returns the remaining prefill.
    pub fn remaining(&self, now: Time) -> Span {
        self.remaining - now.since(self.updated)
    }
}

/// The number of recent prompts that a queue remembers.
const MAX_RECENT: usize = 512;

/// The prompts of all entries that an upstream reads one after the other.
///
/// Prompts are read in the order in which they arrive, so a short prompt waits for all of a long
/// one before it. The time at which the queue is empty follows from the expected reading times and
/// is corrected when a prompt of this entry is answered, or when one is overdue.
#[derive(Clone, Debug, Default)]
pub(super) struct Queue {
    empty_at: Time,
    /// The recent prompts: when each was sent, and its reading time.
    recent: VecDeque<(Time, Span)>,
}

impl Queue {
    /// Adds a prompt after those that are waiting.
    pub fn add(&mut self, reading: Span, now: Time) {
        if self.empty_at <= now {
            self.recent.clear();
        }
        self.empty_at = self.empty_at.max(now) + reading;
        self.recent.push_back((now, reading));
        if self.recent.len() > MAX_RECENT {
            self.recent.pop_front();
        }
    }

    /// Records that the prompt sent at `sent_at` was read, and so those before it: only what came
    /// later is left.
    pub fn read_through(&mut self, sent_at: Time, now: Time) {
        self.recent.retain(|(at, _)| *at > sent_at);
        let left = self.recent.iter().map(|(_, reading)| reading.micros());
        self.empty_at = now + Span::from_micros(left.sum());
    }

    /// Records that a prompt waits longer than expected, so that the queue is not empty before
    /// `left` has passed.
    pub fn extend_to(&mut self, left: Span, now: Time) {
        self.empty_at = self.empty_at.max(now + left);
    }

    /// Returns the time until the queue is empty.
    pub fn remaining(&self, now: Time) -> Span {
        self.empty_at.since(now)
    }
}
