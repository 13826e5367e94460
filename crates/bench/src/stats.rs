//! Percentiles and the last line of an experiment.

use hdrhistogram::Histogram;
use serde::Serialize;
use std::time::Duration;

/// Times, kept to the microsecond and three digits.
#[derive(Clone, Debug)]
pub struct Times(Histogram<u64>);

impl Default for Times {
    fn default() -> Self {
        Times(Histogram::new(3).expect("three digits are allowed"))
    }
}

impl Times {
    /// Adds a time.
    pub fn add(&mut self, time: Duration) {
        // Recording grows the histogram; only a time of centuries would not fit.
        let _ = self.0.record(time.as_micros() as u64);
    }

    /// Returns a percentile in milliseconds, or 0 without times.
    pub fn percentile(&self, p: f64) -> f64 {
        round(self.0.value_at_percentile(p) as f64 / 1000.0)
    }

    /// Returns how many times were added.
    pub fn len(&self) -> u64 {
        self.0.len()
    }
}

/// Rounds to three decimals.
pub fn round(x: f64) -> f64 {
    (x * 1000.0).round() / 1000.0
}

/// Returns a percentile of signed numbers.
pub fn percentile(values: &mut [f64], p: f64) -> f64 {
    if values.is_empty() {
        return 0.0;
    }
    values.sort_by(f64::total_cmp);
    let rank = (p / 100.0 * (values.len() - 1) as f64).round() as usize;
    round(values[rank])
}

/// Prints the last line of an experiment.
pub fn print_last(result: &impl Serialize) {
    let line = serde_json::to_string(result).expect("a result is always JSON");
    println!("{line}");
}
