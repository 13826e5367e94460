//! The share of the requests that a release gets over the time of a move.
//!
//! In the first half of the given time every session stays where it is, so a small share of new
//! ones is the trial. After that sessions may move, and the trial is larger: first under the usual
//! load, then on so few upstreams that they are loaded more, to detect a release that fails only
//! then. Everything moves near the end, so late that no more than a set share of the requests of
//! the whole time can have reached the release. A trial that has shown too little by then is
//! prolonged.
//!
//! ```
//! use sorreldeck::release::schedule::{Schedule, Stage};
//! use sorreldeck::{Share, Span};
//!
//! let schedule = Schedule::new(Share::percent(15), Span::from_millis(24_000));
//! assert_eq!(schedule.stage(Span::from_millis(1_000)), Stage::Small);
//! assert_eq!(schedule.stage(Span::from_millis(23_500)), Stage::All);
//! ```

use crate::unit::{Share, Span};

/// The share of sessions on a release on trial in the first half. Sessions change entries, and
/// until the report of the former entry arrives, a session that it has just served on the old
/// release may be drawn. No more than three sessions may be moved so.
const TRIAL_SHARE: f64 = 0.025;
/// How long after its record a trial begins. Entries learn of the record within some 0.1 s, and of
/// the sessions that others serve on the old release within 0.3 s, over three links, each of which
/// collects reports for 40 ms and may be slow. Without this delay and without reports, 32 of 1,000
/// sessions between two requests moved (test `session_of_another_entry_was_drawn`).
const TRIAL_DELAY: Span = Span::from_millis(1_000);
/// The divisor of the given time that bounds this delay.
const TRIAL_DELAY_DIVISOR: u64 = 10;
/// The fraction of the given time after which sessions may move. They may move from half of it on,
/// and the clocks of entries are a few milliseconds apart.
const SESSIONS_MOVE_AT: f64 = 0.52;
/// The fraction of the given time after which the trial loads few upstreams. The rest of the time
/// lets them fill up, and the time before separates slow releases from good ones.
const LOADED_AT: f64 = 0.72;
/// The largest share of sessions on trial after sessions may move. More would load the few
/// upstreams of a trial, whose caches are cold, beyond the usual.
const MAX_TRIAL_SHARE: f64 = 0.15;
/// The share that is kept free of the exposure limit, because requests may come more often near the
/// end: 2 s of 24 s at 1.1 times the rate.
const RESERVE: f64 = 0.01;
/// How long before the end of the given time everything moves and a good release is recorded as
/// completed. The first record comes up to 0.4 s after the order, and an entry waits up to 0.3 s
/// before it writes.
const COMPLETE_BEFORE: Span = Span::from_millis(600);
/// The part of the given time by which a trial that has shown too little is prolonged at most.
const EXTENSION: f64 = 0.5;

/// The stages of a move, in their order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// A small share of the sessions that begin.
    Small,
    /// A larger share of all sessions.
    Larger,
    /// The same share on fewer upstreams, which are loaded more than usual.
    Loaded,
    /// The larger share under the usual load, after the given time, of a release that has shown too
    /// little in it.
    Prolonged,
    /// All requests.
    All,
}

/// The share of the requests that a release gets over time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Schedule {
    duration: Span,
    /// The fraction of the given time after which everything moves.
    move_at: f64,
    /// The share of the larger trial.
    larger: f64,
}

impl Schedule {
    /// Creates the schedule of a move that is given this time and may expose this share of the
    /// requests in it.
    pub fn new(exposure: Share, duration: Span) -> Schedule {
        let free = (exposure.fraction() - RESERVE - TRIAL_SHARE * SESSIONS_MOVE_AT).max(0.0);
        let at_end = COMPLETE_BEFORE.secs_f64() / duration.secs_f64().max(1e-3);
        let at_end = at_end.min(free).min(1.0 - SESSIONS_MOVE_AT);
        let second = 1.0 - SESSIONS_MOVE_AT - at_end;
        let larger = (free - at_end) / second.max(1e-3);
        Schedule {
            duration,
            move_at: 1.0 - at_end,
            larger: larger.clamp(0.0, MAX_TRIAL_SHARE),
        }
    }

    /// Returns the stage of a move after this time.
    pub fn stage(&self, passed: Span) -> Stage {
        match self.part(passed) {
            part if part >= self.move_at => Stage::All,
            part if part >= LOADED_AT => Stage::Loaded,
            part if part >= SESSIONS_MOVE_AT => Stage::Larger,
            _ => Stage::Small,
        }
    }

    /// Returns how long after the record the trial begins.
    pub fn lead(&self) -> Span {
        TRIAL_DELAY.min(Span::from_micros(
            self.duration.micros() / TRIAL_DELAY_DIVISOR,
        ))
    }

    /// Returns the share of sessions that the release gets in a stage.
    pub fn share(&self, stage: Stage) -> f64 {
        match stage {
            Stage::Small => TRIAL_SHARE,
            Stage::Larger | Stage::Loaded | Stage::Prolonged => self.larger.max(TRIAL_SHARE),
            Stage::All => 1.0,
        }
    }

    /// Returns whether a trial that has shown too little is not prolonged any further.
    pub fn is_over(&self, passed: Span) -> bool {
        self.part(passed) >= 1.0 + EXTENSION
    }

    /// Returns the fraction of the given time that has passed.
    pub fn part(&self, passed: Span) -> f64 {
        passed.secs_f64() / self.duration.secs_f64().max(1e-3)
    }
}
