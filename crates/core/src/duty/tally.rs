//! Counts of the requests that began to run, by window and client account.

use super::Window;
use crate::id::{AccountId, Incarnation, InstanceId};
use crate::unit::{Span, Time};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// For how many windows counts are remembered.
const KEPT: u64 = 24;

/// Requests by client account.
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

    /// Adds all requests of others.
    pub fn add_all(&mut self, others: &Counts) {
        for (account, requests) in &others.0 {
            self.add(account, *requests);
        }
    }

    /// Returns the client accounts and their requests.
    pub fn iter(&self) -> impl Iterator<Item = (&AccountId, u64)> {
        self.0.iter().map(|(account, count)| (account, *count))
    }

    /// Takes in a count that only ever rises.
    fn raise(&mut self, account: AccountId, requests: u64) {
        let count = self.0.entry(account).or_default();
        *count = requests.max(*count);
    }
}

/// What one entry counted in a window: all its requests there, of the client accounts for which
/// that has changed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// The window.
    pub window: Window,
    /// The run of the entry: a new one begins from 0.
    #[serde(rename = "by")]
    pub incarnation: Incarnation,
    /// The requests.
    pub counts: Vec<(AccountId, u64)>,
}

/// What an entry counted itself, and what others of its data hall told it.
#[derive(Clone, Debug)]
pub struct Tally {
    length: Span,
    own: Incarnation,
    counted: BTreeMap<Window, Counts>,
    /// What has changed since it was told.
    changed: BTreeSet<(Window, AccountId)>,
    told: BTreeMap<Window, BTreeMap<(InstanceId, Incarnation), Counts>>,
}

impl Tally {
    /// Creates a tally of windows of one length.
    pub fn new(own: Incarnation, length: Span) -> Tally {
        Tally {
            length,
            own,
            counted: BTreeMap::new(),
            changed: BTreeSet::new(),
            told: BTreeMap::new(),
        }
    }

    /// Counts a request that began to run at a point in true time.
    pub fn record(&mut self, account: &AccountId, time: Time) {
        let window = Window::at(time, self.length);
        self.counted.entry(window).or_default().add(account, 1);
        self.changed.insert((window, account.clone()));
        let least = window.back(KEPT);
        if self
            .counted
            .first_key_value()
            .is_some_and(|(w, _)| *w < least)
        {
            self.prune_before(least);
        }
    }

    /// Returns whether anything has changed since it was told.
    pub fn has_changes(&self) -> bool {
        !self.changed.is_empty()
    }

    /// Returns what has changed since it was told.
    pub fn take_changes(&mut self) -> Vec<Update> {
        let mut parts: Vec<Update> = Vec::new();
        for (window, account) in std::mem::take(&mut self.changed) {
            let count = self.counted.get(&window).map_or(0, |c| c.of(&account));
            match parts.last_mut().filter(|part| part.window == window) {
                Some(part) => part.counts.push((account, count)),
                None => parts.push(self.part(window, vec![(account, count)])),
            }
        }
        parts
    }

    /// Returns all that was counted here, for an entry that was told nothing yet.
    pub fn snapshot(&self) -> Vec<Update> {
        let windows = self.counted.iter();
        let parts = windows.map(|(window, counts)| {
            let counts = counts.iter().map(|(a, n)| (a.clone(), n));
            self.part(*window, counts.collect())
        });
        parts.collect()
    }

    fn part(&self, window: Window, counts: Vec<(AccountId, u64)>) -> Update {
        Update {
            window,
            incarnation: self.own,
            counts,
        }
    }

    /// Takes in what another entry counted; what was told twice counts once.
    pub fn merge(&mut self, entry: &InstanceId, parts: Vec<Update>) {
        for part in parts {
            let by = (entry.clone(), part.incarnation);
            let counts = self.told.entry(part.window).or_default();
            let counts = counts.entry(by).or_default();
            for (account, requests) in part.counts {
                counts.raise(account, requests);
            }
        }
        while self.told.len() as u64 > KEPT {
            self.told.pop_first();
        }
    }

    /// Returns what all entries counted in a window, as far as it is known here.
    pub fn sum(&self, window: Window) -> Counts {
        let mut sum = self.counted.get(&window).cloned().unwrap_or_default();
        let told = self.told.get(&window).into_iter().flatten();
        for (_, counts) in told {
            sum.add_all(counts);
        }
        sum
    }

    /// Returns the counts that are kept, for a bound on them.
    pub fn retained(&self) -> usize {
        let own = self.counted.values().map(|c| c.0.len()).sum::<usize>();
        let told = self.told.values().flat_map(|by| by.values());
        own + told.map(|c| c.0.len()).sum::<usize>()
    }

    /// Forgets the windows before one.
    pub fn prune_before(&mut self, window: Window) {
        self.counted = self.counted.split_off(&window);
        self.told = self.told.split_off(&window);
        self.changed.retain(|(of, _)| *of >= window);
    }
}
