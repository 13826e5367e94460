//! What a request may expect of the upstreams of a pool.
//!
//! ```
//! use sorreldeck::pick::Outlook;
//!
//! assert!(!Outlook::default().has_free);
//! ```

use crate::unit::Span;

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
