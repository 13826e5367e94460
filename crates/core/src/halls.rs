//! Which data halls receive requests.
//!
//! Operators evacuate a data hall before they work on its instances and restore it later. While it
//! is evacuated, its upstreams receive no new requests of any kind: no first attempts or retries,
//! resumed streams, cascade steps or trials of a release. Running requests complete normally.
//!
//! Evacuation is strict. If it leaves a pool without upstreams, requests for the pool are refused
//! at once, since upstreams that are about to lose power would accept them and never answer.
//!
//! ```
//! use sorreldeck::halls::Halls;
//! use sorreldeck::Hall;
//!
//! let hall: Hall = "hall-a".parse()?;
//! let mut halls = Halls::default();
//! assert_eq!(halls.evacuate([hall.clone()].into()).evacuated, [hall.clone()]);
//! assert!(!halls.is_open(Some(&hall)));
//! // An upstream in no known data hall is never evacuated.
//! assert!(halls.is_open(None));
//! # Ok::<(), sorreldeck::Error>(())
//! ```

use crate::id::Hall;
use std::collections::BTreeSet;

/// The data halls that receive no requests.
#[derive(Clone, Debug, Default)]
pub struct Halls {
    /// The data halls evacuated by command, independently of the configuration.
    ordered: BTreeSet<Hall>,
    /// The data halls evacuated by the configuration.
    configured: BTreeSet<Hall>,
}

/// The data halls whose state a command or configuration changes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Change {
    /// The data halls that no longer receive requests.
    pub evacuated: Vec<Hall>,
    /// The data halls that receive requests again.
    pub restored: Vec<Hall>,
}

impl Halls {
    /// Sets which data halls are evacuated by command. Those of earlier commands are restored
    /// unless the configuration evacuates them.
    pub fn evacuate(&mut self, evacuated: BTreeSet<Hall>) -> Change {
        let before = self.evacuated();
        self.ordered = evacuated;
        self.changes_from(&before)
    }

    /// Sets which data halls are evacuated by the configuration.
    pub fn configure(&mut self, evacuated: BTreeSet<Hall>) -> Change {
        let before = self.evacuated();
        self.configured = evacuated;
        self.changes_from(&before)
    }

    /// Returns whether upstreams of a data hall receive requests; those in no known data hall do.
    pub fn is_open(&self, hall: Option<&Hall>) -> bool {
        let is_evacuated = |hall| self.ordered.contains(hall) || self.configured.contains(hall);
        !hall.is_some_and(is_evacuated)
    }

    /// Returns the data halls that receive no requests.
    pub fn evacuated(&self) -> BTreeSet<Hall> {
        self.ordered.union(&self.configured).cloned().collect()
    }

    fn changes_from(&self, before: &BTreeSet<Hall>) -> Change {
        let now = self.evacuated();
        Change {
            evacuated: now.difference(before).cloned().collect(),
            restored: before.difference(&now).cloned().collect(),
        }
    }
}
