//! Entries and sidecars that speak the native protocol, in front of one plain service.

use sorreldeck::entry::{Entry, Input, Payload, Request};
use sorreldeck::sidecar::{Settings, Sidecar};
use sorreldeck::wire::Call;
use sorreldeck::{Incarnation, RequestId, Time};

const TREE: &str = r#"
    [pools.clock]
    kind = "plain"
    prefix = "/clock"
    [nodes."/"]
    [nodes."/a"]
    account = "a"
    keys = ["@"]
    services = ["clock"]
"#;

/// Returns an entry with a configuration that contains only the service.
pub fn entry(number: u64, at: Time) -> Entry {
    let mut entry = super::entry(number, number);
    let text = TREE.replace('@', &sorreldeck::tree::hash_key("key"));
    entry.handle(at, super::tree(&text));
    entry
}

/// Returns the sidecar `uN` of an upstream of the service.
pub fn sidecar(number: u64, slots: u32, reserve: u32) -> Sidecar {
    Sidecar::new(Settings {
        upstream: format!("u{number}").parse().unwrap(),
        pool: "clock".parse().unwrap(),
        hall: "hall".parse().unwrap(),
        incarnation: Incarnation(100 + number),
        slots,
        reserve,
        prefill_rate: 1000,
        fifo: false,
    })
}

/// Returns a call of the service.
pub fn call(path: &str) -> Call {
    Call {
        method: "GET".into(),
        path: path.into(),
        headers: Vec::new(),
        body: Vec::new(),
    }
}

/// Returns a request for a call; with `once` it may run at most once.
pub fn ask(number: u64, path: &str, once: bool) -> Input {
    Input::Request(Box::new(Request {
        request: RequestId::new(1, number),
        key: Some("key".into()),
        route: None,
        class: None,
        session: None,
        at_most_once: once,
        idempotency_key: None,
        payload: Payload::Plain(call(path)),
    }))
}
