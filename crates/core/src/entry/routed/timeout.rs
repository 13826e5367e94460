//! Deadlines of routed requests and stalls of their upstreams.

use super::*;
use crate::tree::Repeat;

/// The maximum time without data in the middle of a stream before it is resumed at another
/// upstream. Events are about 40 ms apart, and a pause of 1.2 s makes an answer late.
const STREAM_STALL_TIMEOUT: Span = Span::from_millis(700);
/// The interval between two ticks beyond which this process itself is taken to have been paused, so
/// that missing data does not indicate a stalled upstream.
const MAX_TICK_INTERVAL: Span = Span::from_millis(250);

impl Entry {
    /// Ends requests past their deadline and retries those at stalled upstreams.
    pub(in crate::entry) fn check_routed(&mut self, now: Time, out: &mut Outputs) {
        if now.since(self.last_tick) > MAX_TICK_INTERVAL {
            self.peers.heard_from_all(now);
        }
        self.last_tick = now;
        self.record_slow_waits(now);
        let mut expired: Vec<RequestId> = Vec::new();
        let mut stalled: Vec<(RequestId, Link, Run)> = Vec::new();
        for (request, flight) in &self.flights {
            let Some(route_state) = &flight.route_state else {
                continue;
            };
            if now >= flight.deadline {
                expired.push(*request);
            } else if let Some(link) = self.stalled_link(now, flight, route_state) {
                stalled.push((*request, link, flight.run));
            }
        }
        expired.sort_unstable();
        stalled.sort_unstable();
        for request in expired {
            self.expire(now, request, out);
        }
        for (request, link, run) in stalled {
            self.abandon_stalled(now, request, link, run, out);
        }
    }

    /// Records the wait of all runs that have not started to answer, in pools whose releases are
    /// being compared.
    fn record_slow_waits(&mut self, now: Time) {
        let compared =
            |f: &Flight| !f.head_sent && f.link.is_some() && self.releases.is_comparing(&f.pool);
        let waiting = self.flights.iter().filter(|(_, f)| compared(f));
        let mut waiting: Vec<RequestId> = waiting.map(|(request, _)| *request).collect();
        waiting.sort_unstable();
        for request in waiting {
            self.record_slow_wait(now, request);
        }
    }

    /// Returns the upstream of a request if it has stalled and the request may be sent elsewhere.
    fn stalled_link(&self, now: Time, flight: &Flight, route_state: &RouteState) -> Option<Link> {
        let link = flight.link?;
        let may_retry = match flight.head_sent {
            true => route_state.route.repeat == Repeat::Resume,
            false => !flight.at_most_once,
        };
        if !may_retry || route_state.runs >= route_state.route.tries {
            return None;
        }
        let heard = self
            .peers
            .get(link)
            .map_or(route_state.sent_at, |p| p.last_heard);
        let since = now.since(heard.max(route_state.sent_at));
        let limit = match flight.head_sent {
            true => self.stream_stall_timeout(flight, route_state),
            false => {
                let workload = route_state.workload(&flight.pool);
                self.latencies
                    .stall_timeout(&workload, route_state.estimate.time_to_first_byte())
            }
        };
        (since > limit).then_some(link)
    }

    /// Returns the maximum time without data in a stream that has started.
    ///
    /// Another upstream has to prefill the prompt first. If that would exceed the allowed pause of
    /// the route, waiting for an upstream that may only be busy is faster until that pause has
    /// passed. In a contended pool a silent upstream mostly reads the prompts of others, and leaving
    /// it repeats the prefill where others wait as well.
    fn stream_stall_timeout(&self, flight: &Flight, route_state: &RouteState) -> Span {
        let workload = route_state.workload(&flight.pool);
        let prefill = self
            .latencies
            .estimate(&workload, route_state.estimate.uncached_tokens);
        if self.peers.is_contended(&flight.pool) {
            return route_state.route.pause + route_state.route.pause;
        }
        match STREAM_STALL_TIMEOUT + prefill <= route_state.route.pause {
            true => STREAM_STALL_TIMEOUT,
            false => route_state.route.pause.max(STREAM_STALL_TIMEOUT),
        }
    }

    fn abandon_stalled(
        &mut self,
        now: Time,
        request: RequestId,
        link: Link,
        run: Run,
        out: &mut Outputs,
    ) {
        let failure = Failure::new(
            Reason::LinkLost,
            Verdict::MayHaveRun,
            "the upstream is silent",
        );
        if !self.charge_retry(now, request, true) {
            return;
        }
        self.record_saturation(now, request);
        self.record_slow_wait(now, request);
        self.record_latency(now, request);
        self.record_stall(now, request);
        self.peers.failed(link, now);
        self.cancel_run(link, run, out);
        self.history.set_outcome(request, failure.to_string());
        let Some(flight) = self.flights.get_mut(&request) else {
            return;
        };
        flight.verdict = flight.verdict.raise(Verdict::MayHaveRun);
        flight.last_failure = Some(failure);
        flight.run = flight.run.next_attempt();
        self.dispatch(now, request, out);
    }

    /// Fails a request whose deadline has passed.
    fn expire(&mut self, now: Time, request: RequestId, out: &mut Outputs) {
        let Some(flight) = self.flights.get(&request) else {
            return;
        };
        let failure = timed_out(flight);
        if let Some(link) = flight.link {
            let run = flight.run;
            if !flight.head_sent {
                self.record_saturation(now, request);
                self.record_slow_wait(now, request);
            }
            self.cancel_run(link, run, out);
        }
        self.fail(now, request, failure, out);
    }
}
