//! An instance with an entry: its processor, its link and its memory.

use super::scenario;
use sorreldeck::overload::{Limits, Monitor};
use sorreldeck::{Size, Span, Time};
use std::collections::VecDeque;

/// The processor time of work, on a whole core.
const CLOSE: Span = Span::from_micros(11);
const READ: Span = Span::from_micros(80);
const DECIDE: Span = Span::from_micros(110);
const SEND: Span = Span::from_micros(130);
const EVENT: Span = Span::from_micros(50);
const TICK: Span = Span::from_micros(40);
/// The memory of an entry without connections, and that of each connection.
const IDLE_MEMORY: u64 = 13_000_000;
const CONNECTION_MEMORY: u64 = 56_000;
const MB: u64 = 1_000_000;

/// Something that waits for the processor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Task {
    /// Accepts or closes the connection of a try.
    Accept(usize),
    /// Reads the request of a try.
    Read(usize),
    /// Chooses an upstream for the request of a try.
    Decide(usize),
    /// Sends the request of a try to an upstream.
    Send(usize),
    /// Passes an event of a try on.
    Event(usize),
    /// Notices that the client of a try has left.
    Leave,
    Tick,
    Probe,
    /// Answers the load balancer.
    Ready,
}

impl Task {
    fn cost(self) -> Span {
        match self {
            Task::Accept(_) | Task::Leave | Task::Ready => CLOSE,
            Task::Read(_) => READ,
            Task::Decide(_) => DECIDE,
            Task::Send(_) => SEND,
            Task::Event(_) => EVENT,
            Task::Tick => TICK,
            Task::Probe => Span::default(),
        }
    }
}

/// An instance with its entry.
#[derive(Debug)]
pub(super) struct Instance {
    pub spec: scenario::Instance,
    pub monitor: Monitor,
    /// How often the entry was started.
    pub life: u32,
    pub is_probing: bool,
    queue: VecDeque<Task>,
    is_busy: bool,
    used: Span,
    link_free_at: Time,
    /// Until when the process stands still.
    pub paused_until: Time,
    pub connections: u64,
    pub bodies: u64,
}

impl Instance {
    pub fn new(spec: scenario::Instance, phase: f64, now: Time) -> Instance {
        Instance {
            monitor: monitor(&spec, phase, now),
            spec,
            life: 0,
            is_probing: false,
            queue: VecDeque::new(),
            is_busy: false,
            used: Span::default(),
            link_free_at: now,
            paused_until: now,
            connections: 0,
            bodies: 0,
        }
    }

    /// Starts the entry anew; what it had is lost.
    pub fn restart(&mut self, phase: f64, now: Time) {
        let (spec, life) = (self.spec, self.life);
        *self = Instance::new(spec, phase, now);
        self.life = life + 1;
    }

    /// Queues a task; returns whether the processor was free.
    pub fn push(&mut self, task: Task) -> bool {
        self.queue.push_back(task);
        !self.is_busy
    }

    /// Takes the next task and returns it with the time at which it is done.
    pub fn begin(&mut self, now: Time) -> Option<(Task, Time)> {
        let task = self.queue.pop_front();
        self.is_busy = task.is_some();
        let task = task?;
        self.used = self.used + task.cost();
        let takes = Span::from_secs_f64(task.cost().secs_f64() / self.spec.cores);
        Some((task, now.max(self.paused_until) + takes))
    }

    /// Sends bytes; returns when the last one has left.
    pub fn send(&mut self, bytes: u64, now: Time) -> Time {
        let takes = Span::from_secs_f64(bytes as f64 * 8.0 / (self.spec.mbps * 1e6));
        self.link_free_at = self.link_free_at.max(now) + takes;
        self.link_free_at
    }

    /// Returns how long bytes that are sent now wait for those before them.
    pub fn link_wait(&self, now: Time) -> Span {
        self.link_free_at.max(now).since(now)
    }

    /// Returns the memory in use in bytes.
    pub fn memory(&self) -> u64 {
        IDLE_MEMORY + self.connections * CONNECTION_MEMORY + self.bodies
    }

    /// Returns the memory in use as a part of the limit.
    pub fn memory_share(&self) -> f64 {
        self.memory() as f64 / (self.spec.memory * MB) as f64
    }

    pub fn step(&mut self, now: Time) {
        self.monitor.use_processor(self.used, now);
        self.monitor.set_memory(Size::from_bytes(self.memory()));
        self.monitor.step(now);
    }
}

fn monitor(spec: &scenario::Instance, phase: f64, now: Time) -> Monitor {
    let limits = Limits {
        cores: spec.told_cores,
        memory: Size::from_bytes(spec.memory * MB),
        mbps: spec.told_mbps,
        descriptors: 0,
    };
    Monitor::new(limits, phase, now)
}

impl scenario::Instance {
    /// Returns the requests of streams with so many events that the processor can serve in a second.
    pub fn capacity(&self, events: u32) -> f64 {
        let request = CLOSE + READ + DECIDE + SEND;
        let cost = request.secs_f64() + f64::from(events) * EVENT.secs_f64();
        self.cores / cost
    }
}
