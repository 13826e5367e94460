//! How long upstreams take to begin an answer, learned from what they began.
//!
//! The time is a fixed part and one for each prompt token that the upstream has to
//! read. Both differ by model, so each model of a pool has a straight line of its own,
//! fitted to the latest answers; a route without models has one as well. What a release
//! on trial does is not learned from, so that it is compared with the others.
//!
//! ```
//! use sorreldeck::latency::{Estimator, Workload};
//! use sorreldeck::Span;
//!
//! let subject = Workload::Model("assistant".parse()?, "scribe".parse()?);
//! let mut readings = Estimator::default();
//! for tokens in [1_000, 5_000, 20_000].repeat(40) {
//!     let took = Span::from_millis(20 + u64::from(tokens) / 10);
//!     readings.record(&subject, tokens, Span::default(), took);
//! }
//! let expected = readings.estimate(&subject, 10_000);
//! assert!((950..1_100).contains(&expected.millis()), "{expected}");
//! # Ok::<(), sorreldeck::Error>(())
//! ```

use crate::id::{ModelId, PoolId, RouteId};
use crate::unit::{Rate, Span};
use std::collections::HashMap;

/// The answers that a line looks back on: an entry that sees ten a second of a model
/// forgets half of what it knew within some 7 s.
const OVER: f64 = 100.0;
/// The fixed part assumed before anything is known, in milliseconds.
const PRIOR_BASE: f64 = 50.0;
/// What a thousand tokens are assumed to take before anything is known, in
/// milliseconds: between engines that read 112 tokens a millisecond and 38.
const PRIOR_SLOPE: f64 = 20.0;
/// How strongly the assumed slope holds where all prompts are about as long: as much as
/// one answer whose prompt is a thousand tokens off the mean.
const PRIOR_HOLD: f64 = 1.0;
/// The least that a thousand tokens are taken to take, in milliseconds: a line through
/// answers of one length may be flat.
const LEAST_SLOPE: f64 = 0.1;
/// How many answers the assumption counts as at first, and how far apart, in thousands
/// of tokens, those are taken to be.
const PRIOR_WEIGHT: f64 = 2.0;
const PRIOR_SPREAD: f64 = 5.0;
/// How far beyond what was expected one answer counts: a stalled upstream tells
/// little about the others.
const FAR_TIMES: f64 = 4.0;
const FAR_BEYOND: f64 = 500.0;

/// How far answers are assumed to be from what is expected before anything is known, in
/// milliseconds.
const PRIOR_OFF: f64 = 150.0;
/// How many times the usual distance from what is expected an upstream may be late before
/// it is taken to have stalled: four times what is used for the retransmission of packets, since
/// leaving an upstream that only reads has its reading done again.
const PATIENCE_OFF: f64 = 16.0;
/// How many times what is expected is waited for at least: what is slower than the three
/// times that count against a release is to be seen, not left.
const PATIENCE_TIMES: f64 = 4.0;
/// The least patience: below it, engines that read 112 tokens a millisecond gained nothing.
const PATIENCE_LEAST: Span = Span::from_millis(1_200);

/// What has a line of its own.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Workload {
    /// A model, on all routes that ask a pool for it.
    Model(PoolId, ModelId),
    /// A route whose requests name no model.
    Route(RouteId),
}

/// A straight line through what was seen: milliseconds over thousands of tokens.
#[derive(Clone, Copy, Debug)]
struct Line {
    weight: f64,
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
    /// How far answers were from the line, in milliseconds, as a running mean.
    off: f64,
}

impl Default for Line {
    fn default() -> Self {
        let mut line = Line {
            weight: 0.0,
            x: 0.0,
            y: 0.0,
            xx: 0.0,
            xy: 0.0,
            off: PRIOR_OFF,
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

    fn fade(&mut self) {
        let kept = 1.0 - 1.0 / OVER;
        for sum in [
            &mut self.weight,
            &mut self.x,
            &mut self.y,
            &mut self.xx,
            &mut self.xy,
        ] {
            *sum *= kept;
        }
    }

    /// Returns what a thousand tokens take. Where all prompts are about as long, it stays
    /// near what was assumed.
    fn slope(&self) -> f64 {
        let spread = self.xx - self.x * self.x / self.weight;
        let together = self.xy - self.x * self.y / self.weight;
        let slope = (together + PRIOR_SLOPE * PRIOR_HOLD) / (spread + PRIOR_HOLD);
        slope.max(0.0)
    }

    fn at(&self, x: f64) -> f64 {
        let slope = self.slope();
        let base = (self.y - slope * self.x) / self.weight;
        base.max(0.0) + slope * x
    }
}

/// How long answers take to begin, by what is asked.
#[derive(Clone, Debug, Default)]
pub struct Estimator(HashMap<Workload, Line>);

impl Estimator {
    /// Returns the time to the beginning of an answer whose upstream has this many
    /// tokens to read and nothing else to do first.
    pub fn estimate(&self, subject: &Workload, tokens: u32) -> Span {
        let line = self.0.get(subject).copied().unwrap_or_default();
        span(line.at(thousands(tokens)))
    }

    /// Returns how many tokens of a prompt are read a second.
    pub fn rate(&self, subject: &Workload) -> Rate {
        let line = self.0.get(subject).copied().unwrap_or_default();
        Rate::from_per_second(1e6 / line.slope().max(LEAST_SLOPE))
    }

    /// Returns how long an answer that is expected to begin after this time is waited for
    /// before its upstream is taken to have stalled.
    pub fn stall_timeout(&self, subject: &Workload, expected: Span) -> Span {
        let off = self.0.get(subject).map_or(PRIOR_OFF, |line| line.off);
        let usual = expected + span(off * PATIENCE_OFF);
        let slow = Span::from_secs_f64(expected.secs_f64() * PATIENCE_TIMES);
        usual.max(slow).max(PATIENCE_LEAST)
    }

    /// Notes how long an answer took to begin. `behind` is the part that is put down to
    /// what the upstream had to do first.
    pub fn record(&mut self, subject: &Workload, tokens: u32, behind: Span, took: Span) {
        let line = self.0.entry(subject.clone()).or_default();
        let x = thousands(tokens);
        let at = line.at(x);
        let far = at * FAR_TIMES + FAR_BEYOND;
        let own = (took - behind).secs_f64() * 1e3;
        line.off += ((own - at).abs() - line.off) / OVER;
        line.fade();
        line.add(x, own.min(far), 1.0);
    }
}

fn thousands(tokens: u32) -> f64 {
    f64::from(tokens) / 1e3
}

fn span(millis: f64) -> Span {
    Span::from_secs_f64(millis / 1e3)
}
