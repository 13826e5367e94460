//! The request rate that an upstream accepts of all entries together, and the share of this entry.

use crate::unit::{Rate, Span, Time};
use crate::warmup::Entries;

/// How far ahead of its pace an entry may send: requests arrive at random times, and capacity that
/// is not used at once would be lost.
const BURST: Span = Span::from_millis(500);
/// The least number of entries that send to an upstream at a steady pace, if there are more; the
/// requests of fewer would not use up the rate.
const MIN_PACED: usize = 4;
/// The fraction of the rate that the paced entries share if there are others, and the fraction of
/// all others. The others are too many to be spread evenly over time, but one of them may be the
/// only entry to learn that the upstream accepts more again, and together they use what the paced
/// entries leave.
const PACED_FRACTION: f64 = 0.6;
const SPACED_FRACTION: f64 = 0.3;
/// How long a rate may go unconfirmed before a paced entry sends a probe. Where many entries share
/// an upstream, each seldom has a request for it, and the end of the limit would be noticed as
/// late.
const CONFIRM_AFTER: Span = Span::from_millis(6_000);
/// The relative difference from which on a new rate is reported to other entries.
const REPORT_THRESHOLD: f64 = 0.25;

/// The share of this entry in the rate.
#[derive(Clone, Copy, Debug)]
enum Quota {
    /// Requests have this interval on average.
    Paced(Span),
    /// Any two requests have at least this interval, which is long.
    Spaced(Span),
}

/// The request rate of one upstream.
#[derive(Clone, Copy, Debug)]
pub(super) struct Limit {
    rate: Rate,
    quota: Quota,
    /// When the upstream or another entry last reported the rate.
    reported_at: Time,
    /// When the next request is due at the pace of this entry.
    due: Time,
    /// The rate that this entry last reported to other entries, or they to it.
    known_rate: Rate,
}

impl Limit {
    /// Creates a limit that was not known before. If an answer named it, a request has just been
    /// sent.
    ///
    /// The first wait depends on the entry: all entries may learn of the limit at one moment, and
    /// would send again at one moment after the same interval.
    pub fn new(upstream: u64, rate: Rate, is_remote: bool, entries: &Entries, now: Time) -> Limit {
        let quota = Quota::of(upstream, rate, entries);
        let waits = match quota {
            Quota::Paced(interval) if !is_remote => interval,
            Quota::Paced(interval) | Quota::Spaced(interval) => {
                Span::from_secs_f64(interval.secs_f64() * entries.phase(upstream))
            }
        };
        Limit {
            rate,
            quota,
            reported_at: now,
            due: now + waits,
            known_rate: rate,
        }
    }

    pub fn rate(&self) -> Rate {
        self.rate
    }

    pub fn reported_at(&self) -> Time {
        self.reported_at
    }

    /// Sets the rate; returns whether it differs much from the rate that other entries know.
    pub fn update(&mut self, upstream: u64, rate: Rate, entries: &Entries, now: Time) -> bool {
        self.rate = rate;
        self.reported_at = now;
        self.rebalance(upstream, entries, now);
        let known = self.known_rate.per_second();
        let differs = (rate.per_second() - known).abs() > REPORT_THRESHOLD * known;
        if differs {
            self.known_rate = rate;
        }
        differs
    }

    /// Records that other entries know this rate.
    pub fn mark_reported(&mut self, rate: Rate) {
        self.known_rate = rate;
    }

    /// Returns whether an answer without a limit ends this one. The answer to a request that was
    /// sent before the limit was reported may be older than the limit.
    pub fn is_ended_by(&self, asked: Time) -> bool {
        asked > self.reported_at
    }

    /// Adapts the share of this entry to the entries and to the rate.
    pub fn rebalance(&mut self, upstream: u64, entries: &Entries, now: Time) {
        let before = self.quota.interval().secs_f64();
        self.quota = Quota::of(upstream, self.rate, entries);
        // The rest of the current wait is scaled to the new interval.
        let factor = self.quota.interval().secs_f64() / before.max(f64::MIN_POSITIVE);
        let left = self.due.since(now).secs_f64();
        self.due = now + Span::from_secs_f64(left * factor);
    }

    /// Returns when this entry may send the next request.
    pub fn available_at(&self) -> Time {
        let burst = match self.quota {
            Quota::Paced(_) => BURST,
            Quota::Spaced(_) => Span::default(),
        };
        Time(self.due.0.saturating_sub(burst.micros()))
    }

    /// Returns whether the next request should go to this upstream in preference to all others.
    pub fn wants_probe(&self, now: Time) -> bool {
        let unconfirmed = now.since(self.reported_at) >= CONFIRM_AFTER;
        unconfirmed && matches!(self.quota, Quota::Paced(_)) && now >= self.available_at()
    }

    /// Records a sent request.
    pub fn record_request(&mut self, now: Time) {
        self.due = self.due.max(now) + self.quota.interval();
    }
}

impl Quota {
    /// Returns the share of this entry in the rate of an upstream.
    ///
    /// Entries cannot count requests together in time, so each keeps a pace of its own, and only
    /// few do. In a window of 4 s these send four and a half times the rate that they share, and
    /// one request each in addition.
    fn of(upstream: u64, rate: Rate, entries: &Entries) -> Quota {
        let rate = rate.per_second().max(f64::MIN_POSITIVE);
        let paced = MIN_PACED.max((rate / 2.0) as usize);
        let all = entries.count();
        if all <= paced {
            return Quota::Paced(Span::from_secs_f64(all as f64 / rate));
        }
        match entries.is_selected(paced, upstream) {
            true => Quota::Paced(Span::from_secs_f64(paced as f64 / (rate * PACED_FRACTION))),
            false => Quota::Spaced(Span::from_secs_f64(
                (all - paced) as f64 / (rate * SPACED_FRACTION),
            )),
        }
    }

    fn interval(self) -> Span {
        match self {
            Quota::Paced(interval) | Quota::Spaced(interval) => interval,
        }
    }
}
