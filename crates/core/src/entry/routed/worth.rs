//! Chooses the models of contended pools by what their answers are worth.

use super::*;
use crate::escalation::{Answer, Case, Model, ModelChoice, Next, Price, Tally};
use crate::pick::{Criteria, Outlook};

/// What the choice of a model depends on, besides the request itself.
struct Situation {
    models: Vec<Model>,
    outlook: Outlook,
    price: Price,
}

impl Entry {
    /// Returns the current prices of a second of an upstream, by pool.
    pub fn prices(&self) -> impl Iterator<Item = (&PoolId, Price)> {
        self.pricing.prices()
    }

    /// Returns the counts of answers by pool and index of the model in its route.
    pub fn tallies(&self) -> impl Iterator<Item = (&PoolId, usize, Tally)> {
        self.decider.tallies()
    }

    /// Sets the model that answers a request first, if its pool is contended.
    pub(super) fn set_first_model(&mut self, now: Time, flight: &mut Flight) {
        if !flight.is_first() {
            return;
        }
        let Some(situation) = self.situation(now, flight) else {
            return;
        };
        let model = situation
            .case(now, flight)
            .map(|case| self.decider.first(&case, now));
        if let Some((route_state, model)) = flight.route_state.as_mut().zip(model) {
            route_state.size_index = model;
        }
    }

    /// Returns what to do with an answer and at which price, or `None` if its pool is not contended.
    pub(super) fn weigh(
        &mut self,
        now: Time,
        request: RequestId,
        confidence: Confidence,
    ) -> Option<(Next, Price)> {
        let flight = self.flights.remove(&request)?;
        let weighed = self.situation(now, &flight).and_then(|situation| {
            let route_state = flight.route_state.as_ref()?;
            let answer = Answer {
                model: route_state.size_index,
                dropped: route_state.dropped,
                confidence,
            };
            let case = situation.case(now, &flight)?;
            self.decider.record_answer(&case, &answer, now);
            Some((self.decider.next(&case, &answer, now), situation.price))
        });
        self.flights.insert(request, flight);
        weighed
    }

    /// Counts an answer of a contended pool that was delivered or dropped.
    pub(super) fn count_answer(&mut self, request: RequestId, next: Next) {
        let flight = self.flights.get(&request);
        if let Some((flight, route_state)) = flight.and_then(|f| Some((f, f.route_state.as_ref()?)))
        {
            self.decider
                .count(&flight.pool, route_state.size_index, next);
        }
    }

    /// Records how long the tokens of a complete stream took.
    pub(super) fn record_make_time(&mut self, now: Time, request: RequestId, link: Link) {
        let Some(flight) = self.flights.get(&request) else {
            return;
        };
        let (Some(route_state), Some(first)) = (&flight.route_state, flight.first_byte_at) else {
            return;
        };
        // A stream that went on elsewhere has made its tokens at two upstreams.
        if route_state.run.sent_at > first || flight.status >= 300 {
            return;
        }
        let running = self.peers.get(link).map_or(1, |peer| peer.load.running);
        let model = route_state.size_index;
        let tokens = flight.routed().map_or(0, |routed| routed.max_tokens);
        if !route_state.route.sizes.is_empty() && self.weighs_models(&flight.pool) {
            let took = now.since(first);
            self.decider
                .record_stream(&flight.pool, model, took, tokens, running);
        }
    }

    /// Returns whether the models of a pool are chosen by what their answers are worth.
    fn weighs_models(&self, pool: &PoolId) -> bool {
        self.settings.model_choice == ModelChoice::Worth && self.peers.is_contended(pool)
    }

    /// Returns what the choice of a model depends on; `None` if the route names no models, the pool
    /// is not contended or no upstream may get the request.
    fn situation(&mut self, now: Time, flight: &Flight) -> Option<Situation> {
        let route_state = flight.route_state.as_ref()?;
        let sizes = &route_state.route.sizes;
        if sizes.is_empty() || !self.weighs_models(&flight.pool) {
            return None;
        }
        let costs = &self.tree.costs(&flight.pool)?;
        let models = sizes.iter().map(|model| {
            let workload = Workload::Model(flight.pool.clone(), model.clone());
            Model {
                read: self
                    .peers
                    .usual_rate(&workload, flight.prompt_tokens(), now),
                cost: costs.get(model).copied(),
            }
        });
        let models: Vec<Model> = models.collect();
        let criteria = Criteria {
            prefill_rate: models.get(route_state.size_index).map(|model| model.read),
            ..flight.criteria(self.settings.hall.as_ref(), &flight.tried)
        };
        let outlook = self.peers.outlook(&criteria, now)?;
        let objective = self.tree.shortest_objective(&flight.pool);
        let objective = objective.unwrap_or(route_state.route.objective);
        let price = self
            .pricing
            .observe(&flight.pool, outlook.backlog, objective, now);
        Some(Situation {
            models,
            outlook,
            price,
        })
    }
}

impl Situation {
    /// Returns the request as its models are compared for it.
    fn case<'a>(&'a self, now: Time, flight: &'a Flight) -> Option<Case<'a>> {
        let route_state = flight.route_state.as_ref()?;
        // The shared prefix is usually cached.
        let shared = flight.shared_prefix().map_or(0, |p| p.tokens);
        let uncached_tokens = flight.prompt_tokens().saturating_sub(shared);
        let read = self.models.get(route_state.size_index)?.read;
        let reading = f64::from(uncached_tokens) / read.per_second().max(1.0);
        Some(Case {
            route: &route_state.name,
            pool: &flight.pool,
            rank: route_state.route.rank,
            prompt_tokens: flight.prompt_tokens(),
            uncached_tokens,
            max_tokens: flight.routed().map_or(0, |routed| routed.max_tokens),
            objective: route_state.route.objective,
            waited: now.since(flight.started_at),
            wait: self.outlook.first - Span::from_secs_f64(reading),
            price: self.price,
            models: &self.models,
        })
    }
}
