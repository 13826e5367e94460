//! When a move to another release gives it what share of the requests.
//!
//! In the first half of the time given every session stays where it is, so a
//! small share of new ones is the trial. After that sessions may move, and the trial
//! is larger: first under the usual load, then on so few upstreams that they are
//! loaded more, for a release that fails only then. Everything moves near the end,
//! so late that no more than a set share of the requests of the whole time can have
//! reached the release.
//!
//! ```
//! use sorreldeck::release::schedule::{Schedule, Stage};
//! use sorreldeck::{Share, Span};
//!
//! let schedule = Schedule::new(Share::percent(15), Span::from_millis(24_000));
//! assert_eq!(schedule.stage(Span::from_millis(1_000)), Stage::Small);
//! assert_eq!(schedule.stage(Span::from_millis(23_000)), Stage::All);
//! ```

use crate::unit::{Share, Span};

/// The share of sessions on a release on trial in the first half. Sessions roam
/// between entries, and while what they tell one another of these is on the way, a session
/// that another entry has just served on the old release may be drawn; more than three
/// break the rule.
const TRIAL: f64 = 0.025;
/// How long after its record a trial begins: entries learn of the record within some 0.1 s,
/// and of the sessions that others serve on the old release within 0.3 s, over three links of
/// which each gathers for 40 ms and may be slow. Without it and without being told, 32 of 1,000
/// sessions between two requests moved (test `session_of_another_entry_was_drawn`).
const LEAD: Span = Span::from_millis(1_000);
/// The part of the time given that this takes at most, one in so many.
const LEAD_PART: u64 = 10;
/// The part of the time given after which sessions may move; they may from half of
/// it, and the clocks of entries are a few milliseconds apart.
const SESSIONS_MOVE: f64 = 0.52;
/// The part of the time given after which the trial loads few upstreams: what is
/// left then lets them fill up, and the time before tells slow from good.
const LOADED: f64 = 0.72;
/// The most of the sessions on trial after that: more would load the few upstreams
/// of a trial with cold caches beyond the usual.
const LARGER_TRIAL: f64 = 0.15;
/// What is kept free of the share that may be exposed, since requests may come more
/// often near the end: 2 s of 24 s at 1.1 times the rate.
const RESERVE: f64 = 0.01;
/// How long before the end of the time given a good release is recorded as
/// completed even though the old one still runs something: the first record comes
/// up to 0.4 s after the order, an entry waits up to 0.3 s before it writes.
const COMPLETE_BEFORE: Span = Span::from_millis(900);
/// How long before that it is recorded once nothing runs on the old release, whose
/// upstreams are stopped then.
const COMPLETE_EARLY: Span = Span::from_millis(150);
/// How long before it is recorded everything moves, where the share that may be
/// exposed allows: what has not begun by then begins anew elsewhere.
const MOVE_BEFORE: Span = Span::from_millis(300);

/// The stage of a move, in the order in which they come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// A small share of sessions that begin.
    Small,
    /// A larger share of all sessions.
    Larger,
    /// The same share on fewer upstreams, which are loaded more than usual.
    Loaded,
    /// Everything.
    All,
}

/// When a release gets what share of the requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Schedule {
    duration: Span,
    /// The part of the time after which everything moves.
    move_at: f64,
    /// The share of the second trial.
    larger: f64,
}

impl Schedule {
    /// Creates the schedule of a move that is given this time and may expose this
    /// share of the requests in it.
    pub fn new(exposure: Share, duration: Span) -> Schedule {
        let free = (exposure.fraction() - RESERVE - TRIAL * SESSIONS_MOVE).max(0.0);
        let at_end = (COMPLETE_BEFORE + MOVE_BEFORE).secs_f64() / duration.secs_f64().max(1e-3);
        let at_end = at_end.min(free).min(1.0 - SESSIONS_MOVE);
        let second = 1.0 - SESSIONS_MOVE - at_end;
        let larger = (free - at_end) / second.max(1e-3);
        Schedule {
            duration,
            move_at: 1.0 - at_end,
            larger: larger.clamp(0.0, LARGER_TRIAL),
        }
    }

    /// Returns the stage that a move is in after this time.
    pub fn stage(&self, passed: Span) -> Stage {
        match self.part(passed) {
            part if part >= self.move_at => Stage::All,
            part if part >= LOADED => Stage::Loaded,
            part if part >= SESSIONS_MOVE => Stage::Larger,
            _ => Stage::Small,
        }
    }

    /// Returns how long after the record the trial begins.
    pub fn lead(&self) -> Span {
        LEAD.min(Span::from_micros(self.duration.micros() / LEAD_PART))
    }

    /// Returns the share of sessions that the release gets in a stage.
    pub fn share(&self, stage: Stage) -> f64 {
        match stage {
            Stage::Small => TRIAL,
            Stage::Larger | Stage::Loaded => self.larger.max(TRIAL),
            Stage::All => 1.0,
        }
    }

    /// Returns whether a good release is to be recorded as completed.
    pub fn completes(&self, passed: Span, old_is_empty: bool) -> bool {
        let left = self.duration - passed;
        let early = match old_is_empty {
            true => COMPLETE_EARLY,
            false => Span::default(),
        };
        self.stage(passed) == Stage::All && left <= COMPLETE_BEFORE + early
    }

    /// Returns the part of the time given that has passed.
    pub fn part(&self, passed: Span) -> f64 {
        passed.secs_f64() / self.duration.secs_f64().max(1e-3)
    }
}
