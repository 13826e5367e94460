//! Guards against a truncated stream that looks complete. After the upstream of a stream crashed,
//! the continuation at another upstream was answered with 500. The entry passed the body of that
//! error on as the rest of the stream and its end as the end of the stream.

use crate::common;
use sorreldeck::entry::{Entry, Input, Member, Output, Part, Reply, Routed, Settings};
use sorreldeck::pick::Placement;
use sorreldeck::wire::{Frame, Load, Run};
use sorreldeck::{Failure, Incarnation, Reason, RequestId, Span, Time, Verdict};

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

#[test]
fn a_failed_continuation_fails_the_stream() {
    let keys = format!("1:{}", "42".repeat(32)).parse().unwrap();
    let mut entry = Entry::new(Settings::new(
        "e1".parse().unwrap(),
        Incarnation(1),
        keys,
        7,
    ));
    let now = Time(1_000_000);
    entry.handle(now, common::tree(TREE));
    for link in [1, 2] {
        let member = Member {
            upstream: format!("u{link}").parse().unwrap(),
            pool: "engines".parse().unwrap(),
            placement: Placement::default(),
            load: Load::default(),
        };
        entry.handle(now, Input::Join(link, Box::new(member)));
    }
    let routed = Routed {
        time_left: Some(Span::from_millis(4_000)),
        any_model: true,
        tokens: 1,
        ..common::routed("r", "/x")
    };
    let outputs = entry.handle(now, common::ask(RequestId::new(1, 1), None, routed));
    let (link, first) = run_of(&outputs).unwrap();
    entry.handle(now, Input::Reply(link, first, common::head(200)));
    let failure = Failure::new(Reason::UpstreamFailed, Verdict::MayHaveRun, "crashed");
    let outputs = entry.handle(now, Input::Reply(link, first, Reply::Fail(failure)));
    let (link, second) = run_of(&outputs).unwrap();
    let mut outputs = entry.handle(now, Input::Reply(link, second, common::head(500)));
    let data = Reply::Data {
        data: b"no".to_vec(),
        last_event: None,
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
