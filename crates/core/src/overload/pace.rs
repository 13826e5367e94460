//! What a resource was seen to do in a second while it was behind.

use super::meter::Meter;
use crate::unit::{Span, Time};

/// The part of the measured capacity that is let in, so that a queue gets shorter.
const HEADROOM: f64 = 0.9;
/// The longest time over which capacity is measured, and the shortest.
const LONGEST: Span = Span::from_millis(1_000);
const SHORTEST: Span = Span::from_millis(150);
/// The time between two updates.
const STEP: Span = Span::from_millis(20);
/// By how much the pace grows in a second: little soon after the resource was behind, and more
/// later, since it may have been slow for another reason.
const GROWTH: f64 = 0.05;
const FAST_GROWTH: f64 = 0.5;
const SLOW_FOR: Span = Span::from_millis(2_500);
/// How long after the resource was behind a pace is kept that nothing comes near.
const FORGET_AFTER: Span = Span::from_millis(10_000);

/// The work that a resource does, and the pace at which more is let in.
#[derive(Clone, Debug)]
pub(super) struct Pace {
    /// All work done so far.
    done: f64,
    /// The times of measurement and the work done by then.
    marks: Vec<(Time, f64)>,
    /// The work that is let in a second, once the resource was behind.
    limit: Option<f64>,
    behind_at: Time,
    stepped_at: Time,
}

impl Pace {
    pub fn new(now: Time) -> Pace {
        Pace {
            done: 0.0,
            marks: Vec::new(),
            limit: None,
            behind_at: now,
            stepped_at: now,
        }
    }

    /// Records work.
    pub fn work(&mut self, work: f64) {
        self.done += work;
    }

    /// Returns all work done so far.
    pub fn done(&self) -> f64 {
        self.done
    }

    /// Returns the work that is let in a second, if it is limited.
    pub fn limit(&self) -> Option<f64> {
        self.limit
    }

    /// Returns the work a second that was done in this time, or 0 if that is not known yet.
    pub fn rate(&self, over: Span, now: Time) -> f64 {
        let mut recent = self.marks.iter().rev();
        let Some((at, done)) = recent.find(|(at, _)| now.since(*at) >= over) else {
            return 0.0;
        };
        (self.done - done) / now.since(*at).secs_f64()
    }

    /// Marks the work done by now; returns the time since the last mark, or `None` if that is short.
    pub fn mark(&mut self, now: Time) -> Option<Span> {
        let passed = now.since(self.stepped_at);
        if passed < STEP {
            return None;
        }
        self.stepped_at = now;
        self.marks.push((now, self.done));
        self.marks.retain(|(at, _)| now.since(*at) <= LONGEST);
        Some(passed)
    }

    /// Updates the limit after some time; `behind` says since when the resource is behind, if it is.
    pub fn step(&mut self, behind: Option<Time>, meter: &mut Meter, passed: Span, now: Time) {
        match behind {
            Some(since) => self.measure(since, now),
            None => self.grow(meter, passed, now),
        }
    }

    /// Sets the limit to what was done since the resource is behind.
    fn measure(&mut self, since: Time, now: Time) {
        self.behind_at = now;
        let first = self.marks.iter().find(|(at, _)| *at >= since);
        let Some((at, done)) = first.filter(|(at, _)| now.since(*at) >= SHORTEST) else {
            return;
        };
        let capacity = (self.done - done) / now.since(*at).secs_f64();
        self.limit = Some((capacity * HEADROOM).max(1.0));
    }

    fn grow(&mut self, meter: &mut Meter, passed: Span, now: Time) {
        let Some(limit) = self.limit else {
            return;
        };
        let quiet = now.since(self.behind_at);
        let growth = match quiet < SLOW_FOR {
            true => GROWTH,
            false => FAST_GROWTH,
        };
        let limit = limit * (1.0 + growth * passed.secs_f64());
        meter.drain(limit, now);
        let is_near = meter.owed(limit) > Span::default();
        self.limit = (is_near || quiet < FORGET_AFTER).then_some(limit);
    }
}
