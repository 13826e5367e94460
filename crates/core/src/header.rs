//! The names of the headers that callers and upstreams see.
//!
//! ```
//! assert_eq!(sorreldeck::header::SESSION, "x-sorreldeck-session");
//! ```

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
pub const IDEMPOTENCY: &str = "idempotency-key";
/// The identity that sorreldeck gave the request.
pub const REQUEST: &str = "x-sorreldeck-request";
/// Whether the request ran: `not-run`, `may-have-run` or `ran`.
pub const VERDICT: &str = "x-sorreldeck-verdict";
/// The version that answered.
pub const VERSION: &str = "x-sorreldeck-version";
/// The upstream that answered.
pub const UPSTREAM: &str = "x-sorreldeck-upstream";
/// The version that the session left, where it had to move.
pub const MOVED: &str = "x-sorreldeck-session-moved";
/// The identity of a run as an engine sees it and must give back.
pub const RUN: &str = "x-request-id";
/// The priority of a run as an engine sees it; lower goes first.
pub const PRIORITY: &str = "x-priority";
