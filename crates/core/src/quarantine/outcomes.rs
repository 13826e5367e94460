//! Recent outcomes of runs, from which the probability of a crash by coincidence is estimated.

use super::answers::{Answers, MAX_ANSWERS};
use super::Fingerprint;
use crate::id::PoolId;
use crate::unit::{Span, Time};
use std::collections::{HashMap, VecDeque};

/// How long an answer clears its request, and runs count in the crash probability: several times as
/// long as upstreams that all crash at once take to be back.
pub const RECENT: Span = Span::from_millis(10_000);
/// The probability that a run ends with a crash of its upstream if no runs are known, and the
/// number of runs that this counts as.
const PRIOR_CRASH: f64 = 0.05;
const PRIOR_RUNS: f64 = 2.0;

/// Runs that were answered recently.
#[derive(Clone, Debug, Default)]
pub struct Outcomes {
    requests: Answers,
    pools: HashMap<PoolId, VecDeque<Time>>,
}

impl Outcomes {
    /// Records a complete answer to a run of this entry.
    pub fn record_answer(&mut self, fingerprint: Fingerprint, pool: &PoolId, now: Time) {
        self.record_any_answer(fingerprint, now);
        let times = self.pools.entry(pool.clone()).or_default();
        times.push_back(now);
        let is_old = |at: &Time| now.since(*at) >= RECENT;
        while times.len() > MAX_ANSWERS || times.front().is_some_and(is_old) {
            times.pop_front();
        }
    }

    /// Records a complete answer to a run of any entry.
    pub fn record_any_answer(&mut self, fingerprint: Fingerprint, now: Time) {
        self.requests.record(fingerprint, now);
    }

    /// Returns whether a request was answered recently.
    pub fn was_answered(&self, fingerprint: Fingerprint, now: Time) -> bool {
        self.requests.is_recent(fingerprint, now)
    }

    /// Returns how many runs of this entry were answered in a pool recently and not before a time.
    pub fn answered_since(&self, pool: &PoolId, since: Time, now: Time) -> usize {
        let counts = |at: &&Time| **at >= since && now.since(**at) < RECENT;
        let times = self.pools.get(pool);
        times.map_or(0, |times| times.iter().filter(counts).count())
    }

    /// Returns the probability that a run in a pool ends with a crash of its upstream, if this many
    /// runs broke recently.
    pub fn crash_probability(&self, pool: &PoolId, broken: u32, now: Time) -> f64 {
        let answered = self.answered_since(pool, Time::default(), now);
        let broken = f64::from(broken);
        (broken + PRIOR_CRASH * PRIOR_RUNS) / (broken + answered as f64 + PRIOR_RUNS)
    }
}
