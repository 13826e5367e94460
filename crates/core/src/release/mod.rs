//! Chooses the release of an upstream's software that answers while one replaces another.
//!
//! Upstreams of a pool may run different releases. An operator orders a move to a new one. Until
//! half of the given time has passed, the new release gets only a small share of new sessions, and
//! every session stays at its release. Near the end everything moves and the move is recorded as
//! completed, if the trial has shown enough by then; else it is prolonged. The sequential test of
//! [`evidence`](crate::evidence) and comparisons with the old release over all entries separate bad
//! releases from good ones. They cannot detect a release that fails only under a load that a trial
//! does not produce; to bound the damage of those, everything moves so late that no more than a set
//! share of the requests in the given time is exposed.
//!
//! All entries know the order and when it was first recorded, so each computes the phase by itself.
//! The state that they must agree on is a row in the platform's store, which any of them may change
//! under a condition.
//!
//! ```
//! use sorreldeck::release::{Order, Releases, Selection, State};
//! use sorreldeck::{Span, Time};
//!
//! let (old, new) = ("v1".parse()?, "v2".parse()?);
//! let mut releases = Releases::default();
//! let pool: sorreldeck::PoolId = "assistant".parse()?;
//! let duration = Span::from_millis(24_000);
//! let order = Order { pool: pool.clone(), to: new, duration, issued: 7.into(), learned: 7.into() };
//! releases.set_order(order, Some(State::Running), Some(Time(0)));
//! let present = [(&old, 3)].into_iter().collect();
//! let chosen = releases.choose(&pool, None, 0.99, Time(1), &present);
//! assert_eq!(chosen, Selection::Release(old.clone()));
//! # Ok::<(), sorreldeck::Error>(())
//! ```

mod moving;
pub mod schedule;
mod sessions;
mod starts;
mod tally;

pub use sessions::{Affinity, SESSION_TTL};

use crate::era::{Era, Stamp};
use crate::id::{Hall, PoolId, RouteId, UpstreamId, VersionId};
use crate::unit::{Share, Span, Time};
use moving::{Move, Side};
use serde::{Deserialize, Serialize};
use sessions::Sessions;
use starts::{Slower, Start, Starts};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt;
use tally::{RunningMean, Tally};

/// The share of a pool's requests that an unproven release may get over the given time, if the
/// settings name none. Both sites use it.
pub const DEFAULT_EXPOSURE: Share = Share::percent(15);
/// The multiple of the usual time between events from which on a stream counts as slow. Events of a
/// release that was eight times slower were 2.6 times as far apart.
const SLOW_PACE_FACTOR: f64 = 1.8;
/// The events that a stream needs for its pace to be judged.
const MIN_PACE_EVENTS: u64 = 8;
/// The recorded state of a move to a release.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// The new release is on trial, or requests are moving to it.
    Running,
    /// Everything moved to the new release; the old upstreams are stopped.
    Completed,
    /// The new release was found bad; it gets no more requests.
    RolledBack,
}

/// An operator's order to move a pool to a release.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The pool to move.
    pub pool: PoolId,
    /// The release to move to.
    pub to: VersionId,
    /// The time within which to move.
    pub duration: Span,
    /// When the order was first written; a later order has a later stamp.
    pub issued: Stamp,
    /// Up to where the store was known when this process learned of the order; an entry that
    /// restarts learns of it later.
    pub learned: Stamp,
}

/// An observation of an answer and the release that gave it.
#[derive(Clone, Copy, Debug)]
pub struct Answer<'a> {
    /// The pool of the upstream.
    pub pool: &'a PoolId,
    /// The release of the upstream.
    pub release: &'a VersionId,
    /// The upstream that answers.
    pub upstream: &'a UpstreamId,
    /// The route, and the position of the model among its sizes.
    pub kind: (&'a RouteId, usize),
    /// The expected time to the first event. The lengths of prompts and queues differ between
    /// answers, so the same time may be slow for one and usual for another.
    pub expected: Span,
    /// When the request was sent.
    pub sent: Time,
    /// When the observation was made.
    pub seen: Time,
    /// The time to the first event, or `None` if the answer failed.
    pub ttft: Option<Span>,
}

/// What one or several entries report to the others about a move.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The version at which the order was first written, and its era.
    number: u64,
    #[serde(default)]
    era: Era,
    old: Tally,
    new: Tally,
    #[serde(default)]
    old_starts: Starts,
    #[serde(default)]
    new_starts: Starts,
    failing: BTreeSet<UpstreamId>,
    /// Whether the release was found bad.
    #[serde(default)]
    bad: bool,
    /// Up to where the store was known when the entry that began last learned of the order.
    #[serde(default)]
    learned: (Era, u64),
}

impl Report {
    /// Adds what another entry reports about the same order. A report about a later order replaces
    /// one about an earlier order.
    pub fn add(&mut self, other: &Report) {
        if other.order() > self.order() {
            self.clone_from(other);
        } else if other.order() == self.order() {
            self.old.add(&other.old);
            self.new.add(&other.new);
            self.old_starts.add(&other.old_starts);
            self.new_starts.add(&other.new_starts);
            self.failing.extend(other.failing.iter().cloned());
            self.bad |= other.bad;
            self.learned = self.learned.max(other.learned);
        }
    }

    /// Returns the stamp of the order.
    fn order(&self) -> Stamp {
        Stamp::new(self.era, self.number)
    }

    /// Returns whether this report is later than another by the same entries: counts only grow
    /// unless an entry restarts, and what was found bad stays so.
    pub fn is_after(&self, other: &Report) -> bool {
        let state = |r: &Report| (r.order(), r.bad, r.learned, r.old.answers + r.new.answers);
        state(self) > state(other)
    }
}

/// The counts by which a move is judged: the answers of both releases that all entries saw while
/// the releases were compared, how many of them failed or were slow, and how the times of the two
/// compare.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Totals {
    old: Tally,
    new: Tally,
    slower: Option<Slower>,
    /// The answers of the trial, and those from its loaded stage on.
    trial: (u64, u64),
    /// The data halls whose other entries reported.
    reports: usize,
    /// The upstreams of the new release that answered this entry.
    serving: usize,
    /// The upstreams of the new release that failed or were slow.
    failing: usize,
}

impl fmt::Display for Totals {
    /// Writes `old=answers/failed/slow new=answers/failed/slow slower=probability~error/answers`,
    /// and the numbers of reports and of upstreams.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "old={} new={} slower=", self.old, self.new)?;
        match self.slower {
            None => f.write_str("-")?,
            Some(s) => write!(f, "{:.2}~{:.2}/{}", s.probability, s.error, s.answers)?,
        }
        let Totals {
            trial: (all, late),
            reports,
            serving,
            failing,
            ..
        } = self;
        write!(f, " trial={all} late={late} reports={reports}")?;
        write!(f, " serving={serving} failing={failing}")
    }
}

/// A subset of the upstreams that run a release on trial, the same at every entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Canary {
    /// The number of upstreams in the subset.
    pub count: usize,
    /// Selects the subset: each stage has another one.
    pub round: u64,
}

/// The release that answers a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Selection {
    /// Any upstream may answer: none has a release.
    Any,
    /// An upstream of this release answers.
    Release(VersionId),
    /// Only upstreams of a release that may not answer are left, so the request is refused.
    Unproven,
}

/// Chooses the release of each pool that answers.
#[derive(Clone, Debug)]
pub struct Releases {
    exposure: Share,
    moves: BTreeMap<PoolId, Move>,
    /// Reports on orders that are not known here yet.
    early: BTreeMap<(PoolId, Hall), Report>,
    baselines: BTreeMap<PoolId, BTreeSet<VersionId>>,
    usual: HashMap<(RouteId, usize), RunningMean>,
    paces: HashMap<(RouteId, usize), RunningMean>,
    sessions: Sessions,
}

impl Default for Releases {
    fn default() -> Self {
        Releases::new(DEFAULT_EXPOSURE)
    }
}

impl Releases {
    /// Creates the state of an installation where an unproven release may get this share of the
    /// requests over the given time.
    pub fn new(exposure: Share) -> Releases {
        Releases {
            exposure,
            moves: BTreeMap::new(),
            early: BTreeMap::new(),
            baselines: BTreeMap::new(),
            usual: HashMap::new(),
            paces: HashMap::new(),
            sessions: Sessions::default(),
        }
    }

    /// Sets an order, its recorded state, and the time of its first record on this process's clock.
    pub fn set_order(&mut self, order: Order, state: Option<State>, began: Option<Time>) {
        let known = self.moves.get(&order.pool);
        if known.is_some_and(|m| m.order.issued > order.issued) {
            return;
        }
        let pool = order.pool.clone();
        if known.is_none_or(|m| m.order != order) {
            let fresh = Move::new(order, self.exposure);
            let is_drawn =
                |session, release: &VersionId| fresh.draws(session_draw(session), release);
            self.sessions.queue_matching(&pool, is_drawn);
            self.moves.insert(pool.clone(), fresh);
        }
        self.merge_early(&pool);
        let Some(known) = self.moves.get_mut(&pool) else {
            return;
        };
        known.set_recorded(state);
        known.began = began.or(known.began);
        if known.state == Some(State::Completed) {
            let only = BTreeSet::from([known.order.to.clone()]);
            self.baselines.insert(pool, only);
        }
    }

    /// Records the releases that are present when a pool is first seen. All of them count as sound
    /// except one that is being moved to. Releases that appear later without an order get requests
    /// only if no other is left.
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
        self.baselines.insert(pool.clone(), sound.collect());
    }

    /// Returns whether the sound releases of a pool are known.
    pub fn has_baseline(&self, pool: &PoolId) -> bool {
        let known = self.baselines.get(pool);
        known.is_some_and(|known| !known.is_empty())
    }

    /// Chooses the release that answers, of those present with the number of their upstreams.
    ///
    /// `draw` is a random number in `[0, 1)`, used if there is no session.
    pub fn choose(
        &mut self,
        pool: &PoolId,
        session: Option<u64>,
        draw: f64,
        now: Time,
        present: &BTreeMap<&VersionId, usize>,
    ) -> Selection {
        let draw = session.map_or(draw, session_draw);
        let known = session.and_then(|s| self.sessions.get(s, now));
        let side = match self.moves.get(pool) {
            Some(moving) => moving.side(known.map(|k| &k.release), draw, now, present),
            None => Side::Old,
        };
        let to = self.moves.get(pool).map(|m| &m.order.to);
        let is_new = |v: &VersionId| Some(v) == to;
        if side == Side::New {
            if let Some(to) = to.filter(|to| present.contains_key(to)) {
                return Selection::Release(to.clone());
            }
        }
        if let Some(known) = known.filter(|k| !is_new(&k.release)) {
            if present.contains_key(&known.release) {
                return Selection::Release(known.release.clone());
            }
        }
        self.choose_sound(pool, draw, now, present)
    }

    /// Chooses among the sound releases or, if none is present, among those without an order.
    fn choose_sound(
        &self,
        pool: &PoolId,
        draw: f64,
        now: Time,
        present: &BTreeMap<&VersionId, usize>,
    ) -> Selection {
        let to = self.moves.get(pool).map(|m| &m.order.to);
        let baseline = self.baselines.get(pool);
        let sound = |v: &&&VersionId| baseline.is_some_and(|s| s.contains(**v)) && Some(**v) != to;
        let mut among: Vec<&&VersionId> = present.keys().filter(sound).collect();
        if among.is_empty() {
            among = present.keys().filter(|v| Some(**v) != to).collect();
        }
        let at = (draw * among.len() as f64) as usize;
        match among.get(at.min(among.len().saturating_sub(1))) {
            Some(release) => Selection::Release((**release).clone()),
            None => self.choose_alone(pool, now, present),
        }
    }

    /// Chooses the release that is moved to, if it is the only one present and may answer.
    fn choose_alone(
        &self,
        pool: &PoolId,
        now: Time,
        present: &BTreeMap<&VersionId, usize>,
    ) -> Selection {
        let moving = self.moves.get(pool);
        let Some(moving) = moving.filter(|m| present.contains_key(&m.order.to)) else {
            return Selection::Any;
        };
        // Without another release that was ever seen, there is none to wait for.
        let is_only = !moving.was_found_bad() && !self.has_baseline(pool);
        match is_only || moving.may_stand_alone(now) {
            true => Selection::Release(moving.order.to.clone()),
            false => Selection::Unproven,
        }
    }

    /// Returns the subset of upstreams that a release on trial runs on.
    pub fn canary(
        &self,
        pool: &PoolId,
        release: &VersionId,
        now: Time,
        present: &BTreeMap<&VersionId, usize>,
    ) -> Option<Canary> {
        let moving = self.moves.get(pool)?;
        let on_trial = moving.order.to == *release;
        on_trial.then(|| moving.canary(now, present)).flatten()
    }

    /// Records how far apart the events of a complete stream were; returns whether its release has
    /// just been found bad.
    pub fn record_pace(&mut self, answer: &Answer, events: u64, span: Span) -> bool {
        if events < MIN_PACE_EVENTS {
            return false;
        }
        let pace = Span::from_micros(span.micros() / events);
        let kind = (answer.kind.0.clone(), answer.kind.1);
        let usual = self.paces.get(&kind).copied();
        let limit = usual
            .and_then(|u| u.value())
            .map(|us| us as f64 * SLOW_PACE_FACTOR);
        let slow = limit.is_some_and(|limit| pace.micros() as f64 > limit);
        match self.moves.get_mut(answer.pool) {
            Some(moving) if moving.order.to == *answer.release => moving.note_pace(answer, slow),
            moving => {
                if let Some(moving) = moving {
                    moving.old.record(false, slow);
                }
                self.paces.entry(kind).or_default().add(pace);
                false
            }
        }
    }

    /// Records that a stream was abandoned because it stalled; returns whether its release has just
    /// been found bad.
    ///
    /// An abandoned stream has no pace. Without this record a release whose events are far apart
    /// would remove the evidence against it: on one installation half of the streams of a slow
    /// release on trial were abandoned.
    pub fn record_stall(&mut self, answer: &Answer) -> bool {
        let Some(moving) = self.moves.get_mut(answer.pool) else {
            return false;
        };
        if moving.order.to != *answer.release {
            moving.old.record(false, true);
            return false;
        }
        moving.note_stall(answer)
    }

    /// Records that a request of a session is at a release.
    pub fn set_affinity(&mut self, affinity: Affinity, now: Time) {
        let moving = self.moves.get(&affinity.pool);
        if moving.is_some_and(|m| m.draws(session_draw(affinity.session), &affinity.release)) {
            self.sessions.queue(affinity.session);
        }
        self.sessions.insert(affinity, now);
    }

    /// Returns the sessions to report to other entries: they stay at their release though all
    /// entries draw them for the one on trial.
    pub fn take_affinities(&mut self, now: Time) -> Vec<Affinity> {
        self.sessions.take_queued(now)
    }

    /// Records that another entry serves a session at a release. A session that this entry has sent
    /// to the release on trial meanwhile stays there.
    pub fn merge_affinity(&mut self, affinity: Affinity, now: Time) {
        let to = self.moves.get(&affinity.pool).map(|m| &m.order.to);
        let known = self.sessions.get(affinity.session, now);
        if known.is_some_and(|k| Some(&k.release) == to) {
            return;
        }
        self.sessions.insert(affinity, now);
    }

    /// Records an answer; returns whether its release has just been found bad.
    pub fn record_answer(&mut self, answer: &Answer) -> bool {
        let slow = self.is_slow(answer);
        let Some(moving) = self.moves.get_mut(answer.pool) else {
            self.add_usual(answer);
            return false;
        };
        let start = Start::of(answer);
        if moving.order.to != *answer.release {
            moving.old.record(answer.ttft.is_none(), slow);
            moving.record_start(Side::Old, answer.sent, start);
            self.add_usual(answer);
            return false;
        }
        if moving.state == Some(State::Completed) {
            return false;
        }
        moving.record_start(Side::New, answer.sent, start);
        let slow = slow && moving.counts_slowness(answer.sent);
        moving.new.record(answer.ttft.is_none(), slow);
        moving.record(answer.upstream, answer.ttft.is_none() || slow)
    }

    /// Returns whether an answer took far longer to begin than is usual for its expected time.
    pub fn is_slow(&self, answer: &Answer) -> bool {
        let kind = (answer.kind.0.clone(), answer.kind.1);
        let known = answer.ttft.zip(self.usual.get(&kind));
        known.is_some_and(|(first, usual)| usual.is_slow(first, answer.expected))
    }

    fn add_usual(&mut self, answer: &Answer) {
        let Some(first) = answer.ttft else {
            return;
        };
        let kind = (answer.kind.0.clone(), answer.kind.1);
        let usual = self.usual.entry(kind).or_default();
        usual.add(tally::per_expected_second(first, answer.expected));
    }

    /// Returns the state to be recorded of each move, if it is not recorded yet.
    pub fn propose(&self, now: Time) -> Vec<(Order, State)> {
        let moves = self.moves.values();
        let proposals = moves.filter_map(|m| Some((m.order.clone(), m.proposal(now)?)));
        proposals.collect()
    }

    /// Returns the reports for other entries, one for each move that had answers here since the
    /// last call.
    pub fn take_reports(&mut self) -> Vec<(PoolId, Report)> {
        let moves = self.moves.iter_mut();
        moves
            .filter_map(|(pool, moving)| Some((pool.clone(), moving.report()?)))
            .collect()
    }

    /// Processes a report of the other entries of a data hall; returns whether the release has just
    /// been found bad.
    pub fn merge(&mut self, pool: &PoolId, hall: Hall, report: Report) -> bool {
        let known = self.moves.get_mut(pool);
        match known.filter(|m| m.order.issued >= report.order()) {
            Some(moving) => moving.merge(hall, report),
            None => {
                self.early.insert((pool.clone(), hall), report);
                false
            }
        }
    }

    /// Processes the reports that arrived before the order of a pool.
    fn merge_early(&mut self, pool: &PoolId) {
        let (of_pool, rest) = std::mem::take(&mut self.early)
            .into_iter()
            .partition(|((of, _), _)| of == pool);
        self.early = rest;
        for ((pool, hall), report) in of_pool {
            self.merge(&pool, hall, report);
        }
    }

    /// Returns the counts by which the move of a pool is judged.
    pub fn totals(&self, pool: &PoolId) -> Totals {
        let moving = self.moves.get(pool);
        moving.map_or(Totals::default(), Move::totals)
    }

    /// Returns whether the releases of a pool are being compared.
    pub fn is_comparing(&self, pool: &PoolId) -> bool {
        let moving = self.moves.get(pool);
        moving.is_some_and(|m| m.state == Some(State::Running) && !m.bad)
    }

    /// Returns whether a release is on trial, so that its behaviour does not count as usual yet.
    pub fn is_on_trial(&self, pool: &PoolId, release: &VersionId) -> bool {
        let moving = self.moves.get(pool);
        moving.is_some_and(|m| m.order.to == *release && m.state != Some(State::Completed))
    }

    /// Returns whether this entry found the new release of a pool bad.
    pub fn is_bad(&self, pool: &PoolId) -> bool {
        self.moves.get(pool).is_some_and(|m| m.bad)
    }
}

/// Maps a session to a fixed number in `[0, 1)`.
fn session_draw(session: u64) -> f64 {
    // Mixes the bits, so that similar session numbers spread evenly.
    let mut x = session ^ (session >> 33);
    x = x.wrapping_mul(0xff51_afd7_ed55_8ccd);
    x ^= x >> 33;
    (x >> 11) as f64 / (1u64 << 53) as f64
}
