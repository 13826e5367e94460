//! When the platform's store answered this entry for each table, for the log and the figures.
//!
//! A table whose answers stay away while another one's come is seen here and nowhere else:
//! what other entries hand on hides it.

use sorreldeck::Time;
use sorreldeck_platform::Table;

/// The times of the latest answers.
#[derive(Clone, Copy, Debug, Default)]
pub struct Answers([Option<Time>; 4]);

impl Answers {
    /// Notes an answer for a table.
    pub fn note(&mut self, table: Table, now: Time) {
        self.0[table as usize] = Some(now);
    }

    /// Returns for how many milliseconds the store has not answered for a table; -1 stands
    /// for no answer ever.
    pub fn silence_ms(&self, table: Table, now: Time) -> i64 {
        let answered = self.0[table as usize];
        answered.map_or(-1, |at| now.since(at).millis() as i64)
    }
}
