//! Notices that upstreams give about themselves in their answers.
//!
//! An upstream that leaves, asks for a pause or limits its request rate says so in any of its
//! answers. A notice is newer than the upstream's row in the platform's store, and it arrives while
//! the store is out of reach. This module keeps the notices with their age and expiry;
//! [`Peers`](crate::pick::Peers), which assigns all work, consults it.
//!
//! ```
//! use sorreldeck::notice::{Notice, Registry};
//! use sorreldeck::warmup::Entries;
//! use sorreldeck::{Rate, Span, Time};
//!
//! let entries = Entries::default();
//! let notice = Notice { limit: Some(Rate::from_per_second(0.5)), ..Notice::default() };
//! let mut registry = Registry::default();
//! registry.observe(7, notice, Time(0), &entries, Time(0));
//! assert_eq!(registry.available_at(7), Time(1_500_000));
//! # Ok::<(), sorreldeck::Error>(())
//! ```

mod limit;
mod registry;

pub use registry::{Registry, LEAVING_LIFETIME};

use crate::pick::Pace;
use crate::unit::{Rate, Span};
use serde::{Deserialize, Serialize};

/// The notice in one answer of an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Notice {
    /// Whether it accepts no new requests any more.
    pub leaving: bool,
    /// For how long it accepts no requests of the entry that it answers.
    pub pause: Option<Span>,
    /// The request rate that it accepts of all entries together.
    pub limit: Option<Rate>,
    /// How long its work takes at the moment.
    pub pace: Option<Pace>,
}

/// A change in the state of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Change {
    /// It accepts no new requests any more.
    Leaving,
    /// It accepts no requests for this long of the entry that it has answered.
    #[serde(rename = "Resting")]
    Paused(Span),
    /// It limits the request rate of all entries together.
    Limited(Rate),
    /// It does not limit the request rate any more.
    Unlimited,
}

/// A change in the state of an upstream, as one entry reports it to the others.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Update {
    /// The number that stands for one start of the upstream.
    pub upstream: u64,
    /// The change in its state.
    pub change: Change,
}

impl Notice {
    /// Returns whether the answer contains no notice.
    pub fn is_empty(&self) -> bool {
        *self == Notice::default()
    }
}
