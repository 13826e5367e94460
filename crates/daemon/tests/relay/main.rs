//! Replication of the store's tables between entries under random schedules of faults: entries that
//! are killed or suspended, links that break, are slow or deliver twice, a store that refuses calls,
//! does not answer or loses its history, waits that report no change, and connections and links
//! that no longer deliver while new ones do.
//!
//! Time is simulated and no sockets are used.
//! `SORRELDECK_CASES` sets the number of cases, `SORRELDECK_FIRST` the seed of the first.

mod speeds;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sorreldeck::entry::Output;
use sorreldeck::era::Era;
use sorreldeck::notice;
use sorreldeck::pick::Link;
use sorreldeck::quarantine::{self, Fingerprint};
use sorreldeck::release::Affinity;
use sorreldeck::replication::{Peer, Subscription, Timeouts};
use sorreldeck::wire::Frame;
use sorreldeck::{InstanceId, Span, Time};
use sorreldeck_platform::store::{Page, Row};
use sorreldeck_platform::Table;
use sorreldeck_sim::{upstream, Node, World, STALENESS_LIMITS, UPSTREAMS};
use sorreldeckd::hosted::{Command, Mirror, Relay};
use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;
use test_case::test_case;

fn number_in(variable: &str) -> Option<u64> {
    std::env::var(variable).ok()?.parse().ok()
}

fn cases() -> u64 {
    number_in("SORRELDECK_CASES").unwrap_or(24)
}

/// Returns the seed of the first schedule, so that several processes can split the seeds.
fn first() -> u64 {
    number_in("SORRELDECK_FIRST").unwrap_or(0)
}

/// Runs one schedule; returns the number of steps times the number of entries.
fn run_schedule(seed: u64) -> u64 {
    let mut dice = ChaCha8Rng::seed_from_u64(seed);
    let limit = STALENESS_LIMITS[seed as usize % STALENESS_LIMITS.len()];
    let (halls, entries) = (dice.random_range(1..=5), dice.random_range(2..=40));
    let mut world = World::within(limit, seed, halls, entries);
    world.slow_link_share = 0.2;
    world.put_upstreams();
    let mut impairs: VecDeque<u64> = (0..6).map(|i| 500 + i * 400).collect();
    for step in 0..3_000u64 {
        if world.rng.random_bool(0.02) {
            world.change();
        }
        if step % 500 < 100 && world.rng.random_bool(0.2) {
            world.change();
        }
        if impairs.front() == Some(&step) {
            impairs.pop_front();
            match world.rng.random_bool(0.4) {
                true => world.impair_readers(),
                false => world.impair(),
            }
        }
        world.tick();
        world.check_staleness();
        world.check_retired();
    }
    3_000 * entries as u64
}

#[test]
fn entries_learn_changes_of_the_store_within_the_bound() {
    let steps: u64 = (first()..first() + cases())
        .map(|seed| {
            println!("seed {seed}");
            run_schedule(seed)
        })
        .sum();
    assert!(cases() < 24 || steps > 1_000_000, "{steps} steps");
}

/// Returns the number of calls of the store in the first minute, without faults.
fn calls_of(halls: usize, entries: usize) -> u64 {
    let mut world = World::new(7, halls, entries);
    for step in 0..3_000 {
        if step % 500 == 0 {
            world.change();
        }
        world.tick();
        world.check_staleness();
    }
    world.store.calls
}

#[test]
fn calls_of_the_store_grow_with_data_halls_and_not_with_entries() {
    let few = calls_of(4, 16);
    let many = calls_of(4, 96);
    // Each entry reads the list of entries once at its start.
    assert!(many <= few + 96, "16 entries: {few}, 96: {many}");
    let small = calls_of(3, 3);
    assert!(small < 3 * 60, "three entries that all read: {small}");
    assert!(few < 4 * 75, "four halls: {few}");
}

/// Guards against additional readers: an entry goes on reading the store if a link of it stays
/// open at one end only.
#[test]
fn one_entry_a_data_hall_reads_the_store() {
    for seed in 0..8 {
        let mut world = World::new(seed, 3, 32);
        // Links open slowly while all entries start.
        world.slow_until = world.now + Span::from_millis(1_000);
        world.run(1_000);
        let reads = |n: &&Node| n.subscription == Subscription::All;
        assert_eq!(world.nodes.iter().filter(reads).count(), 3, "seed {seed}");
        // The readers of the three data halls follow each other. One standby in each hall gets the
        // tables from the reader, the other entries get them from both.
        let hall = |name: &InstanceId| {
            let node = world.nodes.iter().find(|n| n.peer.name == *name);
            node.unwrap().peer.hall.clone()
        };
        for node in &world.nodes {
            let sources = node.relay.follow().sources(world.now);
            let near = sources.iter().filter(|s| hall(s) == node.peer.hall).count();
            let found = (node.subscription, near, sources.len() - near);
            let is_right = matches!(
                found,
                (Subscription::All, 0, 2) | (Subscription::Nothing, 1 | 2, 0)
            );
            assert!(is_right, "seed {seed}: {found:?}");
        }
        let ones = world.nodes.iter().filter(|n| {
            n.subscription == Subscription::Nothing
                && n.relay.follow().sources(world.now).len() == 1
        });
        assert_eq!(ones.count(), 3, "seed {seed}");
    }
}

/// Simulates the first minute with a change every 0.2 s; returns the bytes sent between data halls
/// and the largest number of bytes that one entry sent.
fn bytes_of(halls: usize, entries: usize) -> (u64, u64) {
    let mut world = World::new(11, halls, entries);
    world.put_upstreams();
    for step in 0..3_000 {
        if step % 10 == 0 {
            world.change();
        }
        world.tick();
    }
    let most = world.sent_bytes.iter().copied().max().unwrap();
    (world.cross_hall_bytes, most)
}

#[test]
fn bytes_between_data_halls_do_not_grow_with_entries() {
    let few = bytes_of(3, 24);
    let many = bytes_of(3, 96);
    println!("24 entries: {few:?}, 96: {many:?}");
    // The rows in which entries announce themselves are sent once to each data hall as well.
    assert!(
        many.0 <= few.0 + few.0 / 4,
        "24 entries: {few:?}, 96: {many:?}"
    );
}

/// When all readers are lost at once, not every other entry may call the store.
#[test]
fn a_loss_of_all_readers_causes_few_calls() {
    let mut world = World::new(3, 4, 80);
    world.run(500);
    let before = world.store.calls;
    let until = world.now + Span::from_millis(6_000);
    for node in 0..world.nodes.len() {
        if world.nodes[node].subscription == Subscription::All {
            world.kill(node, until);
        }
    }
    world.run(250);
    let reading = world
        .nodes
        .iter()
        .filter(|n| n.subscription == Subscription::All);
    assert!((4..=12).contains(&reading.count()));
    let calls = world.store.calls - before;
    assert!(calls < 100, "{calls} calls in 5 s");
}

/// Neither during an outage nor after it do all entries call the store at once.
#[test]
fn an_outage_of_the_store_causes_few_calls() {
    let mut world = World::new(5, 4, 80);
    world.run(500);
    let before = world.store.calls;
    world.store.down_until = world.now + Span::from_millis(8_000);
    world.run(400);
    let during = world.store.calls - before;
    assert!(during < 800, "{during} calls in an outage of 8 s");
    world.run(100);
    let after = world.store.calls - before - during;
    assert!(after < 120, "{after} calls in the 2 s after it");
}

#[test]
fn a_start_of_all_entries_sends_each_the_tables_once() {
    let mut world = World::new(13, 3, 93);
    world.put_upstreams();
    world.run(250);
    println!("whole tables: {:?}", world.full_tables);
    let (all, crossing) = world.full_tables;
    // Each entry that does not read the store gets the whole tables from one source.
    assert!(all <= 93 + 9, "{all} whole tables");
    assert!(crossing <= 9, "{crossing} to another data hall");
    assert!(world
        .nodes
        .iter()
        .all(|n| n.routable.len() == UPSTREAMS as usize));
}

/// Returns an entry that gets its tables from two sources and knows eight upstreams, with the links
/// to the sources.
fn receiver() -> (Relay, Mirror, Vec<Link>) {
    let names = ["e-0", "e-1", "e-2", "e-3"];
    let peer = |name: &&str| {
        let address = "127.0.0.1:1".parse().unwrap();
        Peer::new(name.parse().unwrap(), "h".parse().unwrap(), address)
    };
    // Only the entry of the lowest rank reads nothing from the store; it is the one returned.
    for own in names.iter().map(peer) {
        let mut relay = Relay::new(own, Timeouts::of(STALENESS_LIMITS[2]));
        names.iter().map(peer).for_each(|p| relay.learn(p));
        relay.listed(Time(1));
        let mut mirror = Mirror::default();
        let rows = (0..8).map(|i| upstream(i, 5)).collect();
        mirror.apply(Table::Upstreams, page(rows, 5), true, Time(1));
        let mut links = Vec::new();
        for order in relay.step(&mut mirror, Time(1)) {
            if let Command::Open(name, _) = order {
                links.push(links.len() as Link + 1);
                relay.opened(name, links.last().copied(), &mirror, Time(1));
            }
        }
        if relay.follow().subscription() != Subscription::All {
            return (relay, mirror, links);
        }
    }
    panic!("no such entry");
}

fn page(rows: Vec<Row>, version: u64) -> Page {
    Page {
        rows,
        version,
        now: Duration::ZERO,
        era: None,
    }
}

/// Upstreams leave without a notice while the store refuses the entries that read it.
#[test_case(1, 8; "one data hall")]
#[test_case(4, 16; "four data halls")]
fn entries_refused_by_the_store_do_not_make_others_keep_upstreams(halls: usize, all: usize) {
    let mut world = World::new(5, halls, all);
    world.put_upstreams();
    world.run(250);
    assert!(world
        .nodes
        .iter()
        .all(|n| n.routable.len() == UPSTREAMS as usize));
    let until = world.now + Span::from_millis(8_000);
    for node in world
        .nodes
        .iter_mut()
        .filter(|n| n.subscription == Subscription::All)
    {
        node.store_unreachable_until = until;
        node.mark_impaired(until);
    }
    for left in 0..4 {
        // Sources that the store refuses report it, and other entries replace them.
        world.run(30);
        let key = format!("i-{left}");
        world.store.put(Table::Upstreams, &key, None, world.now);
    }
    for _ in 0..250 {
        world.tick();
        world.check_retired();
    }
}

#[test]
fn an_age_is_accepted_only_with_the_changes_it_covers() {
    for (since, known) in [(6, false), (5, true)] {
        let (mut relay, mut mirror, links) = receiver();
        let table = sorreldeck::wire::TableDelta {
            number: Table::Upstreams as usize,
            since: Some(since),
            version: 7,
            era: Era::default(),
            rows: Vec::new(),
            packed: None,
            retained: Vec::new(),
        };
        let feed = sorreldeck::wire::Feed {
            clock_us: Some(1_000),
            last_contact_us: Some(1_000),
            tables: vec![table],
            ..Default::default()
        };
        let frame = Frame::Feed(Box::new(feed));
        relay.handle_frame(links[0], frame, &mut mirror, Time(2_000));
        let age = relay.follow().age(Time(2_000));
        assert_eq!(age.is_some(), known, "changes since {since}");
    }
}

fn pin(session: u64) -> Affinity {
    Affinity {
        pool: "engines".parse().unwrap(),
        release: "v1".parse().unwrap(),
        session,
        left: Span::from_millis(6_000),
    }
}

/// Each row: the data halls and the entries.
#[test_case(1, 2; "two entries")]
#[test_case(3, 3; "one entry a data hall")]
#[test_case(4, 80; "many entries")]
fn session_pins_reach_all_entries(halls: usize, entries: usize) {
    let world = share_from_each(11, halls, entries, |relay, number, now| {
        relay.share(&Output::SessionAffinity(pin(number)), now);
    });
    assert_all_received(&world, |node| node.affinities.clone());
}

/// Returns a simulation in which each entry shared one item that carries the entry's number.
fn share_from_each(
    seed: u64,
    halls: usize,
    entries: usize,
    share: impl Fn(&mut Relay, u64, Time),
) -> World {
    let mut world = World::new(seed, halls, entries);
    world.run(250);
    let now = world.now;
    for (number, node) in world.nodes.iter_mut().enumerate() {
        share(&mut node.relay, number as u64, now);
    }
    // A trial begins 1 s after its record. An item passes up to three links, each of which batches
    // for 40 ms and a tick.
    world.run(15);
    world
}

/// Checks that each entry has received the number of every other entry.
fn assert_all_received(world: &World, received: impl Fn(&Node) -> BTreeSet<u64>) {
    for (number, node) in world.nodes.iter().enumerate() {
        let received = received(node);
        let told = (0..world.nodes.len()).filter(|sender| *sender != number);
        let missing: Vec<_> = told
            .filter(|sender| !received.contains(&(*sender as u64)))
            .collect();
        assert!(
            missing.is_empty(),
            "entry {number} did not receive {missing:?}"
        );
    }
}

/// Each row: the data halls and the entries.
#[test_case(1, 2; "two entries of one hall")]
#[test_case(3, 3; "an entry in each of three halls")]
#[test_case(4, 80; "eighty entries")]
fn crash_reports_reach_all_entries(halls: usize, entries: usize) {
    let world = share_from_each(13, halls, entries, |relay, number, now| {
        let word = quarantine::Update::Crashed {
            upstream: number,
            ago_ms: 0,
            requests: vec![Fingerprint::of(&[b"request"])],
            parts: Vec::new(),
            by: sorreldeck::Incarnation(1),
        };
        relay.share(&Output::QuarantineUpdate(word), now);
    });
    assert_all_received(&world, |node| {
        node.quarantine_updates.iter().filter_map(crashed).collect()
    });
    // The reports include the time for which they were batched.
    let waited = world.nodes.iter().flat_map(|node| &node.quarantine_updates);
    let longest = waited.map(|word| match word {
        quarantine::Update::Crashed { ago_ms, .. } => *ago_ms,
        quarantine::Update::Answered(_) => 0,
    });
    assert!(longest.max().is_some_and(|ago| (20..400).contains(&ago)));
}

/// Each row: the data halls and the entries.
#[test_case(1, 2; "two entries of one hall")]
#[test_case(3, 3; "an entry in each of three halls")]
#[test_case(4, 80; "eighty entries")]
fn notices_of_upstreams_reach_all_entries(halls: usize, entries: usize) {
    let world = share_from_each(14, halls, entries, |relay, number, now| {
        let update = notice::Update {
            upstream: number,
            change: notice::Change::Unlimited,
        };
        relay.share(&Output::Notice(update), now);
    });
    assert_all_received(&world, |node| {
        let upstreams = node.notices.iter().map(|word| word.upstream);
        upstreams.collect()
    });
}

fn crashed(word: &quarantine::Update) -> Option<u64> {
    match word {
        quarantine::Update::Crashed { upstream, .. } => Some(*upstream),
        quarantine::Update::Answered(_) => None,
    }
}

/// An entry that starts later gets the session pins as soon as it has its tables.
#[test]
fn an_entry_that_starts_later_gets_session_pins() {
    let mut world = World::new(12, 3, 30);
    world.run(250);
    let now = world.now;
    let relay = &mut world.nodes[0].relay;
    relay.share(&Output::SessionAffinity(pin(7)), now);
    world.run(15);
    let mut readers = (2..30).filter(|n| world.nodes[*n].subscription == Subscription::All);
    let reader = readers.next().unwrap();
    for starts in [1, reader] {
        world.kill(starts, now + Span::from_millis(600));
    }
    world.run(100);
    for starts in [1, reader] {
        assert!(world.nodes[starts].affinities.contains(&7), "{starts}");
    }
}

fn share_prompt(relay: &mut Relay, now: Time) {
    let output = Output::Prefill(7, Span::from_millis(900));
    relay.share(&output, now);
}

fn share_speed(relay: &mut Relay, _now: Time) {
    relay.share_speeds(&[speeds::sum(7, 1, 0)]);
}

/// A report on a release that is shared while other matter is sent more often than reports may be:
/// it waits for its turn, and must not count as sent with the frames before.
#[test_case(share_prompt; "prefill times")]
#[test_case(share_speed; "speed sums")]
fn a_report_is_sent_beside_hints(share: fn(&mut Relay, Time)) {
    // A bad release must be abandoned within 5 s; of these, trials need most.
    const ARRIVAL_STEPS: u64 = 100;
    let mut world = World::new(15, 3, 12);
    world.run(250);
    let is_follower = |node: &Node| node.subscription == Subscription::Nothing;
    let reporter = world.nodes.iter().position(is_follower).unwrap();
    let counts = |answers| serde_json::json!({ "answers": answers, "failed": 0, "slow": 0 });
    let report =
        serde_json::json!({ "number": 1, "old": counts(7), "new": counts(3), "failing": [] });
    let report: sorreldeck::release::Report = serde_json::from_value(report).unwrap();
    for step in 0..ARRIVAL_STEPS {
        let relay = &mut world.nodes[reporter].relay;
        if step % 10 == 0 {
            share(relay, world.now);
        }
        if step == 1 {
            relay.share_report("engines".parse().unwrap(), report.clone());
        }
        world.tick();
    }
    for (number, node) in world.nodes.iter().enumerate() {
        let has_report = node.reports.iter().any(|(_, received)| *received == report);
        assert!(has_report || number == reporter, "entry {number}");
    }
}

/// An instance with 0.09 of a core must learn 400 entries within 250 ms of its start, that is in
/// 22.5 ms of CPU time.
#[test]
fn four_hundred_entries_are_learned_within_the_cpu_budget() {
    let peer = |i: usize| {
        let (name, hall) = (format!("front-{i}"), format!("h-{}", i % 3));
        let address = format!("127.0.0.1:{}", 1 + i).parse().unwrap();
        Peer::new(name.parse().unwrap(), hall.parse().unwrap(), address)
    };
    let play = |_| {
        let began = std::time::Instant::now();
        let mut relay = Relay::new(peer(0), Timeouts::of(STALENESS_LIMITS[1]));
        for i in 1..400 {
            relay.learn(peer(i));
        }
        relay.listed(Time(0));
        relay.step(&mut Mirror::default(), Time(0));
        began.elapsed()
    };
    let took = (0..5).map(play).min().unwrap();
    println!("400 entries learned in {took:?}");
    assert!(took.as_micros() < 22_500, "{took:?}");
}
