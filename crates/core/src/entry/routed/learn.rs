//! Updates the statistics on upstreams and releases from the answers to routed requests.

use super::*;
use crate::pick::{PrefillEnd, Start};

impl Entry {
    pub(super) fn record_load(&mut self, link: Link, load: (u32, u32, u32), now: Time) {
        let Some(peer) = self.peers.get(link) else {
            return;
        };
        let (running, queued, slots) = load;
        let load = Load {
            running,
            queued,
            slots,
            wait: expected_wait(queued, slots),
            ..peer.load
        };
        self.peers.report(link, load, now);
    }

    /// Records that the upstream of a run completed its prefill, or that it no longer has to.
    pub(in crate::entry) fn finish_prefill(&mut self, request: RequestId, read_at: Option<Time>) {
        let Some(flight) = self.flights.get_mut(&request) else {
            return;
        };
        let Some((route_state, link)) = flight.route_state.as_mut().zip(flight.link) else {
            return;
        };
        if std::mem::take(&mut route_state.run.estimate.prefill_pending) {
            let sent_at = route_state.run.sent_at;
            let read = |read_at| PrefillEnd::Read { sent_at, read_at };
            let end = read_at.map_or(PrefillEnd::Abandoned, read);
            let prefill = route_state.run.estimate.prefill;
            self.peers.prefill_ended(link, prefill, end);
        }
    }

    /// Returns the usual time in which a prompt starts to be answered, without a wait.
    pub(super) fn usual_time(
        &self,
        pool: &PoolId,
        workload: &Workload,
        tokens: u32,
        now: Time,
    ) -> Span {
        match self.peers.is_contended(pool) {
            true => self.peers.usual_time(workload, tokens, now),
            false => self.latencies.estimate(workload, tokens),
        }
    }

    /// Returns the rate at which the prompts of a pool are read.
    pub(super) fn prefill_rate(
        &self,
        pool: &PoolId,
        workload: &Workload,
        tokens: u32,
        now: Time,
    ) -> Rate {
        match self.peers.is_contended(pool) {
            true => self.peers.usual_rate(workload, tokens, now),
            false => self.latencies.rate(workload),
        }
    }

    /// Records the time to the start of an answer, or the wait so far, for the latency model. Runs
    /// of a release on trial are left out.
    pub(super) fn record_latency(&mut self, now: Time, request: RequestId) {
        let Some(flight) = self.flights.get(&request) else {
            return;
        };
        let pool = &flight.pool;
        let Some(route_state) = flight.route_state.as_ref().filter(|_| !flight.head_sent) else {
            return;
        };
        let release = flight.version();
        if release.is_some_and(|release| self.releases.is_on_trial(pool, release)) {
            return;
        }
        let Estimate {
            uncached_tokens,
            wait,
            slowdown,
            ..
        } = route_state.run.estimate;
        let elapsed = now.since(route_state.run.sent_at);
        let workload = route_state.workload(pool);
        if !self.peers.is_contended(pool) {
            self.latencies
                .record(&workload, uncached_tokens, wait, elapsed);
            return;
        }
        if let Some(link) = flight.link {
            let start = Start {
                link,
                wait,
                slowdown,
                took: elapsed,
            };
            self.peers
                .record_start(&workload, uncached_tokens, start, now);
        }
    }

    /// Records the start of an answer, or an error, in the comparison of releases.
    pub(super) fn record_release_start(&mut self, now: Time, request: RequestId, good: bool) {
        let Some(flight) = self.flights.get(&request) else {
            return;
        };
        if flight
            .route_state
            .as_ref()
            .is_some_and(|t| t.run.recorded_slow)
        {
            return;
        }
        let sent = flight.route_state.as_ref().map(|t| t.run.sent_at);
        let first = sent.filter(|_| good).map(|sent| now.since(sent));
        let Some(answer) = flight.release_answer(now, first) else {
            return;
        };
        if self.releases.record_answer(&answer) {
            warn_bad_release(&answer, "own", self.releases.totals(answer.pool));
        }
    }

    /// Records a waiting run as slow once its wait alone makes it slow. Otherwise the evidence
    /// against a release on trial that hangs would be delayed until its runs time out.
    pub(super) fn record_slow_wait(&mut self, now: Time, request: RequestId) {
        let Some(flight) = self.flights.get(&request).filter(|f| !f.head_sent) else {
            return;
        };
        let waited = flight.route_state.as_ref().filter(|t| !t.run.recorded_slow);
        let waited = waited.map(|t| now.since(t.run.sent_at));
        let Some(answer) = waited.and_then(|waited| flight.release_answer(now, Some(waited)))
        else {
            return;
        };
        if !self.releases.is_slow(&answer) {
            return;
        }
        if self.releases.record_answer(&answer) {
            warn_bad_release(&answer, "waited", self.releases.totals(answer.pool));
        }
        let flight = self.flights.get_mut(&request);
        if let Some(route_state) = flight.and_then(|f| f.route_state.as_mut()) {
            route_state.run.recorded_slow = true;
        }
    }

    /// Records a stalled stream that was abandoned in the comparison of releases.
    pub(super) fn record_stall(&mut self, now: Time, request: RequestId) {
        let Some(flight) = self.flights.get(&request).filter(|f| f.head_sent) else {
            return;
        };
        let Some(answer) = flight.release_answer(now, None) else {
            return;
        };
        if self.releases.record_stall(&answer) {
            warn_bad_release(&answer, "stalled", self.releases.totals(answer.pool));
        }
    }

    /// Records the interval between the events of a complete stream in the comparison of releases.
    pub(super) fn record_event_interval(&mut self, now: Time, request: RequestId) {
        let Some(flight) = self.flights.get(&request) else {
            return;
        };
        let (Some(route_state), Some(first), Some(answer)) = (
            &flight.route_state,
            flight.first_byte_at,
            flight.release_answer(now, None),
        ) else {
            return;
        };
        // A resumed stream includes the pause of its switch between upstreams, and a stream whose
        // caller is slow to read is as slow as that.
        let is_steady =
            route_state.run.reading == Reading::Steady && route_state.run.sent_at <= first;
        if !route_state.route.stream || !is_steady {
            return;
        }
        let events = u64::from(flight.parts);
        if self.releases.record_pace(&answer, events, now.since(first)) {
            warn_bad_release(&answer, "pace", self.releases.totals(answer.pool));
        }
    }

    /// Records whether a retry at another upstream after an error succeeded.
    pub(super) fn record_retry_outcome(&mut self, request: RequestId, good: bool) {
        let flight = self.flights.get_mut(&request);
        let Some((pool, route_state)) =
            flight.and_then(|f| f.route_state.as_mut().map(|t| (&f.pool, t)))
        else {
            return;
        };
        if std::mem::take(&mut route_state.retries_error) {
            self.retry_outcomes.record(pool, &route_state.name, good);
        }
    }

    /// Records the time to the start of an answer, or the wait so far, in the load of the pool.
    pub(super) fn record_saturation(&mut self, now: Time, request: RequestId) {
        let Some(flight) = self.flights.get(&request) else {
            return;
        };
        if let Some(route_state) = flight.route_state.as_ref().filter(|t| t.route.stream) {
            let waited = now.since(route_state.run.sent_at);
            self.saturation
                .record(&flight.pool, waited, route_state.route.objective);
        }
    }
}

fn warn_bad_release(answer: &release::Answer, by: &str, totals: release::Totals) {
    log::warn!(
        "event=release-bad pool={} release={} upstream={} by={by} {totals}",
        answer.pool,
        answer.release,
        answer.upstream
    );
}

/// Returns the expected wait behind the queued requests.
fn expected_wait(queued: u32, slots: u32) -> Span {
    /// The approximate time for which a request occupies a slot.
    const SERVICE_TIME: Span = Span::from_millis(1500);
    /// The approximate prefill time of a prompt: 4,000 tokens at 112 per millisecond.
    const PREFILL: Span = Span::from_millis(40);
    let each = SERVICE_TIME.micros() / u64::from(slots.max(1));
    Span::from_micros(u64::from(queued) * each.max(PREFILL.micros()))
}
