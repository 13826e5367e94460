//! What entries tell one another of the requests that began to run, and of the time of day.

use sorreldeck::duty::{self, Tally, Update, Window};
use sorreldeck::{AccountId, InstanceId, Span, Time};
use std::collections::BTreeMap;

/// How often an entry tells what it counted: what it did not tell is lost with it.
const TELL_EVERY: Span = Span::from_millis(250);

/// What is known here of counts and of the time of day.
#[derive(Clone, Debug)]
pub struct Usage {
    tally: Tally,
    told: Time,
    /// The time of day less the store's clock, in microseconds: of entries that told it, and the
    /// one that whoever does the duty goes by.
    epochs: BTreeMap<InstanceId, i64>,
    agreed: Option<i64>,
}

impl Usage {
    /// Creates what is known where nothing was counted.
    pub fn new(tally: Tally) -> Usage {
        Usage {
            tally,
            told: Time::default(),
            epochs: BTreeMap::new(),
            agreed: None,
        }
    }

    /// Returns the counts.
    pub fn tally(&self) -> &Tally {
        &self.tally
    }

    /// Counts a request that began to run; `store` is the time on the store's clock, in
    /// microseconds.
    pub fn began(&mut self, account: &AccountId, now: Time, store: Option<u64>) {
        let time = self.time(now, store);
        self.tally.record(account, time);
    }

    /// Returns true time, or this process's own where nothing better is known.
    pub fn time(&self, now: Time, store: Option<u64>) -> Time {
        let time = self.agreed.zip(store).and_then(|(epoch, store)| {
            let time = i64::try_from(store).ok()?.checked_add(epoch)?;
            u64::try_from(time).ok()
        });
        time.map_or(now, Time)
    }

    /// Returns the agreed time of day less the store's clock, in microseconds.
    pub fn agreed(&self) -> Option<i64> {
        self.agreed
    }

    /// Takes in the agreed time of day.
    pub fn agree(&mut self, epoch: Option<i64>) {
        self.agreed = epoch.or(self.agreed);
    }

    /// Returns the time of day as most entries have it, with this one.
    pub fn epoch(&self, own: Option<i64>) -> Option<i64> {
        let epochs = self.epochs.values().copied().chain(own);
        duty::median(epochs.collect())
    }

    /// Returns what is due to be told to sources that were told before; at once where this entry is
    /// `leaving`.
    pub fn due(&mut self, leaving: bool, now: Time) -> Vec<Update> {
        let is_early = !leaving && now.since(self.told) < TELL_EVERY;
        if !self.tally.has_changes() || is_early {
            return Vec::new();
        }
        self.told = now;
        self.tally.take_changes()
    }

    /// Takes in what another entry of this data hall tells.
    pub fn merge(&mut self, entry: &InstanceId, parts: Vec<Update>, epoch: Option<i64>) {
        self.tally.merge(entry, parts);
        if let Some(epoch) = epoch {
            self.epochs.insert(entry.clone(), epoch);
        }
    }

    /// Forgets the windows up to one, which are finished.
    pub fn finished(&mut self, window: Window) {
        self.tally.prune_before(window.next());
    }
}
