//! Deadlines of routed requests, and runs that are silent.

use super::*;
use crate::silence::{Observation, Step};
use crate::tree::Repeat;

/// The interval between two ticks beyond which this process itself is taken to have been paused, so
/// that missing data does not indicate a stalled upstream.
const MAX_TICK_INTERVAL: Span = Span::from_millis(250);
/// The interval between reports on upstreams whose answers are overdue; a report reaches the other
/// entries after up to three batches of hints.
const OVERDUE_INTERVAL: Span = Span::from_millis(100);
/// The longest further delay that is expected of an overdue answer.
const MAX_OVERDUE: Span = Span::from_millis(1_000);

impl Entry {
    /// Ends requests past their deadline and starts second runs beside silent ones.
    pub(in crate::entry) fn check_routed(&mut self, now: Time, out: &mut Outputs) {
        if now.since(self.last_tick) > MAX_TICK_INTERVAL {
            self.peers.heard_from_all(now);
            let states = self
                .flights
                .values_mut()
                .filter_map(|f| f.route_state.as_mut());
            states.for_each(|state| state.run.heard_at = now);
        }
        self.last_tick = now;
        self.record_slow_waits(now);
        self.report_overdue(now, out);
        let mut expired: Vec<RequestId> = Vec::new();
        let mut silent: Vec<(RequestId, Link, Step)> = Vec::new();
        for (request, flight) in &self.flights {
            let Some(route_state) = &flight.route_state else {
                continue;
            };
            if now >= flight.deadline {
                expired.push(*request);
                continue;
            }
            let silence = self.silence(now, flight, route_state);
            let steps = silence.map(|(link, silence)| (*request, link, silence.step()));
            silent.extend(steps.filter(|(_, _, step)| *step != Step::Wait));
        }
        expired.sort_unstable();
        silent.sort_unstable_by_key(|(request, ..)| *request);
        for request in expired {
            self.expire(now, request, out);
        }
        for (request, link, step) in silent {
            match step {
                Step::Wait => {}
                Step::Probe if self.peers.probe(link, now) => out.push(Output::Probe(link)),
                Step::Probe => {}
                Step::Start => self.on_silence(now, request, link, out),
            }
        }
    }

    /// Reports the upstreams of contended pools that have not answered a prompt within its expected
    /// time: they read longer than expected, and other entries would send them more.
    fn report_overdue(&mut self, now: Time, out: &mut Outputs) {
        if now.since(self.overdue_checked) < OVERDUE_INTERVAL {
            return;
        }
        self.overdue_checked = now;
        let mut overdue: BTreeMap<Link, Span> = BTreeMap::new();
        for flight in self.flights.values() {
            let (Some(link), Some(state)) = (flight.link, &flight.route_state) else {
                continue;
            };
            if flight.head_sent || !self.peers.is_contended(&flight.pool) {
                continue;
            }
            let expected = state.run.estimate.time_to_first_byte() + OVERDUE_INTERVAL;
            let over = now.since(state.run.sent_at) - expected;
            if over > Span::default() {
                let longest = overdue.entry(link).or_default();
                *longest = over.max(*longest);
            }
        }
        for (link, over) in overdue {
            // What has taken longer than expected takes as much longer again, on average.
            let left = over.max(OVERDUE_INTERVAL).min(MAX_OVERDUE);
            let start_id = self.peers.extend_queue(link, left, now);
            out.extend(start_id.map(|start_id| Output::Overdue(start_id, left)));
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

    /// Returns what is known of the silence of the current run of a request, with its upstream, if a
    /// second run may be started beside it.
    fn silence(
        &self,
        now: Time,
        flight: &Flight,
        state: &RouteState,
    ) -> Option<(Link, Observation)> {
        let link = flight.link?;
        let may_repeat = match flight.head_sent {
            true => state.route.repeat == Repeat::Resume,
            false => !flight.at_most_once,
        };
        let has_tries = state.runs < state.route.tries;
        if !may_repeat || !has_tries || state.second.is_some() || now < state.second_after {
            return None;
        }
        let read_since = match state.run.reading {
            Reading::Steady => state.run.sent_at,
            // What is not read cannot be told from what does not come.
            Reading::Paused => return None,
            Reading::Continued(at) => at,
        };
        let peer = self.peers.get(link);
        let of_upstream = peer.map_or(read_since, |peer| peer.last_heard);
        let is_contended = self.peers.is_contended(&flight.pool);
        let heard_at = match flight.head_sent && !is_contended {
            true => state.run.heard_at,
            false => of_upstream.max(state.run.heard_at),
        };
        let workload = state.workload(&flight.pool);
        let patience = match flight.head_sent {
            true => self.intervals.patience(&flight.pool),
            false => {
                let expected = state.run.estimate.time_to_first_byte();
                self.latencies.stall_timeout(&workload, expected)
            }
        };
        let tokens = state.run.estimate.uncached_tokens;
        let silence = Observation {
            silent: now.since(heard_at.max(read_since)),
            patience,
            read: self.latencies.estimate(&workload, tokens),
            pause: flight.head_sent.then_some(state.route.pause),
            is_contended,
            is_upstream_silent: now.since(of_upstream) > patience,
            is_upstream_gone: peer.and_then(|peer| peer.probe.is_gone()),
        };
        Some((link, silence))
    }

    /// Handles a silence after which another upstream is asked.
    fn on_silence(&mut self, now: Time, request: RequestId, link: Link, out: &mut Outputs) {
        let flight = self.flights.get_mut(&request);
        let state = flight.and_then(|flight| flight.route_state.as_mut());
        let is_first = state.is_some_and(|s| !std::mem::replace(&mut s.run.recorded_silent, true));
        if is_first {
            self.record_saturation(now, request);
            self.record_slow_wait(now, request);
            self.record_stall(now, request);
            self.peers.failed(link, now);
        }
        self.start_second(now, request, out);
    }

    /// Fails a request whose deadline has passed.
    fn expire(&mut self, now: Time, request: RequestId, out: &mut Outputs) {
        let Some(flight) = self.flights.get(&request) else {
            return;
        };
        let (run, failure) = (flight.run, timed_out(flight));
        if flight.link.is_some() && !flight.head_sent {
            self.record_saturation(now, request);
            self.record_slow_wait(now, request);
        }
        self.abort_run(now, run, failure, out);
    }
}
