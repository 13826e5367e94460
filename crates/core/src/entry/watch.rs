//! What an entry knows about how good versions are.
//!
//! The entry keeps its own evidence, sends it to the version's home and gets
//! the pooled evidence back. It stops giving new work to a version at once when
//! either says that the version is bad; the record in the tree follows.
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

/// The unrated answers that a new version may have outstanding over all entries
/// before it has proved anything.
const ALLOWANCE: f64 = 6.0;
/// What each good rating adds to the allowance, and each bad one takes from it.
const PER_GOOD: f64 = 0.5;
const PER_BAD: f64 = 1.5;
/// The part of the chance of a false alarm that the home has; the entries, which
/// decide alone while no home answers, share the rest.
const HOME_PART: f64 = 0.8;

/// How a new version is judged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Judge {
    /// By a sequential test, with unrated answers kept few.
    #[default]
    Sequential,
    /// By the mean of a fixed window at the end of each stage: a baseline.
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
                format!("{s:?} is no judge: sequential and window are"),
            )),
        }
    }
}

/// What is known of one version.
#[derive(Clone, Debug, Default)]
struct Known {
    own: Evidence,
    pooled: Evidence,
    detector: Detector,
    told_bad: bool,
    sent: u64,
}

impl Known {
    /// Returns the evidence that rests on more ratings.
    fn best(&self) -> &Evidence {
        match self.pooled.ratings >= self.own.ratings {
            true => &self.pooled,
            false => &self.own,
        }
    }
}

/// What an entry knows about how good versions are.
#[derive(Clone, Debug, Default)]
pub struct Monitor {
    versions: BTreeMap<VersionId, Known>,
    stages: BTreeMap<RolloutId, Stage>,
    entries: usize,
    judge: Judge,
}

/// The evidence at the beginning of a stage.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Stage {
    index: usize,
    ratings: u64,
    sum: f64,
}

/// Returns what tells a good version of a roll-out from a bad one.
pub fn thresholds(rollout: &Rollout) -> Thresholds {
    Thresholds {
        floor: rollout.floor.fraction(),
        bad_mean: rollout.bad.fraction(),
        max_error: rollout.max_error.fraction(),
        false_alarm: rollout.false_alarm.fraction(),
    }
}

/// Returns the roll-out that watches a version.
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
    /// Creates a watch that has seen nothing.
    pub fn new(judge: Judge) -> Monitor {
        Monitor {
            judge,
            ..Monitor::default()
        }
    }

    /// Sets the number of entries over which the allowance is divided.
    pub fn set_entries(&mut self, entries: usize) {
        self.entries = entries.max(1);
    }

    /// Returns whether the version gets no new work from this entry.
    pub fn is_suspect(&self, version: &VersionId) -> bool {
        let known = self.versions.get(version);
        self.judge == Judge::Sequential
            && known.is_some_and(|known| known.told_bad || known.detector.is_bad())
    }

    /// Returns whether a version on trial may get another new session.
    ///
    /// `in_flight` is the number of requests of this entry that run on it.
    pub fn admits(&self, tree: &Tree, version: &VersionId, in_flight: u64) -> bool {
        if !is_on_trial(tree, version) {
            return true;
        }
        let entries = self.entries.max(1) as f64;
        let Some(known) = self.versions.get(version) else {
            return (in_flight as f64) < (ALLOWANCE / entries).max(1.0);
        };
        let all = known.best();
        let bad = all.ratings as f64 - all.sum;
        let allowance = (ALLOWANCE + PER_GOOD * all.sum - PER_BAD * bad) / entries;
        (known.own.unrated() + in_flight) as f64 <= allowance.max(1.0)
    }

    /// Counts an answer; returns whether the version has just become suspect.
    pub fn record_answer(&mut self, tree: &Tree, version: &VersionId, failed: bool) -> bool {
        self.learn(tree, version, |evidence, bar| evidence.answer(failed, bar))
    }

    /// Counts a rating; returns whether the version has just become suspect.
    pub fn record_rating(&mut self, tree: &Tree, version: &VersionId, rating: f64) -> bool {
        self.learn(tree, version, |evidence, bar| evidence.rate(rating, bar))
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
        let mut bar = thresholds(rollout);
        let before = self.is_suspect(version);
        let entries = self.entries.max(1);
        let known = self.versions.entry(version.clone()).or_default();
        count(&mut known.own, &bar);
        bar.false_alarm *= (1.0 - HOME_PART) / entries as f64;
        known.detector.update(&known.own, &bar);
        !before && self.is_suspect(version)
    }

    /// Takes in what the home pooled; returns whether the version has just
    /// become suspect.
    pub fn merge_pooled(&mut self, version: &VersionId, evidence: Evidence, bad: bool) -> bool {
        let before = self.is_suspect(version);
        let known = self.versions.entry(version.clone()).or_default();
        if evidence.answers + evidence.ratings >= known.pooled.answers + known.pooled.ratings {
            known.pooled = evidence;
        }
        known.told_bad |= bad;
        !before && self.is_suspect(version)
    }

    /// Returns the evidence that has grown since it was sent last.
    pub fn take_unsent(&mut self) -> Vec<(VersionId, Evidence)> {
        let mut unsent = Vec::new();
        for (version, known) in &mut self.versions {
            let size = known.own.answers + known.own.ratings;
            if size != known.sent {
                known.sent = size;
                unsent.push((version.clone(), known.own.clone()));
            }
        }
        unsent
    }

    /// Makes all evidence be sent again, to a home that may not have it.
    pub fn mark_unsent(&mut self) {
        for known in self.versions.values_mut() {
            known.sent = 0;
        }
    }

    /// Forgets versions that no roll-out watches any more.
    pub fn retain_watched(&mut self, tree: &Tree) {
        self.versions
            .retain(|version, _| rollout_of(tree, version).is_some());
        self.stages.retain(|name, _| tree.rollout(name).is_some());
    }

    /// Returns what the record of a running roll-out ought to be, where it is
    /// not that already. Only the holder of the lease asks.
    pub fn propose(&mut self, tree: &Tree, name: &RolloutId, fence: u64) -> Option<Progress> {
        let rollout = tree.rollout(name)?;
        let known = self.versions.get(&rollout.to).cloned().unwrap_or_default();
        let evidence = known.best();
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
        // Not clearly bad is not enough to go on: the stage must look good.
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

/// The evidence that a home pools for all entries.
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
    /// Takes in an entry's evidence; returns the sum and whether it is bad.
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
        let mut bar = thresholds(rollout);
        bar.false_alarm *= HOME_PART;
        let pooled = self.versions.entry(version.clone()).or_default();
        pooled.by_entry.insert(entry, evidence);
        let mut sum = Evidence::default();
        for part in pooled.by_entry.values() {
            sum.merge(part);
        }
        let bad = pooled.detector.update(&sum, &bar);
        (sum, bad)
    }

    /// Forgets versions that no roll-out watches any more.
    pub fn retain_watched(&mut self, tree: &Tree) {
        self.versions
            .retain(|version, _| rollout_of(tree, version).is_some());
    }
}
