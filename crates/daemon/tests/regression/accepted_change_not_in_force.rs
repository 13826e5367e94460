//! Guards against a change that is accepted before the entry applies it: an operator added by the
//! change was unknown to the next call.

use crate::common::{admin, start};
use serde_json::json;
use sorreldeck::wire::Header;

#[test]
fn an_accepted_change_is_applied_before_the_next_call() {
    async_std::task::block_on(async {
        let sample = start("").await;
        for revision in 1..40 {
            let document = format!("[nodes.\"/demo/summaries\"]\nweight = {}", revision + 1);
            let base = Header::new("if-match", revision);
            let change = json!({"document": document});
            let reply = admin(&sample, "POST", "/admin/v1/changes", &[base], change).await;
            assert_eq!(reply.status, 200, "{}", reply.text());
            assert_eq!(sample.entry.shared.tree().revision().0, revision + 1);
        }
    });
}
