//! Rows that other writers add to the table of upstreams.

use super::*;

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
            let row = json!({"service": "clock", "address": "127.0.0.1:9", "zone": "a",
                "version": "v1", "slots": 8, "state": "retired", "cold-left-ms": 0, "sequence": 1});
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
