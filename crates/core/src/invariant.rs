//! The promises of sorreldeck, checked inside the running program.
//!
//! A check that fails is counted, and the caller refuses the action; the
//! checks are on in release builds.
//!
//! ```
//! use sorreldeck::{Invariant, Invariants};
//!
//! let mut promises = Invariants::default();
//! assert!(promises.check(Invariant::BilledOnce, true));
//! assert!(!promises.check(Invariant::BilledOnce, false));
//! assert_eq!(promises.violated(Invariant::BilledOnce), 1);
//! ```

use serde::{Deserialize, Serialize};
use std::fmt;

/// What must always hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Invariant {
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

impl Invariant {
    /// Every promise, in the order of the brief.
    pub const ALL: [Invariant; 10] = [
        Invariant::AllowedVersion,
        Invariant::Withdrawn,
        Invariant::Session,
        Invariant::BilledOnce,
        Invariant::WholeAnswer,
        Invariant::NotRun,
        Invariant::AtMostOnce,
        Invariant::Leaving,
        Invariant::PlannedStop,
        Invariant::Configuration,
    ];

    /// Returns the short name used in metrics and reports.
    pub fn as_str(self) -> &'static str {
        match self {
            Invariant::AllowedVersion => "allowed_version",
            Invariant::Withdrawn => "withdrawn",
            Invariant::Session => "session",
            Invariant::BilledOnce => "billed_once",
            Invariant::WholeAnswer => "whole_answer",
            Invariant::NotRun => "not_run",
            Invariant::AtMostOnce => "at_most_once",
            Invariant::Leaving => "leaving",
            Invariant::PlannedStop => "planned_stop",
            Invariant::Configuration => "configuration",
        }
    }
}

impl fmt::Display for Invariant {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// How often each promise was checked and found broken.
#[derive(Clone, Debug, Default)]
pub struct Invariants {
    checked: [u64; Invariant::ALL.len()],
    violated: [u64; Invariant::ALL.len()],
}

impl Invariants {
    /// Counts a check and returns whether the promise held.
    #[must_use = "an action that would break a promise must be refused"]
    pub fn check(&mut self, promise: Invariant, held: bool) -> bool {
        self.checked[promise as usize] += 1;
        if !held {
            self.violated[promise as usize] += 1;
        }
        held
    }

    /// Returns how often a promise was checked.
    pub fn checked(&self, promise: Invariant) -> u64 {
        self.checked[promise as usize]
    }

    /// Returns how often a promise was found broken.
    pub fn violated(&self, promise: Invariant) -> u64 {
        self.violated[promise as usize]
    }
}
