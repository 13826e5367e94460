//! A hosted entry as a process, with peers that send as fast as they are read, or in other ways
//! that no good peer uses; see `sorreldeck_emulator::hostile`.
//!
//! `HOSTILE` names the peers to play, such as `caller/chunk-size/endless*8`, separated by commas, or
//! `all`; `HOSTILE_SEED` chooses some at random.

mod crowd;
#[allow(dead_code)]
#[path = "../throttled/entry.rs"]
mod entry;
mod room;
#[allow(dead_code)]
#[path = "../hosted/runner.rs"]
mod runner;
#[allow(dead_code)]
#[path = "../hosted/store.rs"]
mod store;

use crowd::Kind;
use rand::seq::IndexedRandom;
use rand::SeedableRng;
use room::Seen;
use sorreldeck_emulator::hostile::{Peer, Way};
use test_case::test_case;

/// How many peers CI chooses at random, and by which seed.
const CHOSEN: usize = 10;
const SEED: u64 = 1;

/// Guards against one peer that stops a whole entry for all others.
#[test_case("caller/chunk-size/endless", 1; "digits of a chunk size from a caller")]
#[test_case("caller/requests/endless", 1; "requests for no route, answers not read")]
#[test_case("caller/requests/endless", 8; "the same from eight callers")]
#[test_case("upstream/informational/endless", 4; "informational heads from an upstream")]
#[test_case("upstream/chunk-size/endless", 4; "digits of a chunk size from an upstream")]
#[test_case("upstream/chunks/endless", 4; "chunks from an upstream")]
#[test_case("upstream/length/endless", 4; "a body of a terabyte from an upstream")]
#[test_case("stream/event/endless", 4; "data of one event")]
fn others_are_served_beside(peer: &str, count: usize) {
    room::play(peer.parse().unwrap(), count).check();
}

/// Guards against connections that ask for nothing and take an entry out.
#[test_case(Kind::Nothing, 1_000; "a thousand that send nothing")]
#[test_case(Kind::Nothing, 4_000; "four thousand that send nothing")]
#[test_case(Kind::SlowHead, 1_000; "a thousand that send a byte of a head a second")]
#[test_case(Kind::HalfHead, 1_000; "a thousand that send half a head")]
#[test_case(Kind::SlowBody, 500; "five hundred that send a byte of a body a second")]
#[test_case(Kind::Unread, 200; "two hundred that read no answer")]
fn others_are_served_beside_a_crowd(kind: Kind, count: usize) {
    room::play_crowd(kind, count).check();
}

#[test]
fn others_are_served_beside_peers_chosen_at_random() {
    let seed = std::env::var("HOSTILE_SEED").ok();
    let seed = seed.and_then(|s| s.parse().ok()).unwrap_or(SEED);
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
    let all = Peer::all();
    for peer in all.sample(&mut rng, CHOSEN) {
        let count = *[1, 2, 8, 40].choose(&mut rng).unwrap();
        room::play(*peer, count).check();
    }
}

/// Plays what `HOSTILE` names and prints a table; by hand.
#[test]
#[ignore = "takes many minutes"]
fn table_of_hostile_peers() {
    let named = std::env::var("HOSTILE").unwrap_or_else(|_| "all".into());
    let peers: Vec<(Peer, usize)> = match named.as_str() {
        "all" => {
            let fast = |way| matches!(way, Way::Endless);
            let count = |peer: &Peer| if fast(peer.way) { 4 } else { 40 };
            Peer::all().into_iter().map(|p| (p, count(&p))).collect()
        }
        named => named.split(',').map(parse).collect(),
    };
    let seen: Vec<Seen> = peers
        .iter()
        .map(|(peer, count)| room::play(*peer, *count))
        .collect();
    let bad: Vec<&Seen> = seen
        .iter()
        .filter(|seen| !seen.faults().is_empty())
        .collect();
    println!("{} of {} with faults", bad.len(), seen.len());
    assert!(bad.is_empty(), "{bad:?}");
}

fn parse(named: &str) -> (Peer, usize) {
    let (peer, count) = named.split_once('*').unwrap_or((named, "1"));
    (peer.parse().unwrap(), count.parse().unwrap())
}
