//! What work an upstream gets, for people: the answer of [`Peers`], and why.

use super::{Link, Peers};
use crate::unit::{Rate, Span, Time};
use std::fmt;

/// What work an upstream gets from this entry, and why not all.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Work {
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

impl fmt::Display for Work {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Work::All => f.write_str("all"),
            Work::Leaving => f.write_str("none: leaving"),
            Work::Evacuated => f.write_str("none: hall evacuated"),
            Work::Resting(left) => write!(f, "none: rests for {}ms", left.millis()),
            Work::Limited(rate, left) => {
                let per_second = rate.per_second();
                write!(f, "part of {per_second:.2}/s, next in {}ms", left.millis())
            }
            Work::Cold => f.write_str("little: cold"),
            Work::PassedOver(left) => write!(f, "passed over for {}ms", left.millis()),
        }
    }
}

impl Peers {
    /// Returns what work an upstream gets now, if it is known.
    pub fn work(&self, link: Link, now: Time) -> Option<Work> {
        let peer = self.get(link)?;
        let number = peer.number();
        let rests_until = self.notices.paused_until(number);
        let limit = self.notices.limit(number);
        Some(if self.is_leaving(peer) {
            Work::Leaving
        } else if !self.halls.is_open(peer.place.hall.as_ref()) {
            Work::Evacuated
        } else if now < rests_until {
            Work::Resting(rests_until.since(now))
        } else if let Some((rate, _)) = limit {
            Work::Limited(rate, self.notices.available_at(number).since(now))
        } else if peer.is_cold(now) {
            Work::Cold
        } else if now < peer.avoided {
            Work::PassedOver(peer.avoided.since(now))
        } else {
            Work::All
        })
    }
}
