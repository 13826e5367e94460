//! A budget that keeps retries a share of traffic.
//!
//! ```
//! use sorreldeck::retry::Budget;
//!
//! let mut budget = Budget::default();
//! while budget.spend() {}
//! for _ in 0..5 {
//!     budget.earn();
//! }
//! assert!(budget.spend());
//! assert!(!budget.spend());
//! ```

use crate::unit::Share;

/// What each request adds to the budget, in retries, unless set otherwise.
pub const SHARE: Share = Share::FIFTH;
/// The most retries that can be saved up.
const CAP: f64 = 20.0;

/// A budget of retries, filled by requests.
#[derive(Clone, Debug)]
pub struct Budget {
    saved: f64,
    earned: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Budget::new(SHARE)
    }
}

impl Budget {
    /// Creates a full budget that allows this share of requests to be sent once
    /// more.
    pub fn new(share: Share) -> Budget {
        Budget {
            saved: CAP,
            earned: share.fraction(),
        }
    }

    /// Counts a request.
    pub fn earn(&mut self) {
        self.saved = (self.saved + self.earned).min(CAP);
    }

    /// Returns whether there is a retry in the budget.
    pub fn has_one(&self) -> bool {
        // The sums of shares are inexact, so one retry may fall a hair short.
        self.saved >= 1.0 - 1e-9
    }

    /// Takes a retry from the budget; returns whether there was one.
    pub fn spend(&mut self) -> bool {
        let enough = self.has_one();
        if enough {
            self.saved -= 1.0;
        }
        enough
    }
}
