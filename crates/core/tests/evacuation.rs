//! Evacuation of data halls: no attempt of a request, new or repeated, is sent to an evacuated one.

mod common;

use sorreldeck::entry::{Entry, Head, Input, Output, Part, Reply};
use sorreldeck::notice::Notice;
use sorreldeck::pick::{Link, Placement};
use sorreldeck::release::{Order, State};
use sorreldeck::wire::{Confidence, Frame, Run};
use sorreldeck::{Failure, Hall, Reason, RequestId, Span, Time, Verdict};
use std::collections::BTreeSet;
use test_case::test_case;

/// Settings added to the route of the streams.
const SIZES: &str = r#"sizes = ["small", "large"]"#;

/// An entry in data hall `a`, with three upstreams in each of three data halls: link 1 is in
/// `a`, 2 in `b`, 3 in `c` and so on.
struct Harness {
    entry: Entry,
    now: Time,
    next: u64,
}

#[derive(Clone, Copy, Debug)]
struct Sent {
    link: Link,
    run: Run,
}

fn hall_of(link: Link) -> Hall {
    ["c", "a", "b"][link as usize % 3].parse().unwrap()
}

fn halls(names: &str) -> BTreeSet<Hall> {
    let names = names.chars().map(|name| name.to_string().parse().unwrap());
    names.collect()
}

fn sent(outputs: &[Output]) -> Option<Sent> {
    outputs.iter().find_map(|output| match output {
        Output::Send(link, Frame::Start(start)) => Some(Sent {
            link: *link,
            run: start.run,
        }),
        _ => None,
    })
}

fn refusal(outputs: &[Output]) -> Option<&Failure> {
    outputs.iter().find_map(|output| match output {
        Output::Answer(_, Part::Fail(failure)) => Some(failure),
        _ => None,
    })
}

impl Harness {
    fn new() -> Harness {
        let mut harness = Harness {
            entry: common::entry(1, 7),
            now: Time(1_000_000),
            next: 0,
        };
        harness.handle(common::streams(SIZES));
        for link in 1..=9 {
            harness.join(link, "v1");
        }
        harness
    }

    fn handle(&mut self, input: Input) -> Vec<Output> {
        self.entry.handle(self.now, input)
    }

    fn join(&mut self, link: Link, release: &str) {
        let place = Placement {
            hall: Some(hall_of(link)),
            release: Some(release.parse().unwrap()),
            incarnation: None,
            region: None,
        };
        let member = common::member(link, place, 8);
        self.handle(Input::Join(link, Box::new(member)));
    }

    fn evacuate(&mut self, names: &str) {
        self.handle(Input::Evacuate(halls(names)));
    }

    fn send_request(&mut self) -> Vec<Output> {
        self.next += 1;
        let request = RequestId::new(1, self.next);
        let path = format!("/drafts/{}", self.next);
        let mut routed = common::routed(format!("r{}", self.next), &path);
        routed.any_model = true;
        self.handle(common::ask(request, None, routed))
    }

    fn reply(&mut self, sent: Sent, reply: Reply) -> Vec<Output> {
        self.handle(Input::Reply(sent.link, sent.run, reply))
    }

    /// Sends requests until one goes to an upstream of a data hall; returns that run.
    fn request_in(&mut self, name: &str) -> Sent {
        for _ in 0..100 {
            let sent = sent(&self.send_request()).unwrap();
            if hall_of(sent.link).as_str() == name {
                return sent;
            }
        }
        panic!("no request went to {name}");
    }

    /// Returns the data halls to which 60 concurrent requests go.
    fn halls_in_use(&mut self) -> BTreeSet<Hall> {
        let runs: Vec<Sent> = (0..60).filter_map(|_| sent(&self.send_request())).collect();
        for run in &runs {
            self.reply(*run, answered(200, Some(0.9)));
            self.reply(*run, Reply::End);
        }
        runs.iter().map(|run| hall_of(run.link)).collect()
    }
}

fn answered(status: u16, confidence: Option<f64>) -> Reply {
    Reply::Head(Head {
        status,
        headers: Vec::new(),
        confidence: confidence.map(Confidence),
        load: Some((0, 0, 8)),
        notice: Notice::default(),
    })
}

#[test_case("a", "bc")]
#[test_case("b", "ac")]
#[test_case("ab", "c"; "two at once")]
fn evacuated_data_halls_get_no_new_requests(evacuated: &str, remaining: &str) {
    let mut harness = Harness::new();
    harness.evacuate(evacuated);
    assert_eq!(harness.halls_in_use(), halls(remaining));
    harness.evacuate("");
    assert_eq!(
        harness.halls_in_use(),
        halls("abc"),
        "after the evacuation has been revoked"
    );
}

/// Evacuations are ordered and revoked in quick succession; the last command applies.
#[test]
fn the_last_evacuation_applies() {
    let mut harness = Harness::new();
    for names in ["a", "", "ab", "b", "", "a"] {
        harness.evacuate(names);
    }
    assert_eq!(harness.halls_in_use(), halls("bc"));
    let evacuated = format!("{SIZES}\n[halls.b]\nevacuated = true");
    harness.handle(common::streams(&evacuated));
    assert_eq!(
        harness.halls_in_use(),
        halls("c"),
        "the configuration evacuates b in addition"
    );
    harness.evacuate("");
    assert_eq!(
        harness.halls_in_use(),
        halls("ac"),
        "b stays evacuated by the configuration"
    );
}

#[test]
fn an_upstream_that_joins_an_evacuated_data_hall_gets_no_requests() {
    let mut harness = Harness::new();
    harness.evacuate("a");
    harness.join(10, "v1");
    assert_eq!(harness.halls_in_use(), halls("bc"));
}

#[test]
fn running_requests_complete_after_an_evacuation() {
    let mut harness = Harness::new();
    let run = harness.request_in("a");
    harness.evacuate("a");
    let outputs = harness.reply(run, answered(200, Some(0.9)));
    let is_head = |o: &Output| matches!(o, Output::Answer(_, Part::Head { status: 200, .. }));
    assert!(outputs.iter().any(is_head));
    let outputs = harness.reply(run, Reply::End);
    assert!(outputs
        .iter()
        .any(|o| matches!(o, Output::Answer(_, Part::End))));
}

/// Each row is a reason for a further attempt: a refusal, a lost upstream, an error, escalation to
/// the larger model, and the continuation of a stream.
#[test_case(|harness, run| harness.reply(run, Reply::Fail(Failure::not_run(Reason::Overloaded, "full"))); "refused")]
#[test_case(|harness, run| harness.reply(run, Reply::Fail(Failure::new(Reason::UpstreamLost, Verdict::MayHaveRun, "gone"))); "lost")]
#[test_case(|harness, run| harness.reply(run, answered(500, None)); "an error")]
#[test_case(|harness, run| harness.reply(run, answered(200, Some(0.0))); "the larger model")]
#[test_case(|harness, run| {
    harness.reply(run, answered(200, Some(0.9)));
    harness.reply(run, Reply::Data { data: b"id: 3\n\n".to_vec(), last_event: Some(3) });
    harness.reply(run, Reply::Fail(Failure::new(Reason::UpstreamFailed, Verdict::Ran, "broke off")))
}; "a stream that goes on")]
fn further_attempts_avoid_evacuated_data_halls(play: fn(&mut Harness, Sent) -> Vec<Output>) {
    for _ in 0..20 {
        let mut harness = Harness::new();
        for _ in 0..60 {
            harness.send_request();
        }
        let run = harness.request_in("b");
        harness.evacuate("ab");
        let outputs = play(&mut harness, run);
        let again = sent(&outputs).expect("a further attempt is sent");
        assert_eq!(hall_of(again.link).as_str(), "c");
    }
}

/// An evacuation of all data halls is carried out as well: requests are refused at once as not run.
#[test]
fn requests_are_refused_at_once_if_all_data_halls_are_evacuated() {
    let mut harness = Harness::new();
    harness.evacuate("abc");
    let outputs = harness.send_request();
    assert!(sent(&outputs).is_none());
    let refusal = refusal(&outputs).expect("it is refused at once");
    assert_eq!(refusal.verdict, Verdict::NotRun);
    assert!(refusal.retry_after.is_some());
    assert!(
        harness.entry.is_ready(),
        "the entry stays ready, so that it can refuse requests"
    );
    harness.evacuate("bc");
    assert_eq!(harness.halls_in_use(), halls("a"));
}

/// A release on trial gets no requests while all of its upstreams are in an evacuated data hall.
#[test]
fn a_release_is_not_tried_in_an_evacuated_data_hall() {
    let mut harness = Harness::new();
    for link in [10, 13, 16] {
        harness.join(link, "v2");
    }
    let order = Order {
        pool: "engines".parse().unwrap(),
        to: "v2".parse().unwrap(),
        duration: Span::from_millis(24_000),
        issued: 7.into(),
        learned: 7.into(),
    };
    let start = harness.now;
    harness.handle(Input::Move(order, Some(State::Running), Some(start)));
    harness.evacuate("a");
    for _ in 0..24 {
        harness.now = harness.now + Span::from_millis(1_000);
        assert_eq!(harness.halls_in_use(), halls("bc"));
    }
}
