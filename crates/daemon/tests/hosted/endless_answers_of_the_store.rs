//! Guards against a store that sends without end and fills the memory of its entries.

use super::*;

/// What an entry may take of one answer, with what the sockets of a loopback connection hold.
const MOST: usize = 24 << 20;
/// How long the store sends without end.
const LASTS: Duration = Duration::from_secs(4);

#[test]
fn an_entry_takes_a_bounded_part_and_follows_afterwards() {
    task::block_on(async {
        let harness = Harness::start().await;
        harness.store.set_behavior(Behavior::Endless);
        harness.store.stall_connections();
        let began = Instant::now();
        while began.elapsed() < LASTS {
            assert_eq!(status(&harness.call("/once/body").await), 200);
            task::sleep(Duration::from_millis(20)).await;
        }
        let sent = harness.store.most_sent();
        assert!(sent > 0, "the store was called");
        assert!(sent < MOST, "{sent} bytes were read of one answer");
        harness.store.set_behavior(Behavior::Normal);
        harness.add_route(4, "added");
        eventually("the entry follows", || async {
            status(&harness.call("/added/body").await) == 200
        })
        .await;
    });
}
