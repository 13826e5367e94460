//! Keeps requests that crash upstreams from being sent to further ones.
//!
//! A caller repeats such a request under a new identifier and to any entry, so crashes are
//! attributed to the fingerprint of the content ([`crate::quarantine`]), and every path to an
//! upstream calls [`Entry::check_quarantine`].

use super::flight::Flight;
use super::*;
use crate::quarantine::{Admission, Change, Run as Observation, Update};
use std::collections::BTreeSet;

/// The `Retry-After` of a request while a trial run of the same content is active. A run that
/// crashes its upstream does so about 100 ms after its start.
const TRIAL_RETRY_AFTER: Span = Span::from_millis(1_000);

impl Entry {
    /// Checks before each attempt that a request is not quarantined: retries of a request that
    /// crashes its upstream would take down the whole pool.
    pub(super) fn check_quarantine(&mut self, now: Time, flight: &Flight) -> Result<(), Failure> {
        let after = match self.quarantine.admits(flight.fingerprint, now) {
            Admission::Allowed => return Ok(()),
            Admission::Trial if !self.is_running(flight.fingerprint) => return Ok(()),
            Admission::Trial => TRIAL_RETRY_AFTER,
            Admission::Held(left) => left,
        };
        Err(quarantine_failure(flight.fingerprint).retry_after(after))
    }

    /// Returns whether a request may be retried after its upstream crashed. A suspect is not
    /// retried while another run of it is active: the outcome of that run shows whether the request
    /// caused the crash, before further upstreams are lost.
    pub(super) fn may_retry_after_crash(&self, now: Time, request: RequestId) -> bool {
        let Some(flight) = self.flights.get(&request) else {
            return false;
        };
        let fingerprint = flight.fingerprint;
        !self.quarantine.is_suspect(fingerprint, now) || !self.is_running(fingerprint)
    }

    /// Returns whether a run with this fingerprint is active.
    fn is_running(&self, fingerprint: Fingerprint) -> bool {
        let is_match = |f: &Flight| f.fingerprint == fingerprint && f.link.is_some();
        self.flights.values().any(is_match)
    }

    /// Returns the upstreams that a request should avoid: those already tried and, for a suspect,
    /// those that run other suspects.
    pub(super) fn avoided(&self, now: Time, flight: &Flight) -> Vec<Link> {
        let mut avoided = flight.tried.clone();
        if self.quarantine.is_suspect(flight.fingerprint, now) {
            let suspects = |f: &&Flight| self.quarantine.is_suspect(f.fingerprint, now);
            let others = self.flights.values().filter(suspects);
            avoided.extend(others.filter_map(|f| f.link));
        }
        avoided
    }

    /// Records that the upstream of a run crashed.
    pub(super) fn record_crash(&mut self, now: Time, request: RequestId) {
        let Some(flight) = self.flights.get(&request) else {
            return;
        };
        let Some(peer) = flight.tried.last().and_then(|link| self.peers.get(*link)) else {
            return;
        };
        let start_id = peer.start_id();
        let observation = Observation {
            fingerprint: flight.fingerprint,
            pool: &flight.pool,
            upstream: start_id,
            spread: spread(
                &self.flights,
                &self.peers,
                flight.fingerprint,
                flight.tried.last(),
            ),
        };
        self.quarantine.record_crash(&observation, now);
        self.peers.suspect_restart_of_id(start_id);
    }

    /// Applies another entry's report of a crash or of an answered suspect.
    pub(super) fn apply_quarantine_update(&mut self, now: Time, update: Update) {
        if let Update::Crashed { upstream, .. } = &update {
            self.peers.suspect_restart_of_id(*upstream);
        }
        let (flights, peers) = (&self.flights, &self.peers);
        self.quarantine.merge(update, now, |fingerprint| {
            spread(flights, peers, fingerprint, None)
        });
    }

    /// Records that a request was answered completely.
    pub(super) fn record_answered(&mut self, now: Time, flight: &Flight) {
        if flight.status < 500 {
            self.quarantine
                .record_answer(flight.fingerprint, &flight.pool, now);
        }
    }

    /// Emits the changes of the quarantine and cancels the runs of requests that became
    /// quarantined.
    pub(super) fn emit_quarantine(&mut self, now: Time, out: &mut Outputs) {
        for change in self.quarantine.take_changes() {
            match change {
                Change::Held(fingerprint, hold, crashes) => {
                    let left = hold.until.since(now).millis();
                    log::warn!(
                        "event=quarantined fingerprint={fingerprint} crashes={crashes} for_ms={left} before={}",
                        hold.previous
                    );
                    self.cancel_quarantined(now, fingerprint, out);
                }
                Change::Freed(fingerprint) => {
                    log::info!("event=quarantine-lifted fingerprint={fingerprint} by=answer");
                }
            }
            out.push(Output::RecordQuarantine(change));
        }
        out.extend(
            self.quarantine
                .take_updates()
                .into_iter()
                .map(Output::QuarantineUpdate),
        );
    }

    /// Cancels the runs of a quarantined request that have not started to answer, before they crash
    /// their upstreams. Runs that are answering continue: they would crash within about 100 ms, and
    /// a complete answer lifts the quarantine.
    fn cancel_quarantined(&mut self, now: Time, fingerprint: Fingerprint, out: &mut Outputs) {
        let is_answering = |f: &Flight| f.head_sent && f.link.is_some();
        let is_match = |f: &Flight| f.fingerprint == fingerprint && !is_answering(f);
        let runs = self.flights.iter().filter(|(_, f)| is_match(f));
        let mut runs: Vec<(RequestId, Option<Link>, Run)> =
            runs.map(|(request, f)| (*request, f.link, f.run)).collect();
        runs.sort_unstable();
        for (request, link, run) in runs {
            out.extend(link.map(|link| Output::Send(link, Frame::Cancel(run))));
            if let Some(flight) = self.flights.get_mut(&request) {
                flight.verdict = flight.current_verdict();
            }
            self.history.set_outcome(request, "broken off");
            self.fail(now, request, quarantine_failure(fingerprint), out);
        }
    }
}

/// Returns the fraction of a pool's upstreams, without the crashed one, that run a request. This is
/// the probability that the request ran by chance on an upstream that crashed for another reason.
/// One run is not counted, since the caller may have sent a crashing request twice.
fn spread(
    flights: &HashMap<RequestId, Flight>,
    peers: &Peers,
    fingerprint: Fingerprint,
    crashed: Option<&Link>,
) -> f64 {
    let is_match = |f: &&Flight| f.fingerprint == fingerprint;
    let links = flights.values().filter(is_match).filter_map(|f| f.link);
    let links: BTreeSet<Link> = links.filter(|link| Some(link) != crashed).collect();
    let pool = flights.values().find(is_match).map(|f| &f.pool);
    let all = pool.map_or(0, |pool| peers.available_count(pool));
    links.len().saturating_sub(1) as f64 / all.saturating_sub(1).max(1) as f64
}

fn quarantine_failure(fingerprint: Fingerprint) -> Failure {
    let message = format!("upstreams crashed under request {fingerprint}, it is held back");
    Failure::not_run(Reason::Quarantined, message)
}
