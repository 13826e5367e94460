//! The results of a scenario.

use sorreldeck::pick::Link;
use sorreldeck::{Rate, Span, Time};
use std::collections::BTreeMap;
use std::ops::Range;

/// Window over which the requests to an upstream with a limit are counted.
const WINDOW: Span = Span::from_millis(4_000);
/// Time after an upstream first sent a limit from which its requests are counted.
const COUNTED_AFTER: Span = Span::from_millis(3_000);
/// Time after an entry received the limit from which its requests are counted.
const RECEIVED_AFTER: Span = Span::from_millis(500);
/// A window may hold `TOLERANCE` times the requests that the limit allows, and `SLACK` more.
const TOLERANCE: f64 = 1.5;
const SLACK: f64 = 5.0;

/// The requests that reached an upstream with a limit.
#[derive(Clone, Debug, Default)]
pub struct Limited {
    /// The time in which the upstream sent a limit.
    pub(super) limited: Range<Time>,
    /// The limits, each with the time from which it applies.
    pub(super) limits: Vec<(Time, Rate)>,
    /// When each entry first received a limit in an answer.
    pub(super) received: BTreeMap<usize, Time>,
    /// The requests: when each arrived and from which entry.
    pub(super) arrivals: Vec<(Time, usize)>,
}

impl Limited {
    /// Returns the number of requests that the limits allow in a span.
    fn allowed(&self, span: &Range<Time>) -> f64 {
        let ends = self.limits.iter().skip(1).map(|(at, _)| *at);
        let ends = ends.chain([Time(u64::MAX)]);
        let parts = self.limits.iter().zip(ends);
        let within = parts.map(|((from, rate), to)| {
            let overlap = to.min(span.end).since((*from).max(span.start));
            rate.per_second() * overlap.secs_f64()
        });
        within.sum()
    }

    /// Returns whether a request arrived at least [`RECEIVED_AFTER`] after its entry received a
    /// limit.
    fn is_counted(&self, (at, entry): &(Time, usize)) -> bool {
        let received = self.received.get(entry);
        received.is_some_and(|received| *received + RECEIVED_AFTER <= *at)
    }

    /// Returns the largest number of requests by which a window exceeds its tolerance; 0 if none
    /// does.
    pub fn excess(&self) -> f64 {
        let counted: Vec<Time> = self
            .arrivals
            .iter()
            .filter(|arrival| self.is_counted(arrival))
            .map(|(at, _)| *at)
            .collect();
        let from = self.limited.start + COUNTED_AFTER;
        let mut worst: f64 = 0.0;
        // A window with the most requests ends at a request.
        for end in counted.iter().filter(|end| **end < self.limited.end) {
            let start = Time(end.0.saturating_sub(WINDOW.micros())).max(from);
            let within = counted.iter().filter(|at| (start..=*end).contains(*at));
            let tolerated = TOLERANCE * self.allowed(&(start..start + WINDOW)) + SLACK;
            worst = worst.max(within.count() as f64 - tolerated);
        }
        worst
    }

    /// Returns the share of the allowed requests that arrived, from `COUNTED_AFTER` on.
    pub fn utilization(&self) -> f64 {
        let span = self.limited.start + COUNTED_AFTER..self.limited.end;
        let within = self.arrivals.iter().filter(|(at, _)| span.contains(at));
        within.count() as f64 / self.allowed(&span).max(f64::MIN_POSITIVE)
    }

    /// Returns the requests per second that arrived in a span, counted from the end of the limit.
    pub fn rate_after(&self, from: Span, to: Span) -> f64 {
        let span = self.limited.end + from..self.limited.end + to;
        let within = self.arrivals.iter().filter(|(at, _)| span.contains(at));
        within.count() as f64 / (to - from).secs_f64()
    }
}

/// The result of a request.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// When the request was made.
    pub at: Time,
    /// Whether the request used the route of a lower rank.
    pub is_low_rank: bool,
    /// Whether the request was served.
    pub is_served: bool,
}

/// The results of a scenario.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    /// The upstreams that sent limits.
    pub limited: BTreeMap<Link, Limited>,
    /// Longest time between the announcement that an upstream leaves, as received by an entry, and
    /// the arrival of a request that the entry sent there.
    pub last_send_delay: Span,
    /// Most requests that one entry sent to an upstream during a pause, not counting the first half
    /// second after the upstream asked for it.
    pub sent_during_pause: usize,
    /// Number of requests that upstreams rejected.
    pub rejected: usize,
    /// The results of the requests.
    pub requests: Vec<Request>,
    /// The refusals of entries: when each was sent and the time to retry after that it named.
    pub refusals: Vec<(Time, Option<Span>)>,
    /// Longest time between a request and its refusal.
    pub max_refused_wait: Span,
}

impl Tally {
    /// Returns the share of the requests that were served.
    pub fn served(&self) -> f64 {
        self.served_where(|_| true)
    }

    /// Returns the share of the requests that match a predicate that were served.
    pub fn served_where(&self, predicate: impl Fn(&Request) -> bool) -> f64 {
        let matching: Vec<&Request> = self.requests.iter().filter(|a| predicate(a)).collect();
        let served = matching.iter().filter(|a| a.is_served).count();
        served as f64 / matching.len().max(1) as f64
    }

    /// Returns the largest [`Limited::excess`] of any upstream.
    pub fn excess(&self) -> f64 {
        self.limited
            .values()
            .map(Limited::excess)
            .fold(0.0, f64::max)
    }

    /// Returns the mean [`Limited::utilization`] of the upstreams with limits.
    pub fn utilization(&self) -> f64 {
        let used = self.limited.values().map(Limited::utilization).sum::<f64>();
        used / self.limited.len().max(1) as f64
    }
}
