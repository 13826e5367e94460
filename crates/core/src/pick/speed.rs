//! The speed of upstreams, as entries tell it to one another.

use serde::{Deserialize, Serialize};

/// The runs of an upstream within some time, as a sum over entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u64, u32, i32)", into = "(u64, u32, i32)")]
pub struct SpeedSum {
    /// The start identifier of the upstream.
    pub upstream: u64,
    /// The weight of the runs, in hundredths of a run.
    pub weight: u32,
    /// The sum of the natural logarithms of time taken by time expected, in thousandths.
    pub log: i32,
}

impl SpeedSum {
    /// Adds further runs of the same upstream.
    pub fn add(&mut self, other: &SpeedSum) {
        self.weight = self.weight.saturating_add(other.weight);
        self.log = self.log.saturating_add(other.log);
    }
}

impl From<(u64, u32, i32)> for SpeedSum {
    fn from((upstream, weight, log): (u64, u32, i32)) -> SpeedSum {
        SpeedSum {
            upstream,
            weight,
            log,
        }
    }
}

impl From<SpeedSum> for (u64, u32, i32) {
    fn from(sum: SpeedSum) -> (u64, u32, i32) {
        (sum.upstream, sum.weight, sum.log)
    }
}
