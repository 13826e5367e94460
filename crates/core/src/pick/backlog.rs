//! The pending prefill at an upstream that other entries reported.

use crate::unit::{Span, Time};

/// Prefill that is completed as time passes.
///
/// An entry reports which prompts it sends but not when their prefill ends. Each prefill is a time
/// at the upstream's learned rate, so the rest follows from the time that has passed.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Backlog {
    remaining: Span,
    updated: Time,
}

impl Backlog {
    /// Adds a prefill that begins after the remaining one.
    pub fn add(&mut self, prefill: Span, now: Time) {
        self.remaining = self.remaining(now) + prefill;
        self.updated = now;
    }

    /// Returns the remaining prefill.
    pub fn remaining(&self, now: Time) -> Span {
        self.remaining - now.since(self.updated)
    }
}
