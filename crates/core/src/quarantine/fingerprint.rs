//! Identifies a request by its content, so that a repetition is recognised.
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

/// A digest of what a request asks and for which client account, without the data that identifies a
/// single attempt, or a digest of one part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint(u64);

impl Fingerprint {
    /// Computes the fingerprint of parts in this order.
    pub fn of(parts: &[&[u8]]) -> Fingerprint {
        let mut hasher = blake3::Hasher::new();
        for part in parts {
            // The length keeps the end of one part from counting as the start of the next.
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        Fingerprint(digest::truncate(&hasher.finalize()))
    }

    /// Computes the fingerprint of one part of a prompt, which is the same wherever the part stands.
    pub fn of_part(part: &[u8]) -> Fingerprint {
        Fingerprint::of(&[b"part of a prompt", part])
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
            let message = format!("invalid fingerprint {s:?}: expected 16 hexadecimal digits");
            Error::new(Category::Invalid, message)
        })
    }
}
