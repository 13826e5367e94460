//! Rating statistics of a version and the sequential test that detects a bad one.
//!
//! The test bets against the hypothesis "this version is good" (test by betting). For ratings `x`
//! in `[0, 1]` and a floor `m`, the capital `Π (1 + λ (m - x))` is not expected to grow while the
//! mean is at least `m`. It therefore exceeds `1 / α` with a probability of at most `α`, *however
//! often it is checked* (Ville's inequality). Several stakes `λ` run in parallel and their weighted
//! mean capital counts. The logarithms of the capitals are sums over ratings, so entries pool their
//! evidence by adding vectors.
//!
//! To detect a version that turns bad much later, the same bets also run in a second copy, which
//! restarts whenever its capital falls below one and has a higher detection threshold.
//!
//! ```
//! use sorreldeck::evidence::{Thresholds, Detector, Evidence};
//!
//! let thresholds = Thresholds { floor: 0.8, bad_mean: 0.5, max_error: 0.05, false_alarm: 0.01 };
//! let mut evidence = Evidence::default();
//! let mut detector = Detector::default();
//! for _ in 0..40 {
//!     evidence.rate(0.3, &thresholds);
//!     detector.update(&evidence, &thresholds);
//! }
//! assert!(detector.is_bad());
//! ```

use serde::{Deserialize, Serialize};

/// The number of stakes that run in parallel.
const STAKES: usize = 4;
/// The stakes, as multiples of the stake that grows fastest on a version at the mean rating that
/// must be detected, and the share of the capital put on each.
const STAKE_FACTORS: [f64; STAKES] = [0.2, 0.5, 1.0, 1.4];
const CAPITAL_SHARES: [f64; STAKES] = [0.1, 0.2, 0.45, 0.25];
/// The largest stake, as a fraction of the stake that could lose the whole capital.
const MAX_STAKE: f64 = 0.9;
/// The multiple of the allowed failure share that must be detected.
const FAILURE_FACTOR: f64 = 4.0;
/// The number of observations over which the restarted bets keep to the false-alarm rate.
const HORIZON: f64 = 2000.0;
/// The division of the false-alarm probability over the bets on ratings, the bets on failures and
/// each of the two restarted copies.
const QUALITY_SHARE: f64 = 0.6;
const FAILING_SHARE: f64 = 0.2;
const RESTARTED_SHARE: f64 = 0.1;

/// The limits that separate a good version from a bad one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Thresholds {
    /// The lowest mean rating of a good version.
    pub floor: f64,
    /// The mean rating that must be detected as bad.
    pub bad_mean: f64,
    /// The largest share of failed answers of a good version.
    pub max_error: f64,
    /// The probability that a good version is held back.
    pub false_alarm: f64,
}

/// Statistics of a version as sums, which can be merged across processes.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Evidence {
    /// The answers given.
    pub answers: u64,
    /// The answers that failed or started late.
    pub failures: u64,
    /// The ratings received.
    pub ratings: u64,
    /// The sum of the ratings.
    pub sum: f64,
    quality: [f64; STAKES],
    failing: [f64; STAKES],
}

impl Evidence {
    /// Counts an answer, whether it succeeded or failed.
    pub fn answer(&mut self, failed: bool, thresholds: &Thresholds) {
        self.answers += 1;
        self.failures += u64::from(failed);
        let x = if failed { 1.0 } else { 0.0 };
        let best = best_stake(
            1.0 - thresholds.max_error,
            1.0 - FAILURE_FACTOR * thresholds.max_error,
        );
        bet(
            &mut self.failing,
            x - thresholds.max_error,
            thresholds.max_error,
            best,
        );
    }

    /// Counts a rating between 0 and 1.
    pub fn rate(&mut self, rating: f64, thresholds: &Thresholds) {
        let rating = rating.clamp(0.0, 1.0);
        self.ratings += 1;
        self.sum += rating;
        let best = best_stake(thresholds.floor, thresholds.bad_mean);
        bet(
            &mut self.quality,
            thresholds.floor - rating,
            1.0 - thresholds.floor,
            best,
        );
    }

    /// Merges the evidence of another process.
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

    /// Returns the mean rating, or `None` if there are no ratings.
    pub fn mean(&self) -> Option<f64> {
        (self.ratings > 0).then(|| self.sum / self.ratings as f64)
    }

    /// Returns the number of successful answers without a rating.
    pub fn unrated(&self) -> u64 {
        (self.answers - self.failures.min(self.answers)).saturating_sub(self.ratings)
    }
}

/// Returns the Kelly stake: the stake with the fastest growth when ratings of 0 and 1 have a mean
/// of `bad` instead of `floor`.
fn best_stake(floor: f64, bad: f64) -> f64 {
    (floor - bad.max(0.0)) / (floor * (1.0 - floor)).max(1e-3)
}

/// Adds the logarithm of each stake's gain; `worst` is the largest possible loss of a unit stake.
fn bet(logs: &mut [f64; STAKES], gain: f64, worst: f64, best: f64) {
    let largest = MAX_STAKE / worst.max(1e-3);
    for (log, part) in logs.iter_mut().zip(STAKE_FACTORS) {
        let stake = (part * best).min(largest);
        *log += (stake * gain).ln_1p();
    }
}

/// Returns the logarithm of the weighted capital over all stakes.
fn capital(logs: &[f64; STAKES]) -> f64 {
    let top = logs.iter().copied().fold(f64::MIN, f64::max);
    let parts = logs.iter().zip(CAPITAL_SHARES);
    let sum: f64 = parts.map(|(log, part)| part * (log - top).exp()).sum();
    top + sum.ln()
}

/// Decides from accumulating evidence whether a version is bad.
#[derive(Clone, Debug, Default)]
pub struct Detector {
    previous: Evidence,
    quality: [f64; STAKES],
    failing: [f64; STAKES],
    bad: bool,
}

impl Detector {
    /// Updates the decision with the evidence so far and returns whether the version is bad.
    pub fn update(&mut self, evidence: &Evidence, thresholds: &Thresholds) -> bool {
        let has_grown =
            evidence.ratings != self.previous.ratings || evidence.answers != self.previous.answers;
        if !has_grown {
            return self.bad;
        }
        restart(&mut self.quality, &evidence.quality, &self.previous.quality);
        restart(&mut self.failing, &evidence.failing, &self.previous.failing);
        self.previous = evidence.clone();
        let level = |part: f64| (1.0 / (part * thresholds.false_alarm)).ln();
        let restarted_level = level(RESTARTED_SHARE) + HORIZON.ln();
        self.bad |= capital(&evidence.quality) >= level(QUALITY_SHARE)
            || capital(&evidence.failing) >= level(FAILING_SHARE)
            || capital(&self.quality) >= restarted_level
            || capital(&self.failing) >= restarted_level;
        self.bad
    }

    /// Returns whether the version was detected as bad.
    pub fn is_bad(&self) -> bool {
        self.bad
    }
}

/// Adds the growth since `before`, restarting at a capital of one where it fell below.
fn restart(logs: &mut [f64; STAKES], now: &[f64; STAKES], before: &[f64; STAKES]) {
    for i in 0..STAKES {
        logs[i] = logs[i].max(0.0) + now[i] - before[i];
    }
}
