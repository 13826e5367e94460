//! Several entries before one pool of upstreams that crash, with the time passed by hand.

use super::calls;
use super::{Kind, Scenario, Tally};
use crate::routed;
use crate::schedule::Schedule;
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sorreldeck::entry::{Entry, Input, Output, Part, Reply};
use sorreldeck::pick::Link;
use sorreldeck::quarantine::{Change, Fingerprint, Hold, Update};
use sorreldeck::wire::{Frame, Run};
use sorreldeck::{Failure, Reason, RequestId, Span, Time, Verdict};
use std::collections::{BTreeMap, BTreeSet};

/// How long a request that crashes its upstream has run by then.
const CRASHES_AFTER: Span = Span::from_millis(100);
/// How long an upstream is away; another comes for it.
const AWAY: Span = Span::from_millis(3_000);
/// How long the row of a crashed upstream stays.
const LEASE: Span = Span::from_millis(3_600);
const TICK: Span = Span::from_millis(20);

#[derive(Debug)]
enum Event {
    Ask(Kind),
    Reply(usize, Link, Run, Reply),
    /// A run comes to its end, or to where it crashes its upstream.
    Finish(Link, usize, Run, Kind),
    CrashAny,
    CrashAll,
    Lapse(Link),
    Back,
    Word(usize, Update),
    Record(usize, Fingerprint, Option<Hold>),
    Tick,
    Restart,
}

struct Upstream {
    is_up: bool,
    runs: BTreeSet<(usize, Run)>,
}

/// The entries and upstreams of a day.
pub struct World {
    day: Scenario,
    now: Time,
    rng: ChaCha8Rng,
    entries: Vec<Entry>,
    upstreams: BTreeMap<Link, Upstream>,
    next_link: Link,
    next: u64,
    schedule: Schedule<Event>,
    asked: BTreeMap<RequestId, (usize, Kind, Time)>,
    /// What is recorded, and which entry did so.
    records: BTreeMap<Fingerprint, (Hold, usize)>,
    /// Which entries have held which request back.
    holding: BTreeSet<(Kind, usize)>,
    tally: Tally,
}

impl World {
    /// Creates the entries and upstreams of a day; `seed` decides its luck.
    pub fn new(day: Scenario, seed: u64) -> World {
        let mut world = World {
            now: Time(1_000_000),
            rng: ChaCha8Rng::seed_from_u64(seed),
            entries: Vec::new(),
            upstreams: BTreeMap::new(),
            next_link: 1,
            next: 1,
            schedule: Schedule::default(),
            asked: BTreeMap::new(),
            records: BTreeMap::new(),
            holding: BTreeSet::new(),
            tally: Tally::default(),
            day,
        };
        for number in 0..world.day.entries {
            let entry = world.new_entry(number);
            world.entries.push(entry);
        }
        for _ in 0..world.day.upstreams {
            world.back();
        }
        world
    }

    fn new_entry(&mut self, number: usize) -> Entry {
        let mut entry = routed::entry(number as u64 + 1, self.rng.next_u64());
        entry.handle(self.now, routed::streams(""));
        let names = 1..=self.day.entries;
        let names = names.map(|n| format!("e{n}").parse().expect("a legal name"));
        entry.handle(self.now, Input::Entries(names.collect()));
        entry
    }

    fn at(&mut self, time: Time, event: Event) {
        self.schedule.push(time, event);
    }

    fn after_ms(&mut self, from: u64, to: u64) -> Time {
        self.now + Span::from_millis(self.rng.random_range(from..=to))
    }

    /// Plays the day and returns what came of it.
    pub fn run(mut self) -> Tally {
        let end = self.now + self.day.duration;
        let start = self.now;
        self.at(start, Event::Tick);
        for at in self.moments(self.day.crashes) {
            self.at(at, Event::CrashAny);
        }
        if let Some(at) = self.day.crash_all_at {
            self.at(start + at, Event::CrashAll);
        }
        if let Some(at) = self.day.restart {
            self.at(start + at, Event::Restart);
        }
        for number in 0..self.day.crashing {
            // The others are served by themselves at first.
            for at in self.moments(5.0) {
                if at.since(start) >= Span::from_millis(2_000) {
                    self.at(at, Event::Ask(Kind::Crashing(number)));
                }
            }
        }
        for (number, at) in self
            .moments(self.day.background_rate)
            .into_iter()
            .enumerate()
        {
            let kind = match self.rng.random_bool(self.day.identical) {
                true => Kind::Identical,
                false => Kind::Single(number as u64),
            };
            self.at(at, Event::Ask(kind));
        }
        while let Some((at, event)) = self.schedule.pop() {
            if at > end {
                break;
            }
            self.now = at;
            self.happen(event);
        }
        self.tally
    }

    /// Returns the moments of what happens so often in a second.
    fn moments(&mut self, rate: f64) -> Vec<Time> {
        let count = (rate * self.day.duration.secs_f64()) as usize;
        let lasts = self.day.duration.micros();
        let draw = |_| self.now + Span::from_micros(self.rng.random_range(0..lasts));
        (0..count).map(draw).collect()
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Ask(kind) => self.ask(kind),
            Event::Reply(entry, link, run, reply) => {
                self.tell(entry, Input::Reply(link, run, reply));
            }
            Event::Finish(link, entry, run, kind) => self.finish(link, entry, run, kind),
            Event::CrashAny => {
                let up = self.upstreams.iter().filter(|(_, u)| u.is_up);
                let up: Vec<Link> = up.map(|(link, _)| *link).collect();
                if !up.is_empty() {
                    let place = self.rng.random_range(0..up.len());
                    self.crash(up[place]);
                }
            }
            Event::CrashAll => {
                let all: Vec<Link> = self.upstreams.keys().copied().collect();
                all.into_iter().for_each(|link| self.crash(link));
            }
            Event::Lapse(link) => {
                for entry in 0..self.entries.len() {
                    self.tell(entry, Input::Retire(link));
                }
            }
            Event::Back => self.back(),
            Event::Word(entry, word) => self.tell(entry, Input::QuarantineUpdate(word)),
            Event::Record(entry, fingerprint, hold) => {
                let input = match hold {
                    Some(hold) => Input::Quarantined(fingerprint, hold),
                    None => Input::QuarantineRemoved(fingerprint),
                };
                self.tell(entry, input);
            }
            Event::Tick => {
                for entry in 0..self.entries.len() {
                    self.tell(entry, Input::Tick);
                }
                self.at(self.now + TICK, Event::Tick);
            }
            Event::Restart => self.restart(),
        }
    }

    /// Starts an entry anew: it knows upstreams and records, as the store's tables tell.
    fn restart(&mut self) {
        let mut entry = self.new_entry(0);
        for link in self.upstreams.keys() {
            entry.handle(self.now, Input::Join(*link, Box::new(calls::member(*link))));
        }
        self.entries[0] = entry;
        self.asked.retain(|_, (at, _, _)| *at != 0);
        for (fingerprint, (hold, by)) in self.records.clone() {
            let is_own = by == 0;
            self.tell(0, Input::Quarantined(fingerprint, Hold { is_own, ..hold }));
        }
    }

    fn ask(&mut self, kind: Kind) {
        let entry = self.rng.random_range(0..self.entries.len());
        self.next += 1;
        let request = RequestId::new(1, self.next);
        self.asked.insert(request, (entry, kind, self.now));
        self.tell(entry, calls::ask(request, kind));
    }

    fn back(&mut self) {
        let link = self.next_link;
        self.next_link += 1;
        let upstream = Upstream {
            is_up: true,
            runs: BTreeSet::new(),
        };
        self.upstreams.insert(link, upstream);
        for entry in 0..self.entries.len() {
            self.tell(entry, Input::Join(link, Box::new(calls::member(link))));
        }
    }

    fn crash(&mut self, link: Link) {
        let Some(upstream) = self.upstreams.get_mut(&link).filter(|u| u.is_up) else {
            return;
        };
        upstream.is_up = false;
        let runs = std::mem::take(&mut upstream.runs);
        self.tally.crashes += 1;
        for (entry, run) in runs {
            let failure = Failure::new(Reason::UpstreamLost, Verdict::MayHaveRun, "broke off");
            let at = self.after_ms(1, 9);
            self.at(at, Event::Reply(entry, link, run, Reply::Fail(failure)));
        }
        self.at(self.now + LEASE, Event::Lapse(link));
        self.at(self.now + AWAY, Event::Back);
    }

    fn finish(&mut self, link: Link, entry: usize, run: Run, kind: Kind) {
        let upstream = self.upstreams.get_mut(&link);
        if !upstream.is_some_and(|u| u.runs.contains(&(entry, run))) {
            return;
        }
        if let Kind::Crashing(_) = kind {
            let crashed = self.tally.crashed.entry(kind).or_default();
            *crashed += 1;
            match crashed {
                1 => drop(self.tally.first.insert(kind, self.now)),
                3 => drop(self.tally.third.insert(kind, self.now)),
                _ => {}
            }
            return self.crash(link);
        }
        if let Some(upstream) = self.upstreams.get_mut(&link) {
            upstream.runs.remove(&(entry, run));
        }
        self.tell(entry, Input::Reply(link, run, Reply::End));
    }

    fn tell(&mut self, entry: usize, input: Input) {
        for output in self.entries[entry].handle(self.now, input) {
            self.output(entry, output);
        }
    }

    fn output(&mut self, entry: usize, output: Output) {
        match output {
            Output::Send(link, Frame::Start(start)) => self.start(entry, link, start.run),
            Output::Send(link, Frame::Cancel(run)) => {
                if let Some(upstream) = self.upstreams.get_mut(&link) {
                    upstream.runs.remove(&(entry, run));
                }
            }
            Output::Answer(request, part) => self.answered(request, &part),
            Output::QuarantineUpdate(word) => {
                for other in (0..self.entries.len()).filter(|n| *n != entry) {
                    if !self.day.is_isolated {
                        let at = self.after_ms(20, 150);
                        // What is known of the way is known but for some ms.
                        let way = at.since(self.now) - Span::from_millis(8);
                        let word = word.clone().delayed(way);
                        self.at(at, Event::Word(other, word));
                    }
                }
            }
            Output::RecordQuarantine(news) => self.record(entry, news),
            _ => {}
        }
    }

    fn record(&mut self, entry: usize, news: Change) {
        let (fingerprint, hold) = match news {
            Change::Held(fingerprint, hold, _) => (fingerprint, Some(hold)),
            Change::Freed(fingerprint) => (fingerprint, None),
        };
        if hold.is_some() {
            self.note_known(entry, fingerprint);
        }
        let known = self.records.get(&fingerprint).copied();
        let is_new = match (known, hold) {
            (Some((known, _)), Some(hold)) => hold.previous > known.previous,
            (known, hold) => known.is_some() != hold.is_some(),
        };
        if !is_new {
            return;
        }
        match hold {
            Some(hold) => drop(self.records.insert(fingerprint, (hold, entry))),
            None => drop(self.records.remove(&fingerprint)),
        }
        for other in 0..self.entries.len() {
            let is_own = other == entry;
            let hold = hold.map(|hold| Hold { is_own, ..hold });
            let at = self.after_ms(50, 600);
            self.at(at, Event::Record(other, fingerprint, hold));
        }
    }

    /// Notes when the last of the entries first held a crashing request back.
    fn note_known(&mut self, entry: usize, fingerprint: Fingerprint) {
        let kinds = (0..self.day.crashing).map(Kind::Crashing);
        let kind = kinds
            .into_iter()
            .find(|k| calls::fingerprint(*k) == fingerprint);
        if let Some(kind) = kind.filter(|kind| self.holding.insert((*kind, entry))) {
            self.tally.quarantined.insert(kind, self.now);
        }
    }

    fn start(&mut self, entry: usize, link: Link, run: Run) {
        let Some((_, kind, _)) = self.asked.get(&run.request).copied() else {
            return;
        };
        let upstream = self.upstreams.get_mut(&link).unwrap();
        if !upstream.is_up {
            let failure = Failure::not_run(Reason::LinkLost, "refused");
            let at = self.after_ms(1, 4);
            return self.at(at, Event::Reply(entry, link, run, Reply::Fail(failure)));
        }
        upstream.runs.insert((entry, run));
        let head = self.after_ms(20, 60);
        self.at(head, Event::Reply(entry, link, run, routed::head(200)));
        let runs_for = self.day.mean_duration.millis();
        let end = match kind {
            Kind::Crashing(_) => {
                self.tally.sends.entry(kind).or_default().push(self.now);
                self.now + CRASHES_AFTER
            }
            _ => self.after_ms(runs_for / 2 + 60, runs_for * 3 / 2 + 60),
        };
        self.at(end, Event::Finish(link, entry, run, kind));
    }

    fn answered(&mut self, request: RequestId, part: &Part) {
        let is_good = match part {
            Part::End => true,
            Part::Fail(_) => false,
            _ => return,
        };
        let Some((_, kind, at)) = self.asked.remove(&request) else {
            return;
        };
        let held = matches!(part, Part::Fail(f) if f.reason == Reason::Quarantined);
        match kind {
            Kind::Crashing(_) => {
                assert!(!is_good, "what crashes its upstream is never answered");
            }
            _ => {
                self.tally.requests.push((at, kind, is_good));
                let wrongly = match kind {
                    Kind::Identical => &mut self.tally.false_refusals,
                    _ => &mut self.tally.false_single_refusals,
                };
                *wrongly += usize::from(held);
            }
        }
    }
}
