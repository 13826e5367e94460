//! Starts of an upstream under one name: which of two rows about it is the newer one.
//!
//! An upstream may start again under its former name. Its rows say when it was started, by a clock
//! that may have jumped, so that time tells starts apart but does not order them. What orders them is
//! the store's version; within one start it is the sequence number that the upstream counts.
//!
//! A write of an earlier start may be done late, after the rows of the present one. The present start
//! then writes its row again with its next heartbeat; until that has been ruled out, a row of an
//! earlier start changes nothing.
//!
//! ```
//! use sorreldeck::start::{History, Row, Step};
//! use sorreldeck::Incarnation;
//!
//! let address = "127.0.0.1:9".parse().unwrap();
//! let row = |born| Row { born: Some(Incarnation(born)), address, sequence: 1, leaving: false };
//! let mut history = History::default();
//! let first = history.observe(row(9), false);
//! let second = history.observe(row(5), false);
//! assert!(matches!(second, Step::Use(_)) && first != second);
//! assert_eq!(history.observe(row(9), false), Step::Defer);
//! ```

use crate::digest::truncate;
use crate::id::Incarnation;
use crate::unit::Span;
use std::collections::VecDeque;
use std::net::SocketAddr;

/// How long a row that may be late must stay in the store before it is applied: the store removes
/// the row of an upstream that misses three heartbeats.
pub const LATE_ROW_DELAY: Span = Span::from_millis(4_500);

/// The most earlier starts that are remembered of one upstream.
const MAX_FORMER: usize = 8;

/// The fields of an upstream's row that concern its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Row {
    /// The time of the start on the clock of the upstream, if the row contains it.
    pub born: Option<Incarnation>,
    /// The address for calls.
    pub address: SocketAddr,
    /// The number of the row among those of this start.
    pub sequence: u64,
    /// Whether the upstream accepts no new requests.
    pub leaving: bool,
}

/// What follows from a row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// The upstream may get requests; the number stands for this start.
    Use(Incarnation),
    /// The upstream gets no more requests.
    Retire,
    /// The row may be late: what is in use stays in use for [`LATE_ROW_DELAY`].
    Defer,
}

/// The properties by which two starts are told apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Identity {
    born: Option<Incarnation>,
    address: SocketAddr,
}

/// How a row relates to the rows before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Order {
    /// It is of the present start.
    Current,
    /// It is of a start that was not known.
    Next,
    /// It is of an earlier start, or an earlier row of the present one.
    Earlier,
}

/// The latest row of the present start.
#[derive(Clone, Copy, Debug)]
struct Latest {
    identity: Identity,
    sequence: u64,
    leaving: bool,
    /// Distinguishes starts with the same identity; 0 for the first of them.
    repeat: u64,
}

/// The starts of one upstream, in the order of the store's versions.
#[derive(Clone, Debug, Default)]
pub struct History {
    latest: Option<Latest>,
    former: VecDeque<Identity>,
    /// How often a known identity came back as another start.
    repeats: u64,
}

impl History {
    /// Processes the row that the store holds. `settled` says that it has stayed in the store for
    /// [`LATE_ROW_DELAY`], so that it is not a late one.
    pub fn observe(&mut self, row: Row, settled: bool) -> Step {
        let identity = self.identity(row);
        let order = self.order(identity, row);
        if row.leaving {
            // A late row is obeyed here as well, because a request must not reach an upstream that
            // leaves; the present start is used again from its next row on.
            if order != Order::Earlier {
                self.set_latest(identity, row, order == Order::Next);
            }
            return Step::Retire;
        }
        match order {
            Order::Earlier if !settled => return Step::Defer,
            Order::Earlier => self.repeat(identity, row),
            Order::Current if self.is_leaving() => self.repeat(identity, row),
            order => self.set_latest(identity, row, order == Order::Next),
        }
        Step::Use(self.incarnation())
    }

    /// Returns the identity in a row. A row without a start time is of the latest start at its
    /// address.
    fn identity(&self, row: Row) -> Identity {
        let latest = self.latest.iter().map(|latest| &latest.identity);
        let mut known = latest.chain(self.former.iter().rev());
        let same_place = known.find(|known| known.address == row.address);
        Identity {
            born: row.born.or(same_place.and_then(|known| known.born)),
            address: row.address,
        }
    }

    fn order(&self, identity: Identity, row: Row) -> Order {
        match self.latest {
            Some(latest) if latest.identity == identity => match latest.is_after(row) {
                true => Order::Earlier,
                false => Order::Current,
            },
            _ if self.former.contains(&identity) => Order::Earlier,
            _ => Order::Next,
        }
    }

    fn is_leaving(&self) -> bool {
        self.latest.is_some_and(|latest| latest.leaving)
    }

    fn set_latest(&mut self, identity: Identity, row: Row, is_next: bool) {
        let former = self.latest.filter(|_| is_next);
        if let Some(former) = former {
            self.remember(former.identity);
        }
        let repeat = self.latest.filter(|_| !is_next);
        self.latest = Some(Latest {
            identity,
            sequence: row.sequence,
            leaving: row.leaving,
            repeat: repeat.map_or(0, |latest| latest.repeat),
        });
    }

    /// Records another start with a known identity.
    fn repeat(&mut self, identity: Identity, row: Row) {
        let is_former = self.latest.is_some_and(|l| l.identity != identity);
        self.former.retain(|former| *former != identity);
        self.set_latest(identity, row, is_former);
        self.repeats += 1;
        if let Some(latest) = &mut self.latest {
            latest.repeat = self.repeats;
        }
    }

    fn remember(&mut self, identity: Identity) {
        if self.former.len() >= MAX_FORMER {
            self.former.pop_front();
        }
        self.former.push_back(identity);
    }

    /// Returns the number that stands for the present start; the same at every entry, unless the
    /// identity came back.
    fn incarnation(&self) -> Incarnation {
        let mut hasher = blake3::Hasher::new();
        if let Some(latest) = self.latest {
            let born = latest.identity.born.map(|born| born.0);
            hasher.update(format!("{born:?} {} ", latest.identity.address).as_bytes());
            hasher.update(&latest.repeat.to_be_bytes());
        }
        Incarnation(truncate(&hasher.finalize()))
    }
}

impl Latest {
    /// Returns whether this row was written after another one of the same start.
    ///
    /// Rows that say ready may have any number: the store need not show the latest one.
    fn is_after(&self, row: Row) -> bool {
        self.leaving && !row.leaving && row.sequence <= self.sequence
    }
}
