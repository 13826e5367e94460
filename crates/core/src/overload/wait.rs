//! How long tasks wait for the processor.

use crate::unit::{Span, Time};

/// A wait from which on the processor counts as behind: each answer waits several times, and the
/// shortest objectives are some hundred milliseconds.
const TARGET: Span = Span::from_millis(25);
/// How long all waits must be longer than the target, so that a burst or a pause of the process
/// does not count.
const STANDING: Span = Span::from_millis(250);
/// The probes in a row that must wait long.
const MIN_LONG: u32 = 2;

/// The waits of a probe task that is queued again and again.
///
/// A probe waits behind all tasks that were ready before it. If every probe of some time waits
/// long, the queue never gets empty in between; one that does may have met a single long task.
#[derive(Clone, Copy, Debug, Default)]
pub struct Waits {
    queued: Option<Time>,
    /// The probes in a row that have waited long.
    long: u32,
    /// When the first of these was queued.
    long_since: Time,
    last: Span,
}

impl Waits {
    /// Records that a probe was queued.
    pub fn queue(&mut self, now: Time) {
        self.queued = Some(now);
    }

    /// Records that the probe ran.
    pub fn run(&mut self, now: Time) {
        let Some(queued) = self.queued.take() else {
            return;
        };
        self.last = now.since(queued);
        if self.last <= TARGET {
            self.long = 0;
            return;
        }
        if self.long == 0 {
            self.long_since = queued;
        }
        self.long += 1;
    }

    /// Returns the wait of the last probe, or of the one that waits if that is longer.
    pub fn last(&self, now: Time) -> Span {
        let waiting = self.queued.map_or(Span::default(), |at| now.since(at));
        self.last.max(waiting)
    }

    /// Returns since when the processor is behind, if it is.
    pub fn behind_since(&self, now: Time) -> Option<Time> {
        let waits = self.queued.is_some_and(|at| now.since(at) > TARGET);
        let is_behind = self.long > 0
            && self.long + u32::from(waits) >= MIN_LONG
            && now.since(self.long_since) >= STANDING;
        is_behind.then_some(self.long_since)
    }
}
