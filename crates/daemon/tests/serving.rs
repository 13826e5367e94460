//! Guarantees for callers and operators, tested over real sockets.

mod common;

use async_std::task;
use common::{admin, ask, chat, eventually, json_of, start};
use serde_json::{json, Value};
use sorreldeck::header;
use sorreldeck::wire::Header;
use sorreldeck_emulator::{plain, text, Plain};
use sorreldeck_net::http::{Client, Reply};
use sorreldeck_net::platform::Faults;
use sorreldeckd::standalone::{Sample, KEY};
use std::time::Duration;

async fn apply(sample: &Sample, document: &str) {
    let tree = admin(sample, "GET", "/admin/v1/tree", &[], Value::Null).await;
    let base = Header::new("if-match", &json_of(&tree)["revision"]);
    let change = json!({"document": document});
    let reply = admin(sample, "POST", "/admin/v1/changes", &[base], change).await;
    assert_eq!(reply.status, 200, "{}", reply.text());
}

async fn plain_call(sample: &Sample, method: &str, path: &str, extra: &[Header]) -> Reply {
    let mut headers = vec![Header::new("authorization", format!("Bearer {KEY}"))];
    headers.extend_from_slice(extra);
    let client = Client::default();
    let address = sample.entry.address;
    client
        .call(address, method, path, &headers, b"mason 7".to_vec())
        .await
        .unwrap()
}

fn ran_at_plains(sample: &Sample, key: &str) -> u32 {
    let counts = sample
        .plains
        .iter()
        .map(|p| p.runs().get(key).copied().unwrap_or(0));
    counts.sum()
}

#[test]
fn a_branch_is_migrated_from_the_scripts_step_by_step() {
    task::block_on(async {
        let sample = start("").await;
        let scripts = Plain::new("old scripts", Duration::ZERO)
            .serve()
            .await
            .unwrap();
        let asked = chat("scribe", "who answers");
        for action in ["forward", "observe"] {
            apply(&sample, &format!("[nodes.\"/demo/summaries\"]\nclass = \"priority\"\naction = \"{action}\"\nforward_to = \"{scripts}\"")).await;
            let route = Header::new(header::ROUTE, "summaries");
            let reply = ask(&sample, &asked, &[route]).await;
            assert_eq!(
                json_of(&reply)["service"],
                "old scripts",
                "{}",
                reply.text()
            );
            assert_eq!(json_of(&reply)["path"], "/v1/chat/completions");
            let request = reply.header(header::REQUEST).unwrap().to_owned();
            let path = format!("/admin/v1/explain/{request}");
            let explained = json_of(&admin(&sample, "GET", &path, &[], Value::Null).await);
            let tries = explained["tries"].as_array().unwrap();
            match action {
                "observe" => assert_eq!(tries[0]["version"], "scribe-1"),
                _ => assert!(tries.is_empty()),
            }
        }
        let ours = ask(&sample, &asked, &[]).await;
        assert_eq!(ours.header(header::VERSION), Some("scribe-1"));
        apply(&sample, "[nodes.\"/demo/summaries\"]\nclass = \"priority\"").await;
        let route = Header::new(header::ROUTE, "summaries");
        let reply = ask(&sample, &asked, &[route]).await;
        assert_eq!(reply.header(header::VERSION), Some("scribe-1"));
    });
}

#[test]
fn a_session_keeps_its_version_and_moves_once_when_that_is_withdrawn() {
    task::block_on(async {
        let sample = start("").await;
        let first = ask(&sample, &chat("scribe", "one"), &[]).await;
        assert_eq!(first.header(header::VERSION), Some("scribe-1"));
        let session =
            |reply: &Reply| Header::new(header::SESSION, reply.header(header::SESSION).unwrap());
        apply(&sample, "[models.scribe]\nsplit = { scribe-2 = \"100%\" }").await;
        let fresh = ask(&sample, &chat("scribe", "two"), &[]).await;
        assert_eq!(fresh.header(header::VERSION), Some("scribe-2"));
        let kept = ask(&sample, &chat("scribe", "three"), &[session(&first)]).await;
        assert_eq!(kept.header(header::VERSION), Some("scribe-1"));
        assert_eq!(kept.header(header::SESSION_MOVED), None);
        apply(
            &sample,
            "[versions.scribe-1]\nmodel = \"scribe\"\npool = \"assistant\"\nstate = \"withdrawn\"",
        )
        .await;
        let moved = ask(&sample, &chat("scribe", "four"), &[session(&kept)]).await;
        assert_eq!(
            moved.header(header::VERSION),
            Some("scribe-2"),
            "{}",
            moved.text()
        );
        assert_eq!(moved.header(header::SESSION_MOVED), Some("scribe-1"));
        let stays = ask(&sample, &chat("scribe", "five"), &[session(&moved)]).await;
        assert_eq!(stays.header(header::VERSION), Some("scribe-2"));
        assert_eq!(stays.header(header::SESSION_MOVED), None);
    });
}

#[test]
fn a_session_of_another_account_or_model_is_refused() {
    task::block_on(async {
        let key = sorreldeck::tree::hash_key("other-key");
        let sample = start(&format!(
            "[nodes.\"/other\"]\naccount = \"other\"\nkeys = [\"{key}\"]\nmodels = [\"scribe\"]\nversions = [\"scribe-1\"]"
        ))
        .await;
        let first = ask(&sample, &chat("scribe", "mine"), &[]).await;
        let token = Header::new(header::SESSION, first.header(header::SESSION).unwrap());
        let model = ask(&sample, &chat("mini", "mine"), std::slice::from_ref(&token)).await;
        assert_eq!(json_of(&model)["error"]["code"], "bad_session");
        let headers = [Header::new("authorization", "Bearer other-key"), token];
        let body = chat("scribe", "yours").to_string().into_bytes();
        let path = "/v1/chat/completions";
        let client = Client::default();
        let other = client
            .call(sample.entry.address, "POST", path, &headers, body)
            .await
            .unwrap();
        assert_eq!(json_of(&other)["error"]["code"], "bad_session");
        assert_eq!(json_of(&other)["error"]["verdict"], "not-run");
    });
}

#[test]
fn a_cascade_delivers_one_complete_answer_and_bills_its_steps() {
    task::block_on(async {
        let sample = start("").await;
        let mut asked = chat("thrifty", "which version");
        asked["stream"] = true.into();
        let reply = ask(&sample, &asked, &[]).await;
        assert_eq!(reply.status, 200, "{}", reply.text());
        // The cascade has learned nothing yet, so every request is escalated to the expensive version.
        assert_eq!(reply.header(header::VERSION), Some("scribe-1"));
        let expected = text::answer("scribe-1", "which version", 6);
        assert!(reply.text().contains(&expected), "{}", reply.text());
        assert!(reply.text().ends_with("data: [DONE]\n\n"));
        eventually("both steps are billed", || async {
            let bill = json_of(&admin(&sample, "GET", "/admin/v1/bill", &[], Value::Null).await);
            let lines = bill["lines"].as_array().cloned().unwrap_or_default();
            let versions: Vec<&str> = lines.iter().filter_map(|l| l["version"].as_str()).collect();
            versions == ["mini-1", "scribe-1"] && lines.iter().all(|l| l["requests"] == 1)
        })
        .await;
    });
}

#[test]
fn a_plain_call_is_passed_through_unchanged() {
    task::block_on(async {
        let sample = start("").await;
        let reply = plain_call(&sample, "PUT", "/clock/shift?site=3", &[]).await;
        assert_eq!(
            reply.text(),
            plain::text_of("clock", "PUT", "/shift?site=3", "mason 7")
        );
        assert_eq!(reply.header(header::VERDICT), Some("ran"));
    });
}

#[test]
fn a_call_with_the_same_idempotency_key_runs_once() {
    task::block_on(async {
        let sample = start("").await;
        let headers = [
            Header::new(header::IDEMPOTENCY_KEY, "k1"),
            Header::new(plain::KEY_HEADER, "k1"),
        ];
        let first = plain_call(&sample, "POST", "/clock/in", &headers).await;
        assert_eq!(first.status, 200, "{}", first.text());
        let again = plain_call(&sample, "POST", "/clock/in", &headers).await;
        assert_eq!(json_of(&again)["error"]["code"], "duplicate");
        assert_eq!(json_of(&again)["error"]["verdict"], "may-have-run");
        assert_eq!(ran_at_plains(&sample, "k1"), 1);
    });
}

#[test]
fn without_the_store_keyed_calls_are_refused_as_not_run_and_others_served() {
    task::block_on(async {
        let sample = start("").await;
        sample.memory.set_faults(Faults {
            down: true,
            ..Faults::default()
        });
        let headers = [
            Header::new(header::IDEMPOTENCY_KEY, "k2"),
            Header::new(plain::KEY_HEADER, "k2"),
        ];
        let keyed = plain_call(&sample, "POST", "/clock/in", &headers).await;
        assert_eq!(json_of(&keyed)["error"]["code"], "store_down");
        assert_eq!(json_of(&keyed)["error"]["verdict"], "not-run");
        assert_eq!(ran_at_plains(&sample, "k2"), 0);
        let unkeyed = plain_call(&sample, "POST", "/clock/in", &[]).await;
        assert_eq!(unkeyed.status, 200);
        let reply = ask(&sample, &chat("scribe", "still"), &[]).await;
        assert_eq!(reply.status, 200);
    });
}

#[test]
fn a_claim_whose_acknowledgement_was_lost_still_runs_once() {
    task::block_on(async {
        let sample = start("").await;
        sample.memory.set_faults(Faults {
            lose_answers: 1,
            ..Faults::default()
        });
        let headers = [
            Header::new(header::IDEMPOTENCY_KEY, "k3"),
            Header::new(plain::KEY_HEADER, "k3"),
        ];
        let reply = plain_call(&sample, "POST", "/clock/in", &headers).await;
        assert_eq!(reply.status, 200, "{}", reply.text());
        assert_eq!(ran_at_plains(&sample, "k3"), 1);
    });
}

#[test]
fn a_change_whose_acknowledgement_was_lost_is_resolved() {
    task::block_on(async {
        let sample = start("").await;
        sample.memory.set_faults(Faults {
            lose_answers: 1,
            ..Faults::default()
        });
        apply(
            &sample,
            "[nodes.\"/demo/summaries\"]\nclass = \"priority\"\nweight = 7",
        )
        .await;
        assert_eq!(sample.entry.shared.tree().revision().0, 2);
    });
}

#[test]
fn a_change_during_an_outage_of_the_store_is_refused_and_loses_nothing() {
    task::block_on(async {
        let sample = start("").await;
        sample.memory.set_faults(Faults {
            down: true,
            ..Faults::default()
        });
        let change = json!({"document": "[nodes.\"/demo/summaries\"]\nweight = 7"});
        let base = [Header::new("if-match", 1)];
        let reply = admin(&sample, "POST", "/admin/v1/changes", &base, change).await;
        assert_eq!(reply.status, 503);
        assert_eq!(json_of(&reply)["error"]["code"], "store_down");
        sample.memory.set_faults(Faults::default());
        assert_eq!(sample.entry.shared.tree().revision().0, 1);
    });
}

#[test]
fn a_leaving_sidecar_gets_no_new_requests_and_a_stop_drains() {
    task::block_on(async {
        let sample = start("").await;
        let mut long = chat("scribe", "long");
        long["stream"] = true.into();
        long["max_tokens"] = 60.into();
        let stream = async {
            let reply = ask(&sample, &long, &[]).await;
            assert!(
                reply.text().ends_with("data: [DONE]\n\n"),
                "{}",
                reply.text()
            );
        };
        let stop = async {
            task::sleep(Duration::from_millis(100)).await;
            sample.sidecars[0].stop.start();
            eventually("the entry knows that the upstream leaves", || async {
                let status =
                    json_of(&admin(&sample, "GET", "/admin/v1/status", &[], Value::Null).await);
                let upstreams = status["upstreams"].as_array().cloned().unwrap_or_default();
                let first = upstreams.iter().find(|u| u["upstream"] == "engine-1");
                first.is_none_or(|u| u["leaving"] == true)
            })
            .await;
            let before = sample.engines[0].runs().len();
            for i in 0..10 {
                let reply = ask(&sample, &chat("scribe", &format!("after {i}")), &[]).await;
                assert_eq!(
                    reply.header(header::UPSTREAM),
                    Some("engine-2"),
                    "{}",
                    reply.text()
                );
            }
            assert_eq!(sample.engines[0].runs().len(), before);
        };
        futures_lite::future::zip(stream, stop).await;
        sample.entry.stop.start();
        sample.entry.stop.ended().await;
    });
}

#[test]
fn metrics_have_histograms_by_account_and_class() {
    task::block_on(async {
        let sample = start("").await;
        ask(
            &sample,
            &chat("scribe", "count me"),
            &[Header::new(header::ROUTE, "summaries")],
        )
        .await;
        let client = Client::default();
        let text = client
            .get(sample.entry.address, "/metrics")
            .await
            .unwrap()
            .text();
        let line = "sorreldeck_first_token_seconds_count{account=\"demo\",class=\"priority\"} 1";
        assert!(text.contains(line), "{text}");
        assert!(
            text.contains("sorreldeck_promise_violated{promise=\"not_run\"} 0"),
            "{text}"
        );
    });
}
