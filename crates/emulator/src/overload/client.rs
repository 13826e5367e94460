//! A request of a client.

use sorreldeck::{Span, Time};

/// How long a client waits for its request to be read.
pub(super) const UNREAD_PATIENCE: Span = Span::from_millis(1_000);
/// How long a client waits for an answer.
pub(super) const PATIENCE: Span = Span::from_millis(5_000);
/// The tries of a request at most.
pub(super) const MAX_TRIES: usize = 4;

/// A request and its tries.
#[derive(Clone, Debug)]
pub(super) struct Request {
    pub asked: Time,
    pub tried: Vec<usize>,
    pub body: u64,
    pub first_read: Option<bool>,
    pub took: Option<Span>,
}

/// How far a try is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// Its connection is open, and the entry has not read the request.
    Unread,
    /// The entry has read the request.
    Read,
    /// The client has left, or got its answer, or the connection was closed.
    Over,
}

/// A try of a request at an entry.
#[derive(Clone, Debug)]
pub(super) struct Try {
    pub request: usize,
    pub entry: usize,
    /// How often the entry had been started when the try began.
    pub life: u32,
    pub stage: Stage,
    pub events: u32,
}
