//! Names of HTTP headers used with callers and upstreams.
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

/// The session token: sent by the caller to stay on a version and returned with every answer of a
/// model.
pub const SESSION: &str = "x-sorreldeck-session";
/// The route below the node of the API key, such as `summaries`.
pub const ROUTE: &str = "x-sorreldeck-route";
/// The requested class: `priority`, `standard` or `bulk`.
pub const CLASS: &str = "x-sorreldeck-class";
/// Set to `true` by a caller whose request must not be sent twice.
pub const ONCE: &str = "x-sorreldeck-once";
/// The caller's key for a request, by which a repeated request is recognised.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// The identifier that sorreldeck assigned to the request.
pub const REQUEST: &str = "x-sorreldeck-request";
/// Whether the request ran: `not-run`, `may-have-run` or `ran`.
pub const VERDICT: &str = "x-sorreldeck-verdict";
/// The version that answered.
pub const VERSION: &str = "x-sorreldeck-version";
/// The upstream that answered.
pub const UPSTREAM: &str = "x-sorreldeck-upstream";
/// The version that the session was moved away from, if it had to move.
pub const SESSION_MOVED: &str = "x-sorreldeck-session-moved";
/// The identifier of a run, sent to the engine, which must return it.
pub const RUN: &str = "x-request-id";
/// The priority of a run, sent to the engine; lower goes first.
pub const PRIORITY: &str = "x-priority";
/// The time after which a rejected caller may try again, in seconds.
pub const RETRY_AFTER: &str = "retry-after";

/// The statuses with which an upstream rejects a request temporarily.
const RETRYABLE_STATUSES: [u16; 2] = [429, 503];

/// The longest `Retry-After` that is honoured, in seconds. A longer one is cut, because while it
/// lasts no request is sent that would show that the upstream accepts work again.
const MAX_RETRY_AFTER_S: f64 = 60.0;

/// Parses a `Retry-After` value in seconds. Anything but a number above 0, such as a date, is
/// ignored.
pub fn parse_retry_after(value: &str) -> Option<Span> {
    let seconds: f64 = value.trim().parse().ok()?;
    (seconds > 0.0).then(|| Span::from_secs_f64(seconds.min(MAX_RETRY_AFTER_S)))
}

/// Returns the `Retry-After` of an answer with a status that rejects a request temporarily; of
/// several values the longest counts.
pub fn retry_after(status: u16, headers: &[Header]) -> Option<Span> {
    let values = headers.iter().filter(|h| h.name == RETRY_AFTER);
    let longest = values.filter_map(|h| parse_retry_after(&h.value)).max();
    longest.filter(|_| RETRYABLE_STATUSES.contains(&status))
}
