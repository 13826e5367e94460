//! How much an upstream gets that has just started.
//!
//! A cold upstream is slow and goes down when it gets much more than it bears. It looks
//! idle, so without a limit every entry would choose it at once. The limit is one rate over
//! all entries, which cannot count together in time. So a few of them are drawn for each
//! cold upstream by a hash of the names, no more than requests that it bears in a second, and
//! each of these keeps a pause between its own. What one entry does holds whatever it
//! hears of the others.
//!
//! That an upstream is cold is told late or not at all, so one that could not be reached, or
//! went down under a request, counts as cold until some time after it answers again.
//!
//! ```
//! use sorreldeck::warmup::{Entries, Ramp};
//! use sorreldeck::{Rate, Span, Time};
//!
//! let entries = Entries::new(&"e1".parse()?, ["e2".parse()?, "e3".parse()?].iter());
//! let pause = entries.pause(77, Rate::from_per_second(6.0));
//! assert_eq!(pause, Some(Span::from_millis(500)));
//!
//! let mut ramp = Ramp::default();
//! ramp.mark_cold(Time(0), Span::from_millis(3_000));
//! ramp.sent(Time(0));
//! assert!(!ramp.admits(Time(400_000), || pause));
//! assert!(ramp.admits(Time(500_000), || pause));
//! # Ok::<(), sorreldeck::Error>(())
//! ```

use crate::digest;
use crate::id::InstanceId;
use crate::unit::{Rate, Span, Time};

/// The entries that share a rate of an upstream.
#[derive(Clone, Debug, Default)]
pub struct Entries {
    own: u64,
    others: Vec<u64>,
}

impl Entries {
    /// Creates the entries that are known to one of them; its own name may be among the others.
    pub fn new<'a>(own: &InstanceId, others: impl Iterator<Item = &'a InstanceId>) -> Entries {
        let number = |name: &InstanceId| digest::truncate(&blake3::hash(name.as_str().as_bytes()));
        let others = others.filter(|name| *name != own).map(number);
        Entries {
            own: number(own),
            others: others.collect(),
        }
    }

    /// Returns how long this entry pauses between requests to a cold upstream that bears this
    /// rate, or `None` where the upstream is left to others. A number stands for the upstream.
    pub fn pause(&self, upstream: u64, rate: Rate) -> Option<Span> {
        let all = self.count();
        let bears = rate.per_second().max(f64::MIN_POSITIVE);
        let senders = all.min((bears as usize).max(1));
        let sends = self.is_selected(senders, upstream);
        sends.then(|| Span::from_secs_f64(senders as f64 / bears))
    }

    /// Returns whether this entry is among so many that are drawn for an upstream.
    pub fn is_selected(&self, drawn: usize, upstream: u64) -> bool {
        let rank = |entry: u64| digest::mix(entry ^ upstream);
        let own = rank(self.own);
        let before = self.others.iter().filter(|other| rank(**other) > own);
        before.take(drawn).count() < drawn
    }

    /// Returns how many entries there are.
    pub fn count(&self) -> usize {
        self.others.len() + 1
    }

    /// Returns a number from 0 to 1 that is another for each entry and upstream.
    pub fn phase(&self, upstream: u64) -> f64 {
        digest::mix(self.own ^ upstream) as f64 / u64::MAX as f64
    }
}

/// Whether an upstream is cold, and what this entry sent there last.
#[derive(Clone, Copy, Debug, Default)]
pub struct Ramp {
    /// Until when it is cold.
    until: Time,
    /// Whether it may have started anew, since it could not be reached.
    doubted: bool,
    sent: Option<Time>,
}

impl Ramp {
    /// Notes that the upstream is cold for so long from now on.
    pub fn mark_cold(&mut self, now: Time, left: Span) {
        self.until = self.until.max(now + left);
    }

    /// Notes that the upstream could not be reached or went down.
    pub fn suspect_restart(&mut self) {
        self.doubted = true;
    }

    /// Notes that the upstream answers. One that was doubted may have started at any moment
    /// since, so it is cold for the whole span yet.
    pub fn answered(&mut self, now: Time, span: Span) {
        if std::mem::take(&mut self.doubted) {
            self.mark_cold(now, span);
        }
    }

    /// Returns whether the upstream counts as cold.
    pub fn is_cold(&self, now: Time) -> bool {
        self.doubted || now < self.until
    }

    /// Returns whether this entry may send a request; `pause` is what it keeps between two of
    /// them while the upstream is cold.
    pub fn admits(&self, now: Time, pause: impl FnOnce() -> Option<Span>) -> bool {
        let rested = |pause: Span| self.sent.is_none_or(|at| now.since(at) >= pause);
        !self.is_cold(now) || pause().is_some_and(rested)
    }

    /// Notes a request sent.
    pub fn sent(&mut self, now: Time) {
        self.sent = Some(now);
    }
}
