//! The exact occupancy of an upstream's slots.
//!
//! ```
//! use sorreldeck::slots::Slots;
//! use sorreldeck::wire::Run;
//! use sorreldeck::{Class, RequestId};
//!
//! let mut slots = Slots::new(2, 1);
//! let run = Run::first(RequestId::new(1, 1));
//! assert!(slots.has_room(Class::Standard));
//! assert!(slots.start(run));
//! assert!(!slots.start(run), "a run starts once");
//! assert!(!slots.has_room(Class::Standard), "one slot is kept for priority work");
//! assert!(slots.has_room(Class::Priority));
//! ```

use crate::tree::Class;
use crate::wire::Run;
use std::collections::{HashSet, VecDeque};

/// The number of runs remembered, so that a late duplicate of a frame starts nothing.
const MAX_REMEMBERED_RUNS: usize = 16_384;

/// The exact occupancy of an upstream's slots.
#[derive(Debug)]
pub struct Slots {
    slots: u32,
    reserve: u32,
    running: HashSet<Run>,
    seen: HashSet<Run>,
    order: VecDeque<Run>,
}

impl Slots {
    /// Creates `slots` free slots, of which `reserve` are reserved for the priority class.
    pub fn new(slots: u32, reserve: u32) -> Slots {
        Slots {
            slots,
            reserve: reserve.min(slots.saturating_sub(1)),
            running: HashSet::new(),
            seen: HashSet::new(),
            order: VecDeque::new(),
        }
    }

    /// Returns the number of slots.
    pub fn capacity(&self) -> u32 {
        self.slots
    }

    /// Returns the number of running requests.
    pub fn running(&self) -> u32 {
        self.running.len() as u32
    }

    /// Returns whether a request of the class may start now.
    pub fn has_room(&self, class: Class) -> bool {
        let reserved = match class {
            Class::Priority => 0,
            Class::Standard | Class::Bulk => self.reserve,
        };
        self.running() + reserved < self.slots
    }

    /// Records an accepted run; returns whether it is new.
    pub fn record(&mut self, run: Run) -> bool {
        if !self.seen.insert(run) {
            return false;
        }
        self.order.push_back(run);
        if self.order.len() > MAX_REMEMBERED_RUNS {
            self.forget_oldest();
        }
        true
    }

    /// Occupies a slot; returns whether the run was not running yet.
    pub fn start(&mut self, run: Run) -> bool {
        self.running.insert(run)
    }

    /// Frees the slot of a run; returns whether it was running.
    pub fn end(&mut self, run: Run) -> bool {
        self.running.remove(&run)
    }

    fn forget_oldest(&mut self) {
        if let Some(run) = self.order.pop_front() {
            self.seen.remove(&run);
        }
    }
}
