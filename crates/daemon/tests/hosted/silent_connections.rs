//! Open connections to the store go silent for good, without a reset, while new ones work.
//!
//! What users would see: an upstream that leaves gets requests later than the bound after the
//! store has acknowledged that.
//!
//! A call that was given up on such a connection was followed by a wait for changes, so that
//! what had changed was known only after the entry was held to it again. Found on reading.
//!
//! Order of events where the upstream leaves without a word: the connections go silent; its row
//! goes 1 s later; the call for the operator's table is given up; the next one, over a new
//! connection, is answered at once, and the row is found to be gone. Cause: the one call that
//! was given up was taken for a store out of reach, so that the row was held for a lapsed lease
//! for 1.8 s more. Evidence: 4 of 8 calls reached the upstream 2 s after its row was gone, in
//! each of 3 runs; the entry's lines tell of one `store-lost` of that table, `store-regained` 150 ms
//! later, and `retired` with `from=lapsed` 1.8 s after that.

use super::*;
use test_case::test_case;

/// How long after an impairment an entry is held to all bounds again.
const HELD_AFTER: Duration = Duration::from_millis(3_000);
/// When an upstream leaves whose bound ends just then.
const LEAVES_AFTER: Duration = Duration::from_millis(1_000);

/// How an upstream leaves.
#[derive(Clone, Copy, Debug)]
enum Leaving {
    /// Its row says so.
    Told,
    /// Its row is gone without a word.
    Gone,
}

#[test_case(Leaving::Told; "it says so")]
#[test_case(Leaving::Gone; "without a word")]
fn what_changes_beside_silent_connections_is_known_in_time(leaving: Leaving) {
    task::block_on(async {
        let stand = Stand::start().await;
        // Calls begin one after another, so that none is about to end.
        task::sleep(Duration::from_millis(300)).await;
        let began = Instant::now();
        stand.store.silence_connections();
        task::sleep(LEAVES_AFTER).await;
        let runner = &stand.runners[0];
        match leaving {
            Leaving::Told => announce(&stand.store, runner, "clock", "draining"),
            Leaving::Gone => stand.store.drop_row("servers", &runner.id),
        }
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
