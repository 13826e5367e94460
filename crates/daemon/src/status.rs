//! The parts of a status that all roles show alike.

use serde_json::{json, Value};
use sorreldeck::entry::Entry;
use sorreldeck::Time;

/// Returns what an entry knows of each upstream.
pub fn upstreams(entry: &Entry, now: Time) -> Vec<Value> {
    let peers = entry.peers();
    let pools = peers.pools().iter();
    let links = pools.flat_map(|(pool, links)| links.iter().map(move |link| (pool, *link)));
    let known = links.filter_map(|(pool, link)| Some((pool, link, peers.get(link)?)));
    known
        .map(|(pool, link, peer)| {
            json!({
                "upstream": peer.upstream,
                "pool": pool,
                "hall": peer.placement.hall,
                "gets_work": peers.gets_work(link),
                "work": peers.availability(link, now).map(|a| a.to_string()),
                "running": peer.load.running,
                "slots": peer.load.slots,
                "queued": peer.load.queued,
                "in_flight_here": peer.in_flight,
                "leaving": peer.leaving,
            })
        })
        .collect()
}
