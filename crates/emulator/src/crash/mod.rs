//! Whole days of several entries before upstreams that requests crash, without sockets.
//!
//! The decisions are those of the daemon ([`sorreldeck::entry`]); time is passed by hand.
//!
//! ```
//! use sorreldeck_emulator::crash::{Scenario, World};
//!
//! let tally = World::new(Scenario::default(), 1).run();
//! assert!(tally.late() <= 3);
//! ```

mod calls;
mod scenario;
mod tally;
mod world;

pub use scenario::{Kind, Scenario};
pub use tally::{Tally, PROPAGATION_LIMIT};
pub use world::World;
