//! What answers to routed requests tell of upstreams and releases.

use super::*;

impl Entry {
    pub(super) fn report_direct(&mut self, link: Link, load: (u32, u32, u32), now: Time) {
        let Some(peer) = self.peers.get(link) else {
            return;
        };
        let (running, queued, slots) = load;
        let load = Load {
            running,
            queued,
            slots,
            wait: waiting(queued, slots),
            ..peer.load
        };
        self.peers.report(link, load, now);
    }

    /// Notes that the upstream of a run has read its prompt, or does not have to.
    pub(in crate::entry) fn end_reading(&mut self, request: RequestId) {
        let Some(flight) = self.flights.get_mut(&request) else {
            return;
        };
        let Some((terms, link)) = flight.terms.as_mut().zip(flight.at) else {
            return;
        };
        if std::mem::take(&mut terms.outlook.reads) {
            self.peers.prefill_ended(link, terms.outlook.reading);
        }
    }

    /// Learns how long an answer took to begin, or has been waited for, from releases that
    /// are not on trial.
    pub(super) fn learn_reading(&mut self, now: Time, request: RequestId) {
        let Some(flight) = self.flights.get(&request) else {
            return;
        };
        let pool = &flight.pool;
        let Some(terms) = flight.terms.as_ref().filter(|_| !flight.headed) else {
            return;
        };
        let release = flight.version();
        if release.is_some_and(|release| self.releases.is_on_trial(pool, release)) {
            return;
        }
        let Outlook { fresh, behind, .. } = terms.outlook;
        let took = now.since(terms.sent);
        self.readings
            .record(&terms.subject(pool), fresh, behind, took);
    }

    /// Tells the releases what the beginning of an answer shows.
    pub(super) fn learn_release(&mut self, now: Time, request: RequestId, good: bool) {
        let Some(flight) = self.flights.get(&request) else {
            return;
        };
        if flight.terms.as_ref().is_some_and(|t| t.told_slow) {
            return;
        }
        let sent = flight.terms.as_ref().map(|t| t.sent);
        let first = sent.filter(|_| good).map(|sent| now.since(sent));
        let Some(answer) = flight.tells(now, first) else {
            return;
        };
        if self.releases.record_answer(&answer) {
            warn_of(&answer, "own");
        }
    }

    /// Tells the releases of a run that has been waited for so long already that it is slow,
    /// whenever it begins: a release on trial that hangs would hold the evidence against it back
    /// for as long as is waited.
    pub(super) fn learn_waiting(&mut self, now: Time, request: RequestId) {
        let Some(flight) = self.flights.get(&request).filter(|f| !f.headed) else {
            return;
        };
        let waited = flight.terms.as_ref().filter(|t| !t.told_slow);
        let waited = waited.map(|t| now.since(t.sent));
        let Some(answer) = waited.and_then(|waited| flight.tells(now, Some(waited))) else {
            return;
        };
        if !self.releases.is_slow(&answer) {
            return;
        }
        if self.releases.record_answer(&answer) {
            warn_of(&answer, "waited");
        }
        let flight = self.flights.get_mut(&request);
        if let Some(terms) = flight.and_then(|f| f.terms.as_mut()) {
            terms.told_slow = true;
        }
    }

    /// Tells the releases that a stream fell silent midway and is left.
    pub(super) fn learn_stalled(&mut self, now: Time, request: RequestId) {
        let Some(flight) = self.flights.get(&request).filter(|f| f.headed) else {
            return;
        };
        let Some(answer) = flight.tells(now, None) else {
            return;
        };
        if self.releases.record_stall(&answer) {
            warn_of(&answer, "stalled");
        }
    }

    /// Tells the releases how far apart the events of a whole stream were.
    pub(super) fn learn_pace(&mut self, now: Time, request: RequestId) {
        let Some(flight) = self.flights.get(&request) else {
            return;
        };
        let (Some(terms), Some(first), Some(answer)) =
            (&flight.terms, flight.first, flight.tells(now, None))
        else {
            return;
        };
        // A stream that went on elsewhere paused for a reason of its own.
        if !terms.route.stream || terms.sent > first {
            return;
        }
        let events = u64::from(flight.parts);
        if self.releases.record_pace(&answer, events, now.since(first)) {
            warn_of(&answer, "pace");
        }
    }

    /// Learns whether asking another upstream after an error helped.
    pub(super) fn learn_merit(&mut self, request: RequestId, good: bool) {
        let flight = self.flights.get_mut(&request);
        let Some((flight, terms)) = flight.and_then(|f| f.terms.as_mut().map(|t| (&f.pool, t)))
        else {
            return;
        };
        if std::mem::take(&mut terms.erred) {
            self.merits.record(flight, &terms.name, good);
        }
    }

    /// Notes how long a run took to begin, or has been waited for.
    pub(super) fn note_strain(&mut self, now: Time, request: RequestId) {
        let Some(flight) = self.flights.get(&request) else {
            return;
        };
        if let Some(terms) = flight.terms.as_ref().filter(|t| t.route.stream) {
            let waited = now.since(terms.sent);
            self.strains
                .record(&flight.pool, waited, terms.route.objective);
        }
    }
}

fn warn_of(answer: &release::Answer, by: &str) {
    log::warn!(
        "event=release-bad pool={} release={} upstream={} by={by}",
        answer.pool,
        answer.release,
        answer.upstream
    );
}

/// Returns the expected wait behind the requests that are queued.
fn waiting(queued: u32, slots: u32) -> Span {
    /// How long a request holds a slot, about.
    const SERVICE: Span = Span::from_millis(1500);
    /// How long its prompt takes to be read, about: 4,000 tokens at 112 a millisecond.
    const READING: Span = Span::from_millis(40);
    let each = SERVICE.micros() / u64::from(slots.max(1));
    Span::from_micros(u64::from(queued) * each.max(READING.micros()))
}
