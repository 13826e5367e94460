//! What a request can expect of its pool, for the decisions that precede the choice of an upstream.

use crate::unit::Span;

/// What a request can expect of its pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outlook {
    /// The soonest expected start of an answer, over the upstreams that may get the request.
    pub first: Span,
    /// Whether one of them has a free place and nothing waits there.
    pub has_free: bool,
    /// The mean time until they have done the work that they have now.
    pub backlog: Span,
}
