//! The expected value of asking each model for a request.

use super::spread;
use super::{worth, Case, Decider, COST_SHARE, LATE_VALUE, READ_COST};
use crate::unit::{Span, Time};

/// The highest rank that is told apart from the ones above it.
const LAST_RANK: u8 = 3;

/// What a run of a model takes and how its answers turn out.
#[derive(Clone, Debug)]
struct Prospect {
    /// What reading the prompt and making the answer take, from other requests and the operator.
    read: f64,
    make: f64,
    /// The time in which the prompt is read.
    reading: Span,
    /// The share of requests too hard for this model that each larger one answers rightly.
    mended: Vec<f64>,
}

/// The prospects of all models for one request.
#[derive(Clone, Debug)]
pub(super) struct Plan<'a> {
    case: &'a Case<'a>,
    prospects: Vec<Prospect>,
}

impl Plan<'_> {
    pub fn new<'a>(decider: &Decider, case: &'a Case<'a>, now: Time) -> Plan<'a> {
        let prospect = |model| {
            let (read, make) = expense(decider, case, model);
            let mended = |larger| decider.history.mended(case, model, larger, now);
            Prospect {
                read,
                make,
                reading: case.reading(model),
                mended: (0..case.models.len()).map(mended).collect(),
            }
        };
        Plan {
            case,
            prospects: (0..case.models.len()).map(prospect).collect(),
        }
    }

    /// Returns the expected value of a run of a model that answers rightly with this probability
    /// and is sent at `sent` after the arrival, with what larger models mend of it.
    pub fn value(&self, model: usize, quality: f64, sent: Span) -> f64 {
        let prospect = &self.prospects[model];
        let head = sent + self.case.wait + prospect.reading;
        let in_time = punctuality(head, self.case.objective);
        let by_band = spread::bands(quality).map(|(share, right)| {
            let keep = self.keep(model, right, in_time);
            let larger = self.escalate(model, right, head);
            share * larger.map_or(keep, |(_, value)| value.max(keep))
        });
        by_band.sum::<f64>() - prospect.read
    }

    /// Returns the value of delivering an answer that is right with this probability.
    pub fn keep(&self, model: usize, right: f64, in_time: f64) -> f64 {
        worth(right) * in_time - self.prospects[model].make
    }

    /// Returns the best larger model and its value, if an answer that is right with this
    /// probability is dropped at `now` after the arrival.
    pub fn escalate(&self, model: usize, right: f64, now: Span) -> Option<(usize, f64)> {
        let value = |larger: usize| {
            let mended = self.prospects[model].mended[larger];
            self.value(larger, right + (1.0 - right) * mended, now)
        };
        best(model + 1..self.prospects.len(), value)
    }
}

/// Returns what reading the prompt and making the answer take at a model.
fn expense(decider: &Decider, case: &Case, model: usize) -> (f64, f64) {
    let largest = case.models.len().saturating_sub(1);
    let tokens = f64::from(case.max_tokens);
    let make = |model| decider.history.make_time(case, model).secs_f64() * tokens;
    let whole = case.seconds(largest, case.prompt_tokens) + make(largest);
    let second = (case.price.per_work() + unpriced(case)) / whole.max(f64::MIN_POSITIVE);
    let token = token_price(case, model);
    let read_tokens = READ_COST * f64::from(case.uncached_tokens);
    let read = second * case.seconds(model, case.uncached_tokens) + token * read_tokens;
    let make = second * make(model) + token * tokens;
    let rank = f64::from(1_u32 << case.rank.min(LAST_RANK));
    (rank * read, rank * make)
}

/// Returns whether the configuration tells what each model costs.
fn has_costs(case: &Case) -> bool {
    let mut models = case.models.iter();
    models.all(|model| model.cost.is_some_and(|cost| cost > 0.0))
}

/// Returns the price of work where models are taken to cost as much as they work, as the
/// configuration does not tell it.
fn unpriced(case: &Case) -> f64 {
    match has_costs(case) {
        true => 0.0,
        false => COST_SHARE,
    }
}

/// Returns the operator's price of a token that a model makes.
fn token_price(case: &Case, model: usize) -> f64 {
    let cost = |model: Option<&super::Model>| model.and_then(|model| model.cost);
    let costs = cost(case.models.get(model)).zip(cost(case.models.last()));
    let Some((cost, largest)) = costs.filter(|_| has_costs(case)) else {
        return 0.0;
    };
    let tokens = f64::from(case.max_tokens) + READ_COST * f64::from(case.prompt_tokens);
    COST_SHARE * cost / largest / tokens.max(1.0)
}

/// Returns the expected fraction of its value that an answer earns which is expected to start at
/// this time. A forecast may miss by a factor of two.
fn punctuality(head: Span, objective: Span) -> f64 {
    let ratio = head.secs_f64() / objective.secs_f64().max(1e-3);
    let in_time = (1.5 - ratio).clamp(0.0, 1.0);
    LATE_VALUE + (1.0 - LATE_VALUE) * in_time
}

/// Returns the index with the highest value, the lowest one among equals.
pub(super) fn best(
    indices: std::ops::Range<usize>,
    value: impl Fn(usize) -> f64,
) -> Option<(usize, f64)> {
    let valued = indices.map(|index| (index, value(index)));
    valued.reduce(|best, next| if next.1 > best.1 { next } else { best })
}
