//! Builds entries and routed requests for tests and experiments.
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

/// Returns a routed call of a path, without session and prompt prefixes.
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
        max_tokens: 10,
        prefixes: Vec::new(),
        parts: Vec::new(),
        session: None,
        is_resumption: false,
    }
}

/// Returns the input that passes a routed call to an entry.
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

/// Returns the head of an answer with a status, without a notice or load.
pub fn head(status: u16) -> Reply {
    head_with(status, Notice::default(), None)
}

/// Returns the head of an answer with a notice of the upstream and its load: running requests,
/// waiting requests and slots.
pub fn head_with(status: u16, notice: Notice, load: Option<(u32, u32, u32)>) -> Reply {
    Reply::Head(Head {
        status,
        headers: Vec::new(),
        confidence: None,
        load,
        notice,
    })
}

/// Returns the entry `eN`; `seed` is also its incarnation.
pub fn entry(number: u64, seed: u64) -> Entry {
    let keys = format!("1:{}", "42".repeat(32));
    let keys = keys.parse().expect("a valid key ring");
    let name = format!("e{number}").parse().expect("a valid name");
    Entry::new(Settings::new(name, Incarnation(seed), keys, seed))
}

/// Returns the upstream `uN` of the pool `engines`.
pub fn member(number: u64, placement: Placement, slots: u32) -> Member {
    Member {
        upstream: format!("u{number}").parse().expect("a valid name"),
        pool: "engines".parse().expect("a valid name"),
        placement,
        load: Load {
            slots,
            ..Load::default()
        },
    }
}

/// Returns the input that sets the settings tree, at revision 1.
///
/// # Panics
///
/// Panics if the text is not a valid tree.
pub fn tree(text: &str) -> Input {
    let entries = parse_toml(text).expect("the tree is valid TOML");
    let tree = Tree::from_entries(Revision(1), entries).expect("the tree is valid");
    Input::Tree(Arc::new(tree))
}

/// Returns the settings of a streaming route to the pool `engines` below `/NAME/`; `more` is
/// appended.
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

/// Returns the input that sets a tree with a streaming route to the pool `engines` below
/// `/drafts/`; `more` is appended to the route.
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
