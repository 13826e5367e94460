//! When requests, or parts of prompts, were last answered completely.

use super::outcomes::RECENT;
use super::Fingerprint;
use crate::unit::Time;
use std::collections::{HashMap, VecDeque};

/// The most answers that are kept: ten seconds at 400 a second.
pub const MAX_ANSWERS: usize = 4_096;

/// The last answers by request or part.
#[derive(Clone, Debug, Default)]
pub struct Answers {
    times: HashMap<Fingerprint, Time>,
    /// The oldest first; a fingerprint may occur more than once.
    order: VecDeque<(Time, Fingerprint)>,
}

impl Answers {
    /// Records a complete answer.
    pub fn record(&mut self, fingerprint: Fingerprint, now: Time) {
        self.times.insert(fingerprint, now);
        self.order.push_back((now, fingerprint));
        while self.order.len() > MAX_ANSWERS {
            let Some((at, oldest)) = self.order.pop_front() else {
                break;
            };
            if self.times.get(&oldest) == Some(&at) {
                self.times.remove(&oldest);
            }
        }
    }

    /// Returns the time of the last answer, if it is known.
    pub fn last(&self, fingerprint: Fingerprint) -> Option<Time> {
        self.times.get(&fingerprint).copied()
    }

    /// Returns whether there was an answer recently.
    pub fn is_recent(&self, fingerprint: Fingerprint, now: Time) -> bool {
        self.last(fingerprint)
            .is_some_and(|last| now.since(last) < RECENT)
    }

    /// Returns whether there was an answer after a time.
    pub fn is_after(&self, fingerprint: Fingerprint, at: Time) -> bool {
        self.last(fingerprint).is_some_and(|last| last > at)
    }
}
