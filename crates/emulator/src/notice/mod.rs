//! Whole days of several entries before upstreams that say of themselves that they leave,
//! want rest or take only so many requests a second, without sockets.
//!
//! The decisions are those of the daemon ([`sorreldeck::entry`]); time is passed by hand.
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
