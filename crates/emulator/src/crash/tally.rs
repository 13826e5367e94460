//! What came of a day.

use super::Kind;
use sorreldeck::{Span, Time};
use std::collections::BTreeMap;
use std::ops::Range;

/// Within which time all entries must know of what one has seen: the bound of the
/// installations.
pub const PROPAGATION_LIMIT: Span = Span::from_millis(3_000);

/// What came of a day.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    /// The upstreams that crashed, for whatever reason.
    pub crashes: usize,
    /// When each crashing request was sent to an upstream.
    pub sends: BTreeMap<Kind, Vec<Time>>,
    /// When each of them crashed its first and its third upstream.
    pub first: BTreeMap<Kind, Time>,
    /// See `first`.
    pub third: BTreeMap<Kind, Time>,
    /// How many upstreams each of them crashed.
    pub crashed: BTreeMap<Kind, usize>,
    /// When the last entry began to hold each of them back.
    pub quarantined: BTreeMap<Kind, Time>,
    /// The others: when each was asked, and whether it was served.
    pub requests: Vec<(Time, Kind, bool)>,
    /// How often what many ask was refused as held back, though it crashes nothing.
    pub false_refusals: usize,
    /// The same for what is asked once.
    pub false_single_refusals: usize,
}

impl Tally {
    /// Returns the most sends of a crashing request later than [`CONTACT`] after its third
    /// crash.
    pub fn late_sends(&self) -> usize {
        let late = |(kind, sends): (&Kind, &Vec<Time>)| {
            let known = self.third.get(kind).map(|at| *at + PROPAGATION_LIMIT);
            let late = known.map(|known| sends.iter().filter(|at| **at > known).count());
            late.unwrap_or(0)
        };
        self.sends.iter().map(late).max().unwrap_or(0)
    }

    /// Returns how long after a third crash a crashing request was sent last.
    pub fn last_send_delay(&self) -> Span {
        let after = |(kind, sends): (&Kind, &Vec<Time>)| {
            let third = self.third.get(kind)?;
            sends.iter().map(|at| at.since(*third)).max()
        };
        self.sends
            .iter()
            .filter_map(after)
            .max()
            .unwrap_or_default()
    }

    /// Returns how long after a third crash all entries knew of it, at the worst.
    pub fn quarantine_delay(&self) -> Span {
        let after = |(kind, at): (&Kind, &Time)| Some(at.since(*self.third.get(kind)?));
        self.quarantined
            .iter()
            .filter_map(after)
            .max()
            .unwrap_or_default()
    }

    /// Returns how often what many ask was asked.
    pub fn identical(&self) -> usize {
        let alike = self
            .requests
            .iter()
            .filter(|(_, kind, _)| *kind == Kind::Identical);
        alike.count()
    }

    /// Returns from when to when upstreams crash under requests that are not known yet.
    pub fn detection_window(&self) -> Range<Time> {
        let first = self.first.values().min().copied().unwrap_or_default();
        let third = self.third.values().max().copied().unwrap_or_default();
        first..third + PROPAGATION_LIMIT
    }

    /// Returns the share of others served that were asked in a time.
    pub fn served(&self, within: Range<Time>) -> f64 {
        let asked = self
            .requests
            .iter()
            .filter(|(at, _, _)| within.contains(at));
        let (all, good) = asked.fold((0, 0), |(all, good), (_, _, is_good)| {
            (all + 1, good + usize::from(*is_good))
        });
        f64::from(good as u32) / f64::from(all.max(1))
    }
}
