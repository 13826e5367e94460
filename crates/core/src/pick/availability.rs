//! What work an upstream gets, for people: the answer of [`Peers`], and why.

use super::{Link, Peers};
use crate::unit::{Rate, Span, Time};
use std::fmt;

/// What work an upstream gets from this entry, and why not all.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Availability {
    /// Whatever comes.
    All,
    /// None any more: it leaves.
    Leaving,
    /// None: its data hall is emptied.
    Evacuated,
    /// None for this long: it asked this entry for rest.
    Resting(Span),
    /// Its part of the requests a second that it takes from all entries; the next one may go
    /// there after this long.
    Limited(Rate, Span),
    /// Little: it is cold.
    Cold,
    /// None for this long, as long as there are others: it failed, or turns other entries away.
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
    /// Returns what work an upstream gets now, if it is known.
    pub fn availability(&self, link: Link, now: Time) -> Option<Availability> {
        let peer = self.get(link)?;
        let number = peer.start_id();
        let rests_until = self.notices.paused_until(number);
        let limit = self.notices.limit(number);
        Some(if self.is_leaving(peer) {
            Availability::Leaving
        } else if !self.halls.is_open(peer.placement.hall.as_ref()) {
            Availability::Evacuated
        } else if now < rests_until {
            Availability::Resting(rests_until.since(now))
        } else if let Some((rate, _)) = limit {
            Availability::Limited(rate, self.notices.available_at(number).since(now))
        } else if peer.is_cold(now) {
            Availability::Cold
        } else if now < peer.avoided {
            Availability::PassedOver(peer.avoided.since(now))
        } else {
            Availability::All
        })
    }
}
