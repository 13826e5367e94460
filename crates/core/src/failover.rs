//! Whether asking another upstream helps after an error.
//!
//! An upstream that answers with an error may have been asked for what cannot be answered, may
//! have had a bad moment, or may be broken. Nobody says which, and it differs from one service to the
//! next. So an entry counts, for each pool and route, how often another upstream then answered
//! well, and asks again as long as that pays; where it does not, it tries now and then.
//!
//! ```
//! use sorreldeck::failover::Outcomes;
//!
//! let mut merits = Outcomes::default();
//! let (pool, route) = ("roster".parse()?, "look".parse()?);
//! assert!(merits.should_retry(&pool, &route));
//! for _ in 0..200 {
//!     merits.record(&pool, &route, false);
//! }
//! let asked = (0..160).filter(|_| merits.should_retry(&pool, &route));
//! assert_eq!(asked.count(), 10);
//! # Ok::<(), sorreldeck::Error>(())
//! ```

use crate::id::{PoolId, RouteId};
use std::collections::HashMap;

/// The share of repeats that are taken to help until some were tried.
const PRIOR: f64 = 0.5;
/// How much one repeat counts: 21 entries see some 40 errors of a service in a minute each.
const WEIGHT: f64 = 1.0 / 16.0;
/// The share from which on asking again pays. A repeat costs its service one more run, and its
/// caller waits some 20 ms longer for an answer that is an error all the same.
const PAYS: f64 = 0.1;
/// Of how many errors one is asked again where it does not pay, to see whether it does now.
const TRIED: u32 = 16;

/// How often asking again helped, by pool and route.
#[derive(Clone, Debug, Default)]
pub struct Outcomes(HashMap<(PoolId, RouteId), Merit>);

#[derive(Clone, Copy, Debug)]
struct Merit {
    helped: f64,
    passed: u32,
}

impl Default for Merit {
    fn default() -> Self {
        Merit {
            helped: PRIOR,
            passed: 0,
        }
    }
}

impl Outcomes {
    /// Returns whether a request that an upstream answered with an error is sent to another one.
    pub fn should_retry(&mut self, pool: &PoolId, route: &RouteId) -> bool {
        let merit = self.0.entry((pool.clone(), route.clone())).or_default();
        if merit.helped >= PAYS {
            return true;
        }
        merit.passed = (merit.passed + 1) % TRIED;
        merit.passed == 0
    }

    /// Notes whether another upstream answered well.
    pub fn record(&mut self, pool: &PoolId, route: &RouteId, helped: bool) {
        let merit = self.0.entry((pool.clone(), route.clone())).or_default();
        merit.helped += WEIGHT * (f64::from(u8::from(helped)) - merit.helped);
    }
}
