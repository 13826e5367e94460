//! Whole days of several entries before upstreams that say of themselves that they leave,
//! want rest or take only so many requests a second, without sockets.
//!
//! The decisions are those of the daemon ([`sorreldeck::entry`]); time is passed by hand.
//!
//! ```
//! use sorreldeck_emulator::notice::{Day, World};
//!
//! let tally = World::new(Day::default(), 1).play();
//! assert!(tally.served() > 0.99);
//! ```

mod day;
mod tally;
mod world;

pub use day::{Day, Says, Trouble};
pub use tally::{Asked, Limited, Tally};
pub use world::World;
