//! Tracks the era of the store and classifies the answers of the store by it.

use super::Era;
use crate::unit::Time;
use std::cmp::Ordering;

/// How an answer of the store relates to the known era.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// The answer is of the known era, or names none.
    Current,
    /// The store was restored from a backup since the era `before`, so all tables must be read
    /// whole.
    Restored {
        /// The era that was known before the restore.
        before: Era,
    },
    /// The answer is older than the known state and must be discarded.
    Stale,
}

/// The latest known era of the store.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tracker {
    era: Option<Era>,
    /// When the latest answer of that era arrived.
    at: Time,
}

impl Tracker {
    /// Returns the known era, or the first one if none was reported.
    pub fn current(&self) -> Era {
        self.era.unwrap_or_default()
    }

    /// Processes the era in the answer to a call that began at `asked`. `fell` says that the
    /// versions of the store are lower than before, which shows a restore even if the era did not
    /// change.
    ///
    /// A step backwards counts only if the call began after the latest answer arrived: the answer
    /// to an earlier call may have been sent before that one.
    pub fn observe(
        &mut self,
        reported: Option<Era>,
        fell: bool,
        asked: Time,
        now: Time,
    ) -> Freshness {
        let before = self.current();
        let reported = reported.unwrap_or(before);
        let goes_back = reported < before || (reported == before && fell);
        if goes_back && asked <= self.at {
            return Freshness::Stale;
        }
        let next = match reported == before && fell {
            true => Era(before.0.saturating_add(1)),
            false => reported,
        };
        let is_first = self.era.is_none() && !fell;
        self.era = Some(next);
        self.at = now;
        match is_first || next == before {
            true => Freshness::Current,
            false => Freshness::Restored { before },
        }
    }

    /// Processes the era that another entry reports; only a later one has an effect.
    pub fn observe_peer(&mut self, reported: Era, now: Time) -> Freshness {
        match reported.cmp(&self.current()) {
            Ordering::Less => Freshness::Stale,
            Ordering::Equal => Freshness::Current,
            // A later era is never a step backwards, so it does not matter when it was requested.
            Ordering::Greater => self.observe(Some(reported), false, now, now),
        }
    }
}
