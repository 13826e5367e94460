//! What this process knows of the tables in the platform's store, and what a
//! change of them means.
//!
//! Pages come from the store or, while it is out of reach, from other entries;
//! an older page never replaces a newer one.

mod moves;
mod upstreams;

pub use moves::Rewrite;

use self::moves::Written;
use self::upstreams::Start;
use super::holds::{self, Record};
use super::pack;
use super::reconcile;
use super::replica::{Conflict, Delta, Kept, Replica, Rows};
use sorreldeck::era::{Era, Freshness, Stamp, Tracker};
use sorreldeck::quarantine::Fingerprint;
use sorreldeck::release::{Order, State};
use sorreldeck::replication::{Peer, Watermark};
use sorreldeck::wire::{Cursor, TableDelta};
use sorreldeck::{Hall, Incarnation, Span, Time, UpstreamId};
use sorreldeck_platform::config::{self, Configuration};
use sorreldeck_platform::member::Registration;
use sorreldeck_platform::store::{Page, Row, CONFIG_KEY, ROLLOUT_PREFIX};
use sorreldeck_platform::{hall, Table};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The beginning of the keys of rows in which entries tell where they are.
pub const ENTRY_PREFIX: &str = "entry/";
/// The longest time between two answers of the store that is not away: a wait takes up to 1.4 s.
const HEARD: Span = Span::from_millis(1_500);

/// What a change of the tables means.
#[derive(Debug)]
pub enum Update {
    /// A newer configuration.
    Config(Box<Configuration>),
    /// An upstream can be called.
    Joined(Box<Registration>),
    /// An upstream takes no new work.
    Retired(UpstreamId),
    /// An upstream is cold for so long yet.
    Cold(UpstreamId, Span),
    /// The data halls that are to be empty, all of them.
    Evacuated(BTreeSet<Hall>),
    /// A move to another release, its record and when that was made.
    Move(Order, Option<State>, Option<Time>),
    /// An entry that can be asked, and has announced itself.
    Entry(Peer),
    /// What is recorded of a request that is held back, or that nothing is any more.
    Quarantine(Fingerprint, Option<Record>),
}

/// What cannot be understood, for the log.
#[derive(Clone, Debug)]
pub struct Malformed {
    /// The table.
    pub table: Table,
    /// The key of the row.
    pub key: String,
    /// A sentence for people.
    pub message: String,
}

/// Upstreams whose rows vanished and that are kept, since their leases may have lapsed; for
/// the log.
#[derive(Clone, Debug)]
pub struct Suspects {
    /// Their keys.
    pub keys: Vec<String>,
    /// How many upstreams were listed before.
    pub listed: usize,
    /// For how long they are kept.
    pub span: Span,
}

/// A page that was read and changes nothing, since a later version is known or the table must
/// be read whole; for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ignored {
    /// The table.
    pub table: Table,
    /// The version that the page names.
    pub version: u64,
    /// What is known.
    pub known: Stamp,
    /// The era that the store told with it.
    pub era: Option<Era>,
}

/// A table that was read whole after the store came back from a copy; for the log.
#[derive(Clone, Debug)]
pub struct Replaced {
    /// The table.
    pub table: Table,
    /// What was known of it.
    pub before: Stamp,
    /// What is known of it now.
    pub now: Stamp,
    /// The keys of rows that hold though the store has lost them.
    pub kept: Vec<String>,
}

/// What became of changes that another entry handed on.
#[derive(Debug)]
pub enum Merge {
    /// They were known.
    Stale,
    /// Changes before them are missing.
    Gap,
    /// They were taken in.
    Applied(Vec<Update>),
}

/// What this process knows of the tables.
#[derive(Clone, Debug)]
pub struct Mirror {
    tables: BTreeMap<Table, Replica>,
    watermark: Watermark,
    /// The upstreams that may get requests, and which start of each that is.
    listed: BTreeMap<String, Start>,
    /// The latest start of each upstream that tells it, also of those that left.
    born: BTreeMap<String, Incarnation>,
    missing: BTreeMap<String, Time>,
    /// The orders to move to a release that were seen last, by key.
    orders: BTreeMap<String, Written>,
    /// Up to when it was looked at what holds no longer.
    ticked: Time,
    /// How far this process's clock is ahead of the store's, in microseconds.
    ahead: Option<i64>,
    troubles: Vec<Malformed>,
    held: Vec<Suspects>,
    ignored: Vec<Ignored>,
    replaced: Vec<Replaced>,
    eras: Tracker,
    /// The era before the store came back from a copy, until that is told of.
    restored: Option<Era>,
    /// Whether it ever did in this life.
    was_restored: bool,
}

impl Default for Mirror {
    fn default() -> Mirror {
        Mirror {
            tables: BTreeMap::new(),
            watermark: Watermark::new(Table::ALL.len()),
            listed: BTreeMap::new(),
            born: BTreeMap::new(),
            missing: BTreeMap::new(),
            orders: BTreeMap::new(),
            ticked: Time::default(),
            ahead: None,
            troubles: Vec::new(),
            held: Vec::new(),
            ignored: Vec::new(),
            replaced: Vec::new(),
            eras: Tracker::default(),
            restored: None,
            was_restored: false,
        }
    }
}

impl Mirror {
    /// Returns the version up to which a table is known, in whichever era.
    pub fn version(&self, table: Table) -> u64 {
        self.stamp(table).version
    }

    /// Returns up to which version of which era a table is known.
    pub fn stamp(&self, table: Table) -> Stamp {
        self.tables
            .get(&table)
            .map_or_else(Stamp::default, |t| t.stamp)
    }

    /// Returns the version after which changes of a table can be asked for, or `None` where the
    /// table must be read whole, since it is not known in the era of the store.
    pub fn base(&self, table: Table) -> Option<u64> {
        let stamp = self.stamp(table);
        let is_known = stamp.version > 0 && stamp.era == self.era();
        is_known.then_some(stamp.version)
    }

    /// Returns up to which versions all tables are known in the era of the store.
    pub fn have(&self) -> Cursor {
        Cursor {
            versions: Table::ALL.map(|table| self.base(table).unwrap_or(0)),
            era: self.era(),
        }
    }

    /// Returns whether anything is known of what the operator wants.
    pub fn has_operator_table(&self) -> bool {
        self.version(Table::Operator) > 0
    }

    /// Returns the version of a row in the store, or 0 if there is none.
    pub fn row_version(&self, table: Table, key: &str) -> u64 {
        let replica = self.tables.get(&table);
        replica.map_or(0, |t| t.stored_version(key))
    }

    /// Returns a row as it holds.
    pub fn row(&self, table: Table, key: &str) -> Option<&Row> {
        self.tables.get(&table)?.row(key)
    }

    /// Returns the rows of a table as they hold.
    pub fn rows(&self, table: Table) -> impl Iterator<Item = &Row> {
        let replica = self.tables.get(&table);
        replica.into_iter().flat_map(Replica::rows)
    }

    /// Returns the rows of a table in the store.
    pub fn stored_rows(&self, table: Table) -> impl Iterator<Item = &Row> {
        let replica = self.tables.get(&table);
        replica.into_iter().flat_map(Replica::stored)
    }

    /// Returns what holds of a table though the store has lost it.
    pub fn kept(&self, table: Table) -> impl Iterator<Item = &Kept> {
        let replica = self.tables.get(&table);
        replica.into_iter().flat_map(Replica::kept)
    }

    /// Returns what could not be understood since the last call.
    pub fn take_malformed(&mut self) -> Vec<Malformed> {
        std::mem::take(&mut self.troubles)
    }

    /// Returns which upstreams are held though their rows vanished, since the last call.
    pub fn take_suspects(&mut self) -> Vec<Suspects> {
        std::mem::take(&mut self.held)
    }

    /// Returns the pages that were ignored since the last call.
    pub fn take_ignored(&mut self) -> Vec<Ignored> {
        std::mem::take(&mut self.ignored)
    }

    /// Returns the tables that were read whole after the store came back from a copy, since the
    /// last call.
    pub fn take_replaced(&mut self) -> Vec<Replaced> {
        std::mem::take(&mut self.replaced)
    }

    /// Returns the era before the store came back from a copy, if it did since the last call.
    pub fn take_restored(&mut self) -> Option<Era> {
        self.restored.take()
    }

    /// Returns the era of the store that is known.
    pub fn era(&self) -> Era {
        self.eras.current()
    }

    /// Takes in of which era a page is that the store gave in answer to a call begun at `asked`. After
    /// a [restore](Freshness::Restored) nothing but whole tables may be [applied](Mirror::apply).
    pub fn observe_era(
        &mut self,
        table: Table,
        page: &Page,
        whole: bool,
        asked: Time,
        now: Time,
    ) -> Freshness {
        let fell = whole && self.base(table).is_some_and(|known| page.version < known);
        let heard = self.eras.observe(page.era, fell, asked, now);
        self.note_era(heard);
        heard
    }

    /// Takes in the era of what another entry tells of a table; returns whether it is later than what
    /// is known of that.
    fn is_news(&mut self, table: Table, told: Stamp, now: Time) -> bool {
        let heard = self.eras.observe_peer(told.era, now);
        self.note_era(heard);
        heard != Freshness::Stale && told > self.stamp(table)
    }

    fn note_era(&mut self, heard: Freshness) {
        if let Freshness::Restored { before } = heard {
            self.restored.get_or_insert(before);
            self.was_restored = true;
            self.watermark = Watermark::new(Table::ALL.len());
        }
    }

    /// Returns the time on the store's clock, if one was heard.
    pub fn store_time(&self, now: Time) -> Option<u64> {
        let ahead = self.ahead?;
        Some((now.0 as i64 - ahead).max(0) as u64)
    }

    /// Returns a time on the store's clock as one on this process's clock, if one was heard.
    pub fn local_time(&self, micros: u64) -> Option<Time> {
        let ahead = self.ahead?;
        Some(Time((micros as i64 + ahead).max(0) as u64))
    }

    /// Notes that a table could not be read.
    pub fn mark_failing(&mut self, table: Table) {
        self.tables.entry(table).or_default().failing = true;
    }

    /// Returns whether the last read of a table failed.
    pub fn is_failing(&self, table: Table) -> bool {
        self.tables.get(&table).is_some_and(|t| t.failing)
    }

    /// Takes in a page of the store; `whole` says that rows which are not in it are gone.
    pub fn apply(&mut self, table: Table, page: Page, whole: bool, now: Time) -> Vec<Update> {
        if !page.now.is_zero() {
            self.note_clock(page.now.as_micros() as u64, now);
        }
        self.tables.entry(table).or_default().failing = false;
        let version = page.version;
        let known = self.stamp(table);
        let is_same_era = known.era == self.era();
        let is_older = is_same_era && version < known.version;
        if is_older || !(whole || is_same_era) {
            self.ignored.push(Ignored {
                table,
                version,
                known,
                era: page.era,
            });
            return Vec::new();
        }
        let news = self.put(table, page, whole, Vec::new(), now);
        self.watermark.observe(version, now);
        news
    }

    /// Takes in a page of the era that is known, which is not older than what is known.
    fn put(
        &mut self,
        table: Table,
        page: Page,
        whole: bool,
        kept: Vec<Kept>,
        now: Time,
    ) -> Vec<Update> {
        let era = self.era();
        let copy = self.tables.entry(table).or_default();
        let before = copy.stamp;
        let changes = page.rows.iter().map(|row| row.version);
        self.watermark
            .advance(table as usize, page.version, changes);
        let fate = |case: &Conflict<'_>| reconcile::fate(table, case);
        let mut changed = copy.apply(page, era, whole, fate);
        changed.extend(copy.merge_kept(kept));
        if before.era != era {
            self.ticked = self.ticked.max(now);
        }
        if before.era != era && before.version > 0 {
            let kept = copy.kept().map(|kept| kept.row.key.clone());
            self.replaced.push(Replaced {
                table,
                before,
                now: copy.stamp,
                kept: kept.collect(),
            });
        }
        self.news(table, &changed, now)
    }

    /// Returns what it means that rows changed.
    fn news(&mut self, table: Table, changed: &[String], now: Time) -> Vec<Update> {
        match table {
            Table::Operator | Table::Progress => self.operator_news(table, changed),
            Table::Own => self.own_news(changed),
            Table::Duties => Vec::new(),
            Table::Upstreams => self.upstream_news(changed, now),
        }
    }

    /// Takes in a page from another entry, which may know less or more.
    pub fn apply_copy(
        &mut self,
        table: Table,
        page: Page,
        kept: Vec<Kept>,
        now: Time,
    ) -> Vec<Update> {
        let stamp = Stamp::new(page.era.unwrap_or_default(), page.version);
        if !self.is_news(table, stamp, now) {
            return Vec::new();
        }
        self.put(table, page, true, kept, now)
    }

    /// Returns the tables that must be asked anew, since the store named a version that long
    /// ago whose change was told of by no table.
    pub fn behind(&self, now: Time, patience: Span) -> Vec<Table> {
        let behind = self.watermark.lagging(now, patience).into_iter();
        behind.filter_map(|n| Table::ALL.get(n).copied()).collect()
    }

    /// Returns what changed in a table after a version, to be handed on, or `None` where
    /// that version is the newest known.
    pub fn delta(&mut self, table: Table, have: Stamp) -> Option<TableDelta> {
        let copy = self.tables.get_mut(&table).filter(|t| t.stamp > have)?;
        let have = match have.era == copy.stamp.era {
            true => have.version,
            false => 0,
        };
        let Delta { since, rows } = copy.delta(have);
        let (rows, packed) = match rows {
            Rows::Plain(rows) => (rows, None),
            Rows::Packed(bytes) => (Vec::new(), Some(bytes)),
        };
        let kept = copy.kept().filter(|_| since.is_none());
        let kept = kept.map(pack::kept_row).collect();
        Some(TableDelta {
            retained: kept,
            number: table as usize,
            since,
            version: copy.stamp.version,
            era: copy.stamp.era,
            rows,
            packed,
        })
    }

    /// Returns whether rows of a table changed after a version.
    pub fn has_changed(&self, table: Table, have: Stamp) -> bool {
        let copy = self.tables.get(&table).filter(|t| t.stamp > have);
        copy.is_some_and(|t| Stamp::new(t.stamp.era, t.newest) > have)
    }

    /// Takes in changes that another entry hands on.
    pub fn apply_delta(&mut self, delta: TableDelta, now: Time) -> Merge {
        let Some(table) = Table::ALL.get(delta.number).copied() else {
            return Merge::Stale;
        };
        let stamp = Stamp::new(delta.era, delta.version);
        if !self.is_news(table, stamp, now) {
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
                self.troubles.push(Malformed {
                    table,
                    key: "a packed table".to_owned(),
                    message,
                });
                return Merge::Gap;
            }
        };
        let page = Page {
            rows: rows.into_iter().map(pack::row).collect(),
            version: delta.version,
            now: Duration::ZERO,
            era: Some(stamp.era),
        };
        let whole = delta.since.is_none();
        let kept = delta.retained.into_iter().map(pack::kept);
        Merge::Applied(self.put(table, page, whole, kept.collect(), now))
    }

    /// Takes in the time on the store's clock as another entry tells it.
    pub fn note_clock(&mut self, micros: u64, now: Time) {
        let ahead = now.0 as i64 - micros as i64;
        // The quickest answer tells the clock best.
        self.ahead = Some(self.ahead.map_or(ahead, |known| known.min(ahead)));
    }

    /// Returns what it means that rows have not come back in time.
    ///
    /// `heard` is when the store was heard last, by whatever way: what holds for a while though
    /// the store has lost it holds while nobody can write it again.
    pub fn tick(&mut self, now: Time, heard: Option<Time>) -> Vec<Update> {
        let due = self.missing.iter().filter(|(_, at)| now >= **at);
        let due: Vec<String> = due.map(|(id, _)| id.clone()).collect();
        let mut news: Vec<Update> = due.iter().filter_map(|id| self.retire(id)).collect();
        let is_heard = heard.is_some_and(|at| now.since(at) <= HEARD);
        let passed = match is_heard {
            true => now.since(self.ticked),
            false => Span::default(),
        };
        self.ticked = self.ticked.max(now);
        for table in Table::ALL {
            let copy = self.tables.get_mut(&table);
            let over = copy.map_or_else(Vec::new, |t| t.expire(passed));
            if table == Table::Upstreams {
                // They had their time, however many there are.
                let gone = over.iter().filter(|id| self.row(table, id).is_none());
                let gone: Vec<String> = gone.cloned().collect();
                news.extend(gone.iter().filter_map(|id| self.retire(id)));
            }
            news.extend(self.news(table, &over, now));
        }
        news
    }

    fn understand<T>(&mut self, table: Table, key: &str, read: sorreldeck::Result<T>) -> Option<T> {
        let message = match read {
            Ok(value) => return Some(value),
            Err(e) => e.to_string(),
        };
        self.troubles.push(Malformed {
            table,
            key: key.to_owned(),
            message,
        });
        None
    }

    fn operator_news(&mut self, table: Table, changed: &[String]) -> Vec<Update> {
        let mut news = Vec::new();
        for key in changed {
            if table == Table::Operator && key == CONFIG_KEY {
                let row = self.row(table, key).and_then(|row| row.value.clone());
                let read = row.map(|buf| config::decode(&buf));
                let config = read.and_then(|read| self.understand(table, key, read));
                news.extend(config.map(|c| Update::Config(Box::new(c))));
            }
            if key.starts_with(ROLLOUT_PREFIX) {
                news.extend(self.move_news(key));
            }
        }
        let orders = |key: &String| table == Table::Operator && hall::parse_key(key).is_some();
        if changed.iter().any(orders) {
            news.push(Update::Evacuated(self.evacuated()));
        }
        news
    }

    /// Returns the data halls that are to be empty.
    fn evacuated(&mut self) -> BTreeSet<Hall> {
        let keys = self.rows(Table::Operator).map(|row| row.key.clone());
        let orders = keys.filter_map(|key| hall::parse_key(&key).map(|hall| (key, hall)));
        let orders: Vec<_> = orders.collect();
        let halls = orders
            .into_iter()
            .filter_map(|(key, hall)| self.understand(Table::Operator, &key, hall));
        halls.collect()
    }

    fn own_news(&mut self, changed: &[String]) -> Vec<Update> {
        let mut news = Vec::new();
        for key in changed {
            if key.starts_with(ROLLOUT_PREFIX) {
                news.extend(self.move_news(key));
            }
            news.extend(self.entry_news(key));
            news.extend(self.held_news(key));
        }
        news
    }

    fn entry_news(&mut self, key: &str) -> Option<Update> {
        key.strip_prefix(ENTRY_PREFIX)?;
        let value = self.row(Table::Own, key)?.value.clone()?;
        let read = serde_json::from_slice(&value).map_err(|e| {
            let message = format!("an entry: {e}");
            sorreldeck::Error::new(sorreldeck::Category::Invalid, message)
        });
        self.understand(Table::Own, key, read).map(Update::Entry)
    }

    fn held_news(&mut self, key: &str) -> Option<Update> {
        let fingerprint = key.strip_prefix(holds::HELD_PREFIX)?.parse();
        let fingerprint = self.understand(Table::Own, key, fingerprint)?;
        let row = self.row(Table::Own, key);
        let Some(value) = row.and_then(|row| row.value.clone()) else {
            return Some(Update::Quarantine(fingerprint, None));
        };
        let record = self.understand(Table::Own, key, holds::decode(&value))?;
        Some(Update::Quarantine(fingerprint, Some(record)))
    }
}
