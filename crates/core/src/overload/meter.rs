//! A queue on paper: what was let in, against what a resource can do.

use crate::unit::{Span, Time};

/// The requests over which the average cost is taken.
const MEMORY: f64 = 100.0;

/// The requests like which an assumed cost counts.
const ASSUMED: f64 = 10.0;

/// The average cost of a request; one that is still answered counts half.
#[derive(Clone, Copy, Debug)]
pub(super) struct Average {
    spent: f64,
    requests: f64,
}

impl Average {
    /// Creates the average from an assumed cost, which counts like some requests.
    pub fn new(assumed: f64) -> Average {
        Average {
            spent: assumed * ASSUMED,
            requests: ASSUMED,
        }
    }

    /// Records a cost.
    pub fn spend(&mut self, cost: f64) {
        self.spent += cost;
    }

    /// Records the begin of a request.
    pub fn begin(&mut self) {
        self.count_half();
    }

    /// Records the end of a request.
    pub fn end(&mut self) {
        self.count_half();
    }

    fn count_half(&mut self) {
        self.requests += 0.5;
        if self.requests > MEMORY {
            let keep = MEMORY / self.requests;
            self.spent *= keep;
            self.requests *= keep;
        }
    }

    /// Returns the average cost.
    pub fn get(&self) -> f64 {
        self.spent / self.requests
    }
}

/// What has been let in and is not worked off at the rate of the resource.
#[derive(Clone, Copy, Debug)]
pub(super) struct Meter {
    level: f64,
    drained_at: Time,
}

impl Meter {
    /// Creates an empty meter.
    pub fn new(now: Time) -> Meter {
        Meter {
            level: 0.0,
            drained_at: now,
        }
    }

    /// Works off what the resource can do at a rate a second until now.
    pub fn drain(&mut self, per_s: f64, now: Time) {
        let worked = per_s * now.since(self.drained_at).secs_f64();
        self.level = (self.level - worked).max(0.0);
        self.drained_at = now;
    }

    /// Adds a cost.
    pub fn charge(&mut self, cost: f64) {
        self.level += cost;
    }

    /// Takes back a cost that was charged.
    pub fn refund(&mut self, cost: f64) {
        self.level = (self.level - cost).max(0.0);
    }

    /// Returns how long the resource works on what it owes at a rate a second.
    pub fn owed(&self, per_s: f64) -> Span {
        Span::from_secs_f64(self.level / per_s.max(f64::MIN_POSITIVE))
    }

    /// Forgets what is owed.
    pub fn clear(&mut self, now: Time) {
        self.level = 0.0;
        self.drained_at = now;
    }
}
