//! For how long requests are held back.

use super::{Admission, Fingerprint};
use crate::unit::{Span, Time};
use std::collections::BTreeMap;

/// How long a request is held back, the first time and later ones. After that the entry whose
/// record stands tries it once: that costs an upstream, which is back after some seconds, and
/// frees what was held back wrongly. Nothing is held back for ever.
const SPANS: [Span; 3] = [
    Span::from_millis(10_000),
    Span::from_millis(120_000),
    Span::from_millis(600_000),
];
const LONGEST: Span = SPANS[2];
/// How much longer the other entries hold a request back: one trial tells them all. Where
/// nothing is recorded, or the entry of the record is gone, they try it then.
const OTHERS: Span = Span::from_millis(60_000);
/// The most requests held back or on trial; the one whose time ends first gives way.
const MOST: usize = 512;

/// For how long a request is held back, and how often it was before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hold {
    /// Until when.
    pub until: Time,
    /// How often it was held back before; each time lasts longer.
    pub previous: u32,
    /// Whether it is this entry's record, so that it is tried here first.
    pub is_own: bool,
}

impl Hold {
    /// Returns until when the request gets no upstream here.
    fn lasts(&self) -> Time {
        match self.is_own {
            true => self.until,
            false => self.until + OTHERS,
        }
    }
}

/// The requests that are held back or on trial.
#[derive(Clone, Debug, Default)]
pub struct Holds(BTreeMap<Fingerprint, Hold>);

impl Holds {
    /// Returns whether a request may get an upstream.
    pub fn admits(&self, fingerprint: Fingerprint, now: Time) -> Admission {
        match self.0.get(&fingerprint) {
            None => Admission::Allowed,
            Some(hold) if now < hold.lasts() => Admission::Held(hold.lasts().since(now)),
            Some(_) => Admission::Trial,
        }
    }

    /// Returns whether a request that is on trial was not held back any more at a time.
    pub fn ended_by(&self, fingerprint: Fingerprint, at: Time) -> bool {
        self.0
            .get(&fingerprint)
            .is_some_and(|hold| at >= hold.until)
    }

    /// Returns how many are held back.
    pub fn count(&self, now: Time) -> usize {
        self.0.values().filter(|hold| now < hold.lasts()).count()
    }

    /// Holds a request back from now on.
    pub fn hold(&mut self, fingerprint: Fingerprint, now: Time) -> Hold {
        let known = self.0.get(&fingerprint);
        let before = known.map_or(0, |hold| hold.previous + 1);
        let last = SPANS.len() - 1;
        let hold = Hold {
            until: now + SPANS[last.min(before as usize)],
            previous: before,
            is_own: known.is_some_and(|hold| hold.is_own),
        };
        self.insert(fingerprint, hold, now);
        hold
    }

    /// Takes in what is recorded; returns whether that is news.
    pub fn put(&mut self, fingerprint: Fingerprint, hold: Hold, now: Time) -> bool {
        let known = self.0.get(&fingerprint);
        if known.is_some_and(|known| known.previous > hold.previous) {
            // What was found out here since then goes on its way to the record.
            return false;
        }
        let is_news = !matches!(self.admits(fingerprint, now), Admission::Held(_));
        // A clock that is far off must not hold anything back for longer than the longest.
        let until = hold.until.min(now + LONGEST);
        let hold = Hold { until, ..hold };
        self.insert(fingerprint, hold, now);
        is_news && now < hold.lasts()
    }

    /// Forgets a request; returns whether it was held back or on trial.
    pub fn remove(&mut self, fingerprint: Fingerprint) -> bool {
        self.0.remove(&fingerprint).is_some()
    }

    fn insert(&mut self, fingerprint: Fingerprint, hold: Hold, now: Time) {
        self.0.insert(fingerprint, hold);
        // What nobody asked for in so long a time is forgotten.
        self.0.retain(|_, hold| now.since(hold.until) < LONGEST);
        if self.0.len() > MOST {
            let first = self.0.iter().min_by_key(|(_, hold)| hold.until);
            if let Some(first) = first.map(|(fingerprint, _)| *fingerprint) {
                self.0.remove(&first);
            }
        }
    }
}
