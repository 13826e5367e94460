//! The rows that usage reporting keeps in the platform's store.

use super::{Counts, Window};
use crate::id::Hall;
use crate::lease::Lease;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The key of the lease.
pub const LEASE: &str = "lease";
/// The key prefixes of sums and of settled windows.
const SUM: &str = "sum/";
const SETTLED: &str = "settled/";

/// A row of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// The key.
    pub key: String,
    /// The version assigned by its last change.
    pub version: u64,
    /// The value.
    pub value: Vec<u8>,
}

/// The lease and the progress of its holder.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRow {
    /// The lease.
    pub lease: Lease,
    /// The last window up to which every window was reported or given up.
    pub done: Window,
    /// The UTC time at the origin of the store's clock, in microseconds, if known.
    #[serde(default)]
    pub epoch_us: Option<i64>,
}

/// The counts of one data hall in a window.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sum {
    /// The requests by client account.
    pub counts: Counts,
    /// The UTC time at the origin of the store's clock, as the median of the data hall's entries,
    /// in microseconds.
    #[serde(default)]
    pub epoch_us: Option<i64>,
}

/// The counts of a window, fixed before its first report; `None` if the window was given up.
pub type Settled = Option<Counts>;

/// All rows as read.
#[derive(Clone, Debug, Default)]
pub struct Rows {
    /// The version of the lease row; 0 if there is none.
    pub lease_version: u64,
    pub lease: Option<LeaseRow>,
    pub sums: BTreeMap<(Window, Hall), (u64, Sum)>,
    pub settled: BTreeMap<Window, Settled>,
    /// The keys of rows that this build cannot parse.
    pub unparsed: Vec<String>,
}

impl Rows {
    /// Parses rows. Rows that cannot be parsed are listed in `unparsed`; of an unparsable lease
    /// only the version is used, and an unparsable settled window counts as given up.
    pub fn read(rows: Vec<Row>) -> Rows {
        let mut all = Rows::default();
        for row in rows {
            if !all.insert(&row) {
                all.unparsed.push(row.key);
            }
        }
        all
    }

    fn insert(&mut self, row: &Row) -> bool {
        if row.key == LEASE {
            self.lease_version = row.version;
            self.lease = decode(&row.value);
            return self.lease.is_some();
        }
        if let Some(window) = row.key.strip_prefix(SETTLED).and_then(parse_window) {
            // An unparsable settled window must not be settled again with other counts, as it may
            // have been reported already.
            let settled: Option<Settled> = decode(&row.value);
            let is_parsed = settled.is_some();
            self.settled.insert(window, settled.flatten());
            return is_parsed;
        }
        let sum_id = row.key.strip_prefix(SUM).and_then(|s| s.split_once('/'));
        let sum_id =
            sum_id.and_then(|(w, hall)| Some((parse_window(w)?, Hall::external(hall).ok()?)));
        let sum = decode(&row.value);
        match (sum_id, sum) {
            (Some(sum_id), Some(sum)) => {
                self.sums.insert(sum_id, (row.version, sum));
                true
            }
            _ => false,
        }
    }
}

fn parse_window(text: &str) -> Option<Window> {
    text.parse().ok().map(Window)
}

fn decode<T: DeserializeOwned>(value: &[u8]) -> Option<T> {
    serde_json::from_slice(value).ok()
}

/// Encodes the value of a row.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    // Serialization cannot fail: all maps have string keys.
    serde_json::to_vec(value).expect("a duty row always encodes as JSON")
}

/// Returns the key of a data hall's sum for a window.
pub fn sum_key(window: Window, hall: &Hall) -> String {
    format!("{SUM}{window:012}/{hall}")
}

/// Returns the key of a settled window.
pub fn settled_key(window: Window) -> String {
    format!("{SETTLED}{window:012}")
}
