//! Requests reached an upstream seconds after it had told the entry that it leaves.
//!
//! An upstream that leaves says so in all its answers. The platform's store was away, so its row
//! did not say so, and the entry went on sending requests there seconds after it had passed on such
//! an answer. Callers got whole answers; some would have been cut off at the end.
//!
//! Cause: nothing read the word; who leaves was known from rows and links alone. Evidence: the
//! day below asks such upstreams until its end where the word is dropped, and a line of the
//! entry showed that the word had come.

mod common;

use common::stand::Stand;
use common::{failure, head, sent};
use sorreldeck::entry::{Input, Output, Reply};
use sorreldeck::notice::{Change, Notice, Update};
use sorreldeck::pick::Link;
use sorreldeck::{Failure, Reason, Span, Verdict};
use sorreldeck_emulator::notice::{Day, Says, Trouble, World};
use sorreldeck_emulator::routed::head_with;
use test_case::test_case;

/// How long an entry that was told may still send requests there.
const BOUND: Span = Span::from_millis(2_000);
const LEAVES: Notice = Notice {
    leaving: true,
    pause: None,
    limit: None,
    pace: None,
};

#[test]
fn an_upstream_gets_nothing_after_it_has_said_that_it_leaves() {
    let trouble = Trouble {
        at: Span::from_millis(8_000),
        lasts: Span::from_millis(20_000),
        upstreams: 2,
        says: Says::Leaving,
    };
    let day = Day {
        troubles: vec![trouble],
        ..Day::default()
    };
    let tally = World::new(day, 1).play();
    assert!(tally.served() > 0.99, "{}", tally.served());
    assert!(
        tally.latest <= BOUND,
        "asked {} after its word",
        tally.latest
    );
}

/// Each row: what an upstream answers when it says that it leaves.
#[test_case(&[head_with(200, LEAVES, None)]; "a good answer")]
#[test_case(&[head_with(500, LEAVES, None)]; "an error")]
#[test_case(&[head_with(504, LEAVES, None)]; "out of time")]
#[test_case(&[Reply::Notice(LEAVES, None), Reply::Fail(Failure::not_run(Reason::Overloaded, "503"))]; "a refusal")]
#[test_case(&[Reply::Notice(LEAVES, None), Reply::Fail(Failure::new(Reason::ForeignAnswer, Verdict::MayHaveRun, "foreign"))]; "an answer that is not given")]
#[test_case(&[head(200), Reply::Notice(LEAVES, None)]; "a word that comes late")]
fn a_word_counts_in_whatever_is_answered(replies: &[Reply]) {
    for caller_left in [false, true] {
        let mut stand = Stand::new(3);
        let run = stand.reach(2);
        if caller_left {
            stand.tell(Input::Disconnected(run.request));
        }
        for reply in replies {
            stand.tell(Input::Reply(2, run, reply.clone()));
        }
        // What a failure passes over for a while is asked again after that.
        stand.now = stand.now + Span::from_millis(60_000);
        assert_eq!(stand.reached(), [1, 3], "its caller left: {caller_left}");
    }
}

#[test]
fn other_entries_are_told_once() {
    let mut stand = Stand::new(3);
    let run = stand.reach(2);
    let mut words = Vec::new();
    for _ in 0..2 {
        let outputs = stand.tell(Input::Reply(2, run, Reply::Notice(LEAVES, None)));
        words.extend(outputs.into_iter().filter_map(|output| match output {
            Output::Notice(word) => Some(word),
            _ => None,
        }));
    }
    let leaving = |word: &Update| word.change == Change::Leaving;
    assert!(words.len() == 1 && leaving(&words[0]), "{words:?}");
    let mut other = Stand::new(3);
    let outputs = other.tell(Input::Notice(words[0]));
    assert!(
        outputs.is_empty(),
        "what is told is not told on: {outputs:?}"
    );
    assert_eq!(other.reached(), [1, 3]);
}

/// A row that vanished while the store was away, or that says ready still, is older than the word;
/// another start under the name knows nothing of it. Each row: which start it is.
#[test_case(1, &[1, 3]; "the row does not undo the word")]
#[test_case(2, &[1, 3, 12]; "another start has said nothing")]
fn the_word_is_of_one_start(start: u64, reached: &[Link]) {
    let mut stand = Stand::new(3);
    let run = stand.reach(2);
    stand.tell(Input::Reply(2, run, Reply::Notice(LEAVES, None)));
    stand.tell(Input::Retire(2));
    stand.join(12, 2, start);
    assert_eq!(stand.reached(), reached);
}

/// What was sent before the word goes on, and what fails there goes elsewhere.
#[test]
fn what_runs_there_goes_on() {
    let mut stand = Stand::new(2);
    let run = stand.reach(2);
    stand.tell(Input::Reply(2, run, Reply::Notice(LEAVES, None)));
    stand.tell(Input::Reply(2, run, head(200)));
    let data = Reply::Data {
        data: b"id:1\n\n".to_vec(),
        last_event: Some(1),
    };
    stand.tell(Input::Reply(2, run, data));
    let broken = Failure::new(Reason::LinkLost, Verdict::MayHaveRun, "broke off");
    let outputs = stand.tell(Input::Reply(2, run, Reply::Fail(broken)));
    let resumed = sent(&outputs).map(|(link, _)| link);
    assert_eq!(resumed, Some(1));
}

#[test]
fn where_all_leave_the_next_request_is_refused_at_once() {
    let mut stand = Stand::new(2);
    for link in [1, 2] {
        let run = stand.reach(link);
        stand.tell(Input::Reply(link, run, Reply::Notice(LEAVES, None)));
    }
    let outputs = stand.ask();
    let refused = failure(&outputs).expect("a refusal");
    assert_eq!(refused.verdict, Verdict::NotRun);
    assert_eq!(refused.reason, Reason::NoUpstream);
    assert!(refused.retry_after.is_some());
}
