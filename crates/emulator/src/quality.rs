//! The quality of versions, from which answers are rated and engines derive their confidence.
//!
//! ```
//! use sorreldeck_emulator::quality::{Quality, Skill};
//!
//! let quality = Quality::default();
//! quality.set("scribe-1", Skill::Flat(1.0));
//! assert_eq!(quality.score("scribe-1", 42), 1.0);
//! ```

use crate::text;
use std::collections::HashMap;
use std::str::FromStr;
use std::sync::{Arc, Mutex, MutexGuard};

/// Slope of the logistic curve from difficulty to the probability of a good answer.
const STEEPNESS: f64 = 10.0;
/// Scale of the noise in reported confidence; it stays below twice this value.
const CONFIDENCE_NOISE: f64 = 0.15;

/// The quality of a version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Skill {
    /// Every answer is good with this probability.
    Flat(f64),
    /// Answers are likely good where the request's difficulty, from 0 to 1, is below this value.
    Graded(f64),
}

impl Skill {
    /// Returns the probability that the answer to a prompt is good.
    fn probability(self, seed: u64) -> f64 {
        match self {
            Skill::Flat(probability) => probability,
            Skill::Graded(skill) => {
                let difficulty = text::unit("difficulty", seed);
                1.0 / (1.0 + (-(skill - difficulty) * STEEPNESS).exp())
            }
        }
    }
}

impl FromStr for Skill {
    type Err = String;

    /// Parses `0.9` as flat and `~0.6` as graded.
    fn from_str(s: &str) -> Result<Self, String> {
        let number = |s: &str| s.parse().map_err(|_| format!("{s:?} is not a skill"));
        match s.strip_prefix('~') {
            Some(rest) => number(rest).map(Skill::Graded),
            None => number(s).map(Skill::Flat),
        }
    }
}

/// The skills of all versions; clones share them.
#[derive(Clone, Debug, Default)]
pub struct Quality(Arc<Mutex<HashMap<String, Entry>>>);

/// The actual skill of a version and the skill its confidence is computed from. They differ
/// after a version became worse, because its reported confidence does not follow.
#[derive(Clone, Copy, Debug)]
struct Entry {
    actual: Skill,
    believed: Skill,
}

const DEFAULT: Skill = Skill::Flat(0.95);

impl Quality {
    fn skills(&self) -> MutexGuard<'_, HashMap<String, Entry>> {
        self.0.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Sets the skill of a version. The confidence it reports stays that of the first skill set.
    pub fn set(&self, version: &str, skill: Skill) {
        let first = Entry {
            actual: skill,
            believed: skill,
        };
        self.skills()
            .entry(version.to_owned())
            .or_insert(first)
            .actual = skill;
    }

    /// Returns the probability that a version's answer to a prompt is good.
    pub fn probability(&self, version: &str, seed: u64) -> f64 {
        let entry = self.skills().get(version).copied();
        entry.map_or(DEFAULT, |k| k.actual).probability(seed)
    }

    /// Returns the rating of a version's answer to a prompt: 1 if good, otherwise 0.
    pub fn score(&self, version: &str, seed: u64) -> f64 {
        let good = text::unit(version, seed) < self.probability(version, seed);
        f64::from(u8::from(good))
    }

    /// Returns the confidence that a version reports for its answer to a prompt.
    pub fn confidence(&self, version: &str, seed: u64) -> f64 {
        let noise = text::unit("confidence", seed) + text::unit("confidence too", seed) - 1.0;
        let entry = self.skills().get(version).copied();
        let probability = entry.map_or(DEFAULT, |k| k.believed).probability(seed);
        let confidence = probability + 2.0 * CONFIDENCE_NOISE * noise;
        confidence.clamp(0.01, 0.99)
    }
}
