//! The loop of a hosted entry and what feeds it.

use super::answers::Answers;
use super::client::{self, Client};
use super::duties::Duties;
use super::followers::{Followers, Outcome, Read};
use super::holds::{Record, Recorder};
use super::mirror::{Mirror, Update, ENTRY_PREFIX};
use super::mover::{Mover, Proposal};
use super::peer::{self, Peering};
use super::relay::{self, Command, Relay};
use super::restorer::Restorer;
use super::shared::{self, Shared};
use crate::clock::{self, Clock};
use crate::metrics::Metrics;
use crate::options;
use crate::turn::{self, Next};
use async_channel::{Receiver, Sender};
use async_std::task;
use log::{info, warn};
use sorreldeck::duty::{Context, Tally};
use sorreldeck::entry::{
    Entry, Input, Output, Part, Payload, Reply, Request, Settings as Decisions, Summary,
};
use sorreldeck::era::Freshness;
use sorreldeck::pick::Link;
use sorreldeck::quarantine::{self, Fingerprint, Hold};
use sorreldeck::replication::{Peer, Subscription, Timeouts};
use sorreldeck::wire::{Frame, Run};
use sorreldeck::{
    Failure, Hall, Incarnation, InstanceId, Region, RequestId, Revision, Span, Time, UpstreamId,
};
use sorreldeck_net::h1::Door;
use sorreldeck_net::link::{Event, Outbox};
use sorreldeck_platform::member::Registration;
use sorreldeck_platform::{Settings, Store, Table};
use std::collections::{BTreeMap, HashMap};
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// How long a stopping entry goes on taking connections: the balancer asks each
/// second and gives up after two misses. What is taken later might not end in
/// the time that is left.
const LINGER: Span = Span::from_millis(2_400);
/// How long before the process is killed it ends by itself.
const SPARE: Span = Span::from_millis(500);
/// How long the store is out of reach before other entries are asked, and how
/// often they are asked then.
const ASK_AFTER: Span = Span::from_millis(300);
const ASK_EVERY: Span = Span::from_millis(500);
/// How often what was found of moves is looked at: a bad release must be left within 5 s,
/// and what is told goes over three links at most.
const TELL_EVERY: Span = Span::from_millis(500);
/// How long an entry waits for the others to announce themselves when the whole
/// installation starts for the first time: all start within 0.3 s of each other, and a
/// second for those that start slowly costs nobody anything yet.
const ALL_ANNOUNCED: Span = Span::from_millis(1_300);
/// How often they are asked when they knew nothing newer the last times: all may
/// have lost the store. A change must be learned of within some 7 s.
const ASK_SELDOM: Span = Span::from_millis(2_000);

/// The suspension of the machine from which on what is known is asked for anew. A page of the
/// store is some 20 ms old, and links hold for 0.5 s.
const SUSPENDED: Span = Span::from_millis(200);
/// What is known after a suspension is new enough where the store was heard within this
/// time, by whatever way: answers come each 0.5 s.
const FRESH: Span = Span::from_millis(700);
/// How long it is doubted at most: the store answers in some 5 ms, another entry within 0.5 s.
const DOUBT: Span = Span::from_millis(600);

/// How often the sizes of what an entry keeps are told in the log.
const STATE_EVERY: Span = Span::from_millis(10_000);

/// How often all tables are asked for at once since the store came back: one that tells another era with
/// each answer is asked by the pauses of each table.
const RESTORED: Span = Span::from_millis(1_000);

/// What reaches the loop.
pub enum Message {
    /// A request and where its answer goes.
    Ask(Box<Request>, Sender<Part>),
    /// A caller went away.
    Disconnected(RequestId),
    /// What an upstream does with a run.
    Reply(Link, Run, Reply),
    /// What a follower of the store tells.
    Store(Table, Outcome),
    /// What another entry knows.
    Snapshots(Vec<peer::Snapshot>),
    /// Something happened on a link to another entry.
    Link(Event),
    /// A link that another entry opened.
    LinkAccepted(Link, Outbox),
    /// What came of opening a link to an entry.
    LinkOpened(InstanceId, Link, Result<Outbox, String>),
    /// A record of a move was written, or not.
    MoveRecorded(String, Result<(), String>),
    /// Rows that the store had lost were written again, or not.
    RowsRestored(Result<(), String>),
    /// A record of a request that is held back was written, or not.
    HoldRecorded(Fingerprint, Result<(), String>),
    /// Something that only the loop can do.
    Execute(Box<dyn FnOnce(&mut EventLoop) + Send>),
}

/// What the loop holds.
pub struct EventLoop {
    entry: Entry,
    clock: Clock,
    metrics: Metrics,
    mirror: Mirror,
    answers: Answers,
    mover: Mover,
    recorder: Recorder,
    restorer: Restorer,
    /// What one entry at a time does for all, where the platform asks for it.
    duties: Option<Duties>,
    peering: Peering,
    relay: Relay,
    feed: Followers,
    caller: Client,
    runs: HashMap<Run, client::Handle>,
    callers: HashMap<RequestId, Sender<Part>>,
    /// The callers' names of requests and sessions, for the log.
    labels: HashMap<RequestId, (String, String)>,
    upstreams: HashMap<UpstreamId, Link>,
    addresses: HashMap<Link, SocketAddr>,
    next_link: Link,
    own: Peer,
    /// The regions of all data halls.
    regions: BTreeMap<Hall, Region>,
    links_at: Option<SocketAddr>,
    announced: bool,
    /// Until when the others may announce themselves.
    starts_until: Option<Time>,
    store: Store,
    door: Arc<Door>,
    grace: Span,
    /// Since when the store is out of reach: at the start, until it has answered.
    failing_since: Option<Time>,
    told: Time,
    /// When the sizes of what is kept were told.
    sized: Time,
    asked: Time,
    /// For how long the machine was suspended, as far as it was dealt with.
    suspended: Span,
    /// When all tables were asked for since the store came back from a copy.
    restored: Option<Time>,
    /// When a suspension ended since which what is known has not been heard anew.
    doubts: Option<Time>,
    in_vain: u32,
    shared: Shared,
    /// The sources that were told of in the log.
    sources: Vec<String>,
}

/// Where the links of an entry are taken, and what happens on them.
pub struct Links {
    /// The address, if links are taken.
    pub address: Option<SocketAddr>,
    /// Where what happens on links is told.
    pub events: Sender<Event>,
}

impl EventLoop {
    /// Creates the loop's state.
    pub fn new(
        options: &options::Hosted,
        settings: &Settings,
        shared: Shared,
        store: Store,
        door: Arc<Door>,
        links: Links,
        clock: Clock,
    ) -> EventLoop {
        let now = clock.now();
        let seed = u64::from_le_bytes(clock::random());
        let mut decisions = Decisions::new(
            settings.instance.clone(),
            shared.incarnation,
            options.session_keys.clone(),
            seed,
        );
        decisions.policy = options.policy;
        decisions.hall = Some(settings.hall.clone());
        decisions.retries = settings.retries;
        decisions.exposure = settings.exposure;
        decisions.confidence_thresholds = options.accept.0;
        let own = Peer {
            name: settings.instance.clone(),
            hall: settings.hall.clone(),
            address: links.address.unwrap_or(settings.readiness_address),
            cores: settings.cores,
            mbps: settings.link_mbps,
        };
        let bounds = Timeouts::of(settings.config_deadline);
        let send = shared.send.clone();
        let duties = Duties::new(settings, shared.incarnation, store.clone(), send);
        decisions.reports_starts = duties.is_some();
        let mut relay = Relay::new(own.clone(), bounds);
        if let Some(asked) = settings.duties.filter(|_| duties.is_some()) {
            relay.enable_usage(Tally::new(shared.incarnation, asked.report_window));
        }
        let starts = settings.first_start.then_some(ALL_ANNOUNCED);
        EventLoop {
            entry: Entry::new(decisions),
            suspended: clock.suspended(),
            restored: None,
            doubts: None,
            metrics: Metrics::default(),
            mirror: Mirror::default(),
            answers: Answers::default(),
            mover: Mover::new(&settings.instance),
            recorder: Recorder::new(&settings.instance),
            restorer: Restorer::new(&settings.instance),
            peering: Peering::new(options.link_keys.clone(), settings, links.events),
            relay,
            duties,
            feed: Followers::start(&store, &shared, &clock),
            caller: Client::new(shared.send.clone(), clock.clone()),
            clock,
            runs: HashMap::new(),
            callers: HashMap::new(),
            labels: HashMap::new(),
            upstreams: HashMap::new(),
            addresses: HashMap::new(),
            next_link: 1,
            own,
            regions: settings.regions.clone(),
            links_at: links.address,
            announced: false,
            starts_until: starts.map(|wait| now + wait),
            store,
            door,
            grace: settings.grace,
            failing_since: starts.is_none().then_some(now),
            told: now,
            sized: now,
            asked: now,
            in_vain: 0,
            shared,
            sources: Vec::new(),
        }
    }

    /// Runs the loop until the process is told to stop and has finished.
    pub async fn work(mut self, receive: Receiver<Message>, stop: Arc<AtomicBool>) {
        let mut stopping: Option<Time> = None;
        let tick = |room: &mut EventLoop| {
            let now = room.clock.now();
            if stop.load(Ordering::Relaxed) && stopping.is_none() {
                stopping = Some(now);
                info!("event=leave in_flight={}", room.entry.in_flight());
                room.door.close();
                room.relay.leave();
            }
            if stopping.is_some_and(|since| now.since(since) >= LINGER) && !room.door.is_shut() {
                info!("event=door-shut in_flight={}", room.entry.in_flight());
                room.door.shut();
            }
            room.tick(stopping.is_some());
            match stopping.is_some_and(|since| room.is_done(since)) {
                true => Next::End,
                false => Next::Go,
            }
        };
        turn::run(&mut self, receive, EventLoop::take, tick).await;
        info!("event=ended in_flight={}", self.entry.in_flight());
        // What was answered last still goes out.
        task::sleep(Duration::from_millis(60)).await;
    }

    fn is_done(&self, since: Time) -> bool {
        let waited = self.clock.now().since(since);
        let idle = self.entry.is_idle() && self.callers.is_empty();
        (self.door.is_shut() && idle) || waited >= self.grace - SPARE
    }

    /// Notices that the machine was suspended, before anything that arrived meanwhile is taken
    /// in: what has run out of time is ended, waits that stood still are begun anew, and what
    /// is known is not gone by until it is heard anew.
    fn wake(&mut self) {
        let suspended = self.clock.suspended();
        let span = suspended - self.suspended;
        if span < SUSPENDED {
            return;
        }
        self.suspended = suspended;
        info!("event=suspended for_ms={}", span.millis());
        let now = self.clock.now();
        self.doubts = Some(now);
        self.handle(Input::Suspended);
        self.handle(Input::Tick);
        self.caller.forget();
        self.relay.invalidate(now);
        for table in Table::ALL {
            self.feed.ask(table);
        }
    }

    /// Goes by what is known again once it was heard anew, or cannot be.
    fn trust(&mut self, now: Time) {
        let Some(since) = self.doubts else {
            return;
        };
        let age = self.relay.follow().age(now);
        if age.is_some_and(|age| age < FRESH) || now.since(since) >= DOUBT {
            self.doubts = None;
            self.handle(Input::Resynced);
        }
    }

    fn tick(&mut self, stopping: bool) {
        self.wake();
        self.handle(Input::Tick);
        let now = self.clock.now();
        let heard = self.relay.follow().last_sync();
        let lapsed = self.mirror.tick(now, heard);
        self.note_all(lapsed, "lapsed");
        let ready = self.entry.is_ready() && !stopping;
        if self.shared.set_ready(ready) != ready {
            info!("event=ready ready={ready}");
        }
        self.announce();
        self.relay(now);
        self.trust(now);
        self.ask_others(now);
        self.tell_of_moves(now);
        self.tell_of_state(now);
        self.recorder
            .step(now, &self.mirror, &self.store, &self.shared.send);
        let reads = self.relay.follow().subscription() == Subscription::All;
        self.do_duties(reads, now);
        self.restorer
            .step(now, reads, &self.mirror, &self.store, &self.shared.send);
        for (order, state) in self.entry.propose_moves(now) {
            let proposal = Proposal {
                order: &order,
                state,
                grounds: self.entry.move_grounds(&order.pool),
                reads,
            };
            self.mover
                .propose(proposal, now, &self.mirror, &self.store, &self.shared.send);
        }
    }

    /// Does what one entry at a time does for all, where it is this one's turn.
    fn do_duties(&mut self, reads: bool, now: Time) {
        let is_idle = |duties: &&mut Duties| !reads && duties.is_idle();
        let Some(duties) = self.duties.as_mut().filter(|d| !is_idle(d)) else {
            return;
        };
        let halls = self.relay.follow().halls();
        let leads = self.relay.follow().primary(now).is_none();
        let own = relay::own_epoch(&self.mirror, now);
        let store = self.mirror.store_time(now);
        let Some(counted) = self.relay.usage() else {
            return;
        };
        counted.agree(duties.duty().epoch_us());
        if let Some(window) = duties.duty().completed_through() {
            counted.finished(window);
        }
        let around = Context {
            reads_store: reads,
            is_hall_leader: leads,
            halls: &halls,
            tally: counted.tally(),
            utc: counted.time(now, store),
            store_time: store.map(Time),
            epoch_us: counted.epoch(own),
        };
        duties.step(&around, now);
    }

    /// Gives the duties what came of a call.
    pub fn with_duties(&mut self, with: impl FnOnce(&mut Duties, Time)) {
        let now = self.clock.now();
        if let Some(duties) = &mut self.duties {
            with(duties, now);
        }
    }

    /// Returns true time, as far as it is known.
    pub fn true_time(&mut self) -> Time {
        let now = self.clock.now();
        let store = self.mirror.store_time(now);
        self.relay.usage().map_or(now, |c| c.time(now, store))
    }

    fn take(&mut self, message: Message) {
        self.wake();
        match message {
            Message::Ask(ask, parts) => {
                if let Payload::Routed(routed) = &ask.payload {
                    let session = routed.session.map_or(String::new(), |s| format!("{s:x}"));
                    let label = (routed.label.clone(), session);
                    self.labels.insert(ask.request, label);
                }
                self.callers.insert(ask.request, parts);
                self.handle(Input::Request(ask));
            }
            Message::Disconnected(request) => {
                self.callers.remove(&request);
                self.handle(Input::Disconnected(request));
            }
            Message::Reply(link, run, reply) => {
                if matches!(reply, Reply::End | Reply::Fail(_)) {
                    self.runs.remove(&run);
                }
                self.handle(Input::Reply(link, run, reply));
            }
            Message::Store(table, Outcome::Page(Read { page, whole, asked })) => {
                let now = self.clock.now();
                if self.mirror.observe_era(table, &page, whole, asked, now) == Freshness::Stale {
                    return;
                }
                self.note_restored("store");
                // An answer may have lain here while the machine was suspended.
                let told = self.mirror.local_time(page.now.as_micros() as u64);
                let heard = told
                    .filter(|_| !page.now.is_zero())
                    .map_or(now, |at| at.min(now));
                self.note_reached(table, heard);
                let news = self.mirror.apply(table, page, whole, now);
                self.tell_of_ignored();
                self.note_all(news, "store");
                self.answers.note(table, now);
                if table == Table::Own && self.starts_until.is_none() {
                    self.relay.listed(now);
                }
                let orders = self.relay.publish(&mut self.mirror, now);
                self.carry_out(orders);
            }
            Message::Store(table, Outcome::Failed(trouble)) => {
                let now = self.clock.now();
                if !self.mirror.is_failing(table) {
                    warn!("event=store-lost table={table:?} error={trouble}");
                }
                self.mirror.mark_failing(table);
                // Without the list of entries this one is on its own.
                self.starts_until = None;
                self.relay.listed(now);
                self.relay.note_failure(table);
                if table == Table::Operator {
                    self.failing_since.get_or_insert(now);
                }
            }
            Message::Store(table, Outcome::Forgotten(known)) => {
                let silent = self.answers.silence_ms(table, self.clock.now());
                warn!("event=store-forgot table={table:?} known={known} silent_ms={silent}");
            }
            Message::Snapshots(copies) => self.take_snapshots(copies),
            Message::Link(Event::Down(link)) => {
                self.peering.close(link);
                self.relay.closed(link, self.clock.now());
            }
            Message::Link(Event::Frames(link, frames)) => {
                for frame in frames {
                    self.take_frame(link, frame);
                }
            }
            Message::LinkAccepted(link, outbox) => self.peering.add(link, outbox),
            Message::LinkOpened(name, link, outbox) => self.opened(name, link, outbox),
            Message::MoveRecorded(key, result) => self.mover.written(&key, result),
            Message::RowsRestored(result) => self.restorer.written(result),
            Message::HoldRecorded(fingerprint, result) => {
                let now = self.clock.now();
                self.recorder.written(fingerprint, result, now);
            }
            Message::Execute(with) => with(self),
        }
    }

    fn opened(&mut self, name: InstanceId, link: Link, outbox: Result<Outbox, String>) {
        let now = self.clock.now();
        let link = match outbox {
            Ok(outbox) => {
                self.peering.add(link, outbox);
                Some(link)
            }
            Err(error) => {
                warn!("event=source-not-linked entry={name} error={error:?}");
                None
            }
        };
        let orders = self.relay.opened(name, link, &self.mirror, now);
        self.carry_out(orders);
    }

    fn take_frame(&mut self, link: Link, frame: Frame) {
        if let Frame::FetchTables(have) = &frame {
            return self.peering.answer(link, have, &self.mirror);
        }
        let now = self.clock.now();
        let era = self.mirror.era();
        let (news, orders) = self.relay.handle_frame(link, frame, &mut self.mirror, now);
        let handed_on = !news.is_empty();
        // Most frames bring no news, so the name is not copied for them.
        let is_news = handed_on || self.mirror.era() != era;
        let source = self.relay.source(link).filter(|_| is_news);
        let from = source.map(InstanceId::to_string);
        let from = from.as_deref().unwrap_or("unknown");
        self.note_restored(from);
        self.note_all(news, from);
        self.carry_out(orders);
        if handed_on {
            let orders = self.relay.publish(&mut self.mirror, now);
            self.carry_out(orders);
        }
    }

    /// Looks after the links over which the tables come and go.
    fn relay(&mut self, now: Time) {
        if self.starts_until.is_some_and(|until| now < until) {
            return;
        }
        self.starts_until = None;
        for table in Table::ALL {
            let known = self.mirror.base(table);
            self.feed
                .known(table, known.map(|_| self.mirror.stamp(table)));
        }
        let wait = self.relay.follow().timeouts().long_poll;
        let before = self.relay.follow().subscription();
        let orders = self.relay.step(&mut self.mirror, now);
        let reads_all = self.relay.follow().subscription() == Subscription::All;
        self.feed.wait_at_most(reads_all.then_some(wait));
        self.carry_out(orders);
        let follow = self.relay.follow();
        let reading = follow.subscription();
        let sources: Vec<String> = follow.sources(now).iter().map(|s| s.to_string()).collect();
        if reading == Subscription::Nothing && !sources.is_empty() {
            self.failing_since = None;
        }
        if reading != before || sources != self.sources {
            let age = follow.age(now).map_or(-1, |age| age.millis() as i64);
            info!(
                "event=sources reading={reading:?} before={before:?} sources={sources:?} age_ms={age} takers={}",
                self.relay.subscribers()
            );
            self.sources = sources;
        }
    }

    fn carry_out(&mut self, orders: Vec<Command>) {
        for order in orders {
            match order {
                Command::Open(name, address) => self.peering.open(name, address, &self.shared),
                Command::Close(link) => self.peering.close(link),
                Command::Send(link, frame) => self.peering.send(link, frame),
                Command::Read(reading) => self.feed.read(reading),
                Command::Poll(table) => self.ask_anew(table),
                Command::Report(pool, hall, report) => {
                    self.handle(Input::ReleaseReport(pool, hall, report))
                }
                Command::Prefill(number, reading) => self.handle(Input::Prefill(number, reading)),
                Command::Affinity(stay) => self.handle(Input::SessionPin(stay)),
                Command::Quarantine(word) => self.handle(Input::QuarantineUpdate(word)),
                Command::Notice(word) => self.handle(Input::Notice(word)),
            }
        }
    }

    /// Asks for a table whose wait tells nothing.
    fn ask_anew(&mut self, table: Table) {
        let silent = self.answers.silence_ms(table, self.clock.now());
        let version = self.mirror.version(table);
        info!("event=asked-anew table={table:?} version={version} silent_ms={silent}");
        self.feed.ask(table);
    }

    fn note_reached(&mut self, table: Table, now: Time) {
        if self.mirror.is_failing(table) {
            info!("event=store-regained table={table:?}");
        }
        self.relay.note_answer(table, now);
        // At the start any answer shows that the store is there, and the rest is on its way.
        if table == Table::Operator || !self.mirror.has_operator_table() {
            self.failing_since = None;
        }
        if table == Table::Operator {
            self.in_vain = 0;
        }
    }

    fn take_snapshots(&mut self, copies: Vec<peer::Snapshot>) {
        let now = self.clock.now();
        for copy in copies {
            let table = copy.table;
            let before = self.mirror.stamp(table);
            let (page, kept) = copy.page();
            let news = self.mirror.apply_copy(table, page, kept, now);
            self.note_restored("asked");
            let version = self.mirror.stamp(table);
            if version > before {
                self.in_vain = 0;
                info!("event=learned-from-entry table={table:?} version={version} before={before}");
            }
            self.note_all(news, "asked");
        }
    }

    /// Takes in news; `from` says whom they are from, for the log.
    fn note_all(&mut self, news: Vec<Update>, from: &str) {
        let has_entries = news.iter().any(|news| matches!(news, Update::Entry(_)));
        for news in news {
            self.note(news, from);
        }
        if has_entries {
            // Once for all: 300 entries are told of at once where all start.
            let entries = self.relay.follow().entries().cloned().collect();
            self.handle(Input::Entries(entries));
        }
        for replaced in self.mirror.take_replaced() {
            info!(
                "event=table-restored table={:?} stamp={} before={} kept={:?} from={from}",
                replaced.table, replaced.now, replaced.before, replaced.kept
            );
        }
        for held in self.mirror.take_suspects() {
            info!(
                "event=held upstreams={:?} of={} for_ms={}",
                held.keys,
                held.listed,
                held.span.millis()
            );
        }
        for trouble in self.mirror.take_malformed() {
            warn!(
                "event=not-understood table={:?} key={:?} error={:?}",
                trouble.table, trouble.key, trouble.message
            );
        }
    }

    /// Takes in that the store came back from a copy: what is known holds until all tables are
    /// read whole, and no wait that is under way tells of what comes.
    fn note_restored(&mut self, from: &str) {
        let Some(before) = self.mirror.take_restored() else {
            return;
        };
        let now = self.clock.now();
        let era = self.mirror.era();
        warn!("event=store-era era={era} before={before} from={from}");
        self.relay.invalidate(now);
        let is_news = self.restored.is_none_or(|at| now.since(at) >= RESTORED);
        for table in Table::ALL {
            self.feed.known(table, None);
            if is_news {
                self.feed.ask(table);
            }
        }
        if is_news {
            self.restored = Some(now);
        }
    }

    /// Tells which answers of the store were ignored.
    fn tell_of_ignored(&mut self) {
        for ignored in self.mirror.take_ignored() {
            self.metrics.ignored();
            warn!(
                "event=page-ignored table={:?} version={} known={} era={}",
                ignored.table,
                ignored.version,
                ignored.known,
                ignored
                    .era
                    .map_or_else(|| "-".to_owned(), |e| e.to_string())
            );
        }
    }

    /// Returns what a line tells of where news of a table are from: from whom, up to which
    /// version the table is known, and how long the store had not answered for it here.
    fn origin(&self, table: Table, from: &str) -> String {
        let version = self.mirror.version(table);
        let silent = self.answers.silence_ms(table, self.clock.now());
        format!("from={from} version={version} silent_ms={silent}")
    }

    fn note(&mut self, news: Update, from: &str) {
        match news {
            Update::Config(config) => self.adopt(*config, from),
            Update::Joined(listed) => self.join(*listed, from),
            Update::Retired(upstream) => {
                let origin = self.origin(Table::Upstreams, from);
                info!("event=retired upstream={upstream} {origin}");
                if let Some(link) = self.upstreams.remove(&upstream) {
                    self.addresses.remove(&link);
                    self.handle(Input::Retire(link));
                }
            }
            Update::Move(order, state, began) => {
                let origin = self.origin(Table::Progress, from);
                info!(
                    "event=move pool={} to={} number={} state={state:?} began={began:?} {origin}",
                    order.pool, order.to, order.issued
                );
                self.handle(Input::Move(order, state, began));
            }
            Update::Cold(upstream, left) => {
                let origin = self.origin(Table::Upstreams, from);
                info!(
                    "event=cold upstream={upstream} for_ms={} {origin}",
                    left.millis()
                );
                if let Some(link) = self.upstreams.get(&upstream).copied() {
                    self.handle(Input::Cold(link, left));
                }
            }
            Update::Evacuated(halls) => {
                let origin = self.origin(Table::Operator, from);
                info!("event=evacuate halls={halls:?} {origin}");
                self.handle(Input::Evacuate(halls));
            }
            Update::Quarantine(fingerprint, record) => self.hold(fingerprint, record),
            Update::Entry(peer) => {
                self.peering.learn(peer.name.clone(), peer.address);
                self.relay.learn(peer);
            }
        }
    }

    /// Takes in what is recorded of a request that crashes upstreams.
    fn hold(&mut self, fingerprint: Fingerprint, record: Option<Record>) {
        let Some(record) = record else {
            return self.handle(Input::QuarantineRemoved(fingerprint));
        };
        // Without the store's clock nothing was ever heard of it, and no record either.
        if let Some(until) = self.mirror.local_time(record.until_us) {
            let hold = Hold {
                until,
                previous: record.before,
                is_own: record.by == self.own.name,
            };
            self.handle(Input::Quarantined(fingerprint, hold));
        }
    }

    fn adopt(&mut self, config: sorreldeck_platform::Configuration, from: &str) {
        let revision = config.tree.revision();
        if revision <= self.entry.tree().revision() && revision > Revision(0) {
            return;
        }
        let origin = self.origin(Table::Operator, from);
        info!(
            "event=config revision={revision} before={} routes={} {origin}",
            self.entry.tree().revision(),
            config.tree.routes().len()
        );
        self.shared.set_limits(config.limits);
        self.handle(Input::Tree(Arc::new(config.tree)));
    }

    fn join(&mut self, mut listed: Registration, from: &str) {
        // Where rows do not tell starts apart the address does: what one start said of itself
        // must not be taken for another's.
        let start = &mut listed.member.placement.incarnation;
        start.get_or_insert_with(|| start_at(listed.address));
        let place = &mut listed.member.placement;
        place.region = place
            .hall
            .as_ref()
            .and_then(|hall| self.regions.get(hall).cloned());
        let link = self.next_link;
        self.next_link += 1;
        let member = &listed.member;
        let origin = self.origin(Table::Upstreams, from);
        info!(
            "event=joined upstream={} start={:?} pool={} address={} hall={:?} release={:?} {origin}",
            member.upstream,
            member.placement.incarnation,
            member.pool,
            listed.address,
            member.placement.hall,
            member.placement.release
        );
        self.upstreams.insert(member.upstream.clone(), link);
        self.addresses.insert(link, listed.address);
        self.handle(Input::Join(link, Box::new(listed.member)));
    }

    /// Tells other entries where this one is, once the store can be written.
    fn announce(&mut self) {
        if self.links_at.is_none() || self.announced {
            return;
        }
        // Where the whole installation starts, no row can be there.
        if self.mirror.version(Table::Own) == 0 && self.starts_until.is_none() {
            return;
        }
        self.announced = true;
        let key = format!("{ENTRY_PREFIX}{}", self.own.name);
        let known = self.mirror.row(Table::Own, &key);
        let text = serde_json::to_string(&self.own).expect("a peer is always JSON");
        if known.and_then(|row| row.value.as_deref()) == Some(text.as_bytes()) {
            return;
        }
        let (store, send) = (self.store.clone(), self.shared.send.clone());
        task::spawn(async move {
            let change = sorreldeck_platform::store::Change::default();
            let change = change.put(Table::Own, &key, text.as_bytes());
            if let Err(trouble) = store.change(&change).await {
                warn!("event=announce-failed error={trouble}");
                task::sleep(ASK_SELDOM.into()).await;
                let again = |room: &mut EventLoop| room.announced = false;
                // The loop ends only with the process.
                let _ = send.send(Message::Execute(Box::new(again))).await;
            }
        });
    }

    /// Tells other entries what was found here of releases on trial.
    fn tell_of_moves(&mut self, now: Time) {
        if now.since(self.told) < TELL_EVERY {
            return;
        }
        self.told = now;
        for (pool, report) in self.entry.move_reports() {
            self.relay.share_report(pool, report);
        }
    }

    /// Tells the sizes of what this entry keeps.
    fn tell_of_state(&mut self, now: Time) {
        if now.since(self.sized) < STATE_EVERY {
            return;
        }
        self.sized = now;
        let rows: usize = Table::ALL
            .iter()
            .map(|t| self.mirror.rows(*t).count())
            .sum();
        let (memory, peak) = shared::memory();
        info!(
            "event=state memory_kb={memory} peak_kb={peak} links={} takers={} rows={rows} upstreams={} explained={} counts={}",
            self.peering.links(),
            self.relay.subscribers(),
            self.upstreams.len(),
            self.entry.history().len(),
            self.relay.usage().map_or(0, |c| c.tally().retained()),
        );
    }

    /// Asks another entry while the store is out of reach.
    fn ask_others(&mut self, now: Time) {
        let Some(since) = self.failing_since else {
            return;
        };
        let pause = match self.in_vain {
            0..=2 => ASK_EVERY,
            _ => ASK_SELDOM,
        };
        if now.since(since) < ASK_AFTER || now.since(self.asked) < pause {
            return;
        }
        self.asked = now;
        self.in_vain += 1;
        self.peering.ask(&self.mirror, &self.shared);
    }

    /// Gives the decisions an input and does what they say.
    pub fn handle(&mut self, input: Input) {
        let now = self.clock.now();
        for output in self.entry.handle(now, input) {
            self.execute(output);
        }
    }

    fn execute(&mut self, output: Output) {
        match output {
            Output::Send(link, Frame::Start(start)) => {
                let (run, address) = (start.run, self.addresses.get(&link).copied());
                let handle = self.caller.open(link, address, *start);
                self.runs.insert(run, handle);
            }
            Output::Send(_, Frame::Cancel(run)) => drop(self.runs.remove(&run)),
            Output::Answer(request, part) => self.answer(request, part),
            Output::Prefill(number, reading) => self.relay.share_prefill(number, reading),
            Output::SessionPin(stay) => self.relay.share_affinity(stay, self.clock.now()),
            Output::QuarantineUpdate(word) => self.relay.share_quarantine(word, self.clock.now()),
            Output::Notice(word) => self.relay.share_notice(word),
            Output::RequestStarted(account) => {
                let now = self.clock.now();
                self.relay.count_request(&account, &self.mirror, now);
            }
            Output::RecordQuarantine(news) => self.record(news),
            Output::RequestEnded(done) => {
                self.metrics.ended(&done);
                self.finished(&done);
            }
            // Nothing else is asked for where upstreams are called directly.
            other => log::debug!("nothing is done about {other:?}"),
        }
    }

    /// Has it recorded that a request is held back, or not any more.
    fn record(&mut self, news: quarantine::Change) {
        let now = self.clock.now();
        match news {
            quarantine::Change::Held(fingerprint, hold, _) => {
                self.recorder.want(fingerprint, Some(hold), now);
            }
            quarantine::Change::Freed(fingerprint) => self.recorder.want(fingerprint, None, now),
        }
    }

    fn answer(&mut self, request: RequestId, part: Part) {
        let last = matches!(part, Part::End | Part::Fail(_));
        if let Some(caller) = self.callers.get(&request) {
            // A caller that went away is told of by its own message.
            let _ = caller.try_send(part);
        }
        if last {
            self.callers.remove(&request);
        }
    }

    /// Writes the one line of a request that has ended.
    fn finished(&mut self, done: &Summary) {
        let request = done.request;
        let (label, session) = self.labels.remove(&request).unwrap_or_default();
        let Some(decision) = self.entry.history().get(request) else {
            return;
        };
        let tries: Vec<String> = decision
            .attempts
            .iter()
            .map(|t| {
                let version = t.version.as_ref().map_or("-", |v| v.as_str());
                let known = t.snapshot.map_or_else(String::new, |k| format!(" [{k}]"));
                let due = t.forecast.map_or_else(String::new, |d| format!(" [{d}]"));
                format!("{}/{version}{known}{due}: {}", t.upstream, t.outcome)
            })
            .collect();
        let failure = decision
            .failure
            .as_ref()
            .map_or_else(String::new, Failure::to_string);
        let fingerprint = decision
            .fingerprint
            .map_or_else(String::new, |f| f.to_string());
        info!(
            "event=request id={label} session={session} fingerprint={fingerprint} asked={:?} revision={} account={} first_ms={} whole_ms={} tries={tries:?} failure={failure:?}",
            decision.asked,
            decision.revision,
            done.account.as_ref().map_or("-", |a| a.as_str()),
            done.first_byte.map_or(-1, |s| s.millis() as i64),
            done.duration.millis(),
        );
    }

    /// Returns the figures of this process as text.
    pub fn metrics_text(&mut self) -> String {
        self.metrics.set_promises(self.entry.invariants());
        let now = self.clock.now();
        for table in Table::ALL {
            let silence = self.answers.silence_ms(table, now);
            let version = self.mirror.version(table);
            self.metrics
                .set_table(&format!("{table:?}"), version as i64, silence);
        }
        let gauges = self.metrics.gauges();
        gauges.revision.set(self.entry.tree().revision().0 as i64);
        gauges.in_flight.set(self.entry.in_flight() as i64);
        gauges.held_back.set(self.entry.quarantined(now) as i64);
        let peers = self.entry.peers();
        gauges.cold.set(peers.cold(now) as i64);
        gauges.leaving.set(peers.leaving() as i64);
        gauges.resting.set(peers.resting(now) as i64);
        gauges.limited.set(peers.limited() as i64);
        let evacuated = peers.hall_states().evacuated();
        gauges.evacuated.set(evacuated.len() as i64);
        if let Some(duties) = &self.duties {
            let outcomes = duties.outcomes();
            gauges.reports_taken.set(outcomes.taken as i64);
            gauges.reports_failed.set(outcomes.failed as i64);
            gauges.unreported.set(duties.duty().unreported() as i64);
            let fence = duties.duty().fence(now).unwrap_or(0);
            gauges.fence.set(fence as i64);
        }
        gauges.links.set(self.upstreams.len() as i64);
        let age = self.relay.follow().age(now);
        gauges.era.set(self.mirror.era().0 as i64);
        gauges.age.set(age.map_or(-1, |age| age.millis() as i64));
        self.metrics.text()
    }
}

/// Returns a number that stands for whatever start of an upstream is at an address.
fn start_at(address: SocketAddr) -> Incarnation {
    let host = match address.ip() {
        IpAddr::V4(ip) => u64::from(u32::from(ip)),
        IpAddr::V6(ip) => u128::from(ip) as u64,
    };
    Incarnation(host << u16::BITS | u64::from(address.port()))
}
