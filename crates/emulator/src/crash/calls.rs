//! What is asked on such days, and of whom.

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

/// Returns what asks an entry.
pub fn ask(request: RequestId, kind: Kind) -> Input {
    routed::ask(request, None, call(kind))
}

/// Returns what a request of a kind is known by when it comes again.
pub fn fingerprint(kind: Kind) -> Fingerprint {
    // Calls of public routes belong to no client account.
    let nobody = "nobody".parse().expect("a legal name");
    Payload::Routed(Box::new(call(kind))).fingerprint(&nobody)
}

/// Returns an upstream.
pub fn member(link: Link) -> Member {
    routed::member(link, Placement::default(), 32)
}
