//! The store is restored from a backup and issues versions again that it issued before the loss.

use super::*;
use test_case::test_case;

/// Time within which a change that the store confirmed must be applied.
const BOUND: Duration = Duration::from_millis(2_000);
/// Maximum number of calls of one entry in that time: four tables, each twice in 0.6 s.
const MOST_CALLS: u64 = 30;
/// Number of change pairs that the store loses.
const LOST: usize = 6;

/// Returns a harness whose store has lost its latest changes and answers again.
async fn restored() -> Harness {
    let harness = Harness::start().await;
    task::sleep(Duration::from_millis(300)).await;
    harness.store.copy();
    for lost in 0..LOST {
        harness.store.put("op", "other", &json!(lost));
        announce(&harness.store, &harness.upstreams[1], "clock", "ready");
    }
    task::sleep(Duration::from_millis(700)).await;
    harness.store.set_behavior(Behavior::Reset);
    task::sleep(Duration::from_millis(400)).await;
    harness.store.restore();
    harness.store.set_behavior(Behavior::Normal);
    task::sleep(Duration::from_millis(1_000)).await;
    harness
}

#[test]
fn a_configuration_written_after_a_restore_is_applied_in_time() {
    task::block_on(async {
        let harness = restored().await;
        harness.add_route(4, "added");
        task::sleep(BOUND).await;
        assert_eq!(status(&harness.call("/added/body").await), 200);
    });
}

#[test]
fn an_upstream_that_leaves_after_a_restore_gets_no_new_requests() {
    task::block_on(async {
        let harness = restored().await;
        announce(&harness.store, &harness.upstreams[0], "clock", "draining");
        task::sleep(BOUND).await;
        assert_eq!(
            harness.count_reaching(0, 8).await,
            0,
            "a leaving upstream is asked"
        );
    });
}

/// Only entries write these rows, so they must write lost ones again.
#[test]
fn records_that_the_store_lost_are_written_again() {
    task::block_on(async {
        let harness = Harness::start().await;
        harness.store.copy();
        let order = json!({"service": "engines", "target-version": "v2", "duration-s": 60});
        harness.store.put("op", "rollout/engines", &order);
        eventually("the roll-out is recorded", || async {
            harness.store.get("status", "rollout/engines").is_some()
        })
        .await;
        task::sleep(Duration::from_millis(300)).await;
        harness.store.restore();
        assert!(harness.store.get("status", "rollout/engines").is_none());
        harness.store.put("op", "rollout/engines", &order);
        task::sleep(BOUND).await;
        let record = harness.store.get("status", "rollout/engines");
        assert_eq!(record.unwrap()["state"], "running");
        let began = harness.store.get("sorreldeck", "rollout/engines");
        assert!(began.is_some());
    });
}

/// Each row: the values that the store reports as its era, in turn. The store loses nothing.
#[test_case(&[""]; "nothing")]
#[test_case(&["first", "second"]; "text")]
#[test_case(&["18446744073709551616"]; "a huge number")]
#[test_case(&["-1", "1.5", " 7 "]; "other numbers")]
#[test_case(&["9", "8", "7", "6", "5", "4", "3", "2", "1"]; "a decreasing one")]
#[test_case(&["1", "2"]; "another one in each answer")]
fn meaningless_eras_delay_no_change(eras: &'static [&'static str]) {
    task::block_on(async {
        let harness = Harness::start().await;
        harness.store.report_eras(eras);
        task::sleep(Duration::from_millis(1_500)).await;
        let before = harness.store.calls();
        harness.add_route(4, "added");
        task::sleep(BOUND).await;
        assert_eq!(status(&harness.call("/added/body").await), 200);
        let calls = harness.store.calls() - before;
        assert!(calls < MOST_CALLS, "{calls} calls");
    });
}

/// Every read, including the first one, is answered with 410 (history lost).
#[test]
fn a_store_that_always_reports_a_lost_history_is_called_with_pauses() {
    task::block_on(async {
        let harness = Harness::start().await;
        harness.store.set_behavior(Behavior::HistoryLost);
        task::sleep(Duration::from_millis(1_500)).await;
        let before = harness.store.calls();
        task::sleep(BOUND).await;
        let calls = harness.store.calls() - before;
        assert!(calls < MOST_CALLS, "{calls} calls");
        assert_eq!(status(&harness.call("/once/body").await), 200);
    });
}

/// Each row: the milliseconds between a change and the moment when the store stops answering, and the
/// duration of that outage. Connections that were open deliver nothing afterwards.
#[test_case(200, 100; "a wait has just begun")]
#[test_case(500, 900; "one wait")]
#[test_case(500, 2_700; "several calls")]
fn changes_confirmed_right_after_a_restore_are_applied_in_time(after: u64, ms: u64) {
    task::block_on(async {
        let harness = Harness::start().await;
        task::sleep(Duration::from_millis(1_000)).await;
        harness.store.copy();
        harness.store.put("op", "other", &json!(1));
        task::sleep(Duration::from_millis(after)).await;
        harness.store.set_behavior(Behavior::Silent);
        harness.store.stall_connections();
        task::sleep(Duration::from_millis(ms)).await;
        harness.store.restore();
        harness.store.set_behavior(Behavior::Normal);
        harness.add_route(4, "added");
        announce(&harness.store, &harness.upstreams[0], "clock", "draining");
        task::sleep(BOUND).await;
        assert_eq!(status(&harness.call("/added/body").await), 200);
        assert_eq!(
            harness.count_reaching(0, 8).await,
            0,
            "a leaving upstream is asked"
        );
    });
}
