//! Open connections to the store go silent for good, without a reset, while new ones work.
//!
//! Found on reading, not reported: a call that was given up on such a connection was followed
//! by a wait for changes, so that what had changed was known only after the entry was held to
//! it again.

use super::*;

/// How long after an impairment an entry is held to all bounds again.
const HELD_AFTER: Duration = Duration::from_millis(3_000);
/// When an upstream leaves whose bound ends just then.
const LEAVES_AFTER: Duration = Duration::from_millis(1_000);

#[test]
fn what_changes_beside_silent_connections_is_known_in_time() {
    task::block_on(async {
        let stand = Stand::start().await;
        // Calls begin one after another, so that none is about to end.
        task::sleep(Duration::from_millis(300)).await;
        let began = Instant::now();
        stand.store.silence_connections();
        task::sleep(LEAVES_AFTER).await;
        announce(&stand.store, &stand.runners[0], "clock", "draining");
        task::sleep(HELD_AFTER.saturating_sub(began.elapsed())).await;
        assert_eq!(stand.reaching(0, 8).await, 0, "a leaving upstream is asked");
    });
}

/// A wait after a failure would add its time to that of the call that hung.
#[test]
fn a_store_that_did_not_answer_is_asked_without_a_wait() {
    task::block_on(async {
        let stand = Stand::start().await;
        let waits = || stand.store.waits().last().is_some_and(|wait| *wait > 0);
        eventually("changes are waited for", || async { waits() }).await;
        stand.store.set(Mood::Busy);
        eventually("the store is asked at once", || async { !waits() }).await;
    });
}
