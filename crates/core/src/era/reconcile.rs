//! What becomes of what was known of a row when the store came back from a copy.
//!
//! The store has lost what was written since the copy was made; whoever wrote it writes it again,
//! in any order and some seconds late. What was in force stays so meanwhile.

use crate::digest::truncate;
use crate::unit::Span;
use std::collections::{BTreeSet, VecDeque};

/// How long an order holds that is not in the copy: the operator writes it again within seconds.
const ORDER: Span = Span::from_millis(30_000);
/// How long what is known of a row holds against another state of it that may be an earlier one.
const UNSURE: Span = Span::from_millis(3_000);
/// How long an upstream that is not in the copy is used: it checks in each 1.2 s, and one that left
/// must get nothing more after 2 s.
const RETURN: Span = Span::from_millis(1_800);
/// How long an upstream that was gone and is in the copy is not used: the store drops it after
/// three check-ins of silence.
const LEASE: Span = Span::from_millis(4_500);
/// The rows that must be as they were known for what is earlier than all of them to have been copied:
/// one may have been written again under its former version.
const UNCHANGED: usize = 3;
/// The most former states of rows that are remembered: those of some minutes.
const MOST: usize = 4_096;

/// What a row was when it was heard of last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Prior<'a> {
    /// Nothing, ever.
    Unknown,
    /// That it was there, and is not any more.
    Deleted,
    /// What it holds.
    Present(RowState<'a>),
}

/// A row as it stood at a version of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RowState<'a> {
    /// The key.
    pub key: &'a str,
    /// The version.
    pub version: u64,
    /// The value.
    pub value: &'a [u8],
}

impl RowState<'_> {
    fn digest(&self) -> u64 {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&self.version.to_be_bytes());
        hasher.update(&(self.key.len() as u64).to_be_bytes());
        hasher.update(self.key.as_bytes());
        hasher.update(self.value);
        truncate(&hasher.finalize())
    }
}

/// The former states of rows, the latest of them.
#[derive(Clone, Debug, Default)]
pub struct History {
    known: BTreeSet<u64>,
    order: VecDeque<u64>,
}

impl History {
    /// Notes a state that another one has replaced.
    pub fn insert(&mut self, row: RowState) {
        let digest = row.digest();
        if !self.known.insert(digest) {
            return;
        }
        self.order.push_back(digest);
        if self.order.len() > MOST {
            if let Some(first) = self.order.pop_front() {
                self.known.remove(&first);
            }
        }
    }

    /// Returns whether a row stood so before.
    pub fn contains(&self, row: RowState) -> bool {
        self.known.contains(&row.digest())
    }
}

/// What was surely in the copy from which the store came back.
#[derive(Clone, Debug, Default)]
pub struct Backup {
    /// The version up to which changes were copied.
    version: u64,
}

impl Backup {
    /// Returns what follows from the versions of rows that are as they were known.
    pub fn estimate(unchanged: impl IntoIterator<Item = u64>) -> Backup {
        let mut versions: Vec<u64> = unchanged.into_iter().collect();
        versions.sort_unstable();
        let version = versions.iter().rev().nth(UNCHANGED - 1);
        Backup {
            version: version.copied().unwrap_or(0),
        }
    }

    /// Returns whether a change that was made before the copy would be in it.
    pub fn contains(&self, version: u64) -> bool {
        version <= self.version
    }
}

/// What the store holds of a row after it came back, against what was known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Comparison {
    /// What was known.
    Same,
    /// Nothing, though it was copied: it was dropped since the store is back.
    Deleted,
    /// Nothing.
    Missing,
    /// What was known before the latest change, which is lost.
    Outdated,
    /// Something else under a version that was given out before: a state between two that were
    /// heard of, or one that was written since the store is back.
    Ambiguous,
    /// Something that was not known.
    New,
}

impl Comparison {
    /// Compares a row of the store with what was known of it, and before; `newest` is the version
    /// up to which the table was known.
    pub fn of(
        stored: Option<RowState>,
        known: Prior,
        past: &History,
        copied: &Backup,
        newest: u64,
    ) -> Comparison {
        let Some(stored) = stored else {
            return match known {
                Prior::Present(known) if copied.contains(known.version) => Comparison::Deleted,
                _ => Comparison::Missing,
            };
        };
        let is_reused = known != Prior::Unknown && stored.version <= newest;
        match known {
            Prior::Present(known) if known == stored => Comparison::Same,
            _ if past.contains(stored) => Comparison::Outdated,
            _ if is_reused && copied.contains(stored.version) => Comparison::Outdated,
            _ if is_reused => Comparison::Ambiguous,
            _ => Comparison::New,
        }
    }
}

/// What a row tells of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// The configuration, which names its own revision.
    Configuration,
    /// An order of the operator.
    Order,
    /// An upstream, which writes its row itself.
    Upstream,
    /// What entries record.
    Record,
}

/// What was known of a row, as it bears on what the store holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Local {
    /// That it is not there.
    Absent,
    /// Its value.
    Present,
    /// A value that is later than the one in the store by its own account: a higher revision, or
    /// that the same start of an upstream leaves.
    Newer,
}

/// What becomes of what was known of a row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Resolution {
    /// The row in the store takes its place.
    Replace,
    /// It holds until the row is written again, or for so long.
    Retain(Option<Span>),
}

impl Resolution {
    /// Decides what becomes of what was known of a row.
    pub fn of(kind: Kind, standing: Comparison, known: Local) -> Resolution {
        match (kind, standing, known) {
            (_, Comparison::Same, _) | (_, Comparison::Missing, Local::Absent) => {
                Resolution::Replace
            }
            (Kind::Configuration, Comparison::Missing, _) => Resolution::Retain(None),
            (Kind::Configuration | Kind::Upstream, _, Local::Newer) => Resolution::Retain(None),
            (Kind::Configuration, ..) => Resolution::Replace,
            (Kind::Order, Comparison::Missing | Comparison::Outdated, _) => {
                Resolution::Retain(Some(ORDER))
            }
            (Kind::Order | Kind::Record, Comparison::Ambiguous, _) => {
                Resolution::Retain(Some(UNSURE))
            }
            (Kind::Upstream, Comparison::Missing, _) => Resolution::Retain(Some(RETURN)),
            (Kind::Upstream, Comparison::Outdated | Comparison::Ambiguous, Local::Absent) => {
                Resolution::Retain(Some(LEASE))
            }
            (Kind::Record, Comparison::Missing | Comparison::Outdated, _) => {
                Resolution::Retain(None)
            }
            _ => Resolution::Replace,
        }
    }
}
