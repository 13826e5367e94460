//! Finds the part of prompts that crashes upstreams.
//!
//! Requests with such a part have nothing else in common with one another, but share their other
//! parts with requests that crash nothing. What distinguishes the part is that no run with it was
//! answered since its first crash, while runs without it were, and that it explains the most
//! crashes.

use super::crash::{moments, Crash, Crashes};
use super::outcomes::{Outcomes, RECENT};
use super::{required_crashes, Fingerprint};
use crate::id::{Incarnation, PoolId};
use crate::unit::{Span, Time};
use std::collections::{BTreeSet, HashMap, VecDeque};

/// The number of crashes from which on a part is held back, and the number for one that was answered
/// before its first crash.
const MIN_CRASHES: usize = 3;
const MIN_CRASHES_ANSWERED: usize = 5;
/// The number of crashes from which on a part that is not decided upon is a suspect.
const MIN_SUSPECT: usize = 2;
/// How long after a crash it is weighed: the reports of other entries, and their answers, arrive
/// within some 150 ms.
const SETTLING: Span = Span::from_millis(250);
/// How long a part that this entry answered is not reported when it is at a crash.
const REPORT_PAUSE: Span = Span::from_millis(1_000);
/// The most parts whose last answers are kept.
const MAX_ANSWERS: usize = 4_096;
/// The probability that a run ends with a crash if no runs are known, and the number of runs that
/// this counts as.
const PRIOR_CRASH: f64 = 0.2;
const PRIOR_RUNS: f64 = 2.0;

/// When parts of prompts were last in a request that was answered.
#[derive(Clone, Debug, Default)]
pub struct Answers {
    times: HashMap<Fingerprint, Time>,
    /// The oldest first; a part may occur more than once.
    order: VecDeque<(Time, Fingerprint)>,
}

impl Answers {
    /// Records a complete answer to a request with a part.
    pub fn record(&mut self, part: Fingerprint, now: Time) {
        self.times.insert(part, now);
        self.order.push_back((now, part));
        while self.order.len() > MAX_ANSWERS {
            let Some((at, oldest)) = self.order.pop_front() else {
                break;
            };
            if self.times.get(&oldest) == Some(&at) {
                self.times.remove(&oldest);
            }
        }
    }

    /// Returns when a part was last answered, if that is known.
    pub fn last(&self, part: Fingerprint) -> Option<Time> {
        self.times.get(&part).copied()
    }

    /// Returns whether a part was answered after a time.
    pub fn is_after(&self, part: Fingerprint, at: Time) -> bool {
        self.last(part).is_some_and(|last| last > at)
    }

    /// Returns whether this entry reports that a part was at an upstream that crashed. A part in
    /// many requests is at most crashes and is answered again within a moment.
    pub fn reports(&self, part: Fingerprint, now: Time) -> bool {
        self.last(part)
            .is_none_or(|last| now.since(last) >= REPORT_PAUSE)
    }

    fn was_answered(&self, part: Fingerprint, now: Time) -> bool {
        self.last(part).is_some_and(|last| now.since(last) < RECENT)
    }
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
    pub fn verdict(&self, spread: impl Fn(Fingerprint) -> f64) -> Option<Verdict> {
        let verdicts = self.candidates().into_iter().filter_map(|part| {
            let spread = spread(part);
            Some((self.weigh(part, spread)?, spread))
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
        let mut counts: HashMap<Fingerprint, usize> = HashMap::new();
        for part in open.flat_map(|crash| crash.parts.keys()) {
            *counts.entry(*part).or_default() += 1;
        }
        let repeated = counts.into_iter().filter(|(_, n)| *n >= MIN_SUSPECT);
        let repeated = repeated.map(|(part, _)| part);
        repeated.filter(|part| !self.answers.was_answered(*part, self.now))
    }

    fn candidates(&self) -> BTreeSet<Fingerprint> {
        let open = self.crashes.iter().filter(|c| self.is_settled(c));
        open.flat_map(|crash| crash.parts.keys().copied()).collect()
    }

    fn is_settled(&self, crash: &Crash) -> bool {
        !crash.by_part && self.now.since(crash.at) >= SETTLING
    }

    /// Returns the verdict on a part that was at enough crashes.
    fn weigh(&self, part: Fingerprint, spread: f64) -> Option<Verdict> {
        let with: Vec<&Crash> = self
            .crashes
            .iter()
            .filter(|c| self.is_settled(c) && c.parts.contains_key(&part))
            .collect();
        let crashes = moments(with.iter().copied());
        let least = match self.answers.last(part) {
            Some(_) => MIN_CRASHES_ANSWERED,
            None => MIN_CRASHES,
        };
        if crashes < least || is_one_request(&with) {
            return None;
        }
        let since = self.answers.last(part).unwrap_or_default();
        let pools = with.iter().filter_map(|c| c.own_runs.as_ref());
        let pools: BTreeSet<&PoolId> = pools.map(|(pool, _)| pool).collect();
        let losses = pools.iter().map(|pool| self.losses(part, pool, since));
        let answers = losses.clone().map(|(_, answered)| answered).sum();
        let loss = losses.map(|(broken, answered)| loss_probability(broken, answered));
        let loss = loss.reduce(f64::max).unwrap_or(PRIOR_CRASH);
        if crashes < required_crashes(loss, spread).max(least) {
            return None;
        }
        let entries: BTreeSet<&Incarnation> = with.iter().map(|c| &c.parts[&part]).collect();
        Some(Verdict {
            part,
            crashes,
            answers,
            entries: entries.len(),
        })
    }

    /// Returns how many runs without a part broke in a pool since a time, with no cause known, and
    /// how many were answered.
    fn losses(&self, part: Fingerprint, pool: &PoolId, since: Time) -> (u32, usize) {
        let without = |c: &&Crash| {
            let is_open = !c.by_part && c.attributed_at.is_none();
            is_open && c.at >= since && !c.parts.contains_key(&part)
        };
        let recent = self.crashes.recent(RECENT, self.now).filter(without);
        let own = recent.filter_map(|c| c.own_runs.as_ref());
        let broken = own.filter(|(p, _)| p == pool).map(|(_, n)| n).sum();
        (broken, self.outcomes.answered_since(pool, since, self.now))
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

fn loss_probability(broken: u32, answered: usize) -> f64 {
    let broken = f64::from(broken);
    (broken + PRIOR_CRASH * PRIOR_RUNS) / (broken + answered as f64 + PRIOR_RUNS)
}
