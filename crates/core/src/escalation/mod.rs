//! Decides which model of a route answers first, and whether its answer is delivered or dropped for
//! that of a larger model.
//!
//! A larger model is asked if what its answer is expected to add exceeds what its run takes: the
//! operator's price of the model, and the time of the upstream at a [`Price`] that rises with the
//! wait there. At rest all that pays is escalated; at a crest, when the work asked for exceeds what the
//! upstreams can do, the smaller models answer.
//!
//! All values are fractions of the worth of a right answer in time to the request at hand. That
//! worth is taken to be in proportion to the work of the largest model on the request, and halves
//! with each rank.
//!
//! ```
//! use sorreldeck::escalation::{Answer, Case, Decider, Model, Next, Price};
//! use sorreldeck::wire::Confidence;
//! use sorreldeck::{Rate, Span, Time};
//!
//! let (route, pool) = ("drafts".parse()?, "assistant".parse()?);
//! let models = [40_000.0, 4_000.0].map(|rate| Model { read: Rate::from_per_second(rate), cost: None });
//! let case = Case {
//!     route: &route,
//!     pool: &pool,
//!     rank: 0,
//!     prompt_tokens: 1_000,
//!     uncached_tokens: 600,
//!     max_tokens: 100,
//!     objective: Span::from_millis(2_000),
//!     waited: Span::from_millis(50),
//!     wait: Span::default(),
//!     price: Price::default(),
//!     models: &models,
//! };
//! let decider = Decider::default();
//! let answer = |confidence| Answer { model: 0, dropped: None, confidence: Confidence(confidence) };
//! assert!(matches!(decider.next(&case, &answer(0.1), Time(0)), Next::Escalate(1, _)));
//! assert_eq!(decider.next(&case, &answer(0.9), Time(0)), Next::Keep);
//! # Ok::<(), sorreldeck::Error>(())
//! ```

mod average;
mod history;
mod plan;
mod price;
mod spread;

pub use price::{Price, Pricing};

use crate::id::{PoolId, RouteId};
use crate::unit::{Rate, Span, Time};
use crate::wire::Confidence;
use history::{History, Size};
use plan::Plan;
use std::collections::BTreeMap;

/// How the models of contended pools are chosen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ModelChoice {
    /// The smallest first, and the largest where the confidence is below a threshold.
    #[default]
    Thresholds,
    /// By what the answers are worth against the work that they take from others.
    Worth,
}

impl std::str::FromStr for ModelChoice {
    type Err = crate::Error;

    fn from_str(s: &str) -> crate::Result<Self> {
        match s {
            "thresholds" => Ok(ModelChoice::Thresholds),
            "worth" => Ok(ModelChoice::Worth),
            _ => Err(crate::Error::new(
                crate::Category::Invalid,
                format!("{s:?} is not thresholds or worth"),
            )),
        }
    }
}

/// The fraction of its value that an answer earns if it starts after the objective of its route;
/// the same in the service-level terms of all installations.
pub const LATE_VALUE: f64 = 0.3;
/// The fraction of its value that an answer earns if the request was too hard for its model.
const WRONG_VALUE: f64 = 0.05;
/// The cost of the largest model's run as a fraction of the worth of a right answer at the most
/// urgent rank. Whoever offers the largest model takes an answer to be worth several times its cost.
const COST_SHARE: f64 = 0.1;
/// The part of a token made that a token read counts in the operator's price of a model.
const READ_COST: f64 = 0.25;

/// A request, as far as the choice of its model depends on it.
#[derive(Clone, Copy, Debug)]
pub struct Case<'a> {
    /// The route.
    pub route: &'a RouteId,
    /// The pool that answers.
    pub pool: &'a PoolId,
    /// The rank of the route, 0 for the most urgent.
    pub rank: u8,
    /// The number of prompt tokens.
    pub prompt_tokens: u32,
    /// The prompt tokens that a run is expected to read, as they are not cached.
    pub uncached_tokens: u32,
    /// The most tokens that the answer may have.
    pub max_tokens: u32,
    /// The time within which an answer ought to start.
    pub objective: Span,
    /// The time since the request arrived.
    pub waited: Span,
    /// The expected wait of a new run before its prompt is read.
    pub wait: Span,
    /// The price of a second of an upstream.
    pub price: Price,
    /// The models of the route, smallest first.
    pub models: &'a [Model],
}

/// A model that may answer a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Model {
    /// The prompt tokens that it reads in a second.
    pub read: Rate,
    /// The operator's price of 1,000 tokens, if the configuration tells one.
    pub cost: Option<f64>,
}

/// The start of an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Answer {
    /// The index of its model.
    pub model: usize,
    /// The answer that was dropped for it, if any.
    pub dropped: Option<Dropped>,
    /// The confidence of the model.
    pub confidence: Confidence,
}

/// An answer that was dropped for that of a larger model.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Dropped {
    /// The index of its model.
    pub model: usize,
    /// The probability that it was right.
    pub right: f64,
}

/// What to do with the answer of a model.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Next {
    /// Deliver it.
    Keep,
    /// Drop it and ask the model with this index.
    Escalate(usize, Dropped),
}

/// How many answers of a model were delivered and dropped.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// The answers that were delivered.
    pub kept: u64,
    /// The answers that were dropped for that of a larger model.
    pub dropped: u64,
}

/// Decides on models, and learns from their answers.
#[derive(Clone, Debug, Default)]
pub struct Decider {
    history: History,
    tallies: BTreeMap<(PoolId, usize), Tally>,
}

impl Decider {
    /// Returns the index of the model that answers first.
    pub fn first(&self, case: &Case, now: Time) -> usize {
        let plan = Plan::new(self, case, now);
        let value = |model: usize| {
            let quality = self.history.quality(case, model, now);
            plan.value(model, quality, case.waited)
        };
        plan::best(0..case.models.len(), value).map_or(0, |(model, _)| model)
    }

    /// Returns what to do with an answer.
    pub fn next(&self, case: &Case, answer: &Answer, now: Time) -> Next {
        let plan = Plan::new(self, case, now);
        let right = self.right(case, answer, now);
        let in_time = match case.waited > case.objective {
            true => LATE_VALUE,
            false => 1.0,
        };
        let keep = plan.keep(answer.model, right, in_time);
        match plan.escalate(answer.model, right, case.waited) {
            Some((larger, value)) if value > keep => Next::Escalate(
                larger,
                Dropped {
                    model: answer.model,
                    right,
                },
            ),
            _ => Next::Keep,
        }
    }

    /// Records the confidence of an answer.
    pub fn record_answer(&mut self, case: &Case, answer: &Answer, now: Time) {
        let right = self.right(case, answer, now);
        self.history.record(case, answer, right, now);
    }

    /// Records how long a complete answer of at most so many tokens took from its first to its last
    /// one, at an upstream that ran this many requests.
    pub fn record_stream(
        &mut self,
        pool: &PoolId,
        model: usize,
        took: Span,
        tokens: u32,
        running: u32,
    ) {
        self.history
            .record_stream(pool, model, took, tokens, running);
    }

    /// Counts an answer that was delivered or dropped.
    pub fn count(&mut self, pool: &PoolId, model: usize, next: Next) {
        let tally = self.tallies.entry((pool.clone(), model)).or_default();
        match next {
            Next::Keep => tally.kept += 1,
            Next::Escalate(..) => tally.dropped += 1,
        }
    }

    /// Returns the counts of delivered and dropped answers by pool and index of the model.
    pub fn tallies(&self) -> impl Iterator<Item = (&PoolId, usize, Tally)> {
        let rows = self.tallies.iter();
        rows.map(|((pool, model), tally)| (pool, *model, *tally))
    }
}

impl Decider {
    /// Returns the probability that an answer is right. A request for which an answer was dropped is
    /// harder than others, so that the same confidence tells less.
    fn right(&self, case: &Case, answer: &Answer, now: Time) -> f64 {
        let Answer { model, dropped, .. } = *answer;
        if is_largest(case, model) {
            return history::LARGEST_QUALITY;
        }
        let expected = dropped.map_or(0.5, |dropped| {
            let mended = self.history.mended(case, dropped.model, model, now);
            dropped.right + (1.0 - dropped.right) * mended
        });
        spread::probability(expected, answer.confidence)
    }
}

impl Case<'_> {
    /// Returns the seconds in which a model reads this many tokens.
    fn seconds(&self, model: usize, tokens: u32) -> f64 {
        let rate = self.models.get(model).map_or(0.0, |m| m.read.per_second());
        f64::from(tokens) / rate.max(1.0)
    }

    /// Returns the time in which a model reads the prompt.
    fn reading(&self, model: usize) -> Span {
        Span::from_secs_f64(self.seconds(model, self.uncached_tokens))
    }

    /// Returns the size of the request: a token made takes about ten times the work of one read.
    fn size(&self) -> Size {
        let tokens = u64::from(self.prompt_tokens) + 10 * u64::from(self.max_tokens);
        Size(tokens as f64)
    }
}

/// Returns the worth of an answer that is right with this probability.
fn worth(right: f64) -> f64 {
    right + (1.0 - right) * WRONG_VALUE
}

fn is_largest(case: &Case, model: usize) -> bool {
    model + 1 >= case.models.len()
}
