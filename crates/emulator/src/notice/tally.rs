//! What came of a day.

use sorreldeck::pick::Link;
use sorreldeck::{Rate, Span, Time};
use std::collections::BTreeMap;
use std::ops::Range;

/// The window over which the requests to an upstream with a limit are counted.
const WINDOW: Span = Span::from_millis(4_000);
/// How long after an upstream first named a limit it counts.
const KNOWN_AFTER: Span = Span::from_millis(3_000);
/// How long after an entry was told it is held to it.
const TOLD_AFTER: Span = Span::from_millis(500);
/// By what factor, and by how many requests besides, a window may exceed what the limit allows.
const OVER: f64 = 1.5;
const SLACK: f64 = 5.0;

/// What reached an upstream that named a limit.
#[derive(Clone, Debug, Default)]
pub struct Limited {
    /// When it first named one, and until when it did.
    pub(super) named: Range<Time>,
    /// The limit from each moment on.
    pub(super) limits: Vec<(Time, Rate)>,
    /// When each entry was first told in an answer.
    pub(super) told: BTreeMap<usize, Time>,
    /// What reached it, from which entry.
    pub(super) got: Vec<(Time, usize)>,
}

impl Limited {
    /// Returns what the limit allows in a span of time.
    fn allows(&self, span: &Range<Time>) -> f64 {
        let ends = self.limits.iter().skip(1).map(|(at, _)| *at);
        let ends = ends.chain([Time(u64::MAX)]);
        let parts = self.limits.iter().zip(ends);
        let within = parts.map(|((from, rate), to)| {
            let held = to.min(span.end).since((*from).max(span.start));
            rate.per_second() * held.secs_f64()
        });
        within.sum()
    }

    /// Returns whether a request counts: the entry had been told by then.
    fn counts(&self, (at, entry): &(Time, usize)) -> bool {
        let told = self.told.get(entry);
        told.is_some_and(|told| *told + TOLD_AFTER <= *at)
    }

    /// Returns by how many requests the worst window exceeds what it may hold; 0 where none does.
    pub fn excess(&self) -> f64 {
        let counted: Vec<Time> = self
            .got
            .iter()
            .filter(|got| self.counts(got))
            .map(|(at, _)| *at)
            .collect();
        let from = self.named.start + KNOWN_AFTER;
        let mut worst: f64 = 0.0;
        // The windows that end with a request hold the most.
        for end in counted.iter().filter(|end| **end < self.named.end) {
            let start = Time(end.0.saturating_sub(WINDOW.micros())).max(from);
            let held = counted.iter().filter(|at| (start..=*end).contains(*at));
            let may = OVER * self.allows(&(start..start + WINDOW)) + SLACK;
            worst = worst.max(held.count() as f64 - may);
        }
        worst
    }

    /// Returns which part of what the limit allows was used, once it was known.
    pub fn utilization(&self) -> f64 {
        let span = self.named.start + KNOWN_AFTER..self.named.end;
        let within = self.got.iter().filter(|(at, _)| span.contains(at));
        within.count() as f64 / self.allows(&span).max(f64::MIN_POSITIVE)
    }

    /// Returns how many requests a second reached it in this span after it named no limit any more.
    pub fn rate_after(&self, from: Span, to: Span) -> f64 {
        let span = self.named.end + from..self.named.end + to;
        let within = self.got.iter().filter(|(at, _)| span.contains(at));
        within.count() as f64 / (to - from).secs_f64()
    }
}

/// What became of a request.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// When it was asked.
    pub at: Time,
    /// Whether it went to the route of a lower rank.
    pub is_low_rank: bool,
    /// Whether it was served.
    pub is_served: bool,
}

/// What came of a day.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    /// The upstreams that named limits.
    pub limited: BTreeMap<Link, Limited>,
    /// How long after an entry was told that an upstream leaves it sent the latest request there.
    pub last_send_delay: Span,
    /// The most requests from one entry between half a second after an upstream had asked it for
    /// rest and the end of that.
    pub sent_during_pause: usize,
    /// How many requests upstreams turned away.
    pub rejected: usize,
    /// What became of each request.
    pub requests: Vec<Request>,
    /// When callers that were refused were told to come back, and when they were told so.
    pub refusals: Vec<(Time, Option<Span>)>,
    /// The longest that a request was held before it was refused.
    pub max_refused_wait: Span,
}

impl Tally {
    /// Returns the part of the requests that were served.
    pub fn served(&self) -> f64 {
        self.served_where(|_| true)
    }

    /// Returns the part of some requests that were served.
    pub fn served_where(&self, among: impl Fn(&Request) -> bool) -> f64 {
        let asked: Vec<&Request> = self.requests.iter().filter(|a| among(a)).collect();
        let served = asked.iter().filter(|a| a.is_served).count();
        served as f64 / asked.len().max(1) as f64
    }

    /// Returns by how much the worst window of any upstream exceeds what it may hold.
    pub fn excess(&self) -> f64 {
        self.limited
            .values()
            .map(Limited::excess)
            .fold(0.0, f64::max)
    }

    /// Returns which part of what the limits allow was used, over all upstreams.
    pub fn utilization(&self) -> f64 {
        let used = self.limited.values().map(Limited::utilization).sum::<f64>();
        used / self.limited.len().max(1) as f64
    }
}
