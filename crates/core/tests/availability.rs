//! The human-readable description of which requests an upstream receives.

mod common;

use common::stand::Harness;
use sorreldeck::entry::{Input, Reply};
use sorreldeck::notice::Notice;
use sorreldeck::{Failure, Rate, Reason, Span};
use test_case::test_case;

fn sends_notice(notice: Notice) -> Vec<Reply> {
    vec![Reply::Notice(notice, None)]
}

fn fails_once() -> Vec<Reply> {
    vec![Reply::Fail(Failure::not_run(Reason::LinkLost, "refused"))]
}

#[test_case(Vec::new(), "all")]
#[test_case(sends_notice(Notice { leaving: true, ..Notice::default() }), "none: leaving")]
#[test_case(sends_notice(Notice { pause: Some(Span::from_millis(3_000)), ..Notice::default() }), "none: rests for 3000ms")]
#[test_case(sends_notice(Notice { limit: Some(Rate::from_per_second(0.5)), ..Notice::default() }), "part of 0.50/s, next in 1500ms")]
#[test_case(fails_once(), "passed over for 250ms")]
fn description_gives_the_reason_and_duration(replies: Vec<Reply>, expected: &str) {
    let mut harness = Harness::new(2);
    let run = harness.request_at(2);
    for reply in replies {
        harness.handle(Input::Reply(2, run, reply));
    }
    let work = harness.entry.peers().availability(2, harness.now).unwrap();
    assert_eq!(work.to_string(), expected);
}
