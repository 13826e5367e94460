//! What the era that an answer of the store tells means.

use super::Era;
use crate::unit::Time;

/// What an answer of the store is by its era.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Heard {
    /// It is of the era that is known, or tells none.
    Current,
    /// The store came back from a copy since the era `before`: all tables must be read whole.
    Restored {
        /// The era that was known.
        before: Era,
    },
    /// It is older than what is known, and must be left.
    Late,
}

/// The era of the store as it was heard last.
#[derive(Clone, Copy, Debug, Default)]
pub struct Eras {
    known: Option<Era>,
    /// When the latest answer of that era arrived.
    at: Time,
}

impl Eras {
    /// Returns the era that is known; the first one where none was told.
    pub fn current(&self) -> Era {
        self.known.unwrap_or_default()
    }

    /// Takes in the era that the store told in answer to a call begun at `asked`.
    ///
    /// An era that is lower counts only where the call began after the latest answer of the
    /// one that is known: any other answer may have been on its way since before.
    pub fn hear(&mut self, told: Option<Era>, asked: Time, now: Time) -> Heard {
        let Some(told) = told else {
            return Heard::Current;
        };
        let before = self.current();
        if told < before && asked <= self.at {
            return Heard::Late;
        }
        let is_first = self.known.is_none();
        self.known = Some(told);
        self.at = now;
        match is_first || told == before {
            true => Heard::Current,
            false => Heard::Restored { before },
        }
    }

    /// Takes in the era that another entry tells, of which only a later one counts.
    pub fn learn(&mut self, told: Era, now: Time) -> Heard {
        let before = self.current();
        if told <= before {
            return match told == before {
                true => Heard::Current,
                false => Heard::Late,
            };
        }
        let is_first = self.known.is_none();
        self.known = Some(told);
        self.at = now;
        match is_first {
            true => Heard::Current,
            false => Heard::Restored { before },
        }
    }
}
