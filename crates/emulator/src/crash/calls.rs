//! The requests and upstreams of a scenario.

use super::Kind;
use crate::routed;
use sorreldeck::entry::{Input, Member, Payload, Routed};
use sorreldeck::pick::{Link, Placement};
use sorreldeck::quarantine::Fingerprint;
use sorreldeck::RequestId;

fn call(kind: Kind) -> Routed {
    let path = match kind {
        Kind::Crashing(n) => format!("/drafts/crash/{n}"),
        Kind::Single(n) => format!("/drafts/{n}"),
        Kind::Identical => "/drafts/alike".into(),
    };
    routed::routed("call", &path)
}

/// Returns the input that passes a request of a kind to an entry.
pub fn ask(request: RequestId, kind: Kind) -> Input {
    routed::ask(request, None, call(kind))
}

/// Returns the fingerprint by which the quarantine recognises requests of a kind.
pub fn fingerprint(kind: Kind) -> Fingerprint {
    // Calls of public routes belong to no client account.
    let account = "nobody".parse().expect("a valid name");
    Payload::Routed(Box::new(call(kind))).fingerprint(&account)
}

/// Returns an upstream with 32 slots.
pub fn member(link: Link) -> Member {
    routed::member(link, Placement::default(), 32)
}
