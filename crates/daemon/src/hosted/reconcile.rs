//! What each table's rows tell of, for the decision what holds of them after the store came back
//! from a copy.

use super::replica::Conflict;
use sorreldeck::era::{Kind, Local, Resolution};
use sorreldeck_platform::store::{Row, CONFIG_KEY};
use sorreldeck_platform::{config, member, Table};

/// Decides whether what was known of a row holds.
pub fn fate(table: Table, case: &Conflict) -> Resolution {
    let kind = kind(table, case.key);
    let known = match (case.known, case.stored) {
        (None, _) => Local::Absent,
        (Some(known), Some(stored)) if is_later(kind, known, stored) => Local::Newer,
        (Some(_), _) => Local::Present,
    };
    Resolution::of(kind, case.standing, known)
}

fn kind(table: Table, key: &str) -> Kind {
    match table {
        Table::Operator if key == CONFIG_KEY => Kind::Configuration,
        Table::Operator => Kind::Order,
        Table::Upstreams => Kind::Upstream,
        Table::Progress | Table::Own | Table::Duties => Kind::Record,
    }
}

/// Returns whether one state of a row is later than another by what both say.
fn is_later(kind: Kind, row: &Row, other: &Row) -> bool {
    match kind {
        Kind::Configuration => revision(row) > revision(other),
        Kind::Upstream => leaves(row, other),
        Kind::Order | Kind::Record => false,
    }
}

/// Returns the revision of a configuration, or `None` where it is not understood.
fn revision(row: &Row) -> Option<sorreldeck::Revision> {
    let read = config::decode(row.value.as_deref()?).ok()?;
    Some(read.tree.revision())
}

/// Returns whether a row says that an upstream leaves and another that the same start of it stays.
fn leaves(row: &Row, other: &Row) -> bool {
    let read = |row: &Row| member::decode(&row.key, row.value.as_deref()?).ok();
    let (Some(row), Some(other)) = (read(row), read(other)) else {
        return false;
    };
    let is_same = row.address == other.address
        && row.member.placement.incarnation == other.member.placement.incarnation;
    is_same && row.leaving && !other.leaving
}
