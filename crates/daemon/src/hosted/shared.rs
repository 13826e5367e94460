//! State that tasks share with the event loop of a hosted entry.

use super::load::Load;
use super::message::Message;
use crate::clock::Clock;
use crate::machine;
use async_channel::Sender;
use sorreldeck::overload;
use sorreldeck::{Incarnation, RequestId, Size};
use sorreldeck_platform::config::Limits;
use sorreldeck_platform::Settings;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, RwLock};

/// The share of the memory that request bodies may take, as 1/`BODY_MEMORY_DIVISOR`. The rest
/// is for responses in progress and for the idle process.
const BODY_MEMORY_DIVISOR: u64 = 5;
/// Memory in bytes that is assumed if the settings name none.
const DEFAULT_MEMORY: u64 = 128 * 1024 * 1024;

/// State that tasks share with the event loop.
#[derive(Clone)]
pub struct Shared {
    /// Sends messages to the event loop.
    pub send: Sender<Message>,
    /// The incarnation of this process.
    pub incarnation: Incarnation,
    /// What this entry owes.
    pub load: Load,
    limits: Arc<RwLock<Limits>>,
    ready: Arc<AtomicBool>,
    next_number: Arc<AtomicU64>,
    buffered: Arc<AtomicUsize>,
    max_buffered: usize,
}

impl Shared {
    /// Creates the shared state.
    pub fn new(
        send: Sender<Message>,
        incarnation: Incarnation,
        settings: &Settings,
        clock: Clock,
    ) -> Shared {
        let memory = match settings.memory.bytes() {
            0 => DEFAULT_MEMORY,
            configured => configured,
        };
        let descriptors = match settings.descriptors {
            0 => machine::descriptors().unwrap_or(0),
            told => told,
        };
        let limits = overload::Limits {
            cores: settings.cores,
            memory: Size::from_bytes(memory),
            mbps: settings.link_mbps,
            descriptors,
        };
        Shared {
            send,
            incarnation,
            load: Load::new(limits, clock),
            limits: Arc::default(),
            ready: Arc::default(),
            next_number: Arc::new(AtomicU64::new(1)),
            buffered: Arc::default(),
            max_buffered: (memory / BODY_MEMORY_DIVISOR) as usize,
        }
    }

    /// Sets the limits for requests of clients.
    pub fn set_limits(&self, limits: Limits) {
        *self.limits.write().unwrap_or_else(|e| e.into_inner()) = limits;
    }

    /// Returns whether this entry accepts clients.
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Relaxed)
    }

    /// Sets whether this entry accepts clients; returns the previous value.
    pub fn set_ready(&self, ready: bool) -> bool {
        self.ready.swap(ready, Ordering::Relaxed)
    }

    /// Returns a new request ID.
    pub fn next_request(&self) -> RequestId {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        RequestId::new(self.incarnation.0, number)
    }

    /// Returns the limits for requests of clients.
    pub fn limits(&self) -> Limits {
        *self.limits.read().unwrap_or_else(|e| e.into_inner())
    }

    /// Reserves memory for a part of a request body; returns `false` if the limit would be
    /// exceeded.
    pub fn reserve(&self, bytes: usize) -> bool {
        let before = self.buffered.fetch_add(bytes, Ordering::Relaxed);
        let fits = before + bytes <= self.max_buffered;
        if !fits {
            self.release(bytes);
        }
        fits
    }

    /// Releases reserved memory.
    pub fn release(&self, bytes: usize) {
        self.buffered.fetch_sub(bytes, Ordering::Relaxed);
    }
}

/// Returns the current and peak resident memory of this process in kB; 0 if the system does not
/// report it.
pub fn memory() -> (u64, u64) {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let field = |name: &str| {
        let line = status.lines().find_map(|line| line.strip_prefix(name))?;
        line.split_whitespace().next()?.parse().ok()
    };
    let of = |name: &str| field(name).unwrap_or(0);
    (of("VmRSS:"), of("VmHWM:"))
}
