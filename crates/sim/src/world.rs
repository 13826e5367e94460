//! Entries, their links and a store, and what is checked at each step.

use crate::check::change_number;
use crate::rows;
use crate::store::Store;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sorreldeck::era::Freshness;
use sorreldeck::notice;
use sorreldeck::pick::Link;
use sorreldeck::quarantine;
use sorreldeck::replication::{Peer, Subscription, Timeouts};
use sorreldeck::wire::{self, Frame};
use sorreldeck::{InstanceId, Span, Time, UpstreamId};
use sorreldeck_platform::store::Row;
use sorreldeck_platform::Table;
use sorreldeckd::hosted::{Command, Mirror, Relay, Update};
use std::collections::{BTreeMap, BTreeSet};

/// The times within which a change must be known, as installations of some three, 30 and 100
/// entries set them.
pub const STALENESS_LIMITS: [Span; 3] = [
    Span::from_millis(2_000),
    Span::from_millis(3_000),
    Span::from_millis(4_000),
];
pub const TICK: Span = Span::from_millis(20);
/// The key of the operator's row that stands for the configuration.
const CONFIGURATION: &str = "x-0";
/// How long the tables besides the operator's are waited on.
pub const OTHER_POLL_WAIT: Span = Span::from_millis(20_000);
/// The upstreams that come and go: so many that those which leave at the same time are few of
/// them, since half of all that go at once are taken for lapsed leases.
pub const UPSTREAMS: u64 = 30;
/// How long a call hangs beyond its wait before it is given up.
pub const CALL_TIMEOUT: Span = Span::from_millis(1_500);

/// Returns how long changes of a table are gathered before the next are waited for.
pub fn batch_delay(table: Table) -> Span {
    Span::from_millis(match table {
        Table::Operator | Table::Progress => 250,
        Table::Upstreams => 600,
        Table::Own | Table::Duties => 1_000,
    })
}

/// What an entry waits for at the store.
#[derive(Clone, Copy, Debug, Default)]
pub struct Poll {
    /// Since when; `None` while nothing is asked.
    pub since: Option<Time>,
    pub pause_until: Time,
    /// Whether the store has answered since the reading began.
    pub answered: bool,
    pub failures: u32,
    /// Whether the wait hears nothing until its own end.
    pub is_stalled: bool,
    /// Whether its connection is dead, so that it is never answered.
    pub is_dead: bool,
}

pub struct Node {
    pub peer: Peer,
    pub relay: Relay,
    pub mirror: Mirror,
    pub subscription: Subscription,
    pub polls: [Poll; 4],
    /// Not running before.
    pub down_until: Time,
    /// Running, but standing still until then.
    pub frozen_until: Time,
    pub partitioned_until: Time,
    /// Not reached by the store until then.
    pub store_unreachable_until: Time,
    pub healthy_since: Time,
    /// The sessions that it was told of.
    pub affinities: BTreeSet<u64>,
    /// What was told of requests under which upstreams crashed.
    pub quarantine_updates: Vec<quarantine::Update>,
    pub notices: Vec<notice::Update>,
    /// The number of the latest change that was seen of each row in this life.
    pub latest_changes: BTreeMap<(Table, String), u64>,
    /// The upstreams that may get requests.
    pub routable: BTreeSet<UpstreamId>,
}

impl Node {
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
            latest_changes: BTreeMap::new(),
            routable: BTreeSet::new(),
        }
    }

    pub fn is_up(&self, now: Time) -> bool {
        now >= self.down_until
    }

    /// Returns the number of the configuration that it has in force.
    pub fn config_number(&self) -> u64 {
        let row = self.mirror.row(Table::Operator, CONFIGURATION);
        row.map_or(0, change_number)
    }

    pub fn is_running(&self, now: Time) -> bool {
        self.is_up(now) && now >= self.frozen_until
    }

    pub fn mark_impaired(&mut self, until: Time) {
        self.healthy_since = self.healthy_since.max(until);
    }
}

/// One end of a link: the entry, and the number that it knows the link by.
pub type End = (usize, Link);

pub enum Event {
    Opened(usize, InstanceId, Option<(Link, End)>),
    Frame(End, Box<Frame>),
    Closed(End),
}

pub struct World {
    /// The time within which a change must be known.
    pub staleness_limit: Span,
    /// The upstreams that come and go.
    pub upstreams: u64,
    pub rng: ChaCha8Rng,
    pub now: Time,
    pub store: Store,
    pub nodes: Vec<Node>,
    /// The other end of each link.
    pub links: BTreeMap<End, End>,
    /// The ends of links that went silent for good, without a reset.
    pub blackholed: BTreeSet<End>,
    pub events: BTreeMap<(Time, u64), Event>,
    /// The share of links over which messages take longer.
    pub slow_link_share: f64,
    /// What messages take longer over some links than over others.
    pub delays: BTreeMap<End, Span>,
    /// When the last message to an end arrives: they do not overtake each other.
    pub last_arrival: BTreeMap<End, Time>,
    pub next_link: Link,
    pub last_event_number: u64,
    /// Messages that take longer than usual until then.
    pub slow_until: Time,
    /// The bytes that went from one data hall to another.
    pub cross_hall_bytes: u64,
    /// The bytes that each entry sent.
    pub sent_bytes: Vec<u64>,
    /// The tables of upstreams that were sent whole, and those among them to another hall.
    pub full_tables: (u64, u64),
}

impl World {
    pub fn new(seed: u64, halls: usize, entries: usize) -> World {
        World::within(STALENESS_LIMITS[2], seed, halls, entries)
    }

    /// Creates a world in which changes must be known within a time.
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
            delays: BTreeMap::new(),
            last_arrival: BTreeMap::new(),
            next_link: 1,
            last_event_number: 0,
            slow_until: Time::default(),
            cross_hall_bytes: 0,
            sent_bytes: vec![0; entries],
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

    pub fn put_upstreams(&mut self) {
        for row in (0..self.upstreams).map(|number| upstream(number, 0)) {
            self.store
                .put(Table::Upstreams, &row.key, row.value, self.now);
        }
    }

    /// Writes another configuration; returns its number.
    pub fn configure(&mut self) -> u64 {
        self.store.change_count += 1;
        let number = 1 + self.store.change_count;
        let value = Some(number.to_be_bytes().to_vec());
        self.store
            .put(Table::Operator, CONFIGURATION, value, self.now);
        number
    }

    pub fn delay(&mut self) -> Span {
        let slow = self.now < self.slow_until;
        let most = if slow { 250_000 } else { 3_000 };
        Span::from_micros(self.rng.random_range(500..most))
    }

    pub fn schedule(&mut self, time: Time, event: Event) {
        self.last_event_number += 1;
        self.events.insert((time, self.last_event_number), event);
    }

    pub fn reaches(&self, from: usize, to: usize) -> bool {
        let cut = |n: &Node| self.now < n.partitioned_until;
        !cut(&self.nodes[from]) && !cut(&self.nodes[to])
    }

    pub fn send(&mut self, from: End, frame: Frame) {
        let Some(to) = self.links.get(&from).copied() else {
            return;
        };
        if !self.reaches(from.0, to.0) || self.blackholed.contains(&from) {
            return;
        }
        let bytes = wire::encode(std::slice::from_ref(&frame)).len() as u64;
        self.sent_bytes[from.0] += bytes;
        let crosses = self.nodes[from.0].peer.hall != self.nodes[to.0].peer.hall;
        if crosses {
            self.cross_hall_bytes += bytes;
        }
        if is_whole(&frame) {
            self.full_tables.0 += 1;
            self.full_tables.1 += u64::from(crosses);
        }
        let own = self.delays.get(&from).copied().unwrap_or_default();
        let due = self.now + self.delay() + own;
        let last = self.last_arrival.entry(to).or_default();
        let due = due.max(*last);
        *last = due;
        if self.rng.random_bool(0.05) {
            let late = due + Span::from_millis(self.rng.random_range(0..800));
            self.schedule(late, Event::Frame(to, Box::new(frame.clone())));
        }
        self.schedule(due, Event::Frame(to, Box::new(frame)));
    }

    pub fn execute(&mut self, node: usize, orders: Vec<Command>) {
        for order in orders {
            match order {
                Command::Open(name, _) => self.open(node, name),
                Command::Close(link) => self.close((node, link)),
                Command::Send(link, frame) => self.send((node, link), frame),
                Command::Read(reading) => {
                    let before = std::mem::replace(&mut self.nodes[node].subscription, reading);
                    for (poll, table) in self.nodes[node].polls.iter_mut().zip(Table::ALL) {
                        if !is_read(reading, table) || before == Subscription::Entries {
                            *poll = Poll::default();
                        }
                    }
                }
                Command::Poll(table) => {
                    self.nodes[node].polls[table as usize] = Poll::default();
                }
                Command::Affinity(stay) => drop(self.nodes[node].affinities.insert(stay.session)),
                Command::Quarantine(word) => self.nodes[node].quarantine_updates.push(word),
                Command::Notice(word) => self.nodes[node].notices.push(word),
                Command::Report(..) | Command::Prefill(..) => {}
            }
        }
    }

    pub fn open(&mut self, node: usize, name: InstanceId) {
        let to = self.nodes.iter().position(|n| n.peer.name == name).unwrap();
        let back = self.delay() + self.delay();
        let is_there = self.nodes[to].is_up(self.now) && self.reaches(node, to);
        if !is_there {
            // A dead port refuses; behind a cut nothing answers.
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
                let orders = n.relay.opened(name, link, &n.mirror, now);
                self.execute(node, orders);
            }
            Event::Frame(end, frame) => {
                if !self.links.contains_key(&end) || !self.nodes[end.0].is_up(now) {
                    return;
                }
                let n = &mut self.nodes[end.0];
                let (news, orders) = n.relay.handle_frame(end.1, *frame, &mut n.mirror, now);
                self.handle_restore(end.0);
                self.apply_updates(end.0, news);
                self.execute(end.0, orders);
                let n = &mut self.nodes[end.0];
                let orders = n.relay.publish(&mut n.mirror, now);
                self.execute(end.0, orders);
            }
            Event::Closed(end) => {
                self.links.remove(&end);
                self.nodes[end.0].relay.closed(end.1, now);
            }
        }
    }

    pub fn is_frozen(&self, event: &Event) -> bool {
        let node = match event {
            Event::Opened(node, ..) => *node,
            Event::Frame(end, _) | Event::Closed(end) => end.0,
        };
        self.nodes[node].is_up(self.now) && self.now < self.nodes[node].frozen_until
    }

    pub fn apply_updates(&mut self, node: usize, news: Vec<Update>) {
        let node = &mut self.nodes[node];
        for news in news {
            match news {
                Update::Entry(peer) => node.relay.learn(peer),
                Update::Joined(listed) => drop(node.routable.insert(listed.member.upstream)),
                Update::Retired(upstream) => drop(node.routable.remove(&upstream)),
                _ => {}
            }
        }
    }

    pub fn kill(&mut self, node: usize, until: Time) {
        let ends: Vec<End> = self.links.keys().filter(|e| e.0 == node).copied().collect();
        for end in ends {
            self.close(end);
        }
        let mut fresh = Node::new(self.nodes[node].peer.clone(), self.staleness_limit);
        fresh.down_until = until;
        fresh.healthy_since = until.max(self.nodes[node].healthy_since);
        fresh.partitioned_until = self.nodes[node].partitioned_until;
        fresh.store_unreachable_until = self.nodes[node].store_unreachable_until;
        self.nodes[node] = fresh;
    }

    pub fn is_store_up(&self, node: usize) -> bool {
        self.now >= self.store.down_until && self.now >= self.nodes[node].store_unreachable_until
    }

    /// Lets an entry call the store as its followers of the tables do.
    pub fn poll(&mut self, node: usize) {
        for (number, table) in Table::ALL.into_iter().enumerate() {
            let reading = self.nodes[node].subscription;
            let poll = self.nodes[node].polls[number];
            if !is_read(reading, table) || self.now < poll.pause_until {
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

    /// Lets a call hang on its dead connection until it is given up.
    pub fn hang(&mut self, node: usize, table: Table, since: Time) {
        let wait = self.wait(node, table);
        if self.now.since(since) >= wait + CALL_TIMEOUT {
            self.fail(node, table);
        }
    }

    /// Returns how long an entry waits for a change of a table.
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

    pub fn answer(&mut self, node: usize, table: Table, since: Time) {
        let now = self.now;
        let wait = self.wait(node, table);
        let n = &mut self.nodes[node];
        let known = n.mirror.base(table);
        let hears = !n.polls[table as usize].is_stalled;
        let is_news = |known| {
            let is_had = known <= self.store.version;
            !is_had || (hears && self.store.newest_version(table) > known)
        };
        if !known.is_none_or(is_news) && now.since(since) < wait {
            return;
        }
        // What was waited for from another era is left, and the table read whole.
        let known = known.filter(|_| n.mirror.era() == self.store.era);
        let (page, whole) = self.store.page(table, known, now);
        let heard = n.mirror.observe_era(table, &page, whole, since, now);
        assert_ne!(heard, Freshness::Stale);
        self.handle_restore(node);
        let n = &mut self.nodes[node];
        if table == Table::Operator && n.polls[table as usize].failures > 0 {
            // The others begin anew.
            n.polls = [Poll::default(); 4];
        }
        n.polls[table as usize] = Poll {
            pause_until: now + batch_delay(table),
            answered: true,
            ..Poll::default()
        };
        n.relay.note_answer(table, now);
        let news = n.mirror.apply(table, page, whole, now);
        self.apply_updates(node, news);
        let n = &mut self.nodes[node];
        if table == Table::Own {
            n.relay.listed(now);
            if n.subscription == Subscription::Entries {
                n.polls[table as usize].pause_until = now + OTHER_POLL_WAIT;
            }
        }
        let orders = n.relay.publish(&mut n.mirror, now);
        self.execute(node, orders);
    }

    /// Begins all waits of an entry anew where it has just heard that the store was restored.
    pub fn handle_restore(&mut self, node: usize) {
        let n = &mut self.nodes[node];
        if n.mirror.take_restored().is_some() {
            n.polls = [Poll::default(); 4];
            n.relay.invalidate(self.now);
        }
    }

    pub fn refuse(&mut self, node: usize, table: Table, since: Time) {
        let now = self.now;
        let n = &mut self.nodes[node];
        let silent = self.store.is_hanging || n.peer.name.as_str().len() % 2 == 0;
        let hangs = n.relay.follow().timeouts().long_poll + CALL_TIMEOUT;
        if silent && now.since(since) < hangs {
            return;
        }
        self.fail(node, table);
    }

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
            let heard = n.relay.follow().last_sync();
            let lapsed = n.mirror.tick(now, heard);
            self.apply_updates(node, lapsed);
            let n = &mut self.nodes[node];
            let orders = n.relay.step(&mut n.mirror, now);
            self.execute(node, orders);
            self.poll(node);
            self.check_rows(node);
        }
    }

    /// Lets so many steps pass.
    pub fn run(&mut self, steps: usize) {
        for _ in 0..steps {
            self.tick();
        }
    }
}

/// Returns whether a frame holds the whole table of upstreams.
fn is_whole(frame: &Frame) -> bool {
    let Frame::Feed(feed) = frame else {
        return false;
    };
    let upstreams = Table::Upstreams as usize;
    let mut tables = feed.tables.iter();
    tables.any(|t| t.number == upstreams && t.since.is_none())
}

pub fn is_read(reading: Subscription, table: Table) -> bool {
    match reading {
        Subscription::Nothing => false,
        Subscription::Entries => table == Table::Own,
        Subscription::Operator => table == Table::Operator,
        Subscription::All => true,
    }
}

/// Returns the row of an upstream that is ready.
pub fn upstream(number: u64, version: u64) -> Row {
    rows::row(&format!("i-{number}"), &rows::upstream("ready"), version)
}
