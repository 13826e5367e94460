//! Counts of answers, and running means of their times.

use crate::unit::Span;
use serde::{Deserialize, Serialize};
use std::fmt;

/// The multiple of the usual time, and the time added to it, beyond which an answer counts as slow.
/// A bad release is several times slower.
const SLOW_FACTOR: u64 = 3;
const SLOW_MARGIN: Span = Span::from_millis(250);
/// The least expected time of an answer, which keeps the ratio to it finite.
const MIN_EXPECTED: Span = Span::from_millis(1);
/// The samples that a running mean must rest on.
const MIN_SAMPLES: u32 = 5;
/// The number of samples that a running mean looks back on.
const MEAN_WINDOW: u64 = 16;

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

    pub fn record(&mut self, failed: bool, slow: bool) {
        self.answers += 1;
        self.failed += u64::from(failed);
        self.slow += u64::from(slow);
    }
}

/// A running mean of times.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RunningMean {
    answers: u32,
    micros: u64,
}

impl RunningMean {
    pub fn add(&mut self, span: Span) {
        self.answers += 1;
        let over = u64::from(self.answers).min(MEAN_WINDOW);
        self.micros = (self.micros * (over - 1) + span.micros()) / over;
    }

    /// Returns the mean in microseconds, if it rests on enough samples.
    pub fn value(&self) -> Option<u64> {
        (self.answers >= MIN_SAMPLES).then_some(self.micros)
    }

    /// Returns whether a time to the first event is far beyond the usual one for the expected time.
    /// The samples of this mean must be those of [`per_expected_second`].
    pub fn is_slow(&self, first: Span, expected: Span) -> bool {
        let beyond = first - SLOW_MARGIN;
        let slow =
            |usual: u64| per_expected_second(beyond, expected).micros() > usual * SLOW_FACTOR;
        self.value().is_some_and(slow)
    }
}

/// Returns the time to the first event for each second of the expected time.
pub(super) fn per_expected_second(first: Span, expected: Span) -> Span {
    let expected = expected.secs_f64().max(MIN_EXPECTED.secs_f64());
    Span::from_secs_f64(first.secs_f64() / expected)
}

/// Returns the probability of at least `count` events if `expected` are the mean (Poisson).
pub(super) fn poisson_tail(count: u64, expected: f64) -> f64 {
    let mut term = (-expected).exp();
    let mut below = 0.0;
    for i in 0..count {
        below += term;
        term *= expected / (i + 1) as f64;
    }
    (1.0 - below).max(0.0)
}
