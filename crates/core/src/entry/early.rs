//! Requests that come before this entry knows configuration and upstreams.
//!
//! After a start both are a few milliseconds away, so a request that waits for them
//! is served where a refusal would cost its caller one of few tries. The same holds after a
//! suspension of the machine, until what is known has been heard anew.

use super::*;

/// How long a request waits for configuration and upstreams: after a kill of all
/// entries of a site each had both within 0.15 s of its start, and a caller that is
/// refused comes back after half a second.
const WAIT: Span = Span::from_millis(300);
/// The most requests that wait, beyond which they are refused at once: some ten
/// times what comes to an entry in the time.
const MOST: usize = 512;

/// A request that waits.
#[derive(Debug)]
pub(super) struct Early {
    ask: Request,
    since: Time,
}

impl Early {
    /// Returns the request with the time left that its caller still waits.
    fn after(mut self, waited: Span) -> Request {
        if let Payload::Routed(routed) = &mut self.ask.payload {
            routed.time_left = routed.time_left.map(|left| left - waited);
        }
        self.ask
    }
}

impl Entry {
    /// Returns whether a request is to wait for what is not known yet.
    fn is_early(&self, ask: &Request) -> bool {
        let routed = matches!(ask.payload, Payload::Routed(_));
        routed && !self.leaving && !self.knows_enough() && self.early.len() < MOST
    }

    fn knows_enough(&self) -> bool {
        let knows = self.tree.revision() > Revision(0) && self.peers.iter().next().is_some();
        knows && !self.suspended
    }

    /// Takes a request in, or keeps it for when enough is known.
    pub(super) fn ask_or_wait(&mut self, now: Time, ask: Request, out: &mut Outputs) {
        match self.is_early(&ask) {
            true => self.early.push(Early { ask, since: now }),
            false => self.ask(now, ask, out),
        }
    }

    /// Takes in the requests that need not wait any longer, or have waited too long.
    ///
    /// Upstreams come one by one, so this waits for a tick: the first one would get
    /// everything otherwise.
    pub(super) fn tick_early(&mut self, now: Time, out: &mut Outputs) {
        let all = self.knows_enough() || self.leaving;
        let waits = |early: &Early| !all && now.since(early.since) < WAIT;
        let (kept, due): (Vec<Early>, Vec<Early>) =
            std::mem::take(&mut self.early).into_iter().partition(waits);
        self.early = kept;
        for early in due {
            let waited = now.since(early.since);
            self.ask(now, early.after(waited), out);
        }
    }

    /// Forgets a request whose caller went away; returns whether it waited.
    pub(super) fn forget_early(
        &mut self,
        now: Time,
        request: RequestId,
        out: &mut Outputs,
    ) -> bool {
        let place = self.early.iter().position(|e| e.ask.request == request);
        let Some(early) = place.map(|place| self.early.swap_remove(place)) else {
            return false;
        };
        out.push(Output::RequestEnded(Summary {
            request,
            account: None,
            class: Class::default(),
            plain: false,
            first_byte: None,
            duration: now.since(early.since),
            failure: Some(Reason::Cancelled),
        }));
        true
    }
}
