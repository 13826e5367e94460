//! A run that an upstream cuts off is told from one that goes down with its upstream.

use super::*;
use test_case::test_case;

#[test_case("/once/close", "upstream_failed"; "the upstream goes on")]
#[test_case("/once/crash", "upstream_lost"; "the upstream is gone")]
fn a_run_that_broke_tells_whether_its_upstream_is_gone(path: &str, reason: &str) {
    task::block_on(async {
        let stand = Stand::start().await;
        let answer = stand.call(path).await;
        assert_eq!(status(&answer), 502, "{answer}");
        assert!(answer.ends_with(&format!("{reason}\n")), "{answer}");
    });
}
