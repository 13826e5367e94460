//! What tasks share with the loop of a hosted entry.

use super::event_loop::Message;
use async_channel::Sender;
use sorreldeck::{Incarnation, RequestId};
use sorreldeck_platform::config::Limits;
use sorreldeck_platform::Settings;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, RwLock};

/// The memory that request bodies may take, as a part of all: the rest is for
/// answers under way and for what the process needs at rest.
const BODIES_PART: u64 = 5;
/// The memory assumed where the settings name none, in bytes.
const MEMORY: u64 = 128 * 1024 * 1024;

/// What tasks share with the loop.
#[derive(Clone)]
pub struct Shared {
    /// The way to the loop.
    pub send: Sender<Message>,
    /// The run of this process.
    pub incarnation: Incarnation,
    limits: Arc<RwLock<Limits>>,
    ready: Arc<AtomicBool>,
    next: Arc<AtomicU64>,
    buffered: Arc<AtomicUsize>,
    room_for_bodies: usize,
}

impl Shared {
    /// Creates what tasks share.
    pub fn new(send: Sender<Message>, incarnation: Incarnation, settings: &Settings) -> Shared {
        let memory = match settings.memory.bytes() {
            0 => MEMORY,
            known => known,
        };
        Shared {
            send,
            incarnation,
            limits: Arc::default(),
            ready: Arc::default(),
            next: Arc::new(AtomicU64::new(1)),
            buffered: Arc::default(),
            room_for_bodies: (memory / BODIES_PART) as usize,
        }
    }

    /// Sets what callers may send.
    pub fn set_limits(&self, limits: Limits) {
        *self.limits.write().unwrap_or_else(|e| e.into_inner()) = limits;
    }

    /// Returns whether callers may be sent here.
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Relaxed)
    }

    /// Sets whether callers may be sent here; returns what it was before.
    pub fn set_ready(&self, ready: bool) -> bool {
        self.ready.swap(ready, Ordering::Relaxed)
    }

    /// Returns the identity of the next request.
    pub fn next_request(&self) -> RequestId {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        RequestId::new(self.incarnation.0, number)
    }

    /// Returns what callers may send.
    pub fn limits(&self) -> Limits {
        *self.limits.read().unwrap_or_else(|e| e.into_inner())
    }

    /// Sets memory aside for a part of a body; returns whether there was room.
    pub fn reserve(&self, bytes: usize) -> bool {
        let before = self.buffered.fetch_add(bytes, Ordering::Relaxed);
        let fits = before + bytes <= self.room_for_bodies;
        if !fits {
            self.release(bytes);
        }
        fits
    }

    /// Gives memory back.
    pub fn release(&self, bytes: usize) {
        self.buffered.fetch_sub(bytes, Ordering::Relaxed);
    }
}

/// Returns the memory of this process and the most that it ever was, in kB; 0 where the system does
/// not tell.
pub fn memory() -> (u64, u64) {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let field = |name: &str| {
        let line = status.lines().find_map(|line| line.strip_prefix(name))?;
        line.split_whitespace().next()?.parse().ok()
    };
    let of = |name: &str| field(name).unwrap_or(0);
    (of("VmRSS:"), of("VmHWM:"))
}
