//! One entry with good callers, and some hostile peers for a while.

use crate::crowd::{self, Kind};
use crate::entry::{Entry, Limits};
use crate::runner::{Refused, Upstream};
use crate::store::Store;
use async_std::task;
use serde_json::{json, Value};
use sorreldeck_emulator::hostile::{self, Peer, Side};
use std::fmt;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

pub const KEY: &str = "n2ctnfzs989anu6wsjnb";
const MEMORY_MB: u32 = 88;
/// How long a caller that was cut off stays away.
const RETURNS_AFTER: Duration = Duration::from_millis(50);
/// How long the peers are there.
const LASTS: Duration = Duration::from_millis(4_000);
/// The time that the routes of hostile upstreams allow, and by how much it may be missed.
const ROUTE: Duration = Duration::from_millis(1_500);
const STREAM_ROUTE: Duration = Duration::from_millis(3_500);
const LATE: Duration = Duration::from_millis(300);
/// How long a good caller waits, and the time between two of them.
const PATIENCE: Duration = Duration::from_millis(1_000);
const PACE: Duration = Duration::from_millis(40);
const STARTS_WITHIN: Duration = Duration::from_secs(20);
/// The time within which the processor is idle once the peers are gone, and for how long it is then
/// looked at.
const IDLE_WITHIN: Duration = Duration::from_millis(1_000);
const LOOKED_AT: Duration = Duration::from_millis(500);
/// The share of good callers that must be served, and of one core that an idle entry may use.
const SERVED: f64 = 0.95;
const SERVED_BESIDE_CROWD: f64 = 0.97;
const READY_BESIDE_CROWD: f64 = 0.98;
const IDLE: f64 = 0.2;

/// The plays load the machine and run one at a time.
static TURN: Mutex<()> = Mutex::new(());

/// Who is hostile in a play.
#[derive(Clone, Copy, Debug)]
pub enum Guest {
    Peer(Peer),
    Crowd(Kind),
}

impl fmt::Display for Guest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Guest::Peer(peer) => f.pad(&peer.to_string()),
            Guest::Crowd(kind) => f.pad(&format!("crowd/{kind:?}")),
        }
    }
}

/// What was seen of one play.
#[derive(Clone, Debug)]
pub struct Seen {
    pub guest: Guest,
    /// Good callers that were served, of all, and the slowest of those served.
    pub served: (usize, usize),
    pub slowest: Duration,
    /// Questions that `/ready` answered with 200, of all.
    pub ready: (usize, usize),
    pub peak_mb: f64,
    /// The share of a core that is used once the peers are gone.
    pub idle: f64,
    /// How long callers of hostile upstreams waited at most until their answer or connection ended.
    pub cut: Option<Duration>,
    pub is_running: bool,
}

impl Seen {
    /// Returns what was not as it should be.
    pub fn faults(&self) -> Vec<String> {
        let mut faults = Vec::new();
        let mut check = |holds: bool, what: &str| {
            if !holds {
                faults.push(what.to_owned());
            }
        };
        let share = |(of, all): (usize, usize)| of as f64 / all.max(1) as f64;
        let (served, ready) = match self.guest {
            Guest::Peer(_) => (SERVED, SERVED),
            Guest::Crowd(_) => (SERVED_BESIDE_CROWD, READY_BESIDE_CROWD),
        };
        check(share(self.served) >= served, "others are not served");
        check(share(self.ready) >= ready, "it is not ready");
        check(self.peak_mb <= f64::from(MEMORY_MB), "memory");
        check(self.idle <= IDLE, "the processor is not idle afterwards");
        let route = match self.guest {
            Guest::Peer(peer) if peer.side == Side::Stream => STREAM_ROUTE,
            Guest::Peer(_) | Guest::Crowd(_) => ROUTE,
        };
        let in_time = self.cut.is_none_or(|cut| cut <= route + LATE);
        check(in_time, "a time limit was missed");
        check(self.is_running, "it has ended");
        faults
    }

    pub fn check(&self) {
        assert_eq!(self.faults(), Vec::<String>::new(), "{self:?}");
    }
}

fn configuration() -> Value {
    let route = |name: &str, kind: &str, service: &str, timeout: Duration| {
        json!({
            "name": name, "host": "pay.example", "path-prefix": format!("/{name}/"), "route-type": kind,
            "timeout-ms": timeout.as_millis() as u64, "target-latency-ms": 1_000, "priority": 1,
            "service": service, "max-attempts": 1, "public": false, "resumable": false
        })
    };
    json!({
        "version": 3,
        "routes": [
            route("good", "safe", "good", Duration::from_secs(10)),
            route("bad", "unsafe", "bad", ROUTE),
            route("bad-stream", "stream", "bad", STREAM_ROUTE),
        ],
        "services": [
            {"name": "good", "health-path": "/health", "max-conns": 1_000},
            {"name": "bad", "health-path": "/health", "max-conns": 1_000},
        ],
        "limits": {"max-header-bytes": 16_384, "max-body-bytes": 4_194_304,
            "header-timeout-ms": 3_000, "idle-timeout-ms": 15_000},
        "tenants": [{"name": "payroll", "api-keys": [KEY], "priority": 1}]
    })
}

async fn start_store(bad: SocketAddr) -> Store {
    let store = Store::start().await;
    store.put("op", "config", &configuration());
    let row = |service: &str, address: String| {
        json!({"service": service, "address": address, "zone": "a", "version": "v1", "slots": 1_000,
            "state": "ready", "cold-left-ms": 0, "sequence": 1})
    };
    for number in 0..2 {
        let id = format!("i-{number}");
        let upstream = Upstream::start(&id, &Refused::default()).await;
        store.put("servers", &id, &row("good", upstream.address.to_string()));
    }
    store.put("servers", "i-bad", &row("bad", bad.to_string()));
    store
}

/// Plays one kind of peer, `count` of them at once.
pub fn play(peer: Peer, count: usize) -> Seen {
    play_guest(Guest::Peer(peer), count)
}

/// Plays a crowd of connections.
pub fn play_crowd(kind: Kind, count: usize) -> Seen {
    play_guest(Guest::Crowd(kind), count)
}

/// Starts the hostile side of a play.
fn start_guest(
    guest: Guest,
    count: usize,
    address: SocketAddr,
    leaves: &Arc<AtomicBool>,
) -> Vec<JoinHandle<Option<Duration>>> {
    let peer = match guest {
        Guest::Peer(peer) => peer,
        Guest::Crowd(kind) => {
            let leaves = leaves.clone();
            return vec![thread::spawn(move || {
                crowd::drive(address, kind, count, &leaves);
                None
            })];
        }
    };
    let peers = (0..count).map(|number| {
        let leaves = leaves.clone();
        thread::spawn(move || match peer.side {
            Side::Caller => attack(address, peer, number, &leaves),
            Side::Upstream | Side::Stream => Some(provoke(address, peer, number)),
        })
    });
    peers.collect()
}

fn play_guest(guest: Guest, count: usize) -> Seen {
    let _turn: MutexGuard<()> = TURN.lock().unwrap_or_else(|e| e.into_inner());
    let leaves = Arc::new(AtomicBool::new(false));
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let store = task::block_on(start_store(listener.local_addr().unwrap()));
    let limits = Limits {
        share: 0.19,
        memory: MEMORY_MB,
        mbps: 1_000.0,
    };
    let mut entry = Entry::start(&store, "front-0", limits);
    let began = Instant::now();
    while status_of(entry.ready, READY, PATIENCE).0 != Some(200) {
        assert!(began.elapsed() < STARTS_WITHIN, "not ready");
        thread::sleep(Duration::from_millis(50));
    }
    let accepting = match guest {
        Guest::Peer(peer) => {
            let leaves = leaves.clone();
            Some(thread::spawn(move || serve(&listener, peer, &leaves)))
        }
        Guest::Crowd(_) => None,
    };
    let peers = start_guest(guest, count, entry.callers, &leaves);
    thread::sleep(Duration::from_millis(200));
    let ready = thread::spawn({
        let address = entry.ready;
        move || ask_for(LASTS, || status_of(address, READY, PATIENCE))
    });
    let callers = entry.callers;
    let good = ask_for(LASTS, || {
        let request = format!(
            "GET /good/body HTTP/1.1\r\nHost: pay.example\r\nRequest-Id: g\r\nAuthorization: Bearer \
             {KEY}\r\nConnection: close\r\n\r\n"
        );
        status_of(callers, &request, PATIENCE)
    });
    let ready = ready.join().unwrap();
    leaves.store(true, Ordering::Relaxed);
    let cut = peers
        .into_iter()
        .filter_map(|peer| peer.join().unwrap())
        .max();
    thread::sleep(IDLE_WITHIN);
    let used = entry.used();
    thread::sleep(LOOKED_AT);
    let used = entry.used().saturating_sub(used);
    let is_running = entry.is_running();
    // The listener of hostile upstreams ends with its first connection after `leaves`.
    drop(accepting);
    let count_of = |answers: &[(Option<u16>, Duration)]| {
        let good = answers.iter().filter(|(status, _)| *status == Some(200));
        (good.count(), answers.len())
    };
    let served = good.iter().filter(|(status, _)| *status == Some(200));
    let seen = Seen {
        guest,
        served: count_of(&good),
        slowest: served.map(|(_, took)| *took).max().unwrap_or_default(),
        ready: count_of(&ready),
        peak_mb: match is_running {
            true => entry.peak_kb() as f64 * 1_024.0 / 1e6,
            false => 0.0,
        },
        idle: used.as_secs_f64() / LOOKED_AT.as_secs_f64(),
        cut,
        is_running,
    };
    println!(
        "{:<34} {count:>3}  served {:>3}/{:<3} slowest {:>4} ms  ready {:>3}/{:<3} peak {:>5.1} MB  idle {:.2}  cut {:>5} ms  {:?}",
        guest.to_string(),
        seen.served.0,
        seen.served.1,
        seen.slowest.as_millis(),
        seen.ready.0,
        seen.ready.1,
        seen.peak_mb,
        seen.idle,
        cut.map_or_else(|| "-".to_owned(), |cut| cut.as_millis().to_string()),
        seen.faults()
    );
    seen
}

/// Sends a hostile request, again and again if it is cut off.
fn attack(address: SocketAddr, peer: Peer, number: usize, leaves: &AtomicBool) -> Option<Duration> {
    while !leaves.load(Ordering::Relaxed) {
        let Ok(stream) = TcpStream::connect_timeout(&address, PATIENCE) else {
            continue;
        };
        // Half of them have a key.
        let key = (number % 2 == 0).then_some(KEY);
        let script = peer.script(&format!("h{number}"), "/good/body", key);
        hostile::send(&stream, &script, peer.way, leaves);
        thread::sleep(RETURNS_AFTER);
    }
    None
}

/// Sends a request to a hostile upstream and returns how long its answer or connection took to end.
fn provoke(address: SocketAddr, peer: Peer, number: usize) -> Duration {
    let path = match peer.side {
        Side::Stream => "/bad-stream/x",
        _ => "/bad/x",
    };
    let began = Instant::now();
    let Ok(mut stream) = TcpStream::connect_timeout(&address, PATIENCE) else {
        return Duration::default();
    };
    let request = format!(
        "POST {path} HTTP/1.1\r\nHost: pay.example\r\nRequest-Id: h{number}\r\nAuthorization: Bearer \
         {KEY}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
    );
    let _ = stream.write_all(request.as_bytes());
    let _ = stream.set_read_timeout(Some(Duration::from_secs(20)));
    let mut buf = vec![0; 64 * 1024];
    while stream.read(&mut buf).is_ok_and(|count| count > 0) {}
    began.elapsed()
}

/// Answers each connection of the entry with a hostile message.
fn serve(listener: &TcpListener, peer: Peer, leaves: &Arc<AtomicBool>) {
    while let Ok((mut stream, _)) = listener.accept() {
        if leaves.load(Ordering::Relaxed) {
            return;
        }
        let leaves = leaves.clone();
        thread::spawn(move || {
            let mut head = Vec::new();
            let mut byte = [0];
            while !head.ends_with(b"\r\n\r\n") && stream.read(&mut byte).is_ok_and(|n| n > 0) {
                head.push(byte[0].to_ascii_lowercase());
            }
            let head = String::from_utf8_lossy(&head).into_owned();
            let id = head
                .split("request-id: ")
                .nth(1)
                .and_then(|rest| rest.split('\r').next());
            let script = peer.script(id.unwrap_or("none"), "/", None);
            hostile::send(&stream, &script, peer.way, &leaves);
        });
    }
}

const READY: &str = "GET /ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";

/// Asks every [`PACE`], each time in a thread of its own.
fn ask_for<F>(time: Duration, ask: F) -> Vec<(Option<u16>, Duration)>
where
    F: Fn() -> (Option<u16>, Duration) + Send + Sync,
{
    let began = Instant::now();
    thread::scope(|scope| {
        let mut asked = Vec::new();
        while began.elapsed() < time {
            asked.push(scope.spawn(&ask));
            thread::sleep(PACE);
        }
        asked.into_iter().map(|one| one.join().unwrap()).collect()
    })
}

/// Sends a request over a new connection; returns the status of a whole answer that came in time,
/// and how long it took.
fn status_of(address: SocketAddr, request: &str, within: Duration) -> (Option<u16>, Duration) {
    let began = Instant::now();
    let status = || {
        let mut stream = TcpStream::connect_timeout(&address, within).ok()?;
        stream.set_read_timeout(Some(within)).ok()?;
        stream.write_all(request.as_bytes()).ok()?;
        let mut answer = Vec::new();
        stream.read_to_end(&mut answer).ok()?;
        let text = String::from_utf8_lossy(&answer).into_owned();
        let (head, _) = text.split_once("\r\n\r\n")?;
        head.split(' ').nth(1)?.parse().ok()
    };
    let status = status();
    let took = began.elapsed();
    (status.filter(|_| took <= within), took)
}
