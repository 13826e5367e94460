//! What of the store's rows this entry does not understand, for the status.

use super::mirror::Malformed;
use serde_json::{json, Value};
use sorreldeck::{Revision, Time};
use sorreldeck_platform::Issues;
use std::collections::VecDeque;

/// Maximum number of rows kept, the latest ones.
const MAX_ROWS: usize = 32;

/// The parts of the configuration and the latest rows that are not understood.
#[derive(Debug, Default)]
pub struct Register {
    configuration: Issues,
    rows: VecDeque<(Time, Malformed)>,
}

impl Register {
    /// Notes the configuration that has come into force.
    pub fn set_configuration(&mut self, issues: Issues) {
        self.configuration = issues;
    }

    /// Adds a row that was read now.
    pub fn add_row(&mut self, row: Malformed, now: Time) {
        if self.rows.len() == MAX_ROWS {
            self.rows.pop_front();
        }
        self.rows.push_back((now, row));
    }

    /// Returns the number of parts of the configuration in force that have no effect.
    pub fn parts(&self) -> usize {
        self.configuration.count()
    }

    /// Returns all of it for the status of the entry.
    pub fn status(&self, revision: Revision, now: Time) -> Value {
        let parts = self.configuration.first().iter();
        let parts = parts.map(|issue| json!({"place": issue.place, "message": issue.message}));
        let rows = self.rows.iter().map(|(at, row)| {
            json!({
                "table": format!("{:?}", row.table),
                "key": row.key,
                "message": row.message,
                "ago_ms": now.since(*at).millis(),
            })
        });
        json!({
            "configuration": {
                "revision": revision,
                "not_understood": self.parts(),
                "first": parts.collect::<Vec<_>>(),
            },
            "rows": rows.collect::<Vec<_>>(),
        })
    }
}
