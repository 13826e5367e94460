//! Upstreams that crashed, and what was there.

use super::{Fingerprint, RETENTION};
use crate::id::{Incarnation, PoolId};
use crate::unit::{Span, Time};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

/// Upstreams that crash within this time have one cause, and count once: if all crash at once,
/// requests that many clients send must not be refused.
const SAME_MOMENT: Span = Span::from_millis(50);
/// The time within which reports of one upstream belong to one crash: entries notice a crash within
/// some 150 ms of one another, and the upstream is away for seconds.
const SAME_CRASH: Span = Span::from_millis(1_500);
/// How long a crash that was attributed to one request still counts against the others that were
/// there: the reports of several entries arrive in any order, and the cause may still be open.
const ATTRIBUTION_DELAY: Span = Span::from_millis(1_000);
/// The most crashes that are kept, and the most requests and parts of each: an upstream runs and
/// queues 32 to 128 requests. Together they take 1.5 MB if all are full.
const MAX_CRASHES: usize = 128;
const MAX_REQUESTS: usize = 256;
const MAX_PARTS: usize = 256;

/// An upstream that went down.
#[derive(Clone, Debug)]
pub struct Crash {
    pub upstream: u64,
    pub at: Time,
    pub requests: BTreeSet<Fingerprint>,
    /// The parts of the prompts that were there, each with an entry that reported it.
    pub parts: BTreeMap<Fingerprint, Incarnation>,
    /// The pool, and how many runs of this entry broke there, if any did.
    pub own_runs: Option<(PoolId, u32)>,
    /// When the crash was attributed to a request that is held back.
    pub attributed_at: Option<Time>,
    /// Whether the crash was attributed to a part that is held back.
    pub by_part: bool,
}

impl Crash {
    fn new(upstream: u64, at: Time) -> Crash {
        Crash {
            upstream,
            at,
            requests: BTreeSet::new(),
            parts: BTreeMap::new(),
            own_runs: None,
            attributed_at: None,
            by_part: false,
        }
    }

    /// Returns whether the crash was attributed to nothing.
    pub fn is_open(&self) -> bool {
        !self.by_part && self.attributed_at.is_none()
    }

    /// Returns whether the crash counts against the requests that were there.
    pub fn counts(&self, now: Time) -> bool {
        let is_open = |at| now.since(at) < ATTRIBUTION_DELAY;
        !self.by_part && self.attributed_at.is_none_or(is_open)
    }

    /// Adds a request.
    pub fn insert(&mut self, request: Fingerprint) {
        if self.requests.len() < MAX_REQUESTS {
            self.requests.insert(request);
        }
    }

    /// Adds a part of a prompt.
    pub fn insert_part(&mut self, part: Fingerprint, by: Incarnation) {
        if self.parts.len() < MAX_PARTS {
            self.parts.entry(part).or_insert(by);
        }
    }
}

/// The recent crashes, in the order in which they became known.
#[derive(Clone, Debug, Default)]
pub struct Crashes(VecDeque<Crash>);

impl Crashes {
    /// Returns the crash to which a report of an upstream at this time belongs; adds it if it is
    /// new.
    pub fn at(&mut self, upstream: u64, now: Time) -> &mut Crash {
        let apart = |c: &Crash| now.since(c.at).max(c.at.since(now));
        let is_same = |c: &Crash| c.upstream == upstream && apart(c) < SAME_CRASH;
        let place = self.0.iter().rposition(is_same);
        let place = place.unwrap_or_else(|| {
            let is_old = |c: &Crash| now.since(c.at) >= RETENTION;
            while self.0.len() >= MAX_CRASHES || self.0.front().is_some_and(is_old) {
                self.0.pop_front();
            }
            self.0.push_back(Crash::new(upstream, now));
            self.0.len() - 1
        });
        &mut self.0[place]
    }

    /// Returns the crashes.
    pub fn iter(&self) -> impl Iterator<Item = &Crash> {
        self.0.iter()
    }

    /// Returns the crashes.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Crash> {
        self.0.iter_mut()
    }

    /// Returns the crashes within this time.
    pub fn recent(&self, within: Span, now: Time) -> impl Iterator<Item = &Crash> {
        // A report may be later than that of a newer crash.
        let is_recent = move |c: &&Crash| now.since(c.at) < within;
        self.0.iter().filter(is_recent)
    }
}

/// Returns how often each fingerprint occurs.
pub fn occurrences<'a>(all: impl Iterator<Item = &'a Fingerprint>) -> HashMap<Fingerprint, usize> {
    let mut counts = HashMap::new();
    for one in all {
        *counts.entry(*one).or_default() += 1;
    }
    counts
}

/// Returns at how many moments crashes happened.
pub fn moments<'a>(crashes: impl Iterator<Item = &'a Crash>) -> usize {
    let mut times: Vec<Time> = crashes.map(|crash| crash.at).collect();
    times.sort_unstable();
    times.dedup_by(|later, kept| later.since(*kept) < SAME_MOMENT);
    times.len()
}
