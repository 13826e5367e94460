//! Averages of what was observed of late.

use crate::unit::{Span, Time};

/// The time after which an observation counts half, so that a change of the requests or models is
/// followed within minutes.
const HALF_LIFE: Span = Span::from_millis(60_000);

/// Returns the weight of an observation of this age.
pub(super) fn weight(age: Span) -> f64 {
    (-age.secs_f64() / HALF_LIFE.secs_f64()).exp2()
}

/// An average whose observations age.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Average {
    sum: f64,
    weight: f64,
    at: Time,
}

impl Average {
    /// Adds an observation.
    pub fn record(&mut self, value: f64, now: Time) {
        self.record_weighted(value, 1.0, now);
    }

    /// Adds an observation of this weight; `sum` is its value times the weight.
    pub fn record_weighted(&mut self, sum: f64, count: f64, now: Time) {
        let kept = weight(now.since(self.at));
        self.sum = self.sum * kept + sum;
        self.weight = self.weight * kept + count;
        self.at = now;
    }

    /// Returns the average, with a prior that counts as this many observations.
    pub fn value(&self, prior: f64, prior_weight: f64, now: Time) -> f64 {
        let kept = weight(now.since(self.at));
        (self.sum * kept + prior * prior_weight) / (self.weight * kept + prior_weight)
    }
}
