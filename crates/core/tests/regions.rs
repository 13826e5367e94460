//! Requests that may be served in some regions only, and upstreams that tell how long work takes.

mod common;

use common::{failure, sent};
use sorreldeck::entry::{Entry, Input, Member, Output, Reply};
use sorreldeck::notice::Notice;
use sorreldeck::pick::{Link, Pace, Placement};
use sorreldeck::wire::Run;
use sorreldeck::{Failure, Reason, RequestId, Span, Time, Verdict};
use test_case::test_case;

/// An entry before two upstreams in each of two regions: links 1 and 2 in `near`, 3 and 4 in `far`.
struct Stand {
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

impl Stand {
    fn new(route: &str, account: &str) -> Stand {
        let mut stand = Stand {
            entry: common::entry(1, 7),
            now: Time(1_000_000),
            next: 0,
        };
        let tree = TREE.replace('@', &sorreldeck::tree::hash_key("key"));
        let tree = tree.replace("ROUTE", route).replace("ACCOUNT", account);
        stand.tell(common::tree(&tree));
        for (link, region) in [(1, "near"), (2, "near"), (3, "far"), (4, "far")] {
            stand.tell(Input::Join(link, Box::new(member(link, region))));
        }
        stand
    }

    fn tell(&mut self, input: Input) -> Vec<Output> {
        self.now = self.now + Span::from_millis(1);
        self.entry.handle(self.now, input)
    }

    fn ask(&mut self, resumes: bool) -> Vec<Output> {
        self.next += 1;
        let mut call = common::routed(format!("r{}", self.next), "/drafts/1");
        call.is_resumption = resumes;
        call.any_model = true;
        self.tell(common::ask(RequestId::new(1, self.next), Some("key"), call))
    }

    /// Fails every run until the request ends; returns where it was sent.
    fn follow(&mut self, first: Vec<Output>, reply: impl Fn(Run) -> Reply) -> Vec<Link> {
        let mut links = Vec::new();
        let mut outputs = first;
        while let Some((link, run)) = sent(&outputs) {
            links.push(link);
            outputs = self.tell(Input::Reply(link, run, reply(run)));
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
#[test_case(BOTH, NEAR; "by both")]
fn no_way_of_a_request_leads_out_of_its_regions(route: &str, account: &str) {
    for resumes in [false, true] {
        for reply in [refused, broken] {
            let mut stand = Stand::new(route, account);
            for _ in 0..50 {
                let first = stand.ask(resumes);
                let links = stand.follow(first, reply);
                assert!(links.iter().all(|link| *link <= 2), "{links:?}");
            }
        }
    }
}

#[test]
fn a_larger_model_is_asked_in_the_same_regions() {
    let mut stand = Stand::new(NEAR, "");
    let mut asked = 0;
    for _ in 0..50 {
        let outputs = stand.ask(false);
        let (link, run) = sent(&outputs).unwrap();
        let mut head = common::head(200);
        if let Reply::Head(head) = &mut head {
            head.confidence = Some(sorreldeck::wire::Confidence(0.01));
        }
        let outputs = stand.tell(Input::Reply(link, run, head));
        if let Some((larger, _)) = sent(&outputs) {
            assert!(link <= 2 && larger <= 2);
            asked += 1;
        }
    }
    assert!(asked >= 10, "{asked} of 50");
}

#[test]
fn both_regions_are_used_where_none_is_named() {
    let mut stand = Stand::new("", "");
    let mut links: Vec<Link> = (0..40)
        .filter_map(|_| sent(&stand.ask(false)))
        .map(|s| s.0)
        .collect();
    links.sort_unstable();
    links.dedup();
    assert_eq!(links, [1, 2, 3, 4]);
}

#[test_case(r#"regions = ["elsewhere"]"#, ""; "a region without upstreams")]
#[test_case("regions = []", ""; "none at all")]
#[test_case(NEAR, r#"regions = ["far"]"#; "none that both allow")]
fn what_is_allowed_nowhere_is_refused_at_once(route: &str, account: &str) {
    let mut stand = Stand::new(route, account);
    let outputs = stand.ask(false);
    let failure = failure(&outputs).expect("it is refused");
    assert_eq!(
        (failure.reason, failure.verdict),
        (Reason::NoUpstream, Verdict::NotRun)
    );
}

#[test]
fn an_upstream_whose_region_is_not_known_is_in_none() {
    let mut stand = Stand::new(NEAR, "");
    for link in 1..=4 {
        stand.tell(Input::Retire(link));
    }
    let unknown = common::member(5, Placement::default(), 8);
    stand.tell(Input::Join(5, Box::new(unknown)));
    assert!(sent(&stand.ask(false)).is_none());
}

/// Returns where requests go after an upstream said how long work takes there.
fn reached(stand: &mut Stand, percent: u32, pause: Span) -> Vec<Link> {
    let outputs = stand.ask(false);
    let (slow, run) = sent(&outputs).unwrap();
    let notice = Notice {
        pace: Pace::from_percent(percent),
        ..Notice::default()
    };
    stand.tell(Input::Reply(slow, run, Reply::Notice(notice, None)));
    stand.tell(Input::Reply(slow, run, Reply::End));
    stand.now = stand.now + pause;
    let links = (0..3).filter_map(|_| sent(&stand.ask(false)));
    links
        .map(|(link, _)| link)
        .filter(|link| *link == slow)
        .collect()
}

#[test]
fn an_upstream_where_work_takes_longer_gets_less() {
    let mut stand = Stand::new("", "");
    let none: [Link; 0] = [];
    assert_eq!(reached(&mut stand, 400, Span::default()), none);
}

#[test]
fn what_was_said_a_second_ago_counts_no_more() {
    let later = Span::from_millis(1_000);
    let reached = |percent: u32| reached(&mut Stand::new("", ""), percent, later);
    assert_eq!(reached(400), reached(100));
}
