//! Replication of the store's tables between entries. The same links carry release reports,
//! prefill times of long prompts, session affinities, quarantine updates, notices of upstreams
//! and speed sums.
//!
//! [`sorreldeck::replication`] chooses the entries from which this one gets the tables, its
//! sources. This module handles the messages to and from the sources and to the entries that
//! get the tables from this one, its subscribers. It uses neither sockets nor a clock: frames
//! go in, commands come out.

use super::hints::{Affinities, Hints};
use super::mirror::{Merge, Mirror, Update};
use super::reports::Reports;
use super::speeds::{Exchange, Sums};
use super::usage::Usage;
use sorreldeck::duty::{Tally, Update as UsageUpdate};
use sorreldeck::entry::{Input, Output};
use sorreldeck::era::Stamp;
use sorreldeck::pick::{Link, SpeedSum};
use sorreldeck::release::Report;
use sorreldeck::replication::{Action, Peer, Planner, Status, Subscription, Timeouts};
use sorreldeck::wire::{self, Feed, Frame, TABLE_COUNT};
use sorreldeck::{AccountId, Hall, InstanceId, PoolId, Span, Time};
use sorreldeck_platform::Table;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Keep-alive interval towards sources; a link that is silent for 7 s is considered broken.
const KEEP_ALIVE: Span = Span::from_millis(2_000);

/// How long hints are batched before they are sent. Up to three such delays add up on the way
/// between two entries; one message per prompt would be 150 messages a second on each link.
const HINT_BATCH_DELAY: Span = Span::from_millis(40);

/// How long the first source of an entry without tables may take before the other sources are
/// asked too. A whole table of 3,000 rows takes 0.2 s on the smallest instances.
const FIRST_SOURCE_TIMEOUT: Span = Span::from_millis(400);

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

    /// Queues hints for the subscribers, except for the one that sent them. Hints of other data
    /// halls are queued only for subscribers in this data hall.
    fn queue_for_subscribers(&mut self, hints: &Hints, from: Option<Link>, is_own: bool) {
        let own_hall = &self.own.hall;
        for (link, subscriber) in &mut self.subscribers {
            let is_same_hall = subscriber.hall == *own_hall;
            let is_recipient = is_same_hall || (is_own && subscriber.reads_store);
            if is_recipient && Some(*link) != from {
                subscriber.hints.extend(hints);
            }
        }
    }

    /// Handles an opened link to a source, or `None` if the link could not be opened.
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
            // If the link stayed open, the entry at its other end would keep reading the store.
            return vec![Command::Close(link)];
        }
        let is_subscribed = self.subscribes_at_once(&name, mirror);
        let frame = match is_subscribed {
            true => self.subscription_frame(&name, mirror, now),
            false => Frame::Follow(Box::new(self.keep_alive())),
        };
        let source = Source {
            name,
            opened_at: now,
            is_subscribed,
            last_sent: now,
            reported_at: Time::default(),
            sent_reports: 0,
            has_counts: false,
        };
        self.sources.insert(link, source);
        vec![Command::Send(link, frame)]
    }

    /// Returns whether a source is asked for the tables as soon as it is linked. An entry
    /// without tables asks only one source of its own data hall: each source would send all
    /// tables whole, which delays the start when a hundred entries start together.
    fn subscribes_at_once(&self, source: &InstanceId, mirror: &Mirror) -> bool {
        let is_first = !self.sources.values().any(|s| s.is_subscribed);
        mirror.has_operator_table() || (is_first && self.follow.is_same_hall(source))
    }

    /// Asks the other sources once the first one has sent the tables or has had the time to.
    fn subscribe_to_rest(&mut self, mirror: &Mirror, now: Time) -> Vec<Command> {
        let is_due = |s: &Source| {
            !s.is_subscribed
                && (mirror.has_operator_table() || now.since(s.opened_at) >= FIRST_SOURCE_TIMEOUT)
        };
        let due = self.sources.iter().filter(|(_, s)| is_due(s));
        let due: Vec<(Link, InstanceId)> = due.map(|(l, s)| (*l, s.name.clone())).collect();
        let mut commands = Vec::new();
        for (link, name) in due {
            let frame = self.subscription_frame(&name, mirror, now);
            if let Some(source) = self.sources.get_mut(&link) {
                source.is_subscribed = true;
                source.last_sent = now;
            }
            commands.push(Command::Send(link, frame));
        }
        commands
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

    /// Queues the speed sums that are due for the subscribers.
    fn queue_speeds(&mut self, now: Time) {
        let Some(batch) = self.speeds.take_due(now) else {
            return;
        };
        let readers = self.first_readers();
        for (link, subscriber) in &mut self.subscribers {
            if subscriber.hall == self.own.hall {
                subscriber.speeds.add(&batch.for_local(&subscriber.entry));
            } else if readers.get(&subscriber.hall) == Some(link) {
                subscriber.speeds.add(&batch.for_remote());
            }
        }
    }

    /// Returns the link to the subscriber in each other data hall that forwards speed sums there:
    /// the first in rank that reads the store, so that its data hall gets each sum once.
    fn first_readers(&self) -> BTreeMap<Hall, Link> {
        let mut readers: Vec<(usize, &Hall, Link)> = self
            .subscribers
            .iter()
            .filter(|(_, s)| s.reads_store && s.hall != self.own.hall)
            .map(|(link, s)| (self.rank(&s.entry), &s.hall, *link))
            .collect();
        // The last one of each data hall stays in the map.
        readers.sort_by(|a, b| b.cmp(a));
        let links = readers
            .into_iter()
            .map(|(_, hall, link)| (hall.clone(), link));
        links.collect()
    }

    /// Returns the rank of an entry in its data hall; unknown entries are last.
    fn rank(&self, entry: &InstanceId) -> usize {
        self.follow.rank(entry).unwrap_or(usize::MAX)
    }

    /// Sends changes to the subscribers.
    pub fn publish(&mut self, mirror: &mut Mirror, now: Time) -> Vec<Command> {
        let links: Vec<Link> = self.subscribers.keys().copied().collect();
        let commands = links
            .into_iter()
            .filter_map(|link| self.publish_to(link, mirror, now));
        commands.collect()
    }

    fn publish_to(&mut self, link: Link, mirror: &mut Mirror, now: Time) -> Option<Command> {
        let subscriber = self.subscribers.get(&link)?;
        let is_due = now.since(subscriber.last_sent) >= self.follow.timeouts().heartbeat;
        let has_hints =
            !subscriber.hints.is_empty() && now.since(subscriber.last_sent) >= HINT_BATCH_DELAY;
        let mut tables = Vec::new();
        for (table, stamp) in Table::ALL.iter().zip(&subscriber.stamps) {
            if is_due || mirror.has_changed(*table, *stamp) {
                tables.extend(mirror.delta(*table, *stamp));
            }
        }
        let has_speeds = !subscriber.speeds.is_empty();
        if !is_due && !has_hints && !has_speeds && tables.is_empty() {
            return None;
        }
        let reports = match subscriber.sent_reports < self.reports.changes() {
            true => self
                .reports
                .reports_for(&subscriber.entry, &subscriber.hall, &self.own.hall),
            false => Vec::new(),
        };
        let mut feed = Feed {
            last_contact_us: self.follow.last_sync().and_then(|at| mirror.store_time(at)),
            clock_us: mirror.store_time(now),
            era: mirror.era(),
            leaving: self.leaving,
            tables,
            release_reports: reports,
            epoch_us: self.usage.as_ref().and_then(Usage::agreed),
            ..Feed::default()
        };
        subscriber.hints.put(&mut feed, now);
        let subscriber = self.subscribers.get_mut(&link)?;
        for table in &feed.tables {
            subscriber.stamps[table.number] = Stamp::new(table.era, table.version);
        }
        subscriber.last_sent = now;
        subscriber.sent_reports = self.reports.changes();
        subscriber.hints = Hints::default();
        feed.speeds = subscriber.speeds.take();
        Some(Command::Send(link, Frame::Feed(Box::new(feed))))
    }

    /// Sends keep-alives, release reports, counts and hints to the sources.
    fn notify_sources(&mut self, mirror: &Mirror, now: Time) -> Vec<Command> {
        let heartbeat = self.follow.timeouts().heartbeat;
        let changes = self.reports.changes();
        let mut commands = Vec::new();
        let has_reports = self.reports.has_reports_of(&self.own.name);
        let reads_store = self.reads_store();
        let keep_alive = self.keep_alive();
        let hints = std::mem::take(&mut self.hints);
        // Sums that no source gets are dropped: the runs will be long past when one is linked.
        let speeds = self.speeds.take_own();
        let mut was_sent = reads_store && self.primary.is_none();
        let leaving = self.leaving;
        let changed_counts = self.usage.as_mut();
        let changed_counts = changed_counts.map_or(Vec::new(), |c| c.due(leaving, now));
        let epoch = own_epoch(mirror, now).filter(|_| self.usage.is_some());
        for (link, source) in &mut self.sources {
            let is_same_hall = self.follow.is_same_hall(&source.name);
            let counts = counts_for(
                source,
                &changed_counts,
                self.usage.as_ref().filter(|_| is_same_hall),
            );
            let passed = now.since(source.last_sent);
            let has_new_reports = source.sent_reports < changes && has_reports;
            let has_new_reports = has_new_reports && now.since(source.reported_at) >= heartbeat;
            let is_primary = self.primary.as_ref() == Some(&source.name);
            let has_hints = !hints.is_empty() && is_primary;
            let has_speeds = !speeds.is_empty() && is_primary;
            let is_idle = !has_new_reports && !has_hints && !has_speeds && counts.is_empty();
            if is_idle && passed < KEEP_ALIVE {
                continue;
            }
            source.last_sent = now;
            let mut follow = keep_alive.clone();
            if !counts.is_empty() {
                follow.counts = counts;
                follow.epoch_us = epoch;
            }
            if has_new_reports {
                source.reported_at = now;
                source.sent_reports = changes;
                follow.release_reports = self.reports.reports_of(&self.own.name);
            }
            if has_hints {
                hints.put(&mut follow, now);
                was_sent = true;
            }
            if has_speeds {
                follow.speeds.clone_from(&speeds);
            }
            commands.push(Command::Send(*link, Frame::Follow(Box::new(follow))));
        }
        if !was_sent {
            // Session affinities persist, and a request that crashes upstreams continues to do so.
            self.hints = hints.without_prompts();
        }
        commands
    }

    /// Returns whether this entry reads all tables of the store itself.
    fn reads_store(&self) -> bool {
        self.follow.subscription() == Subscription::All
    }

    /// Returns a keep-alive for a source.
    fn keep_alive(&self) -> wire::Follow {
        wire::Follow {
            reads_store: self.reads_store(),
            ..wire::Follow::new(self.own.name.clone(), self.own.hall.clone())
        }
    }

    /// Returns the frame that asks a source for everything newer than the mirrored tables. A
    /// source in this data hall may have just started and gets all session affinities; other
    /// sources get theirs from entries of their own data hall.
    fn subscription_frame(&self, source: &InstanceId, mirror: &Mirror, now: Time) -> Frame {
        let affinities = match self.follow.is_same_hall(source) {
            true => self.affinities.live(now),
            false => Vec::new(),
        };
        Frame::Follow(Box::new(wire::Follow {
            cursor: Some(mirror.cursor()),
            affinities,
            ..self.keep_alive()
        }))
    }

    /// Queues hints for the primary source, except for prompts, which must not be counted
    /// twice. An entry that cannot reach the primary source sends its hints only to this entry,
    /// which otherwise forwards them to its own subscribers alone.
    fn forward_hints(&mut self, hints: &Hints) {
        if self.primary.is_none() {
            return;
        }
        self.hints.extend(&hints.clone().without_prompts());
    }

    /// Handles a subscription or the keep-alive of a subscriber.
    fn handle_follow(
        &mut self,
        link: Link,
        mut follow: wire::Follow,
        mirror: &mut Mirror,
        now: Time,
    ) -> Vec<Command> {
        let hints = Hints::take(&mut follow, now);
        let is_same_hall = follow.hall == self.own.hall;
        if let Some(cursor) = follow.cursor {
            let stamps = cursor
                .versions
                .map(|version| Stamp::new(cursor.era, version));
            let subscriber = Subscriber {
                entry: follow.entry.clone(),
                hall: follow.hall,
                stamps,
                last_sent: Time::default(),
                sent_reports: 0,
                reads_store: follow.reads_store,
                hints: Hints {
                    affinities: self.affinities.live(now),
                    ..Hints::default()
                },
                speeds: Sums::default(),
            };
            self.subscribers.insert(link, subscriber);
        }
        if let Some(subscriber) = self.subscribers.get_mut(&link) {
            subscriber.reads_store = follow.reads_store;
        }
        let mut commands = Vec::new();
        if let Some(usage) = self.usage.as_mut().filter(|_| is_same_hall) {
            usage.merge(&follow.entry, follow.counts, follow.epoch_us);
        }
        if is_same_hall {
            self.affinities.record(&hints.affinities, now);
            self.queue_for_subscribers(&hints, Some(link), true);
            self.forward_hints(&hints);
            commands.extend(hints.inputs().map(Command::Handle));
            self.speeds.record_local(&follow.entry, &follow.speeds);
            commands.extend(speed_command(follow.speeds));
        }
        for (pool, report) in follow.release_reports.into_iter().filter(|_| is_same_hall) {
            self.reports
                .set_local(pool.clone(), follow.entry.clone(), report);
            let others = self.reports.local_sum_without(&pool, &self.own.name);
            let hall = self.own.hall.clone();
            let input = others.map(|sum| Input::ReleaseReport(pool, hall, sum));
            commands.extend(input.map(Command::Handle));
        }
        commands.extend(self.publish_to(link, mirror, now));
        commands
    }

    /// Handles tables and hints from a source.
    fn handle_feed(
        &mut self,
        link: Link,
        mut feed: Feed,
        mirror: &mut Mirror,
        now: Time,
    ) -> (Vec<Update>, Vec<Command>) {
        let Some(source) = self.sources.get(&link) else {
            return (Vec::new(), Vec::new());
        };
        if let Some(clock) = feed.clock_us {
            mirror.note_clock(clock, now);
        }
        if let Some(usage) = &mut self.usage {
            usage.agree(feed.epoch_us);
        }
        let name = source.name.clone();
        let is_same_hall = self.follow.is_same_hall(&name);
        let hints = Hints::take(&mut feed, now);
        let mut updates = Vec::new();
        let mut gap = false;
        for delta in feed.tables {
            match mirror.apply_delta(delta, now) {
                Merge::Stale => {}
                Merge::Gap => gap = true,
                Merge::Applied(more) => updates.extend(more),
            }
        }
        // The time of the last contact must not be taken over without the changes that belong
        // to it: the tables would seem more current than they are, here and at all subscribers.
        // The same holds for a source that does not know yet that the store was restored.
        let is_current = !gap && feed.era >= mirror.era();
        let last_contact = feed.last_contact_us.filter(|_| is_current);
        let status = Status {
            last_sync: last_contact.and_then(|micros| mirror.local_time(micros)),
            leaving: feed.leaving,
        };
        self.follow.record_status(&name, status, now);
        self.affinities.record(&hints.affinities, now);
        let mut commands: Vec<Command> = hints.inputs().map(Command::Handle).collect();
        if !is_same_hall {
            self.speeds.record_remote(&feed.speeds);
        }
        commands.extend(speed_command(feed.speeds));
        if gap {
            if let Some(source) = self.sources.get_mut(&link) {
                source.last_sent = now;
            }
            let frame = self.subscription_frame(&name, mirror, now);
            commands.push(Command::Send(link, frame));
        }
        if !is_same_hall {
            self.queue_for_subscribers(&hints, None, false);
        }
        for (pool, hall, report) in feed.release_reports {
            if hall != self.own.hall {
                self.reports.merge_remote(&pool, &hall, &report);
            }
            // If this entry has subscribers, they send it the reports of its own data hall
            // directly, which are more current.
            if hall != self.own.hall || self.subscribers.is_empty() {
                let input = Input::ReleaseReport(pool, hall, report);
                commands.push(Command::Handle(input));
            }
        }
        (updates, commands)
    }
}

/// Returns the counts that are due for a source: all if it has none yet, otherwise the changed
/// ones. `counted` is `None` for a source that gets no counts.
fn counts_for(
    source: &mut Source,
    changed: &[UsageUpdate],
    usage: Option<&Usage>,
) -> Vec<UsageUpdate> {
    let Some(usage) = usage else {
        return Vec::new();
    };
    match std::mem::replace(&mut source.has_counts, true) {
        true => changed.to_vec(),
        false => usage.tally().snapshot(),
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
