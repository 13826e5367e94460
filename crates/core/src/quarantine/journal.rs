//! Recent updates of entries, kept by the process that forwards them for entries that start later.

use super::{Update, RETENTION};
use crate::unit::Time;
use std::collections::VecDeque;

/// The most updates that are kept: some crashes of upstreams with all requests that ran there.
const MAX_UPDATES: usize = 256;

/// The updates with the times at which they arrived, the oldest first.
#[derive(Clone, Debug, Default)]
pub struct Journal(VecDeque<(Time, Update)>);

impl Journal {
    /// Records updates of an entry.
    pub fn note(&mut self, updates: &[Update], now: Time) {
        for update in updates {
            if self.0.len() >= MAX_UPDATES {
                self.0.pop_front();
            }
            self.0.push_back((now, update.clone()));
        }
    }

    /// Returns the updates for an entry that starts now, in order.
    pub fn live(&self, now: Time) -> Vec<Update> {
        let live = self.0.iter().filter(|(at, _)| now.since(*at) < RETENTION);
        live.map(|(at, update)| update.clone().delayed(now.since(*at)))
            .collect()
    }
}
