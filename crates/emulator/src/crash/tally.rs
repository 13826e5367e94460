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
    /// When each crashing part crashed its fifth upstream.
    pub fifth: BTreeMap<Kind, Time>,
    /// Number of upstreams that each crashing request crashed.
    pub crashed: BTreeMap<Kind, usize>,
    /// When each crashing request was quarantined by the last entry to do so.
    pub quarantined: BTreeMap<Kind, Time>,
    /// The requests of crashing kinds that were served once they were harmless, with the time.
    pub admitted: Vec<(Kind, Time)>,
    /// The other requests: when each was made, its kind and whether it was served.
    pub requests: Vec<(Time, Kind, bool)>,
    /// Number of identical requests refused as quarantined although they crash nothing.
    pub false_refusals: usize,
    /// Number of single requests refused as quarantined although they crash nothing.
    pub false_single_refusals: usize,
}

impl Tally {
    /// Returns the crash of a kind of request from which on all entries must know it within
    /// [`PROPAGATION_LIMIT`]: the third of the same request, the fifth of different ones with the
    /// same part.
    fn decisive_crash(&self, kind: &Kind) -> Option<Time> {
        let crashes = match kind {
            Kind::Part(_) => &self.fifth,
            _ => &self.third,
        };
        crashes.get(kind).copied()
    }

    /// Returns the largest number of times that requests of a crashing kind were sent later than
    /// [`PROPAGATION_LIMIT`] after their decisive crash.
    pub fn late_sends(&self) -> usize {
        let late = |(kind, sends): (&Kind, &Vec<Time>)| {
            let deadline = self.decisive_crash(kind).map(|at| at + PROPAGATION_LIMIT);
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
        // A part may be held back before its fifth crash, which then is that of a trial.
        let last = |kind: &Kind| {
            let third = *self.third.get(kind)?;
            let decisive = self.decisive_crash(kind).unwrap_or(third);
            Some(decisive.min(third + PROPAGATION_LIMIT))
        };
        let last = self.first.keys().filter_map(last).max();
        first..last.unwrap_or_default() + PROPAGATION_LIMIT
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
