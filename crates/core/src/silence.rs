//! Decides when a second run is started beside one that is silent.
//!
//! Silence is not an end: memory that runs out at an upstream preempts a request in the middle of its
//! stream, a long prompt holds up all others beside it, and both go on later. A silent run is
//! therefore never cancelled before another has gone on with its answer; the question is only when
//! another is asked. Too early, the prompt is read twice for nothing; too late, the caller waits.
//!
//! ```
//! use sorreldeck::silence::{Observation, Step};
//! use sorreldeck::Span;
//!
//! let ms = Span::from_millis;
//! let stream = Observation {
//!     silent: ms(500),
//!     patience: ms(700),
//!     read: ms(100),
//!     pause: Some(ms(1_200)),
//!     is_contended: false,
//!     is_upstream_silent: true,
//!     is_upstream_gone: None,
//! };
//! assert_eq!(stream.step(), Step::Wait);
//! assert_eq!(Observation { silent: ms(800), ..stream }.step(), Step::Start);
//! // Where upstreams are shared, silence mostly means that others are served first.
//! let shared = Observation { silent: ms(800), is_contended: true, ..stream };
//! assert_eq!(shared.step(), Step::Probe);
//! assert_eq!(Observation { is_upstream_gone: Some(true), ..shared }.step(), Step::Start);
//! ```

use crate::id::PoolId;
use crate::unit::Span;
use std::collections::HashMap;

/// The silence that is waited for while the usual interval between events is unknown.
const DEFAULT_PATIENCE: Span = Span::from_millis(700);
/// The shortest silence that counts, however short the usual interval is.
const MIN_PATIENCE: Span = Span::from_millis(700);
/// The deviations beyond the mean at which an interval is no longer a usual one.
const DEVIATIONS: f64 = 8.0;
/// The number of intervals over which the mean and deviation are smoothed.
const WINDOW: f64 = 256.0;
/// The intervals that must be known before they count.
const MIN_INTERVALS: u32 = 64;

/// What is known when a run has been silent for some time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Observation {
    /// The time since something was heard of the run.
    pub silent: Span,
    /// The longest silence that is usual.
    pub patience: Span,
    /// The expected time that another upstream needs to read the prompt.
    pub read: Span,
    /// The longest pause after which the answer is in time, once it has begun.
    pub pause: Option<Span>,
    /// Whether requests compete for the upstreams of the pool.
    pub is_contended: bool,
    /// Whether nothing was heard of any run at the upstream for as long as is usual.
    pub is_upstream_silent: bool,
    /// Whether the upstream is gone, if it was asked.
    pub is_upstream_gone: Option<bool>,
}

/// The next step for a silent run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Go on waiting for the run alone.
    Wait,
    /// Ask the upstream whether it is there.
    Probe,
    /// Start a second run.
    Start,
}

impl Observation {
    /// Returns the next step.
    pub fn step(&self) -> Step {
        if self.silent <= self.patience {
            return Step::Wait;
        }
        let asked = self.is_contended && self.is_upstream_silent && self.pause.is_some();
        match self.is_upstream_gone.filter(|_| asked) {
            Some(true) => return Step::Start,
            None if asked => return Step::Probe,
            _ => {}
        }
        match self.silent > self.limit() {
            true => Step::Start,
            false => Step::Wait,
        }
    }

    /// Returns the silence after which a second run is started.
    ///
    /// If another upstream could not go on within the allowed pause, waiting for one that may only
    /// be busy is faster until that pause has passed. In a contended pool a silent upstream mostly
    /// reads the prompts of others, and a second run has the prompt read where others wait as well.
    fn limit(&self) -> Span {
        match self.pause {
            None => self.patience,
            Some(pause) if self.is_contended => pause + pause,
            Some(pause) if self.patience + self.read <= pause => self.patience,
            Some(pause) => pause.max(self.patience),
        }
    }
}

/// The usual intervals between the events of streams, by pool.
#[derive(Clone, Debug, Default)]
pub struct Intervals(HashMap<PoolId, Average>);

#[derive(Clone, Copy, Debug, Default)]
struct Average {
    /// In seconds.
    mean: f64,
    deviation: f64,
    count: u32,
}

impl Intervals {
    /// Records the time between two events of a stream.
    pub fn record(&mut self, pool: &PoolId, interval: Span) {
        if let Some(average) = self.0.get_mut(pool) {
            return average.record(interval.secs_f64());
        }
        let mut average = Average::default();
        average.record(interval.secs_f64());
        self.0.insert(pool.clone(), average);
    }

    /// Returns the longest silence that is usual within the streams of a pool.
    pub fn patience(&self, pool: &PoolId) -> Span {
        let average = self.0.get(pool);
        let known = average.filter(|average| average.count >= MIN_INTERVALS);
        known.map_or(DEFAULT_PATIENCE, |average| {
            let usual = average.mean + DEVIATIONS * average.deviation;
            Span::from_secs_f64(usual).max(MIN_PATIENCE)
        })
    }
}

impl Average {
    fn record(&mut self, seconds: f64) {
        self.count = self.count.saturating_add(1);
        let weight = 1.0 / WINDOW.min(f64::from(self.count));
        let error = seconds - self.mean;
        self.mean += error * weight;
        self.deviation += (error.abs() - self.deviation) * weight;
    }
}
