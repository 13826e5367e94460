//! Decides whether an entry takes a new connection, by the work that it owes already.
//!
//! An entry that gets more connections than it can serve would answer all of them late, or run out
//! of memory. It closes the connections beyond its capacity unread, which lets their callers try
//! another entry at once, and says that it is not ready while that goes on. What it has read it
//! serves.
//!
//! The processor is full when more is owed than its share can do, or when tasks wait for it all the
//! time; from then on no more is let in than it was seen to do. The same holds for the link, where
//! connections to upstreams take long to open. Memory and descriptors have limits that are known.
//!
//! ```
//! use sorreldeck::overload::{Decision, Limits, Monitor, Resource};
//! use sorreldeck::{Size, Time};
//!
//! let limits = Limits { memory: Size::from_bytes(100_000_000), ..Limits::default() };
//! let mut monitor = Monitor::new(limits, 0.5, Time(0));
//! assert_eq!(monitor.decide(Time(1)), Decision::Accept);
//! monitor.set_memory(Size::from_bytes(90_000_000));
//! for _ in 0..100 {
//!     monitor.decide(Time(2));
//! }
//! assert_eq!(monitor.decide(Time(3)), Decision::Close(Resource::Memory));
//! ```

mod link;
mod memory;
mod meter;
mod pace;
mod processor;
mod readiness;
mod usage;
mod wait;

pub use wait::Waits;

use crate::unit::{Size, Span, Time};
use link::Link;
use memory::Memory;
use processor::Processor;
use readiness::Readiness;
use std::fmt;
use std::net::SocketAddr;

/// The part of the descriptors that connections may take; each request also takes one to an
/// upstream.
const DESCRIPTORS: f64 = 0.8;
/// The descriptors that a connection with a request takes.
const DESCRIPTORS_EACH: usize = 2;

/// How long the first request of an accepted connection counts as work that is owed before it has come.
pub const REQUEST_EXPECTED: Span = Span::from_millis(50);

/// The connections over which the share of those that bring a request is taken.
const BRINGING_OVER: f64 = 16.0;

/// What the instance has.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Limits {
    /// The share of processors in cores; 0 if unknown.
    pub cores: f64,
    /// The memory of the process; 0 if unknown.
    pub memory: Size,
    /// The bandwidth of the network link in Mbit/s; 0 if unknown.
    pub mbps: f64,
    /// The descriptors of the process; 0 if unknown.
    pub descriptors: usize,
}

/// Something that an entry may run out of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Resource {
    /// Processor time.
    Processor,
    /// The bandwidth of the network link.
    Link,
    /// Memory.
    Memory,
    /// Descriptors of connections.
    Descriptors,
}

impl Resource {
    /// Returns the resource in the words of logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Resource::Processor => "processor",
            Resource::Link => "link",
            Resource::Memory => "memory",
            Resource::Descriptors => "descriptors",
        }
    }
}

impl fmt::Display for Resource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// What becomes of a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Its requests are read.
    Accept,
    /// It is closed unread, since this resource is full.
    Close(Resource),
}

/// Work of the processor, which is counted in units of passing on one part of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Work {
    /// A connection was accepted and its request was read, decided on and sent.
    Request,
    /// A part of an answer was passed on.
    Part,
    /// A connection was accepted that has brought no request.
    Connection,
    /// A connection was closed unread.
    Close,
}

impl Work {
    fn units(self) -> f64 {
        match self {
            Work::Request => 7.0,
            Work::Part => 1.0,
            Work::Connection => 2.0,
            Work::Close => 0.25,
        }
    }
}

/// What an entry owes, and how long it has been full.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Owed {
    /// The open connections of callers.
    pub connections: usize,
    /// The requests that were read and are not answered.
    pub requests: usize,
    /// How long tasks wait for the processor, or the processor needs for what it owes beyond its pace.
    pub processor: Span,
    /// How long the link needs for what it owes beyond its bandwidth.
    pub link: Span,
    /// All bytes that have left the instance for callers and upstreams.
    pub sent: Size,
    /// The memory in use.
    pub memory: Size,
}

/// The begin or the end of a time in which connections are closed unread.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Change {
    /// Connections are closed unread from now on, since this resource is full.
    Began(Resource, Owed),
    /// No connection was closed unread lately.
    Ended {
        /// How long connections were closed.
        lasted: Span,
        /// The number of these connections.
        closed: u64,
        /// What is owed now.
        owed: Owed,
    },
}

/// A time in which connections are closed unread.
#[derive(Clone, Copy, Debug)]
struct Episode {
    since: Time,
    closed: u64,
    /// The resource that was full first, until the begin has been reported.
    unreported: Option<(Resource, Owed)>,
}

/// What an entry owes, and whether it takes more.
#[derive(Clone, Debug)]
pub struct Monitor {
    processor: Processor,
    link: Link,
    memory: Memory,
    max_connections: usize,
    connections: usize,
    /// The share of accepted connections that bring a request at once, lately.
    bringing: f64,
    readiness: Readiness,
    episode: Option<Episode>,
    closed: u64,
}

impl Monitor {
    /// Creates the monitor of an entry that owes nothing. `phase` is a number in `[0, 1)` that
    /// differs between entries.
    pub fn new(limits: Limits, phase: f64, now: Time) -> Monitor {
        let max_connections = match limits.descriptors {
            0 => usize::MAX,
            all => (all as f64 * DESCRIPTORS) as usize / DESCRIPTORS_EACH,
        };
        Monitor {
            processor: Processor::new(limits.cores, now),
            link: Link::new(limits.mbps, now),
            memory: Memory::new(limits.memory),
            max_connections,
            connections: 0,
            bringing: 1.0,
            readiness: Readiness::new(phase),
            episode: None,
            closed: 0,
        }
    }

    /// Decides what becomes of a new connection.
    pub fn decide(&mut self, now: Time) -> Decision {
        match self.full(now) {
            None => {
                self.replace();
                Decision::Accept
            }
            Some(full) => self.turn_away(full, now),
        }
    }

    /// Returns the resource for lack of which a connection is about to be closed unread, if another
    /// one may be closed in its place.
    pub fn lacks_room(&mut self, now: Time) -> Option<Resource> {
        let full = self.full(now)?;
        matches!(full, Resource::Descriptors | Resource::Memory).then_some(full)
    }

    fn turn_away(&mut self, full: Resource, now: Time) -> Decision {
        self.readiness.turn_away(now);
        self.processor.work(Work::Close);
        self.closed += 1;
        let owed = self.owed(now);
        let episode = self.episode.get_or_insert(Episode {
            since: now,
            closed: 0,
            unreported: Some((full, owed)),
        });
        episode.closed += 1;
        Decision::Close(full)
    }

    /// Records that a connection was accepted, and charges its first request as far as connections
    /// bring one.
    fn open(&mut self) {
        self.connections += 1;
        self.processor.charge(self.bringing);
        self.link.charge(self.bringing);
        self.memory.charge(self.bringing);
    }

    /// Records whether an accepted connection brought a request at once.
    fn record_request(&mut self, has_come: bool) {
        let come = f64::from(u8::from(has_come));
        self.bringing += (come - self.bringing) / BRINGING_OVER;
    }

    /// Returns the resource that is full, if one is.
    fn full(&mut self, now: Time) -> Option<Resource> {
        if self.connections >= self.max_connections {
            return Some(Resource::Descriptors);
        }
        if self.memory.is_full(self.connections) {
            return Some(Resource::Memory);
        }
        if self.link.is_full(now) {
            return Some(Resource::Link);
        }
        self.processor.is_full(now).then_some(Resource::Processor)
    }

    /// Accepts a connection in the place of one that is closed for it.
    pub fn replace(&mut self) {
        self.open();
        self.readiness.accept();
    }

    /// Returns whether what has come on connections has been read: a request of one that was accepted
    /// may wait for the processor itself.
    pub fn has_read_all(&self, now: Time) -> bool {
        !self.processor.waits.is_long(now)
    }

    /// Returns the part of a request for which a connection that is accepted now is charged.
    pub fn charged(&self) -> f64 {
        self.bringing
    }

    /// Takes back what an accepted connection was [charged](Monitor::charged) for its first request,
    /// which has not come within [`REQUEST_EXPECTED`]: what it may ask later is charged when it does.
    pub fn forgo(&mut self, charged: f64) {
        self.processor.refund(charged);
        self.link.refund(charged);
        self.processor.work_more(Work::Connection);
        self.record_request(false);
    }

    /// Records that an accepted connection was closed.
    pub fn close(&mut self) {
        self.connections = self.connections.saturating_sub(1);
    }

    /// Records that a request was read; `charged` is the part for which its connection was charged, or
    /// `None` if the request is not its first or came late.
    pub fn begin(&mut self, charged: Option<f64>) {
        self.processor.begin();
        self.link.begin();
        let part = 1.0 - charged.unwrap_or(0.0);
        self.processor.charge(part);
        self.link.charge(part);
        if charged.is_some() {
            self.record_request(true);
        }
    }

    /// Records that a part of an answer was passed on.
    pub fn pass_on(&mut self) {
        self.processor.work(Work::Part);
    }

    /// Records a later part of a long answer, which waits while others need what it takes: it is no
    /// measure of what the next request will cost.
    pub fn pass_on_more(&mut self, size: Size) {
        self.processor.work_more(Work::Part);
        self.link.send_more(size);
    }

    /// Records bytes that leave the instance.
    pub fn send(&mut self, size: Size) {
        self.link.send(size);
    }

    /// Returns how long a connection to an upstream may take to open.
    pub fn connect_timeout(&self, now: Time) -> Span {
        self.link.connect_timeout(now)
    }

    /// Records that a connection to an upstream took this long to open.
    pub fn connect(&mut self, upstream: SocketAddr, took: Span, now: Time) {
        // The task that noticed it may have waited for the processor.
        if !self.processor.waits.is_long(now) {
            self.link.open(upstream, took, now);
        }
    }

    /// Records that a connection to an upstream has not opened after this long.
    pub fn wait_for(&mut self, upstream: SocketAddr, passed: Span, now: Time) {
        if !self.processor.waits.is_long(now) {
            self.link.wait(upstream, passed, now);
        }
    }

    /// Records that the answer to a request has ended.
    pub fn end(&mut self) {
        self.processor.end();
        self.link.end();
    }

    /// Sets the memory in use.
    pub fn set_memory(&mut self, in_use: Size) {
        self.memory.set(in_use);
    }

    /// Records all processor time that the process has used until now.
    pub fn use_processor(&mut self, used: Span, now: Time) {
        self.processor.use_time(used, now);
    }

    /// Returns the waits of tasks for the processor.
    pub fn waits(&mut self) -> &mut Waits {
        &mut self.processor.waits
    }

    /// Updates the state; returns whether a time in which connections are closed began or ended.
    pub fn step(&mut self, now: Time) -> Option<Change> {
        self.processor.step(now);
        self.link.step(now);
        self.readiness.step(now);
        let is_full = self.readiness.full_since(now).is_some();
        let owed = self.owed(now);
        let episode = self.episode.as_mut()?;
        if let Some((resource, owed)) = episode.unreported.take() {
            return Some(Change::Began(resource, owed));
        }
        if is_full {
            return None;
        }
        let ended = Change::Ended {
            lasted: now.since(episode.since),
            closed: episode.closed,
            owed,
        };
        self.episode = None;
        Some(ended)
    }

    /// Returns whether a load balancer should send new connections.
    pub fn is_ready(&self) -> bool {
        self.readiness.is_ready()
    }

    /// Returns what is owed.
    pub fn owed(&self, now: Time) -> Owed {
        Owed {
            connections: self.connections,
            requests: self.processor.active(),
            processor: self.processor.owed(now),
            link: self.link.owed(now),
            sent: self.link.sent(),
            memory: self.memory.in_use(),
        }
    }

    /// Returns the number of connections that were closed unread.
    pub fn closed(&self) -> u64 {
        self.closed
    }
}
