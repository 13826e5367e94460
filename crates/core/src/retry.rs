//! A budget that keeps what is sent once more a share of the requests, over all entries.
//!
//! The share is kept over a window that slides, with some slack. Each entry keeps to its
//! own requests and to its part of the slack, so all of them together keep to the whole
//! without a counter that they share. A process that starts anew has forgotten what was
//! spent before it, so an entry uses half of its part of the slack, and somewhat less of all
//! until a window has passed since its start.
//!
//! ```
//! use sorreldeck::retry::{Allowance, Budget};
//! use sorreldeck::{Share, Span, Time};
//!
//! let allowance = Allowance { share: Share::FIFTH, window: Span::from_millis(10_000), slack: 0 };
//! let mut budget = Budget::new(allowance);
//! for _ in 0..8 {
//!     budget.deposit(Time(0));
//! }
//! assert!(budget.withdraw(Time(0), 1));
//! assert!(!budget.withdraw(Time(0), 1));
//! ```

use crate::unit::{Share, Span, Time};
use std::collections::VecDeque;

/// What all entries together may send once more, unless set otherwise: the slack lets one
/// process begin with 20 before it has seen a request.
pub const DEFAULT_ALLOWANCE: Allowance = Allowance {
    share: Share::FIFTH,
    window: Span::from_millis(10_000),
    slack: 40,
};
/// The parts in which a window is counted.
const PARTS: u64 = 20;
/// The parts of half a window.
const HALF: u64 = PARTS / 2;
/// The part of its slack that an entry uses.
const SLACK_USED: f64 = 0.5;

/// The part of what is allowed that is used in windows which began before this process did, and may
/// hold repeats of the one that it replaces.
/// At 0.8, with the slack in full, three entries that were killed at once and repeated all
/// they could came to 13 repeats over, of some 500 requests in the window.
const AFTER_START: f64 = 0.7;

/// What may be sent once more in any window of time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// The share of the requests in the window.
    pub share: Share,
    /// The length of the window.
    pub window: Span,
    /// The repeats that are allowed besides, over all entries.
    pub slack: u32,
}

/// One part of a window.
#[derive(Clone, Copy, Debug)]
struct Part {
    number: u64,
    requests: u32,
    repeats: u32,
}

/// A budget of repeats, filled by requests.
#[derive(Clone, Debug)]
pub struct Budget {
    allowance: Allowance,
    parts: VecDeque<Part>,
    /// The part in which the first request came.
    start: Option<u64>,
}

impl Budget {
    /// Creates the budget of one entry.
    pub fn new(allowance: Allowance) -> Budget {
        Budget {
            allowance,
            parts: VecDeque::new(),
            start: None,
        }
    }

    /// Counts a request.
    pub fn deposit(&mut self, now: Time) {
        self.part(now).requests += 1;
    }

    /// Returns whether there is a repeat in the budget, where so many entries share the
    /// slack.
    ///
    /// The repeats of each window that holds the present moment are compared with the
    /// requests of the window half a window before it, as far as they are known: so what all
    /// entries repeat in any window keeps to the requests of one.
    pub fn can_withdraw(&mut self, now: Time, entries: usize) -> bool {
        let current = self.part(now).number;
        let slack = f64::from(self.allowance.slack) * SLACK_USED / entries.max(1) as f64;
        let first = current.saturating_sub(PARTS);
        (first..=current).all(|begin| {
            let repeats = self.count(begin, current, |part| part.repeats) + 1;
            let requests = self.requests(begin, current);
            let share = f64::from(requests) * self.allowance.share.fraction();
            // Sums of shares are inexact, so one repeat may fall a hair short.
            f64::from(repeats) <= (share + slack) * self.trust(begin) + 1e-9
        })
    }

    /// Returns the requests that allow the repeats of a window that begins in a part: those
    /// around that part or, soon after the start of this process, those of the window itself
    /// if they are more. A window may begin anywhere in a part, so the outer ones do not count.
    fn requests(&self, begin: u64, current: u64) -> u32 {
        let from = (begin + 1).saturating_sub(HALF);
        let around = self.count(from, begin + HALF - 1, |part| part.requests);
        match self.start {
            Some(start) if begin <= start => self.count(start, current, |part| part.requests),
            Some(start) if begin < start + HALF => {
                let own = self.count(begin + 1, current, |part| part.requests);
                own.max(around)
            }
            _ => around,
        }
    }

    /// Returns the part of what is allowed that is used in a window which begins in a part.
    fn trust(&self, begin: u64) -> f64 {
        match self.start.is_some_and(|start| begin <= start) {
            true => AFTER_START,
            false => 1.0,
        }
    }

    /// Adds up what the parts from one number to another hold.
    fn count(&self, from: u64, to: u64, of: impl Fn(&Part) -> u32) -> u32 {
        let within = |part: &&Part| (from..=to).contains(&part.number);
        self.parts.iter().filter(within).map(of).sum()
    }

    /// Takes a repeat from the budget; returns whether there was one.
    pub fn withdraw(&mut self, now: Time, entries: usize) -> bool {
        let enough = self.can_withdraw(now, entries);
        if enough {
            self.part(now).repeats += 1;
        }
        enough
    }

    /// Returns the present part, and forgets those that are out of the window.
    fn part(&mut self, now: Time) -> &mut Part {
        let length = (self.allowance.window.micros() / PARTS).max(1);
        let last = self.parts.back().map_or(0, |p| p.number);
        let number = (now.0 / length).max(last);
        while self
            .parts
            .front()
            .is_some_and(|p| p.number + PARTS + HALF < number)
        {
            self.parts.pop_front();
        }
        self.start.get_or_insert(number);
        if self.parts.back().is_none_or(|p| p.number < number) {
            self.parts.push_back(Part {
                number,
                requests: 0,
                repeats: 0,
            });
        }
        self.parts.back_mut().expect("one was just added")
    }
}
