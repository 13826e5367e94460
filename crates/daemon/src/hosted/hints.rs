//! What entries tell one another at once, over the links by which tables are handed down: the
//! long prompts that they sent, the sessions that stay at their release, the requests under
//! which upstreams crashed, and what upstreams said of themselves.

use super::relay::Command;
use sorreldeck::notice;
use sorreldeck::quarantine::Update;
use sorreldeck::release::Affinity;
use sorreldeck::{Span, Time};
use std::collections::BTreeMap;

/// The most prompts that wait to be told over one link; a reader that is far behind would
/// tell what has been read long ago.
const MOST_PROMPTS: usize = 256;
/// The most sessions that wait to be told over one link, or are remembered: what they tell
/// holds for seconds, and some ten a second are told on installations of hundreds of entries.
const MOST_STAYS: usize = 4_096;

/// The most upstreams and requests that wait to be told of over one link: more crash only where
/// all do, and then no request is found out by it.
const MOST_WORDS: usize = 512;

/// The most that waits to be told over one link of what upstreams said of themselves.
const MOST_NOTICES: usize = 1_024;

/// What waits to be told over a link, or was told.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Hints {
    /// The prompts: the number of the upstream, and how long reading takes, in milliseconds.
    pub prompts: Vec<(u64, u32)>,
    /// The sessions.
    pub stays: Vec<Affinity>,
    /// The requests under which upstreams crashed, and when that was noted here.
    pub words: Vec<(Update, Time)>,
    /// What upstreams said of themselves.
    pub notices: Vec<notice::Update>,
}

impl Hints {
    /// Returns whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        self.prompts.is_empty()
            && self.stays.is_empty()
            && self.words.is_empty()
            && self.notices.is_empty()
    }

    /// Returns the requests as they are told now.
    pub fn words_at(&self, now: Time) -> Vec<Update> {
        let words = self.words.iter().cloned();
        words
            .map(|(word, at)| word.delayed(now.since(at)))
            .collect()
    }

    /// Puts more in line, as far as there is room.
    pub fn extend(&mut self, more: &Hints) {
        if self.prompts.len() < MOST_PROMPTS {
            self.prompts.extend_from_slice(&more.prompts);
        }
        if self.stays.len() < MOST_STAYS {
            self.stays.extend_from_slice(&more.stays);
        }
        if self.words.len() < MOST_WORDS {
            self.words.extend_from_slice(&more.words);
        }
        if self.notices.len() < MOST_NOTICES {
            self.notices.extend_from_slice(&more.notices);
        }
    }

    /// Returns what the decisions of this entry are to take in.
    pub fn orders(&self) -> Vec<Command> {
        let reads = |(number, ms): &(u64, u32)| {
            let reading = Span::from_millis(u64::from(*ms));
            Command::Prefill(*number, reading)
        };
        let prompts = self.prompts.iter().map(reads);
        let stays = self.stays.iter().cloned().map(Command::Affinity);
        let words = self
            .words
            .iter()
            .map(|(word, _)| Command::Quarantine(word.clone()));
        let notices = self.notices.iter().copied().map(Command::Notice);
        prompts.chain(stays).chain(words).chain(notices).collect()
    }
}

/// The sessions that stay at their release, as far as they are known, for entries that ask
/// for tables later.
#[derive(Clone, Debug, Default)]
pub struct Stays(BTreeMap<u64, (Affinity, Time)>);

impl Stays {
    /// Notes sessions.
    pub fn note(&mut self, stays: &[Affinity], now: Time) {
        for stay in stays {
            self.0.insert(stay.session, (stay.clone(), now + stay.left));
        }
        if self.0.len() > MOST_STAYS {
            self.0.retain(|_, (_, until)| now < *until);
        }
    }

    /// Returns those whose next request may still come.
    pub fn live(&self, now: Time) -> Vec<Affinity> {
        let live = self.0.values().filter(|(_, until)| now < *until);
        let left = |(stay, until): &(Affinity, Time)| Affinity {
            left: until.since(now),
            ..stay.clone()
        };
        live.map(left).collect()
    }
}
