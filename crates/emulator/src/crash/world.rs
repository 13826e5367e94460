//! Simulates several entries with one pool of upstreams that crash, in virtual time.

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

/// Time from the start of a crashing request to the crash of its upstream.
const CRASH_DELAY: Span = Span::from_millis(100);
/// Time from the crash of an upstream to the start of its replacement.
const REPLACE_DELAY: Span = Span::from_millis(3_000);
/// Time from the crash of an upstream until its lease in the store expires.
const LEASE: Span = Span::from_millis(3_600);
const TICK: Span = Span::from_millis(20);
/// Time from the start in which only the other requests are made.
const BACKGROUND_ONLY: Span = Span::from_millis(2_000);
/// How often each request that crashes upstreams is made per second.
const REQUEST_RATE: f64 = 5.0;
/// Time at which a scenario starts.
pub const START: Time = Time(1_000_000);

#[derive(Debug)]
enum Event {
    Issue(Kind),
    Reply(usize, Link, Run, Reply),
    /// A run ends or crashes its upstream.
    Finish(Link, usize, Run, Kind),
    CrashAny,
    CrashAll,
    Expire(Link),
    Replace,
    Update(usize, Update),
    Record(usize, Fingerprint, Option<Hold>),
    Tick,
    Restart,
}

struct Upstream {
    is_up: bool,
    runs: BTreeSet<(usize, Run)>,
}

/// The simulated entries and upstreams of a scenario.
pub struct World {
    scenario: Scenario,
    now: Time,
    rng: ChaCha8Rng,
    entries: Vec<Entry>,
    upstreams: BTreeMap<Link, Upstream>,
    next_link: Link,
    next: u64,
    schedule: Schedule<Event>,
    asked: BTreeMap<RequestId, (usize, Kind, Time)>,
    /// The records of the quarantine in the store, with the entry that wrote each.
    records: BTreeMap<Fingerprint, (Hold, usize)>,
    /// The crashing requests that each entry has quarantined.
    quarantined_by: BTreeSet<(Kind, usize)>,
    tally: Tally,
}

impl World {
    /// Creates the entries and upstreams of a scenario; `seed` seeds its random numbers.
    pub fn new(scenario: Scenario, seed: u64) -> World {
        let mut world = World {
            now: START,
            rng: ChaCha8Rng::seed_from_u64(seed),
            entries: Vec::new(),
            upstreams: BTreeMap::new(),
            next_link: 1,
            next: 1,
            schedule: Schedule::default(),
            asked: BTreeMap::new(),
            records: BTreeMap::new(),
            quarantined_by: BTreeSet::new(),
            tally: Tally::default(),
            scenario,
        };
        for number in 0..world.scenario.entries {
            let entry = world.new_entry(number);
            world.entries.push(entry);
        }
        for _ in 0..world.scenario.upstreams {
            world.add_upstream();
        }
        world
    }

    fn new_entry(&mut self, number: usize) -> Entry {
        let mut entry = routed::entry(number as u64 + 1, self.rng.next_u64());
        entry.handle(self.now, routed::streams(""));
        let names = 1..=self.scenario.entries;
        let names = names.map(|n| format!("e{n}").parse().expect("a valid name"));
        entry.handle(self.now, Input::Entries(names.collect()));
        entry
    }

    fn at(&mut self, time: Time, event: Event) {
        self.schedule.push(time, event);
    }

    fn after_ms(&mut self, from: u64, to: u64) -> Time {
        self.now + Span::from_millis(self.rng.random_range(from..=to))
    }

    /// Runs the scenario and returns its results.
    ///
    /// # Panics
    ///
    /// Panics if an entry answers a request that crashes its upstream.
    pub fn run(mut self) -> Tally {
        let end = self.now + self.scenario.duration;
        let start = self.now;
        self.at(start, Event::Tick);
        for at in self.draw_times(self.scenario.crashes) {
            self.at(at, Event::CrashAny);
        }
        if let Some(at) = self.scenario.crash_all_at {
            self.at(start + at, Event::CrashAll);
        }
        if let Some(at) = self.scenario.restart {
            self.at(start + at, Event::Restart);
        }
        for (kind, rate) in self.crashing_kinds() {
            for at in self.draw_times(rate) {
                if at.since(start) >= BACKGROUND_ONLY {
                    self.at(at, Event::Issue(kind));
                }
            }
        }
        for (number, at) in self
            .draw_times(self.scenario.background_rate)
            .into_iter()
            .enumerate()
        {
            let kind = match self.rng.random_bool(self.scenario.identical) {
                true => Kind::Identical,
                false => Kind::Single(number as u64),
            };
            self.at(at, Event::Issue(kind));
        }
        while let Some((at, event)) = self.schedule.pop() {
            if at > end {
                break;
            }
            self.now = at;
            self.handle_event(event);
        }
        self.tally
    }

    /// Returns the kinds of requests that crash upstreams, with their rates per second.
    fn crashing_kinds(&self) -> Vec<(Kind, f64)> {
        let requests = (0..self.scenario.crashing).map(|n| (Kind::Crashing(n), REQUEST_RATE));
        let part_rate = self.scenario.part_rate;
        let parts = (0..self.scenario.crashing_parts).map(|n| (Kind::Part(n), part_rate));
        requests.chain(parts).collect()
    }

    /// Draws the times of events with this rate per second.
    fn draw_times(&mut self, rate: f64) -> Vec<Time> {
        let count = (rate * self.scenario.duration.secs_f64()) as usize;
        let duration = self.scenario.duration.micros();
        let draw = |_| self.now + Span::from_micros(self.rng.random_range(0..duration));
        (0..count).map(draw).collect()
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Issue(kind) => self.issue(kind),
            Event::Reply(entry, link, run, reply) => {
                self.input(entry, Input::Reply(link, run, reply));
            }
            Event::Finish(link, entry, run, kind) => self.finish(link, entry, run, kind),
            Event::CrashAny => {
                let up = self.upstreams.iter().filter(|(_, u)| u.is_up);
                let up: Vec<Link> = up.map(|(link, _)| *link).collect();
                if !up.is_empty() {
                    let index = self.rng.random_range(0..up.len());
                    self.crash(up[index]);
                }
            }
            Event::CrashAll => {
                let all: Vec<Link> = self.upstreams.keys().copied().collect();
                all.into_iter().for_each(|link| self.crash(link));
            }
            Event::Expire(link) => {
                for entry in 0..self.entries.len() {
                    self.input(entry, Input::Retire(link));
                }
            }
            Event::Replace => self.add_upstream(),
            Event::Update(entry, update) => self.input(entry, Input::QuarantineUpdate(update)),
            Event::Record(entry, fingerprint, hold) => {
                let input = match hold {
                    Some(hold) => Input::Quarantined(fingerprint, hold),
                    None => Input::QuarantineRemoved(fingerprint),
                };
                self.input(entry, input);
            }
            Event::Tick => {
                for entry in 0..self.entries.len() {
                    self.input(entry, Input::Tick);
                }
                self.at(self.now + TICK, Event::Tick);
            }
            Event::Restart => self.restart(),
        }
    }

    /// Restarts the first entry; it reads upstreams and quarantine records from the store again.
    fn restart(&mut self) {
        let mut entry = self.new_entry(0);
        for link in self.upstreams.keys() {
            entry.handle(self.now, Input::Join(*link, Box::new(calls::member(*link))));
        }
        self.entries[0] = entry;
        self.asked.retain(|_, (at, _, _)| *at != 0);
        for (fingerprint, (hold, by)) in self.records.clone() {
            let is_own = by == 0;
            self.input(0, Input::Quarantined(fingerprint, Hold { is_own, ..hold }));
        }
    }

    fn issue(&mut self, kind: Kind) {
        let entry = self.rng.random_range(0..self.entries.len());
        self.next += 1;
        let request = RequestId::new(1, self.next);
        self.asked.insert(request, (entry, kind, self.now));
        let input = calls::ask(&self.scenario, request, kind, self.next);
        self.input(entry, input);
    }

    fn add_upstream(&mut self) {
        let link = self.next_link;
        self.next_link += 1;
        let upstream = Upstream {
            is_up: true,
            runs: BTreeSet::new(),
        };
        self.upstreams.insert(link, upstream);
        for entry in 0..self.entries.len() {
            self.input(entry, Input::Join(link, Box::new(calls::member(link))));
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
        self.at(self.now + LEASE, Event::Expire(link));
        self.at(self.now + REPLACE_DELAY, Event::Replace);
    }

    fn finish(&mut self, link: Link, entry: usize, run: Run, kind: Kind) {
        let upstream = self.upstreams.get_mut(&link);
        if !upstream.is_some_and(|u| u.runs.contains(&(entry, run))) {
            return;
        }
        if self.crashes_upstreams(kind) {
            let crashed = self.tally.crashed.entry(kind).or_default();
            *crashed += 1;
            match crashed {
                1 => drop(self.tally.first.insert(kind, self.now)),
                3 => drop(self.tally.third.insert(kind, self.now)),
                5 => drop(self.tally.fifth.insert(kind, self.now)),
                _ => {}
            }
            return self.crash(link);
        }
        if let Some(upstream) = self.upstreams.get_mut(&link) {
            upstream.runs.remove(&(entry, run));
        }
        self.input(entry, Input::Reply(link, run, Reply::End));
    }

    /// Returns whether a request of a kind crashes its upstream now.
    fn crashes_upstreams(&self, kind: Kind) -> bool {
        match kind {
            Kind::Crashing(_) => true,
            Kind::Part(_) => {
                let harmless_at = self.scenario.harmless_at;
                harmless_at.is_none_or(|at| self.now < START + at)
            }
            Kind::Single(_) | Kind::Identical => false,
        }
    }

    fn input(&mut self, entry: usize, input: Input) {
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
            Output::Answer(request, part) => self.record_result(request, &part),
            Output::QuarantineUpdate(update) => {
                for other in (0..self.entries.len()).filter(|n| *n != entry) {
                    if !self.scenario.is_isolated {
                        let at = self.after_ms(20, 150);
                        // Entries underestimate the latency of an update by 8 ms.
                        let latency = at.since(self.now) - Span::from_millis(8);
                        let update = update.clone().delayed(latency);
                        self.at(at, Event::Update(other, update));
                    }
                }
            }
            Output::RecordQuarantine(change) => self.record(entry, change),
            _ => {}
        }
    }

    fn record(&mut self, entry: usize, change: Change) {
        let (fingerprint, hold) = match change {
            Change::Held(fingerprint, hold, _) => (fingerprint, Some(hold)),
            Change::Freed(fingerprint) => (fingerprint, None),
        };
        if hold.is_some() {
            self.record_quarantined(entry, fingerprint);
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

    /// Records when an entry first quarantined a crashing request.
    fn record_quarantined(&mut self, entry: usize, fingerprint: Fingerprint) {
        let kinds = self.crashing_kinds().into_iter().map(|(kind, _)| kind);
        let mut kinds = kinds.filter(|kind| calls::fingerprint(*kind) == fingerprint);
        let kind = kinds.next();
        if let Some(kind) = kind.filter(|kind| self.quarantined_by.insert((*kind, entry))) {
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
        let mean = self.scenario.mean_duration.millis();
        let end = match kind {
            Kind::Crashing(_) | Kind::Part(_) => {
                self.tally.sends.entry(kind).or_default().push(self.now);
                self.now + CRASH_DELAY
            }
            _ => self.after_ms(mean / 2 + 60, mean * 3 / 2 + 60),
        };
        self.at(end, Event::Finish(link, entry, run, kind));
    }

    fn record_result(&mut self, request: RequestId, part: &Part) {
        let is_served = match part {
            Part::End => true,
            Part::Fail(_) => false,
            _ => return,
        };
        let Some((_, kind, at)) = self.asked.remove(&request) else {
            return;
        };
        let is_quarantined = matches!(part, Part::Fail(f) if f.reason == Reason::Quarantined);
        match kind {
            Kind::Crashing(_) | Kind::Part(_) => {
                assert!(
                    !is_served || !self.crashes_upstreams(kind),
                    "a request that crashes its upstream is never answered"
                );
                self.tally
                    .admitted
                    .extend(is_served.then_some((kind, self.now)));
            }
            _ => {
                self.tally.requests.push((at, kind, is_served));
                let count = match kind {
                    Kind::Identical => &mut self.tally.false_refusals,
                    _ => &mut self.tally.false_single_refusals,
                };
                *count += usize::from(is_quarantined);
            }
        }
    }
}
