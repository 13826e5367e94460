//! Entries, their links and the platform's store in simulated time, without a socket: for tests of
//! how tables go from the store to all entries, and for experiments.
//!
//! The entries decide with the code of the daemon ([`Relay`](sorreldeckd::hosted::Relay) and
//! [`Mirror`](sorreldeckd::hosted::Mirror)); what stands around them is played.
//!
//! ```
//! use sorreldeck_sim::World;
//!
//! let mut world = World::new(7, 2, 4);
//! world.put_upstreams();
//! world.run(100);
//! let routable = world.nodes.iter().map(|node| node.routable.len() as u64);
//! assert!(routable.eq([world.upstreams; 4]));
//! ```

mod check;
mod faults;
pub mod rows;
mod store;

mod world;

pub use check::change_number;
pub use store::{Backup, Rows, Store};
pub use world::{upstream, End, Event, Node, Poll, World, STALENESS_LIMITS, TICK, UPSTREAMS};
