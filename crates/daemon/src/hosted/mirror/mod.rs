//! Local mirror of the platform's store tables, and the updates that follow from changes of
//! their rows.
//!
//! Pages come from the store or, while it is unreachable, from other entries. A page older than
//! the mirrored one never replaces it.

mod moves;
mod upstreams;

pub use moves::Rewrite;

use self::moves::OrderRow;
use super::holds::{self, Record};
use super::pack;
use super::reconcile;
use super::replica::{Conflict, Delta, Replica, Retained, Rows};
use sorreldeck::era::{Era, Freshness, Stamp, Tracker};
use sorreldeck::quarantine::Fingerprint;
use sorreldeck::release::{Order, State};
use sorreldeck::replication::{Peer, Watermark};
use sorreldeck::start;
use sorreldeck::wire::{Cursor, TableDelta};
use sorreldeck::{Hall, Incarnation, Span, Time, UpstreamId};
use sorreldeck_platform::config::{self, Configuration};
use sorreldeck_platform::member::Registration;
use sorreldeck_platform::store::{Page, Row, CONFIG_KEY, ROLLOUT_PREFIX};
use sorreldeck_platform::{hall, Table};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Key prefix of the rows in which entries publish their addresses.
pub const ENTRY_PREFIX: &str = "entry/";
/// Maximum time between two answers of a reachable store: a long poll takes up to 1.4 s.
const CONTACT_TIMEOUT: Span = Span::from_millis(1_500);

/// An update that follows from changed rows.
#[derive(Debug)]
pub enum Update {
    /// A newer configuration.
    Config(Box<Configuration>),
    /// An upstream that can be called, and the number that stands for its start.
    Joined(Box<Registration>, Incarnation),
    /// An upstream that gets no new requests.
    Retired(UpstreamId),
    /// An upstream that is still warming up, and for how much longer.
    Cold(UpstreamId, Span),
    /// All data halls that are to be evacuated.
    Evacuated(BTreeSet<Hall>),
    /// A roll-out order, the state recorded for it and the time at which that record was made.
    Move(Order, Option<State>, Option<Time>),
    /// Another entry that has published its address.
    Entry(Peer),
    /// The quarantine record of a request, or `None` after the record was removed.
    Quarantine(Fingerprint, Option<Record>),
}

/// A row that could not be decoded; logged.
#[derive(Clone, Debug)]
pub struct Malformed {
    pub table: Table,
    pub key: String,
    /// The cause, for the log.
    pub message: String,
}

/// Upstreams whose rows vanished and that are retained because their leases may only have
/// lapsed; logged.
#[derive(Clone, Debug)]
pub struct Suspects {
    /// The keys of these upstreams.
    pub keys: Vec<String>,
    /// The number of upstreams that were listed before their rows vanished.
    pub listed: usize,
    /// The grace period for which they are retained.
    pub grace_period: Span,
}

/// A row of an upstream that may be late and is applied only if it stays in the store; logged.
#[derive(Clone, Debug)]
pub struct Deferred {
    pub key: String,
    /// The fields from which this follows.
    pub row: start::Row,
    /// The version of the row.
    pub version: u64,
    /// How long the row must stay.
    pub delay: Span,
}

/// A page that was ignored because a later version is known, or because the table must be read
/// as a whole first; logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ignored {
    pub table: Table,
    /// The version of the page.
    pub version: u64,
    /// The version and era that are mirrored.
    pub known: Stamp,
    /// The era that the store sent with the page.
    pub era: Option<Era>,
}

/// A table that was read as a whole after the store was restored from a backup; logged.
#[derive(Clone, Debug)]
pub struct Replaced {
    pub table: Table,
    /// The mirrored version and era before the read.
    pub before: Stamp,
    /// The mirrored version and era after the read.
    pub after: Stamp,
    /// The keys of rows that remain valid although the store lost them.
    pub retained: Vec<String>,
}

/// The outcome of applying a delta from another entry.
#[derive(Debug)]
pub enum Merge {
    /// The delta contains nothing newer.
    Stale,
    /// Changes between the mirrored version and the delta are missing.
    Gap,
    /// The delta was applied.
    Applied(Vec<Update>),
}

/// The mirrored tables of the store.
#[derive(Clone, Debug)]
pub struct Mirror {
    tables: BTreeMap<Table, Replica>,
    watermark: Watermark,
    /// The upstreams that may get requests, by key, with the start that is in use.
    listed: BTreeMap<String, Incarnation>,
    /// The starts of each upstream, including upstreams that have left.
    histories: BTreeMap<String, start::History>,
    /// The upstreams whose rows may be late, since when, and how long these must still stay in
    /// the store.
    deferred: BTreeMap<String, (Time, Span)>,
    new_deferred: Vec<Deferred>,
    grace_ends: BTreeMap<String, Time>,
    /// The latest roll-out order under each key.
    orders: BTreeMap<String, OrderRow>,
    /// The time up to which retained rows have been expired.
    expired_until: Time,
    /// How far this process's clock is ahead of the store's clock, in microseconds.
    clock_offset: Option<i64>,
    malformed: Vec<Malformed>,
    suspects: Vec<Suspects>,
    ignored: Vec<Ignored>,
    replaced: Vec<Replaced>,
    eras: Tracker,
    /// The era before the store was restored from a backup, until it is taken.
    era_before_restore: Option<Era>,
    /// Whether the store was restored from a backup during the lifetime of this process.
    was_restored: bool,
}

impl Default for Mirror {
    fn default() -> Mirror {
        Mirror {
            tables: BTreeMap::new(),
            watermark: Watermark::new(Table::ALL.len()),
            listed: BTreeMap::new(),
            histories: BTreeMap::new(),
            deferred: BTreeMap::new(),
            new_deferred: Vec::new(),
            grace_ends: BTreeMap::new(),
            orders: BTreeMap::new(),
            expired_until: Time::default(),
            clock_offset: None,
            malformed: Vec::new(),
            suspects: Vec::new(),
            ignored: Vec::new(),
            replaced: Vec::new(),
            eras: Tracker::default(),
            era_before_restore: None,
            was_restored: false,
        }
    }
}

impl Mirror {
    /// Returns the version up to which a table is mirrored, in any era.
    pub fn version(&self, table: Table) -> u64 {
        self.stamp(table).version
    }

    /// Returns the version and era up to which a table is mirrored.
    pub fn stamp(&self, table: Table) -> Stamp {
        self.tables
            .get(&table)
            .map_or_else(Stamp::default, |t| t.stamp)
    }

    /// Returns the version after which changes of a table can be requested, or `None` if the
    /// table must be read as a whole because it is not mirrored in the store's current era.
    pub fn base(&self, table: Table) -> Option<u64> {
        let stamp = self.stamp(table);
        let is_known = stamp.version > 0 && stamp.era == self.era();
        is_known.then_some(stamp.version)
    }

    /// Returns the versions up to which all tables are mirrored in the store's current era.
    pub fn cursor(&self) -> Cursor {
        Cursor {
            versions: Table::ALL.map(|table| self.base(table).unwrap_or(0)),
            era: self.era(),
        }
    }

    /// Returns whether the operator table has been received.
    pub fn has_operator_table(&self) -> bool {
        self.version(Table::Operator) > 0
    }

    /// Returns the version of a row in the store, or 0 if the store has no such row.
    pub fn row_version(&self, table: Table, key: &str) -> u64 {
        let replica = self.tables.get(&table);
        replica.map_or(0, |t| t.stored_version(key))
    }

    /// Returns the valid state of a row.
    pub fn row(&self, table: Table, key: &str) -> Option<&Row> {
        self.tables.get(&table)?.row(key)
    }

    /// Returns the valid rows of a table.
    pub fn rows(&self, table: Table) -> impl Iterator<Item = &Row> {
        let replica = self.tables.get(&table);
        replica.into_iter().flat_map(Replica::rows)
    }

    /// Returns the rows of a table as the store holds them.
    pub fn stored_rows(&self, table: Table) -> impl Iterator<Item = &Row> {
        let replica = self.tables.get(&table);
        replica.into_iter().flat_map(Replica::stored)
    }

    /// Returns the rows of a table that remain valid although the store lost them.
    pub fn retained(&self, table: Table) -> impl Iterator<Item = &Retained> {
        let replica = self.tables.get(&table);
        replica.into_iter().flat_map(Replica::retained)
    }

    /// Returns the rows that could not be decoded since the last call.
    pub fn take_malformed(&mut self) -> Vec<Malformed> {
        std::mem::take(&mut self.malformed)
    }

    /// Returns the upstreams that were retained after their rows vanished, since the last call.
    pub fn take_suspects(&mut self) -> Vec<Suspects> {
        std::mem::take(&mut self.suspects)
    }

    /// Returns the rows that were deferred since the last call.
    pub fn take_deferred(&mut self) -> Vec<Deferred> {
        std::mem::take(&mut self.new_deferred)
    }

    /// Returns the pages that were ignored since the last call.
    pub fn take_ignored(&mut self) -> Vec<Ignored> {
        std::mem::take(&mut self.ignored)
    }

    /// Returns the tables that were read as a whole after a restore of the store, since the
    /// last call.
    pub fn take_replaced(&mut self) -> Vec<Replaced> {
        std::mem::take(&mut self.replaced)
    }

    /// Returns the era before the store was restored from a backup, if that was detected since
    /// the last call.
    pub fn take_restored(&mut self) -> Option<Era> {
        self.era_before_restore.take()
    }

    /// Returns the store's current era, as far as this entry knows it.
    pub fn era(&self) -> Era {
        self.eras.current()
    }

    /// Checks the era of a page that the store sent in answer to a call begun at `asked`. After
    /// a [restore](Heard::Restored) only whole tables may be [applied](Mirror::apply).
    pub fn observe_era(
        &mut self,
        table: Table,
        page: &Page,
        whole: bool,
        asked: Time,
        now: Time,
    ) -> Freshness {
        let is_lower = whole && self.base(table).is_some_and(|known| page.version < known);
        let freshness = self.eras.observe(page.era, is_lower, asked, now);
        self.record_era(freshness);
        freshness
    }

    /// Checks the era of a table from another entry; returns whether that table is newer than
    /// the mirrored one.
    fn is_newer(&mut self, table: Table, stamp: Stamp, now: Time) -> bool {
        let freshness = self.eras.observe_peer(stamp.era, now);
        self.record_era(freshness);
        freshness != Freshness::Stale && stamp > self.stamp(table)
    }

    fn record_era(&mut self, freshness: Freshness) {
        if let Freshness::Restored { before } = freshness {
            self.era_before_restore.get_or_insert(before);
            self.was_restored = true;
            self.watermark = Watermark::new(Table::ALL.len());
        }
    }

    /// Returns the time on the store's clock, if the clock offset is known.
    pub fn store_time(&self, now: Time) -> Option<u64> {
        let clock_offset = self.clock_offset?;
        Some((now.0 as i64 - clock_offset).max(0) as u64)
    }

    /// Converts a time on the store's clock to this process's clock, if the clock offset is
    /// known.
    pub fn local_time(&self, micros: u64) -> Option<Time> {
        let clock_offset = self.clock_offset?;
        Some(Time((micros as i64 + clock_offset).max(0) as u64))
    }

    /// Marks a table as unreadable until the next page of it is applied.
    pub fn mark_failing(&mut self, table: Table) {
        self.tables.entry(table).or_default().failing = true;
    }

    /// Returns whether the last read of a table failed.
    pub fn is_failing(&self, table: Table) -> bool {
        self.tables.get(&table).is_some_and(|t| t.failing)
    }

    /// Applies a page from the store. If `whole` is set, rows that are not in the page are
    /// removed.
    pub fn apply(&mut self, table: Table, page: Page, whole: bool, now: Time) -> Vec<Update> {
        if !page.now.is_zero() {
            self.note_clock(page.now.as_micros() as u64, now);
        }
        self.tables.entry(table).or_default().failing = false;
        let version = page.version;
        let known = self.stamp(table);
        let is_current_era = known.era == self.era();
        let is_older = is_current_era && version < known.version;
        if is_older || !(whole || is_current_era) {
            self.ignored.push(Ignored {
                table,
                version,
                known,
                era: page.era,
            });
            return Vec::new();
        }
        let updates = self.apply_current(table, page, whole, Vec::new(), now);
        self.watermark.observe(version, now);
        updates
    }

    /// Applies a page of the current era that is not older than the mirrored version.
    fn apply_current(
        &mut self,
        table: Table,
        page: Page,
        whole: bool,
        retained: Vec<Retained>,
        now: Time,
    ) -> Vec<Update> {
        let era = self.era();
        let replica = self.tables.entry(table).or_default();
        let before = replica.stamp;
        let changes = page.rows.iter().map(|row| row.version);
        self.watermark
            .advance(table as usize, page.version, changes);
        let resolve = |conflict: &Conflict<'_>| reconcile::resolve(table, conflict);
        let mut changed = replica.apply(page, era, whole, resolve);
        changed.extend(replica.merge_retained(retained));
        if before.era != era {
            self.expired_until = self.expired_until.max(now);
        }
        if before.era != era && before.version > 0 {
            let retained = replica.retained().map(|retained| retained.row.key.clone());
            self.replaced.push(Replaced {
                table,
                before,
                after: replica.stamp,
                retained: retained.collect(),
            });
        }
        self.updates(table, &changed, now)
    }

    /// Returns the updates that follow from changed rows.
    fn updates(&mut self, table: Table, changed: &[String], now: Time) -> Vec<Update> {
        match table {
            Table::Operator | Table::Progress => self.operator_updates(table, changed),
            Table::Own => self.own_updates(changed),
            Table::Duties => Vec::new(),
            Table::Upstreams => self.upstream_updates(changed, now),
        }
    }

    /// Applies a copy of a table from another entry if it is newer than the mirrored one.
    pub fn apply_copy(
        &mut self,
        table: Table,
        page: Page,
        retained: Vec<Retained>,
        now: Time,
    ) -> Vec<Update> {
        let stamp = Stamp::new(page.era.unwrap_or_default(), page.version);
        if !self.is_newer(table, stamp, now) {
            return Vec::new();
        }
        self.apply_current(table, page, true, retained, now)
    }

    /// Returns the tables that must be read again: the store announced a version at least
    /// `min_age` ago, and no table contained that change since.
    pub fn behind(&self, now: Time, min_age: Span) -> Vec<Table> {
        let behind = self.watermark.lagging(now, min_age).into_iter();
        behind.filter_map(|n| Table::ALL.get(n).copied()).collect()
    }

    /// Returns the changes of a table after a version, for other entries, or `None` if nothing
    /// newer is mirrored.
    pub fn delta(&mut self, table: Table, after: Stamp) -> Option<TableDelta> {
        let replica = self.tables.get_mut(&table).filter(|t| t.stamp > after)?;
        let after = match after.era == replica.stamp.era {
            true => after.version,
            false => 0,
        };
        let Delta { since, rows } = replica.delta(after);
        let (rows, packed) = match rows {
            Rows::Plain(rows) => (rows, None),
            Rows::Packed(bytes) => (Vec::new(), Some(bytes)),
        };
        let retained = replica.retained().filter(|_| since.is_none());
        let retained = retained.map(pack::to_retained).collect();
        Some(TableDelta {
            retained,
            number: table as usize,
            since,
            version: replica.stamp.version,
            era: replica.stamp.era,
            rows,
            packed,
        })
    }

    /// Returns whether rows of a table changed after a version.
    pub fn has_changed(&self, table: Table, after: Stamp) -> bool {
        let replica = self.tables.get(&table).filter(|t| t.stamp > after);
        replica.is_some_and(|t| Stamp::new(t.stamp.era, t.newest) > after)
    }

    /// Applies changes that another entry forwarded.
    pub fn apply_delta(&mut self, delta: TableDelta, now: Time) -> Merge {
        let Some(table) = Table::ALL.get(delta.number).copied() else {
            return Merge::Stale;
        };
        let stamp = Stamp::new(delta.era, delta.version);
        if !self.is_newer(table, stamp, now) {
            return Merge::Stale;
        }
        let since = delta.since.map(|since| Stamp::new(stamp.era, since));
        if since.is_some_and(|since| since > self.stamp(table)) {
            return Merge::Gap;
        }
        let unpacked = delta.packed.map(|packed| pack::unpack(&packed));
        let rows = match unpacked.unwrap_or(Ok(delta.rows)) {
            Ok(rows) => rows,
            Err(message) => {
                self.malformed.push(Malformed {
                    table,
                    key: "a packed table".to_owned(),
                    message,
                });
                return Merge::Gap;
            }
        };
        let page = Page {
            rows: rows.into_iter().map(pack::from_tuple).collect(),
            version: delta.version,
            now: Duration::ZERO,
            era: Some(stamp.era),
        };
        let whole = delta.since.is_none();
        let retained = delta.retained.into_iter().map(pack::from_retained);
        Merge::Applied(self.apply_current(table, page, whole, retained.collect(), now))
    }

    /// Updates the clock offset from a time on the store's clock.
    pub fn note_clock(&mut self, micros: u64, now: Time) {
        let clock_offset = now.0 as i64 - micros as i64;
        // The answer with the lowest latency gives the most accurate offset.
        self.clock_offset = Some(
            self.clock_offset
                .map_or(clock_offset, |known| known.min(clock_offset)),
        );
    }

    /// Returns the updates that follow from the passing of time: retained upstreams whose grace
    /// period has ended and retained rows that have expired.
    ///
    /// `last_sync` is the time of the last sync with the store, directly or through other
    /// entries. Retained rows expire only during contact, because nobody can write them again
    /// while the store is unreachable.
    pub fn tick(&mut self, now: Time, last_sync: Option<Time>) -> Vec<Update> {
        let due = self.grace_ends.iter().filter(|(_, at)| now >= **at);
        let due: Vec<String> = due.map(|(id, _)| id.clone()).collect();
        let mut updates: Vec<Update> = due.iter().filter_map(|id| self.retire(id)).collect();
        let in_contact = last_sync.is_some_and(|at| now.since(at) <= CONTACT_TIMEOUT);
        let passed = match in_contact {
            true => now.since(self.expired_until),
            false => Span::default(),
        };
        self.expired_until = self.expired_until.max(now);
        updates.extend(self.apply_deferred(passed, now));
        for table in Table::ALL {
            let replica = self.tables.get_mut(&table);
            let expired = replica.map_or_else(Vec::new, |t| t.expire(passed));
            if table == Table::Upstreams {
                // These upstreams have already had their grace period, so they are retired
                // however many there are.
                let vanished = expired.iter().filter(|id| self.row(table, id).is_none());
                let vanished: Vec<String> = vanished.cloned().collect();
                updates.extend(vanished.iter().filter_map(|id| self.retire(id)));
            }
            updates.extend(self.updates(table, &expired, now));
        }
        updates
    }

    fn decoded<T>(&mut self, table: Table, key: &str, read: sorreldeck::Result<T>) -> Option<T> {
        let message = match read {
            Ok(value) => return Some(value),
            Err(e) => e.to_string(),
        };
        self.malformed.push(Malformed {
            table,
            key: key.to_owned(),
            message,
        });
        None
    }

    fn operator_updates(&mut self, table: Table, changed: &[String]) -> Vec<Update> {
        let mut updates = Vec::new();
        for key in changed {
            if table == Table::Operator && key == CONFIG_KEY {
                let value = self.row(table, key).and_then(|row| row.value.as_deref());
                let read = value.map(config::decode);
                let config = read.and_then(|read| self.decoded(table, key, read));
                updates.extend(config.map(|c| Update::Config(Box::new(c))));
            }
            if key.starts_with(ROLLOUT_PREFIX) {
                updates.extend(self.roll_out_update(key));
            }
        }
        let orders = |key: &String| table == Table::Operator && hall::parse_key(key).is_some();
        if changed.iter().any(orders) {
            updates.push(Update::Evacuated(self.evacuated()));
        }
        updates
    }

    /// Returns the data halls that are to be evacuated.
    fn evacuated(&mut self) -> BTreeSet<Hall> {
        let keys = self.rows(Table::Operator).map(|row| row.key.clone());
        let orders = keys.filter_map(|key| hall::parse_key(&key).map(|hall| (key, hall)));
        let orders: Vec<_> = orders.collect();
        let halls = orders
            .into_iter()
            .filter_map(|(key, hall)| self.decoded(Table::Operator, &key, hall));
        halls.collect()
    }

    fn own_updates(&mut self, changed: &[String]) -> Vec<Update> {
        let mut updates = Vec::new();
        for key in changed {
            if key.starts_with(ROLLOUT_PREFIX) {
                updates.extend(self.roll_out_update(key));
            }
            updates.extend(self.entry_update(key));
            updates.extend(self.quarantine_update(key));
        }
        updates
    }

    fn entry_update(&mut self, key: &str) -> Option<Update> {
        key.strip_prefix(ENTRY_PREFIX)?;
        let value = self.row(Table::Own, key)?.value.clone()?;
        let read = serde_json::from_slice(&value).map_err(|e| {
            let message = format!("invalid address row of an entry: {e}");
            sorreldeck::Error::new(sorreldeck::Category::Invalid, message)
        });
        self.decoded(Table::Own, key, read).map(Update::Entry)
    }

    fn quarantine_update(&mut self, key: &str) -> Option<Update> {
        let fingerprint = key.strip_prefix(holds::HELD_PREFIX)?.parse();
        let fingerprint = self.decoded(Table::Own, key, fingerprint)?;
        let row = self.row(Table::Own, key);
        let Some(value) = row.and_then(|row| row.value.clone()) else {
            return Some(Update::Quarantine(fingerprint, None));
        };
        let record = self.decoded(Table::Own, key, holds::decode(&value))?;
        Some(Update::Quarantine(fingerprint, Some(record)))
    }
}
