//! Open connections to the store stop delivering for good, without a reset, while new ones work. A
//! leaving upstream must still get no requests after the bound.
//!
//! Guards against two faults. After a call had timed out on such a connection the entry waited for
//! changes before it read, so that it learned of the changes after the bound. And one call that
//! timed out was taken for an outage of the store: an upstream leaves without a notice, its row is
//! removed 1 s after the connections stopped, the call for the operator's table times out, the next
//! call on a new connection is answered, and the removal was taken for an expired lease and delayed
//! by 1.8 s. Then 4 of 8 calls reached the upstream 2 s after the removal of its row. The log
//! has one `store-lost` of that table, `store-regained` 150 ms later, and `retired` with
//! `from=lapsed` 1.8 s after that.

use super::*;
use test_case::test_case;

/// Time after a fault from which all bounds apply to an entry again.
const HELD_AFTER: Duration = Duration::from_millis(3_000);
/// Time after the fault at which the upstream leaves; its bound ends at `HELD_AFTER`.
const LEAVES_AFTER: Duration = Duration::from_millis(1_000);

/// How an upstream leaves.
#[derive(Clone, Copy, Debug)]
enum Leaving {
    /// Its row has the state `draining`.
    Announced,
    /// Its row is removed without a notice.
    Removed,
}

#[test_case(Leaving::Announced; "with a notice")]
#[test_case(Leaving::Removed; "without a notice")]
fn changes_are_known_in_time_although_connections_stopped_delivering(leaving: Leaving) {
    task::block_on(async {
        let harness = Harness::start().await;
        // Lets the calls of the start complete, so that none is about to end.
        task::sleep(Duration::from_millis(300)).await;
        let began = Instant::now();
        harness.store.stall_connections();
        task::sleep(LEAVES_AFTER).await;
        let upstream = &harness.upstreams[0];
        match leaving {
            Leaving::Announced => announce(&harness.store, upstream, "clock", "draining"),
            Leaving::Removed => harness.store.drop_row("servers", &upstream.id),
        }
        task::sleep(HELD_AFTER.saturating_sub(began.elapsed())).await;
        assert_eq!(
            harness.count_reaching(0, 8).await,
            0,
            "a leaving upstream is asked"
        );
    });
}

/// After a failed call the entry reads without waiting for changes; a wait would add its time to that
/// of the call that hung.
#[test]
fn a_store_that_did_not_answer_is_read_without_a_wait() {
    task::block_on(async {
        let harness = Harness::start().await;
        let waits = || harness.store.waits().last().is_some_and(|wait| *wait > 0);
        eventually("changes are waited for", || async { waits() }).await;
        harness.store.set_behavior(Behavior::Busy);
        eventually("the store is read without a wait", || async { !waits() }).await;
    });
}
