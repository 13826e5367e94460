//! What emptying a data hall would move, and whether the rest bears it.

use super::{Link, Peer, Peers};
use crate::id::{Hall, PoolId};
use serde::Serialize;

/// What emptying a data hall means for one pool, from the load that upstreams reported last.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Impact {
    /// The pool.
    pub pool: PoolId,
    /// The upstreams there that get work now.
    pub upstreams: usize,
    /// The requests that run or wait there: so many more the others would have.
    pub moves: u32,
    /// The upstreams elsewhere that get work.
    pub rest: usize,
    /// The places that are free there.
    pub free: u32,
}

impl Impact {
    /// Returns whether the other upstreams have a place for each request.
    pub fn fits(&self) -> bool {
        self.upstreams == 0 || (self.rest > 0 && self.moves <= self.free)
    }
}

impl Peers {
    /// Returns what emptying a data hall would mean for each pool.
    pub fn evacuation_impact(&self, hall: &Hall) -> Vec<Impact> {
        let pools = self.pools.keys();
        let relief = pools.map(|pool| self.relief_of(pool, hall));
        relief.collect()
    }

    fn relief_of(&self, pool: &PoolId, hall: &Hall) -> Impact {
        let is_there = |(_, peer): &(Link, &Peer)| peer.placement.hall.as_ref() == Some(hall);
        let (there, rest): (Vec<_>, Vec<_>) = self.working(pool).partition(is_there);
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
