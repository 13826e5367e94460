//! Settings in bytes that have bounds.
//!
//! ```
//! use sorreldeck_net::bytes::Bytes;
//!
//! let page: Bytes<1_024, 65_536, 4_096> = "8192".parse()?;
//! assert_eq!(page.size().bytes(), 8_192);
//! assert!("1000".parse::<Bytes<1_024, 65_536, 4_096>>().is_err());
//! # Ok::<(), String>(())
//! ```

use sorreldeck::Size;
use std::fmt;
use std::str::FromStr;

/// A number of bytes from `LEAST` to `MOST`, `UNSET` unless set.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bytes<const LEAST: u64, const MOST: u64, const UNSET: u64>(Size);

impl<const LEAST: u64, const MOST: u64, const UNSET: u64> Bytes<LEAST, MOST, UNSET> {
    /// Returns the number of bytes.
    pub fn size(self) -> Size {
        self.0
    }
}

impl<const LEAST: u64, const MOST: u64, const UNSET: u64> Default for Bytes<LEAST, MOST, UNSET> {
    fn default() -> Self {
        Bytes(Size::from_bytes(UNSET))
    }
}

impl<const LEAST: u64, const MOST: u64, const UNSET: u64> FromStr for Bytes<LEAST, MOST, UNSET> {
    type Err = String;

    fn from_str(s: &str) -> Result<Self, String> {
        let bytes = parse_within(s, LEAST, MOST)?;
        Ok(Bytes(Size::from_bytes(bytes)))
    }
}

impl<const LEAST: u64, const MOST: u64, const UNSET: u64> fmt::Display
    for Bytes<LEAST, MOST, UNSET>
{
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0.bytes())
    }
}

/// Parses a number from `least` to `most`.
pub(crate) fn parse_within(s: &str, least: u64, most: u64) -> Result<u64, String> {
    let number = s.parse().ok().filter(|n| (least..=most).contains(n));
    number.ok_or_else(|| format!("{s:?} is no number from {least} to {most}"))
}
