//! Leader election by a lease with a fencing token, kept in a row of the platform's store.
//!
//! Clocks of processes are never compared: a candidate watches the row and may take it over when
//! the row has not changed for a whole term *on its own clock*. The holder stops acting a margin
//! earlier, counted from before it sent its renewal. Writes are fenced as well: every write of the
//! holder is conditional on the lease row being as the holder wrote it, so a holder that was paused
//! past its term can change nothing.
//!
//! A store that was restored from a backup may show a row that is older than the one that the
//! current holder acts on. Such a row is waited on for a whole term as well, even if it is missing
//! or names this process. A write sent before the restore may still be applied and bring back an
//! older row, so the fencing token is also raised with the store's clock.
//!
//! ```
//! use sorreldeck::lease::{Elector, Step};
//! use sorreldeck::{Incarnation, Time};
//!
//! let mut elector = Elector::new("e1".parse()?, Incarnation(1));
//! let Step::Write { lease, expect } = elector.observe(0.into(), None, Time(0)) else { panic!() };
//! assert_eq!((lease.fence, expect), (1, 0));
//! elector.observe(7.into(), Some(lease), Time(1000));
//! assert_eq!(elector.held(Time(1000)), Some((7.into(), 1)));
//! # Ok::<(), sorreldeck::Error>(())
//! ```

use crate::era::{Era, Stamp};
use crate::id::{Incarnation, InstanceId};
use crate::unit::{Span, Time};
use serde::{Deserialize, Serialize};

/// The terms of a lease in a store that never loses a write.
pub const TERMS: Terms = Terms {
    term: Span::from_millis(6000),
    margin: Span::from_millis(1000),
    renew_after: Span::from_millis(2000),
    is_durable: true,
};

/// The number of bits of a fencing token that hold the store's clock in milliseconds, enough for 34
/// years. The era is stored above them. Tokens stay within 53 bits, the exact integers of JSON
/// numbers.
const CLOCK_BITS: u32 = 40;
/// The highest era that a fencing token can represent.
const LAST_ERA: u64 = (1 << (53 - CLOCK_BITS)) - 1;

/// The timing of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Terms {
    /// The time that a lease is valid without renewal.
    pub term: Span,
    /// How long before the end of the term its holder stops acting.
    pub margin: Span,
    /// The age of a lease at which its holder renews it.
    pub renew_after: Span,
    /// Whether a missing row proves that the lease was never held, as long as the store has not
    /// been restored since the first read.
    pub is_durable: bool,
}

/// The row of a lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// The instance that holds the lease.
    pub holder: InstanceId,
    /// The incarnation of the holder.
    pub incarnation: Incarnation,
    /// The fencing token, raised whenever the lease changes hands.
    pub fence: u64,
    /// The number of renewals, so that each renewal changes the row.
    pub renewals: u64,
    /// The era of the store in which the row was written.
    #[serde(default)]
    pub era: Era,
}

/// The next action for a lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Write this row if the version of the stored row is still `expect`; 0 stands for a missing
    /// row.
    Write {
        /// The row.
        lease: Lease,
        /// The version that the stored row must have.
        expect: u64,
    },
    /// Do nothing for now.
    Wait,
}

/// One process's participation in the election.
#[derive(Clone, Debug)]
pub struct Elector {
    instance: InstanceId,
    incarnation: Incarnation,
    terms: Terms,
    /// The era of the first read.
    first_era: Option<Era>,
    observed: Option<Observed>,
    sent: Option<(Lease, Time)>,
    held: Option<Held>,
}

#[derive(Clone, Debug)]
struct Observed {
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
    /// Creates a participant that has not read the row, with the default [`TERMS`].
    pub fn new(instance: InstanceId, incarnation: Incarnation) -> Elector {
        Elector::with_terms(instance, incarnation, TERMS)
    }

    /// Creates a participant that has not read the row.
    pub fn with_terms(instance: InstanceId, incarnation: Incarnation, terms: Terms) -> Elector {
        Elector {
            instance,
            incarnation,
            terms,
            first_era: None,
            observed: None,
            sent: None,
            held: None,
        }
    }

    /// Returns the row's stamp and the fencing token if this process holds the lease and may act
    /// now.
    pub fn held(&self, now: Time) -> Option<(Stamp, u64)> {
        let held = self.held?;
        (self.remaining(now) > Span::default()).then_some((held.at, held.fence))
    }

    /// Returns how much longer this process may act on the lease.
    pub fn remaining(&self, now: Time) -> Span {
        let active = self.terms.term - self.terms.margin;
        self.held
            .map_or(Span::default(), |held| active - now.since(held.from))
    }

    /// Records the row as read and returns the next action. `at` is the version of the row, 0 if it
    /// is missing.
    ///
    /// A row written by this process counts as held from the time at which the write was sent,
    /// whether or not the write was answered.
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

    /// Records the row as read; `at` is its version, 0 if it is missing.
    pub fn record(&mut self, at: Stamp, lease: Option<Lease>, now: Time) {
        self.first_era.get_or_insert(at.era);
        let is_unchanged = self
            .observed
            .as_ref()
            .is_some_and(|observed| observed.at == at);
        if !is_unchanged {
            self.observed = Some(Observed {
                at,
                lease,
                since: now,
            });
        }
        let Some(lease) = self
            .observed
            .as_ref()
            .and_then(|observed| observed.lease.as_ref())
        else {
            return;
        };
        let is_current = lease.era >= at.era;
        match &self.sent {
            // A row of an earlier era, written late after a restore, would carry a fencing token
            // that was already used.
            Some((sent, from)) if sent == lease && is_current => {
                self.held = Some(Held {
                    at,
                    fence: lease.fence,
                    from: *from,
                });
            }
            // A row of an earlier era does not show who holds the lease now.
            _ if !self.is_own() && is_current => self.held = None,
            _ => {}
        }
    }

    /// Returns the row that takes or renews the lease and the version that the stored row must
    /// have, or `None` while another process may hold it. `clock` is the time on the store's clock;
    /// without it, fencing tokens count from 1.
    pub fn claim(&mut self, clock: Option<Time>, now: Time) -> Option<(Lease, u64)> {
        let observed = self.observed.as_ref()?;
        let at = observed.at;
        let is_current = observed.lease.as_ref().is_some_and(|l| l.era >= at.era);
        let is_lapsed = now.since(observed.since) > self.terms.term;
        let is_durable = self.terms.is_durable && self.first_era == Some(at.era);
        let is_new = observed.lease.is_none() && is_durable;
        let holds = match is_current {
            true => self.is_own(),
            false => self.held(now).is_some(),
        };
        if !holds && !is_lapsed && !is_new {
            return None;
        }
        let last = observed.lease.as_ref();
        let fence = match last {
            Some(last) if holds && is_current => last.fence,
            _ => next_fence(last.map_or(0, |last| last.fence), at.era, clock),
        };
        let renewals = last.map_or(0, |last| last.renewals);
        let sent = self.sent.as_ref().map_or(0, |(sent, _)| sent.renewals);
        let lease = Lease {
            holder: self.instance.clone(),
            incarnation: self.incarnation,
            fence,
            renewals: renewals.max(sent) + 1,
            era: at.era,
        };
        self.sent = Some((lease.clone(), now));
        Some((lease, at.version))
    }

    /// Returns whether the last row read was written by this process.
    fn is_own(&self) -> bool {
        let lease = self
            .observed
            .as_ref()
            .and_then(|observed| observed.lease.as_ref());
        lease.is_some_and(|l| l.holder == self.instance && l.incarnation == self.incarnation)
    }
}

/// Returns a fencing token above `last` and above all tokens given out earlier on the store's
/// clock.
fn next_fence(last: u64, era: Era, clock: Option<Time>) -> u64 {
    let era = era.0.min(LAST_ERA) << CLOCK_BITS;
    let clock = clock.map_or(0, |clock| clock.0 / 1_000 % (1 << CLOCK_BITS));
    (last + 1).max(era + clock)
}
