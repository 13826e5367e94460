//! Processes ratings and sends periodic reports of demand and evidence.

use super::flight::{Flight, Goal};
use super::*;
use crate::cascade::Prices;
use crate::subset;
use crate::wire::Confidence;

/// The interval of reports to home sidecars.
const REPORT_INTERVAL: Span = Span::from_millis(500);
/// The maximum wait of a request for a configuration that its upstream already has.
const MAX_TREE_WAIT: Span = Span::from_millis(300);
/// The interval at which all evidence is sent again, in case a home sidecar lost it.
const RESEND_INTERVAL: Span = Span::from_millis(10_000);
/// The prompt and answer tokens of an average request, for comparing prices.
const PROMPT_TOKENS: u64 = 200;
const ANSWER_TOKENS: u64 = 100;

/// The interval between updates of the slowdowns of upstreams.
const SPEED_INTERVAL: Span = Span::from_millis(500);

impl Entry {
    /// Submits an answer for rating if it is sampled.
    pub(super) fn submit_sample(
        &mut self,
        flight: &Flight,
        confidence: Option<Confidence>,
        delivered: bool,
        out: &mut Outputs,
    ) {
        let Some(version) = flight.version() else {
            return;
        };
        // The capacity of the rating service goes to versions on trial first: all their answers are
        // rated.
        let share = match self.settings.judge {
            Judge::Sequential if monitor::is_on_trial(&self.tree, version) => 1.0,
            _ => self.settings.sample.fraction(),
        };
        if flight.status >= 300 || self.rng.random::<f64>() >= share {
            return;
        }
        let cascade = match (&flight.goal, flight.is_buffered()) {
            (Goal::Cascade(name, step), true) => Some((name.clone(), *step)),
            _ => None,
        };
        out.push(Output::Rate(Sample {
            run: flight.run,
            version: version.clone(),
            class: flight.context.class,
            cascade,
            confidence: confidence.map(|c| c.0),
            delivered,
            answer: flight.body.clone(),
        }));
    }

    pub(super) fn on_rated(&mut self, rating: Rating, out: &mut Outputs) {
        let Rating { sample, score } = rating;
        if self
            .monitor
            .record_rating(&self.tree, &sample.version, score)
        {
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

    /// Returns the policy of a step, with the target and prices of the current tree.
    pub(super) fn policy_mut(
        &mut self,
        name: &CascadeId,
        step: usize,
        class: Class,
    ) -> Option<&mut cascade::Policy> {
        let cascade = self.tree.cascade(name.as_str())?;
        let target = cascade.target.fraction();
        let cheap = price(&self.tree, &cascade.steps.get(step)?.version);
        let expensive = price(&self.tree, &cascade.steps.get(step + 1)?.version);
        let prices = Prices { cheap, expensive };
        let policy = self
            .cascades
            .entry((name.clone(), step, class))
            .or_insert_with(|| cascade::Policy::new(target, prices));
        policy.set(target, prices);
        Some(policy)
    }

    /// Updates the slowdowns of upstreams and reports the own runs to the other entries.
    fn refresh_speeds(&mut self, now: Time, out: &mut Outputs) {
        if now.since(self.speeds_refreshed) < SPEED_INTERVAL {
            return;
        }
        self.speeds_refreshed = now;
        self.peers.expire_notices(now);
        let sums = self.peers.refresh_speeds(now);
        if !sums.is_empty() {
            out.push(Output::SpeedSums(sums));
        }
    }

    pub(super) fn tick(&mut self, now: Time, out: &mut Outputs) {
        self.end_at_stop(now, out);
        self.handle_pending(now, out);
        self.check_routed(now, out);
        self.judge_parts(now);
        self.refresh_speeds(now, out);
        if let Some(batch) = self.spool.due_orphans(now, self.draining) {
            out.push(Output::Write(batch));
        }
        for request in self.waiting_requests(|since| now.since(since) >= MAX_TREE_WAIT) {
            let message = "the configuration of the upstream is newer";
            let failure = Failure::not_run(Reason::Stale, message).retry_after(MAX_TREE_WAIT);
            self.fail(now, request, failure, out);
        }
        if now.since(self.last_report) < REPORT_INTERVAL {
            return;
        }
        self.last_report = now;
        if now.since(self.last_resend) >= RESEND_INTERVAL {
            self.last_resend = now;
            self.monitor.mark_unsent();
        }
        self.report_demand(now, out);
        self.report_evidence(out);
    }

    fn report_demand(&mut self, now: Time, out: &mut Outputs) {
        for demand in self.limits.report(now) {
            let Some(home) = self.home_link(demand.account.as_str()) else {
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
        for (version, evidence) in self.monitor.take_unsent() {
            let Some(home) = self.home_link(version.as_str()) else {
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

    /// Returns the link to the home sidecar, which keeps the soft state of a subject.
    fn home_link(&self, subject: &str) -> Option<Link> {
        let active = || self.peers.iter().filter(|(_, p)| !p.leaving);
        let upstream = subset::home(subject, active().map(|(_, p)| &p.upstream))?;
        active()
            .find(|(_, p)| p.upstream == *upstream)
            .map(|(link, _)| link)
    }
}

/// Returns the price of an average request, in nano-units of the currency.
fn price(tree: &Tree, version: &VersionId) -> f64 {
    tree.version(version).map_or(0.0, |v| {
        let cost = v.price_in.cost(PROMPT_TOKENS) + v.price_out.cost(ANSWER_TOKENS);
        cost.0 as f64
    })
}
