//! Starts of an upstream under one name whose start times do not tell their order.

use super::*;
use test_case::test_case;

/// Time within which a leaving upstream must get no more requests.
const BOUND: Duration = Duration::from_millis(2_000);

/// Writes the row of an upstream that starts at a time of its clock, if it tells one.
fn write_row(store: &Store, upstream: &Upstream, state: &str, born: Option<u64>, sequence: u64) {
    let mut row = registration(&upstream.address.to_string(), "clock", state);
    row["sequence"] = sequence.into();
    if let Some(born) = born {
        row["born"] = born.into();
    }
    store.put("servers", &upstream.id, &row);
}

/// Makes calls at an entry; returns how many of them an upstream got.
async fn count_at(entry: &Running, upstream: &Upstream) -> usize {
    let before = upstream.seen().len();
    for _ in 0..12 {
        ask(entry.callers, &request("/once/body", "")).await;
    }
    upstream.seen().len() - before
}

const NOW_MS: u64 = 1_764_726_566_123;

/// Each row: when an upstream started first and again, and whether its address is another one then.
#[test_case(Some(NOW_MS), Some(NOW_MS + 1_500), false; "its clock is right")]
#[test_case(Some(NOW_MS + 2_000), Some(NOW_MS + 1_500), false; "its clock was set back")]
#[test_case(Some(NOW_MS + 2_000), Some(NOW_MS + 1_500), true; "set back, at another address")]
#[test_case(Some(NOW_MS), Some(NOW_MS), true; "the same time, at another address")]
#[test_case(Some(NOW_MS), Some(NOW_MS + 86_400_000), false; "its clock is a day ahead")]
#[test_case(Some(NOW_MS), None, true; "no time, at another address")]
fn requests_went_on_to_a_draining_upstream_whose_clock_was_set_back(
    first: Option<u64>,
    second: Option<u64>,
    moves: bool,
) {
    task::block_on(async {
        let harness = Harness::start().await;
        let store = &harness.store;
        let former = Upstream::start("i-9", &Refused::default()).await;
        write_row(store, &former, "ready", first, 1);
        eventually("the first start gets requests", || async {
            count_at(&harness.entry, &former).await > 0
        })
        .await;
        let again = match moves {
            true => Upstream::start("i-9", &Refused::default()).await,
            false => former.clone(),
        };
        write_row(store, &again, "ready", second, 1);
        let later = start_entry(store, "front-2", &[]).await;
        until_ready(&later).await;
        task::sleep(BOUND).await;
        for entry in [&harness.entry, &later] {
            assert!(count_at(entry, &again).await > 0, "the start is not used");
        }
        if moves {
            assert_eq!(count_at(&harness.entry, &former).await, 0);
        }
        write_row(store, &again, "draining", second, 2);
        task::sleep(BOUND).await;
        for entry in [&harness.entry, &later] {
            assert_eq!(
                count_at(entry, &again).await,
                0,
                "a leaving upstream is asked"
            );
        }
        // A write of the start before is done late.
        write_row(store, &former, "ready", first, 1);
        task::sleep(BOUND).await;
        if first != second || moves {
            assert_eq!(
                count_at(&harness.entry, &again).await,
                0,
                "a late row is obeyed"
            );
        }
    });
}
