//! Counts of answers, and what is usual.

use crate::unit::Span;
use serde::{Deserialize, Serialize};
use std::fmt;

/// How many times the usual time for the work, and how much beyond it,
/// makes an answer count as slow. A bad release is several times slower.
const SLOW_TIMES: u64 = 3;
const SLOW_BEYOND: Span = Span::from_millis(250);
/// The least time that an answer is taken to need, so that none counts for nothing.
const LEAST_WORK: Span = Span::from_millis(1);
/// The answers that the usual time must rest on.
const USUAL: u32 = 5;
/// The answers that the running mean of the usual time looks back on.
const USUAL_OVER: u64 = 16;

/// The answers of a release while another is on trial.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(super) struct Tally {
    pub answers: u64,
    pub failed: u64,
    pub slow: u64,
}

impl fmt::Display for Tally {
    /// Writes `answers/failed/slow`.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.answers, self.failed, self.slow)
    }
}

impl Tally {
    pub fn add(&mut self, other: &Tally) {
        self.answers += other.answers;
        self.failed += other.failed;
        self.slow += other.slow;
    }

    pub fn note(&mut self, failed: bool, slow: bool) {
        self.answers += 1;
        self.failed += u64::from(failed);
        self.slow += u64::from(slow);
    }
}

/// The usual length of something, as a running mean.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Usual {
    answers: u32,
    micros: u64,
}

impl Usual {
    pub fn note(&mut self, span: Span) {
        self.answers += 1;
        let over = u64::from(self.answers).min(USUAL_OVER);
        self.micros = (self.micros * (over - 1) + span.micros()) / over;
    }

    /// Returns the usual length in microseconds, if enough answers tell it.
    pub fn known(&self) -> Option<u64> {
        (self.answers >= USUAL).then_some(self.micros)
    }

    /// Returns whether a time to the first event is far beyond the usual one for its
    /// work; the usual times noted are those of [`by_work`].
    pub fn is_slow(&self, first: Span, work: Span) -> bool {
        let beyond = first - SLOW_BEYOND;
        let slow = |usual: u64| by_work(beyond, work).micros() > usual * SLOW_TIMES;
        self.known().is_some_and(slow)
    }
}

/// Returns the time that an answer took to begin for each second that it ought to take.
pub(super) fn by_work(first: Span, work: Span) -> Span {
    let work = work.secs_f64().max(LEAST_WORK.secs_f64());
    Span::from_secs_f64(first.secs_f64() / work)
}

/// Returns how likely at least `count` events are where `expected` are.
pub(super) fn chance_of(count: u64, expected: f64) -> f64 {
    let mut term = (-expected).exp();
    let mut below = 0.0;
    for i in 0..count {
        below += term;
        term *= expected / (i + 1) as f64;
    }
    (1.0 - below).max(0.0)
}
