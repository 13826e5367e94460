//! How close the upstreams of a pool are to being overloaded, as callers feel it.
//!
//! The measure is the time that runs take to begin, in parts of the time within
//! which they ought to. While there is spare capacity an unsure answer of a small
//! model is worth asking a larger one; when there is none, the larger model's
//! work is what makes everybody late.
//!
//! ```
//! use sorreldeck::saturation::Tracker;
//! use sorreldeck::Span;
//!
//! let mut strains = Tracker::default();
//! let pool: sorreldeck::PoolId = "assistant".parse()?;
//! assert_eq!(strains.headroom(&pool), 1.0);
//! for _ in 0..200 {
//!     strains.record(&pool, Span::from_millis(3_000), Span::from_millis(2_000));
//! }
//! assert_eq!(strains.headroom(&pool), 0.0);
//! # Ok::<(), sorreldeck::Error>(())
//! ```

use crate::id::PoolId;
use crate::unit::Span;
use std::collections::BTreeMap;

/// The part of the objective that runs take to begin up to which nothing is
/// strained: on quiet days of both sites the mean is 0.1 to 0.2.
const CALM: f64 = 0.25;
/// The part from which on nothing is spare: 0.60 and 0.75 were tried on days of both
/// grown sites, where 0.60 earned a little more under load.
const FULL: f64 = 0.6;
/// How much one run counts: an entry sees some 40 a second.
const WEIGHT: f64 = 1.0 / 32.0;
/// How much one run counts for what is usual: some 25 s of an entry.
const USUAL_WEIGHT: f64 = 1.0 / 256.0;
/// The most that one run counts as, so that one that waited for its whole
/// deadline does not outweigh all others.
const MOST: f64 = 2.0;

/// How strained each pool is.
#[derive(Clone, Debug, Default)]
pub struct Tracker(BTreeMap<PoolId, Strain>);

/// The mean part of the objective that runs take to begin.
#[derive(Clone, Copy, Debug)]
struct Strain {
    /// Of the latest runs.
    now: f64,
    /// Over a long time.
    usual: f64,
}

impl Default for Strain {
    fn default() -> Self {
        Strain {
            now: 0.0,
            usual: CALM,
        }
    }
}

impl Tracker {
    /// Notes how long a run took to begin.
    pub fn record(&mut self, pool: &PoolId, waited: Span, objective: Span) {
        let part = waited.secs_f64() / objective.secs_f64().max(1e-3);
        let part = part.min(MOST);
        let strain = self.0.entry(pool.clone()).or_default();
        strain.now += WEIGHT * (part - strain.now);
        strain.usual += USUAL_WEIGHT * (part - strain.usual);
    }

    /// Returns the mean part of the objective that runs take to begin.
    pub fn level(&self, pool: &PoolId) -> f64 {
        self.0.get(pool).map_or(0.0, |strain| strain.now)
    }

    /// Returns how many times as much as on a calm day the time that answers take to begin
    /// usually matters: the nearer they are to being late, the more is a second worth.
    pub fn latency_weight(&self, pool: &PoolId) -> f64 {
        let strain = self.0.get(pool).copied().unwrap_or_default();
        strain.usual / CALM
    }

    /// Returns how much is spare, from 0 to 1.
    pub fn headroom(&self, pool: &PoolId) -> f64 {
        ((FULL - self.level(pool)) / (FULL - CALM)).clamp(0.0, 1.0)
    }
}
