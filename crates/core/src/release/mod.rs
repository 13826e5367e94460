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
//! let order = Order { pool: pool.clone(), to: new, duration: Span::from_millis(24_000), number: 7 };
//! releases.order(order, Some(State::Running), Some(Time(0)));
//! let present = [(&old, 3)].into_iter().collect();
//! assert_eq!(releases.choose(&pool, None, 0.99, Time(1), &present), Some(old.clone()));
//! # Ok::<(), sorreldeck::Error>(())
//! ```

pub mod schedule;
mod tally;

use crate::evidence::{Bar, Detector, Evidence};
use crate::id::{InstanceId, PoolId, RouteId, UpstreamId, VersionId};
use crate::unit::{Share, Span, Time};
use schedule::{Schedule, Stage};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use tally::{chance_of, Tally, Usual};

/// The share of a pool's requests that an unproven release may get over the time
/// given, where the settings name none: that of both sites.
pub const EXPOSURE: Share = Share::percent(15);
/// How unlikely as many failures must be, were the release as good as the old
/// one, for it to be found worse.
const CHANCE: f64 = 0.002;
/// The same for a release to be doubtful: it is not moved to.
const DOUBT: f64 = 0.01;
/// How many times the old release's share of failures, and of slow answers, counts
/// as being as good. Entries tell of a trial when they have just seen an answer that
/// speaks against it, so what all told together holds too many of those.
const AS_GOOD: f64 = 1.5;
const AS_FAST: f64 = 2.5;
/// What is added to the old release's failures and slow answers: a good release
/// fails next to never by itself, while now and then an answer is slow.
const PRIOR_FAILED: f64 = 0.1;
const PRIOR_SLOW: f64 = 0.5;
/// The answers of the old release that its share must rest on.
const COMPARED: u64 = 50;
/// The failures, and the share of answers that they are, from which on a release
/// with nothing to compare it with is doubtful.
const DOUBTFUL: u64 = 2;
const DOUBTFUL_SHARE: f64 = 0.15;
/// The part of the time after which a release that is still doubtful is given up.
const GIVE_UP_AT: f64 = 0.8;
/// A release is moved to only where its upstreams are this part of the others.
const ENOUGH: f64 = 0.5;
/// How long a session is remembered after its last request; the sites count
/// requests within 5 s as one session.
const SESSION_LIFE: Span = Span::from_millis(6_000);
/// The sessions remembered before old ones are looked for.
const SESSIONS: usize = 4096;
/// The share of failures that a good release may have. Crashes and resets are
/// not counted as failures of a release.
const MAX_FAILING: f64 = 0.04;
/// The chance that a good release is found bad.
const FALSE_ALARM: f64 = 0.001;
/// How many times the usual time between events makes a stream count as slow: a
/// release that is eight times slower made events 2.6 times as far apart.
const PACE_TIMES: f64 = 1.8;
/// The events that a stream must have for its pace to tell anything.
const PACED: u64 = 8;
/// How many times the usual load the few upstreams of a trial get: a release that
/// fails only under load is to show it before everything moves there.
const STRESS: f64 = 2.0;
/// The latest answers of a release that are looked at, and how many of them one
/// upstream must have given to be alone on trial.
const RECENT: usize = 16;
const ALONE: usize = 14;
/// The upstreams on which a release must fail before it is found bad, since one
/// upstream may fail by itself.
const FAILING_UPSTREAMS: usize = 2;

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
    /// The number of the order; a later order has a higher one.
    pub number: u64,
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
    /// When it was asked for.
    pub sent: Time,
    /// The time to its beginning, or `None` if it failed.
    pub first: Option<Span>,
}

#[derive(Clone, Debug)]
struct Move {
    order: Order,
    schedule: Schedule,
    state: Option<State>,
    began: Option<Time>,
    evidence: Evidence,
    detector: Detector,
    old: Tally,
    new: Tally,
    failing: BTreeSet<UpstreamId>,
    serving: BTreeSet<UpstreamId>,
    /// The upstreams that gave the latest answers of the new release.
    recent: VecDeque<UpstreamId>,
    others: BTreeMap<InstanceId, Report>,
    told: u64,
    bad: bool,
}

/// What one entry tells the others of a move, when the new release has failed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The number of the order.
    number: u64,
    old: Tally,
    new: Tally,
    failing: BTreeSet<UpstreamId>,
}

/// Where a move stands.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Phase {
    /// A share of sessions gets the new release.
    Trial(Stage),
    /// Only sessions that are at the new release already get it.
    Held,
    /// Everything gets the new release.
    Moved,
    /// Nothing gets the new release.
    Off,
}

/// Few upstreams of all that run a release on trial, the same at every entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Few {
    /// How many.
    pub count: usize,
    /// Which choice of them it is: each stage has others.
    pub turn: u64,
}

#[derive(Clone, Debug)]
struct Kept {
    release: VersionId,
    last: Time,
}

/// Which release of each pool answers.
#[derive(Clone, Debug)]
pub struct Releases {
    exposure: Share,
    moves: BTreeMap<PoolId, Move>,
    settled: BTreeMap<PoolId, BTreeSet<VersionId>>,
    usual: HashMap<(RouteId, usize), Usual>,
    paces: HashMap<(RouteId, usize), Usual>,
    sessions: HashMap<u64, Kept>,
}

impl Default for Releases {
    fn default() -> Self {
        Releases::new(EXPOSURE)
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
            sessions: HashMap::new(),
        }
    }

    /// Takes in an order and what was recorded of it, with the time at which
    /// the first record was made, on this process's clock.
    pub fn order(&mut self, order: Order, state: Option<State>, began: Option<Time>) {
        let known = self.moves.get(&order.pool);
        if known.is_some_and(|m| m.order.number > order.number) {
            return;
        }
        let pool = order.pool.clone();
        if known.is_none_or(|m| m.order != order) {
            let fresh = Move {
                schedule: Schedule::new(self.exposure, order.duration),
                order,
                state: None,
                began: None,
                evidence: Evidence::default(),
                detector: Detector::default(),
                old: Tally::default(),
                new: Tally::default(),
                failing: BTreeSet::new(),
                serving: BTreeSet::new(),
                recent: VecDeque::new(),
                others: BTreeMap::new(),
                told: 0,
                bad: false,
            };
            self.moves.insert(pool.clone(), fresh);
        }
        let Some(known) = self.moves.get_mut(&pool) else {
            return;
        };
        known.state = state.or(known.state);
        known.began = began.or(known.began);
        if known.state == Some(State::Completed) {
            let only = BTreeSet::from([known.order.to.clone()]);
            self.settled.insert(pool, only);
        }
    }

    /// Notes the releases present when a pool is first seen: all but one that
    /// is being moved to are taken for sound. Releases that come later without
    /// an order get work only where nothing else is left.
    pub fn settle<'a>(&mut self, pool: &PoolId, present: impl IntoIterator<Item = &'a VersionId>) {
        if self
            .settled
            .get(pool)
            .is_some_and(|known| !known.is_empty())
        {
            return;
        }
        let to = self.moves.get(pool).map(|m| &m.order.to);
        let sound = present.into_iter().filter(|v| Some(*v) != to).cloned();
        self.settled.insert(pool.clone(), sound.collect());
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
        let kept = session.and_then(|s| self.sessions.get(&s));
        let kept = kept.filter(|k| now.since(k.last) < SESSION_LIFE);
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
    pub fn few(
        &self,
        pool: &PoolId,
        release: &VersionId,
        now: Time,
        present: &BTreeMap<&VersionId, usize>,
    ) -> Option<Few> {
        let moving = self.moves.get(pool)?;
        let on_trial = moving.order.to == *release;
        on_trial.then(|| moving.few(now, present)).flatten()
    }

    /// Takes in how far apart the events of a whole stream were; returns whether
    /// its release has just been found bad.
    pub fn paced(&mut self, answer: &Answer, events: u64, span: Span) -> bool {
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
            Some(moving) if moving.order.to == *answer.release => {
                let slow = slow && moving.tells_slowness(answer.sent);
                moving.new.note(false, slow);
                moving.state != Some(State::Completed) && moving.learn(answer.upstream, slow)
            }
            moving => {
                if let Some(moving) = moving {
                    moving.old.note(false, slow);
                }
                self.paces.entry(kind).or_default().note(pace);
                false
            }
        }
    }

    /// Notes that a request of a session is at a release.
    pub fn keep(&mut self, session: u64, release: &VersionId, now: Time) {
        if self.sessions.len() >= SESSIONS {
            self.sessions
                .retain(|_, k| now.since(k.last) < SESSION_LIFE);
        }
        let kept = Kept {
            release: release.clone(),
            last: now,
        };
        self.sessions.insert(session, kept);
    }

    /// Takes in what an answer tells; returns whether its release has just been
    /// found bad.
    pub fn learn(&mut self, answer: &Answer) -> bool {
        let usual = self
            .usual
            .get(&(answer.kind.0.clone(), answer.kind.1))
            .copied();
        let slow = answer
            .first
            .zip(usual)
            .is_some_and(|(first, usual)| usual.is_slow(first));
        let Some(moving) = self.moves.get_mut(answer.pool) else {
            self.note_usual(answer);
            return false;
        };
        if moving.order.to != *answer.release {
            moving.old.note(answer.first.is_none(), slow);
            self.note_usual(answer);
            return false;
        }
        if moving.state == Some(State::Completed) {
            return false;
        }
        let slow = slow && moving.tells_slowness(answer.sent);
        moving.new.note(answer.first.is_none(), slow);
        moving.learn(answer.upstream, answer.first.is_none() || slow)
    }

    fn note_usual(&mut self, answer: &Answer) {
        let Some(first) = answer.first else {
            return;
        };
        let kind = (answer.kind.0.clone(), answer.kind.1);
        self.usual.entry(kind).or_default().note(first);
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

    /// Returns what other entries are to be told: of each move whose release has
    /// failed here since the last time.
    pub fn reports(&mut self) -> Vec<(PoolId, Report)> {
        let moves = self.moves.iter_mut();
        moves
            .filter_map(|(pool, moving)| Some((pool.clone(), moving.report()?)))
            .collect()
    }

    /// Takes in what another entry tells; returns whether the release has just
    /// been found bad.
    pub fn told(&mut self, pool: &PoolId, entry: InstanceId, report: Report) -> bool {
        let Some(moving) = self.moves.get_mut(pool) else {
            return false;
        };
        if report.number != moving.order.number || moving.state == Some(State::Completed) {
            return false;
        }
        moving.others.insert(entry, report);
        moving.judge(false)
    }

    /// Returns whether a release was found bad here.
    pub fn is_bad(&self, pool: &PoolId) -> bool {
        self.moves.get(pool).is_some_and(|m| m.bad)
    }
}

/// Which side of a move a request goes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Wanted {
    Old,
    New,
}

impl Move {
    fn phase(&self, now: Time) -> Phase {
        let state = match self.state {
            Some(State::Completed) => return Phase::Moved,
            Some(State::RolledBack) => return Phase::Off,
            state => state,
        };
        if self.bad || state.is_none() {
            return Phase::Off;
        }
        // All entries must move at the same time, so little but the time decides.
        match (self.schedule.stage(self.passed(now)), self.is_doubtful()) {
            (Stage::All, false) => Phase::Moved,
            (Stage::All, true) => Phase::Held,
            (stage, _) => Phase::Trial(stage),
        }
    }

    /// Returns whether the release looks worse than the old one, though that may be
    /// chance: with few answers of the old one to compare with, by its failures alone.
    fn is_doubtful(&self) -> bool {
        if self.old.answers >= COMPARED {
            return self.is_worse_at(DOUBT);
        }
        let failures = self.evidence.failures;
        let share = failures as f64 / self.evidence.answers.max(1) as f64;
        self.is_wide(self.failing.len()) && failures >= DOUBTFUL && share > DOUBTFUL_SHARE
    }

    /// Returns whether enough upstreams run the new release to take everything.
    fn has_enough(&self, present: &BTreeMap<&VersionId, usize>) -> bool {
        let new = present.get(&self.order.to).copied().unwrap_or(0);
        let old: usize = present.values().sum::<usize>() - new;
        self.state == Some(State::Completed) || new as f64 >= old as f64 * ENOUGH
    }

    /// Returns how much of the time given has passed.
    fn passed(&self, now: Time) -> Span {
        now.since(self.began.unwrap_or(now))
    }

    /// Returns the part of the time given that has passed.
    fn part(&self, now: Time) -> f64 {
        self.schedule.part(self.passed(now))
    }

    fn wanted(
        &self,
        kept: Option<&VersionId>,
        draw: f64,
        now: Time,
        present: &BTreeMap<&VersionId, usize>,
    ) -> Wanted {
        let stays = |kept: &VersionId| match *kept == self.order.to {
            true => Wanted::New,
            false => Wanted::Old,
        };
        match (self.phase(now), kept) {
            (Phase::Off, _) => Wanted::Old,
            (Phase::Moved, _) if self.has_enough(present) => Wanted::New,
            (Phase::Moved | Phase::Held, kept) => kept.map_or(Wanted::Old, stays),
            (Phase::Trial(Stage::Small), Some(kept)) => stays(kept),
            (Phase::Trial(stage), _) if draw < self.schedule.share(stage) => Wanted::New,
            (Phase::Trial(_), kept) => kept.map_or(Wanted::Old, stays),
        }
    }

    /// Returns the few upstreams that a trial runs on, so that they work under the
    /// load that all will have.
    fn few(&self, now: Time, present: &BTreeMap<&VersionId, usize>) -> Option<Few> {
        let Phase::Trial(stage) = self.phase(now) else {
            return None;
        };
        let new = present.get(&self.order.to).copied().unwrap_or(0);
        let old = present.values().sum::<usize>() - new;
        let usual = self.schedule.share(stage) * old as f64;
        let count = match stage {
            Stage::Loaded => (usual / STRESS) as usize,
            _ => (usual.round() as usize).max(FAILING_UPSTREAMS),
        };
        Some(Few {
            count: count.max(1),
            turn: stage as u64,
        })
    }

    fn learn(&mut self, upstream: &UpstreamId, failed: bool) -> bool {
        let bar = Bar {
            floor: 1.0 - MAX_FAILING,
            bad: 1.0 - 4.0 * MAX_FAILING,
            max_error: MAX_FAILING,
            false_alarm: FALSE_ALARM,
        };
        self.serving.insert(upstream.clone());
        if failed {
            self.failing.insert(upstream.clone());
        }
        self.recent.push_back(upstream.clone());
        if self.recent.len() > RECENT {
            self.recent.pop_front();
        }
        self.evidence.answer(failed, &bar);
        let found = self.detector.update(&self.evidence, &bar);
        self.judge(found && self.is_wide(self.failing.len()))
    }

    /// Returns whether an answer that is slow says something about its release: not
    /// while its upstreams are loaded more than those of the old one.
    fn tells_slowness(&self, sent: Time) -> bool {
        self.schedule.stage(self.passed(sent)) != Stage::Loaded
    }

    /// Returns whether failures at so many upstreams are the release's: at two, or
    /// at one that gives next to all answers of the trial.
    fn is_wide(&self, failing: usize) -> bool {
        failing >= FAILING_UPSTREAMS.min(self.serving.len()) || (failing > 0 && self.is_alone())
    }

    /// Returns whether one upstream gave next to all of the latest answers.
    fn is_alone(&self) -> bool {
        let Some(last) = self.recent.back() else {
            return false;
        };
        let same = self.recent.iter().filter(|u| *u == last).count();
        self.recent.len() == RECENT && same >= ALONE
    }

    /// Notes whether the release is bad; returns whether that is new.
    fn judge(&mut self, found: bool) -> bool {
        let before = self.bad;
        self.bad |= found || self.is_worse_at(CHANCE);
        self.bad && !before
    }

    fn report(&mut self) -> Option<Report> {
        let failures = self.new.failed + self.new.slow;
        let news = failures > self.told && self.state == Some(State::Running);
        self.told = failures;
        news.then(|| Report {
            number: self.order.number,
            old: self.old,
            new: self.new,
            failing: self.failing.clone(),
        })
    }

    /// Returns whether the new release fails, or is slow, more often than the old one
    /// did at the same time, as all entries saw it, with so small a chance that a
    /// release as good as the old one looks so.
    fn is_worse_at(&self, chance: f64) -> bool {
        let (mut old, mut new) = (self.old, self.new);
        let mut failing: BTreeSet<&UpstreamId> = self.failing.iter().collect();
        for report in self.others.values() {
            old.add(&report.old);
            new.add(&report.new);
            failing.extend(&report.failing);
        }
        if old.answers < COMPARED || !self.is_wide(failing.len()) {
            return false;
        }
        let clear = |old_count: f64, count: u64, times: f64| {
            let share = old_count / (old.answers as f64 + 1.0);
            let expected = share * times * new.answers as f64;
            count >= DOUBTFUL && chance_of(count, expected) < chance
        };
        clear(old.failed as f64 + PRIOR_FAILED, new.failed, AS_GOOD)
            || clear(old.slow as f64 + PRIOR_SLOW, new.slow, AS_FAST)
    }

    fn proposal(&self, now: Time, old: u64) -> Option<State> {
        match self.state {
            None => Some(State::Running),
            Some(State::Running) if self.bad => Some(State::RolledBack),
            Some(State::Running) if self.is_doubtful() && self.part(now) >= GIVE_UP_AT => {
                Some(State::RolledBack)
            }
            Some(State::Running) if self.phase(now) != Phase::Moved => None,
            Some(State::Running) => {
                let done = self.schedule.completes(self.passed(now), old == 0);
                (done && !self.serving.is_empty()).then_some(State::Completed)
            }
            Some(State::Completed | State::RolledBack) => None,
        }
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
