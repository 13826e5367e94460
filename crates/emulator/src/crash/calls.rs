//! What entries are given on such days.

use super::Kind;
use sorreldeck::entry::{Ask, Entry, Head, Input, Member, Reply, Routed, Settings, What};
use sorreldeck::pick::{Link, Place};
use sorreldeck::quarantine::Fingerprint;
use sorreldeck::tree::parse_toml;
use sorreldeck::wire::{Call, Load};
use sorreldeck::{Incarnation, RequestId, Revision, Span, Tree};
use std::sync::Arc;

const TREE: &str = r#"
    [pools.engines]
    kind = "engine"
    [nodes."/"]
    [routes.drafts]
    host = "drafts.example"
    prefix = "/drafts/"
    pools = { engines = 1 }
    timeout = "20s"
    tries = 3
    public = true
    repeat = "resume"
    stream = true
"#;

/// Returns an entry; `seed` decides its random draws.
pub fn entry(number: u64, seed: u64) -> Entry {
    let keys = format!("1:{}", "42".repeat(32));
    let keys = keys.parse().expect("a legal key ring");
    let name = format!("e{number}").parse().expect("a legal name");
    Entry::new(Settings::new(name, Incarnation(seed), keys, seed))
}

/// Returns the configuration of the days: streams that may be resumed, three tries each.
pub fn streams() -> Input {
    let entries = parse_toml(TREE).expect("the tree is legal");
    let tree = Tree::from_entries(Revision(1), entries).expect("the tree is legal");
    Input::Tree(Arc::new(tree))
}

/// Returns what is asked.
pub fn what(kind: Kind) -> What {
    let path = match kind {
        Kind::Crashing(n) => format!("/drafts/crash/{n}"),
        Kind::Single(n) => format!("/drafts/{n}"),
        Kind::Alike => "/drafts/alike".into(),
    };
    What::Routed(Box::new(Routed {
        label: "call".into(),
        host: "drafts.example".into(),
        call: Call {
            method: "POST".into(),
            path,
            headers: Vec::new(),
            body: Vec::new(),
        },
        left: Some(Span::from_millis(20_000)),
        any_model: false,
        tokens: 100,
        chain: Vec::new(),
        session: None,
        resumes: false,
    }))
}

/// Returns what a request of a kind is known by when it comes again.
pub fn fingerprint(kind: Kind) -> Fingerprint {
    // Calls of public routes belong to no client account.
    what(kind).fingerprint(&"nobody".parse().expect("a legal name"))
}

/// Returns what asks an entry.
pub fn ask(request: RequestId, kind: Kind) -> Input {
    Input::Ask(Box::new(Ask {
        request,
        key: None,
        route: None,
        class: None,
        session: None,
        once: false,
        idempotency: None,
        what: what(kind),
    }))
}

/// Returns the head of a good answer.
pub fn head() -> Reply {
    Reply::Head(Head {
        status: 200,
        headers: Vec::new(),
        confidence: None,
        load: None,
    })
}

/// Returns an upstream.
pub fn member(link: Link) -> Member {
    Member {
        upstream: format!("u{link}").parse().expect("a legal name"),
        pool: "engines".parse().expect("a legal name"),
        place: Place::default(),
        load: Load {
            slots: 32,
            ..Load::default()
        },
    }
}
