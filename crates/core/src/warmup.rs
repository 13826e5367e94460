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
//! ramp.cool(Time(0), Span::from_millis(3_000));
//! ramp.sent(Time(0));
//! assert!(!ramp.admits(pause, Time(400_000)));
//! assert!(ramp.admits(pause, Time(500_000)));
//! # Ok::<(), sorreldeck::Error>(())
//! ```

use crate::digest;
use crate::id::InstanceId;
use crate::unit::{Rate, Span, Time};

/// How the rate of a cold upstream is divided among entries.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Division {
    /// Few entries, as many at most as requests that it bears in a second.
    ///
    /// Where all entries want to send all the time and 18 requests a second are borne, the busiest
    /// second of an upstream holds 18, at 3, 21 and 302 entries; with [`Division::Each`] 18, 21 and
    /// 33 (most of 200 upstreams in the test `warmup`).
    #[default]
    Few,
    /// Every entry its part, from a moment of its own on; a baseline for experiments.
    Each,
}

/// The entries that share the rate of a cold upstream.
#[derive(Clone, Debug, Default)]
pub struct Entries {
    own: u64,
    others: Vec<u64>,
    division: Division,
}

impl Entries {
    /// Creates the entries that are known to one of them; its own name may be among the others.
    pub fn new<'a>(own: &InstanceId, others: impl Iterator<Item = &'a InstanceId>) -> Entries {
        let number = |name: &InstanceId| digest::short(&blake3::hash(name.as_str().as_bytes()));
        let others = others.filter(|name| *name != own).map(number);
        Entries {
            own: number(own),
            others: others.collect(),
            division: Division::default(),
        }
    }

    /// Divides the rate in another way.
    pub fn divided(mut self, division: Division) -> Entries {
        self.division = division;
        self
    }

    /// Returns how long this entry pauses between requests to a cold upstream that bears this
    /// rate, or `None` where the upstream is left to others. A number stands for the upstream.
    pub fn pause(&self, upstream: u64, rate: Rate) -> Option<Span> {
        let all = self.others.len() + 1;
        let bears = rate.per_second().max(f64::MIN_POSITIVE);
        let senders = match self.division {
            Division::Few => all.min((bears as usize).max(1)),
            Division::Each => all,
        };
        let rank = |entry: u64| digest::mix(entry ^ upstream);
        let own = rank(self.own);
        let before = self.others.iter().filter(|other| rank(**other) > own);
        let sends = before.take(senders).count() < senders;
        sends.then(|| Span::from_secs_f64(senders as f64 / bears))
    }

    /// Returns how long after an upstream turned cold this entry sends it the first request.
    pub fn offset(&self, upstream: u64, pause: Span) -> Span {
        match self.division {
            Division::Few => Span::default(),
            Division::Each => {
                let part = digest::mix(self.own ^ upstream) as f64 / u64::MAX as f64;
                Span::from_secs_f64(pause.secs_f64() * part)
            }
        }
    }
}

/// Whether an upstream is cold, and what this entry sent there last.
#[derive(Clone, Copy, Debug, Default)]
pub struct Ramp {
    /// When it turned cold last, as far as is known.
    since: Time,
    /// Until when it is cold.
    until: Time,
    /// Whether it may have started anew, since it could not be reached.
    doubted: bool,
    sent: Option<Time>,
}

impl Ramp {
    /// Notes that the upstream is cold for so long from now on; returns whether that is new.
    pub fn cool(&mut self, now: Time, left: Span) -> bool {
        let is_new = !self.is_cold(now);
        if is_new {
            self.since = now;
        }
        self.until = self.until.max(now + left);
        is_new
    }

    /// Notes that the upstream could not be reached or went down; returns whether that is new.
    pub fn doubt(&mut self, now: Time) -> bool {
        let is_new = !self.is_cold(now);
        if is_new {
            self.since = now;
        }
        !std::mem::replace(&mut self.doubted, true) && is_new
    }

    /// Notes that the upstream answers. One that was doubted may have started at any moment
    /// since, so it is cold for the whole span yet.
    pub fn answered(&mut self, now: Time, span: Span) {
        if std::mem::take(&mut self.doubted) {
            self.until = self.until.max(now + span);
        }
    }

    /// Returns whether the upstream counts as cold.
    pub fn is_cold(&self, now: Time) -> bool {
        self.doubted || now < self.until
    }

    /// Returns whether this entry may send a request, with this pause between two of them.
    pub fn admits(&self, pause: Option<Span>, now: Time) -> bool {
        if !self.is_cold(now) {
            return true;
        }
        let rested = |pause: Span| self.sent.is_none_or(|at| now.since(at) >= pause);
        pause.is_some_and(rested)
    }

    /// Returns for how long the upstream has been cold.
    pub fn age(&self, now: Time) -> Span {
        now.since(self.since)
    }

    /// Notes a request sent.
    pub fn sent(&mut self, now: Time) {
        self.sent = Some(now);
    }
}
