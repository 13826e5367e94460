//! Entries and routed requests as tests and experiments build them alike.
//!
//! ```
//! use sorreldeck::{RequestId, Time};
//! use sorreldeck_emulator::routed;
//!
//! let mut entry = routed::entry(1, 7);
//! entry.handle(Time(0), routed::streams(""));
//! let call = routed::routed("r1", "/drafts/x");
//! entry.handle(Time(0), routed::ask(RequestId::new(1, 1), None, call));
//! assert_eq!(entry.in_flight(), 1);
//! ```

use sorreldeck::entry::{Entry, Head, Input, Member, Payload, Reply, Request, Routed, Settings};
use sorreldeck::notice::Notice;
use sorreldeck::pick::Placement;
use sorreldeck::tree::parse_toml;
use sorreldeck::wire::{Call, Load};
use sorreldeck::{Incarnation, RequestId, Revision, Span, Tree};
use std::sync::Arc;

/// Returns a call of a path, without key, session or prompt parts.
pub fn routed(label: impl Into<String>, path: &str) -> Routed {
    Routed {
        label: label.into(),
        host: "pay.example".into(),
        call: Call {
            method: "POST".into(),
            path: path.into(),
            headers: Vec::new(),
            body: Vec::new(),
        },
        time_left: Some(Span::from_millis(20_000)),
        any_model: false,
        tokens: 100,
        prefixes: Vec::new(),
        session: None,
        is_resumption: false,
    }
}

/// Returns what asks an entry for a call.
pub fn ask(request: RequestId, key: Option<&str>, routed: Routed) -> Input {
    Input::Request(Box::new(Request {
        request,
        key: key.map(str::to_owned),
        route: None,
        class: None,
        session: None,
        at_most_once: false,
        idempotency_key: None,
        payload: Payload::Routed(Box::new(routed)),
    }))
}

/// Returns the head of an answer that tells nothing besides its status.
pub fn head(status: u16) -> Reply {
    head_with(status, Notice::default(), None)
}

/// Returns the head of an answer in which the upstream says this of itself and of its load:
/// what runs, what waits and how much may run.
pub fn head_with(status: u16, notice: Notice, load: Option<(u32, u32, u32)>) -> Reply {
    Reply::Head(Head {
        status,
        headers: Vec::new(),
        confidence: None,
        load,
        notice,
    })
}

/// Returns an entry `eN` whose incarnation and seed are given.
pub fn entry(number: u64, seed: u64) -> Entry {
    let keys = format!("1:{}", "42".repeat(32));
    let keys = keys.parse().expect("a legal key ring");
    let name = format!("e{number}").parse().expect("a legal name");
    Entry::new(Settings::new(name, Incarnation(seed), keys, seed))
}

/// Returns the upstream `uN` of the pool `engines`.
pub fn member(number: u64, place: Placement, slots: u32) -> Member {
    Member {
        upstream: format!("u{number}").parse().expect("a legal name"),
        pool: "engines".parse().expect("a legal name"),
        placement: place,
        load: Load {
            slots,
            ..Load::default()
        },
    }
}

/// Returns the input that puts a tree in force.
///
/// # Panics
///
/// Panics where the text is no legal tree.
pub fn tree(text: &str) -> Input {
    let entries = parse_toml(text).expect("the tree can be read");
    let tree = Tree::from_entries(Revision(1), entries).expect("the tree is legal");
    Input::Tree(Arc::new(tree))
}

/// Returns the text of a route of streams of the pool `engines` below `/NAME/`; `more` is added to it.
pub fn route(name: &str, more: &str) -> String {
    format!(
        r#"
        [routes.{name}]
        host = "pay.example"
        prefix = "/{name}/"
        pools = {{ engines = 1 }}
        timeout = "20s"
        tries = 3
        public = true
        repeat = "resume"
        stream = true
        {more}
        "#
    )
}

/// Returns the input that puts a tree in force with streams of one pool, `engines`, below
/// `/drafts/`; `more` is added to their route.
pub fn streams(more: &str) -> Input {
    let drafts = route("drafts", more);
    tree(&format!(
        r#"
        [pools.engines]
        kind = "engine"
        [nodes."/"]
        {drafts}
        "#
    ))
}
