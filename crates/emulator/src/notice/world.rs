//! Several entries before one pool of upstreams that speak of themselves, with the time passed
//! by hand.

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
/// How long an answer takes to begin, and to end after that, in milliseconds.
const BEGINS_MS: std::ops::RangeInclusive<u64> = 20..=80;
const ENDS_MS: std::ops::RangeInclusive<u64> = 20..=1_500;
/// The way to an upstream and back, in milliseconds.
const WAY_MS: std::ops::RangeInclusive<u64> = 1..=4;
/// How long what entries tell one another takes, in milliseconds.
const LINKS_MS: std::ops::RangeInclusive<u64> = 20..=150;
/// How long after it was asked for rest an entry is held to it.
const RESTS_AFTER: Span = Span::from_millis(500);
/// How many beginnings prompts share, their tokens and those of whole prompts.
const BEGINNINGS: u64 = 1_000;
const SHARED: u32 = 1_500;
const PROMPT: u32 = 2_000;
/// What an upstream runs at a time.
const SLOTS: u32 = 32;

#[derive(Debug)]
enum Event {
    Ask,
    Reach(usize, Link, Run),
    Head(usize, Link, Run),
    End(usize, Link, Run),
    Reply(usize, Link, Run, Reply),
    Word(usize, Update),
    Tick,
    Restart,
}

/// What an entry was told by an upstream, and what it sent there since.
#[derive(Clone, Copy, Debug, Default)]
struct Heard {
    leaving: Option<Time>,
    rest: Option<(Time, Time)>,
    sent_while: usize,
}

/// The entries and upstreams of a day.
pub struct World {
    day: Scenario,
    start: Time,
    now: Time,
    rng: ChaCha8Rng,
    entries: Vec<Entry>,
    /// How often each entry has started.
    lives: Vec<u64>,
    next: u64,
    schedule: Schedule<Event>,
    /// What was asked of which entry and has not been answered, as if it were not served.
    asked: BTreeMap<RequestId, (usize, Request)>,
    heard: BTreeMap<(usize, Link), Heard>,
    /// What runs at each upstream.
    running: BTreeMap<Link, u32>,
    tally: Tally,
}

impl World {
    /// Creates the entries and upstreams of a day; `seed` decides its luck.
    pub fn new(day: Scenario, seed: u64) -> World {
        let start = Time(1_000_000);
        let mut world = World {
            start,
            now: start,
            rng: ChaCha8Rng::seed_from_u64(seed),
            entries: Vec::new(),
            lives: vec![0; day.entries],
            next: 1,
            schedule: Schedule::default(),
            asked: BTreeMap::new(),
            heard: BTreeMap::new(),
            running: BTreeMap::new(),
            tally: Tally::default(),
            day,
        };
        for number in 0..world.day.entries {
            let entry = world.new_entry(number);
            world.entries.push(entry);
        }
        world
    }

    fn new_entry(&mut self, number: usize) -> Entry {
        let mut entry = routed::entry(number as u64 + 1, self.rng.next_u64());
        let later = routed::route("later", "rank = 2");
        entry.handle(self.now, routed::streams(&format!("rank = 0\n{later}")));
        let names = 1..=self.day.entries + self.day.stale_entries;
        let names = names.map(|n| format!("e{n}").parse().expect("a legal name"));
        let names: Vec<InstanceId> = names.collect();
        entry.handle(self.now, Input::Entries(names));
        for link in 1..=self.day.upstreams as Link {
            let place = Placement {
                release: Some("v1".parse().expect("a legal name")),
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

    /// Plays the day and returns what came of it.
    pub fn run(mut self) -> Tally {
        let end = self.start + self.day.duration;
        self.at(self.start, Event::Tick);
        if let Some(each) = self.day.restart_interval {
            self.at(self.start + each, Event::Restart);
        }
        let count = (self.day.request_rate * self.day.duration.secs_f64()) as usize;
        for _ in 0..count {
            let at = self.rng.random_range(0..self.day.duration.micros());
            self.at(self.start + Span::from_micros(at), Event::Ask);
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

    fn happen(&mut self, event: Event) {
        match event {
            Event::Ask => self.ask(),
            Event::Reach(entry, link, run) => self.reach(entry, link, run),
            Event::Head(entry, link, run) => {
                let notice = self.notice(link);
                let running = self.running.get(&link).copied().unwrap_or_default();
                let reply = routed::head_with(200, notice, Some((running, 0, SLOTS)));
                let arrives = self.after(WAY_MS);
                self.at(arrives, Event::Reply(entry, link, run, reply));
                let ends = self.after(ENDS_MS);
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
            Event::Word(entry, word) => self.tell(entry, Input::Notice(word)),
            Event::Tick => {
                self.note_limits();
                for entry in 0..self.entries.len() {
                    self.tell(entry, Input::Tick);
                }
                self.at(self.now + TICK, Event::Tick);
            }
            Event::Restart => self.restart(),
        }
    }

    /// Kills an entry, drawn at random, and starts it anew.
    fn restart(&mut self) {
        let number = self.rng.random_range(0..self.entries.len());
        self.entries[number] = self.new_entry(number);
        self.lives[number] += 1;
        self.asked.retain(|_, (entry, _)| *entry != number);
        self.heard.retain(|(entry, _), _| *entry != number);
        for limited in self.tally.limited.values_mut() {
            limited.told.remove(&number);
        }
        if let Some(each) = self.day.restart_interval {
            self.at(self.now + each, Event::Restart);
        }
    }

    fn ask(&mut self) {
        let entry = self.rng.random_range(0..self.entries.len());
        self.next += 1;
        let request = RequestId::new(self.lives[entry], self.next);
        let is_later = self.rng.random_bool(self.day.low_rank_share);
        let asked = Request {
            at: self.now,
            is_low_rank: is_later,
            is_served: false,
        };
        self.asked.insert(request, (entry, asked));
        let path = if is_later { "/later/1" } else { "/drafts/1" };
        let shared = Prefix {
            hash: self.rng.random_range(0..BEGINNINGS),
            tokens: SHARED,
        };
        let own = Prefix {
            hash: self.rng.next_u64(),
            tokens: PROMPT,
        };
        let call = Routed {
            tokens: PROMPT,
            prefixes: vec![shared, own],
            ..routed::routed(format!("r{}", self.next), path)
        };
        self.tell(entry, routed::ask(request, None, call));
    }

    /// Returns what an upstream says now.
    fn says(&self, link: Link) -> impl Iterator<Item = &Period> {
        let passed = self.now.since(self.start);
        let is_now = move |t: &&Period| {
            link <= t.upstreams as Link && t.start <= passed && passed < t.start + t.duration
        };
        self.day.periods.iter().filter(is_now)
    }

    /// Returns the limit that an upstream names now, and from when to when it names one.
    fn limit(&self, link: Link) -> Option<(Rate, Time, Time)> {
        let second = self.now.since(self.start).millis() / 1_000;
        self.says(link).find_map(|trouble| {
            let rate = match trouble.signal {
                Signal::Limit(rate) => rate,
                Signal::VaryingLimit(from, to) => {
                    // Drawn anew for each upstream and second.
                    let mut rng = ChaCha8Rng::seed_from_u64(link << 32 | second);
                    let share = rng.random::<f64>();
                    let spread = to.per_second() - from.per_second();
                    Rate::from_per_second(from.per_second() + share * spread)
                }
                Signal::Leaving | Signal::Pause(_) => return None,
            };
            let from = self.start + trouble.start;
            Some((rate, from, from + trouble.duration))
        })
    }

    /// Returns what an upstream says of itself in whatever it answers now.
    fn notice(&mut self, link: Link) -> Notice {
        let leaving = self.says(link).any(|t| t.signal == Signal::Leaving);
        let limit = self.limit(link);
        if let Some((rate, from, until)) = limit {
            let limited = self.tally.limited.entry(link);
            limited.or_insert_with(|| Limited {
                named: from..until,
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

    /// Notes what upstreams with limits take from now on.
    fn note_limits(&mut self) {
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

    /// A request reaches its upstream.
    fn reach(&mut self, entry: usize, link: Link, run: Run) {
        let now = self.now;
        let heard = self.heard.entry((entry, link)).or_default();
        if let Some(at) = heard.leaving {
            self.tally.last_send_delay = self.tally.last_send_delay.max(now.since(at));
        }
        if let Some((from, until)) = heard.rest {
            if (from..until).contains(&now) {
                heard.sent_while += 1;
                self.tally.sent_during_pause = self.tally.sent_during_pause.max(heard.sent_while);
            }
        }
        if let Some(limited) = self.tally.limited.get_mut(&link) {
            limited.got.push((now, entry));
        }
        let notice = self.notice(link);
        let rest = self.says(link).find_map(|t| match t.signal {
            Signal::Pause(span) => Some(span),
            _ => None,
        });
        let Some(rest) = rest else {
            *self.running.entry(link).or_default() += 1;
            let begins = self.after(BEGINS_MS);
            return self.at(begins, Event::Head(entry, link, run));
        };
        self.tally.rejected += 1;
        let notice = Notice {
            pause: Some(rest),
            ..notice
        };
        let arrives = self.after(WAY_MS);
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
        if run.request.origin().0 != self.lives[entry] {
            return;
        }
        let notice = match &reply {
            Reply::Head(head) => Some(head.notice),
            Reply::Notice(notice, _) => Some(*notice),
            _ => None,
        };
        if let Some(notice) = notice {
            self.note_told(entry, link, notice);
        }
        self.tell(entry, Input::Reply(link, run, reply));
    }

    /// Notes what an entry is told, for the tally.
    fn note_told(&mut self, entry: usize, link: Link, notice: Notice) {
        let now = self.now;
        let heard = self.heard.entry((entry, link)).or_default();
        if notice.leaving {
            heard.leaving.get_or_insert(now);
        }
        if let Some(rest) = notice.pause {
            heard.rest = Some((now + RESTS_AFTER, now + rest));
            heard.sent_while = 0;
        }
        if notice.limit.is_some() {
            if let Some(limited) = self.tally.limited.get_mut(&link) {
                limited.told.entry(entry).or_insert(now);
            }
        }
    }

    fn tell(&mut self, entry: usize, input: Input) {
        for output in self.entries[entry].handle(self.now, input) {
            self.output(entry, output);
        }
    }

    fn output(&mut self, entry: usize, output: Output) {
        match output {
            Output::Send(link, Frame::Start(start)) => {
                let reaches = self.after(WAY_MS);
                self.at(reaches, Event::Reach(entry, link, start.run));
            }
            Output::Answer(request, part) => self.answered(request, &part),
            Output::Notice(word) if !self.day.is_isolated => {
                for other in (0..self.entries.len()).filter(|n| *n != entry) {
                    let at = self.after(LINKS_MS);
                    self.at(at, Event::Word(other, word));
                }
            }
            _ => {}
        }
    }

    fn answered(&mut self, request: RequestId, part: &Part) {
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
