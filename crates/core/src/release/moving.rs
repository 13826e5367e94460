//! One move of a pool to another release, as an entry judges it.

use super::schedule::{Schedule, Stage};
use super::starts::{Slower, Start, Starts};
use super::tally::{poisson_tail, Tally};
use super::{Answer, Canary, Order, Report, State, Totals};
use crate::evidence::{Detector, Evidence, Thresholds};
use crate::id::{Hall, UpstreamId, VersionId};
use crate::unit::{Share, Span, Time};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The confidence that is required to judge a release worse than the old one.
#[derive(Clone, Copy, Debug)]
struct Confidence {
    /// The highest probability of as many failures, if the release were as good as the old one.
    probability: f64,
    /// The multiple of the old release's share of slow answers that counts as equally fast. Entries
    /// report a trial when they have just seen an answer that speaks against it, so the sum of the
    /// reports contains too many of those.
    slow_factor: f64,
}

/// Required to find a release bad and leave it at once.
const BAD: Confidence = Confidence {
    probability: 0.002,
    slow_factor: 2.5,
};
/// Required to find a release doubtful and not move to it. Giving up a good release costs little,
/// while moving to a bad one may exceed the exposure limit. Of twelve releases that were eight
/// times slower and were given 16 s, three were moved to with 0.02 and 2.0, and one with these
/// values; of 30 good releases on an installation of three entries, two are given up instead of
/// three.
const DOUBTFUL: Confidence = Confidence {
    probability: 0.05,
    slow_factor: 1.5,
};
/// The multiple of the old release's share of failures that counts as equally good.
const FAILURE_FACTOR: f64 = 1.5;
/// Added to the old release's failures and slow answers: a good release hardly ever fails by
/// itself, while an answer is slow now and then.
const PRIOR_FAILED: f64 = 0.1;
const PRIOR_SLOW: f64 = 0.5;
/// The answers of the old release that its shares must rest on.
const MIN_COMPARED: u64 = 50;
/// The failures, and their share of all answers, from which on a release without an old one to
/// compare it with is doubtful.
const DOUBTFUL_FAILURES: u64 = 2;
const MIN_FAILURE_SHARE: f64 = 0.15;
/// The answers that a trial must have shown in all, those of its loaded stage and later, and those
/// whose times are compared. A release that fails in one of five answers has failed twice among
/// twenty with a probability of 0.93.
const PROOF_ANSWERS: u64 = 20;
const PROOF_LATE_ANSWERS: u64 = 10;
const PROOF_COMPARED_ANSWERS: u64 = 10;
/// The failures and slow answers beyond the usual for which more answers are asked.
const MAX_EXCESS: u64 = 2;
/// The fraction of the given time after which a release that is still doubtful is given up.
const GIVE_UP_AT: f64 = 0.8;
/// The ratio of new upstreams to all others that is required to move everything.
const MIN_UPSTREAM_RATIO: f64 = 0.5;
/// The share of failures that a good release may have. Crashes and resets do not count as failures
/// of a release.
const MAX_FAILURE_SHARE: f64 = 0.04;
/// The probability that a good release is found bad.
const FALSE_ALARM: f64 = 0.001;
/// The multiple of the usual load on the subset of upstreams in a trial: a release that fails only
/// under load must show it before everything moves there.
const STRESS_FACTOR: f64 = 2.0;
/// The number of latest answers of a release that are considered, and how many of them one upstream
/// must have given to be alone on trial.
const RECENT_ANSWERS: usize = 16;
const ALONE_ANSWERS: usize = 14;
/// The number of upstreams on which a release must fail to be found bad, because one upstream may
/// fail by itself.
const FAILING_UPSTREAMS: usize = 2;

/// One move, and the evidence for and against its release.
#[derive(Clone, Debug)]
pub(super) struct Move {
    pub order: Order,
    schedule: Schedule,
    pub state: Option<State>,
    /// The state in the store's record.
    recorded: Option<State>,
    pub began: Option<Time>,
    evidence: Evidence,
    detector: Detector,
    pub old: Tally,
    pub new: Tally,
    old_starts: Starts,
    new_starts: Starts,
    failing: BTreeSet<UpstreamId>,
    serving: BTreeSet<UpstreamId>,
    /// The upstreams that gave the latest answers of the new release.
    recent: VecDeque<UpstreamId>,
    /// The reports of the other entries, by data hall.
    others: BTreeMap<Hall, Report>,
    /// Whether the release was bad and the number of answers at the last report.
    reported: (bool, u64),
    pub bad: bool,
}

/// The phase of a move.
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

/// What a trial has shown of a release.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Finding {
    /// It looks worse than the old release.
    Doubtful,
    /// Too little to tell.
    Unproven,
    /// As good as the old one over enough answers.
    Sound,
}

/// The side of a move that a request goes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Side {
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
            old_starts: Starts::default(),
            new_starts: Starts::default(),
            failing: BTreeSet::new(),
            serving: BTreeSet::new(),
            recent: VecDeque::new(),
            others: BTreeMap::new(),
            reported: (false, 0),
            bad: false,
        }
    }

    /// Sets the recorded state. A move that ended stays so: the record may have been lost, and
    /// written anew by an entry that did not know of it.
    pub fn set_recorded(&mut self, state: Option<State>) {
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
        if self.elapsed(now) < self.schedule.lead() {
            return Phase::Held;
        }
        match self.schedule.stage(self.elapsed(now)) {
            Stage::All => match self.finding(now) {
                Finding::Doubtful => Phase::Held,
                Finding::Unproven => Phase::Trial(Stage::Prolonged),
                Finding::Sound => Phase::Moved,
            },
            stage => Phase::Trial(stage),
        }
    }

    /// Returns whether the release may answer although no other is left.
    pub fn may_stand_alone(&self, now: Time) -> bool {
        let is_completed = self.state == Some(State::Completed);
        is_completed || (!self.was_found_bad() && self.finding(now) == Finding::Sound)
    }

    /// Returns whether the release was found bad, here or by the record.
    pub fn was_found_bad(&self) -> bool {
        self.state == Some(State::RolledBack) || (self.bad && self.state != Some(State::Completed))
    }

    /// Returns what the trial has shown so far of a release that was not found bad.
    fn finding(&self, now: Time) -> Finding {
        let totals = self.totals();
        if self.is_doubtful(&totals) {
            return Finding::Doubtful;
        }
        let is_last_chance = self.schedule.is_over(self.elapsed(now));
        match totals.has_enough(is_last_chance) && totals.is_as_fast(is_last_chance) {
            true => Finding::Sound,
            false => Finding::Unproven,
        }
    }

    /// Returns whether the release looks worse than the old one, though that may be coincidence.
    /// With few answers of the old one to compare with, only the failures of the new one count.
    fn is_doubtful(&self, totals: &Totals) -> bool {
        if totals.slower.is_some_and(|slower| slower.is_doubtful()) {
            return true;
        }
        if self.old.answers >= MIN_COMPARED {
            return self.is_worse_at(totals, DOUBTFUL);
        }
        let failures = self.evidence.failures;
        let share = failures as f64 / self.evidence.answers.max(1) as f64;
        self.is_wide(self.failing.len())
            && failures >= DOUBTFUL_FAILURES
            && share > MIN_FAILURE_SHARE
    }

    /// Returns whether all entries draw a session for the trial that is at this other release.
    /// Entries that do not know of the session would send it to the release on trial.
    pub fn draws(&self, draw: f64, release: &VersionId) -> bool {
        let on_trial = matches!(self.state, None | Some(State::Running)) && !self.bad;
        on_trial && *release != self.order.to && draw < self.schedule.share(Stage::Small)
    }

    /// Returns whether enough upstreams run the new release to take everything.
    fn has_enough(&self, present: &BTreeMap<&VersionId, usize>) -> bool {
        let new = present.get(&self.order.to).copied().unwrap_or(0);
        let old: usize = present.values().sum::<usize>() - new;
        self.state == Some(State::Completed) || new as f64 >= old as f64 * MIN_UPSTREAM_RATIO
    }

    /// Returns how much of the given time has passed.
    fn elapsed(&self, now: Time) -> Span {
        now.since(self.began.unwrap_or(now))
    }

    /// Returns the fraction of the given time that has passed.
    fn elapsed_fraction(&self, now: Time) -> f64 {
        self.schedule.part(self.elapsed(now))
    }

    /// Returns the side of the move that a request goes to.
    pub fn side(
        &self,
        current: Option<&VersionId>,
        draw: f64,
        now: Time,
        present: &BTreeMap<&VersionId, usize>,
    ) -> Side {
        let side_of = |current: &VersionId| match *current == self.order.to {
            true => Side::New,
            false => Side::Old,
        };
        match (self.phase(now), current) {
            (Phase::Off, _) => Side::Old,
            (Phase::Moved, _) if self.has_enough(present) => Side::New,
            (Phase::Moved | Phase::Held, current) => current.map_or(Side::Old, side_of),
            (Phase::Trial(Stage::Small), Some(current)) => side_of(current),
            (Phase::Trial(stage), _) if draw < self.schedule.share(stage) => Side::New,
            (Phase::Trial(_), current) => current.map_or(Side::Old, side_of),
        }
    }

    /// Returns the subset of upstreams that a trial runs on, so that they work under the load that
    /// all will have.
    pub fn canary(&self, now: Time, present: &BTreeMap<&VersionId, usize>) -> Option<Canary> {
        let Phase::Trial(stage) = self.phase(now) else {
            return None;
        };
        let new = present.get(&self.order.to).copied().unwrap_or(0);
        let old = present.values().sum::<usize>() - new;
        let usual = self.schedule.share(stage) * old as f64;
        let count = match stage {
            Stage::Loaded => (usual / STRESS_FACTOR) as usize,
            _ => (usual.round() as usize).max(FAILING_UPSTREAMS),
        };
        // A prolonged trial stays where the caches are warm.
        let round = match stage {
            Stage::Prolonged => Stage::Larger,
            stage => stage,
        };
        Some(Canary {
            count: count.max(1),
            round: round as u64,
        })
    }

    /// Records whether an answer speaks against the release; returns whether it has just been found
    /// bad.
    pub fn record(&mut self, upstream: &UpstreamId, failed: bool) -> bool {
        let bar = Thresholds {
            floor: 1.0 - MAX_FAILURE_SHARE,
            bad_mean: 1.0 - 4.0 * MAX_FAILURE_SHARE,
            max_error: MAX_FAILURE_SHARE,
            false_alarm: FALSE_ALARM,
        };
        self.serving.insert(upstream.clone());
        if failed {
            self.failing.insert(upstream.clone());
        }
        self.recent.push_back(upstream.clone());
        if self.recent.len() > RECENT_ANSWERS {
            self.recent.pop_front();
        }
        self.evidence.answer(failed, &bar);
        let found = self.detector.update(&self.evidence, &bar);
        self.judge(found && self.is_wide(self.failing.len()))
    }

    /// Records whether the events of a stream of the new release came slowly; returns whether it
    /// has just been found bad.
    pub fn note_pace(&mut self, answer: &Answer, slow: bool) -> bool {
        self.note_stream(answer, slow && self.counts_pace(answer))
    }

    /// Records that a stream of the new release was abandoned because it stalled; returns whether
    /// it has just been found bad.
    pub fn note_stall(&mut self, answer: &Answer) -> bool {
        self.note_stream(answer, self.counts_slowness(answer.sent))
    }

    fn note_stream(&mut self, answer: &Answer, slow: bool) -> bool {
        self.new.record(false, slow);
        self.state != Some(State::Completed) && self.record(answer.upstream, slow)
    }

    /// Returns whether a slow answer to a request that was sent at this time says something about
    /// its release: not if its upstreams were loaded more than those of the old one.
    pub fn counts_slowness(&self, sent: Time) -> bool {
        self.stage_at(sent) != Stage::Loaded
    }

    /// Returns whether a slow pace says something about the release: not if its upstreams were
    /// loaded more at any time of the stream.
    ///
    /// Streams that began before that stage are slowed as well. With them, 3 of 30 good releases on
    /// an installation of three entries were given up, without them none. A slow start before that
    /// stage still counts: without it, 2 of 10 releases that were eight times slower were
    /// completed.
    fn counts_pace(&self, answer: &Answer) -> bool {
        self.stage_at(answer.sent) > Stage::Loaded || self.stage_at(answer.seen) < Stage::Loaded
    }

    /// Returns the stage at a time.
    fn stage_at(&self, at: Time) -> Stage {
        match self.schedule.stage(self.elapsed(at)) {
            Stage::All if self.finding(at) == Finding::Unproven => Stage::Prolonged,
            stage => stage,
        }
    }

    /// Returns whether failures at this many upstreams are due to the release: at two, or at one
    /// that gives nearly all answers of the trial.
    fn is_wide(&self, failing: usize) -> bool {
        failing >= FAILING_UPSTREAMS.min(self.serving.len()) || (failing > 0 && self.is_alone())
    }

    /// Returns whether one upstream gave nearly all of the latest answers.
    fn is_alone(&self) -> bool {
        let Some(last) = self.recent.back() else {
            return false;
        };
        let same = self.recent.iter().filter(|u| *u == last).count();
        self.recent.len() == RECENT_ANSWERS && same >= ALONE_ANSWERS
    }

    /// Processes a report of the other entries of a data hall; returns whether the release has just
    /// been found bad.
    pub fn merge(&mut self, hall: Hall, report: Report) -> bool {
        if report.order() != self.order.issued || self.state == Some(State::Completed) {
            return false;
        }
        let known = self.others.get(&hall);
        if known.is_some_and(|known| !report.is_after(known)) {
            return false;
        }
        let found = report.bad;
        self.others.insert(hall, report);
        self.judge(found)
    }

    /// Records whether the release is bad; returns whether that is new.
    pub fn judge(&mut self, found: bool) -> bool {
        let before = self.bad;
        if !before {
            let totals = self.totals();
            self.bad = found || self.is_worse_at(&totals, BAD) || self.is_slower(&totals);
        }
        self.bad && !before
    }

    /// Returns whether the answers of the new release begin later beyond doubt, at more than one
    /// upstream.
    fn is_slower(&self, totals: &Totals) -> bool {
        let is_bad = totals.slower.is_some_and(|slower| slower.is_bad());
        is_bad && self.serving.len() >= FAILING_UPSTREAMS
    }

    /// Returns the report for other entries, if there were answers since the last one or the
    /// release has been found bad.
    pub fn report(&mut self) -> Option<Report> {
        let news = (self.bad, self.old.answers + self.new.answers);
        let has_news = news > self.reported && self.state == Some(State::Running);
        self.reported = news;
        has_news.then(|| self.own_report())
    }

    /// Returns what this entry has counted itself.
    fn own_report(&self) -> Report {
        Report {
            number: self.order.issued.version,
            era: self.order.issued.era,
            old: self.old,
            new: self.new,
            old_starts: self.old_starts.clone(),
            new_starts: self.new_starts.clone(),
            failing: self.failing.clone(),
            bad: self.bad,
            learned: (self.order.learned.era, self.order.learned.version),
        }
    }

    /// Records an answer to a request that was sent at this time, and how long it took to begin.
    pub fn record_start(&mut self, side: Side, sent: Time, start: Option<Start>) {
        let stage = self.stage_at(sent);
        let starts = match side {
            Side::Old => &mut self.old_starts,
            Side::New => &mut self.new_starts,
        };
        starts.record(stage, start);
    }

    /// Returns the counts of all entries for both releases.
    pub fn totals(&self) -> Totals {
        let mut sum = self.own_report();
        for report in self.others.values() {
            sum.add(report);
        }
        Totals {
            old: sum.old,
            new: sum.new,
            slower: Slower::of(&sum.old_starts, &sum.new_starts),
            trial: sum.new_starts.counts(),
            reports: self.others.len(),
            serving: self.serving.len(),
            failing: sum.failing.len(),
        }
    }

    /// Returns whether the new release fails, or is slow, more often than the old one did at the
    /// same time over all entries, and a release as good as the old one would look so with too low
    /// a probability.
    fn is_worse_at(&self, totals: &Totals, confidence: Confidence) -> bool {
        let Totals {
            old, new, failing, ..
        } = *totals;
        if old.answers < MIN_COMPARED || !self.is_wide(failing) {
            return false;
        }
        let clear = |old_count: f64, count: u64, times: f64| {
            let share = old_count / (old.answers as f64 + 1.0);
            let expected = share * times * new.answers as f64;
            count >= DOUBTFUL_FAILURES && poisson_tail(count, expected) < confidence.probability
        };
        clear(old.failed as f64 + PRIOR_FAILED, new.failed, FAILURE_FACTOR)
            || clear(
                old.slow as f64 + PRIOR_SLOW,
                new.slow,
                confidence.slow_factor,
            )
    }

    /// Returns the state to be recorded, if it is not recorded yet.
    pub fn proposal(&self, now: Time) -> Option<State> {
        match self.state {
            None => Some(State::Running),
            Some(State::Running) if self.bad => Some(State::RolledBack),
            Some(State::Running)
                if self.elapsed_fraction(now) >= GIVE_UP_AT && self.is_doubtful(&self.totals()) =>
            {
                Some(State::RolledBack)
            }
            Some(State::Running) if self.phase(now) == Phase::Moved => Some(State::Completed),
            Some(State::Running) => {
                let is_over = self.schedule.is_over(self.elapsed(now));
                is_over.then_some(State::RolledBack)
            }
            Some(State::Completed | State::RolledBack) => {
                let is_begun_anew = self.recorded == Some(State::Running);
                self.state.filter(|_| is_begun_anew)
            }
        }
    }
}

impl Totals {
    /// Returns whether the trial has given enough answers.
    fn has_enough(&self, is_last_chance: bool) -> bool {
        let (all, late) = self.trial;
        let needed = match is_last_chance {
            true => PROOF_ANSWERS,
            false => PROOF_ANSWERS * (1 + self.excess().min(MAX_EXCESS)),
        };
        all >= needed && late >= PROOF_LATE_ANSWERS
    }

    /// Returns how many failures and slow answers the new release has beyond the usual and its
    /// standard deviation.
    fn excess(&self) -> u64 {
        let Totals { old, new, .. } = self;
        let beyond = |of_new: u64, of_old: f64| {
            let usual = new.answers as f64 * of_old / (old.answers as f64 + 1.0);
            (of_new as f64 - usual - usual.sqrt()).max(0.0).ceil() as u64
        };
        beyond(new.failed, old.failed as f64 + PRIOR_FAILED)
            + beyond(new.slow, old.slow as f64 + PRIOR_SLOW)
    }

    /// Returns whether the answers of the new release begin as soon as those of the old one, or
    /// the old one is gone and there is nothing to compare with.
    fn is_as_fast(&self, is_last_chance: bool) -> bool {
        let is_sound = |slower: Slower| match is_last_chance {
            true => !slower.seems_slow(),
            false => slower.is_sound(),
        };
        let is_fast = |s: &Slower| s.answers >= PROOF_COMPARED_ANSWERS && is_sound(*s);
        self.old.answers < MIN_COMPARED || self.slower.as_ref().is_some_and(is_fast)
    }
}
