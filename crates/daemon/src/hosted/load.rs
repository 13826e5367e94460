//! What an entry owes, as the tasks around its event loop record it.

use super::connections::{Closed, Connections, Listing};
use super::shared::memory;
use crate::clock::{processor_time, Clock};
use crate::heap;
use async_io::Timer;
use async_std::task;
use log::info;
use sorreldeck::overload::{Change, Decision, Limits, Monitor, Owed, REQUEST_EXPECTED};
use sorreldeck::{Size, Span, Time};
use sorreldeck_net::h1::{Activity, Door};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU8, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// Time after which a timer of a probe expires: the executor looks at sockets in between.
const ROUND: Duration = Duration::from_micros(100);
/// The bytes from which on a response is a long one.
pub const LONG_RESPONSE: Size = Size::from_bytes(256 * 1024);
/// What may be owed before long responses wait.
const PRESSED: Span = Span::from_millis(20);
/// Interval between two readings of the memory in use.
const MEMORY_INTERVAL: Span = Span::from_millis(100);
const KIB: u64 = 1024;

/// What an entry owes, shared by all tasks of a process.
#[derive(Clone)]
pub struct Load(Arc<Inner>);

struct Inner {
    monitor: Mutex<Monitor>,
    clock: Clock,
    probing: AtomicBool,
    /// The memory of the process that is not on the heap.
    outside_heap: Size,
    memory_read_at: Mutex<Time>,
    connections: Connections,
    /// The connections that were accepted lately, and when.
    recent: Mutex<VecDeque<(Time, Arc<Charge>)>>,
}

/// What a connection was charged for its first request, and whether that has come.
struct Charge {
    part: f64,
    state: AtomicU8,
}

/// The request is expected and charged.
const EXPECTED: u8 = 0;
/// The request has come.
const BEGUN: u8 = 1;
/// The request has not come, and the charge was taken back.
const FORGONE: u8 = 2;

impl Charge {
    /// Changes the state from [`EXPECTED`]; returns whether it was that.
    fn settle(&self, state: u8) -> bool {
        let change = (Ordering::Relaxed, Ordering::Relaxed);
        let changed = self
            .state
            .compare_exchange(EXPECTED, state, change.0, change.1);
        changed.is_ok()
    }
}

/// An open connection of a caller.
pub struct Connection {
    load: Load,
    charge: Arc<Charge>,
    listing: Listing,
}

/// A request that was read; it ends with its answer.
pub struct Active(Load);

impl Load {
    /// Creates the load of an entry that owes nothing.
    pub fn new(limits: Limits, clock: Clock) -> Load {
        let now = clock.now();
        let (resident, _) = memory();
        let outside = (resident * KIB).saturating_sub(heap::allocated().bytes());
        let monitor = Monitor::new(limits, crate::clock::random_fraction(), now);
        Load(Arc::new(Inner {
            monitor: Mutex::new(monitor),
            clock,
            probing: AtomicBool::new(false),
            outside_heap: Size::from_bytes(outside),
            memory_read_at: Mutex::new(now),
            connections: Connections::default(),
            recent: Mutex::default(),
        }))
    }

    fn monitor(&self) -> MutexGuard<'_, Monitor> {
        self.0.monitor.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Returns the time by the clock that this load goes by.
    pub fn now(&self) -> Time {
        self.0.clock.now()
    }

    /// Decides on a new connection; returns it if it is accepted.
    pub fn accept(&self, door: &Door, activity: Arc<Activity>) -> Option<Connection> {
        let now = self.0.clock.now();
        let is_short = self.monitor().lacks_room(now).is_some();
        // The list is not looked through while the monitor is locked.
        let is_replaced = is_short && self.0.connections.make_room(door);
        let part = {
            let mut monitor = self.monitor();
            let part = monitor.charged();
            match is_replaced {
                true => monitor.replace(),
                false if monitor.decide(now) == Decision::Accept => {}
                false => return None,
            }
            part
        };
        let charge = Arc::new(Charge {
            part,
            state: AtomicU8::new(EXPECTED),
        });
        self.recent().push_back((now, charge.clone()));
        Some(Connection {
            load: self.clone(),
            charge,
            listing: self.0.connections.add(activity),
        })
    }

    fn recent(&self) -> MutexGuard<'_, VecDeque<(Time, Arc<Charge>)>> {
        self.0.recent.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Takes back the charge of connections whose first request has not come in time.
    fn forgo_expected(&self, now: Time) {
        if !self.monitor().has_read_all(now) {
            return;
        }
        let mut recent = self.recent();
        while let Some((at, charge)) = recent.front() {
            if now.since(*at) < REQUEST_EXPECTED {
                return;
            }
            if charge.settle(FORGONE) {
                self.monitor().forgo(charge.part);
            }
            recent.pop_front();
        }
    }

    /// Returns how many connections were closed for others.
    pub fn closed_for_others(&self) -> Closed {
        self.0.connections.closed()
    }

    /// Records that a part of an answer was passed on to a caller; `before` is the number of bytes
    /// of the answer that were passed on before.
    pub fn pass_on(&self, bytes: usize, before: u64) {
        let size = Size::from_bytes(bytes as u64);
        let mut monitor = self.monitor();
        if before >= LONG_RESPONSE.bytes() {
            return monitor.pass_on_more(size);
        }
        monitor.pass_on();
        monitor.send(size);
    }

    /// Records bytes that were sent otherwise.
    pub fn send(&self, bytes: usize) {
        self.monitor().send(Size::from_bytes(bytes as u64));
    }

    /// Records that a connection to an upstream took this long to open.
    pub fn connect(&self, upstream: SocketAddr, took: Span) {
        let now = self.0.clock.now();
        self.monitor().connect(upstream, took, now);
    }

    /// Records that a connection to an upstream has not opened after this long; returns whether
    /// that is too long.
    pub fn wait_for(&self, upstream: SocketAddr, passed: Span) -> bool {
        let now = self.0.clock.now();
        let mut monitor = self.monitor();
        monitor.wait_for(upstream, passed, now);
        passed >= monitor.connect_timeout(now)
    }

    /// Updates the state and logs where connections begin or cease to be closed unread.
    pub fn step(&self) {
        let now = self.0.clock.now();
        self.probe(now);
        self.read_memory(now);
        self.forgo_expected(now);
        self.0.connections.log(now);
        let change = {
            let mut monitor = self.monitor();
            monitor.use_processor(processor_time(), now);
            monitor.step(now)
        };
        if let Some(change) = change {
            log_change(&change);
        }
    }

    /// Queues a task that records when the executor has gone through all that is ready.
    fn probe(&self, now: Time) {
        if self.0.probing.swap(true, Ordering::Relaxed) {
            return;
        }
        self.monitor().waits().queue(now);
        let load = self.clone();
        task::spawn(async move {
            // Timers wake their tasks before sockets do, so all sockets that were ready at the
            // first one have had their turn at the second one.
            Timer::after(ROUND).await;
            Timer::after(ROUND).await;
            let now = load.0.clock.now();
            load.monitor().waits().run(now);
            load.0.probing.store(false, Ordering::Relaxed);
        });
    }

    fn read_memory(&self, now: Time) {
        let mut read_at = self
            .0
            .memory_read_at
            .lock()
            .unwrap_or_else(|e| e.into_inner());
        if now.since(*read_at) < MEMORY_INTERVAL {
            return;
        }
        *read_at = now;
        let in_use = heap::allocated().bytes() + self.0.outside_heap.bytes();
        self.monitor().set_memory(Size::from_bytes(in_use));
    }

    /// Returns whether a load balancer should send new connections.
    pub fn is_ready(&self) -> bool {
        self.monitor().is_ready()
    }

    /// Returns whether long responses should make way, since the link or the processor owes so much that
    /// connections will be closed unread.
    pub fn is_pressed(&self) -> bool {
        let owed = self.owed();
        owed.link >= PRESSED || owed.processor >= PRESSED
    }

    /// Returns what is owed.
    pub fn owed(&self) -> Owed {
        let now = self.0.clock.now();
        self.monitor().owed(now)
    }

    /// Returns the number of connections that were closed unread.
    pub fn closed(&self) -> u64 {
        self.monitor().closed()
    }
}

impl Connection {
    /// Records that a request was read.
    pub fn begin(&self) -> Active {
        let is_charged = self.charge.settle(BEGUN);
        let charged = is_charged.then_some(self.charge.part);
        self.load.monitor().begin(charged);
        Active(self.load.clone())
    }

    /// Waits until the connection is to be closed for others.
    pub async fn ended(&self) {
        self.listing.ended().await;
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        let is_forgone = self.charge.settle(FORGONE);
        let mut monitor = self.load.monitor();
        if is_forgone {
            monitor.forgo(self.charge.part);
        }
        monitor.close();
    }
}

impl Drop for Active {
    fn drop(&mut self) {
        self.0.monitor().end();
    }
}

fn log_change(change: &Change) {
    match change {
        Change::Began(full, owed) => {
            info!("event=overload-began full={full} {}", describe(owed));
        }
        Change::Ended {
            lasted,
            closed,
            owed,
        } => {
            info!(
                "event=overload-ended lasted_ms={} closed={closed} {}",
                lasted.millis(),
                describe(owed)
            );
        }
    }
}

/// Returns what is owed as fields of a log line.
pub fn describe(owed: &Owed) -> String {
    format!(
        "connections={} requests={} processor_ms={} link_ms={} sent_kb={} memory_owed_kb={}",
        owed.connections,
        owed.requests,
        owed.processor.millis(),
        owed.link.millis(),
        owed.sent.bytes() / KIB,
        owed.memory.bytes() / KIB
    )
}
