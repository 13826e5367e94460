//! Decides which requests are let in to a pool that cannot serve all of them in time.
//!
//! The load it answers: callers ask for more than the upstreams of a pool can do, for seconds or
//! for minutes. Requests that cannot be served in their time are refused at once; of the others,
//! the least urgent are refused first, and within a rank the client accounts that ask for the most.
//!
//! ```
//! use sorreldeck::admission::{Ask, Decision, Gate, Reason, Scope};
//! use sorreldeck::pick::Outlook;
//! use sorreldeck::{Span, Time};
//!
//! let ask = Ask {
//!     rank: 0,
//!     account: &"a".parse()?,
//!     weight: 1,
//!     route: &"drafts".parse()?,
//!     objective: Span::from_millis(500),
//!     limit: Span::from_millis(5_000),
//!     time_left: Span::from_millis(40),
//!     runs: 0,
//!     resumes: false,
//! };
//! let outlook = Outlook { first: Span::from_millis(300), has_free: true, backlog: Span::default() };
//! let decision = Gate::new(Scope::Time).decide(&ask, &outlook, Time(0), 0.5);
//! assert!(matches!(decision, Decision::Refuse(refusal) if refusal.reason == Reason::NoTime));
//! # Ok::<(), sorreldeck::Error>(())
//! ```

mod counts;
mod demand;
mod pressure;
mod times;

pub use counts::{Counts, Outcome};

use crate::id::{AccountId, PoolId, RouteId};
use crate::pick::Outlook;
use crate::unit::{Span, Time};
use demand::Demand;
use pressure::Pressure;
use std::collections::BTreeMap;
use std::fmt;
use times::{Average, Patience};

/// The part of a forecast that has to be left at least where the forecast is the only obstacle. The
/// time taken may be half of the forecast.
const DOUBT: f64 = 0.5;
/// The part of the time left for which callers wait when they are told when to return.
const PATIENCE: f64 = 1.0 / 3.0;
/// How long the time to the first token at a free place is remembered: longer than a burst, so that
/// it is known while no place is free.
const UNLOADED_AGE: Span = Span::from_millis(60_000);
/// How long the time to the end of answers is remembered; it changes with the load.
const REST_AGE: Span = Span::from_millis(10_000);
/// The highest place of a request that is late already: others whose answers are worth several
/// times as much go before it.
const LATE: f64 = 0.1;
/// The minimum `Retry-After`: sooner, the forecast is the same.
const MIN_RETRY_AFTER: Span = Span::from_millis(100);

/// A request that asks to be let in.
#[derive(Clone, Copy, Debug)]
pub struct Ask<'a> {
    /// The rank; 0 is the most urgent.
    pub rank: u8,
    /// The client account.
    pub account: &'a AccountId,
    /// The weight of the client account among others of its rank.
    pub weight: u32,
    /// The route.
    pub route: &'a RouteId,
    /// The time within which the answer ought to start.
    pub objective: Span,
    /// The longest time for which the route holds a request.
    pub limit: Span,
    /// The time until the caller leaves.
    pub time_left: Span,
    /// The number of runs so far.
    pub runs: u16,
    /// Whether the caller resumes an interrupted stream.
    pub resumes: bool,
}

/// Whether a request is let in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Send it to an upstream.
    Admit,
    /// Refuse it.
    Refuse(Refusal),
}

/// Why a request is refused and when it may return.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The reason.
    pub reason: Reason,
    /// The time after which there is room for it.
    pub retry_after: Span,
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Reason {
    /// Its answer would not be complete before the caller leaves.
    NoTime,
    /// Room is short, and requests that are more urgent or have waited longer fill it.
    Rank,
    /// Room is short, and its client account asks for more than its part.
    Account,
}

impl Reason {
    /// Returns the reason in the words of logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Reason::NoTime => "no time",
            Reason::Rank => "rank",
            Reason::Account => "account",
        }
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// For what a gate refuses requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Scope {
    /// For want of time only: what could be served in its time may wait.
    #[default]
    Time,
    /// For want of time and, while room is short, by rank and client account.
    Room,
}

impl std::str::FromStr for Scope {
    type Err = crate::Error;

    fn from_str(s: &str) -> crate::Result<Self> {
        match s {
            "time" => Ok(Scope::Time),
            "room" => Ok(Scope::Room),
            _ => Err(crate::Error::new(
                crate::Category::Invalid,
                format!("{s:?} is not time or room"),
            )),
        }
    }
}

/// Lets requests in to one pool.
#[derive(Clone, Debug)]
pub struct Gate {
    scope: Scope,
    pressure: Pressure,
    demand: Demand,
    patience: Patience,
    /// The expected time to the first token where a place is free.
    unloaded: Average,
    /// The time from the first token to the end.
    rest: Average,
    counts: Counts,
}

impl Gate {
    /// Creates a gate that has seen no requests.
    pub fn new(scope: Scope) -> Gate {
        Gate {
            scope,
            pressure: Pressure::default(),
            demand: Demand::default(),
            patience: Patience::default(),
            unloaded: Average::new(UNLOADED_AGE),
            rest: Average::new(REST_AGE),
            counts: Counts::default(),
        }
    }
}

impl Gate {
    /// Decides whether a request is sent now; `draw` is a random number in `[0, 1)`.
    pub fn decide(&mut self, ask: &Ask, outlook: &Outlook, now: Time, draw: f64) -> Decision {
        let waited = self.patience.waited(ask);
        if outlook.has_free {
            self.unloaded.record(ask.route, outlook.first, now);
        }
        let wait = outlook.first - self.unloaded.get(ask.route, now);
        // A long prompt takes long without any wait.
        let wait = wait.min(outlook.backlog);
        if ask.runs == 0 {
            self.pressure.record(wait, ask.objective, now);
            self.demand.record(ask, now);
        }
        let excess = match self.has_time(ask, outlook, now) {
            true => self.excess(ask, outlook, place(ask, waited, outlook, draw)),
            false => Some(Excess::no_time(draw)),
        };
        self.counts.record(ask.rank, excess.map(|e| e.reason));
        let Some(excess) = excess else {
            return Decision::Admit;
        };
        let room = self.pressure.ends_in(wait, ask.objective);
        let in_time = ask.objective - waited - outlook.first;
        Decision::Refuse(Refusal {
            reason: excess.reason,
            retry_after: self.retry_after(ask, &excess, room.max(outlook.backlog), in_time),
        })
    }

    /// Records that an answer of a route ended this long after its first token.
    pub fn ended(&mut self, route: &RouteId, rest: Span, now: Time) {
        self.rest.record(route, rest, now);
    }

    /// Returns the numbers of admitted and refused requests.
    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// Returns whether the answer can be complete before the caller leaves. A free place, or a run
    /// that was paid for already, gets the benefit of the doubt.
    fn has_time(&self, ask: &Ask, outlook: &Outlook, now: Time) -> bool {
        let rest = match ask.resumes {
            // How much of an interrupted stream is left is unknown.
            true => Span::default(),
            false => self.rest.get(ask.route, now),
        };
        let needed = (outlook.first + rest).secs_f64();
        let doubt = match outlook.has_free || ask.runs > 0 {
            true => DOUBT,
            false => 1.0,
        };
        ask.time_left.secs_f64() >= needed * doubt
    }

    /// Returns whether others fill the room for a request that can be served in its time.
    fn excess(&self, ask: &Ask, outlook: &Outlook, place: f64) -> Option<Excess> {
        if ask.runs > 0 || outlook.has_free || self.scope == Scope::Time {
            return None;
        }
        let of_rank = self.demand.excess(ask.rank, self.pressure.excess());
        let of_account = self.demand.excess_of(ask, of_rank);
        let reason = match of_account > of_rank {
            true => Reason::Account,
            false => Reason::Rank,
        };
        (place < of_account).then(|| Excess {
            reason,
            turn: 1.0 - place / of_account,
        })
    }

    /// Returns when a refused request may return. Those that are refused together return one after
    /// the other, in the order of their ranks and within a rank by their turn, from the time at which
    /// there is room until the least urgent would be late: `in_time` is for how long the request may
    /// stay away and still start in time. Who is late already loses nothing by staying longer.
    fn retry_after(&self, ask: &Ask, excess: &Excess, room: Span, in_time: Span) -> Span {
        let patience = ask.time_left.secs_f64() * PATIENCE;
        let harmless = match in_time > Span::default() {
            true => in_time.secs_f64(),
            false => patience,
        };
        let latest = harmless.max(2.0 * room.secs_f64()).min(patience);
        let earliest = room.secs_f64().min(latest / 2.0);
        let position = self.demand.position(ask.rank, excess.turn);
        let after = Span::from_secs_f64(earliest + (latest - earliest) * position);
        after.max(MIN_RETRY_AFTER)
    }
}

/// A request for which there is no room.
#[derive(Clone, Copy, Debug)]
struct Excess {
    reason: Reason,
    /// Its turn among those refused, from 0 to 1; who has waited longest returns first.
    turn: f64,
}

impl Excess {
    fn no_time(turn: f64) -> Excess {
        Excess {
            reason: Reason::NoTime,
            turn,
        }
    }
}

/// Returns the place of a request among those of its rank and client account, from 0, refused first,
/// to 1. Of those that can start in time, who has waited longer goes first; those that are late
/// already get as much less as a late answer is worth. Interrupted streams keep the order in which
/// they began.
fn place(ask: &Ask, waited: Span, outlook: &Outlook, draw: f64) -> f64 {
    let part_of = |whole: Span| waited.secs_f64() / whole.secs_f64().max(1e-3);
    if ask.resumes {
        return part_of(waited + ask.time_left);
    }
    match waited + outlook.first <= ask.objective {
        true => draw + (1.0 - draw) * part_of(ask.objective),
        false => draw * LATE,
    }
}

/// The gates of all pools.
#[derive(Clone, Debug, Default)]
pub struct Gates {
    scope: Scope,
    pools: BTreeMap<PoolId, Gate>,
}

impl Gates {
    /// Creates no gate; those that are asked for refuse in this scope.
    pub fn new(scope: Scope) -> Gates {
        Gates {
            scope,
            pools: BTreeMap::new(),
        }
    }

    /// Returns the gate of a pool.
    pub fn of(&mut self, pool: &PoolId) -> &mut Gate {
        let scope = self.scope;
        let gate = self.pools.entry(pool.clone());
        gate.or_insert_with(|| Gate::new(scope))
    }

    /// Returns the gate of a pool that has one.
    pub fn get_mut(&mut self, pool: &PoolId) -> Option<&mut Gate> {
        self.pools.get_mut(pool)
    }

    /// Returns all gates.
    pub fn iter(&self) -> impl Iterator<Item = (&PoolId, &Gate)> {
        self.pools.iter()
    }
}
