//! Found by `fleetbench hunt` on voltaris-zrh, trouble-1 with seed 845985891911:
//! a stream whose upstream crashed went on at another, which answered 500. The
//! body of that answer was given as the rest of the stream and its end as the
//! end of the stream, so that a broken answer looked whole.

use sorreldeck::entry::{
    Ask, Entry, Head, Input, Member, Output, Part, Reply, Routed, Settings, What,
};
use sorreldeck::pick::Place;
use sorreldeck::tree::parse_toml;
use sorreldeck::wire::{Call, Frame, Load, Run};
use sorreldeck::{Failure, Incarnation, Reason, RequestId, Revision, Span, Time, Tree, Verdict};
use std::sync::Arc;

const TREE: &str = r#"
    [pools.engines]
    kind = "engine"
    [nodes."/"]
    [routes.drafts]
    host = "pay.example"
    prefix = "/"
    pools = { engines = 1 }
    tries = 2
    repeat = "resume"
    stream = true
"#;

fn run_of(outputs: &[Output]) -> Option<(u64, Run)> {
    outputs.iter().find_map(|output| match output {
        Output::Send(link, Frame::Start(start)) => Some((*link, start.run)),
        _ => None,
    })
}

fn head(status: u16) -> Reply {
    Reply::Head(Head {
        status,
        headers: Vec::new(),
        confidence: None,
        load: None,
    })
}

#[test]
fn failed_continuation_looked_whole() {
    let keys = format!("1:{}", "42".repeat(32)).parse().unwrap();
    let mut entry = Entry::new(Settings::new(
        "e1".parse().unwrap(),
        Incarnation(1),
        keys,
        7,
    ));
    let now = Time(1_000_000);
    let tree = Tree::from_entries(Revision(1), parse_toml(TREE).unwrap()).unwrap();
    entry.handle(now, Input::Tree(Arc::new(tree)));
    for link in [1, 2] {
        let member = Member {
            upstream: format!("u{link}").parse().unwrap(),
            pool: "engines".parse().unwrap(),
            place: Place::default(),
            load: Load::default(),
        };
        entry.handle(now, Input::Join(link, Box::new(member)));
    }
    let routed = Routed {
        label: "r".into(),
        host: "pay.example".into(),
        call: Call {
            method: "POST".into(),
            path: "/x".into(),
            headers: Vec::new(),
            body: Vec::new(),
        },
        left: Some(Span::from_millis(4_000)),
        any_model: true,
        tokens: 1,
        chain: Vec::new(),
        session: None,
        resumes: false,
    };
    let ask = Ask {
        request: RequestId::new(1, 1),
        key: None,
        route: None,
        class: None,
        session: None,
        once: false,
        idempotency: None,
        what: What::Routed(Box::new(routed)),
    };
    let outputs = entry.handle(now, Input::Ask(Box::new(ask)));
    let (link, first) = run_of(&outputs).unwrap();
    entry.handle(now, Input::Reply(link, first, head(200)));
    let failure = Failure::new(Reason::UpstreamFailed, Verdict::MayHaveRun, "crashed");
    let outputs = entry.handle(now, Input::Reply(link, first, Reply::Fail(failure)));
    let (link, second) = run_of(&outputs).unwrap();
    let mut outputs = entry.handle(now, Input::Reply(link, second, head(500)));
    let data = Reply::Data {
        data: b"no".to_vec(),
        last: None,
    };
    outputs.extend(entry.handle(now, Input::Reply(link, second, data)));
    outputs.extend(entry.handle(now, Input::Reply(link, second, Reply::End)));
    let parts: Vec<&Part> = outputs
        .iter()
        .filter_map(|output| match output {
            Output::Answer(_, part) => Some(part),
            _ => None,
        })
        .collect();
    assert!(
        matches!(parts[..], [Part::Fail(_)]),
        "the answer must break off: {parts:?}"
    );
}
