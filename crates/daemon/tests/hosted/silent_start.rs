//! An entry starts while the store is silent; others have its tables.
//!
//! What users would see: a data hall whose entries are stopped and started in turn beside an outage
//! has too few that take callers. Entries took 1.6 to 3.2 s to be ready: the first call hung for
//! 1.5 s, and the next one as long, before any other entry was asked.

use super::*;

/// How soon the entry must take callers: it asks others after 0.3 s, and one may be asked in vain.
const READY_WITHIN: Duration = Duration::from_millis(1_000);

#[test]
fn an_entry_that_starts_beside_a_silent_store_is_ready_at_once() {
    task::block_on(async {
        let stand = Stand::start().await;
        stand.store.set(Mood::Silent);
        let began = Instant::now();
        let seeds = [stand.entry.links.unwrap()];
        let entry = start_entry(&stand.store, "front-2", &seeds).await;
        until_ready(&entry).await;
        let took = began.elapsed();
        assert!(took <= READY_WITHIN, "{took:?}");
    });
}
