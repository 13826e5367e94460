//! Holds back requests that crash the upstreams that run them.
//!
//! Each attempt of a client has an identity of its own; that it repeats a request shows in its
//! content, the [`Fingerprint`]. When an upstream goes down, all requests that were there are
//! suspects. A request that was there each time and was never answered in between is held back for
//! a while at all entries. Entries report to one another which requests were at which upstream, and
//! which were answered.
//!
//! ```
//! use sorreldeck::quarantine::{Admission, Fingerprint, Quarantine, Run};
//! use sorreldeck::{Span, Time};
//!
//! let mut quarantine = Quarantine::default();
//! let pool = "assistant".parse()?;
//! let fingerprint = Fingerprint::of(&[b"POST", b"/drafts/7", b"acme", b"text"]);
//! let mut now = Time(0);
//! for upstream in 0..3 {
//!     now = now + Span::from_millis(400);
//!     quarantine.record_crash(&Run { fingerprint, pool: &pool, upstream, spread: 0.1 }, now);
//! }
//! assert!(matches!(quarantine.admits(fingerprint, now), Admission::Held(_)));
//!
//! let other = Fingerprint::of(&[b"POST", b"/drafts/8", b"acme", b"text"]);
//! assert_eq!(quarantine.admits(other, now), Admission::Allowed);
//! # Ok::<(), sorreldeck::Error>(())
//! ```

mod fingerprint;
mod hold;
mod journal;
mod outcomes;

pub use fingerprint::Fingerprint;
pub use hold::Hold;
pub use journal::Journal;

use crate::id::PoolId;
use crate::unit::{Span, Time};
use hold::Holds;
use outcomes::Outcomes;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeSet, HashMap, VecDeque};

/// The number of crashes, with no answer in between, from which on a request is held back. One or
/// two happen to requests that ran beside one that causes crashes.
const MIN_CRASHES: usize = 3;
/// The most crashes that are required, however many upstreams crash without the request.
const MAX_REQUIRED: usize = 24;
/// The highest probability that a request which causes no crashes was at each of them by
/// coincidence.
const MAX_COINCIDENCE: f64 = 0.001;
/// Upstreams that crash within this time have one cause, and count once: if all crash at once,
/// requests that many clients send must not be refused.
const SAME_MOMENT: Span = Span::from_millis(50);
/// The time within which reports of one upstream belong to one crash: entries notice a crash within
/// some 150 ms of one another, and the upstream is away for seconds.
const SAME_CRASH: Span = Span::from_millis(1_500);
/// How long a crash that was attributed to one request still counts against the others that were
/// there: the reports of several entries arrive in any order, and the cause may still be open.
const ATTRIBUTION_DELAY: Span = Span::from_millis(1_000);
/// How long the requests at a crashed upstream are kept.
const RETENTION: Span = Span::from_millis(600_000);
/// The most crashes that are kept, and the most requests of each: an upstream runs and queues 32 to
/// 128. Together they take 256 KB if all are full.
const MAX_CRASHES: usize = 128;
const MAX_REQUESTS: usize = 256;
/// The most updates that wait to be sent to other entries.
const MAX_UPDATES: usize = 1_024;

/// A run of a request at an upstream.
#[derive(Clone, Copy, Debug)]
pub struct Run<'a> {
    /// The fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// The pool of the upstream.
    pub pool: &'a PoolId,
    /// The number by which entries identify the upstream.
    pub upstream: u64,
    /// The fraction of the pool's other upstreams that run the request.
    pub spread: f64,
}

/// Whether a request may be sent to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It may be sent.
    Allowed,
    /// It was held back, and may be tried by one run at a time.
    Trial,
    /// It is held back for this long.
    Held(Span),
}

/// An update that one entry sends to the others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Update {
    /// An upstream went down while these requests were there.
    #[serde(rename = "Lost")]
    Crashed {
        /// The number by which entries identify the upstream.
        upstream: u64,
        /// How long ago it went down, in milliseconds. Updates are collected before they are sent,
        /// and this shows which crashes were at the same moment.
        ago_ms: u64,
        /// The fingerprints of the requests.
        #[serde(rename = "there")]
        requests: Vec<Fingerprint>,
    },
    /// A request that was a suspect was answered completely.
    Answered(Fingerprint),
}

impl Update {
    /// Returns the update as it is sent this much later.
    pub fn delayed(mut self, by: Span) -> Update {
        if let Update::Crashed { ago_ms, .. } = &mut self {
            *ago_ms = ago_ms.saturating_add(by.millis());
        }
        self
    }
}

/// A change in the state of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// It is held back from now on, because it was there when this many upstreams crashed.
    Held(Fingerprint, Hold, usize),
    /// It is not held back any more, because it was answered.
    Freed(Fingerprint),
}

/// A request at an upstream that went down.
#[derive(Clone, Copy, Debug)]
struct Sighting<'a> {
    fingerprint: Fingerprint,
    upstream: u64,
    /// The pool, if a run of this entry broke.
    pool: Option<&'a PoolId>,
    /// The fraction of the pool's upstreams that run the request.
    spread: f64,
    at: Time,
}

/// An upstream that went down.
#[derive(Clone, Debug)]
struct Crash {
    upstream: u64,
    at: Time,
    requests: BTreeSet<Fingerprint>,
    /// The pool, and how many runs of this entry broke there, if any did.
    own_runs: Option<(PoolId, u32)>,
    /// When the crash was attributed to a request that is held back.
    attributed_at: Option<Time>,
}

impl Crash {
    fn new(upstream: u64, at: Time) -> Crash {
        Crash {
            upstream,
            at,
            requests: BTreeSet::new(),
            own_runs: None,
            attributed_at: None,
        }
    }

    /// Returns whether the crash counts against the requests that were there.
    fn counts(&self, now: Time) -> bool {
        self.attributed_at
            .is_none_or(|at| now.since(at) < ATTRIBUTION_DELAY)
    }
}

/// The requests that crash upstreams, as far as one entry knows.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    /// The oldest first.
    crashes: VecDeque<Crash>,
    outcomes: Outcomes,
    holds: Holds,
    updates: Vec<Update>,
    changes: Vec<Change>,
}

impl Quarantine {
    /// Returns whether a request may be sent to an upstream.
    pub fn admits(&self, fingerprint: Fingerprint, now: Time) -> Admission {
        self.holds.admits(fingerprint, now)
    }

    /// Returns whether a request was at an upstream that crashed recently, with no other cause
    /// known. Suspects are sent to different upstreams, so that the next crash distinguishes them.
    pub fn is_suspect(&self, fingerprint: Fingerprint, now: Time) -> bool {
        let is_recent = |c: &&Crash| now.since(c.at) < outcomes::RECENT;
        let at = |c: &Crash| c.requests.contains(&fingerprint) && c.counts(now);
        // This is called for each active run when a run is sent again, so no older crash is
        // visited.
        self.crashes.iter().rev().take_while(is_recent).any(at)
    }

    /// Returns how many requests are held back.
    pub fn held_count(&self, now: Time) -> usize {
        self.holds.count(now)
    }

    /// Returns how many runs at crashed upstreams are kept.
    pub fn tracked_runs(&self) -> usize {
        self.crashes.iter().map(|crash| crash.requests.len()).sum()
    }

    /// Records that a run of this entry broke because its upstream is gone.
    pub fn record_crash(&mut self, run: &Run, now: Time) {
        let crash = self.crash_at(run.upstream, now);
        let own = crash.own_runs.get_or_insert_with(|| (run.pool.clone(), 0));
        own.1 += 1;
        if self.outcomes.was_answered(run.fingerprint, now) {
            return;
        }
        self.queue_update(Update::Crashed {
            upstream: run.upstream,
            ago_ms: 0,
            requests: vec![run.fingerprint],
        });
        let sighting = Sighting {
            fingerprint: run.fingerprint,
            upstream: run.upstream,
            pool: Some(run.pool),
            spread: run.spread,
            at: now,
        };
        self.add_suspect(&sighting, now);
    }

    /// Records a complete answer to a request of this entry. A request that crashes every upstream
    /// never gets one.
    pub fn record_answer(&mut self, fingerprint: Fingerprint, pool: &PoolId, now: Time) {
        self.outcomes.record_answer(fingerprint, pool, now);
        if self.clear(fingerprint) {
            self.queue_update(Update::Answered(fingerprint));
        }
    }

    /// Processes an update of another entry; `spread` returns the fraction of its pool's upstreams
    /// that run a request.
    pub fn merge(&mut self, update: Update, now: Time, spread: impl Fn(Fingerprint) -> f64) {
        match update {
            Update::Crashed {
                upstream,
                ago_ms,
                requests,
            } => {
                let ago = Span::from_millis(ago_ms.min(RETENTION.millis()));
                let at = Time(now.0.saturating_sub(ago.micros()));
                for fingerprint in requests {
                    if self.outcomes.was_answered(fingerprint, now) {
                        // The other entries know only the crashes and need to learn of the answer.
                        self.queue_update(Update::Answered(fingerprint));
                        continue;
                    }
                    let sighting = Sighting {
                        fingerprint,
                        upstream,
                        pool: None,
                        spread: spread(fingerprint),
                        at,
                    };
                    self.add_suspect(&sighting, now);
                }
            }
            Update::Answered(fingerprint) => {
                self.outcomes.record_any_answer(fingerprint, now);
                self.clear(fingerprint);
            }
        }
    }

    /// Applies the recorded hold of a request.
    pub fn restore_hold(&mut self, fingerprint: Fingerprint, hold: Hold, now: Time) {
        if self.outcomes.was_answered(fingerprint, now) {
            // The hold was recorded before the recorder knew of the answer.
            self.changes.push(Change::Freed(fingerprint));
            return;
        }
        if self.holds.restore(fingerprint, hold, now) {
            self.attribute(fingerprint, now);
            self.changes.push(Change::Held(fingerprint, hold, 0));
        }
    }

    /// Removes the hold of a request whose record is gone.
    pub fn remove_hold(&mut self, fingerprint: Fingerprint) {
        self.holds.remove(fingerprint);
    }

    /// Returns the updates for other entries since the last call.
    pub fn take_updates(&mut self) -> Vec<Update> {
        std::mem::take(&mut self.updates)
    }

    /// Returns the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// Returns the crash to which a report of an upstream at this time belongs; adds it if it is
    /// new.
    fn crash_at(&mut self, upstream: u64, now: Time) -> &mut Crash {
        let apart = |c: &Crash| now.since(c.at).max(c.at.since(now));
        let is_same = |c: &Crash| c.upstream == upstream && apart(c) < SAME_CRASH;
        let place = self.crashes.iter().rposition(is_same);
        let place = place.unwrap_or_else(|| {
            let is_old = |c: &Crash| now.since(c.at) >= RETENTION;
            while self.crashes.len() >= MAX_CRASHES || self.crashes.front().is_some_and(is_old) {
                self.crashes.pop_front();
            }
            self.crashes.push_back(Crash::new(upstream, now));
            self.crashes.len() - 1
        });
        &mut self.crashes[place]
    }

    /// Records that a request was at an upstream that crashed, and holds it back if that was so too
    /// often.
    fn add_suspect(&mut self, sighting: &Sighting, now: Time) {
        let fingerprint = sighting.fingerprint;
        let crash = self.crash_at(sighting.upstream, sighting.at);
        if crash.requests.len() < MAX_REQUESTS {
            crash.requests.insert(fingerprint);
        }
        match self.admits(fingerprint, now) {
            Admission::Held(_) => return self.attribute(fingerprint, now),
            // A repeated report of a crash before the trial says nothing about the trial.
            Admission::Trial if self.holds.ended_by(fingerprint, sighting.at) => {
                return self.hold(fingerprint, 1, now);
            }
            Admission::Trial => return,
            Admission::Allowed => {}
        }
        let crashes = self.count_crashes(fingerprint, now);
        if crashes < MIN_CRASHES {
            return;
        }
        let probability = match sighting.pool {
            Some(pool) => self.crash_probability(fingerprint, pool, now),
            None => self.max_crash_probability(fingerprint, now),
        };
        if crashes >= required_crashes(probability, sighting.spread) {
            self.hold(fingerprint, crashes, now);
        }
    }

    /// Returns at how many moments upstreams crashed with a request, with no other cause known.
    fn count_crashes(&self, fingerprint: Fingerprint, now: Time) -> usize {
        let at = |c: &&Crash| c.requests.contains(&fingerprint) && c.counts(now);
        let mut times: Vec<Time> = self.crashes.iter().filter(at).map(|c| c.at).collect();
        times.sort_unstable();
        times.dedup_by(|later, kept| later.since(*kept) < SAME_MOMENT);
        times.len()
    }

    /// Returns the highest crash probability of all pools, for a request that this entry never ran.
    fn max_crash_probability(&self, fingerprint: Fingerprint, now: Time) -> f64 {
        let pools = self.crashes.iter().filter_map(|c| c.own_runs.as_ref());
        let chances = pools.map(|(pool, _)| self.crash_probability(fingerprint, pool, now));
        chances.fold(0.0, f64::max)
    }

    /// Returns the probability that a run in a pool ends with a crash of its upstream for another
    /// reason than a request: the fraction of recent runs that ended so where the request was not.
    ///
    /// Crashes at which another request was as often are left out, because that request alone may
    /// be their cause. Several requests that crash upstreams would hide one another otherwise, each
    /// by the crashes of the others.
    fn crash_probability(&self, fingerprint: Fingerprint, pool: &PoolId, now: Time) -> f64 {
        let elsewhere = |c: &&Crash| {
            let is_recent = now.since(c.at) < outcomes::RECENT;
            is_recent && c.attributed_at.is_none() && !c.requests.contains(&fingerprint)
        };
        let elsewhere: Vec<&Crash> = self.crashes.iter().filter(elsewhere).collect();
        let mut occurrences: HashMap<Fingerprint, usize> = HashMap::new();
        for other in elsewhere.iter().flat_map(|c| &c.requests) {
            *occurrences.entry(*other).or_default() += 1;
        }
        let is_open = |c: &&&Crash| {
            !c.requests
                .iter()
                .any(|other| occurrences[other] >= MIN_CRASHES)
        };
        let own = elsewhere.iter().filter(is_open);
        let own = own.filter_map(|c| c.own_runs.as_ref());
        let broken: u32 = own.filter(|(p, _)| p == pool).map(|(_, n)| n).sum();
        self.outcomes.crash_probability(pool, broken, now)
    }

    fn hold(&mut self, fingerprint: Fingerprint, crashes: usize, now: Time) {
        let hold = self.holds.hold(fingerprint, now);
        self.attribute(fingerprint, now);
        self.changes.push(Change::Held(fingerprint, hold, crashes));
    }

    /// Attributes the crashes at which a request was to that request.
    fn attribute(&mut self, fingerprint: Fingerprint, now: Time) {
        let at = |c: &&mut Crash| c.requests.contains(&fingerprint);
        for crash in self.crashes.iter_mut().filter(at) {
            crash.attributed_at.get_or_insert(now);
        }
    }

    /// Removes what is held against a request; returns whether there was anything.
    fn clear(&mut self, fingerprint: Fingerprint) -> bool {
        let mut was_suspect = false;
        for crash in &mut self.crashes {
            was_suspect |= crash.requests.remove(&fingerprint);
        }
        let was_held = self.holds.remove(fingerprint);
        if was_held {
            self.changes.push(Change::Freed(fingerprint));
        }
        was_suspect || was_held
    }

    fn queue_update(&mut self, update: Update) {
        if let (
            Update::Crashed {
                upstream, requests, ..
            },
            Some(Update::Crashed {
                upstream: last,
                requests: known,
                ..
            }),
        ) = (&update, self.updates.last_mut())
        {
            if last == upstream && known.len() < MAX_REQUESTS {
                known.extend(requests);
                return;
            }
        }
        if self.updates.len() < MAX_UPDATES {
            self.updates.push(update);
        }
    }
}

/// Returns from how many crashes on a request is held back, if runs end with a crash of their
/// upstream with this probability. A request that is at a large fraction of the upstreams is also
/// at those that crash for another reason, so `spread` raises the number.
fn required_crashes(probability: f64, spread: f64) -> usize {
    let probability = probability.max(spread).min(0.999);
    let required = (MAX_COINCIDENCE.ln() / probability.ln()).ceil() as usize;
    required.clamp(MIN_CRASHES, MAX_REQUIRED)
}
