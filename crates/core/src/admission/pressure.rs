//! How much of the demand on a pool has to be refused, from the wait that is forecast.
//!
//! A proportional-integral controller: the proportional part answers a burst, the integral part
//! finds the fraction that keeps the wait short for as long as the demand stays.

use crate::unit::{Span, Time};

/// The wait, as a fraction of the objective, at which upstreams always have work and the least
/// urgent of the admitted, whom others overtake, still start in time.
const TARGET: f64 = 0.08;
/// The wait from which a pool is short; above the target, so that it does not alternate.
const SHORT_FROM: f64 = 0.15;
/// The fraction that is refused for each objective of wait beyond the target.
const GAIN: f64 = 1.5;
/// The same for each second that the wait stays there.
const GAIN_PER_SECOND: f64 = 0.7;
/// The factor on it while the wait is shorter: upstreams would soon have nothing to do.
const RELEASE: f64 = 3.0;
/// The wait as a fraction of its longer average below which it falls.
const FALLING: f64 = 0.9;
/// The longest wait of one request, so that one forecast does not outweigh the others.
const MAX: f64 = 2.0;
/// The time constant of the average: a few requests of an entry, a fraction of usual objectives.
const MEMORY: Span = Span::from_millis(300);
/// The time constant of the longer average, and of forgetting where no request comes.
const LONG_MEMORY: Span = Span::from_millis(1_000);
/// The least weight of one request in each: many that come at once count though no time passes.
const LEAST_WEIGHT: f64 = 0.125;
const LEAST_LONG_WEIGHT: f64 = 0.04;

/// The wait as a fraction of the objective, averaged, and what follows from it.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Pressure {
    level: f64,
    long_term: f64,
    integral: f64,
    is_short: bool,
    at: Option<Time>,
}

impl Pressure {
    /// Records the wait that is forecast for a request.
    pub fn record(&mut self, wait: Span, objective: Span, now: Time) {
        let passed = self.at.map_or(Span::default(), |at| now.since(at));
        let level = wait.secs_f64() / objective.secs_f64().max(1e-3);
        let level = level.min(MAX);
        self.level += weight(passed, MEMORY, LEAST_WEIGHT) * (level - self.level);
        self.long_term += weight(passed, LONG_MEMORY, LEAST_LONG_WEIGHT) * (level - self.long_term);
        self.at = Some(now);
        // A gap says nothing of the wait within it, and what was found before it ages.
        let gap = passed - MEMORY;
        self.integral *= (-gap.secs_f64() / LONG_MEMORY.secs_f64()).exp();
        self.integrate(passed - gap);
    }

    fn integrate(&mut self, passed: Span) {
        if !self.is_short {
            self.is_short = self.level >= SHORT_FROM;
            return;
        }
        let beyond = self.level - TARGET;
        let gain = match beyond > 0.0 {
            true if self.is_falling() => 0.0,
            true => GAIN_PER_SECOND,
            false => GAIN_PER_SECOND * RELEASE,
        };
        self.integral += gain * beyond * passed.secs_f64();
        self.integral = self.integral.clamp(0.0, 1.0);
        self.is_short = beyond >= 0.0 || self.integral > 0.0;
    }

    /// Returns the fraction of the demand that has to be refused. A wait that falls ends by itself.
    pub fn excess(&self) -> f64 {
        let proportional = match self.is_falling() {
            true => 0.0,
            false => GAIN * (self.level - TARGET),
        };
        match self.is_short {
            true => (self.integral + proportional).clamp(0.0, 1.0),
            false => 0.0,
        }
    }

    fn is_falling(&self) -> bool {
        self.level < FALLING * self.long_term
    }

    /// Returns the time until a wait has fallen to the target, as waiting work is done.
    pub fn ends_in(&self, wait: Span, objective: Span) -> Span {
        wait - Span::from_secs_f64(objective.secs_f64() * TARGET)
    }
}

/// Returns the weight of a request in an average.
fn weight(passed: Span, memory: Span, least: f64) -> f64 {
    let weight = 1.0 - (-passed.secs_f64() / memory.secs_f64()).exp();
    weight.max(least)
}
