//! Upstreams that had turned an entry away and asked it for rest got requests from it meanwhile.
//!
//! Many upstreams turn requests away at once and say for how long they want none. The entry passed
//! each over for a moment and sent it the next requests, more than the two that are allowed. Callers
//! waited while their requests went from one such upstream to the next.
//!
//! Cause: the time of rest was read nowhere, and how long an upstream is passed over after a
//! refusal is short and ends with any good answer to an earlier request. Evidence: the day
//! below, where the word is dropped, and a line of the entry that showed it had come.

mod common;

use common::stand::Stand;
use common::{failure, head, sent};
use sorreldeck::entry::{Input, Reply};
use sorreldeck::notice::Notice;
use sorreldeck::pick::Link;
use sorreldeck::wire::Run;
use sorreldeck::{Failure, Reason, Span, Verdict};
use sorreldeck_emulator::notice::{Day, Says, Trouble, World};
use test_case::test_case;

/// The most that may reach an upstream from an entry while it rests.
const MOST: usize = 2;

fn day(entries: usize, upstreams: usize, resting: usize, rest: u64) -> Day {
    let trouble = Trouble {
        at: Span::from_millis(8_000),
        lasts: Span::from_millis(6_000),
        upstreams: resting,
        says: Says::Rest(Span::from_millis(rest)),
    };
    Day {
        entries,
        upstreams,
        asked: 5.5 * upstreams as f64,
        troubles: vec![trouble],
        ..Day::default()
    }
}

#[test]
fn an_upstream_that_asks_for_rest_gets_it() {
    let tally = World::new(day(3, 18, 9, 3_000), 1).play();
    let most = tally.while_resting;
    assert!(most <= MOST, "{most} requests from one entry while resting");
    assert!(tally.served() > 0.99, "{}", tally.served());
}

#[test_case(1, 18, 9, 3_000; "one entry")]
#[test_case(3, 18, 18, 3_000; "all upstreams")]
#[test_case(3, 18, 3, 1_500; "a shorter rest")]
#[test_case(21, 40, 20, 3_000; "21 entries")]
fn rest_is_kept(entries: usize, upstreams: usize, resting: usize, rest: u64) {
    for seed in 1..=5 {
        let tally = World::new(day(entries, upstreams, resting, rest), seed).play();
        let most = tally.while_resting;
        let (away, served) = (tally.turned_away, tally.served());
        println!("seed {seed}: most {most}, {away} turned away, served {served:.3}");
        assert!(most <= MOST, "{most} requests from one entry while resting");
        assert!(resting == upstreams || served > 0.99, "{served}");
        assert!(tally.longest_refused < Span::from_millis(500));
    }
}

impl Stand {
    /// Has the upstream of a run turn it away and ask for rest.
    fn turn_away(&mut self, link: Link, run: Run, rest: u64) {
        let notice = Notice {
            pause: Some(Span::from_millis(rest)),
            ..Notice::default()
        };
        self.tell(Input::Reply(link, run, Reply::Notice(notice, None)));
        let failure = Failure::not_run(Reason::Overloaded, "refused with 503");
        self.tell(Input::Reply(link, run, Reply::Fail(failure)));
    }

    fn wait(&mut self, ms: u64) {
        self.now = self.now + Span::from_millis(ms);
    }
}

#[test]
fn a_good_answer_to_an_earlier_request_does_not_end_the_rest() {
    let mut stand = Stand::new(2);
    let (early, late) = (stand.reach(2), stand.reach(2));
    stand.turn_away(2, late, 3_000);
    stand.tell(Input::Reply(2, early, head(200)));
    stand.tell(Input::Reply(2, early, Reply::End));
    stand.wait(2_000);
    assert_eq!(stand.reached(), [1]);
}

#[test]
fn the_longer_of_two_times_counts() {
    let mut stand = Stand::new(2);
    let (one, other) = (stand.reach(2), stand.reach(2));
    stand.turn_away(2, one, 3_000);
    stand.turn_away(2, other, 500);
    stand.wait(2_500);
    assert_eq!(stand.reached(), [1]);
}

/// How often it has refused before does not keep it idle for longer than it asked for.
#[test]
fn after_the_rest_it_gets_its_part_again() {
    let mut stand = Stand::new(2);
    let runs: Vec<Run> = (0..6).map(|_| stand.reach(2)).collect();
    for run in runs {
        stand.turn_away(2, run, 1_000);
    }
    stand.wait(1_000);
    assert_eq!(stand.reached(), [1, 2]);
}

#[test]
fn a_row_that_comes_and_goes_does_not_end_the_rest() {
    let mut stand = Stand::new(2);
    let run = stand.reach(2);
    stand.turn_away(2, run, 3_000);
    stand.tell(Input::Retire(2));
    stand.join(12, 2, 1);
    assert_eq!(sent(&stand.ask()).map(|(link, _)| link), Some(1));
    // Another start has asked for nothing.
    stand.tell(Input::Retire(12));
    stand.join(22, 2, 2);
    assert_eq!(stand.reached(), [1, 22]);
}

/// Callers are told when the first of them takes requests again.
#[test]
fn where_all_rest_the_next_request_is_refused_at_once() {
    let mut stand = Stand::new(2);
    for (link, rest) in [(1, 4_000), (2, 3_000)] {
        let run = stand.reach(link);
        stand.turn_away(link, run, rest);
    }
    stand.wait(500);
    let outputs = stand.ask();
    let refused = failure(&outputs).expect("a refusal");
    assert_eq!(refused.verdict, Verdict::NotRun);
    let after = refused.retry_after.expect("a time to come back").millis();
    assert!((2_400..=2_500).contains(&after), "{after}");
    stand.wait(after);
    assert_eq!(sent(&stand.ask()).map(|(link, _)| link), Some(2));
}

/// What an upstream tells of its load while it turns a request away is the newest that is known.
#[test]
fn the_load_that_a_refusal_tells_counts() {
    let mut stand = Stand::new(1);
    let run = stand.reach(1);
    let full = Reply::Notice(Notice::default(), Some((8, 5, 8)));
    stand.tell(Input::Reply(1, run, full));
    let load = stand.entry.peers().get(1).unwrap().load;
    assert_eq!((load.running, load.queued, load.slots), (8, 5, 8));
}
