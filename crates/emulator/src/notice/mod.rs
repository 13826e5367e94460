//! Simulates several entries with upstreams that announce that they leave, ask for a pause or limit
//! their request rate.
//!
//! The decisions are those of the daemon ([`sorreldeck::entry`]); time is virtual and no sockets
//! are used.
//!
//! ```
//! use sorreldeck_emulator::notice::{Scenario, World};
//!
//! let tally = World::new(Scenario::default(), 1).run();
//! assert!(tally.served() > 0.99);
//! ```

mod scenario;
mod tally;
mod world;

pub use scenario::{Period, Scenario, Signal};
pub use tally::{Limited, Request, Tally};
pub use world::World;
