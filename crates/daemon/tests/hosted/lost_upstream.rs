//! The error body distinguishes a run that its upstream broke off from one whose upstream crashed.

use super::*;
use test_case::test_case;

#[test_case("/once/close", "upstream_failed"; "the upstream keeps running")]
#[test_case("/once/crash", "upstream_lost"; "the upstream crashed")]
fn the_error_tells_whether_the_upstream_is_lost(path: &str, reason: &str) {
    task::block_on(async {
        let harness = Harness::start().await;
        let answer = harness.call(path).await;
        assert_eq!(status(&answer), 502, "{answer}");
        assert!(answer.ends_with(&format!("{reason}\n")), "{answer}");
    });
}
