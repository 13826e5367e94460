//! Why a request failed, and the HTTP status and error code that the caller receives.
//!
//! ```
//! use sorreldeck::{Failure, Reason, Verdict};
//!
//! let failure = Failure::not_run(Reason::Overloaded, "every queue is full");
//! assert_eq!(failure.verdict, Verdict::NotRun);
//! assert_eq!(failure.reason.status(), 503);
//! ```

use crate::unit::Span;
use crate::verdict::Verdict;
use serde::{Deserialize, Serialize};
use std::fmt;

macro_rules! reasons {
    ($($(#[$doc:meta])* $name:ident, $code:literal, $status:literal;)*) => {
        /// Why a request was not answered.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(rename_all = "snake_case")]
        pub enum Reason {
            $($(#[$doc])* $name,)*
        }

        impl Reason {
            /// Every reason, in the order in which they are documented.
            pub const ALL: &'static [Reason] = &[$(Reason::$name),*];

            /// Returns the code that is written to error bodies.
            pub fn code(self) -> &'static str {
                match self {
                    $(Reason::$name => $code,)*
                }
            }

            /// Returns the HTTP status.
            pub fn status(self) -> u16 {
                match self {
                    $(Reason::$name => $status,)*
                }
            }
        }
    };
}

reasons! {
    /// The request carries no API key.
    NoKey, "no_key", 401;
    /// The API key is unknown.
    BadKey, "bad_key", 401;
    /// The client account is not allowed to do this.
    NotAllowed, "not_allowed", 403;
    /// There is no such model.
    UnknownModel, "unknown_model", 404;
    /// There is no such path.
    UnknownPath, "unknown_path", 404;
    /// The request is malformed.
    BadRequest, "bad_request", 400;
    /// The session token is forged, sealed with a retired key, or belongs to another client account
    /// or model.
    BadSession, "bad_session", 400;
    /// The body exceeds the size limit of the node.
    TooLarge, "too_large", 413;
    /// The request did not arrive in time.
    TooSlow, "too_slow", 408;
    /// The client account has exhausted its rate.
    LimitReached, "limit_reached", 429;
    /// The request could not start within its deadline.
    Overloaded, "overloaded", 503;
    /// No connected upstream can answer the request.
    NoUpstream, "no_upstream", 503;
    /// The route chooses the model; the caller must not name one.
    ModelNamed, "model_named", 421;
    /// The process has not received a configuration yet.
    NotReady, "not_ready", 503;
    /// The time limit of the caller or the route has passed.
    TimedOut, "timed_out", 504;
    /// The requested version takes no new requests.
    Withdrawn, "withdrawn", 409;
    /// The sender uses an older configuration than the receiver.
    Stale, "stale", 503;
    /// The process is shutting down.
    Leaving, "leaving", 503;
    /// The platform's table, which the request needs, cannot be reached.
    StoreDown, "store_down", 503;
    /// A request with the same idempotency key was already claimed.
    Duplicate, "duplicate", 409;
    /// The upstream failed, or closed the connection before the end of its answer.
    UpstreamFailed, "upstream_failed", 502;
    /// The request crashes the upstreams that run it.
    Quarantined, "quarantined", 503;
    /// The upstream went down while it ran the request.
    UpstreamLost, "upstream_lost", 502;
    /// The upstream closed a connection that was kept before it answered.
    ConnectionClosed, "connection_closed", 502;
    /// The upstream's answer belongs to another request.
    ForeignAnswer, "foreign_answer", 502;
    /// The link to the sidecar broke during the request.
    LinkLost, "link_lost", 502;
    /// The caller disconnected.
    Cancelled, "cancelled", 499;
    /// The action would have broken an invariant and was refused.
    Invariant, "invariant", 500;
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.code())
    }
}

/// Why a request got no complete answer, and whether it may have run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failure {
    /// The kind of failure.
    pub reason: Reason,
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// When the caller may retry, if known.
    pub retry_after: Option<Span>,
    /// A human-readable explanation.
    pub message: String,
}

impl Failure {
    /// Creates a failure of a request that did not run.
    pub fn not_run(reason: Reason, message: impl Into<String>) -> Failure {
        Failure::new(reason, Verdict::NotRun, message)
    }

    /// Creates a failure of a request with a verdict on whether it ran.
    pub fn new(reason: Reason, verdict: Verdict, message: impl Into<String>) -> Failure {
        Failure {
            reason,
            verdict,
            retry_after: None,
            message: message.into(),
        }
    }

    /// Sets when the caller may retry.
    pub fn retry_after(mut self, span: Span) -> Failure {
        self.retry_after = Some(span);
        self
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({}): {}", self.reason, self.verdict, self.message)
    }
}
