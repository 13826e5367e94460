//! The refusals that one connection may get in a row before its next request waits, so that a
//! caller who sends requests one behind the other that can't be served takes no more than its share.

use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Refusals that a connection may get at once.
const AT_ONCE: f64 = 100.0;
/// Refusals a second that it may get in the long run.
const PER_SECOND: f64 = 100.0;

/// The refusals of one connection.
#[derive(Debug)]
pub struct Refusals(Mutex<State>);

#[derive(Debug)]
struct State {
    left: f64,
    at: Instant,
}

impl Default for Refusals {
    fn default() -> Refusals {
        Refusals(Mutex::new(State {
            left: AT_ONCE,
            at: Instant::now(),
        }))
    }
}

impl Refusals {
    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Counts a refusal.
    pub fn count(&self) {
        self.refill(Instant::now()).left -= 1.0;
    }

    /// Returns how long the next request must wait, if it must.
    pub fn wait(&self) -> Option<Duration> {
        let left = self.refill(Instant::now()).left;
        (left < 0.0).then(|| Duration::from_secs_f64(-left / PER_SECOND))
    }

    fn refill(&self, now: Instant) -> MutexGuard<'_, State> {
        let mut state = self.state();
        let passed = now.duration_since(state.at).as_secs_f64();
        state.left = (state.left + passed * PER_SECOND).min(AT_ONCE);
        state.at = now;
        state
    }
}
