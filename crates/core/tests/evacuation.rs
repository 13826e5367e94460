//! Data halls that get no work: whatever looks for an upstream finds none there.

mod common;

use sorreldeck::entry::{Entry, Head, Input, Output, Part, Reply};
use sorreldeck::notice::Notice;
use sorreldeck::pick::{Link, Placement};
use sorreldeck::release::{Order, State};
use sorreldeck::wire::{Confidence, Frame, Run};
use sorreldeck::{Failure, Hall, Reason, RequestId, Span, Time, Verdict};
use std::collections::BTreeSet;
use test_case::test_case;

/// What the route of the streams has besides.
const SIZES: &str = r#"sizes = ["small", "large"]"#;

/// An entry in data hall `a`, with three upstreams in each of three data halls: link 1 is in
/// `a`, 2 in `b`, 3 in `c` and so on.
struct Stand {
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

impl Stand {
    fn new() -> Stand {
        let mut stand = Stand {
            entry: common::entry(1, 7),
            now: Time(1_000_000),
            next: 0,
        };
        stand.tell(common::streams(SIZES));
        for link in 1..=9 {
            stand.join(link, "v1");
        }
        stand
    }

    fn tell(&mut self, input: Input) -> Vec<Output> {
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
        self.tell(Input::Join(link, Box::new(member)));
    }

    fn evacuate(&mut self, names: &str) {
        self.tell(Input::Evacuate(halls(names)));
    }

    fn ask(&mut self) -> Vec<Output> {
        self.next += 1;
        let request = RequestId::new(1, self.next);
        let path = format!("/drafts/{}", self.next);
        let mut routed = common::routed(format!("r{}", self.next), &path);
        routed.any_model = true;
        self.tell(common::ask(request, None, routed))
    }

    fn reply(&mut self, sent: Sent, reply: Reply) -> Vec<Output> {
        self.tell(Input::Reply(sent.link, sent.run, reply))
    }

    /// Asks until the request is at an upstream of a data hall.
    fn ask_in(&mut self, name: &str) -> Sent {
        for _ in 0..100 {
            let sent = sent(&self.ask()).unwrap();
            if hall_of(sent.link).as_str() == name {
                return sent;
            }
        }
        panic!("no request went to {name}");
    }

    /// Returns the data halls to which 60 requests go that are under way together.
    fn reached(&mut self) -> BTreeSet<Hall> {
        let runs: Vec<Sent> = (0..60).filter_map(|_| sent(&self.ask())).collect();
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
fn nothing_new_goes_to_an_emptied_data_hall(emptied: &str, left: &str) {
    let mut stand = Stand::new();
    stand.evacuate(emptied);
    assert_eq!(stand.reached(), halls(left));
    stand.evacuate("");
    assert_eq!(stand.reached(), halls("abc"), "it is taken back");
}

/// Taken back and ordered anew in quick succession; the last order holds.
#[test]
fn the_last_order_holds() {
    let mut stand = Stand::new();
    for names in ["a", "", "ab", "b", "", "a"] {
        stand.evacuate(names);
    }
    assert_eq!(stand.reached(), halls("bc"));
    let emptied = format!("{SIZES}\n[halls.b]\nevacuated = true");
    stand.tell(common::streams(&emptied));
    assert_eq!(stand.reached(), halls("c"), "the configuration empties one");
    stand.evacuate("");
    assert_eq!(stand.reached(), halls("ac"), "and goes on to");
}

#[test]
fn an_upstream_that_joins_an_emptied_data_hall_gets_nothing() {
    let mut stand = Stand::new();
    stand.evacuate("a");
    stand.join(10, "v1");
    assert_eq!(stand.reached(), halls("bc"));
}

#[test]
fn what_runs_there_ends_in_peace() {
    let mut stand = Stand::new();
    let run = stand.ask_in("a");
    stand.evacuate("a");
    let outputs = stand.reply(run, answered(200, Some(0.9)));
    let given = |o: &Output| matches!(o, Output::Answer(_, Part::Head { status: 200, .. }));
    assert!(outputs.iter().any(given));
    let outputs = stand.reply(run, Reply::End);
    assert!(outputs
        .iter()
        .any(|o| matches!(o, Output::Answer(_, Part::End))));
}

/// What is sent once more looks for an upstream like everything else.
#[test_case(|stand, run| stand.reply(run, Reply::Fail(Failure::not_run(Reason::Overloaded, "full"))); "refused")]
#[test_case(|stand, run| stand.reply(run, Reply::Fail(Failure::new(Reason::UpstreamLost, Verdict::MayHaveRun, "gone"))); "lost")]
#[test_case(|stand, run| stand.reply(run, answered(500, None)); "an error")]
#[test_case(|stand, run| stand.reply(run, answered(200, Some(0.0))); "the larger model")]
#[test_case(|stand, run| {
    stand.reply(run, answered(200, Some(0.9)));
    stand.reply(run, Reply::Data { data: b"id: 3\n\n".to_vec(), last_event: Some(3) });
    stand.reply(run, Reply::Fail(Failure::new(Reason::UpstreamFailed, Verdict::Ran, "broke off")))
}; "a stream that goes on")]
fn what_is_sent_once_more_goes_elsewhere(play: fn(&mut Stand, Sent) -> Vec<Output>) {
    for _ in 0..20 {
        let mut stand = Stand::new();
        for _ in 0..60 {
            stand.ask();
        }
        let run = stand.ask_in("b");
        stand.evacuate("ab");
        let outputs = play(&mut stand, run);
        let again = sent(&outputs).expect("it is sent once more");
        assert_eq!(hall_of(again.link).as_str(), "c");
    }
}

/// The order is kept where it leaves nothing: what is asked is refused at once and did not run.
#[test]
fn where_all_are_emptied_requests_are_refused_at_once() {
    let mut stand = Stand::new();
    stand.evacuate("abc");
    let outputs = stand.ask();
    assert!(sent(&outputs).is_none());
    let refusal = refusal(&outputs).expect("it is refused at once");
    assert_eq!(refusal.verdict, Verdict::NotRun);
    assert!(refusal.retry_after.is_some());
    assert!(
        stand.entry.is_ready(),
        "callers are told so by an entry that is there"
    );
    stand.evacuate("bc");
    assert_eq!(stand.reached(), halls("a"));
}

/// A release on trial whose upstreams are only where nothing may go is not tried there.
#[test]
fn a_release_is_not_tried_in_an_emptied_data_hall() {
    let mut stand = Stand::new();
    for link in [10, 13, 16] {
        stand.join(link, "v2");
    }
    let order = Order {
        pool: "engines".parse().unwrap(),
        to: "v2".parse().unwrap(),
        duration: Span::from_millis(24_000),
        issued: 7.into(),
    };
    let began = stand.now;
    stand.tell(Input::Move(order, Some(State::Running), Some(began)));
    stand.evacuate("a");
    for _ in 0..24 {
        stand.now = stand.now + Span::from_millis(1_000);
        assert_eq!(stand.reached(), halls("bc"));
    }
}
