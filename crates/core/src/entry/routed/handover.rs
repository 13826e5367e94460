//! Decides whether a stream goes on at another upstream.
//!
//! A stream is late if its first event comes after the objective of its route, if it pauses for
//! longer than the route allows, or if it has not ended at its deadline. A stream that will be late
//! where it is and would be in time elsewhere is handed over. A hand-over repeats the prefill, so
//! nothing moves for a gain that the forecast does not promise, or where all upstreams are busy.
//!
//! ```
//! use sorreldeck::entry::handover::{Progress, Step, Stream, Usual};
//! use sorreldeck::pick::Outlook;
//! use sorreldeck::{Span, Time};
//!
//! let ms = Span::from_millis;
//! let stream = Stream {
//!     accepted_at: Time(0),
//!     deadline: Time(0) + ms(20_000),
//!     objective: ms(2_000),
//!     pause: ms(1_000),
//!     sent_at: Time(0),
//!     due: ms(100),
//!     progress: Progress::default(),
//!     usual: Usual::default(),
//! };
//! let elsewhere = Outlook { first: ms(150), has_free: true, backlog: ms(0) };
//! assert_eq!(stream.step(&elsewhere, Time(0) + ms(500)), Step::Stay);
//! assert!(matches!(stream.step(&elsewhere, Time(0) + ms(1_650)), Step::Leave(_)));
//! ```

use crate::id::RouteId;
use crate::pick::Outlook;
use crate::unit::{Span, Time};
use std::collections::HashMap;
use std::fmt;

/// The multiple of its forecast within which nine of ten first events come.
const FORECAST_MARGIN: u64 = 2;
/// The events of a run from which its pace is known.
const MIN_PACE_EVENTS: u32 = 4;
/// The complete streams from which the usual stream is known.
const MIN_STREAMS: u32 = 8;
/// The weight of a new event in the pace of a run: a slowdown shows after some eight events, and a
/// single late event does not count as one.
const PACE_WEIGHT: f64 = 0.125;
/// The weight of a new stream in the usual one.
const USUAL_WEIGHT: f64 = 1.0 / 16.0;
/// How long before the last moment for it a hand-over begins: the forecast changes meanwhile.
const PATIENCE: Span = Span::from_millis(100);
/// The time after a pause of this process within which events that waited in its sockets are read.
const CATCH_UP: Span = Span::from_millis(250);

/// What happens to a stream next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// It stays at its upstream.
    Stay,
    /// It goes on at another upstream.
    Leave(Gain),
}

/// Why a stream leaves its upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Gain {
    /// The number of the last event.
    pub events: u64,
    /// The expected time until what is at stake, the next event or the end, at the upstream.
    pub here: Span,
    /// The same elsewhere.
    pub elsewhere: Span,
}

impl fmt::Display for Gain {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Gain {
            events,
            here,
            elsewhere,
        } = self;
        write!(
            f,
            "left after {events} events, {} ms to go, {} elsewhere",
            here.millis(),
            elsewhere.millis()
        )
    }
}

/// How far a stream has come.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Progress {
    /// The number of the last event.
    pub last_event: u64,
    /// When the last event came, from any run.
    pub last_at: Option<Time>,
    /// The number of events of the current run.
    pub run_events: u32,
    /// The interval between events of the current run, in microseconds.
    interval: f64,
    /// When this process, or the reading of the answer, last went on after a pause.
    pub resumed_at: Time,
    /// Whether an event was late.
    pub is_late: bool,
    /// Whether the stream has left an upstream.
    pub has_left: bool,
    /// Whether the caller leaves the answer unread.
    pub is_held: bool,
}

impl Progress {
    /// Returns by when the next event ought to come.
    pub fn next_by(&self, accepted_at: Time, objective: Span, pause: Span) -> Time {
        match self.last_at {
            None => accepted_at + objective,
            Some(last) => last + pause,
        }
    }

    /// Records the events of a run up to this number; the first of them ought to have come by `by`.
    pub fn record(&mut self, last_event: u64, by: Time, now: Time) {
        let new = last_event.saturating_sub(self.last_event);
        if new == 0 {
            return;
        }
        self.is_late |= now > by;
        match self.last_at.filter(|_| self.run_events > 0) {
            Some(before) => {
                self.record_interval(now.since(before.max(self.resumed_at)), new);
                self.run_events += new as u32;
            }
            // The events of earlier runs, and those that the caller has, do not count.
            None => self.run_events = 1,
        }
        self.last_event = last_event;
        self.last_at = Some(now);
    }

    fn record_interval(&mut self, passed: Span, events: u64) {
        let interval = passed.micros() as f64 / events as f64;
        let known = u64::from(self.run_events) - 1;
        // The mean of the first events, then a moving one.
        let weight = (events as f64 / (known + events) as f64).max(PACE_WEIGHT);
        self.interval += (interval - self.interval) * weight;
    }

    /// Starts the next run.
    pub fn restart(&mut self) {
        self.run_events = 0;
        self.interval = 0.0;
    }

    /// Returns the interval between events of the current run, if enough of them have come.
    pub fn interval(&self) -> Option<Span> {
        let is_known = self.run_events >= MIN_PACE_EVENTS;
        is_known.then(|| Span::from_micros(self.interval as u64))
    }
}

/// What complete streams of one kind come to.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usual {
    streams: u32,
    events: f64,
    interval: f64,
}

impl Usual {
    /// Records a complete stream.
    pub fn record(&mut self, events: u64, interval: Span) {
        self.streams = self.streams.saturating_add(1);
        let weight = (1.0 / f64::from(self.streams)).max(USUAL_WEIGHT);
        self.events += (events as f64 - self.events) * weight;
        self.interval += (interval.micros() as f64 - self.interval) * weight;
    }

    /// Returns the number of events to come after this one and their usual interval.
    fn rest(&self, last_event: u64) -> Option<(u64, Span)> {
        let rest = (self.events - last_event as f64).round().max(1.0) as u64;
        let interval = Span::from_micros(self.interval as u64);
        (self.streams >= MIN_STREAMS).then_some((rest, interval))
    }
}

/// The usual streams of each route and model.
#[derive(Clone, Debug, Default)]
pub struct Lengths(HashMap<(RouteId, usize), Usual>);

impl Lengths {
    /// Records a complete stream of a route and the index of its model.
    pub fn record(&mut self, route: &RouteId, model: usize, events: u64, interval: Span) {
        let usual = self.0.entry((route.clone(), model)).or_default();
        usual.record(events, interval);
    }

    /// Returns the usual stream of a route and the index of its model.
    pub fn usual(&self, route: &RouteId, model: usize) -> Usual {
        let usual = self.0.get(&(route.clone(), model));
        usual.copied().unwrap_or_default()
    }
}

/// A stream and what its caller is promised.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Stream {
    /// When the caller sent the request.
    pub accepted_at: Time,
    /// When the time that the caller allows has passed.
    pub deadline: Time,
    /// The time within which the first event ought to come.
    pub objective: Span,
    /// The longest pause between two events.
    pub pause: Span,
    /// When the current run was sent.
    pub sent_at: Time,
    /// The expected time from then to its first event.
    pub due: Span,
    /// How far it has come.
    pub progress: Progress,
    /// What complete streams of its kind come to.
    pub usual: Usual,
}

/// An instant and the expected times until then, here and elsewhere.
struct Aim {
    by: Time,
    here: Span,
    elsewhere: Span,
}

impl Aim {
    /// Returns whether the aim is met elsewhere.
    fn is_met(&self, now: Time) -> bool {
        now + self.elsewhere <= self.by
    }

    /// Returns whether the aim is missed here and met elsewhere.
    fn is_gained(&self, now: Time) -> bool {
        now + self.here > self.by && self.is_met(now)
    }

    /// Returns whether the aim is still met elsewhere after [`PATIENCE`].
    fn can_wait(&self, now: Time) -> bool {
        now + PATIENCE + self.elsewhere <= self.by
    }
}

impl Stream {
    /// Returns what happens to the stream, given what the request can expect of other upstreams.
    pub fn step(&self, elsewhere: &Outlook, now: Time) -> Step {
        let progress = &self.progress;
        // What is not read cannot be told from what does not come.
        let is_blind = progress.is_held || now.since(progress.resumed_at) < CATCH_UP;
        if is_blind || progress.has_left || !elsewhere.has_free {
            return Step::Stay;
        }
        let first = Span::from_micros(elsewhere.first.micros() * FORECAST_MARGIN);
        let next = self.next_event(first, now);
        let end = self.end(first, now);
        let ends_in_time = end.as_ref().is_none_or(|end| end.is_met(now));
        // The event that is waited for may come at any moment, so the prefill elsewhere begins as
        // late as it can. The pace to the end only becomes clearer at the cost of the caller.
        let next = next.filter(|next| ends_in_time && !next.can_wait(now));
        let aims = [next, end];
        let gained = aims.into_iter().flatten().find(|aim| aim.is_gained(now));
        gained.map_or(Step::Stay, |aim| {
            Step::Leave(Gain {
                events: progress.last_event,
                here: aim.here,
                elsewhere: aim.elsewhere,
            })
        })
    }

    /// Returns the expected time until the next event of the run.
    fn wait(&self, now: Time) -> Span {
        let (since, due) = match self.progress.run_events {
            0 => (self.sent_at, self.due),
            _ => {
                let interval = self.progress.interval().unwrap_or_default();
                (self.progress.last_at.unwrap_or(self.sent_at), interval)
            }
        };
        let waited = now.since(since.max(self.progress.resumed_at));
        match waited < due {
            true => due - waited,
            // An overdue event is expected to take as long again as it has been waited for.
            false => waited,
        }
    }

    /// Returns the aim for the next event, unless the stream is late already.
    fn next_event(&self, first: Span, now: Time) -> Option<Aim> {
        let progress = &self.progress;
        let by = progress.next_by(self.accepted_at, self.objective, self.pause);
        (!progress.is_late && now <= by).then(|| Aim {
            by,
            here: self.wait(now),
            elsewhere: first,
        })
    }

    /// Returns the aim for the end, if the usual stream and the pace here are known.
    fn end(&self, first: Span, now: Time) -> Option<Aim> {
        let (rest, usual) = self.usual.rest(self.progress.last_event)?;
        let here = match self.progress.run_events {
            0 => usual,
            _ => self.progress.interval()?,
        };
        let after_next = |interval: Span| Span::from_micros(interval.micros() * (rest - 1));
        Some(Aim {
            by: self.deadline,
            here: self.wait(now) + after_next(here),
            elsewhere: first + after_next(usual),
        })
    }
}
