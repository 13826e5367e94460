//! Simulates several entries with one pool of upstreams that send signals, in virtual time.

use super::{Limited, Period, Request, Scenario, Signal, Tally};
use crate::routed;
use crate::schedule::Schedule;
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sorreldeck::entry::{Entry, Input, Output, Part, Reply, Routed};
use sorreldeck::notice::{Notice, Update};
use sorreldeck::pick::{Link, Placement, Prefix};
use sorreldeck::wire::{Frame, Run};
use sorreldeck::{Failure, InstanceId, Rate, Reason, RequestId, Span, Time};
use std::collections::BTreeMap;

const TICK: Span = Span::from_millis(20);
/// Time from the arrival of a request to the head of its answer, and from there to its end, in
/// milliseconds.
const HEAD_DELAY_MS: std::ops::RangeInclusive<u64> = 20..=80;
const BODY_DELAY_MS: std::ops::RangeInclusive<u64> = 20..=1_500;
/// Latency to an upstream, or back, in milliseconds.
const LATENCY_MS: std::ops::RangeInclusive<u64> = 1..=4;
/// Latency of updates between entries, in milliseconds.
const UPDATE_LATENCY_MS: std::ops::RangeInclusive<u64> = 20..=150;
/// Time after an entry received a pause from which requests sent during it are counted.
const PAUSE_GRACE: Span = Span::from_millis(500);
/// Number of shared prompt prefixes, tokens of a shared prefix, and tokens of a prompt.
const SHARED_PREFIXES: u64 = 1_000;
const SHARED_TOKENS: u32 = 1_500;
const PROMPT_TOKENS: u32 = 2_000;
/// Requests that an upstream runs at a time.
const SLOTS: u32 = 32;

#[derive(Debug)]
enum Event {
    Issue,
    Arrive(usize, Link, Run),
    Head(usize, Link, Run),
    End(usize, Link, Run),
    Reply(usize, Link, Run, Reply),
    Update(usize, Update),
    Tick,
    Restart,
}

/// The signals that an entry received from an upstream, and the requests sent during the pause.
#[derive(Clone, Copy, Debug, Default)]
struct Received {
    leaving: Option<Time>,
    pause: Option<(Time, Time)>,
    sent_during_pause: usize,
}

/// The simulated entries and upstreams of a scenario.
pub struct World {
    scenario: Scenario,
    start: Time,
    now: Time,
    rng: ChaCha8Rng,
    entries: Vec<Entry>,
    /// Number of restarts of each entry.
    restarts: Vec<u64>,
    next: u64,
    schedule: Schedule<Event>,
    /// Unanswered requests with their entry; their results say not served until an answer arrives.
    asked: BTreeMap<RequestId, (usize, Request)>,
    received: BTreeMap<(usize, Link), Received>,
    /// Number of requests running at each upstream.
    running: BTreeMap<Link, u32>,
    tally: Tally,
}

impl World {
    /// Creates the entries and upstreams of a scenario; `seed` seeds its random numbers.
    pub fn new(scenario: Scenario, seed: u64) -> World {
        let start = Time(1_000_000);
        let mut world = World {
            start,
            now: start,
            rng: ChaCha8Rng::seed_from_u64(seed),
            entries: Vec::new(),
            restarts: vec![0; scenario.entries],
            next: 1,
            schedule: Schedule::default(),
            asked: BTreeMap::new(),
            received: BTreeMap::new(),
            running: BTreeMap::new(),
            tally: Tally::default(),
            scenario,
        };
        for number in 0..world.scenario.entries {
            let entry = world.new_entry(number);
            world.entries.push(entry);
        }
        world
    }

    fn new_entry(&mut self, number: usize) -> Entry {
        let mut entry = routed::entry(number as u64 + 1, self.rng.next_u64());
        let later = routed::route("later", "rank = 2");
        entry.handle(self.now, routed::streams(&format!("rank = 0\n{later}")));
        let names = 1..=self.scenario.entries + self.scenario.stale_entries;
        let names = names.map(|n| format!("e{n}").parse().expect("a valid name"));
        let names: Vec<InstanceId> = names.collect();
        entry.handle(self.now, Input::Entries(names));
        for link in 1..=self.scenario.upstreams as Link {
            let place = Placement {
                release: Some("v1".parse().expect("a valid name")),
                ..Placement::default()
            };
            let member = routed::member(link, place, SLOTS);
            entry.handle(self.now, Input::Join(link, Box::new(member)));
        }
        entry
    }

    fn at(&mut self, time: Time, event: Event) {
        self.schedule.push(time, event);
    }

    fn after(&mut self, ms: std::ops::RangeInclusive<u64>) -> Time {
        self.now + Span::from_micros(self.rng.random_range(ms.start() * 1_000..=ms.end() * 1_000))
    }

    /// Runs the scenario and returns its results.
    pub fn run(mut self) -> Tally {
        let end = self.start + self.scenario.duration;
        self.at(self.start, Event::Tick);
        if let Some(each) = self.scenario.restart_interval {
            self.at(self.start + each, Event::Restart);
        }
        let count = (self.scenario.request_rate * self.scenario.duration.secs_f64()) as usize;
        for _ in 0..count {
            let at = self.rng.random_range(0..self.scenario.duration.micros());
            self.at(self.start + Span::from_micros(at), Event::Issue);
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

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Issue => self.issue(),
            Event::Arrive(entry, link, run) => self.arrive(entry, link, run),
            Event::Head(entry, link, run) => {
                let notice = self.notice(link);
                let running = self.running.get(&link).copied().unwrap_or_default();
                let reply = routed::head_with(200, notice, Some((running, 0, SLOTS)));
                let arrives = self.after(LATENCY_MS);
                self.at(arrives, Event::Reply(entry, link, run, reply));
                let ends = self.after(BODY_DELAY_MS);
                let ends = ends.max(arrives + Span::from_millis(1));
                self.at(ends, Event::End(entry, link, run));
            }
            Event::End(entry, link, run) => {
                if let Some(running) = self.running.get_mut(&link) {
                    *running -= 1;
                }
                self.reply(entry, link, run, Reply::End);
            }
            Event::Reply(entry, link, run, reply) => self.reply(entry, link, run, reply),
            Event::Update(entry, update) => self.input(entry, Input::Notice(update)),
            Event::Tick => {
                self.record_limits();
                for entry in 0..self.entries.len() {
                    self.input(entry, Input::Tick);
                }
                self.at(self.now + TICK, Event::Tick);
            }
            Event::Restart => self.restart(),
        }
    }

    /// Restarts an entry, drawn at random, without its state.
    fn restart(&mut self) {
        let number = self.rng.random_range(0..self.entries.len());
        self.entries[number] = self.new_entry(number);
        self.restarts[number] += 1;
        self.asked.retain(|_, (entry, _)| *entry != number);
        self.received.retain(|(entry, _), _| *entry != number);
        for limited in self.tally.limited.values_mut() {
            limited.received.remove(&number);
        }
        if let Some(each) = self.scenario.restart_interval {
            self.at(self.now + each, Event::Restart);
        }
    }

    fn issue(&mut self) {
        let entry = self.rng.random_range(0..self.entries.len());
        self.next += 1;
        let request = RequestId::new(self.restarts[entry], self.next);
        let is_later = self.rng.random_bool(self.scenario.low_rank_share);
        let asked = Request {
            at: self.now,
            is_low_rank: is_later,
            is_served: false,
        };
        self.asked.insert(request, (entry, asked));
        let path = if is_later { "/later/1" } else { "/drafts/1" };
        let shared = Prefix {
            hash: self.rng.random_range(0..SHARED_PREFIXES),
            tokens: SHARED_TOKENS,
        };
        let own = Prefix {
            hash: self.rng.next_u64(),
            tokens: PROMPT_TOKENS,
        };
        let call = Routed {
            tokens: PROMPT_TOKENS,
            prefixes: vec![shared, own],
            ..routed::routed(format!("r{}", self.next), path)
        };
        self.input(entry, routed::ask(request, None, call));
    }

    /// Returns the current periods of an upstream.
    fn periods(&self, link: Link) -> impl Iterator<Item = &Period> {
        let passed = self.now.since(self.start);
        let is_now = move |t: &&Period| {
            link <= t.upstreams as Link && t.start <= passed && passed < t.start + t.duration
        };
        self.scenario.periods.iter().filter(is_now)
    }

    /// Returns the current limit of an upstream with the start and end of its period.
    fn limit(&self, link: Link) -> Option<(Rate, Time, Time)> {
        let second = self.now.since(self.start).millis() / 1_000;
        self.periods(link).find_map(|period| {
            let rate = match period.signal {
                Signal::Limit(rate) => rate,
                Signal::VaryingLimit(from, to) => {
                    // The seed gives each upstream and second its own draw.
                    let mut rng = ChaCha8Rng::seed_from_u64(link << 32 | second);
                    let share = rng.random::<f64>();
                    let spread = to.per_second() - from.per_second();
                    Rate::from_per_second(from.per_second() + share * spread)
                }
                Signal::Leaving | Signal::Pause(_) => return None,
            };
            let from = self.start + period.start;
            Some((rate, from, from + period.duration))
        })
    }

    /// Returns the notice that an upstream adds to an answer now, without a pause.
    fn notice(&mut self, link: Link) -> Notice {
        let leaving = self.periods(link).any(|t| t.signal == Signal::Leaving);
        let limit = self.limit(link);
        if let Some((rate, from, until)) = limit {
            let limited = self.tally.limited.entry(link);
            limited.or_insert_with(|| Limited {
                limited: from..until,
                limits: vec![(from, rate)],
                ..Limited::default()
            });
        }
        Notice {
            leaving,
            pause: None,
            limit: limit.map(|(rate, _, _)| rate),
            ..Notice::default()
        }
    }

    /// Records changed limits of upstreams in the tally.
    fn record_limits(&mut self) {
        let links: Vec<Link> = self.tally.limited.keys().copied().collect();
        for link in links {
            let rate = self.limit(link).map(|(rate, _, _)| rate);
            let limited = self.tally.limited.get_mut(&link);
            if let Some((limits, rate)) = limited.map(|l| &mut l.limits).zip(rate) {
                if limits.last().is_some_and(|(_, last)| *last != rate) {
                    limits.push((self.now, rate));
                }
            }
        }
    }

    /// Handles the arrival of a request at its upstream.
    fn arrive(&mut self, entry: usize, link: Link, run: Run) {
        let now = self.now;
        let received = self.received.entry((entry, link)).or_default();
        if let Some(at) = received.leaving {
            self.tally.last_send_delay = self.tally.last_send_delay.max(now.since(at));
        }
        if let Some((from, until)) = received.pause {
            if (from..until).contains(&now) {
                received.sent_during_pause += 1;
                self.tally.sent_during_pause =
                    self.tally.sent_during_pause.max(received.sent_during_pause);
            }
        }
        if let Some(limited) = self.tally.limited.get_mut(&link) {
            limited.arrivals.push((now, entry));
        }
        let notice = self.notice(link);
        let pause = self.periods(link).find_map(|t| match t.signal {
            Signal::Pause(span) => Some(span),
            _ => None,
        });
        let Some(pause) = pause else {
            *self.running.entry(link).or_default() += 1;
            let begins = self.after(HEAD_DELAY_MS);
            return self.at(begins, Event::Head(entry, link, run));
        };
        self.tally.rejected += 1;
        let notice = Notice {
            pause: Some(pause),
            ..notice
        };
        let arrives = self.after(LATENCY_MS);
        let refused = Failure::not_run(Reason::Overloaded, "refused with 503");
        self.at(
            arrives,
            Event::Reply(entry, link, run, Reply::Notice(notice, None)),
        );
        self.at(
            arrives,
            Event::Reply(entry, link, run, Reply::Fail(refused)),
        );
    }

    fn reply(&mut self, entry: usize, link: Link, run: Run, reply: Reply) {
        if run.request.origin().0 != self.restarts[entry] {
            return;
        }
        let notice = match &reply {
            Reply::Head(head) => Some(head.notice),
            Reply::Notice(notice, _) => Some(*notice),
            _ => None,
        };
        if let Some(notice) = notice {
            self.record_received(entry, link, notice);
        }
        self.input(entry, Input::Reply(link, run, reply));
    }

    /// Records the signals that an entry received, for the tally.
    fn record_received(&mut self, entry: usize, link: Link, notice: Notice) {
        let now = self.now;
        let received = self.received.entry((entry, link)).or_default();
        if notice.leaving {
            received.leaving.get_or_insert(now);
        }
        if let Some(pause) = notice.pause {
            received.pause = Some((now + PAUSE_GRACE, now + pause));
            received.sent_during_pause = 0;
        }
        if notice.limit.is_some() {
            if let Some(limited) = self.tally.limited.get_mut(&link) {
                limited.received.entry(entry).or_insert(now);
            }
        }
    }

    fn input(&mut self, entry: usize, input: Input) {
        for output in self.entries[entry].handle(self.now, input) {
            self.output(entry, output);
        }
    }

    fn output(&mut self, entry: usize, output: Output) {
        match output {
            Output::Send(link, Frame::Start(start)) => {
                let reaches = self.after(LATENCY_MS);
                self.at(reaches, Event::Arrive(entry, link, start.run));
            }
            Output::Answer(request, part) => self.record_result(request, &part),
            Output::Notice(update) if !self.scenario.is_isolated => {
                for other in (0..self.entries.len()).filter(|n| *n != entry) {
                    let at = self.after(UPDATE_LATENCY_MS);
                    self.at(at, Event::Update(other, update));
                }
            }
            _ => {}
        }
    }

    fn record_result(&mut self, request: RequestId, part: &Part) {
        let is_served = match part {
            Part::Head { .. } => true,
            Part::Fail(_) => false,
            _ => return,
        };
        let Some((_, asked)) = self.asked.remove(&request) else {
            return;
        };
        self.tally.requests.push(Request { is_served, ..asked });
        if let Part::Fail(failure) = part {
            self.tally.refusals.push((self.now, failure.retry_after));
            let held = self.now.since(asked.at);
            self.tally.max_refused_wait = self.tally.max_refused_wait.max(held);
        }
    }
}
