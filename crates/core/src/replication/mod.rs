//! Decides which entries read the platform's store, and from which sources the others replicate its
//! tables.
//!
//! In each data hall the entry that ranks first reads the store and serves its tables to others.
//! The entry that ranks second replicates them from it and serves them as well, and all others hold
//! links to both. A change therefore enters each data hall once, however many entries it has.
//!
//! The rank follows from the announcements of all entries that ever started, so all entries compute
//! the same order without coordination. Entries that are gone are detected when they are contacted.
//! An entry that is asked for tables reads the store whatever its own rank, unless one that ranks
//! before it is fresh.
//!
//! Versions decide which of two pages is newer, so two readers at a time are harmless. A time
//! without any reader must be short: an entry without a fresh source contacts the next in rank, and
//! then reads the store itself.
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

/// The number of sources of an entry that does not read the store. With one, each loss of it would
/// be a gap of [`Timeouts::silence`].
const SOURCES: usize = 2;
/// How many entries of a data hall are tried in the order of rank before an entry reads the store
/// itself. If the store turns away a third of all entries, one entry in 25 meets three of these.
/// Entries that have been gone for long are not counted.
const MAX_CANDIDATES: usize = 3;
/// How many entries are contacted at a time after the first has failed; one after the other would
/// take [`Timeouts::warmup`] each.
const PARALLEL_ATTEMPTS: usize = 2;
/// How long an entry without a configuration waits for its sources before it reads the store.
/// Clients are served 150 ms after a loss of all entries, of which the start and the reading take
/// 50 ms.
const START_WAIT: Span = Span::from_millis(100);
/// The additional wait for each entry of its data hall. Without it, a hundred entries that start
/// together would all read the store, or fetch all tables from another data hall.
const START_WAIT_PER_ENTRY: Span = Span::from_millis(10);
/// How long an entry that reads only the operator's table for lack of a source goes on with that
/// table alone once the store is back. Most sources are back within their pause of 0.6 s, and
/// reading all tables meanwhile would cost four calls for each entry.
const SETTLE: Span = Span::from_millis(500);
/// How long an entry goes on reading the store after it is no longer needed, so that an unstable
/// source does not make it start over each time.
const LINGER: Span = Span::from_millis(2_000);

/// The time limits by which sources are replaced, all fractions of the time within which a
/// configuration must be in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timeouts {
    /// How often a source sends a message, with or without changes.
    pub heartbeat: Span,
    /// How long a source may send nothing.
    pub silence: Span,
    /// How long a reader that serves tables to others waits for a change of the operator's table.
    pub long_poll: Span,
    /// How old a source's data of the store may be: one long poll, 250 ms for which a reader
    /// collects changes, 200 ms of a slow store, and the transfer over the links.
    pub max_staleness: Span,
    /// How long a source may take to be linked and to have read the store for the first time.
    pub warmup: Span,
    /// How long the change of a version that the store reported may be missing before the tables
    /// are requested again: longer than the 600 ms for which changes of the upstreams are
    /// collected.
    pub version_gap: Span,
}

impl Timeouts {
    /// Returns the time limits for a configuration that must be in force after `limit`.
    ///
    /// If both sources of an entry are cut off just after they read the store, the entry gives them
    /// up after 0.575 of the limit, has failed to use the next two after 0.7, and then reads the
    /// store; 0.3 are left for that and for putting the configuration in force. The version of a
    /// change that no long poll returns is reported after 0.35 of the limit and its tables are
    /// requested after 0.675, so that a reader and the entries that replicate from it get the
    /// change in time.
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
    /// Nothing: its sources serve the tables.
    #[default]
    Nothing,
    /// The list of entries, once, to find its sources.
    Entries,
    /// The operator's table, because no source is fresh.
    Operator,
    /// All tables.
    All,
}

/// An action for the caller to take.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Open a link to another entry and request its tables.
    Open(InstanceId, SocketAddr),
    /// Close the link to another entry.
    Close(InstanceId),
    /// Read this much of the store from now on.
    Read(Subscription),
}

/// The status that a source reports with each message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Status {
    /// When the source or one of its own sources last had contact with the store, on this process's
    /// clock; `None` if there was none.
    pub last_sync: Option<Time>,
    /// Whether the source is about to stop.
    pub leaving: bool,
}

/// Decides from where an entry gets the store's tables.
#[derive(Clone, Debug)]
pub struct Planner {
    own: Peer,
    timeouts: Timeouts,
    peers: BTreeMap<InstanceId, Peer>,
    /// The names of the entries of each data hall in the order of their rank, without those added
    /// since the last step: 300 entries are added at once, and each would cause a new ranking.
    ranked: BTreeMap<Hall, Vec<InstanceId>>,
    /// Whether entries were added since the last ranking.
    peers_changed: bool,
    contacts: BTreeMap<InstanceId, Contact>,
    subscription: Subscription,
    /// Whether the list of entries was read.
    listed: bool,
    /// When the list of entries was read first; until a configuration is known no requests can be
    /// served.
    listed_at: Option<Time>,
    /// Whether a configuration is known.
    configured: bool,
    /// Whether other entries request tables of this one.
    requested: bool,
    /// When this entry last had contact with the store, itself or through a source.
    last_sync: Option<Time>,
    /// Since when no source is fresh.
    sourceless_since: Option<Time>,
    /// Since when the store answers this entry, which reads it for lack of a source.
    answering_since: Option<Time>,
    /// Whether the store failed to answer before that.
    has_failed: bool,
    /// When reading the store was last necessary.
    needed_at: Option<Time>,
}

impl Planner {
    /// Creates the planner of an entry that knows no others.
    pub fn new(own: Peer, timeouts: Timeouts) -> Planner {
        let mut planner = Planner {
            own: own.clone(),
            timeouts,
            peers: BTreeMap::new(),
            ranked: BTreeMap::new(),
            peers_changed: false,
            contacts: BTreeMap::new(),
            subscription: Subscription::default(),
            listed: false,
            listed_at: None,
            configured: false,
            requested: false,
            last_sync: None,
            sourceless_since: None,
            answering_since: None,
            has_failed: false,
            needed_at: None,
        };
        planner.add_peer(own);
        planner
    }

    /// Returns the time limits by which sources are replaced.
    pub fn timeouts(&self) -> Timeouts {
        self.timeouts
    }

    /// Returns what this entry reads of the store.
    pub fn subscription(&self) -> Subscription {
        self.subscription
    }

    /// Returns whether an entry is in the data hall of this one.
    pub fn is_same_hall(&self, name: &InstanceId) -> bool {
        let peer = self.peers.get(name);
        peer.is_some_and(|p| p.hall == self.own.hall)
    }

    /// Returns the names of all known entries, including this one.
    pub fn entries(&self) -> impl Iterator<Item = &InstanceId> {
        self.peers.keys()
    }

    /// Returns the position of an entry in the order of its data hall, by which all entries know
    /// which of several is first.
    pub fn rank(&self, name: &InstanceId) -> Option<usize> {
        let hall = &self.peers.get(name)?.hall;
        let ranked = self.ranked.get(hall)?;
        ranked.iter().position(|ranked| ranked == name)
    }

    /// Returns the data halls that have entries.
    pub fn halls(&self) -> BTreeSet<Hall> {
        self.ranked.keys().cloned().collect()
    }

    /// Returns how long ago the last contact with the store was, direct or through a source.
    pub fn age(&self, now: Time) -> Option<Span> {
        self.last_sync.map(|at| now.since(at))
    }

    /// Returns when the last contact with the store was, direct or through a source.
    pub fn last_sync(&self) -> Option<Time> {
        self.last_sync
    }

    /// Returns the source in the own data hall that forwards messages between entries: the first in
    /// rank that is fresh, so that each message is forwarded once.
    pub fn primary(&self, now: Time) -> Option<&InstanceId> {
        let sources = self.sources(now);
        let mut near = self.ranked.get(&self.own.hall).into_iter().flatten();
        near.find(|name| sources.contains(name))
    }

    /// Returns the sources that are fresh.
    pub fn sources(&self, now: Time) -> Vec<&InstanceId> {
        let fresh = |c: &Contact| c.assess(now, &self.timeouts) == Health::Fresh;
        let found = self.contacts.iter().filter(|(_, c)| fresh(c));
        found.map(|(name, _)| name).collect()
    }

    /// Adds an entry that announced itself, or updates it.
    pub fn add_peer(&mut self, peer: Peer) {
        let name = peer.name.clone();
        let before = self.peers.insert(name.clone(), peer.clone());
        if before.as_ref() == Some(&peer) {
            return;
        }
        if before.is_some_and(|b| b.address != peer.address) {
            self.contacts.remove(&name);
        }
        self.peers_changed = true;
    }

    /// Records that the list of entries was read.
    pub fn set_listed(&mut self, now: Time) {
        self.listed = true;
        self.listed_at.get_or_insert(now);
    }

    /// Records that a configuration is known, so that requests can be served.
    pub fn set_configured(&mut self) {
        self.configured = true;
    }

    /// Records whether other entries request tables of this one.
    pub fn set_requested(&mut self, requested: bool) {
        self.requested = requested;
    }

    /// Records that this entry had all tables of the store at a time.
    pub fn record_sync(&mut self, at: Time) {
        self.last_sync = self.last_sync.max(Some(at));
    }

    /// Records that the store answered this entry.
    pub fn store_answered(&mut self, now: Time) {
        if self.subscription == Subscription::Operator {
            self.answering_since.get_or_insert(now);
        }
    }

    /// Records that the store did not answer this entry.
    pub fn store_failed(&mut self) {
        self.answering_since = None;
        self.has_failed = true;
    }

    /// Records that the link to an entry is open; returns whether it is still needed. Another
    /// source may have become fresh while it was opened.
    pub fn link_opened(&mut self, name: &InstanceId, now: Time) -> bool {
        let contact = self.contacts.get_mut(name);
        match contact.filter(|contact| contact.is_linked()) {
            Some(contact) => {
                contact.link_opened(now);
                true
            }
            None => false,
        }
    }

    /// Records that the link to an entry was closed or could not be opened.
    pub fn link_closed(&mut self, name: &InstanceId, now: Time) {
        if let Some(contact) = self.contacts.get_mut(name) {
            contact.link_failed(now);
        }
    }

    /// Records the status that an entry reports.
    pub fn record_status(&mut self, name: &InstanceId, status: Status, now: Time) {
        let Some(contact) = self.contacts.get_mut(name) else {
            return;
        };
        contact.record_status(status, now);
        self.last_sync = self.last_sync.max(status.last_sync);
    }

    /// Returns the actions to take now.
    pub fn step(&mut self, now: Time) -> Vec<Action> {
        if std::mem::take(&mut self.peers_changed) {
            self.ranked = rank::by_hall(self.peers.values());
        }
        let mut actions = Vec::new();
        if !self.listed {
            return self.read(Subscription::Entries, actions);
        }
        let mut kept = BTreeSet::new();
        let scan = self.scan_halls(now, &mut kept, &mut actions);
        let links = self.contacts.iter_mut();
        for (name, contact) in links.filter(|(name, c)| !kept.contains(*name) && c.is_linked()) {
            contact.link_dropped();
            actions.push(Action::Close(name.clone()));
        }
        let subscription = self.choose(&scan, now);
        self.read(subscription, actions)
    }

    fn read(&mut self, subscription: Subscription, mut actions: Vec<Action>) -> Vec<Action> {
        if self.subscription != subscription {
            self.subscription = subscription;
            self.answering_since = None;
            self.has_failed = false;
            actions.push(Action::Read(subscription));
        }
        actions
    }

    /// Scans the own data hall and the next one, or all data halls if this entry reads the store,
    /// so that the changes found in one data hall reach all.
    fn scan_halls(
        &mut self,
        now: Time,
        kept: &mut BTreeSet<InstanceId>,
        actions: &mut Vec<Action>,
    ) -> Scan {
        let home = self.own.hall.clone();
        let after = self.ranked.keys().filter(|hall| **hall > home);
        let before = self.ranked.keys().filter(|hall| **hall < home);
        let others: Vec<Hall> = after.chain(before).cloned().collect();
        let mut scan = self.scan(&home, SOURCES, now, kept, actions);
        scan.near = scan.fresh;
        let far = match (scan.near, scan.own) {
            (0, true) => others.len(),
            // The next data hall is used if no source of the own one is fresh and this entry has
            // enough state not to need all tables from there.
            (0, false) if scan.warming == 0 && self.configured => 1,
            _ => 0,
        };
        for hall in others.iter().take(far) {
            let more = self.scan(hall, 1, now, kept, actions);
            scan.fresh += more.fresh;
            scan.warming += more.warming;
        }
        scan
    }

    /// Scans a data hall in the order of rank until enough sources are fresh or this entry itself
    /// is reached. Opens missing links and keeps those that are being opened.
    fn scan(
        &mut self,
        hall: &Hall,
        wanted: usize,
        now: Time,
        kept: &mut BTreeSet<InstanceId>,
        actions: &mut Vec<Action>,
    ) -> Scan {
        let mut scan = Scan::default();
        let timeouts = self.current_timeouts();
        // During a start all sources start as well; contacting more entries would make more of them
        // read the store.
        let at_once = match self.configured {
            true => wanted.max(PARALLEL_ATTEMPTS),
            false => wanted,
        };
        let mut tried = 0;
        for name in self.ranked.get(hall).into_iter().flatten() {
            if scan.fresh >= wanted || tried >= MAX_CANDIDATES {
                break;
            }
            tried += 1;
            if *name == self.own.name {
                scan.own = true;
                break;
            }
            let contact = self.contacts.entry(name.clone()).or_default();
            match contact.health(now, &timeouts) {
                Health::Fresh => scan.fresh += 1,
                Health::Warming => scan.warming += 1,
                Health::Stale => {}
                Health::Silent => {
                    contact.link_failed(now);
                    actions.push(Action::Close(name.clone()));
                    continue;
                }
                Health::BackingOff => {
                    tried -= usize::from(contact.is_gone());
                    continue;
                }
                Health::Unknown if scan.fresh + scan.warming >= at_once => continue,
                Health::Unknown => {
                    contact.link_requested(now);
                    scan.warming += 1;
                    if let Some(peer) = self.peers.get(name) {
                        actions.push(Action::Open(name.clone(), peer.address));
                    }
                }
            }
            kept.insert(name.clone());
        }
        scan
    }

    /// Returns how long an entry without a configuration waits for its sources.
    fn start_wait(&self) -> Span {
        let near = self.ranked.get(&self.own.hall).map_or(0, Vec::len) as u64;
        START_WAIT + Span::from_micros(START_WAIT_PER_ENTRY.micros() * near)
    }

    /// Returns the time limits that apply now. While all entries start, sources that have read the
    /// store serve all tables to every entry, so that the warm-up takes longer.
    fn current_timeouts(&self) -> Timeouts {
        match self.configured {
            true => self.timeouts,
            false => Timeouts {
                warmup: self.timeouts.warmup.max(self.start_wait()),
                ..self.timeouts
            },
        }
    }

    /// Returns what to read of the store after a scan of the data halls.
    fn choose(&mut self, scan: &Scan, now: Time) -> Subscription {
        // A reader may miss a change for longer than is allowed; a source in another data hall
        // reports it then. If there is no other data hall, a second entry of this one reads the
        // store.
        let is_covered = scan.near > 0 && self.ranked.len() > 1;
        let must = scan.own || self.requested;
        if must && !is_covered {
            self.sourceless_since = None;
            self.needed_at = Some(now);
            return Subscription::All;
        }
        if scan.fresh > 0 {
            self.sourceless_since = None;
            let lingers = self.needed_at.is_some_and(|at| now.since(at) < LINGER);
            return match (self.subscription, lingers) {
                (Subscription::All, true) => Subscription::All,
                _ => Subscription::Nothing,
            };
        }
        if self.subscription == Subscription::All {
            return Subscription::All;
        }
        if !self.configured {
            let waited = self.listed_at.map_or(Span::default(), |at| now.since(at));
            return match waited >= self.start_wait() || scan.warming == 0 {
                true => Subscription::All,
                false => Subscription::Nothing,
            };
        }
        // The next entries in rank get the time of one attempt. The attempts at those after them,
        // one after the other, would take too long.
        let sourceless_since = *self.sourceless_since.get_or_insert(now);
        let is_warming = scan.warming > 0 && now.since(sourceless_since) < self.timeouts.warmup;
        if is_warming && self.subscription == Subscription::Nothing {
            return Subscription::Nothing;
        }
        // If the store has answered at once, only the sources have failed.
        let settle = match self.has_failed {
            true => SETTLE,
            false => Span::default(),
        };
        match self
            .answering_since
            .is_some_and(|at| now.since(at) >= settle)
        {
            true => Subscription::All,
            false => Subscription::Operator,
        }
    }
}

/// The result of a scan of data halls.
#[derive(Clone, Copy, Debug, Default)]
struct Scan {
    /// The number of fresh sources.
    fresh: usize,
    /// The number of those in the own data hall that rank before this entry.
    near: usize,
    /// The number of sources that may become fresh.
    warming: usize,
    /// Whether this entry itself ranks among those that read the store.
    own: bool,
}
