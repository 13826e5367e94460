//! How good versions are, for the service that rates answers and for the
//! confidence that engines report.
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

/// How steeply a graded version fails as requests get harder.
const STEEPNESS: f64 = 10.0;
/// How far the reported confidence is off.
const CONFIDENCE_NOISE: f64 = 0.15;

/// How good a version is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Skill {
    /// Every answer is good with this chance.
    Flat(f64),
    /// Answers are good while the request's difficulty, from 0 to 1, lies
    /// below this.
    Graded(f64),
}

impl Skill {
    /// Returns the chance that an answer to a prompt is good.
    fn chance(self, seed: u64) -> f64 {
        match self {
            Skill::Flat(chance) => chance,
            Skill::Graded(skill) => {
                let difficulty = text::unit("difficulty", seed);
                1.0 / (1.0 + (-(skill - difficulty) * STEEPNESS).exp())
            }
        }
    }
}

impl FromStr for Skill {
    type Err = String;

    /// Reads `0.9` as flat and `~0.6` as graded.
    fn from_str(s: &str) -> Result<Self, String> {
        let number = |s: &str| s.parse().map_err(|_| format!("{s:?} is no skill"));
        match s.strip_prefix('~') {
            Some(rest) => number(rest).map(Skill::Graded),
            None => number(s).map(Skill::Flat),
        }
    }
}

/// The skills of all versions; copies share them.
#[derive(Clone, Debug, Default)]
pub struct Quality(Arc<Mutex<HashMap<String, Known>>>);

/// A version's skill, and the one by which it judges its own answers: a version
/// that turns bad does not know it.
#[derive(Clone, Copy, Debug)]
struct Known {
    real: Skill,
    believed: Skill,
}

const USUAL: Skill = Skill::Flat(0.95);

impl Quality {
    fn skills(&self) -> MutexGuard<'_, HashMap<String, Known>> {
        self.0.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Sets how good a version is from now on. The first skill set is the one
    /// by which the version judges its own answers for good.
    pub fn set(&self, version: &str, skill: Skill) {
        let first = Known {
            real: skill,
            believed: skill,
        };
        self.skills()
            .entry(version.to_owned())
            .or_insert(first)
            .real = skill;
    }

    /// Returns the chance that a version's answer to a prompt is good.
    pub fn chance(&self, version: &str, seed: u64) -> f64 {
        let known = self.skills().get(version).copied();
        known.map_or(USUAL, |k| k.real).chance(seed)
    }

    /// Returns the rating of a version's answer to a prompt: 1 or 0.
    pub fn score(&self, version: &str, seed: u64) -> f64 {
        let good = text::unit(version, seed) < self.chance(version, seed);
        f64::from(u8::from(good))
    }

    /// Returns how sure a version is of its answer to a prompt.
    pub fn confidence(&self, version: &str, seed: u64) -> f64 {
        let noise = text::unit("confidence", seed) + text::unit("confidence too", seed) - 1.0;
        let known = self.skills().get(version).copied();
        let chance = known.map_or(USUAL, |k| k.believed).chance(seed);
        let sure = chance + 2.0 * CONFIDENCE_NOISE * noise;
        sure.clamp(0.01, 0.99)
    }
}
