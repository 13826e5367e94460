//! A simulated installation: entries with their reporters, the platform's store and the platform.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sorreldeck::duty::{
    Context, Counts, Outcome, Report, Reporter, Row, Settings, Step, Tally, Transaction, Window,
};
use sorreldeck::era::{Era, Stamp};
use sorreldeck::{AccountId, Hall, Incarnation, Span, Time};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

pub const TICK: Span = Span::from_millis(50);
pub const LENGTH: Span = Span::from_millis(5_000);
pub const LATE: Span = Span::from_millis(10_000);
pub const LEASE: Span = Span::from_millis(3_000);
/// The UTC time at which the simulation starts.
const START: Time = Time(1_700_000_001_234_000);
/// The number of backups of the store that are kept, one per tick.
const MAX_BACKUPS: usize = 60;

/// A fault of the installation. Faults of an entry hit the lease holder, or the first running entry
/// if there is none.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// The entry is killed and restarts.
    Kill,
    /// The entry is removed for good.
    Remove,
    /// The entry is paused for this long.
    Pause(Span),
    /// The entry cannot reach the store or the platform for this long.
    Partition(Span),
    /// The answers of the entry's next calls are lost, though the calls are executed.
    LoseAnswers(u32),
    /// The entry's next write is executed this much later.
    DelayWrite(Span),
    /// The store is restored from a backup of this age.
    Restore(Span),
    /// The store is unavailable for this long.
    StoreDown(Span),
    /// The platform does not answer for this long.
    PlatformDown(Span),
    /// The platform takes this long to answer the next reports.
    SlowPlatform(Span),
}

#[derive(Clone)]
enum Call {
    Read,
    Write(Transaction),
    Report(Report),
}

/// A call in flight, with the times of its execution and its answer.
#[derive(Clone)]
struct InFlight {
    call: Call,
    executes_at: Option<Time>,
    ends_at: Time,
    is_lost: bool,
    answer: Option<Answer>,
}

#[derive(Clone)]
enum Answer {
    Rows(Era, Vec<Row>),
    Written(Option<Stamp>),
    Reported,
}

#[derive(Clone)]
pub struct Node {
    pub name: String,
    pub hall: Hall,
    pub reporter: Reporter,
    pub tally: Tally,
    pub is_removed: bool,
    starts: u64,
    in_flight: Option<InFlight>,
    paused_until: Time,
    partitioned_until: Time,
    lost_answers: u32,
    write_delay: Option<Span>,
}

#[derive(Clone, Default)]
struct Store {
    rows: BTreeMap<String, (u64, Vec<u8>)>,
    version: u64,
    era: u64,
}

/// A report accepted by the platform.
#[derive(Clone, Debug)]
pub struct Accepted {
    pub at: Time,
    pub holder: String,
    pub fence: u64,
    pub window: Window,
    pub counts: Counts,
}

#[derive(Clone)]
pub struct World {
    pub now: Time,
    pub nodes: Vec<Node>,
    pub accepted: Vec<Accepted>,
    pub expected: BTreeMap<Window, Counts>,
    pub calls: u64,
    rng: ChaCha8Rng,
    store: Store,
    backups: VecDeque<Store>,
    /// Writes executed after their callers gave up.
    delayed_writes: Vec<(Time, Transaction)>,
    store_down_until: Time,
    platform_down_until: Time,
    report_latency: Option<Span>,
    requests_per_second: u32,
}

fn node(name: String, hall: Hall, starts: u64, is_first: bool) -> Node {
    let incarnation = Incarnation(starts);
    let settings = Settings {
        instance: name.parse().unwrap(),
        incarnation,
        hall: hall.clone(),
        window_length: LENGTH,
        report_deadline: LATE,
        lease: LEASE,
        min_report_interval: Span::from_millis(20),
        is_first_start: is_first,
    };
    Node {
        name,
        hall,
        reporter: Reporter::new(settings),
        tally: Tally::new(incarnation, LENGTH),
        is_removed: false,
        starts,
        in_flight: None,
        paused_until: Time::default(),
        partitioned_until: Time::default(),
        lost_answers: 0,
        write_delay: None,
    }
}

impl World {
    /// Creates an installation of `halls` data halls with `each` entries in each.
    pub fn new(seed: u64, halls: usize, each: usize) -> World {
        let mut nodes = Vec::new();
        for hall in 0..halls {
            for number in 0..each {
                let name = format!("e-{hall}-{number}");
                let hall: Hall = format!("hall-{hall}").parse().unwrap();
                nodes.push(node(name, hall, 1, true));
            }
        }
        World {
            // Far from the origin and not on a window boundary.
            now: START,
            nodes,
            accepted: Vec::new(),
            expected: BTreeMap::new(),
            calls: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            store: Store::default(),
            backups: VecDeque::new(),
            delayed_writes: Vec::new(),
            store_down_until: Time::default(),
            platform_down_until: Time::default(),
            report_latency: None,
            requests_per_second: 100,
        }
    }

    /// Advances the simulation.
    pub fn advance(&mut self, span: Span) {
        let until = self.now + span;
        while self.now < until {
            self.tick();
        }
    }

    fn tick(&mut self) {
        self.now = self.now + TICK;
        self.backups.push_back(self.store.clone());
        if self.backups.len() > MAX_BACKUPS {
            self.backups.pop_front();
        }
        let delayed_writes = std::mem::take(&mut self.delayed_writes).into_iter();
        let (due, later): (Vec<_>, Vec<_>) = delayed_writes.partition(|(at, _)| self.now >= *at);
        self.delayed_writes = later;
        for (_, transaction) in due {
            self.commit(&transaction);
        }
        self.start_requests();
        self.gossip();
        for number in 0..self.nodes.len() {
            self.step_node(number);
        }
    }

    /// Starts requests at random entries.
    fn start_requests(&mut self) {
        let each = self.requests_per_second * TICK.millis() as u32 / 1_000;
        for _ in 0..each {
            let number = self.rng.random_range(0..self.nodes.len());
            let is_up =
                !self.nodes[number].is_removed && self.now >= self.nodes[number].paused_until;
            if !is_up {
                continue;
            }
            let account: AccountId = format!("a-{}", self.rng.random_range(0..7))
                .parse()
                .unwrap();
            self.nodes[number].tally.record(&account, self.now);
            let window = Window::at(self.now, LENGTH);
            self.expected.entry(window).or_default().add(&account, 1);
        }
    }

    /// Exchanges counts between the entries of each data hall.
    fn gossip(&mut self) {
        for number in 0..self.nodes.len() {
            let node = &mut self.nodes[number];
            if node.is_removed || self.now < node.paused_until {
                continue;
            }
            let (name, hall) = (node.name.parse().unwrap(), node.hall.clone());
            let updates = node.tally.take_changes();
            for (other, node) in self.nodes.iter_mut().enumerate() {
                if other != number && node.hall == hall {
                    node.tally.merge(&name, updates.clone());
                }
            }
        }
    }

    fn step_node(&mut self, number: usize) {
        let now = self.now;
        self.execute(number);
        let halls: BTreeSet<Hall> = self.nodes.iter().map(|n| n.hall.clone()).collect();
        let is_hall_leader = self.is_hall_leader(number);
        let node = &mut self.nodes[number];
        if node.is_removed || now < node.paused_until {
            return;
        }
        if let Some(in_flight) = node.in_flight.take_if(|in_flight| now >= in_flight.ends_at) {
            finish(node, in_flight, now);
        }
        let context = Context {
            reads_store: true,
            is_hall_leader,
            halls: &halls,
            tally: &node.tally,
            utc: now,
            store_time: Some(Time(now.0 - START.0)),
            epoch_us: Some(0),
        };
        let call = match node.reporter.next(&context, now) {
            Step::Rest => return,
            Step::Read => Call::Read,
            Step::Write(transaction) => Call::Write(transaction),
            Step::Report(report) => Call::Report(report),
        };
        self.send(number, call);
    }

    /// Returns whether this is the first running entry of its data hall.
    fn is_hall_leader(&self, number: usize) -> bool {
        let own = &self.nodes[number];
        let before = self.nodes[..number].iter();
        before
            .filter(|n| n.hall == own.hall)
            .all(|n| n.is_removed || self.now < n.paused_until)
    }

    fn send(&mut self, number: usize, call: Call) {
        self.calls += 1;
        let now = self.now;
        let delay = match call {
            Call::Write(_) => self.nodes[number].write_delay.take(),
            _ => None,
        };
        let mut latency = TICK;
        let mut max_wait = Span::from_millis(1_500);
        if let Call::Report(report) = &call {
            max_wait = max_wait.min(report.timeout);
            latency = self.report_latency.unwrap_or(TICK).min(max_wait);
        }
        let is_partitioned = now < self.nodes[number].partitioned_until;
        if let (Some(delay), Call::Write(transaction)) = (delay, &call) {
            self.delayed_writes.push((now + delay, transaction.clone()));
        }
        let executes_at = (!is_partitioned && delay.is_none()).then_some(now + latency);
        let node = &mut self.nodes[number];
        let is_lost = node.lost_answers > 0;
        node.lost_answers = node.lost_answers.saturating_sub(1);
        let ends_at = match executes_at.is_some() && !is_lost {
            true => now + latency + TICK,
            false => now + max_wait,
        };
        node.in_flight = Some(InFlight {
            call,
            executes_at,
            ends_at,
            is_lost,
            answer: None,
        });
    }

    /// Executes a call at the store or the platform, even while its caller is paused.
    fn execute(&mut self, number: usize) {
        let now = self.now;
        let Some(in_flight) = self.nodes[number].in_flight.clone() else {
            return;
        };
        if in_flight.answer.is_some() || in_flight.executes_at.is_none_or(|at| now < at) {
            return;
        }
        self.nodes[number].in_flight.as_mut().unwrap().executes_at = None;
        let answer = match &in_flight.call {
            Call::Report(_) if now < self.platform_down_until => None,
            Call::Report(report) => {
                self.accepted.push(Accepted {
                    at: now,
                    holder: report.holder.to_string(),
                    fence: report.fence,
                    window: report.window,
                    counts: report.counts.clone(),
                });
                Some(Answer::Reported)
            }
            _ if now < self.store_down_until => None,
            Call::Read => Some(self.rows()),
            Call::Write(transaction) => Some(Answer::Written(self.commit(transaction))),
        };
        let in_flight = self.nodes[number].in_flight.as_mut().unwrap();
        in_flight.answer = answer.filter(|_| !in_flight.is_lost);
        if in_flight.answer.is_none() {
            in_flight.ends_at = in_flight.ends_at.max(now + Span::from_millis(500));
        }
    }

    fn rows(&self) -> Answer {
        let rows = self.store.rows.iter().map(|(key, (version, value))| Row {
            key: key.clone(),
            version: *version,
            value: value.clone(),
        });
        Answer::Rows(Era(self.store.era), rows.collect())
    }

    fn commit(&mut self, transaction: &Transaction) -> Option<Stamp> {
        let store = &mut self.store;
        let version = |key: &String| store.rows.get(key).map_or(0, |(version, _)| *version);
        if transaction.expect.iter().any(|(key, v)| version(key) != *v) {
            return None;
        }
        store.version += 1;
        for (key, value) in &transaction.put {
            let row = (store.version, value.clone());
            store.rows.insert(key.clone(), row);
        }
        for key in &transaction.remove {
            store.rows.remove(key);
        }
        assert!(transaction.put.len() + transaction.remove.len() + transaction.expect.len() <= 100);
        Some(Stamp::new(Era(store.era), store.version))
    }

    /// Returns the entry that holds the lease, or the first running one.
    fn holder(&self) -> Option<usize> {
        let up = |n: &&usize| !self.nodes[**n].is_removed;
        let numbers: Vec<usize> = (0..self.nodes.len()).collect();
        let holds = |n: &&usize| self.nodes[**n].reporter.fence(self.now).is_some();
        let holder = numbers.iter().filter(up).find(holds);
        holder.or(numbers.iter().find(up)).copied()
    }

    /// Injects a fault.
    pub fn inject(&mut self, fault: Fault) {
        let now = self.now;
        match fault {
            Fault::Restore(age) => self.restore(age),
            Fault::StoreDown(span) => self.store_down_until = now + span,
            Fault::PlatformDown(span) => self.platform_down_until = now + span,
            Fault::SlowPlatform(span) => self.report_latency = Some(span),
            _ => {}
        }
        let Some(number) = self.holder() else {
            return;
        };
        let node = &mut self.nodes[number];
        match fault {
            Fault::Kill => {
                let starts = node.starts + 1;
                let paused = now + Span::from_millis(500);
                *node = self::node(node.name.clone(), node.hall.clone(), starts, false);
                node.paused_until = paused;
            }
            Fault::Remove => node.is_removed = true,
            Fault::Pause(span) => node.paused_until = now + span,
            Fault::Partition(span) => node.partitioned_until = now + span,
            Fault::LoseAnswers(calls) => node.lost_answers = calls,
            Fault::DelayWrite(span) => node.write_delay = Some(span),
            _ => {}
        }
    }

    fn restore(&mut self, age: Span) {
        let back = (age.micros() / TICK.micros()) as usize;
        let at = self.backups.len().saturating_sub(back + 1);
        let era = self.store.era + 1;
        if let Some(copy) = self.backups.get(at) {
            self.store = copy.clone();
        }
        self.store.era = era;
        self.backups.clear();
        self.store_down_until = self.now + Span::from_millis(300);
        self.delayed_writes.clear();
    }

    /// Checks the platform's requirements: one set of counts per window, one holder per fencing
    /// token, and tokens that never decrease.
    pub fn check(&self) {
        let mut counts: BTreeMap<Window, &Counts> = BTreeMap::new();
        let mut fences: BTreeMap<u64, &str> = BTreeMap::new();
        let mut highest = 0;
        for accepted in &self.accepted {
            let first = counts.entry(accepted.window).or_insert(&accepted.counts);
            assert_eq!(
                **first, accepted.counts,
                "two reports of window {}",
                accepted.window
            );
            let holder = fences.entry(accepted.fence).or_insert(&accepted.holder);
            assert_eq!(
                **holder, accepted.holder,
                "two holders of fence {}",
                accepted.fence
            );
            assert!(
                accepted.fence >= highest,
                "fence {} after {highest}",
                accepted.fence
            );
            highest = accepted.fence;
        }
        self.check_turns();
    }

    /// Checks that no entry acts again within the lease time if another acted in between.
    fn check_turns(&self) {
        let mut turns: Vec<(&str, Time, Time)> = Vec::new();
        for accepted in &self.accepted {
            match turns
                .last_mut()
                .filter(|(holder, ..)| *holder == accepted.holder)
            {
                Some((_, _, last)) => *last = accepted.at,
                None => turns.push((&accepted.holder, accepted.at, accepted.at)),
            }
        }
        for three in turns.windows(3) {
            let again = three[2].1.since(three[0].2);
            assert!(
                three[0].0 != three[2].0 || again > LEASE,
                "{} acted again after {again}",
                three[0].0
            );
        }
    }

    /// Returns the windows of a period that were reported before their deadline, and the number of
    /// all windows.
    pub fn reported_in_time(&self, from: Time, to: Time) -> (Vec<Window>, usize) {
        let first = Window::at(from, LENGTH);
        let last = Window::at(to, LENGTH);
        let all: Vec<Window> = (first.0..last.0).map(Window).collect();
        let is_in_time = |w: &Window| {
            let due = w.end(LENGTH) + LATE;
            self.accepted.iter().any(|t| t.window == *w && t.at <= due)
        };
        let windows = all.len();
        (all.into_iter().filter(is_in_time).collect(), windows)
    }
}

fn finish(node: &mut Node, in_flight: InFlight, now: Time) {
    match (in_flight.call, in_flight.answer) {
        (Call::Read, Some(Answer::Rows(era, rows))) => node.reporter.on_read(Some(era), rows, now),
        (Call::Write(_), Some(Answer::Written(made))) => node.reporter.on_written(made, now),
        (Call::Report(_), Some(Answer::Reported)) => {
            node.reporter.on_reported(Outcome::Taken, now, now);
        }
        (Call::Report(_), _) => node.reporter.on_reported(Outcome::Unknown, now, now),
        _ => node.reporter.on_failed(now),
    }
}
