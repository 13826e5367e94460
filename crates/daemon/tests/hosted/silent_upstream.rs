//! Upstreams that pause in the middle of an answer and then go on.

use super::runner::PAUSING_EVENTS;
use super::*;
use futures_lite::future;
use test_case::test_case;

const STREAMS: usize = 8;

/// What another upstream of the service is like.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Other {
    Absent,
    Full,
    Draining,
    Closed,
    Pausing,
}

/// Returns the numbers of the events of an answer, if it is complete.
fn events_of(answer: &str) -> Option<Vec<u64>> {
    let is_whole = status(answer) == 200 && answer.ends_with("\r\n0\r\n\r\n");
    let numbers = answer.split("id: ").skip(1);
    let numbers = numbers.filter_map(|rest| rest.split('\n').next()?.parse().ok());
    is_whole.then(|| numbers.collect())
}

/// Starts an entry and two engines, of which the second one is as `other` says.
async fn start(other: Other) -> Harness {
    let harness = Harness::start().await;
    let more =
        json!({"resumable": true, "timeout-ms": 20_000, "gap_aim_ms": 1200, "max-attempts": 3});
    let listen = route("listen", "engines", "stream", more);
    let wait = route(
        "wait",
        "clock",
        "safe",
        json!({"timeout-ms": 20_000, "max-attempts": 3}),
    );
    harness
        .store
        .put("op", "config", &config(4, &[listen, wait]));
    let [single, last] = [&harness.upstreams[1], &harness.upstreams[3]];
    harness.store.drop_row("servers", &single.id);
    match other {
        Other::Absent => harness.store.drop_row("servers", &last.id),
        Other::Full => last.fill(),
        Other::Draining => announce(&harness.store, last, "engines", "draining"),
        Other::Closed => last.crash(),
        Other::Pausing => {}
    }
    task::sleep(Duration::from_millis(1_200)).await;
    eventually("the routes are known", || async {
        status(&harness.call("/wait/body").await) == 200
    })
    .await;
    harness
}

/// Sends requests at once; returns the answers.
async fn ask_at_once(harness: &Harness, path: &str) -> Vec<String> {
    let text = request(path, "").replace("ms: 4000", "ms: 20000");
    let calls = (0..STREAMS).map(|_| {
        let (address, text) = (harness.entry.callers, text.clone());
        task::spawn(async move { ask(address, &text).await })
    });
    let calls: Vec<_> = calls.collect();
    let mut answers = Vec::new();
    for call in calls {
        answers.push(call.await);
    }
    answers
}

/// Each row: who else could serve, and whether the entry is stopped as planned meanwhile.
#[test_case(Other::Absent, false; "nobody")]
#[test_case(Other::Full, false; "one that is full")]
#[test_case(Other::Draining, false; "one that is draining")]
#[test_case(Other::Closed, false; "one whose port is closed")]
#[test_case(Other::Pausing, false; "one that pauses as well")]
#[test_case(Other::Absent, true; "nobody, and the entry is stopped")]
#[test_case(Other::Full, true; "one that is full, and the entry is stopped")]
fn streams_were_cut_where_their_upstream_was_silent_for_a_while(other: Other, stops: bool) {
    task::block_on(async {
        let harness = start(other).await;
        let stop = async {
            task::sleep(Duration::from_millis(400)).await;
            if stops {
                harness.entry.stop.start();
            }
        };
        let answers = ask_at_once(&harness, "/listen/pausing-stream");
        let (answers, ()) = future::zip(answers, stop).await;
        let expected: Vec<u64> = (1..=PAUSING_EVENTS).collect();
        let whole = answers
            .iter()
            .filter(|a| events_of(a).as_ref() == Some(&expected));
        assert_eq!(whole.count(), STREAMS, "{answers:?}");
    });
}

#[test]
fn answers_that_take_long_were_given_up_where_nobody_else_could_serve() {
    task::block_on(async {
        let harness = start(Other::Absent).await;
        let answers = ask_at_once(&harness, "/wait/late").await;
        let good = answers.iter().filter(|answer| status(answer) == 200);
        assert_eq!(good.count(), STREAMS, "{answers:?}");
    });
}
