//! What is done with what an upstream answers to a routed request.

use super::*;
use crate::release::SESSION_TTL;
use crate::tree::Repeat;

/// What part of its worth an answer earns that begins after its objective: 0.3 on all
/// sheets of the installations.
const LATE_EARNS: f64 = 0.3;

/// What to do with the head of an answer.
enum Judgement {
    /// Give it to the caller.
    Give,
    /// Ask the next larger model.
    Larger,
    /// Ask another upstream.
    Elsewhere(Failure),
}

impl Entry {
    /// Takes in what an upstream that is called directly does with a run.
    pub(in crate::entry) fn reply(
        &mut self,
        now: Time,
        link: Link,
        run: Run,
        reply: Reply,
        out: &mut Outputs,
    ) {
        self.peers.heard_from(link, now);
        match reply {
            Reply::Head(head) => {
                self.peers.answered(link, now);
                let asked = self.asked_at(run, head.status);
                self.hear(link, head.notice, head.load, asked, now);
                self.routed_head(now, link, run, head, out);
            }
            Reply::Notice(notice, load) => self.hear(link, notice, load, Time::default(), now),
            Reply::Data {
                data,
                last_event: last,
            } => self.routed_data(run, data, last, out),
            Reply::End => self.routed_end(now, link, run, out),
            Reply::Fail(failure) => self.routed_fail(now, link, run, failure, out),
        }
    }

    /// Takes in what an upstream says of itself and of its load in the answer to a request sent
    /// then.
    fn hear(
        &mut self,
        link: Link,
        notice: Notice,
        load: Option<(u32, u32, u32)>,
        asked: Time,
        now: Time,
    ) {
        if let Some(load) = load {
            self.report_direct(link, load, now);
        }
        self.peers.apply_notice(link, notice, asked, now);
    }

    /// Returns when a run was sent to an upstream that answers it, or the earliest time where what
    /// the answer leaves unsaid says nothing: an error, or an answer to a run that was dropped.
    fn asked_at(&mut self, run: Run, status: u16) -> Time {
        let flight = self.flight(run).filter(|_| status < 500);
        let terms = flight.and_then(|flight| flight.terms.as_ref());
        terms.map_or(Time::default(), |terms| terms.sent)
    }

    fn routed_head(&mut self, now: Time, link: Link, run: Run, head: Head, out: &mut Outputs) {
        let Head {
            status,
            headers,
            confidence,
            ..
        } = head;
        self.note_began(run, out);
        let Some(flight) = self.flight(run) else {
            return;
        };
        flight.verdict = Verdict::Ran;
        if flight.headed && status < 300 {
            // A stream that goes on elsewhere keeps the head of its first run.
            self.history
                .outcome(run.request, format!("went on with {status}"));
            return;
        }
        if flight.headed {
            let message = format!("the stream could not go on: {status}");
            let failure = Failure::new(Reason::UpstreamFailed, Verdict::Ran, message);
            self.learn_release(now, run.request, false);
            self.peers.failed(link, now);
            self.drop_run(link, run, out);
            return self.routed_failed(now, run.request, failure, out);
        }
        flight.status = status;
        flight.headers = headers;
        self.end_reading(run.request);
        if status < 500 {
            self.learn_reading(now, run.request);
        }
        self.learn_release(now, run.request, status < 500);
        self.learn_merit(run.request, status < 500);
        self.note_strain(now, run.request);
        match self.judge_head(now, run.request, link, status, confidence) {
            Judgement::Give => {
                let took = self.took(now, run.request);
                self.history
                    .outcome(run.request, format!("answered {status} after {took}ms"));
                if status >= 500 {
                    self.peers.returned_error(link, now);
                }
                self.give_plain_head(now, run.request, out);
            }
            Judgement::Larger => self.ask_larger(now, link, run, confidence, out),
            Judgement::Elsewhere(failure) => {
                let took = self.took(now, run.request);
                self.history.outcome(
                    run.request,
                    format!("answered {status} after {took}ms, not given"),
                );
                self.leave_erring(now, run.request, link);
                self.drop_run(link, run, out);
                self.routed_failed(now, run.request, failure, out);
            }
        }
    }

    /// Tells that a request of a client account began to run, once however often it does.
    fn note_began(&mut self, run: Run, out: &mut Outputs) {
        let counts = self.settings.reports_starts;
        let Some(flight) = self.flight(run).filter(|_| counts) else {
            return;
        };
        let is_first = flight.verdict != Verdict::Ran;
        if is_first && flight.site.node.account.is_some() {
            out.push(Output::RequestStarted(flight.site.account.clone()));
        }
    }

    /// Passes over an upstream whose error is not given: an engine's fails for a moment, a
    /// plain service's may be the request's own.
    fn leave_erring(&mut self, now: Time, request: RequestId, link: Link) {
        let flight = self.flights.get_mut(&request);
        match flight.and_then(|f| f.terms.as_mut()) {
            Some(terms) if !terms.route.stream => {
                terms.erred = true;
                self.peers.returned_error(link, now);
            }
            _ => self.peers.failed(link, now),
        }
    }

    fn judge_head(
        &mut self,
        now: Time,
        request: RequestId,
        link: Link,
        status: u16,
        confidence: Option<Confidence>,
    ) -> Judgement {
        let may_repeat = status >= 500 && self.may_repeat(now, request);
        let Some(flight) = self.flights.get(&request) else {
            return Judgement::Give;
        };
        let Some(terms) = &flight.terms else {
            return Judgement::Give;
        };
        let more = terms.runs < terms.route.tries && !flight.once && now < flight.deadline;
        // An error of an upstream which failed before is the upstream's.
        let elsewhere = may_repeat
            && more
            && (terms.route.stream
                || self.peers.is_failing(link)
                || self.merits.should_retry(&flight.pool, &terms.name));
        if elsewhere {
            let message = format!("the upstream answered {status}");
            let failure = Failure::new(Reason::UpstreamFailed, Verdict::Ran, message);
            return Judgement::Elsewhere(failure);
        }
        let wanted = self.accepted(&terms.route) * self.strains.headroom(&flight.pool);
        let wanted = wanted * self.larger_earns(now, flight, terms);
        let wanted = Confidence(wanted);
        let unsure = confidence.is_some_and(|c| c < wanted);
        let larger = terms.size + 1 < terms.route.sizes.len();
        match status < 300 && unsure && larger && more && self.pay(now, request, true) {
            true => Judgement::Larger,
            false => Judgement::Give,
        }
    }

    /// Returns how many milliseconds ago the present run was sent.
    fn took(&self, now: Time, request: RequestId) -> u64 {
        let flight = self.flights.get(&request);
        let sent = flight.and_then(|f| f.terms.as_ref()).map(|t| t.sent);
        sent.map_or(0, |sent| now.since(sent).millis())
    }

    /// Returns whether the budget lets a request be sent once more.
    fn may_repeat(&mut self, now: Time, request: RequestId) -> bool {
        let pool = self.flights.get(&request).map(|f| f.pool.clone());
        let entries = self.entries;
        pool.is_some_and(|pool| self.budget(&pool).can_withdraw(now, entries))
    }

    /// Returns the confidence from which a smaller model's answer is given.
    fn accepted(&self, route: &Route) -> f64 {
        let ranks = &self.settings.confidence_thresholds;
        let rank = usize::from(route.rank).min(ranks.len() - 1);
        ranks[rank].fraction()
    }

    /// Returns what part of its worth an answer of the largest model still earns: less where
    /// it would begin late while the answer at hand is in time.
    fn larger_earns(&self, now: Time, flight: &Flight, terms: &Terms) -> f64 {
        let Some(model) = terms.route.sizes.last() else {
            return 1.0;
        };
        let subject = Workload::Model(flight.pool.clone(), model.clone());
        // The shared beginning is mostly read already.
        let shared = flight.shared().map_or(0, |p| p.tokens);
        let own = flight.prompt_tokens().saturating_sub(shared);
        let waited = now.since(flight.began);
        let then = waited + self.readings.estimate(&subject, own);
        let objective = terms.route.objective;
        match waited <= objective && then > objective {
            true => LATE_EARNS,
            false => 1.0,
        }
    }

    /// Drops the answer of a smaller model and asks the largest.
    fn ask_larger(
        &mut self,
        now: Time,
        link: Link,
        run: Run,
        confidence: Option<Confidence>,
        out: &mut Outputs,
    ) {
        self.peers.succeeded(link);
        self.drop_run(link, run, out);
        let sure = confidence.map_or(0.0, |c| c.0);
        let took = self.took(now, run.request);
        self.history.outcome(
            run.request,
            format!("dropped, confidence {sure}, after {took}ms"),
        );
        let Some(flight) = self.flights.get_mut(&run.request) else {
            return;
        };
        flight.run = flight.run.next_step();
        flight.tried.clear();
        if let Some(terms) = &mut flight.terms {
            terms.size = terms.route.sizes.len() - 1;
        }
        self.dispatch(now, run.request, out);
    }

    /// Stops a run at its upstream and counts it as ended there.
    pub(super) fn drop_run(&mut self, link: Link, run: Run, out: &mut Outputs) {
        out.push(Output::Send(link, Frame::Cancel(run)));
        self.landed(run.request);
    }

    /// Gives the caller the head as the upstream sent it.
    fn give_plain_head(&mut self, now: Time, request: RequestId, out: &mut Outputs) {
        let Some(flight) = self.flights.get_mut(&request) else {
            return;
        };
        flight.headed = true;
        flight.first = Some(now);
        let status = flight.status;
        let headers = std::mem::take(&mut flight.headers);
        out.push(Output::Answer(request, Part::Head { status, headers }));
    }

    fn routed_data(&mut self, run: Run, data: Vec<u8>, last: Option<u64>, out: &mut Outputs) {
        let Some(flight) = self.flight(run) else {
            return;
        };
        flight.parts += 1;
        if let (Some(terms), Some(last)) = (&mut flight.terms, last) {
            terms.last = Some(last);
        }
        out.push(Output::Answer(run.request, Part::Data(data)));
    }

    fn routed_end(&mut self, now: Time, link: Link, run: Run, out: &mut Outputs) {
        if self.flight(run).is_none() {
            return;
        }
        self.landed(run.request);
        self.learn_pace(now, run.request);
        let Some(flight) = self.flights.remove(&run.request) else {
            return;
        };
        if flight.status < 500 {
            self.peers.succeeded(link);
        }
        self.note_answered(now, &flight);
        self.note_stay(now, &flight, SESSION_TTL);
        out.push(Output::Answer(run.request, Part::End));
        out.push(Output::RequestEnded(answer::done(&flight, now, None)));
    }

    fn routed_fail(
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
        flight.failed = Some(failure.clone());
        // One that has said for how long it wants none is not passed over for longer.
        let has_said = failure.reason == Reason::Overloaded && self.peers.is_resting(link, now);
        if failure.reason != Reason::Cancelled && !has_said {
            self.peers.failed(link, now);
        }
        if failure.reason == Reason::LinkLost {
            self.peers.suspect_restart(link);
        }
        if failure.reason == Reason::UpstreamLost {
            self.note_lost(now, run.request);
        }
        self.landed(run.request);
        self.history.outcome(run.request, failure.to_string());
        self.routed_failed(now, run.request, failure, out);
    }

    /// Sends a request on after a run that failed, or ends it.
    fn routed_failed(
        &mut self,
        now: Time,
        request: RequestId,
        failure: Failure,
        out: &mut Outputs,
    ) {
        match self.may_go_on(now, request, &failure) {
            true => {
                if let Some(flight) = self.flights.get_mut(&request) {
                    flight.run = flight.run.next_attempt();
                }
                self.dispatch(now, request, out);
            }
            false => self.give_up(now, request, failure, out),
        }
    }

    /// Returns whether a request whose run failed is sent to another upstream.
    fn may_go_on(&mut self, now: Time, request: RequestId, failure: &Failure) -> bool {
        let Some(flight) = self.flights.get(&request) else {
            return false;
        };
        let Some(terms) = &flight.terms else {
            return false;
        };
        let untouched = failure.verdict == Verdict::NotRun;
        if now >= flight.deadline || flight.run.attempt + 1 >= MAX_TRIES {
            return false;
        }
        let resumable = terms.route.repeat == Repeat::Resume;
        if flight.headed && !resumable {
            return false;
        }
        if failure.reason == Reason::UpstreamLost && !self.may_follow(now, request) {
            return false;
        }
        if untouched {
            // Nothing ran, so no count of runs is touched: where it was, streams were broken off
            // when the rest of them was refused once. What an upstream refused has reached it
            // all the same.
            let may = flight.verdict.may_repeat() || !flight.once;
            return may && self.pay(now, request, failure.reason != Reason::LinkLost);
        }
        if flight.once || terms.runs >= terms.route.tries {
            return false;
        }
        self.pay(now, request, true)
    }

    /// Takes from the budget what sending a request once more costs; returns whether there
    /// was enough. `reached` says whether the present run reached its upstream: only what
    /// reaches one after another did counts as a repeat.
    pub(super) fn pay(&mut self, now: Time, request: RequestId, reached: bool) -> bool {
        let Some(flight) = self.flights.get(&request) else {
            return false;
        };
        let Some(terms) = &flight.terms else {
            return false;
        };
        let arrivals = terms.arrivals + u16::from(reached);
        let owes = arrivals > terms.paid;
        let pool = flight.pool.clone();
        if owes && !self.spend(now, &pool) {
            return false;
        }
        if let Some(terms) = self
            .flights
            .get_mut(&request)
            .and_then(|f| f.terms.as_mut())
        {
            terms.arrivals = arrivals;
            terms.paid += u16::from(owes);
        }
        true
    }
}
