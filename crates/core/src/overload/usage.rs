//! What a unit of work costs, and so how much of it the share of a processor can do.

use crate::unit::{Span, Time};
use std::collections::VecDeque;
use std::ops::Range;

/// The time over which usage is summed.
const WINDOW: Span = Span::from_millis(250);
/// The time over which usage tells whether the processor is busy.
const BUSY_OVER: Span = Span::from_millis(100);
/// The windows that are kept, and those without which the cost of work is unknown.
const MAX_WINDOWS: usize = 64;
const MIN_WINDOWS: usize = 8;
/// The work a second, as a part of the most of all windows, from which on a window tells the cost
/// of work: all that the process does besides counts as well.
const MIN_RATE: f64 = 0.5;
/// The quantile of the costs that counts.
const QUANTILE: f64 = 0.5;
/// The usage, as a part of the share, below which the processor is not full whatever is owed.
const MIN_USAGE: f64 = 0.8;
/// The usage, as parts of the share, at which the share has proven to be what the process gets.
const PROVEN: Range<f64> = 0.7..1.3;
/// What a share that was exceeded keeps of the excess with each window.
const KEEP_EXCESS: f64 = 0.8;
/// The usage in cores from which on a clock looks as if it ran on without work, and the windows in
/// a row below it after which it shows usage.
const WALL_CLOCK: f64 = 0.95;
const MIN_SHOWN: usize = 4;

/// The usage of the processor by work.
#[derive(Clone, Debug)]
pub(super) struct Usage {
    /// The share in cores; 0 if unknown.
    cores: f64,
    /// The cores that were used beyond the share.
    excess: f64,
    /// The windows in a row in which the clock showed usage, up to as many as it takes.
    shown: usize,
    is_proven: bool,
    /// The work that was done until the last window ended.
    work: f64,
    last: Sample,
    lately: Sample,
    windows: VecDeque<Window>,
    /// The processor time of a unit of work in seconds, if it is known.
    cost: Option<f64>,
}

/// The work a second in some time, and the processor time of a unit.
#[derive(Clone, Copy, Debug)]
struct Window {
    rate: f64,
    cost: f64,
}

/// The usage over spans of some length, one after the other.
#[derive(Clone, Copy, Debug)]
struct Sample {
    over: Span,
    began: Time,
    /// The processor time that was used until then.
    used: Span,
    /// The usage of the span that ended last, in cores.
    cores: f64,
}

impl Sample {
    fn new(over: Span, now: Time) -> Sample {
        Sample {
            over,
            began: now,
            used: Span::default(),
            cores: 0.0,
        }
    }

    /// Records all processor time used until now; returns how long the span took, if it has ended.
    fn record(&mut self, used: Span, now: Time) -> Option<Span> {
        let passed = now.since(self.began);
        if passed < self.over {
            return None;
        }
        self.cores = (used - self.used).secs_f64() / passed.secs_f64();
        (self.began, self.used) = (now, used);
        Some(passed)
    }
}

impl Usage {
    pub fn new(cores: f64, now: Time) -> Usage {
        Usage {
            cores,
            excess: 0.0,
            shown: 0,
            is_proven: false,
            work: 0.0,
            last: Sample::new(WINDOW, now),
            lately: Sample::new(BUSY_OVER, now),
            windows: VecDeque::new(),
            cost: None,
        }
    }

    /// Records all processor time that was used and all work that was done until now.
    pub fn record(&mut self, used: Span, work: f64, now: Time) {
        self.lately.record(used, now);
        let Some(passed) = self.last.record(used, now) else {
            return;
        };
        let last = self.last.cores;
        let rate = (work - self.work) / passed.secs_f64();
        self.work = work;
        self.excess = (last - self.cores).max(self.excess * KEEP_EXCESS);
        self.shown = self.count_shown();
        self.is_proven |= self.shows_usage() && PROVEN.contains(&(last / self.cores));
        if rate > 0.0 {
            let cost = last / rate;
            self.windows.push_back(Window { rate, cost });
            self.cost = self.usual_cost();
        }
        if self.windows.len() > MAX_WINDOWS {
            self.windows.pop_front();
        }
    }

    fn count_shown(&self) -> usize {
        match self.last.cores < WALL_CLOCK {
            true => (self.shown + 1).min(MIN_SHOWN),
            false if self.cores >= WALL_CLOCK => self.shown,
            false => 0,
        }
    }

    /// Returns whether the clock shows usage.
    fn shows_usage(&self) -> bool {
        self.shown == MIN_SHOWN
    }

    fn usual_cost(&self) -> Option<f64> {
        if self.windows.len() < MIN_WINDOWS {
            return None;
        }
        let most = self.windows.iter().map(|w| w.rate).fold(0.0, f64::max);
        let telling = self.windows.iter().filter(|w| w.rate >= most * MIN_RATE);
        let mut costs: Vec<f64> = telling.map(|w| w.cost).collect();
        costs.sort_by(f64::total_cmp);
        let index = (costs.len() as f64 * QUANTILE) as usize;
        costs.get(index).copied().filter(|cost| *cost > 0.0)
    }

    /// Returns the work that a part of the share can do in a second, if both are known.
    pub fn capacity(&self, part: f64) -> Option<f64> {
        let is_known = self.cores > 0.0 && self.shows_usage();
        let cost = self.cost.filter(|_| is_known)?;
        Some(self.share() * part / cost)
    }

    /// Returns whether the share was once used about as a whole, and so is what the process gets.
    pub fn is_proven(&self) -> bool {
        self.is_proven
    }

    /// Returns whether much of the share was used lately.
    pub fn is_busy(&self) -> bool {
        self.last.cores.max(self.lately.cores) >= self.share() * MIN_USAGE
    }

    fn share(&self) -> f64 {
        self.cores + self.excess
    }
}
