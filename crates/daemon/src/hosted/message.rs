//! The messages to the event loop of a hosted entry, which the tasks around it send.

use super::event_loop::EventLoop;
use super::replica::Retained;
use super::response;
use sorreldeck::entry::{Reply, Request};
use sorreldeck::era::Stamp;
use sorreldeck::pick::Link;
use sorreldeck::quarantine::Fingerprint;
use sorreldeck::wire::Run;
use sorreldeck::{InstanceId, RequestId, Time};
use sorreldeck_net::link::{Event, Outbox};
use sorreldeck_platform::store::{Page, Trouble};
use sorreldeck_platform::Table;

/// A message to the event loop.
pub enum Message {
    /// A request of a client and the channel for its response.
    Request(Box<Request>, response::Writer),
    /// The client of a request disconnected.
    Disconnected(RequestId),
    /// A part of an upstream's response to a run.
    Reply(Link, Run, Reply),
    /// Whether an upstream that was silent is gone.
    Probed(Link, bool),
    /// The outcome of a poll of a table.
    Store(Table, Outcome),
    /// Tables from another entry.
    Snapshots(Vec<Snapshot>),
    /// An event on a link to another entry.
    Link(Event),
    /// A link that another entry opened.
    LinkAccepted(Link, Outbox),
    /// The outcome of opening a link to an entry.
    LinkOpened(InstanceId, Link, Result<Outbox, String>),
    /// The outcome of writing the record of a roll-out.
    MoveRecorded(String, Result<(), String>),
    /// The outcome of writing lost rows again.
    RowsRestored(Result<(), String>),
    /// The outcome of writing the record of a quarantined request.
    HoldRecorded(Fingerprint, Result<(), String>),
    /// A closure that needs access to the event loop's state.
    Execute(Box<dyn FnOnce(&mut EventLoop) + Send>),
}

/// The rows that one call returned.
pub struct Read {
    pub page: Page,
    /// Whether `page` holds the whole table.
    pub whole: bool,
    /// When the call began.
    pub started: Time,
}

/// The outcome of a call for a table.
pub enum Outcome {
    /// The table or changes of it.
    Page(Read),
    /// The table could not be read.
    Failed(Trouble),
    /// The store no longer has the changes after this version, or the version is of another
    /// era; the table will be read as a whole.
    Forgotten(Stamp),
}

/// A copy of a table from another entry.
#[derive(Clone, Debug)]
pub struct Snapshot {
    pub table: Table,
    /// The copy as a page of the store.
    pub page: Page,
    /// The rows that remain valid although the store lost them.
    pub retained: Vec<Retained>,
}
