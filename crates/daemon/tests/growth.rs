//! Growth of the control traffic with the number of entries, with links and a store in simulated time
//! and no sockets.

use sorreldeck::Span;
use sorreldeck_sim::{World, TICK};
use test_case::test_case;

const HALLS: usize = 3;

fn secs(n: u64) -> usize {
    (n * 1_000_000 / TICK.micros()) as usize
}

fn started(seed: u64, halls: usize, entries: usize) -> World {
    let mut world = World::new(seed, halls, entries);
    world.put_upstreams();
    world.run(secs(15));
    world
}

/// Control traffic of 10 s with a change every second.
#[derive(Debug)]
struct Cost {
    /// Bytes sent between data halls.
    crossed: u64,
    /// Calls of the store.
    calls: u64,
    /// Median of the bytes sent by an entry.
    middle: u64,
    /// Median of the links of an entry.
    links: usize,
}

fn measure(entries: usize) -> Cost {
    let mut world = started(7, HALLS, entries);
    let (crossed, calls) = (world.cross_hall_bytes, world.store.calls);
    let before = world.sent_bytes.clone();
    for _ in 0..10 {
        world.configure();
        world.run(secs(1));
    }
    let mut sent: Vec<u64> = world
        .sent_bytes
        .iter()
        .zip(&before)
        .map(|(a, b)| a - b)
        .collect();
    sent.sort_unstable();
    let mut links = vec![0; entries];
    for (node, _) in world.links.keys() {
        links[*node] += 1;
    }
    links.sort_unstable();
    Cost {
        crossed: world.cross_hall_bytes - crossed,
        calls: world.store.calls - calls,
        middle: sent[entries / 2],
        links: links[entries / 2],
    }
}

#[test]
fn traffic_between_data_halls_and_to_the_store_does_not_grow_with_entries() {
    let (few, many) = (measure(15), measure(60));
    assert!(many.crossed * 10 <= few.crossed * 11, "{few:?} {many:?}");
    assert!(many.calls <= few.calls + 3, "{few:?} {many:?}");
    assert!(many.middle * 10 <= few.middle * 11, "{few:?} {many:?}");
    assert_eq!(many.links, few.links);
}

/// State of the store while half of all entries are killed.
#[derive(Clone, Copy, Debug)]
enum Store {
    Normal,
    LosesHistory,
    RefusesEntries,
    Restored,
}

#[test_case(Store::Normal)]
#[test_case(Store::LosesHistory)]
#[test_case(Store::RefusesEntries)]
#[test_case(Store::Restored)]
fn half_of_64_entries_killed_at_once_recover_and_get_changes(store: Store) {
    for seed in 0..4 {
        let mut world = started(seed, 5, 64);
        let back = world.now + Span::from_millis(700);
        for node in (0..64).filter(|node| node % 2 == seed as usize % 2) {
            world.kill(node, back);
        }
        match store {
            Store::Normal => {}
            Store::LosesHistory => world.compact(),
            Store::RefusesEntries => {
                let until = world.now + Span::from_millis(4_000);
                for node in 0..64 {
                    if node % 3 == 0 {
                        world.nodes[node].store_unreachable_until = until;
                    }
                }
            }
            Store::Restored => {
                let until = world.now + Span::from_millis(300);
                world.restore(until);
            }
        }
        world.run(secs(2) + secs(1));
        // Starting entries that the store refuses would ask the seeds, which are not simulated.
        let now = world.now;
        let lost = world
            .nodes
            .iter()
            .filter(|n| now >= n.store_unreachable_until && !n.mirror.has_operator_table());
        assert_eq!(lost.count(), 0, "{store:?}, seed {seed}");
        world.run(secs(5));
        let number = world.configure();
        world.run((world.staleness_limit.micros() / TICK.micros()) as usize);
        let late = world
            .nodes
            .iter()
            .filter(|node| node.config_number() != number);
        assert_eq!(late.count(), 0, "{store:?}, seed {seed}");
    }
}
