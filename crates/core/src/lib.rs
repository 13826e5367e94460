//! Decision logic of sorreldeck, a model-aware router for versions and cascades.
//!
//! The library has no sockets, no clock and no global randomness. Time, seeds and messages are
//! passed in, so the daemon, the tests and the experiments execute the same code.

pub mod admission;
pub mod bill;
pub mod cascade;
pub mod config;
pub mod duty;
pub mod entry;
pub mod era;
pub mod escalation;
pub mod evidence;
pub mod failover;
pub mod halls;
pub mod header;
pub mod latency;
pub mod lease;
pub mod limit;
pub mod notice;
pub mod overload;
pub mod pick;
pub mod quarantine;
pub mod queue;
pub mod release;
pub mod replication;
pub mod retry;
pub mod reuse;
pub mod route;
pub mod saturation;
pub mod session;
pub mod sidecar;
pub mod silence;
pub mod slots;
pub mod spool;
pub mod start;
pub mod subset;
pub mod tree;
pub mod warmup;
pub mod wire;

mod digest;
mod error;
mod failure;
mod id;
mod invariant;
mod unit;
mod verdict;

pub use error::{Category, Error, Result};
pub use failure::{Failure, Reason};
pub use id::*;
pub use invariant::{Invariant, Invariants};
pub use tree::{Class, Tree};
pub use unit::*;
pub use verdict::Verdict;
