//! The results of a scenario.

use super::Kind;
use sorreldeck::{Span, Time};
use std::collections::BTreeMap;
use std::ops::Range;

/// Time within which a quarantine must reach all entries; installations guarantee this bound.
pub const PROPAGATION_LIMIT: Span = Span::from_millis(3_000);

/// The results of a scenario.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    /// Number of upstream crashes, for any reason.
    pub crashes: usize,
    /// When each crashing request was sent to an upstream.
    pub sends: BTreeMap<Kind, Vec<Time>>,
    /// When each crashing request crashed its first upstream.
    pub first: BTreeMap<Kind, Time>,
    /// When each crashing request crashed its third upstream.
    pub third: BTreeMap<Kind, Time>,
    /// Number of upstreams that each crashing request crashed.
    pub crashed: BTreeMap<Kind, usize>,
    /// When each crashing request was quarantined by the last entry to do so.
    pub quarantined: BTreeMap<Kind, Time>,
    /// The other requests: when each was made, its kind and whether it was served.
    pub requests: Vec<(Time, Kind, bool)>,
    /// Number of identical requests refused as quarantined although they crash nothing.
    pub false_refusals: usize,
    /// Number of single requests refused as quarantined although they crash nothing.
    pub false_single_refusals: usize,
}

impl Tally {
    /// Returns the largest number of times that a crashing request was sent later than
    /// [`PROPAGATION_LIMIT`] after its third crash.
    pub fn late_sends(&self) -> usize {
        let late = |(kind, sends): (&Kind, &Vec<Time>)| {
            let deadline = self.third.get(kind).map(|at| *at + PROPAGATION_LIMIT);
            let late = deadline.map(|deadline| sends.iter().filter(|at| **at > deadline).count());
            late.unwrap_or(0)
        };
        self.sends.iter().map(late).max().unwrap_or(0)
    }

    /// Returns the longest time between the third crash of a crashing request and its last send.
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

    /// Returns the longest time between the third crash of a crashing request and its quarantine by
    /// the last entry.
    pub fn quarantine_delay(&self) -> Span {
        let after = |(kind, at): (&Kind, &Time)| Some(at.since(*self.third.get(kind)?));
        self.quarantined
            .iter()
            .filter_map(after)
            .max()
            .unwrap_or_default()
    }

    /// Returns the number of identical requests.
    pub fn identical(&self) -> usize {
        let alike = self
            .requests
            .iter()
            .filter(|(_, kind, _)| *kind == Kind::Identical);
        alike.count()
    }

    /// Returns the time from the first crash by a crashing request to the end of the propagation of
    /// the last quarantine.
    pub fn detection_window(&self) -> Range<Time> {
        let first = self.first.values().min().copied().unwrap_or_default();
        let third = self.third.values().max().copied().unwrap_or_default();
        first..third + PROPAGATION_LIMIT
    }

    /// Returns the share of the other requests made in a range of time that were served.
    pub fn served(&self, within: Range<Time>) -> f64 {
        let made = self
            .requests
            .iter()
            .filter(|(at, _, _)| within.contains(at));
        let (all, served) = made.fold((0, 0), |(all, served), (_, _, is_served)| {
            (all + 1, served + usize::from(*is_served))
        });
        f64::from(served as u32) / f64::from(all.max(1))
    }
}
