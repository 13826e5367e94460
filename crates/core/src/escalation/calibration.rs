//! How the confidences of right and of wrong answers are spread.
//!
//! A model's confidence is its own rough opinion, and nobody tells whether an answer was right. The
//! largest model is nearly always right, so its confidences show how those of right answers are
//! spread. The part of a smaller model's confidences that is spread in this way counts as right; the
//! rest shows how those of its wrong answers are spread.

use super::average;
use crate::unit::Time;
use crate::wire::Confidence;

/// The number of bands of equal width.
pub(super) const BANDS: usize = 10;
/// The mean confidence of right and of wrong answers before any is recorded, and the deviation of
/// both. An answer is as likely right as wrong at the middle of the thresholds of pools that are not
/// contended.
const PRIOR_RIGHT: f64 = 0.6;
const PRIOR_WRONG: f64 = 0.2;
const PRIOR_DEVIATION: f64 = 0.2;
/// The number of answers as which a prior spread counts.
const PRIOR_WEIGHT: f64 = 10.0;
/// The least share of right answers at and above a band that is compared; fewer are too scattered.
const MIN_SHARE: f64 = 0.3;

/// The number of answers in each band, with the age of the latest.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Calibration {
    counts: [f64; BANDS],
    at: Time,
}

/// How the confidences of a model are spread over the bands, each adding up to 1.
#[derive(Clone, Copy, Debug)]
pub(super) struct Spread {
    right: [f64; BANDS],
    wrong: [f64; BANDS],
}

impl Calibration {
    /// Records the confidence of an answer.
    pub fn record(&mut self, confidence: Confidence, now: Time) {
        self.counts = self.counts(now);
        self.counts[band(confidence)] += 1.0;
        self.at = now;
    }

    fn counts(&self, now: Time) -> [f64; BANDS] {
        let kept = average::weight(now.since(self.at));
        self.counts.map(|count| count * kept)
    }
}

impl Spread {
    /// Returns the spread of a model's confidences from all its answers and those of the largest
    /// model.
    pub fn new(model: Option<&Calibration>, largest: Option<&Calibration>, now: Time) -> Spread {
        let counts = |of: Option<&Calibration>| of.copied().unwrap_or_default().counts(now);
        let known = add(counts(largest), prior(PRIOR_RIGHT));
        let right = normalize(known);
        let all = counts(model);
        let sum: f64 = all.iter().sum();
        let quality = quality(&all, &known);
        let rest = std::array::from_fn(|band| (all[band] - quality * sum * right[band]).max(0.0));
        let wrong = normalize(add(rest, prior(PRIOR_WRONG)));
        Spread { right, wrong }
    }

    /// Returns the probability that an answer of this confidence is right, for a model that answers
    /// this share of requests rightly.
    pub fn posterior(&self, quality: f64, confidence: Confidence) -> f64 {
        let (right, all) = self.band(quality, band(confidence));
        right / all.max(f64::MIN_POSITIVE)
    }

    /// Returns for each band the share of answers that are right and fall into it, and that of all
    /// that fall into it.
    pub fn bands(&self, quality: f64) -> impl Iterator<Item = (f64, f64)> + '_ {
        (0..BANDS).map(move |index| self.band(quality, index))
    }

    fn band(&self, quality: f64, index: usize) -> (f64, f64) {
        let right = quality * self.right[index];
        (right, right + (1.0 - quality) * self.wrong[index])
    }
}

fn band(confidence: Confidence) -> usize {
    ((confidence.0 * BANDS as f64) as usize).min(BANDS - 1)
}

/// Returns the largest share of answers that may be right, given how many known to be right fall into
/// each band. Ratios of few answers scatter, so each counts as one standard error higher.
fn quality(all: &[f64; BANDS], right: &[f64; BANDS]) -> f64 {
    let above = |counts: &[f64; BANDS], band: usize| counts[band..].iter().sum::<f64>();
    let (all_sum, right_sum) = (above(all, 0), above(right, 0));
    let ratio = |band| {
        let (all, right) = (above(all, band), above(right, band));
        let error = (1.0 / all.max(1.0) + 1.0 / right - 1.0 / right_sum).sqrt();
        (right >= MIN_SHARE * right_sum)
            .then(|| all / all_sum.max(1.0) / (right / right_sum) * (1.0 + error))
    };
    (0..BANDS).filter_map(ratio).fold(1.0, f64::min)
}

fn prior(mean: f64) -> [f64; BANDS] {
    let density = |band| {
        let middle = (band as f64 + 0.5) / BANDS as f64;
        let deviations: f64 = (middle - mean) / PRIOR_DEVIATION;
        (-deviations * deviations / 2.0).exp()
    };
    normalize(std::array::from_fn(density)).map(|share| share * PRIOR_WEIGHT)
}

fn add(mut left: [f64; BANDS], right: [f64; BANDS]) -> [f64; BANDS] {
    for (sum, more) in left.iter_mut().zip(right) {
        *sum += more;
    }
    left
}

fn normalize(counts: [f64; BANDS]) -> [f64; BANDS] {
    let sum: f64 = counts.iter().sum();
    counts.map(|count| count / sum)
}
