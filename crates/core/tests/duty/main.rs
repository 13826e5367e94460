//! Simulations of usage reporting under faults of entries, store and platform.

mod world;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sorreldeck::duty::{Tally, Window};
use sorreldeck::{AccountId, Incarnation, Span, Time};
use test_case::test_case;
use world::{Fault, World, LATE, LENGTH};

const SECOND: Span = Span::from_millis(1_000);

fn secs(n: u64) -> Span {
    Span::from_millis(1_000 * n)
}

#[test_case(1, 1)]
#[test_case(1, 2)]
#[test_case(3, 1)]
#[test_case(3, 3)]
fn every_window_is_reported_in_time_without_faults(halls: usize, each: usize) {
    let mut world = World::new(7, halls, each);
    let from = world.now + LENGTH;
    world.advance(secs(40));
    let to = world.now;
    world.advance(LATE);
    world.check();
    let (reported, all) = world.reported_in_time(from, to);
    assert_eq!(reported.len(), all);
    for window in reported {
        let accepted = world.accepted.iter().find(|t| t.window == window).unwrap();
        assert_eq!(&accepted.counts, &world.expected[&window]);
    }
}

#[test]
fn store_calls_do_not_grow_with_accounts() {
    let calls = |accounts: usize| {
        let mut world = World::new(7, 3, 1);
        for number in 0..accounts {
            let account: AccountId = format!("b-{number}").parse().unwrap();
            world.nodes[0].tally.record(&account, world.now);
        }
        world.advance(secs(40));
        world.calls
    };
    assert_eq!(calls(10), calls(40));
}

#[test]
fn retained_counts_do_not_grow_with_time() {
    let kept = |windows: u64| {
        let mut tally = Tally::new(Incarnation(1), LENGTH);
        let mut other = Tally::new(Incarnation(2), LENGTH);
        let account: AccountId = "mira".parse().unwrap();
        for window in 0..windows {
            let time = Time(window * LENGTH.micros() + 1);
            other.record(&account, time);
            tally.merge(&"e-2".parse().unwrap(), other.take_changes());
            tally.record(&account, time);
        }
        tally.retained()
    };
    assert_eq!(kept(50), kept(200));
}

#[test]
fn updates_contain_only_changed_accounts() {
    let sent = |accounts: usize| {
        let mut tally = Tally::new(Incarnation(1), LENGTH);
        for number in 0..accounts {
            tally.record(&format!("a-{number}").parse().unwrap(), Time(1));
        }
        tally.take_changes();
        tally.record(&"a-0".parse().unwrap(), Time(2));
        tally.take_changes()[0].counts.len()
    };
    assert_eq!((sent(100), sent(400)), (1, 1));
}

#[test]
fn merging_counts_each_incarnation_once() {
    let account: AccountId = "mira".parse().unwrap();
    let mut leader = Tally::new(Incarnation(9), LENGTH);
    let mut first = Tally::new(Incarnation(1), LENGTH);
    first.record(&account, Time(1));
    first.record(&account, Time(2));
    leader.merge(&"e-1".parse().unwrap(), first.snapshot());
    leader.merge(&"e-1".parse().unwrap(), first.take_changes());
    let mut second = Tally::new(Incarnation(2), LENGTH);
    second.record(&account, Time(3));
    leader.merge(&"e-1".parse().unwrap(), second.take_changes());
    assert_eq!(leader.sum(Window(0)).of(&account), 3);
}

#[test_case(Fault::Kill; "killed")]
#[test_case(Fault::Remove; "removed")]
#[test_case(Fault::Pause(secs(8)); "paused")]
#[test_case(Fault::Partition(secs(8)); "partitioned")]
#[test_case(Fault::LoseAnswers(3); "answers lost")]
#[test_case(Fault::DelayWrite(secs(4)); "a write executed late")]
#[test_case(Fault::Restore(secs(2)); "the store restored from a backup")]
#[test_case(Fault::StoreDown(secs(3)); "the store down")]
#[test_case(Fault::PlatformDown(secs(4)); "the platform down")]
#[test_case(Fault::SlowPlatform(Span::from_millis(250)); "the platform slow")]
fn one_fault_at_any_time_delays_at_most_one_window(fault: Fault) {
    for tenth in 0..100 {
        let mut world = World::new(tenth, 3, 2);
        let from = world.now + LENGTH;
        world.advance(secs(12) + Span::from_millis(100 * tenth));
        world.inject(fault);
        world.advance(secs(20));
        let to = world.now;
        world.advance(LATE);
        world.check();
        let (reported, all) = world.reported_in_time(from, to);
        assert!(
            reported.len() + 1 >= all,
            "{} of {all} windows, {fault:?} after {tenth} tenths",
            reported.len()
        );
    }
}

#[test]
fn all_windows_are_reported_in_order_after_a_platform_outage() {
    let mut world = World::new(3, 2, 1);
    world.advance(secs(10));
    world.inject(Fault::PlatformDown(secs(25)));
    world.advance(secs(60));
    world.check();
    let windows: Vec<Window> = world.accepted.iter().map(|t| t.window).collect();
    assert!(windows.is_sorted());
    let (first, last) = (windows[0].0, windows[windows.len() - 1].0);
    assert_eq!(windows.len() as u64, last - first + 1);
}

/// The faults combined by the exhaustive search.
const FAULTS: [Fault; 7] = [
    Fault::Kill,
    Fault::Pause(Span::from_millis(7_000)),
    Fault::Partition(Span::from_millis(7_000)),
    Fault::LoseAnswers(2),
    Fault::DelayWrite(Span::from_millis(3_000)),
    Fault::Restore(Span::from_millis(1_500)),
    Fault::SlowPlatform(Span::from_millis(1_400)),
];

/// Plays every combination of up to `faults` faults at multiples of `every` and checks each;
/// returns how many were played.
fn search(entries: usize, faults: u32, every: Span, until: Span) -> u64 {
    let mut world = World::new(11, 1, entries);
    world.advance(secs(8));
    let mut runs = 0;
    explore(&world, faults, every, until, &mut runs);
    runs
}

fn explore(world: &World, faults: u32, every: Span, left: Span, runs: &mut u64) {
    if left == Span::default() || faults == 0 {
        let mut world = world.clone();
        world.advance(left + secs(16));
        world.check();
        *runs += 1;
        return;
    }
    let mut next = world.clone();
    next.advance(every);
    explore(&next, faults, every, left - every, runs);
    for fault in FAULTS {
        let mut faulty = world.clone();
        faulty.inject(fault);
        faulty.advance(every);
        explore(&faulty, faults - 1, every, left - every, runs);
    }
}

/// Reads an environment variable that extends a test in manual runs.
fn from_env(name: &str, usual: u64) -> u64 {
    let text = std::env::var(name).ok();
    text.and_then(|t| t.parse().ok()).unwrap_or(usual)
}

/// Exhaustive search; extend it with `DUTY_TROUBLES=3 DUTY_ENTRIES=3`.
#[test]
fn no_combination_of_faults_violates_the_requirements() {
    let faults = from_env("DUTY_TROUBLES", 2) as u32;
    let entries = from_env("DUTY_ENTRIES", 2) as usize;
    let runs = search(entries, faults, SECOND, secs(8));
    println!("{runs} runs played");
    assert!(runs > 1_000, "{runs}");
}

/// Plays a run with many faults at random times.
fn play_random(seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let (halls, each) = (rng.random_range(1..4), rng.random_range(1..4));
    let mut world = World::new(seed, halls, each);
    for _ in 0..12 {
        world.advance(Span::from_millis(rng.random_range(100..6_000)));
        let span = Span::from_millis(rng.random_range(100..9_000));
        let fault = match rng.random_range(0..10) {
            0 => Fault::Kill,
            1 if halls * each > 3 => Fault::Remove,
            2 => Fault::Pause(span),
            3 => Fault::Partition(span),
            4 => Fault::LoseAnswers(rng.random_range(1..5)),
            5 => Fault::DelayWrite(span),
            6 => Fault::Restore(Span::from_millis(rng.random_range(0..3_000))),
            7 => Fault::StoreDown(span),
            8 => Fault::PlatformDown(span),
            _ => Fault::SlowPlatform(Span::from_millis(rng.random_range(50..1_500))),
        };
        world.inject(fault);
    }
    world.advance(secs(30));
    world.check();
}

#[test_case(488; "a write from before a restore brought an older fence back")]
#[test_case(972; "a write from before a restore settled a window again")]
fn earlier_failures_satisfy_the_requirements(seed: u64) {
    play_random(seed);
}

/// Extend with `DUTY_SEEDS=2000`.
#[test]
fn random_faults_do_not_violate_the_requirements() {
    for seed in 0..from_env("DUTY_SEEDS", 40) {
        play_random(seed);
    }
}
