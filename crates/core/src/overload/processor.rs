//! The processor: how much work it can do in a second, and how much of that is owed.

use super::meter::{Average, Meter};
use super::pace::Pace;
use super::usage::Usage;
use super::wait::Waits;
use super::Work;
use crate::unit::{Span, Time};

/// The part of the share that is let in.
const HEADROOM: f64 = 0.9;
/// Time for which the processor may owe work beyond its pace: requests come at random.
const DEPTH: Span = Span::from_millis(250);
/// The requests whose work it may owe in any case: on a slow instance one takes long, and where tasks
/// wait with fewer, something else holds the processor up.
const MIN_REQUESTS: usize = 10;
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
    pace: Pace,
    /// The most work a second that was seen, as it counts by now.
    most: f64,
    usage: Usage,
    /// The requests that were read and are not answered.
    active: usize,
    average: Average,
    meter: Meter,
}

impl Processor {
    pub fn new(cores: f64, now: Time) -> Processor {
        Processor {
            waits: Waits::default(),
            pace: Pace::new(now),
            most: 0.0,
            usage: Usage::new(cores, now),
            active: 0,
            average: Average::new(ASSUMED),
            meter: Meter::new(now),
        }
    }

    pub fn work(&mut self, work: Work) {
        self.work_more(work);
        self.average.spend(work.units());
    }

    /// Records work that does not count for the average request.
    pub fn work_more(&mut self, work: Work) {
        self.pace.work(work.units());
    }

    pub fn begin(&mut self) {
        self.active += 1;
        self.work(Work::Request);
        self.average.begin();
    }

    pub fn end(&mut self) {
        self.active = self.active.saturating_sub(1);
        self.average.end();
    }

    /// Returns the requests that were read and are not answered.
    pub fn active(&self) -> usize {
        self.active
    }

    /// Charges this part of the work of a request that was let in.
    pub fn charge(&mut self, part: f64) {
        self.meter.charge(self.average.get() * part);
    }

    /// Takes back the charge for this part of a request that has not come.
    pub fn refund(&mut self, part: f64) {
        self.meter.refund(self.average.get() * part);
    }

    /// Returns how long the processor needs for what it owes beyond its pace, or how long tasks
    /// wait, if that is longer.
    pub fn owed(&self, now: Time) -> Span {
        let owed = self
            .limit()
            .map_or(Span::default(), |limit| self.meter.owed(limit));
        owed.max(self.waits.last(now))
    }

    /// Returns whether the processor cannot take another request.
    pub fn is_full(&mut self, now: Time) -> bool {
        self.step(now);
        if self.behind_since(now).is_some() {
            return true;
        }
        let Some(limit) = self.limit() else {
            self.meter.clear(now);
            return false;
        };
        self.meter.drain(limit, now);
        let is_proven = self.pace.limit().is_some() || self.usage.is_busy();
        let requests = Span::from_secs_f64(MIN_REQUESTS as f64 * self.average.get() / limit);
        self.meter.owed(limit) > DEPTH.max(requests) && is_proven
    }

    /// Returns the work that may be let in a second, if it is limited.
    fn limit(&self) -> Option<f64> {
        let by_share = self.usage.capacity(HEADROOM);
        match (self.pace.limit(), by_share) {
            (Some(seen), Some(by_share)) => Some(seen.min(by_share)),
            (seen, by_share) => seen.or(by_share),
        }
    }

    /// Records all processor time used until now.
    pub fn use_time(&mut self, used: Span, now: Time) {
        self.usage.record(used, self.pace.done(), now);
    }

    /// Updates the pace.
    pub fn step(&mut self, now: Time) {
        let Some(passed) = self.pace.mark(now) else {
            return;
        };
        let faded = 0.5_f64.powf(passed.secs_f64() / HALF_LIFE.secs_f64());
        self.most = (self.most * faded).max(self.rate(now));
        let behind = self.behind_since(now);
        self.pace.step(behind, &mut self.meter, passed, now);
    }

    /// Returns the work a second that was done lately.
    fn rate(&self, now: Time) -> f64 {
        self.pace.rate(RATE_OVER, now)
    }

    /// Returns since when the processor is behind, if it is.
    fn behind_since(&self, now: Time) -> Option<Time> {
        let since = self.waits.behind_since(now)?;
        if self.active < MIN_REQUESTS {
            return None;
        }
        let is_near_most = self.rate(now) >= self.most * NEAR_MOST;
        let is_early = is_near_most && !self.usage.is_proven();
        (is_early || now.since(since) >= LONG_BEHIND).then_some(since)
    }
}
