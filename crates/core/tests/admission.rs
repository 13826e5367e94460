//! Callers who ask for more than upstreams can do, in front of entries with a gate each.
//!
//! Guards against callers who wait until they leave while nobody is refused, against refusals of
//! the urgent before the others or of the quiet before the loud, and against refusals that help
//! nobody because the caller is refused again or upstreams idle.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sorreldeck::admission::{Ask, Decision, Gate, Reason, Scope};
use sorreldeck::pick::Outlook;
use sorreldeck::{AccountId, RouteId, Span, Time};
use std::collections::VecDeque;
use test_case::test_case;

const ENTRIES: usize = 20;
/// The step of the clock, and the age at which an entry hears what others have sent.
const STEP_MS: u64 = 5;
const NEWS_MS: u64 = 50;
/// The time within which callers whose streams broke are back.
const RECONNECT_MS: u64 = 1_000;
/// What a late answer is worth.
const LATE_WORTH: f64 = 0.2;
/// The most by which callers may get less with a gate than without.
const MAX_LOSS: f64 = 0.03;
/// The rank by which interrupted streams are less urgent than new requests.
const RESUMED: u8 = 3;
const EVEN: [f64; 4] = [1.0; 4];
const UNEVEN: [f64; 4] = [0.55, 1.2, 1.2, 1.2];

/// A kind of request: its work at the usual speed, objective and time limit in milliseconds, and
/// its part of all work.
struct Kind {
    work: f64,
    objective: u64,
    limit: u64,
    part: f64,
}

/// The kinds by rank.
const KINDS: [Kind; 3] = [
    Kind {
        work: 60.0,
        objective: 2_000,
        limit: 20_000,
        part: 0.4,
    },
    Kind {
        work: 20.0,
        objective: 1_500,
        limit: 15_000,
        part: 0.35,
    },
    Kind {
        work: 20.0,
        objective: 2_000,
        limit: 5_000,
        part: 0.25,
    },
];

#[derive(Clone, Copy, Debug, PartialEq)]
enum End {
    Served { at: u64 },
    Refused,
    Left,
}

#[derive(Clone, Copy, Debug)]
struct Caller {
    rank: usize,
    account: usize,
    since: u64,
    refused_at: Option<u64>,
    runs: u16,
    resumes: bool,
    end: Option<End>,
}

impl Caller {
    fn kind(&self) -> &'static Kind {
        &KINDS[self.rank]
    }

    fn in_time(&self) -> bool {
        matches!(self.end, Some(End::Served { at }) if at <= self.since + self.kind().objective)
    }

    fn served(&self) -> bool {
        matches!(self.end, Some(End::Served { .. }))
    }
}

/// A work-conserving server that takes the most urgent request first.
#[derive(Clone, Default)]
struct Upstream {
    slowdown: f64,
    queue: VecDeque<usize>,
    current: Option<(usize, f64)>,
}

struct World {
    now: u64,
    rng: ChaCha8Rng,
    gates: Vec<Gate>,
    upstreams: Vec<Upstream>,
    /// The work at each upstream as each entry knows it.
    known: Vec<Vec<f64>>,
    callers: Vec<Caller>,
    returning: Vec<(u64, usize)>,
    /// Whether everyone is let in.
    open: bool,
    /// The part of all requests that the first of five accounts sends.
    loud: f64,
}

impl World {
    fn new(slowdowns: &[f64], loud: f64, seed: u64) -> World {
        let upstream = |slowdown: &f64| Upstream {
            slowdown: *slowdown,
            ..Upstream::default()
        };
        World {
            now: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            gates: vec![Gate::new(Scope::Room); ENTRIES],
            upstreams: slowdowns.iter().map(upstream).collect(),
            known: vec![vec![0.0; slowdowns.len()]; ENTRIES],
            callers: Vec::new(),
            returning: Vec::new(),
            loud,
            open: false,
        }
    }

    /// Returns the work that upstreams can do in a millisecond.
    fn capacity(&self) -> f64 {
        self.upstreams.iter().map(|u| 1.0 / u.slowdown).sum()
    }

    fn work_left(&self, upstream: usize) -> f64 {
        let upstream = &self.upstreams[upstream];
        let queued = upstream.queue.iter().map(|c| self.callers[*c].kind().work);
        upstream.current.map_or(0.0, |(_, left)| left) + queued.sum::<f64>() * upstream.slowdown
    }

    /// Plays for some time at a load, as a multiple of what upstreams can do.
    fn play(&mut self, load: f64, ms: u64) {
        let work = load * self.capacity() * STEP_MS as f64;
        for _ in 0..ms / STEP_MS {
            self.now += STEP_MS;
            if self.now % NEWS_MS == 0 {
                let news: Vec<f64> = (0..self.upstreams.len())
                    .map(|u| self.work_left(u))
                    .collect();
                self.known = vec![news; ENTRIES];
            }
            for (rank, kind) in KINDS.iter().enumerate() {
                let mut expected = work * kind.part / kind.work;
                while self.rng.random::<f64>() < expected {
                    expected -= 1.0;
                    self.arrive(rank);
                }
            }
            let now = self.now;
            let (due, later) = self.returning.drain(..).partition(|(at, _)| *at <= now);
            self.returning = later;
            let due: Vec<(u64, usize)> = due;
            due.into_iter().for_each(|(_, caller)| self.ask(caller));
            (0..self.upstreams.len()).for_each(|u| self.work(u));
        }
    }

    fn arrive(&mut self, rank: usize) {
        let account = match self.rng.random::<f64>() < self.loud {
            true => 0,
            false => self.rng.random_range(1..5),
        };
        self.callers.push(Caller {
            rank,
            account,
            since: self.now,
            refused_at: None,
            runs: 0,
            resumes: false,
            end: None,
        });
        self.ask(self.callers.len() - 1);
    }

    fn outlook(&self, entry: usize, work: f64) -> Outlook {
        let known = &self.known[entry];
        let first = |u: usize| known[u] + work * self.upstreams[u].slowdown;
        let first = (0..known.len()).map(first).fold(f64::INFINITY, f64::min);
        let mean = known.iter().sum::<f64>() / known.len() as f64;
        Outlook {
            first: Span::from_secs_f64(first / 1e3),
            has_free: known.contains(&0.0),
            backlog: Span::from_secs_f64(mean / 1e3),
        }
    }

    fn ask(&mut self, number: usize) {
        let caller = self.callers[number];
        let kind = caller.kind();
        let left = (caller.since + kind.limit).saturating_sub(self.now);
        if left == 0 {
            return;
        }
        let entry = self.rng.random_range(0..ENTRIES);
        let outlook = self.outlook(entry, kind.work);
        let account: AccountId = format!("a{}", caller.account).parse().unwrap();
        let route: RouteId = format!("r{}", caller.rank).parse().unwrap();
        let ask = Ask {
            rank: caller.rank as u8 + if caller.resumes { RESUMED } else { 0 },
            account: &account,
            weight: 1,
            route: &route,
            objective: Span::from_millis(kind.objective),
            limit: Span::from_millis(kind.limit),
            time_left: Span::from_millis(left),
            runs: caller.runs,
            resumes: caller.resumes,
        };
        let draw = self.rng.random();
        let now = Time(self.now * 1_000);
        match self.gates[entry].decide(&ask, &outlook, now, draw) {
            _ if self.open => self.send(number, entry),
            Decision::Admit => self.send(number, entry),
            Decision::Refuse(refusal) => {
                let useless = refusal.reason == Reason::NoTime;
                assert!(
                    useless || !outlook.has_free,
                    "{refusal:?} while a place is free"
                );
                let again = refusal.retry_after.millis().min(left / 3);
                if caller.refused_at.is_some() {
                    self.callers[number].end = Some(End::Refused);
                } else {
                    self.callers[number].refused_at = Some(self.now);
                    self.returning.push((self.now + again, number));
                }
            }
        }
    }

    fn send(&mut self, number: usize, entry: usize) {
        self.callers[number].runs += 1;
        let work = self.callers[number].kind().work;
        let cost = |u: &usize| self.known[entry][*u] + work * self.upstreams[*u].slowdown;
        let chosen = (0..self.upstreams.len()).min_by(|a, b| cost(a).total_cmp(&cost(b)));
        let chosen = chosen.unwrap();
        self.known[entry][chosen] += work * self.upstreams[chosen].slowdown;
        self.upstreams[chosen].queue.push_back(number);
    }

    /// Works for a step; a request whose caller has left is dropped when its turn comes.
    fn work(&mut self, upstream: usize) {
        let Upstream {
            slowdown,
            mut queue,
            mut current,
        } = self.upstreams[upstream].clone();
        let mut time = STEP_MS as f64;
        while time > 0.0 {
            let Some((number, left)) = current.take() else {
                let ranked = |c: &usize| (self.callers[*c].resumes, self.callers[*c].rank);
                let next = (0..queue.len()).min_by_key(|i| ranked(&queue[*i]));
                let Some(number) = next.and_then(|next| queue.remove(next)) else {
                    break;
                };
                let caller = &mut self.callers[number];
                match self.now > caller.since + caller.kind().limit {
                    true => caller.end = Some(End::Left),
                    false => current = Some((number, caller.kind().work * slowdown)),
                }
                continue;
            };
            match left > time {
                true => current = Some((number, left - time)),
                false => self.callers[number].end = Some(End::Served { at: self.now }),
            }
            time -= left;
        }
        self.upstreams[upstream] = Upstream {
            slowdown,
            queue,
            current,
        };
    }

    /// Takes what waits or runs at an upstream away from it.
    fn take_all(&mut self, upstream: usize) -> Vec<usize> {
        let upstream = &mut self.upstreams[upstream];
        let current = upstream.current.take().map(|(number, _)| number);
        upstream.queue.drain(..).chain(current).collect()
    }

    /// Kills all entries: runs end, and the callers of the last seconds come back with interrupted
    /// streams.
    fn restart(&mut self, streams_ms: u64) {
        self.gates = vec![Gate::new(Scope::Room); ENTRIES];
        for upstream in 0..self.upstreams.len() {
            self.take_all(upstream);
        }
        self.known = vec![vec![0.0; self.upstreams.len()]; ENTRIES];
        let since = self.now - streams_ms;
        for number in 0..self.callers.len() {
            let caller = &mut self.callers[number];
            if caller.since >= since && caller.runs > 0 {
                (caller.resumes, caller.runs, caller.end, caller.refused_at) =
                    (true, 0, None, None);
                let back = self.rng.random_range(0..RECONNECT_MS);
                self.returning.push((self.now + back, number));
            }
        }
    }

    /// Takes an upstream away; what it had is sent to others.
    fn lose_upstream(&mut self) {
        let lost = self.take_all(self.upstreams.len() - 1);
        self.upstreams.pop();
        for known in &mut self.known {
            known.pop();
        }
        lost.into_iter().for_each(|number| self.ask(number));
    }

    /// Returns the work done for callers who came in a period and match, by unit of capacity.
    fn goodput(&self, (from, to): (u64, u64), matches: impl Fn(&Caller) -> bool) -> f64 {
        let done = self.callers.iter().filter(|c| {
            matches(c) && matches!(c.end, Some(End::Served { at }) if (from..to).contains(&at))
        });
        done.map(|c| c.kind().work).sum::<f64>() / self.capacity() / (to - from) as f64
    }

    /// Returns what callers of a period got for the work that they asked for.
    fn worth(&self, (from, to): (u64, u64)) -> f64 {
        let callers = self
            .callers
            .iter()
            .filter(|c| (from..to).contains(&c.since));
        let (mut asked, mut got) = (0.0, 0.0);
        for caller in callers {
            asked += caller.kind().work;
            got += caller.kind().work
                * match caller.served() {
                    true if caller.in_time() => 1.0,
                    true => LATE_WORTH,
                    false => 0.0,
                };
        }
        got / asked
    }

    /// Returns the part of the callers of a period for whom something holds.
    fn part(
        &self,
        (from, to): (u64, u64),
        of: impl Fn(&Caller) -> bool,
        holds: impl Fn(&Caller) -> bool,
    ) -> f64 {
        let of = |c: &&Caller| (from..to).contains(&c.since) && of(c);
        let all: Vec<&Caller> = self.callers.iter().filter(of).collect();
        all.iter().filter(|c| holds(c)).count() as f64 / all.len().max(1) as f64
    }
}

const PERIOD: (u64, u64) = (5_000, 25_000);

#[test_case(0.5, &EVEN; "half, even")]
#[test_case(0.5, &UNEVEN; "half, uneven")]
#[test_case(1.0, &EVEN; "all, even")]
#[test_case(1.0, &UNEVEN; "all, uneven")]
#[test_case(1.5, &EVEN; "half more, even")]
#[test_case(1.5, &UNEVEN; "half more, uneven")]
#[test_case(2.0, &EVEN; "twice, even")]
#[test_case(2.0, &UNEVEN; "twice, uneven")]
#[test_case(3.0, &EVEN; "three times, even")]
#[test_case(3.0, &UNEVEN; "three times, uneven")]
fn upstreams_work_for_callers_who_get_their_answers_in_time(load: f64, slowdowns: &[f64]) {
    let mut world = World::new(slowdowns, 0.2, 7);
    world.play(load, 30_000);
    let of = |rank: usize| move |c: &Caller| c.rank == rank;
    let served: Vec<f64> = (0..3)
        .map(|r| world.part(PERIOD, of(r), Caller::served))
        .collect();
    let in_time: Vec<f64> = (0..3)
        .map(|r| world.part(PERIOD, of(r), Caller::in_time))
        .collect();
    let goodput = world.goodput(PERIOD, Caller::in_time);
    let refused = world.part(PERIOD, |_| true, |c| c.refused_at.is_some());
    let back = world.part(PERIOD, |c| c.refused_at.is_some(), Caller::in_time);
    let left = world.part(PERIOD, |_| true, |c| c.end == Some(End::Left));
    println!(
        "load {load}: goodput {goodput:.3}, served {served:.3?}, in time {in_time:.3?}, \
         refused {refused:.3}, of these in time {back:.3}, left {left:.4}"
    );
    assert!(goodput >= 0.9 * load.min(1.0), "goodput {goodput}");
    assert!(left <= 0.01, "{left} left at their time limit");
    if load <= 0.5 {
        assert_eq!(refused, 0.0);
    }
    for pair in served.windows(2).chain(in_time.windows(2)) {
        assert!(
            pair[0] >= pair[1] - 0.05,
            "the less urgent are served first"
        );
    }
    // The most urgent rank alone is less than upstreams can do up to 2.5 times.
    if load <= 2.0 {
        assert!(in_time[0] >= 0.95, "{in_time:?}");
    }
}

fn ask<'a>(rank: u8, account: &'a AccountId, route: &'a RouteId) -> Ask<'a> {
    Ask {
        rank,
        account,
        weight: 1,
        route,
        objective: Span::from_millis(1_000),
        limit: Span::from_millis(6_000),
        time_left: Span::from_millis(6_000),
        runs: 0,
        resumes: false,
    }
}

fn waits(ms: u64) -> Outlook {
    Outlook {
        first: Span::from_millis(ms),
        has_free: false,
        backlog: Span::from_millis(ms),
    }
}

/// Returns a gate that has seen requests of ranks 0 to 3 wait this long for a while, and the time.
fn short_gate(ask: Ask, wait_ms: u64, requests: u64) -> (Gate, Time) {
    let mut gate = Gate::new(Scope::Room);
    for i in 0..requests {
        let ask = Ask {
            rank: (i % 4) as u8,
            ..ask
        };
        gate.decide(&ask, &waits(wait_ms), Time(i * 10_000), 0.5);
    }
    (gate, Time(requests * 10_000))
}

#[test]
fn only_time_is_asked_of_a_request_that_has_run() {
    let (account, route) = ("a".parse().unwrap(), "r".parse().unwrap());
    let ask = ask(2, &account, &route);
    let (mut gate, now) = short_gate(ask, 900, 300);
    let mut reason = |ask: Ask| match gate.decide(&ask, &waits(900), now, 0.0) {
        Decision::Admit => None,
        Decision::Refuse(refusal) => Some(refusal.reason),
    };
    assert_eq!(reason(ask), Some(Reason::Rank));
    assert_eq!(reason(Ask { runs: 1, ..ask }), None);
    let time_left = Span::from_millis(40);
    let late = Ask {
        runs: 1,
        time_left,
        ..ask
    };
    assert_eq!(reason(late), Some(Reason::NoTime));
}

#[test]
fn a_gate_for_want_of_time_refuses_nobody_for_rank() {
    let (account, route) = ("a".parse().unwrap(), "r".parse().unwrap());
    let ask = ask(2, &account, &route);
    let mut gate = Gate::new(Scope::Time);
    for i in 0..300 {
        let decision = gate.decide(&ask, &waits(5_900), Time(i * 10_000), 0.0);
        assert_eq!(decision, Decision::Admit);
    }
    let late = gate.decide(&ask, &waits(6_100), Time(3_000_000), 0.9);
    assert!(matches!(late, Decision::Refuse(refusal) if refusal.reason == Reason::NoTime));
}

#[test]
fn a_shortage_of_the_past_refuses_nobody() {
    let (account, route) = ("a".parse().unwrap(), "r".parse().unwrap());
    let ask = ask(2, &account, &route);
    let (mut gate, now) = short_gate(ask, 900, 300);
    let later = now + Span::from_millis(3_000);
    let decisions = (0..10).map(|_| gate.decide(&ask, &waits(10), later, 0.5));
    assert_eq!(decisions.filter(|d| *d == Decision::Admit).count(), 10);
}

/// Where a part of the interrupted streams finds room, it is those that began first.
#[test]
fn interrupted_streams_keep_their_order() {
    let (account, route) = ("a".parse().unwrap(), "r".parse().unwrap());
    let ask = ask(3, &account, &route);
    let (mut gate, now) = short_gate(ask, 160, 100);
    let mut admitted = |second: u64| {
        let time_left = Span::from_millis(6_000 - second * 500);
        let ask = Ask {
            resumes: true,
            time_left,
            ..ask
        };
        gate.decide(&ask, &waits(160), now, 0.5) == Decision::Admit
    };
    let by_age: Vec<bool> = (0..10).map(&mut admitted).collect();
    assert!(!by_age[0] && by_age[9], "{by_age:?}");
    assert!(
        by_age.windows(2).all(|pair| pair[0] <= pair[1]),
        "{by_age:?}"
    );
}

#[test]
fn the_refused_return_spread_and_the_urgent_first() {
    let (account, route) = ("a".parse().unwrap(), "r".parse().unwrap());
    let ask = ask(2, &account, &route);
    let (mut gate, now) = short_gate(ask, 900, 300);
    let mut returns = |rank| -> Vec<Span> {
        let decisions = (0..20).map(|i| {
            let ask = Ask { rank, ..ask };
            gate.decide(&ask, &waits(900), now, f64::from(i) / 100.0)
        });
        let mut returns: Vec<Span> = decisions
            .map(|decision| match decision {
                Decision::Refuse(refusal) => refusal.retry_after,
                Decision::Admit => panic!("admitted"),
            })
            .collect();
        returns.sort();
        returns.dedup();
        returns
    };
    let (urgent, other) = (returns(1), returns(2));
    assert!(
        urgent.len() == 20 && other.len() == 20,
        "{urgent:?} {other:?}"
    );
    assert!(urgent[19] <= other[0], "{urgent:?} {other:?}");
    assert!(
        other[19] <= Span::from_millis(2_000),
        "callers wait a third of their time"
    );
}

/// One of five client accounts sends 60% of all requests. Of the rank that is refused in part, the
/// part of each other account is more than it asks for.
#[test]
fn a_loud_account_is_refused_before_the_quiet() {
    let mut world = World::new(&EVEN, 0.6, 7);
    world.play(1.5, 30_000);
    let served = |account| {
        world.part(
            PERIOD,
            |c| c.rank == 1 && c.account == account,
            Caller::served,
        )
    };
    let (loud, quiet) = (served(0), (1..5).map(served).fold(1.0, f64::min));
    println!("served of the loud {loud:.3}, of the quiet {quiet:.3}");
    assert!(quiet >= 0.9, "{quiet} of a quiet account");
    assert!(loud > 0.3, "{loud} of the loud account");
}

/// Callers come back once. After a burst that ends before their patience, they are served.
#[test]
fn callers_refused_in_a_burst_are_served_when_they_are_back() {
    let mut world = World::new(&UNEVEN, 0.2, 7);
    world.play(0.6, 5_000);
    world.play(2.0, 1_500);
    world.play(0.6, 10_000);
    let burst = (5_000, 6_500);
    let refused = world.part(burst, |_| true, |c| c.refused_at.is_some());
    let back = world.part(burst, |c| c.refused_at.is_some(), Caller::served);
    let urgent = world.part(burst, |c| c.rank == 0, Caller::in_time);
    println!("refused {refused:.3}, of these served {back:.3}, urgent in time {urgent:.3}");
    assert!(refused > 0.05, "the burst is more than upstreams can do");
    // A refusal helps only callers who are more likely served than not when they are back.
    assert!(back > 0.5, "{back}");
    assert!(urgent >= 0.95, "{urgent}");
}

/// All entries are killed at once: whoever had a stream in the last five seconds comes back, beside
/// new requests.
#[test]
fn after_a_loss_of_all_streams_return_at_the_rate_at_which_they_are_served() {
    let mut world = World::new(&UNEVEN, 0.2, 7);
    world.play(0.7, 10_000);
    world.restart(5_000);
    let at = world.now;
    world.play(0.7, 25_000);
    let after = (at, at + 4_000);
    let goodput = world.goodput(after, |_| true);
    let urgent = world.part(after, |c| !c.resumes && c.rank == 0, Caller::in_time);
    let resumed = (at - 5_000, at);
    let served = world.part(resumed, |c| c.resumes, Caller::served);
    println!("goodput {goodput:.3}, urgent in time {urgent:.3}, streams served {served:.3}");
    assert!(goodput >= 0.9, "{goodput}");
    assert!(urgent >= 0.95, "{urgent}");
}

/// Half of the upstreams vanish under a load that all of them could serve.
#[test]
fn the_urgent_are_served_when_upstreams_vanish() {
    let mut world = World::new(&EVEN, 0.2, 7);
    world.play(0.9, 10_000);
    world.lose_upstream();
    world.lose_upstream();
    world.play(1.8, 20_000);
    let after = (11_000, 28_000);
    let goodput = world.goodput(after, Caller::in_time);
    let urgent = world.part(after, |c| c.rank == 0, Caller::in_time);
    let left = world.part((0, 25_000), |_| true, |c| c.end == Some(End::Left));
    println!("goodput {goodput:.3} urgent in time {urgent:.3} left {left:.4}");
    assert!(goodput >= 0.9, "{goodput}");
    assert!(urgent >= 0.95, "{urgent}");
    assert!(left <= 0.01, "{left}");
}

/// Refusals must not leave callers with less than waiting would, whether a burst is short or long.
#[test_case(&[(1.0, 20_000)]; "all that can be done")]
#[test_case(&[(1.2, 20_000)]; "a little more")]
#[test_case(&[(1.5, 20_000)]; "half more")]
#[test_case(&[(3.0, 20_000)]; "three times")]
#[test_case(&[(0.6, 5_000), (2.0, 1_500), (0.6, 10_000)]; "a short burst")]
#[test_case(&[(0.6, 5_000), (2.0, 4_000), (0.6, 10_000)]; "a burst")]
#[test_case(&[(0.6, 5_000), (2.2, 9_000), (0.6, 10_000)]; "a long burst")]
fn callers_get_no_less_than_without_a_gate(loads: &[(f64, u64)]) {
    let worth = |open: bool| {
        let play = |seed| {
            let mut world = World::new(&UNEVEN, 0.2, seed);
            world.open = open;
            loads.iter().for_each(|(load, ms)| world.play(*load, *ms));
            world.worth((2_000, world.now - 5_000))
        };
        (1..=3).map(play).sum::<f64>() / 3.0
    };
    let (open, gate) = (worth(true), worth(false));
    println!("{loads:?}: worth without a gate {open:.3}, with it {gate:.3}");
    assert!(gate >= open - MAX_LOSS, "{gate} against {open}");
}
