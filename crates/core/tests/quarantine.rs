//! Which requests are held back since they crash upstreams, for how long, and what frees them.

mod common;

use common::{ask, entry, failure, head, own, routed, sent, streams};
use proptest::prelude::*;
use sorreldeck::entry::{Entry, Input, Member, Output, Reply};
use sorreldeck::pick::{Link, Placement};
use sorreldeck::quarantine::{Admission, Change, Fingerprint, Hold, Quarantine, Run, Update};
use sorreldeck::sidecar::{self, Sidecar};
use sorreldeck::wire::{self, Frame, Load};
use sorreldeck::{Failure, PoolId, Reason, RequestId, Span, Time, Verdict};
use test_case::test_case;

/// The longest time for which anything is held back, with what other entries wait besides.
const LONGEST: Span = Span::from_millis(660_000);

fn print(number: u64) -> Fingerprint {
    Fingerprint::of(&[&number.to_le_bytes()])
}

fn pool() -> PoolId {
    "engines".parse().unwrap()
}

fn lose(quarantine: &mut Quarantine, number: u64, upstream: u64, now: Time) {
    let run = Run {
        fingerprint: print(number),
        pool: &pool(),
        upstream,
        spread: 0.0,
    };
    quarantine.record_crash(&run, now);
}

fn ms(ms: u64) -> Time {
    Time(1_000_000) + Span::from_millis(ms)
}

/// Returns what has crashed three upstreams, 200 ms apart, the last at 600 ms.
fn held() -> Quarantine {
    let mut quarantine = Quarantine::default();
    for upstream in 1..=3 {
        lose(&mut quarantine, 7, upstream, ms(200 * upstream));
    }
    quarantine
}

fn recorded(hold: Hold, is_own: bool) -> Hold {
    Hold { is_own, ..hold }
}

fn held_news(quarantine: &mut Quarantine) -> Option<Hold> {
    quarantine
        .take_changes()
        .into_iter()
        .find_map(|news| match news {
            Change::Held(_, hold, _) => Some(hold),
            Change::Freed(_) => None,
        })
}

#[test_case(2, 200, false; "two crashes")]
#[test_case(3, 200, true; "three")]
#[test_case(3, 10, false; "three at one moment")]
#[test_case(3, 120_000, true; "three far apart")]
fn three_crashes_hold_a_request_back(crashes: u64, gap: u64, expected: bool) {
    let mut quarantine = Quarantine::default();
    for upstream in 0..crashes {
        lose(&mut quarantine, 7, upstream, ms(gap * upstream));
    }
    let now = ms(gap * (crashes - 1) + 1);
    let is_held = matches!(quarantine.admits(print(7), now), Admission::Held(_));
    assert_eq!(is_held, expected);
}

#[test]
fn many_runs_at_one_upstream_are_one_crash() {
    let mut quarantine = Quarantine::default();
    for copy in 0..20 {
        lose(&mut quarantine, 7, 1, ms(60 * copy));
    }
    assert_eq!(quarantine.admits(print(7), ms(1_300)), Admission::Allowed);
}

/// What ran beside the request each time cannot be told from it; what did twice can.
#[test]
fn what_ran_beside_it_is_not_held_back() {
    let mut quarantine = Quarantine::default();
    for upstream in 1..=3 {
        let now = ms(200 * upstream);
        lose(&mut quarantine, 7, upstream, now);
        lose(&mut quarantine, 10 + upstream, upstream, now);
        if upstream > 1 {
            lose(&mut quarantine, 8, upstream, now);
        }
    }
    // The crashes are put down to what was there three times.
    lose(&mut quarantine, 8, 9, ms(5_000));
    lose(&mut quarantine, 8, 10, ms(6_000));
    assert_eq!(quarantine.admits(print(8), ms(6_000)), Admission::Allowed);
    assert!(!quarantine.is_suspect(print(11), ms(6_000)));
}

#[test]
fn an_answer_frees_a_request_here_and_elsewhere() {
    let mut quarantine = Quarantine::default();
    lose(&mut quarantine, 7, 1, ms(0));
    lose(&mut quarantine, 7, 2, ms(200));
    quarantine.take_updates();
    quarantine.record_answer(print(7), &pool(), ms(300));
    assert_eq!(quarantine.take_updates(), [Update::Answered(print(7))]);
    lose(&mut quarantine, 7, 3, ms(400));
    assert_eq!(quarantine.admits(print(7), ms(400)), Admission::Allowed);

    let mut other = held();
    assert!(held_news(&mut other).is_some());
    other.merge(Update::Answered(print(7)), ms(700), |_| 0.0);
    assert_eq!(other.admits(print(7), ms(700)), Admission::Allowed);
    assert_eq!(other.take_changes(), [Change::Freed(print(7))]);
    // A record that was on its way holds nothing back any more.
    let late = Hold {
        until: ms(9_000),
        previous: 0,
        is_own: false,
    };
    other.restore_hold(print(7), late, ms(900));
    assert_eq!(other.admits(print(7), ms(900)), Admission::Allowed);
}

/// Whoever has answered a request lately says so when others suspect it.
#[test]
fn an_entry_that_knows_better_says_so() {
    let mut quarantine = Quarantine::default();
    quarantine.record_answer(print(7), &pool(), ms(0));
    let word = Update::Crashed {
        upstream: 1,
        ago_ms: 10,
        requests: vec![print(7), print(8)],
    };
    quarantine.merge(word, ms(100), |_| 0.0);
    assert_eq!(quarantine.take_updates(), [Update::Answered(print(7))]);
    assert!(quarantine.is_suspect(print(8), ms(100)));
}

#[test]
fn crashes_that_several_entries_saw_count_together() {
    let mut quarantine = Quarantine::default();
    lose(&mut quarantine, 7, 1, ms(0));
    for (upstream, at) in [(1, 120), (2, 300), (3, 500)] {
        assert_eq!(quarantine.admits(print(7), ms(at)), Admission::Allowed);
        let word = Update::Crashed {
            upstream,
            ago_ms: 100,
            requests: vec![print(7)],
        };
        quarantine.merge(word, ms(at), |_| 0.0);
    }
    let admission = quarantine.admits(print(7), ms(500));
    assert!(matches!(admission, Admission::Held(_)));
}

/// Upstreams that crash at one moment do so for one reason, however late it is heard.
#[test]
fn what_is_told_late_belongs_to_its_moment() {
    let mut quarantine = Quarantine::default();
    lose(&mut quarantine, 7, 1, ms(0));
    for upstream in 2..=6 {
        let word = Update::Crashed {
            upstream,
            ago_ms: 100 * upstream,
            requests: vec![print(7)],
        };
        quarantine.merge(word, ms(100 * upstream + 5), |_| 0.0);
    }
    assert_eq!(quarantine.admits(print(7), ms(700)), Admission::Allowed);
}

/// What is at most upstreams is also at those that crash for another reason.
#[test]
fn what_is_nearly_everywhere_needs_more() {
    let mut quarantine = Quarantine::default();
    for upstream in 0..8 {
        let run = Run {
            fingerprint: print(7),
            pool: &pool(),
            upstream,
            spread: 0.9,
        };
        quarantine.record_crash(&run, ms(300 * upstream));
    }
    assert_eq!(quarantine.admits(print(7), ms(3_000)), Admission::Allowed);
}

/// The entry of the record tries the request first, all others a minute later; a crash
/// under the trial holds it back for longer.
#[test]
fn a_request_is_tried_again_and_held_back_for_longer() {
    let mut quarantine = held();
    let first = held_news(&mut quarantine).unwrap();
    assert_eq!(first.until.since(ms(600)), Span::from_millis(10_000));
    let after = first.until + Span::from_millis(1);
    let others = first.until + Span::from_millis(60_000);
    assert!(matches!(
        quarantine.admits(print(7), after),
        Admission::Held(_)
    ));
    assert_eq!(quarantine.admits(print(7), others), Admission::Trial);
    quarantine.restore_hold(print(7), recorded(first, true), ms(700));
    assert_eq!(quarantine.admits(print(7), after), Admission::Trial);
    lose(&mut quarantine, 7, 4, after);
    let second = held_news(&mut quarantine).unwrap();
    assert_eq!(second.until.since(after), Span::from_millis(120_000));
    assert_eq!((second.previous, second.is_own), (1, true));
}

/// Whoever passes words on tells them again to entries that are linked later.
#[test]
fn a_crash_before_the_trial_that_is_told_again_does_not_end_it() {
    let mut quarantine = held();
    let first = held_news(&mut quarantine).unwrap();
    let now = first.until + Span::from_millis(65_000);
    let word = |ago: Span| Update::Crashed {
        upstream: 3,
        ago_ms: ago.millis(),
        requests: vec![print(7)],
    };
    quarantine.merge(word(now.since(ms(600))), now, |_| 0.0);
    assert_eq!(quarantine.admits(print(7), now), Admission::Trial);
    quarantine.merge(word(Span::from_millis(50)), now, |_| 0.0);
    assert!(matches!(
        quarantine.admits(print(7), now),
        Admission::Held(_)
    ));
}

#[test]
fn what_others_recorded_before_changes_nothing_later() {
    let mut quarantine = held();
    let first = held_news(&mut quarantine).unwrap();
    quarantine.restore_hold(print(7), recorded(first, true), ms(700));
    lose(&mut quarantine, 7, 4, first.until);
    let second = held_news(&mut quarantine).unwrap();
    quarantine.restore_hold(print(7), recorded(first, false), first.until);
    let admission = quarantine.admits(print(7), first.until + Span::from_millis(100_000));
    let left = second.until.since(first.until + Span::from_millis(100_000));
    assert_eq!(admission, Admission::Held(left));
}

proptest! {
    /// Whatever is told and recorded, in whatever order, with clocks however far off: nothing is
    /// held back for longer than the longest, and an answer frees at once.
    #[test]
    fn nothing_is_held_back_for_ever(
        steps in prop::collection::vec((0u8..6, 0u64..4, 0u64..9, 0u64..400_000, any::<u64>()), 1..80),
    ) {
        let mut quarantine = Quarantine::default();
        let mut now = ms(0);
        for (what, number, upstream, pass, wild) in steps {
            now = now + Span::from_millis(pass / 8);
            match what {
                0 | 1 => lose(&mut quarantine, number, upstream, now),
                2 => {
                    let there = vec![print(number), print(number + 1)];
                    quarantine.merge(Update::Crashed { upstream, ago_ms: wild, requests: there }, now, |_| 0.3);
                }
                3 => {
                    let hold = Hold { until: Time(wild / 2), previous: wild as u32, is_own: wild % 2 == 0 };
                    quarantine.restore_hold(print(number), hold, now);
                }
                4 => {
                    quarantine.record_answer(print(number), &pool(), now);
                    prop_assert_eq!(quarantine.admits(print(number), now), Admission::Allowed);
                }
                _ => quarantine.remove_hold(print(number)),
            }
            for number in 0..5 {
                if let Admission::Held(left) = quarantine.admits(print(number), now) {
                    prop_assert!(left <= LONGEST, "{}", left.millis());
                }
            }
            let later = now + LONGEST;
            for number in 0..5 {
                prop_assert!(!matches!(quarantine.admits(print(number), later), Admission::Held(_)));
            }
        }
    }
}

#[test]
fn what_is_kept_is_bounded() {
    let mut quarantine = Quarantine::default();
    for number in 0..200_000 {
        let now = ms(number * 60);
        lose(&mut quarantine, number / 3, number, now);
        quarantine.record_answer(print(1_000_000 + number), &pool(), now);
    }
    let end = ms(200_000 * 60);
    assert!(quarantine.held_count(end) <= 512);
    assert!(quarantine.take_updates().len() <= 1_024);
    assert!(quarantine.tracked_runs() <= 128 * 256);
}

/// An entry with upstreams of a pool that is asked for streams.
struct Stand {
    entry: Entry,
    now: Time,
    next: u64,
}

impl Stand {
    fn new(upstreams: u64) -> Stand {
        let mut stand = Stand {
            entry: entry(1, 7),
            now: ms(0),
            next: 1,
        };
        stand.tell(streams(""));
        for link in 1..=upstreams {
            let member = Member {
                upstream: format!("u{link}").parse().unwrap(),
                pool: pool(),
                placement: Placement::default(),
                load: Load {
                    slots: 8,
                    ..Load::default()
                },
            };
            stand.tell(Input::Join(link, Box::new(member)));
        }
        stand
    }

    fn tell(&mut self, input: Input) -> Vec<Output> {
        self.entry.handle(self.now, input)
    }

    fn pass(&mut self, ms: u64) -> Vec<Output> {
        self.now = self.now + Span::from_millis(ms);
        self.tell(Input::Tick)
    }

    /// Asks for a path; returns the request and what the entry does.
    fn ask(&mut self, path: &str) -> (RequestId, Vec<Output>) {
        let request = RequestId::new(1, self.next);
        self.next += 1;
        let label = format!("r{}", self.next);
        (request, self.tell(ask(request, None, routed(label, path))))
    }

    fn lose(&mut self, sent: (Link, wire::Run)) -> Vec<Output> {
        let failure = Failure::new(Reason::UpstreamLost, Verdict::MayHaveRun, "broke off");
        self.tell(Input::Reply(sent.0, sent.1, Reply::Fail(failure)))
    }

    /// Has a path crash its upstreams until it is held back; returns how many it took.
    fn crash(&mut self, path: &str) -> usize {
        let mut crashes = 0;
        while crashes < 9 {
            let (_, mut out) = self.ask(path);
            while let Some(run) = sent(&out) {
                self.pass(60);
                out = self.lose(run);
                crashes += 1;
            }
            self.pass(20);
            if failure(&out).is_some_and(|f| f.reason == Reason::Quarantined) {
                break;
            }
        }
        crashes
    }
}

#[test]
fn a_refusal_is_at_once_and_true_and_says_when_to_come_back() {
    let mut stand = Stand::new(12);
    assert_eq!(stand.crash("/drafts/bad"), 3);
    let (_, out) = stand.ask("/drafts/bad");
    assert!(sent(&out).is_none());
    let refusal = failure(&out).unwrap();
    assert_eq!(
        (refusal.reason, refusal.verdict),
        (Reason::Quarantined, Verdict::NotRun)
    );
    assert!(refusal
        .retry_after
        .is_some_and(|after| after.millis() > 1_000));
    let (_, out) = stand.ask("/drafts/good");
    assert!(sent(&out).is_some(), "everything else is sent");
}

/// A run that has begun would crash its upstream within a moment, and its whole answer would
/// free the request; one that has not is broken off before it can.
#[test]
fn runs_that_have_not_begun_are_broken_off() {
    let mut stand = Stand::new(12);
    let (begun, out) = stand.ask("/drafts/bad");
    let (link, run) = sent(&out).unwrap();
    stand.tell(Input::Reply(link, run, head(200)));
    let (waiting, out) = stand.ask("/drafts/bad");
    let other = sent(&out).unwrap();
    stand.crash("/drafts/bad");
    let sentence = stand.entry.history().get(waiting).unwrap();
    let refusal = sentence.failure.clone().unwrap();
    assert_eq!(
        (refusal.reason, refusal.verdict),
        (Reason::Quarantined, Verdict::MayHaveRun)
    );
    assert!(stand.lose(other).is_empty(), "it is over");
    assert!(stand.entry.history().get(begun).unwrap().failure.is_none());
    let out = stand.tell(Input::Reply(link, run, Reply::End));
    let freed = |o: &Output| matches!(o, Output::RecordQuarantine(Change::Freed(_)));
    assert!(out.iter().any(freed), "{out:?}");
    assert!(sent(&stand.ask("/drafts/bad").1).is_some());
}

#[test]
fn a_trial_is_one_run_at_a_time() {
    let mut stand = Stand::new(12);
    stand.crash("/drafts/bad");
    stand.pass(75_000);
    let (_, out) = stand.ask("/drafts/bad");
    let (link, run) = sent(&out).expect("it is tried");
    let (_, out) = stand.ask("/drafts/bad");
    let refusal = failure(&out).expect("no second run beside it");
    assert_eq!(refusal.reason, Reason::Quarantined);
    stand.tell(Input::Reply(link, run, head(200)));
    stand.tell(Input::Reply(link, run, Reply::End));
    assert!(sent(&stand.ask("/drafts/bad").1).is_some(), "it is free");
}

/// Where several runs broke together, the next crash tells which it was only if they are not
/// together again.
#[test]
fn suspects_go_to_different_upstreams() {
    let mut stand = Stand::new(12);
    let runs: Vec<_> = (0..5)
        .map(|n| sent(&stand.ask(&format!("/drafts/{n}")).1).unwrap())
        .collect();
    let mut links: Vec<Link> = Vec::new();
    for run in runs {
        let out = stand.lose(run);
        links.push(sent(&out).expect("it goes on elsewhere").0);
    }
    links.sort_unstable();
    links.dedup();
    assert_eq!(links.len(), 5);
}

/// Two entries of the own interface have no link to one another: the sidecars pass on what each of
/// them saw, to entries that start later as well.
#[test]
fn entries_of_the_own_interface_hear_of_it_by_way_of_sidecars() {
    let mut now = ms(0);
    let mut entries = [own::entry(1, now), own::entry(2, now)];
    let mut sidecars: Vec<Sidecar> = (0..4).map(|n| own::sidecar(n, 4, 1)).collect();
    let link_up = |entry: &mut Entry, number: usize, sidecars: &mut [Sidecar], now: Time| {
        for (at, sidecar) in sidecars.iter_mut().enumerate() {
            let link = (number * 10 + at) as Link;
            for output in sidecar.handle(now, sidecar::Input::LinkUp(link)) {
                if let sidecar::Output::Send(_, frame) = output {
                    entry.handle(now, Input::Frame(link, frame));
                }
            }
        }
    };
    for (number, entry) in entries.iter_mut().enumerate() {
        link_up(entry, number, &mut sidecars, now);
    }
    let call = |n| own::ask(n, "/clock/bad", true);
    for n in 0..3 {
        now = now + Span::from_millis(300);
        let out = entries[0].handle(now, call(n));
        let (link, run) = sent(&out).expect("it is sent");
        let fail = Frame::Fail {
            run,
            failure: Failure::new(Reason::UpstreamLost, Verdict::MayHaveRun, "broke off"),
            record: None,
            load: Load::default(),
        };
        for output in entries[0].handle(now, Input::Frame(link, fail)) {
            let Output::QuarantineUpdate(word) = output else {
                continue;
            };
            let words = Frame::Quarantine(vec![word]);
            for output in sidecars[0].handle(now, sidecar::Input::Frame(0, words)) {
                if let sidecar::Output::Send(10, frame) = output {
                    entries[1].handle(now, Input::Frame(10, frame));
                }
            }
        }
    }
    let mut later = own::entry(3, now);
    link_up(&mut later, 2, &mut sidecars, now);
    let [first, second] = entries;
    for (number, mut entry) in [first, second, later].into_iter().enumerate() {
        let out = entry.handle(now, call(10));
        assert!(sent(&out).is_none(), "entry {number}");
        assert_eq!(failure(&out).unwrap().reason, Reason::Quarantined);
    }
}
