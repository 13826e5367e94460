//! Counts of started requests by window and client account.

use super::Window;
use crate::id::{AccountId, Incarnation, InstanceId};
use crate::unit::{Span, Time};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The number of windows whose counts are retained.
const RETAINED_WINDOWS: u64 = 24;

/// Request counts by client account.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Counts(BTreeMap<AccountId, u64>);

impl Counts {
    /// Returns the requests of all client accounts.
    pub fn total(&self) -> u64 {
        self.0.values().sum()
    }

    /// Returns the requests of a client account.
    pub fn of(&self, account: &AccountId) -> u64 {
        self.0.get(account).copied().unwrap_or(0)
    }

    /// Adds requests of a client account.
    pub fn add(&mut self, account: &AccountId, requests: u64) {
        let count = self.0.entry(account.clone()).or_default();
        *count = count.saturating_add(requests);
    }

    /// Adds all counts of another set.
    pub fn add_all(&mut self, others: &Counts) {
        for (account, requests) in &others.0 {
            self.add(account, *requests);
        }
    }

    /// Returns the client accounts with their requests.
    pub fn iter(&self) -> impl Iterator<Item = (&AccountId, u64)> {
        self.0.iter().map(|(account, count)| (account, *count))
    }

    /// Raises a count that never decreases.
    fn raise(&mut self, account: AccountId, requests: u64) {
        let count = self.0.entry(account).or_default();
        *count = requests.max(*count);
    }
}

/// The changed counts of one entry in a window. Each is the entry's full count for that client
/// account, not the difference.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// The window.
    pub window: Window,
    /// The incarnation of the entry; its counts start from 0.
    #[serde(rename = "by")]
    pub incarnation: Incarnation,
    /// The requests by client account.
    pub counts: Vec<(AccountId, u64)>,
}

/// The counts of this entry and those received from other entries of its data hall.
#[derive(Clone, Debug)]
pub struct Tally {
    length: Span,
    incarnation: Incarnation,
    own_counts: BTreeMap<Window, Counts>,
    /// The counts that changed since they were last sent.
    changed: BTreeSet<(Window, AccountId)>,
    peer_counts: BTreeMap<Window, BTreeMap<(InstanceId, Incarnation), Counts>>,
}

impl Tally {
    /// Creates a tally of windows of the given length.
    pub fn new(incarnation: Incarnation, length: Span) -> Tally {
        Tally {
            length,
            incarnation,
            own_counts: BTreeMap::new(),
            changed: BTreeSet::new(),
            peer_counts: BTreeMap::new(),
        }
    }

    /// Counts a request that started at a UTC time.
    pub fn record(&mut self, account: &AccountId, time: Time) {
        let window = Window::at(time, self.length);
        self.own_counts.entry(window).or_default().add(account, 1);
        self.changed.insert((window, account.clone()));
        let oldest = window.back(RETAINED_WINDOWS);
        if self
            .own_counts
            .first_key_value()
            .is_some_and(|(w, _)| *w < oldest)
        {
            self.prune_before(oldest);
        }
    }

    /// Returns whether counts changed since they were last sent.
    pub fn has_changes(&self) -> bool {
        !self.changed.is_empty()
    }

    /// Removes and returns the counts that changed since they were last sent.
    pub fn take_changes(&mut self) -> Vec<Update> {
        let mut updates: Vec<Update> = Vec::new();
        for (window, account) in std::mem::take(&mut self.changed) {
            let count = self.own_counts.get(&window).map_or(0, |c| c.of(&account));
            match updates.last_mut().filter(|update| update.window == window) {
                Some(update) => update.counts.push((account, count)),
                None => updates.push(self.update(window, vec![(account, count)])),
            }
        }
        updates
    }

    /// Returns all counts of this entry, for a receiver that has none yet.
    pub fn snapshot(&self) -> Vec<Update> {
        let windows = self.own_counts.iter();
        let updates = windows.map(|(window, counts)| {
            let counts = counts.iter().map(|(a, n)| (a.clone(), n));
            self.update(*window, counts.collect())
        });
        updates.collect()
    }

    fn update(&self, window: Window, counts: Vec<(AccountId, u64)>) -> Update {
        Update {
            window,
            incarnation: self.incarnation,
            counts,
        }
    }

    /// Merges the counts of another entry. Merging the same update twice has no further effect.
    pub fn merge(&mut self, entry: &InstanceId, updates: Vec<Update>) {
        for update in updates {
            let peer = (entry.clone(), update.incarnation);
            let counts = self.peer_counts.entry(update.window).or_default();
            let counts = counts.entry(peer).or_default();
            for (account, requests) in update.counts {
                counts.raise(account, requests);
            }
        }
        while self.peer_counts.len() as u64 > RETAINED_WINDOWS {
            self.peer_counts.pop_first();
        }
    }

    /// Returns the counts of a window over all entries, as far as they have been received.
    pub fn sum(&self, window: Window) -> Counts {
        let mut sum = self.own_counts.get(&window).cloned().unwrap_or_default();
        let peer_counts = self.peer_counts.get(&window).into_iter().flatten();
        for (_, counts) in peer_counts {
            sum.add_all(counts);
        }
        sum
    }

    /// Returns the number of retained counts, to check that memory stays bounded.
    pub fn retained(&self) -> usize {
        let own = self.own_counts.values().map(|c| c.0.len()).sum::<usize>();
        let peer_counts = self.peer_counts.values().flat_map(|peer| peer.values());
        own + peer_counts.map(|c| c.0.len()).sum::<usize>()
    }

    /// Removes the windows before the given one.
    pub fn prune_before(&mut self, window: Window) {
        self.own_counts = self.own_counts.split_off(&window);
        self.peer_counts = self.peer_counts.split_off(&window);
        self.changed.retain(|(of, _)| *of >= window);
    }
}
