//! What entries told of requests, kept by whoever passes it on, for entries that start later.

use super::{Update, KEPT};
use crate::unit::Time;
use std::collections::VecDeque;

/// The most that is kept: some crashes of upstreams with all that ran there.
const MOST: usize = 256;

/// What was told, the oldest first.
#[derive(Clone, Debug, Default)]
pub struct Journal(VecDeque<(Time, Update)>);

impl Journal {
    /// Notes what an entry tells.
    pub fn note(&mut self, words: &[Update], now: Time) {
        for word in words {
            if self.0.len() >= MOST {
                self.0.pop_front();
            }
            self.0.push_back((now, word.clone()));
        }
    }

    /// Returns what an entry that starts now is to be told, in order.
    pub fn live(&self, now: Time) -> Vec<Update> {
        let live = self.0.iter().filter(|(at, _)| now.since(*at) < KEPT);
        live.map(|(at, word)| word.clone().delayed(now.since(*at)))
            .collect()
    }
}
