//! Guards against slow starts while the store does not answer and other entries have its tables.
//!
//! Entries took 1.6 to 3.2 s to become ready: the first call of the store hung for 1.5 s and the
//! next one as long before another entry was asked for the tables. A data hall whose entries are
//! restarted one by one during an outage then has too few entries that accept callers.

use super::*;

/// Time within which the entry must be ready. It asks other entries after 0.3 s, and one of them may
/// not answer.
const READY_WITHIN: Duration = Duration::from_millis(1_000);

#[test]
fn an_entry_that_starts_while_the_store_does_not_answer_is_ready_at_once() {
    task::block_on(async {
        let harness = Harness::start().await;
        harness.store.set_behavior(Behavior::Silent);
        let began = Instant::now();
        let seeds = [harness.entry.links.unwrap()];
        let entry = start_entry(&harness.store, "front-2", &seeds).await;
        until_ready(&entry).await;
        let took = began.elapsed();
        assert!(took <= READY_WITHIN, "{took:?}");
    });
}
