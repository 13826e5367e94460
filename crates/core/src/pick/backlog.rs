//! The reading at an upstream that other entries told of.

use crate::unit::{Span, Time};

/// Reading that is worked off as time passes.
///
/// An entry tells what it sends and not when that has been read: an upstream reads at the
/// rate that was learned from it, so what is left follows from the time that has passed.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Backlog {
    left: Span,
    at: Time,
}

impl Backlog {
    /// Adds a reading that begins now or after what is left.
    pub fn add(&mut self, reading: Span, now: Time) {
        self.left = self.left(now) + reading;
        self.at = now;
    }

    /// Returns what is left to be read.
    pub fn left(&self, now: Time) -> Span {
        self.left - now.since(self.at)
    }
}
