//! What came of a simulated time.

use super::scenario::Crowd;
use sorreldeck::{Span, Time};

/// A request with all its tries.
#[derive(Clone, Copy, Debug)]
pub struct Call {
    pub asked: Time,
    pub tries: u32,
    /// Whether the first try that was read was served; `None` if none was read.
    pub first_read: Option<bool>,
    /// How long the request took, if it was served.
    pub took: Option<Span>,
}

/// The results of a simulated time.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    pub start: Time,
    pub crowds: Vec<Crowd>,
    pub calls: Vec<Call>,
    /// The connections that were closed unread, with the time.
    pub closed: Vec<Time>,
    /// How often an entry ended because it had no memory left.
    pub ended_by_memory: usize,
    /// The most memory that an entry took, as a part of its limit.
    pub peak_memory: f64,
}

/// Requests in short.
#[derive(Clone, Debug)]
pub struct Summary {
    calls: Vec<Call>,
}

/// How long a crowd has lasted before its requests are judged.
const JUDGED_AFTER: Span = Span::from_millis(4_000);

impl Tally {
    /// Returns the requests before the first crowd.
    pub fn before(&self) -> Summary {
        let first = self.crowds.iter().map(|c| self.start + c.at).min();
        self.summary(|at| first.is_none_or(|first| at < first))
    }

    /// Returns the requests of all crowds that had lasted for some seconds.
    pub fn crowded(&self) -> Summary {
        self.summary(|at| self.crowds.iter().any(|crowd| self.is_judged(crowd, at)))
    }

    fn is_judged(&self, crowd: &Crowd, at: Time) -> bool {
        let begin = self.start + crowd.at;
        at >= begin + JUDGED_AFTER && at < begin + crowd.lasts
    }

    /// Returns how many connections were closed unread outside of crowds and the seconds after
    /// each in which what was let in is still answered.
    pub fn closed_in_calm(&self) -> usize {
        let after = Span::from_millis(2_000);
        let is_crowded = |at: Time| {
            self.crowds.iter().any(|crowd| {
                let begin = self.start + crowd.at;
                at >= begin && at < begin + crowd.lasts + after
            })
        };
        self.closed.iter().filter(|at| !is_crowded(**at)).count()
    }

    fn summary(&self, holds: impl Fn(Time) -> bool) -> Summary {
        let calls = self.calls.iter().filter(|call| holds(call.asked));
        Summary {
            calls: calls.copied().collect(),
        }
    }
}

impl Summary {
    /// Returns the part of the first tries that were read which were served.
    pub fn first_tries(&self) -> f64 {
        let read: Vec<bool> = self.calls.iter().filter_map(|c| c.first_read).collect();
        let served = read.iter().filter(|served| **served).count();
        served as f64 / read.len().max(1) as f64
    }

    /// Returns the part of the requests that were served.
    pub fn served(&self) -> f64 {
        let served = self.calls.iter().filter(|c| c.took.is_some()).count();
        served as f64 / self.calls.len().max(1) as f64
    }

    /// Returns the tries of a request on average.
    pub fn tries(&self) -> f64 {
        let tries: u32 = self.calls.iter().map(|c| c.tries).sum();
        f64::from(tries) / self.calls.len().max(1) as f64
    }

    /// Returns the time within which 95 of 100 served requests ended.
    pub fn p95(&self) -> Span {
        let mut took: Vec<Span> = self.calls.iter().filter_map(|c| c.took).collect();
        took.sort();
        took.get(took.len() * 95 / 100).copied().unwrap_or_default()
    }

    /// Returns the number of requests.
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Returns whether there were no requests.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }
}
