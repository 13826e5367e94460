//! What callers notice when the platform's store comes back from a copy that is some seconds old.

use crate::days::{self, Spread};
use bpaf::Bpaf;
use eyre::Result;
use serde::Serialize;
use sorreldeck::{Span, Time};
use sorreldeck_platform::Table;
use sorreldeck_sim::{World, TICK};
use std::collections::BTreeMap;

/// Before the loss, so that all entries know all tables.
const BEFORE: Span = Span::from_millis(12_000);
/// After the return.
const AFTER: Span = Span::from_millis(12_000);
/// The pause between two changes of the operator, and between two upstreams that leave.
const CHANGES: Span = Span::from_millis(400);
/// One request of each entry is played each step.
const REQUESTS_PER_S: u64 = 1_000_000 / TICK.micros();

/// The parameters of the experiment.
#[derive(Clone, Debug, Bpaf)]
pub struct Options {
    #[bpaf(external(days::options))]
    pub days: days::Options,
    /// The data halls
    #[bpaf(long, argument("N"), fallback(3), display_fallback)]
    pub halls: usize,
    /// The seconds within which a change must be in force
    #[bpaf(long, argument("S"), fallback(2.0), display_fallback)]
    pub within: f64,
    /// The seconds for which the store is away
    #[bpaf(long, argument("S"), fallback(2.7), display_fallback)]
    pub away: f64,
    /// How often the store is lost, each time 1 s after its return
    #[bpaf(long, argument("N"), fallback(1), display_fallback)]
    pub losses: u32,
}

/// What came of one day.
#[derive(Debug, Default)]
struct Tally {
    /// The longest time until a change was in force at all entries, in seconds.
    in_force_s: f64,
    /// The changes that some entry never had in force.
    never: u64,
    /// Requests by an older configuration than must be in force.
    older: u64,
    /// Requests to upstreams that left longer ago than is allowed.
    to_left: u64,
    /// Requests that were decided by a configuration older than one that the entry had in force.
    went_back: u64,
    requests: u64,
    /// The calls of entries at the store in the second with the most, from the loss on.
    busiest: u64,
}

#[derive(Debug, Serialize)]
struct Summary {
    in_force_s: Spread,
    never_in_force: Spread,
    requests_by_older: Spread,
    requests_to_left: Spread,
    requests_went_back: Spread,
    calls_in_busiest_second: Spread,
    requests_per_entry_and_s: u64,
    days: u64,
    seed: u64,
    pass: bool,
}

/// Runs the experiment; returns whether its invariants held.
///
/// # Errors
///
/// Fails when no day is asked for.
pub fn run(options: &Options) -> Result<bool> {
    let days = options.days.play(|seed| play(options, seed), line)?;
    let spread = |figure: fn(&Tally) -> f64| Spread::over(&days, figure);
    let summary = Summary {
        in_force_s: spread(|day| day.in_force_s),
        never_in_force: spread(|day| day.never as f64),
        requests_by_older: spread(|day| day.older as f64),
        requests_to_left: spread(|day| day.to_left as f64),
        requests_went_back: spread(|day| day.went_back as f64),
        calls_in_busiest_second: spread(|day| day.busiest as f64),
        requests_per_entry_and_s: REQUESTS_PER_S,
        days: options.days.days,
        seed: options.days.seed,
        pass: days.iter().all(is_kept),
    };
    let table = [
        ("in force at all, s", summary.in_force_s),
        ("changes never in force", summary.never_in_force),
        ("requests by an older one", summary.requests_by_older),
        ("requests to those that left", summary.requests_to_left),
        ("requests that went back", summary.requests_went_back),
        ("calls, busiest second", summary.calls_in_busiest_second),
    ];
    options.days.print(&table, &summary);
    Ok(summary.pass)
}

fn is_kept(day: &Tally) -> bool {
    day.never + day.older + day.to_left + day.went_back == 0
}

fn line(day: &Tally) -> String {
    format!(
        "in force after {:.2} s; of {} requests {} by an older one, {} to those that left, {} went back; {} calls",
        day.in_force_s, day.requests, day.older, day.to_left, day.went_back, day.busiest
    )
}

/// A change of the operator.
struct Change {
    number: u64,
    /// When it was confirmed.
    at: Time,
    /// How many entries have it in force.
    entries: usize,
}

/// One day: changes all along, and the store lost in the middle.
struct Day {
    world: World,
    within: Span,
    /// The changes of the operator since the last return.
    changes: Vec<Change>,
    /// The newest configuration that each entry had in force.
    known: Vec<u64>,
    /// When each upstream left.
    left: BTreeMap<String, Time>,
    next_left: u64,
    tally: Tally,
}

fn play(options: &Options, seed: u64) -> Tally {
    let within = Span::from_secs_f64(options.within);
    let mut world = World::within(within, seed, options.halls, options.days.entries);
    world.upstreams = options.days.upstreams as u64;
    world.put_upstreams();
    let mut day = Day {
        known: vec![0; world.nodes.len()],
        world,
        within,
        changes: Vec::new(),
        left: BTreeMap::new(),
        next_left: 0,
        tally: Tally::default(),
    };
    day.pass(BEFORE, false);
    day.tally = Tally::default();
    for _ in 0..options.losses.max(1) {
        let now = day.world.now;
        day.world.restore(now + Span::from_secs_f64(options.away));
        // What is lost is written again, and only what is confirmed after it counts.
        day.changes.clear();
        day.left.clear();
        day.pass(Span::from_secs_f64(options.away), false);
        day.pass(Span::from_millis(1_000), true);
    }
    day.pass(AFTER, true);
    day.end()
}

impl Day {
    /// Lets time pass, with changes; `is_held` says whether requests are looked at.
    fn pass(&mut self, span: Span, is_held: bool) {
        let until = self.world.now + span;
        let mut due = self.world.now;
        let (mut second, mut calls) = (self.world.now, self.world.store.calls);
        while self.world.now < until {
            let is_up = self.world.now >= self.world.store.down_until;
            if is_up && self.world.now >= due {
                due = due + CHANGES;
                self.change(is_held);
            }
            self.world.tick();
            self.look(is_held);
            if self.world.now.since(second) >= Span::from_millis(1_000) {
                let made = self.world.store.calls - calls;
                self.tally.busiest = self.tally.busiest.max(made);
                (second, calls) = (self.world.now, self.world.store.calls);
            }
        }
    }

    /// Writes another configuration, and lets an upstream leave.
    fn change(&mut self, is_held: bool) {
        let now = self.world.now;
        let number = self.world.configure();
        self.changes.push(Change {
            number,
            at: now,
            entries: 0,
        });
        if is_held && self.next_left < self.world.upstreams / 2 {
            let key = format!("i-{}", self.next_left);
            self.next_left += 1;
            self.world.store.put(Table::Upstreams, &key, None, now);
            self.left.insert(key, now);
        }
    }

    /// Looks at one request of each entry.
    fn look(&mut self, is_held: bool) {
        let (now, within) = (self.world.now, self.within);
        let is_due = |at: &Time| now.since(*at) > within;
        let due = self.changes.iter().rev().find(|change| is_due(&change.at));
        let due = due.map_or(0, |change| change.number);
        for (number, node) in self.world.nodes.iter().enumerate() {
            let holds = node.config_number();
            let known = &mut self.known[number];
            self.tally.requests += u64::from(is_held);
            self.tally.went_back += u64::from(holds < *known);
            let newer = |change: &&mut Change| *known < change.number && holds >= change.number;
            for change in self.changes.iter_mut().filter(newer) {
                change.entries += 1;
                let took = now.since(change.at).secs_f64();
                self.tally.in_force_s = self.tally.in_force_s.max(took);
            }
            *known = holds.max(*known);
            if is_held {
                self.tally.older += u64::from(holds < due);
                let left = self.left.iter().filter(|(_, at)| is_due(at));
                let used = left.filter(|(id, _)| node.routable.iter().any(|u| u.as_str() == *id));
                self.tally.to_left += u64::from(used.count() > 0);
            }
        }
    }

    fn end(mut self) -> Tally {
        let now = self.world.now;
        let is_due = |change: &&Change| now.since(change.at) > self.within;
        let due = self.changes.iter().filter(is_due);
        let never = due.filter(|change| change.entries < self.world.nodes.len());
        self.tally.never = never.count() as u64;
        self.tally
    }
}
