//! What upstreams say of themselves in their answers, and what follows from it.
//!
//! An upstream that leaves, wants no requests for a while or takes only so many a second
//! says so itself, in whatever it answers. That is newer than its row in the platform's store,
//! and comes while the store is away. Here it lies with its age and its end, and
//! [`Peers`](crate::pick::Peers), which gives out all work, asks here.
//!
//! ```
//! use sorreldeck::notice::{Board, Notice};
//! use sorreldeck::warmup::Entries;
//! use sorreldeck::{Rate, Span, Time};
//!
//! let entries = Entries::default();
//! let notice = Notice { limit: Some(Rate::from_per_second(0.5)), ..Notice::default() };
//! let mut board = Board::default();
//! board.hear(7, notice, Time(0), &entries, Time(0));
//! assert_eq!(board.opens(7), Time(1_500_000));
//! # Ok::<(), sorreldeck::Error>(())
//! ```

mod board;
mod limit;

pub use board::{Board, Change};

use crate::unit::{Rate, Span};
use serde::{Deserialize, Serialize};
use std::fmt;

/// What an upstream says of itself in one answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Notice {
    /// Whether it takes no new requests any more.
    pub leaving: bool,
    /// For how long it wants no requests of the entry that it answers.
    pub rest: Option<Span>,
    /// The requests that it takes of all entries together.
    pub limit: Option<Rate>,
}

/// What entries tell one another of upstreams, which numbers stand for.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Word {
    /// An upstream takes no new requests any more.
    Leaving(u64),
    /// An upstream turns requests away and has asked the entry that tells for this long a rest.
    Resting(u64, Span),
    /// An upstream takes so many requests a second from all entries together.
    Limit(u64, Rate),
    /// An upstream names no limit any more.
    Unlimited(u64),
}

impl Word {
    /// Returns the number of the upstream.
    pub fn upstream(&self) -> u64 {
        match self {
            Word::Leaving(upstream)
            | Word::Resting(upstream, _)
            | Word::Limit(upstream, _)
            | Word::Unlimited(upstream) => *upstream,
        }
    }
}

impl Notice {
    /// Returns whether the answer says nothing of the upstream.
    pub fn is_empty(&self) -> bool {
        *self == Notice::default()
    }
}

impl fmt::Display for Notice {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let leaving = self.leaving.then(|| "leaving".to_owned());
        let rest = self.rest.map(|rest| format!("rest={rest}"));
        let limit = self.limit.map(|limit| format!("limit={limit}"));
        let parts: Vec<String> = [leaving, rest, limit].into_iter().flatten().collect();
        f.write_str(&parts.join(","))
    }
}
