//! When the platform's store answered this entry for each table, for the log and the figures.
//!
//! A table whose answers stay away while another one's come is seen here and nowhere else:
//! what other entries hand on hides it.

use sorreldeck::{Span, Time};
use sorreldeck_platform::Table;

/// The times of the latest answers.
#[derive(Clone, Copy, Debug, Default)]
pub struct Answers([Option<Time>; 4]);

impl Answers {
    /// Notes an answer for a table.
    pub fn note(&mut self, table: Table, now: Time) {
        self.0[table as usize] = Some(now);
    }

    /// Returns how long the store has not answered for a table, or `None` if it never has.
    pub fn silence(&self, table: Table, now: Time) -> Option<Span> {
        self.0[table as usize].map(|at| now.since(at))
    }

    /// Returns the silence of a table in milliseconds; -1 stands for no answer ever.
    pub fn silence_ms(&self, table: Table, now: Time) -> i64 {
        let silence = self.silence(table, now);
        silence.map_or(-1, |silence| silence.millis() as i64)
    }
}
