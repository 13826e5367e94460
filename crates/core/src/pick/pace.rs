//! The current duration of work at an upstream, relative to its usual duration.
//!
//! Upstreams that share machines with others send their pace with their answers. It changes many
//! times per second, so a report loses weight with its age.
//!
//! ```
//! use sorreldeck::pick::Pace;
//!
//! assert_eq!(Pace::from_percent(250).map(|pace| pace.to_string()), Some("250%".into()));
//! assert_eq!(Pace::from_percent(0), None);
//! ```

use crate::unit::{Span, Time};
use std::fmt;

/// The largest accepted pace, in percent. A slower upstream counts as stalled.
const MAX_PERCENT: u32 = 10_000;
/// The time over which the weight of a report falls linearly to zero.
const REPORT_LIFETIME: Span = Span::from_millis(500);

/// The current duration of work, in percent of the usual duration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Pace(u32);

impl Pace {
    /// Creates a pace from a percentage, or returns `None` if it is zero or above the accepted
    /// maximum.
    pub fn from_percent(percent: u32) -> Option<Pace> {
        (1..=MAX_PERCENT)
            .contains(&percent)
            .then_some(Pace(percent))
    }
}

impl fmt::Display for Pace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}%", self.0)
    }
}

/// A reported pace and its time.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PaceReport(Option<(Pace, Time)>);

impl PaceReport {
    /// Creates a report.
    pub fn new(pace: Pace, at: Time) -> PaceReport {
        PaceReport(Some((pace, at)))
    }

    /// Returns the expected duration of work that usually takes `work` microseconds.
    pub fn scale(self, work: u64, now: Time) -> u64 {
        match self.0 {
            Some(_) => (work as f64 * self.factor(now)) as u64,
            None => work,
        }
    }

    /// Returns the expected duration of work as a multiple of the usual duration.
    pub fn factor(self, now: Time) -> f64 {
        let Some((pace, at)) = self.0 else {
            return 1.0;
        };
        let age = now.since(at).secs_f64() / REPORT_LIFETIME.secs_f64();
        let excess = f64::from(pace.0) / 100.0 - 1.0;
        1.0 + excess * (1.0 - age).max(0.0)
    }
}
