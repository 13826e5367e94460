//! How long requests are held back.

use super::{Admission, Fingerprint};
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
        let last = HOLD_TIMES.len() - 1;
        let lasts = HOLD_TIMES[last.min(self.previous as usize)];
        Time(self.until.0.saturating_sub(lasts.micros()))
    }

    /// Returns until when this entry sends the request to no upstream.
    fn local_end(&self) -> Time {
        match self.is_own {
            true => self.until,
            false => self.until + TRIAL_MARGIN,
        }
    }
}

/// The requests that are held back or on trial.
#[derive(Clone, Debug, Default)]
pub struct Holds(BTreeMap<Fingerprint, Hold>);

impl Holds {
    /// Returns whether a request may be sent to an upstream.
    pub fn admits(&self, fingerprint: Fingerprint, now: Time) -> Admission {
        match self.0.get(&fingerprint) {
            None => Admission::Allowed,
            Some(hold) if now < hold.local_end() => Admission::Held(hold.local_end().since(now)),
            Some(_) => Admission::Trial,
        }
    }

    /// Returns whether the hold of a request that is on trial had ended at a time.
    pub fn ended_by(&self, fingerprint: Fingerprint, at: Time) -> bool {
        self.0
            .get(&fingerprint)
            .is_some_and(|hold| at >= hold.until)
    }

    /// Returns how many requests are held back.
    pub fn count(&self, now: Time) -> usize {
        self.0
            .values()
            .filter(|hold| now < hold.local_end())
            .count()
    }

    /// Holds a request back from now on.
    pub fn hold(&mut self, fingerprint: Fingerprint, now: Time) -> Hold {
        let known = self.0.get(&fingerprint);
        let before = known.map_or(0, |hold| hold.previous + 1);
        let last = HOLD_TIMES.len() - 1;
        let hold = Hold {
            until: now + HOLD_TIMES[last.min(before as usize)],
            previous: before,
            is_own: known.is_some_and(|hold| hold.is_own),
        };
        self.insert(fingerprint, hold, now);
        hold
    }

    /// Applies a recorded hold; returns whether it holds the request back anew.
    pub fn restore(&mut self, fingerprint: Fingerprint, hold: Hold, now: Time) -> bool {
        let known = self.0.get(&fingerprint);
        if known.is_some_and(|known| known.previous > hold.previous) {
            // The later hold of this entry is still to be recorded.
            return false;
        }
        let is_new = !matches!(self.admits(fingerprint, now), Admission::Held(_));
        // A clock that is far off must not make a hold longer than the longest.
        let until = hold.until.min(now + MAX_HOLD);
        let hold = Hold { until, ..hold };
        self.insert(fingerprint, hold, now);
        is_new && now < hold.local_end()
    }

    /// Removes a request; returns whether it was held back or on trial.
    pub fn remove(&mut self, fingerprint: Fingerprint) -> bool {
        self.0.remove(&fingerprint).is_some()
    }

    fn insert(&mut self, fingerprint: Fingerprint, hold: Hold, now: Time) {
        self.0.insert(fingerprint, hold);
        // Requests that were not repeated for this long are forgotten.
        self.0.retain(|_, hold| now.since(hold.until) < MAX_HOLD);
        if self.0.len() > MAX_HOLDS {
            let first = self.0.iter().min_by_key(|(_, hold)| hold.until);
            if let Some(first) = first.map(|(fingerprint, _)| *fingerprint) {
                self.0.remove(&first);
            }
        }
    }
}
