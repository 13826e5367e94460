//! How fast an accepted change is in force everywhere, and what a process
//! costs while nothing is asked of it.

use crate::fleet::{sum_of, Fleet, Usage};
use crate::stats::{percentile, print_last, round};
use async_std::task;
use bpaf::Bpaf;
use eyre::{bail, Result};
use serde::Serialize;
use serde_json::{json, Value};
use sorreldeck::wire::Header;
use sorreldeck_net::platform::{Calls, Faults};
use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The parameters of the experiment.
#[derive(Clone, Debug, Bpaf)]
pub struct Options {
    /// The number of entries and sidecars together, three to five as at the target
    #[bpaf(long, argument("N"), fallback(60), display_fallback)]
    pub processes: usize,
    /// The changes made in each state of the store
    #[bpaf(long, argument("N"), fallback(10), display_fallback)]
    pub changes: usize,
    /// The seconds in which nothing happens, for the cost at rest
    #[bpaf(long, argument("S"), fallback(10.0), display_fallback)]
    pub rest: f64,
}

/// The seconds that a change is given to be in force everywhere.
const PATIENCE: Duration = Duration::from_secs(12);

#[derive(Debug, Serialize)]
struct Summary {
    processes: usize,
    healthy_p99_ms: f64,
    slow_p99_ms: f64,
    down_p99_ms: f64,
    control_bytes_s: f64,
    entry: Role,
    sidecar: Role,
    table_reads_s: f64,
    table_writes_s: f64,
    pass: bool,
}

/// What a process of a role costs at rest, on average.
#[derive(Debug, Default, Serialize)]
struct Role {
    processes: usize,
    links: f64,
    control_bytes_s: f64,
    control_bytes_s_most: f64,
    core_percent: f64,
    memory_mb: f64,
}

/// Runs the experiment; returns whether its invariants held.
pub async fn run(options: Options) -> Result<bool> {
    let entries = (options.processes * 3 / 8).max(1);
    let fleet = Fleet::start_bare(entries, options.processes - entries).await?;
    let healthy = changes(&options, &fleet, State::Healthy).await?;
    let slow = changes(&options, &fleet, State::Slow).await?;
    let down = changes(&options, &fleet, State::DownAfter).await?;
    let rest = at_rest(&options, &fleet).await?;
    let most = rest
        .entry
        .control_bytes_s_most
        .max(rest.sidecar.control_bytes_s_most);
    let summary = Summary {
        processes: options.processes,
        healthy_p99_ms: healthy,
        slow_p99_ms: slow,
        down_p99_ms: down,
        control_bytes_s: most,
        entry: rest.entry,
        sidecar: rest.sidecar,
        table_reads_s: rest.reads,
        table_writes_s: rest.writes,
        pass: [healthy, slow, down].iter().all(|ms| *ms <= 3000.0) && most <= 3000.0,
    };
    print_last(&summary);
    Ok(true)
}

#[derive(Clone, Copy, PartialEq)]
enum State {
    Healthy,
    Slow,
    /// The store goes down right after a change is accepted.
    DownAfter,
}

/// Makes changes and returns the time at p99 until the slowest process had one
/// in force, in milliseconds.
async fn changes(options: &Options, fleet: &Fleet, state: State) -> Result<f64> {
    let slow = Faults {
        slow: Some(sorreldeck::Span::from_millis(500)),
        ..Faults::default()
    };
    if state == State::Slow {
        fleet.set_faults(&slow).await?;
    }
    let mut times = Vec::new();
    for i in 0..options.changes {
        let entry = i % fleet.entries.len();
        let revision = change(fleet, entry, i).await?;
        let accepted = now();
        if state == State::DownAfter {
            let faults = Faults {
                down: true,
                ..Faults::default()
            };
            fleet.set_faults(&faults).await?;
        }
        times.push(slowest(fleet, revision, accepted).await?);
        fleet
            .set_faults(if state == State::Slow { &slow } else { &NONE })
            .await?;
    }
    fleet.set_faults(&NONE).await?;
    Ok(percentile(&mut times, 99.0))
}

const NONE: Faults = Faults {
    down: false,
    slow: None,
    lose_answers: 0,
    list_lag: None,
    list_down: false,
    rating_lag: None,
};

fn now() -> f64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0.0, |d| d.as_micros() as f64)
}

async fn change(fleet: &Fleet, entry: usize, number: usize) -> Result<u64> {
    let base = fleet.revision(entry).await?;
    let document = format!("[nodes.\"/\"]\nweight = {}", number + 2);
    let body = json!({"document": document});
    let headers = [Header::new("if-match", base)];
    let reply = fleet
        .admin(entry, "POST", "/admin/v1/changes", &headers, &body)
        .await?;
    if reply.status != 200 {
        bail!("a change was refused: {}", reply.text());
    }
    let answer: Value = serde_json::from_slice(&reply.body)?;
    Ok(answer["revision"].as_u64().unwrap_or(0))
}

/// Waits until a revision is in force everywhere; returns how long after its
/// acceptance that was at the slowest process, by the processes' own clocks.
async fn slowest(fleet: &Fleet, revision: u64, accepted: f64) -> Result<f64> {
    let began = Instant::now();
    let mut open: Vec<SocketAddr> = addresses(fleet);
    let mut slowest: f64 = 0.0;
    while !open.is_empty() {
        if began.elapsed() > PATIENCE {
            bail!("{} processes do not get revision {revision}", open.len());
        }
        let mut left = Vec::new();
        for address in open {
            let text = fleet.client.get(address, "/metrics").await?.text();
            if sum_of(&text, "sorreldeck_revision") < revision as f64 {
                left.push(address);
                continue;
            }
            let since = sum_of(&text, "sorreldeck_revision_since_microseconds");
            let late = (since - accepted) / 1000.0;
            if late > 200.0 {
                let entry = fleet.entries.iter().position(|e| e.address == address);
                let sidecar = fleet.sidecars.iter().position(|s| s.health == address);
                println!(
                    "late: entry {entry:?} sidecar {sidecar:?} {late} ms, revision {revision}"
                );
            }
            slowest = slowest.max(late);
        }
        open = left;
        task::sleep(Duration::from_millis(20)).await;
    }
    Ok(slowest)
}

fn addresses(fleet: &Fleet) -> Vec<SocketAddr> {
    let entries = fleet.entries.iter().map(|e| e.address);
    entries
        .chain(fleet.sidecars.iter().map(|s| s.health))
        .collect()
}

struct Rest {
    entry: Role,
    sidecar: Role,
    reads: f64,
    writes: f64,
}

#[derive(Clone, Copy, Default)]
struct Reading {
    links: f64,
    control: f64,
    usage: Usage,
}

async fn at_rest(options: &Options, fleet: &Fleet) -> Result<Rest> {
    task::sleep(Duration::from_secs(2)).await;
    let (before, calls_before) = (read_all(fleet).await?, calls(fleet).await?);
    let began = Instant::now();
    task::sleep(Duration::from_secs_f64(options.rest)).await;
    let (after, calls_after) = (read_all(fleet).await?, calls(fleet).await?);
    let seconds = began.elapsed().as_secs_f64();
    let split = fleet.entries.len();
    let per_second = |a: u64, b: u64| round((b - a) as f64 / seconds);
    Ok(Rest {
        entry: role(&before[..split], &after[..split], seconds),
        sidecar: role(&before[split..], &after[split..], seconds),
        reads: per_second(calls_before.reads, calls_after.reads),
        writes: per_second(calls_before.writes, calls_after.writes),
    })
}

async fn read_all(fleet: &Fleet) -> Result<Vec<Reading>> {
    let entries = fleet.entries.iter().map(|e| (e.address, &e.process));
    let sidecars = fleet.sidecars.iter().map(|s| (s.health, &s.process));
    let mut readings = Vec::new();
    for (address, process) in entries.chain(sidecars) {
        let usage = process.usage().unwrap_or_default();
        let text = fleet.client.get(address, "/metrics").await?.text();
        readings.push(Reading {
            links: sum_of(&text, "sorreldeck_links"),
            control: sum_of(&text, "sorreldeck_link_control_bytes"),
            usage,
        });
    }
    Ok(readings)
}

async fn calls(fleet: &Fleet) -> Result<Calls> {
    let reply = fleet.client.get(fleet.addresses.platform, "/calls").await?;
    Ok(serde_json::from_slice(&reply.body)?)
}

fn role(before: &[Reading], after: &[Reading], seconds: f64) -> Role {
    let n = after.len() as f64;
    let mut role = Role {
        processes: after.len(),
        ..Role::default()
    };
    for (a, b) in before.iter().zip(after) {
        let control = (b.control - a.control) / seconds;
        role.links += b.links / n;
        role.control_bytes_s += control / n;
        role.control_bytes_s_most = role.control_bytes_s_most.max(control);
        let cpu = b.usage.cpu.saturating_sub(a.usage.cpu).as_secs_f64();
        role.core_percent += cpu / seconds * 100.0 / n;
        role.memory_mb += b.usage.memory as f64 / 1e6 / n;
    }
    for figure in [
        &mut role.links,
        &mut role.control_bytes_s,
        &mut role.control_bytes_s_most,
        &mut role.core_percent,
        &mut role.memory_mb,
    ] {
        *figure = round(*figure);
    }
    role
}
