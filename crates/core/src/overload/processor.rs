//! The processor: how much work it can do in a second, and how much of that is owed.

use super::meter::{Average, Meter};
use super::usage::Usage;
use super::wait::Waits;
use super::Work;
use crate::unit::{Span, Time};

/// The part of the measured capacity that is let in, so that a queue gets shorter.
const HEADROOM: f64 = 0.9;
/// Time for which the processor may owe work beyond its pace: requests come at random.
const DEPTH: Span = Span::from_millis(250);
/// The requests whose work it may owe in any case: on a slow instance one takes long.
const MIN_REQUESTS: f64 = 10.0;
/// The longest time over which capacity is measured, and the shortest.
const LONGEST: Span = Span::from_millis(1_000);
const SHORTEST: Span = Span::from_millis(150);
/// The time between two updates of the pace.
const STEP: Span = Span::from_millis(20);
/// By how much the pace grows in a second: little soon after the processor was behind, and more
/// later, since it may have been slow for another reason.
const GROWTH: f64 = 0.05;
const FAST_GROWTH: f64 = 0.5;
const SLOW_FOR: Span = Span::from_millis(2_500);
/// How long after the processor was behind a pace is kept that nothing comes near.
const FORGET_AFTER: Span = Span::from_millis(10_000);
/// The time over which the rate of work is taken, and the time in which the most that was seen
/// counts half.
const RATE_OVER: Span = Span::from_millis(250);
const HALF_LIFE: Span = Span::from_millis(30_000);
/// The rate of work, as a part of the most that was seen, from which on short waits count: a
/// processor that does less than before may have been held up by something else.
const NEAR_MOST: f64 = 0.7;
/// How long tasks must wait for the processor to count as full whatever it does.
const LONG_BEHIND: Span = Span::from_millis(500);
/// The work of a request with its answer before any was seen.
const ASSUMED: f64 = 15.0;

/// What the processor can do and owes, in units of work.
#[derive(Clone, Debug)]
pub(super) struct Processor {
    pub waits: Waits,
    /// All work done so far.
    done: f64,
    /// The times of measurement and the work done by then.
    marks: Vec<(Time, f64)>,
    /// The most work a second that was seen, as it counts by now.
    most: f64,
    /// The work that is let in a second, once the processor was behind.
    pace: Option<f64>,
    usage: Usage,
    behind_at: Time,
    stepped_at: Time,
    average: Average,
    meter: Meter,
}

impl Processor {
    pub fn new(cores: f64, now: Time) -> Processor {
        Processor {
            waits: Waits::default(),
            done: 0.0,
            marks: Vec::new(),
            most: 0.0,
            pace: None,
            usage: Usage::new(cores, now),
            behind_at: now,
            stepped_at: now,
            average: Average::new(ASSUMED),
            meter: Meter::new(now),
        }
    }

    pub fn work(&mut self, work: Work) {
        let units = work.units();
        self.done += units;
        self.average.spend(units);
    }

    pub fn begin(&mut self) {
        self.work(Work::Request);
        self.average.begin();
    }

    pub fn end(&mut self) {
        self.average.end();
    }

    /// Charges the work of a request that was let in.
    pub fn charge(&mut self) {
        self.meter.charge(self.average.get());
    }

    /// Returns how long the processor needs for what it owes beyond its pace, or how long tasks
    /// wait, if that is longer.
    pub fn owed(&self, now: Time) -> Span {
        let owed = self
            .pace()
            .map_or(Span::default(), |pace| self.meter.owed(pace));
        owed.max(self.waits.last(now))
    }

    /// Returns whether the processor cannot take another request.
    pub fn is_full(&mut self, now: Time) -> bool {
        self.step(now);
        if self.behind_since(now).is_some() {
            return true;
        }
        let Some(pace) = self.pace() else {
            self.meter.clear(now);
            return false;
        };
        self.meter.drain(pace, now);
        let is_proven = self.pace.is_some() || self.usage.is_busy();
        let requests = Span::from_secs_f64(MIN_REQUESTS * self.average.get() / pace);
        self.meter.owed(pace) > DEPTH.max(requests) && is_proven
    }

    /// Returns the work that may be let in a second, if it is limited.
    fn pace(&self) -> Option<f64> {
        let by_share = self.usage.capacity(HEADROOM);
        match (self.pace, by_share) {
            (Some(seen), Some(by_share)) => Some(seen.min(by_share)),
            (seen, by_share) => seen.or(by_share),
        }
    }

    /// Records all processor time used until now.
    pub fn use_time(&mut self, used: Span, now: Time) {
        self.usage.record(used, self.done, now);
    }

    /// Updates the pace.
    pub fn step(&mut self, now: Time) {
        let passed = now.since(self.stepped_at);
        if passed < STEP {
            return;
        }
        self.stepped_at = now;
        self.mark(passed, now);
        match self.behind_since(now) {
            Some(since) => self.measure(since, now),
            None => self.grow(passed, now),
        }
    }

    fn mark(&mut self, passed: Span, now: Time) {
        self.marks.push((now, self.done));
        self.marks.retain(|(at, _)| now.since(*at) <= LONGEST);
        let faded = 0.5_f64.powf(passed.secs_f64() / HALF_LIFE.secs_f64());
        self.most = (self.most * faded).max(self.rate(now));
    }

    /// Returns the work a second that was done lately.
    fn rate(&self, now: Time) -> f64 {
        let mut recent = self.marks.iter().rev();
        let Some((at, done)) = recent.find(|(at, _)| now.since(*at) >= RATE_OVER) else {
            return 0.0;
        };
        (self.done - done) / now.since(*at).secs_f64()
    }

    /// Returns since when the processor is behind, if it is.
    fn behind_since(&self, now: Time) -> Option<Time> {
        let since = self.waits.behind_since(now)?;
        let is_near_most = self.rate(now) >= self.most * NEAR_MOST;
        let is_early = is_near_most && !self.usage.is_proven();
        (is_early || now.since(since) >= LONG_BEHIND).then_some(since)
    }

    /// Sets the pace to what was done since the processor is behind.
    fn measure(&mut self, since: Time, now: Time) {
        self.behind_at = now;
        let first = self.marks.iter().find(|(at, _)| *at >= since);
        let Some((at, done)) = first.filter(|(at, _)| now.since(*at) >= SHORTEST) else {
            return;
        };
        let capacity = (self.done - done) / now.since(*at).secs_f64();
        self.pace = Some((capacity * HEADROOM).max(1.0));
    }

    fn grow(&mut self, passed: Span, now: Time) {
        let Some(pace) = self.pace else {
            return;
        };
        let quiet = now.since(self.behind_at);
        let growth = match quiet < SLOW_FOR {
            true => GROWTH,
            false => FAST_GROWTH,
        };
        let pace = pace * (1.0 + growth * passed.secs_f64());
        self.meter.drain(pace, now);
        let is_near = self.meter.owed(pace) > Span::default();
        self.pace = (is_near || quiet < FORGET_AFTER).then_some(pace);
    }
}
