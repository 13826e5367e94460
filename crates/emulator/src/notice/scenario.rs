//! What happens on a day.

use sorreldeck::{Rate, Span};

/// What upstreams say of themselves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Signal {
    /// That they take no new requests any more.
    Leaving,
    /// That they want no requests for this long, with each request that they turn away.
    Pause(Span),
    /// That they take so many requests a second from all entries together.
    Limit(Rate),
    /// The same, with another number between the two in each second.
    VaryingLimit(Rate, Rate),
}

/// Something that some upstreams say from one moment to another.
#[derive(Clone, Copy, Debug)]
pub struct Period {
    /// When it begins, from the start of the day.
    pub start: Span,
    /// For how long they say it.
    pub duration: Span,
    /// How many of the upstreams say it, from the first on.
    pub upstreams: usize,
    /// What they say.
    pub signal: Signal,
}

/// A day to be played.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// The entries.
    pub entries: usize,
    /// The upstreams of the one pool.
    pub upstreams: usize,
    /// The requests in a second.
    pub request_rate: f64,
    /// The part of them that goes to a route of a lower rank.
    pub low_rank_share: f64,
    /// How long the day lasts.
    pub duration: Span,
    /// What upstreams say.
    pub periods: Vec<Period>,
    /// Whether entries hear nothing of one another.
    pub is_isolated: bool,
    /// How often an entry is killed and starts anew, which knows nothing.
    pub restart_interval: Option<Span>,
    /// The entries that were there once and that all still count.
    pub stale_entries: usize,
}

impl Default for Scenario {
    /// Three entries, 18 upstreams and nothing that happens to them.
    fn default() -> Scenario {
        Scenario {
            entries: 3,
            upstreams: 18,
            request_rate: 100.0,
            low_rank_share: 0.0,
            duration: Span::from_millis(30_000),
            periods: Vec::new(),
            is_isolated: false,
            restart_interval: None,
            stale_entries: 0,
        }
    }
}
