//! Requests that arrive before the entry has a configuration and upstreams.
//!
//! After a start both arrive within a few milliseconds, so waiting serves a request that would
//! otherwise be refused and cost its caller one of few attempts. The same applies after a
//! suspension of the machine until the state has been refreshed.

use super::*;

/// The maximum wait for the configuration and upstreams. Entries that restart all at once have both
/// within 150 ms; a refused caller retries after 500 ms.
const MAX_WAIT: Span = Span::from_millis(300);
/// The maximum number of waiting requests; further ones are refused immediately. About ten times
/// the number that an entry receives within [`MAX_WAIT`].
const MAX_PENDING: usize = 512;

/// A waiting request.
#[derive(Debug)]
pub(super) struct Pending {
    request: Request,
    since: Time,
}

impl Pending {
    /// Returns the request with its remaining time reduced by the wait.
    fn into_request(mut self, waited: Span) -> Request {
        if let Payload::Routed(routed) = &mut self.request.payload {
            routed.time_left = routed.time_left.map(|left| left - waited);
        }
        self.request
    }
}

impl Entry {
    /// Returns whether a request must wait for the configuration and upstreams.
    fn must_wait(&self, incoming: &Request) -> bool {
        let routed = matches!(incoming.payload, Payload::Routed(_));
        routed && !self.draining && !self.is_initialized() && self.pending.len() < MAX_PENDING
    }

    fn is_initialized(&self) -> bool {
        let known = self.tree.is_known() && self.peers.iter().next().is_some();
        known && !self.suspended
    }

    /// Handles a request, or queues it until the configuration and upstreams are known.
    pub(super) fn handle_or_queue(&mut self, now: Time, incoming: Request, out: &mut Outputs) {
        match self.must_wait(&incoming) {
            true => self.pending.push(Pending {
                request: incoming,
                since: now,
            }),
            false => self.handle_request(now, incoming, out),
        }
    }

    /// Handles the queued requests whose wait has ended or timed out.
    ///
    /// Runs on a tick rather than when the first upstream joins: upstreams join one by one, and the
    /// first would receive all requests.
    pub(super) fn handle_pending(&mut self, now: Time, out: &mut Outputs) {
        let all = self.is_initialized() || self.draining;
        let waits = |pending: &Pending| !all && now.since(pending.since) < MAX_WAIT;
        let (kept, due): (Vec<Pending>, Vec<Pending>) = std::mem::take(&mut self.pending)
            .into_iter()
            .partition(waits);
        self.pending = kept;
        for pending in due {
            let waited = now.since(pending.since);
            self.handle_request(now, pending.into_request(waited), out);
        }
    }

    /// Removes a queued request whose caller disconnected; returns whether it was queued.
    pub(super) fn drop_pending(
        &mut self,
        now: Time,
        request: RequestId,
        out: &mut Outputs,
    ) -> bool {
        let position = self
            .pending
            .iter()
            .position(|e| e.request.request == request);
        let Some(pending) = position.map(|position| self.pending.swap_remove(position)) else {
            return false;
        };
        out.push(Output::RequestEnded(Summary {
            request,
            account: None,
            class: Class::default(),
            plain: false,
            first_byte: None,
            duration: now.since(pending.since),
            failure: Some(Reason::Cancelled),
        }));
        true
    }
}
