//! Whether a request may have run.
//!
//! ```
//! use sorreldeck::Verdict;
//!
//! assert!(Verdict::NotRun.may_repeat());
//! assert!(!Verdict::MayHaveRun.may_repeat());
//! assert_eq!(Verdict::Ran.to_string(), "ran");
//! ```

use serde::{Deserialize, Serialize};
use std::fmt;

/// Whether a request may have run at an upstream.
///
/// A verdict is never lowered. It starts as [`Verdict::NotRun`] and is raised when bytes are sent
/// to the upstream and when the upstream answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// No upstream received the request.
    NotRun,
    /// An upstream may have received the request; whether it ran is unknown.
    MayHaveRun,
    /// An upstream ran the request.
    Ran,
}

impl Verdict {
    /// Returns whether a request that must not run twice can still be sent.
    pub fn may_repeat(self) -> bool {
        self == Verdict::NotRun
    }

    /// Raises the verdict to at least `other`.
    pub fn raise(self, other: Verdict) -> Verdict {
        self.max(other)
    }

    /// Returns the text that is used in headers and error bodies.
    pub fn as_str(self) -> &'static str {
        match self {
            Verdict::NotRun => "not-run",
            Verdict::MayHaveRun => "may-have-run",
            Verdict::Ran => "ran",
        }
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
