//! Keeps requests that crash upstreams from being sent to further ones.
//!
//! A caller repeats such a request under a new identifier and to any entry, so crashes are
//! attributed to the fingerprint of the content ([`crate::quarantine`]), and every path to an
//! upstream calls [`Entry::check_quarantine`].

use super::flight::Flight;
use super::*;
use crate::quarantine::{Active, Admission, Change, Run as Observation, Update, SURVIVED};
use std::collections::BTreeSet;

/// The `Retry-After` of a request while a trial run of the same content is active. A run that
/// crashes its upstream does so about 100 ms after its start.
const TRIAL_RETRY_AFTER: Span = Span::from_millis(1_000);

impl Entry {
    /// Checks before each attempt that neither a request nor a part of its prompt is quarantined:
    /// retries of a request that crashes its upstream would take down the whole pool.
    pub(super) fn check_quarantine(&mut self, now: Time, flight: &Flight) -> Result<(), Failure> {
        for name in flight.names() {
            let after = match self.quarantine.admits(name, now) {
                Admission::Allowed => continue,
                Admission::Trial if !self.is_running(name) => continue,
                Admission::Trial => TRIAL_RETRY_AFTER,
                Admission::Held(left) => left,
            };
            return Err(quarantine_failure(flight, name).retry_after(after));
        }
        Ok(())
    }

    /// Returns whether a request may be retried after its upstream crashed. A suspect is not
    /// retried while another run of it is active: the outcome of that run shows whether the request
    /// caused the crash, before further upstreams are lost. With a suspected part it is not retried
    /// at all, since other requests with the part will show that.
    pub(super) fn may_retry_after_crash(&self, now: Time, request: RequestId) -> bool {
        let Some(flight) = self.flights.get(&request) else {
            return false;
        };
        let suspects = self.quarantine.suspects(now);
        if flight.prompt_parts.iter().any(|p| suspects.contains(p)) {
            return false;
        }
        let fingerprint = flight.fingerprint;
        !suspects.contains(&fingerprint) || !self.is_running(fingerprint)
    }

    /// Returns whether a run of this request, or with this part, is active.
    fn is_running(&self, name: Fingerprint) -> bool {
        let is_match = |f: &Flight| f.link.is_some() && f.has(name);
        self.flights.values().any(is_match)
    }

    /// Returns the upstreams that a request should avoid: those already tried and, for a suspect,
    /// those that run other suspects.
    pub(super) fn avoided(&self, now: Time, flight: &Flight) -> Vec<Link> {
        let mut avoided = flight.tried.clone();
        let suspects = self.quarantine.suspects(now);
        let is_suspect = |f: &Flight| f.names().any(|name| suspects.contains(&name));
        if !suspects.is_empty() && is_suspect(flight) {
            let others = self.flights.values().filter(|f| is_suspect(f));
            avoided.extend(others.flat_map(Flight::links));
        }
        avoided
    }

    /// Records that the upstream of a run crashed.
    pub(super) fn record_crash(&mut self, now: Time, request: RequestId) {
        if let Some(flight) = self.flights.remove(&request) {
            self.record_crash_of(now, &flight);
            self.flights.insert(request, flight);
        }
    }

    /// Handles whether the upstream was gone when an answer ended with its connection: such an answer
    /// looks complete also if the upstream crashed after an event.
    pub(super) fn on_checked(&mut self, now: Time, run: Run, is_gone: bool) {
        match self.unchecked.remove(&run) {
            Some(flight) if is_gone => self.record_crash_of(now, &flight),
            Some(flight) => self.record_answered(now, &flight),
            None => {}
        }
    }

    fn record_crash_of(&mut self, now: Time, flight: &Flight) {
        let Some(peer) = flight.tried.last().and_then(|link| self.peers.get(*link)) else {
            return;
        };
        let start_id = peer.start_id();
        let observation = Observation {
            fingerprint: flight.fingerprint,
            parts: &flight.prompt_parts,
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
        // Another answer may come from an upstream that did not read the prompt.
        if flight.status < 300 {
            self.quarantine
                .record_part_answers(&flight.prompt_parts, now);
        }
    }

    /// Holds back the parts of prompts that explain the recent crashes of upstreams.
    pub(super) fn judge_parts(&mut self, now: Time) {
        let (flights, peers) = (&self.flights, &self.peers);
        self.quarantine
            .judge_parts(now, |part| active(flights, peers, part, now));
    }

    /// Emits the changes of the quarantine and cancels the runs of requests that became
    /// quarantined.
    pub(super) fn emit_quarantine(&mut self, now: Time, out: &mut Outputs) {
        for change in self.quarantine.take_changes() {
            match change {
                Change::Held(fingerprint, hold, grounds) => {
                    let left = hold.until.since(now).millis();
                    log::warn!(
                        "event=quarantined fingerprint={fingerprint} {grounds} for_ms={left} before={}",
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

    /// Cancels the runs of a quarantined request, or with a quarantined part, that have not started
    /// to answer, before they crash their upstreams. Runs that are answering continue: they would
    /// crash within about 100 ms, and a complete answer lifts the quarantine.
    fn cancel_quarantined(&mut self, now: Time, fingerprint: Fingerprint, out: &mut Outputs) {
        let is_answering = |f: &Flight| f.head_sent && f.link.is_some();
        let is_match = |f: &Flight| f.has(fingerprint) && !is_answering(f);
        let runs = self.flights.iter().filter(|(_, f)| is_match(f));
        let mut runs: Vec<Run> = runs.map(|(_, f)| f.run).collect();
        runs.sort_unstable();
        for run in runs {
            let Some(flight) = self.flight(run) else {
                continue;
            };
            flight.verdict = flight.current_verdict();
            let failure = quarantine_failure(flight, fingerprint);
            self.history.set_outcome(run.request, "broken off");
            self.abort_run(now, run, failure, out);
        }
    }
}

/// Returns the fraction of a pool's upstreams, without the crashed one, that run a request or one
/// with a part. This is the probability that it was there by chance when an upstream crashed for
/// another reason. One run is not counted, since the caller may have sent a crashing request twice.
fn spread(
    flights: &HashMap<RequestId, Flight>,
    peers: &Peers,
    name: Fingerprint,
    crashed: Option<&Link>,
) -> f64 {
    let is_match = |f: &&Flight| f.has(name);
    let links = flights.values().filter(is_match).flat_map(Flight::links);
    let links: BTreeSet<Link> = links.filter(|link| Some(link) != crashed).collect();
    let pool = flights.values().find(is_match).map(|f| &f.pool);
    let all = pool.map_or(0, |pool| peers.available_count(pool));
    links.len().saturating_sub(1) as f64 / all.saturating_sub(1).max(1) as f64
}

/// Returns what the active runs tell about a part.
fn active(
    flights: &HashMap<RequestId, Flight>,
    peers: &Peers,
    part: Fingerprint,
    now: Time,
) -> Active {
    let mut active = Active {
        spread: spread(flights, peers, part, None),
        ..Active::default()
    };
    for flight in flights.values().filter(|f| f.link.is_some()) {
        let answers_since = flight.first_byte_at.filter(|_| flight.head_sent);
        let is_answering = answers_since.is_some_and(|at| now.since(at) >= SURVIVED);
        match flight.has(part) {
            true => active.answering += usize::from(is_answering),
            false => active.others_answering += usize::from(is_answering),
        }
    }
    active
}

fn quarantine_failure(flight: &Flight, name: Fingerprint) -> Failure {
    let what = match name == flight.fingerprint {
        true => "request",
        false => "requests with part",
    };
    let message = format!("upstreams crashed under {what} {name}, held back");
    Failure::not_run(Reason::Quarantined, message)
}
