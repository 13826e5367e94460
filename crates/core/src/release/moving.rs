//! One move of a pool to another release, as an entry judges it.

use super::schedule::{Schedule, Stage};
use super::tally::{chance_of, Tally};
use super::{Answer, Canary, Order, Report, State, Totals};
use crate::evidence::{Detector, Evidence, Thresholds};
use crate::id::{Hall, UpstreamId, VersionId};
use crate::unit::{Share, Span, Time};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// How sure one must be to hold a release for worse than the old one.
#[derive(Clone, Copy, Debug)]
struct Certainty {
    /// How unlikely as many failures must be, were the release as good as the old one.
    chance: f64,
    /// How many times the old release's share of slow answers counts as being as fast.
    /// Entries tell of a trial when they have just seen an answer that speaks against it,
    /// so what all told together holds too many of those.
    as_fast: f64,
}

/// For it to be found bad and left at once.
const WORSE: Certainty = Certainty {
    chance: 0.002,
    as_fast: 2.5,
};
/// For it to be doubtful, so that it is not moved to: giving a good release up costs little,
/// moving to a bad one may break the limit of what is exposed. Of twelve releases that were eight
/// times slower and were given 16 s, three were moved to with 0.02 and 2.0, one with these; of 30
/// good ones on an installation of three entries two are given up, three were.
const DOUBT: Certainty = Certainty {
    chance: 0.05,
    as_fast: 1.5,
};
/// How many times the old release's share of failures counts as being as good.
const AS_GOOD: f64 = 1.5;
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
/// The share of failures that a good release may have. Crashes and resets are
/// not counted as failures of a release.
const MAX_FAILING: f64 = 0.04;
/// The chance that a good release is found bad.
const FALSE_ALARM: f64 = 0.001;
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

/// One move and what speaks for and against its release.
#[derive(Clone, Debug)]
pub(super) struct Move {
    pub order: Order,
    schedule: Schedule,
    pub state: Option<State>,
    /// What the record says.
    recorded: Option<State>,
    pub began: Option<Time>,
    evidence: Evidence,
    detector: Detector,
    pub old: Tally,
    pub new: Tally,
    failing: BTreeSet<UpstreamId>,
    serving: BTreeSet<UpstreamId>,
    /// The upstreams that gave the latest answers of the new release.
    recent: VecDeque<UpstreamId>,
    /// What the other entries found, by data hall.
    pub others: BTreeMap<Hall, Report>,
    told: u64,
    pub bad: bool,
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

/// Which side of a move a request goes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Wanted {
    Old,
    New,
}

impl Move {
    /// Creates a move that is not recorded yet and may expose this share of requests.
    pub fn new(order: Order, exposure: Share) -> Move {
        Move {
            schedule: Schedule::new(exposure, order.duration),
            order,
            state: None,
            recorded: None,
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
        }
    }

    /// Takes in what is recorded. A move that ended stays so: the record may have been lost, and
    /// begun anew by an entry that did not know of it.
    pub fn note_state(&mut self, state: Option<State>) {
        self.recorded = state.or(self.recorded);
        if !self.is_over() {
            self.state = state.or(self.state);
        }
    }

    fn is_over(&self) -> bool {
        matches!(self.state, Some(State::Completed | State::RolledBack))
    }

    fn phase(&self, now: Time) -> Phase {
        let state = match self.state {
            Some(State::Completed) => return Phase::Moved,
            Some(State::RolledBack) => return Phase::Off,
            state => state,
        };
        if self.bad || state.is_none() {
            return Phase::Off;
        }
        if self.passed(now) < self.schedule.lead() {
            return Phase::Held;
        }
        // All entries must move at the same time, so little but the time decides.
        match self.schedule.stage(self.passed(now)) {
            Stage::All if self.is_doubtful() => Phase::Held,
            Stage::All => Phase::Moved,
            stage => Phase::Trial(stage),
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

    /// Returns whether all entries draw a session for the trial that is at this other release:
    /// those that have not heard of it would send it to the one on trial.
    pub fn draws(&self, draw: f64, release: &VersionId) -> bool {
        let on_trial = matches!(self.state, None | Some(State::Running)) && !self.bad;
        on_trial && *release != self.order.to && draw < self.schedule.share(Stage::Small)
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

    /// Returns which side of the move a request goes to.
    pub fn wanted(
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
    pub fn few(&self, now: Time, present: &BTreeMap<&VersionId, usize>) -> Option<Canary> {
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
        Some(Canary {
            count: count.max(1),
            round: stage as u64,
        })
    }

    /// Takes in whether an answer speaks against the release; returns whether it has
    /// just been found bad.
    pub fn learn(&mut self, upstream: &UpstreamId, failed: bool) -> bool {
        let bar = Thresholds {
            floor: 1.0 - MAX_FAILING,
            bad_mean: 1.0 - 4.0 * MAX_FAILING,
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

    /// Takes in whether the events of a stream of the new release came slowly; returns whether
    /// it has just been found bad.
    pub fn note_pace(&mut self, answer: &Answer, slow: bool) -> bool {
        self.note_stream(answer, slow && self.tells_pace(answer))
    }

    /// Takes in that a stream of the new release was left since nothing came of it any more;
    /// returns whether it has just been found bad.
    pub fn note_stall(&mut self, answer: &Answer) -> bool {
        self.note_stream(answer, self.tells_slowness(answer.sent))
    }

    fn note_stream(&mut self, answer: &Answer, slow: bool) -> bool {
        self.new.note(false, slow);
        self.state != Some(State::Completed) && self.learn(answer.upstream, slow)
    }

    /// Returns whether an answer that was asked for at a time and is slow says something about
    /// its release: not where its upstreams were loaded more than those of the old one.
    pub fn tells_slowness(&self, sent: Time) -> bool {
        self.schedule.stage(self.passed(sent)) != Stage::Loaded
    }

    /// Returns whether a slow pace says something about the release: not where its upstreams were
    /// loaded more at any time of the stream.
    ///
    /// Streams that had begun before were slowed as well, and 3 of 30 good releases on an
    /// installation of three entries were given up, none without them. What began slowly before
    /// still counts: without that 2 of 10 releases that were eight times slower were completed.
    fn tells_pace(&self, answer: &Answer) -> bool {
        let stage = |at: Time| self.schedule.stage(self.passed(at));
        stage(answer.sent) > Stage::Loaded || stage(answer.seen) < Stage::Loaded
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
    pub fn judge(&mut self, found: bool) -> bool {
        let before = self.bad;
        self.bad |= found || self.is_worse_at(WORSE);
        self.bad && !before
    }

    /// Returns what other entries are to be told, if there is news.
    pub fn report(&mut self) -> Option<Report> {
        let answers = self.old.answers + self.new.answers;
        let news = answers > self.told && self.state == Some(State::Running);
        self.told = answers;
        news.then(|| Report {
            number: self.order.issued.version,
            era: self.order.issued.era,
            old: self.old,
            new: self.new,
            failing: self.failing.clone(),
        })
    }

    /// Returns what all entries saw of both releases.
    pub fn grounds(&self) -> Totals {
        let (mut old, mut new) = (self.old, self.new);
        for report in self.others.values() {
            old.add(&report.old);
            new.add(&report.new);
        }
        Totals { old, new }
    }

    /// Returns whether the new release fails, or is slow, more often than the old one
    /// did at the same time, as all entries saw it, with so small a chance that a
    /// release as good as the old one looks so.
    fn is_worse_at(&self, certainty: Certainty) -> bool {
        let Totals { old, new } = self.grounds();
        let mut failing: BTreeSet<&UpstreamId> = self.failing.iter().collect();
        for report in self.others.values() {
            failing.extend(&report.failing);
        }
        if old.answers < COMPARED || !self.is_wide(failing.len()) {
            return false;
        }
        let clear = |old_count: f64, count: u64, times: f64| {
            let share = old_count / (old.answers as f64 + 1.0);
            let expected = share * times * new.answers as f64;
            count >= DOUBTFUL && chance_of(count, expected) < certainty.chance
        };
        clear(old.failed as f64 + PRIOR_FAILED, new.failed, AS_GOOD)
            || clear(old.slow as f64 + PRIOR_SLOW, new.slow, certainty.as_fast)
    }

    /// Returns what ought to be recorded, if it is not recorded already. `old` tells
    /// how many requests of this entry are at the old release.
    pub fn proposal(&self, now: Time, old: u64) -> Option<State> {
        match self.state {
            None => Some(State::Running),
            Some(State::Running) if self.bad => Some(State::RolledBack),
            Some(State::Running) if self.part(now) >= GIVE_UP_AT && self.is_doubtful() => {
                Some(State::RolledBack)
            }
            Some(State::Running) if self.phase(now) != Phase::Moved => None,
            Some(State::Running) => {
                let done = self.schedule.completes(self.passed(now), old == 0);
                (done && !self.serving.is_empty()).then_some(State::Completed)
            }
            Some(State::Completed | State::RolledBack) => {
                let is_begun_anew = self.recorded == Some(State::Running);
                self.state.filter(|_| is_begun_anew)
            }
        }
    }
}
