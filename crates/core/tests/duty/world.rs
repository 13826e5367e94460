//! Entries that do duties, the platform's store and the platform, in simulated time.

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
/// When an installation starts.
const START: Time = Time(1_700_000_001_234_000);
/// The age of the oldest copy that the store may come back from.
const COPIES: usize = 60;

/// What happens to the installation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Trouble {
    /// The holder, or the first entry where there is none, is killed and starts again.
    Kill,
    /// The same, and it never comes back.
    Remove,
    /// It stands still for so long.
    Pause(Span),
    /// It does not reach the store, nor the platform, for so long.
    Cut(Span),
    /// The answers of its next calls are lost, though they are done.
    Lose(u32),
    /// Its next write is done so much later.
    Late(Span),
    /// The store comes back from a copy that is so old.
    Restore(Span),
    /// The store is away for so long.
    Away(Span),
    /// The platform's address is silent for so long.
    Silent(Span),
    /// The platform takes so long to take a report.
    Slow(Span),
}

#[derive(Clone)]
enum Call {
    Read,
    Write(Transaction),
    Report(Report),
}

/// A call on its way: when it arrives, when its answer is back, and whether that is lost.
#[derive(Clone)]
struct Trip {
    call: Call,
    arrives: Option<Time>,
    ends: Time,
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
    pub duty: Reporter,
    pub tally: Tally,
    pub is_gone: bool,
    starts: u64,
    trip: Option<Trip>,
    paused_until: Time,
    cut_until: Time,
    lose: u32,
    late: Option<Span>,
}

#[derive(Clone, Default)]
struct Store {
    rows: BTreeMap<String, (u64, Vec<u8>)>,
    version: u64,
    era: u64,
}

/// A report as the platform took it.
#[derive(Clone, Debug)]
pub struct Taken {
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
    pub taken: Vec<Taken>,
    pub truth: BTreeMap<Window, Counts>,
    pub calls: u64,
    rng: ChaCha8Rng,
    store: Store,
    copies: VecDeque<Store>,
    /// Writes that are done later than their callers wait.
    stray: Vec<(Time, Transaction)>,
    away_until: Time,
    silent_until: Time,
    slow: Option<Span>,
    per_second: u32,
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
        duty: Reporter::new(settings),
        tally: Tally::new(incarnation, LENGTH),
        is_gone: false,
        starts,
        trip: None,
        paused_until: Time::default(),
        cut_until: Time::default(),
        lose: 0,
        late: None,
    }
}

impl World {
    /// Creates an installation of some data halls with as many entries each.
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
            // Far from the origin, and not at the edge of a window.
            now: START,
            nodes,
            taken: Vec::new(),
            truth: BTreeMap::new(),
            calls: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            store: Store::default(),
            copies: VecDeque::new(),
            stray: Vec::new(),
            away_until: Time::default(),
            silent_until: Time::default(),
            slow: None,
            per_second: 100,
        }
    }

    /// Lets time pass.
    pub fn pass(&mut self, span: Span) {
        let until = self.now + span;
        while self.now < until {
            self.tick();
        }
    }

    fn tick(&mut self) {
        self.now = self.now + TICK;
        self.copies.push_back(self.store.clone());
        if self.copies.len() > COPIES {
            self.copies.pop_front();
        }
        let stray = std::mem::take(&mut self.stray).into_iter();
        let (due, later): (Vec<_>, Vec<_>) = stray.partition(|(at, _)| self.now >= *at);
        self.stray = later;
        for (_, change) in due {
            self.change(&change);
        }
        self.requests();
        self.gossip();
        for number in 0..self.nodes.len() {
            self.turn(number);
        }
    }

    /// Lets requests begin to run.
    fn requests(&mut self) {
        let each = self.per_second * TICK.millis() as u32 / 1_000;
        for _ in 0..each {
            let number = self.rng.random_range(0..self.nodes.len());
            let is_up = !self.nodes[number].is_gone && self.now >= self.nodes[number].paused_until;
            if !is_up {
                continue;
            }
            let account: AccountId = format!("a-{}", self.rng.random_range(0..7))
                .parse()
                .unwrap();
            self.nodes[number].tally.record(&account, self.now);
            let window = Window::at(self.now, LENGTH);
            self.truth.entry(window).or_default().add(&account, 1);
        }
    }

    /// Entries of a data hall tell one another what they counted.
    fn gossip(&mut self) {
        for number in 0..self.nodes.len() {
            let node = &mut self.nodes[number];
            if node.is_gone || self.now < node.paused_until {
                continue;
            }
            let (name, hall) = (node.name.parse().unwrap(), node.hall.clone());
            let parts = node.tally.take_changes();
            for (other, node) in self.nodes.iter_mut().enumerate() {
                if other != number && node.hall == hall {
                    node.tally.merge(&name, parts.clone());
                }
            }
        }
    }

    fn turn(&mut self, number: usize) {
        let now = self.now;
        self.arrive(number);
        let halls: BTreeSet<Hall> = self.nodes.iter().map(|n| n.hall.clone()).collect();
        let leads = self.leads(number);
        let node = &mut self.nodes[number];
        if node.is_gone || now < node.paused_until {
            return;
        }
        if let Some(trip) = node.trip.take_if(|trip| now >= trip.ends) {
            end(node, trip, now);
        }
        let around = Context {
            reads_store: true,
            is_hall_leader: leads,
            halls: &halls,
            tally: &node.tally,
            utc: now,
            store_time: Some(Time(now.0 - START.0)),
            epoch_us: Some(0),
        };
        let call = match node.duty.next(&around, now) {
            Step::Rest => return,
            Step::Read => Call::Read,
            Step::Write(change) => Call::Write(change),
            Step::Report(report) => Call::Report(report),
        };
        self.depart(number, call);
    }

    /// The first of a data hall that runs leads it.
    fn leads(&self, number: usize) -> bool {
        let own = &self.nodes[number];
        let before = self.nodes[..number].iter();
        before
            .filter(|n| n.hall == own.hall)
            .all(|n| n.is_gone || self.now < n.paused_until)
    }

    fn depart(&mut self, number: usize, call: Call) {
        self.calls += 1;
        let now = self.now;
        let late = match call {
            Call::Write(_) => self.nodes[number].late.take(),
            _ => None,
        };
        let mut takes = TICK;
        let mut most = Span::from_millis(1_500);
        if let Call::Report(report) = &call {
            most = most.min(report.timeout);
            takes = self.slow.unwrap_or(TICK).min(most);
        }
        let is_cut = now < self.nodes[number].cut_until;
        if let (Some(late), Call::Write(change)) = (late, &call) {
            self.stray.push((now + late, change.clone()));
        }
        let arrives = (!is_cut && late.is_none()).then_some(now + takes);
        let node = &mut self.nodes[number];
        let is_lost = node.lose > 0;
        node.lose = node.lose.saturating_sub(1);
        let ends = match arrives.is_some() && !is_lost {
            true => now + takes + TICK,
            false => now + most,
        };
        node.trip = Some(Trip {
            call,
            arrives,
            ends,
            is_lost,
            answer: None,
        });
    }

    /// Lets a call reach the store or the platform, also while its caller stands still.
    fn arrive(&mut self, number: usize) {
        let now = self.now;
        let Some(trip) = self.nodes[number].trip.clone() else {
            return;
        };
        if trip.answer.is_some() || trip.arrives.is_none_or(|at| now < at) {
            return;
        }
        self.nodes[number].trip.as_mut().unwrap().arrives = None;
        let answer = match &trip.call {
            Call::Report(_) if now < self.silent_until => None,
            Call::Report(report) => {
                self.taken.push(Taken {
                    at: now,
                    holder: report.holder.to_string(),
                    fence: report.fence,
                    window: report.window,
                    counts: report.counts.clone(),
                });
                Some(Answer::Reported)
            }
            _ if now < self.away_until => None,
            Call::Read => Some(self.rows()),
            Call::Write(change) => Some(Answer::Written(self.change(change))),
        };
        let trip = self.nodes[number].trip.as_mut().unwrap();
        trip.answer = answer.filter(|_| !trip.is_lost);
        if trip.answer.is_none() {
            trip.ends = trip.ends.max(now + Span::from_millis(500));
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

    fn change(&mut self, change: &Transaction) -> Option<Stamp> {
        let store = &mut self.store;
        let version = |key: &String| store.rows.get(key).map_or(0, |(version, _)| *version);
        if change.expect.iter().any(|(key, v)| version(key) != *v) {
            return None;
        }
        store.version += 1;
        for (key, value) in &change.put {
            let row = (store.version, value.clone());
            store.rows.insert(key.clone(), row);
        }
        for key in &change.remove {
            store.rows.remove(key);
        }
        assert!(change.put.len() + change.remove.len() + change.expect.len() <= 100);
        Some(Stamp::new(Era(store.era), store.version))
    }

    /// Returns the entry that may act, or the first that runs.
    fn holder(&self) -> Option<usize> {
        let up = |n: &&usize| !self.nodes[**n].is_gone;
        let numbers: Vec<usize> = (0..self.nodes.len()).collect();
        let holds = |n: &&usize| self.nodes[**n].duty.fence(self.now).is_some();
        let holder = numbers.iter().filter(up).find(holds);
        holder.or(numbers.iter().find(up)).copied()
    }

    /// Brings a trouble about.
    pub fn strike(&mut self, trouble: Trouble) {
        let now = self.now;
        match trouble {
            Trouble::Restore(age) => self.restore(age),
            Trouble::Away(span) => self.away_until = now + span,
            Trouble::Silent(span) => self.silent_until = now + span,
            Trouble::Slow(span) => self.slow = Some(span),
            _ => {}
        }
        let Some(number) = self.holder() else {
            return;
        };
        let node = &mut self.nodes[number];
        match trouble {
            Trouble::Kill => {
                let starts = node.starts + 1;
                let paused = now + Span::from_millis(500);
                *node = self::node(node.name.clone(), node.hall.clone(), starts, false);
                node.paused_until = paused;
            }
            Trouble::Remove => node.is_gone = true,
            Trouble::Pause(span) => node.paused_until = now + span,
            Trouble::Cut(span) => node.cut_until = now + span,
            Trouble::Lose(calls) => node.lose = calls,
            Trouble::Late(span) => node.late = Some(span),
            _ => {}
        }
    }

    fn restore(&mut self, age: Span) {
        let back = (age.micros() / TICK.micros()) as usize;
        let at = self.copies.len().saturating_sub(back + 1);
        let era = self.store.era + 1;
        if let Some(copy) = self.copies.get(at) {
            self.store = copy.clone();
        }
        self.store.era = era;
        self.copies.clear();
        self.away_until = self.now + Span::from_millis(300);
        self.stray.clear();
    }

    /// Checks what the platform asks of reports.
    pub fn check(&self) {
        let mut counts: BTreeMap<Window, &Counts> = BTreeMap::new();
        let mut fences: BTreeMap<u64, &str> = BTreeMap::new();
        let mut highest = 0;
        for taken in &self.taken {
            let first = counts.entry(taken.window).or_insert(&taken.counts);
            assert_eq!(
                **first, taken.counts,
                "two reports of window {}",
                taken.window
            );
            let holder = fences.entry(taken.fence).or_insert(&taken.holder);
            assert_eq!(
                **holder, taken.holder,
                "two holders of fence {}",
                taken.fence
            );
            assert!(
                taken.fence >= highest,
                "fence {} after {highest}",
                taken.fence
            );
            highest = taken.fence;
        }
        self.check_turns();
    }

    /// Checks that nobody acts again within the lease after another acted between.
    fn check_turns(&self) {
        let mut turns: Vec<(&str, Time, Time)> = Vec::new();
        for taken in &self.taken {
            match turns
                .last_mut()
                .filter(|(holder, ..)| *holder == taken.holder)
            {
                Some((_, _, last)) => *last = taken.at,
                None => turns.push((&taken.holder, taken.at, taken.at)),
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

    /// Returns the windows of a time that were reported within the bound, and how many there were.
    pub fn in_time(&self, from: Time, to: Time) -> (Vec<Window>, usize) {
        let first = Window::at(from, LENGTH);
        let last = Window::at(to, LENGTH);
        let all: Vec<Window> = (first.0..last.0).map(Window).collect();
        let is_in_time = |w: &Window| {
            let due = w.end(LENGTH) + LATE;
            self.taken.iter().any(|t| t.window == *w && t.at <= due)
        };
        let windows = all.len();
        (all.into_iter().filter(is_in_time).collect(), windows)
    }
}

fn end(node: &mut Node, trip: Trip, now: Time) {
    match (trip.call, trip.answer) {
        (Call::Read, Some(Answer::Rows(era, rows))) => node.duty.on_read(Some(era), rows, now),
        (Call::Write(_), Some(Answer::Written(made))) => node.duty.on_written(made, now),
        (Call::Report(_), Some(Answer::Reported)) => {
            node.duty.on_reported(Outcome::Taken, now, now);
        }
        (Call::Report(_), _) => node.duty.on_reported(Outcome::Unknown, now, now),
        _ => node.duty.on_failed(now),
    }
}
