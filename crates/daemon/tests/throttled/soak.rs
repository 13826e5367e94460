//! Entries as processes through a seeded schedule of kills, pauses, planned stops, signals and
//! changes, while most connections go to one after the other and clients keep connections open.
//!
//! `SEEDS=50` plays as many seeds, from `FIRST` on.

use super::*;
use crate::client::Call;
use crate::entry::Limits;
use crate::most_connections_at_one_slow_entry::TURN;
use async_std::future::timeout;
use async_std::net::TcpStream;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

const ENTRIES: usize = 8;
const LIMITS: Limits = Limits {
    share: 0.06,
    memory: 100,
    mbps: 100.0,
};
const PER_S: f64 = 100.0;
const KEPT: usize = 16;
const KEPT_EVERY: Duration = Duration::from_millis(400);
/// How long an answer on a kept connection may take.
const PATIENCE: Duration = Duration::from_secs(8);
/// How long events come, and how long nothing happens after them.
const EVENTS: Duration = Duration::from_secs(16);
const CALM_AFTER: Duration = Duration::from_secs(8);
const CALM: Duration = Duration::from_secs(4);
/// The milliseconds between two events, and of a pause.
const BETWEEN: Range<u64> = 500..1_600;
const PAUSE: Range<u64> = 300..1_500;
/// How long a process may take to end after a planned stop.
const STOPS_WITHIN: Duration = Duration::from_secs(15);
/// How long after an entry was killed or paused its requests may fail.
const AFTERMATH: Duration = Duration::from_millis(5_000);
/// How many of all requests are served, and of those that no event touched.
const SERVED: f64 = 0.97;
/// The memory that a process may use at most, in kB.
const PEAK_KB: u64 = 80_000;

/// A time in which requests at an entry may fail.
struct Hit {
    entry: SocketAddr,
    from: Instant,
    until: Instant,
}

/// What became of requests on kept connections.
#[derive(Debug, Default)]
struct Kept {
    answered: usize,
    /// The answers that broke off or did not come though the request was read, with their entries.
    broken: Vec<(SocketAddr, Instant)>,
}

fn number(name: &str, default: u64) -> u64 {
    let text = std::env::var(name).ok();
    text.and_then(|t| t.parse().ok()).unwrap_or(default)
}

#[test]
fn entries_serve_through_kills_pauses_stops_and_changes_while_connections_crowd() {
    let _turn = TURN.lock().unwrap_or_else(|e| e.into_inner());
    let first = number("FIRST", 1);
    for seed in first..first + number("SEEDS", 1) {
        task::block_on(play(seed));
    }
}

async fn play(seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let store = start_store().await;
    let mut entries: Vec<Entry> = (0..ENTRIES)
        .map(|n| Entry::start(&store, &format!("front-{n}"), LIMITS))
        .collect();
    for entry in &mut entries {
        until_ready(entry, STARTS_WITHIN).await;
        entry.throttle(LIMITS.share);
    }
    let balancer = Balancer::start(&entries);
    let client = Client::new(&balancer);
    let began = Instant::now();
    let end = began + EVENTS + CALM_AFTER + CALM;
    let sender = client.clone();
    let calls = task::spawn(async move { sender.send_until(end, PER_S).await });
    let over = Arc::new(AtomicBool::new(false));
    let kept: Vec<_> = (0..KEPT)
        .map(|n| {
            let (balancer, over) = (balancer.clone(), over.clone());
            task::spawn(async move { keep(n, &balancer, &over).await })
        })
        .collect();
    let mut hits = Vec::new();
    let mut version = 3;
    while began.elapsed() < EVENTS {
        task::sleep(Duration::from_millis(rng.random_range(BETWEEN))).await;
        let index = rng.random_range(0..ENTRIES);
        let entry = &mut entries[index];
        let from = Instant::now();
        let event = rng.random_range(0..8);
        println!(
            "seed {seed} {:5} ms: event {event} at {index}",
            began.elapsed().as_millis()
        );
        match event {
            0 | 1 => balancer.favour(index),
            2 => balancer.spread(),
            3 => {
                entry.restart(LIMITS.share);
                hits.push(Hit {
                    entry: entry.callers,
                    from,
                    until: from + AFTERMATH,
                });
            }
            4 => {
                let time = Duration::from_millis(rng.random_range(PAUSE));
                entry.pause(time);
                hits.push(Hit {
                    entry: entry.callers,
                    from,
                    until: from + time + AFTERMATH,
                });
            }
            5 => {
                entry.signal(libc::SIGTERM);
                while entry.is_running() {
                    assert!(
                        from.elapsed() < STOPS_WITHIN,
                        "seed {seed}: it has not stopped"
                    );
                    task::sleep(Duration::from_millis(50)).await;
                }
                entry.restart(LIMITS.share);
            }
            6 => entry.signal(libc::SIGHUP),
            _ => {
                version += 1;
                let mut config = configuration();
                config["version"] = version.into();
                store.put("op", "config", &config);
            }
        }
    }
    balancer.spread();
    task::sleep((began + EVENTS + CALM_AFTER).saturating_duration_since(Instant::now())).await;
    let closed_before = count_closing(&entries);
    let calls = calls.await;
    over.store(true, Ordering::Relaxed);
    let mut all = Kept::default();
    for kept in kept {
        let kept = kept.await;
        all.answered += kept.answered;
        all.broken.extend(kept.broken);
    }
    check(seed, &calls, &all, &hits);
    let closed = count_closing(&entries) - closed_before;
    assert_eq!(
        closed, 0,
        "seed {seed}: connections were closed unread in calm"
    );
    for entry in &mut entries {
        assert!(
            entry.is_running(),
            "seed {seed}: an entry has ended by itself"
        );
        until_ready(entry, Duration::from_secs(1)).await;
        let peak = entry.peak_kb();
        assert!(peak < PEAK_KB, "seed {seed}: {peak} kB");
    }
}

fn check(seed: u64, calls: &[Call], kept: &Kept, hits: &[Hit]) {
    let is_hit = |entry: SocketAddr, from: Instant, until: Instant| {
        hits.iter()
            .any(|hit| hit.entry == entry && hit.from <= until && from <= hit.until)
    };
    let served = calls.iter().filter(|c| c.is_served()).count();
    let untouched = calls.iter().filter(|call| {
        let until = call.asked + call.took;
        !call.entries.iter().any(|e| is_hit(*e, call.asked, until))
    });
    let firsts: Vec<bool> = untouched.filter_map(Call::first_read).collect();
    let good = firsts.iter().filter(|good| **good).count();
    let broken = kept
        .broken
        .iter()
        .filter(|(entry, at)| !is_hit(*entry, *at - PATIENCE, *at))
        .count();
    let seen = format!(
        "seed {seed}: {served} of {} served, first tries that no event touched {good} of {}, \
         kept connections: {} answered, {} broken, {broken} of these without an event",
        calls.len(),
        firsts.len(),
        kept.answered,
        kept.broken.len(),
    );
    println!("{seen}");
    assert!(firsts.len() > 100 && kept.answered > 100, "{seen}");
    assert!(served as f64 >= SERVED * calls.len() as f64, "{seen}");
    assert!(good as f64 >= SERVED * firsts.len() as f64, "{seen}");
    assert_eq!(broken, 0, "{seen}");
}

/// Returns how often entries began to close connections unread.
fn count_closing(entries: &[Entry]) -> usize {
    let counts = entries
        .iter()
        .map(|e| e.lines("event=overload-began").len());
    counts.sum()
}

/// Sends requests over a connection, and over another one when it was closed.
async fn keep(number: usize, balancer: &Balancer, over: &AtomicBool) -> Kept {
    let mut kept = Kept::default();
    while !over.load(Ordering::Relaxed) {
        let entry = balancer.pick(true, &[]);
        let connected = timeout(Duration::from_secs(1), TcpStream::connect(entry)).await;
        let Ok(Ok(mut stream)) = connected else {
            task::sleep(KEPT_EVERY).await;
            continue;
        };
        while !over.load(Ordering::Relaxed) {
            task::sleep(KEPT_EVERY).await;
            match ask(&mut stream, number).await {
                Answer::Whole => kept.answered += 1,
                Answer::Closed => break,
                Answer::Broken => {
                    kept.broken.push((entry, Instant::now()));
                    break;
                }
            }
        }
    }
    kept
}

enum Answer {
    /// All of it came.
    Whole,
    /// The connection was closed before anything came.
    Closed,
    /// It broke off, or nothing came in time.
    Broken,
}

async fn ask(stream: &mut TcpStream, number: usize) -> Answer {
    let text = format!(
        "POST /talk/{number}/stream HTTP/1.1\r\nhost: pay.example\r\nrequest-id: k{number:x}\r\n\
         deadline-ms: 5000\r\nmodel: *\r\nauthorization: Bearer {KEY}\r\ncontent-length: 4\r\n\r\nwork"
    );
    if stream.write_all(text.as_bytes()).await.is_err() {
        return Answer::Closed;
    }
    let began = Instant::now();
    let mut answer = Vec::new();
    let mut buf = [0; 4096];
    loop {
        match timeout(PATIENCE, stream.read(&mut buf)).await {
            Ok(Ok(n)) if n > 0 => answer.extend_from_slice(&buf[..n]),
            Ok(_) if answer.is_empty() => return Answer::Closed,
            _ => return Answer::Broken,
        }
        if is_whole(&answer) {
            return Answer::Whole;
        }
        if began.elapsed() >= PATIENCE {
            return Answer::Broken;
        }
    }
}

/// Returns whether an answer has come as a whole, be it one in chunks or a refusal with a length.
fn is_whole(answer: &[u8]) -> bool {
    let text = String::from_utf8_lossy(answer);
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return false;
    };
    match store::header(head, "content-length") {
        Some(length) => length.trim().parse() == Ok(body.len()),
        None => body.ends_with("0\r\n\r\n"),
    }
}
