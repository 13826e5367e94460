//! Which life of the platform's store a version belongs to.
//!
//! A store that comes back from a copy has lost its latest changes and gives their versions
//! out again. Each time its era rises by one, so a version alone says nothing about which of
//! two states is the later one.
//!
//! ```
//! use sorreldeck::era::{Era, Stamp};
//!
//! let before = Stamp::new(Era(4), 31);
//! let after = Stamp::new(Era(5), 27);
//! assert!(after > before);
//! assert_eq!(after.to_string(), "5:27");
//! ```

mod heard;

pub use heard::{Eras, Heard};

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
