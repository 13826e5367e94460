//! Callers' requests reached an upstream seconds after it had said that it leaves.
//!
//! The store forgot its history. Each entry was told so, read all tables whole and waited
//! for changes from there. Waits that began while the store was not through with this
//! heard nothing until their own end, which is 20 s for the upstreams' table. The wait for
//! the operator's table ends after 2.5 s at most, so answers came all the time, and the
//! entry took what it knew of all tables for as new as these. An upstream left 7 s later;
//! the entries learned of it at the end of their waits and sent requests there until then.
//!
//! Evidence: 20 s without an answer for the upstreams' table, and no failed call, in the
//! lines of all entries that sent such requests; a wait of another entry that began 12 ms
//! later heard every change.

use super::*;

/// Within which time an upstream that leaves must get nothing more.
const BOUND: Duration = Duration::from_millis(2_000);
/// How long the store goes on forgetting.
const DEAF: Duration = Duration::from_millis(300);

#[test]
fn an_upstream_that_leaves_after_the_history_was_forgotten_gets_nothing_new() {
    task::block_on(async {
        let stand = Stand::start().await;
        stand.store.forget_and_go_deaf();
        task::sleep(DEAF).await;
        stand.store.hear_again();
        announce(&stand.store, &stand.runners[0], "clock", "draining");
        task::sleep(BOUND).await;
        assert_eq!(stand.reaching(0, 8).await, 0, "a leaving upstream is asked");
    });
}
