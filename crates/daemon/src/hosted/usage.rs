//! Usage counts and UTC, which entries exchange over the replication links.

use sorreldeck::duty::{self, Tally, Update, Window};
use sorreldeck::{AccountId, InstanceId, Span, Time};
use std::collections::BTreeMap;

/// Interval between messages with changed counts. An entry that crashes loses the counts it has
/// not sent.
const SEND_INTERVAL: Span = Span::from_millis(250);

/// Usage counts of the entries in this data hall, and UTC.
#[derive(Clone, Debug)]
pub struct Usage {
    tally: Tally,
    last_sent: Time,
    /// Difference between UTC and the store's clock in microseconds, as reported by other
    /// entries (`epochs`) and as used by the entry that holds the reporting lease (`agreed`).
    epochs: BTreeMap<InstanceId, i64>,
    agreed: Option<i64>,
}

impl Usage {
    /// Creates counts without any request.
    pub fn new(tally: Tally) -> Usage {
        Usage {
            tally,
            last_sent: Time::default(),
            epochs: BTreeMap::new(),
            agreed: None,
        }
    }

    /// Returns the counts.
    pub fn tally(&self) -> &Tally {
        &self.tally
    }

    /// Counts a request that began to run; `store` is the time on the store's clock in
    /// microseconds.
    pub fn record(&mut self, account: &AccountId, now: Time, store: Option<u64>) {
        let time = self.time(now, store);
        self.tally.record(account, time);
    }

    /// Returns UTC, or this process's own time if the agreed difference or the store's clock is
    /// unknown.
    pub fn time(&self, now: Time, store: Option<u64>) -> Time {
        let time = self.agreed.zip(store).and_then(|(epoch, store)| {
            let time = i64::try_from(store).ok()?.checked_add(epoch)?;
            u64::try_from(time).ok()
        });
        time.map_or(now, Time)
    }

    /// Returns the agreed difference between UTC and the store's clock in microseconds.
    pub fn agreed(&self) -> Option<i64> {
        self.agreed
    }

    /// Sets the agreed difference, if there is one.
    pub fn agree(&mut self, epoch: Option<i64>) {
        self.agreed = epoch.or(self.agreed);
    }

    /// Returns the median of the differences that the entries report, including this one's.
    pub fn epoch(&self, own: Option<i64>) -> Option<i64> {
        let epochs = self.epochs.values().copied().chain(own);
        duty::median(epochs.collect())
    }

    /// Returns the changed counts that are due for sources that already have the others.
    /// Changes are due at once if this entry is leaving.
    pub fn due(&mut self, leaving: bool, now: Time) -> Vec<Update> {
        let is_early = !leaving && now.since(self.last_sent) < SEND_INTERVAL;
        if !self.tally.has_changes() || is_early {
            return Vec::new();
        }
        self.last_sent = now;
        self.tally.take_changes()
    }

    /// Merges the counts and the difference of another entry in this data hall.
    pub fn merge(&mut self, entry: &InstanceId, parts: Vec<Update>, epoch: Option<i64>) {
        self.tally.merge(entry, parts);
        if let Some(epoch) = epoch {
            self.epochs.insert(entry.clone(), epoch);
        }
    }

    /// Drops the windows up to and including a completed one.
    pub fn prune_through(&mut self, window: Window) {
        self.tally.prune_before(window.next());
    }
}
