//! The sorreldeck daemon: connects the state machines of the `sorreldeck` library to
//! sockets, timers and the platform.
//!
//! Each role has one event loop on one thread. Handlers, links and platform calls run as
//! tasks that send messages to the event loop, which alone owns the state and makes the
//! decisions.

pub mod admin;
pub mod callers;
pub mod clock;
pub mod controller;
pub mod entry;
pub mod event_loop;
pub mod heap;
pub mod hosted;
pub mod links;
pub mod loss;
pub mod machine;
pub mod metrics;
pub mod options;
pub mod program;
pub mod propagation;
pub mod sidecar;
pub mod standalone;
mod status;
pub mod upstream;

pub use options::Options;
