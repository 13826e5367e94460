//! How long tasks wait for the processor, and connections to upstreams for the link.

use crate::unit::{Span, Time};
use std::collections::HashMap;
use std::net::SocketAddr;

/// A wait from which on the processor counts as behind: each answer waits several times, and the
/// shortest objectives are some hundred milliseconds.
const TARGET: Span = Span::from_millis(25);
/// The time beyond the usual that a connection takes to open from which on the link counts as
/// behind: a large body holds it up for some tens of milliseconds.
const OPEN_TARGET: Span = Span::from_millis(75);
/// How long all waits must be longer than the target, so that a burst or a pause of the process
/// does not count.
const STANDING: Span = Span::from_millis(250);
/// The probes in a row that must wait long.
const MIN_LONG: u32 = 2;
/// The time without a connection that opened after which nothing is known of the link.
const OPENS_FADE: Span = Span::from_millis(1_000);
/// The upstreams whose usual times are kept.
const MAX_UPSTREAMS: usize = 4_096;

/// Waits in a row that were long.
#[derive(Clone, Copy, Debug, Default)]
struct Series {
    long: u32,
    /// When the first of these began.
    since: Time,
}

impl Series {
    fn record(&mut self, began: Time, is_long: bool) {
        if !is_long {
            self.long = 0;
            return;
        }
        if self.long == 0 {
            self.since = began;
        }
        self.long += 1;
    }

    /// Returns since when waits are long, if they stand; `waiting` is the number of long waits that
    /// have not ended.
    fn standing_since(&self, waiting: u32, now: Time) -> Option<Time> {
        let is_standing =
            self.long > 0 && self.long + waiting >= MIN_LONG && now.since(self.since) >= STANDING;
        is_standing.then_some(self.since)
    }
}

/// The waits of a probe task that is queued again and again.
///
/// A probe waits behind all tasks and sockets that were ready before it. If every probe of some
/// time waits long, the queue never gets empty in between; one that does may have met a single
/// long task.
#[derive(Clone, Copy, Debug, Default)]
pub struct Waits {
    queued: Option<Time>,
    series: Series,
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
        self.series.record(queued, self.last > TARGET);
    }

    /// Returns the wait of the last probe, or of the one that waits if that is longer.
    pub fn last(&self, now: Time) -> Span {
        let waiting = self.queued.map_or(Span::default(), |at| now.since(at));
        self.last.max(waiting)
    }

    /// Returns whether the last probe waited long, or one does.
    pub(super) fn is_long(&self, now: Time) -> bool {
        self.last(now) > TARGET
    }

    /// Returns since when the processor is behind, if it is.
    pub fn behind_since(&self, now: Time) -> Option<Time> {
        let waits = self.queued.is_some_and(|at| now.since(at) > TARGET);
        self.series.standing_since(u32::from(waits), now)
    }
}

/// The times that connections to upstreams take to open.
#[derive(Clone, Debug, Default)]
pub(super) struct Opens {
    /// The shortest time of each upstream.
    usual: HashMap<SocketAddr, Span>,
    series: Series,
    last_at: Time,
}

impl Opens {
    /// Records that a connection to an upstream took this long to open.
    pub fn record(&mut self, upstream: SocketAddr, took: Span, now: Time) {
        if self.usual.len() >= MAX_UPSTREAMS {
            self.usual.clear();
        }
        let usual = self.usual.entry(upstream).or_insert(took);
        *usual = took.min(*usual);
        let is_long = took - *usual > OPEN_TARGET;
        self.count(is_long, now);
    }

    /// Records that a connection to an upstream has not opened after this long.
    pub fn wait(&mut self, upstream: SocketAddr, passed: Span, now: Time) {
        let usual = self.usual.get(&upstream).copied().unwrap_or_default();
        if passed - usual > OPEN_TARGET {
            self.count(true, now);
        }
    }

    fn count(&mut self, is_long: bool, now: Time) {
        if now.since(self.last_at) >= OPENS_FADE {
            self.series = Series::default();
        }
        self.last_at = now;
        self.series.record(now, is_long);
    }

    /// Returns since when all connections take long, if they do.
    pub fn behind_since(&self, now: Time) -> Option<Time> {
        let is_known = now.since(self.last_at) < OPENS_FADE;
        self.series.standing_since(0, now).filter(|_| is_known)
    }
}
