//! How the runs of an entry ended lately: what a crash at a request's upstream is weighed by.

use super::Fingerprint;
use crate::id::PoolId;
use crate::unit::{Span, Time};
use std::collections::{HashMap, VecDeque};

/// How long an answer speaks for its request, and runs count in the chance of a crash: several
/// times as long as upstreams that all crash at once take to be back.
pub const LATELY: Span = Span::from_millis(10_000);
/// The answers remembered, by request and by pool: ten seconds of 400 a second.
const MOST: usize = 4_096;
/// The chance that a run ends with its upstream's crash where nothing is known, and the
/// runs that this counts as.
const PRIOR: f64 = 0.05;
const PRIOR_RUNS: f64 = 2.0;

/// The runs that were answered lately.
#[derive(Clone, Debug, Default)]
pub struct Fates {
    requests: HashMap<Fingerprint, Time>,
    /// The oldest first; a request may stand here more than once.
    order: VecDeque<(Time, Fingerprint)>,
    pools: HashMap<PoolId, VecDeque<Time>>,
}

impl Fates {
    /// Notes an answer that was whole.
    pub fn answered(&mut self, fingerprint: Fingerprint, pool: &PoolId, now: Time) {
        self.told_answered(fingerprint, now);
        let times = self.pools.entry(pool.clone()).or_default();
        times.push_back(now);
        let is_old = |at: &Time| now.since(*at) >= LATELY;
        while times.len() > MOST || times.front().is_some_and(is_old) {
            times.pop_front();
        }
    }

    /// Notes that another entry's run was answered whole.
    pub fn told_answered(&mut self, fingerprint: Fingerprint, now: Time) {
        self.requests.insert(fingerprint, now);
        self.order.push_back((now, fingerprint));
        while let Some((at, oldest)) = self.order.front().copied() {
            if self.order.len() <= MOST && now.since(at) < LATELY {
                break;
            }
            self.order.pop_front();
            if self.requests.get(&oldest) == Some(&at) {
                self.requests.remove(&oldest);
            }
        }
    }

    /// Returns whether a request was answered lately.
    pub fn was_answered(&self, fingerprint: Fingerprint, now: Time) -> bool {
        let at = self.requests.get(&fingerprint);
        at.is_some_and(|at| now.since(*at) < LATELY)
    }

    /// Returns the chance that a run in a pool ends with its upstream's crash, where so many
    /// broke lately.
    pub fn chance(&self, pool: &PoolId, broken: u32, now: Time) -> f64 {
        let lately = |at: &&Time| now.since(**at) < LATELY;
        let times = self.pools.get(pool);
        let answered = times.map_or(0, |times| times.iter().filter(lately).count());
        let broken = f64::from(broken);
        (broken + PRIOR * PRIOR_RUNS) / (broken + answered as f64 + PRIOR_RUNS)
    }
}
