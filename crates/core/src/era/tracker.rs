//! What the era that an answer of the store tells means.

use super::Era;
use crate::unit::Time;
use std::cmp::Ordering;

/// What an answer of the store is by its era.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// It is of the era that is known, or tells none.
    Current,
    /// The store came back from a copy since the era `before`: all tables must be read whole.
    Restored {
        /// The era that was known.
        before: Era,
    },
    /// It is older than what is known, and must be left.
    Stale,
}

/// The era of the store as it was heard last.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tracker {
    known: Option<Era>,
    /// When the latest answer of that era arrived.
    at: Time,
}

impl Tracker {
    /// Returns the era that is known; the first one where none was told.
    pub fn current(&self) -> Era {
        self.known.unwrap_or_default()
    }

    /// Takes in the era that the store told in answer to a call begun at `asked`; `fell` says that
    /// its versions are lower than before, so that it came back though it told no other era.
    ///
    /// What goes back counts only where the call began after the latest answer: any other may have
    /// been on its way since before.
    pub fn observe(&mut self, told: Option<Era>, fell: bool, asked: Time, now: Time) -> Freshness {
        let before = self.current();
        let told = told.unwrap_or(before);
        let goes_back = told < before || (told == before && fell);
        if goes_back && asked <= self.at {
            return Freshness::Stale;
        }
        let next = match told == before && fell {
            true => Era(before.0.saturating_add(1)),
            false => told,
        };
        let is_first = self.known.is_none() && !fell;
        self.known = Some(next);
        self.at = now;
        match is_first || next == before {
            true => Freshness::Current,
            false => Freshness::Restored { before },
        }
    }

    /// Takes in the era that another entry tells, of which only a later one counts.
    pub fn observe_peer(&mut self, told: Era, now: Time) -> Freshness {
        match told.cmp(&self.current()) {
            Ordering::Less => Freshness::Stale,
            Ordering::Equal => Freshness::Current,
            // A later era never goes back, whenever it was asked for.
            Ordering::Greater => self.observe(Some(told), false, now, now),
        }
    }
}
