//! The order in which the entries of a data hall read the store.

use crate::id::{Hall, InstanceId};
use crate::tree::hash_key;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The fraction of the strongest instance's processor share and link rate that an instance needs to
/// rank before the weaker ones. On an installation whose instances have 0.09 to 0.5 cores, a reader
/// with 0.09 cores would spend a tenth of them on serving tables to other entries.
const MIN_STRENGTH: f64 = 0.5;

/// An entry as it announces itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Peer {
    /// The name of the entry.
    pub name: InstanceId,
    /// The data hall of the entry.
    pub hall: Hall,
    /// The address at which it accepts links.
    pub address: SocketAddr,
    /// Its share of processors, in cores.
    pub cores: f64,
    /// The rate of its link, in Mbit/s.
    pub mbps: f64,
}

impl Peer {
    /// Creates a peer that does not report its capacity.
    pub fn new(name: InstanceId, hall: Hall, address: SocketAddr) -> Peer {
        Peer {
            name,
            hall,
            address,
            cores: 0.0,
            mbps: 0.0,
        }
    }
}

/// Returns the names of the entries of each data hall in the order of their rank: the strong ones
/// first, ordered by a hash, so that the load falls on different entries in each data hall.
pub(super) fn by_hall<'a>(
    peers: impl Iterator<Item = &'a Peer>,
) -> BTreeMap<Hall, Vec<InstanceId>> {
    let mut halls: BTreeMap<Hall, Vec<&Peer>> = BTreeMap::new();
    for peer in peers {
        halls.entry(peer.hall.clone()).or_default().push(peer);
    }
    let ranked = halls.into_iter().map(|(hall, peers)| (hall, order(peers)));
    ranked.collect()
}

fn order(peers: Vec<&Peer>) -> Vec<InstanceId> {
    let cores = peers.iter().map(|p| p.cores).fold(0.0, f64::max);
    let mbps = peers.iter().map(|p| p.mbps).fold(0.0, f64::max);
    let weak = |p: &Peer| p.cores < cores * MIN_STRENGTH || p.mbps < mbps * MIN_STRENGTH;
    let mut keyed: Vec<(bool, String, &Peer)> = peers
        .into_iter()
        .map(|p| (weak(p), hash_key(p.name.as_str()), p))
        .collect();
    keyed.sort_by(|a, b| (a.0, &a.1).cmp(&(b.0, &b.1)));
    keyed.into_iter().map(|(_, _, p)| p.name.clone()).collect()
}
