//! Guards against requests that are sent to an upstream during a pause that it asked for.
//!
//! Many upstreams turn requests away at once and say for how long they want none. An entry that
//! ignores this skips each of them for a moment and then sends it the next requests, more than the
//! two that are allowed, while clients wait as their requests go from one such upstream to the
//! next. The time for which an upstream is skipped after a refusal does not replace the pause: it
//! is short, and ends with any good answer to an earlier request. On the simulated day below such
//! an entry exceeds the two requests.

mod common;

use common::stand::Harness;
use common::{failure, head, sent};
use sorreldeck::entry::{Input, Reply};
use sorreldeck::notice::Notice;
use sorreldeck::pick::Link;
use sorreldeck::wire::Run;
use sorreldeck::{Failure, Reason, Span, Verdict};
use sorreldeck_emulator::notice::{Period, Scenario, Signal, World};
use test_case::test_case;

/// The most requests of one entry that may reach an upstream during its pause.
const MAX_DURING_PAUSE: usize = 2;

fn day(entries: usize, upstreams: usize, paused: usize, pause: u64) -> Scenario {
    let trouble = Period {
        start: Span::from_millis(8_000),
        duration: Span::from_millis(6_000),
        upstreams: paused,
        signal: Signal::Pause(Span::from_millis(pause)),
    };
    Scenario {
        entries,
        upstreams,
        request_rate: 5.5 * upstreams as f64,
        periods: vec![trouble],
        ..Scenario::default()
    }
}

#[test]
fn an_upstream_gets_the_pause_that_it_asks_for() {
    let tally = World::new(day(3, 18, 9, 3_000), 1).run();
    let most = tally.sent_during_pause;
    assert!(
        most <= MAX_DURING_PAUSE,
        "{most} requests from one entry during the pause"
    );
    assert!(tally.served() > 0.99, "{}", tally.served());
}

#[test_case(1, 18, 9, 3_000; "one entry")]
#[test_case(3, 18, 18, 3_000; "all upstreams")]
#[test_case(3, 18, 3, 1_500; "a shorter pause")]
#[test_case(21, 40, 20, 3_000; "21 entries")]
fn pauses_are_kept(entries: usize, upstreams: usize, paused: usize, pause: u64) {
    for seed in 1..=5 {
        let tally = World::new(day(entries, upstreams, paused, pause), seed).run();
        let most = tally.sent_during_pause;
        let (away, served) = (tally.rejected, tally.served());
        println!("seed {seed}: most {most}, {away} turned away, served {served:.3}");
        assert!(
            most <= MAX_DURING_PAUSE,
            "{most} requests from one entry during the pause"
        );
        assert!(paused == upstreams || served > 0.99, "{served}");
        assert!(tally.max_refused_wait < Span::from_millis(500));
    }
}

impl Harness {
    /// Lets the upstream of a run turn it away and ask for a pause.
    fn turn_away(&mut self, link: Link, run: Run, pause: u64) {
        let notice = Notice {
            pause: Some(Span::from_millis(pause)),
            ..Notice::default()
        };
        self.handle(Input::Reply(link, run, Reply::Notice(notice, None)));
        let failure = Failure::not_run(Reason::Overloaded, "refused with 503");
        self.handle(Input::Reply(link, run, Reply::Fail(failure)));
    }

    fn wait(&mut self, ms: u64) {
        self.now = self.now + Span::from_millis(ms);
    }
}

#[test]
fn a_good_answer_to_an_earlier_request_does_not_end_the_pause() {
    let mut harness = Harness::new(2);
    let (early, late) = (harness.request_at(2), harness.request_at(2));
    harness.turn_away(2, late, 3_000);
    harness.handle(Input::Reply(2, early, head(200)));
    harness.handle(Input::Reply(2, early, Reply::End));
    harness.wait(2_000);
    assert_eq!(harness.links_in_use(), [1]);
}

#[test]
fn the_longer_of_two_pauses_counts() {
    let mut harness = Harness::new(2);
    let (one, other) = (harness.request_at(2), harness.request_at(2));
    harness.turn_away(2, one, 3_000);
    harness.turn_away(2, other, 500);
    harness.wait(2_500);
    assert_eq!(harness.links_in_use(), [1]);
}

/// The number of earlier refusals does not keep an upstream idle for longer than it asked for.
#[test]
fn after_its_pause_an_upstream_gets_its_share_again() {
    let mut harness = Harness::new(2);
    let runs: Vec<Run> = (0..6).map(|_| harness.request_at(2)).collect();
    for run in runs {
        harness.turn_away(2, run, 1_000);
    }
    harness.wait(1_000);
    assert_eq!(harness.links_in_use(), [1, 2]);
}

#[test]
fn a_row_that_comes_and_goes_does_not_end_the_pause() {
    let mut harness = Harness::new(2);
    let run = harness.request_at(2);
    harness.turn_away(2, run, 3_000);
    harness.handle(Input::Retire(2));
    harness.join(12, 2, 1);
    assert_eq!(sent(&harness.send_request()).map(|(link, _)| link), Some(1));
    // Another start of the upstream has asked for no pause.
    harness.handle(Input::Retire(12));
    harness.join(22, 2, 2);
    assert_eq!(harness.links_in_use(), [1, 22]);
}

/// Clients are told when the first upstream accepts requests again.
#[test]
fn requests_are_refused_at_once_if_all_upstreams_pause() {
    let mut harness = Harness::new(2);
    for (link, pause) in [(1, 4_000), (2, 3_000)] {
        let run = harness.request_at(link);
        harness.turn_away(link, run, pause);
    }
    harness.wait(500);
    let outputs = harness.send_request();
    let refused = failure(&outputs).expect("a refusal");
    assert_eq!(refused.verdict, Verdict::NotRun);
    let after = refused.retry_after.expect("a time to retry after").millis();
    assert!((2_400..=2_500).contains(&after), "{after}");
    harness.wait(after);
    assert_eq!(sent(&harness.send_request()).map(|(link, _)| link), Some(2));
}

/// The load that an upstream reports when it turns a request away is the latest known.
#[test]
fn the_load_in_a_refusal_counts() {
    let mut harness = Harness::new(1);
    let run = harness.request_at(1);
    let full = Reply::Notice(Notice::default(), Some((8, 5, 8)));
    harness.handle(Input::Reply(1, run, full));
    let load = harness.entry.peers().get(1).unwrap().load;
    assert_eq!((load.running, load.queued, load.slots), (8, 5, 8));
}
