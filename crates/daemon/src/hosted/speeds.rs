//! Speed sums of upstreams, which entries exchange over the replication links.
//!
//! A sum passes at most three links and never returns. An entry sends its own sums to its primary
//! source. That one adds up what the entries of its data hall sent, and sends each of them the
//! sum of the others, and one entry of each other data hall the sum of all. Sums of other data
//! halls are sent to this data hall only, and sums from a source in this data hall to nobody.

use sorreldeck::pick::SpeedSum;
use sorreldeck::{InstanceId, Span, Time};
use std::collections::BTreeMap;

/// Interval between messages with speed sums to a subscriber.
const SEND_INTERVAL: Span = Span::from_millis(500);

/// Maximum number of upstreams whose sums are kept until they are sent.
const MAX_UPSTREAMS: usize = 4_096;

/// Speed sums by upstream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Sums(BTreeMap<u64, SpeedSum>);

impl Sums {
    /// Returns whether there are no sums.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Adds sums, up to the maximum number of upstreams.
    pub fn add(&mut self, sums: &[SpeedSum]) {
        for sum in sums {
            if let Some(stored) = self.0.get_mut(&sum.upstream) {
                stored.add(sum);
            } else if self.0.len() < MAX_UPSTREAMS {
                self.0.insert(sum.upstream, *sum);
            }
        }
    }

    /// Removes and returns all sums.
    pub fn take(&mut self) -> Vec<SpeedSum> {
        std::mem::take(&mut self.0).into_values().collect()
    }

    /// Returns the sums less those of `part`, which were added to them before.
    fn without(&self, part: &Sums) -> Vec<SpeedSum> {
        let rest = self.0.values().map(|sum| match part.0.get(&sum.upstream) {
            Some(part) => SpeedSum {
                weight: sum.weight.saturating_sub(part.weight),
                log: sum.log.saturating_sub(part.log),
                ..*sum
            },
            None => *sum,
        });
        rest.filter(|sum| sum.weight > 0).collect()
    }
}

/// The speed sums that an entry has not sent yet.
#[derive(Clone, Debug, Default)]
pub struct Exchange {
    /// The sums of this entry that its primary source gets.
    own: Sums,
    /// The sums that the subscribers get.
    batch: Batch,
    /// When the subscribers last got sums.
    last_sent: Time,
}

/// The speed sums that arrived within one interval.
#[derive(Clone, Debug, Default)]
pub struct Batch {
    /// The sums of this data hall.
    local: Sums,
    /// The sums of this data hall by the entry that sent them.
    by_entry: BTreeMap<InstanceId, Sums>,
    /// The sums of other data halls.
    remote: Sums,
}

impl Exchange {
    /// Adds sums of this entry. Without a primary source, its subscribers get them.
    pub fn record_own(&mut self, sums: &[SpeedSum], has_primary: bool) {
        match has_primary {
            true => self.own.add(sums),
            false => self.batch.local.add(sums),
        }
    }

    /// Adds sums of another entry of this data hall.
    pub fn record_local(&mut self, entry: &InstanceId, sums: &[SpeedSum]) {
        if sums.is_empty() {
            return;
        }
        self.batch.local.add(sums);
        let by_entry = &mut self.batch.by_entry;
        by_entry.entry(entry.clone()).or_default().add(sums);
    }

    /// Adds sums of another data hall.
    pub fn record_remote(&mut self, sums: &[SpeedSum]) {
        self.batch.remote.add(sums);
    }

    /// Removes and returns the sums for the primary source.
    pub fn take_own(&mut self) -> Vec<SpeedSum> {
        self.own.take()
    }

    /// Removes and returns the sums for the subscribers, if any are due.
    pub fn take_due(&mut self, now: Time) -> Option<Batch> {
        if self.batch.is_empty() || now.since(self.last_sent) < SEND_INTERVAL {
            return None;
        }
        self.last_sent = now;
        Some(std::mem::take(&mut self.batch))
    }
}

impl Batch {
    fn is_empty(&self) -> bool {
        self.local.is_empty() && self.remote.is_empty()
    }

    /// Returns the sums for an entry of this data hall: all but its own.
    pub fn for_local(&self, entry: &InstanceId) -> Vec<SpeedSum> {
        let mut sums = match self.by_entry.get(entry) {
            Some(own) => self.local.without(own),
            None => self.local.0.values().copied().collect(),
        };
        sums.extend(self.remote.0.values());
        sums
    }

    /// Returns the sums for an entry of another data hall.
    pub fn for_remote(&self) -> Vec<SpeedSum> {
        self.local.0.values().copied().collect()
    }
}
