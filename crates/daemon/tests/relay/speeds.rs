//! Speed sums of upstreams that entries tell one another.
//!
//! Each sum must reach each other entry once: one that is counted again each time that it comes
//! round would outweigh the runs of all entries. A sum circles if two entries that forward it get
//! it from each other, which happens at a loss or when two entries of a data hall read the store.

use crate::{cases, first};
use sorreldeck::pick::{Link, SpeedSum};
use sorreldeck::replication::Subscription;
use sorreldeck::wire::{self, Feed, Frame};
use sorreldeck::Span;
use sorreldeck_sim::{Node, World};
use sorreldeckd::metrics::Metrics;
use std::collections::{BTreeMap, BTreeSet};
use test_case::test_case;

/// The steps between two messages of an entry with its sums.
const TELL_INTERVAL: usize = 25;
/// The steps within which a sum has reached all entries: three links with a wait of 0.5 s each.
const ARRIVAL: usize = 90;
/// The bytes a second that the sums of 55 upstreams may take on a link, as docs/design/work-left.md
/// states.
const MAX_RATE: u64 = 1_500;

pub fn sum(upstream: u64, weight: u32, log: i32) -> SpeedSum {
    SpeedSum {
        upstream,
        weight,
        log,
    }
}

/// Returns a running simulation in which each frame arrives once.
fn world(seed: u64, halls: usize, entries: usize) -> World {
    let mut world = World::new(seed, halls, entries);
    world.duplicate_share = 0.0;
    world.run(250);
    world
}

/// Returns the sums that an entry received by upstream.
fn received(node: &Node) -> BTreeMap<u64, SpeedSum> {
    let mut sums = BTreeMap::new();
    for new in &node.speeds {
        sums.entry(new.upstream)
            .or_insert(sum(new.upstream, 0, 0))
            .add(new);
    }
    sums
}

/// Each row: the data halls and the entries.
#[test_case(1, 2; "two entries of one hall")]
#[test_case(1, 20; "one hall")]
#[test_case(3, 3; "an entry in each of three halls")]
#[test_case(3, 30; "three halls")]
#[test_case(4, 80; "four halls")]
fn each_sum_reaches_each_entry_once(halls: usize, entries: usize) {
    const SHARED: u64 = 1_000;
    let mut world = world(21, halls, entries);
    for (number, node) in world.nodes.iter_mut().enumerate() {
        let own = sum(number as u64, 100, -7);
        node.relay
            .share_speeds(&[own, sum(SHARED, 30, number as i32 - 20)]);
    }
    world.run(ARRIVAL);
    let all_logs: i32 = (0..entries as i32).map(|number| number - 20).sum();
    for (number, node) in world.nodes.iter().enumerate() {
        let others = (0..entries).filter(|other| *other != number);
        let mut expected: Vec<SpeedSum> = others.map(|i| sum(i as u64, 100, -7)).collect();
        let log = all_logs - (number as i32 - 20);
        expected.push(sum(SHARED, 30 * (entries as u32 - 1), log));
        let received: Vec<SpeedSum> = received(node).into_values().collect();
        assert_eq!(received, expected, "entry {number}");
    }
}

/// Runs steps during which each entry tells one sum every 0.5 s. The number of the upstream of each
/// sum contains the entry's and is never used again.
fn tell_for(world: &mut World, steps: usize) {
    for step in 0..steps {
        let stamp = world.now.0;
        for (number, node) in world.nodes.iter_mut().enumerate() {
            if (step + number) % TELL_INTERVAL == 0 && node.is_running(world.now) {
                let upstream = stamp * 1_000 + number as u64;
                node.relay.share_speeds(&[sum(upstream, 1, 0)]);
            }
        }
        world.tick();
    }
}

/// Checks that no entry received a sum twice or one of its own, and that none is still on its way.
fn check_at_most_once(world: &mut World) {
    world.run(ARRIVAL);
    let counts: Vec<usize> = world.nodes.iter().map(|n| n.speeds.len()).collect();
    for (number, node) in world.nodes.iter().enumerate() {
        let received: BTreeSet<u64> = node.speeds.iter().map(|s| s.upstream).collect();
        assert_eq!(received.len(), node.speeds.len(), "entry {number}");
        assert!(received.iter().all(|u| u % 1_000 != number as u64));
    }
    world.run(ARRIVAL);
    for (node, count) in world.nodes.iter().zip(counts) {
        assert_eq!(node.speeds.len(), count, "sums go round");
    }
}

/// Returns the first entry of a data hall that reads the store.
fn reader(world: &World, hall: &str) -> usize {
    let is_reader = |n: &Node| n.subscription == Subscription::All && n.peer.hall.as_str() == hall;
    world.nodes.iter().position(is_reader).unwrap()
}

/// Stops the transmission of an entry's links to others that match, without closing them.
fn silence(world: &mut World, from: usize, to: impl Fn(&Node) -> bool) {
    let links = world.links.iter();
    let silenced = links.filter(|(end, other)| end.0 == from && to(&world.nodes[other.0]));
    let silenced: Vec<(usize, Link)> = silenced.map(|(end, _)| *end).collect();
    world.blackholed.extend(silenced);
}

fn cut_from_reader(world: &mut World) {
    let reader = reader(world, "h-1");
    silence(world, reader, |node| node.peer.hall.as_str() == "h-1");
}

fn cut_to_reader(world: &mut World) {
    let reader = world.nodes[reader(world, "h-1")].peer.name.clone();
    for node in 0..world.nodes.len() {
        silence(world, node, |n| n.peer.name == reader);
    }
}

fn cut_between_halls(world: &mut World) {
    let reader = reader(world, "h-1");
    silence(world, reader, |node| node.peer.hall.as_str() == "h-0");
}

fn lose_reader(world: &mut World) {
    let until = world.now + Span::from_millis(2_000);
    world.kill(reader(world, "h-1"), until);
}

/// Separates the two entries of a data hall that rank first, so that both read the store.
fn separate_readers(world: &mut World) {
    let first = reader(world, "h-1");
    let name = world.nodes[first].peer.name.clone();
    let is_second = |node: &Node| {
        let sources = node.relay.follow().sources(world.now);
        sources.len() == 1 && *sources[0] == name
    };
    let second = world.nodes.iter().position(is_second).unwrap();
    let name = world.nodes[second].peer.name.clone();
    silence(world, first, |n| n.peer.name == name);
}

#[test_case(cut_from_reader; "a reader is not heard in its hall")]
#[test_case(cut_to_reader; "a reader hears nobody")]
#[test_case(cut_between_halls; "a reader is not heard in another hall")]
#[test_case(lose_reader; "a reader is lost")]
#[test_case(separate_readers; "two readers at once")]
fn no_sum_circles_or_comes_twice_after(fault: fn(&mut World)) {
    for seed in 0..4 {
        let mut world = world(seed, 3, 24);
        tell_for(&mut world, 100);
        fault(&mut world);
        tell_for(&mut world, 500);
        check_at_most_once(&mut world);
        let heard = world.nodes.iter().map(|n| n.speeds.len()).min();
        assert!(heard.is_some_and(|least| least > 0), "seed {seed}");
    }
}

#[test]
fn no_sum_circles_or_comes_twice_under_random_faults() {
    for seed in first()..first() + cases() {
        println!("seed {seed}");
        let mut world = world(seed, 1 + seed as usize % 4, 20);
        world.slow_link_share = 0.2;
        for round in 0..4 {
            match round % 2 {
                0 => world.impair(),
                _ => world.impair_readers(),
            }
            tell_for(&mut world, 400);
        }
        check_at_most_once(&mut world);
    }
}

/// Returns the bytes a second of the busiest link of an installation in which each entry tells a
/// sum of each upstream every 0.5 s.
fn busiest_link(entries: usize, upstreams: u64) -> u64 {
    const SECONDS: usize = 6;
    let mut world = world(5, 3, entries);
    world.link_bytes.clear();
    // Start identifiers are hashes.
    let hash = |number: u64| (number + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let sums: Vec<SpeedSum> = (0..upstreams).map(|u| sum(hash(u), 2, 10)).collect();
    for step in 0..SECONDS * 50 {
        for (number, node) in world.nodes.iter_mut().enumerate() {
            if (step + number) % TELL_INTERVAL == 0 && !sums.is_empty() {
                node.relay.share_speeds(&sums);
            }
        }
        world.tick();
    }
    world.link_bytes.values().max().unwrap() / SECONDS as u64
}

#[test]
fn bytes_grow_with_upstreams_and_not_with_entries() {
    for entries in [30, 100, 300] {
        let without = busiest_link(entries, 0);
        for (upstreams, bound) in [(55, MAX_RATE), (110, 2 * MAX_RATE)] {
            let rate = busiest_link(entries, upstreams) - without;
            println!("{entries} entries, {upstreams} upstreams: {rate} B/s more than {without}");
            assert!(rate <= bound, "{rate} B/s");
        }
    }
}

/// Builds that know no sums read and write the same frames as before.
#[test]
fn frames_without_sums_do_not_name_them() {
    let encode = |speeds: Vec<SpeedSum>| {
        let feed = Feed {
            speeds,
            ..Feed::default()
        };
        wire::encode(&[Frame::Feed(Box::new(feed))])
    };
    let names_sums = |buf: &[u8]| buf.windows(6).any(|word| word == b"speeds");
    assert!(!names_sums(&encode(Vec::new())));
    assert!(names_sums(&encode(vec![sum(1, 2, 3)])));
}

#[test_case(&[]; "none")]
#[test_case(&[sum(0, 0, 0), sum(u64::MAX, u32::MAX, i32::MAX)]; "largest")]
#[test_case(&[sum(7, 127, -64), sum(8, 128, 64), sum(9, 16_384, i32::MIN)]; "several lengths")]
fn sums_are_the_same_after_a_link(sums: &[SpeedSum]) {
    let feed = Feed {
        speeds: sums.to_vec(),
        ..Feed::default()
    };
    let frames = vec![Frame::Feed(Box::new(feed))];
    assert_eq!(wire::decode(&wire::encode(&frames)).unwrap(), frames);
}

/// A frame that breaks off within a sum is refused whole.
#[test]
fn an_incomplete_sum_is_refused() {
    let feed = Feed {
        speeds: vec![sum(1, 200, 3)],
        ..Feed::default()
    };
    let mut buf = wire::encode(&[Frame::Feed(Box::new(feed))]);
    let at = buf.windows(6).position(|word| word == b"speeds").unwrap() + 6;
    // The length of the bytes and the last of them.
    assert_eq!(buf[at], 0x40 + 11);
    buf[at] -= 1;
    buf.remove(at + 11);
    assert!(wire::decode(&buf).is_err());
}

#[test]
fn told_and_heard_sums_are_counted() {
    let metrics = Metrics::default();
    metrics.count_told_speed_sums(3);
    metrics.count_told_speed_sums(4);
    metrics.count_heard_speed_sums(9);
    let text = metrics.encode();
    for line in [
        "sorreldeck_speed_sums_told_total 7",
        "sorreldeck_speed_sums_heard_total 9",
    ] {
        assert!(text.lines().any(|l| l == line), "{text}");
    }
}
