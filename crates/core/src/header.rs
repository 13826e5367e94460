//! The names of the headers that callers and upstreams see.
//!
//! ```
//! use sorreldeck::{header, Span};
//!
//! assert_eq!(header::SESSION, "x-sorreldeck-session");
//! assert_eq!(header::parse_retry_after("1.5"), Some(Span::from_millis(1_500)));
//! assert_eq!(header::parse_retry_after("Fri, 31 Dec 1999 23:59:59 GMT"), None);
//! ```

use crate::unit::Span;
use crate::wire::Header;

/// The session token: sent by the caller to stay on a version, and given back
/// with every answer of a model.
pub const SESSION: &str = "x-sorreldeck-session";
/// The route below the node of the API key, such as `summaries`.
pub const ROUTE: &str = "x-sorreldeck-route";
/// The class asked for: `priority`, `standard` or `bulk`.
pub const CLASS: &str = "x-sorreldeck-class";
/// Set to `true` by a caller whose request must not be sent twice.
pub const ONCE: &str = "x-sorreldeck-once";
/// A caller's name for a request, by which a repeated one is recognised.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// The identity that sorreldeck gave the request.
pub const REQUEST: &str = "x-sorreldeck-request";
/// Whether the request ran: `not-run`, `may-have-run` or `ran`.
pub const VERDICT: &str = "x-sorreldeck-verdict";
/// The version that answered.
pub const VERSION: &str = "x-sorreldeck-version";
/// The upstream that answered.
pub const UPSTREAM: &str = "x-sorreldeck-upstream";
/// The version that the session left, where it had to move.
pub const SESSION_MOVED: &str = "x-sorreldeck-session-moved";
/// The identity of a run as an engine sees it and must give back.
pub const RUN: &str = "x-request-id";
/// The priority of a run as an engine sees it; lower goes first.
pub const PRIORITY: &str = "x-priority";
/// For how long whoever turns a request away wants no other, in seconds.
pub const RETRY_AFTER: &str = "retry-after";

/// The statuses with which an upstream turns a request away for now.
const TURNED_AWAY: [u16; 2] = [429, 503];

/// The longest rest that is kept: nothing else would show that an upstream which names a longer
/// one has changed its mind.
const LONGEST_REST_S: f64 = 60.0;

/// Reads for how long an upstream wants no requests. What is no number of seconds above 0, such as
/// a date, counts as not said.
pub fn parse_retry_after(value: &str) -> Option<Span> {
    let seconds: f64 = value.trim().parse().ok()?;
    (seconds > 0.0).then(|| Span::from_secs_f64(seconds.min(LONGEST_REST_S)))
}

/// Returns for how long an upstream wants no requests by an answer that turns one away; of two
/// times the longer counts.
pub fn retry_after(status: u16, headers: &[Header]) -> Option<Span> {
    let named = headers.iter().filter(|h| h.name == RETRY_AFTER);
    let longest = named.filter_map(|h| parse_retry_after(&h.value)).max();
    longest.filter(|_| TURNED_AWAY.contains(&status))
}
