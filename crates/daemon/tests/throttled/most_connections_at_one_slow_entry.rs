//! Guards requests that a slow entry has read while it gets most new connections of all.

use super::*;
use crate::client::Call;
use crate::entry::Limits;
use std::sync::Mutex;

const ENTRIES: usize = 12;
const BEFORE: Duration = Duration::from_millis(4_000);
/// How long most connections go to one entry, and from when on it is judged.
const LASTS: Duration = Duration::from_millis(9_000);
const JUDGED_AFTER: Duration = Duration::from_millis(4_000);
/// How long idle entries are looked at.
const IDLE: Duration = Duration::from_millis(3_000);
/// The most requests a second that the test itself can send and serve.
const MAX_PER_S: f64 = 1_000.0;
/// When an entry is restarted.
const RESTARTED_AFTER: Duration = Duration::from_millis(2_000);
/// How often first tries that were read are served, against before.
const SERVED_FIRST: f64 = 0.95;
/// How many of all requests are served, in how many tries on average.
const SERVED: f64 = 0.97;
const TRIES: f64 = 2.0;
/// How much longer the slowest in twenty may take.
const LONGER: Duration = Duration::from_millis(500);

struct Seen {
    first: f64,
    served: f64,
    tries: f64,
    p95: Duration,
    calls: usize,
}

impl Seen {
    fn of<'a>(calls: impl Iterator<Item = &'a Call>) -> Seen {
        let calls: Vec<&Call> = calls.collect();
        let read: Vec<bool> = calls.iter().filter_map(|c| c.first_read()).collect();
        let good = read.iter().filter(|good| **good).count();
        let served = calls.iter().filter(|c| c.is_served()).count();
        let tries: usize = calls.iter().map(|c| c.tries.len()).sum();
        let mut took: Vec<Duration> = calls.iter().map(|c| c.took).collect();
        took.sort();
        let count = calls.len().max(1) as f64;
        Seen {
            first: good as f64 / read.len().max(1) as f64,
            served: served as f64 / count,
            tries: tries as f64 / count,
            p95: took.get(took.len() * 95 / 100).copied().unwrap_or_default(),
            calls: calls.len(),
        }
    }
}

impl std::fmt::Display for Seen {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "{:.3} of the first tries read, {:.3} of all in {:.2} tries, p95 {} ms, {} calls",
            self.first,
            self.served,
            self.tries,
            self.p95.as_millis(),
            self.calls
        )
    }
}

/// What entries of a play may use, what they are asked, and which of them is restarted.
#[derive(Clone, Copy)]
struct Scene {
    /// The share of a core that each entry gets.
    share: f64,
    /// The share that the settings tell.
    told: f64,
    /// The fewest requests a second.
    per_s: f64,
    /// The requests a second while most go to one entry, as a multiple of what it can do by
    /// [`measure`]; a busy entry can do more.
    beyond: f64,
    /// When the entry that gets most connections is restarted, after it began to get them.
    restart: Option<Duration>,
}

/// Entries of a small share, one of which gets more than it can do.
const FULL: Scene = Scene {
    share: 0.04,
    told: 0.04,
    per_s: 120.0,
    beyond: 4.0,
    restart: None,
};

#[test]
fn first_tries_that_a_slow_entry_reads_are_served_while_it_gets_most_connections() {
    let _turn = TURN.lock().unwrap_or_else(|e| e.into_inner());
    for share in [0.04, 0.02] {
        let told = share;
        let scene = Scene {
            share,
            told,
            ..FULL
        };
        let play = task::block_on(play(scene));
        play.check();
        assert!(play.closed > 0, "no connection was closed unread");
    }
}

#[test]
fn first_tries_that_a_slow_entry_reads_are_served_where_its_share_is_not_known() {
    let _turn = TURN.lock().unwrap_or_else(|e| e.into_inner());
    let (told, beyond) = (1.0, 6.0);
    let scene = Scene {
        told,
        beyond,
        ..FULL
    };
    let play = task::block_on(play(scene));
    play.check();
    assert!(play.closed > 0, "no connection was closed unread");
}

#[test]
fn first_tries_that_a_slow_entry_reads_are_served_after_it_was_restarted_meanwhile() {
    let _turn = TURN.lock().unwrap_or_else(|e| e.into_inner());
    let restart = Some(RESTARTED_AFTER);
    let play = task::block_on(play(Scene { restart, ..FULL }));
    play.check();
}

#[test]
fn an_entry_below_its_capacity_closes_no_connection_unread() {
    let _turn = TURN.lock().unwrap_or_else(|e| e.into_inner());
    let play = task::block_on(play(Scene {
        share: 0.1,
        told: 0.1,
        per_s: 60.0,
        beyond: 0.0,
        restart: None,
    }));
    play.check();
    assert_eq!(play.closed, 0);
}

/// What was seen before most connections went to one entry, and while they went to one and to
/// another.
struct Play {
    before: Seen,
    then: Vec<Seen>,
    /// How often entries began to close connections unread.
    closed: usize,
}

impl Play {
    fn check(&self) {
        let before = &self.before;
        for then in &self.then {
            assert!(then.first >= SERVED_FIRST * before.first, "{then}");
            assert!(then.served >= SERVED, "{then}");
            assert!(then.tries <= TRIES, "{then}");
            assert!(then.p95 <= before.p95 + LONGER, "{then}; before: {before}");
        }
    }
}

/// The tests load the machine and run one at a time.
pub static TURN: Mutex<()> = Mutex::new(());

/// Returns the processor time that all entries have used.
fn used(entries: &[Entry]) -> Duration {
    entries.iter().map(Entry::used).sum()
}

/// Sends requests to all entries alike; returns them, and how many a second one entry can do, from
/// what they cost its processor and what it uses when idle.
async fn measure(entries: &[Entry], client: &Client, scene: Scene) -> (Vec<Call>, f64) {
    let at_first = used(entries);
    task::sleep(IDLE).await;
    let idle = (used(entries) - at_first).div_duration_f64(IDLE);
    let (began, before) = (Instant::now(), used(entries));
    let calls = client.send_until(began + BEFORE, scene.per_s).await;
    let busy = (used(entries) - before).as_secs_f64() - idle * began.elapsed().as_secs_f64();
    let cost = busy / calls.len() as f64;
    let capacity = (scene.share - idle / entries.len() as f64) / cost;
    (calls, capacity)
}

async fn play(scene: Scene) -> Play {
    let store = start_store().await;
    let limits = Limits {
        share: scene.told,
        memory: 100,
        mbps: 100.0,
    };
    let mut entries: Vec<Entry> = (0..ENTRIES)
        .map(|n| Entry::start(&store, &format!("front-{n}"), limits))
        .collect();
    for entry in &mut entries {
        until_ready(entry, STARTS_WITHIN).await;
        entry.throttle(scene.share);
    }
    let balancer = Balancer::start(&entries);
    let client = Client::new(&balancer);
    let (calls, capacity) = measure(&entries, &client, scene).await;
    let before = Seen::of(calls.iter());
    println!("before: {before}; an entry does {capacity:.0} a second");
    let per_s = (scene.beyond * capacity).clamp(scene.per_s, MAX_PER_S);
    let mut then = Vec::new();
    for favourite in [0, 5] {
        balancer.favour(favourite);
        let began = Instant::now();
        let sender = client.clone();
        let calls = task::spawn(async move { sender.send_until(began + LASTS, per_s).await });
        if let Some(after) = scene.restart {
            task::sleep(after).await;
            entries[favourite].restart(scene.share);
        }
        let calls = calls.await;
        let late = calls.iter().filter(|c| c.asked > began + JUDGED_AFTER);
        let seen = Seen::of(late);
        println!("most at one: {seen}");
        then.push(seen);
        balancer.spread();
        task::sleep(Duration::from_millis(2_000)).await;
    }
    let mut closed = 0;
    for entry in &mut entries {
        assert!(entry.is_running(), "an entry has ended by itself");
        closed += entry.lines("event=overload-began").len();
    }
    Play {
        before,
        then,
        closed,
    }
}
