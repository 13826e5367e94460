//! Decides between the known and the stored state of a row after the store was restored from a
//! backup.
//!
//! The store has lost all writes made after the backup. Their authors write them again, in any
//! order and some seconds late; until then the known state stays in force.

use crate::digest::truncate;
use crate::unit::Span;
use std::collections::{BTreeSet, VecDeque};

/// How long an operator's order that is missing from the backup stays in force; the operator writes
/// it again within seconds.
const ORDER_RETENTION: Span = Span::from_millis(30_000);
/// How long the known state of a row is kept if the stored state may be an earlier one.
const AMBIGUOUS_RETENTION: Span = Span::from_millis(3_000);
/// How long an upstream that is missing from the backup is still used. It checks in every 1.2 s,
/// and one that left must get no requests after 2 s.
const UPSTREAM_RETENTION: Span = Span::from_millis(1_800);
/// How long an upstream that was gone but is present in the backup is not used; the store drops it
/// after three missed check-ins.
const DEPARTURE_RETENTION: Span = Span::from_millis(4_500);
/// How many rows must be unchanged for changes older than all of them to count as part of the
/// backup; a single row may have been written again under its former version.
const MIN_UNCHANGED: usize = 3;
/// The most former row states that are kept, enough for some minutes.
const MAX_STATES: usize = 4_096;

/// The state of a row when it was last reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Prior<'a> {
    /// The row was never reported.
    Unknown,
    /// The row existed and was deleted.
    Deleted,
    /// The row exists in this state.
    Present(RowState<'a>),
}

/// The state of a row at one version of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RowState<'a> {
    /// The key of the row.
    pub key: &'a str,
    /// The version of the store.
    pub version: u64,
    /// The value of the row.
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

/// The latest row states that were replaced by others, as digests.
#[derive(Clone, Debug, Default)]
pub struct History {
    digests: BTreeSet<u64>,
    order: VecDeque<u64>,
}

impl History {
    /// Adds a row state that was replaced by another.
    pub fn insert(&mut self, row: RowState) {
        let digest = row.digest();
        if !self.digests.insert(digest) {
            return;
        }
        self.order.push_back(digest);
        if self.order.len() > MAX_STATES {
            if let Some(first) = self.order.pop_front() {
                self.digests.remove(&first);
            }
        }
    }

    /// Returns whether a row was in this state before.
    pub fn contains(&self, row: RowState) -> bool {
        self.digests.contains(&row.digest())
    }
}

/// What the backup from which the store was restored certainly contains.
#[derive(Clone, Debug, Default)]
pub struct Backup {
    /// The version up to which changes are in the backup.
    version: u64,
}

impl Backup {
    /// Estimates the content of the backup from the versions of rows that have not changed.
    pub fn estimate(unchanged: impl IntoIterator<Item = u64>) -> Backup {
        let mut versions: Vec<u64> = unchanged.into_iter().collect();
        versions.sort_unstable();
        let version = versions.iter().rev().nth(MIN_UNCHANGED - 1);
        Backup {
            version: version.copied().unwrap_or(0),
        }
    }

    /// Returns whether the backup contains a change that was made at this version before the
    /// restore.
    pub fn contains(&self, version: u64) -> bool {
        version <= self.version
    }
}

/// How the state of a row in the restored store compares with its known state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Comparison {
    /// The states are the same.
    Same,
    /// The row is missing though the backup contains it, so it was deleted after the restore.
    Deleted,
    /// The row is missing.
    Missing,
    /// The stored state is a former one; the latest change is lost.
    Outdated,
    /// The stored state has a version that was assigned before the restore: either it lies between
    /// two known states, or it was written after the restore.
    Ambiguous,
    /// The stored state was not known.
    New,
}

impl Comparison {
    /// Compares the stored state of a row with its known and former states. `newest` is the version
    /// up to which the table was known.
    pub fn of(
        stored: Option<RowState>,
        known: Prior,
        history: &History,
        backup: &Backup,
        newest: u64,
    ) -> Comparison {
        let Some(stored) = stored else {
            return match known {
                Prior::Present(known) if backup.contains(known.version) => Comparison::Deleted,
                _ => Comparison::Missing,
            };
        };
        let is_reused = known != Prior::Unknown && stored.version <= newest;
        match known {
            Prior::Present(known) if known == stored => Comparison::Same,
            _ if history.contains(stored) => Comparison::Outdated,
            _ if is_reused && backup.contains(stored.version) => Comparison::Outdated,
            _ if is_reused => Comparison::Ambiguous,
            _ => Comparison::New,
        }
    }
}

/// What the row of a table describes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// The configuration, which contains its own revision.
    Configuration,
    /// An order of the operator.
    Order,
    /// An upstream, which writes its own row.
    Upstream,
    /// A record written by entries.
    Record,
}

/// The known state of a row as compared with the stored one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Local {
    /// The row does not exist.
    Absent,
    /// The row exists.
    Present,
    /// The row is newer than the stored one by its content: it has a higher revision, or says that
    /// the same start of an upstream is leaving.
    Newer,
}

/// Which state of a row holds after a restore.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Resolution {
    /// The stored state replaces the known one.
    Replace,
    /// The known state is kept until the row is written again, or at most for this time.
    Retain(Option<Span>),
}

impl Resolution {
    /// Decides which state of a row holds.
    pub fn of(kind: Kind, comparison: Comparison, known: Local) -> Resolution {
        match (kind, comparison, known) {
            (_, Comparison::Same, _) | (_, Comparison::Missing, Local::Absent) => {
                Resolution::Replace
            }
            (Kind::Configuration, Comparison::Missing, _) => Resolution::Retain(None),
            // Written after the restore, so the store's order counts again.
            (Kind::Upstream, Comparison::New, _) => Resolution::Replace,
            (Kind::Configuration | Kind::Upstream, _, Local::Newer) => Resolution::Retain(None),
            (Kind::Configuration, ..) => Resolution::Replace,
            (Kind::Order, Comparison::Missing | Comparison::Outdated, _) => {
                Resolution::Retain(Some(ORDER_RETENTION))
            }
            (Kind::Order | Kind::Record, Comparison::Ambiguous, _) => {
                Resolution::Retain(Some(AMBIGUOUS_RETENTION))
            }
            (Kind::Upstream, Comparison::Missing, _) => {
                Resolution::Retain(Some(UPSTREAM_RETENTION))
            }
            (Kind::Upstream, Comparison::Outdated | Comparison::Ambiguous, Local::Absent) => {
                Resolution::Retain(Some(DEPARTURE_RETENTION))
            }
            (Kind::Record, Comparison::Missing | Comparison::Outdated, _) => {
                Resolution::Retain(None)
            }
            _ => Resolution::Replace,
        }
    }
}
