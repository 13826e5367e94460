//! Replication of the store's tables between entries. The same links carry release reports,
//! prefill times of long prompts, session affinities, quarantine updates, notices of upstreams
//! and speed sums.
//!
//! [`sorreldeck::replication`] chooses the entries from which this one gets the tables, its
//! sources. This module handles the messages to and from the sources and to the entries that
//! get the tables from this one, its subscribers. It uses neither sockets nor a clock: frames
//! go in, commands come out.

mod sources;
mod subscribers;

use super::hints::{Affinities, Hints};
use super::mirror::{Mirror, Update};
use super::reports::Reports;
use super::speeds::{Exchange, Sums};
use super::usage::Usage;
use sorreldeck::duty::Tally;
use sorreldeck::entry::{Input, Output};
use sorreldeck::era::Stamp;
use sorreldeck::pick::{Link, SpeedSum};
use sorreldeck::release::Report;
use sorreldeck::replication::{Action, Peer, Planner, Subscription, Timeouts};
use sorreldeck::wire::{Frame, TABLE_COUNT};
use sorreldeck::{AccountId, Hall, InstanceId, PoolId, Span, Time};
use sorreldeck_platform::Table;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Minimum interval between two polls of the same table: the maximum duration of a call, so
/// that no call that would still be answered is aborted.
const MIN_POLL_INTERVAL: Span = Span::from_millis(1_500);

/// A command for the event loop.
#[derive(Clone, Debug)]
pub enum Command {
    /// Open a link to an entry.
    Open(InstanceId, SocketAddr),
    /// Close a link.
    Close(Link),
    /// Send a frame.
    Send(Link, Frame),
    /// Read these tables of the store; other entries may get them from this one.
    Read(Subscription),
    /// Abort the long poll of a table and read it at once.
    Poll(Table),
    /// Pass what other entries told to the decisions of this one.
    Handle(Input),
}

/// An entry that gets the tables from this one.
#[derive(Clone, Debug)]
struct Subscriber {
    entry: InstanceId,
    hall: Hall,
    /// The versions that were sent to it.
    stamps: [Stamp; TABLE_COUNT],
    last_sent: Time,
    /// The change counter of the release reports up to which they were sent to it.
    sent_reports: u64,
    /// Whether it reads the store itself.
    reads_store: bool,
    /// The hints that are queued for it.
    hints: Hints,
    /// The speed sums that are queued for it.
    speeds: Sums,
}

/// An entry that this one gets the tables from.
#[derive(Clone, Debug)]
struct Source {
    name: InstanceId,
    /// When the link was opened.
    opened_at: Time,
    /// Whether it was asked for the tables.
    is_subscribed: bool,
    last_sent: Time,
    /// When it was last sent release reports, and the change counter up to which they were sent.
    reported_at: Time,
    sent_reports: u64,
    /// Whether it got the counts from before the link was opened.
    has_counts: bool,
}

/// The replication links of an entry.
#[derive(Clone, Debug)]
pub struct Relay {
    follow: Planner,
    own: Peer,
    sources: BTreeMap<Link, Source>,
    subscribers: BTreeMap<Link, Subscriber>,
    reports: Reports,
    /// Whether the last poll of the operator table failed.
    operator_failing: bool,
    /// The tables that the store has answered for since it was last unreachable, or since this
    /// entry began to read it.
    answered: [bool; TABLE_COUNT],
    /// When each table was last polled anew or its reading began.
    polled_at: [Time; TABLE_COUNT],
    /// When the store last answered for the operator table.
    operator_answered: Time,
    /// The hints that are queued for the sources.
    hints: Hints,
    /// The sessions that are bound to their release by affinity.
    affinities: Affinities,
    /// The speed sums that are not sent yet.
    speeds: Exchange,
    /// The source that forwards the hints of this entry, if there is one.
    primary: Option<InstanceId>,
    /// Whether this entry is about to stop.
    leaving: bool,
    /// The usage counts, if the platform asks for usage reports.
    usage: Option<Usage>,
}

impl Relay {
    /// Creates the replication state of an entry without links.
    pub fn new(own: Peer, timeouts: Timeouts) -> Relay {
        Relay {
            follow: Planner::new(own.clone(), timeouts),
            own,
            sources: BTreeMap::new(),
            subscribers: BTreeMap::new(),
            reports: Reports::default(),
            operator_failing: false,
            answered: [false; TABLE_COUNT],
            polled_at: [Time::default(); TABLE_COUNT],
            operator_answered: Time::default(),
            hints: Hints::default(),
            affinities: Affinities::default(),
            speeds: Exchange::default(),
            primary: None,
            leaving: false,
            usage: None,
        }
    }

    /// Starts counting the requests that begin to run.
    pub fn enable_usage(&mut self, tally: Tally) {
        self.usage = Some(Usage::new(tally));
    }

    /// Returns the usage counts, if requests are counted.
    pub fn usage(&mut self) -> Option<&mut Usage> {
        self.usage.as_mut()
    }

    /// Counts a request of a client account that began to run.
    pub fn count_request(&mut self, account: &AccountId, mirror: &Mirror, now: Time) {
        if let Some(usage) = &mut self.usage {
            usage.record(account, now, mirror.store_time(now));
        }
    }

    /// Returns the choice of sources.
    pub fn follow(&self) -> &Planner {
        &self.follow
    }

    /// Returns the source at the other end of a link.
    pub fn source(&self, link: Link) -> Option<&InstanceId> {
        self.sources.get(&link).map(|source| &source.name)
    }

    /// Returns the number of entries that get the tables from this one.
    pub fn subscribers(&self) -> usize {
        self.subscribers.len()
    }

    /// Adds an entry that published its address.
    pub fn learn(&mut self, peer: Peer) {
        self.follow.add_peer(peer);
    }

    /// Records that the list of entries is known.
    pub fn listed(&mut self, now: Time) {
        self.follow.set_listed(now);
    }

    /// Records that the store answered for a table.
    ///
    /// The operator table is polled often, the others with long polls. The mirrored tables are
    /// therefore as current as the last answer for the operator table, provided that all other
    /// tables have been answered for since the store was last unreachable and none of them is
    /// [behind](Mirror::behind). Subscribers are notified at once, because the time of that
    /// answer counts for them.
    pub fn note_answer(&mut self, table: Table, now: Time) {
        self.answered[table as usize] = true;
        if table == Table::Operator {
            if std::mem::take(&mut self.operator_failing) {
                // The polls of the other tables restart by themselves.
                self.polled_at = [now; TABLE_COUNT];
            }
            self.operator_answered = now;
            self.follow.store_answered(now);
        }
        if !self.reads_store() || self.answered.contains(&false) {
            return;
        }
        self.follow.record_sync(self.operator_answered);
        for subscriber in self.subscribers.values_mut() {
            subscriber.last_sent = Time::default();
        }
    }

    /// Discards earlier answers as a sign of current tables, after the machine was suspended or
    /// the store was restored from a backup.
    pub fn invalidate(&mut self, now: Time) {
        self.answered = [false; TABLE_COUNT];
        self.polled_at = [now; TABLE_COUNT];
    }

    /// Records that the store did not answer for a table. If it did not answer for the operator
    /// table, it is considered unreachable.
    pub fn note_failure(&mut self, table: Table) {
        self.answered[table as usize] = false;
        if table == Table::Operator {
            self.operator_failing = true;
            self.answered = [false; TABLE_COUNT];
            self.follow.store_failed();
        }
    }

    /// Records that this entry is about to stop.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Shares this entry's report on a release with other entries.
    pub fn share_report(&mut self, pool: PoolId, report: Report) {
        self.reports.set_local(pool, self.own.name.clone(), report);
    }

    /// Shares an output of this entry's decisions with other entries, if it is a hint; returns
    /// whether it is one.
    pub fn share(&mut self, output: &Output, now: Time) -> bool {
        let Some(hints) = Hints::of_output(output, now) else {
            return false;
        };
        self.affinities.record(&hints.affinities, now);
        self.queue_hints(hints);
        true
    }

    /// Tells other entries how long work of this one took at upstreams.
    pub fn share_speeds(&mut self, sums: &[SpeedSum]) {
        self.speeds.record_own(sums, self.primary.is_some());
    }

    /// Sends hints of this entry to the source that forwards them or, without such a source, to
    /// the subscribers. Sent both ways, a prompt would be counted twice.
    fn queue_hints(&mut self, hints: Hints) {
        if self.primary.is_none() {
            self.queue_for_subscribers(&hints, None, true);
        }
        self.hints.extend(&hints);
    }

    /// Handles a closed link.
    pub fn closed(&mut self, link: Link, now: Time) {
        self.subscribers.remove(&link);
        if let Some(source) = self.sources.remove(&link) {
            self.follow.link_closed(&source.name, now);
        }
    }

    /// Handles a frame; returns the updates of the tables and the commands that follow.
    pub fn handle_frame(
        &mut self,
        link: Link,
        frame: Frame,
        mirror: &mut Mirror,
        now: Time,
    ) -> (Vec<Update>, Vec<Command>) {
        match frame {
            Frame::Follow(follow) => (Vec::new(), self.handle_follow(link, *follow, mirror, now)),
            Frame::Feed(feed) => self.handle_feed(link, *feed, mirror, now),
            _ => (Vec::new(), Vec::new()),
        }
    }

    /// Returns the commands that are due.
    pub fn step(&mut self, mirror: &mut Mirror, now: Time) -> Vec<Command> {
        if mirror.has_operator_table() {
            self.follow.set_configured();
        }
        self.follow.set_requested(!self.subscribers.is_empty());
        self.primary = self.follow.primary(now).cloned();
        let mut commands = Vec::new();
        for action in self.follow.step(now) {
            match action {
                Action::Open(name, address) => commands.push(Command::Open(name, address)),
                Action::Read(subscription) => {
                    self.operator_failing &= subscription != Subscription::Nothing;
                    self.answered = [false; TABLE_COUNT];
                    self.polled_at = [now; TABLE_COUNT];
                    commands.push(Command::Read(subscription));
                }
                Action::Close(name) => {
                    let links = self.sources.iter().filter(|(_, s)| s.name == name);
                    let links: Vec<Link> = links.map(|(link, _)| *link).collect();
                    for link in links {
                        self.sources.remove(&link);
                        commands.push(Command::Close(link));
                    }
                }
            }
        }
        commands.extend(self.poll_stale(mirror, now));
        commands.extend(self.subscribe_to_rest(mirror, now));
        commands.extend(self.notify_sources(mirror, now));
        self.queue_speeds(now);
        commands.extend(self.publish(mirror, now));
        commands
    }

    /// Polls tables anew whose long polls yield nothing while the store answers for others.
    ///
    /// A long poll may hang on a dead connection, or miss changes until it ends if the store
    /// has lost its history. Answers for the operator table do not reveal this.
    fn poll_stale(&mut self, mirror: &Mirror, now: Time) -> Vec<Command> {
        if !self.reads_store() || self.operator_failing {
            return Vec::new();
        }
        for table in mirror.behind(now, self.follow.timeouts().version_gap) {
            self.answered[table as usize] = false;
        }
        let mut commands = Vec::new();
        for table in Table::ALL {
            let number = table as usize;
            if !self.answered[number] && now.since(self.polled_at[number]) >= MIN_POLL_INTERVAL {
                self.polled_at[number] = now;
                commands.push(Command::Poll(table));
            }
        }
        commands
    }

    /// Returns whether this entry reads all tables of the store itself.
    fn reads_store(&self) -> bool {
        self.follow.subscription() == Subscription::All
    }
}

/// Returns the command that passes speed sums to the decisions of this entry, if there are any.
fn speed_command(sums: Vec<SpeedSum>) -> Option<Command> {
    (!sums.is_empty()).then(|| Command::Handle(Input::SpeedSums(sums)))
}

/// Returns the difference between UTC and the store's clock according to this process, in
/// microseconds.
pub fn own_epoch(mirror: &Mirror, now: Time) -> Option<i64> {
    let store = i64::try_from(mirror.store_time(now)?).ok()?;
    i64::try_from(now.0).ok()?.checked_sub(store)
}
