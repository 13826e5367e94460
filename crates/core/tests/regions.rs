//! Requests restricted to regions, and upstreams that report their pace.

mod common;

use common::{failure, sent};
use sorreldeck::entry::{Entry, Input, Member, Output, Reply};
use sorreldeck::notice::Notice;
use sorreldeck::pick::{Link, Pace, Placement};
use sorreldeck::wire::Run;
use sorreldeck::{Failure, Reason, RequestId, Span, Time, Verdict};
use test_case::test_case;

/// An entry with two upstreams in each of two regions: links 1 and 2 in `near`, 3 and 4 in `far`.
struct Fixture {
    entry: Entry,
    now: Time,
    next: u64,
}

const TREE: &str = r#"
    [pools.engines]
    kind = "engine"
    [nodes."/"]
    [nodes."/a"]
    account = "a"
    keys = ["@"]
    ACCOUNT
    [routes.drafts]
    host = "pay.example"
    prefix = "/drafts/"
    pools = { engines = 1 }
    timeout = "20s"
    tries = 4
    repeat = "resume"
    stream = true
    sizes = ["small", "large"]
    ROUTE
"#;

fn member(link: Link, region: &str) -> Member {
    let place = Placement {
        hall: Some(format!("{region}-{link}").parse().unwrap()),
        region: Some(region.parse().unwrap()),
        ..Placement::default()
    };
    common::member(link, place, 8)
}

impl Fixture {
    fn new(route: &str, account: &str) -> Fixture {
        let mut fixture = Fixture {
            entry: common::entry(1, 7),
            now: Time(1_000_000),
            next: 0,
        };
        let tree = TREE.replace('@', &sorreldeck::tree::hash_key("key"));
        let tree = tree.replace("ROUTE", route).replace("ACCOUNT", account);
        fixture.handle(common::tree(&tree));
        for (link, region) in [(1, "near"), (2, "near"), (3, "far"), (4, "far")] {
            fixture.handle(Input::Join(link, Box::new(member(link, region))));
        }
        fixture
    }

    fn handle(&mut self, input: Input) -> Vec<Output> {
        self.now = self.now + Span::from_millis(1);
        self.entry.handle(self.now, input)
    }

    fn send(&mut self, resumes: bool) -> Vec<Output> {
        self.next += 1;
        let mut call = common::routed(format!("r{}", self.next), "/drafts/1");
        call.is_resumption = resumes;
        call.any_model = true;
        self.handle(common::ask(RequestId::new(1, self.next), Some("key"), call))
    }

    /// Answers every run with `reply` until the request ends; returns the links it was sent to.
    fn follow(&mut self, first: Vec<Output>, reply: impl Fn(Run) -> Reply) -> Vec<Link> {
        let mut links = Vec::new();
        let mut outputs = first;
        while let Some((link, run)) = sent(&outputs) {
            links.push(link);
            outputs = self.handle(Input::Reply(link, run, reply(run)));
            if links.len() > 8 {
                break;
            }
        }
        links
    }
}

fn refused(_: Run) -> Reply {
    Reply::Fail(Failure::not_run(Reason::Overloaded, "503"))
}

fn broken(_: Run) -> Reply {
    Reply::Fail(Failure::new(
        Reason::UpstreamFailed,
        Verdict::MayHaveRun,
        "reset",
    ))
}

const NEAR: &str = r#"regions = ["near"]"#;
const BOTH: &str = r#"regions = ["near", "far"]"#;

#[test_case(NEAR, ""; "by the route")]
#[test_case("", NEAR; "by the client account")]
#[test_case(BOTH, NEAR; "by both, intersected")]
fn every_attempt_stays_within_the_allowed_regions(route: &str, account: &str) {
    for resumes in [false, true] {
        for reply in [refused, broken] {
            let mut fixture = Fixture::new(route, account);
            for _ in 0..50 {
                let first = fixture.send(resumes);
                let links = fixture.follow(first, reply);
                assert!(links.iter().all(|link| *link <= 2), "{links:?}");
            }
        }
    }
}

#[test]
fn escalation_stays_within_the_allowed_regions() {
    let mut fixture = Fixture::new(NEAR, "");
    let mut asked = 0;
    for _ in 0..50 {
        let outputs = fixture.send(false);
        let (link, run) = sent(&outputs).unwrap();
        let mut head = common::head(200);
        if let Reply::Head(head) = &mut head {
            head.confidence = Some(sorreldeck::wire::Confidence(0.01));
        }
        let outputs = fixture.handle(Input::Reply(link, run, head));
        if let Some((larger, _)) = sent(&outputs) {
            assert!(link <= 2 && larger <= 2);
            asked += 1;
        }
    }
    assert!(asked >= 10, "{asked} of 50");
}

#[test]
fn all_regions_are_used_without_a_restriction() {
    let mut fixture = Fixture::new("", "");
    let mut links: Vec<Link> = (0..40)
        .filter_map(|_| sent(&fixture.send(false)))
        .map(|s| s.0)
        .collect();
    links.sort_unstable();
    links.dedup();
    assert_eq!(links, [1, 2, 3, 4]);
}

#[test_case(r#"regions = ["elsewhere"]"#, ""; "a region without upstreams")]
#[test_case("regions = []", ""; "an empty list of regions")]
#[test_case(NEAR, r#"regions = ["far"]"#; "no region that both allow")]
fn requests_without_an_allowed_region_are_refused(route: &str, account: &str) {
    let mut fixture = Fixture::new(route, account);
    let outputs = fixture.send(false);
    let failure = failure(&outputs).expect("the request is refused");
    assert_eq!(
        (failure.reason, failure.verdict),
        (Reason::NoUpstream, Verdict::NotRun)
    );
}

#[test]
fn a_restriction_excludes_upstreams_without_a_region() {
    let mut fixture = Fixture::new(NEAR, "");
    for link in 1..=4 {
        fixture.handle(Input::Retire(link));
    }
    let unknown = common::member(5, Placement::default(), 8);
    fixture.handle(Input::Join(5, Box::new(unknown)));
    assert!(sent(&fixture.send(false)).is_none());
}

/// Has an upstream report its pace, waits for `pause` and returns the links among the next three
/// requests that lead to that upstream.
fn requests_to_slow(fixture: &mut Fixture, percent: u32, pause: Span) -> Vec<Link> {
    let outputs = fixture.send(false);
    let (slow, run) = sent(&outputs).unwrap();
    let notice = Notice {
        pace: Pace::from_percent(percent),
        ..Notice::default()
    };
    fixture.handle(Input::Reply(slow, run, Reply::Notice(notice, None)));
    fixture.handle(Input::Reply(slow, run, Reply::End));
    fixture.now = fixture.now + pause;
    let links = (0..3).filter_map(|_| sent(&fixture.send(false)));
    links
        .map(|(link, _)| link)
        .filter(|link| *link == slow)
        .collect()
}

#[test]
fn slow_upstreams_receive_fewer_requests() {
    let mut fixture = Fixture::new("", "");
    let none: [Link; 0] = [];
    assert_eq!(requests_to_slow(&mut fixture, 400, Span::default()), none);
}

#[test]
fn a_reported_pace_expires_after_a_second() {
    let later = Span::from_millis(1_000);
    let reached = |percent: u32| requests_to_slow(&mut Fixture::new("", ""), percent, later);
    assert_eq!(reached(400), reached(100));
}
