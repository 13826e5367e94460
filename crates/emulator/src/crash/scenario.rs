//! What happens on a day.

use sorreldeck::Span;

/// What happens on a day.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// The entries that take requests.
    pub entries: usize,
    /// The upstreams before which they stand.
    pub upstreams: usize,
    /// The requests that crash upstreams; each comes five times a second.
    pub crashing: usize,
    /// The upstreams that crash for another reason, in a second.
    pub crashes: f64,
    /// When all upstreams crash at once, if they do.
    pub crash_all_at: Option<Span>,
    /// The other requests in a second, over all entries.
    pub background_rate: f64,
    /// How long one of these runs, on average.
    pub mean_duration: Span,
    /// The part of them that ask the same.
    pub identical: f64,
    /// How long the day lasts.
    pub duration: Span,
    /// Whether words are lost, so that entries know by the record alone.
    pub is_isolated: bool,
    /// When an entry forgets all it knows, if one does.
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

/// What is asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// What crashes upstreams.
    Crashing(usize),
    /// What is asked once.
    Single(u64),
    /// What many ask.
    Identical,
}
