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

/// A kind of request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// The request with this number among those that crash upstreams.
    Crashing(usize),
    /// A request that is made once.
    Single(u64),
    /// The identical request that many callers make.
    Identical,
}
