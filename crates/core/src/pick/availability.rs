//! A human-readable description of which requests an upstream receives from this entry, and why.

use super::{Link, Peers};
use crate::unit::{Rate, Span, Time};
use std::fmt;

/// Which requests an upstream receives from this entry, and why not all.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Availability {
    /// All requests.
    All,
    /// None: it is leaving.
    Leaving,
    /// None: its data hall is evacuated.
    Evacuated,
    /// None for this long: it asked this entry for a pause.
    Resting(Span),
    /// This entry's part of the limit in requests per second for all entries; the next request may
    /// be sent after this long.
    Limited(Rate, Span),
    /// Few: it is cold.
    Cold,
    /// None for this long while other upstreams are available: it failed, or refused requests of
    /// other entries.
    PassedOver(Span),
}

impl fmt::Display for Availability {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Availability::All => f.write_str("all"),
            Availability::Leaving => f.write_str("none: leaving"),
            Availability::Evacuated => f.write_str("none: hall evacuated"),
            Availability::Resting(left) => write!(f, "none: rests for {}ms", left.millis()),
            Availability::Limited(rate, left) => {
                let per_second = rate.per_second();
                write!(f, "part of {per_second:.2}/s, next in {}ms", left.millis())
            }
            Availability::Cold => f.write_str("little: cold"),
            Availability::PassedOver(left) => write!(f, "passed over for {}ms", left.millis()),
        }
    }
}

impl Peers {
    /// Returns which requests an upstream receives now, or `None` if the link is unknown.
    pub fn availability(&self, link: Link, now: Time) -> Option<Availability> {
        let peer = self.get(link)?;
        let start_id = peer.start_id();
        let paused_until = self.notices.paused_until(start_id);
        let limit = self.notices.limit(start_id);
        Some(if self.is_leaving(peer) {
            Availability::Leaving
        } else if !self.halls.is_open(peer.placement.hall.as_ref()) {
            Availability::Evacuated
        } else if now < paused_until {
            Availability::Resting(paused_until.since(now))
        } else if let Some((rate, _)) = limit {
            Availability::Limited(rate, self.notices.available_at(start_id).since(now))
        } else if peer.is_cold(now) {
            Availability::Cold
        } else if now < peer.avoided {
            Availability::PassedOver(peer.avoided.since(now))
        } else {
            Availability::All
        })
    }
}
