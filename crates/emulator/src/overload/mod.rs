//! Simulates entries of unequal strength behind a load balancer that sends most new connections to
//! one of them.
//!
//! The decisions are those of the daemon ([`sorreldeck::overload`]); time is virtual and no sockets
//! are used. Each entry has one queue for its processor and one for its link.
//!
//! ```
//! use sorreldeck_emulator::overload::{Scenario, World};
//!
//! let tally = World::new(Scenario::default(), 1).run();
//! assert!(tally.crowded().first_tries() > 0.95);
//! ```

mod balancer;
mod client;
mod instance;
mod scenario;
mod tally;
mod world;

pub use scenario::{Admission, Crowd, Instance, Scenario};
pub use tally::{Call, Summary, Tally};
pub use world::World;
