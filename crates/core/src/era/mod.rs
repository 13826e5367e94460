//! Detects that the platform's store was restored from a backup, and reconciles known rows with it.
//!
//! A restored store has lost its latest changes and assigns their versions again. Its era rises by
//! one with each restore, so a version alone does not show which of two states is later. All tables
//! are then read whole, and for each row that differs it is decided which state holds until the row
//! is written again.
//!
//! ```
//! use sorreldeck::era::{Backup, Comparison, Era, Freshness, History, Kind, Local, Prior};
//! use sorreldeck::era::{Resolution, RowState, Stamp, Tracker};
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
//! let (stored, backup) = (row(20, b"{}"), Backup::default());
//! let comparison = Comparison::of(Some(stored), Prior::Deleted, &history, &backup, 31);
//! assert_eq!(comparison, Comparison::Outdated);
//! // The operator withdrew the order, so the restored row does not put it in force again.
//! let resolution = Resolution::of(Kind::Order, comparison, Local::Absent);
//! assert!(matches!(resolution, Resolution::Retain(Some(_))));
//! ```

mod reconcile;
mod tracker;

pub use reconcile::{Backup, Comparison, History, Kind, Local, Prior, Resolution, RowState};
pub use tracker::{Freshness, Tracker};

use crate::error::{Category, Error, Result};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;

/// How often the store was restored from a backup; 0 if it does not report an era.
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
        number.map_err(|_| {
            Error::new(
                Category::Invalid,
                format!("invalid era {s:?}: expected a number"),
            )
        })
    }
}

/// A version of the store in one of its eras; a later era is later whatever the version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Stamp {
    /// The era of the store.
    pub era: Era,
    /// The version within that era.
    pub version: u64,
}

impl Stamp {
    /// Creates the stamp of a version in an era.
    pub fn new(era: Era, version: u64) -> Stamp {
        Stamp { era, version }
    }
}

impl From<u64> for Stamp {
    /// Returns the stamp of a version of a store that reports no era.
    fn from(version: u64) -> Stamp {
        Stamp::new(Era::default(), version)
    }
}

impl fmt::Display for Stamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.era, self.version)
    }
}
