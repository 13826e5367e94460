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
pub struct Quality(Arc<Mutex<HashMap<String, Skill>>>);

impl Quality {
    fn skills(&self) -> MutexGuard<'_, HashMap<String, Skill>> {
        self.0.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Sets how good a version is from now on.
    pub fn set(&self, version: &str, skill: Skill) {
        self.skills().insert(version.to_owned(), skill);
    }

    /// Returns the chance that a version's answer to a prompt is good.
    pub fn chance(&self, version: &str, seed: u64) -> f64 {
        let skill = self.skills().get(version).copied();
        match skill.unwrap_or(Skill::Flat(0.95)) {
            Skill::Flat(chance) => chance,
            Skill::Graded(skill) => {
                let difficulty = text::unit("difficulty", seed);
                1.0 / (1.0 + (-(skill - difficulty) * STEEPNESS).exp())
            }
        }
    }

    /// Returns the rating of a version's answer to a prompt: 1 or 0.
    pub fn score(&self, version: &str, seed: u64) -> f64 {
        let good = text::unit(version, seed) < self.chance(version, seed);
        f64::from(u8::from(good))
    }

    /// Returns how sure a version is of its answer to a prompt.
    pub fn confidence(&self, version: &str, seed: u64) -> f64 {
        let noise = text::unit("confidence", seed) + text::unit("confidence too", seed) - 1.0;
        let sure = self.chance(version, seed) + 2.0 * CONFIDENCE_NOISE * noise;
        sure.clamp(0.01, 0.99)
    }
}
