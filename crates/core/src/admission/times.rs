//! What callers and answers of each route take.

use super::Ask;
use crate::id::RouteId;
use crate::unit::{Span, Time};
use std::collections::BTreeMap;

/// The weight of one request in the average of its route.
const WEIGHT: f64 = 1.0 / 8.0;

/// A time that differs by route, averaged. What is older than the given age counts as zero.
#[derive(Clone, Debug)]
pub(super) struct Average {
    max_age: Span,
    routes: BTreeMap<RouteId, (f64, Time)>,
}

impl Average {
    pub fn new(max_age: Span) -> Average {
        Average {
            max_age,
            routes: BTreeMap::new(),
        }
    }

    pub fn record(&mut self, route: &RouteId, span: Span, now: Time) {
        let secs = span.secs_f64();
        let known = self.routes.entry(route.clone());
        let (average, at) = known.or_insert((secs, now));
        *average += WEIGHT * (secs - *average);
        *at = now;
    }

    pub fn get(&self, route: &RouteId, now: Time) -> Span {
        match self.routes.get(route) {
            Some((average, at)) if now.since(*at) < self.max_age => Span::from_secs_f64(*average),
            _ => Span::default(),
        }
    }
}

/// The most time that a request of each route had left, which is how long its callers wait.
#[derive(Clone, Debug, Default)]
pub(super) struct Patience(BTreeMap<RouteId, Span>);

impl Patience {
    /// Returns for how long a request has waited, here or elsewhere.
    pub fn waited(&mut self, ask: &Ask) -> Span {
        let longest = self.0.entry(ask.route.clone()).or_default();
        *longest = ask.time_left.max(*longest).min(ask.limit);
        *longest - ask.time_left
    }
}
