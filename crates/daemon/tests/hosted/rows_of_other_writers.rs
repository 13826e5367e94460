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
