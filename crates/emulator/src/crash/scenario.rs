//! The configuration of a scenario.

use sorreldeck::Span;

/// A scenario with one pool of upstreams, some of which crash.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Number of entries.
    pub entries: usize,
    /// Number of upstreams in the pool.
    pub upstreams: usize,
    /// Number of requests that crash upstreams; each is made five times per second.
    pub crashing: usize,
    /// Parts of prompts that crash upstreams; each is in requests of which no two are alike.
    pub crashing_parts: usize,
    /// Requests per second with each of these parts.
    pub part_rate: f64,
    /// Where these parts stand among the shared parts of a prompt.
    pub place: Place,
    /// When these parts crash nothing any more, if set.
    pub harmless_at: Option<Span>,
    /// Whether the other requests share parts of their prompts.
    pub shares_parts: bool,
    /// Crashes per second for other reasons.
    pub crashes: f64,
    /// When all upstreams crash at once, if set.
    pub crash_all_at: Option<Span>,
    /// Other requests per second, over all entries.
    pub background_rate: f64,
    /// Mean duration of the other requests.
    pub mean_duration: Span,
    /// Share of the other requests that are identical.
    pub identical: f64,
    /// Length of the scenario.
    pub duration: Span,
    /// Whether updates between entries are lost, so that entries learn of quarantined requests only
    /// from the records in the store.
    pub is_isolated: bool,
    /// When the first entry restarts without its state, if set.
    pub restart: Option<Span>,
}

impl Default for Scenario {
    fn default() -> Scenario {
        Scenario {
            entries: 3,
            upstreams: 18,
            crashing: 1,
            crashing_parts: 0,
            part_rate: 5.0,
            place: Place::Second,
            harmless_at: None,
            shares_parts: false,
            crashes: 0.0,
            crash_all_at: None,
            background_rate: 100.0,
            mean_duration: Span::from_millis(800),
            identical: 0.0,
            duration: Span::from_millis(30_000),
            is_isolated: false,
            restart: None,
        }
    }
}

/// Where a part stands in a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Place {
    /// Before a part that other requests share.
    First,
    /// After the part that all requests share.
    Second,
    /// After two parts that other requests share.
    Third,
    /// At another place in each request.
    Changing,
}

/// A kind of request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// The request with this number among those that crash upstreams.
    Crashing(usize),
    /// One of the requests with the part with this number among those that crash upstreams.
    Part(usize),
    /// A request that is made once.
    Single(u64),
    /// The identical request that many callers make.
    Identical,
}
