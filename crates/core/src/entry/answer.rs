//! Handles the frames of sidecars, delivers answers and recovers from failed attempts.

use super::flight::{Buffered, Flight, Goal};
use super::*;
use crate::header;
use crate::notice::Notice;
use crate::pick::Placement;
use crate::release::SESSION_TTL;
use crate::wire::{Confidence, Header, Usage, Welcome};

/// What the end of a run reports.
struct Finish {
    usage: Usage,
    confidence: Option<Confidence>,
}

impl Entry {
    pub(super) fn on_frame(&mut self, now: Time, link: Link, frame: Frame, out: &mut Outputs) {
        match frame {
            Frame::Welcome(welcome) => self.welcome(now, link, welcome, out),
            Frame::Head {
                run,
                status,
                headers,
                load,
            } => {
                self.peers.report(link, load, now);
                self.peers.answered(link, now);
                self.apply_pause(link, header::retry_after(status, &headers), now);
                self.on_head(now, run, status, headers, out);
            }
            Frame::Data { run, seq, data } => self.on_data(now, run, seq, data, out),
            Frame::End {
                run,
                parts,
                usage,
                confidence,
                record,
                load,
            } => {
                self.on_run_end(now, link, run, load, record);
                let finish = Finish { usage, confidence };
                self.on_end(now, run, parts, finish, out);
            }
            Frame::Fail {
                run,
                failure,
                record,
                load,
            } => {
                self.on_run_end(now, link, run, load, record);
                let is_upstream_error = failure.reason == Reason::UpstreamFailed;
                if is_upstream_error && failure.verdict == Verdict::NotRun {
                    self.apply_pause(link, failure.retry_after, now);
                }
                self.on_failure(now, run, failure, out);
            }
            Frame::Load(load) => self.peers.report(link, load, now),
            Frame::Goodbye => self.peers.mark_leaving(link),
            Frame::Revision(revision) => self.compare_revisions(link, revision, out),
            Frame::FetchChanges(revision) => out.push(Output::Ahead(link, revision)),
            Frame::Billed(runs) => self.spool.remove(&runs),
            Frame::Grant { account, share } if !self.settings.even_limits => {
                self.limits.set_share(&account, share, now);
            }
            Frame::PooledEvidence {
                version,
                evidence,
                bad,
            } => {
                if self.monitor.merge_pooled(&version, evidence, bad) {
                    out.push(Output::Suspect(version));
                }
            }
            Frame::Quarantine(updates) => {
                for update in updates {
                    self.apply_quarantine_update(now, update);
                }
            }
            Frame::FetchTables(_)
            | Frame::Tables(_)
            | Frame::Follow(_)
            | Frame::Feed(_)
            | Frame::Start(_)
            | Frame::Cancel(_)
            | Frame::Changes(_)
            | Frame::Snapshot { .. }
            | Frame::Demand { .. }
            | Frame::Grant { .. }
            | Frame::Evidence { .. } => {}
        }
    }

    fn welcome(&mut self, now: Time, link: Link, welcome: Welcome, out: &mut Outputs) {
        self.peers
            .join(link, welcome.upstream, &welcome.pool, welcome.load);
        let place = Placement {
            hall: Some(welcome.hall),
            ..Placement::default()
        };
        self.peers.set_placement(link, place);
        // Notices that still hold are repeated by the sidecar with its next refusal.
        self.peers.forget_notices(link);
        self.peers.joined(link, now);
        self.peers.report(link, welcome.load, now);
        self.compare_revisions(link, welcome.revision, out);
    }

    fn compare_revisions(&self, link: Link, theirs: Revision, out: &mut Outputs) {
        let own = self.tree.revision();
        if theirs > own {
            out.push(Output::Behind(link));
        }
        if theirs < own {
            out.push(Output::Ahead(link, theirs));
        }
    }

    /// Processes the load and the bill record at the end of a run, even if the run is no longer
    /// current.
    fn on_run_end(
        &mut self,
        now: Time,
        link: Link,
        run: Run,
        load: crate::wire::Load,
        record: Option<Record>,
    ) {
        self.peers.report(link, load, now);
        if let Some(record) = record {
            self.spool_record(record, link, now);
        }
        let current = self.flights.get(&run.request).is_some_and(|f| f.run == run);
        if current {
            self.finish_run(run.request);
        }
    }

    /// Records that an upstream behind a sidecar asked to receive no requests for this long.
    fn apply_pause(&mut self, link: Link, pause: Option<Span>, now: Time) {
        let notice = Notice {
            pause,
            ..Notice::default()
        };
        self.peers.apply_notice(link, notice, Time::default(), now);
    }

    /// Removes the current run of a request from its upstream and from the count of its version.
    pub(super) fn finish_run(&mut self, request: RequestId) {
        self.finish_prefill(request, None);
        let Some(flight) = self.flights.get_mut(&request) else {
            return;
        };
        let Some(link) = flight.link.take() else {
            return;
        };
        self.peers.ended(link);
        if let Some(version) = flight.version() {
            if let Some(n) = self.running.get_mut(version) {
                *n = n.saturating_sub(1);
            }
        }
    }

    /// Returns the in-flight request whose current run this is.
    pub(super) fn flight(&mut self, run: Run) -> Option<&mut Flight> {
        self.flights.get_mut(&run.request).filter(|f| f.run == run)
    }

    fn on_head(
        &mut self,
        now: Time,
        run: Run,
        status: u16,
        headers: Vec<Header>,
        out: &mut Outputs,
    ) {
        let Some(flight) = self.flight(run) else {
            return;
        };
        flight.verdict = Verdict::Ran;
        flight.past_deadline = now > flight.deadline;
        flight.status = status;
        flight.headers = headers;
        if flight.is_buffered() {
            return;
        }
        self.send_head(now, run.request, out);
    }

    /// Sends the head of the answer to the caller, with the headers that sorreldeck adds.
    fn send_head(&mut self, now: Time, request: RequestId, out: &mut Outputs) {
        let token = self.seal_session(request);
        let Some(flight) = self.flights.get_mut(&request) else {
            return;
        };
        let is_first = !flight.head_sent;
        let mut headers = flight.headers.clone();
        headers.push(Header::new(header::REQUEST, request));
        headers.push(Header::new(header::VERDICT, Verdict::Ran));
        if let Some(choice) = &flight.choice {
            headers.push(Header::new(header::VERSION, &choice.version));
            if let Cause::Moved(from) = &choice.cause {
                headers.push(Header::new(header::SESSION_MOVED, from));
            }
        }
        if let Some(upstream) = &flight.upstream {
            headers.push(Header::new(header::UPSTREAM, upstream));
        }
        if let Some(token) = token {
            headers.push(Header::new(header::SESSION, token));
        }
        flight.head_sent = true;
        flight.first_byte_at = Some(now);
        let status = flight.status;
        if self.invariants.check(Invariant::WholeAnswer, is_first) {
            out.push(Output::Answer(request, Part::Head { status, headers }));
        }
    }

    fn seal_session(&mut self, request: RequestId) -> Option<String> {
        let nonce = self.nonce();
        let flight = self.flights.get(&request)?;
        let session = Session {
            account: flight.context.account.clone(),
            model: flight.chat()?.model.clone(),
            version: flight.version()?.clone(),
            upstream: flight.upstream.clone(),
        };
        Some(self.settings.keys.seal(&session, nonce))
    }

    fn on_data(&mut self, now: Time, run: Run, seq: u32, data: Vec<u8>, out: &mut Outputs) {
        let sampled = self.settings.sample > Share::NONE;
        let Some(flight) = self.flight(run) else {
            return;
        };
        let in_order = flight.parts == seq;
        flight.parts += 1;
        let buffered = flight.is_buffered();
        if buffered || (sampled && flight.chat().is_some()) {
            flight.body.extend_from_slice(&data);
        }
        if !self.invariants.check(Invariant::WholeAnswer, in_order) {
            let message = "a part of the answer is missing";
            let failure = Failure::new(Reason::Invariant, Verdict::Ran, message);
            return self.abort_run(now, run, failure, out);
        }
        if !buffered {
            out.push(Output::Answer(run.request, Part::Data(data)));
        }
    }

    /// Fails a request and cancels its current run if that is under way.
    pub(super) fn abort_run(&mut self, now: Time, run: Run, failure: Failure, out: &mut Outputs) {
        if let Some(link) = self.flight(run).and_then(|f| f.link) {
            out.push(Output::Send(link, Frame::Cancel(run)));
        }
        self.finish_run(run.request);
        self.fail(now, run.request, failure, out);
    }

    fn on_end(&mut self, now: Time, run: Run, parts: u32, finish: Finish, out: &mut Outputs) {
        let Some(flight) = self.flight(run) else {
            return;
        };
        let whole = flight.parts == parts;
        flight.verdict = Verdict::Ran;
        if !self.invariants.check(Invariant::WholeAnswer, whole) {
            let message = "the end of the answer is missing";
            let failure = Failure::new(Reason::Invariant, Verdict::Ran, message);
            return self.fail(now, run.request, failure, out);
        }
        self.history.set_outcome(run.request, "answered");
        let Some(flight) = self.flights.remove(&run.request) else {
            return;
        };
        self.record_answered(now, &flight);
        let failed = flight.past_deadline || flight.status >= 500;
        if let Some(version) = flight.version() {
            if self.monitor.record_answer(&self.tree, version, failed) {
                out.push(Output::Suspect(version.clone()));
            }
        }
        match flight.is_buffered() {
            true => self.evaluate(now, flight, finish, out),
            false => self.complete(now, flight, finish, out),
        }
    }

    fn complete(&mut self, now: Time, flight: Flight, finish: Finish, out: &mut Outputs) {
        let expected = flight.prompt_tokens() + flight.chat().map_or(0, |c| c.max_tokens);
        let used = finish.usage.prompt + finish.usage.generated;
        if flight.chat().is_some() {
            let beyond = used as f64 - f64::from(expected);
            self.limits.settle(&flight.context.account, beyond);
        } else {
            self.limits.settle(&flight.context.account, 0.0);
        }
        self.submit_sample(&flight, finish.confidence, true, out);
        out.push(Output::Answer(flight.request.request, Part::End));
        out.push(Output::RequestEnded(summarize(&flight, now, None)));
    }

    /// Accepts the answer of a cascade step or escalates to the next step.
    fn evaluate(&mut self, now: Time, mut flight: Flight, finish: Finish, out: &mut Outputs) {
        let Goal::Cascade(name, step) = flight.goal.clone() else {
            return;
        };
        let class = flight.context.class;
        let confidence = finish.confidence.map_or(0.0, |c| c.0);
        let draw = self.rng.random::<f64>();
        let next = self.next_step(&flight, &name, step);
        let policy = self.policy(&name, step, class);
        let accepted = next.is_none() || policy.is_some_and(|p| p.accepts(confidence, draw));
        if let Some(policy) = self.policy_mut(&name, step, class) {
            policy.observe(confidence);
        }
        self.submit_sample(&flight, finish.confidence, accepted, out);
        if !accepted {
            let buffered = Buffered {
                version: flight
                    .version()
                    .cloned()
                    .unwrap_or_else(|| unreachable!("a step has a version")),
                step,
                status: flight.status,
                headers: flight.headers.clone(),
                body: std::mem::take(&mut flight.body),
                confidence: finish.confidence,
            };
            flight.fallback = Some(buffered);
            return self.escalate(now, flight, name, next.unwrap_or(step + 1), out);
        }
        let body = std::mem::take(&mut flight.body);
        self.send_buffered(now, flight, body, finish, out);
    }

    fn next_step(&self, flight: &Flight, name: &CascadeId, step: usize) -> Option<usize> {
        let steps = &self.tree.cascade(name.as_str())?.steps;
        (step + 1..steps.len()).find(|i| {
            let version = &steps[*i].version;
            flight.context.node.allows_version(version) && route::takes_work(&self.tree, version)
        })
    }

    fn escalate(
        &mut self,
        now: Time,
        mut flight: Flight,
        name: CascadeId,
        step: usize,
        out: &mut Outputs,
    ) {
        let request = flight.request.request;
        flight.goal = Goal::Cascade(name, step);
        flight.run = Run {
            step: step as u16,
            ..flight.run.next_step()
        };
        flight.choice = None;
        flight.tried.clear();
        flight.parts = 0;
        self.flights.insert(request, flight);
        self.dispatch(now, request, out);
    }

    /// Delivers an answer that was buffered until the cascade accepted it.
    fn send_buffered(
        &mut self,
        now: Time,
        flight: Flight,
        body: Vec<u8>,
        finish: Finish,
        out: &mut Outputs,
    ) {
        let request = flight.request.request;
        let wants_stream = flight.chat().is_some_and(|c| c.stream);
        let succeeded = flight.status < 300;
        self.flights.insert(request, flight);
        if let (true, true, Some(flight)) =
            (wants_stream, succeeded, self.flights.get_mut(&request))
        {
            flight.headers = vec![Header::new("content-type", "text/event-stream")];
        }
        self.send_head(now, request, out);
        let data = match wants_stream && succeeded {
            true => as_stream(&body),
            false => body,
        };
        out.push(Output::Answer(request, Part::Data(data)));
        let Some(flight) = self.flights.remove(&request) else {
            return;
        };
        let expected = flight.prompt_tokens() + flight.chat().map_or(0, |c| c.max_tokens);
        let used = finish.usage.prompt + finish.usage.generated;
        let beyond = used as f64 - f64::from(expected);
        self.limits.settle(&flight.context.account, beyond);
        out.push(Output::Answer(request, Part::End));
        out.push(Output::RequestEnded(summarize(&flight, now, None)));
    }

    fn on_failure(&mut self, now: Time, run: Run, failure: Failure, out: &mut Outputs) {
        let Some(flight) = self.flight(run) else {
            return;
        };
        flight.verdict = flight.verdict.raise(failure.verdict);
        flight.last_failure = Some(failure.clone());
        let version = flight.version().cloned();
        if failure.reason == Reason::UpstreamLost {
            self.record_crash(now, run.request);
        }
        self.history.set_outcome(run.request, failure.to_string());
        let failed = [Reason::UpstreamFailed, Reason::UpstreamLost].contains(&failure.reason);
        if let Some(version) = version.filter(|_| failed) {
            if self.monitor.record_answer(&self.tree, &version, true) {
                out.push(Output::Suspect(version));
            }
        }
        self.retry_or_fail(now, run.request, failure, out);
    }

    /// Retries a request after a failed attempt if that is allowed, or ends it.
    pub(super) fn retry_or_fail(
        &mut self,
        now: Time,
        request: RequestId,
        failure: Failure,
        out: &mut Outputs,
    ) {
        if self
            .flights
            .get(&request)
            .is_some_and(|f| f.route_state.is_some())
        {
            return self.fail(now, request, failure, out);
        }
        match self.next_action(now, request, &failure) {
            Recovery::Retry if self.has_changed(request) => self.reselect(now, request, out),
            Recovery::Retry => {
                if let Some(flight) = self.flights.get_mut(&request) {
                    flight.run = flight.run.next_attempt();
                }
                self.dispatch(now, request, out);
            }
            Recovery::Reselect => self.reselect(now, request, out),
            Recovery::Wait => {
                if let Some(flight) = self.flights.get_mut(&request) {
                    flight.waiting_since = Some(now);
                }
            }
            Recovery::Fallback => self.send_fallback(now, request, out),
            Recovery::Fail => self.fail(now, request, failure, out),
        }
    }

    /// Returns whether the configuration changed since the last attempt.
    fn has_changed(&self, request: RequestId) -> bool {
        let flight = self.flights.get(&request);
        flight.is_some_and(|f| f.revision != self.tree.revision())
    }

    fn next_action(&mut self, now: Time, request: RequestId, failure: &Failure) -> Recovery {
        let Some(flight) = self.flights.get(&request) else {
            return Recovery::Fail;
        };
        let fallback = match flight.fallback {
            Some(_) => Recovery::Fallback,
            None => Recovery::Fail,
        };
        let repeatable = failure.verdict.may_repeat() || !flight.at_most_once;
        let time_left = now < flight.deadline;
        let attempts_left = flight.run.attempt + 1 < MAX_ATTEMPTS;
        if flight.head_sent || !repeatable || !time_left || !attempts_left {
            return fallback;
        }
        if failure.reason == Reason::UpstreamLost && !self.may_retry_after_crash(now, request) {
            return fallback;
        }
        let pool = flight.pool.clone();
        let next = match failure.reason {
            Reason::Overloaded
            | Reason::Leaving
            | Reason::LinkLost
            | Reason::UpstreamFailed
            | Reason::UpstreamLost
            | Reason::ForeignAnswer => Recovery::Retry,
            // The sidecar had a newer configuration than the entry.
            Reason::Withdrawn | Reason::Stale if flight.tried.is_empty() => return fallback,
            Reason::Withdrawn | Reason::Stale if flight.revision < self.tree.revision() => {
                Recovery::Reselect
            }
            Reason::Withdrawn | Reason::Stale => Recovery::Wait,
            _ => return fallback,
        };
        match self.withdraw_retry(now, &pool) {
            true => next,
            false => fallback,
        }
    }

    /// Delivers the answer of an earlier cascade step after a later step failed.
    fn send_fallback(&mut self, now: Time, request: RequestId, out: &mut Outputs) {
        let Some(mut flight) = self.flights.remove(&request) else {
            return;
        };
        let Some(fallback) = flight.fallback.take() else {
            return;
        };
        flight.status = fallback.status;
        flight.headers = fallback.headers;
        flight.run.step = fallback.step as u16;
        if let Some(choice) = &mut flight.choice {
            choice.version = fallback.version;
        }
        let finish = Finish {
            usage: Usage::default(),
            confidence: fallback.confidence,
        };
        self.send_buffered(now, flight, fallback.body, finish, out);
    }

    /// Ends a request without a complete answer.
    pub(super) fn fail(
        &mut self,
        now: Time,
        request: RequestId,
        failure: Failure,
        out: &mut Outputs,
    ) {
        self.drop_second(now, request, "the request ended", out);
        self.finish_run(request);
        let Some(flight) = self.flights.remove(&request) else {
            return;
        };
        let mut failure = failure;
        if failure.reason == Reason::NoUpstream {
            // The failure of an upstream tells the caller more than that no other upstream is left.
            let after = failure.retry_after;
            failure = flight.last_failure.clone().unwrap_or(failure);
            failure.retry_after = failure.retry_after.or(after);
        }
        failure.verdict = failure.verdict.raise(flight.verdict);
        if flight.route_state.is_some() && failure.verdict == Verdict::NotRun {
            failure.retry_after.get_or_insert(routed::MIN_RETRY_AFTER);
        }
        let truthful =
            failure.verdict != Verdict::NotRun || flight.current_verdict() == Verdict::NotRun;
        if !self.invariants.check(Invariant::NotRun, truthful) {
            failure.verdict = Verdict::MayHaveRun;
        }
        self.limits.settle(&flight.context.account, 0.0);
        self.set_session_affinity(now, &flight, SESSION_TTL);
        self.history
            .update(request, |d| d.failure = Some(failure.clone()));
        out.push(Output::RequestEnded(summarize(
            &flight,
            now,
            Some(failure.reason),
        )));
        out.push(Output::Answer(request, Part::Fail(failure)));
    }

    pub(super) fn on_disconnect(&mut self, now: Time, request: RequestId, out: &mut Outputs) {
        if self.drop_pending(now, request, out) {
            return;
        }
        let Some(flight) = self.flights.get(&request) else {
            return;
        };
        let (run, verdict) = (flight.run, flight.current_verdict());
        let failure = Failure::new(Reason::Cancelled, verdict, "the caller went away");
        self.abort_run(now, run, failure, out);
    }

    pub(super) fn on_link_down(&mut self, now: Time, link: Link, out: &mut Outputs) {
        self.peers.leave(link);
        self.spool.remove_link(link);
        self.monitor.mark_unsent();
        let mut lost: Vec<RequestId> = self
            .flights
            .iter()
            .filter(|(_, f)| f.links().any(|of_run| of_run == link))
            .map(|(request, _)| *request)
            .collect();
        lost.sort_unstable();
        for request in lost {
            let flight = self.flights.get(&request);
            if flight.is_some_and(|f| f.link != Some(link)) {
                self.drop_second(now, request, "link lost", out);
                continue;
            }
            self.finish_run(request);
            let Some(flight) = self.flights.get_mut(&request) else {
                continue;
            };
            flight.verdict = flight.verdict.raise(Verdict::MayHaveRun);
            let verdict = flight.verdict;
            let failure = Failure::new(Reason::LinkLost, verdict, "the link to the upstream broke");
            flight.last_failure = Some(failure.clone());
            self.history.set_outcome(request, "link lost");
            self.retry_or_fail(now, request, failure, out);
        }
    }
}

/// The reaction to a failed attempt.
enum Recovery {
    /// Retry at another upstream.
    Retry,
    /// Choose a version again.
    Reselect,
    /// Wait for the newer configuration, which is being distributed.
    Wait,
    /// Deliver the answer of an earlier cascade step.
    Fallback,
    /// End the request with the failure.
    Fail,
}

pub(super) fn summarize(flight: &Flight, now: Time, failure: Option<Reason>) -> Summary {
    Summary {
        request: flight.request.request,
        account: Some(flight.context.account.clone()),
        class: flight.context.class,
        plain: matches!(flight.request.payload, Payload::Plain(_)),
        first_byte: flight.first_byte_at.map(|t| t.since(flight.started_at)),
        duration: now.since(flight.started_at),
        failure,
    }
}

/// Converts a complete answer to the event stream that the caller requested.
fn as_stream(body: &[u8]) -> Vec<u8> {
    let Ok(mut answer) = serde_json::from_slice::<serde_json::Value>(body) else {
        return body.to_vec();
    };
    if let Some(choices) = answer.get_mut("choices").and_then(|c| c.as_array_mut()) {
        for choice in choices {
            if let Some(choice) = choice.as_object_mut() {
                let message = choice.remove("message").unwrap_or_default();
                choice.remove("logprobs");
                choice.insert("delta".into(), message);
            }
        }
    }
    answer["object"] = "chat.completion.chunk".into();
    format!("data: {answer}\n\ndata: [DONE]\n\n").into_bytes()
}
