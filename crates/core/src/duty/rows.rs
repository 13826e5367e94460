//! The rows of duties in the platform's store.

use super::{Counts, Window};
use crate::id::Hall;
use crate::lease::Lease;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The key of the lease.
pub const LEASE: &str = "lease";
/// The beginnings of the keys of sums and of settled windows.
const SUM: &str = "sum/";
const SETTLED: &str = "settled/";

/// A row as it stands in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// The key.
    pub key: String,
    /// The version that it got with its last change.
    pub version: u64,
    /// The value.
    pub value: Vec<u8>,
}

/// The lease, and how far the holder has come.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holding {
    /// The lease.
    pub lease: Lease,
    /// The last window up to which all were reported or given up.
    pub done: Window,
    /// True time less the store's clock, in microseconds, where it is known.
    #[serde(default)]
    pub epoch_us: Option<i64>,
}

/// What the entries of a data hall counted in a window.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sum {
    /// The requests.
    pub counts: Counts,
    /// True time less the store's clock as most of them have it, in microseconds.
    #[serde(default)]
    pub epoch_us: Option<i64>,
}

/// What is reported of a window, from the first report on; `None` where it was given up.
pub type Settled = Option<Counts>;

/// All rows, as they were read.
#[derive(Clone, Debug, Default)]
pub struct Rows {
    /// The lease; the version is 0 where there is no row.
    pub lease_version: u64,
    pub lease: Option<Holding>,
    pub sums: BTreeMap<(Window, Hall), (u64, Sum)>,
    pub settled: BTreeMap<Window, Settled>,
    /// The keys of rows that say nothing to this build.
    pub unread: Vec<String>,
}

impl Rows {
    /// Reads rows. What is not understood is kept apart: it is no holder, no sum and no
    /// settled window, but for its version.
    pub fn read(rows: Vec<Row>) -> Rows {
        let mut all = Rows::default();
        for row in rows {
            if !all.take(&row) {
                all.unread.push(row.key);
            }
        }
        all
    }

    fn take(&mut self, row: &Row) -> bool {
        if row.key == LEASE {
            self.lease_version = row.version;
            self.lease = decode(&row.value);
            return self.lease.is_some();
        }
        if let Some(window) = row.key.strip_prefix(SETTLED).and_then(window_of) {
            // Other counts than those that were there must never be reported.
            let settled: Option<Settled> = decode(&row.value);
            let is_read = settled.is_some();
            self.settled.insert(window, settled.flatten());
            return is_read;
        }
        let place = row.key.strip_prefix(SUM).and_then(|s| s.split_once('/'));
        let place = place.and_then(|(w, hall)| Some((window_of(w)?, hall.parse().ok()?)));
        let sum = decode(&row.value);
        match (place, sum) {
            (Some(place), Some(sum)) => {
                self.sums.insert(place, (row.version, sum));
                true
            }
            _ => false,
        }
    }
}

fn window_of(text: &str) -> Option<Window> {
    text.parse().ok().map(Window)
}

fn decode<T: DeserializeOwned>(value: &[u8]) -> Option<T> {
    serde_json::from_slice(value).ok()
}

/// Writes a value of a row.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    // Maps have texts as keys.
    serde_json::to_vec(value).expect("a row of duties is always JSON")
}

/// Returns the key of the sum of a data hall in a window.
pub fn sum_key(window: Window, hall: &Hall) -> String {
    format!("{SUM}{window:012}/{hall}")
}

/// Returns the key of a settled window.
pub fn settled_key(window: Window) -> String {
    format!("{SETTLED}{window:012}")
}
