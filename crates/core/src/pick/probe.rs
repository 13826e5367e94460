//! Whether an upstream that is silent on all its connections is there.

use crate::unit::{Span, Time};

/// The least time between two probes of an upstream.
const INTERVAL: Span = Span::from_millis(1_000);

/// The latest probe of an upstream since something was heard of it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Probe {
    asked_at: Option<Time>,
    is_gone: Option<bool>,
}

impl Probe {
    /// Records a probe; returns whether one is due.
    pub(super) fn ask(&mut self, now: Time) -> bool {
        let is_due = self.asked_at.is_none_or(|at| now.since(at) >= INTERVAL);
        if is_due {
            self.asked_at = Some(now);
        }
        is_due
    }

    /// Records the result of a probe.
    pub(super) fn answered(&mut self, is_gone: bool) {
        if self.asked_at.is_some() {
            self.is_gone = Some(is_gone);
        }
    }

    /// Returns whether the upstream is gone, or `None` if it was not asked since it was last heard.
    pub fn is_gone(&self) -> Option<bool> {
        self.is_gone
    }
}
