//! The requests and upstreams of a scenario.

use super::{Kind, Place, Scenario};
use crate::routed;
use sorreldeck::entry::{Input, Member, Payload, Routed};
use sorreldeck::pick::{Link, Placement};
use sorreldeck::quarantine::Fingerprint;
use sorreldeck::RequestId;

/// Number of different second parts of prompts.
const SECOND_PARTS: u64 = 4;

fn call(kind: Kind, serial: u64) -> Routed {
    let path = match kind {
        Kind::Crashing(n) => format!("/drafts/crash/{n}"),
        Kind::Part(n) => format!("/drafts/part/{n}/{serial}"),
        Kind::Single(n) => format!("/drafts/{n}"),
        Kind::Identical => "/drafts/alike".into(),
    };
    routed::routed("call", &path)
}

/// Returns the input that passes a request of a kind to an entry.
pub fn ask(scenario: &Scenario, request: RequestId, kind: Kind, serial: u64) -> Input {
    let mut call = call(kind, serial);
    call.parts = parts(scenario, kind, serial);
    routed::ask(request, None, call)
}

/// Returns the shared parts of the prompt of a request.
fn parts(scenario: &Scenario, kind: Kind, serial: u64) -> Vec<Fingerprint> {
    let first = Fingerprint::of_part(b"first");
    let second = Fingerprint::of_part(&(serial % SECOND_PARTS).to_le_bytes());
    let Kind::Part(number) = kind else {
        return match scenario.shares_parts {
            true => vec![first, second],
            false => Vec::new(),
        };
    };
    let crashing = part_fingerprint(number);
    let place = match (scenario.place, serial % 3) {
        (Place::Changing, 0) => Place::First,
        (Place::Changing, 1) => Place::Second,
        (Place::Changing, _) => Place::Third,
        (place, _) => place,
    };
    match place {
        Place::First => vec![crashing, second],
        Place::Second => vec![first, crashing],
        Place::Third | Place::Changing => vec![first, second, crashing],
    }
}

/// Returns the fingerprint of a part that crashes upstreams.
fn part_fingerprint(number: usize) -> Fingerprint {
    Fingerprint::of_part(format!("crashing {number}").as_bytes())
}

/// Returns the fingerprint by which the quarantine recognises requests of a kind.
pub fn fingerprint(kind: Kind) -> Fingerprint {
    if let Kind::Part(number) = kind {
        return part_fingerprint(number);
    }
    // Calls of public routes belong to no client account.
    let account = "nobody".parse().expect("a valid name");
    Payload::Routed(Box::new(call(kind, 0))).fingerprint(&account)
}

/// Returns an upstream with 32 slots.
pub fn member(link: Link) -> Member {
    routed::member(link, Placement::default(), 32)
}
