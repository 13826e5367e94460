//! How long work takes at an upstream at the moment, against what is usual there.
//!
//! Upstreams that share machines with others say it with their answers. It changes many times a
//! second, so what was said counts less the older it is.
//!
//! ```
//! use sorreldeck::pick::Pace;
//!
//! assert_eq!(Pace::from_percent(250).map(|pace| pace.to_string()), Some("250%".into()));
//! assert_eq!(Pace::from_percent(0), None);
//! ```

use crate::unit::{Span, Time};
use std::fmt;

/// The largest that is understood: an upstream that is slower than that stands still.
const MOST: u32 = 10_000;
/// How long what was said counts in part; it fades evenly.
const LIFE: Span = Span::from_millis(500);

/// How long work takes, in hundredths of what is usual.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Pace(u32);

impl Pace {
    /// Returns the pace of so many hundredths; nothing takes no time, or longer than is understood.
    pub fn from_percent(percent: u32) -> Option<Pace> {
        (1..=MOST).contains(&percent).then_some(Pace(percent))
    }
}

impl fmt::Display for Pace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}%", self.0)
    }
}

/// What was said, and when.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Told(Option<(Pace, Time)>);

impl Told {
    /// Returns what was said at a time.
    pub fn new(pace: Pace, at: Time) -> Told {
        Told(Some((pace, at)))
    }

    /// Returns how long work takes that usually takes so many microseconds.
    pub fn stretch(self, work: u64, now: Time) -> u64 {
        let Some((pace, at)) = self.0 else {
            return work;
        };
        let age = now.since(at).secs_f64() / LIFE.secs_f64();
        let beyond = f64::from(pace.0) / 100.0 - 1.0;
        (work as f64 * (1.0 + beyond * (1.0 - age).max(0.0))) as u64
    }
}
