//! Hosted entries as processes that get a share of a core each, behind a load balancer.

mod answers_cut_at_a_planned_stop;
mod balancer;
mod client;
mod cost;
mod entry;
mod most_connections_at_one_slow_entry;
mod refused_links;
mod requests_late_in_a_planned_stop;
#[allow(dead_code)]
#[path = "../hosted/runner.rs"]
mod runner;
mod soak;
#[allow(dead_code)]
#[path = "../hosted/store.rs"]
mod store;

use async_std::task;
use balancer::Balancer;
use client::Client;
use entry::Entry;
use runner::{Refused, Upstream};
use serde_json::{json, Value};
use std::time::{Duration, Instant};
use store::Store;

const KEY: &str = "n2ctnfzs989anu6wsjnb";
const UPSTREAMS: usize = 6;
/// How long an entry may take to be ready after its start.
const STARTS_WITHIN: Duration = Duration::from_secs(20);

/// A store with a configuration and upstreams of one service.
async fn start_store() -> Store {
    start_store_with(&configuration()).await.0
}

async fn start_store_with(configuration: &Value) -> (Store, Vec<Upstream>) {
    let store = Store::start().await;
    store.put("op", "config", configuration);
    let mut upstreams = Vec::new();
    for number in 0..UPSTREAMS {
        let id = format!("i-{number}");
        let upstream = Upstream::start(&id, &Refused::default()).await;
        let row = json!({"service": "engines", "address": upstream.address.to_string(), "zone": "a",
            "version": "v1", "slots": 200, "state": "ready", "cold-left-ms": 0, "sequence": 1});
        store.put("servers", &id, &row);
        upstreams.push(upstream);
    }
    (store, upstreams)
}

fn configuration() -> Value {
    json!({
        "version": 3,
        "routes": [{
            "name": "talk", "host": "pay.example", "path-prefix": "/talk/", "route-type": "stream",
            "timeout-ms": 10_000, "target-latency-ms": 1_000, "priority": 1, "service": "engines",
            "max-attempts": 2, "public": false, "resumable": true
        }],
        "services": [
            {"name": "engines", "health-path": "/health", "max-conns": 1_000, "engine": {"slots": 200}}
        ],
        "limits": {"max-header-bytes": 16_384, "max-body-bytes": 100_000,
            "header-timeout-ms": 3_000, "idle-timeout-ms": 15_000},
        "tenants": [{"name": "payroll", "api-keys": [KEY], "priority": 1}]
    })
}

/// Waits until an entry says that it is ready.
async fn until_ready(entry: &Entry, within: Duration) {
    let began = Instant::now();
    while !balancer::is_ready(entry.ready).await {
        assert!(began.elapsed() < within, "not ready");
        task::sleep(Duration::from_millis(50)).await;
    }
}
