//! Guards against a delayed second change. A process that was behind requested missing revisions at
//! most once in 100 ms, whichever they were: of two changes within that time it got the second only
//! after the next heartbeat, a second later.

use sorreldeck::Revision;
use sorreldeckd::spread::Asker;

#[test]
fn a_process_at_a_new_revision_may_request_at_once() {
    let mut asker = Asker::default();
    for revision in 1..100 {
        assert!(asker.may_ask(Revision(revision)));
        assert!(!asker.may_ask(Revision(revision)), "an answer is pending");
    }
}
