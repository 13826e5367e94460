//! On a calm day, requests of five sessions ran on a release that was on trial, less than 5 s
//! after the request before them had ended on the old release.
//!
//! In each of the five, another entry had begun to serve the request before on the old release
//! 0.1 to 1.6 s before the trial began, and it ended up to 2 s after that. The entry that took the
//! next one, 0.6 to 4.7 s later, had never heard of the session and drew it for the trial, as
//! all entries do by its name. Of some 200 sessions between two requests at that moment,
//! 2.5 in 100 are drawn.
//!
//! Evidence: the lines of all entries, requests ordered by session; no other session changed
//! its release in that half of the move, in any other way.

use crate::common;
use sorreldeck::entry::{Entry, Input, Member, Output, Reply, Routed};
use sorreldeck::pick::{Link, Placement};
use sorreldeck::release::{Order, State};
use sorreldeck::wire::{Frame, Load, Run};
use sorreldeck::{RequestId, Span, Time};
use test_case::test_case;

/// The sessions, and how many of them may change their release.
const SESSIONS: u64 = 1_000;
const MAY_MOVE: usize = 3;
/// When the order and its record are known everywhere, and how long what an entry tells the
/// others takes.
const TRIAL_AT: Time = Time(100_000_000);
const TOLD_AFTER: Span = Span::from_millis(300);
/// The links to upstreams; those from `FIRST_NEW` on run the release on trial.
const LINKS: u64 = 8;
const FIRST_NEW: u64 = 5;

fn entry(number: u64) -> Entry {
    let mut entry = common::entry(number, number);
    entry.handle(Time(1), common::streams(""));
    for link in 1..=LINKS {
        let release = if link < FIRST_NEW { "v1" } else { "v2" };
        let member = Member {
            upstream: format!("u{link}").parse().unwrap(),
            pool: "engines".parse().unwrap(),
            placement: Placement {
                incarnation: None,
                hall: None,
                release: Some(release.parse().unwrap()),
                region: None,
            },
            load: Load {
                slots: 4_000,
                ..Load::default()
            },
        };
        entry.handle(Time(1), Input::Join(link, Box::new(member)));
    }
    entry.handle(Time(1), Input::Tick);
    entry
}

fn session(number: u64) -> u64 {
    // Names of sessions are hashes.
    (number + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

/// What one entry tells the others.
fn handed_on(output: &Output) -> Option<Input> {
    match output {
        Output::SessionAffinity(stay) => Some(Input::SessionAffinity(stay.clone())),
        _ => None,
    }
}

struct World {
    entries: Vec<Entry>,
    now: Time,
    told: Vec<(Time, usize, Input)>,
    serial: u64,
}

impl World {
    fn new() -> World {
        World {
            entries: (1..=2).map(entry).collect(),
            now: Time(1_000_000),
            told: Vec::new(),
            serial: 0,
        }
    }

    /// Lets time pass until then; what was told is heard meanwhile.
    fn pass(&mut self, until: Time) {
        while self.now < until {
            self.now = self.now + Span::from_millis(20);
            let told = std::mem::take(&mut self.told);
            for (due, from, input) in told {
                match due <= self.now {
                    true => drop(self.entries[1 - from].handle(self.now, input)),
                    false => self.told.push((due, from, input)),
                }
            }
            for number in 0..2 {
                self.handle(number, Input::Tick);
            }
        }
    }

    fn handle(&mut self, number: usize, input: Input) -> Vec<Output> {
        let outputs = self.entries[number].handle(self.now, input);
        for input in outputs.iter().filter_map(handed_on) {
            self.told.push((self.now + TOLD_AFTER, number, input));
        }
        outputs
    }

    fn order(&mut self) {
        for number in 0..2 {
            let order = Order {
                pool: "engines".parse().unwrap(),
                to: "v2".parse().unwrap(),
                duration: Span::from_millis(24_000),
                issued: 7.into(),
            };
            self.handle(
                number,
                Input::Move(order, Some(State::Running), Some(TRIAL_AT)),
            );
        }
    }

    /// Sends a request of a session; returns where it runs.
    fn ask(&mut self, number: usize, session: u64) -> (Link, Run) {
        self.serial += 1;
        let routed = Routed {
            session: Some(session),
            ..common::routed(format!("r{}", self.serial), "/drafts/x")
        };
        let request = RequestId::new(number as u64, self.serial);
        let outputs = self.handle(number, common::ask(request, None, routed));
        let run = outputs.iter().find_map(|output| match output {
            Output::Send(link, Frame::Start(start)) => Some((*link, start.run)),
            _ => None,
        });
        run.expect("the request is sent")
    }

    fn end(&mut self, number: usize, (link, run): (Link, Run)) {
        self.handle(number, Input::Reply(link, run, common::head(200)));
        self.handle(number, Input::Reply(link, run, Reply::End));
    }
}

fn is_new(run: &(Link, Run)) -> bool {
    run.0 >= FIRST_NEW
}

/// Each row: when the requests before the trial begin and end, and when those after them come
/// to the other entry, in milliseconds from the beginning of the trial.
#[test_case(-2_000, -1_000, 3_500; "served before the trial, and soon after it began")]
#[test_case(-1_500, 1_900, 6_500; "under way when it began")]
#[test_case(-9_000, 8_000, 11_500; "long under way, beyond the life of a session")]
#[test_case(-500, 700, 1_400; "soon one after another")]
fn no_session_that_another_entry_served_is_drawn(begins: i64, ends: i64, next: i64) {
    let at = |ms: i64| Time((TRIAL_AT.0 as i64 + ms * 1_000) as u64);
    let mut world = World::new();
    world.pass(at(begins));
    let runs: Vec<_> = (0..SESSIONS).map(|n| world.ask(0, session(n))).collect();
    if ends < 0 {
        world.pass(at(ends));
        runs.iter().for_each(|run| world.end(0, *run));
        world.pass(TRIAL_AT);
        world.order();
    } else {
        world.pass(TRIAL_AT);
        world.order();
        world.pass(at(ends));
        runs.iter().for_each(|run| world.end(0, *run));
    }
    world.pass(at(next));
    let moved = (0..SESSIONS).filter(|n| is_new(&world.ask(1, session(*n))));
    let moved = moved.count();
    assert!(moved <= MAY_MOVE, "{moved} of {SESSIONS} sessions moved");
    // Sessions that begin are drawn as before.
    let fresh = (SESSIONS..3 * SESSIONS).filter(|n| is_new(&world.ask(1, session(*n))));
    let share = fresh.count() as f64 / (2 * SESSIONS) as f64;
    assert!((0.01..0.05).contains(&share), "{share} of new sessions");
}

/// A session that was drawn stays drawn, at whichever entry.
#[test]
fn a_session_on_trial_stays_there_at_other_entries() {
    let mut world = World::new();
    world.pass(TRIAL_AT);
    world.order();
    world.pass(TRIAL_AT + Span::from_millis(4_000));
    let runs: Vec<_> = (0..SESSIONS).map(|n| world.ask(0, session(n))).collect();
    world.pass(TRIAL_AT + Span::from_millis(5_000));
    runs.iter().for_each(|run| world.end(0, *run));
    world.pass(TRIAL_AT + Span::from_millis(7_000));
    let moved = (0..SESSIONS).filter(|n| {
        let run = world.ask(1, session(*n));
        is_new(&run) != is_new(&runs[*n as usize])
    });
    assert_eq!(moved.count(), 0);
}
