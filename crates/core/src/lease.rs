//! A lease in the platform's table, with a fence.
//!
//! Clocks of processes are never compared: who wants the lease watches the row
//! and may take it over when the row has not changed for a whole term *on its
//! own clock*. The holder stops acting a margin earlier, counted from before it
//! sent its renewal. Acting is fenced besides: whatever the holder writes
//! expects the row to be as it wrote it, so a holder that was paused past its
//! term can change nothing.
//!
//! A store that came back from a copy may show a row that is older than one by which somebody
//! still acts. Such a row is waited on for a whole term as well, also where it is missing or
//! this process's own. A write of before the loss may still be done and put an older row there,
//! so the fence rises with the store's clock besides.
//!
//! ```
//! use sorreldeck::lease::{Elector, Step};
//! use sorreldeck::{Incarnation, Time};
//!
//! let mut keeper = Elector::new("e1".parse()?, Incarnation(1));
//! let Step::Write { lease, expect } = keeper.observe(0.into(), None, Time(0)) else { panic!() };
//! assert_eq!((lease.fence, expect), (1, 0));
//! keeper.observe(7.into(), Some(lease), Time(1000));
//! assert_eq!(keeper.held(Time(1000)), Some((7.into(), 1)));
//! # Ok::<(), sorreldeck::Error>(())
//! ```

use crate::era::{Era, Stamp};
use crate::id::{Incarnation, InstanceId};
use crate::unit::{Span, Time};
use serde::{Deserialize, Serialize};

/// The terms of a lease in a store that never loses what it took in.
pub const TERMS: Terms = Terms {
    term: Span::from_millis(6000),
    margin: Span::from_millis(1000),
    renew_after: Span::from_millis(2000),
    is_durable: true,
};

/// The bits of a fence that hold the store's clock, in milliseconds: 34 years. Above them stands
/// the era; fences stay below the 53 bits of whole numbers in JSON.
const CLOCK_BITS: u32 = 40;
/// The last era that shows in a fence.
const LAST_ERA: u64 = (1 << (53 - CLOCK_BITS)) - 1;

/// For how long a lease holds, and who may take it when.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Terms {
    /// How long a lease holds without renewal.
    pub term: Span,
    /// How much earlier than the term its holder stops acting.
    pub margin: Span,
    /// How old a lease is when its holder renews it.
    pub renew_after: Span,
    /// Whether a row that is missing was never there, as long as the era is the first that was seen.
    pub is_durable: bool,
}

/// The row of a lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// The instance that holds it.
    pub holder: InstanceId,
    /// The run of the holder.
    pub incarnation: Incarnation,
    /// The number that rises whenever the lease changes hands.
    pub fence: u64,
    /// The count of renewals, so that each one changes the row.
    pub renewals: u64,
    /// The era of the store in which it was written.
    #[serde(default)]
    pub era: Era,
}

/// What is to be done about a lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Write this row, if its version is still `expect`; 0 stands for no row.
    Write {
        /// The row.
        lease: Lease,
        /// The version that it must have.
        expect: u64,
    },
    /// Nothing for now.
    Wait,
}

/// One process's view of a lease.
#[derive(Clone, Debug)]
pub struct Elector {
    me: InstanceId,
    incarnation: Incarnation,
    terms: Terms,
    /// The era in which the row was seen first.
    first_era: Option<Era>,
    seen: Option<Seen>,
    sent: Option<(Lease, Time)>,
    held: Option<Held>,
}

#[derive(Clone, Debug)]
struct Seen {
    at: Stamp,
    lease: Option<Lease>,
    since: Time,
}

#[derive(Clone, Copy, Debug)]
struct Held {
    at: Stamp,
    fence: u64,
    from: Time,
}

impl Elector {
    /// Creates a view that has seen nothing, with the usual [`TERMS`].
    pub fn new(me: InstanceId, incarnation: Incarnation) -> Elector {
        Elector::with_terms(me, incarnation, TERMS)
    }

    /// Creates a view that has seen nothing.
    pub fn with_terms(me: InstanceId, incarnation: Incarnation, terms: Terms) -> Elector {
        Elector {
            me,
            incarnation,
            terms,
            first_era: None,
            seen: None,
            sent: None,
            held: None,
        }
    }

    /// Returns the row's stamp and the fence if this process holds the lease
    /// and may act on it now.
    pub fn held(&self, now: Time) -> Option<(Stamp, u64)> {
        let held = self.held?;
        (self.remaining(now) > Span::default()).then_some((held.at, held.fence))
    }

    /// Returns for how long this process may act on the lease yet.
    pub fn remaining(&self, now: Time) -> Span {
        let acts = self.terms.term - self.terms.margin;
        self.held
            .map_or(Span::default(), |held| acts - now.since(held.from))
    }

    /// Takes in the row as it was read and returns what is to be done: `at` is its version, 0
    /// where there is no row.
    ///
    /// A row that this process wrote itself counts as held from the time at
    /// which the write was sent, whether or not the write was answered.
    pub fn observe(&mut self, at: Stamp, lease: Option<Lease>, now: Time) -> Step {
        self.record(at, lease, now);
        let is_held = self.is_own() && self.held.is_some();
        let is_due = self
            .held
            .is_none_or(|held| now.since(held.from) >= self.terms.renew_after);
        match is_held && !is_due {
            true => Step::Wait,
            false => self
                .claim(None, now)
                .map_or(Step::Wait, |(lease, expect)| Step::Write { lease, expect }),
        }
    }

    /// Takes in the row as it was read; `at` is its version, 0 where there is no row.
    pub fn record(&mut self, at: Stamp, lease: Option<Lease>, now: Time) {
        self.first_era.get_or_insert(at.era);
        let known = self.seen.as_ref().is_some_and(|seen| seen.at == at);
        if !known {
            self.seen = Some(Seen {
                at,
                lease,
                since: now,
            });
        }
        let Some(lease) = self.seen.as_ref().and_then(|seen| seen.lease.as_ref()) else {
            return;
        };
        let is_current = lease.era >= at.era;
        match &self.sent {
            // Done only after the store came back, it has a fence that was given out before.
            Some((sent, from)) if sent == lease && is_current => {
                self.held = Some(Held {
                    at,
                    fence: lease.fence,
                    from: *from,
                });
            }
            // One of an earlier era says nothing of who holds it now.
            _ if !self.is_own() && is_current => self.held = None,
            _ => {}
        }
    }

    /// Returns the row that takes or renews the lease, and the version that it must have; `None`
    /// where another process may hold it. `clock` is the time on the store's clock; fences count
    /// from 1 where there is none.
    pub fn claim(&mut self, clock: Option<Time>, now: Time) -> Option<(Lease, u64)> {
        let seen = self.seen.as_ref()?;
        let at = seen.at;
        let is_current = seen.lease.as_ref().is_some_and(|l| l.era >= at.era);
        let is_lapsed = now.since(seen.since) > self.terms.term;
        let is_kept = self.terms.is_durable && self.first_era == Some(at.era);
        let is_new = seen.lease.is_none() && is_kept;
        let holds = match is_current {
            true => self.is_own(),
            false => self.held(now).is_some(),
        };
        if !holds && !is_lapsed && !is_new {
            return None;
        }
        let last = seen.lease.as_ref();
        let fence = match last {
            Some(last) if holds && is_current => last.fence,
            _ => next_fence(last.map_or(0, |last| last.fence), at.era, clock),
        };
        let renewals = last.map_or(0, |last| last.renewals);
        let sent = self.sent.as_ref().map_or(0, |(sent, _)| sent.renewals);
        let lease = Lease {
            holder: self.me.clone(),
            incarnation: self.incarnation,
            fence,
            renewals: renewals.max(sent) + 1,
            era: at.era,
        };
        self.sent = Some((lease.clone(), now));
        Some((lease, at.version))
    }

    /// Returns whether the row that was seen is of this process.
    fn is_own(&self) -> bool {
        let lease = self.seen.as_ref().and_then(|seen| seen.lease.as_ref());
        lease.is_some_and(|l| l.holder == self.me && l.incarnation == self.incarnation)
    }
}

/// Returns the fence after one, above all that were given out earlier on the store's clock.
fn next_fence(last: u64, era: Era, clock: Option<Time>) -> u64 {
    let era = era.0.min(LAST_ERA) << CLOCK_BITS;
    let clock = clock.map_or(0, |clock| clock.0 / 1_000 % (1 << CLOCK_BITS));
    (last + 1).max(era + clock)
}
