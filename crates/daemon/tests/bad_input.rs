//! Invalid input of callers and invalid answers of upstreams: each causes its documented error, and
//! the process keeps serving.

mod common;

use async_std::io::{ReadExt, WriteExt};
use async_std::net::TcpStream;
use async_std::task;
use common::{ask, chat, json_of, start};
use sorreldeck_emulator::engine::{Engine, Faults};
use sorreldeck_emulator::text;
use sorreldeck_net::http::find_header;
use sorreldeckd::standalone::{Sample, KEY};
use std::time::Duration;
use test_case::test_case;

/// A node with limits small enough to be reached in a test.
const SMALL: &str = r#"
[nodes."/small"]
account = "small"
keys = ["0bcc8fcb2f8e80a6bd0e5c0e4a0cbd4e34a2b8e8b2d1fdaa7c8fa9b4f4a8a1d3"]

[nodes."/demo/small"]
max_body = "2KiB"
body_timeout = "300ms"
"#;

/// Sends raw bytes and returns everything received until the server closes the connection.
async fn raw(sample: &Sample, request: &str) -> String {
    let mut stream = TcpStream::connect(sample.entry.address).await.unwrap();
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut reply = Vec::new();
    // A reset after the reply counts as the end of the connection.
    let _ = stream.read_to_end(&mut reply).await;
    String::from_utf8_lossy(&reply).into_owned()
}

fn post(headers: &str, body: &str) -> String {
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nconnection: close\r\n{headers}content-length: {}\r\n\r\n{body}",
        body.len()
    )
}

fn with_key(more: &str) -> String {
    format!("authorization: Bearer {KEY}\r\n{more}")
}

async fn assert_serving(sample: &Sample) {
    let reply = ask(sample, &chat("scribe", "still there?"), &[]).await;
    assert_eq!(reply.status, 200, "{}", reply.text());
    let content = json_of(&reply)["choices"][0]["message"]["content"].clone();
    assert_eq!(content, text::answer("scribe-1", "still there?", 6));
}

const GOOD: &str = r#"{"model":"scribe","messages":[]}"#;

#[test_case("", GOOD, 401, "no_key"; "no key")]
#[test_case("authorization: Bearer nonsense\r\n", GOOD, 401, "bad_key"; "wrong key")]
#[test_case("authorization: Basic demo-key\r\n", GOOD, 401, "no_key"; "another scheme")]
#[test_case("KEY", r#"{"model":"secret","messages":[]}"#, 404, "unknown_model"; "unknown model")]
#[test_case("KEY", r#"{"model":"scribe-2","messages":[]}"#, 404, "unknown_model"; "a version is no model")]
#[test_case("KEY", "{\"model\":", 400, "bad_request"; "malformed JSON")]
#[test_case("KEY", "[1]", 400, "bad_request"; "JSON but no object")]
#[test_case("KEY", r#"{"model":7,"messages":[]}"#, 400, "bad_request"; "model is no string")]
#[test_case("KEY", r#"{"model":"scribe"}"#, 400, "bad_request"; "no messages")]
#[test_case("KEY", r#"{"model":"scribe","messages":[],"stream":"yes"}"#, 400, "bad_request"; "stream is no boolean")]
#[test_case("KEY", r#"{"model":"scribe","messages":[],"max_tokens":-1}"#, 400, "bad_request"; "negative tokens")]
#[test_case("KEYx-sorreldeck-session: forged\r\n", GOOD, 400, "bad_session"; "forged session")]
#[test_case("KEYx-sorreldeck-class: royal\r\n", GOOD, 400, "bad_request"; "unknown class")]
#[test_case("KEYx-sorreldeck-class: priority\r\n", GOOD, 403, "not_allowed"; "class above the route's")]
#[test_case("KEYx-sorreldeck-route: nowhere\r\n", GOOD, 400, "bad_request"; "unknown route")]
fn a_bad_chat_is_refused_as_not_run(headers: &str, body: &str, status: u16, code: &str) {
    task::block_on(async {
        let sample = start("").await;
        let headers = headers.replace("KEY", &with_key(""));
        let reply = raw(&sample, &post(&headers, body)).await;
        assert!(reply.starts_with(&format!("HTTP/1.1 {status} ")), "{reply}");
        assert!(reply.contains(&format!("\"code\":\"{code}\"")), "{reply}");
        assert!(reply.contains("x-sorreldeck-verdict: not-run"), "{reply}");
        assert_serving(&sample).await;
    });
}

#[test]
fn a_model_that_exists_but_is_not_allowed_is_forbidden() {
    task::block_on(async {
        let more = r#"
            [models.other]
            split = { other-1 = "100%" }
            [versions.other-1]
            model = "other"
            pool = "assistant"
        "#;
        let sample = start(more).await;
        let reply = ask(&sample, &chat("other", "x"), &[]).await;
        assert_eq!(reply.status, 403);
        assert_eq!(json_of(&reply)["error"]["code"], "not_allowed");
        assert_eq!(json_of(&reply)["error"]["verdict"], "not-run");
        assert_serving(&sample).await;
    });
}

#[test_case(true; "stated length")]
#[test_case(false; "chunked without a stated length")]
fn an_oversize_body_is_refused_by_the_limit_of_the_node(stated: bool) {
    task::block_on(async {
        let sample = start(SMALL).await;
        let headers = with_key("x-sorreldeck-route: small\r\n");
        let body = "x".repeat(3000);
        let request = match stated {
            true => post(&headers, &body),
            false => format!(
                "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\n{headers}transfer-encoding: chunked\r\n\r\n{:x}\r\n{body}\r\n0\r\n\r\n",
                body.len()
            ),
        };
        let reply = raw(&sample, &request).await;
        assert!(reply.starts_with("HTTP/1.1 413 "), "{reply}");
        assert!(reply.contains("\"code\":\"too_large\""), "{reply}");
        assert!(reply.contains("2KiB"), "{reply}");
        assert_serving(&sample).await;
    });
}

#[test]
fn a_truncated_request_affects_no_other_caller() {
    task::block_on(async {
        let sample = start("").await;
        for cut in [10, 60, 150] {
            let whole = post(&with_key(""), GOOD);
            let mut stream = TcpStream::connect(sample.entry.address).await.unwrap();
            let part = &whole.as_bytes()[..cut.min(whole.len() - 5)];
            stream.write_all(part).await.unwrap();
            drop(stream);
        }
        assert_serving(&sample).await;
        let ran: usize = sample.engines.iter().map(|e| e.runs().len()).sum();
        assert_eq!(ran, 1, "only the whole request ran");
    });
}

#[test]
fn a_slow_sender_gets_a_timeout_error() {
    task::block_on(async {
        let sample = start(SMALL).await;
        let headers = with_key("x-sorreldeck-route: small\r\n");
        let whole = post(&headers, GOOD);
        let reply = raw(&sample, &whole[..whole.len() - 5]).await;
        assert!(reply.starts_with("HTTP/1.1 408 "), "{reply}");
        assert!(reply.contains("\"code\":\"too_slow\""), "{reply}");
        assert_serving(&sample).await;
    });
}

#[test_case("GET", "/nowhere"; "no such path")]
#[test_case("GET", "/v1/engines"; "no such path of the API")]
#[test_case("POST", "/clockwork"; "a path that only begins like a service")]
fn an_unknown_path_is_refused(method: &str, path: &str) {
    task::block_on(async {
        let sample = start("").await;
        let request = format!("{method} {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n{}content-length: 0\r\n\r\n", with_key(""));
        let reply = raw(&sample, &request).await;
        assert!(reply.starts_with("HTTP/1.1 404 "), "{reply}");
        assert!(reply.contains("\"code\":\"unknown_path\""), "{reply}");
        assert_serving(&sample).await;
    });
}

/// Sets the fault switches of every engine.
fn set_knobs(sample: &Sample, knobs: Faults) {
    for engine in &sample.engines {
        engine.set_faults(knobs.clone());
    }
}

#[test_case(false; "whole answer")]
#[test_case(true; "streamed answer")]
fn a_connection_closed_within_an_answer_is_reported_as_a_failure(stream: bool) {
    task::block_on(async {
        let sample = start("").await;
        set_knobs(
            &sample,
            Faults {
                close_after: Some(3),
                ..Faults::default()
            },
        );
        let mut body = chat("scribe", "broken");
        body["stream"] = stream.into();
        let request = post(&with_key(""), &body.to_string());
        let reply = raw(&sample, &request).await;
        assert!(reply.contains("\"code\":\"upstream_failed\""), "{reply}");
        assert!(!reply.contains("\"verdict\":\"not-run\""), "{reply}");
        assert!(!reply.contains("[DONE]"), "{reply}");
        set_knobs(&sample, Faults::default());
        assert_serving(&sample).await;
    });
}

#[test_case(false; "whole answer")]
#[test_case(true; "streamed answer")]
fn an_answer_with_another_request_id_is_not_delivered(stream: bool) {
    task::block_on(async {
        let sample = start("").await;
        set_knobs(
            &sample,
            Faults {
                foreign: true,
                ..Faults::default()
            },
        );
        let mut body = chat("scribe", "whose");
        body["stream"] = stream.into();
        let reply = ask(&sample, &body, &[]).await;
        assert_eq!(reply.status, 502, "{}", reply.text());
        assert_eq!(json_of(&reply)["error"]["code"], "foreign_answer");
        assert_eq!(json_of(&reply)["error"]["verdict"], "may-have-run");
        set_knobs(&sample, Faults::default());
        assert_serving(&sample).await;
    });
}

#[test]
fn a_disconnected_caller_stops_the_stream_at_the_engine() {
    task::block_on(async {
        let sample = start("").await;
        let mut body = chat("scribe", "gone");
        body["stream"] = true.into();
        body["max_tokens"] = 100_000.into();
        let request = post(&with_key(""), &body.to_string());
        let mut stream = TcpStream::connect(sample.entry.address).await.unwrap();
        stream.write_all(request.as_bytes()).await.unwrap();
        let mut buf = [0; 2000];
        let n = stream.read(&mut buf).await.unwrap();
        assert!(n > 0);
        drop(stream);
        common::eventually("nothing runs at the engines", || async {
            let reply = common::admin(
                &sample,
                "GET",
                "/admin/v1/status",
                &[],
                serde_json::Value::Null,
            )
            .await;
            let running = json_of(&reply)["upstreams"].as_array().map(|all| {
                all.iter()
                    .map(|u| u["running"].as_u64().unwrap_or(0))
                    .sum::<u64>()
            });
            running == Some(0) && json_of(&reply)["in_flight"] == 0
        })
        .await;
        let ran: Vec<_> = sample
            .engines
            .iter()
            .flat_map(|e| e.runs().into_values())
            .collect();
        assert_eq!(ran.len(), 1);
        assert!(!ran[0].finished);
        assert_serving(&sample).await;
    });
}

/// The tests of the decisions, `rest_asked_for` and `rest_behind_sidecars`, describe the cases.
#[test]
fn the_retry_after_time_of_an_engine_is_kept() {
    task::block_on(async {
        let sample = start("").await;
        let knobs = Faults {
            retry_after: Some(2.0),
            ..Faults::default()
        };
        set_knobs(&sample, knobs);
        let away = || sample.engines.iter().map(Engine::rejected).sum::<u64>();
        for _ in 0..20 {
            let reply = ask(&sample, &chat("scribe", "rest"), &[]).await;
            assert_eq!(json_of(&reply)["error"]["verdict"], "not-run");
            assert!(
                reply.status == 502 || reply.status == 503,
                "{}",
                reply.text()
            );
        }
        let engines = sample.engines.len() as u64;
        assert!(away() <= engines, "{} reached {engines} engines", away());
        let reply = ask(&sample, &chat("scribe", "rest"), &[]).await;
        let after = find_header(&reply.headers, "retry-after").expect("a time to come back");
        assert!((1..=2).contains(&after.parse::<u64>().unwrap()), "{after}");
        set_knobs(&sample, Faults::default());
        task::sleep(Duration::from_millis(2_100)).await;
        assert_serving(&sample).await;
    });
}
