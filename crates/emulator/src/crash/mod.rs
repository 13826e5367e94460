//! Whole days of several entries before upstreams that requests crash, without sockets.
//!
//! The decisions are those of the daemon ([`sorreldeck::entry`]); time is passed by hand.
//!
//! ```
//! use sorreldeck_emulator::crash::{Day, World};
//!
//! let tally = World::new(Day::default(), 1).play();
//! assert!(tally.late() <= 3);
//! ```

mod calls;
mod day;
mod tally;
mod world;

pub use day::{Day, Kind};
pub use tally::{Tally, CONTACT};
pub use world::World;
