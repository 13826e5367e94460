//! Measures how close the upstreams of a pool are to overload.
//!
//! The saturation level is the time that runs take to start, as a fraction of the objective for it.
//! While capacity is spare, it is worth querying a larger model when the answer of a small one is
//! uncertain. Without spare capacity, the additional work of the larger model delays all requests.
//!
//! ```
//! use sorreldeck::saturation::Tracker;
//! use sorreldeck::Span;
//!
//! let mut tracker = Tracker::default();
//! let pool: sorreldeck::PoolId = "assistant".parse()?;
//! assert_eq!(tracker.headroom(&pool), 1.0);
//! for _ in 0..200 {
//!     tracker.record(&pool, Span::from_millis(3_000), Span::from_millis(2_000));
//! }
//! assert_eq!(tracker.headroom(&pool), 0.0);
//! # Ok::<(), sorreldeck::Error>(())
//! ```

use crate::id::PoolId;
use crate::unit::Span;
use std::collections::BTreeMap;

/// The saturation level up to which the whole capacity counts as spare. On days with little load,
/// the mean level is 0.1 to 0.2.
const LOW_LEVEL: f64 = 0.25;
/// The saturation level from which no capacity counts as spare. At 0.75, queries of larger models
/// left too little headroom under load.
const HIGH_LEVEL: f64 = 0.6;
/// The weight of one run in the moving average of the current level; an entry sees about 40 runs
/// per second.
const WEIGHT: f64 = 1.0 / 32.0;
/// The weight of one run in the long-term average, which covers about 25 s of an entry's runs.
const LONG_TERM_WEIGHT: f64 = 1.0 / 256.0;
/// The highest level of one run, so that a run that waited for its whole deadline does not outweigh
/// all others.
const MAX_LEVEL: f64 = 2.0;

/// The saturation levels of all pools.
#[derive(Clone, Debug, Default)]
pub struct Tracker(BTreeMap<PoolId, Averages>);

/// The moving averages of the level of one pool.
#[derive(Clone, Copy, Debug)]
struct Averages {
    /// The current level.
    recent: f64,
    /// The long-term level.
    long_term: f64,
}

impl Default for Averages {
    fn default() -> Self {
        Averages {
            recent: 0.0,
            long_term: LOW_LEVEL,
        }
    }
}

impl Tracker {
    /// Records how long a run took to start.
    pub fn record(&mut self, pool: &PoolId, waited: Span, objective: Span) {
        let level = waited.secs_f64() / objective.secs_f64().max(1e-3);
        let level = level.min(MAX_LEVEL);
        let averages = self.0.entry(pool.clone()).or_default();
        averages.recent += WEIGHT * (level - averages.recent);
        averages.long_term += LONG_TERM_WEIGHT * (level - averages.long_term);
    }

    /// Returns the current saturation level.
    pub fn level(&self, pool: &PoolId) -> f64 {
        self.0.get(pool).map_or(0.0, |averages| averages.recent)
    }

    /// Returns how much latency matters, relative to low load. The closer answers usually are to
    /// missing their objective, the more a second is worth.
    pub fn latency_weight(&self, pool: &PoolId) -> f64 {
        let averages = self.0.get(pool).copied().unwrap_or_default();
        averages.long_term / LOW_LEVEL
    }

    /// Returns the spare capacity as a fraction from 0 to 1.
    pub fn headroom(&self, pool: &PoolId) -> f64 {
        ((HIGH_LEVEL - self.level(pool)) / (HIGH_LEVEL - LOW_LEVEL)).clamp(0.0, 1.0)
    }
}
