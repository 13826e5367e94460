//! What an entry learns from ratings, and what it reports once in a while.

use super::flight::{Flight, Goal};
use super::*;
use crate::cascade::Prices;
use crate::subset;
use crate::wire::Confidence;

/// How often reports go to the homes.
const REPORT_EVERY: Span = Span::from_millis(500);
/// How long a request waits for a configuration that an upstream has.
const WAIT_FOR_TREE: Span = Span::from_millis(300);
/// How often all evidence is sent again, to a home that may have lost it.
const RESEND_EVERY: Span = Span::from_millis(10_000);
/// The tokens of an average answer, by which prices are compared.
const PROMPT_TOKENS: u64 = 200;
const ANSWER_TOKENS: u64 = 100;

impl Entry {
    /// Has an answer rated, if it is drawn.
    pub(super) fn sample(
        &mut self,
        flight: &Flight,
        confidence: Option<Confidence>,
        given: bool,
        out: &mut Outputs,
    ) {
        let Some(version) = flight.version() else {
            return;
        };
        // The rating service's time goes first to what is on trial.
        let share = match self.settings.judge {
            Judge::Sequential if watch::is_on_trial(&self.tree, version) => 1.0,
            _ => self.settings.sample.fraction(),
        };
        if flight.status >= 300 || self.rng.random::<f64>() >= share {
            return;
        }
        let cascade = match (&flight.goal, flight.is_judged()) {
            (Goal::Cascade(name, step), true) => Some((name.clone(), *step)),
            _ => None,
        };
        out.push(Output::Rate(Sample {
            run: flight.run,
            version: version.clone(),
            class: flight.site.class,
            cascade,
            confidence: confidence.map(|c| c.0),
            delivered: given,
            answer: flight.text.clone(),
        }));
    }

    pub(super) fn rated(&mut self, rating: Rating, out: &mut Outputs) {
        let Rating { sample, score } = rating;
        if self.watch.record_rating(&self.tree, &sample.version, score) {
            out.push(Output::Suspect(sample.version.clone()));
        }
        let Some((name, step)) = sample.cascade else {
            return;
        };
        let last = self
            .tree
            .cascade(name.as_str())
            .is_some_and(|c| c.steps.len() == step + 1);
        if !last {
            if let Some(policy) = self.policy_mut(&name, step, sample.class) {
                policy.rate_cheap(sample.confidence.unwrap_or(0.0), score);
            }
        }
        for earlier in 0..step {
            if let Some(policy) = self.policy_mut(&name, earlier, sample.class) {
                policy.rate_expensive(score);
            }
        }
        if sample.delivered {
            for earlier in 0..=step {
                if let Some(policy) = self.policy_mut(&name, earlier, sample.class) {
                    policy.rate_delivered(score);
                }
            }
        }
    }

    pub(super) fn policy(
        &self,
        name: &CascadeId,
        step: usize,
        class: Class,
    ) -> Option<&cascade::Policy> {
        self.cascades.get(&(name.clone(), step, class))
    }

    /// Returns the policy of a step, made from the tree when it is first used.
    pub(super) fn policy_mut(
        &mut self,
        name: &CascadeId,
        step: usize,
        class: Class,
    ) -> Option<&mut cascade::Policy> {
        let cascade = self.tree.cascade(name.as_str())?;
        let target = cascade.target.fraction();
        let cheap = price(&self.tree, &cascade.steps.get(step)?.version);
        let dear = price(&self.tree, &cascade.steps.get(step + 1)?.version);
        let prices = Prices {
            cheap,
            expensive: dear,
        };
        let policy = self
            .cascades
            .entry((name.clone(), step, class))
            .or_insert_with(|| cascade::Policy::new(target, prices));
        policy.set(target, prices);
        Some(policy)
    }

    pub(super) fn tick(&mut self, now: Time, out: &mut Outputs) {
        self.tick_early(now, out);
        self.tick_routed(now, out);
        if let Some(batch) = self.held.due_orphans(now, self.leaving) {
            out.push(Output::Write(batch));
        }
        for request in self.waiting(|since| now.since(since) >= WAIT_FOR_TREE) {
            let message = "the configuration of the upstream is newer";
            let failure = Failure::not_run(Reason::Stale, message).retry_after(WAIT_FOR_TREE);
            self.give_up(now, request, failure, out);
        }
        if now.since(self.reported) < REPORT_EVERY {
            return;
        }
        self.reported = now;
        if now.since(self.resent) >= RESEND_EVERY {
            self.resent = now;
            self.watch.mark_unsent();
        }
        self.report_demand(now, out);
        self.report_evidence(out);
    }

    fn report_demand(&mut self, now: Time, out: &mut Outputs) {
        for demand in self.limits.report(now) {
            let Some(home) = self.home(demand.account.as_str()) else {
                continue;
            };
            let frame = Frame::Demand {
                account: demand.account,
                demand: demand.demand,
                used: demand.used,
            };
            out.push(Output::Send(home, frame));
        }
    }

    fn report_evidence(&mut self, out: &mut Outputs) {
        for (version, evidence) in self.watch.take_unsent() {
            let Some(home) = self.home(version.as_str()) else {
                continue;
            };
            let frame = Frame::Evidence {
                entry: self.settings.incarnation,
                version,
                evidence,
            };
            out.push(Output::Send(home, frame));
        }
    }

    /// Returns the link to the sidecar that keeps soft state about a subject.
    fn home(&self, subject: &str) -> Option<Link> {
        let staying = || self.peers.iter().filter(|(_, p)| !p.leaving);
        let upstream = subset::home(subject, staying().map(|(_, p)| &p.upstream))?;
        staying()
            .find(|(_, p)| p.upstream == *upstream)
            .map(|(link, _)| link)
    }
}

/// Returns the price of an average answer, in nano-units of the currency.
fn price(tree: &Tree, version: &VersionId) -> f64 {
    tree.version(version).map_or(0.0, |v| {
        let cost = v.price_in.cost(PROMPT_TOKENS) + v.price_out.cost(ANSWER_TOKENS);
        cost.0 as f64
    })
}
