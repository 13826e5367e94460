//! What is done when a routed request has waited too long.

use super::*;
use crate::tree::Repeat;

/// How long an upstream may be silent in the middle of a stream before the
/// request goes on elsewhere: events come some 40 ms apart, and an answer is
/// late after a pause of 1.2 s.
const SILENT_MIDWAY: Span = Span::from_millis(700);
/// The time between two ticks from which this process is taken to have stood
/// still, so that the silence of upstreams says nothing.
const STOOD_STILL: Span = Span::from_millis(250);

impl Entry {
    /// Ends what has taken too long and moves what waits at a silent upstream.
    pub(in crate::entry) fn tick_routed(&mut self, now: Time, out: &mut Outputs) {
        if now.since(self.ticked) > STOOD_STILL {
            self.peers.heard_from_all(now);
        }
        self.ticked = now;
        self.learn_all_waiting(now);
        let mut due: Vec<RequestId> = Vec::new();
        let mut silent: Vec<(RequestId, Link, Run)> = Vec::new();
        for (request, flight) in &self.flights {
            let Some(terms) = &flight.terms else {
                continue;
            };
            if now >= flight.deadline {
                due.push(*request);
            } else if let Some(link) = self.silent_at(now, flight, terms) {
                silent.push((*request, link, flight.run));
            }
        }
        due.sort_unstable();
        silent.sort_unstable();
        for request in due {
            self.expire(now, request, out);
        }
        for (request, link, run) in silent {
            self.leave_silent(now, request, link, run, out);
        }
    }

    /// Tells the releases of all runs that are waited for where releases are compared.
    fn learn_all_waiting(&mut self, now: Time) {
        let compared =
            |f: &Flight| !f.headed && f.at.is_some() && self.releases.is_comparing(&f.pool);
        let waiting = self.flights.iter().filter(|(_, f)| compared(f));
        let mut waiting: Vec<RequestId> = waiting.map(|(request, _)| *request).collect();
        waiting.sort_unstable();
        for request in waiting {
            self.learn_waiting(now, request);
        }
    }

    /// Returns the upstream of a request that may run again if nothing has come
    /// from it for too long.
    fn silent_at(&self, now: Time, flight: &Flight, terms: &Terms) -> Option<Link> {
        let link = flight.at?;
        let may_move = match flight.headed {
            true => terms.route.repeat == Repeat::Resume,
            false => !flight.once,
        };
        if !may_move || terms.runs >= terms.route.tries {
            return None;
        }
        let heard = self.peers.get(link).map_or(terms.sent, |p| p.last_heard);
        let since = now.since(heard.max(terms.sent));
        let limit = match flight.headed {
            true => self.patience_midway(flight, terms),
            false => {
                let subject = terms.subject(&flight.pool);
                self.readings.stall_timeout(&subject, terms.outlook.first())
            }
        };
        (since > limit).then_some(link)
    }

    /// Returns how long a stream that has begun may be silent.
    ///
    /// Another upstream reads the prompt first. Where that alone makes the pause too long,
    /// an upstream that is only busy is the sooner one, until the pause is too long.
    fn patience_midway(&self, flight: &Flight, terms: &Terms) -> Span {
        let subject = terms.subject(&flight.pool);
        let anew = self.readings.estimate(&subject, terms.outlook.fresh);
        match SILENT_MIDWAY + anew <= terms.route.pause {
            true => SILENT_MIDWAY,
            false => terms.route.pause.max(SILENT_MIDWAY),
        }
    }

    fn leave_silent(
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
        if !self.pay(now, request, true) {
            return;
        }
        self.note_strain(now, request);
        self.learn_waiting(now, request);
        self.learn_reading(now, request);
        self.learn_stalled(now, request);
        self.peers.failed(link, now);
        self.drop_run(link, run, out);
        self.history.outcome(request, failure.to_string());
        let Some(flight) = self.flights.get_mut(&request) else {
            return;
        };
        flight.verdict = flight.verdict.raise(Verdict::MayHaveRun);
        flight.failed = Some(failure);
        flight.run = flight.run.next_attempt();
        self.dispatch(now, request, out);
    }

    /// Ends a request whose time has passed.
    fn expire(&mut self, now: Time, request: RequestId, out: &mut Outputs) {
        let Some(flight) = self.flights.get(&request) else {
            return;
        };
        let failure = timed_out(flight);
        if let Some(link) = flight.at {
            let run = flight.run;
            if !flight.headed {
                self.note_strain(now, request);
                self.learn_waiting(now, request);
            }
            self.drop_run(link, run, out);
        }
        self.give_up(now, request, failure, out);
    }
}
