//! Simulates several entries with upstreams that some requests crash.
//!
//! The decisions are those of the daemon ([`sorreldeck::entry`]); time is virtual and no sockets
//! are used.
//!
//! ```
//! use sorreldeck_emulator::crash::{Scenario, World};
//!
//! let tally = World::new(Scenario::default(), 1).run();
//! assert!(tally.late_sends() <= 3);
//! ```

mod calls;
mod scenario;
mod tally;
mod world;

pub use scenario::{Kind, Place, Scenario};
pub use tally::{Tally, PROPAGATION_LIMIT};
pub use world::{World, START};
