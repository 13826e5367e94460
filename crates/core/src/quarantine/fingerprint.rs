//! By what a request is known when it comes again.
//!
//! ```
//! use sorreldeck::quarantine::Fingerprint;
//!
//! let one = Fingerprint::of(&[b"POST", b"/drafts/7", b"acme", b"text"]);
//! assert_eq!(one, Fingerprint::of(&[b"POST", b"/drafts/7", b"acme", b"text"]));
//! assert_ne!(one, Fingerprint::of(&[b"POST", b"/drafts/7", b"acmet", b"ext"]));
//! assert_eq!(one.to_string().parse::<Fingerprint>()?, one);
//! # Ok::<(), sorreldeck::Error>(())
//! ```

use crate::digest;
use crate::error::{Category, Error, Result};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;

/// What a request asks and for whom, without what names the single try.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint(u64);

impl Fingerprint {
    /// Returns the fingerprint of parts that belong together in this order.
    pub fn of(parts: &[&[u8]]) -> Fingerprint {
        let mut hasher = blake3::Hasher::new();
        for part in parts {
            // The length keeps what ends one part from beginning the next.
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        Fingerprint(digest::truncate(&hasher.finalize()))
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for Fingerprint {
    type Err = Error;

    fn from_str(s: &str) -> Result<Self> {
        let number = u64::from_str_radix(s, 16).ok().filter(|_| s.len() == 16);
        number.map(Fingerprint).ok_or_else(|| {
            let message = format!("{s:?} is no fingerprint: 16 hexadecimal digits");
            Error::new(Category::Invalid, message)
        })
    }
}
