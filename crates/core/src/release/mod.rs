//! Which release of an upstream's software answers while one replaces another.
//!
//! Upstreams of a pool may run different releases. An operator orders a move to
//! a new one; until half of the given time has passed, only a small share of
//! new sessions goes there and every session stays where it is. Near the end,
//! unless the release was found bad, everything moves, and the move is recorded as
//! completed when nothing runs on the old release any more. The sequential test
//! of [`evidence`](crate::evidence) tells a bad release from a good one; what it
//! cannot tell, because it fails only under a load that a trial does not bring, is
//! bounded by moving so late that no more than a set share is exposed in the time.
//!
//! All entries know the order and when it was first recorded, so each works out
//! the phase by itself; what they must agree on is a row in the platform's
//! store, which any of them may change under a condition.
//!
//! ```
//! use sorreldeck::release::{Order, Releases, State};
//! use sorreldeck::{Span, Time};
//!
//! let (old, new) = ("v1".parse()?, "v2".parse()?);
//! let mut releases = Releases::default();
//! let pool: sorreldeck::PoolId = "assistant".parse()?;
//! let order = Order { pool: pool.clone(), to: new, duration: Span::from_millis(24_000), issued: 7.into() };
//! releases.set_order(order, Some(State::Running), Some(Time(0)));
//! let present = [(&old, 3)].into_iter().collect();
//! assert_eq!(releases.choose(&pool, None, 0.99, Time(1), &present), Some(old.clone()));
//! # Ok::<(), sorreldeck::Error>(())
//! ```

mod moving;
pub mod schedule;
mod sessions;
mod tally;

pub use sessions::{Affinity, SESSION_TTL};

use crate::era::{Era, Stamp};
use crate::id::{Hall, PoolId, RouteId, UpstreamId, VersionId};
use crate::unit::{Share, Span, Time};
use moving::{Move, Wanted};
use serde::{Deserialize, Serialize};
use sessions::Sessions;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt;
use tally::{Tally, Usual};

/// The share of a pool's requests that an unproven release may get over the time
/// given, where the settings name none: that of both sites.
pub const DEFAULT_EXPOSURE: Share = Share::percent(15);
/// How many times the usual time between events makes a stream count as slow: a
/// release that is eight times slower made events 2.6 times as far apart.
const PACE_TIMES: f64 = 1.8;
/// The events that a stream must have for its pace to tell anything.
const PACED: u64 = 8;
/// What was recorded of a move to a release.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// The new release is on trial or is being moved to.
    Running,
    /// Everything moved to the new release; the old upstreams are stopped.
    Completed,
    /// The new release was found bad; it gets no more work.
    RolledBack,
}

/// An operator's order to move a pool to a release.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The pool.
    pub pool: PoolId,
    /// The release to move to.
    pub to: VersionId,
    /// The time given.
    pub duration: Span,
    /// When the order was first written; a later order has a later one.
    pub issued: Stamp,
}

/// What an answer tells about the release that gave it.
#[derive(Clone, Copy, Debug)]
pub struct Answer<'a> {
    /// The pool.
    pub pool: &'a PoolId,
    /// The release.
    pub release: &'a VersionId,
    /// The upstream.
    pub upstream: &'a UpstreamId,
    /// The route, and the place of the model among its sizes.
    pub kind: (&'a RouteId, usize),
    /// The time that its beginning ought to take: what is read and what waits differ
    /// from one answer to the next, so that the same time may be slow for one and
    /// usual for another.
    pub expected: Span,
    /// When it was asked for.
    pub sent: Time,
    /// When this was seen of it.
    pub seen: Time,
    /// The time to its beginning, or `None` if it failed.
    pub ttft: Option<Span>,
}

/// What one or several entries tell the others of a move.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The version at which the order was first written, and its era.
    number: u64,
    #[serde(default)]
    era: Era,
    old: Tally,
    new: Tally,
    failing: BTreeSet<UpstreamId>,
}

impl Report {
    /// Adds what another entry found of the same order; what belongs to an earlier order
    /// gives way to what belongs to a later one.
    pub fn add(&mut self, other: &Report) {
        if other.order() > self.order() {
            self.clone_from(other);
        } else if other.order() == self.order() {
            self.old.add(&other.old);
            self.new.add(&other.new);
            self.failing.extend(other.failing.iter().cloned());
        }
    }

    /// Returns the number of the order.
    fn order(&self) -> Stamp {
        Stamp::new(self.era, self.number)
    }

    /// Returns whether this was told later than another by the same entries: counts only
    /// grow, but for those of an entry that starts anew.
    pub fn is_after(&self, other: &Report) -> bool {
        let answers = |r: &Report| r.old.answers + r.new.answers;
        (self.order(), answers(self)) > (other.order(), answers(other))
    }
}

/// What a move is judged by: how many answers of both releases all entries saw while they were
/// compared, and how many of them failed and were slow.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Totals {
    old: Tally,
    new: Tally,
}

impl fmt::Display for Totals {
    /// Writes `old=answers/failed/slow new=answers/failed/slow`.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "old={} new={}", self.old, self.new)
    }
}

/// Few upstreams of all that run a release on trial, the same at every entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Canary {
    /// How many.
    pub count: usize,
    /// Which choice of them it is: each stage has others.
    pub round: u64,
}

/// Which release of each pool answers.
#[derive(Clone, Debug)]
pub struct Releases {
    exposure: Share,
    moves: BTreeMap<PoolId, Move>,
    settled: BTreeMap<PoolId, BTreeSet<VersionId>>,
    usual: HashMap<(RouteId, usize), Usual>,
    paces: HashMap<(RouteId, usize), Usual>,
    sessions: Sessions,
}

impl Default for Releases {
    fn default() -> Self {
        Releases::new(DEFAULT_EXPOSURE)
    }
}

impl Releases {
    /// Creates the releases of an installation where an unproven release may get
    /// this share of the requests over the time given.
    pub fn new(exposure: Share) -> Releases {
        Releases {
            exposure,
            moves: BTreeMap::new(),
            settled: BTreeMap::new(),
            usual: HashMap::new(),
            paces: HashMap::new(),
            sessions: Sessions::default(),
        }
    }

    /// Takes in an order and what was recorded of it, with the time at which
    /// the first record was made, on this process's clock.
    pub fn set_order(&mut self, order: Order, state: Option<State>, began: Option<Time>) {
        let known = self.moves.get(&order.pool);
        if known.is_some_and(|m| m.order.issued > order.issued) {
            return;
        }
        let pool = order.pool.clone();
        if known.is_none_or(|m| m.order != order) {
            let fresh = Move::new(order, self.exposure);
            let is_told = |session, release: &VersionId| fresh.draws(unit(session), release);
            self.sessions.tell_all(&pool, is_told);
            self.moves.insert(pool.clone(), fresh);
        }
        let Some(known) = self.moves.get_mut(&pool) else {
            return;
        };
        known.note_state(state);
        known.began = began.or(known.began);
        if known.state == Some(State::Completed) {
            let only = BTreeSet::from([known.order.to.clone()]);
            self.settled.insert(pool, only);
        }
    }

    /// Notes the releases present when a pool is first seen: all but one that
    /// is being moved to are taken for sound. Releases that come later without
    /// an order get work only where nothing else is left.
    pub fn set_baseline<'a>(
        &mut self,
        pool: &PoolId,
        present: impl IntoIterator<Item = &'a VersionId>,
    ) {
        if self.has_baseline(pool) {
            return;
        }
        let to = self.moves.get(pool).map(|m| &m.order.to);
        let sound = present.into_iter().filter(|v| Some(*v) != to).cloned();
        self.settled.insert(pool.clone(), sound.collect());
    }

    /// Returns whether it is known which releases of a pool are sound.
    pub fn has_baseline(&self, pool: &PoolId) -> bool {
        let known = self.settled.get(pool);
        known.is_some_and(|known| !known.is_empty())
    }

    /// Chooses the release that answers, of those present with the number of
    /// their upstreams.
    ///
    /// `draw` is a random number in `[0, 1)`, used where there is no session.
    pub fn choose(
        &mut self,
        pool: &PoolId,
        session: Option<u64>,
        draw: f64,
        now: Time,
        present: &BTreeMap<&VersionId, usize>,
    ) -> Option<VersionId> {
        let draw = session.map_or(draw, unit);
        let kept = session.and_then(|s| self.sessions.get(s, now));
        let wanted = match self.moves.get(pool) {
            Some(moving) => moving.wanted(kept.map(|k| &k.release), draw, now, present),
            None => Wanted::Old,
        };
        let to = self.moves.get(pool).map(|m| &m.order.to);
        let is_new = |v: &VersionId| Some(v) == to;
        if wanted == Wanted::New {
            if let Some(to) = to.filter(|to| present.contains_key(to)) {
                return Some(to.clone());
            }
        }
        if let Some(kept) = kept.filter(|k| !is_new(&k.release)) {
            if present.contains_key(&kept.release) {
                return Some(kept.release.clone());
            }
        }
        self.old(pool, draw, present)
    }

    /// Chooses among the releases that are not on trial, or takes what is left.
    fn old(
        &self,
        pool: &PoolId,
        draw: f64,
        present: &BTreeMap<&VersionId, usize>,
    ) -> Option<VersionId> {
        let to = self.moves.get(pool).map(|m| &m.order.to);
        let settled = self.settled.get(pool);
        let sound = |v: &&&VersionId| settled.is_some_and(|s| s.contains(**v)) && Some(**v) != to;
        let mut among: Vec<&&VersionId> = present.keys().filter(sound).collect();
        if among.is_empty() {
            among = present.keys().filter(|v| Some(**v) != to).collect();
        }
        if among.is_empty() {
            among = present.keys().collect();
        }
        let at = (draw * among.len() as f64) as usize;
        among
            .get(at.min(among.len().saturating_sub(1)))
            .map(|v| (**v).clone())
    }

    /// Returns the few upstreams that a release on trial runs on.
    pub fn canary(
        &self,
        pool: &PoolId,
        release: &VersionId,
        now: Time,
        present: &BTreeMap<&VersionId, usize>,
    ) -> Option<Canary> {
        let moving = self.moves.get(pool)?;
        let on_trial = moving.order.to == *release;
        on_trial.then(|| moving.few(now, present)).flatten()
    }

    /// Takes in how far apart the events of a whole stream were; returns whether
    /// its release has just been found bad.
    pub fn record_pace(&mut self, answer: &Answer, events: u64, span: Span) -> bool {
        if events < PACED {
            return false;
        }
        let pace = Span::from_micros(span.micros() / events);
        let kind = (answer.kind.0.clone(), answer.kind.1);
        let usual = self.paces.get(&kind).copied();
        let limit = usual
            .and_then(|u| u.known())
            .map(|us| us as f64 * PACE_TIMES);
        let slow = limit.is_some_and(|limit| pace.micros() as f64 > limit);
        match self.moves.get_mut(answer.pool) {
            Some(moving) if moving.order.to == *answer.release => moving.note_pace(answer, slow),
            moving => {
                if let Some(moving) = moving {
                    moving.old.note(false, slow);
                }
                self.paces.entry(kind).or_default().note(pace);
                false
            }
        }
    }

    /// Takes in that a stream was left since nothing came of it any more; returns whether
    /// its release has just been found bad.
    ///
    /// A stream that is left has no pace, so without this a release whose events are far
    /// apart took the evidence against it away: on calcne-recife half of the streams of a
    /// slow release on trial were left.
    pub fn record_stall(&mut self, answer: &Answer) -> bool {
        let Some(moving) = self.moves.get_mut(answer.pool) else {
            return false;
        };
        if moving.order.to != *answer.release {
            moving.old.note(false, true);
            return false;
        }
        moving.note_stall(answer)
    }

    /// Notes that a request of a session is at a release.
    pub fn set_affinity(&mut self, stay: Affinity, now: Time) {
        let moving = self.moves.get(&stay.pool);
        if moving.is_some_and(|m| m.draws(unit(stay.session), &stay.release)) {
            self.sessions.tell(stay.session);
        }
        self.sessions.keep(stay, now);
    }

    /// Returns the sessions that other entries are to be told of: they stay at their release
    /// though all entries draw them for the one on trial.
    pub fn take_affinities(&mut self, now: Time) -> Vec<Affinity> {
        self.sessions.stays(now)
    }

    /// Takes in that another entry serves a session at a release. One that this entry has sent
    /// to the release on trial meanwhile stays there.
    pub fn merge_affinity(&mut self, stay: Affinity, now: Time) {
        let to = self.moves.get(&stay.pool).map(|m| &m.order.to);
        let known = self.sessions.get(stay.session, now);
        if known.is_some_and(|k| Some(&k.release) == to) {
            return;
        }
        self.sessions.keep(stay, now);
    }

    /// Takes in what an answer tells; returns whether its release has just been
    /// found bad.
    pub fn record_answer(&mut self, answer: &Answer) -> bool {
        let slow = self.is_slow(answer);
        let Some(moving) = self.moves.get_mut(answer.pool) else {
            self.note_usual(answer);
            return false;
        };
        if moving.order.to != *answer.release {
            moving.old.note(answer.ttft.is_none(), slow);
            self.note_usual(answer);
            return false;
        }
        if moving.state == Some(State::Completed) {
            return false;
        }
        let slow = slow && moving.tells_slowness(answer.sent);
        moving.new.note(answer.ttft.is_none(), slow);
        moving.learn(answer.upstream, answer.ttft.is_none() || slow)
    }

    /// Returns whether an answer took far longer to begin than is usual for its work.
    pub fn is_slow(&self, answer: &Answer) -> bool {
        let kind = (answer.kind.0.clone(), answer.kind.1);
        let known = answer.ttft.zip(self.usual.get(&kind));
        known.is_some_and(|(first, usual)| usual.is_slow(first, answer.expected))
    }

    fn note_usual(&mut self, answer: &Answer) {
        let Some(first) = answer.ttft else {
            return;
        };
        let kind = (answer.kind.0.clone(), answer.kind.1);
        let usual = self.usual.entry(kind).or_default();
        usual.note(tally::by_work(first, answer.expected));
    }

    /// Returns what ought to be recorded of each move, where it is not recorded
    /// already. `running` tells how many requests of this entry are at a release.
    pub fn propose(
        &self,
        now: Time,
        running: impl Fn(&PoolId, &VersionId) -> u64,
    ) -> Vec<(Order, State)> {
        let proposals = self.moves.iter().filter_map(|(pool, moving)| {
            let others = self.settled.get(pool).into_iter().flatten();
            let others = others.filter(|v| **v != moving.order.to);
            let old: u64 = others.map(|v| running(pool, v)).sum();
            let state = moving.proposal(now, old)?;
            Some((moving.order.clone(), state))
        });
        proposals.collect()
    }

    /// Returns what other entries are to be told: of each move on whose sides something
    /// was answered here since the last time.
    pub fn take_reports(&mut self) -> Vec<(PoolId, Report)> {
        let moves = self.moves.iter_mut();
        moves
            .filter_map(|(pool, moving)| Some((pool.clone(), moving.report()?)))
            .collect()
    }

    /// Takes in what the other entries of a data hall tell; returns whether the release has
    /// just been found bad.
    pub fn merge(&mut self, pool: &PoolId, hall: Hall, report: Report) -> bool {
        let Some(moving) = self.moves.get_mut(pool) else {
            return false;
        };
        if report.order() != moving.order.issued || moving.state == Some(State::Completed) {
            return false;
        }
        let known = moving.others.get(&hall);
        if known.is_some_and(|known| !report.is_after(known)) {
            return false;
        }
        moving.others.insert(hall, report);
        moving.judge(false)
    }

    /// Returns what the move of a pool is judged by.
    pub fn totals(&self, pool: &PoolId) -> Totals {
        let moving = self.moves.get(pool);
        moving.map_or(Totals::default(), Move::grounds)
    }

    /// Returns whether the releases of a pool are compared.
    pub fn is_comparing(&self, pool: &PoolId) -> bool {
        let moving = self.moves.get(pool);
        moving.is_some_and(|m| m.state == Some(State::Running) && !m.bad)
    }

    /// Returns whether a release is on trial, so that what it does is not usual yet.
    pub fn is_on_trial(&self, pool: &PoolId, release: &VersionId) -> bool {
        let moving = self.moves.get(pool);
        moving.is_some_and(|m| m.order.to == *release && m.state != Some(State::Completed))
    }

    /// Returns whether a release was found bad here.
    pub fn is_bad(&self, pool: &PoolId) -> bool {
        self.moves.get(pool).is_some_and(|m| m.bad)
    }
}

/// Returns a number in `[0, 1)` that a session always gets.
fn unit(session: u64) -> f64 {
    // Mixes the bits, so that sessions named alike spread evenly.
    let mut x = session ^ (session >> 33);
    x = x.wrapping_mul(0xff51_afd7_ed55_8ccd);
    x ^= x >> 33;
    (x >> 11) as f64 / (1u64 << 53) as f64
}
