//! Helpers that start a complete sample in one process and call it.

use serde_json::{json, Value};
use sorreldeck::wire::Header;
use sorreldeck_net::http::{Client, Reply};
use sorreldeckd::standalone::{self, Sample, KEY, TOKEN};
use std::sync::atomic::AtomicBool;
use std::sync::Arc;
use std::time::Duration;

/// Time after which a condition that must occur has failed.
pub const TIMEOUT: Duration = Duration::from_secs(20);

/// Starts a sample whose configuration has the entries of `more` in addition.
pub async fn start(more: &str) -> Sample {
    let sample = start_unlinked(&format!("{}\n{more}", standalone::TREE)).await;
    until_linked(&sample, 4).await;
    sample
}

/// Starts a sample with a settings tree; its entry may not be linked to all sidecars yet.
pub async fn start_unlinked(tree: &str) -> Sample {
    let free = "127.0.0.1:0".parse().unwrap();
    let stop = Arc::new(AtomicBool::new(false));
    standalone::start(free, tree, stop).await.unwrap()
}

/// Waits until the entry is ready and linked to the sidecars of this many upstreams.
pub async fn until_linked(sample: &Sample, upstreams: usize) {
    eventually("the entry is ready and fully linked", || async {
        let status = admin(sample, "GET", "/admin/v1/status", &[], Value::Null).await;
        let status: Value = serde_json::from_slice(&status.body).unwrap_or_default();
        let linked = status["upstreams"].as_array();
        linked.is_some_and(|linked| linked.len() == upstreams)
    })
    .await;
}

/// Waits until a condition is true.
pub async fn eventually<F>(what: &str, holds: impl Fn() -> F)
where
    F: std::future::Future<Output = bool>,
{
    let began = std::time::Instant::now();
    while !holds().await {
        assert!(began.elapsed() < TIMEOUT, "timed out: {what}");
        async_std::task::sleep(Duration::from_millis(20)).await;
    }
}

/// Calls the administration API.
pub async fn admin(
    sample: &Sample,
    method: &str,
    path: &str,
    extra: &[Header],
    body: Value,
) -> Reply {
    let mut headers = vec![Header::new("authorization", format!("Bearer {TOKEN}"))];
    headers.extend_from_slice(extra);
    let body = match body {
        Value::Null => Vec::new(),
        body => body.to_string().into_bytes(),
    };
    let client = Client::default();
    let address = sample.entry.address;
    client
        .call(address, method, path, &headers, body)
        .await
        .unwrap()
}

/// Returns the body of a small chat.
pub fn chat(model: &str, prompt: &str) -> Value {
    json!({
        "model": model,
        "max_tokens": 6,
        "messages": [{"role": "user", "content": prompt}],
    })
}

/// Asks for a chat completion with the sample's API key.
pub async fn ask(sample: &Sample, body: &Value, extra: &[Header]) -> Reply {
    let mut headers = vec![Header::new("authorization", format!("Bearer {KEY}"))];
    headers.extend_from_slice(extra);
    let body = body.to_string().into_bytes();
    let path = "/v1/chat/completions";
    let client = Client::default();
    let address = sample.entry.address;
    client
        .call(address, "POST", path, &headers, body)
        .await
        .unwrap()
}

/// Returns the body of a reply as JSON.
pub fn json_of(reply: &Reply) -> Value {
    serde_json::from_slice(&reply.body).unwrap_or_default()
}
