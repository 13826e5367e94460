//! What upstreams say of themselves in their answers, and what follows from it.
//!
//! An upstream that leaves, wants no requests for a while or takes only so many a second
//! says so itself, in whatever it answers. That is newer than its row in the platform's store,
//! and comes while the store is away. Here it lies with its age and its end, and
//! [`Peers`](crate::pick::Peers), which gives out all work, asks here.
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

pub use registry::Registry;

use crate::pick::Pace;
use crate::unit::{Rate, Span};
use serde::{Deserialize, Serialize};

/// What an upstream says of itself in one answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Notice {
    /// Whether it takes no new requests any more.
    pub leaving: bool,
    /// For how long it wants no requests of the entry that it answers.
    pub pause: Option<Span>,
    /// The requests that it takes of all entries together.
    pub limit: Option<Rate>,
    /// How long work takes there at the moment.
    pub pace: Option<Pace>,
}

/// A change of what holds of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Change {
    /// It takes no new requests any more.
    Leaving,
    /// It wants no requests for this long of the entry that it has answered.
    #[serde(rename = "Resting")]
    Paused(Span),
    /// It takes only so many requests a second from all entries.
    Limited(Rate),
    /// It takes what it gets again.
    Unlimited,
}

/// What entries tell one another of an upstream, which a number stands for.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Update {
    /// The number of the upstream.
    pub upstream: u64,
    /// What has changed.
    pub change: Change,
}

impl Notice {
    /// Returns whether the answer says nothing of the upstream.
    pub fn is_empty(&self) -> bool {
        *self == Notice::default()
    }
}
