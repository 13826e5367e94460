//! The probability that an answer is right, and how confidences are spread.
//!
//! A model's confidence is its own rough opinion, and nobody tells whether an answer was right, so
//! what a confidence stands for is fixed. How many answers of a model are right is learned from it.

use crate::wire::Confidence;

/// The number of bands of equal width into which confidences are divided.
const BANDS: usize = 10;
/// The mean confidence of right and of wrong answers and the deviation of both. An answer is as
/// likely right as wrong at a confidence of a half.
const RIGHT: f64 = 0.7;
const WRONG: f64 = 0.3;
const DEVIATION: f64 = 0.2;

/// Returns the probability that an answer of this confidence is right, where this share of the
/// requests was expected to be answered rightly; a half where nothing is known of the request.
pub(super) fn probability(expected: f64, confidence: Confidence) -> f64 {
    let right = expected * density(confidence.0, RIGHT);
    let wrong = (1.0 - expected) * density(confidence.0, WRONG);
    right / (right + wrong).max(f64::MIN_POSITIVE)
}

/// Returns for each band of confidence the share of a model's answers that fall into it, and the
/// probability that they are right.
pub(super) fn bands(quality: f64) -> impl Iterator<Item = (f64, f64)> {
    let middle = |band: usize| (band as f64 + 0.5) / BANDS as f64;
    let sum = |mean| -> f64 { (0..BANDS).map(|band| density(middle(band), mean)).sum() };
    let (all_right, all_wrong) = (sum(RIGHT), sum(WRONG));
    (0..BANDS).map(move |band| {
        let right = quality * density(middle(band), RIGHT) / all_right;
        let wrong = (1.0 - quality) * density(middle(band), WRONG) / all_wrong;
        (
            right + wrong,
            right / (right + wrong).max(f64::MIN_POSITIVE),
        )
    })
}

fn density(confidence: f64, mean: f64) -> f64 {
    let deviations = (confidence - mean) / DEVIATION;
    (-deviations * deviations / 2.0).exp()
}
