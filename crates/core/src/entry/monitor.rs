//! Monitors the quality of versions under roll-out.
//!
//! An entry keeps its own evidence, sends it to the home sidecar of the version and receives the
//! evidence pooled over all entries. It sends no new work to a version as soon as either shows that
//! the version is bad; the roll-out record in the settings tree is updated afterwards.
//!
//! ```
//! use sorreldeck::entry::Monitor;
//!
//! let monitor = Monitor::default();
//! assert!(!monitor.is_suspect(&"scribe-2".parse()?));
//! # Ok::<(), sorreldeck::Error>(())
//! ```

use crate::evidence::{Detector, Evidence, Thresholds};
use crate::id::{Incarnation, RolloutId, VersionId};
use crate::tree::{Intent, Phase, Progress, Rollout, Tree};
use std::collections::BTreeMap;

/// The maximum number of unrated answers of a new version over all entries, before any ratings.
const ALLOWANCE: f64 = 6.0;
/// The increase of the allowance per good rating and its decrease per bad one.
const ALLOWANCE_PER_GOOD: f64 = 0.5;
const ALLOWANCE_PER_BAD: f64 = 1.5;
/// The share of the false-alarm probability assigned to the home sidecar. The entries, which decide
/// alone while no home sidecar answers, share the rest.
const HOME_ALARM_SHARE: f64 = 0.8;

/// The method that evaluates a new version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Judge {
    /// A sequential test, with a bound on unrated answers.
    #[default]
    Sequential,
    /// The mean of a fixed window at the end of each stage (a baseline).
    Window,
}

impl std::str::FromStr for Judge {
    type Err = crate::Error;

    fn from_str(s: &str) -> crate::Result<Self> {
        match s {
            "sequential" => Ok(Judge::Sequential),
            "window" => Ok(Judge::Window),
            _ => Err(crate::Error::new(
                crate::Category::Invalid,
                format!("unknown judge {s:?}: expected `sequential` or `window`"),
            )),
        }
    }
}

/// The evidence on one version.
#[derive(Clone, Debug, Default)]
struct State {
    own: Evidence,
    pooled: Evidence,
    detector: Detector,
    pooled_bad: bool,
    sent: u64,
}

impl State {
    /// Returns the evidence with more ratings.
    fn larger(&self) -> &Evidence {
        match self.pooled.ratings >= self.own.ratings {
            true => &self.pooled,
            false => &self.own,
        }
    }
}

/// The quality monitor of an entry.
#[derive(Clone, Debug, Default)]
pub struct Monitor {
    versions: BTreeMap<VersionId, State>,
    stages: BTreeMap<RolloutId, Stage>,
    entries: usize,
    judge: Judge,
}

/// The evidence at the start of a stage.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Stage {
    index: usize,
    ratings: u64,
    sum: f64,
}

/// Returns the thresholds that separate a good version of a roll-out from a bad one.
pub fn thresholds(rollout: &Rollout) -> Thresholds {
    Thresholds {
        floor: rollout.floor.fraction(),
        bad_mean: rollout.bad.fraction(),
        max_error: rollout.max_error.fraction(),
        false_alarm: rollout.false_alarm.fraction(),
    }
}

/// Returns the running or paused roll-out to a version.
pub fn rollout_of<'a>(tree: &'a Tree, version: &VersionId) -> Option<(&'a RolloutId, &'a Rollout)> {
    tree.rollouts()
        .iter()
        .find(|(_, r)| r.to == *version && matches!(r.intent, Intent::Running | Intent::Paused))
}

/// Returns whether a roll-out of the version is still gathering evidence.
pub(super) fn is_on_trial(tree: &Tree, version: &VersionId) -> bool {
    rollout_of(tree, version)
        .is_some_and(|(name, _)| tree.record(name).is_none_or(|p| p.phase == Phase::Watching))
}

impl Monitor {
    /// Creates a monitor without evidence.
    pub fn new(judge: Judge) -> Monitor {
        Monitor {
            judge,
            ..Monitor::default()
        }
    }

    /// Sets the number of entries that share the allowance.
    pub fn set_entries(&mut self, entries: usize) {
        self.entries = entries.max(1);
    }

    /// Returns whether this entry sends the version no new work.
    pub fn is_suspect(&self, version: &VersionId) -> bool {
        let state = self.versions.get(version);
        self.judge == Judge::Sequential
            && state.is_some_and(|state| state.pooled_bad || state.detector.is_bad())
    }

    /// Returns whether a version may get another new session, which is limited while it is on
    /// trial.
    ///
    /// `in_flight` is the number of requests of this entry that run on it.
    pub fn admits(&self, tree: &Tree, version: &VersionId, in_flight: u64) -> bool {
        if !is_on_trial(tree, version) {
            return true;
        }
        let entries = self.entries.max(1) as f64;
        let Some(state) = self.versions.get(version) else {
            return (in_flight as f64) < (ALLOWANCE / entries).max(1.0);
        };
        let evidence = state.larger();
        let bad = evidence.ratings as f64 - evidence.sum;
        let allowance =
            (ALLOWANCE + ALLOWANCE_PER_GOOD * evidence.sum - ALLOWANCE_PER_BAD * bad) / entries;
        (state.own.unrated() + in_flight) as f64 <= allowance.max(1.0)
    }

    /// Records an answer; returns whether the version became suspect by it.
    pub fn record_answer(&mut self, tree: &Tree, version: &VersionId, failed: bool) -> bool {
        self.learn(tree, version, |evidence, thresholds| {
            evidence.answer(failed, thresholds)
        })
    }

    /// Records a rating; returns whether the version became suspect by it.
    pub fn record_rating(&mut self, tree: &Tree, version: &VersionId, rating: f64) -> bool {
        self.learn(tree, version, |evidence, thresholds| {
            evidence.rate(rating, thresholds)
        })
    }

    fn learn(
        &mut self,
        tree: &Tree,
        version: &VersionId,
        count: impl FnOnce(&mut Evidence, &Thresholds),
    ) -> bool {
        let Some((_, rollout)) = rollout_of(tree, version) else {
            return false;
        };
        let mut thresholds = thresholds(rollout);
        let was_suspect = self.is_suspect(version);
        let entries = self.entries.max(1);
        let state = self.versions.entry(version.clone()).or_default();
        count(&mut state.own, &thresholds);
        thresholds.false_alarm *= (1.0 - HOME_ALARM_SHARE) / entries as f64;
        state.detector.update(&state.own, &thresholds);
        !was_suspect && self.is_suspect(version)
    }

    /// Applies the pooled evidence and verdict of the home sidecar; returns whether the version
    /// became suspect by it.
    pub fn merge_pooled(&mut self, version: &VersionId, evidence: Evidence, bad: bool) -> bool {
        let was_suspect = self.is_suspect(version);
        let state = self.versions.entry(version.clone()).or_default();
        if evidence.answers + evidence.ratings >= state.pooled.answers + state.pooled.ratings {
            state.pooled = evidence;
        }
        state.pooled_bad |= bad;
        !was_suspect && self.is_suspect(version)
    }

    /// Returns the evidence that changed since it was last sent, and marks it as sent.
    pub fn take_unsent(&mut self) -> Vec<(VersionId, Evidence)> {
        let mut unsent = Vec::new();
        for (version, state) in &mut self.versions {
            let size = state.own.answers + state.own.ratings;
            if size != state.sent {
                state.sent = size;
                unsent.push((version.clone(), state.own.clone()));
            }
        }
        unsent
    }

    /// Marks all evidence as unsent, in case a home sidecar does not have it.
    pub fn mark_unsent(&mut self) {
        for state in self.versions.values_mut() {
            state.sent = 0;
        }
    }

    /// Drops the evidence on versions without a roll-out.
    pub fn retain_watched(&mut self, tree: &Tree) {
        self.versions
            .retain(|version, _| rollout_of(tree, version).is_some());
        self.stages.retain(|name, _| tree.rollout(name).is_some());
    }

    /// Returns the new record of a roll-out, if it must change. Only the lease holder calls this.
    pub fn propose(&mut self, tree: &Tree, name: &RolloutId, fence: u64) -> Option<Progress> {
        let rollout = tree.rollout(name)?;
        let state = self.versions.get(&rollout.to).cloned().unwrap_or_default();
        let evidence = state.larger();
        let record = tree.record(name);
        let stage = record.map_or(0, |p| p.stage);
        let phase = record.map_or(Phase::Watching, |p| p.phase);
        let progress = |stage, phase| {
            Some(Progress {
                stage,
                phase,
                fence,
            })
        };
        if phase != Phase::Held && self.is_suspect(&rollout.to) {
            return progress(stage, Phase::Held);
        }
        if rollout.intent != Intent::Running || phase != Phase::Watching {
            return None;
        }
        if record.is_none() {
            return progress(0, Phase::Watching);
        }
        let now = Stage {
            index: stage,
            ratings: evidence.ratings,
            sum: evidence.sum,
        };
        let base = *self.stages.entry(name.clone()).or_insert(now);
        if base.index != stage {
            self.stages.insert(name.clone(), now);
            return None;
        }
        let ratings = evidence.ratings.saturating_sub(base.ratings);
        let mean = (evidence.sum - base.sum) / ratings.max(1) as f64;
        // A stage advances only with a good mean, not merely without evidence that the version is
        // bad.
        let good = mean >= (rollout.floor.fraction() + rollout.bad.fraction()) / 2.0;
        if ratings < u64::from(rollout.evidence) {
            return None;
        }
        if !good && self.judge == Judge::Window {
            return progress(stage, Phase::Held);
        }
        if !good {
            return None;
        }
        match stage + 1 < rollout.stages.len() {
            true => progress(stage + 1, Phase::Watching),
            false => progress(stage, Phase::Done),
        }
    }
}

/// The evidence of all entries, aggregated by a home sidecar.
#[derive(Clone, Debug, Default)]
pub struct Aggregate {
    versions: BTreeMap<VersionId, Pooled>,
}

#[derive(Clone, Debug, Default)]
struct Pooled {
    by_entry: BTreeMap<Incarnation, Evidence>,
    detector: Detector,
}

impl Aggregate {
    /// Merges an entry's evidence; returns the sum and whether it shows that the version is bad.
    pub fn merge(
        &mut self,
        tree: &Tree,
        version: &VersionId,
        entry: Incarnation,
        evidence: Evidence,
    ) -> (Evidence, bool) {
        let Some((_, rollout)) = rollout_of(tree, version) else {
            return (evidence, false);
        };
        let mut thresholds = thresholds(rollout);
        thresholds.false_alarm *= HOME_ALARM_SHARE;
        let pooled = self.versions.entry(version.clone()).or_default();
        pooled.by_entry.insert(entry, evidence);
        let mut sum = Evidence::default();
        for part in pooled.by_entry.values() {
            sum.merge(part);
        }
        let bad = pooled.detector.update(&sum, &thresholds);
        (sum, bad)
    }

    /// Drops the evidence on versions without a roll-out.
    pub fn retain_watched(&mut self, tree: &Tree) {
        self.versions
            .retain(|version, _| rollout_of(tree, version).is_some());
    }
}
