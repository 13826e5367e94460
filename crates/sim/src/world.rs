//! The simulated world: entries, the links between them and a store.

use crate::check::change_number;
use crate::rows;
use crate::store::Store;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sorreldeck::entry::Input;
use sorreldeck::era::Freshness;
use sorreldeck::notice;
use sorreldeck::pick::{Link, SpeedSum};
use sorreldeck::quarantine;
use sorreldeck::release::Report;
use sorreldeck::replication::{Peer, Subscription, Timeouts};
use sorreldeck::wire::{self, Frame};
use sorreldeck::{Hall, InstanceId, Span, Time, UpstreamId};
use sorreldeck_platform::store::Row;
use sorreldeck_platform::Table;
use sorreldeckd::hosted::{Command, Mirror, Relay, Update};
use std::collections::{BTreeMap, BTreeSet};

/// Times within which all entries must receive a change, as set in installations of about 3, 30
/// and 100 entries.
pub const STALENESS_LIMITS: [Span; 3] = [
    Span::from_millis(2_000),
    Span::from_millis(3_000),
    Span::from_millis(4_000),
];
/// The time of a simulation step.
pub const TICK: Span = Span::from_millis(20);
/// The key of the operator's row that represents the configuration.
const CONFIGURATION: &str = "x-0";
/// Duration of a long poll on the tables other than the operator's.
pub const OTHER_POLL_WAIT: Span = Span::from_millis(20_000);
/// Number of upstreams that register and retire. It is so large that only a small part retires at
/// the same time: if half of all rows are deleted at once, entries assume lapsed leases.
pub const UPSTREAMS: u64 = 30;
/// Time beyond the duration of a long poll after which a hanging call is abandoned.
pub const CALL_TIMEOUT: Span = Span::from_millis(1_500);

/// Returns the pause after an answer, during which changes of a table accumulate before the next
/// long poll.
pub fn batch_delay(table: Table) -> Span {
    Span::from_millis(match table {
        Table::Operator | Table::Progress => 250,
        Table::Upstreams => 600,
        Table::Own | Table::Duties => 1_000,
    })
}

/// The state of an entry's long poll on a table of the store.
#[derive(Clone, Copy, Debug, Default)]
pub struct Poll {
    /// The start of the pending call, if any.
    pub since: Option<Time>,
    /// No call starts before this time.
    pub pause_until: Time,
    /// Whether the store has answered since the table was subscribed to.
    pub answered: bool,
    /// 1 after a failed call, 0 otherwise.
    pub failures: u32,
    /// Whether the call is not notified of changes until it ends.
    pub is_stalled: bool,
    /// Whether the connection is dead, so that the call is never answered.
    pub is_dead: bool,
}

/// An entry and its faults.
pub struct Node {
    pub peer: Peer,
    pub relay: Relay,
    pub mirror: Mirror,
    /// The tables that the entry reads from the store.
    pub subscription: Subscription,
    /// The long polls by table.
    pub polls: [Poll; 4],
    /// The entry is not running until this time.
    pub down_until: Time,
    /// The entry's process is suspended until this time.
    pub frozen_until: Time,
    /// The entry has no connection to other entries until this time.
    pub partitioned_until: Time,
    /// The entry cannot reach the store until this time.
    pub store_unreachable_until: Time,
    /// The end of the latest fault of the entry.
    pub healthy_since: Time,
    /// The sessions of which an affinity was received.
    pub affinities: BTreeSet<u64>,
    /// The updates received on requests that crashed upstreams.
    pub quarantine_updates: Vec<quarantine::Update>,
    /// The updates received on notices of upstreams.
    pub notices: Vec<notice::Update>,
    /// The reports received on a release, with the data hall of those who made them.
    pub reports: Vec<(Hall, Report)>,
    /// The speed sums received.
    pub speeds: Vec<SpeedSum>,
    /// The number of the latest change seen of each row since the entry's start.
    pub latest_changes: BTreeMap<(Table, String), u64>,
    /// The upstreams that may receive requests.
    pub routable: BTreeSet<UpstreamId>,
}

impl Node {
    /// Creates an entry without faults.
    pub fn new(peer: Peer, limit: Span) -> Node {
        Node {
            relay: Relay::new(peer.clone(), Timeouts::of(limit)),
            peer,
            mirror: Mirror::default(),
            subscription: Subscription::Nothing,
            polls: [Poll::default(); 4],
            down_until: Time::default(),
            frozen_until: Time::default(),
            partitioned_until: Time::default(),
            store_unreachable_until: Time::default(),
            healthy_since: Time::default(),
            affinities: BTreeSet::new(),
            quarantine_updates: Vec::new(),
            notices: Vec::new(),
            reports: Vec::new(),
            speeds: Vec::new(),
            latest_changes: BTreeMap::new(),
            routable: BTreeSet::new(),
        }
    }

    /// Records what other entries told.
    fn record(&mut self, input: Input) {
        match input {
            Input::SessionAffinity(new) => drop(self.affinities.insert(new.session)),
            Input::QuarantineUpdate(update) => self.quarantine_updates.push(update),
            Input::Notice(update) => self.notices.push(update),
            Input::SpeedSums(sums) => self.speeds.extend(sums),
            Input::ReleaseReport(_, hall, report) => self.reports.push((hall, report)),
            _ => {}
        }
    }

    /// Returns whether the process exists, suspended or not.
    pub fn is_up(&self, now: Time) -> bool {
        now >= self.down_until
    }

    /// Returns the number of the configuration in effect, 0 if none is.
    pub fn config_number(&self) -> u64 {
        let row = self.mirror.row(Table::Operator, CONFIGURATION);
        row.map_or(0, change_number)
    }

    /// Returns whether the process exists and is not suspended.
    pub fn is_running(&self, now: Time) -> bool {
        self.is_up(now) && now >= self.frozen_until
    }

    /// Records that a fault of the entry lasts until a time.
    pub fn mark_impaired(&mut self, until: Time) {
        self.healthy_since = self.healthy_since.max(until);
    }
}

/// One end of a link: the entry and its number for the link.
pub type End = (usize, Link);

/// An event that reaches an entry.
pub enum Event {
    /// An attempt to open a link ended; without a link, it failed.
    Opened(usize, InstanceId, Option<(Link, End)>),
    /// A frame arrived at an end of a link.
    Frame(End, Box<Frame>),
    /// The other end closed the link.
    Closed(End),
}

/// Entries, their links and a store in simulated time.
pub struct World {
    /// The time within which all entries must receive a change.
    pub staleness_limit: Span,
    /// The number of upstreams that register and retire.
    pub upstreams: u64,
    /// The source of all random decisions.
    pub rng: ChaCha8Rng,
    /// The simulated time.
    pub now: Time,
    pub store: Store,
    pub nodes: Vec<Node>,
    /// The other end of each link.
    pub links: BTreeMap<End, End>,
    /// The ends of links that have permanently stopped transmitting without a reset.
    pub blackholed: BTreeSet<End>,
    /// The pending events by time and number.
    pub events: BTreeMap<(Time, u64), Event>,
    /// The share of links with an additional delay.
    pub slow_link_share: f64,
    /// The share of frames that arrive a second time, late.
    pub duplicate_share: f64,
    /// The additional delay of each end of a slow link.
    pub delays: BTreeMap<End, Span>,
    /// The arrival time of the last message to each end, since messages do not overtake each other.
    pub last_arrival: BTreeMap<End, Time>,
    /// The number of the next end of a link.
    pub next_link: Link,
    /// The number of the last event scheduled.
    pub last_event_number: u64,
    /// All messages are delayed until this time.
    pub slow_until: Time,
    /// The bytes sent between data halls.
    pub cross_hall_bytes: u64,
    /// The bytes sent by each entry.
    pub sent_bytes: Vec<u64>,
    /// The bytes sent by each end of a link.
    pub link_bytes: BTreeMap<End, u64>,
    /// The number of complete tables of upstreams sent, and of those sent to another data hall.
    pub full_tables: (u64, u64),
}

impl World {
    /// Creates a world with the longest of [`STALENESS_LIMITS`].
    pub fn new(seed: u64, halls: usize, entries: usize) -> World {
        World::within(STALENESS_LIMITS[2], seed, halls, entries)
    }

    /// Creates a world in which all entries must receive a change within `limit`.
    pub fn within(limit: Span, seed: u64, halls: usize, entries: usize) -> World {
        let mut world = World {
            staleness_limit: limit,
            upstreams: UPSTREAMS,
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Time(1_000_000),
            store: Store::default(),
            nodes: Vec::new(),
            links: BTreeMap::new(),
            blackholed: BTreeSet::new(),
            events: BTreeMap::new(),
            slow_link_share: 0.0,
            duplicate_share: 0.05,
            delays: BTreeMap::new(),
            last_arrival: BTreeMap::new(),
            next_link: 1,
            last_event_number: 0,
            slow_until: Time::default(),
            cross_hall_bytes: 0,
            sent_bytes: vec![0; entries],
            link_bytes: BTreeMap::new(),
            full_tables: (0, 0),
        };
        for i in 0..entries {
            let name = format!("e-{i}").parse().unwrap();
            let hall = format!("h-{}", i % halls).parse().unwrap();
            let address = format!("127.0.0.1:{}", 1 + i).parse().unwrap();
            let peer = Peer::new(name, hall, address);
            let value = serde_json::to_vec(&peer).unwrap();
            let key = format!("entry/{}", peer.name);
            world.store.put(Table::Own, &key, Some(value), world.now);
            world.nodes.push(Node::new(peer, limit));
        }
        world
            .store
            .put(Table::Operator, CONFIGURATION, Some(vec![1]), world.now);
        world
            .store
            .put(Table::Progress, "x-0", Some(vec![1]), world.now);
        world
    }

    /// Registers all upstreams.
    pub fn put_upstreams(&mut self) {
        for row in (0..self.upstreams).map(|number| upstream(number, 0)) {
            self.store
                .put(Table::Upstreams, &row.key, row.value, self.now);
        }
    }

    /// Writes a new configuration; returns its number.
    pub fn configure(&mut self) -> u64 {
        self.store.change_count += 1;
        let number = 1 + self.store.change_count;
        let value = Some(number.to_be_bytes().to_vec());
        self.store
            .put(Table::Operator, CONFIGURATION, value, self.now);
        number
    }

    /// Returns a random delay of a message.
    pub fn delay(&mut self) -> Span {
        let slow = self.now < self.slow_until;
        let max = if slow { 250_000 } else { 3_000 };
        Span::from_micros(self.rng.random_range(500..max))
    }

    /// Schedules an event.
    pub fn schedule(&mut self, time: Time, event: Event) {
        self.last_event_number += 1;
        self.events.insert((time, self.last_event_number), event);
    }

    /// Returns whether neither of two entries is partitioned.
    pub fn reaches(&self, from: usize, to: usize) -> bool {
        let is_partitioned = |n: &Node| self.now < n.partitioned_until;
        !is_partitioned(&self.nodes[from]) && !is_partitioned(&self.nodes[to])
    }

    /// Sends a frame over a link. Some frames arrive a second time, late.
    pub fn send(&mut self, from: End, frame: Frame) {
        let Some(to) = self.links.get(&from).copied() else {
            return;
        };
        if !self.reaches(from.0, to.0) || self.blackholed.contains(&from) {
            return;
        }
        let bytes = wire::encode(std::slice::from_ref(&frame)).len() as u64;
        self.sent_bytes[from.0] += bytes;
        *self.link_bytes.entry(from).or_default() += bytes;
        let is_cross_hall = self.nodes[from.0].peer.hall != self.nodes[to.0].peer.hall;
        if is_cross_hall {
            self.cross_hall_bytes += bytes;
        }
        if is_full_table(&frame) {
            self.full_tables.0 += 1;
            self.full_tables.1 += u64::from(is_cross_hall);
        }
        let extra = self.delays.get(&from).copied().unwrap_or_default();
        let due = self.now + self.delay() + extra;
        let last = self.last_arrival.entry(to).or_default();
        let due = due.max(*last);
        *last = due;
        if self.rng.random_bool(self.duplicate_share) {
            let late = due + Span::from_millis(self.rng.random_range(0..800));
            self.schedule(late, Event::Frame(to, Box::new(frame.clone())));
        }
        self.schedule(due, Event::Frame(to, Box::new(frame)));
    }

    /// Executes the commands of an entry's relay.
    pub fn execute(&mut self, node: usize, commands: Vec<Command>) {
        for command in commands {
            match command {
                Command::Open(name, _) => self.open(node, name),
                Command::Close(link) => self.close((node, link)),
                Command::Send(link, frame) => self.send((node, link), frame),
                Command::Read(subscription) => {
                    let before =
                        std::mem::replace(&mut self.nodes[node].subscription, subscription);
                    for (poll, table) in self.nodes[node].polls.iter_mut().zip(Table::ALL) {
                        if !is_read(subscription, table) || before == Subscription::Entries {
                            *poll = Poll::default();
                        }
                    }
                }
                Command::Poll(table) => {
                    self.nodes[node].polls[table as usize] = Poll::default();
                }
                Command::Handle(input) => self.nodes[node].record(input),
            }
        }
    }

    /// Starts to open a link to the entry with a name.
    pub fn open(&mut self, node: usize, name: InstanceId) {
        let to = self.nodes.iter().position(|n| n.peer.name == name).unwrap();
        let back = self.delay() + self.delay();
        let is_there = self.nodes[to].is_up(self.now) && self.reaches(node, to);
        if !is_there {
            // A closed port refuses the connection; across a partition the attempt times out.
            let after = match self.reaches(node, to) {
                true => back,
                false => Span::from_millis(500),
            };
            return self.schedule(self.now + after, Event::Opened(node, name, None));
        }
        let (a, b) = ((node, self.next_link), (to, self.next_link + 1));
        self.next_link += 2;
        if self.rng.random_bool(self.slow_link_share) {
            let delay = Span::from_millis(self.rng.random_range(20..200));
            self.delays.insert(a, delay);
            self.delays.insert(b, delay);
        }
        self.schedule(self.now + back, Event::Opened(node, name, Some((a.1, b))));
    }

    /// Closes a link; the other end learns of it unless the link is blackholed.
    pub fn close(&mut self, end: End) {
        if let Some(other) = self.links.remove(&end) {
            if self.blackholed.contains(&end) {
                return;
            }
            self.links.remove(&other);
            let due = self.now + self.delay();
            self.schedule(due, Event::Closed(other));
        }
    }

    /// Delivers an event, or postpones it while the entry is suspended.
    pub fn deliver(&mut self, event: Event) {
        let (now, frozen) = (self.now, self.is_frozen(&event));
        if frozen {
            return self.schedule(now + TICK, event);
        }
        match event {
            Event::Opened(node, name, opened) => {
                if !self.nodes[node].is_up(now) {
                    return;
                }
                let link = opened.map(|(link, other)| {
                    self.links.insert((node, link), other);
                    self.links.insert(other, (node, link));
                    link
                });
                let n = &mut self.nodes[node];
                let commands = n.relay.opened(name, link, &n.mirror, now);
                self.execute(node, commands);
            }
            Event::Frame(end, frame) => {
                if !self.links.contains_key(&end) || !self.nodes[end.0].is_up(now) {
                    return;
                }
                let n = &mut self.nodes[end.0];
                let (updates, commands) = n.relay.handle_frame(end.1, *frame, &mut n.mirror, now);
                self.handle_restore(end.0);
                self.apply_updates(end.0, updates);
                self.execute(end.0, commands);
                let n = &mut self.nodes[end.0];
                let commands = n.relay.publish(&mut n.mirror, now);
                self.execute(end.0, commands);
            }
            Event::Closed(end) => {
                self.links.remove(&end);
                self.nodes[end.0].relay.closed(end.1, now);
            }
        }
    }

    /// Returns whether the entry that an event is for is suspended.
    pub fn is_frozen(&self, event: &Event) -> bool {
        let node = match event {
            Event::Opened(node, ..) => *node,
            Event::Frame(end, _) | Event::Closed(end) => end.0,
        };
        self.nodes[node].is_up(self.now) && self.now < self.nodes[node].frozen_until
    }

    /// Applies updates that an entry derived from table changes.
    pub fn apply_updates(&mut self, node: usize, updates: Vec<Update>) {
        let node = &mut self.nodes[node];
        for update in updates {
            match update {
                Update::Entry(peer) => node.relay.learn(peer),
                Update::Joined(listed, _) => drop(node.routable.insert(listed.member.upstream)),
                Update::Retired(upstream) => drop(node.routable.remove(&upstream)),
                _ => {}
            }
        }
    }

    /// Kills an entry and restarts it at a time without its state.
    pub fn kill(&mut self, node: usize, until: Time) {
        let ends: Vec<End> = self.links.keys().filter(|e| e.0 == node).copied().collect();
        for end in ends {
            self.close(end);
        }
        let mut restarted = Node::new(self.nodes[node].peer.clone(), self.staleness_limit);
        restarted.down_until = until;
        restarted.healthy_since = until.max(self.nodes[node].healthy_since);
        restarted.partitioned_until = self.nodes[node].partitioned_until;
        restarted.store_unreachable_until = self.nodes[node].store_unreachable_until;
        self.nodes[node] = restarted;
    }

    /// Returns whether an entry can reach the store.
    pub fn is_store_up(&self, node: usize) -> bool {
        self.now >= self.store.down_until && self.now >= self.nodes[node].store_unreachable_until
    }

    /// Advances an entry's long polls as the daemon's followers of the tables do.
    pub fn poll(&mut self, node: usize) {
        for (number, table) in Table::ALL.into_iter().enumerate() {
            let subscription = self.nodes[node].subscription;
            let poll = self.nodes[node].polls[number];
            if !is_read(subscription, table) || self.now < poll.pause_until {
                continue;
            }
            if poll.since.is_none() {
                self.store.calls += 1;
                let poll = &mut self.nodes[node].polls[number];
                poll.since = Some(self.now);
                poll.is_stalled = poll.answered && self.now < self.store.feed_stalled_until;
            }
            let poll = self.nodes[node].polls[number];
            let since = poll.since.unwrap_or(self.now);
            match self.is_store_up(node) {
                _ if poll.is_dead => self.hang(node, table, since),
                true => self.answer(node, table, since),
                false => self.refuse(node, table, since),
            }
        }
    }

    /// Handles a call on a dead connection, which fails after its time-out.
    pub fn hang(&mut self, node: usize, table: Table, since: Time) {
        let wait = self.wait(node, table);
        if self.now.since(since) >= wait + CALL_TIMEOUT {
            self.fail(node, table);
        }
    }

    /// Returns the duration of an entry's long poll on a table.
    pub fn wait(&self, node: usize, table: Table) -> Span {
        let n = &self.nodes[node];
        match table {
            _ if !n.polls[table as usize].answered => Span::default(),
            Table::Operator if n.subscription == Subscription::All => {
                n.relay.follow().timeouts().long_poll
            }
            Table::Operator => Span::from_millis(2_500),
            _ => OTHER_POLL_WAIT,
        }
    }

    /// Answers a call if the table has changes or the long poll ends.
    ///
    /// # Panics
    ///
    /// Panics if the entry rejects the answer as one of an earlier era.
    pub fn answer(&mut self, node: usize, table: Table, since: Time) {
        let now = self.now;
        let wait = self.wait(node, table);
        let n = &mut self.nodes[node];
        let known = n.mirror.base(table);
        let is_notified = !n.polls[table as usize].is_stalled;
        let has_changes = |known| {
            let is_in_history = known <= self.store.version;
            !is_in_history || (is_notified && self.store.newest_version(table) > known)
        };
        if !known.is_none_or(has_changes) && now.since(since) < wait {
            return;
        }
        // After a change of the era, the whole table is read.
        let known = known.filter(|_| n.mirror.era() == self.store.era);
        let (page, is_full) = self.store.page(table, known, now);
        let freshness = n.mirror.observe_era(table, &page, is_full, since, now);
        assert_ne!(freshness, Freshness::Stale);
        self.handle_restore(node);
        let n = &mut self.nodes[node];
        if table == Table::Operator && n.polls[table as usize].failures > 0 {
            // The long polls on the other tables restart.
            n.polls = [Poll::default(); 4];
        }
        n.polls[table as usize] = Poll {
            pause_until: now + batch_delay(table),
            answered: true,
            ..Poll::default()
        };
        n.relay.note_answer(table, now);
        let updates = n.mirror.apply(table, page, is_full, now);
        self.apply_updates(node, updates);
        let n = &mut self.nodes[node];
        if table == Table::Own {
            n.relay.listed(now);
            if n.subscription == Subscription::Entries {
                n.polls[table as usize].pause_until = now + OTHER_POLL_WAIT;
            }
        }
        let commands = n.relay.publish(&mut n.mirror, now);
        self.execute(node, commands);
    }

    /// Restarts all long polls of an entry that has just detected a restore of the store.
    pub fn handle_restore(&mut self, node: usize) {
        let n = &mut self.nodes[node];
        if n.mirror.take_restored().is_some() {
            n.polls = [Poll::default(); 4];
            n.relay.invalidate(self.now);
        }
    }

    /// Fails a call of the unreachable store, either at once or after the call has hung for its
    /// time-out.
    pub fn refuse(&mut self, node: usize, table: Table, since: Time) {
        let now = self.now;
        let n = &mut self.nodes[node];
        let hangs_silently = self.store.is_hanging || n.peer.name.as_str().len() % 2 == 0;
        let hangs = n.relay.follow().timeouts().long_poll + CALL_TIMEOUT;
        if hangs_silently && now.since(since) < hangs {
            return;
        }
        self.fail(node, table);
    }

    /// Fails a call and schedules the next one.
    pub fn fail(&mut self, node: usize, table: Table) {
        let now = self.now;
        let n = &mut self.nodes[node];
        let pause = match (table, n.subscription) {
            (Table::Operator, Subscription::Operator) => 2_000,
            (Table::Operator, _) => 600,
            (_, Subscription::Entries) => 150,
            _ => 2_000,
        };
        n.polls[table as usize] = Poll {
            since: None,
            pause_until: now + Span::from_millis(pause),
            failures: 1,
            ..Poll::default()
        };
        n.mirror.mark_failing(table);
        n.relay.listed(now);
        n.relay.note_failure(table);
    }

    /// Runs one step of the simulation.
    ///
    /// # Panics
    ///
    /// Panics if a row of an entry returns to an earlier state.
    pub fn tick(&mut self) {
        self.now = self.now + TICK;
        if self.now >= self.store.down_until {
            self.store.back_up(self.now);
            self.store.rewrite(self.now);
        }
        while let Some(((time, _), _)) = self.events.first_key_value() {
            if *time > self.now {
                break;
            }
            let (_, event) = self.events.pop_first().unwrap();
            self.deliver(event);
        }
        for node in 0..self.nodes.len() {
            if !self.nodes[node].is_running(self.now) {
                continue;
            }
            let (now, n) = (self.now, &mut self.nodes[node]);
            let last_sync = n.relay.follow().last_sync();
            let lapsed = n.mirror.tick(now, last_sync);
            self.apply_updates(node, lapsed);
            let n = &mut self.nodes[node];
            let commands = n.relay.step(&mut n.mirror, now);
            self.execute(node, commands);
            self.poll(node);
            self.check_rows(node);
        }
    }

    /// Runs a number of steps.
    pub fn run(&mut self, steps: usize) {
        for _ in 0..steps {
            self.tick();
        }
    }
}

/// Returns whether a frame contains the complete table of upstreams.
fn is_full_table(frame: &Frame) -> bool {
    let Frame::Feed(feed) = frame else {
        return false;
    };
    let upstreams = Table::Upstreams as usize;
    let mut tables = feed.tables.iter();
    tables.any(|t| t.number == upstreams && t.since.is_none())
}

/// Returns whether a table is read with a subscription.
pub fn is_read(subscription: Subscription, table: Table) -> bool {
    match subscription {
        Subscription::Nothing => false,
        Subscription::Entries => table == Table::Own,
        Subscription::Operator => table == Table::Operator,
        Subscription::All => true,
    }
}

/// Returns the row of a ready upstream.
pub fn upstream(number: u64, version: u64) -> Row {
    rows::row(&format!("i-{number}"), &rows::upstream("ready"), version)
}
