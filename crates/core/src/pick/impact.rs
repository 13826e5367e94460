//! The requests that the evacuation of a data hall would displace, and whether the other halls can
//! take them.

use super::{Link, Peer, Peers};
use crate::id::{Hall, PoolId};
use serde::Serialize;

/// The impact of the evacuation of a data hall on one pool, based on the latest load reports.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Impact {
    /// The pool.
    pub pool: PoolId,
    /// The upstreams in the data hall that receive requests.
    pub upstreams: usize,
    /// The requests that run or queue there and would have to run elsewhere.
    pub moves: u32,
    /// The upstreams in other data halls that receive requests.
    pub rest: usize,
    /// The free slots in other data halls.
    pub free: u32,
}

impl Impact {
    /// Returns whether the other upstreams have a free slot for each displaced request.
    pub fn fits(&self) -> bool {
        self.upstreams == 0 || (self.rest > 0 && self.moves <= self.free)
    }
}

impl Peers {
    /// Returns the impact of the evacuation of a data hall on each pool.
    pub fn evacuation_impact(&self, hall: &Hall) -> Vec<Impact> {
        let pools = self.pools.keys();
        let impacts = pools.map(|pool| self.impact_on(pool, hall));
        impacts.collect()
    }

    fn impact_on(&self, pool: &PoolId, hall: &Hall) -> Impact {
        let is_in_hall = |(_, peer): &(Link, &Peer)| peer.placement.hall.as_ref() == Some(hall);
        let (there, rest): (Vec<_>, Vec<_>) = self.available(pool).partition(is_in_hall);
        let moves = there.iter().map(|(_, p)| p.load.running + p.load.queued);
        let free = rest.iter().map(|(_, p)| {
            let taken = p.load.running + p.load.queued;
            p.load.slots.saturating_sub(taken)
        });
        Impact {
            pool: pool.clone(),
            upstreams: there.len(),
            moves: moves.sum(),
            rest: rest.len(),
            free: free.sum(),
        }
    }
}
