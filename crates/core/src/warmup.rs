//! Limits the requests to an upstream that has just started.
//!
//! A cold upstream is slow and fails if it receives many more requests than it can handle. It
//! appears idle, so without a limit every entry would choose it at once. The limit is one rate
//! for all entries, which cannot synchronize counters in time. For each cold upstream, a hash of
//! the names selects a few entries, at most as many as the requests per second that the upstream
//! can handle. Each selected entry pauses between its own requests. An entry therefore keeps to its
//! part of the rate regardless of what it knows about the requests of the others.
//!
//! The report that an upstream is cold arrives late or never. An upstream that could not be reached
//! or went down during a request therefore counts as cold until some time after it answers again.
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

/// The entries that share the rate limit of an upstream.
#[derive(Clone, Debug, Default)]
pub struct Entries {
    own: u64,
    others: Vec<u64>,
}

impl Entries {
    /// Creates the set of entries known to one of them; `others` may include its own name.
    pub fn new<'a>(own: &InstanceId, others: impl Iterator<Item = &'a InstanceId>) -> Entries {
        let number = |name: &InstanceId| digest::truncate(&blake3::hash(name.as_str().as_bytes()));
        let others = others.filter(|name| *name != own).map(number);
        Entries {
            own: number(own),
            others: others.collect(),
        }
    }

    /// Returns the pause of this entry between requests to a cold upstream that can handle `rate`,
    /// or `None` if other entries are selected for it. `upstream` is the identifier of the
    /// upstream's start.
    pub fn pause(&self, upstream: u64, rate: Rate) -> Option<Span> {
        let all = self.count();
        let limit = rate.per_second().max(f64::MIN_POSITIVE);
        let senders = all.min((limit as usize).max(1));
        let is_selected_here = self.is_selected(senders, upstream);
        is_selected_here.then(|| Span::from_secs_f64(senders as f64 / limit))
    }

    /// Returns whether this entry is among the `drawn` entries selected for an upstream.
    pub fn is_selected(&self, drawn: usize, upstream: u64) -> bool {
        let rank = |entry: u64| digest::mix(entry ^ upstream);
        let own = rank(self.own);
        let before = self.others.iter().filter(|other| rank(**other) > own);
        before.take(drawn).count() < drawn
    }

    /// Returns the number of entries.
    pub fn count(&self) -> usize {
        self.others.len() + 1
    }

    /// Returns a number from 0 to 1 that differs between entries and upstreams.
    pub fn phase(&self, upstream: u64) -> f64 {
        digest::mix(self.own ^ upstream) as f64 / u64::MAX as f64
    }
}

/// Whether an upstream is cold, and when this entry last sent it a request.
#[derive(Clone, Copy, Debug, Default)]
pub struct Ramp {
    /// The time until which it is cold.
    cold_until: Time,
    /// Whether it was unreachable and may have restarted since.
    possibly_restarted: bool,
    sent: Option<Time>,
}

impl Ramp {
    /// Marks the upstream as cold for this long from now on.
    pub fn mark_cold(&mut self, now: Time, left: Span) {
        self.cold_until = self.cold_until.max(now + left);
    }

    /// Marks the upstream as possibly restarted, after it was unreachable or went down.
    pub fn suspect_restart(&mut self) {
        self.possibly_restarted = true;
    }

    /// Records an answer. If the upstream was possibly restarted, it may have started at any moment
    /// until now, so it is cold for the whole span from now on.
    pub fn answered(&mut self, now: Time, span: Span) {
        if std::mem::take(&mut self.possibly_restarted) {
            self.mark_cold(now, span);
        }
    }

    /// Returns whether the upstream counts as cold.
    pub fn is_cold(&self, now: Time) -> bool {
        self.possibly_restarted || now < self.cold_until
    }

    /// Returns whether this entry may send a request; `pause` returns the minimum time between two
    /// requests while the upstream is cold.
    pub fn admits(&self, now: Time, pause: impl FnOnce() -> Option<Span>) -> bool {
        let has_paused = |pause: Span| self.sent.is_none_or(|at| now.since(at) >= pause);
        !self.is_cold(now) || pause().is_some_and(has_paused)
    }

    /// Records a sent request.
    pub fn sent(&mut self, now: Time) {
        self.sent = Some(now);
    }
}
