//! The memory in use, and that of connections that were accepted since it was read.

use crate::unit::Size;

/// The part of the memory beyond which no connection is accepted; the rest is for what was read
/// and grows, and for memory that is free but scattered.
const FULL: f64 = 0.65;
/// The memory that a connection with a request takes at once, in bytes.
const EACH: f64 = 48.0 * 1024.0;
/// The same for one that has brought none.
const EACH_IDLE: f64 = 12.0 * 1024.0;
/// The connections below which memory is not full by them.
const MIN_CONNECTIONS: usize = 16;

/// The memory of a process.
#[derive(Clone, Copy, Debug)]
pub(super) struct Memory {
    /// `None` if the limit is unknown.
    full: Option<u64>,
    in_use: u64,
    /// The memory of connections accepted since `in_use` was read, in bytes.
    accepted: f64,
}

impl Memory {
    pub fn new(limit: Size) -> Memory {
        let full = (limit.bytes() as f64 * FULL) as u64;
        Memory {
            full: (full > 0).then_some(full),
            in_use: 0,
            accepted: 0.0,
        }
    }

    pub fn set(&mut self, in_use: Size) {
        self.in_use = in_use.bytes();
        self.accepted = 0.0;
    }

    /// Charges a connection that was accepted, of those of which this part bring a request at once.
    pub fn charge(&mut self, bringing: f64) {
        self.accepted += EACH * bringing + EACH_IDLE * (1.0 - bringing);
    }

    pub fn in_use(&self) -> Size {
        Size::from_bytes(self.in_use + self.accepted as u64)
    }

    /// Returns whether the memory cannot take another connection besides those that are open.
    pub fn is_full(&self, connections: usize) -> bool {
        let is_over = self.full.is_some_and(|full| self.in_use().bytes() > full);
        is_over && connections >= MIN_CONNECTIONS
    }
}
