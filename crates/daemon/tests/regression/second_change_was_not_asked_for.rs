//! A process that was behind asked for what it lacked at most once in 100 ms,
//! whatever it lacked: of two changes within that time it missed the second
//! until the next heartbeat, a second later.

use sorreldeck::Revision;
use sorreldeckd::propagation::Throttle;

#[test]
fn a_process_that_has_come_forward_may_ask_at_once() {
    let mut throttle = Throttle::default();
    for revision in 1..100 {
        assert!(throttle.admits(Revision(revision)));
        assert!(
            !throttle.admits(Revision(revision)),
            "an answer is on its way"
        );
    }
}
