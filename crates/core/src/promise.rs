//! The promises of sorreldeck, checked inside the running program.
//!
//! A check that fails is counted, and the caller refuses the action; the
//! checks are on in release builds.
//!
//! ```
//! use sorreldeck::{Promise, Promises};
//!
//! let mut promises = Promises::default();
//! assert!(promises.check(Promise::BilledOnce, true));
//! assert!(!promises.check(Promise::BilledOnce, false));
//! assert_eq!(promises.violated(Promise::BilledOnce), 1);
//! ```

use serde::{Deserialize, Serialize};
use std::fmt;

/// What must always hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Promise {
    /// A request runs only on a model and version its client account allows.
    AllowedVersion,
    /// A withdrawn version receives no new work.
    Withdrawn,
    /// A session keeps its version.
    Session,
    /// Each request is billed once.
    BilledOnce,
    /// A caller receives the whole answer to its own request.
    WholeAnswer,
    /// A refusal that says "not run" is true.
    NotRun,
    /// A request that may not be repeated runs at most once.
    AtMostOnce,
    /// A leaving upstream receives no new work after a few seconds.
    Leaving,
    /// A planned stop cuts no request.
    PlannedStop,
    /// An accepted configuration is in force within seconds and never reverts.
    Configuration,
}

impl Promise {
    /// Every promise, in the order of the brief.
    pub const ALL: [Promise; 10] = [
        Promise::AllowedVersion,
        Promise::Withdrawn,
        Promise::Session,
        Promise::BilledOnce,
        Promise::WholeAnswer,
        Promise::NotRun,
        Promise::AtMostOnce,
        Promise::Leaving,
        Promise::PlannedStop,
        Promise::Configuration,
    ];

    /// Returns the short name used in metrics and reports.
    pub fn as_str(self) -> &'static str {
        match self {
            Promise::AllowedVersion => "allowed_version",
            Promise::Withdrawn => "withdrawn",
            Promise::Session => "session",
            Promise::BilledOnce => "billed_once",
            Promise::WholeAnswer => "whole_answer",
            Promise::NotRun => "not_run",
            Promise::AtMostOnce => "at_most_once",
            Promise::Leaving => "leaving",
            Promise::PlannedStop => "planned_stop",
            Promise::Configuration => "configuration",
        }
    }
}

impl fmt::Display for Promise {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// How often each promise was checked and found broken.
#[derive(Clone, Debug, Default)]
pub struct Promises {
    checked: [u64; Promise::ALL.len()],
    violated: [u64; Promise::ALL.len()],
}

impl Promises {
    /// Counts a check and returns whether the promise held.
    #[must_use = "an action that would break a promise must be refused"]
    pub fn check(&mut self, promise: Promise, held: bool) -> bool {
        self.checked[promise as usize] += 1;
        if !held {
            self.violated[promise as usize] += 1;
        }
        held
    }

    /// Returns how often a promise was checked.
    pub fn checked(&self, promise: Promise) -> u64 {
        self.checked[promise as usize]
    }

    /// Returns how often a promise was found broken.
    pub fn violated(&self, promise: Promise) -> u64 {
        self.violated[promise as usize]
    }
}
