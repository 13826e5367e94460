//! A process that was behind asked for what it lacked at most once in 100 ms,
//! whatever it lacked: of two changes within that time it missed the second
//! until the next heartbeat, a second later.

use sorreldeck::Revision;
use sorreldeckd::spread::Asker;

#[test]
fn a_process_that_has_come_forward_may_ask_at_once() {
    let mut asker = Asker::default();
    for revision in 1..100 {
        assert!(asker.may_ask(Revision(revision)));
        assert!(
            !asker.may_ask(Revision(revision)),
            "an answer is on its way"
        );
    }
}
