//! A budget that limits retries to a share of the requests, over all entries.
//!
//! The limit applies to every sliding window, plus some slack. Each entry limits its retries by its
//! own requests and its part of the slack, so all entries together stay within the limit without a
//! shared counter. A restarted process does not know what its predecessor has spent. An entry
//! therefore uses only half of its part of the slack, and less than its whole limit until a window
//! has passed since its start.
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

/// The default limit of all entries together. The slack lets a single process start with 20 retries
/// before its first request.
pub const DEFAULT_ALLOWANCE: Allowance = Allowance {
    share: Share::FIFTH,
    window: Span::from_millis(10_000),
    slack: 40,
};
/// The number of buckets in a window.
const BUCKETS: u64 = 20;
/// The number of buckets in half a window.
const HALF_WINDOW: u64 = BUCKETS / 2;
/// The fraction of its slack that an entry uses.
const SLACK_USED: f64 = 0.5;

/// The fraction of the limit used in windows that began before this process started and may contain
/// retries of its predecessor. At 0.8 with the whole slack, three entries that were killed at once
/// and made all permitted retries exceeded the limit by 13 retries, of about 500 requests in the
/// window.
const STARTUP_USED: f64 = 0.7;

/// The limit of retries in any window of time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// The retries allowed, as a share of the requests in the window.
    pub share: Share,
    /// The length of the window.
    pub window: Span,
    /// The retries allowed in addition, over all entries.
    pub slack: u32,
}

/// The requests and retries in one part of a window.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    number: u64,
    requests: u32,
    retries: u32,
}

/// A retry budget, filled by requests.
#[derive(Clone, Debug)]
pub struct Budget {
    allowance: Allowance,
    buckets: VecDeque<Bucket>,
    /// The bucket of the first request.
    start: Option<u64>,
}

impl Budget {
    /// Creates the budget of one entry.
    pub fn new(allowance: Allowance) -> Budget {
        Budget {
            allowance,
            buckets: VecDeque::new(),
            start: None,
        }
    }

    /// Counts a request towards the budget.
    pub fn deposit(&mut self, now: Time) {
        self.bucket(now).requests += 1;
    }

    /// Returns whether the budget allows a retry when this many entries share the slack.
    ///
    /// The retries of each window that contains the present are compared with the requests of the
    /// window that starts half a window earlier, as far as these are known. The retries of all
    /// entries in any window thus stay within the limit given by the requests of one window.
    pub fn can_withdraw(&mut self, now: Time, entries: usize) -> bool {
        let current = self.bucket(now).number;
        let slack = f64::from(self.allowance.slack) * SLACK_USED / entries.max(1) as f64;
        let first = current.saturating_sub(BUCKETS);
        (first..=current).all(|begin| {
            let retries = self.count(begin, current, |bucket| bucket.retries) + 1;
            let requests = self.requests(begin, current);
            let share = f64::from(requests) * self.allowance.share.fraction();
            // Sums of shares are inexact; the tolerance prevents the loss of one retry.
            f64::from(retries) <= (share + slack) * self.usable_fraction(begin) + 1e-9
        })
    }

    /// Returns the requests that count for the retries of a window which begins in a bucket. These
    /// are the requests around that bucket or, shortly after the start of this process, those of
    /// the window itself if there are more. A window may begin anywhere in a bucket, so the
    /// outermost buckets do not count.
    fn requests(&self, begin: u64, current: u64) -> u32 {
        let from = (begin + 1).saturating_sub(HALF_WINDOW);
        let around = self.count(from, begin + HALF_WINDOW - 1, |bucket| bucket.requests);
        match self.start {
            Some(start) if begin <= start => self.count(start, current, |bucket| bucket.requests),
            Some(start) if begin < start + HALF_WINDOW => {
                let own = self.count(begin + 1, current, |bucket| bucket.requests);
                own.max(around)
            }
            _ => around,
        }
    }

    /// Returns the fraction of the limit that is used in a window which begins in a bucket.
    fn usable_fraction(&self, begin: u64) -> f64 {
        match self.start.is_some_and(|start| begin <= start) {
            true => STARTUP_USED,
            false => 1.0,
        }
    }

    /// Sums a count over the buckets in a range of numbers.
    fn count(&self, from: u64, to: u64, of: impl Fn(&Bucket) -> u32) -> u32 {
        let within = |bucket: &&Bucket| (from..=to).contains(&bucket.number);
        self.buckets.iter().filter(within).map(of).sum()
    }

    /// Takes a retry from the budget and returns whether there was one.
    pub fn withdraw(&mut self, now: Time, entries: usize) -> bool {
        let allowed = self.can_withdraw(now, entries);
        if allowed {
            self.bucket(now).retries += 1;
        }
        allowed
    }

    /// Returns the current bucket and drops those outside the window.
    fn bucket(&mut self, now: Time) -> &mut Bucket {
        let length = (self.allowance.window.micros() / BUCKETS).max(1);
        let last = self.buckets.back().map_or(0, |p| p.number);
        let number = (now.0 / length).max(last);
        while self
            .buckets
            .front()
            .is_some_and(|p| p.number + BUCKETS + HALF_WINDOW < number)
        {
            self.buckets.pop_front();
        }
        self.start.get_or_insert(number);
        if self.buckets.back().is_none_or(|p| p.number < number) {
            self.buckets.push_back(Bucket {
                number,
                requests: 0,
                retries: 0,
            });
        }
        self.buckets.back_mut().expect("a bucket was just added")
    }
}
