//! Holds back requests that crash the upstreams that run them.
//!
//! Each attempt of a client has an identity of its own; that it repeats a request shows in its
//! content, the [`Fingerprint`]. When an upstream goes down, all requests that were there are
//! suspects. A request that was there each time and was never answered in between is held back for
//! a while at all entries. So is a part of prompts that different requests share, if no request with
//! it was answered. Entries report to one another which requests and parts were at which upstream,
//! and which were answered.
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
//!     let run = Run { fingerprint, parts: &[], pool: &pool, upstream, spread: 0.1 };
//!     quarantine.record_crash(&run, now);
//! }
//! assert!(matches!(quarantine.admits(fingerprint, now), Admission::Held(_)));
//!
//! let other = Fingerprint::of(&[b"POST", b"/drafts/8", b"acme", b"text"]);
//! assert_eq!(quarantine.admits(other, now), Admission::Allowed);
//! # Ok::<(), sorreldeck::Error>(())
//! ```

mod answers;
mod crash;
mod fingerprint;
mod hold;
mod journal;
mod outcomes;
mod part;

pub use fingerprint::Fingerprint;
pub use hold::{Held, Hold};
pub use journal::Journal;
pub use part::{Active, SURVIVED};

use crate::id::{Incarnation, PoolId};
use crate::unit::{Span, Time};
use answers::Answers;
use crash::{moments, occurrences, Crash, Crashes};
use hold::Holds;
use outcomes::{Outcomes, RECENT};
use part::{Evidence, REPORT_PAUSE};
use serde::{Deserialize, Serialize};
use std::collections::HashSet;
use std::fmt;

/// The number of crashes, with no answer in between, from which on a request is held back. One or
/// two happen to requests that ran beside one that causes crashes.
const MIN_CRASHES: usize = 3;
/// The most crashes that are required, however many upstreams crash without the request.
const MAX_REQUIRED: usize = 24;
/// The highest probability that a request which causes no crashes was at each of them by
/// coincidence.
const MAX_COINCIDENCE: f64 = 0.001;
/// The time between two judgements of parts while upstreams crash.
const JUDGEMENT_INTERVAL: Span = Span::from_millis(100);
/// How long the requests at a crashed upstream are kept.
const RETENTION: Span = Span::from_millis(600_000);
/// The most updates that wait to be sent to other entries.
const MAX_UPDATES: usize = 1_024;
/// The most requests and parts in one update.
const MAX_UPDATE: usize = 256;

/// A run of a request at an upstream.
#[derive(Clone, Copy, Debug)]
pub struct Run<'a> {
    /// The fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// The parts of its prompt that other requests may share.
    pub parts: &'a [Fingerprint],
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
        /// The fingerprints of the parts of their prompts.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        parts: Vec<Fingerprint>,
        /// The entry that saw it.
        #[serde(default)]
        by: Incarnation,
    },
    /// A request that was a suspect, or one with a part that was, was answered completely.
    Answered(Fingerprint),
}

impl Update {
    /// Adds a later update of the same crash; returns whether that was possible.
    fn absorb(&mut self, later: &Update) -> bool {
        match (self, later) {
            (
                Update::Crashed {
                    upstream,
                    requests,
                    parts,
                    ..
                },
                Update::Crashed {
                    upstream: same,
                    requests: more,
                    parts: more_parts,
                    ..
                },
            ) if upstream == same && requests.len().max(parts.len()) < MAX_UPDATE => {
                requests.extend(more);
                for part in more_parts {
                    if !parts.contains(part) {
                        parts.push(*part);
                    }
                }
                true
            }
            (Update::Answered(one), Update::Answered(other)) => one == other,
            _ => false,
        }
    }

    /// Returns the update as it is sent this much later.
    pub fn delayed(mut self, by: Span) -> Update {
        if let Update::Crashed { ago_ms, .. } = &mut self {
            *ago_ms = ago_ms.saturating_add(by.millis());
        }
        self
    }
}

/// A change in the state of a request or part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// It is held back from now on, for these reasons.
    Held(Fingerprint, Hold, Grounds),
    /// It is not held back any more, because it was answered.
    Freed(Fingerprint),
}

/// What the decision to hold something back rests on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Grounds {
    /// The record of another entry.
    Record,
    /// A request was there when upstreams crashed at this many moments, or on trial.
    Request(usize),
    /// Requests with one part were there.
    Part {
        /// The moments at which upstreams crashed.
        crashes: usize,
        /// The answers to runs without the part since the last answer to one with it.
        answers: usize,
        /// The entries that reported the crashes.
        entries: usize,
    },
}

impl fmt::Display for Grounds {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Grounds::Record => write!(f, "what=record crashes=0"),
            Grounds::Request(crashes) => write!(f, "what=request crashes={crashes}"),
            Grounds::Part {
                crashes,
                answers,
                entries,
            } => write!(
                f,
                "what=part crashes={crashes} answers={answers} entries={entries}"
            ),
        }
    }
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

/// The requests that crash upstreams, as far as one entry knows.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    own: Incarnation,
    crashes: Crashes,
    outcomes: Outcomes,
    /// When parts of prompts were last in a request that was answered.
    answers: Answers,
    holds: Holds,
    /// When parts were last judged.
    judged_at: Time,
    updates: Vec<Update>,
    changes: Vec<Change>,
}

impl Quarantine {
    /// Creates the quarantine of the entry with this incarnation.
    pub fn new(own: Incarnation) -> Quarantine {
        Quarantine {
            own,
            ..Quarantine::default()
        }
    }

    /// Returns whether a request, or one with a part, may be sent to an upstream.
    pub fn admits(&self, fingerprint: Fingerprint, now: Time) -> Admission {
        self.holds.admits(fingerprint, now)
    }

    /// Returns whether a request was at an upstream that crashed recently, with no other cause
    /// known. Suspects are sent to different upstreams, so that the next crash distinguishes them.
    pub fn is_suspect(&self, fingerprint: Fingerprint, now: Time) -> bool {
        let at = |c: &Crash| c.requests.contains(&fingerprint) && c.counts(now);
        self.crashes.recent(RECENT, now).any(at)
    }

    /// Returns the requests of which [`Quarantine::is_suspect`] holds, and the parts that were at
    /// several recent crashes with no other cause known and in no request that was answered recently.
    pub fn suspects(&self, now: Time) -> HashSet<Fingerprint> {
        let open = self.crashes.recent(RECENT, now).filter(|c| c.counts(now));
        let requests = open.flat_map(|crash| crash.requests.iter().copied());
        requests.chain(self.evidence(now).suspects()).collect()
    }

    /// Returns what is held back or on trial.
    pub fn held(&self, now: Time) -> Vec<Held> {
        self.holds.list(now)
    }

    /// Lets a request or part be sent again at all entries, as an answer to it would; returns whether it
    /// was held back or on trial.
    pub fn lift(&mut self, fingerprint: Fingerprint, now: Time) -> bool {
        let is_known = self.admits(fingerprint, now) != Admission::Allowed;
        if is_known {
            self.apply_answer(fingerprint, now);
            self.queue_update(Update::Answered(fingerprint));
        }
        is_known
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
        let crash = self.crashes.at(run.upstream, now);
        let own = crash.own_runs.get_or_insert_with(|| (run.pool.clone(), 0));
        own.1 += 1;
        let parts = run.parts.iter().copied();
        let parts: Vec<Fingerprint> = parts.filter(|part| self.reports(*part, now)).collect();
        for part in &parts {
            self.insert_part(*part, run.upstream, self.own, now, now);
        }
        let was_answered = self.outcomes.was_answered(run.fingerprint, now);
        let requests = match was_answered {
            true => Vec::new(),
            false => vec![run.fingerprint],
        };
        if !requests.is_empty() || !parts.is_empty() {
            self.queue_update(Update::Crashed {
                upstream: run.upstream,
                ago_ms: 0,
                requests,
                parts,
                by: self.own,
            });
        }
        if was_answered {
            return;
        }
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

    /// Records a complete answer to a request of this entry with these parts.
    pub fn record_part_answers(&mut self, parts: &[Fingerprint], now: Time) {
        for part in parts {
            self.answers.record(*part, now);
            if self.clear(*part) {
                self.queue_update(Update::Answered(*part));
            }
        }
    }

    /// Holds back the parts that explain the recent crashes; `active` returns what the active runs tell
    /// about a part.
    pub fn judge_parts(&mut self, now: Time, active: impl Fn(Fingerprint) -> Active) {
        let is_calm = self.crashes.recent(RECENT, now).next().is_none();
        if is_calm || now.since(self.judged_at) < JUDGEMENT_INTERVAL {
            return;
        }
        self.judged_at = now;
        while let Some(verdict) = self.evidence(now).verdict(&active) {
            let grounds = Grounds::Part {
                crashes: verdict.crashes,
                answers: verdict.answers,
                entries: verdict.entries,
            };
            self.hold(verdict.part, grounds, now);
        }
    }

    fn evidence(&self, now: Time) -> Evidence<'_> {
        Evidence {
            crashes: &self.crashes,
            outcomes: &self.outcomes,
            answers: &self.answers,
            now,
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
                parts,
                by,
            } => {
                let ago = Span::from_millis(ago_ms.min(RETENTION.millis()));
                let at = Time(now.0.saturating_sub(ago.micros()));
                for part in parts {
                    self.add_part(part, upstream, by, at, now);
                }
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
            Update::Answered(fingerprint) => self.apply_answer(fingerprint, now),
        }
    }

    /// Applies an answer to a request, or to one with a part, whichever the fingerprint names.
    fn apply_answer(&mut self, fingerprint: Fingerprint, now: Time) {
        self.outcomes.record_any_answer(fingerprint, now);
        self.answers.record(fingerprint, now);
        self.clear(fingerprint);
    }

    /// Applies the recorded hold of a request or part.
    pub fn restore_hold(&mut self, fingerprint: Fingerprint, hold: Hold, now: Time) {
        let was_answered = self.outcomes.was_answered(fingerprint, now);
        if was_answered || self.answers.is_after(fingerprint, hold.began_at()) {
            // The hold was recorded before the recorder knew of the answer.
            self.changes.push(Change::Freed(fingerprint));
            return;
        }
        if self.holds.restore(fingerprint, hold, now) {
            self.attribute(fingerprint, now);
            self.changes
                .push(Change::Held(fingerprint, hold, Grounds::Record));
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

    /// Records that a part was at an upstream that crashed, as another entry reported.
    fn add_part(&mut self, part: Fingerprint, upstream: u64, by: Incarnation, at: Time, now: Time) {
        if self.answers.is_after(part, at) {
            // The other entries know only the crash and need to learn of the answer.
            return self.queue_update(Update::Answered(part));
        }
        self.insert_part(part, upstream, by, at, now);
    }

    /// Returns whether this entry reports that a part was at an upstream that crashed.
    fn reports(&self, part: Fingerprint, now: Time) -> bool {
        let last = self.answers.last(part);
        last.is_none_or(|last| now.since(last) >= REPORT_PAUSE)
    }

    /// Records that a part was at an upstream that crashed. The crash is attributed to the part if
    /// it is held back; one during its trial holds it back for longer.
    fn insert_part(
        &mut self,
        part: Fingerprint,
        upstream: u64,
        by: Incarnation,
        at: Time,
        now: Time,
    ) {
        self.crashes.at(upstream, at).insert_part(part, by);
        match self.admits(part, now) {
            Admission::Held(_) => self.attribute(part, now),
            Admission::Trial if self.holds.ended_by(part, at) => {
                let grounds = Grounds::Part {
                    crashes: 1,
                    answers: 0,
                    entries: 1,
                };
                self.hold(part, grounds, now);
            }
            Admission::Trial | Admission::Allowed => {}
        }
    }

    /// Records that a request was at an upstream that crashed, and holds it back if that was so too
    /// often.
    fn add_suspect(&mut self, sighting: &Sighting, now: Time) {
        let fingerprint = sighting.fingerprint;
        self.crashes
            .at(sighting.upstream, sighting.at)
            .insert(fingerprint);
        match self.admits(fingerprint, now) {
            Admission::Held(_) => return self.attribute(fingerprint, now),
            // A repeated report of a crash before the trial says nothing about the trial.
            Admission::Trial if self.holds.ended_by(fingerprint, sighting.at) => {
                return self.hold(fingerprint, Grounds::Request(1), now);
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
            self.hold(fingerprint, Grounds::Request(crashes), now);
        }
    }

    /// Returns at how many moments upstreams crashed with a request, with no other cause known.
    fn count_crashes(&self, fingerprint: Fingerprint, now: Time) -> usize {
        let at = |c: &&Crash| c.requests.contains(&fingerprint) && c.counts(now);
        moments(self.crashes.iter().filter(at))
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
        let elsewhere = |c: &&Crash| c.is_open() && !c.requests.contains(&fingerprint);
        let recent = self.crashes.recent(RECENT, now);
        let elsewhere: Vec<&Crash> = recent.filter(elsewhere).collect();
        let occurrences = occurrences(elsewhere.iter().flat_map(|c| &c.requests));
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

    fn hold(&mut self, fingerprint: Fingerprint, grounds: Grounds, now: Time) {
        let hold = self.holds.hold(fingerprint, grounds, now);
        self.attribute(fingerprint, now);
        self.changes.push(Change::Held(fingerprint, hold, grounds));
    }

    /// Attributes the crashes at which a request or part was to it.
    fn attribute(&mut self, fingerprint: Fingerprint, now: Time) {
        for crash in self.crashes.iter_mut() {
            crash.by_part |= crash.parts.contains_key(&fingerprint);
            if crash.requests.contains(&fingerprint) {
                crash.attributed_at.get_or_insert(now);
            }
        }
    }

    /// Removes what is held against a request or part; returns whether there was anything.
    fn clear(&mut self, fingerprint: Fingerprint) -> bool {
        let mut was_suspect = false;
        for crash in self.crashes.iter_mut() {
            was_suspect |= crash.requests.remove(&fingerprint);
            was_suspect |= crash.parts.remove(&fingerprint).is_some();
        }
        let was_held = self.holds.remove(fingerprint);
        if was_held {
            self.changes.push(Change::Freed(fingerprint));
        }
        was_suspect || was_held
    }

    fn queue_update(&mut self, update: Update) {
        let last = self.updates.last_mut();
        if last.is_some_and(|last| last.absorb(&update)) {
            return;
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
