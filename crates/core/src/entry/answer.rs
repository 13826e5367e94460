//! What an entry does with the frames of a sidecar and with failures.

use super::flight::{Flight, Goal, Whole};
use super::*;
use crate::header;
use crate::notice::Notice;
use crate::pick::Placement;
use crate::release::SESSION_TTL;
use crate::wire::{Confidence, Header, Usage, Welcome};

/// An accepted answer of a cascade's step and what it is told by.
struct Finish {
    usage: Usage,
    confidence: Option<Confidence>,
}

impl Entry {
    pub(super) fn frame(&mut self, now: Time, link: Link, frame: Frame, out: &mut Outputs) {
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
                self.note_rest(link, header::retry_after(status, &headers), now);
                self.head(now, run, status, headers, out);
            }
            Frame::Data { run, seq, data } => self.data(now, run, seq, data, out),
            Frame::End {
                run,
                parts,
                usage,
                confidence,
                record,
                load,
            } => {
                self.report(now, link, run, load, record);
                let finish = Finish { usage, confidence };
                self.end(now, run, parts, finish, out);
            }
            Frame::Fail {
                run,
                failure,
                record,
                load,
            } => {
                self.report(now, link, run, load, record);
                let is_its_own = failure.reason == Reason::UpstreamFailed;
                if is_its_own && failure.verdict == Verdict::NotRun {
                    self.note_rest(link, failure.retry_after, now);
                }
                self.failed(now, run, failure, out);
            }
            Frame::Load(load) => self.peers.report(link, load, now),
            Frame::Goodbye => self.peers.mark_leaving(link),
            Frame::Revision(revision) => self.compare(link, revision, out),
            Frame::FetchChanges(revision) => out.push(Output::Ahead(link, revision)),
            Frame::Billed(runs) => self.held.remove(&runs),
            Frame::Grant { account, share } if !self.settings.even_limits => {
                self.limits.set_share(&account, share, now);
            }
            Frame::PooledEvidence {
                version,
                evidence,
                bad,
            } => {
                if self.watch.merge_pooled(&version, evidence, bad) {
                    out.push(Output::Suspect(version));
                }
            }
            Frame::Quarantine(words) => {
                for word in words {
                    self.take_word(now, word);
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
        // Its sidecar knows what still holds, and says it with the next refusal.
        self.peers.forget_notices(link);
        self.peers.joined(link, now);
        self.peers.report(link, welcome.load, now);
        self.compare(link, welcome.revision, out);
    }

    fn compare(&self, link: Link, theirs: Revision, out: &mut Outputs) {
        let own = self.tree.revision();
        if theirs > own {
            out.push(Output::Behind(link));
        }
        if theirs < own {
            out.push(Output::Ahead(link, theirs));
        }
    }

    /// Takes in what the end of a run tells, whether or not it is still wanted.
    fn report(
        &mut self,
        now: Time,
        link: Link,
        run: Run,
        load: crate::wire::Load,
        record: Option<Record>,
    ) {
        self.peers.report(link, load, now);
        if let Some(record) = record {
            self.hold_record(record, link, now);
        }
        let current = self.flights.get(&run.request).is_some_and(|f| f.run == run);
        if current {
            self.landed(run.request);
        }
    }

    /// Notes that an upstream behind a sidecar wants no requests for this long.
    fn note_rest(&mut self, link: Link, rest: Option<Span>, now: Time) {
        let notice = Notice {
            pause: rest,
            ..Notice::default()
        };
        self.peers.apply_notice(link, notice, Time::default(), now);
    }

    /// Notes that the run under way is no longer at its upstream.
    pub(super) fn landed(&mut self, request: RequestId) {
        self.end_reading(request);
        let Some(flight) = self.flights.get_mut(&request) else {
            return;
        };
        let Some(link) = flight.at.take() else {
            return;
        };
        self.peers.ended(link);
        if let Some(version) = flight.version() {
            if let Some(n) = self.running.get_mut(version) {
                *n = n.saturating_sub(1);
            }
        }
    }

    /// Returns the flight whose present run this is.
    pub(super) fn flight(&mut self, run: Run) -> Option<&mut Flight> {
        self.flights.get_mut(&run.request).filter(|f| f.run == run)
    }

    fn head(&mut self, now: Time, run: Run, status: u16, headers: Vec<Header>, out: &mut Outputs) {
        let Some(flight) = self.flight(run) else {
            return;
        };
        flight.verdict = Verdict::Ran;
        flight.late = now > flight.deadline;
        flight.status = status;
        flight.headers = headers;
        if flight.is_judged() {
            return;
        }
        self.give_head(now, run.request, out);
    }

    /// Gives the caller the head of the answer, with what sorreldeck adds.
    fn give_head(&mut self, now: Time, request: RequestId, out: &mut Outputs) {
        let token = self.seal_session(request);
        let Some(flight) = self.flights.get_mut(&request) else {
            return;
        };
        let once = !flight.headed;
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
        flight.headed = true;
        flight.first = Some(now);
        let status = flight.status;
        if self.promises.check(Invariant::WholeAnswer, once) {
            out.push(Output::Answer(request, Part::Head { status, headers }));
        }
    }

    fn seal_session(&mut self, request: RequestId) -> Option<String> {
        let nonce = self.nonce();
        let flight = self.flights.get(&request)?;
        let session = Session {
            account: flight.site.account.clone(),
            model: flight.chat()?.model.clone(),
            version: flight.version()?.clone(),
            upstream: flight.upstream.clone(),
        };
        Some(self.settings.keys.seal(&session, nonce))
    }

    fn data(&mut self, now: Time, run: Run, seq: u32, data: Vec<u8>, out: &mut Outputs) {
        let sampled = self.settings.sample > Share::NONE;
        let Some(flight) = self.flight(run) else {
            return;
        };
        let in_order = flight.parts == seq;
        flight.parts += 1;
        let judged = flight.is_judged();
        if judged || (sampled && flight.chat().is_some()) {
            flight.text.extend_from_slice(&data);
        }
        if !self.promises.check(Invariant::WholeAnswer, in_order) {
            let message = "a part of the answer is missing";
            let failure = Failure::new(Reason::Invariant, Verdict::Ran, message);
            return self.abandon(now, run, failure, out);
        }
        if !judged {
            out.push(Output::Answer(run.request, Part::Data(data)));
        }
    }

    /// Stops a run that goes on and fails its request.
    fn abandon(&mut self, now: Time, run: Run, failure: Failure, out: &mut Outputs) {
        if let Some(link) = self.flight(run).and_then(|f| f.at) {
            out.push(Output::Send(link, Frame::Cancel(run)));
        }
        self.landed(run.request);
        self.give_up(now, run.request, failure, out);
    }

    fn end(&mut self, now: Time, run: Run, parts: u32, finish: Finish, out: &mut Outputs) {
        let Some(flight) = self.flight(run) else {
            return;
        };
        let whole = flight.parts == parts;
        flight.verdict = Verdict::Ran;
        if !self.promises.check(Invariant::WholeAnswer, whole) {
            let message = "the end of the answer is missing";
            let failure = Failure::new(Reason::Invariant, Verdict::Ran, message);
            return self.give_up(now, run.request, failure, out);
        }
        self.history.outcome(run.request, "answered");
        let Some(flight) = self.flights.remove(&run.request) else {
            return;
        };
        self.note_answered(now, &flight);
        let failed = flight.late || flight.status >= 500;
        if let Some(version) = flight.version() {
            if self.watch.record_answer(&self.tree, version, failed) {
                out.push(Output::Suspect(version.clone()));
            }
        }
        match flight.is_judged() {
            true => self.judge(now, flight, finish, out),
            false => self.complete(now, flight, finish, out),
        }
    }

    fn complete(&mut self, now: Time, flight: Flight, finish: Finish, out: &mut Outputs) {
        let expected = flight.prompt_tokens() + flight.chat().map_or(0, |c| c.max_tokens);
        let used = finish.usage.prompt + finish.usage.generated;
        if flight.chat().is_some() {
            let beyond = used as f64 - f64::from(expected);
            self.limits.settle(&flight.site.account, beyond);
        } else {
            self.limits.settle(&flight.site.account, 0.0);
        }
        self.sample(&flight, finish.confidence, true, out);
        out.push(Output::Answer(flight.ask.request, Part::End));
        out.push(Output::RequestEnded(done(&flight, now, None)));
    }

    /// Accepts the answer of a cascade's step or asks the next one.
    fn judge(&mut self, now: Time, mut flight: Flight, finish: Finish, out: &mut Outputs) {
        let Goal::Cascade(name, step) = flight.goal.clone() else {
            return;
        };
        let class = flight.site.class;
        let confidence = finish.confidence.map_or(0.0, |c| c.0);
        let draw = self.rng.random::<f64>();
        let next = self.next_step(&flight, &name, step);
        let policy = self.policy(&name, step, class);
        let accepted = next.is_none() || policy.is_some_and(|p| p.accepts(confidence, draw));
        if let Some(policy) = self.policy_mut(&name, step, class) {
            policy.observe(confidence);
        }
        self.sample(&flight, finish.confidence, accepted, out);
        if !accepted {
            let kept = Whole {
                version: flight
                    .version()
                    .cloned()
                    .unwrap_or_else(|| unreachable!("a step has a version")),
                step,
                status: flight.status,
                headers: flight.headers.clone(),
                body: std::mem::take(&mut flight.text),
                confidence: finish.confidence,
            };
            flight.kept = Some(kept);
            return self.escalate(now, flight, name, next.unwrap_or(step + 1), out);
        }
        let body = std::mem::take(&mut flight.text);
        self.give_whole(now, flight, body, finish, out);
    }

    fn next_step(&self, flight: &Flight, name: &CascadeId, step: usize) -> Option<usize> {
        let steps = &self.tree.cascade(name.as_str())?.steps;
        (step + 1..steps.len()).find(|i| {
            let version = &steps[*i].version;
            flight.site.node.allows_version(version) && route::takes_work(&self.tree, version)
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
        let request = flight.ask.request;
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

    /// Gives a caller an answer that was held until it was judged.
    fn give_whole(
        &mut self,
        now: Time,
        flight: Flight,
        body: Vec<u8>,
        finish: Finish,
        out: &mut Outputs,
    ) {
        let request = flight.ask.request;
        let wants_stream = flight.chat().is_some_and(|c| c.stream);
        let good = flight.status < 300;
        self.flights.insert(request, flight);
        if let (true, true, Some(flight)) = (wants_stream, good, self.flights.get_mut(&request)) {
            flight.headers = vec![Header::new("content-type", "text/event-stream")];
        }
        self.give_head(now, request, out);
        let data = match wants_stream && good {
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
        self.limits.settle(&flight.site.account, beyond);
        out.push(Output::Answer(request, Part::End));
        out.push(Output::RequestEnded(done(&flight, now, None)));
    }

    fn failed(&mut self, now: Time, run: Run, failure: Failure, out: &mut Outputs) {
        let Some(flight) = self.flight(run) else {
            return;
        };
        flight.verdict = flight.verdict.raise(failure.verdict);
        flight.failed = Some(failure.clone());
        let version = flight.version().cloned();
        if failure.reason == Reason::UpstreamLost {
            self.note_lost(now, run.request);
        }
        self.history.outcome(run.request, failure.to_string());
        let failed = [Reason::UpstreamFailed, Reason::UpstreamLost].contains(&failure.reason);
        if let Some(version) = version.filter(|_| failed) {
            if self.watch.record_answer(&self.tree, &version, true) {
                out.push(Output::Suspect(version));
            }
        }
        self.settle(now, run.request, failure, out);
    }

    /// Tries again after a failed try where that is allowed, or gives up.
    pub(super) fn settle(
        &mut self,
        now: Time,
        request: RequestId,
        failure: Failure,
        out: &mut Outputs,
    ) {
        if self
            .flights
            .get(&request)
            .is_some_and(|f| f.terms.is_some())
        {
            return self.give_up(now, request, failure, out);
        }
        match self.next_try(now, request, &failure) {
            Next::Again if self.has_changed(request) => self.rechoose(now, request, out),
            Next::Again => {
                if let Some(flight) = self.flights.get_mut(&request) {
                    flight.run = flight.run.next_attempt();
                }
                self.dispatch(now, request, out);
            }
            Next::Rechoose => self.rechoose(now, request, out),
            Next::Wait => {
                if let Some(flight) = self.flights.get_mut(&request) {
                    flight.waiting = Some(now);
                }
            }
            Next::Kept => self.give_kept(now, request, out),
            Next::GiveUp => self.give_up(now, request, failure, out),
        }
    }

    /// Returns whether the configuration has changed since the last try.
    fn has_changed(&self, request: RequestId) -> bool {
        let flight = self.flights.get(&request);
        flight.is_some_and(|f| f.revision != self.tree.revision())
    }

    fn next_try(&mut self, now: Time, request: RequestId, failure: &Failure) -> Next {
        let Some(flight) = self.flights.get(&request) else {
            return Next::GiveUp;
        };
        let fallback = match flight.kept {
            Some(_) => Next::Kept,
            None => Next::GiveUp,
        };
        let repeatable = failure.verdict.may_repeat() || !flight.once;
        let time_left = now < flight.deadline;
        let tries_left = flight.run.attempt + 1 < MAX_TRIES;
        if flight.headed || !repeatable || !time_left || !tries_left {
            return fallback;
        }
        if failure.reason == Reason::UpstreamLost && !self.may_follow(now, request) {
            return fallback;
        }
        let pool = flight.pool.clone();
        let next = match failure.reason {
            Reason::Overloaded
            | Reason::Leaving
            | Reason::LinkLost
            | Reason::UpstreamFailed
            | Reason::UpstreamLost
            | Reason::ForeignAnswer => Next::Again,
            // The sidecar knew a newer configuration than the entry did.
            Reason::Withdrawn | Reason::Stale if flight.tried.is_empty() => return fallback,
            Reason::Withdrawn | Reason::Stale if flight.revision < self.tree.revision() => {
                Next::Rechoose
            }
            Reason::Withdrawn | Reason::Stale => Next::Wait,
            _ => return fallback,
        };
        match self.spend(now, &pool) {
            true => next,
            false => fallback,
        }
    }

    /// Gives the answer of an earlier step, since the later one has failed.
    fn give_kept(&mut self, now: Time, request: RequestId, out: &mut Outputs) {
        let Some(mut flight) = self.flights.remove(&request) else {
            return;
        };
        let Some(kept) = flight.kept.take() else {
            return;
        };
        flight.status = kept.status;
        flight.headers = kept.headers;
        flight.run.step = kept.step as u16;
        if let Some(choice) = &mut flight.choice {
            choice.version = kept.version;
        }
        let finish = Finish {
            usage: Usage::default(),
            confidence: kept.confidence,
        };
        self.give_whole(now, flight, kept.body, finish, out);
    }

    /// Ends a request without a whole answer.
    pub(super) fn give_up(
        &mut self,
        now: Time,
        request: RequestId,
        failure: Failure,
        out: &mut Outputs,
    ) {
        self.landed(request);
        let Some(flight) = self.flights.remove(&request) else {
            return;
        };
        let mut failure = failure;
        if failure.reason == Reason::NoUpstream {
            // That no further upstream is left says less than why one failed.
            let after = failure.retry_after;
            failure = flight.failed.clone().unwrap_or(failure);
            failure.retry_after = failure.retry_after.or(after);
        }
        failure.verdict = failure.verdict.raise(flight.verdict);
        if flight.terms.is_some() && failure.verdict == Verdict::NotRun {
            failure.retry_after.get_or_insert(routed::COME_BACK);
        }
        let truthful =
            failure.verdict != Verdict::NotRun || flight.known_verdict() == Verdict::NotRun;
        if !self.promises.check(Invariant::NotRun, truthful) {
            failure.verdict = Verdict::MayHaveRun;
        }
        self.limits.settle(&flight.site.account, 0.0);
        self.note_stay(now, &flight, SESSION_TTL);
        self.history
            .note(request, |d| d.failure = Some(failure.clone()));
        out.push(Output::RequestEnded(done(
            &flight,
            now,
            Some(failure.reason),
        )));
        out.push(Output::Answer(request, Part::Fail(failure)));
    }

    pub(super) fn gone(&mut self, now: Time, request: RequestId, out: &mut Outputs) {
        if self.forget_early(now, request, out) {
            return;
        }
        let Some(flight) = self.flights.get(&request) else {
            return;
        };
        if let Some(link) = flight.at {
            out.push(Output::Send(link, Frame::Cancel(flight.run)));
        }
        let verdict = flight.known_verdict();
        let failure = Failure::new(Reason::Cancelled, verdict, "the caller went away");
        self.give_up(now, request, failure, out);
    }

    pub(super) fn link_down(&mut self, now: Time, link: Link, out: &mut Outputs) {
        self.peers.leave(link);
        self.held.remove_link(link);
        self.watch.mark_unsent();
        let mut lost: Vec<RequestId> = self
            .flights
            .iter()
            .filter(|(_, f)| f.at == Some(link))
            .map(|(request, _)| *request)
            .collect();
        lost.sort_unstable();
        for request in lost {
            self.landed(request);
            let Some(flight) = self.flights.get_mut(&request) else {
                continue;
            };
            flight.verdict = flight.verdict.raise(Verdict::MayHaveRun);
            let verdict = flight.verdict;
            let failure = Failure::new(Reason::LinkLost, verdict, "the link to the upstream broke");
            flight.failed = Some(failure.clone());
            self.history.outcome(request, "link lost");
            self.settle(now, request, failure, out);
        }
    }
}

/// What comes after a failed try.
enum Next {
    /// Try another upstream.
    Again,
    /// Choose the version anew.
    Rechoose,
    /// Wait for the newer configuration, which is on its way.
    Wait,
    /// Give the answer of an earlier step.
    Kept,
    /// Tell the caller.
    GiveUp,
}

pub(super) fn done(flight: &Flight, now: Time, failure: Option<Reason>) -> Summary {
    Summary {
        request: flight.ask.request,
        account: Some(flight.site.account.clone()),
        class: flight.site.class,
        plain: matches!(flight.ask.payload, Payload::Plain(_)),
        first_byte: flight.first.map(|t| t.since(flight.began)),
        duration: now.since(flight.began),
        failure,
    }
}

/// Writes a whole answer as the stream that the caller asked for.
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
