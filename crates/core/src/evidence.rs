//! Evidence about a version and the sequential test that holds back a bad one.
//!
//! The test bets against the claim "this version is good". For ratings `x` in
//! `[0, 1]` and a floor `m`, the capital `Π (1 + λ (m - x))` cannot be expected
//! to grow while the mean is at least `m`, so it exceeds `1 / α` with a chance
//! of at most `α`, *however often one looks* (Ville's inequality). Several
//! stakes `λ` are played side by side and their mean capital counts. The logs of
//! the capitals are sums over ratings, so entries pool their evidence by adding
//! vectors.
//!
//! A version that turns bad long after is found by the same bets restarted
//! whenever the capital falls below one, with a higher bar.
//!
//! ```
//! use sorreldeck::evidence::{Thresholds, Detector, Evidence};
//!
//! let bar = Thresholds { floor: 0.8, bad_mean: 0.5, max_error: 0.05, false_alarm: 0.01 };
//! let mut evidence = Evidence::default();
//! let mut detector = Detector::default();
//! for _ in 0..40 {
//!     evidence.rate(0.3, &bar);
//!     detector.update(&evidence, &bar);
//! }
//! assert!(detector.is_bad());
//! ```

use serde::{Deserialize, Serialize};

/// The number of stakes played side by side.
const STAKES: usize = 4;
/// The stakes, as multiples of the one that gains most on a version that is
/// just as bad as must be caught, and the part of the capital put on each.
const STAKE_OF_BEST: [f64; STAKES] = [0.2, 0.5, 1.0, 1.4];
const CAPITAL_OF: [f64; STAKES] = [0.1, 0.2, 0.45, 0.25];
/// The largest stake, as a part of the one that can lose all.
const LARGEST: f64 = 0.9;
/// How many times the allowed share of failures must be caught.
const FAILING: f64 = 4.0;
/// The observations over which the restarted bets keep to the false-alarm rate.
const HORIZON: f64 = 2000.0;
/// How the chance of a false alarm is divided: over bets on ratings and on
/// failures, each from the start and restarted.
const QUALITY_PART: f64 = 0.6;
const FAILING_PART: f64 = 0.2;
const RESTARTED_PART: f64 = 0.1;

/// What tells a good version from a bad one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Thresholds {
    /// The least mean rating of a good version.
    pub floor: f64,
    /// The mean rating that must be caught.
    pub bad_mean: f64,
    /// The largest share of failed answers of a good version.
    pub max_error: f64,
    /// The chance that a good version is held back.
    pub false_alarm: f64,
}

/// What was found out about a version: sums that can be added up.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Evidence {
    /// The answers given.
    pub answers: u64,
    /// The answers that failed or began late.
    pub failures: u64,
    /// The ratings that came in.
    pub ratings: u64,
    /// The sum of the ratings.
    pub sum: f64,
    quality: [f64; STAKES],
    failing: [f64; STAKES],
}

impl Evidence {
    /// Counts an answer, good or failed.
    pub fn answer(&mut self, failed: bool, bar: &Thresholds) {
        self.answers += 1;
        self.failures += u64::from(failed);
        let x = if failed { 1.0 } else { 0.0 };
        let best = best_stake(1.0 - bar.max_error, 1.0 - FAILING * bar.max_error);
        bet(&mut self.failing, x - bar.max_error, bar.max_error, best);
    }

    /// Counts a rating between 0 and 1.
    pub fn rate(&mut self, rating: f64, bar: &Thresholds) {
        let rating = rating.clamp(0.0, 1.0);
        self.ratings += 1;
        self.sum += rating;
        let best = best_stake(bar.floor, bar.bad_mean);
        bet(&mut self.quality, bar.floor - rating, 1.0 - bar.floor, best);
    }

    /// Adds what another process found.
    pub fn merge(&mut self, other: &Evidence) {
        self.answers += other.answers;
        self.failures += other.failures;
        self.ratings += other.ratings;
        self.sum += other.sum;
        for i in 0..STAKES {
            self.quality[i] += other.quality[i];
            self.failing[i] += other.failing[i];
        }
    }

    /// Returns the mean rating, or `None` before the first.
    pub fn mean(&self) -> Option<f64> {
        (self.ratings > 0).then(|| self.sum / self.ratings as f64)
    }

    /// Returns the answers that were not rated yet.
    pub fn unrated(&self) -> u64 {
        (self.answers - self.failures.min(self.answers)).saturating_sub(self.ratings)
    }
}

/// Returns the stake that gains most when ratings of 0 and 1 have a mean of
/// `bad` though `floor` was claimed, known as the Kelly stake.
fn best_stake(floor: f64, bad: f64) -> f64 {
    (floor - bad.max(0.0)) / (floor * (1.0 - floor)).max(1e-3)
}

/// Adds the log of each stake's gain; `worst` is the largest possible loss of a
/// unit stake.
fn bet(logs: &mut [f64; STAKES], gain: f64, worst: f64, best: f64) {
    let largest = LARGEST / worst.max(1e-3);
    for (log, part) in logs.iter_mut().zip(STAKE_OF_BEST) {
        let stake = (part * best).min(largest);
        *log += (stake * gain).ln_1p();
    }
}

/// Returns the log of the capital over all stakes.
fn capital(logs: &[f64; STAKES]) -> f64 {
    let top = logs.iter().copied().fold(f64::MIN, f64::max);
    let parts = logs.iter().zip(CAPITAL_OF);
    let sum: f64 = parts.map(|(log, part)| part * (log - top).exp()).sum();
    top + sum.ln()
}

/// Decides from growing evidence whether a version is bad.
#[derive(Clone, Debug, Default)]
pub struct Detector {
    seen: Evidence,
    quality: [f64; STAKES],
    failing: [f64; STAKES],
    bad: bool,
}

impl Detector {
    /// Looks at the evidence as it now stands and returns whether the version
    /// is bad.
    pub fn update(&mut self, evidence: &Evidence, bar: &Thresholds) -> bool {
        let grown = evidence.ratings != self.seen.ratings || evidence.answers != self.seen.answers;
        if !grown {
            return self.bad;
        }
        restart(&mut self.quality, &evidence.quality, &self.seen.quality);
        restart(&mut self.failing, &evidence.failing, &self.seen.failing);
        self.seen = evidence.clone();
        let level = |part: f64| (1.0 / (part * bar.false_alarm)).ln();
        let later = level(RESTARTED_PART) + HORIZON.ln();
        self.bad |= capital(&evidence.quality) >= level(QUALITY_PART)
            || capital(&evidence.failing) >= level(FAILING_PART)
            || capital(&self.quality) >= later
            || capital(&self.failing) >= later;
        self.bad
    }

    /// Returns whether the version was found bad.
    pub fn is_bad(&self) -> bool {
        self.bad
    }
}

/// Plays on from what there was, but from one where it fell below.
fn restart(logs: &mut [f64; STAKES], now: &[f64; STAKES], before: &[f64; STAKES]) {
    for i in 0..STAKES {
        logs[i] = logs[i].max(0.0) + now[i] - before[i];
    }
}
