//! Which requests may not get an upstream any more, since they crash those that run them.
//!
//! Each try of a caller has an identity of its own; that it is the same request again shows
//! in what it asks: its [`Fingerprint`]. When an upstream goes down, everything that was there is
//! a suspect. What was there each time and was never answered in between is held back for a
//! while, at all entries: they tell one another what was where, and what was answered.
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
use outcomes::Fates;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeSet, HashMap, VecDeque};

/// The crashes in a row from which on a request is held back. One or two happen to requests
/// that ran beside another one's crash.
const CRASHES: usize = 3;
/// The most that are asked for, however many upstreams crash without the request.
const CRASHES_MOST: usize = 24;
/// How likely it may be that a request which crashes nothing was there each time.
const BY_CHANCE: f64 = 0.001;
/// Upstreams that crash within this time do so for one reason, and count once: where all crash at
/// once, what many ask for must not be refused.
const MOMENT: Span = Span::from_millis(50);
/// Within which time what is told of one upstream belongs to one crash: entries hear of it
/// within some 150 ms of one another, and an upstream is away for seconds.
const SAME: Span = Span::from_millis(1_500);
/// How long a crash that is put down to one request still counts against others that were
/// there: what several entries saw comes in any order, and which one it was may be open.
const OPEN: Span = Span::from_millis(1_000);
/// How long what was there when an upstream crashed is remembered.
const KEPT: Span = Span::from_millis(600_000);
/// The most crashes remembered, and the most requests of each: what an upstream runs and
/// queues is 32 to 128. Together 256 KB where all are full.
const MOST_CRASHES: usize = 128;
const MOST_THERE: usize = 256;
/// The most that waits to be told to other entries, in requests.
const MOST_UNTOLD: usize = 1_024;

/// A run of a request at an upstream.
#[derive(Clone, Copy, Debug)]
pub struct Run<'a> {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The pool of the upstream.
    pub pool: &'a PoolId,
    /// The number that stands for the upstream between entries.
    pub upstream: u64,
    /// The share of the pool's other upstreams at which the request is.
    pub spread: f64,
}

/// Whether a request may get an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It may.
    Allowed,
    /// It was held back, and may be tried by one run at a time.
    Trial,
    /// It is held back for this long.
    Held(Span),
}

/// What entries tell one another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Update {
    /// An upstream went down while these requests were there.
    #[serde(rename = "Lost")]
    Crashed {
        /// The number that stands for it.
        upstream: u64,
        /// How long ago, in milliseconds: so that what entries saw at one moment is known for
        /// one, though it is gathered before it is told.
        ago_ms: u64,
        /// The requests.
        #[serde(rename = "there")]
        requests: Vec<Fingerprint>,
    },
    /// A request that was a suspect was answered whole.
    Answered(Fingerprint),
}

impl Update {
    /// Returns the word as it reads when it is told so much later.
    pub fn delayed(mut self, by: Span) -> Update {
        if let Update::Crashed { ago_ms, .. } = &mut self {
            *ago_ms = ago_ms.saturating_add(by.millis());
        }
        self
    }
}

/// What has changed about a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// It is held back from now on, since it was there when this many upstreams crashed.
    Held(Fingerprint, Hold, usize),
    /// It is not held back any more, since it was answered.
    Freed(Fingerprint),
}

/// A request at an upstream that went down.
#[derive(Clone, Copy, Debug)]
struct Sight<'a> {
    fingerprint: Fingerprint,
    upstream: u64,
    /// The pool, where this entry saw it itself.
    pool: Option<&'a PoolId>,
    /// The share of the pool's upstreams at which the request is.
    spread: f64,
    at: Time,
}

/// An upstream that went down.
#[derive(Clone, Debug)]
struct Crash {
    upstream: u64,
    at: Time,
    there: BTreeSet<Fingerprint>,
    /// The pool, and how many runs of this entry broke there, where any did.
    own: Option<(PoolId, u32)>,
    /// When it was put down to a request that is held back.
    explained: Option<Time>,
}

impl Crash {
    fn new(upstream: u64, at: Time) -> Crash {
        Crash {
            upstream,
            at,
            there: BTreeSet::new(),
            own: None,
            explained: None,
        }
    }

    /// Returns whether it counts against what was there.
    fn counts(&self, now: Time) -> bool {
        self.explained.is_none_or(|at| now.since(at) < OPEN)
    }
}

/// The requests that crash upstreams, as far as one entry knows.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    /// The oldest first.
    crashes: VecDeque<Crash>,
    fates: Fates,
    holds: Holds,
    untold: Vec<Update>,
    news: Vec<Change>,
}

impl Quarantine {
    /// Returns whether a request may get an upstream.
    pub fn admits(&self, fingerprint: Fingerprint, now: Time) -> Admission {
        self.holds.admits(fingerprint, now)
    }

    /// Returns whether a request was where an upstream crashed lately, and nothing else explains
    /// it. Suspects are kept apart, so that the next crash tells them from one another.
    pub fn is_suspect(&self, fingerprint: Fingerprint, now: Time) -> bool {
        let lately = |c: &&Crash| now.since(c.at) < outcomes::LATELY;
        let at = |c: &Crash| c.there.contains(&fingerprint) && c.counts(now);
        // Asked for each run under way when one is sent again: no older crash is looked at.
        self.crashes.iter().rev().take_while(lately).any(at)
    }

    /// Returns how many requests are held back.
    pub fn held_count(&self, now: Time) -> usize {
        self.holds.count(now)
    }

    /// Returns of how many runs it is remembered that their upstreams crashed.
    pub fn tracked_runs(&self) -> usize {
        self.crashes.iter().map(|crash| crash.there.len()).sum()
    }

    /// Notes that a run of this entry broke and its upstream is gone.
    pub fn record_crash(&mut self, run: &Run, now: Time) {
        let crash = self.crash(run.upstream, now);
        let own = crash.own.get_or_insert_with(|| (run.pool.clone(), 0));
        own.1 += 1;
        if self.fates.was_answered(run.fingerprint, now) {
            return;
        }
        self.tell(Update::Crashed {
            upstream: run.upstream,
            ago_ms: 0,
            requests: vec![run.fingerprint],
        });
        let sight = Sight {
            fingerprint: run.fingerprint,
            upstream: run.upstream,
            pool: Some(run.pool),
            spread: run.spread,
            at: now,
        };
        self.suspect(&sight, now);
    }

    /// Notes that a request was answered whole to this entry. Whatever crashes each upstream
    /// that runs it never is.
    pub fn record_answer(&mut self, fingerprint: Fingerprint, pool: &PoolId, now: Time) {
        self.fates.answered(fingerprint, pool, now);
        if self.acquit(fingerprint) {
            self.tell(Update::Answered(fingerprint));
        }
    }

    /// Takes in what another entry tells; `spread` says at which share of its pool's upstreams
    /// a request is.
    pub fn merge(&mut self, word: Update, now: Time, spread: impl Fn(Fingerprint) -> f64) {
        match word {
            Update::Crashed {
                upstream,
                ago_ms,
                requests: there,
            } => {
                let ago = Span::from_millis(ago_ms.min(KEPT.millis()));
                let at = Time(now.0.saturating_sub(ago.micros()));
                for fingerprint in there {
                    if self.fates.was_answered(fingerprint, now) {
                        // The others go by crashes alone and have to know better.
                        self.tell(Update::Answered(fingerprint));
                        continue;
                    }
                    let sight = Sight {
                        fingerprint,
                        upstream,
                        pool: None,
                        spread: spread(fingerprint),
                        at,
                    };
                    self.suspect(&sight, now);
                }
            }
            Update::Answered(fingerprint) => {
                self.fates.told_answered(fingerprint, now);
                self.acquit(fingerprint);
            }
        }
    }

    /// Takes in that a request is held back, as it was recorded.
    pub fn restore_hold(&mut self, fingerprint: Fingerprint, hold: Hold, now: Time) {
        if self.fates.was_answered(fingerprint, now) {
            // It was recorded before that was known there.
            self.news.push(Change::Freed(fingerprint));
            return;
        }
        if self.holds.put(fingerprint, hold, now) {
            self.explain(fingerprint, now);
            self.news.push(Change::Held(fingerprint, hold, 0));
        }
    }

    /// Takes in that the record of a request is gone.
    pub fn remove_hold(&mut self, fingerprint: Fingerprint) {
        self.holds.remove(fingerprint);
    }

    /// Returns what other entries are to be told since the last call.
    pub fn take_updates(&mut self) -> Vec<Update> {
        std::mem::take(&mut self.untold)
    }

    /// Returns what has changed since the last call.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.news)
    }

    /// Returns the crash that what is told of an upstream now belongs to.
    fn crash(&mut self, upstream: u64, now: Time) -> &mut Crash {
        let apart = |c: &Crash| now.since(c.at).max(c.at.since(now));
        let is_same = |c: &Crash| c.upstream == upstream && apart(c) < SAME;
        let place = self.crashes.iter().rposition(is_same);
        let place = place.unwrap_or_else(|| {
            let is_old = |c: &Crash| now.since(c.at) >= KEPT;
            while self.crashes.len() >= MOST_CRASHES || self.crashes.front().is_some_and(is_old) {
                self.crashes.pop_front();
            }
            self.crashes.push_back(Crash::new(upstream, now));
            self.crashes.len() - 1
        });
        &mut self.crashes[place]
    }

    /// Notes that a request was at an upstream that crashed, and holds it back if that was so
    /// too often.
    fn suspect(&mut self, sight: &Sight, now: Time) {
        let fingerprint = sight.fingerprint;
        let crash = self.crash(sight.upstream, sight.at);
        if crash.there.len() < MOST_THERE {
            crash.there.insert(fingerprint);
        }
        match self.admits(fingerprint, now) {
            Admission::Held(_) => return self.explain(fingerprint, now),
            // What is told again of a crash before the trial says nothing of that.
            Admission::Trial if self.holds.ended_by(fingerprint, sight.at) => {
                return self.hold(fingerprint, 1, now);
            }
            Admission::Trial => return,
            Admission::Allowed => {}
        }
        let crashes = self.count(fingerprint, now);
        if crashes < CRASHES {
            return;
        }
        let chance = match sight.pool {
            Some(pool) => self.chance(fingerprint, pool, now),
            None => self.worst_chance(fingerprint, now),
        };
        if crashes >= needed(chance, sight.spread) {
            self.hold(fingerprint, crashes, now);
        }
    }

    /// Returns at how many moments upstreams crashed with a request, where nothing else
    /// explains it.
    fn count(&self, fingerprint: Fingerprint, now: Time) -> usize {
        let at = |c: &&Crash| c.there.contains(&fingerprint) && c.counts(now);
        let mut times: Vec<Time> = self.crashes.iter().filter(at).map(|c| c.at).collect();
        times.sort_unstable();
        times.dedup_by(|later, kept| later.since(*kept) < MOMENT);
        times.len()
    }

    /// Returns the chance where it is highest, for a request that never came to this entry.
    fn worst_chance(&self, fingerprint: Fingerprint, now: Time) -> f64 {
        let pools = self.crashes.iter().filter_map(|c| c.own.as_ref());
        let chances = pools.map(|(pool, _)| self.chance(fingerprint, pool, now));
        chances.fold(0.0, f64::max)
    }

    /// Returns the chance that a run in a pool ends with its upstream's crash for another reason
    /// than a request: how often that befell runs that ended lately where the request was not.
    ///
    /// Where another request was as often it may be the reason by itself: several requests that
    /// crash upstreams must not hide one another, each by what ran beside the others.
    fn chance(&self, fingerprint: Fingerprint, pool: &PoolId, now: Time) -> f64 {
        let elsewhere = |c: &&Crash| {
            let lately = now.since(c.at) < outcomes::LATELY;
            lately && c.explained.is_none() && !c.there.contains(&fingerprint)
        };
        let elsewhere: Vec<&Crash> = self.crashes.iter().filter(elsewhere).collect();
        let mut often: HashMap<Fingerprint, usize> = HashMap::new();
        for other in elsewhere.iter().flat_map(|c| &c.there) {
            *often.entry(*other).or_default() += 1;
        }
        let is_open = |c: &&&Crash| !c.there.iter().any(|other| often[other] >= CRASHES);
        let own = elsewhere.iter().filter(is_open);
        let own = own.filter_map(|c| c.own.as_ref());
        let broken: u32 = own.filter(|(p, _)| p == pool).map(|(_, n)| n).sum();
        self.fates.chance(pool, broken, now)
    }

    fn hold(&mut self, fingerprint: Fingerprint, crashes: usize, now: Time) {
        let hold = self.holds.hold(fingerprint, now);
        self.explain(fingerprint, now);
        self.news.push(Change::Held(fingerprint, hold, crashes));
    }

    /// Puts the crashes that a request was at down to it.
    fn explain(&mut self, fingerprint: Fingerprint, now: Time) {
        let at = |c: &&mut Crash| c.there.contains(&fingerprint);
        for crash in self.crashes.iter_mut().filter(at) {
            crash.explained.get_or_insert(now);
        }
    }

    /// Forgets what was held against a request; returns whether anything was.
    fn acquit(&mut self, fingerprint: Fingerprint) -> bool {
        let mut was_suspect = false;
        for crash in &mut self.crashes {
            was_suspect |= crash.there.remove(&fingerprint);
        }
        let was_held = self.holds.remove(fingerprint);
        if was_held {
            self.news.push(Change::Freed(fingerprint));
        }
        was_suspect || was_held
    }

    fn tell(&mut self, word: Update) {
        if let (
            Update::Crashed {
                upstream,
                requests: there,
                ..
            },
            Some(Update::Crashed {
                upstream: last,
                requests: known,
                ..
            }),
        ) = (&word, self.untold.last_mut())
        {
            if last == upstream && known.len() < MOST_THERE {
                known.extend(there);
                return;
            }
        }
        if self.untold.len() < MOST_UNTOLD {
            self.untold.push(word);
        }
    }
}

/// Returns from how many crashes on a request is held back: where runs end with their upstreams
/// by so much `chance`, and where it is at this share of the upstreams, so that it is at
/// the ones that crash for another reason, too.
fn needed(chance: f64, spread: f64) -> usize {
    let chance = chance.max(spread).min(0.999);
    let needed = (BY_CHANCE.ln() / chance.ln()).ceil() as usize;
    needed.clamp(CRASHES, CRASHES_MOST)
}
