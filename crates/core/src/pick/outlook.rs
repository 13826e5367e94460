//! What a request can expect of its pool, for the decisions that precede the choice of an upstream.

use super::{Criteria, Peer, Peers};
use crate::unit::{Span, Time};

/// The wait behind earlier prompts up to which an upstream counts as free: less than callers
/// notice.
const FREE_WAIT: Span = Span::from_millis(50);

/// What a request can expect of its pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outlook {
    /// The soonest expected start of an answer, over the upstreams that may get the request.
    pub first: Span,
    /// Whether one of them has a free place and nothing waits there.
    pub has_free: bool,
    /// The mean time until they have done the work that they have now.
    pub backlog: Span,
}

impl Peers {
    /// Returns what a request can expect of its pool, or `None` if no upstream may get it.
    pub fn outlook(&self, criteria: &Criteria, now: Time) -> Option<Outlook> {
        let usable = self.usable(criteria, now);
        let home = self.home(&usable, criteria);
        let peers = || usable.iter().map(|link| (*link, &self.peers[link]));
        let first = peers().map(|(link, peer)| peer.expected(criteria, home == Some(link), now));
        let backlog: u64 = peers().map(|(_, peer)| peer.backlog(now).micros()).sum();
        Some(Outlook {
            first: first.min()?,
            has_free: peers().any(|(_, peer)| is_free(peer, now)),
            backlog: Span::from_micros(backlog / usable.len().max(1) as u64),
        })
    }
}

fn is_free(peer: &Peer, now: Time) -> bool {
    let taken = peer.load.running.max(peer.in_flight) + peer.since_report;
    peer.load.queued == 0 && taken < peer.load.slots && peer.backlog(now) < FREE_WAIT
}
