//! Which requests are held back because they crash upstreams, for how long, and what frees them.

mod common;

use common::{ask, entry, failure, head, own, routed, sent, streams};
use proptest::prelude::*;
use sorreldeck::entry::{Entry, Input, Member, Output, Reply};
use sorreldeck::pick::{Link, Placement};
use sorreldeck::quarantine::{Admission, Change, Fingerprint, Hold, Quarantine, Run, Update};
use sorreldeck::sidecar::{self, Sidecar};
use sorreldeck::wire::{self, Frame, Load};
use sorreldeck::{Failure, Incarnation, PoolId, Reason, RequestId, Span, Time, Verdict};
use test_case::test_case;

/// The longest time for which a request is held back, with the additional wait of other entries.
const MAX_HOLD: Span = Span::from_millis(660_000);

fn fingerprint(number: u64) -> Fingerprint {
    Fingerprint::of(&[&number.to_le_bytes()])
}

fn pool() -> PoolId {
    "engines".parse().unwrap()
}

fn crash(quarantine: &mut Quarantine, number: u64, upstream: u64, now: Time) {
    let run = Run {
        fingerprint: fingerprint(number),
        parts: &[],
        pool: &pool(),
        upstream,
        spread: 0.0,
    };
    quarantine.record_crash(&run, now);
}

fn ms(ms: u64) -> Time {
    Time(1_000_000) + Span::from_millis(ms)
}

/// Returns a quarantine with a request that has crashed three upstreams, 200 ms apart, the last at
/// 600 ms.
fn held() -> Quarantine {
    let mut quarantine = Quarantine::default();
    for upstream in 1..=3 {
        crash(&mut quarantine, 7, upstream, ms(200 * upstream));
    }
    quarantine
}

fn recorded(hold: Hold, is_own: bool) -> Hold {
    Hold { is_own, ..hold }
}

fn take_hold(quarantine: &mut Quarantine) -> Option<Hold> {
    quarantine
        .take_changes()
        .into_iter()
        .find_map(|change| match change {
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
        crash(&mut quarantine, 7, upstream, ms(gap * upstream));
    }
    let now = ms(gap * (crashes - 1) + 1);
    let is_held = matches!(quarantine.admits(fingerprint(7), now), Admission::Held(_));
    assert_eq!(is_held, expected);
}

#[test]
fn many_runs_at_one_upstream_are_one_crash() {
    let mut quarantine = Quarantine::default();
    for copy in 0..20 {
        crash(&mut quarantine, 7, 1, ms(60 * copy));
    }
    assert_eq!(
        quarantine.admits(fingerprint(7), ms(1_300)),
        Admission::Allowed
    );
}

/// A request that ran beside the cause at each crash cannot be distinguished from it; one that did
/// so at two crashes can.
#[test]
fn requests_beside_the_cause_are_not_held_back() {
    let mut quarantine = Quarantine::default();
    for upstream in 1..=3 {
        let now = ms(200 * upstream);
        crash(&mut quarantine, 7, upstream, now);
        crash(&mut quarantine, 10 + upstream, upstream, now);
        if upstream > 1 {
            crash(&mut quarantine, 8, upstream, now);
        }
    }
    // The crashes are attributed to the request that was at three of them.
    crash(&mut quarantine, 8, 9, ms(5_000));
    crash(&mut quarantine, 8, 10, ms(6_000));
    assert_eq!(
        quarantine.admits(fingerprint(8), ms(6_000)),
        Admission::Allowed
    );
    assert!(!quarantine.is_suspect(fingerprint(11), ms(6_000)));
}

#[test]
fn an_answer_frees_a_request_at_all_entries() {
    let mut quarantine = Quarantine::default();
    crash(&mut quarantine, 7, 1, ms(0));
    crash(&mut quarantine, 7, 2, ms(200));
    quarantine.take_updates();
    quarantine.record_answer(fingerprint(7), &pool(), ms(300));
    assert_eq!(
        quarantine.take_updates(),
        [Update::Answered(fingerprint(7))]
    );
    crash(&mut quarantine, 7, 3, ms(400));
    assert_eq!(
        quarantine.admits(fingerprint(7), ms(400)),
        Admission::Allowed
    );

    let mut other = held();
    assert!(take_hold(&mut other).is_some());
    other.merge(Update::Answered(fingerprint(7)), ms(700), |_| 0.0);
    assert_eq!(other.admits(fingerprint(7), ms(700)), Admission::Allowed);
    assert_eq!(other.take_changes(), [Change::Freed(fingerprint(7))]);
    // A record that arrives after the answer does not hold the request back.
    let delayed = Hold {
        until: ms(9_000),
        previous: 0,
        is_own: false,
    };
    other.restore_hold(fingerprint(7), delayed, ms(900));
    assert_eq!(other.admits(fingerprint(7), ms(900)), Admission::Allowed);
}

/// An operator lifts what is held back here; the other entries hear of it as of an answer.
#[test]
fn a_lifted_request_is_sent_again_at_all_entries() {
    let mut quarantine = held();
    assert_eq!(quarantine.held(ms(700)).len(), 1);
    quarantine.take_updates();
    quarantine.take_changes();
    assert!(!quarantine.lift(fingerprint(8), ms(700)));
    assert!(quarantine.lift(fingerprint(7), ms(700)));
    assert_eq!(
        quarantine.admits(fingerprint(7), ms(700)),
        Admission::Allowed
    );
    assert!(quarantine.held(ms(700)).is_empty());
    assert_eq!(quarantine.take_changes(), [Change::Freed(fingerprint(7))]);
    assert_eq!(
        quarantine.take_updates(),
        [Update::Answered(fingerprint(7))]
    );
}

/// An entry that answered a request recently reports this when others suspect the request.
#[test]
fn a_recent_answer_is_reported_if_others_suspect_the_request() {
    let mut quarantine = Quarantine::default();
    quarantine.record_answer(fingerprint(7), &pool(), ms(0));
    let update = Update::Crashed {
        upstream: 1,
        ago_ms: 10,
        requests: vec![fingerprint(7), fingerprint(8)],
        parts: Vec::new(),
        by: Incarnation(1),
    };
    quarantine.merge(update, ms(100), |_| 0.0);
    assert_eq!(
        quarantine.take_updates(),
        [Update::Answered(fingerprint(7))]
    );
    assert!(quarantine.is_suspect(fingerprint(8), ms(100)));
}

#[test]
fn crashes_that_several_entries_saw_count_together() {
    let mut quarantine = Quarantine::default();
    crash(&mut quarantine, 7, 1, ms(0));
    for (upstream, at) in [(1, 120), (2, 300), (3, 500)] {
        assert_eq!(
            quarantine.admits(fingerprint(7), ms(at)),
            Admission::Allowed
        );
        let update = Update::Crashed {
            upstream,
            ago_ms: 100,
            requests: vec![fingerprint(7)],
            parts: Vec::new(),
            by: Incarnation(1),
        };
        quarantine.merge(update, ms(at), |_| 0.0);
    }
    let admission = quarantine.admits(fingerprint(7), ms(500));
    assert!(matches!(admission, Admission::Held(_)));
}

/// Upstreams that crash at one moment have one cause, however late the reports arrive.
#[test]
fn late_reports_count_at_the_time_of_the_crash() {
    let mut quarantine = Quarantine::default();
    crash(&mut quarantine, 7, 1, ms(0));
    for upstream in 2..=6 {
        let update = Update::Crashed {
            upstream,
            ago_ms: 100 * upstream,
            requests: vec![fingerprint(7)],
            parts: Vec::new(),
            by: Incarnation(1),
        };
        quarantine.merge(update, ms(100 * upstream + 5), |_| 0.0);
    }
    assert_eq!(
        quarantine.admits(fingerprint(7), ms(700)),
        Admission::Allowed
    );
}

/// A request that is at most upstreams is also at those that crash for another reason.
#[test]
fn a_request_at_most_upstreams_needs_more_crashes() {
    let mut quarantine = Quarantine::default();
    for upstream in 0..8 {
        let run = Run {
            fingerprint: fingerprint(7),
            parts: &[],
            pool: &pool(),
            upstream,
            spread: 0.9,
        };
        quarantine.record_crash(&run, ms(300 * upstream));
    }
    assert_eq!(
        quarantine.admits(fingerprint(7), ms(3_000)),
        Admission::Allowed
    );
}

/// The entry that owns the record tries the request first, all others a minute later. A crash
/// during the trial holds the request back for longer.
#[test]
fn a_request_is_tried_again_and_held_back_for_longer() {
    let mut quarantine = held();
    let first = take_hold(&mut quarantine).unwrap();
    assert_eq!(first.until.since(ms(600)), Span::from_millis(10_000));
    let after = first.until + Span::from_millis(1);
    let others = first.until + Span::from_millis(60_000);
    assert!(matches!(
        quarantine.admits(fingerprint(7), after),
        Admission::Held(_)
    ));
    assert_eq!(quarantine.admits(fingerprint(7), others), Admission::Trial);
    quarantine.restore_hold(fingerprint(7), recorded(first, true), ms(700));
    assert_eq!(quarantine.admits(fingerprint(7), after), Admission::Trial);
    crash(&mut quarantine, 7, 4, after);
    let second = take_hold(&mut quarantine).unwrap();
    assert_eq!(second.until.since(after), Span::from_millis(120_000));
    assert_eq!((second.previous, second.is_own), (1, true));
}

/// Processes that forward updates repeat them to entries that are linked later.
#[test]
fn a_repeated_report_of_an_earlier_crash_does_not_end_the_trial() {
    let mut quarantine = held();
    let first = take_hold(&mut quarantine).unwrap();
    let now = first.until + Span::from_millis(65_000);
    let update = |ago: Span| Update::Crashed {
        upstream: 3,
        ago_ms: ago.millis(),
        requests: vec![fingerprint(7)],
        parts: Vec::new(),
        by: Incarnation(1),
    };
    quarantine.merge(update(now.since(ms(600))), now, |_| 0.0);
    assert_eq!(quarantine.admits(fingerprint(7), now), Admission::Trial);
    quarantine.merge(update(Span::from_millis(50)), now, |_| 0.0);
    assert!(matches!(
        quarantine.admits(fingerprint(7), now),
        Admission::Held(_)
    ));
}

#[test]
fn an_older_record_does_not_change_a_later_hold() {
    let mut quarantine = held();
    let first = take_hold(&mut quarantine).unwrap();
    quarantine.restore_hold(fingerprint(7), recorded(first, true), ms(700));
    crash(&mut quarantine, 7, 4, first.until);
    let second = take_hold(&mut quarantine).unwrap();
    quarantine.restore_hold(fingerprint(7), recorded(first, false), first.until);
    let admission = quarantine.admits(fingerprint(7), first.until + Span::from_millis(100_000));
    let left = second.until.since(first.until + Span::from_millis(100_000));
    assert_eq!(admission, Admission::Held(left));
}

proptest! {
    /// Whatever is reported and recorded, in any order and with clocks however far off: no request
    /// is held back for longer than the longest time, and an answer frees it at once.
    #[test]
    fn no_request_is_held_back_for_ever(
        steps in prop::collection::vec((0u8..6, 0u64..4, 0u64..9, 0u64..400_000, any::<u64>()), 1..80),
    ) {
        let mut quarantine = Quarantine::default();
        let mut now = ms(0);
        for (what, number, upstream, pass, wild) in steps {
            now = now + Span::from_millis(pass / 8);
            match what {
                0 | 1 => crash(&mut quarantine, number, upstream, now),
                2 => {
                    let requests = vec![fingerprint(number), fingerprint(number + 1)];
                    quarantine.merge(Update::Crashed { upstream, ago_ms: wild, requests, parts: Vec::new(), by: Incarnation(1) }, now, |_| 0.3);
                }
                3 => {
                    let hold = Hold { until: Time(wild / 2), previous: wild as u32, is_own: wild % 2 == 0 };
                    quarantine.restore_hold(fingerprint(number), hold, now);
                }
                4 => {
                    quarantine.record_answer(fingerprint(number), &pool(), now);
                    prop_assert_eq!(quarantine.admits(fingerprint(number), now), Admission::Allowed);
                }
                _ => quarantine.remove_hold(fingerprint(number)),
            }
            for number in 0..5 {
                if let Admission::Held(left) = quarantine.admits(fingerprint(number), now) {
                    prop_assert!(left <= MAX_HOLD, "{}", left.millis());
                }
            }
            let later = now + MAX_HOLD;
            for number in 0..5 {
                prop_assert!(!matches!(quarantine.admits(fingerprint(number), later), Admission::Held(_)));
            }
        }
    }
}

#[test]
fn memory_is_bounded() {
    let mut quarantine = Quarantine::default();
    for number in 0..200_000 {
        let now = ms(number * 60);
        crash(&mut quarantine, number / 3, number, now);
        quarantine.record_answer(fingerprint(1_000_000 + number), &pool(), now);
    }
    let end = ms(200_000 * 60);
    assert!(quarantine.held_count(end) <= 512);
    assert!(quarantine.take_updates().len() <= 1_024);
    assert!(quarantine.tracked_runs() <= 128 * 256);
}

/// An entry with upstreams of a pool that answers with streams.
struct Fixture {
    entry: Entry,
    now: Time,
    next: u64,
}

impl Fixture {
    fn new(upstreams: u64) -> Fixture {
        let mut fixture = Fixture {
            entry: entry(1, 7),
            now: ms(0),
            next: 1,
        };
        fixture.handle(streams(""));
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
            fixture.handle(Input::Join(link, Box::new(member)));
        }
        fixture
    }

    fn handle(&mut self, input: Input) -> Vec<Output> {
        self.entry.handle(self.now, input)
    }

    fn pass(&mut self, ms: u64) -> Vec<Output> {
        self.now = self.now + Span::from_millis(ms);
        self.handle(Input::Tick)
    }

    /// Requests a path; returns the request and the outputs of the entry.
    fn ask(&mut self, path: &str) -> (RequestId, Vec<Output>) {
        let request = RequestId::new(1, self.next);
        self.next += 1;
        let label = format!("r{}", self.next);
        (
            request,
            self.handle(ask(request, None, routed(label, path))),
        )
    }

    fn fail(&mut self, sent: (Link, wire::Run)) -> Vec<Output> {
        let failure = Failure::new(Reason::UpstreamLost, Verdict::MayHaveRun, "broke off");
        self.handle(Input::Reply(sent.0, sent.1, Reply::Fail(failure)))
    }

    /// Lets a path crash its upstreams until it is held back; returns the number of crashes.
    fn crash(&mut self, path: &str) -> usize {
        let mut crashes = 0;
        while crashes < 9 {
            let (_, mut out) = self.ask(path);
            while let Some(run) = sent(&out) {
                self.pass(60);
                out = self.fail(run);
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
fn a_refusal_is_immediate_and_says_when_to_retry() {
    let mut fixture = Fixture::new(12);
    assert_eq!(fixture.crash("/drafts/bad"), 3);
    let (_, out) = fixture.ask("/drafts/bad");
    assert!(sent(&out).is_none());
    let refusal = failure(&out).unwrap();
    assert_eq!(
        (refusal.reason, refusal.verdict),
        (Reason::Quarantined, Verdict::NotRun)
    );
    assert!(refusal
        .retry_after
        .is_some_and(|after| after.millis() > 1_000));
    let (_, out) = fixture.ask("/drafts/good");
    assert!(sent(&out).is_some(), "everything else is sent");
}

/// A run that has begun would crash its upstream within a moment, and its complete answer would
/// free the request. A run that has not begun is broken off before it can do either.
#[test]
fn runs_that_have_not_begun_are_broken_off() {
    let mut fixture = Fixture::new(12);
    let (begun, out) = fixture.ask("/drafts/bad");
    let (link, run) = sent(&out).unwrap();
    fixture.handle(Input::Reply(link, run, head(200)));
    let (waiting, out) = fixture.ask("/drafts/bad");
    let other = sent(&out).unwrap();
    fixture.crash("/drafts/bad");
    let decision = fixture.entry.history().get(waiting).unwrap();
    let refusal = decision.failure.clone().unwrap();
    assert_eq!(
        (refusal.reason, refusal.verdict),
        (Reason::Quarantined, Verdict::MayHaveRun)
    );
    assert!(fixture.fail(other).is_empty(), "the request has ended");
    assert!(fixture
        .entry
        .history()
        .get(begun)
        .unwrap()
        .failure
        .is_none());
    let out = fixture.handle(Input::Reply(link, run, Reply::End));
    let freed = |o: &Output| matches!(o, Output::RecordQuarantine(Change::Freed(_)));
    assert!(out.iter().any(freed), "{out:?}");
    assert!(sent(&fixture.ask("/drafts/bad").1).is_some());
}

#[test]
fn a_trial_is_one_run_at_a_time() {
    let mut fixture = Fixture::new(12);
    fixture.crash("/drafts/bad");
    fixture.pass(75_000);
    let (_, out) = fixture.ask("/drafts/bad");
    let (link, run) = sent(&out).expect("it is tried");
    let (_, out) = fixture.ask("/drafts/bad");
    let refusal = failure(&out).expect("no second run beside it");
    assert_eq!(refusal.reason, Reason::Quarantined);
    fixture.handle(Input::Reply(link, run, head(200)));
    fixture.handle(Input::Reply(link, run, Reply::End));
    assert!(sent(&fixture.ask("/drafts/bad").1).is_some(), "it is free");
}

/// If several runs broke together, the next crash shows which request is the cause only if they are
/// not together again.
#[test]
fn suspects_go_to_different_upstreams() {
    let mut fixture = Fixture::new(12);
    let runs: Vec<_> = (0..5)
        .map(|n| sent(&fixture.ask(&format!("/drafts/{n}")).1).unwrap())
        .collect();
    let mut links: Vec<Link> = Vec::new();
    for run in runs {
        let out = fixture.fail(run);
        links.push(sent(&out).expect("it goes on elsewhere").0);
    }
    links.sort_unstable();
    links.dedup();
    assert_eq!(links.len(), 5);
}

/// Two entries of the own interface have no link to one another: the sidecars forward what each of
/// them saw, also to entries that start later.
#[test]
fn sidecars_forward_updates_between_entries_of_the_own_interface() {
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
            let Output::QuarantineUpdate(update) = output else {
                continue;
            };
            let updates = Frame::Quarantine(vec![update]);
            for output in sidecars[0].handle(now, sidecar::Input::Frame(0, updates)) {
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
