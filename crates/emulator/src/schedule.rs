//! A queue of events ordered by time, for simulations with virtual time.
//!
//! ```
//! use sorreldeck::Time;
//! use sorreldeck_emulator::schedule::Schedule;
//!
//! let mut schedule = Schedule::default();
//! schedule.push(Time(7), "later");
//! schedule.push(Time(5), "first");
//! schedule.push(Time(7), "last");
//! let order = std::iter::from_fn(|| schedule.pop()).map(|(_, event)| event);
//! assert_eq!(order.collect::<Vec<_>>(), ["first", "later", "last"]);
//! ```

use sorreldeck::Time;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

/// Events ordered by time; events at the same time keep the order of insertion.
#[derive(Debug)]
pub struct Schedule<E> {
    queue: BinaryHeap<Reverse<(Time, u64)>>,
    events: BTreeMap<u64, E>,
    next: u64,
}

impl<E> Default for Schedule<E> {
    fn default() -> Schedule<E> {
        Schedule {
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            next: 0,
        }
    }
}

impl<E> Schedule<E> {
    /// Inserts an event.
    pub fn push(&mut self, time: Time, event: E) {
        self.next += 1;
        self.events.insert(self.next, event);
        self.queue.push(Reverse((time, self.next)));
    }

    /// Removes and returns the next event and its time.
    pub fn pop(&mut self) -> Option<(Time, E)> {
        let Reverse((time, sequence)) = self.queue.pop()?;
        let event = self.events.remove(&sequence)?;
        Some((time, event))
    }
}
