//! The recent demand on a pool, by rank and client account.

use super::Ask;
use crate::id::AccountId;
use crate::unit::{Span, Time};
use std::collections::BTreeMap;

/// The time in which a request comes to count half.
const HALF_LIFE: Span = Span::from_millis(4_000);
/// The demand below which a client account is dropped.
const LEAST: f64 = 0.05;

/// The requests of one client account in one rank.
#[derive(Clone, Copy, Debug, Default)]
struct Offer {
    requests: f64,
    weight: f64,
}

/// The requests of the last seconds; older ones count less.
#[derive(Clone, Debug, Default)]
pub(super) struct Demand {
    ranks: BTreeMap<u8, BTreeMap<AccountId, Offer>>,
    at: Time,
}

impl Demand {
    /// Adds a request.
    pub fn record(&mut self, ask: &Ask, now: Time) {
        self.age(now);
        let offers = self.ranks.entry(ask.rank).or_default();
        let offer = offers.entry(ask.account.clone()).or_default();
        offer.requests += 1.0;
        offer.weight = f64::from(ask.weight.max(1));
    }

    fn age(&mut self, now: Time) {
        let half_lives = now.since(self.at).secs_f64() / HALF_LIFE.secs_f64();
        self.at = self.at.max(now);
        let factor = 0.5_f64.powf(half_lives);
        for offers in self.ranks.values_mut() {
            offers.retain(|_, offer| {
                offer.requests *= factor;
                offer.requests >= LEAST
            });
        }
        self.ranks.retain(|_, offers| !offers.is_empty());
    }

    /// Returns the fraction of a rank that is refused when this fraction of all demand is: the least
    /// urgent ranks go first.
    pub fn excess(&self, rank: u8, of_all: f64) -> f64 {
        let own = self.of(rank);
        let less_urgent: f64 = self.ranks.range(rank + 1..).map(|(r, _)| self.of(*r)).sum();
        let refused = of_all * self.total() - less_urgent;
        (refused / own.max(LEAST)).clamp(0.0, 1.0)
    }

    /// Returns the fraction of a client account's requests that is refused when this fraction of its
    /// rank is. What is admitted of the rank is divided by weight; what an account leaves of its part
    /// goes to those that ask for more.
    pub fn excess_of(&self, ask: &Ask, of_rank: f64) -> f64 {
        let Some(offers) = self.ranks.get(&ask.rank) else {
            return of_rank;
        };
        let own = offers.get(ask.account).copied().unwrap_or_default();
        let room = self.of(ask.rank) * (1.0 - of_rank);
        let part = fair_part(offers.values(), room) * own.weight;
        (1.0 - part / own.requests.max(LEAST)).clamp(0.0, 1.0)
    }

    /// Returns the place in time, from 0 to 1, of a request among all that return: ranks follow one
    /// another, the most urgent first, and those of a rank by their turn, from 0 to 1.
    pub fn position(&self, rank: u8, turn: f64) -> f64 {
        let more_urgent: f64 = self.ranks.range(..rank).map(|(r, _)| self.of(*r)).sum();
        let place = more_urgent + turn * self.of(rank);
        (place / self.total().max(LEAST)).min(1.0)
    }

    fn of(&self, rank: u8) -> f64 {
        let offers = self.ranks.get(&rank);
        offers.map_or(0.0, |offers| offers.values().map(|o| o.requests).sum())
    }

    fn total(&self) -> f64 {
        self.ranks.keys().map(|rank| self.of(*rank)).sum()
    }
}

/// Returns the part for each unit of weight such that all offers, each cut to its part, fill the room.
fn fair_part<'a>(offers: impl Iterator<Item = &'a Offer>, room: f64) -> f64 {
    let mut offers: Vec<&Offer> = offers.collect();
    offers.sort_by(|a, b| (a.requests / a.weight).total_cmp(&(b.requests / b.weight)));
    let mut weight: f64 = offers.iter().map(|o| o.weight).sum();
    let mut room = room;
    for offer in offers {
        if offer.requests / offer.weight >= room / weight {
            return room / weight;
        }
        room -= offer.requests;
        weight -= offer.weight;
    }
    f64::INFINITY
}
