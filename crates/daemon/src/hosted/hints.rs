//! Hints that entries send one another at once over the replication links: prefill times of
//! long prompts, session affinities, quarantine updates and notices of upstreams.

use super::relay::Command;
use sorreldeck::notice;
use sorreldeck::quarantine::Update;
use sorreldeck::release::Affinity;
use sorreldeck::{Span, Time};
use std::collections::BTreeMap;

/// Maximum number of prompts that are queued for a link. If the peer is far behind, further
/// ones would have been read by the time that they arrive.
const MAX_PROMPTS: usize = 256;
/// Maximum number of session affinities that are queued for a link or remembered. Each is valid
/// for seconds, and installations with hundreds of entries have about ten a second.
const MAX_AFFINITIES: usize = 4_096;

/// Maximum number of quarantine updates that are queued for a link. More upstreams crash only
/// if all of them do, and then the crashes do not identify a request.
const MAX_QUARANTINE_UPDATES: usize = 512;

/// Maximum number of notices of upstreams that are queued for a link.
const MAX_NOTICES: usize = 1_024;

/// Hints that are queued for a link or arrived over it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Hints {
    /// Prompts: the number of the upstream and the prefill time in milliseconds.
    pub prompts: Vec<(u64, u32)>,
    /// Sessions that are bound to their release by affinity.
    pub affinities: Vec<Affinity>,
    /// Quarantine updates, and when each was recorded in this process.
    pub quarantine: Vec<(Update, Time)>,
    /// Notices of upstreams.
    pub notices: Vec<notice::Update>,
}

impl Hints {
    pub fn is_empty(&self) -> bool {
        self.prompts.is_empty()
            && self.affinities.is_empty()
            && self.quarantine.is_empty()
            && self.notices.is_empty()
    }

    /// Returns the quarantine updates with their ages as of `now`.
    pub fn quarantine_at(&self, now: Time) -> Vec<Update> {
        let quarantine = self.quarantine.iter().cloned();
        quarantine
            .map(|(update, at)| update.delayed(now.since(at)))
            .collect()
    }

    /// Queues more hints, up to the maximum of each kind.
    pub fn extend(&mut self, more: &Hints) {
        if self.prompts.len() < MAX_PROMPTS {
            self.prompts.extend_from_slice(&more.prompts);
        }
        if self.affinities.len() < MAX_AFFINITIES {
            self.affinities.extend_from_slice(&more.affinities);
        }
        if self.quarantine.len() < MAX_QUARANTINE_UPDATES {
            self.quarantine.extend_from_slice(&more.quarantine);
        }
        if self.notices.len() < MAX_NOTICES {
            self.notices.extend_from_slice(&more.notices);
        }
    }

    /// Returns the commands that pass the hints to the decisions of this entry.
    pub fn commands(&self) -> Vec<Command> {
        let prefill = |(number, ms): &(u64, u32)| {
            let prefill_time = Span::from_millis(u64::from(*ms));
            Command::Prefill(*number, prefill_time)
        };
        let prompts = self.prompts.iter().map(prefill);
        let affinities = self.affinities.iter().cloned().map(Command::Affinity);
        let quarantine = self
            .quarantine
            .iter()
            .map(|(update, _)| Command::Quarantine(update.clone()));
        let notices = self.notices.iter().copied().map(Command::Notice);
        prompts
            .chain(affinities)
            .chain(quarantine)
            .chain(notices)
            .collect()
    }
}

/// The session affinities that are known, for entries that subscribe later.
#[derive(Clone, Debug, Default)]
pub struct Affinities(BTreeMap<u64, (Affinity, Time)>);

impl Affinities {
    /// Adds or renews session affinities.
    pub fn record(&mut self, affinities: &[Affinity], now: Time) {
        for affinity in affinities {
            self.0
                .insert(affinity.session, (affinity.clone(), now + affinity.left));
        }
        if self.0.len() > MAX_AFFINITIES {
            self.0.retain(|_, (_, until)| now < *until);
        }
    }

    /// Returns the sessions whose affinity has not expired.
    pub fn live(&self, now: Time) -> Vec<Affinity> {
        let live = self.0.values().filter(|(_, until)| now < *until);
        let left = |(affinity, until): &(Affinity, Time)| Affinity {
            left: until.since(now),
            ..affinity.clone()
        };
        live.map(left).collect()
    }
}
