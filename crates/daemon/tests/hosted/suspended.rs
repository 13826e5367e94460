//! The machine of an entry is suspended for seconds, during which its monotonic clock stops.

use super::*;
use sorreldeck::Span;

/// The deadline of a request passes during the suspension: its caller gets a 504 at once.
#[test]
fn a_request_whose_deadline_passed_in_a_suspension_ends_at_once() {
    task::block_on(async {
        let harness = Harness::start().await;
        let callers = harness.entry.callers;
        let began = Instant::now();
        let call = task::spawn(async move { ask(callers, &request("/once/hang", "")).await });
        task::sleep(Duration::from_millis(300)).await;
        harness.clock.suspend(Span::from_millis(30_000));
        let answer = call.await;
        assert_eq!(status(&answer), 504, "{answer}");
        // The timeout of the route is 2 s.
        assert!(began.elapsed() < Duration::from_millis(800));
    });
}

/// An upstream leaves around a suspension of 5 s, before which the store lost its history: the wait
/// in progress would report no change for 20 s.
#[test]
fn changes_made_during_a_suspension_are_read_at_once() {
    task::block_on(async {
        let harness = Harness::start().await;
        harness.store.lose_history_and_ignore_waits();
        task::sleep(Duration::from_millis(300)).await;
        harness.store.answer_waits();
        harness.store.drop_row("servers", "i-1");
        harness.clock.suspend(Span::from_millis(5_000));
        task::sleep(Duration::from_millis(100)).await;
        assert_eq!(
            harness.count_reaching(0, 8).await,
            0,
            "an upstream that left is asked"
        );
    });
}

/// Each row: the duration of a suspension in milliseconds, and the number of suspensions.
#[test_case::test_case(100, 5)]
#[test_case::test_case(1_500, 3)]
#[test_case::test_case(30_000, 2)]
fn requests_are_served_at_once_after_suspensions(ms: u64, times: usize) {
    task::block_on(async {
        let harness = Harness::start().await;
        for _ in 0..times {
            harness.clock.suspend(Span::from_millis(ms));
            for path in ["/once/body", "/look/body"] {
                let began = Instant::now();
                assert_eq!(status(&harness.call(path).await), 200, "{path}");
                assert!(
                    began.elapsed() < Duration::from_millis(300),
                    "{path} {:?}",
                    began.elapsed()
                );
            }
            task::sleep(Duration::from_millis(150)).await;
        }
    });
}

/// If the store does not answer after a suspension, requests are served with the known tables.
#[test]
fn requests_are_served_after_a_suspension_during_an_outage_of_the_store() {
    task::block_on(async {
        let harness = Harness::start().await;
        harness.store.set_behavior(Behavior::Busy);
        harness.clock.suspend(Span::from_millis(2_000));
        for _ in 0..3 {
            assert_eq!(status(&harness.call("/once/body").await), 200);
        }
    });
}
