//! A simulation of entries, their links and the platform's store in simulated time, without
//! sockets, for tests of the replication of tables from the store to all entries and for
//! experiments.
//!
//! The entries run the daemon's code ([`Relay`](sorreldeckd::hosted::Relay) and
//! [`Mirror`](sorreldeckd::hosted::Mirror)); their environment is simulated.
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
