//! Hands the store's tables from entry to entry, with what entries found of moves, the long
//! prompts that they sent, the sessions that stay at their release, the requests under which
//! upstreams crashed and what upstreams said of themselves.
//!
//! [`sorreldeck::replication`] decides whom this entry has the tables from; here stand the
//! messages to and from those, and to the entries that have the tables from here. There is
//! no socket and no clock: frames go in, orders come out.

use super::hints::{Hints, Stays};
use super::mirror::{Merge, Mirror, Update};
use super::reports::Reports;
use super::usage::Usage;
use sorreldeck::duty::{Tally, Update as UsageUpdate};
use sorreldeck::era::Stamp;
use sorreldeck::notice;
use sorreldeck::pick::Link;
use sorreldeck::quarantine;
use sorreldeck::release::{Affinity, Report};
use sorreldeck::replication::{Action, Peer, Planner, Status, Subscription, Timeouts};
use sorreldeck::wire::{self, Feed, Frame, TABLE_COUNT};
use sorreldeck::{AccountId, Hall, InstanceId, PoolId, Span, Time};
use sorreldeck_platform::Table;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// How often an entry tells its sources that it is there; a link that is silent for 7 s is
/// taken for broken.
const KEEP: Span = Span::from_millis(2_000);

/// How long hints are gathered before they are told: three of these lie between two entries,
/// and a message for each prompt would be 150 a second and link.
const GATHER_HINTS: Span = Span::from_millis(40);

/// How long the first source of an entry that knows nothing may take, before the others are
/// asked as well: a whole table of 3,000 rows takes 0.2 s on the smallest instances.
const ASK_REST: Span = Span::from_millis(400);

/// How long a table that was asked anew is left alone: as long as a call may take, so that
/// none which would be answered is broken off.
const ASKED: Span = Span::from_millis(1_500);

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Open a link to an entry.
    Open(InstanceId, SocketAddr),
    /// Close a link.
    Close(Link),
    /// Send a frame.
    Send(Link, Frame),
    /// Read this much of the store; others may have its tables from here.
    Read(Subscription),
    /// Break off the wait for a table and ask for it at once.
    Poll(Table),
    /// Take in what the entries of a data hall found.
    Report(PoolId, Hall, Report),
    /// Take in that an entry sent an upstream a prompt that takes this long to be read.
    Prefill(u64, Span),
    /// Take in that an entry serves a session that stays at its release.
    Affinity(Affinity),
    /// Take in what an entry tells of requests under which upstreams crashed.
    Quarantine(quarantine::Update),
    /// Take in what an upstream said of itself to another entry.
    Notice(notice::Update),
}

/// An entry that has the tables from here.
#[derive(Clone, Debug)]
struct Taker {
    entry: InstanceId,
    hall: Hall,
    /// The versions that were sent.
    have: [Stamp; TABLE_COUNT],
    sent: Time,
    /// Up to which count of changes what was found has been sent.
    found: u64,
    /// Whether it reads the store itself.
    reads_store: bool,
    /// What it is to be told.
    hints: Hints,
}

/// An entry that this one has the tables from.
#[derive(Clone, Debug)]
struct Source {
    name: InstanceId,
    /// When the link was opened.
    since: Time,
    /// Whether it was asked for the tables.
    asked: bool,
    sent: Time,
    found: u64,
    /// Whether it was told what was counted before it was linked.
    counted: bool,
}

/// The links over which tables go from entry to entry.
#[derive(Clone, Debug)]
pub struct Relay {
    follow: Planner,
    own: Peer,
    sources: BTreeMap<Link, Source>,
    takers: BTreeMap<Link, Taker>,
    found: Reports,
    /// Whether the store did not answer this entry the last time.
    failing: bool,
    /// Which tables the store has answered for since it was away, or since they are read.
    answered: [bool; TABLE_COUNT],
    /// When each table was asked for anew last, or began to be read.
    asked: [Time; TABLE_COUNT],
    /// When it has answered for the operator's.
    operator: Time,
    /// What this entry's sources are to be told.
    hints: Hints,
    /// The sessions that stay at their release.
    stays: Stays,
    /// The source that passes on what this entry tells, if there is one.
    primary: Option<InstanceId>,
    /// Whether this entry is about to stop.
    leaving: bool,
    /// What was counted, where the platform is to be told of it.
    counted: Option<Usage>,
}

impl Relay {
    /// Creates the links of an entry; none is open.
    pub fn new(own: Peer, bounds: Timeouts) -> Relay {
        Relay {
            follow: Planner::new(own.clone(), bounds),
            own,
            sources: BTreeMap::new(),
            takers: BTreeMap::new(),
            found: Reports::default(),
            failing: false,
            answered: [false; TABLE_COUNT],
            asked: [Time::default(); TABLE_COUNT],
            operator: Time::default(),
            hints: Hints::default(),
            stays: Stays::default(),
            primary: None,
            leaving: false,
            counted: None,
        }
    }

    /// Begins to count the requests that begin to run.
    pub fn enable_usage(&mut self, tally: Tally) {
        self.counted = Some(Usage::new(tally));
    }

    /// Returns what was counted, where anything is.
    pub fn usage(&mut self) -> Option<&mut Usage> {
        self.counted.as_mut()
    }

    /// Counts a request of a client account that began to run.
    pub fn count_request(&mut self, account: &AccountId, mirror: &Mirror, now: Time) {
        if let Some(counted) = &mut self.counted {
            counted.began(account, now, mirror.store_time(now));
        }
    }

    /// Returns from whom this entry has the tables.
    pub fn follow(&self) -> &Planner {
        &self.follow
    }

    /// Returns the entry at the other end of a link from which tables come.
    pub fn source(&self, link: Link) -> Option<&InstanceId> {
        self.sources.get(&link).map(|source| &source.name)
    }

    /// Returns how many entries have the tables from here.
    pub fn subscribers(&self) -> usize {
        self.takers.len()
    }

    /// Notes an entry that announced itself.
    pub fn learn(&mut self, peer: Peer) {
        self.follow.add_peer(peer);
    }

    /// Notes that the list of entries is known.
    pub fn listed(&mut self, now: Time) {
        self.follow.set_listed(now);
    }

    /// Notes that the store has answered for a table.
    ///
    /// The operator's is asked often, the others are waited on for long: what is known is as
    /// new as the last answer for the operator's, as long as all the others have answered
    /// since the store was away and none of them is [behind](Mirror::behind). Those that have
    /// the tables from here are told at once, since to them the age of that answer counts.
    pub fn note_answer(&mut self, table: Table, now: Time) {
        self.answered[table as usize] = true;
        if table == Table::Operator {
            if std::mem::take(&mut self.failing) {
                // The others begin anew by themselves.
                self.asked = [now; TABLE_COUNT];
            }
            self.operator = now;
            self.follow.store_answered(now);
        }
        if !self.reads_store() || self.answered.contains(&false) {
            return;
        }
        self.follow.record_sync(self.operator);
        for taker in self.takers.values_mut() {
            taker.sent = Time::default();
        }
    }

    /// Notes that what was answered before says nothing any more, since the machine was suspended or
    /// the store came back from a copy.
    pub fn invalidate(&mut self, now: Time) {
        self.answered = [false; TABLE_COUNT];
        self.asked = [now; TABLE_COUNT];
    }

    /// Notes that the store has not answered for a table. One that does not answer for the
    /// operator's is taken for away.
    pub fn note_failure(&mut self, table: Table) {
        self.answered[table as usize] = false;
        if table == Table::Operator {
            self.failing = true;
            self.answered = [false; TABLE_COUNT];
            self.follow.store_failed();
        }
    }

    /// Notes that this entry is about to stop.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Notes what this entry has found of a move.
    pub fn share_report(&mut self, pool: PoolId, report: Report) {
        self.found.note_near(pool, self.own.name.clone(), report);
    }

    /// Notes that this entry sent an upstream a prompt that takes this long to be read.
    pub fn share_prefill(&mut self, number: u64, reading: Span) {
        let prompt = (number, reading.millis().try_into().unwrap_or(u32::MAX));
        self.hint(Hints {
            prompts: vec![prompt],
            ..Hints::default()
        });
    }

    /// Notes that this entry serves a session that stays at its release.
    pub fn share_affinity(&mut self, stay: Affinity, now: Time) {
        let stays = vec![stay];
        self.stays.note(&stays, now);
        self.hint(Hints {
            stays,
            ..Hints::default()
        });
    }

    /// Notes what this entry tells of requests under which upstreams crashed.
    pub fn share_quarantine(&mut self, word: quarantine::Update, now: Time) {
        self.hint(Hints {
            words: vec![(word, now)],
            ..Hints::default()
        });
    }

    /// Notes what an upstream said of itself to this entry.
    pub fn share_notice(&mut self, word: notice::Update) {
        self.hint(Hints {
            notices: vec![word],
            ..Hints::default()
        });
    }

    /// Tells hints of this entry: to the source that passes them on, or else to those that have
    /// the tables from here. By both ways a prompt would count twice.
    fn hint(&mut self, hints: Hints) {
        if self.primary.is_none() {
            self.tell_takers(&hints, None, true);
        }
        self.hints.extend(&hints);
    }

    /// Puts hints in line for those that have the tables from here, but for the one that
    /// gave them. Only what the own data hall tells goes on to others.
    fn tell_takers(&mut self, hints: &Hints, from: Option<Link>, is_own: bool) {
        let home = &self.own.hall;
        for (link, taker) in &mut self.takers {
            let is_near = taker.hall == *home;
            let wants = is_near || (is_own && taker.reads_store);
            if wants && Some(*link) != from {
                taker.hints.extend(hints);
            }
        }
    }

    /// Takes in that the link to a source is open, or that there is none.
    pub fn opened(
        &mut self,
        name: InstanceId,
        link: Option<Link>,
        mirror: &Mirror,
        now: Time,
    ) -> Vec<Command> {
        let Some(link) = link else {
            self.follow.link_closed(&name, now);
            return Vec::new();
        };
        if !self.follow.link_opened(&name, now) {
            // Kept, it would make the other end read the store for good.
            return vec![Command::Close(link)];
        }
        let asked = self.asks_at_once(&name, mirror);
        let frame = match asked {
            true => self.ask(&name, mirror, now),
            false => Frame::Follow(Box::new(self.present())),
        };
        let source = Source {
            name,
            since: now,
            asked,
            sent: now,
            found: 0,
            counted: false,
        };
        self.sources.insert(link, source);
        vec![Command::Send(link, frame)]
    }

    /// Returns whether a source is asked for the tables as soon as it is linked. An entry that
    /// knows nothing yet asks one of its data hall: from all sources it would have all tables
    /// whole, which is what a hundred entries that start together wait for.
    fn asks_at_once(&self, source: &InstanceId, mirror: &Mirror) -> bool {
        let is_first = !self.sources.values().any(|s| s.asked);
        mirror.has_operator_table() || (is_first && self.follow.is_same_hall(source))
    }

    /// Asks the other sources once one has told what there is, or has had the time to.
    fn ask_rest(&mut self, mirror: &Mirror, now: Time) -> Vec<Command> {
        let is_due = |s: &Source| {
            !s.asked && (mirror.has_operator_table() || now.since(s.since) >= ASK_REST)
        };
        let due = self.sources.iter().filter(|(_, s)| is_due(s));
        let due: Vec<(Link, InstanceId)> = due.map(|(l, s)| (*l, s.name.clone())).collect();
        let mut orders = Vec::new();
        for (link, name) in due {
            let frame = self.ask(&name, mirror, now);
            if let Some(source) = self.sources.get_mut(&link) {
                source.asked = true;
                source.sent = now;
            }
            orders.push(Command::Send(link, frame));
        }
        orders
    }

    /// Takes in that a link is gone.
    pub fn closed(&mut self, link: Link, now: Time) {
        self.takers.remove(&link);
        if let Some(source) = self.sources.remove(&link) {
            self.follow.link_closed(&source.name, now);
        }
    }

    /// Takes in a frame; returns what the tables tell and what is to be done.
    pub fn handle_frame(
        &mut self,
        link: Link,
        frame: Frame,
        mirror: &mut Mirror,
        now: Time,
    ) -> (Vec<Update>, Vec<Command>) {
        match frame {
            Frame::Follow(asked) => (Vec::new(), self.asked(link, *asked, mirror, now)),
            Frame::Feed(feed) => self.fed(link, *feed, mirror, now),
            _ => (Vec::new(), Vec::new()),
        }
    }

    /// Returns what is to be done as time passes.
    pub fn step(&mut self, mirror: &mut Mirror, now: Time) -> Vec<Command> {
        if mirror.has_operator_table() {
            self.follow.set_configured();
        }
        self.follow.set_requested(!self.takers.is_empty());
        self.primary = self.follow.primary(now).cloned();
        let mut orders = Vec::new();
        for action in self.follow.step(now) {
            match action {
                Action::Open(name, address) => orders.push(Command::Open(name, address)),
                Action::Read(reading) => {
                    self.failing &= reading != Subscription::Nothing;
                    self.answered = [false; TABLE_COUNT];
                    self.asked = [now; TABLE_COUNT];
                    orders.push(Command::Read(reading));
                }
                Action::Close(name) => {
                    let links = self.sources.iter().filter(|(_, s)| s.name == name);
                    let links: Vec<Link> = links.map(|(link, _)| *link).collect();
                    for link in links {
                        self.sources.remove(&link);
                        orders.push(Command::Close(link));
                    }
                }
            }
        }
        orders.extend(self.ask_anew(mirror, now));
        orders.extend(self.ask_rest(mirror, now));
        orders.extend(self.tell_sources(mirror, now));
        orders.extend(self.publish(mirror, now));
        orders
    }

    /// Asks anew for tables whose waits tell nothing, while the store answers for others.
    ///
    /// A wait can hang on a dead connection, or hear nothing after the store forgot its
    /// history, until its own end; that the operator's table is answered for says nothing of it.
    fn ask_anew(&mut self, mirror: &Mirror, now: Time) -> Vec<Command> {
        if !self.reads_store() || self.failing {
            return Vec::new();
        }
        for table in mirror.behind(now, self.follow.timeouts().version_gap) {
            self.answered[table as usize] = false;
        }
        let mut orders = Vec::new();
        for table in Table::ALL {
            let number = table as usize;
            if !self.answered[number] && now.since(self.asked[number]) >= ASKED {
                self.asked[number] = now;
                orders.push(Command::Poll(table));
            }
        }
        orders
    }

    /// Hands on what is new to those that have the tables from here.
    pub fn publish(&mut self, mirror: &mut Mirror, now: Time) -> Vec<Command> {
        let links: Vec<Link> = self.takers.keys().copied().collect();
        let orders = links
            .into_iter()
            .filter_map(|link| self.hand_to(link, mirror, now));
        orders.collect()
    }

    fn hand_to(&mut self, link: Link, mirror: &mut Mirror, now: Time) -> Option<Command> {
        let taker = self.takers.get(&link)?;
        let due = now.since(taker.sent) >= self.follow.timeouts().heartbeat;
        let told = !taker.hints.is_empty() && now.since(taker.sent) >= GATHER_HINTS;
        let mut tables = Vec::new();
        for (table, have) in Table::ALL.iter().zip(&taker.have) {
            if due || mirror.has_changed(*table, *have) {
                tables.extend(mirror.delta(*table, *have));
            }
        }
        if !due && !told && tables.is_empty() {
            return None;
        }
        let found = match taker.found < self.found.changes() {
            true => self
                .found
                .told_to(&taker.entry, &taker.hall, &self.own.hall),
            false => Vec::new(),
        };
        let feed = Feed {
            last_contact_us: self.follow.last_sync().and_then(|at| mirror.store_time(at)),
            clock_us: mirror.store_time(now),
            era: mirror.era(),
            leaving: self.leaving,
            tables,
            release_reports: found,
            sent_prompts: taker.hints.prompts.clone(),
            affinities: taker.hints.stays.clone(),
            quarantine: taker.hints.words_at(now),
            notices: taker.hints.notices.clone(),
            epoch_us: self.counted.as_ref().and_then(Usage::agreed),
        };
        let taker = self.takers.get_mut(&link)?;
        for table in &feed.tables {
            taker.have[table.number] = Stamp::new(table.era, table.version);
        }
        taker.sent = now;
        taker.found = self.found.changes();
        taker.hints = Hints::default();
        Some(Command::Send(link, Frame::Feed(Box::new(feed))))
    }

    /// Tells the sources that this entry is there, and what it has found since.
    fn tell_sources(&mut self, mirror: &Mirror, now: Time) -> Vec<Command> {
        let beat = self.follow.timeouts().heartbeat;
        let changes = self.found.changes();
        let mut orders = Vec::new();
        let has_found = self.found.has_any_by(&self.own.name);
        let reads_store = self.reads_store();
        let present = self.present();
        let hints = std::mem::take(&mut self.hints);
        let mut was_told = reads_store && self.primary.is_none();
        let leaving = self.leaving;
        let parts = self.counted.as_mut();
        let parts = parts.map_or(Vec::new(), |c| c.due(leaving, now));
        let epoch = own_epoch(mirror, now).filter(|_| self.counted.is_some());
        for (link, source) in &mut self.sources {
            let is_near = self.follow.is_same_hall(&source.name);
            let counts = counts_for(source, &parts, self.counted.as_ref().filter(|_| is_near));
            let passed = now.since(source.sent);
            let news = source.found < changes && has_found && passed >= beat;
            let told = !hints.is_empty() && self.primary.as_ref() == Some(&source.name);
            if !news && !told && counts.is_empty() && passed < KEEP {
                continue;
            }
            source.sent = now;
            source.found = changes;
            let mut follow = present.clone();
            if !counts.is_empty() {
                follow.counts = counts;
                follow.epoch_us = epoch;
            }
            if news {
                follow.release_reports = self.found.by(&self.own.name);
            }
            if told {
                follow.sent_prompts.clone_from(&hints.prompts);
                follow.affinities.clone_from(&hints.stays);
                follow.quarantine = hints.words_at(now);
                follow.notices.clone_from(&hints.notices);
                was_told = true;
            }
            orders.push(Command::Send(*link, Frame::Follow(Box::new(follow))));
        }
        if !was_told {
            // Prompts are read by the time that a source is linked again; sessions stay, and
            // what crashes upstreams goes on doing so.
            self.hints.stays = hints.stays;
            self.hints.words = hints.words;
            self.hints.notices = hints.notices;
        }
        orders
    }

    /// Returns whether this entry reads all tables of the store itself.
    fn reads_store(&self) -> bool {
        self.follow.subscription() == Subscription::All
    }

    /// Returns what tells a source that this entry is there, and nothing more.
    fn present(&self) -> wire::Follow {
        wire::Follow {
            entry: self.own.name.clone(),
            hall: self.own.hall.clone(),
            cursor: None,
            reads_store: self.reads_store(),
            release_reports: Vec::new(),
            sent_prompts: Vec::new(),
            affinities: Vec::new(),
            quarantine: Vec::new(),
            notices: Vec::new(),
            counts: Vec::new(),
            epoch_us: None,
        }
    }

    /// Returns what asks a source for all that is newer than what is known here. One of this
    /// data hall, which may have just started, is told of all sessions; others have them from
    /// their own.
    fn ask(&self, source: &InstanceId, mirror: &Mirror, now: Time) -> Frame {
        let stays = match self.follow.is_same_hall(source) {
            true => self.stays.live(now),
            false => Vec::new(),
        };
        Frame::Follow(Box::new(wire::Follow {
            cursor: Some(mirror.have()),
            affinities: stays,
            ..self.present()
        }))
    }

    /// Tells the own source what may be told twice: an entry that does not reach it tells only
    /// this one, which passes on to its own takers alone.
    fn pass_up(&mut self, hints: &Hints) {
        if self.primary.is_none() {
            return;
        }
        self.hints.extend(&Hints {
            prompts: Vec::new(),
            ..hints.clone()
        });
    }

    /// Takes in that an entry asks for tables, or is still there.
    fn asked(
        &mut self,
        link: Link,
        asked: wire::Follow,
        mirror: &mut Mirror,
        now: Time,
    ) -> Vec<Command> {
        let is_near = asked.hall == self.own.hall;
        if let Some(have) = asked.cursor {
            let have = have.versions.map(|version| Stamp::new(have.era, version));
            let taker = Taker {
                entry: asked.entry.clone(),
                hall: asked.hall,
                have,
                sent: Time::default(),
                found: 0,
                reads_store: asked.reads_store,
                hints: Hints {
                    stays: self.stays.live(now),
                    ..Hints::default()
                },
            };
            self.takers.insert(link, taker);
        }
        if let Some(taker) = self.takers.get_mut(&link) {
            taker.reads_store = asked.reads_store;
        }
        let mut orders = Vec::new();
        if let Some(counted) = self.counted.as_mut().filter(|_| is_near) {
            counted.merge(&asked.entry, asked.counts, asked.epoch_us);
        }
        if is_near {
            let hints = Hints {
                prompts: asked.sent_prompts,
                stays: asked.affinities,
                words: asked
                    .quarantine
                    .into_iter()
                    .map(|word| (word, now))
                    .collect(),
                notices: asked.notices,
            };
            self.stays.note(&hints.stays, now);
            self.tell_takers(&hints, Some(link), true);
            self.pass_up(&hints);
            orders.extend(hints.orders());
        }
        for (pool, report) in asked.release_reports.into_iter().filter(|_| is_near) {
            self.found
                .note_near(pool.clone(), asked.entry.clone(), report);
            let others = self.found.near_but(&pool, &self.own.name);
            let hall = self.own.hall.clone();
            orders.extend(others.map(|sum| Command::Report(pool, hall, sum)));
        }
        orders.extend(self.hand_to(link, mirror, now));
        orders
    }

    /// Takes in what a source hands down.
    fn fed(
        &mut self,
        link: Link,
        feed: Feed,
        mirror: &mut Mirror,
        now: Time,
    ) -> (Vec<Update>, Vec<Command>) {
        let Some(source) = self.sources.get(&link) else {
            return (Vec::new(), Vec::new());
        };
        if let Some(clock) = feed.clock_us {
            mirror.note_clock(clock, now);
        }
        if let Some(counted) = &mut self.counted {
            counted.agree(feed.epoch_us);
        }
        let name = source.name.clone();
        let is_near = self.follow.is_same_hall(&name);
        let mut news = Vec::new();
        let mut gap = false;
        for delta in feed.tables {
            match mirror.apply_delta(delta, now) {
                Merge::Stale => {}
                Merge::Gap => gap = true,
                Merge::Applied(more) => news.extend(more),
            }
        }
        // An age without the changes that go with it would make what is known look newer
        // than it is, here and at all that have the tables from here.
        // So would that of a source which does not know yet that the store came back from a copy.
        let is_current = !gap && feed.era >= mirror.era();
        let heard = feed.last_contact_us.filter(|_| is_current);
        let word = Status {
            last_sync: heard.and_then(|micros| mirror.local_time(micros)),
            leaving: feed.leaving,
        };
        self.follow.record_status(&name, word, now);
        let hints = Hints {
            prompts: feed.sent_prompts,
            stays: feed.affinities,
            words: feed
                .quarantine
                .into_iter()
                .map(|word| (word, now))
                .collect(),
            notices: feed.notices,
        };
        self.stays.note(&hints.stays, now);
        let mut orders = hints.orders();
        if gap {
            if let Some(source) = self.sources.get_mut(&link) {
                source.sent = now;
            }
            let frame = self.ask(&name, mirror, now);
            orders.push(Command::Send(link, frame));
        }
        if !is_near {
            self.tell_takers(&hints, None, false);
        }
        for (pool, hall, report) in feed.release_reports {
            if hall != self.own.hall {
                self.found.note_far(&pool, &hall, &report);
            }
            // What the own data hall found is known better here where others tell it here.
            if hall != self.own.hall || self.takers.is_empty() {
                orders.push(Command::Report(pool, hall, report));
            }
        }
        (news, orders)
    }
}

/// Returns what a source is to be told of what was counted: all where it was told nothing yet, or
/// else what has changed. `usage` is given where it is told of that at all.
fn counts_for(
    source: &mut Source,
    changed: &[UsageUpdate],
    counted: Option<&Usage>,
) -> Vec<UsageUpdate> {
    let Some(counted) = counted else {
        return Vec::new();
    };
    match std::mem::replace(&mut source.counted, true) {
        true => changed.to_vec(),
        false => counted.tally().snapshot(),
    }
}

/// Returns the time of day less the store's clock as this process has it, in microseconds.
pub fn own_epoch(mirror: &Mirror, now: Time) -> Option<i64> {
    let store = i64::try_from(mirror.store_time(now)?).ok()?;
    i64::try_from(now.0).ok()?.checked_sub(store)
}
