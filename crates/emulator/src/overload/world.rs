//! The simulation.

use super::balancer::Balancer;
use super::client::{Request, Stage, Try, MAX_TRIES, PATIENCE, UNREAD_PATIENCE};
use super::instance::{Instance, Task};
use super::scenario::{Admission, Scenario};
use super::tally::{Call, Tally};
use crate::schedule::Schedule;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sorreldeck::overload::Decision;
use sorreldeck::{Size, Span, Time};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

const START: Time = Time(1_000_000);
const TICK: Span = Span::from_millis(20);
const ASK: Span = Span::from_millis(1_000);
/// The time between a client and an entry, and until an upstream answers.
const NETWORK: Span = Span::from_millis(1);
const FIRST_EVENT: Span = Span::from_millis(60);
/// The bytes of a head, and those of an event.
const HEAD_BYTES: u64 = 500;
const EVENT_BYTES: u64 = 120;
/// All upstreams are alike.
const UPSTREAM: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 1);
/// How long a restarted entry is away.
const AWAY: Span = Span::from_millis(1_500);

#[derive(Debug)]
enum Event {
    Ask,
    Arrive(usize),
    Queue(usize, u32, Task),
    Done(usize, u32, Task),
    /// A connection to an upstream has opened.
    Opened(usize, u32, Span),
    Deliver(usize),
    GiveUpUnread(usize),
    GiveUp(usize),
    Retry(usize),
    Tick(usize, u32),
    Question(usize),
    Missed(usize, u64),
    BeginCrowd(usize),
    EndCrowd,
    Restart(usize),
    Pause(usize, Span),
}

/// The simulated entries, clients and load balancer.
pub struct World {
    scenario: Scenario,
    now: Time,
    rng: ChaCha8Rng,
    instances: Vec<Instance>,
    balancer: Balancer,
    schedule: Schedule<Event>,
    requests: Vec<Request>,
    tries: Vec<Try>,
    /// The number of the last question to each entry that was answered.
    answered: Vec<u64>,
    asked: Vec<u64>,
    tally: Tally,
}

impl World {
    /// Creates the entries of a scenario; `seed` seeds its random numbers.
    pub fn new(scenario: Scenario, seed: u64) -> World {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let specs = scenario.instances.iter();
        let instances: Vec<Instance> = specs
            .map(|spec| Instance::new(*spec, rng.random(), START))
            .collect();
        let count = instances.len();
        World {
            now: START,
            balancer: Balancer::new(count),
            schedule: Schedule::default(),
            requests: Vec::new(),
            tries: Vec::new(),
            answered: vec![0; count],
            asked: vec![0; count],
            tally: Tally {
                start: START,
                crowds: scenario.crowds.clone(),
                ..Tally::default()
            },
            rng,
            instances,
            scenario,
        }
    }

    /// Runs the scenario and returns its results.
    pub fn run(mut self) -> Tally {
        let end = START + self.scenario.duration;
        self.schedule.push(START, Event::Ask);
        for entry in 0..self.instances.len() {
            let offset = Span::from_micros(self.rng.random_range(0..ASK.micros()));
            self.schedule.push(START, Event::Tick(entry, 0));
            self.schedule.push(START + offset, Event::Question(entry));
        }
        for (number, crowd) in self.scenario.crowds.clone().iter().enumerate() {
            let begin = START + crowd.at;
            self.schedule.push(begin, Event::BeginCrowd(number));
            self.schedule.push(begin + crowd.lasts, Event::EndCrowd);
        }
        if let Some((at, entry)) = self.scenario.restart {
            self.schedule.push(START + at, Event::Restart(entry));
        }
        if let Some((at, lasts, entry)) = self.scenario.pause {
            self.schedule.push(START + at, Event::Pause(entry, lasts));
        }
        while let Some((at, event)) = self.schedule.pop() {
            self.now = at;
            if at > end + PATIENCE {
                break;
            }
            self.handle(event, end);
        }
        let call = |request: &Request| Call {
            asked: request.asked,
            tries: request.tried.len() as u32,
            first_read: request.first_read,
            took: request.took,
        };
        self.tally.calls = self.requests.iter().map(call).collect();
        self.tally
    }

    fn handle(&mut self, event: Event, end: Time) {
        match event {
            Event::Ask if self.now < end => self.ask(),
            Event::Ask => {}
            Event::Arrive(number) => self.arrive(number),
            Event::Queue(entry, life, task) => self.push(entry, life, task),
            Event::Done(entry, life, task) => self.finish(entry, life, task),
            Event::Opened(entry, life, took) => self.opened(entry, life, took),
            Event::Deliver(number) => self.deliver(number),
            Event::GiveUpUnread(number) if self.tries[number].stage == Stage::Unread => {
                self.leave(number);
                self.try_again(number);
            }
            Event::GiveUpUnread(_) => {}
            Event::GiveUp(number) if self.tries[number].stage != Stage::Over => self.fail(number),
            Event::GiveUp(_) => {}
            Event::Retry(request) => self.attempt(request),
            Event::Tick(entry, life) => self.tick(entry, life),
            Event::Question(entry) => self.question(entry),
            Event::Missed(entry, number) if self.answered[entry] < number => {
                self.balancer.record(entry, false);
            }
            Event::Missed(..) => {}
            Event::BeginCrowd(number) => self.balancer.begin(&self.scenario.crowds[number]),
            Event::EndCrowd => self.balancer.end(),
            Event::Restart(entry) => self.restart(entry),
            Event::Pause(entry, lasts) => {
                self.instances[entry].paused_until = self.now + lasts;
            }
        }
    }

    fn rate(&self) -> f64 {
        let crowds = self.scenario.crowds.iter();
        let is_on = |at: Span, lasts: Span| {
            let begin = START + at;
            self.now >= begin && self.now < begin + lasts
        };
        let mut now = crowds.filter(|c| is_on(c.at, c.lasts)).map(|c| c.per_s);
        now.next_back().unwrap_or(self.scenario.per_s)
    }

    fn ask(&mut self) {
        let body = self.rng.random_range(200..=self.scenario.body.max(201));
        self.requests.push(Request {
            asked: self.now,
            tried: Vec::new(),
            body,
            first_read: None,
            took: None,
        });
        self.attempt(self.requests.len() - 1);
        let uniform: f64 = self.rng.random();
        let next = -(1.0 - uniform).ln() / self.rate();
        let next = self.now + Span::from_secs_f64(next);
        self.schedule.push(next, Event::Ask);
    }

    fn attempt(&mut self, request: usize) {
        let tried = &self.requests[request].tried;
        let share = self.scenario.share;
        let entry = self
            .balancer
            .pick(tried.is_empty(), tried, share, &mut self.rng);
        self.requests[request].tried.push(entry);
        self.tries.push(Try {
            request,
            entry,
            life: self.instances[entry].life,
            stage: Stage::Unread,
            events: 0,
        });
        let number = self.tries.len() - 1;
        self.schedule
            .push(self.now + NETWORK, Event::Arrive(number));
        let patience = self.now + UNREAD_PATIENCE;
        self.schedule.push(patience, Event::GiveUpUnread(number));
        self.schedule
            .push(self.now + PATIENCE, Event::GiveUp(number));
    }

    fn arrive(&mut self, number: usize) {
        let attempt = &self.tries[number];
        let (entry, life) = (attempt.entry, attempt.life);
        match self.instances[entry].life == life {
            true => self.push(entry, life, Task::Accept(number)),
            // The connection is refused.
            false => self.close(number),
        }
    }

    /// The entry closes the connection of a try without having read it.
    fn close(&mut self, number: usize) {
        if self.tries[number].stage == Stage::Unread {
            self.tries[number].stage = Stage::Over;
            self.try_again(number);
        }
    }

    fn try_again(&mut self, number: usize) {
        let request = self.tries[number].request;
        if self.requests[request].tried.len() < MAX_TRIES {
            self.schedule
                .push(self.now + NETWORK, Event::Retry(request));
        }
    }

    /// A try that was read is not served.
    fn fail(&mut self, number: usize) {
        let request = self.tries[number].request;
        if self.tries[number].stage == Stage::Read {
            self.requests[request].first_read.get_or_insert(false);
        }
        self.leave(number);
        self.try_again(number);
    }

    /// The client of a try leaves, which the entry notices when it gets to it.
    fn leave(&mut self, number: usize) {
        let attempt = self.tries[number].clone();
        self.tries[number].stage = Stage::Over;
        if attempt.stage == Stage::Read {
            self.forget(number);
            self.push(attempt.entry, attempt.life, Task::Leave);
        }
    }

    /// Releases what a try that was read holds.
    fn forget(&mut self, number: usize) {
        let attempt = &self.tries[number];
        let body = self.requests[attempt.request].body;
        let instance = &mut self.instances[attempt.entry];
        if instance.life == attempt.life {
            instance.connections -= 1;
            instance.bodies -= body;
            instance.monitor.end();
            instance.monitor.close();
        }
    }

    fn push(&mut self, entry: usize, life: u32, task: Task) {
        let instance = &mut self.instances[entry];
        if instance.life == life && instance.push(task) {
            self.begin(entry);
        }
    }

    fn begin(&mut self, entry: usize) {
        let instance = &mut self.instances[entry];
        let life = instance.life;
        if let Some((task, done)) = instance.begin(self.now) {
            self.schedule.push(done, Event::Done(entry, life, task));
        }
    }

    fn finish(&mut self, entry: usize, life: u32, task: Task) {
        if self.instances[entry].life != life {
            return;
        }
        match task {
            Task::Accept(number) => self.accept(entry, number),
            Task::Read(number) => self.read(entry, number),
            Task::Decide(number) => self.push(entry, life, Task::Send(number)),
            Task::Send(number) => self.send(entry, number),
            Task::Event(number) => self.pass_on(entry, number),
            Task::Leave => {}
            Task::Tick => self.step(entry),
            Task::Probe => {
                let instance = &mut self.instances[entry];
                instance.monitor.waits().run(self.now);
                instance.is_probing = false;
            }
            Task::Ready => {
                self.answered[entry] = self.asked[entry];
                let monitor = &self.instances[entry].monitor;
                let is_ready = match self.scenario.admission {
                    Admission::Owed => monitor.is_ready(),
                    Admission::AlwaysReady | Admission::All => true,
                };
                self.balancer.record(entry, is_ready);
            }
        }
        if self.instances[entry].life == life {
            self.begin(entry);
        }
    }

    fn accept(&mut self, entry: usize, number: usize) {
        let instance = &mut self.instances[entry];
        let decision = match self.scenario.admission {
            Admission::All => Decision::Accept,
            Admission::Owed | Admission::AlwaysReady => instance.monitor.decide(self.now),
        };
        if matches!(decision, Decision::Close(_)) {
            self.tally.closed.push(self.now);
            return self.close(number);
        }
        instance.connections += 1;
        let life = instance.life;
        self.push(entry, life, Task::Read(number));
    }

    fn read(&mut self, entry: usize, number: usize) {
        let body = self.requests[self.tries[number].request].body;
        let instance = &mut self.instances[entry];
        instance.bodies += body;
        instance.monitor.begin(Some(1.0));
        self.tally.peak_memory = self.tally.peak_memory.max(instance.memory_share());
        let is_over = instance.memory_share() > 1.0;
        if self.tries[number].stage != Stage::Unread {
            // The client had left before its request was read.
            self.forget(number);
            return;
        }
        self.tries[number].stage = Stage::Read;
        if is_over {
            self.tally.ended_by_memory += 1;
            return self.restart(entry);
        }
        let life = self.instances[entry].life;
        self.push(entry, life, Task::Decide(number));
    }

    fn send(&mut self, entry: usize, number: usize) {
        if self.tries[number].stage != Stage::Read {
            return;
        }
        let body = self.requests[self.tries[number].request].body;
        let instance = &mut self.instances[entry];
        let life = instance.life;
        let opens = instance.link_wait(self.now) + NETWORK + NETWORK;
        self.schedule
            .push(self.now + opens, Event::Opened(entry, life, opens));
        instance.monitor.send(Size::from_bytes(body + HEAD_BYTES));
        let sent = instance.send(body + HEAD_BYTES, self.now);
        for event in 1..=self.scenario.events {
            let gap = self.scenario.gap.micros() * u64::from(event - 1);
            let at = sent + FIRST_EVENT + Span::from_micros(gap);
            let task = Task::Event(number);
            self.schedule.push(at, Event::Queue(entry, life, task));
        }
    }

    fn opened(&mut self, entry: usize, life: u32, took: Span) {
        let instance = &mut self.instances[entry];
        if instance.life == life {
            instance.monitor.connect(UPSTREAM, took, self.now);
        }
    }

    fn pass_on(&mut self, entry: usize, number: usize) {
        if self.tries[number].stage != Stage::Read {
            return;
        }
        let instance = &mut self.instances[entry];
        instance.monitor.pass_on();
        instance.monitor.send(Size::from_bytes(EVENT_BYTES));
        let sent = instance.send(EVENT_BYTES, self.now);
        self.tries[number].events += 1;
        if self.tries[number].events == self.scenario.events {
            self.schedule.push(sent + NETWORK, Event::Deliver(number));
        }
    }

    /// The client gets the end of its answer.
    fn deliver(&mut self, number: usize) {
        if self.tries[number].stage != Stage::Read {
            return;
        }
        self.forget(number);
        self.tries[number].stage = Stage::Over;
        let request = &mut self.requests[self.tries[number].request];
        request.first_read.get_or_insert(true);
        request.took = Some(self.now.since(request.asked));
    }

    fn tick(&mut self, entry: usize, life: u32) {
        if self.instances[entry].life == life {
            self.push(entry, life, Task::Tick);
        }
    }

    fn step(&mut self, entry: usize) {
        let now = self.now;
        let instance = &mut self.instances[entry];
        let life = instance.life;
        instance.step(now);
        if !instance.is_probing {
            instance.is_probing = true;
            instance.monitor.waits().queue(now);
            self.push(entry, life, Task::Probe);
        }
        self.schedule.push(now + TICK, Event::Tick(entry, life));
    }

    fn question(&mut self, entry: usize) {
        self.asked[entry] += 1;
        let number = self.asked[entry];
        let life = self.instances[entry].life;
        self.push(entry, life, Task::Ready);
        let next = self.now + ASK;
        self.schedule.push(next, Event::Missed(entry, number));
        self.schedule.push(next, Event::Question(entry));
    }

    /// Ends the entry; it starts again some time later.
    fn restart(&mut self, entry: usize) {
        let life = self.instances[entry].life;
        let phase = self.rng.random();
        self.instances[entry].restart(phase, self.now);
        self.instances[entry].paused_until = self.now + AWAY;
        for number in 0..self.tries.len() {
            let attempt = &self.tries[number];
            let is_of = attempt.entry == entry && attempt.life == life;
            match attempt.stage {
                Stage::Read if is_of => self.fail(number),
                Stage::Unread if is_of => self.close(number),
                _ => {}
            }
        }
        let life = self.instances[entry].life;
        self.schedule
            .push(self.now + AWAY, Event::Tick(entry, life));
    }
}
