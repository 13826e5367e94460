//! Invariants of sorreldeck, checked at run time.
//!
//! A failed check is counted, and the caller refuses the action. The checks are active in release
//! builds too.
//!
//! ```
//! use sorreldeck::{Invariant, Invariants};
//!
//! let mut invariants = Invariants::default();
//! assert!(invariants.check(Invariant::BilledOnce, true));
//! assert!(!invariants.check(Invariant::BilledOnce, false));
//! assert_eq!(invariants.violated(Invariant::BilledOnce), 1);
//! ```

use serde::{Deserialize, Serialize};
use std::fmt;

/// A condition that must always hold.
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
    /// A refusal with the verdict "not run" is true.
    NotRun,
    /// A request that must not be repeated runs at most once.
    AtMostOnce,
    /// A leaving upstream receives no new work after a few seconds.
    Leaving,
    /// A planned stop interrupts no request.
    PlannedStop,
    /// An accepted configuration is active within seconds and never reverts.
    Configuration,
}

impl Invariant {
    /// All invariants, in the order of the specification.
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

/// The counts of checks and violations by invariant.
#[derive(Clone, Debug, Default)]
pub struct Invariants {
    checked: [u64; Invariant::ALL.len()],
    violated: [u64; Invariant::ALL.len()],
}

impl Invariants {
    /// Counts a check and returns whether the invariant held.
    #[must_use = "an action that would break a promise must be refused"]
    pub fn check(&mut self, invariant: Invariant, holds: bool) -> bool {
        self.checked[invariant as usize] += 1;
        if !holds {
            self.violated[invariant as usize] += 1;
        }
        holds
    }

    /// Returns how often an invariant was checked.
    pub fn checked(&self, invariant: Invariant) -> u64 {
        self.checked[invariant as usize]
    }

    /// Returns how often an invariant was violated.
    pub fn violated(&self, invariant: Invariant) -> u64 {
        self.violated[invariant as usize]
    }
}
