//! The machine of an entry is suspended for seconds: the steady clock stands still meanwhile.

use super::*;
use sorreldeck::Span;

/// The time of a request passes while the machine is suspended: its caller is told so at once.
#[test]
fn a_request_whose_time_passed_meanwhile_ends_at_once() {
    task::block_on(async {
        let stand = Stand::start().await;
        let callers = stand.entry.callers;
        let began = Instant::now();
        let call = task::spawn(async move { ask(callers, &request("/once/hang", "")).await });
        task::sleep(Duration::from_millis(300)).await;
        stand.clock.suspend(Span::from_millis(30_000));
        let answer = call.await;
        assert_eq!(status(&answer), 504, "{answer}");
        // Its route allows 2 s.
        assert!(began.elapsed() < Duration::from_millis(800));
    });
}

/// An upstream leaves in the first moment after a suspension of 5 s, in the last of which the
/// history was forgotten: the wait that was under way would hear nothing for 20 s.
#[test]
fn what_changed_meanwhile_is_asked_for_at_once() {
    task::block_on(async {
        let stand = Stand::start().await;
        stand.store.forget_and_go_deaf();
        task::sleep(Duration::from_millis(300)).await;
        stand.store.hear_again();
        stand.store.drop_row("servers", "i-1");
        stand.clock.suspend(Span::from_millis(5_000));
        task::sleep(Duration::from_millis(100)).await;
        assert_eq!(
            stand.reaching(0, 8).await,
            0,
            "an upstream that left is asked"
        );
    });
}

/// Each row: for how long, and how often.
#[test_case::test_case(100, 5)]
#[test_case::test_case(1_500, 3)]
#[test_case::test_case(30_000, 2)]
fn it_serves_at_once_after_suspensions(ms: u64, times: usize) {
    task::block_on(async {
        let stand = Stand::start().await;
        for _ in 0..times {
            stand.clock.suspend(Span::from_millis(ms));
            for path in ["/once/body", "/look/body"] {
                let began = Instant::now();
                assert_eq!(status(&stand.call(path).await), 200, "{path}");
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

/// Where nothing can be heard, what was known is gone by after a moment.
#[test]
fn it_serves_after_a_suspension_though_the_store_is_away() {
    task::block_on(async {
        let stand = Stand::start().await;
        stand.store.set(Mood::Busy);
        stand.clock.suspend(Span::from_millis(2_000));
        for _ in 0..3 {
            assert_eq!(status(&stand.call("/once/body").await), 200);
        }
    });
}
