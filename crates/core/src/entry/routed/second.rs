//! Second runs beside silent ones.
//!
//! A silent run may still go on, so it is not cancelled when another upstream is asked. Whichever of
//! the two speaks first goes on with the answer, and the other is cancelled then; if either ends, the
//! other remains. Their bytes are never mixed: a second run of a stream begins after the last event
//! that was delivered, and it is gone as soon as another event is.

use super::*;

/// The time between two attempts to start a second run.
const SECOND_PAUSE: Span = Span::from_millis(200);

/// The run of a request that is not its current one.
#[derive(Clone, Debug)]
pub(in crate::entry) struct Second {
    pub run: Run,
    pub link: Option<Link>,
    upstream: Option<UpstreamId>,
    choice: Option<Choice>,
    parts: u32,
    pub state: RunState,
}

/// What a reply means for which of two runs goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Sign {
    /// The run goes on with the answer.
    Speaks,
    /// The run can no longer go on.
    Fails,
    /// Neither.
    Neutral,
}

impl Flight {
    /// Returns the second run of the request.
    pub(in crate::entry) fn second(&self) -> Option<&Second> {
        self.route_state.as_ref()?.second.as_ref()
    }

    /// Returns the upstreams at which the request runs.
    pub(in crate::entry) fn links(&self) -> impl Iterator<Item = Link> + '_ {
        let second = self.second().and_then(|second| second.link);
        self.link.into_iter().chain(second)
    }

    /// Returns the next attempt of the current step.
    pub(in crate::entry) fn next_attempt(&mut self) -> Run {
        let Some(route_state) = &mut self.route_state else {
            return self.run.next_attempt();
        };
        let attempt = route_state.last_attempt.max(self.run.attempt) + 1;
        route_state.last_attempt = attempt;
        Run {
            attempt,
            ..self.run
        }
    }

    /// Returns the number of attempts that count towards their limit.
    pub(super) fn counted_attempts(&self) -> u16 {
        let route_state = self.route_state.as_ref();
        route_state.map_or(self.run.attempt, |state| {
            let last = state.last_attempt.max(self.run.attempt);
            last - state.refused_runs.min(last)
        })
    }

    /// Makes room for another run; returns the current one.
    fn park(&mut self) -> Second {
        let state = self.route_state.as_ref().map(|state| state.run);
        let parked = Second {
            run: self.run,
            link: self.link.take(),
            upstream: self.upstream.take(),
            choice: self.choice.take(),
            parts: self.parts,
            state: state.unwrap_or_default(),
        };
        self.run = self.next_attempt();
        parked
    }

    /// Makes a run the current one; returns the one that was.
    fn exchange(&mut self, mut run: Second) -> Second {
        std::mem::swap(&mut self.run, &mut run.run);
        std::mem::swap(&mut self.link, &mut run.link);
        std::mem::swap(&mut self.upstream, &mut run.upstream);
        std::mem::swap(&mut self.choice, &mut run.choice);
        std::mem::swap(&mut self.parts, &mut run.parts);
        if let Some(route_state) = &mut self.route_state {
            std::mem::swap(&mut route_state.run, &mut run.state);
        }
        // The upstream of the current run is the last one that was tried.
        if let Some(position) = self.tried.iter().position(|link| Some(*link) == self.link) {
            let link = self.tried.remove(position);
            self.tried.push(link);
        }
        run
    }

    /// Exchanges the current run and the second one, if there is one.
    fn swap_runs(&mut self) {
        let second = self.route_state.as_mut().and_then(|s| s.second.take());
        if let Some(second) = second {
            let other = self.exchange(second);
            if let Some(route_state) = &mut self.route_state {
                route_state.second = Some(other);
            }
        }
    }
}

impl Entry {
    /// Starts a second run beside the current one, if an upstream takes it and the retry budget
    /// allows it.
    pub(super) fn start_second(&mut self, now: Time, request: RequestId, out: &mut Outputs) {
        let has_budget = self.has_retry_budget(now, request);
        let Some(mut flight) = self.flights.remove(&request) else {
            return;
        };
        if let Some(route_state) = &mut flight.route_state {
            route_state.second_after = now + SECOND_PAUSE;
        }
        let is_allowed = has_budget && self.check_quarantine(now, &flight).is_ok();
        let is_sent = is_allowed && self.send_second(now, &mut flight, out);
        self.flights.insert(request, flight);
        if is_sent {
            self.charge_retry(now, request, true);
        }
    }

    fn send_second(&mut self, now: Time, flight: &mut Flight, out: &mut Outputs) -> bool {
        let silent = now.since(flight.route_state.as_ref().map_or(now, |s| s.run.heard_at));
        let first = flight.park();
        let (upstream, last_attempt) = (first.upstream.clone(), flight.run.attempt);
        let is_sent = self.send_routed(now, flight, out).is_ok();
        let second = flight.exchange(first);
        let Some(route_state) = &mut flight.route_state else {
            return false;
        };
        if !is_sent {
            // No attempt was made, so its number may be used again.
            route_state.last_attempt = last_attempt - 1;
            return false;
        }
        flight.verdict = flight.verdict.raise(Verdict::MayHaveRun);
        self.second_runs.started += 1;
        log::info!(
            "event=second-run id={} silent_ms={} first={} second={} last_event={:?} runs={}",
            flight.routed().map_or("-", |routed| routed.label.as_str()),
            silent.millis(),
            name(&upstream),
            name(&second.upstream),
            flight.route_state.as_ref().and_then(|s| s.last_event),
            flight.route_state.as_ref().map_or(0, |s| s.runs),
        );
        self.history.set_outcome_of(
            flight.request.request,
            upstream.as_ref(),
            format!("silent for {}ms", silent.millis()),
        );
        if let Some(route_state) = &mut flight.route_state {
            route_state.second = Some(second);
        }
        true
    }

    /// Settles which of two runs goes on after a reply of one; returns whether the reply is to be
    /// handled as one of the current run.
    pub(super) fn settle_runs(
        &mut self,
        now: Time,
        run: Run,
        sign: Sign,
        out: &mut Outputs,
    ) -> bool {
        let Some(flight) = self.flights.get(&run.request) else {
            return true;
        };
        let Some(second) = flight.second() else {
            return true;
        };
        let is_second = second.run == run;
        if !is_second && flight.run != run {
            return true;
        }
        match sign {
            Sign::Speaks if is_second => self.let_second_go_on(now, run.request, out),
            Sign::Speaks => self.drop_second(now, run.request, "the first went on", out),
            Sign::Fails | Sign::Neutral if is_second => return false,
            Sign::Fails | Sign::Neutral => {}
        }
        true
    }

    /// Lets the second run go on with the answer, and cancels the silent one.
    fn let_second_go_on(&mut self, now: Time, request: RequestId, out: &mut Outputs) {
        self.record_slow_wait(now, request);
        self.record_latency(now, request);
        if let Some(flight) = self.flights.get_mut(&request) {
            flight.swap_runs();
        }
        self.second_runs.went_on += 1;
        self.drop_second(now, request, "silent, the second went on", out);
    }

    /// Cancels the run that is not the current one, if there is one.
    pub(in crate::entry) fn drop_second(
        &mut self,
        now: Time,
        request: RequestId,
        outcome: &str,
        out: &mut Outputs,
    ) {
        let second = self.flights.get(&request).and_then(Flight::second);
        let Some((run, link)) = second.map(|second| (second.run, second.link)) else {
            return;
        };
        out.extend(link.map(|link| Output::Send(link, Frame::Cancel(run))));
        self.end_second(now, request, outcome);
    }

    /// Counts the run that is not the current one as ended.
    fn end_second(&mut self, now: Time, request: RequestId, outcome: &str) {
        let Some(flight) = self.flights.get_mut(&request) else {
            return;
        };
        flight.swap_runs();
        let upstream = flight.upstream.clone();
        let label = flight.routed().map(|routed| routed.label.clone());
        self.finish_run(request);
        let Some(flight) = self.flights.get_mut(&request) else {
            return;
        };
        flight.swap_runs();
        if let Some(route_state) = &mut flight.route_state {
            route_state.second = None;
            route_state.second_after = now + SECOND_PAUSE;
        }
        log::info!(
            "event=run-dropped id={} upstream={} why={outcome:?}",
            label.as_deref().unwrap_or("-"),
            name(&upstream)
        );
        self.history
            .set_outcome_of(request, upstream.as_ref(), outcome.to_owned());
    }

    /// Handles the failure of the second run: the first is waited for, and another upstream may be
    /// asked later.
    pub(super) fn on_second_failure(
        &mut self,
        now: Time,
        link: Link,
        request: RequestId,
        failure: &Failure,
    ) {
        self.record_failed_run(now, link, failure);
        if failure.reason == Reason::UpstreamLost {
            self.record_second_crash(now, request);
        }
        self.second_runs.failed += 1;
        self.end_second(now, request, &failure.to_string());
        let Some(flight) = self.flights.get_mut(&request) else {
            return;
        };
        flight.verdict = flight.verdict.raise(failure.verdict);
        flight.last_failure = Some(failure.clone());
        let Some(route_state) = flight.route_state.as_mut() else {
            return;
        };
        if failure.verdict == Verdict::NotRun {
            // It did not run, so it is no try, and the same upstream may be asked again.
            route_state.runs -= 1;
            route_state.refused_runs += 1;
            flight.tried.retain(|tried| *tried != link);
        }
    }

    fn record_second_crash(&mut self, now: Time, request: RequestId) {
        for is_after in [false, true] {
            if let Some(flight) = self.flights.get_mut(&request) {
                flight.swap_runs();
            }
            if !is_after {
                self.record_crash(now, request);
            }
        }
    }

    /// Makes the second run the current one after the current one has ended; returns whether there
    /// was one.
    pub(super) fn promote_second(&mut self, request: RequestId) -> bool {
        let Some(flight) = self.flights.get_mut(&request) else {
            return false;
        };
        if flight.second().is_none() {
            return false;
        }
        flight.swap_runs();
        if let Some(route_state) = &mut flight.route_state {
            route_state.second = None;
        }
        log::info!(
            "event=second-run-alone id={} upstream={}",
            flight.routed().map_or("-", |routed| routed.label.as_str()),
            name(&flight.upstream)
        );
        true
    }

    /// Returns the request whose second run this is.
    pub(super) fn is_second(&self, run: Run) -> bool {
        let second = self.flights.get(&run.request).and_then(Flight::second);
        second.is_some_and(|second| second.run == run)
    }

    /// Changes the state of a run, be it the current one or the second.
    pub(super) fn update_run(&mut self, run: Run, change: impl FnOnce(&mut RunState)) {
        let Some(flight) = self.flights.get_mut(&run.request) else {
            return;
        };
        let is_current = flight.run == run;
        let Some(route_state) = &mut flight.route_state else {
            return;
        };
        match &mut route_state.second {
            _ if is_current => change(&mut route_state.run),
            Some(second) if second.run == run => change(&mut second.state),
            _ => {}
        }
    }
}

fn name(upstream: &Option<UpstreamId>) -> &str {
    upstream.as_ref().map_or("-", |upstream| upstream.as_str())
}
