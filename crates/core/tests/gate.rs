//! Entries that ask the gate of a contended pool before each run.
//!
//! Guards against a refusal that says nothing ran though something did, against requests that are
//! sent with less time left than they need, and against reports of the past that keep a gate shut.

mod common;

use common::{ask, entry, failure, member, routed, sent, streams};
use sorreldeck::entry::{Entry, Input, Output, Reply, Routed, Settings};
use sorreldeck::pick::{Constraints, Contention, Criteria, Peers, Placement};
use sorreldeck::reuse::Scope;
use sorreldeck::wire::Load;
use sorreldeck::{Failure, Incarnation, PoolId, Reason, RequestId, Span, Time, Verdict};

/// Returns an entry with two engines for which requests compete.
fn contended() -> Entry {
    let keys = format!("1:{}", "42".repeat(32)).parse().unwrap();
    let mut settings = Settings::new("e1".parse().unwrap(), Incarnation(1), keys, 7);
    settings.contention = Contention::On;
    with_engines(Entry::new(settings))
}

fn with_engines(mut entry: Entry) -> Entry {
    entry.handle(Time(1), streams("objective = \"500ms\""));
    for link in 1..=2 {
        let member = member(link, Placement::default(), 8);
        entry.handle(Time(1), Input::Join(link, Box::new(member)));
    }
    entry
}

/// Asks for a prompt that takes seconds to read, with this much time left.
fn ask_long(entry: &mut Entry, left_ms: u64) -> Vec<Output> {
    let call = Routed {
        time_left: Some(Span::from_millis(left_ms)),
        tokens: 200_000,
        ..routed("r1", "/drafts/1")
    };
    entry.handle(Time(1_000_000), ask(RequestId::new(1, 1), None, call))
}

#[test]
fn a_request_without_time_is_refused_as_not_run() {
    let outputs = ask_long(&mut contended(), 30);
    assert_eq!(sent(&outputs), None);
    let failure = failure(&outputs).expect("it is refused");
    assert_eq!(failure.reason, Reason::Overloaded);
    assert_eq!(failure.verdict, Verdict::NotRun);
    assert!(failure.retry_after.is_some());
    assert!(failure.message.contains("no time"), "{}", failure.message);
}

#[test]
fn a_pool_that_is_not_contended_has_no_gate() {
    let mut entry = with_engines(entry(1, 7));
    assert!(sent(&ask_long(&mut entry, 30)).is_some());
    assert_eq!(entry.gates().iter().count(), 0);
}

#[test]
fn a_request_that_may_have_run_is_not_refused_as_not_run() {
    let mut entry = contended();
    let (link, run) = sent(&ask_long(&mut entry, 20_000)).expect("there is time");
    let lost = Failure::new(Reason::UpstreamFailed, Verdict::MayHaveRun, "broke off");
    let late = Time(20_980_000);
    let outputs = entry.handle(late, Input::Reply(link, run, Reply::Fail(lost)));
    assert_eq!(sent(&outputs), None);
    let failure = failure(&outputs).expect("there is no time for another run");
    assert_eq!(failure.reason, Reason::UpstreamFailed);
    assert_eq!(failure.verdict, Verdict::MayHaveRun);
}

/// An entry that refuses gets no reports. One that told of a queue must not count for good.
#[test]
fn a_report_of_the_past_keeps_no_place_taken() {
    let mut peers = Peers::default();
    let pool: PoolId = "engines".parse().unwrap();
    peers.join(1, "u1".parse().unwrap(), &pool, Load::default());
    let queue = Load {
        running: 8,
        queued: 20,
        slots: 64,
        wait: Span::from_millis(5_000),
        ..Load::default()
    };
    peers.report(1, queue, Time(0));
    let criteria = Criteria {
        pool: &pool,
        tokens: 100,
        urgent: false,
        rank: 0,
        prefixes: &[],
        shared_prefix: None,
        last_upstream: None,
        tried: &[],
        constraints: Constraints::default(),
        prefill_rate: None,
        scope: Scope::Hall,
    };
    let outlook = |ms: u64| peers.outlook(&criteria, Time(ms * 1_000)).unwrap();
    assert!(!outlook(100).has_free);
    assert_eq!(outlook(100).backlog, Span::from_millis(5_000));
    assert!(outlook(3_000).has_free);
    assert_eq!(outlook(3_000).backlog, Span::default());
}
