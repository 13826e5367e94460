//! Guards against a session that moves to another version although its own is in service. The
//! version of the session was withdrawn, so the first attempt went to the successor and failed.
//! The version was put back in service in between, but the second attempt still went to the
//! other version.

use sorreldeck::entry::{Chat, Entry, Input, Output, Payload, Request, Settings};
use sorreldeck::session::{Keyring, Session};
use sorreldeck::tree::{hash_key, parse_toml, Tree};
use sorreldeck::wire::{Frame, Load, Start, Welcome};
use sorreldeck::{Failure, Incarnation, Invariant, Reason, RequestId, Revision, Time};
use std::sync::Arc;

const TREE: &str = r#"
    [pools.engines]
    kind = "engine"
    [models.big]
    split = { big-1 = "100%" }
    [versions.big-1]
    model = "big"
    pool = "engines"
    [versions.big-2]
    model = "big"
    pool = "engines"
    state = "STATE"
    [nodes."/"]
    account = "a"
    keys = ["KEY"]
    models = ["big"]
    versions = ["big-1", "big-2"]
"#;

fn tree(revision: u64, state: &str) -> Arc<Tree> {
    let text = TREE
        .replace("STATE", state)
        .replace("KEY", &hash_key("key"));
    Arc::new(Tree::from_entries(Revision(revision), parse_toml(&text).unwrap()).unwrap())
}

fn start_in(outputs: &[Output]) -> (u64, Box<Start>) {
    let start = outputs.iter().find_map(|o| match o {
        Output::Send(link, Frame::Start(start)) => Some((*link, start.clone())),
        _ => None,
    });
    start.expect("the request is sent to an upstream")
}

#[test]
fn a_retry_selects_the_version_again_after_a_change_of_configuration() {
    let keys: Keyring = format!("1:{}", "07".repeat(32)).parse().unwrap();
    let mut entry = Entry::new(Settings::new(
        "e".parse().unwrap(),
        Incarnation(1),
        keys.clone(),
        1,
    ));
    entry.handle(Time(1), Input::Tree(tree(1, "withdrawn")));
    for link in [1, 2] {
        let welcome = Welcome {
            upstream: format!("u{link}").parse().unwrap(),
            pool: "engines".parse().unwrap(),
            hall: "hall".parse().unwrap(),
            incarnation: Incarnation(link),
            revision: Revision(1),
            load: Load::default(),
        };
        entry.handle(Time(1), Input::Frame(link, Frame::Welcome(welcome)));
    }
    let session = Session {
        account: "a".parse().unwrap(),
        model: "big".into(),
        version: "big-2".parse().unwrap(),
        upstream: None,
    };
    let request = Request {
        request: RequestId::new(1, 1),
        key: Some("key".into()),
        route: None,
        class: None,
        session: Some(keys.seal(&session, [1; 24])),
        at_most_once: false,
        idempotency_key: None,
        payload: Payload::Chat(Box::new(
            Chat::from_slice(br#"{"model": "big", "messages": []}"#).unwrap(),
        )),
    };
    let outputs = entry.handle(Time(2), Input::Request(Box::new(request)));
    let (link, start) = start_in(&outputs);
    assert_eq!(start.version, Some("big-1".parse().unwrap()));
    entry.handle(Time(3), Input::Tree(tree(2, "serving")));
    let failure = Failure::not_run(Reason::Leaving, "leaving");
    let fail = Frame::refuse(start.run, failure, Load::default());
    let outputs = entry.handle(Time(4), Input::Frame(link, fail));
    let (_, start) = start_in(&outputs);
    assert_eq!(start.version, Some("big-2".parse().unwrap()));
    assert_eq!(entry.invariants().violated(Invariant::Session), 0);
}
