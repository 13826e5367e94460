//! The sorreldeck daemon: sockets, timers and the platform around the
//! decisions of the `sorreldeck` library.
//!
//! Each role is one loop on one thread. Handlers, links and calls of the
//! platform run as tasks that hand messages to the loop; the loop alone holds
//! the state and decides.

pub mod admin;
pub mod callers;
pub mod clock;
pub mod controller;
pub mod entry;
pub mod event_loop;
pub mod hosted;
pub mod links;
pub mod loss;
pub mod metrics;
pub mod options;
pub mod program;
pub mod propagation;
pub mod sidecar;
pub mod standalone;
pub mod upstream;

pub use options::Options;
