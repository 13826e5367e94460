//! The clock from which the state machines get the time.
//!
//! ```
//! use sorreldeck::Span;
//! use sorreldeckd::clock::Clock;
//!
//! let clock = Clock::start();
//! let before = clock.now();
//! clock.suspend(Span::from_millis(2_000));
//! assert!(clock.now().since(before) >= Span::from_millis(2_000));
//! ```

use rustix::time::{clock_gettime, ClockId};
use sorreldeck::{Span, Time};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

/// A clock that counts from 1970-01-01 UTC and is monotonic while the process runs, even if
/// the system's clock is changed.
///
/// It includes time in which the machine is suspended. The monotonic clock of the runtime does
/// not, so after a suspension configuration, tables and leases would appear newer than they
/// are by its length. Clones show the same time.
#[derive(Clone, Debug)]
pub struct Clock {
    start: u64,
    offset: u64,
    /// The simulated suspension time, in microseconds.
    suspended: Arc<AtomicU64>,
}

impl Clock {
    /// Creates a clock that starts at the system's time.
    pub fn start() -> Clock {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        Clock {
            start: micros(ClockId::Boottime),
            offset: since_epoch.map_or(0, |d| d.as_micros() as u64),
            suspended: Arc::default(),
        }
    }

    /// Returns the current time.
    pub fn now(&self) -> Time {
        let passed = micros(ClockId::Boottime).saturating_sub(self.start);
        Time(self.offset + passed + self.suspended.load(Ordering::Relaxed))
    }

    /// Returns the total time that the machine was suspended since it booted.
    pub fn suspended(&self) -> Span {
        let suspended = micros(ClockId::Boottime).saturating_sub(micros(ClockId::Monotonic));
        Span::from_micros(suspended + self.suspended.load(Ordering::Relaxed))
    }

    /// Advances the clock as if the machine had been suspended for this time, to simulate a
    /// suspension.
    pub fn suspend(&self, span: Span) {
        self.suspended.fetch_add(span.micros(), Ordering::Relaxed);
    }
}

/// Returns the processor time that this process has used.
pub fn processor_time() -> Span {
    Span::from_micros(micros(ClockId::ProcessCPUTime))
}

fn micros(id: ClockId) -> u64 {
    let time = clock_gettime(id);
    time.tv_sec as u64 * 1_000_000 + time.tv_nsec as u64 / 1_000
}

/// Returns random bytes from the system.
///
/// # Panics
///
/// Panics if the system has no source of random bytes.
pub fn random<const N: usize>() -> [u8; N] {
    let mut buf = [0; N];
    getrandom::fill(&mut buf).expect("the system has a source of random bytes");
    buf
}

/// Returns a random number in `[0, 1)`.
pub fn random_fraction() -> f64 {
    let bits = u64::from_le_bytes(random());
    (bits >> 11) as f64 / (1u64 << 53) as f64
}
