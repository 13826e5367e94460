//! What happens on a day.

use sorreldeck::{Rate, Span};

/// What upstreams say of themselves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Says {
    /// That they take no new requests any more.
    Leaving,
    /// That they want no requests for this long, with each request that they turn away.
    Rest(Span),
    /// That they take so many requests a second from all entries together.
    Limit(Rate),
    /// The same, with another number between the two in each second.
    Varying(Rate, Rate),
}

/// Something that some upstreams say from one moment to another.
#[derive(Clone, Copy, Debug)]
pub struct Trouble {
    /// When it begins, from the start of the day.
    pub at: Span,
    /// For how long they say it.
    pub lasts: Span,
    /// How many of the upstreams say it, from the first on.
    pub upstreams: usize,
    /// What they say.
    pub says: Says,
}

/// A day to be played.
#[derive(Clone, Debug)]
pub struct Day {
    /// The entries.
    pub entries: usize,
    /// The upstreams of the one pool.
    pub upstreams: usize,
    /// The requests in a second.
    pub asked: f64,
    /// The part of them that goes to a route of a lower rank.
    pub later: f64,
    /// How long the day lasts.
    pub lasts: Span,
    /// What upstreams say.
    pub troubles: Vec<Trouble>,
    /// Whether entries hear nothing of one another.
    pub is_deaf: bool,
    /// How often an entry is killed and starts anew, which knows nothing.
    pub restart_each: Option<Span>,
    /// The entries that were there once and that all still count.
    pub gone: usize,
}

impl Default for Day {
    /// Three entries, 18 upstreams and nothing that happens to them.
    fn default() -> Day {
        Day {
            entries: 3,
            upstreams: 18,
            asked: 100.0,
            later: 0.0,
            lasts: Span::from_millis(30_000),
            troubles: Vec::new(),
            is_deaf: false,
            restart_each: None,
            gone: 0,
        }
    }
}
