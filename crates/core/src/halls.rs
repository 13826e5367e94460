//! Which data halls get work.
//!
//! Operators empty a data hall before work on its instances, and take it back later. From
//! then on its upstreams get nothing new, whatever it is that looks for one: first tries
//! and repeats, streams that go on elsewhere, steps of cascades, trials of releases. What runs
//! there ends in peace.
//!
//! The order is strict. Where it leaves a pool without upstreams, requests for it are refused
//! at once: upstreams that are about to lose power would take them and not answer.
//!
//! ```
//! use sorreldeck::halls::Halls;
//! use sorreldeck::Hall;
//!
//! let hall: Hall = "hall-a".parse()?;
//! let mut halls = Halls::default();
//! assert_eq!(halls.evacuate([hall.clone()].into()).evacuated, [hall.clone()]);
//! assert!(!halls.is_open(Some(&hall)));
//! // An upstream whose data hall is not known is in none that was emptied.
//! assert!(halls.is_open(None));
//! # Ok::<(), sorreldeck::Error>(())
//! ```

use crate::id::Hall;
use std::collections::BTreeSet;

/// Which data halls get work.
#[derive(Clone, Debug, Default)]
pub struct Halls {
    /// Those that were ordered to be emptied, apart from the configuration.
    ordered: BTreeSet<Hall>,
    /// Those that the configuration empties.
    configured: BTreeSet<Hall>,
}

/// What an order changes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Change {
    /// The data halls that get no work any more.
    pub evacuated: Vec<Hall>,
    /// The data halls that get work again.
    pub restored: Vec<Hall>,
}

impl Halls {
    /// Sets which data halls are ordered to be empty; the others of earlier orders get work
    /// again, unless the configuration empties them.
    pub fn evacuate(&mut self, evacuated: BTreeSet<Hall>) -> Change {
        let before = self.evacuated();
        self.ordered = evacuated;
        self.since(&before)
    }

    /// Sets which data halls the configuration empties.
    pub fn configure(&mut self, evacuated: BTreeSet<Hall>) -> Change {
        let before = self.evacuated();
        self.configured = evacuated;
        self.since(&before)
    }

    /// Returns whether upstreams of a data hall get work; those of none that is known do.
    pub fn is_open(&self, hall: Option<&Hall>) -> bool {
        let is_empty = |hall| self.ordered.contains(hall) || self.configured.contains(hall);
        !hall.is_some_and(is_empty)
    }

    /// Returns the data halls that get no work.
    pub fn evacuated(&self) -> BTreeSet<Hall> {
        self.ordered.union(&self.configured).cloned().collect()
    }

    fn since(&self, before: &BTreeSet<Hall>) -> Change {
        let now = self.evacuated();
        Change {
            evacuated: now.difference(before).cloned().collect(),
            restored: before.difference(&now).cloned().collect(),
        }
    }
}
