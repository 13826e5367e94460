//! What is known of the platform's store after it came back from a copy.
//!
//! Such a store has lost its latest changes and gives their versions out again. Each time its era
//! rises by one, so a version alone says nothing about which of two states is the later one. All
//! tables are read whole then, and of each row that differs it is decided what holds meanwhile.
//!
//! ```
//! use sorreldeck::era::{Backup, Comparison, Era, Freshness, History, Kind, Local, Prior, Resolution, RowState, Stamp, Tracker};
//! use sorreldeck::Time;
//!
//! let mut tracker = Tracker::default();
//! assert_eq!(tracker.observe(Some(Era(4)), false, Time(0), Time(5)), Freshness::Current);
//! let restored = tracker.observe(Some(Era(5)), false, Time(10), Time(15));
//! assert_eq!(restored, Freshness::Restored { before: Era(4) });
//! assert_eq!(tracker.observe(Some(Era(4)), false, Time(9), Time(16)), Freshness::Stale);
//! assert!(Stamp::new(Era(5), 27) > Stamp::new(Era(4), 31));
//!
//! let row = |version, value| RowState { key: "evacuate/a", version, value };
//! let mut history = History::default();
//! history.insert(row(20, b"{}"));
//! let comparison = Comparison::of(Some(row(20, b"{}")), Prior::Deleted, &history, &Backup::default(), 31);
//! assert_eq!(comparison, Comparison::Outdated);
//! // The operator had taken the order back, so it does not hold again.
//! assert!(matches!(Resolution::of(Kind::Order, comparison, Local::Absent), Resolution::Retain(Some(_))));
//! ```

mod reconcile;
mod tracker;

pub use reconcile::{Backup, Comparison, History, Kind, Local, Prior, Resolution, RowState};
pub use tracker::{Freshness, Tracker};

use crate::error::{Category, Error, Result};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;

/// How often the store came back from a copy; 0 where it does not tell.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Era(pub u64);

impl fmt::Display for Era {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Era {
    type Err = Error;

    fn from_str(s: &str) -> Result<Era> {
        let number = s.parse().map(Era);
        number.map_err(|_| Error::new(Category::Invalid, format!("{s:?} is no era")))
    }
}

/// A version of the store in one of its eras; a later era is later whatever the version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Stamp {
    /// The era.
    pub era: Era,
    /// The version in that era.
    pub version: u64,
}

impl Stamp {
    /// Returns the stamp of a version in an era.
    pub fn new(era: Era, version: u64) -> Stamp {
        Stamp { era, version }
    }
}

impl From<u64> for Stamp {
    /// Returns the stamp of a version where the store tells no era.
    fn from(version: u64) -> Stamp {
        Stamp::new(Era::default(), version)
    }
}

impl fmt::Display for Stamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.era, self.version)
    }
}
