//! Hints that entries send one another at once over the replication links: prefill times of
//! long prompts, session affinities, quarantine updates and notices of upstreams.

use sorreldeck::entry::{Input, Output};
use sorreldeck::notice;
use sorreldeck::quarantine::Update;
use sorreldeck::release::Affinity;
use sorreldeck::wire::{Feed, Follow};
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
    /// Upstreams whose answers are overdue: the number of the upstream and the milliseconds for
    /// which it reads at least.
    pub overdue: BTreeMap<u64, u32>,
    /// Sessions that are bound to their release by affinity.
    pub affinities: Vec<Affinity>,
    /// Quarantine updates, and when each was recorded in this process.
    pub quarantine: Vec<(Update, Time)>,
    /// Notices of upstreams.
    pub notices: Vec<notice::Update>,
}

/// The fields of a frame that carry hints.
pub struct Fields<'a> {
    prompts: &'a mut Vec<(u64, u32)>,
    overdue: &'a mut BTreeMap<u64, u32>,
    affinities: &'a mut Vec<Affinity>,
    quarantine: &'a mut Vec<Update>,
    notices: &'a mut Vec<notice::Update>,
}

impl<'a> From<&'a mut Follow> for Fields<'a> {
    fn from(follow: &'a mut Follow) -> Fields<'a> {
        Fields {
            prompts: &mut follow.sent_prompts,
            overdue: &mut follow.overdue,
            affinities: &mut follow.affinities,
            quarantine: &mut follow.quarantine,
            notices: &mut follow.notices,
        }
    }
}

impl<'a> From<&'a mut Feed> for Fields<'a> {
    fn from(feed: &'a mut Feed) -> Fields<'a> {
        Fields {
            prompts: &mut feed.sent_prompts,
            overdue: &mut feed.overdue,
            affinities: &mut feed.affinities,
            quarantine: &mut feed.quarantine,
            notices: &mut feed.notices,
        }
    }
}

impl Hints {
    /// Returns the hint to other entries in an output of this entry's decisions, if it is one.
    pub fn of_output(output: &Output, now: Time) -> Option<Hints> {
        let mut hints = Hints::default();
        match output {
            Output::Prefill(number, time) => {
                let millis = time.millis().try_into().unwrap_or(u32::MAX);
                hints.prompts.push((*number, millis));
            }
            Output::Overdue(number, left) => {
                let millis = left.millis().try_into().unwrap_or(u32::MAX);
                hints.overdue.insert(*number, millis);
            }
            Output::SessionAffinity(affinity) => hints.affinities.push(affinity.clone()),
            Output::QuarantineUpdate(update) => hints.quarantine.push((update.clone(), now)),
            Output::Notice(update) => hints.notices.push(*update),
            _ => return None,
        }
        Some(hints)
    }

    /// Takes the hints out of a frame.
    pub fn take<'a>(frame: impl Into<Fields<'a>>, now: Time) -> Hints {
        let fields = frame.into();
        let quarantine = std::mem::take(fields.quarantine);
        Hints {
            prompts: std::mem::take(fields.prompts),
            overdue: std::mem::take(fields.overdue),
            affinities: std::mem::take(fields.affinities),
            quarantine: quarantine.into_iter().map(|update| (update, now)).collect(),
            notices: std::mem::take(fields.notices),
        }
    }

    /// Copies the hints into a frame. The quarantine updates get their ages as of `now`.
    pub fn put<'a>(&self, frame: impl Into<Fields<'a>>, now: Time) {
        let fields = frame.into();
        fields.prompts.clone_from(&self.prompts);
        fields.overdue.clone_from(&self.overdue);
        fields.affinities.clone_from(&self.affinities);
        let delayed = |(update, at): &(Update, Time)| update.clone().delayed(now.since(*at));
        *fields.quarantine = self.quarantine.iter().map(delayed).collect();
        fields.notices.clone_from(&self.notices);
    }

    /// Returns the hints that may be sent late or twice. A prompt must not be counted twice, and a
    /// late one has been read.
    pub fn without_prompts(self) -> Hints {
        Hints {
            prompts: Vec::new(),
            overdue: BTreeMap::new(),
            ..self
        }
    }

    /// Returns whether there are no hints.
    pub fn is_empty(&self) -> bool {
        self.prompts.is_empty()
            && self.overdue.is_empty()
            && self.affinities.is_empty()
            && self.quarantine.is_empty()
            && self.notices.is_empty()
    }

    /// Queues more hints, up to the maximum of each kind.
    pub fn extend(&mut self, more: &Hints) {
        if self.prompts.len() < MAX_PROMPTS {
            self.prompts.extend_from_slice(&more.prompts);
        }
        for (number, left) in &more.overdue {
            let longest = self.overdue.entry(*number).or_default();
            *longest = (*longest).max(*left);
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

    /// Returns the inputs that pass the hints to the decisions of this entry.
    pub fn inputs(&self) -> impl Iterator<Item = Input> + use<'_> {
        let prefill = |(number, millis): &(u64, u32)| {
            Input::Prefill(*number, Span::from_millis(u64::from(*millis)))
        };
        let prompts = self.prompts.iter().map(prefill);
        let overdue = |(number, millis): (&u64, &u32)| {
            Input::Overdue(*number, Span::from_millis(u64::from(*millis)))
        };
        let overdue = self.overdue.iter().map(overdue);
        let affinities = self.affinities.iter().cloned().map(Input::SessionAffinity);
        let quarantine = self.quarantine.iter().map(|(update, _)| update.clone());
        let quarantine = quarantine.map(Input::QuarantineUpdate);
        let notices = self.notices.iter().copied().map(Input::Notice);
        prompts
            .chain(overdue)
            .chain(affinities)
            .chain(quarantine)
            .chain(notices)
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
