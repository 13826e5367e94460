//! Which parts of prompts are held back, over several entries and in every order of a few events.

use sorreldeck::quarantine::{Active, Admission, Fingerprint, Quarantine, Run, Update};
use sorreldeck::{Incarnation, PoolId, Span, Time};
use test_case::test_case;

const ENTRIES: usize = 3;
/// Time between two events.
const GAP: Span = Span::from_millis(300);
/// Time from a report to its arrival at other entries.
const LATENCY: Span = Span::from_millis(100);
/// Time within which all entries must hold back what crashes upstreams.
const CONTACT: Span = Span::from_millis(3_000);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Event {
    /// A run with the crashing part begins at this entry and its upstream goes down.
    Crash(usize),
    /// A sound run with the shared parts ends well at this entry.
    Answer(usize),
    /// The next reports of this entry arrive a second late.
    Late(usize),
    /// The next reports of this entry are lost.
    Lost(usize),
    /// This entry starts anew and knows nothing.
    Restart(usize),
}

fn part(name: &str) -> Fingerprint {
    Fingerprint::of_part(name.as_bytes())
}

fn pool() -> PoolId {
    "engines".parse().unwrap()
}

struct World {
    now: Time,
    entries: Vec<Quarantine>,
    /// What arrives when, at which entry.
    arriving: Vec<(Time, usize, Update)>,
    late: [bool; ENTRIES],
    lost: [bool; ENTRIES],
    next: u64,
}

impl World {
    /// Returns entries that have answered sound requests before.
    fn new() -> World {
        let entry = |n| Quarantine::new(Incarnation(n as u64 + 1));
        let mut world = World {
            now: Time(100_000_000),
            entries: (0..ENTRIES).map(entry).collect(),
            arriving: Vec::new(),
            late: [false; ENTRIES],
            lost: [false; ENTRIES],
            next: 0,
        };
        for round in 0..45 {
            world.answer(round % ENTRIES);
            world.pass(Span::from_millis(40));
        }
        world
    }

    fn fingerprint(&mut self) -> Fingerprint {
        self.next += 1;
        Fingerprint::of(&[&self.next.to_le_bytes()])
    }

    fn answer(&mut self, entry: usize) {
        let fingerprint = self.fingerprint();
        let now = self.now;
        self.entries[entry].record_answer(fingerprint, &pool(), now);
        self.entries[entry].record_part_answers(&[part("first"), part("second")], now);
    }

    /// Lets an upstream crash under a run with the crashing part, and under sound runs of all entries.
    fn crash(&mut self, entry: usize) {
        let upstream = self.next + 100;
        let cause = [part("first"), part("crashing")];
        let sound = [part("first"), part("second")];
        for (at, parts) in [(entry, cause), (0, sound), (1, sound), (2, sound)] {
            let run = Run {
                fingerprint: self.fingerprint(),
                parts: &parts,
                pool: &pool(),
                upstream,
                spread: 0.0,
            };
            let now = self.now;
            self.entries[at].record_crash(&run, now);
        }
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Crash(entry) => self.crash(entry),
            Event::Answer(entry) => self.answer(entry),
            Event::Late(entry) => self.late[entry] = true,
            Event::Lost(entry) => self.lost[entry] = true,
            Event::Restart(entry) => {
                let again = Incarnation(self.next + 1_000);
                self.entries[entry] = Quarantine::new(again);
            }
        }
    }

    /// Lets time pass: reports arrive, and the entries judge.
    fn pass(&mut self, span: Span) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + Span::from_millis(20);
            let now = self.now;
            self.send();
            let (due, rest) = std::mem::take(&mut self.arriving)
                .into_iter()
                .partition(|(at, _, _)| *at <= now);
            self.arriving = rest;
            for (_, entry, update) in due {
                self.entries[entry].merge(update, now, |_| 0.0);
            }
            for entry in &mut self.entries {
                entry.judge_parts(now, |_| Active::default());
            }
        }
    }

    fn send(&mut self) {
        for entry in 0..ENTRIES {
            let updates = self.entries[entry].take_updates();
            if updates.is_empty() || std::mem::take(&mut self.lost[entry]) {
                continue;
            }
            let delay = match std::mem::take(&mut self.late[entry]) {
                true => Span::from_millis(1_000),
                false => LATENCY,
            };
            for other in (0..ENTRIES).filter(|other| *other != entry) {
                let sent = updates.iter().map(|u| u.clone().delayed(delay));
                let at = self.now + delay;
                self.arriving.extend(sent.map(|update| (at, other, update)));
            }
        }
    }

    fn is_held(&self, entry: usize, name: &str) -> bool {
        let admission = self.entries[entry].admits(part(name), self.now);
        matches!(admission, Admission::Held(_))
    }
}

/// Calls `check` with every order of the events.
fn for_each_order(events: &mut Vec<Event>, from: usize, check: &impl Fn(&[Event])) {
    if from == events.len() {
        return check(events);
    }
    for next in from..events.len() {
        events.swap(from, next);
        for_each_order(events, from + 1, check);
        events.swap(from, next);
    }
}

/// In every order of the events with five crashes: each entry that heard of the crashes holds the part
/// back in time, and no entry holds back a part that sound requests share.
#[test_case(Event::Answer(1); "a sound run ends well")]
#[test_case(Event::Late(0); "reports arrive late")]
#[test_case(Event::Lost(2); "reports are lost")]
#[test_case(Event::Restart(1); "an entry starts anew")]
fn a_crashing_part_is_held_back_in_every_order(event: Event) {
    use Event::{Answer, Crash};
    let mut events = vec![
        Crash(0),
        Crash(1),
        Crash(2),
        Crash(0),
        Crash(1),
        event,
        Answer(2),
    ];
    for_each_order(&mut events, 0, &|order| {
        let mut world = World::new();
        for event in order {
            world.apply(*event);
            world.pass(GAP);
        }
        world.pass(CONTACT - GAP);
        let knows = |entry: &usize| event != Event::Restart(*entry);
        for entry in (0..ENTRIES).filter(knows) {
            assert!(world.is_held(entry, "crashing"), "entry {entry}: {order:?}");
        }
        for entry in 0..ENTRIES {
            for name in ["first", "second"] {
                assert!(!world.is_held(entry, name), "{name} at {entry}: {order:?}");
            }
        }
    });
}

/// When the part is harmless again, one trial lets it in at all entries.
#[test]
fn one_answered_trial_lets_a_part_in_everywhere() {
    let mut world = World::new();
    for entry in [0, 1, 2, 0, 1] {
        world.crash(entry);
        world.pass(GAP);
    }
    assert!((0..ENTRIES).all(|entry| world.is_held(entry, "crashing")));
    let now = world.now;
    world.entries[1].record_part_answers(&[part("crashing")], now);
    world.pass(GAP);
    assert!((0..ENTRIES).all(|entry| !world.is_held(entry, "crashing")));
}

/// One request that was at all crashes explains them: other requests with its parts are sent.
#[test]
fn the_parts_of_one_crashing_request_are_not_held_back() {
    let mut world = World::new();
    let fingerprint = world.fingerprint();
    for upstream in 0..6 {
        let run = Run {
            fingerprint,
            parts: &[part("first"), part("rare")],
            pool: &pool(),
            upstream,
            spread: 0.0,
        };
        let now = world.now;
        world.entries[0].record_crash(&run, now);
        world.pass(GAP);
    }
    let admission = world.entries[0].admits(fingerprint, world.now);
    assert!(matches!(admission, Admission::Held(_)));
    assert!(!world.is_held(0, "rare"));
    assert!(!world.is_held(0, "first"));
}

#[test]
fn a_late_report_of_an_old_crash_does_not_hide_later_ones() {
    let mut world = World::new();
    for entry in [0, 1, 2, 0] {
        world.crash(entry);
        world.pass(Span::from_millis(80));
    }
    let old = Update::Crashed {
        upstream: 7,
        ago_ms: 60_000,
        requests: vec![part("other")],
        parts: Vec::new(),
        by: Incarnation(9),
    };
    for entry in 0..ENTRIES {
        let now = world.now;
        world.entries[entry].merge(old.clone(), now, |_| 0.0);
    }
    world.pass(CONTACT);
    for entry in 0..ENTRIES {
        assert!(world.is_held(entry, "crashing"), "entry {entry}");
    }
}

/// Builds that know no parts read reports with parts, and their reports are read.
#[test]
fn reports_are_read_by_older_builds_and_theirs_by_this_one() {
    let mut quarantine = Quarantine::new(Incarnation(7));
    let run = Run {
        fingerprint: part("request"),
        parts: &[part("crashing")],
        pool: &pool(),
        upstream: 4,
        spread: 0.0,
    };
    quarantine.record_crash(&run, Time(1_000_000));
    let report = serde_json::to_value(&quarantine.take_updates()[0]).unwrap();
    let known = &report["Lost"];
    assert_eq!(known["upstream"], 4);
    assert_eq!(known["there"].as_array().unwrap().len(), 1);
    let older = serde_json::json!({"Lost": {"upstream": 4, "ago_ms": 0, "there": [1, 2]}});
    let older: Update = serde_json::from_value(older).unwrap();
    assert!(matches!(older, Update::Crashed { parts, .. } if parts.is_empty()));
}
