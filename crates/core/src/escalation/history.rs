//! What the answers of models have shown, by route, model and class of size.

use super::average::Average;
use super::{Answer, Case};
use crate::id::{PoolId, RouteId};
use crate::unit::{Span, Time};
use std::collections::HashMap;

/// The share of requests that the smallest and the largest model are taken to answer rightly before
/// any answer; those between are at equal distances.
const SMALLEST_QUALITY: f64 = 0.5;
pub(super) const LARGEST_QUALITY: f64 = 0.97;
/// How much of what lies between them a model that is not the largest is taken to mend: most of what
/// is too hard for one is too hard for the next.
const MIDDLE_SHARE: f64 = 0.5;
/// The number of answers as which a prior counts.
const PRIOR_WEIGHT: f64 = 8.0;
/// How many times as long the largest model works on a token as the smallest, before any answer.
const PRIOR_SLOWDOWN: f64 = 10.0;
/// The work of the largest model on a token before any answer, as a multiple of its time to read one.
const PRIOR_MAKE: f64 = 10.0;
/// The weight of one stream in the moving average of the time per token.
const STREAM_WEIGHT: f64 = 1.0 / 16.0;
/// The bounds of the class of usual sizes, as a fraction of the mean size of a route's requests.
const USUAL: std::ops::RangeInclusive<f64> = 0.7..=1.5;

/// The size of a request, in tokens read.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub(super) struct Size(pub f64);

/// The class of a request's size among those of its route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Class {
    Small,
    Usual,
    Large,
}

/// What the answers of models have shown.
#[derive(Clone, Debug, Default)]
pub(super) struct History {
    sizes: HashMap<RouteId, Average>,
    /// The share of right answers when a model is asked first, by route, and by class of size.
    qualities: HashMap<(RouteId, usize), Average>,
    qualities_by_class: HashMap<(RouteId, usize, Class), Average>,
    /// The share of right answers of a larger model when that of a smaller one was dropped.
    mended: HashMap<(RouteId, usize, usize), Average>,
    /// The seconds between tokens.
    make_times: HashMap<(PoolId, usize), f64>,
    /// The mean number of runs that share an upstream.
    running: HashMap<PoolId, f64>,
}

impl History {
    /// Returns the share of right answers of a model that is asked first.
    pub fn quality(&self, case: &Case, model: usize, now: Time) -> f64 {
        let by_route = self.route_quality(case, model, now);
        let key = (case.route.clone(), model, self.class(case, now));
        let by_class = self.qualities_by_class.get(&key);
        by_class.map_or(by_route, |average| {
            average.value(by_route, PRIOR_WEIGHT, now)
        })
    }

    fn route_quality(&self, case: &Case, model: usize, now: Time) -> f64 {
        let prior = match model {
            0 => SMALLEST_QUALITY,
            _ => {
                let smallest = self.route_quality(case, 0, now);
                smallest + (1.0 - smallest) * self.mended(case, 0, model, now)
            }
        };
        let quality = self.qualities.get(&(case.route.clone(), model));
        quality.map_or(prior, |average| average.value(prior, PRIOR_WEIGHT, now))
    }

    /// Returns the share of right answers of a larger model to requests that were too hard for a
    /// smaller one.
    pub fn mended(&self, case: &Case, smaller: usize, larger: usize, now: Time) -> f64 {
        let models = case.models.len();
        let (small, large) = (
            prior_quality(smaller, models),
            prior_quality(larger, models),
        );
        let share = match larger + 1 == models {
            true => 1.0,
            false => MIDDLE_SHARE,
        };
        let prior = share * (large - small) / (1.0 - small);
        let mended = self.mended.get(&(case.route.clone(), smaller, larger));
        mended.map_or(prior, |average| {
            average.value(prior, PRIOR_WEIGHT, now).clamp(0.0, 1.0)
        })
    }

    /// Returns the time of an upstream that a model takes for a token.
    pub fn make_time(&self, case: &Case, model: usize) -> Span {
        let known = |of| self.make_times.get(&(case.pool.clone(), of)).copied();
        let running = self.running.get(case.pool).copied().unwrap_or(1.0);
        let secs = |of| known(of).unwrap_or_else(|| self.prior_make_time(case, of));
        // A larger model works no less; times of few streams may say so.
        let secs = (0..=model).map(secs).fold(0.0, f64::max);
        Span::from_secs_f64(secs / running)
    }

    fn prior_make_time(&self, case: &Case, model: usize) -> f64 {
        let largest = case.models.len().saturating_sub(1);
        let slowdown = |model| PRIOR_SLOWDOWN.powf(fraction(model, case.models.len()));
        let known = (0..=largest).find_map(|of| {
            let secs = self.make_times.get(&(case.pool.clone(), of))?;
            Some(secs / slowdown(of) * slowdown(model))
        });
        let read = case.seconds(largest, 1);
        let running = self.running.get(case.pool).copied().unwrap_or(1.0);
        known.unwrap_or_else(|| PRIOR_MAKE * read * slowdown(model) / PRIOR_SLOWDOWN * running)
    }

    /// Records an answer that is right with this probability.
    pub fn record(&mut self, case: &Case, answer: &Answer, right: f64, now: Time) {
        match answer.dropped {
            Some(dropped) => {
                // Only the part of the answers that was dropped rightly tells what is mended.
                let key = (case.route.clone(), dropped.model, answer.model);
                let mended = self.mended.entry(key).or_default();
                mended.record_weighted(right - dropped.right, 1.0 - dropped.right, now);
            }
            None => self.record_first(case, answer.model, right, now),
        }
    }

    fn record_first(&mut self, case: &Case, model: usize, right: f64, now: Time) {
        let size = self.sizes.entry(case.route.clone()).or_default();
        size.record(case.size().0, now);
        let class = self.class(case, now);
        let quality = self
            .qualities
            .entry((case.route.clone(), model))
            .or_default();
        quality.record(right, now);
        let key = (case.route.clone(), model, class);
        let quality = self.qualities_by_class.entry(key).or_default();
        quality.record(right, now);
    }

    /// Records a complete stream; runs at the same time share the upstream.
    pub fn record_stream(
        &mut self,
        pool: &PoolId,
        model: usize,
        took: Span,
        tokens: u32,
        running: u32,
    ) {
        let running = f64::from(running.max(1));
        let mean = self.running.entry(pool.clone()).or_insert(running);
        *mean += STREAM_WEIGHT * (running - *mean);
        let secs = took.secs_f64() / f64::from(tokens.max(1));
        let key = (pool.clone(), model);
        let known = self.make_times.entry(key).or_insert(secs);
        *known += STREAM_WEIGHT * (secs - *known);
    }

    fn class(&self, case: &Case, now: Time) -> Class {
        let size = case.size().0;
        let mean = self.sizes.get(case.route);
        let mean = mean.map_or(size, |mean| mean.value(size, 1.0, now));
        match size / mean.max(1.0) {
            ratio if USUAL.contains(&ratio) => Class::Usual,
            ratio if ratio < *USUAL.start() => Class::Small,
            _ => Class::Large,
        }
    }
}

/// Returns the position of a model among the models of its route, from 0 to 1.
fn fraction(model: usize, models: usize) -> f64 {
    model as f64 / models.saturating_sub(1).max(1) as f64
}

fn prior_quality(model: usize, models: usize) -> f64 {
    SMALLEST_QUALITY + (LARGEST_QUALITY - SMALLEST_QUALITY) * fraction(model, models)
}
