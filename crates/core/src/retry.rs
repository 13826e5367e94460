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

/// What each request adds to the budget, in retries.
const EARNED: f64 = 0.2;
/// The most retries that can be saved up.
const CAP: f64 = 20.0;

/// A budget of retries, filled by requests.
#[derive(Clone, Debug)]
pub struct Budget(f64);

impl Default for Budget {
    fn default() -> Self {
        Budget(CAP)
    }
}

impl Budget {
    /// Counts a request.
    pub fn earn(&mut self) {
        self.0 = (self.0 + EARNED).min(CAP);
    }

    /// Takes a retry from the budget; returns whether there was one.
    pub fn spend(&mut self) -> bool {
        // The sums of EARNED are inexact, so one retry may fall a hair short.
        let enough = self.0 >= 1.0 - 1e-9;
        if enough {
            self.0 -= 1.0;
        }
        enough
    }
}
