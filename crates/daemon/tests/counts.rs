//! Usage counts of entries, aggregated by the first entries of their data hall, with links and a store
//! in simulated time.

use sorreldeck::duty::{Tally, Window};
use sorreldeck::{AccountId, Incarnation, Span};
use sorreldeck_sim::{World, TICK};

const LENGTH: Span = Span::from_millis(5_000);

fn steps(millis: u64) -> usize {
    (millis * 1_000 / TICK.micros()) as usize
}

/// Returns a simulation in which all entries count usage.
fn counting(halls: usize, entries: usize) -> World {
    let mut world = World::new(7, halls, entries);
    world.put_upstreams();
    for (number, node) in world.nodes.iter_mut().enumerate() {
        let own = Incarnation(number as u64);
        node.relay.enable_usage(Tally::new(own, LENGTH));
    }
    world.run(steps(10_000));
    world
}

/// Starts one request of each client account at each entry of a data hall; returns the window.
fn begin(world: &mut World, hall: &str, accounts: usize) -> Window {
    let now = world.now;
    for node in &mut world.nodes {
        if node.peer.hall.as_str() != hall {
            continue;
        }
        for number in 0..accounts {
            let account: AccountId = format!("a-{number}").parse().unwrap();
            node.relay.count_request(&account, &node.mirror, now);
        }
    }
    Window::at(now, LENGTH)
}

/// Returns the two largest totals of a window among the entries of a data hall.
fn sums(world: &mut World, hall: &str, window: Window) -> Vec<u64> {
    let nodes = world.nodes.iter_mut();
    let near = nodes.filter(|node| node.peer.hall.as_str() == hall);
    let sum =
        |node: &mut sorreldeck_sim::Node| node.relay.usage().unwrap().tally().sum(window).total();
    let mut sums: Vec<u64> = near.map(sum).collect();
    sums.sort_unstable_by(|a, b| b.cmp(a));
    sums.truncate(2);
    sums
}

#[test]
fn the_first_two_entries_of_a_data_hall_know_its_total() {
    let mut world = counting(3, 30);
    let window = begin(&mut world, "h-1", 5);
    world.run(steps(600));
    let sums = sums(&mut world, "h-1", window);
    // Nobody sends the second entry the counts of the first.
    assert_eq!(sums[0], 50);
    assert!(sums[1] >= 45, "{sums:?}");
}

#[test]
fn counts_are_sent_to_the_successor_of_a_killed_first_entry() {
    let mut world = counting(2, 16);
    let window = begin(&mut world, "h-0", 4);
    world.run(steps(100));
    let reads = |node: &sorreldeck_sim::Node| {
        node.peer.hall.as_str() == "h-0"
            && node.subscription == sorreldeck::replication::Subscription::All
    };
    let first = world
        .nodes
        .iter()
        .position(reads)
        .expect("one reads the store");
    let until = world.now + Span::from_millis(60_000);
    world.kill(first, until);
    world.nodes[first]
        .relay
        .enable_usage(Tally::new(Incarnation(99), LENGTH));
    world.run(steps(4_000));
    // All counts except those of the killed entry.
    assert_eq!(sums(&mut world, "h-0", window)[0], 28);
}

#[test]
fn bytes_sent_do_not_grow_with_unchanged_accounts() {
    let sent_bytes = |accounts: usize| {
        let mut world = counting(1, 8);
        begin(&mut world, "h-0", accounts);
        world.run(steps(600));
        let before: u64 = world.sent_bytes.iter().sum();
        begin(&mut world, "h-0", 1);
        world.run(steps(600));
        world.sent_bytes.iter().sum::<u64>() - before
    };
    let (few, many) = (sent_bytes(20), sent_bytes(80));
    assert!(many * 10 <= few * 11, "{few} {many}");
}
