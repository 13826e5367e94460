//! What this process knows of the tables in the platform's store, and what a
//! change of them means.
//!
//! Pages come from the store or, while it is out of reach, from other entries;
//! an older page never replaces a newer one.

use super::holds::{self, Record};
use super::pack;
use super::replica::{Case, Kept, Replica, Rows, Share};
use super::rules;
use sorreldeck::era::{Era, Eras, Heard, Stamp};
use sorreldeck::follow::{Peer, Watermark};
use sorreldeck::quarantine::Fingerprint;
use sorreldeck::release::{Order, State};
use sorreldeck::wire::{Have, TableDelta};
use sorreldeck::{Hall, Incarnation, Span, Time, UpstreamId};
use sorreldeck_platform::config::{self, Configuration};
use sorreldeck_platform::member::{self, Listed};
use sorreldeck_platform::store::{Page, Row, CONFIG, MOVE};
use sorreldeck_platform::{hall, release, Table};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// The beginning of the keys of rows in which entries tell where they are.
pub const ENTRY: &str = "entry/";
/// How long rows that many upstreams lost at once may take to come back: leases that lapsed
/// while the store was down are renewed within about 2 s, and an upstream that left must get
/// nothing more after 2 s.
const COMES_BACK: Span = Span::from_millis(1_800);
/// The upstreams that vanish at once from which on their leases are taken to have lapsed, and
/// the part of all that they must be: a few that leave together vanish in one page, too.
const MANY: usize = 3;
const MANY_OF: usize = 2;

/// The longest time between two answers of the store that is not away: a wait takes up to 1.4 s.
const HEARD: Span = Span::from_millis(1_500);

/// The upstreams whose latest start is remembered before those that left are forgotten: at 600
/// upstreams and a move of all of them a minute, some 7 minutes.
const MOST_BORN: usize = 4_096;

/// What a change of the tables means.
#[derive(Debug)]
pub enum News {
    /// A newer configuration.
    Config(Box<Configuration>),
    /// An upstream can be called.
    Joined(Box<Listed>),
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
    Held(Fingerprint, Option<Record>),
}

/// What cannot be understood, for the log.
#[derive(Clone, Debug)]
pub struct Trouble {
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
pub struct Held {
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
pub enum Taken {
    /// They were known.
    Old,
    /// Changes before them are missing.
    Gap,
    /// They were taken in.
    News(Vec<News>),
}

/// A row that is to be written again, since the store has lost it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Again {
    /// The table.
    pub table: Table,
    /// The key.
    pub key: String,
    /// The value, or `None` where the row is to be dropped.
    pub value: Option<Vec<u8>>,
    /// The version that the row has in the store, 0 where it is not there.
    pub version: u64,
}

/// An order, and when its row was written.
#[derive(Clone, Debug)]
struct Written {
    value: Vec<u8>,
    /// When it was written first.
    first: Stamp,
    /// When it was written last: after a loss by the operator once more.
    last: Stamp,
}

/// One start of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Start {
    /// Which one, where the upstream tells.
    born: Option<Incarnation>,
    address: SocketAddr,
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
    troubles: Vec<Trouble>,
    held: Vec<Held>,
    ignored: Vec<Ignored>,
    replaced: Vec<Replaced>,
    eras: Eras,
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
            eras: Eras::default(),
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
    pub fn have(&self) -> Have {
        Have {
            versions: Table::ALL.map(|table| self.base(table).unwrap_or(0)),
            era: self.era(),
        }
    }

    /// Returns whether anything is known of what the operator wants.
    pub fn is_informed(&self) -> bool {
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
    pub fn stored(&self, table: Table) -> impl Iterator<Item = &Row> {
        let replica = self.tables.get(&table);
        replica.into_iter().flat_map(Replica::stored)
    }

    /// Returns what holds of a table though the store has lost it.
    pub fn kept(&self, table: Table) -> impl Iterator<Item = &Kept> {
        let replica = self.tables.get(&table);
        replica.into_iter().flat_map(Replica::kept)
    }

    /// Returns what could not be understood since the last call.
    pub fn troubles(&mut self) -> Vec<Trouble> {
        std::mem::take(&mut self.troubles)
    }

    /// Returns which upstreams are held though their rows vanished, since the last call.
    pub fn held(&mut self) -> Vec<Held> {
        std::mem::take(&mut self.held)
    }

    /// Returns the pages that were ignored since the last call.
    pub fn ignored(&mut self) -> Vec<Ignored> {
        std::mem::take(&mut self.ignored)
    }

    /// Returns the tables that were read whole after the store came back from a copy, since the
    /// last call.
    pub fn replaced(&mut self) -> Vec<Replaced> {
        std::mem::take(&mut self.replaced)
    }

    /// Returns the era before the store came back from a copy, if it did since the last call.
    pub fn restored(&mut self) -> Option<Era> {
        self.restored.take()
    }

    /// Returns the era of the store that is known.
    pub fn era(&self) -> Era {
        self.eras.current()
    }

    /// Takes in of which era a page is that the store gave in answer to a call begun at `asked`. After
    /// a [restore](Heard::Restored) nothing but whole tables may be [applied](Mirror::apply).
    pub fn hear(
        &mut self,
        table: Table,
        page: &Page,
        whole: bool,
        asked: Time,
        now: Time,
    ) -> Heard {
        let fell = whole && self.base(table).is_some_and(|known| page.version < known);
        let heard = self.eras.hear(page.era, fell, asked, now);
        self.note_era(heard);
        heard
    }

    /// Takes in the era that another entry tells.
    fn learn_era(&mut self, told: Era, now: Time) -> Heard {
        let heard = self.eras.learn(told, now);
        self.note_era(heard);
        heard
    }

    fn note_era(&mut self, heard: Heard) {
        if let Heard::Restored { before } = heard {
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
    pub fn own_time(&self, micros: u64) -> Option<Time> {
        let ahead = self.ahead?;
        Some(Time((micros as i64 + ahead).max(0) as u64))
    }

    /// Notes that a table could not be read.
    pub fn failed(&mut self, table: Table) {
        self.tables.entry(table).or_default().failing = true;
    }

    /// Returns whether the last read of a table failed.
    pub fn is_failing(&self, table: Table) -> bool {
        self.tables.get(&table).is_some_and(|t| t.failing)
    }

    /// Takes in a page of the store; `whole` says that rows which are not in it are gone.
    pub fn apply(&mut self, table: Table, page: Page, whole: bool, now: Time) -> Vec<News> {
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
        self.watermark.named(version, now);
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
    ) -> Vec<News> {
        let era = self.era();
        let copy = self.tables.entry(table).or_default();
        let before = copy.stamp;
        let changes = page.rows.iter().map(|row| row.version);
        self.watermark.known(table as usize, page.version, changes);
        let fate = |case: &Case<'_>| rules::fate(table, case);
        let mut changed = copy.take(page, era, whole, fate);
        changed.extend(copy.keep(kept));
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
    fn news(&mut self, table: Table, changed: &[String], now: Time) -> Vec<News> {
        match table {
            Table::Operator | Table::Progress => self.operator_news(table, changed),
            Table::Own => self.own_news(changed),
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
    ) -> Vec<News> {
        let stamp = Stamp::new(page.era.unwrap_or_default(), page.version);
        let is_late = self.learn_era(stamp.era, now) == Heard::Late;
        if is_late || stamp <= self.stamp(table) {
            return Vec::new();
        }
        self.put(table, page, true, kept, now)
    }

    /// Returns the tables that must be asked anew, since the store named a version that long
    /// ago whose change was told of by no table.
    pub fn behind(&self, now: Time, patience: Span) -> Vec<Table> {
        let behind = self.watermark.behind(now, patience).into_iter();
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
        let Share { since, rows } = copy.share(have);
        let (rows, packed) = match rows {
            Rows::Plain(rows) => (rows, None),
            Rows::Packed(bytes) => (Vec::new(), Some(bytes.into())),
        };
        let kept = copy.kept().filter(|_| since.is_none());
        let kept = kept.map(pack::kept_row).collect();
        Some(TableDelta {
            kept,
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
    pub fn take(&mut self, delta: TableDelta, now: Time) -> Taken {
        let Some(table) = Table::ALL.get(delta.number).copied() else {
            return Taken::Old;
        };
        let stamp = Stamp::new(delta.era, delta.version);
        let is_late = self.learn_era(stamp.era, now) == Heard::Late;
        if is_late || stamp <= self.stamp(table) {
            return Taken::Old;
        }
        let known = self.stamp(table);
        if delta
            .since
            .is_some_and(|since| Stamp::new(stamp.era, since) > known)
        {
            return Taken::Gap;
        }
        let unpacked = delta.packed.map(|packed| pack::unpack(&packed));
        let rows = match unpacked.unwrap_or(Ok(delta.rows)) {
            Ok(rows) => rows,
            Err(message) => {
                self.troubles.push(Trouble {
                    table,
                    key: "a packed table".to_owned(),
                    message,
                });
                return Taken::Gap;
            }
        };
        let page = Page {
            rows: rows.into_iter().map(pack::row).collect(),
            version: delta.version,
            now: Duration::ZERO,
            era: Some(stamp.era),
        };
        let whole = delta.since.is_none();
        let kept = delta.kept.into_iter().map(pack::kept);
        Taken::News(self.put(table, page, whole, kept.collect(), now))
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
    pub fn tick(&mut self, now: Time, heard: Option<Time>) -> Vec<News> {
        let due = self.missing.iter().filter(|(_, at)| now >= **at);
        let due: Vec<String> = due.map(|(id, _)| id.clone()).collect();
        let mut news: Vec<News> = due.iter().filter_map(|id| self.retire(id)).collect();
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
                let (stored, gone): (Vec<_>, Vec<_>) = over
                    .into_iter()
                    .partition(|id| self.row(table, id).is_some());
                news.extend(gone.iter().filter_map(|id| self.retire(id)));
                news.extend(self.upstream_news(&stored, now));
            } else {
                news.extend(self.news(table, &over, now));
            }
        }
        news
    }

    fn understand<T>(&mut self, table: Table, key: &str, read: sorreldeck::Result<T>) -> Option<T> {
        let message = match read {
            Ok(value) => return Some(value),
            Err(e) => e.to_string(),
        };
        self.troubles.push(Trouble {
            table,
            key: key.to_owned(),
            message,
        });
        None
    }

    fn operator_news(&mut self, table: Table, changed: &[String]) -> Vec<News> {
        let mut news = Vec::new();
        for key in changed {
            if table == Table::Operator && key == CONFIG {
                let row = self.row(table, key).and_then(|row| row.value.clone());
                let read = row.map(|buf| config::decode(&buf));
                let config = read.and_then(|read| self.understand(table, key, read));
                news.extend(config.map(|c| News::Config(Box::new(c))));
            }
            if key.starts_with(MOVE) {
                news.extend(self.move_news(key));
            }
        }
        let orders = |key: &String| table == Table::Operator && hall::of_key(key).is_some();
        if changed.iter().any(orders) {
            news.push(News::Evacuated(self.evacuated()));
        }
        news
    }

    /// Returns the data halls that are to be empty.
    fn evacuated(&mut self) -> BTreeSet<Hall> {
        let keys = self.rows(Table::Operator).map(|row| row.key.clone());
        let orders = keys.filter_map(|key| hall::of_key(&key).map(|hall| (key, hall)));
        let orders: Vec<_> = orders.collect();
        let halls = orders
            .into_iter()
            .filter_map(|(key, hall)| self.understand(Table::Operator, &key, hall));
        halls.collect()
    }

    /// Puts together what three tables tell of a move.
    fn move_news(&mut self, key: &str) -> Option<News> {
        let value = self.row(Table::Operator, key)?.value.clone()?;
        let number = self.number_of(key, &value)?;
        let read = release::decode(&value, number);
        let read = self.understand(Table::Operator, key, read)?;
        let told = self.row(Table::Progress, key).cloned();
        // What was told before the order belongs to an earlier one.
        let told = told.filter(|_| self.row_stamp(Table::Progress, key) > Some(number));
        let state = told.and_then(|row| {
            let state = release::decode_state(row.value.as_deref()?);
            self.understand(Table::Progress, key, state)
        });
        let state = state.filter(|(to, _)| *to == read.to).map(|(_, s)| s);
        let began = state.and_then(|_| self.began(key));
        Some(News::Move(read, state, began))
    }

    /// Returns when an order was first written. One that is written again after the store lost it, or
    /// that stands in the copy, is the same order.
    fn number_of(&mut self, key: &str, value: &[u8]) -> Option<Stamp> {
        let stamp = self.row_stamp(Table::Operator, key)?;
        let known = self.orders.get_mut(key).filter(|known| {
            let is_again = stamp.era > known.last.era || stamp == known.last;
            known.value == value && is_again
        });
        if let Some(known) = known {
            known.last = stamp;
            return Some(known.first);
        }
        let written = Written {
            value: value.to_owned(),
            first: stamp,
            last: stamp,
        };
        self.orders.insert(key.to_owned(), written);
        Some(stamp)
    }

    /// Returns when a row that holds was written.
    fn row_stamp(&self, table: Table, key: &str) -> Option<Stamp> {
        self.tables.get(&table)?.row_stamp(key)
    }

    /// Returns the rows of entries that the store has lost and that are to be written again; `own`
    /// is the key under which this entry tells where it is.
    pub fn lost(&self, own: &str, now: Time) -> Vec<Again> {
        let tables = [Table::Progress, Table::Own];
        let kept = tables.into_iter().flat_map(|table| {
            let kept = self.kept(table).filter(|kept| kept.left.is_none());
            kept.map(move |kept| (table, &kept.row))
        });
        let is_ours = |row: &Row| !row.key.starts_with(ENTRY) || row.key == own;
        let kept = kept.filter(move |(_, row)| is_ours(row));
        let behind = self.behind_order().map(|row| (Table::Progress, row));
        let lost = kept.chain(behind).map(|(table, row)| Again {
            table,
            key: row.key.clone(),
            value: row.value.clone(),
            version: self.row_version(table, &row.key),
        });
        lost.chain(self.unbegun(now)).collect()
    }

    /// Returns the beginnings of moves that nobody knows though they are recorded: the store lost
    /// them before they were heard of. Such a move begins now.
    fn unbegun(&self, now: Time) -> Vec<Again> {
        let orders = self.orders.keys().filter(|_| self.was_restored);
        let is_unbegun = |key: &&String| {
            let record = self.row(Table::Progress, key);
            let state = record.and_then(|row| release::decode_state(row.value.as_deref()?).ok());
            let is_running = state.is_some_and(|(_, state)| state == State::Running);
            is_running && self.row(Table::Own, key).is_none()
        };
        let time = self.store_time(now).map(|micros| micros.to_string());
        let again = |key: &String| {
            Some(Again {
                table: Table::Own,
                key: key.clone(),
                value: Some(time.clone()?.into_bytes()),
                version: 0,
            })
        };
        orders.filter(is_unbegun).filter_map(again).collect()
    }

    /// Returns the records of moves that stand before their order in the store, though they were made
    /// after it: whoever starts now would take them for those of an earlier one.
    fn behind_order(&self) -> impl Iterator<Item = &Row> {
        let orders = self
            .orders
            .iter()
            .filter(|(_, order)| order.last > order.first);
        orders.filter_map(|(key, order)| {
            let told = self.row_stamp(Table::Progress, key)?;
            let stored = self.row_version(Table::Progress, key);
            let is_behind = stored > 0 && stored < self.row_version(Table::Operator, key);
            let is_told = told > order.first && is_behind;
            self.row(Table::Progress, key).filter(|_| is_told)
        })
    }

    /// Returns when the record of a move was begun, on this process's clock.
    fn began(&self, key: &str) -> Option<Time> {
        let row = self.row(Table::Own, key)?.value.as_deref()?;
        let micros: u64 = std::str::from_utf8(row).ok()?.parse().ok()?;
        self.own_time(micros)
    }

    fn own_news(&mut self, changed: &[String]) -> Vec<News> {
        let mut news = Vec::new();
        for key in changed {
            if key.starts_with(MOVE) {
                news.extend(self.move_news(key));
            }
            news.extend(self.entry_news(key));
            news.extend(self.held_news(key));
        }
        news
    }

    fn entry_news(&mut self, key: &str) -> Option<News> {
        key.strip_prefix(ENTRY)?;
        let value = self.row(Table::Own, key)?.value.clone()?;
        let read = serde_json::from_slice(&value).map_err(|e| {
            let message = format!("an entry: {e}");
            sorreldeck::Error::new(sorreldeck::Category::Invalid, message)
        });
        self.understand(Table::Own, key, read).map(News::Entry)
    }

    fn held_news(&mut self, key: &str) -> Option<News> {
        let fingerprint = key.strip_prefix(holds::HELD)?.parse();
        let fingerprint = self.understand(Table::Own, key, fingerprint)?;
        let row = self.row(Table::Own, key);
        let Some(value) = row.and_then(|row| row.value.clone()) else {
            return Some(News::Held(fingerprint, None));
        };
        let record = self.understand(Table::Own, key, holds::decode(&value))?;
        Some(News::Held(fingerprint, Some(record)))
    }

    fn upstream_news(&mut self, changed: &[String], now: Time) -> Vec<News> {
        let mut news = self.gone_news(changed, now);
        for id in changed {
            let row = self.row(Table::Upstreams, id).cloned();
            let Some(buf) = row.and_then(|row| row.value) else {
                continue;
            };
            let read = member::decode(id, &buf);
            match self.understand(Table::Upstreams, id, read) {
                Some(listed) => news.extend(self.list(id, listed)),
                // Whoever wrote that, the upstream's row is gone.
                None => news.extend(self.retire(id)),
            }
        }
        news
    }

    /// Returns what it means that rows of upstreams are gone.
    fn gone_news(&mut self, changed: &[String], now: Time) -> Vec<News> {
        // Rows of upstreams that were left before go at any time, many in one page.
        let is_gone = |id: &&String| {
            self.listed.contains_key(*id) && self.row(Table::Upstreams, id).is_none()
        };
        let gone: Vec<String> = changed.iter().filter(is_gone).cloned().collect();
        if gone.is_empty() || !self.have_lapsed(gone.len()) {
            return gone.iter().filter_map(|id| self.retire(id)).collect();
        }
        for id in &gone {
            self.missing.entry(id.clone()).or_insert(now + COMES_BACK);
        }
        self.held.push(Held {
            keys: gone,
            listed: self.listed.len(),
            span: COMES_BACK,
        });
        Vec::new()
    }

    /// Returns whether so many upstreams that vanish at once look like leases that lapsed.
    ///
    /// The rows themselves tell it, whatever befell the calls of this entry or of those that
    /// it has the tables from: what fails there may be one connection, or the way of one entry
    /// to a store that is well, and upstreams that left without a word would be kept.
    fn have_lapsed(&self, gone: usize) -> bool {
        let vanished = gone + self.missing.len();
        vanished >= MANY && vanished * MANY_OF >= self.listed.len()
    }

    fn note_born(&mut self, id: &str, born: Option<Incarnation>) {
        let Some(born) = born else {
            return;
        };
        if self.born.len() >= MOST_BORN {
            let listed = &self.listed;
            self.born.retain(|id, _| listed.contains_key(id));
        }
        self.born.insert(id.to_owned(), born);
    }

    /// Takes in the row of an upstream. A newer start under the same name is another upstream: it
    /// knows nothing of before, and runs and connections begun before are the former one's.
    /// An older one that is heard of late changes nothing.
    fn list(&mut self, id: &str, listed: Listed) -> Vec<News> {
        let latest = self.born.get(id).copied();
        let born = listed.member.place.start.or(latest);
        if born < latest {
            return Vec::new();
        }
        self.note_born(id, born);
        let start = Start {
            born,
            address: listed.address,
        };
        let known = self.listed.get(id).copied();
        self.missing.remove(id);
        if listed.leaving {
            return self.retire(id).into_iter().collect();
        }
        let cold = News::Cold(listed.member.upstream.clone(), listed.cold);
        let cold = (listed.cold > Span::default()).then_some(cold);
        if known == Some(start) {
            return cold.into_iter().collect();
        }
        let mut news: Vec<News> = self.retire(id).into_iter().collect();
        self.listed.insert(id.to_owned(), start);
        news.push(News::Joined(Box::new(listed)));
        news.extend(cold);
        news
    }

    fn retire(&mut self, id: &str) -> Option<News> {
        self.missing.remove(id);
        self.listed.remove(id)?;
        Some(News::Retired(id.parse().ok()?))
    }
}
