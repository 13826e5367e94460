//! How an entry keeps requests from upstreams that they would crash.
//!
//! What crashes each upstream that runs it is not known by the identity of a try: callers send it again
//! under another one, to any entry. So what a run did to its upstream is held against what was asked
//! ([`crate::quarantine`]), and every way to an upstream leads past [`Entry::admit_again`].

use super::flight::Flight;
use super::*;
use crate::quarantine::{Admission, Change, Run as Sighting, Update};
use std::collections::BTreeSet;

/// When the caller of a request that is being tried elsewhere may come back: a run that
/// crashes its upstream does so some 100 ms after it began.
const TRIAL: Span = Span::from_millis(1_000);

impl Entry {
    /// Checks that a request may be sent to an upstream, the first time or once more: one that crashes
    /// whatever runs it would take the whole pool with it.
    pub(super) fn admit_again(&mut self, now: Time, flight: &Flight) -> Result<(), Failure> {
        let after = match self.quarantine.admits(flight.fingerprint, now) {
            Admission::Allowed => return Ok(()),
            Admission::Trial if !self.is_under_way(flight.fingerprint) => return Ok(()),
            Admission::Trial => TRIAL,
            Admission::Held(left) => left,
        };
        Err(held_back(flight.fingerprint).retry_after(after))
    }

    /// Returns whether a request whose upstream crashed is to be sent to another by this entry. A
    /// suspect is not while another run of it is under way: what comes of that one shows whether
    /// it was the cause, before more upstreams are lost.
    pub(super) fn may_follow(&self, now: Time, request: RequestId) -> bool {
        let Some(flight) = self.flights.get(&request) else {
            return false;
        };
        let fingerprint = flight.fingerprint;
        !self.quarantine.is_suspect(fingerprint, now) || !self.is_under_way(fingerprint)
    }

    /// Returns whether a run of a request is at an upstream.
    fn is_under_way(&self, fingerprint: Fingerprint) -> bool {
        let is_there = |f: &Flight| f.fingerprint == fingerprint && f.at.is_some();
        self.flights.values().any(is_there)
    }

    /// Returns the upstreams to which a request had better not go: those it was sent to, and
    /// where it is a suspect those of other suspects.
    pub(super) fn apart(&self, now: Time, flight: &Flight) -> Vec<Link> {
        let mut avoided = flight.tried.clone();
        if self.quarantine.is_suspect(flight.fingerprint, now) {
            let suspects = |f: &&Flight| self.quarantine.is_suspect(f.fingerprint, now);
            let others = self.flights.values().filter(suspects);
            avoided.extend(others.filter_map(|f| f.at));
        }
        avoided
    }

    /// Notes that the upstream of a run went down.
    pub(super) fn note_lost(&mut self, now: Time, request: RequestId) {
        let Some(flight) = self.flights.get(&request) else {
            return;
        };
        let Some(peer) = flight.tried.last().and_then(|link| self.peers.get(*link)) else {
            return;
        };
        let number = peer.start_id();
        let sighting = Sighting {
            fingerprint: flight.fingerprint,
            pool: &flight.pool,
            upstream: number,
            spread: spread(
                &self.flights,
                &self.peers,
                flight.fingerprint,
                flight.tried.last(),
            ),
        };
        self.quarantine.record_crash(&sighting, now);
        self.peers.suspect_restart_of_id(number);
    }

    /// Takes in what another entry tells of requests under which upstreams crashed.
    pub(super) fn take_word(&mut self, now: Time, word: Update) {
        if let Update::Crashed { upstream, .. } = &word {
            self.peers.suspect_restart_of_id(*upstream);
        }
        let (flights, peers) = (&self.flights, &self.peers);
        self.quarantine.merge(word, now, |fingerprint| {
            spread(flights, peers, fingerprint, None)
        });
    }

    /// Notes that a request was answered whole.
    pub(super) fn note_answered(&mut self, now: Time, flight: &Flight) {
        if flight.status < 500 {
            self.quarantine
                .record_answer(flight.fingerprint, &flight.pool, now);
        }
    }

    /// Tells others what was found out about requests, and ends what is held back from now on.
    pub(super) fn tell_of_quarantine(&mut self, now: Time, out: &mut Outputs) {
        for news in self.quarantine.take_changes() {
            match news {
                Change::Held(fingerprint, hold, crashes) => {
                    let left = hold.until.since(now).millis();
                    log::warn!(
                        "event=quarantined fingerprint={fingerprint} crashes={crashes} for_ms={left} before={}",
                        hold.previous
                    );
                    self.end_held(now, fingerprint, out);
                }
                Change::Freed(fingerprint) => {
                    log::info!("event=quarantine-lifted fingerprint={fingerprint} by=answer");
                }
            }
            out.push(Output::RecordQuarantine(news));
        }
        out.extend(
            self.quarantine
                .take_updates()
                .into_iter()
                .map(Output::QuarantineUpdate),
        );
    }

    /// Ends the runs of a request that is held back and that have not begun to answer, before
    /// they crash their upstreams. Those that have would do so within some 100 ms; where they
    /// do not, their whole answer frees the request.
    fn end_held(&mut self, now: Time, fingerprint: Fingerprint, out: &mut Outputs) {
        let has_begun = |f: &Flight| f.headed && f.at.is_some();
        let is_there = |f: &Flight| f.fingerprint == fingerprint && !has_begun(f);
        let runs = self.flights.iter().filter(|(_, f)| is_there(f));
        let mut runs: Vec<(RequestId, Option<Link>, Run)> =
            runs.map(|(request, f)| (*request, f.at, f.run)).collect();
        runs.sort_unstable();
        for (request, link, run) in runs {
            out.extend(link.map(|link| Output::Send(link, Frame::Cancel(run))));
            if let Some(flight) = self.flights.get_mut(&request) {
                flight.verdict = flight.known_verdict();
            }
            self.history.outcome(request, "broken off");
            self.give_up(now, request, held_back(fingerprint), out);
        }
    }
}

/// Returns the share of a pool's upstreams, without the one that crashed, at which runs of
/// a request are: so likely is it that it was at one which crashes for another reason. One
/// such run says nothing: the caller may have sent what crashes upstreams twice.
fn spread(
    flights: &HashMap<RequestId, Flight>,
    peers: &Peers,
    fingerprint: Fingerprint,
    crashed: Option<&Link>,
) -> f64 {
    let of = |f: &&Flight| f.fingerprint == fingerprint;
    let links = flights.values().filter(of).filter_map(|f| f.at);
    let there: BTreeSet<Link> = links.filter(|link| Some(link) != crashed).collect();
    let pool = flights.values().find(of).map(|f| &f.pool);
    let all = pool.map_or(0, |pool| peers.available_count(pool));
    there.len().saturating_sub(1) as f64 / all.saturating_sub(1).max(1) as f64
}

fn held_back(fingerprint: Fingerprint) -> Failure {
    let message = format!("upstreams crashed under request {fingerprint}, it is held back");
    Failure::not_run(Reason::Quarantined, message)
}
