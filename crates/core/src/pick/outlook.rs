//! What a request may expect of the upstreams of a pool.
//!
//! ```
//! use sorreldeck::pick::Outlook;
//!
//! assert!(!Outlook::default().has_free);
//! ```

use super::{Criteria, Peers};
use crate::id::PoolId;
use crate::unit::{Span, Time};

/// What a request may expect of the upstreams that it may get.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Outlook {
    /// The soonest expected first token.
    pub first: Span,
    /// Whether some upstream has a free place and nothing waiting there.
    pub has_free: bool,
    /// The mean time until upstreams have done what they have to do now.
    pub backlog: Span,
}

impl Peers {
    /// Returns whether requests compete for the upstreams of a pool.
    pub fn is_contended(&self, _pool: &PoolId) -> bool {
        false
    }

    /// Returns what a request may expect, if an upstream may get it.
    pub fn outlook(&self, _criteria: &Criteria, _now: Time) -> Option<Outlook> {
        None
    }
}
