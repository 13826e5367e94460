//! The event loop of a hosted entry and its messages.

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
use crate::event_loop::{self, Flow};
use crate::metrics::Metrics;
use crate::options;
use async_channel::{Receiver, Sender};
use async_std::task;
use log::{info, warn};
use sorreldeck::duty::{Context, Tally};
use sorreldeck::entry::{
    Entry, Input, Output, Part, Payload, Reply, Request, Settings as Decisions, Summary,
};
use sorreldeck::era::Freshness;
use sorreldeck::pick::{Contention, Link};
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

/// How long a stopping entry still accepts connections: the load balancer checks every second
/// and stops sending clients after two failures. A request that is accepted later might not end
/// before the process is killed.
const DRAIN_PERIOD: Span = Span::from_millis(2_400);
/// How long before it would be killed the process ends by itself.
const EXIT_MARGIN: Span = Span::from_millis(500);
/// How long the store must be unreachable before other entries are asked for tables, and the
/// interval between these requests.
const FETCH_AFTER: Span = Span::from_millis(300);
const FETCH_INTERVAL: Span = Span::from_millis(500);
/// Interval between release reports: a bad release must be abandoned within 5 s, and reports
/// cross at most three links.
const REPORT_INTERVAL: Span = Span::from_millis(500);
/// How long an entry waits for the addresses of the others when the whole installation starts
/// for the first time. All entries start within 0.3 s of each other; another second for slow
/// ones does no harm, since there are no clients yet.
const FIRST_START_WAIT: Span = Span::from_millis(1_300);
/// Interval between requests for tables after several brought nothing newer, since all entries
/// may have lost contact with the store. A change must be known within about 7 s.
const SLOW_FETCH_INTERVAL: Span = Span::from_millis(2_000);

/// Minimum suspension of the machine after which the tables are polled anew. A page of the
/// store is about 20 ms old, and links tolerate 0.5 s.
const MIN_SUSPENSION: Span = Span::from_millis(200);
/// After a suspension, the tables are trusted again if the last contact with the store,
/// directly or through other entries, was within this time. Answers arrive every 0.5 s.
const MAX_AGE: Span = Span::from_millis(700);
/// Maximum time for which the tables are not trusted after a suspension: the store answers
/// within about 5 ms, another entry within 0.5 s.
const MAX_DISTRUST: Span = Span::from_millis(600);

/// Interval between log lines with the sizes of this entry's state.
const STATE_LOG_INTERVAL: Span = Span::from_millis(10_000);

/// Minimum interval between polls of all tables because the store's era changed. A store that
/// reports a different era in each answer is polled only by the followers' own pauses.
const MIN_RESTORE_INTERVAL: Span = Span::from_millis(1_000);

/// A message to the event loop.
pub enum Message {
    /// A request of a client and the channel for its response.
    Request(Box<Request>, Sender<Part>),
    /// The client of a request disconnected.
    Disconnected(RequestId),
    /// A part of an upstream's response to a run.
    Reply(Link, Run, Reply),
    /// The outcome of a poll of a table.
    Store(Table, Outcome),
    /// Tables from another entry.
    Snapshots(Vec<peer::Snapshot>),
    /// An event on a link to another entry.
    Link(Event),
    /// A link that another entry opened.
    LinkAccepted(Link, Outbox),
    /// The outcome of opening a link to an entry.
    LinkOpened(InstanceId, Link, Result<Outbox, String>),
    /// The outcome of writing the record of a roll-out.
    MoveRecorded(String, Result<(), String>),
    /// The outcome of writing lost rows again.
    RowsRestored(Result<(), String>),
    /// The outcome of writing the record of a quarantined request.
    HoldRecorded(Fingerprint, Result<(), String>),
    /// A closure that needs access to the event loop's state.
    Execute(Box<dyn FnOnce(&mut EventLoop) + Send>),
}

/// The state of a hosted entry.
pub struct EventLoop {
    entry: Entry,
    clock: Clock,
    metrics: Metrics,
    mirror: Mirror,
    answers: Answers,
    mover: Mover,
    recorder: Recorder,
    restorer: Restorer,
    /// Usage reporting, which one entry at a time does for all, if the platform asks for it.
    duties: Option<Duties>,
    peering: Peering,
    relay: Relay,
    followers: Followers,
    client: Client,
    runs: HashMap<Run, client::Handle>,
    responses: HashMap<RequestId, Sender<Part>>,
    /// The clients' labels of requests and sessions, for the log.
    labels: HashMap<RequestId, (String, String)>,
    upstreams: HashMap<UpstreamId, Link>,
    addresses: HashMap<Link, SocketAddr>,
    next_link: Link,
    own: Peer,
    /// The regions of all data halls.
    regions: BTreeMap<Hall, Region>,
    link_address: Option<SocketAddr>,
    announced: bool,
    /// When this entry stops waiting for the addresses of the others at the first start of an
    /// installation.
    first_start_until: Option<Time>,
    store: Store,
    door: Arc<Door>,
    grace: Span,
    /// Since when the store is unreachable, or since the start if it has not answered yet.
    failing_since: Option<Time>,
    reported_at: Time,
    /// When the sizes of this entry's state were last logged.
    state_logged_at: Time,
    fetched_at: Time,
    /// The total suspension of the machine that has been handled.
    suspended: Span,
    /// When all tables were last polled because the store was restored from a backup.
    restore_polled_at: Option<Time>,
    /// The end of a suspension since which the tables have not been confirmed.
    distrusted_since: Option<Time>,
    vain_fetches: u32,
    shared: Shared,
    /// The sources that were last logged.
    logged_sources: Vec<String>,
}

impl EventLoop {
    /// Creates the state of an entry that accepts links at an address, if at all.
    pub fn new(
        options: &options::Hosted,
        settings: &Settings,
        shared: Shared,
        store: Store,
        door: Arc<Door>,
        link_address: Option<SocketAddr>,
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
        decisions.contention = match options.contention {
            Contention::Detect if settings.is_contended => Contention::On,
            contention => contention,
        };
        let own = Peer {
            name: settings.instance.clone(),
            hall: settings.hall.clone(),
            address: link_address.unwrap_or(settings.readiness_address),
            cores: settings.cores,
            mbps: settings.link_mbps,
        };
        let bounds = Timeouts::of(settings.config_deadline);
        let send = shared.send.clone();
        let duties = Duties::new(settings, shared.incarnation, store.clone(), send);
        decisions.reports_starts = duties.is_some();
        let mut relay = Relay::new(own.clone(), bounds);
        if let Some(duty) = settings.duties.filter(|_| duties.is_some()) {
            relay.enable_usage(Tally::new(shared.incarnation, duty.report_window));
        }
        let starts = settings.first_start.then_some(FIRST_START_WAIT);
        EventLoop {
            entry: Entry::new(decisions),
            suspended: clock.suspended(),
            restore_polled_at: None,
            distrusted_since: None,
            metrics: Metrics::default(),
            mirror: Mirror::default(),
            answers: Answers::default(),
            mover: Mover::new(&settings.instance),
            recorder: Recorder::new(&settings.instance),
            restorer: Restorer::new(&settings.instance),
            peering: Peering::new(options.link_keys.clone(), settings),
            relay,
            duties,
            followers: Followers::start(&store, &shared, &clock),
            client: Client::new(shared.send.clone(), clock.clone()),
            clock,
            runs: HashMap::new(),
            responses: HashMap::new(),
            labels: HashMap::new(),
            upstreams: HashMap::new(),
            addresses: HashMap::new(),
            next_link: 1,
            own,
            regions: settings.regions.clone(),
            link_address,
            announced: false,
            first_start_until: starts.map(|wait| now + wait),
            store,
            door,
            grace: settings.grace,
            failing_since: starts.is_none().then_some(now),
            reported_at: now,
            state_logged_at: now,
            fetched_at: now,
            vain_fetches: 0,
            shared,
            logged_sources: Vec::new(),
        }
    }

    /// Runs until the process is told to stop and its work has ended.
    pub async fn work(mut self, receive: Receiver<Message>, stop: Arc<AtomicBool>) {
        let mut stopping: Option<Time> = None;
        let tick = |event_loop: &mut EventLoop| {
            let now = event_loop.clock.now();
            if stop.load(Ordering::Relaxed) && stopping.is_none() {
                stopping = Some(now);
                info!("event=leave in_flight={}", event_loop.entry.in_flight());
                event_loop.door.close();
                event_loop.relay.leave();
            }
            if stopping.is_some_and(|since| now.since(since) >= DRAIN_PERIOD)
                && !event_loop.door.is_shut()
            {
                info!("event=door-shut in_flight={}", event_loop.entry.in_flight());
                event_loop.door.shut();
            }
            event_loop.tick(stopping.is_some());
            match stopping.is_some_and(|since| event_loop.is_done(since)) {
                true => Flow::End,
                false => Flow::Continue,
            }
        };
        event_loop::run(&mut self, receive, EventLoop::handle_message, tick).await;
        info!("event=ended in_flight={}", self.entry.in_flight());
        // Leaves time for the last responses to be sent.
        task::sleep(Duration::from_millis(60)).await;
    }

    fn is_done(&self, since: Time) -> bool {
        let waited = self.clock.now().since(since);
        let idle = self.entry.is_idle() && self.responses.is_empty();
        (self.door.is_shut() && idle) || waited >= self.grace - EXIT_MARGIN
    }

    /// Detects that the machine was suspended, before messages that arrived in the meantime are
    /// handled. Ends what has timed out, restarts long polls that stood still and suspends
    /// trust in the tables until they are confirmed.
    fn detect_suspension(&mut self) {
        let suspended = self.clock.suspended();
        let span = suspended - self.suspended;
        if span < MIN_SUSPENSION {
            return;
        }
        self.suspended = suspended;
        info!("event=suspended for_ms={}", span.millis());
        let now = self.clock.now();
        self.distrusted_since = Some(now);
        self.handle(Input::Suspended);
        self.handle(Input::Tick);
        self.client.clear_pool();
        self.relay.invalidate(now);
        for table in Table::ALL {
            self.followers.poll(table);
        }
    }

    /// Trusts the tables again once they are confirmed, or if that takes too long.
    fn end_distrust(&mut self, now: Time) {
        let Some(since) = self.distrusted_since else {
            return;
        };
        let age = self.relay.follow().age(now);
        if age.is_some_and(|age| age < MAX_AGE) || now.since(since) >= MAX_DISTRUST {
            self.distrusted_since = None;
            self.handle(Input::Resynced);
        }
    }

    fn tick(&mut self, stopping: bool) {
        self.detect_suspension();
        self.handle(Input::Tick);
        let now = self.clock.now();
        let last_sync = self.relay.follow().last_sync();
        let expired = self.mirror.tick(now, last_sync);
        self.apply_updates(expired, "lapsed");
        let ready = self.entry.is_ready() && !stopping;
        if self.shared.set_ready(ready) != ready {
            info!("event=ready ready={ready}");
        }
        self.announce();
        self.replicate(now);
        self.end_distrust(now);
        self.fetch_tables(now);
        self.share_reports(now);
        self.log_state(now);
        self.recorder
            .step(now, &self.mirror, &self.store, &self.shared.send);
        let reads_store = self.relay.follow().subscription() == Subscription::All;
        self.run_reporting(reads_store, now);
        self.restorer.step(
            now,
            reads_store,
            &self.mirror,
            &self.store,
            &self.shared.send,
        );
        for (order, state) in self.entry.propose_moves(now) {
            let proposal = Proposal {
                order: &order,
                state,
                grounds: self.entry.move_grounds(&order.pool),
                reads_store,
            };
            self.mover
                .propose(proposal, now, &self.mirror, &self.store, &self.shared.send);
        }
    }

    /// Runs usage reporting, which one entry at a time does for all.
    fn run_reporting(&mut self, reads_store: bool, now: Time) {
        let is_idle = |duties: &&mut Duties| !reads_store && duties.is_idle();
        let Some(duties) = self.duties.as_mut().filter(|d| !is_idle(d)) else {
            return;
        };
        let halls = self.relay.follow().halls();
        let is_hall_leader = self.relay.follow().primary(now).is_none();
        let own = relay::own_epoch(&self.mirror, now);
        let store = self.mirror.store_time(now);
        let Some(usage) = self.relay.usage() else {
            return;
        };
        usage.agree(duties.duty().epoch_us());
        if let Some(window) = duties.duty().completed_through() {
            usage.prune_through(window);
        }
        let context = Context {
            reads_store,
            is_hall_leader,
            halls: &halls,
            tally: usage.tally(),
            utc: usage.time(now, store),
            store_time: store.map(Time),
            epoch_us: usage.epoch(own),
        };
        duties.step(&context, now);
    }

    /// Passes the outcome of a call to usage reporting.
    pub fn with_duties(&mut self, with: impl FnOnce(&mut Duties, Time)) {
        let now = self.clock.now();
        if let Some(duties) = &mut self.duties {
            with(duties, now);
        }
    }

    /// Returns UTC as the data halls agree on it, or this process's own time if that is
    /// unknown.
    pub fn utc(&mut self) -> Time {
        let now = self.clock.now();
        let store = self.mirror.store_time(now);
        self.relay.usage().map_or(now, |c| c.time(now, store))
    }

    fn handle_message(&mut self, message: Message) {
        self.detect_suspension();
        match message {
            Message::Request(request, parts) => {
                if let Payload::Routed(routed) = &request.payload {
                    let session = routed.session.map_or(String::new(), |s| format!("{s:x}"));
                    let label = (routed.label.clone(), session);
                    self.labels.insert(request.request, label);
                }
                self.responses.insert(request.request, parts);
                self.handle(Input::Request(request));
            }
            Message::Disconnected(request) => {
                self.responses.remove(&request);
                self.handle(Input::Disconnected(request));
            }
            Message::Reply(link, run, reply) => {
                if matches!(reply, Reply::End | Reply::Fail(_)) {
                    self.runs.remove(&run);
                }
                self.handle(Input::Reply(link, run, reply));
            }
            Message::Store(
                table,
                Outcome::Page(Read {
                    page,
                    whole,
                    started,
                }),
            ) => {
                let now = self.clock.now();
                if self.mirror.observe_era(table, &page, whole, started, now) == Freshness::Stale {
                    return;
                }
                self.handle_restore("store");
                // The answer may have waited in the channel while the machine was suspended.
                let sent_at = self.mirror.local_time(page.now.as_micros() as u64);
                let contact = sent_at
                    .filter(|_| !page.now.is_zero())
                    .map_or(now, |at| at.min(now));
                self.record_answer(table, contact);
                let updates = self.mirror.apply(table, page, whole, now);
                self.log_ignored();
                self.apply_updates(updates, "store");
                self.answers.record(table, now);
                if table == Table::Own && self.first_start_until.is_none() {
                    self.relay.listed(now);
                }
                let commands = self.relay.publish(&mut self.mirror, now);
                self.execute_commands(commands);
            }
            Message::Store(table, Outcome::Failed(error)) => {
                let now = self.clock.now();
                if !self.mirror.is_failing(table) {
                    warn!("event=store-lost table={table:?} error={error}");
                }
                self.mirror.mark_failing(table);
                // Without the list of entries this entry works on its own.
                self.first_start_until = None;
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
            Message::Snapshots(copies) => self.apply_snapshots(copies),
            Message::Link(Event::Down(link)) => {
                self.peering.close(link);
                self.relay.closed(link, self.clock.now());
            }
            Message::Link(Event::Frames(link, frames)) => {
                for frame in frames {
                    self.handle_frame(link, frame);
                }
            }
            Message::LinkAccepted(link, outbox) => self.peering.add(link, outbox),
            Message::LinkOpened(name, link, outbox) => self.handle_link_opened(name, link, outbox),
            Message::MoveRecorded(key, result) => self.mover.on_written(&key, result),
            Message::RowsRestored(result) => self.restorer.on_written(result),
            Message::HoldRecorded(fingerprint, result) => {
                let now = self.clock.now();
                self.recorder.on_written(fingerprint, result, now);
            }
            Message::Execute(with) => with(self),
        }
    }

    fn handle_link_opened(&mut self, name: InstanceId, link: Link, outbox: Result<Outbox, String>) {
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
        let commands = self.relay.opened(name, link, &self.mirror, now);
        self.execute_commands(commands);
    }

    fn handle_frame(&mut self, link: Link, frame: Frame) {
        if let Frame::FetchTables(cursor) = &frame {
            return self.peering.answer(link, cursor, &self.mirror);
        }
        let now = self.clock.now();
        let era = self.mirror.era();
        let (updates, commands) = self.relay.handle_frame(link, frame, &mut self.mirror, now);
        let has_updates = !updates.is_empty();
        // The name is copied only if it is needed, since most frames contain no updates.
        let needs_name = has_updates || self.mirror.era() != era;
        let source = self.relay.source(link).filter(|_| needs_name);
        let from = source.map(InstanceId::to_string);
        let from = from.as_deref().unwrap_or("unknown");
        self.handle_restore(from);
        self.apply_updates(updates, from);
        self.execute_commands(commands);
        if has_updates {
            let commands = self.relay.publish(&mut self.mirror, now);
            self.execute_commands(commands);
        }
    }

    /// Runs replication: passes the mirrored versions to the followers, executes due commands
    /// and logs changes of the sources.
    fn replicate(&mut self, now: Time) {
        if self.first_start_until.is_some_and(|until| now < until) {
            return;
        }
        self.first_start_until = None;
        for table in Table::ALL {
            let known = self.mirror.base(table);
            self.followers
                .set_mirrored(table, known.map(|_| self.mirror.stamp(table)));
        }
        let wait = self.relay.follow().timeouts().long_poll;
        let before = self.relay.follow().subscription();
        let commands = self.relay.step(&mut self.mirror, now);
        let reads_all = self.relay.follow().subscription() == Subscription::All;
        self.followers.set_max_wait(reads_all.then_some(wait));
        self.execute_commands(commands);
        let follow = self.relay.follow();
        let subscription = follow.subscription();
        let sources: Vec<String> = follow.sources(now).iter().map(|s| s.to_string()).collect();
        if subscription == Subscription::Nothing && !sources.is_empty() {
            self.failing_since = None;
        }
        if subscription != before || sources != self.logged_sources {
            let age = follow.age(now).map_or(-1, |age| age.millis() as i64);
            info!(
                "event=sources reading={subscription:?} before={before:?} sources={sources:?} age_ms={age} takers={}",
                self.relay.subscribers()
            );
            self.logged_sources = sources;
        }
    }

    fn execute_commands(&mut self, commands: Vec<Command>) {
        for command in commands {
            match command {
                Command::Open(name, address) => self.peering.open(name, address, &self.shared),
                Command::Close(link) => self.peering.close(link),
                Command::Send(link, frame) => self.peering.send(link, frame),
                Command::Read(subscription) => self.followers.read(subscription),
                Command::Poll(table) => self.poll_table(table),
                Command::Report(pool, hall, report) => {
                    self.handle(Input::ReleaseReport(pool, hall, report))
                }
                Command::Prefill(number, time) => self.handle(Input::Prefill(number, time)),
                Command::Affinity(affinity) => self.handle(Input::SessionAffinity(affinity)),
                Command::Quarantine(update) => self.handle(Input::QuarantineUpdate(update)),
                Command::Notice(update) => self.handle(Input::Notice(update)),
            }
        }
    }

    /// Polls a table anew whose long poll yields nothing.
    fn poll_table(&mut self, table: Table) {
        let silent = self.answers.silence_ms(table, self.clock.now());
        let version = self.mirror.version(table);
        info!("event=asked-anew table={table:?} version={version} silent_ms={silent}");
        self.followers.poll(table);
    }

    fn record_answer(&mut self, table: Table, now: Time) {
        if self.mirror.is_failing(table) {
            info!("event=store-regained table={table:?}");
        }
        self.relay.note_answer(table, now);
        // At the start, any answer shows that the store is reachable, and the other tables will
        // follow.
        if table == Table::Operator || !self.mirror.has_operator_table() {
            self.failing_since = None;
        }
        if table == Table::Operator {
            self.vain_fetches = 0;
        }
    }

    fn apply_snapshots(&mut self, copies: Vec<peer::Snapshot>) {
        let now = self.clock.now();
        for copy in copies {
            let table = copy.table;
            let before = self.mirror.stamp(table);
            let (page, retained) = copy.page();
            let updates = self.mirror.apply_copy(table, page, retained, now);
            self.handle_restore("asked");
            let version = self.mirror.stamp(table);
            if version > before {
                self.vain_fetches = 0;
                info!("event=learned-from-entry table={table:?} version={version} before={before}");
            }
            self.apply_updates(updates, "asked");
        }
    }

    /// Handles updates; `from` names their source in the log.
    fn apply_updates(&mut self, updates: Vec<Update>, from: &str) {
        let has_entries = updates
            .iter()
            .any(|update| matches!(update, Update::Entry(_)));
        for update in updates {
            self.apply_update(update, from);
        }
        if has_entries {
            // One input for all of them: when an installation starts, up to 300 entries appear
            // at once.
            let entries = self.relay.follow().entries().cloned().collect();
            self.handle(Input::Entries(entries));
        }
        for replaced in self.mirror.take_replaced() {
            info!(
                "event=table-restored table={:?} stamp={} before={} kept={:?} from={from}",
                replaced.table, replaced.after, replaced.before, replaced.retained
            );
        }
        for suspects in self.mirror.take_suspects() {
            info!(
                "event=held upstreams={:?} of={} for_ms={}",
                suspects.keys,
                suspects.listed,
                suspects.grace_period.millis()
            );
        }
        for row in self.mirror.take_malformed() {
            warn!(
                "event=not-understood table={:?} key={:?} error={:?}",
                row.table, row.key, row.message
            );
        }
    }

    /// Handles a restore of the store from a backup. The mirrored tables remain in use until
    /// all tables have been read as a whole, and pending long polls are useless.
    fn handle_restore(&mut self, from: &str) {
        let Some(before) = self.mirror.take_restored() else {
            return;
        };
        let now = self.clock.now();
        let era = self.mirror.era();
        warn!("event=store-era era={era} before={before} from={from}");
        self.relay.invalidate(now);
        let is_due = self
            .restore_polled_at
            .is_none_or(|at| now.since(at) >= MIN_RESTORE_INTERVAL);
        for table in Table::ALL {
            self.followers.set_mirrored(table, None);
            if is_due {
                self.followers.poll(table);
            }
        }
        if is_due {
            self.restore_polled_at = Some(now);
        }
    }

    /// Logs the pages that were ignored.
    fn log_ignored(&mut self) {
        for ignored in self.mirror.take_ignored() {
            self.metrics.count_ignored_page();
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

    /// Returns the log fields that describe the origin of an update: its source, the version up
    /// to which the table is mirrored, and how long the store has not answered this entry for
    /// it.
    fn origin(&self, table: Table, from: &str) -> String {
        let version = self.mirror.version(table);
        let silent = self.answers.silence_ms(table, self.clock.now());
        format!("from={from} version={version} silent_ms={silent}")
    }

    fn apply_update(&mut self, update: Update, from: &str) {
        match update {
            Update::Config(config) => self.apply_config(*config, from),
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
            Update::Cold(upstream, remaining) => {
                let origin = self.origin(Table::Upstreams, from);
                info!(
                    "event=cold upstream={upstream} for_ms={} {origin}",
                    remaining.millis()
                );
                if let Some(link) = self.upstreams.get(&upstream).copied() {
                    self.handle(Input::Cold(link, remaining));
                }
            }
            Update::Evacuated(halls) => {
                let origin = self.origin(Table::Operator, from);
                info!("event=evacuate halls={halls:?} {origin}");
                self.handle(Input::Evacuate(halls));
            }
            Update::Quarantine(fingerprint, record) => self.apply_quarantine(fingerprint, record),
            Update::Entry(peer) => {
                self.peering.add_peer(peer.name.clone(), peer.address);
                self.relay.learn(peer);
            }
        }
    }

    /// Handles the quarantine record of a request, or its removal.
    fn apply_quarantine(&mut self, fingerprint: Fingerprint, record: Option<Record>) {
        let Some(record) = record else {
            return self.handle(Input::QuarantineRemoved(fingerprint));
        };
        // Without the store's clock no row has arrived yet, and no record either.
        if let Some(until) = self.mirror.local_time(record.until_us) {
            let hold = Hold {
                until,
                previous: record.before,
                is_own: record.by == self.own.name,
            };
            self.handle(Input::Quarantined(fingerprint, hold));
        }
    }

    fn apply_config(&mut self, config: sorreldeck_platform::Configuration, from: &str) {
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
        // If the row has no incarnation, the address stands for it, so that notices of one
        // incarnation are not attributed to another.
        let incarnation = &mut listed.member.placement.incarnation;
        incarnation.get_or_insert_with(|| incarnation_of(listed.address));
        let placement = &mut listed.member.placement;
        placement.region = placement
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

    /// Publishes this entry's address once the store can be written.
    fn announce(&mut self) {
        if self.link_address.is_none() || self.announced {
            return;
        }
        // At the first start of an installation the table is empty.
        if self.mirror.version(Table::Own) == 0 && self.first_start_until.is_none() {
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
            if let Err(error) = store.change(&change).await {
                warn!("event=announce-failed error={error}");
                task::sleep(SLOW_FETCH_INTERVAL.into()).await;
                let again = |event_loop: &mut EventLoop| event_loop.announced = false;
                // Sending fails only while the process ends, since the event loop runs until
                // then.
                let _ = send.send(Message::Execute(Box::new(again))).await;
            }
        });
    }

    /// Shares this entry's reports on canary releases with other entries.
    fn share_reports(&mut self, now: Time) {
        if now.since(self.reported_at) < REPORT_INTERVAL {
            return;
        }
        self.reported_at = now;
        for (pool, report) in self.entry.move_reports() {
            self.relay.share_report(pool, report);
        }
    }

    /// Logs the sizes of this entry's state.
    fn log_state(&mut self, now: Time) {
        if now.since(self.state_logged_at) < STATE_LOG_INTERVAL {
            return;
        }
        self.state_logged_at = now;
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

    /// Asks other entries for tables while the store is unreachable.
    fn fetch_tables(&mut self, now: Time) {
        let Some(since) = self.failing_since else {
            return;
        };
        let pause = match self.vain_fetches {
            0..=2 => FETCH_INTERVAL,
            _ => SLOW_FETCH_INTERVAL,
        };
        if now.since(since) < FETCH_AFTER || now.since(self.fetched_at) < pause {
            return;
        }
        self.fetched_at = now;
        self.vain_fetches += 1;
        self.peering.request_tables(&self.mirror, &self.shared);
    }

    /// Passes an input to the decisions and executes their outputs.
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
                let handle = self.client.open(link, address, *start);
                self.runs.insert(run, handle);
            }
            Output::Send(_, Frame::Cancel(run)) => drop(self.runs.remove(&run)),
            Output::Answer(request, part) => self.respond(request, part),
            Output::Prefill(number, time) => self.relay.share_prefill(number, time),
            Output::SessionAffinity(affinity) => {
                self.relay.share_affinity(affinity, self.clock.now())
            }
            Output::QuarantineUpdate(update) => {
                self.relay.share_quarantine(update, self.clock.now())
            }
            Output::Notice(update) => self.relay.share_notice(update),
            Output::RequestStarted(account) => {
                let now = self.clock.now();
                self.relay.count_request(&account, &self.mirror, now);
            }
            Output::RecordQuarantine(change) => self.record_quarantine(change),
            Output::RequestEnded(done) => {
                self.metrics.record_request(&done);
                self.log_request(&done);
            }
            // The other outputs do not occur where upstreams are called directly.
            other => log::debug!("ignoring output {other:?}"),
        }
    }

    /// Schedules writing or removing the record of a quarantined request.
    fn record_quarantine(&mut self, change: quarantine::Change) {
        let now = self.clock.now();
        match change {
            quarantine::Change::Held(fingerprint, hold, _) => {
                self.recorder.schedule(fingerprint, Some(hold), now);
            }
            quarantine::Change::Freed(fingerprint) => {
                self.recorder.schedule(fingerprint, None, now)
            }
        }
    }

    fn respond(&mut self, request: RequestId, part: Part) {
        let last = matches!(part, Part::End | Part::Fail(_));
        if let Some(parts) = self.responses.get(&request) {
            // If the client disconnected, [`Message::Disconnected`] follows.
            let _ = parts.try_send(part);
        }
        if last {
            self.responses.remove(&request);
        }
    }

    /// Logs the one line of a request that has ended.
    fn log_request(&mut self, done: &Summary) {
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

    /// Returns the metrics of this process as text.
    pub fn metrics_text(&mut self) -> String {
        self.metrics.set_invariants(self.entry.invariants());
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
        gauges.quarantined.set(self.entry.quarantined(now) as i64);
        let peers = self.entry.peers();
        gauges.cold.set(peers.cold(now) as i64);
        gauges.leaving.set(peers.leaving() as i64);
        gauges.paused.set(peers.resting(now) as i64);
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
        gauges
            .tables_age
            .set(age.map_or(-1, |age| age.millis() as i64));
        self.metrics.encode()
    }
}

/// Returns a number that identifies the upstream at an address by that address.
fn incarnation_of(address: SocketAddr) -> Incarnation {
    let host = match address.ip() {
        IpAddr::V4(ip) => u64::from(u32::from(ip)),
        IpAddr::V6(ip) => u128::from(ip) as u64,
    };
    Incarnation(host << u16::BITS | u64::from(address.port()))
}
