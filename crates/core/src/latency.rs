//! Predicts how long upstreams take to start an answer, learned from earlier answers.
//!
//! The time to the first token is a fixed part plus the prefill time, which is proportional to the
//! uncached prompt tokens. Both differ by model, so each model of a pool has its own linear
//! regression over recent answers; a route without models has one as well. Answers of a release on
//! trial are not recorded, so that the trial can be compared with the other releases.
//!
//! ```
//! use sorreldeck::latency::{Estimator, Workload};
//! use sorreldeck::Span;
//!
//! let workload = Workload::Model("assistant".parse()?, "scribe".parse()?);
//! let mut estimator = Estimator::default();
//! for tokens in [1_000, 5_000, 20_000].repeat(40) {
//!     let took = Span::from_millis(20 + u64::from(tokens) / 10);
//!     estimator.record(&workload, tokens, Span::default(), took);
//! }
//! let expected = estimator.estimate(&workload, 10_000);
//! assert!((950..1_100).contains(&expected.millis()), "{expected}");
//! # Ok::<(), sorreldeck::Error>(())
//! ```

use crate::id::{ModelId, PoolId, RouteId};
use crate::unit::{Rate, Span};
use std::collections::HashMap;

/// The number of recent answers that determine a line. An entry that sees ten answers per second of
/// a model forgets half of the past in about 7 s.
const WINDOW: f64 = 100.0;
/// The fixed part before any answer is recorded, in milliseconds.
const PRIOR_BASE: f64 = 50.0;
/// The prefill time per thousand tokens before any answer is recorded, in milliseconds. It lies
/// between engines that read 112 and 38 tokens per millisecond.
const PRIOR_SLOPE: f64 = 20.0;
/// The strength with which the slope is pulled to its prior where prompts have similar lengths: it
/// counts as much as one answer whose prompt is a thousand tokens off the mean.
const SLOPE_PRIOR_WEIGHT: f64 = 1.0;
/// The lowest slope, in milliseconds per thousand tokens. A line through answers to prompts of one
/// length may be flat.
const MIN_SLOPE: f64 = 0.1;
/// The two prior points of a line: the weight of each, in answers, and half the distance between
/// them, in thousands of tokens.
const PRIOR_WEIGHT: f64 = 2.0;
const PRIOR_SPREAD: f64 = 5.0;
/// The limit above which an answer counts as an outlier and is clipped: a multiple of the predicted
/// time plus a number of milliseconds. A stalled upstream says little about the other upstreams.
const OUTLIER_FACTOR: f64 = 4.0;
const OUTLIER_EXTRA_MS: f64 = 500.0;

/// The mean absolute deviation from the prediction before any answer is recorded, in milliseconds.
const PRIOR_DEVIATION: f64 = 150.0;
/// The number of mean deviations after which an upstream counts as stalled. It is four times the
/// factor of TCP's retransmission timeout, because leaving an upstream that is still reading the
/// prompt repeats the prefill elsewhere.
const TIMEOUT_DEVIATIONS: f64 = 16.0;
/// The lowest stall timeout, as a multiple of the prediction. It exceeds the factor of three from
/// which an answer counts against a release, so that slow answers of a release are observed and not
/// abandoned.
const TIMEOUT_FACTOR: f64 = 4.0;
/// The lowest stall timeout. With engines that read 112 tokens per millisecond, shorter timeouts
/// had no benefit.
const MIN_TIMEOUT: Span = Span::from_millis(1_200);

/// A group of requests that is modelled by one line.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Workload {
    /// A model, over all routes that request it from a pool.
    Model(PoolId, ModelId),
    /// A route whose requests name no model.
    Route(RouteId),
}

/// A linear regression of milliseconds over thousands of tokens.
#[derive(Clone, Copy, Debug)]
struct Line {
    weight: f64,
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
    /// The mean absolute deviation of answers from the line, in milliseconds.
    deviation: f64,
}

impl Default for Line {
    fn default() -> Self {
        let mut line = Line {
            weight: 0.0,
            x: 0.0,
            y: 0.0,
            xx: 0.0,
            xy: 0.0,
            deviation: PRIOR_DEVIATION,
        };
        for x in [0.0, 2.0 * PRIOR_SPREAD] {
            line.add(x, PRIOR_BASE + x * PRIOR_SLOPE, PRIOR_WEIGHT);
        }
        line
    }
}

impl Line {
    fn add(&mut self, x: f64, y: f64, weight: f64) {
        self.weight += weight;
        self.x += weight * x;
        self.y += weight * y;
        self.xx += weight * x * x;
        self.xy += weight * x * y;
    }

    fn decay(&mut self) {
        let retained = 1.0 - 1.0 / WINDOW;
        for sum in [
            &mut self.weight,
            &mut self.x,
            &mut self.y,
            &mut self.xx,
            &mut self.xy,
        ] {
            *sum *= retained;
        }
    }

    /// Returns the milliseconds per thousand tokens. It stays close to the prior if all prompts
    /// have similar lengths.
    fn slope(&self) -> f64 {
        let variance = self.xx - self.x * self.x / self.weight;
        let covariance = self.xy - self.x * self.y / self.weight;
        let slope =
            (covariance + PRIOR_SLOPE * SLOPE_PRIOR_WEIGHT) / (variance + SLOPE_PRIOR_WEIGHT);
        slope.max(0.0)
    }

    fn predict(&self, x: f64) -> f64 {
        let slope = self.slope();
        let base = (self.y - slope * self.x) / self.weight;
        base.max(0.0) + slope * x
    }
}

/// The expected time to the first token, by workload.
#[derive(Clone, Debug, Default)]
pub struct Estimator(HashMap<Workload, Line>);

impl Estimator {
    /// Returns the time to the first token at an upstream that has this many uncached tokens to
    /// read and no other prefill before them.
    pub fn estimate(&self, workload: &Workload, tokens: u32) -> Span {
        let line = self.0.get(workload).copied().unwrap_or_default();
        span(line.predict(thousands(tokens)))
    }

    /// Returns the prefill rate in tokens per second.
    pub fn rate(&self, workload: &Workload) -> Rate {
        let line = self.0.get(workload).copied().unwrap_or_default();
        Rate::from_per_second(1e6 / line.slope().max(MIN_SLOPE))
    }

    /// Returns how long to wait for an answer with this expected time to the first token before its
    /// upstream counts as stalled.
    pub fn stall_timeout(&self, workload: &Workload, expected: Span) -> Span {
        let deviation = self
            .0
            .get(workload)
            .map_or(PRIOR_DEVIATION, |line| line.deviation);
        let usual = expected + span(deviation * TIMEOUT_DEVIATIONS);
        let slow = Span::from_secs_f64(expected.secs_f64() * TIMEOUT_FACTOR);
        usual.max(slow).max(MIN_TIMEOUT)
    }

    /// Records how long an answer took to start. `wait` is the part that is attributed to earlier
    /// prefill on the upstream.
    pub fn record(&mut self, workload: &Workload, tokens: u32, wait: Span, took: Span) {
        let line = self.0.entry(workload.clone()).or_default();
        let x = thousands(tokens);
        let predicted = line.predict(x);
        let limit = predicted * OUTLIER_FACTOR + OUTLIER_EXTRA_MS;
        let service = (took - wait).secs_f64() * 1e3;
        line.deviation += ((service - predicted).abs() - line.deviation) / WINDOW;
        line.decay();
        line.add(x, service.min(limit), 1.0);
    }
}

fn thousands(tokens: u32) -> f64 {
    f64::from(tokens) / 1e3
}

fn span(millis: f64) -> Span {
    Span::from_secs_f64(millis / 1e3)
}
