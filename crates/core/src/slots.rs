//! The exact count of what runs at one upstream.
//!
//! ```
//! use sorreldeck::slots::Slots;
//! use sorreldeck::wire::Run;
//! use sorreldeck::{Class, RequestId};
//!
//! let mut ledger = Slots::new(2, 1);
//! let run = Run::first(RequestId::new(1, 1));
//! assert!(ledger.has_room(Class::Standard));
//! assert!(ledger.start(run));
//! assert!(!ledger.start(run), "a run starts once");
//! assert!(!ledger.has_room(Class::Standard), "one slot is kept for priority work");
//! assert!(ledger.has_room(Class::Priority));
//! ```

use crate::tree::Class;
use crate::wire::Run;
use std::collections::{HashSet, VecDeque};

/// How many ended runs are remembered, so that a late copy starts nothing.
const REMEMBERED: usize = 16_384;

/// The exact count of what runs at one upstream.
#[derive(Debug)]
pub struct Slots {
    slots: u32,
    reserve: u32,
    running: HashSet<Run>,
    known: HashSet<Run>,
    order: VecDeque<Run>,
}

impl Slots {
    /// Creates a ledger of `slots` places, of which `reserve` are kept for the
    /// priority class.
    pub fn new(slots: u32, reserve: u32) -> Slots {
        Slots {
            slots,
            reserve: reserve.min(slots.saturating_sub(1)),
            running: HashSet::new(),
            known: HashSet::new(),
            order: VecDeque::new(),
        }
    }

    /// Returns the places.
    pub fn capacity(&self) -> u32 {
        self.slots
    }

    /// Returns how many requests run.
    pub fn running(&self) -> u32 {
        self.running.len() as u32
    }

    /// Returns whether a request of the class may start now.
    pub fn has_room(&self, class: Class) -> bool {
        let kept = match class {
            Class::Priority => 0,
            Class::Standard | Class::Bulk => self.reserve,
        };
        self.running() + kept < self.slots
    }

    /// Notes a run that was taken in; returns whether it is the first time.
    pub fn record(&mut self, run: Run) -> bool {
        if !self.known.insert(run) {
            return false;
        }
        self.order.push_back(run);
        if self.order.len() > REMEMBERED {
            self.forget_oldest();
        }
        true
    }

    /// Counts a run as started; returns whether it was not running already.
    pub fn start(&mut self, run: Run) -> bool {
        self.running.insert(run)
    }

    /// Counts a run as ended; returns whether it was running.
    pub fn end(&mut self, run: Run) -> bool {
        self.running.remove(&run)
    }

    fn forget_oldest(&mut self) {
        if let Some(run) = self.order.pop_front() {
            self.known.remove(&run);
        }
    }
}
