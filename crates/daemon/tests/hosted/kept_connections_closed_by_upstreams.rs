//! Guards against a request that fails since its upstream closed a kept connection in that moment.

use super::*;
use test_case::test_case;

const CALLS: usize = 20;

#[test_case("look", 1; "at the only upstream")]
#[test_case("look", 2; "at one of two")]
#[test_case("once", 1; "of one that may run once")]
fn a_request_on_a_kept_connection_that_closes_is_answered(route: &str, upstreams: usize) {
    task::block_on(async {
        let harness = Harness::start().await;
        if upstreams == 1 {
            harness.store.drop_row("servers", "i-2");
            task::sleep(Duration::from_millis(1_200)).await;
        }
        for _ in 0..CALLS {
            let answer = harness.call(&format!("/{route}/closes-kept")).await;
            assert_eq!(status(&answer), 200, "{answer}");
        }
        assert_eq!(
            harness.request_count(&format!("/{route}/closes-kept")),
            CALLS
        );
    });
}
