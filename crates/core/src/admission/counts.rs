//! Counts of admitted and refused requests.

use super::Reason;
use std::collections::BTreeMap;

/// What became of a request at the gate: admitted, or refused for a reason.
pub type Outcome = Option<Reason>;

/// The numbers of decisions of a gate, by rank and outcome.
#[derive(Clone, Debug, Default)]
pub struct Counts(BTreeMap<(u8, Outcome), u64>);

impl Counts {
    pub(super) fn record(&mut self, rank: u8, outcome: Outcome) {
        *self.0.entry((rank, outcome)).or_default() += 1;
    }

    /// Returns the number of decisions with an outcome on requests of a rank.
    pub fn get(&self, rank: u8, outcome: Outcome) -> u64 {
        self.0.get(&(rank, outcome)).copied().unwrap_or(0)
    }

    /// Returns the rank, outcome and number of all kinds of decisions that occurred.
    pub fn iter(&self) -> impl Iterator<Item = (u8, Outcome, u64)> + '_ {
        let counts = self.0.iter();
        counts.map(|((rank, outcome), count)| (*rank, *outcome, *count))
    }
}
