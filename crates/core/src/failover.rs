//! Whether a retry on another upstream is worthwhile after an upstream returned an error.
//!
//! An error may be caused by the request, by a temporary fault or by a broken upstream. The answer
//! does not say which, and the mix differs between services. An entry therefore tracks, for each
//! pool and route, how often a retry on another upstream succeeded. It retries while the success
//! rate is high enough and otherwise only probes occasionally.
//!
//! ```
//! use sorreldeck::failover::Outcomes;
//!
//! let mut outcomes = Outcomes::default();
//! let (pool, route) = ("roster".parse()?, "look".parse()?);
//! assert!(outcomes.should_retry(&pool, &route));
//! for _ in 0..200 {
//!     outcomes.record(&pool, &route, false);
//! }
//! let retried = (0..160).filter(|_| outcomes.should_retry(&pool, &route));
//! assert_eq!(retried.count(), 10);
//! # Ok::<(), sorreldeck::Error>(())
//! ```

use crate::id::{PoolId, RouteId};
use std::collections::HashMap;

/// The success rate assumed before any retry.
const PRIOR: f64 = 0.5;
/// The weight of one retry in the moving average. With 21 entries, each sees about 40 errors of a
/// service per minute.
const WEIGHT: f64 = 1.0 / 16.0;
/// The lowest success rate at which retries are worthwhile. A retry costs the service one more run,
/// and a caller whose retry fails waits about 20 ms longer for the error.
const MIN_SUCCESS_RATE: f64 = 0.1;
/// The number of errors per probing retry while the success rate is too low.
const PROBE_INTERVAL: u32 = 16;

/// The success rates of retries, by pool and route.
#[derive(Clone, Debug, Default)]
pub struct Outcomes(HashMap<(PoolId, RouteId), Stats>);

#[derive(Clone, Copy, Debug)]
struct Stats {
    success_rate: f64,
    skipped: u32,
}

impl Default for Stats {
    fn default() -> Self {
        Stats {
            success_rate: PRIOR,
            skipped: 0,
        }
    }
}

impl Outcomes {
    /// Returns whether to retry on another upstream after an error.
    pub fn should_retry(&mut self, pool: &PoolId, route: &RouteId) -> bool {
        let stats = self.0.entry((pool.clone(), route.clone())).or_default();
        if stats.success_rate >= MIN_SUCCESS_RATE {
            return true;
        }
        stats.skipped = (stats.skipped + 1) % PROBE_INTERVAL;
        stats.skipped == 0
    }

    /// Records whether a retry on another upstream succeeded.
    pub fn record(&mut self, pool: &PoolId, route: &RouteId, succeeded: bool) {
        let stats = self.0.entry((pool.clone(), route.clone())).or_default();
        stats.success_rate += WEIGHT * (f64::from(u8::from(succeeded)) - stats.success_rate);
    }
}
