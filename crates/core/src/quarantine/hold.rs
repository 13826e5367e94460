//! How long requests are held back.

use super::{Admission, Fingerprint, Grounds};
use crate::unit::{Span, Time};
use std::collections::BTreeMap;

/// How long a request is held back the first time and later ones. After that, the entry that owns
/// the record tries the request once. A trial costs at most an upstream, which is back after some
/// seconds, and it frees requests that were held back wrongly. No request is held back for ever.
const HOLD_TIMES: [Span; 3] = [
    Span::from_millis(10_000),
    Span::from_millis(120_000),
    Span::from_millis(600_000),
];
const MAX_HOLD: Span = HOLD_TIMES[2];
/// How much longer the other entries hold a request back: they all learn the result of one trial.
/// If there is no record, or the entry that owns it is gone, they try the request then.
const TRIAL_MARGIN: Span = Span::from_millis(60_000);
/// The most requests that are held back or on trial; beyond them the one whose time ends first is
/// removed.
const MAX_HOLDS: usize = 512;

/// How long a request is held back, and how often it was before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hold {
    /// When the hold ends.
    pub until: Time,
    /// How often the request was held back before; each time lasts longer.
    pub previous: u32,
    /// Whether this entry owns the record, so that the request is tried here first.
    pub is_own: bool,
}

impl Hold {
    /// Returns about when the hold began.
    pub fn began_at(&self) -> Time {
        Time(
            self.until
                .0
                .saturating_sub(hold_time(self.previous).micros()),
        )
    }

    /// Returns until when this entry sends the request to no upstream.
    fn local_end(&self) -> Time {
        match self.is_own {
            true => self.until,
            false => self.until + TRIAL_MARGIN,
        }
    }
}

/// Something that is held back or on trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Held {
    /// The fingerprint of the request or part.
    pub fingerprint: Fingerprint,
    /// For how long this entry sends it to no upstream; zero while it is on trial.
    pub left: Span,
    /// How often it was held back before.
    pub previous: u32,
    /// What that rests on.
    pub grounds: Grounds,
}

/// The requests and parts that are held back or on trial.
#[derive(Clone, Debug, Default)]
pub struct Holds(BTreeMap<Fingerprint, (Hold, Grounds)>);

impl Holds {
    /// Returns whether a request may be sent to an upstream.
    pub fn admits(&self, fingerprint: Fingerprint, now: Time) -> Admission {
        match self.0.get(&fingerprint) {
            None => Admission::Allowed,
            Some((hold, _)) if now < hold.local_end() => {
                Admission::Held(hold.local_end().since(now))
            }
            Some(_) => Admission::Trial,
        }
    }

    /// Returns whether the hold of a request that is on trial had ended at a time.
    pub fn ended_by(&self, fingerprint: Fingerprint, at: Time) -> bool {
        self.0
            .get(&fingerprint)
            .is_some_and(|(hold, _)| at >= hold.until)
    }

    /// Returns all that is held back or on trial.
    pub fn list(&self, now: Time) -> Vec<Held> {
        let held = |(fingerprint, (hold, grounds)): (&Fingerprint, &(Hold, Grounds))| Held {
            fingerprint: *fingerprint,
            left: hold.local_end().since(now),
            previous: hold.previous,
            grounds: *grounds,
        };
        self.0.iter().map(held).collect()
    }

    /// Returns how many requests are held back.
    pub fn count(&self, now: Time) -> usize {
        self.0
            .values()
            .filter(|(hold, _)| now < hold.local_end())
            .count()
    }

    /// Holds a request back from now on.
    pub fn hold(&mut self, fingerprint: Fingerprint, grounds: Grounds, now: Time) -> Hold {
        let known = self.0.get(&fingerprint).map(|(hold, _)| *hold);
        let before = known.map_or(0, |hold| hold.previous + 1);
        let hold = Hold {
            until: now + hold_time(before),
            previous: before,
            is_own: known.is_some_and(|hold| hold.is_own),
        };
        self.insert(fingerprint, hold, grounds, now);
        hold
    }

    /// Applies a recorded hold; returns whether it holds the request back anew.
    pub fn restore(&mut self, fingerprint: Fingerprint, hold: Hold, now: Time) -> bool {
        let known = self.0.get(&fingerprint).copied();
        if known.is_some_and(|(known, _)| known.previous > hold.previous) {
            // The later hold of this entry is still to be recorded.
            return false;
        }
        let is_new = !matches!(self.admits(fingerprint, now), Admission::Held(_));
        // A clock that is far off must not make a hold longer than the longest.
        let until = hold.until.min(now + MAX_HOLD);
        let hold = Hold { until, ..hold };
        let grounds = known.map_or(Grounds::Record, |(_, grounds)| grounds);
        self.insert(fingerprint, hold, grounds, now);
        is_new && now < hold.local_end()
    }

    /// Removes a request; returns whether it was held back or on trial.
    pub fn remove(&mut self, fingerprint: Fingerprint) -> bool {
        self.0.remove(&fingerprint).is_some()
    }

    fn insert(&mut self, fingerprint: Fingerprint, hold: Hold, grounds: Grounds, now: Time) {
        self.0.insert(fingerprint, (hold, grounds));
        // Requests that were not repeated for this long are forgotten.
        self.0
            .retain(|_, (hold, _)| now.since(hold.until) < MAX_HOLD);
        if self.0.len() > MAX_HOLDS {
            let first = self.0.iter().min_by_key(|(_, (hold, _))| hold.until);
            if let Some(first) = first.map(|(fingerprint, _)| *fingerprint) {
                self.0.remove(&first);
            }
        }
    }
}

/// Returns how long something is held back that was held back this often before.
fn hold_time(previous: u32) -> Span {
    let last = HOLD_TIMES.len() - 1;
    HOLD_TIMES[last.min(previous as usize)]
}
