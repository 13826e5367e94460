//! A request that crashes every upstream that begins to run it was sent on, again and again.
//!
//! Callers of everything else lost their answers with each upstream. One caller sent the same
//! call again under another request id, to any entry. Each entry took it for a new request: what a
//! run had done to its upstream was put down to the upstream alone and forgotten with the request. It
//! went to the next upstream, by the entry itself where its route allows a second try, and that
//! crashed as well; the upstreams that came back in the place of the lost ones were next.
//!
//! Evidence: the lines of three entries over 9 s hold one call 22 times, each time with another id, and no
//! other call more than twice; none was answered whole; each of its runs that began ended 40 to 110 ms
//! later with the connection broken, and the upstream refused connections from then on.

use super::*;
use std::collections::BTreeSet;
use std::sync::Mutex;
use test_case::test_case;

/// Within which time all entries must know of what one of them has seen.
const CONTACT: Duration = Duration::from_millis(3_000);
/// How often a request that has crashed three upstreams may be sent after that, over all entries.
const SENDS: usize = 3;
/// The share of all other requests that must be served in that time. Measured beside the request: 0.28
/// to 0.57 where nothing is held against it, three runs of three rows.
const SERVED: f64 = 0.9;
/// How long the request goes on coming, and how often: five times a second.
const LASTS: Duration = Duration::from_millis(7_000);
const EVERY: Duration = Duration::from_millis(200);
/// How often something else is asked.
const OTHERS_EVERY: Duration = Duration::from_millis(40);
/// How long a crashed upstream is away, and how long its row stays.
const AWAY: Duration = Duration::from_millis(1_000);
/// The upstreams of the service.
const UPSTREAMS: usize = 8;

/// Upstreams of one service; others come for those that crash.
#[derive(Clone)]
struct Fleet {
    store: Store,
    service: &'static str,
    runners: Arc<Mutex<Vec<Runner>>>,
    crashes: Arc<Mutex<Vec<Instant>>>,
}

impl Fleet {
    async fn start(store: &Store, service: &'static str) -> Fleet {
        let fleet = Fleet {
            store: store.clone(),
            service,
            runners: Arc::default(),
            crashes: Arc::default(),
        };
        for _ in 0..UPSTREAMS {
            fleet.add().await;
        }
        fleet
    }

    async fn add(&self) {
        let number = self.runners.lock().unwrap().len();
        let id = format!("i-{}-{number}", self.service);
        let runner = Runner::start(&id, &Refused::default()).await;
        announce(&self.store, &runner, self.service, "ready");
        self.runners.lock().unwrap().push(runner.clone());
        let fleet = self.clone();
        task::spawn(async move {
            runner.ended().await;
            fleet.crashes.lock().unwrap().push(Instant::now());
            task::sleep(AWAY).await;
            fleet.store.drop_row("servers", &runner.id);
            fleet.replace().await;
        });
    }

    fn replace(&self) -> std::pin::Pin<Box<dyn std::future::Future<Output = ()> + Send + '_>> {
        Box::pin(self.add())
    }

    /// Returns when the third upstream crashed.
    fn third_crash(&self) -> Option<Instant> {
        self.crashes.lock().unwrap().get(2).copied()
    }

    /// Returns when upstreams got calls of a path.
    fn sends(&self, path: &str) -> Vec<Instant> {
        let runners = self.runners.lock().unwrap().clone();
        let seen = runners.iter().flat_map(Runner::seen);
        let of = |head: &str| head.split(' ').nth(1) == Some(path);
        seen.filter(|s| of(&s.head)).map(|s| s.at).collect()
    }
}

/// What a caller got, and when it asked.
#[derive(Clone, Debug)]
struct Got {
    asked: Instant,
    took: Duration,
    answer: String,
}

impl Got {
    fn is_good(&self) -> bool {
        let is_whole = self.answer.ends_with("steady") || self.answer.ends_with("0\r\n\r\n");
        status(&self.answer) == 200 && is_whole
    }
}

/// Asks entries in turn until a time; returns what came of it.
async fn call_until(
    entries: Vec<SocketAddr>,
    until: Instant,
    every: Duration,
    path: impl Fn(usize) -> String,
) -> Vec<Got> {
    let mut calls = Vec::new();
    for (number, entry) in entries.iter().cycle().enumerate() {
        if Instant::now() >= until {
            break;
        }
        let (entry, text) = (*entry, request(&path(number), ""));
        calls.push(task::spawn(async move {
            let asked = Instant::now();
            let answer = ask(entry, &text).await;
            let took = asked.elapsed();
            Got {
                asked,
                took,
                answer,
            }
        }));
        task::sleep(every).await;
    }
    let mut got = Vec::new();
    for call in calls {
        got.push(call.await);
    }
    got
}

/// Starts an entry in each of the data halls; returns where they take callers.
async fn entries(store: &Store, halls: [&str; 3]) -> Vec<Running> {
    let mut entries = Vec::new();
    for (number, hall) in halls.iter().enumerate() {
        let entry = start_entry_in(store, &format!("front-{number}"), hall, &[]).await;
        entries.push(entry);
    }
    for entry in &entries {
        until_ready(entry).await;
    }
    // Links between them open within some 100 ms of their announcements.
    task::sleep(Duration::from_millis(500)).await;
    entries
}

/// Each row: the service, the route, how the request ends, what others ask for, and the data
/// halls of the entries.
#[test_case("engines", "talk", "crash-stream", "steady-stream", ["a", "b", "c"]; "a stream that has begun, entries that read the store")]
#[test_case("engines", "talk", "crash", "steady-stream", ["a", "a", "a"]; "a stream before its head, entries of one hall")]
#[test_case("clock", "look", "crash", "steady", ["a", "b", "b"]; "a call of a plain service that may be repeated")]
#[test_case("clock", "once", "crash", "steady", ["a", "b", "c"]; "a call of a plain service that may run once")]
fn a_request_that_crashes_upstreams_is_not_sent_on(
    service: &'static str,
    route: &'static str,
    ends: &str,
    other: &'static str,
    halls: [&str; 3],
) {
    task::block_on(async {
        let store = Store::start().await;
        store.put("op", "config", &config(3, &[]));
        let fleet = Fleet::start(&store, service).await;
        let entries = entries(&store, halls).await;
        let callers: Vec<SocketAddr> = entries.iter().map(|e| e.callers).collect();
        let until = Instant::now() + LASTS;
        let crashing = format!("/{route}/{ends}");
        let path = crashing.clone();
        let others = task::spawn(call_until(callers.clone(), until, OTHERS_EVERY, move |n| {
            format!("/{route}/{other}?n={n}")
        }));
        let refused = call_until(callers, until, EVERY, move |_| path.clone()).await;
        let others = others.await;
        let third = fleet.third_crash().expect("it crashes three upstreams");
        let known = third + CONTACT;
        let late: Vec<Instant> = fleet.sends(&crashing);
        let late = late.into_iter().filter(|at| *at > known).count();
        let lost: BTreeSet<Instant> = fleet.crashes.lock().unwrap().iter().copied().collect();
        let others: Vec<&Got> = others.iter().filter(|got| got.asked > known).collect();
        let good = others.iter().filter(|got| got.is_good()).count();
        let share = good as f64 / others.len() as f64;
        assert!(
            late <= SENDS,
            "sent {late} times after three crashes were known; {} upstreams crashed; {share:.2} of the others served",
            lost.len()
        );
        assert!(share >= SERVED, "{good} of {} others served", others.len());
        for got in refused.iter().filter(|got| got.asked > known) {
            assert_eq!(status(&got.answer), 503, "{}", got.answer);
            assert!(got.answer.contains("retry-after"), "{}", got.answer);
            assert!(got.took < Duration::from_millis(250), "{:?}", got.took);
        }
    });
}

/// An entry that starts after the request was found out knows it from the platform's store.
#[test]
fn an_entry_that_starts_midway_does_not_send_it_on() {
    task::block_on(async {
        let store = Store::start().await;
        store.put("op", "config", &config(3, &[]));
        let fleet = Fleet::start(&store, "clock").await;
        let entries = entries(&store, ["a", "b", "c"]).await;
        let callers: Vec<SocketAddr> = entries.iter().map(|e| e.callers).collect();
        let until = Instant::now() + Duration::from_millis(1_500);
        call_until(callers, until, EVERY, |_| "/once/crash".into()).await;
        // A record waits up to 0.8 s before it is written.
        task::sleep(Duration::from_millis(1_000)).await;
        let sends = fleet.sends("/once/crash").len();
        let later = start_entry_in(&store, "front-9", "b", &[]).await;
        eventually("the later entry serves", || async {
            status(&ask(later.callers, &request("/once/steady", "")).await) == 200
        })
        .await;
        let answer = ask(later.callers, &request("/once/crash", "")).await;
        assert_eq!(status(&answer), 503, "{answer}");
        assert!(answer.ends_with("quarantined\n"), "{answer}");
        assert_eq!(fleet.sends("/once/crash").len(), sends);
    });
}

/// Many ask the same while upstreams crash for another reason: nobody is refused for it.
#[test_case("engines", "talk", "steady-stream")]
#[test_case("clock", "look", "steady")]
fn what_many_ask_is_sent_on_while_upstreams_crash(
    service: &'static str,
    route: &'static str,
    action: &'static str,
) {
    task::block_on(async {
        let store = Store::start().await;
        store.put("op", "config", &config(3, &[]));
        let fleet = Fleet::start(&store, service).await;
        let entries = entries(&store, ["a", "b", "c"]).await;
        let callers: Vec<SocketAddr> = entries.iter().map(|e| e.callers).collect();
        let until = Instant::now() + Duration::from_millis(5_000);
        let path = format!("/{route}/{action}");
        let calls = task::spawn(call_until(callers, until, OTHERS_EVERY, move |_| {
            path.clone()
        }));
        for _ in 0..12 {
            task::sleep(Duration::from_millis(350)).await;
            let alive = fleet.runners.lock().unwrap().clone();
            let alive = alive.into_iter().find(|runner| !runner.has_crashed());
            alive.expect("others came for those that crashed").crash();
        }
        let calls = calls.await;
        let held = calls
            .iter()
            .filter(|got| got.answer.contains("quarantined"));
        assert_eq!(held.count(), 0);
        let good = calls.iter().filter(|got| got.is_good()).count();
        assert!(good * 10 > calls.len() * 8, "{good} of {}", calls.len());
    });
}
