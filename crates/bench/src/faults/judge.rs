//! The checks of the promises from outside, added to what the programs count
//! themselves.

use super::Count;
use crate::call::Outcome;
use crate::fleet::{sum_of, Fleet};
use crate::plan::Deployment;
use eyre::Result;
use sorreldeck::bill::{Record, Total};
use sorreldeck::{Invariant, Verdict};
use sorreldeck_emulator::engine::Progress;
use sorreldeck_emulator::{plain, text};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// A request and what came of it.
pub struct Sent {
    /// When it was sent.
    pub at: Instant,
    /// The key of a call that may not be repeated.
    pub key: Option<String>,
    /// The prompt of a chat.
    pub prompt: String,
    /// The tokens asked for.
    pub tokens: u32,
    /// The version of the session that a chat belongs to.
    pub session: Option<String>,
    /// What came of it.
    pub outcome: Outcome,
}

/// What one process told last.
#[derive(Clone, Default)]
struct Reading {
    revision: f64,
    unbilled: f64,
    counts: [Count; Invariant::ALL.len()],
}

/// Counts checks and breaches.
#[derive(Default)]
pub struct Judge {
    outside: [Count; Invariant::ALL.len()],
    readings: BTreeMap<SocketAddr, Reading>,
    /// When the version was withdrawn or put back, and whether that is sure.
    toggles: Vec<(Instant, Option<bool>)>,
}

impl Judge {
    /// Counts a check.
    pub fn check(&mut self, promise: Invariant, held: bool) {
        let count = &mut self.outside[promise as usize];
        count.checked += 1;
        count.violated += u64::from(!held);
        if !held {
            println!("promise {promise} is broken");
        }
    }

    /// Notes that a change of the version's state is about to be tried.
    pub fn toggling(&mut self) {
        self.toggles.push((Instant::now(), None));
    }

    /// Notes what came of that.
    pub fn toggled(&mut self, accepted: bool, withdrawn: bool) {
        if accepted {
            self.toggles.push((Instant::now(), Some(withdrawn)));
        }
    }

    /// Returns whether the version was withdrawn last.
    pub fn is_withdrawn(&self) -> bool {
        let known = self.toggles.iter().rev().find_map(|(_, state)| *state);
        known.unwrap_or(false)
    }

    /// Reads what a process told.
    pub fn read(&mut self, address: SocketAddr, metrics: &str) {
        let before = self.readings.get(&address).map_or(0.0, |r| r.revision);
        let revision = sum_of(metrics, "sorreldeck_revision");
        self.check(Invariant::Configuration, revision >= before);
        let mut reading = Reading {
            revision,
            unbilled: sum_of(metrics, "sorreldeck_unbilled"),
            ..Reading::default()
        };
        for promise in Invariant::ALL {
            let of = |name: &str| {
                let label = format!("{name}{{promise=\"{promise}\"}} ");
                let line = metrics.lines().find_map(|l| l.strip_prefix(label.as_str()));
                line.and_then(|n| n.parse().ok()).unwrap_or(0)
            };
            reading.counts[promise as usize] = Count {
                checked: of("sorreldeck_promise_checked"),
                violated: of("sorreldeck_promise_violated"),
            };
        }
        self.readings.insert(address, reading);
    }

    /// Returns the bill records that wait anywhere.
    pub fn unbilled(&self) -> f64 {
        self.readings.values().map(|r| r.unbilled).sum()
    }

    /// Checks that every living process came to the last accepted revision.
    pub fn revisions(&mut self, last: u64) {
        let newest = self
            .readings
            .values()
            .map(|r| r.revision)
            .fold(0.0, f64::max);
        self.check(Invariant::Configuration, newest >= last as f64);
    }

    /// Checks the answers against what the upstreams ran.
    pub async fn answers(
        &mut self,
        fleet: &Fleet,
        deployment: Deployment,
        sent: &[Sent],
        in_force: Duration,
    ) -> Result<()> {
        let ran = ran_at_engines(fleet).await?;
        let counts = ran_at_plains(fleet).await?;
        let allowed = [deployment.model().1, deployment.new_version()];
        for one in sent {
            let outcome = &one.outcome;
            match &one.key {
                Some(key) => self.plain(one, counts.get(key).copied().unwrap_or(0), key),
                None => {
                    let started = !outcome.request.is_empty()
                        && ran.iter().any(|id| id.starts_with(&outcome.request));
                    self.truth(outcome, started);
                    self.chat(one, &allowed, deployment.new_version(), in_force);
                }
            }
        }
        Ok(())
    }

    fn truth(&mut self, outcome: &Outcome, ran: bool) {
        if outcome.verdict == Some(Verdict::NotRun) {
            self.check(Invariant::NotRun, !ran);
        }
    }

    fn plain(&mut self, one: &Sent, count: u32, key: &str) {
        self.check(Invariant::AtMostOnce, count <= 1);
        self.truth(&one.outcome, count > 0);
        if one.outcome.is_answered() {
            let expected = plain::text_of("plain", "POST", "/session", key);
            self.check(
                Invariant::WholeAnswer,
                one.outcome.text == expected && count == 1,
            );
        }
    }

    fn chat(&mut self, one: &Sent, allowed: &[&str], new: &str, in_force: Duration) {
        let outcome = &one.outcome;
        if !outcome.is_answered() {
            return;
        }
        let expected = text::answer(&outcome.version, &one.prompt, one.tokens);
        self.check(Invariant::WholeAnswer, outcome.text == expected);
        self.check(
            Invariant::AllowedVersion,
            allowed.contains(&outcome.version.as_str()),
        );
        if outcome.version == new && self.surely_withdrawn(one.at, outcome.whole, in_force) {
            self.check(Invariant::Withdrawn, false);
        }
        if let Some(version) = &one.session {
            let kept = *version == outcome.version;
            // Only the new version is ever withdrawn.
            let may_move =
                version == new && !self.never_withdrawn_around(one.at, outcome.whole, in_force);
            self.check(Invariant::Session, kept || may_move);
        }
    }

    /// Returns whether the version was withdrawn and in force as such all the
    /// time that a request took.
    fn surely_withdrawn(&self, at: Instant, took: Duration, in_force: Duration) -> bool {
        let before = self.toggles.iter().rev().find(|(t, _)| *t <= at);
        let since = matches!(before, Some((t, Some(true))) if *t + in_force <= at);
        let during = self.toggles.iter().any(|(t, _)| *t > at && *t <= at + took);
        since && !during
    }

    /// Returns whether the version was surely in service all the time.
    fn never_withdrawn_around(&self, at: Instant, took: Duration, in_force: Duration) -> bool {
        let end = at + took;
        let mut state = Some(false);
        for (t, next) in &self.toggles {
            if *t > end {
                break;
            }
            if *t + in_force > at && (*next != Some(false)) {
                return false;
            }
            if next.is_some() {
                state = *next;
            }
        }
        // The change back may be on its way still.
        let back = self
            .toggles
            .iter()
            .any(|(t, s)| *s == Some(false) && *t <= end && *t + in_force > at);
        state == Some(false) && !back
    }

    /// Checks the bill against the answers that callers got.
    pub async fn bill(&mut self, fleet: &Fleet, sent: &[Sent]) -> Result<()> {
        let records = records(fleet).await?;
        let steps: BTreeSet<_> = records
            .iter()
            .map(|r| (r.run.request, r.run.step))
            .collect();
        let total: u64 = Total::add_up(&records).values().map(|t| t.requests).sum();
        self.check(Invariant::BilledOnce, total as usize == steps.len());
        let billed: BTreeSet<String> = steps
            .iter()
            .map(|(request, _)| request.to_string())
            .collect();
        for one in sent
            .iter()
            .filter(|s| s.key.is_none() && s.outcome.is_answered())
        {
            self.check(Invariant::BilledOnce, billed.contains(&one.outcome.request));
        }
        Ok(())
    }

    /// Returns all counts.
    pub fn counts(&self) -> BTreeMap<&'static str, Count> {
        let mut counts = BTreeMap::new();
        for promise in Invariant::ALL {
            let mut sum = self.outside[promise as usize];
            for reading in self.readings.values() {
                sum.checked += reading.counts[promise as usize].checked;
                sum.violated += reading.counts[promise as usize].violated;
            }
            counts.insert(promise.as_str(), sum);
        }
        counts
    }
}

async fn ran_at_engines(fleet: &Fleet) -> Result<BTreeSet<String>> {
    let mut ids = BTreeSet::new();
    for engine in &fleet.addresses.engines {
        let reply = fleet.client.get(*engine, "/ran").await?;
        let ran: BTreeMap<String, Progress> = serde_json::from_slice(&reply.body)?;
        ids.extend(ran.into_keys());
    }
    Ok(ids)
}

async fn ran_at_plains(fleet: &Fleet) -> Result<BTreeMap<String, u32>> {
    let mut counts = BTreeMap::new();
    for service in &fleet.addresses.plains {
        let reply = fleet.client.get(*service, "/ran").await?;
        let ran: BTreeMap<String, u32> = serde_json::from_slice(&reply.body)?;
        for (key, n) in ran {
            *counts.entry(key).or_default() += n;
        }
    }
    Ok(counts)
}

async fn records(fleet: &Fleet) -> Result<Vec<Record>> {
    let platform = fleet.addresses.platform;
    let names = fleet.client.get(platform, "/object-names/bill/").await?;
    let names: Vec<String> = serde_json::from_slice(&names.body)?;
    let mut records = Vec::new();
    for name in names {
        let reply = fleet
            .client
            .get(platform, &format!("/objects/{name}"))
            .await?;
        let batch: Vec<Record> = serde_json::from_slice(&reply.body)?;
        records.extend(batch);
    }
    Ok(records)
}
