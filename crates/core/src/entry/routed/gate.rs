//! Asks the gate of a contended pool before each run of a routed request.

use super::*;
use crate::admission::{Ask, Decision, Gates, Refusal};
use crate::pick::Outlook;

/// Returns whether a request may be sent now.
///
/// # Errors
///
/// Returns the failure of a request that the gate refuses. It says that nothing ran, and when to
/// return, only if no run of the request has reached an upstream.
pub(super) fn check(
    gates: &mut Gates,
    flight: &Flight,
    outlook: &Outlook,
    now: Time,
    draw: f64,
) -> Result<(), Failure> {
    let Some(ask) = flight.ask(now) else {
        return Ok(());
    };
    match gates.of(&flight.pool).decide(&ask, outlook, now, draw) {
        Decision::Admit => Ok(()),
        Decision::Refuse(refusal) => Err(flight.refused(&ask, outlook, refusal)),
    }
}

impl Flight {
    fn ask(&self, now: Time) -> Option<Ask<'_>> {
        let (routed, route_state) = (self.routed()?, self.route_state.as_ref()?);
        Some(Ask {
            rank: self.rank(),
            account: &self.context.account,
            weight: self.context.node.weight(),
            route: &route_state.name,
            objective: route_state.route.objective,
            limit: route_state.route.timeout,
            time_left: self.deadline.since(now),
            runs: route_state.runs,
            resumes: routed.is_resumption || self.head_sent,
        })
    }

    fn refused(&self, ask: &Ask, outlook: &Outlook, refusal: Refusal) -> Failure {
        let message = format!(
            "{} has no room: {}, rank {}, client account {}, first token due after {}ms, work for {}ms",
            self.pool,
            refusal.reason,
            ask.rank,
            ask.account,
            outlook.first.millis(),
            outlook.backlog.millis()
        );
        match (self.current_verdict(), &self.last_failure) {
            (Verdict::NotRun, _) => {
                Failure::not_run(Reason::Overloaded, message).retry_after(refusal.retry_after)
            }
            // The failure of an earlier run tells the caller more.
            (_, Some(failure)) => failure.clone(),
            (verdict, None) => Failure::new(Reason::TimedOut, verdict, message),
        }
    }
}

impl Entry {
    /// Records how long a complete answer took after its first byte, if its pool has a gate. A
    /// resumed stream includes the pause of its switch between upstreams and is left out.
    pub(super) fn record_rest(&mut self, now: Time, flight: &Flight) {
        let (Some(route_state), Some(first)) = (&flight.route_state, flight.first_byte_at) else {
            return;
        };
        let is_whole = flight.status < 300 && route_state.run.sent_at <= first;
        if let Some(gate) = self.gates.get_mut(&flight.pool).filter(|_| is_whole) {
            gate.ended(&route_state.name, now.since(first), now);
        }
    }

    /// Returns the gates of the contended pools.
    pub fn gates(&self) -> &Gates {
        &self.gates
    }
}
