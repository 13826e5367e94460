//! Guards against requests that an entry takes while it is stopped as planned and cuts at its end.

use super::*;
use crate::entry::Limits;
use async_std::net::TcpStream;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use std::net::SocketAddr;
use test_case::test_case;

/// Time between two requests, and how long they are sent after the signal.
const INTERVAL: Duration = Duration::from_millis(60);
const SENT_FOR: Duration = Duration::from_millis(4_000);
const LIMITS: Limits = Limits {
    share: 1.0,
    memory: 400,
    mbps: 1_000.0,
};

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    /// The whole answer of the upstream came.
    Answered,
    /// The entry answered that the request has not run.
    Refused,
    /// The entry answered that the request may have run.
    Failed,
    /// No connection was opened.
    NotConnected,
    /// The connection ended without an answer.
    Cut,
}

fn request(number: usize, path: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: pay.example\r\nrequest-id: r{number}\r\ndeadline-ms: 15000\r\n\
         authorization: Bearer {KEY}\r\ncontent-length: 4\r\n\r\nwork"
    )
}

/// Sends a request over a connection and reads its answer.
async fn exchange(mut stream: TcpStream, number: usize, path: String) -> Outcome {
    let text = request(number, &path);
    let (mut all, mut buf) = (Vec::new(), [0; 4_096]);
    if stream.write_all(text.as_bytes()).await.is_err() {
        return Outcome::Cut;
    }
    while let Ok(read @ 1..) = stream.read(&mut buf).await {
        all.extend_from_slice(&buf[..read]);
        let answer = String::from_utf8_lossy(&all);
        match answer.split(' ').nth(1) {
            Some("200") if answer.ends_with("taken") => return Outcome::Answered,
            Some("503" | "429") if answer.contains("retry-after") => return Outcome::Refused,
            Some("502" | "504") => return Outcome::Failed,
            _ => {}
        }
    }
    Outcome::Cut
}

/// Sends a request over a kept connection, or a new one.
async fn ask(address: SocketAddr, kept: Option<TcpStream>, number: usize, path: String) -> Outcome {
    let stream = match kept {
        Some(stream) => stream,
        None => match TcpStream::connect(address).await {
            Ok(stream) => stream,
            Err(_) => return Outcome::NotConnected,
        },
    };
    exchange(stream, number, path).await
}

async fn start() -> (Store, Vec<Upstream>, Vec<Entry>) {
    let mut config = configuration();
    let route = |name: &str, kind: &str| {
        json!({"name": name, "host": "pay.example", "path-prefix": format!("/{name}/"),
            "route-type": kind, "timeout-ms": 15_000, "target-latency-ms": 500, "priority": 1,
            "service": "engines", "max-attempts": 2, "public": false})
    };
    config["routes"] = json!([route("once", "unsafe"), route("look", "safe")]);
    let (store, upstreams) = start_store_with(&config).await;
    let entries = ["front-1", "front-2"].map(|name| Entry::start(&store, name, LIMITS));
    for entry in &entries {
        until_ready(entry, STARTS_WITHIN).await;
    }
    (store, upstreams, entries.into())
}

/// Returns how often upstreams ran a request.
fn runs(upstreams: &[Upstream], number: usize) -> usize {
    let id = format!("r{number}");
    let seen = upstreams.iter().flat_map(Upstream::seen);
    seen.filter(|seen| store::header(&seen.head, "request-id") == Some(&id))
        .count()
}

/// Each row: the route, and the milliseconds that a request runs.
#[test_case("once", 100, false; "short ones that run once")]
#[test_case("once", 5_600, false; "long ones that run once")]
#[test_case("once", 5_600, true; "long ones that run once on kept connections")]
#[test_case("once", 12_000, false; "ones that run once and outlast the stop")]
#[test_case("look", 5_600, false; "long ones that may run again")]
#[test_case("look", 12_000, true; "ones that may run again and outlast the stop")]
fn no_request_ends_without_an_answer(route: &str, ms: u64, is_kept: bool) {
    task::block_on(async {
        let (_store, upstreams, entries) = start().await;
        let path = format!("/{route}/takes-{ms}");
        let address = entries[0].callers;
        let count = (SENT_FOR.as_millis() / INTERVAL.as_millis()) as usize;
        let mut kept = Vec::new();
        for _ in 0..count {
            let stream = TcpStream::connect(address).await.unwrap();
            kept.push(is_kept.then_some(stream));
        }
        let in_flight = task::spawn(ask(address, None, count, path.clone()));
        task::sleep(INTERVAL).await;
        entries[0].signal(libc::SIGTERM);
        // What it takes before it knows of its stop is in flight then, as the first request is.
        while entries[0].lines("event=leave").is_empty() {
            task::sleep(Duration::from_millis(1)).await;
        }
        let mut asked = Vec::new();
        for (number, kept) in kept.into_iter().enumerate() {
            asked.push(task::spawn(ask(address, kept, number, path.clone())));
            task::sleep(INTERVAL).await;
        }
        let first = in_flight.await;
        assert!(
            matches!(first, Outcome::Answered | Outcome::Failed),
            "in flight at the signal: {first:?}"
        );
        let mut outcomes = Vec::new();
        for (number, asked) in asked.into_iter().enumerate() {
            outcomes.push((asked.await, runs(&upstreams, number)));
        }
        let cut = |(outcome, runs): &&(Outcome, usize)| *outcome == Outcome::Cut && *runs > 0;
        let lied = |(outcome, runs): &&(Outcome, usize)| *outcome == Outcome::Refused && *runs > 0;
        assert_eq!(outcomes.iter().filter(cut).count(), 0, "{outcomes:?}");
        assert_eq!(outcomes.iter().filter(lied).count(), 0, "{outcomes:?}");
        if route == "once" {
            // What may run once is not taken where its answer may not come in time.
            let lost = outcomes.iter().filter(|o| o.0 == Outcome::Failed).count();
            assert_eq!(lost, 0, "{outcomes:?}");
        }
    });
}
