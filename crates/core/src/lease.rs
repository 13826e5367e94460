//! A lease in the platform's table, with a fence.
//!
//! Clocks of processes are never compared: who wants the lease watches the row
//! and may take it over when the row has not changed for a whole term *on its
//! own clock*. The holder stops acting a margin earlier, counted from before it
//! sent its renewal. Acting is fenced besides: whatever the holder writes
//! expects the row to be as it wrote it, so a holder that was paused past its
//! term can change nothing.
//!
//! ```
//! use sorreldeck::lease::{Keeper, Step};
//! use sorreldeck::{Incarnation, Time};
//!
//! let mut keeper = Keeper::new("e1".parse()?, Incarnation(1));
//! let Step::Write { lease, expect } = keeper.see(None, Time(0)) else { panic!() };
//! assert_eq!((lease.fence, expect), (1, 0));
//! keeper.see(Some((7, lease)), Time(1000));
//! assert_eq!(keeper.held(Time(1000)), Some((7, 1)));
//! # Ok::<(), sorreldeck::Error>(())
//! ```

use crate::id::{Incarnation, InstanceId};
use crate::unit::{Span, Time};
use serde::{Deserialize, Serialize};

/// How long a lease holds without renewal.
pub const TERM: Span = Span::from_millis(6000);
/// How much earlier than the term its holder stops acting.
const MARGIN: Span = Span::from_millis(1000);
/// How old a lease is when its holder renews it.
const RENEW_AFTER: Span = Span::from_millis(2000);

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
pub struct Keeper {
    me: InstanceId,
    incarnation: Incarnation,
    seen: Option<Seen>,
    sent: Option<(Lease, Time)>,
    held: Option<Held>,
}

#[derive(Clone, Copy, Debug)]
struct Seen {
    version: u64,
    since: Time,
}

#[derive(Clone, Copy, Debug)]
struct Held {
    version: u64,
    fence: u64,
    from: Time,
}

impl Keeper {
    /// Creates a view that has seen nothing.
    pub fn new(me: InstanceId, incarnation: Incarnation) -> Keeper {
        Keeper {
            me,
            incarnation,
            seen: None,
            sent: None,
            held: None,
        }
    }

    /// Returns the row's version and the fence if this process holds the lease
    /// and may act on it now.
    pub fn held(&self, now: Time) -> Option<(u64, u64)> {
        let held = self.held?;
        (now.since(held.from) + MARGIN < TERM).then_some((held.version, held.fence))
    }

    /// Takes in the row as it was read and returns what is to be done.
    ///
    /// A row that this process wrote itself counts as held from the time at
    /// which the write was sent, whether or not the write was answered.
    pub fn see(&mut self, row: Option<(u64, Lease)>, now: Time) -> Step {
        let Some((version, lease)) = row else {
            return self.write(1, 0, 0, now);
        };
        let known = self.seen.is_some_and(|seen| seen.version == version);
        if !known {
            self.seen = Some(Seen {
                version,
                since: now,
            });
        }
        if lease.holder == self.me && lease.incarnation == self.incarnation {
            return self.see_own(version, lease, now);
        }
        self.held = None;
        let since = self.seen.map_or(now, |seen| seen.since);
        match now.since(since) > TERM {
            true => self.write(lease.fence + 1, 0, version, now),
            false => Step::Wait,
        }
    }

    fn see_own(&mut self, version: u64, lease: Lease, now: Time) -> Step {
        if let Some((sent, from)) = &self.sent {
            if *sent == lease {
                self.held = Some(Held {
                    version,
                    fence: lease.fence,
                    from: *from,
                });
            }
        }
        let age = self.held.map_or(TERM, |held| now.since(held.from));
        match age >= RENEW_AFTER {
            true => self.write(lease.fence, lease.renewals + 1, version, now),
            false => Step::Wait,
        }
    }

    fn write(&mut self, fence: u64, renewals: u64, expect: u64, now: Time) -> Step {
        let lease = Lease {
            holder: self.me.clone(),
            incarnation: self.incarnation,
            fence,
            renewals,
        };
        self.sent = Some((lease.clone(), now));
        Step::Write { lease, expect }
    }
}
