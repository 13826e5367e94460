//! Guards against a delayed second change. A process that was behind requested missing revisions at
//! most once in 100 ms, whichever they were: of two changes within that time it got the second only
//! after the next heartbeat, a second later.

use sorreldeck::Revision;
use sorreldeckd::propagation::Throttle;

#[test]
fn a_process_at_a_new_revision_may_request_at_once() {
    let mut throttle = Throttle::default();
    for revision in 1..100 {
        assert!(throttle.admits(Revision(revision)));
        assert!(!throttle.admits(Revision(revision)), "an answer is pending");
    }
}
