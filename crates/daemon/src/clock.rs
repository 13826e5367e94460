//! The clock that the decisions are given.
//!
//! ```
//! let clock = sorreldeckd::clock::Clock::start();
//! assert!(clock.now() <= clock.now());
//! ```

use sorreldeck::Time;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// A clock that counts from 1970-01-01 UTC and never goes back while the
/// process runs, whatever happens to the system's clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    offset: u64,
}

impl Clock {
    /// Starts a clock at the system's time.
    pub fn start() -> Clock {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        Clock {
            start: Instant::now(),
            offset: since_epoch.map_or(0, |d| d.as_micros() as u64),
        }
    }

    /// Returns the time.
    pub fn now(&self) -> Time {
        Time(self.offset + self.start.elapsed().as_micros() as u64)
    }
}

/// Returns random bytes from the system.
///
/// # Panics
///
/// Panics when the system has no source of random bytes.
pub fn random<const N: usize>() -> [u8; N] {
    let mut buf = [0; N];
    getrandom::fill(&mut buf).expect("the system has a source of random bytes");
    buf
}

/// Returns a random number in `[0, 1)`.
pub fn unit() -> f64 {
    let bits = u64::from_le_bytes(random());
    (bits >> 11) as f64 / (1u64 << 53) as f64
}
