//! Compares by rank how long the answers of two releases take to begin.
//!
//! Counts of answers beyond a limit say little where a release is a few times slower: most of its
//! answers stay within the limit. The ranks use every answer. Only answers that were expected to
//! take equally long are compared: on few upstreams with cold caches a release has more long ones
//! than the old release, and these take another multiple of their time than short ones.

use super::schedule::Stage;
use super::Answer;
use crate::unit::Span;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The classes of ratios to the expected time, per doubling.
const RATIOS_PER_DOUBLING: f64 = 3.0;
/// The classes of expected times, per doubling.
const LENGTHS_PER_DOUBLING: f64 = 2.0;
/// The shortest expected time that is distinguished.
const SHORTEST: Span = Span::from_millis(8);
/// The stages of a trial.
const STAGES: usize = 4;
/// The answers of the old release that a class of expected times needs to be compared.
const MIN_OLD: u32 = 8;
/// The probability that an answer takes longer to begin, above which a release is slow. A release
/// as good as the old one comes near it, because the caches of its upstreams are cold.
const SLOW_PROBABILITY: f64 = 0.72;
/// The answers from which on the probability counts as known.
const ENOUGH_ANSWERS: u64 = 40;
/// The probability above which a release is not completed where the trial ends without certainty.
const LAST_PROBABILITY: f64 = 0.75;
/// The standard errors by which a release must exceed [`SLOW_PROBABILITY`] to be found bad at any
/// time, and to be doubtful.
const BAD_ERRORS: f64 = 2.5;
const DOUBTFUL_ERRORS: f64 = 1.0;
/// The standard errors by which one as good as the old must stay below [`SLOW_PROBABILITY`].
const SOUND_ERRORS: f64 = 0.5;

/// The answers of one release: how many by stage, and those that are compared by class.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Starts {
    answers: [u32; STAGES],
    /// By class of expected times and then of ratios to them.
    classes: BTreeMap<(i8, i8), u32>,
}

/// How long an answer took to begin.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Start {
    expected: Span,
    took: Span,
}

impl Starts {
    /// Records an answer to a request that was sent in a stage and its start, if it began. Starts of
    /// the loaded stage are not compared.
    pub fn record(&mut self, stage: Stage, start: Option<Start>) {
        let Some(answers) = self.answers.get_mut(stage as usize) else {
            return;
        };
        *answers += 1;
        if let Some(start) = start.filter(|_| stage != Stage::Loaded) {
            *self.classes.entry(start.class()).or_default() += 1;
        }
    }

    /// Adds the answers that another entry counted.
    pub fn add(&mut self, other: &Starts) {
        for (sum, n) in self.answers.iter_mut().zip(&other.answers) {
            *sum += n;
        }
        for (class, n) in &other.classes {
            *self.classes.entry(*class).or_default() += n;
        }
    }

    /// Returns the number of answers, and of those from the loaded stage on.
    pub fn counts(&self) -> (u64, u64) {
        let sum = |answers: &[u32]| answers.iter().map(|n| u64::from(*n)).sum();
        (
            sum(&self.answers),
            sum(&self.answers[Stage::Loaded as usize..]),
        )
    }

    /// Returns the counts of ratios in a class of expected times, in ascending order.
    fn of_length(&self, length: i8) -> impl Iterator<Item = (i8, u32)> + '_ {
        let range = (length, i8::MIN)..=(length, i8::MAX);
        let counts = self.classes.range(range);
        counts.map(|((_, ratio), n)| (*ratio, *n))
    }
}

impl Start {
    /// Returns the start of an answer, if it did not fail.
    pub fn of(answer: &Answer) -> Option<Start> {
        Some(Start {
            expected: answer.expected,
            took: answer.ttft?,
        })
    }

    /// Returns the class of the expected time and that of the ratio.
    fn class(&self) -> (i8, i8) {
        let expected = self.expected.max(SHORTEST).secs_f64();
        let length = (expected / SHORTEST.secs_f64()).log2() * LENGTHS_PER_DOUBLING;
        let took = self.took.max(SHORTEST).secs_f64();
        let ratio = (took / expected).log2() * RATIOS_PER_DOUBLING;
        (length as i8, ratio.floor() as i8)
    }
}

/// How often an answer of the new release takes longer to begin than one of the old release.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Slower {
    /// The probability for a random answer of each; 0.5 for equal releases.
    pub probability: f64,
    /// Its standard error.
    pub error: f64,
    /// The answers of the new release.
    pub answers: u64,
}

impl Slower {
    /// Returns whether the release is slow beyond doubt.
    pub fn is_bad(&self) -> bool {
        self.probability - BAD_ERRORS * self.error > SLOW_PROBABILITY
    }

    /// Returns whether the release seems slow over enough answers.
    pub fn is_doubtful(&self) -> bool {
        self.answers >= ENOUGH_ANSWERS
            && self.probability - DOUBTFUL_ERRORS * self.error > SLOW_PROBABILITY
    }

    /// Returns whether the release is rather slow than not.
    pub fn seems_slow(&self) -> bool {
        self.probability > LAST_PROBABILITY
    }

    /// Returns whether the release seems as fast as the old one.
    pub fn is_sound(&self) -> bool {
        self.probability + SOUND_ERRORS * self.error < SLOW_PROBABILITY
    }

    /// Compares the times of two releases, or returns `None` if no class has enough answers.
    pub fn of(old: &Starts, new: &Starts) -> Option<Slower> {
        let mut lengths: Vec<i8> = new.classes.keys().map(|(length, _)| *length).collect();
        lengths.dedup();
        let compared = lengths
            .into_iter()
            .filter_map(|length| Slower::of_length(old, new, length));
        let (mut answers, mut sum, mut variance) = (0, 0.0, 0.0);
        for class in compared {
            let weight = class.answers as f64;
            answers += class.answers;
            sum += weight * class.probability;
            variance += (weight * class.error).powi(2);
        }
        let all = answers as f64;
        (answers > 0).then(|| Slower {
            probability: sum / all,
            error: variance.sqrt() / all,
            answers,
        })
    }

    /// Compares the answers of one class of expected times (the statistic of Mann and Whitney).
    fn of_length(old: &Starts, new: &Starts, length: i8) -> Option<Slower> {
        let total = |starts: &Starts| starts.of_length(length).map(|(_, n)| n).sum::<u32>();
        let (n_old, n_new) = (total(old), total(new));
        if n_old < MIN_OLD || n_new == 0 {
            return None;
        }
        let pairs = new.of_length(length).map(|(ratio, n)| {
            let below = old.of_length(length).take_while(|(r, _)| *r <= ratio);
            let weight = |(r, n): (i8, u32)| f64::from(n) * if r < ratio { 1.0 } else { 0.5 };
            f64::from(n) * below.map(weight).sum::<f64>()
        });
        let pairs: f64 = pairs.sum();
        let (n_old, n_new) = (f64::from(n_old), f64::from(n_new));
        Some(Slower {
            probability: pairs / (n_old * n_new),
            error: ((n_old + n_new + 1.0) / (12.0 * n_old * n_new)).sqrt(),
            answers: n_new as u64,
        })
    }
}
