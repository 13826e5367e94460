//! What upstreams say of themselves in their answers.
//!
//! An upstream that leaves, wants no requests for a while or takes only so many a second
//! says so itself, in whatever it answers. That is newer than its row in the platform's store,
//! and comes while the store is away.
//!
//! ```
//! use sorreldeck::notice::Notice;
//! use sorreldeck::Span;
//!
//! let notice = Notice { rest: Some(Span::from_millis(3_000)), ..Notice::default() };
//! assert!(!notice.is_empty());
//! assert_eq!(notice.to_string(), "rest=3s");
//! ```

use crate::unit::{Rate, Span};
use std::fmt;

/// What an upstream says of itself in one answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Notice {
    /// Whether it takes no new requests any more.
    pub leaving: bool,
    /// For how long it wants no requests of the entry that it answers.
    pub rest: Option<Span>,
    /// The requests that it takes of all entries together.
    pub limit: Option<Rate>,
}

impl Notice {
    /// Returns whether the answer says nothing of the upstream.
    pub fn is_empty(&self) -> bool {
        *self == Notice::default()
    }
}

impl fmt::Display for Notice {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let leaving = self.leaving.then(|| "leaving".to_owned());
        let rest = self.rest.map(|rest| format!("rest={rest}"));
        let limit = self.limit.map(|limit| format!("limit={limit}"));
        let parts: Vec<String> = [leaving, rest, limit].into_iter().flatten().collect();
        f.write_str(&parts.join(","))
    }
}
