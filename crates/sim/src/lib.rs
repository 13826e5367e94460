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
//! world.pass(100);
//! let uses = world.nodes.iter().map(|node| node.uses.len() as u64);
//! assert!(uses.eq([world.upstreams; 4]));
//! ```

mod check;
pub mod rows;
mod store;
mod trouble;
mod world;

pub use check::number_of;
pub use store::{Copy, Rows, Store};
pub use world::{upstream, End, Event, Node, Poll, World, LIMITS, TICK, UPSTREAMS};
