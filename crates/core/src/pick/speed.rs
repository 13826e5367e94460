//! How long work takes at each upstream, relative to the usual duration in its pool.
//!
//! Upstreams of one pool differ in speed, and a router that treats them alike queues requests at
//! slow upstreams while fast ones are idle. Each run that starts to answer tells how long it took
//! relative to the expectation for the pool. Entries add up these ratios for each upstream and
//! exchange the sums, since one entry sees only a few runs of each.
//!
//! ```
//! use sorreldeck::pick::Speeds;
//! use sorreldeck::{Span, Time};
//!
//! let mut speeds = Speeds::default();
//! for _ in 0..50 {
//!     speeds.record(1, Span::from_millis(50), Span::from_millis(100), Time(0));
//!     speeds.record(2, Span::from_millis(200), Span::from_millis(100), Time(0));
//! }
//! let slowdowns = speeds.relative(&[1, 2, 3], Time(0));
//! assert!(slowdowns[0].factor() < 0.6 && slowdowns[1].factor() > 1.7);
//! assert_eq!(slowdowns[2].to_string(), "1.00x");
//! ```

use crate::unit::{Span, Time};
use std::collections::{BTreeMap, HashMap};
use std::fmt;

/// The time after which a recorded run has half its weight. Upstreams change their speed when
/// others use their machine.
const HALF_LIFE: Span = Span::from_millis(10_000);
/// The weight of the assumption that an upstream works at the usual speed, in runs.
const PRIOR_WEIGHT: f64 = 3.0;
/// The largest natural logarithm of a ratio that counts; beyond it a run was held up by something
/// else than the speed of its upstream.
const MAX_LOG: f64 = 2.0;
/// The age from which an upstream without runs is forgotten.
const FORGET_AFTER: Span = Span::from_millis(60_000);
/// The units of a sum per run and per unit of the logarithm.
const WEIGHT_UNITS: f64 = 100.0;
const LOG_UNITS: f64 = 1_000.0;

/// How long work takes at an upstream, as a multiple of the usual duration.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Slowdown(f64);

impl Slowdown {
    /// The usual duration.
    pub const USUAL: Slowdown = Slowdown(1.0);

    /// Returns the multiple.
    pub fn factor(self) -> f64 {
        self.0
    }

    /// Returns the slowdown of work that takes this multiple of the usual duration besides.
    pub(super) fn times(self, factor: f64) -> Slowdown {
        Slowdown(self.0 * factor)
    }

    /// Returns the duration at this upstream of work that usually takes `usual`.
    pub fn scale(self, usual: Span) -> Span {
        match self == Slowdown::USUAL {
            true => usual,
            false => Span::from_secs_f64(usual.secs_f64() * self.0),
        }
    }
}

impl Default for Slowdown {
    fn default() -> Self {
        Slowdown::USUAL
    }
}

impl fmt::Display for Slowdown {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.2}x", self.0)
    }
}

/// The runs of one upstream that an entry recorded, as it reports them to the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SpeedSum {
    /// The identifier of the start of the upstream.
    pub upstream: u64,
    /// The weight, in hundredths of a run.
    pub weight: u32,
    /// The sum of the natural logarithms of the ratios, in thousandths.
    pub log: i32,
}

impl SpeedSum {
    /// Adds the runs of another sum for the same upstream.
    pub fn add(&mut self, other: &SpeedSum) {
        self.weight = self.weight.saturating_add(other.weight);
        self.log = self.log.saturating_add(other.log);
    }
}

/// Decaying sums over the runs of one upstream.
#[derive(Clone, Copy, Debug, Default)]
struct Stats {
    weight: f64,
    log: f64,
    updated: Time,
}

impl Stats {
    fn at(self, now: Time) -> Stats {
        let halves = now.since(self.updated).secs_f64() / HALF_LIFE.secs_f64();
        let left = 0.5_f64.powf(halves);
        Stats {
            weight: self.weight * left,
            log: self.log * left,
            updated: self.updated.max(now),
        }
    }

    fn add(&mut self, weight: f64, log: f64, now: Time) {
        *self = self.at(now);
        self.weight += weight;
        self.log += log;
    }
}

/// The recorded speeds of all upstreams, by the identifier of their start.
#[derive(Clone, Debug, Default)]
pub struct Speeds {
    stats: HashMap<u64, Stats>,
    /// The own runs that were not reported to the other entries yet.
    unreported: BTreeMap<u64, (f64, f64)>,
}

impl Speeds {
    /// Records a run of this entry: the time that it took and the usual time for its work.
    pub fn record(&mut self, upstream: u64, took: Span, usual: Span, now: Time) {
        let ratio = took.secs_f64().max(1e-4) / usual.secs_f64().max(1e-4);
        let log = ratio.ln().clamp(-MAX_LOG, MAX_LOG);
        self.stats.entry(upstream).or_default().add(1.0, log, now);
        let (weight, sum) = self.unreported.entry(upstream).or_default();
        *weight += 1.0;
        *sum += log;
    }

    /// Adds the runs that other entries recorded.
    pub fn merge(&mut self, sum: &SpeedSum, now: Time) {
        let weight = f64::from(sum.weight) / WEIGHT_UNITS;
        let log = f64::from(sum.log) / LOG_UNITS;
        let limit = weight * MAX_LOG;
        let stats = self.stats.entry(sum.upstream).or_default();
        stats.add(weight, log.clamp(-limit, limit), now);
    }

    /// Returns the own runs since the last call.
    pub fn take_unreported(&mut self) -> Vec<SpeedSum> {
        let unreported = std::mem::take(&mut self.unreported);
        let sum = |(upstream, (weight, log)): (u64, (f64, f64))| SpeedSum {
            upstream,
            weight: (weight * WEIGHT_UNITS) as u32,
            log: (log * LOG_UNITS).round() as i32,
        };
        unreported.into_iter().map(sum).collect()
    }

    /// Returns the weight of the recent runs under an identifier and the sum of their logarithms.
    pub(super) fn sum(&self, key: u64, now: Time) -> (f64, f64) {
        let stats = self.stats.get(&key).map(|s| s.at(now));
        stats.map_or((0.0, 0.0), |stats| (stats.weight, stats.log))
    }

    /// Returns the slowdowns of the upstreams of one pool, relative to their mean.
    ///
    /// Entries differ in what they expect, so only the differences between upstreams count.
    pub fn relative(&self, upstreams: &[u64], now: Time) -> Vec<Slowdown> {
        let stats = |upstream: &u64| self.stats.get(upstream).map(|s| s.at(now));
        let known: Vec<Option<Stats>> = upstreams.iter().map(stats).collect();
        let (mut sum, mut count) = (0.0, 0.0);
        for stats in known.iter().flatten().filter(|s| s.weight > 0.0) {
            let confidence = stats.weight / (stats.weight + PRIOR_WEIGHT);
            sum += confidence * stats.log / stats.weight;
            count += confidence;
        }
        let mean = if count > 0.0 { sum / count } else { 0.0 };
        let relative = |stats: &Option<Stats>| {
            let Some(stats) = stats else {
                return Slowdown::USUAL;
            };
            let deviation = stats.log - mean * stats.weight;
            Slowdown((deviation / (stats.weight + PRIOR_WEIGHT)).exp())
        };
        known.iter().map(relative).collect()
    }

    /// Forgets upstreams without recent runs.
    pub fn prune(&mut self, now: Time) {
        self.stats
            .retain(|_, stats| now.since(stats.updated) < FORGET_AFTER);
    }
}
