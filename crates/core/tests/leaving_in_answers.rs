//! Guards against requests that are sent to an upstream after it said in an answer that it leaves.
//!
//! An upstream that leaves says so in all its answers. While the platform's store is out of reach,
//! its row does not show this, and an entry that ignores the notice goes on sending requests there
//! for seconds. Clients mostly get complete answers, but some are cut off when the upstream stops.
//! An entry that knows of leaving upstreams from rows and links alone sends them requests until the
//! end of the simulated day below.

mod common;

use common::stand::Harness;
use common::{failure, head, sent};
use sorreldeck::entry::{Input, Output, Reply};
use sorreldeck::notice::{Change, Notice, Update};
use sorreldeck::pick::Link;
use sorreldeck::{Failure, Reason, Span, Verdict};
use sorreldeck_emulator::notice::{Period, Scenario, Signal, World};
use sorreldeck_emulator::routed::head_with;
use test_case::test_case;

/// How long an entry may go on sending requests to an upstream that leaves after it got the notice.
const MAX_DELAY: Span = Span::from_millis(2_000);
const LEAVES: Notice = Notice {
    leaving: true,
    pause: None,
    limit: None,
    pace: None,
};

#[test]
fn no_request_is_sent_to_an_upstream_that_leaves() {
    let trouble = Period {
        start: Span::from_millis(8_000),
        duration: Span::from_millis(20_000),
        upstreams: 2,
        signal: Signal::Leaving,
    };
    let day = Scenario {
        periods: vec![trouble],
        ..Scenario::default()
    };
    let tally = World::new(day, 1).run();
    assert!(tally.served() > 0.99, "{}", tally.served());
    assert!(
        tally.last_send_delay <= MAX_DELAY,
        "last request {} after the notice",
        tally.last_send_delay
    );
}

/// Each row: the answer in which an upstream says that it leaves.
#[test_case(&[head_with(200, LEAVES, None)]; "a good answer")]
#[test_case(&[head_with(500, LEAVES, None)]; "an error")]
#[test_case(&[head_with(504, LEAVES, None)]; "out of time")]
#[test_case(&[Reply::Notice(LEAVES, None), Reply::Fail(Failure::not_run(Reason::Overloaded, "503"))]; "a refusal")]
#[test_case(&[Reply::Notice(LEAVES, None), Reply::Fail(Failure::new(Reason::ForeignAnswer, Verdict::MayHaveRun, "foreign"))]; "an answer that is not delivered")]
#[test_case(&[head(200), Reply::Notice(LEAVES, None)]; "a notice after the head")]
fn the_notice_counts_in_every_kind_of_answer(replies: &[Reply]) {
    for is_disconnected in [false, true] {
        let mut harness = Harness::new(3);
        let run = harness.request_at(2);
        if is_disconnected {
            harness.handle(Input::Disconnected(run.request));
        }
        for reply in replies {
            harness.handle(Input::Reply(2, run, reply.clone()));
        }
        // An upstream that is skipped for a while after a failure gets requests again by then.
        harness.now = harness.now + Span::from_millis(60_000);
        assert_eq!(
            harness.links_in_use(),
            [1, 3],
            "client disconnected: {is_disconnected}"
        );
    }
}

#[test]
fn other_entries_get_the_notice_once() {
    let mut harness = Harness::new(3);
    let run = harness.request_at(2);
    let mut updates = Vec::new();
    for _ in 0..2 {
        let outputs = harness.handle(Input::Reply(2, run, Reply::Notice(LEAVES, None)));
        updates.extend(outputs.into_iter().filter_map(|output| match output {
            Output::Notice(update) => Some(update),
            _ => None,
        }));
    }
    let leaving = |update: &Update| update.change == Change::Leaving;
    assert!(updates.len() == 1 && leaving(&updates[0]), "{updates:?}");
    let mut other = Harness::new(3);
    let outputs = other.handle(Input::Notice(updates[0]));
    assert!(
        outputs.is_empty(),
        "an update is not forwarded: {outputs:?}"
    );
    assert_eq!(other.links_in_use(), [1, 3]);
}

/// A row that vanished while the store was out of reach, or that still says ready, is older than
/// the notice. Another start under the same name is not affected by it. Each row: the start.
#[test_case(1, &[1, 3]; "a row does not reset the notice")]
#[test_case(2, &[1, 3, 12]; "another start has given no notice")]
fn the_notice_applies_to_one_start(start: u64, reached: &[Link]) {
    let mut harness = Harness::new(3);
    let run = harness.request_at(2);
    harness.handle(Input::Reply(2, run, Reply::Notice(LEAVES, None)));
    harness.handle(Input::Retire(2));
    harness.join(12, 2, start);
    assert_eq!(harness.links_in_use(), reached);
}

/// Requests that were sent before the notice go on, and those that fail there continue elsewhere.
#[test]
fn running_requests_continue() {
    let mut harness = Harness::new(2);
    let run = harness.request_at(2);
    harness.handle(Input::Reply(2, run, Reply::Notice(LEAVES, None)));
    harness.handle(Input::Reply(2, run, head(200)));
    let data = Reply::Data {
        data: b"id:1\n\n".to_vec(),
        last_event: Some(1),
    };
    harness.handle(Input::Reply(2, run, data));
    let broken = Failure::new(Reason::LinkLost, Verdict::MayHaveRun, "broke off");
    let outputs = harness.handle(Input::Reply(2, run, Reply::Fail(broken)));
    let resumed = sent(&outputs).map(|(link, _)| link);
    assert_eq!(resumed, Some(1));
}

#[test]
fn requests_are_refused_at_once_if_all_upstreams_leave() {
    let mut harness = Harness::new(2);
    for link in [1, 2] {
        let run = harness.request_at(link);
        harness.handle(Input::Reply(link, run, Reply::Notice(LEAVES, None)));
    }
    let outputs = harness.send_request();
    let refused = failure(&outputs).expect("a refusal");
    assert_eq!(refused.verdict, Verdict::NotRun);
    assert_eq!(refused.reason, Reason::NoUpstream);
    assert!(refused.retry_after.is_some());
}
