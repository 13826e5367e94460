//! The configuration of a scenario.

use sorreldeck::{Rate, Span};

/// A signal that upstreams send about themselves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Signal {
    /// The upstream is about to leave and takes no new requests.
    Leaving,
    /// The upstream rejects each request and asks for a pause of this length.
    Pause(Span),
    /// The upstream limits the requests of all entries together to this rate.
    Limit(Rate),
    /// A limit that is drawn anew from this range in each second.
    VaryingLimit(Rate, Rate),
}

/// A period in which some upstreams send a signal.
#[derive(Clone, Copy, Debug)]
pub struct Period {
    /// Start, from the start of the scenario.
    pub start: Span,
    /// Length of the period.
    pub duration: Span,
    /// Number of upstreams that send the signal: those with the lowest links.
    pub upstreams: usize,
    /// The signal.
    pub signal: Signal,
}

/// A scenario with one pool of upstreams that send signals.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Number of entries.
    pub entries: usize,
    /// Number of upstreams in the pool.
    pub upstreams: usize,
    /// Requests per second, over all entries.
    pub request_rate: f64,
    /// Share of the requests that go to a route of a lower rank.
    pub low_rank_share: f64,
    /// Length of the scenario.
    pub duration: Span,
    /// The periods in which upstreams send signals.
    pub periods: Vec<Period>,
    /// Whether updates between entries are lost.
    pub is_isolated: bool,
    /// Interval at which an entry, drawn at random, is killed and restarted without its state.
    pub restart_interval: Option<Span>,
    /// Number of former entries that all entries still count.
    pub stale_entries: usize,
}

impl Default for Scenario {
    /// Three entries, 18 upstreams and no signals.
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
