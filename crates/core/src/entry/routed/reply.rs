//! Handles the answers of upstreams to routed requests.

use super::second::Sign;
use super::*;
use crate::escalation::{Dropped, Next, Price, LATE_VALUE};
use crate::release::SESSION_TTL;
use crate::tree::Repeat;

/// The most answers of which it is not known whether their upstreams are gone: a check takes at most
/// some 200 ms.
const MAX_UNCHECKED: usize = 1_024;

/// The action on the head of an answer.
enum HeadAction {
    /// Send it to the caller.
    Forward,
    /// Escalate to the model with this index.
    Escalate(Escalation),
    /// Retry at another upstream.
    Retry(Failure),
}

/// The model that is asked next, and why the answer is dropped for it.
struct Escalation {
    /// The index of the model in the sizes of the route.
    model: usize,
    why: Why,
}

/// Why an answer is dropped for that of a larger model.
enum Why {
    /// Its confidence is below the threshold.
    Unsure,
    /// The answer of the larger model is worth more at this price of an upstream's second.
    Worth(Price, Dropped),
}

impl Entry {
    /// Handles an event of a run at an upstream that is called directly.
    pub(in crate::entry) fn on_reply(
        &mut self,
        now: Time,
        link: Link,
        run: Run,
        reply: Reply,
        out: &mut Outputs,
    ) {
        match reply {
            Reply::Paused | Reply::Continued | Reply::Checked { .. } => {}
            _ => self.peers.heard_from(link, now),
        }
        match reply {
            Reply::Head(head) => {
                self.peers.answered(link, now);
                let sent_at = self.sent_at(run, head.status);
                self.apply_notice(link, head.notice, head.load, sent_at, now);
                self.update_run(run, |state| state.heard_at = now);
                self.on_head_of_either(now, link, run, head, out);
            }
            Reply::Notice(notice, load) => {
                self.apply_notice(link, notice, load, Time::default(), now)
            }
            Reply::Data { data, last_event } => {
                self.record_interval(now, run);
                self.update_run(run, |state| state.heard_at = now);
                self.settle_runs(now, run, Sign::Speaks, out);
                self.on_routed_data(run, data, last_event, out);
            }
            Reply::Paused => self.update_run(run, |state| state.reading = Reading::Paused),
            Reply::Continued => {
                self.update_run(run, |state| state.reading = Reading::Continued(now));
            }
            Reply::End => {
                self.settle_runs(now, run, Sign::Speaks, out);
                if let Some(flight) = self.end_routed(now, link, run, out) {
                    self.record_answered(now, &flight);
                }
            }
            Reply::Closed => {
                self.settle_runs(now, run, Sign::Speaks, out);
                if let Some(flight) = self.end_routed(now, link, run, out) {
                    self.unchecked.insert(run, flight);
                    if self.unchecked.len() > MAX_UNCHECKED {
                        self.unchecked.pop_first();
                    }
                }
            }
            Reply::Checked { is_gone } => self.on_checked(now, run, is_gone),
            Reply::Fail(failure) if self.is_second(run) => {
                self.on_second_failure(now, link, run.request, &failure);
            }
            Reply::Fail(failure) => self.on_routed_failure(now, link, run, failure, out),
        }
    }

    /// Handles the head of an answer of one of the runs of a request.
    fn on_head_of_either(
        &mut self,
        now: Time,
        link: Link,
        run: Run,
        head: Head,
        out: &mut Outputs,
    ) {
        let flight = self.flights.get(&run.request);
        let has_begun = flight.is_some_and(|flight| flight.head_sent);
        let sign = match (has_begun, head.status) {
            (false, ..500) => Sign::Speaks,
            (true, ..300) => Sign::Neutral,
            _ => Sign::Fails,
        };
        let is_second = self.is_second(run);
        if self.settle_runs(now, run, sign, out) {
            return self.on_routed_head(now, link, run, head, out);
        }
        if is_second && sign == Sign::Fails {
            let message = format!("the upstream answered {}", head.status);
            let failure = Failure::new(Reason::UpstreamFailed, Verdict::Ran, message);
            out.push(Output::Send(link, Frame::Cancel(run)));
            self.on_second_failure(now, link, run.request, &failure);
        }
    }

    /// Records the time since the last event of a stream that is read as it comes.
    fn record_interval(&mut self, now: Time, run: Run) {
        let Some(flight) = self.flights.get(&run.request).filter(|f| f.run == run) else {
            return;
        };
        let Some(state) = flight.route_state.as_ref().filter(|s| s.route.stream) else {
            return;
        };
        if flight.parts > 0 && state.run.reading == Reading::Steady {
            let patience = self.intervals.patience(&flight.pool);
            let interval = now.since(state.run.heard_at).min(patience);
            self.intervals.record(&flight.pool, interval);
        }
    }

    /// Applies the notice and load in the answer to a request that was sent at `sent_at`.
    fn apply_notice(
        &mut self,
        link: Link,
        notice: Notice,
        load: Option<(u32, u32, u32)>,
        sent_at: Time,
        now: Time,
    ) {
        if let Some(load) = load {
            self.record_load(link, load, now);
        }
        self.peers.apply_notice(link, notice, sent_at, now);
    }

    /// Returns when a run was sent. Returns the earliest time for an error or for a run that was
    /// dropped, since a notice missing from such an answer does not revoke an earlier one.
    fn sent_at(&mut self, run: Run, status: u16) -> Time {
        let flight = self.flight(run).filter(|_| status < 500);
        let route_state = flight.and_then(|flight| flight.route_state.as_ref());
        route_state.map_or(Time::default(), |route_state| route_state.run.sent_at)
    }

    fn on_routed_head(&mut self, now: Time, link: Link, run: Run, head: Head, out: &mut Outputs) {
        let Head {
            status,
            headers,
            confidence,
            ..
        } = head;
        self.report_start(run, out);
        let Some(flight) = self.flight(run) else {
            return;
        };
        flight.verdict = Verdict::Ran;
        if flight.head_sent && status < 300 {
            // A resumed stream keeps the head of its first run.
            self.history
                .set_outcome(run.request, format!("went on with {status}"));
            return;
        }
        if flight.head_sent {
            let message = format!("the stream could not go on: {status}");
            let failure = Failure::new(Reason::UpstreamFailed, Verdict::Ran, message);
            self.record_release_start(now, run.request, false);
            self.peers.failed(link, now);
            self.cancel_run(link, run, out);
            return self.retry_routed_or_fail(now, run.request, failure, out);
        }
        flight.status = status;
        flight.headers = headers;
        self.finish_prefill(run.request, (status < 500).then_some(now));
        if status < 500 {
            self.record_latency(now, run.request);
        }
        self.record_release_start(now, run.request, status < 500);
        self.record_retry_outcome(run.request, status < 500);
        self.record_saturation(now, run.request);
        let has_second = self
            .flights
            .get(&run.request)
            .and_then(Flight::second)
            .is_some();
        if status >= 500 && has_second {
            let message = format!("the upstream answered {status}");
            let failure = Failure::new(Reason::UpstreamFailed, Verdict::Ran, message);
            self.history.set_outcome(run.request, failure.to_string());
            self.record_error(now, run.request, link);
            self.cancel_run(link, run, out);
            return self.retry_routed_or_fail(now, run.request, failure, out);
        }
        match self.head_action(now, run.request, link, status, confidence) {
            HeadAction::Forward => {
                let took = self.run_age_ms(now, run.request);
                self.history
                    .set_outcome(run.request, format!("answered {status} after {took}ms"));
                if status >= 500 {
                    self.peers.returned_error(link, now);
                }
                self.forward_head(now, run.request, out);
            }
            HeadAction::Escalate(escalation) => {
                self.escalate_routed(now, link, run, confidence, escalation, out)
            }
            HeadAction::Retry(failure) => {
                let took = self.run_age_ms(now, run.request);
                self.history.set_outcome(
                    run.request,
                    format!("answered {status} after {took}ms, not given"),
                );
                self.record_error(now, run.request, link);
                self.cancel_run(link, run, out);
                self.retry_routed_or_fail(now, run.request, failure, out);
            }
        }
    }

    /// Reports that a request of a client account started to run, once per request.
    fn report_start(&mut self, run: Run, out: &mut Outputs) {
        let enabled = self.settings.reports_starts;
        let Some(flight) = self.flight(run).filter(|_| enabled) else {
            return;
        };
        let is_first = flight.verdict != Verdict::Ran;
        if is_first && flight.context.node.account.is_some() {
            out.push(Output::RequestStarted(flight.context.account.clone()));
        }
    }

    /// Records an error that is not delivered against its upstream. An engine is avoided for a
    /// while; an error of a plain service may be caused by the request itself.
    fn record_error(&mut self, now: Time, request: RequestId, link: Link) {
        let flight = self.flights.get_mut(&request);
        match flight.and_then(|f| f.route_state.as_mut()) {
            Some(route_state) if !route_state.route.stream => {
                route_state.retries_error = true;
                self.peers.returned_error(link, now);
            }
            _ => self.peers.failed(link, now),
        }
    }

    fn head_action(
        &mut self,
        now: Time,
        request: RequestId,
        link: Link,
        status: u16,
        confidence: Option<Confidence>,
    ) -> HeadAction {
        let has_budget = status >= 500 && self.has_retry_budget(now, request);
        let Some(flight) = self.flights.get(&request) else {
            return HeadAction::Forward;
        };
        let Some(route_state) = &flight.route_state else {
            return HeadAction::Forward;
        };
        let may_rerun = route_state.runs < route_state.route.tries
            && !flight.at_most_once
            && now < flight.deadline;
        // An error of an upstream that failed before is attributed to the upstream.
        let retry = has_budget
            && may_rerun
            && (route_state.route.stream
                || self.peers.is_failing(link)
                || self
                    .retry_outcomes
                    .should_retry(&flight.pool, &route_state.name));
        if retry {
            let message = format!("the upstream answered {status}");
            let failure = Failure::new(Reason::UpstreamFailed, Verdict::Ran, message);
            return HeadAction::Retry(failure);
        }
        let Some(confidence) = confidence.filter(|_| status < 300) else {
            return HeadAction::Forward;
        };
        if let Some((next, price)) = self.weigh(now, request, confidence) {
            return self.weighed_action(now, request, next, price, may_rerun);
        }
        let Some(flight) = self.flights.get(&request) else {
            return HeadAction::Forward;
        };
        let Some(route_state) = &flight.route_state else {
            return HeadAction::Forward;
        };
        let threshold =
            self.confidence_threshold(&route_state.route) * self.saturation.headroom(&flight.pool);
        let threshold = threshold * self.largest_model_value(now, flight, route_state);
        let threshold = Confidence(threshold);
        let largest = route_state.route.sizes.len().saturating_sub(1);
        match confidence < threshold
            && route_state.size_index < largest
            && may_rerun
            && self.charge_retry(now, request, true)
        {
            true => HeadAction::Escalate(Escalation {
                model: largest,
                why: Why::Unsure,
            }),
            false => HeadAction::Forward,
        }
    }

    /// Returns the action on an answer that was weighed, as far as the request may run again.
    fn weighed_action(
        &mut self,
        now: Time,
        request: RequestId,
        next: Next,
        price: Price,
        may_rerun: bool,
    ) -> HeadAction {
        let (next, action) = match next {
            Next::Escalate(model, dropped)
                if may_rerun && self.charge_retry(now, request, true) =>
            {
                let why = Why::Worth(price, dropped);
                (next, HeadAction::Escalate(Escalation { model, why }))
            }
            _ => (Next::Keep, HeadAction::Forward),
        };
        self.count_answer(request, next);
        action
    }

    /// Returns the age of the current run in milliseconds.
    fn run_age_ms(&self, now: Time, request: RequestId) -> u64 {
        let flight = self.flights.get(&request);
        let sent = flight
            .and_then(|f| f.route_state.as_ref())
            .map(|t| t.run.sent_at);
        sent.map_or(0, |sent| now.since(sent).millis())
    }

    /// Returns whether the budget allows another retry.
    pub(super) fn has_retry_budget(&mut self, now: Time, request: RequestId) -> bool {
        let pool = self.flights.get(&request).map(|f| f.pool.clone());
        let entries = self.entries;
        pool.is_some_and(|pool| self.budget(&pool).can_withdraw(now, entries))
    }

    /// Returns the minimum confidence at which the answer of a smaller model is delivered.
    fn confidence_threshold(&self, route: &Route) -> f64 {
        let ranks = &self.settings.confidence_thresholds;
        let rank = usize::from(route.rank).min(ranks.len() - 1);
        ranks[rank].fraction()
    }

    /// Returns the fraction of its value that an answer of the largest model would earn: less if it
    /// would start late while the available answer is on time.
    fn largest_model_value(&self, now: Time, flight: &Flight, route_state: &RouteState) -> f64 {
        let Some(model) = route_state.route.sizes.last() else {
            return 1.0;
        };
        let workload = Workload::Model(flight.pool.clone(), model.clone());
        // The shared prefix is usually cached.
        let shared = flight.shared_prefix().map_or(0, |p| p.tokens);
        let uncached = flight.prompt_tokens().saturating_sub(shared);
        let waited = now.since(flight.started_at);
        let expected = waited + self.usual_time(&flight.pool, &workload, uncached, now);
        let objective = route_state.route.objective;
        match waited <= objective && expected > objective {
            true => LATE_VALUE,
            false => 1.0,
        }
    }

    /// Drops the answer of a smaller model and escalates to a larger one.
    fn escalate_routed(
        &mut self,
        now: Time,
        link: Link,
        run: Run,
        confidence: Option<Confidence>,
        escalation: Escalation,
        out: &mut Outputs,
    ) {
        let Escalation { model, why } = escalation;
        self.peers.succeeded(link);
        self.cancel_run(link, run, out);
        let confidence = confidence.map_or(0.0, |c| c.0);
        let took = self.run_age_ms(now, run.request);
        let Some(flight) = self.flights.get_mut(&run.request) else {
            return;
        };
        let mut outcome = format!("dropped, confidence {confidence}, after {took}ms");
        if let (Why::Worth(price, _), Some(route_state)) = (&why, &flight.route_state) {
            let next = &route_state.route.sizes[model];
            outcome += &format!(", price {price}, next {next}");
        }
        self.history.set_outcome(run.request, outcome);
        flight.run = flight.run.next_step();
        flight.tried.clear();
        if let Some(route_state) = &mut flight.route_state {
            route_state.last_attempt = 0;
            route_state.refused_runs = 0;
            route_state.size_index = model;
            route_state.dropped = match why {
                Why::Unsure => None,
                Why::Worth(_, dropped) => Some(dropped),
            };
        }
        self.dispatch(now, run.request, out);
    }

    /// Cancels a run at its upstream and counts it as ended.
    fn cancel_run(&mut self, link: Link, run: Run, out: &mut Outputs) {
        out.push(Output::Send(link, Frame::Cancel(run)));
        self.finish_run(run.request);
    }

    /// Sends the upstream's head to the caller unchanged.
    fn forward_head(&mut self, now: Time, request: RequestId, out: &mut Outputs) {
        let Some(flight) = self.flights.get_mut(&request) else {
            return;
        };
        flight.head_sent = true;
        flight.first_byte_at = Some(now);
        let status = flight.status;
        let headers = std::mem::take(&mut flight.headers);
        out.push(Output::Answer(request, Part::Head { status, headers }));
    }

    fn on_routed_data(
        &mut self,
        run: Run,
        data: Vec<u8>,
        last_event: Option<u64>,
        out: &mut Outputs,
    ) {
        let Some(flight) = self.flight(run) else {
            return;
        };
        flight.parts += 1;
        if let (Some(route_state), Some(last_event)) = (&mut flight.route_state, last_event) {
            route_state.last_event = Some(last_event);
        }
        out.push(Output::Answer(run.request, Part::Data(data)));
    }

    /// Delivers the end of an answer; returns the request if the run was its current one.
    fn end_routed(&mut self, now: Time, link: Link, run: Run, out: &mut Outputs) -> Option<Flight> {
        self.flight(run)?;
        self.finish_run(run.request);
        self.record_event_interval(now, run.request);
        self.record_make_time(now, run.request, link);
        let flight = self.flights.remove(&run.request)?;
        if flight.status < 500 {
            self.peers.succeeded(link);
        }
        self.record_rest(now, &flight);
        self.set_session_affinity(now, &flight, SESSION_TTL);
        out.push(Output::Answer(run.request, Part::End));
        out.push(Output::RequestEnded(answer::summarize(&flight, now, None)));
        Some(flight)
    }

    fn on_routed_failure(
        &mut self,
        now: Time,
        link: Link,
        run: Run,
        failure: Failure,
        out: &mut Outputs,
    ) {
        let Some(flight) = self.flight(run) else {
            return;
        };
        flight.verdict = flight.verdict.raise(failure.verdict);
        flight.last_failure = Some(failure.clone());
        if failure.reason == Reason::ConnectionClosed {
            // The upstream may be sound, and the only one.
            flight.tried.retain(|tried| *tried != link);
        }
        self.record_failed_run(now, link, &failure);
        if failure.reason == Reason::UpstreamLost {
            self.record_crash(now, run.request);
        }
        self.finish_run(run.request);
        self.history.set_outcome(run.request, failure.to_string());
        self.retry_routed_or_fail(now, run.request, failure, out);
    }

    /// Records what the failure of a run says about its upstream, except that it crashed.
    pub(super) fn record_failed_run(&mut self, now: Time, link: Link, failure: &Failure) {
        // An upstream that announced how long it accepts no requests is not avoided for longer.
        let announced_pause =
            failure.reason == Reason::Overloaded && self.peers.is_resting(link, now);
        if failure.reason != Reason::Cancelled && !announced_pause {
            self.peers.failed(link, now);
        }
        if failure.reason == Reason::LinkLost {
            self.peers.suspect_restart(link);
        }
    }

    /// Retries a request after a failed run, or ends it.
    fn retry_routed_or_fail(
        &mut self,
        now: Time,
        request: RequestId,
        failure: Failure,
        out: &mut Outputs,
    ) {
        if self.promote_second(request) {
            return;
        }
        match self.may_retry(now, request, &failure) {
            true => {
                if let Some(flight) = self.flights.get_mut(&request) {
                    flight.run = flight.next_attempt();
                }
                self.dispatch(now, request, out);
            }
            false => self.fail(now, request, failure, out),
        }
    }

    /// Returns whether a request may be retried after a failed run, and charges the retry.
    fn may_retry(&mut self, now: Time, request: RequestId, failure: &Failure) -> bool {
        let Some(flight) = self.flights.get(&request) else {
            return false;
        };
        let Some(route_state) = &flight.route_state else {
            return false;
        };
        let not_run = failure.verdict == Verdict::NotRun;
        if now >= flight.deadline || flight.counted_attempts() + 1 >= MAX_ATTEMPTS {
            return false;
        }
        let may_resume = route_state.route.repeat == Repeat::Resume;
        if flight.head_sent && !may_resume {
            return false;
        }
        if failure.reason == Reason::UpstreamLost && !self.may_retry_after_crash(now, request) {
            return false;
        }
        if not_run {
            // The limit on runs does not apply, because nothing ran: otherwise a stream breaks off
            // when an upstream refuses to resume it. A refusal still counts as reaching the
            // upstream.
            let may_run = flight.verdict.may_repeat() || !flight.at_most_once;
            return may_run && self.charge_retry(now, request, failure.reason != Reason::LinkLost);
        }
        if flight.at_most_once || route_state.runs >= route_state.route.tries {
            return false;
        }
        self.charge_retry(now, request, true)
    }

    /// Charges the retry budget for another attempt; returns whether it sufficed. `reached` says
    /// whether the current run reached its upstream: an attempt costs a retry only if an earlier
    /// run reached one.
    pub(super) fn charge_retry(&mut self, now: Time, request: RequestId, reached: bool) -> bool {
        let Some(flight) = self.flights.get(&request) else {
            return false;
        };
        let Some(route_state) = &flight.route_state else {
            return false;
        };
        let runs_reached = route_state.runs_reached + u16::from(reached);
        let must_charge = runs_reached > route_state.charged;
        let pool = flight.pool.clone();
        if must_charge && !self.withdraw_retry(now, &pool) {
            return false;
        }
        if let Some(route_state) = self
            .flights
            .get_mut(&request)
            .and_then(|f| f.route_state.as_mut())
        {
            route_state.runs_reached = runs_reached;
            route_state.charged += u16::from(must_charge);
        }
        true
    }
}
