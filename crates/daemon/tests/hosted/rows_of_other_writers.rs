//! Rows that other writers add to the table of upstreams.

use super::*;
use test_case::test_case;

/// Guards against a malformed value that fails a whole page: a value that was not base64 made all
/// other rows of its page unknown, and the page was requested again and again.
#[test]
fn malformed_rows_add_no_upstream_and_hide_none() {
    task::block_on(async {
        let harness = Harness::start().await;
        harness.store.put_text("servers", "i-8", "no base64");
        harness.store.put_text("servers", "i-7", "");
        let row = json!({"service": "clock", "address": "127.0.0.1:9", "zone": "a"});
        harness.store.put("servers", "a b\nc", &row);
        for id in ["i-5", "i-6"] {
            let row = registration("127.0.0.1:9", "clock", "retired");
            harness.store.put("servers", id, &row);
        }
        let upstream = Upstream::start("i-9", &Refused::default()).await;
        announce(&harness.store, &upstream, "clock", "ready");
        eventually(
            "the upstream that joins after them gets requests",
            || async {
                harness.call("/once/body").await;
                !upstream.seen().is_empty()
            },
        )
        .await;
        for _ in 0..20 {
            assert_eq!(status(&harness.call("/once/body").await), 200);
        }
        let before = harness.store.calls();
        task::sleep(Duration::from_millis(1_000)).await;
        let calls = harness.store.calls() - before;
        assert!(calls < 10, "{calls} calls in a second");
    });
}

/// A JSON value in more levels than a parser may enter.
fn nested(levels: usize) -> &'static str {
    let text = format!("{}1{}", "[".repeat(levels), "]".repeat(levels));
    text.leak()
}

fn row_with(field: &str, value: &str) -> String {
    let mut row = registration("127.0.0.1:9", "clock", "ready");
    row[field] = json!("PLACE");
    row.to_string().replace("\"PLACE\"", value)
}

/// Guards against one odd row that ends the entries or keeps them from following the others.
#[test_case("slots", "1e999"; "a number too large")]
#[test_case("sequence", "99999999999999999999999999"; "a count too large")]
#[test_case("cold-left-ms", "-1e308"; "a span below zero")]
#[test_case("address", "\"127.0.0.1:70000\""; "a port out of range")]
#[test_case("address", "\"127.0.0.1:-1\""; "a port below zero")]
#[test_case("address", "\"127.0.0.1:0\""; "no port")]
#[test_case("zone", nested(100_000); "a field in a hundred thousand levels")]
#[test_case("other", nested(100_000); "an unknown field in a hundred thousand levels")]
fn an_odd_row_ends_no_entry_and_hides_no_other(field: &str, value: &str) {
    task::block_on(async {
        let harness = Harness::start().await;
        let odd = base64::Engine::encode(
            &base64::engine::general_purpose::STANDARD,
            row_with(field, value),
        );
        harness.store.put_text("servers", "i-8", &odd);
        check_followed(&harness).await;
        // An entry that starts reads the whole table.
        let other = start_entry(&harness.store, "front-2", &[]).await;
        until_ready(&other).await;
        let answer = ask(other.callers, &request("/look/body", "")).await;
        assert_eq!(status(&answer), 200, "{answer}");
    });
}

/// The same where the value itself is no text.
#[test_case("1e999"; "a number too large")]
#[test_case("null"; "nothing")]
#[test_case(nested(10_000); "ten thousand levels")]
fn a_value_that_is_no_text_hides_no_other_row(value: &'static str) {
    task::block_on(async {
        let harness = Harness::start().await;
        harness.store.put_raw("servers", "i-8", value);
        check_followed(&harness).await;
    });
}

/// Fails unless an upstream that joins now gets requests.
async fn check_followed(harness: &Harness) {
    let upstream = Upstream::start("i-9", &Refused::default()).await;
    announce(&harness.store, &upstream, "clock", "ready");
    eventually("an upstream that joins gets requests", || async {
        // The odd row may name a port that refuses all connections.
        harness.call("/look/body").await;
        !upstream.seen().is_empty()
    })
    .await;
}

/// Guards against a sound upstream that is ignored since its id is spelt unlike our own names.
#[test_case("3F2504E0-4F89-11D3-9A0C-0305E82C3301"; "upper case")]
#[test_case(&"i".repeat(128); "of 128 bytes")]
#[test_case(&"i".repeat(200); "of 200 bytes")]
#[test_case("a/b"; "with a slash")]
#[test_case("v1+2"; "with a plus sign")]
#[test_case("m\u{e9}"; "beyond ascii")]
#[test_case("i 9"; "with a blank")]
#[test_case("a\"b\\c%2F?&#"; "with quotes and signs of an address")]
fn an_upstream_of_any_name_gets_requests_until_it_goes(id: &str) {
    task::block_on(async {
        let harness = Harness::start().await;
        let upstream = Upstream::start(id, &Refused::default()).await;
        announce(&harness.store, &upstream, "clock", "ready");
        eventually("it gets requests", || async {
            assert_eq!(status(&harness.call("/once/body").await), 200);
            !upstream.seen().is_empty()
        })
        .await;
        let head = &upstream.seen()[0].head;
        assert_eq!(store::header(head, "expect-instance"), Some(id));
        harness.store.drop_row("servers", id);
        task::sleep(Duration::from_millis(1_200)).await;
        let before = upstream.seen().len();
        for _ in 0..12 {
            assert_eq!(status(&harness.call("/once/body").await), 200);
        }
        assert_eq!(upstream.seen().len(), before, "its row has gone");
    });
}

/// An upstream whose row was overwritten is retired like one whose row was removed.
#[test]
fn an_upstream_whose_row_is_overwritten_gets_no_new_requests() {
    task::block_on(async {
        let harness = Harness::start().await;
        harness.store.put_text("servers", "i-1", "!");
        task::sleep(Duration::from_millis(1_200)).await;
        assert_eq!(harness.count_reaching(0, 8).await, 0);
    });
}

#[test]
fn status_and_metrics_show_what_is_not_understood() {
    task::block_on(async {
        let harness = Harness::start().await;
        let mut bad = config(4, &[]);
        bad["routes"][0]["timeout-ms"] = json!(-1);
        bad["tenants"][0]["api-keys"] = json!([KEY, 7]);
        harness.store.put("op", "config", &bad);
        harness.store.put_text("servers", "i-8", "no base64");
        let address = harness.entry.metrics.unwrap();
        let client = sorreldeck_net::http::Client::default();
        let show = |path: &'static str| {
            let client = client.clone();
            async move { client.get(address, path).await.unwrap().text() }
        };
        eventually("the status shows the row", || async {
            show("/admin/v1/status").await.contains("i-8")
        })
        .await;
        let text = show("/admin/v1/status").await;
        let status: Value = serde_json::from_str(&text).unwrap();
        assert_eq!(status["revision"], 4);
        assert_eq!(status["asks_keys"], true);
        let configuration = &status["issues"]["configuration"];
        assert_eq!(configuration["not_understood"], 2);
        let places: Vec<&Value> = configuration["first"]
            .as_array()
            .unwrap()
            .iter()
            .map(|issue| &issue["place"])
            .collect();
        assert_eq!(places, ["routes[0].timeout-ms", "tenants[0].api-keys[1]"]);
        assert!(!text.contains(KEY), "a key is shown: {text}");
        let metrics = show("/metrics").await;
        assert!(
            metrics.contains("sorreldeck_configuration_not_understood 2"),
            "{metrics}"
        );
    });
}
