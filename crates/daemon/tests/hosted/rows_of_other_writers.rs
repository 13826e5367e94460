//! Rows that other writers put among those of upstreams.

use super::*;

/// Found on reading: one value that was no base64 failed the page that it came in, so that all
/// other rows of it were unknown, and the page was asked for again and again.
#[test]
fn rows_of_other_writers_name_nobody_and_hide_nobody() {
    task::block_on(async {
        let stand = Stand::start().await;
        stand.store.put_text("servers", "i-8", "no base64");
        stand.store.put_text("servers", "i-7", "");
        let row = json!({"service": "clock", "address": "127.0.0.1:9", "zone": "a"});
        stand.store.put("servers", "a b\nc", &row);
        for id in ["i-5", "i-6"] {
            let row = json!({"service": "clock", "address": "127.0.0.1:9", "zone": "a",
                "version": "v1", "slots": 8, "state": "retired", "cold-left-ms": 0, "sequence": 1});
            stand.store.put("servers", id, &row);
        }
        let runner = Runner::start("i-9", &Refused::default()).await;
        announce(&stand.store, &runner, "clock", "ready");
        eventually("who comes after them is asked", || async {
            stand.call("/once/body").await;
            !runner.seen().is_empty()
        })
        .await;
        for _ in 0..20 {
            assert_eq!(status(&stand.call("/once/body").await), 200);
        }
        let before = stand.store.calls();
        task::sleep(Duration::from_millis(1_000)).await;
        let calls = stand.store.calls() - before;
        assert!(calls < 10, "{calls} calls in a second");
    });
}

/// An upstream whose row is somebody else's now is left as one whose row is gone.
#[test]
fn an_upstream_whose_row_is_spoilt_gets_nothing_new() {
    task::block_on(async {
        let stand = Stand::start().await;
        stand.store.put_text("servers", "i-1", "!");
        task::sleep(Duration::from_millis(1_200)).await;
        assert_eq!(stand.reaching(0, 8).await, 0);
    });
}
