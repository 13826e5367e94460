//! The price of a second of an upstream.

use crate::id::PoolId;
use crate::unit::{Span, Time};
use std::collections::BTreeMap;
use std::fmt;

/// The wait at which the price is 1, as a fraction of the objective: the first and the second wait of
/// a request whose answer is dropped, and a third part for reading its prompt, just fit into it.
const FULL_WAIT: f64 = 1.0 / 3.0;
/// The time after which an observed wait counts half: entries whose forecasts differ for a
/// moment have the same price within a second.
const HALF_LIFE: Span = Span::from_millis(250);
/// The highest price. At a tenth of the largest model's work, the smallest is not worth its run.
const MAX_PRICE: f64 = 10.0;

/// The price of a second of an upstream. At 1, it is what the largest model earns there in a second
/// with right answers of the most urgent rank.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub struct Price(f64);

impl Price {
    /// Returns the price as a number.
    pub fn per_work(self) -> f64 {
        self.0
    }
}

impl fmt::Display for Price {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.2}", self.0)
    }
}

/// The wait at the upstreams of a pool, as a fraction of the objective.
#[derive(Clone, Copy, Debug)]
struct Level {
    ratio: f64,
    at: Time,
}

/// The prices of a second of an upstream, by pool.
#[derive(Clone, Debug, Default)]
pub struct Pricing(BTreeMap<PoolId, Level>);

impl Pricing {
    /// Records how long a new prompt waits at the upstreams of a pool, and the shortest objective of
    /// its routes; returns the price.
    pub fn observe(&mut self, pool: &PoolId, wait: Span, objective: Span, now: Time) -> Price {
        let ratio = wait.secs_f64() / objective.secs_f64().max(1e-3);
        let level = self
            .0
            .entry(pool.clone())
            .or_insert(Level { ratio, at: now });
        let age = now.since(level.at);
        let kept = (-age.secs_f64() / HALF_LIFE.secs_f64()).exp2();
        level.ratio = level.ratio * kept + ratio * (1.0 - kept);
        level.at = level.at.max(now);
        price(level)
    }

    /// Returns the current prices.
    pub fn prices(&self) -> impl Iterator<Item = (&PoolId, Price)> {
        self.0.iter().map(|(pool, level)| (pool, price(level)))
    }
}

/// Returns the price at this level. Half the wait leaves most answers in time, so that its price is
/// a quarter.
fn price(level: &Level) -> Price {
    Price((level.ratio / FULL_WAIT).powi(2).min(MAX_PRICE))
}
