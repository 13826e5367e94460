//! Guards against requests that share a part of their prompts under which upstreams crash.

use super::request_that_crashes_upstreams::*;
use super::*;
use test_case::test_case;

/// How often all entries together may send such requests once all must know.
const SENDS: usize = 3;
/// Share of the other requests that must be served after that.
const SERVED: f64 = 0.95;
const LASTS: Duration = Duration::from_millis(11_000);
const EVERY: Duration = Duration::from_millis(200);
const OTHERS_EVERY: Duration = Duration::from_millis(40);

/// Returns the header with the parts of the prompt of a request.
fn parts(shared: &[&str], number: usize) -> String {
    let shared: String = shared.iter().map(|part| format!("{part}:100,")).collect();
    format!("prompt-prefix: {shared}{number:08x}:50\r\n")
}

/// Each row: how the requests with the part end, the shared parts of these requests and of the
/// others, and the data halls of the entries.
#[test_case("crash-stream", &["a1", "bad0"], &["a1", "b1"], ["a", "b", "c"]; "the second part")]
#[test_case("crash-stream", &["bad0", "b1"], &["a1", "b1"], ["a", "a", "a"]; "the first part")]
#[test_case("crash-stream", &["a1", "b1", "bad0"], &["a1", "b1"], ["a", "b", "b"]; "the third part")]
#[test_case("crash", &["a1", "bad0"], &["a1", "b1"], ["a", "b", "c"]; "before the head of the answer")]
#[test_case("crash-closing-stream", &["a1", "bad0"], &["a1", "b1"], ["a", "b", "c"]; "an answer that looks whole")]
fn a_part_that_crashes_upstreams_is_quarantined(
    action: &'static str,
    crashing: &'static [&'static str],
    sound: &'static [&'static str],
    halls: [&str; 3],
) {
    task::block_on(async {
        let store = Store::start().await;
        store.put("op", "config", &config(3, &[]));
        let fleet = Fleet::start(&store, "engines").await;
        let entries = entries(&store, halls).await;
        let callers: Vec<SocketAddr> = entries.iter().map(|e| e.callers).collect();
        let until = Instant::now() + LASTS;
        let others = task::spawn(call_until(callers.clone(), until, OTHERS_EVERY, move |n| {
            (format!("/talk/{n}/steady-stream"), parts(sound, n))
        }));
        task::sleep(Duration::from_millis(1_000)).await;
        let crashing_calls = call_until(callers, until, EVERY, move |n| {
            (format!("/talk/{n}/{action}"), parts(crashing, n + 0x1000))
        });
        crashing_calls.await;
        let others = others.await;
        let third = fleet.crash(2).expect("it crashes three upstreams");
        let known = fleet.crash(4).unwrap_or(third) + CONTACT;
        let ends = format!("/{action} ");
        let late = fleet.sends_matching(&ends);
        let late = late.into_iter().filter(|at| *at > known).count();
        let served = |calls: Vec<&Call>| {
            let good = calls.iter().filter(|call| call.is_good()).count();
            good as f64 / calls.len() as f64
        };
        let after = others.iter().filter(|c| c.asked > known + CONTACT);
        let after = served(after.collect());
        assert!(
            late <= SENDS,
            "sent {late} times; {after:.2} of the others served"
        );
        assert!(after >= SERVED, "{after:.3} of the others served");
    });
}
