//! Guards against a request that crashes every upstream that runs it and is sent on all the same.

use super::*;
use std::collections::BTreeSet;
use std::sync::Mutex;
use test_case::test_case;

/// Time within which all entries must know of a crash that one of them has seen.
pub const CONTACT: Duration = Duration::from_millis(3_000);
/// How often all entries together may send the request after three crashes are known.
const SENDS: usize = 3;
/// Share of the other requests that must be served after that.
const SERVED: f64 = 0.9;
/// Time for which the request is repeated.
const LASTS: Duration = Duration::from_millis(7_000);
/// Interval between repetitions of the request.
const EVERY: Duration = Duration::from_millis(200);
/// Interval between other requests.
const OTHERS_EVERY: Duration = Duration::from_millis(40);
/// Time after a crash until the row of the upstream is removed and a replacement starts.
const AWAY: Duration = Duration::from_millis(1_000);
/// Number of upstreams of the service.
const UPSTREAMS: usize = 8;

/// Upstreams of one service; those that crash are replaced.
#[derive(Clone)]
pub struct Fleet {
    store: Store,
    service: &'static str,
    upstreams: Arc<Mutex<Vec<Upstream>>>,
    crashes: Arc<Mutex<Vec<Instant>>>,
}

impl Fleet {
    pub async fn start(store: &Store, service: &'static str) -> Fleet {
        let fleet = Fleet {
            store: store.clone(),
            service,
            upstreams: Arc::default(),
            crashes: Arc::default(),
        };
        for _ in 0..UPSTREAMS {
            fleet.add().await;
        }
        fleet
    }

    async fn add(&self) {
        let number = self.upstreams.lock().unwrap().len();
        let id = format!("i-{}-{number}", self.service);
        let upstream = Upstream::start(&id, &Refused::default()).await;
        announce(&self.store, &upstream, self.service, "ready");
        self.upstreams.lock().unwrap().push(upstream.clone());
        let fleet = self.clone();
        task::spawn(async move {
            upstream.ended().await;
            fleet.crashes.lock().unwrap().push(Instant::now());
            task::sleep(AWAY).await;
            fleet.store.drop_row("servers", &upstream.id);
            fleet.replace().await;
        });
    }

    fn replace(&self) -> std::pin::Pin<Box<dyn std::future::Future<Output = ()> + Send + '_>> {
        Box::pin(self.add())
    }

    /// Returns the time of the crash with this index.
    pub fn crash(&self, index: usize) -> Option<Instant> {
        self.crashes.lock().unwrap().get(index).copied()
    }

    /// Returns the times at which upstreams got calls with a path.
    fn sends(&self, path: &str) -> Vec<Instant> {
        self.sends_matching(&format!(" {path} "))
    }

    /// Returns the times at which upstreams got calls whose first line contains a text.
    pub fn sends_matching(&self, text: &str) -> Vec<Instant> {
        let upstreams = self.upstreams.lock().unwrap().clone();
        let seen = upstreams.iter().flat_map(Upstream::seen);
        let matches = |head: &str| head.lines().next().is_some_and(|l| l.contains(text));
        seen.filter(|s| matches(&s.head)).map(|s| s.at).collect()
    }
}

/// The answer to a call, with the time of the call.
#[derive(Clone, Debug)]
pub struct Call {
    pub asked: Instant,
    pub took: Duration,
    pub answer: String,
}

impl Call {
    pub fn is_good(&self) -> bool {
        let is_whole = self.answer.ends_with("steady") || self.answer.ends_with("0\r\n\r\n");
        status(&self.answer) == 200 && is_whole
    }
}

/// Calls the entries in turn until a time; returns the answers. `call` returns the path and more
/// header lines of a call.
pub async fn call_until(
    entries: Vec<SocketAddr>,
    until: Instant,
    every: Duration,
    call: impl Fn(usize) -> (String, String),
) -> Vec<Call> {
    let mut calls = Vec::new();
    for (number, entry) in entries.iter().cycle().enumerate() {
        if Instant::now() >= until {
            break;
        }
        let (path, headers) = call(number);
        let (entry, text) = (*entry, request(&path, &headers));
        calls.push(task::spawn(async move {
            let asked = Instant::now();
            let answer = ask(entry, &text).await;
            let took = asked.elapsed();
            Call {
                asked,
                took,
                answer,
            }
        }));
        task::sleep(every).await;
    }
    let mut done = Vec::new();
    for call in calls {
        done.push(call.await);
    }
    done
}

/// Starts an entry in each of the data halls and waits until all are ready and linked.
pub async fn entries(store: &Store, halls: [&str; 3]) -> Vec<Running> {
    let mut entries = Vec::new();
    for (number, hall) in halls.iter().enumerate() {
        let entry = start_entry_in(store, &format!("front-{number}"), hall, &[]).await;
        entries.push(entry);
    }
    for entry in &entries {
        until_ready(entry).await;
    }
    // Links between the entries open within about 100 ms of their announcements.
    task::sleep(Duration::from_millis(500)).await;
    entries
}

/// Each row: the service, the route, the actions of the crashing and of the other requests, and the
/// data halls of the entries.
#[test_case("engines", "talk", "crash-stream", "steady-stream", ["a", "b", "c"]; "a stream that has begun, all entries read the store")]
#[test_case("engines", "talk", "crash", "steady-stream", ["a", "a", "a"]; "a stream before its head, entries of one hall")]
#[test_case("clock", "look", "crash", "steady", ["a", "b", "b"]; "a call of a plain service that may be repeated")]
#[test_case("clock", "once", "crash", "steady", ["a", "b", "c"]; "a call of a plain service that may run once")]
fn a_request_that_crashes_upstreams_is_quarantined(
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
            (format!("/{route}/{other}?n={n}"), String::new())
        }));
        let refused = call_until(callers, until, EVERY, move |_| {
            (path.clone(), String::new())
        })
        .await;
        let others = others.await;
        let third = fleet.crash(2).expect("it crashes three upstreams");
        let known = third + CONTACT;
        let late: Vec<Instant> = fleet.sends(&crashing);
        let late = late.into_iter().filter(|at| *at > known).count();
        let lost: BTreeSet<Instant> = fleet.crashes.lock().unwrap().iter().copied().collect();
        let others: Vec<&Call> = others.iter().filter(|done| done.asked > known).collect();
        let good = others.iter().filter(|done| done.is_good()).count();
        let share = good as f64 / others.len() as f64;
        assert!(
            late <= SENDS,
            "sent {late} times after three crashes were known; {} upstreams crashed; {share:.2} of the others served",
            lost.len()
        );
        assert!(share >= SERVED, "{good} of {} others served", others.len());
        for done in refused.iter().filter(|done| done.asked > known) {
            assert_eq!(status(&done.answer), 503, "{}", done.answer);
            assert!(done.answer.contains("retry-after"), "{}", done.answer);
            assert!(done.took < Duration::from_millis(250), "{:?}", done.took);
        }
    });
}

/// An entry that starts after the request was quarantined learns of it from the platform's store.
#[test]
fn an_entry_that_starts_later_knows_the_quarantine() {
    task::block_on(async {
        let store = Store::start().await;
        store.put("op", "config", &config(3, &[]));
        let fleet = Fleet::start(&store, "clock").await;
        let entries = entries(&store, ["a", "b", "c"]).await;
        let callers: Vec<SocketAddr> = entries.iter().map(|e| e.callers).collect();
        let until = Instant::now() + Duration::from_millis(1_500);
        call_until(callers, until, EVERY, |_| {
            ("/once/crash".into(), String::new())
        })
        .await;
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

/// Many callers send the same request while upstreams crash for another reason: it is not
/// quarantined.
#[test_case("engines", "talk", "steady-stream")]
#[test_case("clock", "look", "steady")]
fn a_frequent_request_is_not_quarantined_for_unrelated_crashes(
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
            (path.clone(), String::new())
        }));
        for _ in 0..12 {
            task::sleep(Duration::from_millis(350)).await;
            let alive = fleet.upstreams.lock().unwrap().clone();
            let alive = alive.into_iter().find(|upstream| !upstream.has_crashed());
            alive.expect("crashed upstreams were replaced").crash();
        }
        let calls = calls.await;
        let quarantined = calls
            .iter()
            .filter(|done| done.answer.contains("quarantined"));
        assert_eq!(quarantined.count(), 0);
        let good = calls.iter().filter(|done| done.is_good()).count();
        assert!(good * 10 > calls.len() * 8, "{good} of {}", calls.len());
    });
}
