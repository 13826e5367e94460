//! The refusals that one connection may get in a row before its next request waits, so that a
//! caller who sends requests one behind the other that can't be served takes no more than its share.

use super::load::Load;
use sorreldeck::limit::Bucket;
use sorreldeck::{Rate, Span};
use std::sync::{Mutex, MutexGuard};

/// Refusals that a connection may get each second, and those of a second at once.
const PER_SECOND: f64 = 100.0;

/// The refusals of one connection.
pub struct Refusals {
    load: Load,
    bucket: Mutex<Bucket>,
}

impl Refusals {
    /// Creates the refusals of a new connection.
    pub fn new(load: Load) -> Refusals {
        let bucket = Bucket::new(Rate::from_per_second(PER_SECOND), load.now());
        Refusals {
            load,
            bucket: Mutex::new(bucket),
        }
    }

    fn bucket(&self) -> MutexGuard<'_, Bucket> {
        self.bucket.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Counts a refusal.
    pub fn count(&self) {
        self.bucket().charge(1.0);
    }

    /// Returns how long the next request must wait, if it must.
    pub fn wait(&self) -> Option<Span> {
        self.bucket().take(0.0, self.load.now()).err()
    }
}
