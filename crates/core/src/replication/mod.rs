//! Which entries read the platform's store, and from whom the others have its tables.
//!
//! In each data hall the entry that ranks first reads the store and hands its tables down;
//! the one that ranks second has them from it and hands them on as well, and the others hold
//! links to both. So what changed goes once into each data hall, however many entries are there.
//!
//! Who ranks first follows from the names of all entries that ever announced themselves, so all
//! agree on it without talking; that some of them are gone shows when they are asked. An entry
//! that is asked for tables reads the store, whatever its own rank, unless one that ranks before
//! it is new enough.
//! Versions decide which of two pages is newer, so two readers at a time are harmless;
//! that none reads must be short: who hears nothing new enough goes to the next in rank,
//! and then to the store itself.
//!
//! ```
//! use sorreldeck::replication::{Action, Peer, Planner, Subscription, Timeouts};
//! use sorreldeck::{Span, Time};
//!
//! let own = Peer::new("e-1".parse()?, "hall-a".parse()?, "127.0.0.1:1".parse().unwrap());
//! let mut planner = Planner::new(own, Timeouts::of(Span::from_millis(4_000)));
//! planner.set_listed(Time(0));
//! let actions = planner.step(Time(0));
//! assert_eq!(actions, [Action::Read(Subscription::All)]);
//! # Ok::<(), sorreldeck::Error>(())
//! ```

mod contact;
mod rank;
mod watermark;

pub use rank::Peer;
pub use watermark::Watermark;

use crate::id::{Hall, InstanceId};
use crate::unit::{Span, Time};
use contact::{Contact, Health};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// The sources of each entry that does not read the store: with one, every loss of it would
/// be a gap of [`Timeouts::silence`].
const SOURCES: usize = 2;
/// How many entries of a data hall are tried in the order of rank, before an entry reads
/// the store itself: where a third of all are turned away by the store, one in 25 entries
/// finds three of them so. Those that have been gone for long are passed over.
const REACH: usize = 3;
/// How many are asked at a time when the first has failed: one after the other would take
/// [`Timeouts::warmup`] each.
const AT_ONCE: usize = 2;
/// How long an entry that knows no configuration waits for its sources before it reads
/// the store: callers are served 150 ms after a loss of all entries, of which the start
/// and the reading take 50.
const START_WAIT: Span = Span::from_millis(100);
/// How much longer it waits for each entry of its data hall: where a hundred start together, all
/// would read the store, or take all tables from another data hall.
const START_WAIT_EACH: Span = Span::from_millis(10);
/// How long an entry that reads the operator's table for want of a source goes on with
/// that alone once the store is back: most sources are back within their pause of 0.6 s,
/// and reading all tables meanwhile would cost four calls for each entry.
const SETTLE: Span = Span::from_millis(500);
/// How long an entry goes on reading that need not any more, so that a source which comes
/// and goes does not make it begin anew each time.
const LINGER: Span = Span::from_millis(2_000);

/// The times within which sources are changed, all parts of the time within which a
/// configuration must be in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timeouts {
    /// How often a source is heard, whether or not there is news.
    pub heartbeat: Span,
    /// How long a source may be silent.
    pub silence: Span,
    /// How long a reader that hands tables down waits on the operator's.
    pub long_poll: Span,
    /// How old what a source knows of the store may be: a wait, 250 ms for which a reader
    /// gathers changes, 200 ms of a slow store, and the way over the links.
    pub max_staleness: Span,
    /// How long a source may take to be linked and to have read the store for the first
    /// time.
    pub warmup: Span,
    /// How long a change that the store named may be missing before the tables are asked
    /// anew: longer than the 600 ms for which changes of the upstreams are gathered.
    pub version_gap: Span,
}

impl Timeouts {
    /// Returns the times for a configuration that must be in force after `limit`.
    ///
    /// When both sources of an entry are cut off just after they read, an entry leaves them
    /// after 0.575 of the limit, has been in vain at the next two after 0.7, and then
    /// reads the store; 0.3 are left for that and for putting the configuration in force.
    /// A change that no wait tells of is named after 0.35 of the limit and asked for after
    /// 0.675, so that a reader and those that have the tables from it know it in time.
    pub fn of(limit: Span) -> Timeouts {
        let part = |thousandths: u64| Span::from_micros(limit.micros() / 1000 * thousandths);
        Timeouts {
            heartbeat: part(125),
            silence: part(300),
            long_poll: part(350),
            max_staleness: part(575),
            warmup: part(125),
            version_gap: part(325),
        }
    }
}

/// What an entry reads of the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Subscription {
    /// Nothing: its sources hand the tables down.
    #[default]
    Nothing,
    /// The list of entries, once, to know its sources.
    Entries,
    /// The operator's table, since no source is new enough.
    Operator,
    /// All tables.
    All,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Open a link to another entry and ask it for tables.
    Open(InstanceId, SocketAddr),
    /// Close the link to another entry.
    Close(InstanceId),
    /// Read this much of the store from now on.
    Read(Subscription),
}

/// What a source tells about itself with each message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Status {
    /// When the store was heard, by the source itself or by one of its own sources, on
    /// this process's clock; `None` if it never was.
    pub last_sync: Option<Time>,
    /// Whether the source is about to stop.
    pub leaving: bool,
}

/// From whom an entry has the store's tables.
#[derive(Clone, Debug)]
pub struct Planner {
    own: Peer,
    bounds: Timeouts,
    peers: BTreeMap<InstanceId, Peer>,
    /// The names of each data hall in the order of their rank, without those learned since the
    /// last step: 300 entries are learned at once, and each would rank all anew.
    ranked: BTreeMap<Hall, Vec<InstanceId>>,
    /// Whether some were learned since.
    learned: bool,
    contacts: BTreeMap<InstanceId, Contact>,
    reading: Subscription,
    /// Whether the list of entries is known.
    listed: bool,
    /// Since when the list is known and nothing else; requests cannot be served then.
    began: Option<Time>,
    /// Whether a configuration is known.
    informed: bool,
    /// Whether other entries ask this one for tables.
    asked: bool,
    /// When this entry heard the store last, itself or through a source.
    heard: Option<Time>,
    /// Since when no source is new enough.
    bare: Option<Time>,
    /// When the store has answered this entry, which reads it for want of a source.
    settling: Option<Time>,
    /// Whether the store has not answered it before that.
    missed: bool,
    /// When reading was last needed.
    needed: Option<Time>,
}

impl Planner {
    /// Creates the state of an entry that knows of no others.
    pub fn new(own: Peer, bounds: Timeouts) -> Planner {
        let mut follow = Planner {
            own: own.clone(),
            bounds,
            peers: BTreeMap::new(),
            ranked: BTreeMap::new(),
            learned: false,
            contacts: BTreeMap::new(),
            reading: Subscription::default(),
            listed: false,
            began: None,
            informed: false,
            asked: false,
            heard: None,
            bare: None,
            settling: None,
            missed: false,
            needed: None,
        };
        follow.add_peer(own);
        follow
    }

    /// Returns the times by which sources are changed.
    pub fn timeouts(&self) -> Timeouts {
        self.bounds
    }

    /// Returns what this entry reads of the store.
    pub fn subscription(&self) -> Subscription {
        self.reading
    }

    /// Returns whether an entry is in the data hall of this one.
    pub fn is_same_hall(&self, name: &InstanceId) -> bool {
        let peer = self.peers.get(name);
        peer.is_some_and(|p| p.hall == self.own.hall)
    }

    /// Returns the names of the entries that are known, with this one.
    pub fn entries(&self) -> impl Iterator<Item = &InstanceId> {
        self.peers.keys()
    }

    /// Returns the data halls that have entries.
    pub fn halls(&self) -> BTreeSet<Hall> {
        self.ranked.keys().cloned().collect()
    }

    /// Returns how long ago the store was heard, by whatever way.
    pub fn age(&self, now: Time) -> Option<Span> {
        self.heard.map(|at| now.since(at))
    }

    /// Returns when the store was heard, by whatever way.
    pub fn last_sync(&self) -> Option<Time> {
        self.heard
    }

    /// Returns the source in the own data hall that passes on what entries tell one another: the
    /// first in rank that is new enough, so that each is told once.
    pub fn primary(&self, now: Time) -> Option<&InstanceId> {
        let sources = self.sources(now);
        let mut near = self.ranked.get(&self.own.hall).into_iter().flatten();
        near.find(|name| sources.contains(name))
    }

    /// Returns the sources that are new enough.
    pub fn sources(&self, now: Time) -> Vec<&InstanceId> {
        let fresh = |c: &Contact| c.look(now, &self.bounds) == Health::Fresh;
        let found = self.contacts.iter().filter(|(_, c)| fresh(c));
        found.map(|(name, _)| name).collect()
    }

    /// Notes an entry that announced itself.
    pub fn add_peer(&mut self, peer: Peer) {
        let name = peer.name.clone();
        let before = self.peers.insert(name.clone(), peer.clone());
        if before.as_ref() == Some(&peer) {
            return;
        }
        if before.is_some_and(|b| b.address != peer.address) {
            self.contacts.remove(&name);
        }
        self.learned = true;
    }

    /// Notes that the list of entries is known.
    pub fn set_listed(&mut self, now: Time) {
        self.listed = true;
        self.began.get_or_insert(now);
    }

    /// Notes that a configuration is known, so that requests can be served.
    pub fn set_configured(&mut self) {
        self.informed = true;
    }

    /// Notes whether other entries ask this one for tables.
    pub fn set_requested(&mut self, asked: bool) {
        self.asked = asked;
    }

    /// Notes that this entry had all tables from the store at a time.
    pub fn record_sync(&mut self, at: Time) {
        self.heard = self.heard.max(Some(at));
    }

    /// Notes that the store has answered this entry.
    pub fn store_answered(&mut self, now: Time) {
        if self.reading == Subscription::Operator {
            self.settling.get_or_insert(now);
        }
    }

    /// Notes that the store did not answer this entry.
    pub fn store_failed(&mut self) {
        self.settling = None;
        self.missed = true;
    }

    /// Notes that the link to an entry is open; returns whether it is still wanted. Another
    /// source may have become new enough while it was opened.
    pub fn link_opened(&mut self, name: &InstanceId, now: Time) -> bool {
        let contact = self.contacts.get_mut(name);
        match contact.filter(|contact| contact.is_linked()) {
            Some(contact) => {
                contact.opened(now);
                true
            }
            None => false,
        }
    }

    /// Notes that there is no link to an entry, or none any more.
    pub fn link_closed(&mut self, name: &InstanceId, now: Time) {
        if let Some(contact) = self.contacts.get_mut(name) {
            contact.closed(now);
        }
    }

    /// Takes in what an entry tells about itself.
    pub fn record_status(&mut self, name: &InstanceId, word: Status, now: Time) {
        let Some(contact) = self.contacts.get_mut(name) else {
            return;
        };
        contact.heard(word, now);
        self.heard = self.heard.max(word.last_sync);
    }

    /// Returns what is to be done now.
    pub fn step(&mut self, now: Time) -> Vec<Action> {
        if std::mem::take(&mut self.learned) {
            self.ranked = rank::by_hall(self.peers.values());
        }
        let mut actions = Vec::new();
        if !self.listed {
            return self.read(Subscription::Entries, actions);
        }
        let mut kept = BTreeSet::new();
        let walk = self.walk_all(now, &mut kept, &mut actions);
        let links = self.contacts.iter_mut();
        for (name, contact) in links.filter(|(name, c)| !kept.contains(*name) && c.is_linked()) {
            contact.dropped();
            actions.push(Action::Close(name.clone()));
        }
        let reading = self.wanted(&walk, now);
        self.read(reading, actions)
    }

    fn read(&mut self, reading: Subscription, mut actions: Vec<Action>) -> Vec<Action> {
        if self.reading != reading {
            self.reading = reading;
            self.settling = None;
            self.missed = false;
            actions.push(Action::Read(reading));
        }
        actions
    }

    /// Goes through the own data hall and the next one, and through all where this entry
    /// reads the store: so what is found in one data hall reaches all.
    fn walk_all(
        &mut self,
        now: Time,
        kept: &mut BTreeSet<InstanceId>,
        actions: &mut Vec<Action>,
    ) -> Walk {
        let home = self.own.hall.clone();
        let after = self.ranked.keys().filter(|hall| **hall > home);
        let before = self.ranked.keys().filter(|hall| **hall < home);
        let others: Vec<Hall> = after.chain(before).cloned().collect();
        let mut walk = self.walk(&home, SOURCES, now, kept, actions);
        walk.near = walk.fresh;
        let far = match (walk.near, walk.own) {
            (0, true) => others.len(),
            // The next data hall helps where none of the own has anything new, and this entry
            // knows enough that it need not have all tables from there.
            (0, false) if walk.warming == 0 && self.informed => 1,
            _ => 0,
        };
        for hall in others.iter().take(far) {
            let more = self.walk(hall, 1, now, kept, actions);
            walk.fresh += more.fresh;
            walk.warming += more.warming;
        }
        walk
    }

    /// Goes through a data hall by rank until enough sources are new enough, or this entry comes;
    /// opens what is missing and keeps what is on the way.
    fn walk(
        &mut self,
        hall: &Hall,
        wanted: usize,
        now: Time,
        kept: &mut BTreeSet<InstanceId>,
        actions: &mut Vec<Action>,
    ) -> Walk {
        let mut walk = Walk::default();
        let bounds = self.bounds_now();
        // At the start all sources start as well; asking more would make more of them read.
        let at_once = match self.informed {
            true => wanted.max(AT_ONCE),
            false => wanted,
        };
        let mut tried = 0;
        for name in self.ranked.get(hall).into_iter().flatten() {
            if walk.fresh >= wanted || tried >= REACH {
                break;
            }
            tried += 1;
            if *name == self.own.name {
                walk.own = true;
                break;
            }
            let contact = self.contacts.entry(name.clone()).or_default();
            match contact.health(now, &bounds) {
                Health::Fresh => walk.fresh += 1,
                Health::Warming => walk.warming += 1,
                Health::Stale => {}
                Health::Silent => {
                    contact.closed(now);
                    actions.push(Action::Close(name.clone()));
                    continue;
                }
                Health::Resting => {
                    tried -= usize::from(contact.is_long_gone());
                    continue;
                }
                Health::Unknown if walk.fresh + walk.warming >= at_once => continue,
                Health::Unknown => {
                    contact.opening(now);
                    walk.warming += 1;
                    if let Some(peer) = self.peers.get(name) {
                        actions.push(Action::Open(name.clone(), peer.address));
                    }
                }
            }
            kept.insert(name.clone());
        }
        walk
    }

    /// Returns how long an entry that knows no configuration waits for its sources.
    fn start_wait(&self) -> Span {
        let near = self.ranked.get(&self.own.hall).map_or(0, Vec::len) as u64;
        START_WAIT + Span::from_micros(START_WAIT_EACH.micros() * near)
    }

    /// Returns the times by which sources are judged now: while all entries start, sources that
    /// have read the store hand all tables to everybody.
    fn bounds_now(&self) -> Timeouts {
        match self.informed {
            true => self.bounds,
            false => Timeouts {
                warmup: self.bounds.warmup.max(self.start_wait()),
                ..self.bounds
            },
        }
    }

    /// Returns what is to be read of the store after a walk through the data halls.
    fn wanted(&mut self, walk: &Walk, now: Time) -> Subscription {
        // A reader may hear nothing of a change for longer than is allowed; one of another
        // data hall tells it then. Where there is none, a second one reads here.
        let is_covered = walk.near > 0 && self.ranked.len() > 1;
        let must = walk.own || self.asked;
        if must && !is_covered {
            self.bare = None;
            self.needed = Some(now);
            return Subscription::All;
        }
        if walk.fresh > 0 {
            self.bare = None;
            let lingers = self.needed.is_some_and(|at| now.since(at) < LINGER);
            return match (self.reading, lingers) {
                (Subscription::All, true) => Subscription::All,
                _ => Subscription::Nothing,
            };
        }
        if self.reading == Subscription::All {
            return Subscription::All;
        }
        if !self.informed {
            let waited = self.began.map_or(Span::default(), |at| now.since(at));
            return match waited >= self.start_wait() || walk.warming == 0 {
                true => Subscription::All,
                false => Subscription::Nothing,
            };
        }
        // The next in rank have the time of one attempt; those after them would take it too
        // long, one after the other.
        let bare = *self.bare.get_or_insert(now);
        let hopes = walk.warming > 0 && now.since(bare) < self.bounds.warmup;
        if hopes && self.reading == Subscription::Nothing {
            return Subscription::Nothing;
        }
        // Where the store answers at once, only the sources are in trouble.
        let settle = match self.missed {
            true => SETTLE,
            false => Span::default(),
        };
        match self.settling.is_some_and(|at| now.since(at) >= settle) {
            true => Subscription::All,
            false => Subscription::Operator,
        }
    }
}

/// What was found on the way through data halls.
#[derive(Clone, Copy, Debug, Default)]
struct Walk {
    /// The sources that are new enough.
    fresh: usize,
    /// Those among them in the own data hall that rank before this entry.
    near: usize,
    /// The sources that may become so.
    warming: usize,
    /// Whether this entry itself ranks among those that read.
    own: bool,
}
