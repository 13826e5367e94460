//! Tracks how often prompt prefixes recur, which decides over how many data halls a cached prefix
//! is shared.
//!
//! If each data hall has its own home for a prefix, requests stay in their hall, but every hall has
//! to prefill the prefix. With one home for all halls the prefix is prefilled once, but most
//! requests cross to another hall. Which is better depends on the prefill time and on how often the
//! prefix is requested.
//!
//! ```
//! use sorreldeck::reuse::{Reuse, Scope};
//! use sorreldeck::{Span, Time};
//!
//! let mut reuse = Reuse::default();
//! let group = ("drafts".parse()?, 0);
//! for prefix in 0..400 {
//!     reuse.record(&group, prefix / 2, Time(prefix * 1_000));
//! }
//! let (short, long) = (Span::from_millis(5), Span::from_millis(900));
//! assert_eq!(reuse.scope(&group, short, 3, 3, 1.0), Scope::Hall);
//! assert_eq!(reuse.scope(&group, long, 3, 3, 1.0), Scope::All);
//! # Ok::<(), sorreldeck::Error>(())
//! ```

use crate::id::RouteId;
use crate::pick::{CROSS_HALL_PENALTY, PREFIX_LIFETIME};
use crate::unit::{Span, Time};
use std::collections::HashMap;

/// The number of recent requests that determine the share of new prefixes.
const WINDOW: f64 = 64.0;
/// The share of new prefixes before any request.
const PRIOR: f64 = 0.5;
/// The number of tracked prefixes above which expired ones are removed.
const MAX_TRACKED: usize = 4096;

/// The group for which the share of new prefixes is tracked: a route and the index of the model
/// among its sizes.
pub type Group = (RouteId, usize);

/// The upstreams among which a prefix has one home.
///
/// If prefill is slow, [`Scope::All`] gives a better result, since the saved prefill outweighs the
/// crossings. If prefill is fast, the scopes are equal.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Scope {
    /// The upstreams of the same data hall.
    #[default]
    Hall,
    /// All upstreams.
    All,
}

/// How often prefixes recur at this entry.
#[derive(Clone, Debug, Default)]
pub struct Reuse {
    last_used: HashMap<u64, Time>,
    new_share: HashMap<Group, f64>,
}

impl Reuse {
    /// Records a request for a prefix.
    pub fn record(&mut self, group: &Group, prefix: u64, now: Time) {
        let last = self.last_used.insert(prefix, now);
        let is_new = last.is_none_or(|last| now.since(last) >= PREFIX_LIFETIME);
        let share = self.new_share.entry(group.clone()).or_insert(PRIOR);
        *share += (f64::from(u8::from(is_new)) - *share) / WINDOW;
        if self.last_used.len() > MAX_TRACKED {
            self.last_used
                .retain(|_, last| now.since(*last) < PREFIX_LIFETIME);
        }
    }

    /// Returns the scope of a prefix that takes this long to prefill, for requests of this many
    /// data halls that are spread over this many entries.
    ///
    /// `weight` is the value of latency relative to the cost of crossing halls. When requests
    /// arrive at random, the probability that a prefix is no longer cached falls as a power of the
    /// number of entries that request it.
    pub fn scope(
        &self,
        group: &Group,
        prefill: Span,
        entries: usize,
        halls: usize,
        weight: f64,
    ) -> Scope {
        let halls = halls.max(1) as f64;
        let entries = (entries as f64).max(halls);
        let new_share = self.new_share.get(group).copied().unwrap_or(PRIOR);
        let saved = new_share.powf(entries / halls) - new_share.powf(entries);
        let crossing = CROSS_HALL_PENALTY.secs_f64() * (1.0 - 1.0 / halls);
        match prefill.secs_f64() * saved * weight > crossing {
            true => Scope::All,
            false => Scope::Hall,
        }
    }
}
