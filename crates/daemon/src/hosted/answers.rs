//! Times at which the platform's store last answered this entry for each table, for logs and
//! metrics.
//!
//! These reveal a table whose answers are missing while those of others arrive. The mirrored
//! versions do not, because other entries keep them current.

use sorreldeck::Time;
use sorreldeck_platform::Table;

/// The time of the latest answer for each table.
#[derive(Clone, Copy, Debug, Default)]
pub struct Answers([Option<Time>; 4]);

impl Answers {
    /// Records an answer for a table.
    pub fn record(&mut self, table: Table, now: Time) {
        self.0[table as usize] = Some(now);
    }

    /// Returns the milliseconds since the store last answered for a table, or -1 if it never
    /// did.
    pub fn silence_ms(&self, table: Table, now: Time) -> i64 {
        let answered_at = self.0[table as usize];
        answered_at.map_or(-1, |at| now.since(at).millis() as i64)
    }
}
