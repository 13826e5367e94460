//! The planned stop of an entry whose requests go to upstreams directly.
//!
//! Until the load balancer has noticed, requests still come. One that may run at most once is
//! refused if its time may outlast the process: its answer would be lost. What is in flight when
//! the process ends is told so.

use super::flight::Flight;
use super::*;

/// When a stopping entry ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stop {
    /// When new connections are no longer accepted.
    pub shut_at: Time,
    /// When the requests that are still in flight are answered without their upstreams.
    pub ends_at: Time,
}

impl Entry {
    /// Refuses a request that must not be cut off and may be.
    pub(super) fn check_stop(&self, now: Time, flight: &Flight) -> Result<(), Failure> {
        match self.stop {
            Some(stop) if flight.at_most_once && flight.deadline > stop.ends_at => {
                let message = "this entry may stop before the request ends";
                let failure = Failure::not_run(Reason::Leaving, message);
                // A new connection may come here again until then.
                let wait = stop.shut_at.since(now).max(routed::MIN_RETRY_AFTER);
                Err(failure.retry_after(wait))
            }
            _ => Ok(()),
        }
    }

    /// Answers all requests in flight once the process is about to end.
    pub(super) fn end_at_stop(&mut self, now: Time, out: &mut Outputs) {
        if self.draining || self.stop.is_none_or(|stop| now < stop.ends_at) {
            return;
        }
        self.draining = true;
        let mut requests: Vec<RequestId> = self.flights.keys().copied().collect();
        requests.sort_unstable();
        for request in requests {
            self.end_flight(now, request, out);
        }
    }

    fn end_flight(&mut self, now: Time, request: RequestId, out: &mut Outputs) {
        let Some(flight) = self.flights.get(&request) else {
            return;
        };
        let message = "this entry has stopped before the answer was complete";
        let failure = Failure::new(Reason::Leaving, flight.current_verdict(), message);
        let run = flight.run;
        self.abort_run(now, run, failure, out);
    }
}
