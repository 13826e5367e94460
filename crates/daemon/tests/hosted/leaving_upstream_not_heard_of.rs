//! Guards against requests to an upstream seconds after it announced that it leaves.
//!
//! The store lost its history, so each entry read all tables whole and waited for changes from
//! there. Waits that began before the store had completed this reported no change until their own
//! end, which is 20 s for the upstreams' table, and no call failed; waits that began 12 ms later
//! reported every change. The wait for the operator's table ends after at most 2.5 s, so answers
//! kept arriving, and the entry took all of its tables for equally current. An upstream left 7 s
//! later; the entries learned of it only when their waits ended.

use super::*;

/// Time within which a leaving upstream must get no more requests.
const BOUND: Duration = Duration::from_millis(2_000);
/// Time for which new waits report no changes.
const IGNORED_FOR: Duration = Duration::from_millis(300);

#[test]
fn an_upstream_that_leaves_after_the_history_was_lost_gets_no_new_requests() {
    task::block_on(async {
        let harness = Harness::start().await;
        harness.store.lose_history_and_ignore_waits();
        task::sleep(IGNORED_FOR).await;
        harness.store.answer_waits();
        announce(&harness.store, &harness.upstreams[0], "clock", "draining");
        task::sleep(BOUND).await;
        assert_eq!(
            harness.count_reaching(0, 8).await,
            0,
            "a leaving upstream is asked"
        );
    });
}
