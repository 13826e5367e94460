//! The store comes back from a copy, and versions that it gave out are given out again.

use super::*;
use test_case::test_case;

/// Within which time what the store confirmed must be in force.
const BOUND: Duration = Duration::from_millis(2_000);
/// The most calls of one entry in that time: four tables, each twice in 0.6 s.
const MOST_CALLS: u64 = 30;
/// The changes that the store loses.
const LOST: usize = 6;

/// Returns a stand whose store has lost its latest changes and is back.
async fn restored() -> Stand {
    let stand = Stand::start().await;
    task::sleep(Duration::from_millis(300)).await;
    stand.store.copy();
    for lost in 0..LOST {
        stand.store.put("op", "other", &json!(lost));
        announce(&stand.store, &stand.runners[1], "clock", "ready");
    }
    task::sleep(Duration::from_millis(700)).await;
    stand.store.set(Mood::Reset);
    task::sleep(Duration::from_millis(400)).await;
    stand.store.restore();
    stand.store.set(Mood::Well);
    task::sleep(Duration::from_millis(1_000)).await;
    stand
}

#[test]
fn a_configuration_that_follows_a_restore_is_in_force_in_time() {
    task::block_on(async {
        let stand = restored().await;
        stand.add_route(4, "added");
        task::sleep(BOUND).await;
        assert_eq!(status(&stand.call("/added/body").await), 200);
    });
}

#[test]
fn an_upstream_that_leaves_after_a_restore_gets_nothing_new() {
    task::block_on(async {
        let stand = restored().await;
        announce(&stand.store, &stand.runners[0], "clock", "draining");
        task::sleep(BOUND).await;
        assert_eq!(stand.reaching(0, 8).await, 0, "a leaving upstream is asked");
    });
}

/// Nobody but entries writes these rows.
#[test]
fn records_that_the_store_lost_are_written_again() {
    task::block_on(async {
        let stand = Stand::start().await;
        stand.store.copy();
        let order = json!({"service": "engines", "target-version": "v2", "duration-s": 60});
        stand.store.put("op", "rollout/engines", &order);
        eventually("the move is recorded", || async {
            stand.store.get("status", "rollout/engines").is_some()
        })
        .await;
        task::sleep(Duration::from_millis(300)).await;
        stand.store.restore();
        assert!(stand.store.get("status", "rollout/engines").is_none());
        stand.store.put("op", "rollout/engines", &order);
        task::sleep(BOUND).await;
        let record = stand.store.get("status", "rollout/engines");
        assert_eq!(record.unwrap()["state"], "running");
        let began = stand.store.get("sorreldeck", "rollout/engines");
        assert!(began.is_some());
    });
}

/// Each row: what the store writes for its era, in turn. It loses nothing.
#[test_case(&[""]; "nothing")]
#[test_case(&["first", "second"]; "text")]
#[test_case(&["18446744073709551616"]; "a huge number")]
#[test_case(&["-1", "1.5", " 7 "]; "other numbers")]
#[test_case(&["9", "8", "7", "6", "5", "4", "3", "2", "1"]; "one that falls")]
#[test_case(&["1", "2"]; "another one in each answer")]
fn eras_that_say_nothing_stop_no_entry(eras: &'static [&'static str]) {
    task::block_on(async {
        let stand = Stand::start().await;
        stand.store.tell_eras(eras);
        task::sleep(Duration::from_millis(1_500)).await;
        let before = stand.store.calls();
        stand.add_route(4, "added");
        task::sleep(BOUND).await;
        assert_eq!(status(&stand.call("/added/body").await), 200);
        let calls = stand.store.calls() - before;
        assert!(calls < MOST_CALLS, "{calls} calls");
    });
}

/// Reads from the first on are told that the history is gone, each time.
#[test]
fn a_store_that_forgets_again_and_again_is_asked_with_pauses() {
    task::block_on(async {
        let stand = Stand::start().await;
        stand.store.set(Mood::Forgetful);
        task::sleep(Duration::from_millis(1_500)).await;
        let before = stand.store.calls();
        task::sleep(BOUND).await;
        let calls = stand.store.calls() - before;
        assert!(calls < MOST_CALLS, "{calls} calls");
        assert_eq!(status(&stand.call("/once/body").await), 200);
    });
}

/// Each row: how many milliseconds after a change the store falls silent, and for how many. Connections
/// stay silent.
#[test_case(200, 100; "a wait has just begun")]
#[test_case(500, 900; "one wait")]
#[test_case(500, 2_700; "several calls")]
fn what_is_confirmed_as_the_store_returns_is_in_force_in_time(after: u64, ms: u64) {
    task::block_on(async {
        let stand = Stand::start().await;
        task::sleep(Duration::from_millis(1_000)).await;
        stand.store.copy();
        stand.store.put("op", "other", &json!(1));
        task::sleep(Duration::from_millis(after)).await;
        stand.store.set(Mood::Silent);
        stand.store.silence_connections();
        task::sleep(Duration::from_millis(ms)).await;
        stand.store.restore();
        stand.store.set(Mood::Well);
        stand.add_route(4, "added");
        announce(&stand.store, &stand.runners[0], "clock", "draining");
        task::sleep(BOUND).await;
        assert_eq!(status(&stand.call("/added/body").await), 200);
        assert_eq!(stand.reaching(0, 8).await, 0, "a leaving upstream is asked");
    });
}
