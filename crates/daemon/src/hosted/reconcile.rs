//! Rules per table for which state of a row is valid after the store was restored from a
//! backup.

use super::replica::Conflict;
use sorreldeck::era::{Kind, Local, Resolution};
use sorreldeck_platform::store::{Row, CONFIG_KEY};
use sorreldeck_platform::{config, member, Table};

/// Decides whether the mirrored state of a row remains valid.
pub fn resolve(table: Table, conflict: &Conflict) -> Resolution {
    let kind = kind(table, conflict.key);
    let local = match (conflict.mirrored, conflict.stored) {
        (None, _) => Local::Absent,
        (Some(local), Some(stored)) if is_later(kind, local, stored) => Local::Newer,
        (Some(_), _) => Local::Present,
    };
    Resolution::of(kind, conflict.comparison, local)
}

fn kind(table: Table, key: &str) -> Kind {
    match table {
        Table::Operator if key == CONFIG_KEY => Kind::Configuration,
        Table::Operator => Kind::Order,
        Table::Upstreams => Kind::Upstream,
        Table::Progress | Table::Own | Table::Duties => Kind::Record,
    }
}

/// Returns whether one state of a row is later than another according to their contents.
fn is_later(kind: Kind, row: &Row, other: &Row) -> bool {
    match kind {
        Kind::Configuration => revision(row) > revision(other),
        Kind::Upstream => leaves(row, other),
        Kind::Order | Kind::Record => false,
    }
}

/// Returns the revision of a configuration, or `None` if it cannot be decoded.
fn revision(row: &Row) -> Option<sorreldeck::Revision> {
    let read = config::decode(row.value.as_deref()?).ok()?;
    Some(read.tree.revision())
}

/// Returns whether one row says that an upstream leaves and another that the same incarnation
/// of it stays, and the second was not written after the first.
fn leaves(row: &Row, other: &Row) -> bool {
    let read = |row: &Row| member::decode(&row.key, row.value.as_deref()?).ok();
    let (Some(row), Some(other)) = (read(row), read(other)) else {
        return false;
    };
    let is_same = row.address == other.address
        && row.member.placement.incarnation == other.member.placement.incarnation;
    is_same && row.leaving && !other.leaving && other.sequence <= row.sequence
}
