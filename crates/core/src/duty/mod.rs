//! Tasks that one entry at a time does for the whole installation: reporting the usage of client
//! accounts to the platform.
//!
//! Time is divided into windows. Each entry counts the requests that started in a window and sends
//! changed counts to the first entries of its data hall ([`Tally`]). These write the sums of their
//! data hall to the platform's store. The holder of the lease adds the sums up, writes the result
//! to the store and only then reports it, so that a successor finds and repeats exactly the same
//! counts ([`Reporter`]).
//!
//! ```
//! use sorreldeck::duty::{Tally, Window};
//! use sorreldeck::{Incarnation, Span, Time};
//!
//! let length = Span::from_millis(5_000);
//! let mut tally = Tally::new(Incarnation(1), length);
//! tally.record(&"mira".parse()?, Time(12_000_000));
//! let updates = tally.take_changes();
//! assert_eq!(updates[0].window, Window::at(Time(12_000_000), length));
//!
//! let mut leader = Tally::new(Incarnation(2), length);
//! leader.merge(&"e-1".parse()?, updates);
//! assert_eq!(leader.sum(Window(2)).total(), 1);
//! # Ok::<(), sorreldeck::Error>(())
//! ```

mod reporter;
mod rows;
mod tally;

pub use reporter::{median, Context, Outcome, Report, Reporter, Settings, Step, Transaction};
pub use rows::Row;
pub use tally::{Counts, Tally, Update};

use crate::unit::{Span, Time};
use serde::{Deserialize, Serialize};
use std::fmt;

/// A time window, numbered from the origin of UTC time.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Window(pub u64);

impl Window {
    /// Returns the window that contains a UTC time.
    pub fn at(time: Time, length: Span) -> Window {
        Window(time.0 / length.micros().max(1))
    }

    /// Returns the end of the window in UTC.
    pub fn end(self, length: Span) -> Time {
        Time(self.0.saturating_add(1).saturating_mul(length.micros()))
    }

    /// Returns the next window.
    pub fn next(self) -> Window {
        Window(self.0.saturating_add(1))
    }

    /// Returns the window this many windows earlier.
    pub fn back(self, windows: u64) -> Window {
        Window(self.0.saturating_sub(windows))
    }
}

impl fmt::Display for Window {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
