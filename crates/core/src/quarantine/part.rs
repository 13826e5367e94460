//! Finds the part of prompts that crashes upstreams.
//!
//! Requests with such a part have nothing else in common with one another, but share their other
//! parts with requests that crash nothing. What distinguishes the part is that no run with it was
//! answered since its first crash, while runs without it were, and that it explains the most
//! crashes.

use super::answers::Answers;
use super::crash::{moments, occurrences, Crash, Crashes};
use super::outcomes::{Outcomes, RECENT};
use super::{required_crashes, Fingerprint};
use crate::id::{Incarnation, PoolId};
use crate::unit::{Span, Time};
use std::collections::BTreeSet;

/// The number of crashes from which on a part is held back, and the number for one that was answered
/// before.
const MIN_CRASHES: usize = 3;
const MIN_CRASHES_ANSWERED: usize = 5;
/// The number for a part that was at all crashes and never answered, where no run without it was
/// answered either: there are none, or nothing is up.
const MIN_CRASHES_ALONE: usize = 6;
/// How many crashes with a part that was answered before there must be for one without it.
const MIN_SHARE_ANSWERED: usize = 3;
/// The highest probability that a part which causes no crashes is in the runs that broke and in none
/// that was answered; the one where upstreams crash without it as well, and the one for a part that
/// was answered before.
const MAX_CHANCE: f64 = 0.005;
const MAX_CHANCE_AMONG_OTHERS: f64 = 0.0025;
const MAX_CHANCE_ANSWERED: f64 = 0.00001;
/// The number of crashes from which on a part that is not decided upon is a suspect.
const MIN_SUSPECT: usize = 2;
/// How long after a crash it is weighed: the reports of other entries, and their answers, arrive
/// within some 150 ms.
const SETTLING: Span = Span::from_millis(250);
/// How long a run answers that probably does not crash its upstream.
pub const SURVIVED: Span = Span::from_millis(1_000);
/// How long a part that this entry answered is not reported when it is at a crash: a part in many
/// requests is at most crashes and is answered again within a moment.
pub const REPORT_PAUSE: Span = Span::from_millis(1_000);
/// The active runs of this entry, as far as they tell about a part.
#[derive(Clone, Copy, Debug, Default)]
pub struct Active {
    /// The fraction of the pool's upstreams that run a request with the part.
    pub spread: f64,
    /// The runs with the part that answer for [`SURVIVED`] or longer.
    pub answering: usize,
    /// The same for runs without it.
    pub others_answering: usize,
}

/// What the decision to hold a part back rests on.
#[derive(Clone, Debug)]
pub struct Verdict {
    pub part: Fingerprint,
    /// The moments at which upstreams crashed with it.
    pub crashes: usize,
    /// The answers to runs without it meanwhile.
    pub answers: usize,
    /// The entries that reported the crashes.
    pub entries: usize,
}

/// The evidence about parts of prompts.
pub struct Evidence<'a> {
    pub crashes: &'a Crashes,
    pub outcomes: &'a Outcomes,
    pub answers: &'a Answers,
    pub now: Time,
}

impl Evidence<'_> {
    /// Returns the part to hold back next, if there is one: of all parts that were at enough crashes,
    /// the one that explains the most, and of several such the one at the fewest upstreams now.
    pub fn verdict(&self, active: impl Fn(Fingerprint) -> Active) -> Option<Verdict> {
        let verdicts = self.candidates().into_iter().filter_map(|part| {
            let active = active(part);
            Some((self.weigh(part, &active)?, active.spread))
        });
        let rank = |(verdict, spread): &(Verdict, f64)| (verdict.crashes, -*spread);
        let best = verdicts.max_by(|one, other| {
            let (one, other) = (rank(one), rank(other));
            one.0.cmp(&other.0).then(one.1.total_cmp(&other.1))
        });
        best.map(|(verdict, _)| verdict)
    }

    /// Returns the parts at recent crashes without a known cause.
    pub fn suspects(&self) -> impl Iterator<Item = Fingerprint> + '_ {
        let open = self.crashes.recent(RECENT, self.now).filter(|c| !c.by_part);
        let counts = occurrences(open.flat_map(|crash| crash.parts.keys()));
        let repeated = counts.into_iter().filter(|(_, n)| *n >= MIN_SUSPECT);
        let repeated = repeated.map(|(part, _)| part);
        repeated.filter(|part| !self.answers.is_recent(*part, self.now))
    }

    fn candidates(&self) -> BTreeSet<Fingerprint> {
        let open = self.crashes.iter().filter(|c| self.is_settled(c));
        let mut counts = occurrences(open.flat_map(|crash| crash.parts.keys()));
        counts.retain(|_, n| *n >= MIN_CRASHES);
        counts.into_keys().collect()
    }

    fn is_settled(&self, crash: &Crash) -> bool {
        !crash.by_part && self.now.since(crash.at) >= SETTLING
    }

    /// Returns the verdict on a part that was at enough crashes.
    fn weigh(&self, part: Fingerprint, active: &Active) -> Option<Verdict> {
        let with: Vec<&Crash> = self
            .crashes
            .iter()
            .filter(|c| self.is_settled(c) && c.parts.contains_key(&part))
            .collect();
        let crashes = moments(with.iter().copied());
        // Each run that goes on speaks for the part, unless upstreams crash late.
        let least = MIN_CRASHES * (1 + active.answering);
        if crashes < least || is_one_request(&with) {
            return None;
        }
        let mut others = self.others(part, &with)?;
        others.answered += active.others_answering;
        let chance = others.chance(crashes);
        let is_cause = match self.answers.last(part) {
            None if others.crashes == 0 && crashes >= MIN_CRASHES_ALONE => true,
            None if others.crashes == 0 => chance <= MAX_CHANCE,
            None => chance <= MAX_CHANCE_AMONG_OTHERS,
            Some(_) => {
                let explains = crashes >= MIN_SHARE_ANSWERED * others.crashes;
                crashes >= MIN_CRASHES_ANSWERED && explains && chance <= MAX_CHANCE_ANSWERED
            }
        };
        if !is_cause || crashes < required_crashes(0.0, active.spread) {
            return None;
        }
        let entries: BTreeSet<&Incarnation> = with.iter().map(|c| &c.parts[&part]).collect();
        Some(Verdict {
            part,
            crashes,
            answers: others.answered,
            entries: entries.len(),
        })
    }

    /// Returns what became of runs without a part since it was last answered, in the pools of its
    /// crashes; an entry that had no run there knows too little of them.
    fn others(&self, part: Fingerprint, with: &[&Crash]) -> Option<Others> {
        let pools = with.iter().filter_map(|c| c.own_runs.as_ref());
        let pools: BTreeSet<&PoolId> = pools.map(|(pool, _)| pool).collect();
        let since = self.answers.last(part).unwrap_or_default();
        let answered = |pool: &&PoolId| self.outcomes.answered_since(pool, since, self.now);
        let answered = pools.iter().map(answered).min()?;
        let without = |c: &&Crash| c.is_open() && c.at >= since && !c.parts.contains_key(&part);
        let recent = self.crashes.recent(RECENT, self.now).filter(without);
        let recent: Vec<&Crash> = recent.collect();
        let counts = occurrences(recent.iter().flat_map(|c| c.parts.keys()));
        // Several parts that crash upstreams would hide one another otherwise.
        let has_cause = |c: &Crash| {
            let mut others = c.parts.keys();
            others.any(|p| counts[p] >= MIN_CRASHES && self.answers.last(*p).is_none())
        };
        let open = recent.iter().copied().filter(|c| !has_cause(c));
        Some(Others {
            crashes: moments(open),
            answered,
        })
    }
}

/// Returns whether one request was at all crashes: then the request explains them, and other
/// requests with the part may be sound.
fn is_one_request(crashes: &[&Crash]) -> bool {
    let Some((first, rest)) = crashes.split_first() else {
        return false;
    };
    let everywhere = |request: &&Fingerprint| rest.iter().all(|c| c.requests.contains(*request));
    first.requests.iter().any(|request| everywhere(&request))
}

/// What became of runs without a part.
struct Others {
    /// The moments at which upstreams crashed, with no cause known.
    crashes: usize,
    answered: usize,
}

impl Others {
    /// Returns the probability that none of the answers was to a run with a part that was at this many
    /// crashes, if runs with it are answered as often as others: one side of Fisher's exact test.
    fn chance(&self, crashes: usize) -> f64 {
        let broken = self.crashes as f64;
        let answered = self.answered as f64;
        let factor = |n: usize| (broken + n as f64) / (broken + answered + n as f64);
        (1..=crashes).map(factor).product()
    }
}
