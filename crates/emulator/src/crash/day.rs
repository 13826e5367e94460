//! What happens on a day.

use sorreldeck::Span;

/// What happens on a day.
#[derive(Clone, Debug)]
pub struct Day {
    /// The entries that take requests.
    pub entries: usize,
    /// The upstreams before which they stand.
    pub upstreams: usize,
    /// The requests that crash upstreams; each comes five times a second.
    pub crashing: usize,
    /// The upstreams that crash for another reason, in a second.
    pub crashes: f64,
    /// When all upstreams crash at once, if they do.
    pub all_at: Option<Span>,
    /// The other requests in a second, over all entries.
    pub others: f64,
    /// How long one of these runs, on average.
    pub runs_for: Span,
    /// The part of them that ask the same.
    pub alike: f64,
    /// How long the day lasts.
    pub lasts: Span,
    /// Whether words are lost, so that entries know by the record alone.
    pub is_deaf: bool,
    /// When an entry forgets all it knows, if one does.
    pub restart: Option<Span>,
}

impl Default for Day {
    fn default() -> Day {
        Day {
            entries: 3,
            upstreams: 18,
            crashing: 1,
            crashes: 0.0,
            all_at: None,
            others: 100.0,
            runs_for: Span::from_millis(800),
            alike: 0.0,
            lasts: Span::from_millis(30_000),
            is_deaf: false,
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
    Alike,
}
