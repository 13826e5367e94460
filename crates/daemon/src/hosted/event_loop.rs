//! The event loop of a hosted entry.

mod links;
mod requests;
mod status;
mod store;
mod suspension;
mod updates;

use super::answers::Answers;
use super::client::{self, Client};
use super::duties::Duties;
use super::followers::Followers;
use super::holds::Recorder;
use super::issues::Register;
use super::message::Message;
use super::mirror::Mirror;
use super::mover::{Mover, Proposal};
use super::peer::Peering;
use super::relay::{self, Relay};
use super::response::{self, Writer};
use super::restorer::Restorer;
use super::shared::Shared;
use crate::clock::{self, Clock};
use crate::event_loop::{self, Flow};
use crate::metrics::Metrics;
use crate::options;
use async_channel::Receiver;
use async_std::task;
use log::info;
use sorreldeck::duty::{Context, Tally};
use sorreldeck::entry::{Entry, Input, Output, Reply, Settings as Decisions, Stop};
use sorreldeck::pick::{Contention, Link};
use sorreldeck::quarantine;
use sorreldeck::replication::{Peer, Subscription, Timeouts};
use sorreldeck::wire::{Frame, Run};
use sorreldeck::{Hall, Region, RequestId, Span, Time, UpstreamId};
use sorreldeck_net::h1::Door;
use sorreldeck_net::link::Event;
use sorreldeck_net::reach;
use sorreldeck_platform::{Settings, Store};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// How long a stopping entry still accepts connections: the load balancer checks every second
/// and stops sending clients after two failures. A request that is accepted later might not end
/// before the process is killed.
const DRAIN_PERIOD: Span = Span::from_millis(2_400);
/// How long before it would be killed the process ends by itself.
const EXIT_MARGIN: Span = Span::from_millis(500);
/// How long the last answers of a stopping entry may take to reach their callers.
const LAST_ANSWERS: Span = Span::from_millis(150);
/// How long an entry waits for the addresses of the others when the whole installation starts
/// for the first time. All entries start within 0.3 s of each other; another second for slow
/// ones does no harm, since there are no clients yet.
const FIRST_START_WAIT: Span = Span::from_millis(1_300);

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
    responses: HashMap<RequestId, response::Writer>,
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
    issues: Register,
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
        decisions.admission = options.admission;
        decisions.model_choice = options.model_choice;
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
            client: Client::new(
                shared.send.clone(),
                shared.load.clone(),
                clock.clone(),
                options.max_event.size(),
            ),
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
            issues: Register::default(),
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
                event_loop.handle(Input::Stop(event_loop.stop_after(now)));
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

    /// Returns when an entry ends that begins to stop now.
    fn stop_after(&self, now: Time) -> Stop {
        Stop {
            shut_at: now + DRAIN_PERIOD,
            ends_at: now + (self.grace - EXIT_MARGIN - LAST_ANSWERS),
        }
    }

    fn is_done(&self, since: Time) -> bool {
        let waited = self.clock.now().since(since);
        // An answer has ended when the socket of its caller has taken its last byte.
        let is_delivered = self.responses.is_empty() && self.door.owing() == 0;
        let idle = self.entry.is_idle() && is_delivered;
        (self.door.is_shut() && idle) || waited >= self.grace - EXIT_MARGIN
    }

    fn tick(&mut self, stopping: bool) {
        self.detect_suspension();
        self.shared.load.step();
        self.door.set_full(!self.shared.load.is_ready());
        self.handle(Input::Tick);
        let now = self.clock.now();
        let last_sync = self.relay.follow().last_sync();
        let expired = self.mirror.tick(now, last_sync);
        self.apply_updates(expired, "lapsed");
        let ready = self.entry.is_ready() && self.shared.load.is_ready() && !stopping;
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
            Message::Request(request, parts) => self.begin_request(request, parts),
            Message::Disconnected(request) => {
                self.responses.remove(&request);
                self.handle(Input::Disconnected(request));
            }
            Message::Reply(link, run, reply) => {
                if matches!(reply, Reply::End | Reply::Fail(_) | Reply::Checked { .. }) {
                    self.runs.remove(&run);
                }
                if matches!(reply, Reply::Paused) {
                    self.metrics.count_paused_read();
                }
                self.handle(Input::Reply(link, run, reply));
            }
            Message::Store(table, outcome) => self.handle_outcome(table, outcome),
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
            Message::Probed(link, is_gone) => self.handle(Input::Probed(link, is_gone)),
            Message::HoldRecorded(fingerprint, result) => {
                let now = self.clock.now();
                self.recorder.on_written(fingerprint, result, now);
            }
            Message::Execute(with) => with(self),
        }
    }

    /// Passes an input to the decisions and executes their outputs.
    pub fn handle(&mut self, input: Input) {
        let now = self.clock.now();
        for output in self.entry.handle(now, input) {
            self.execute(output);
        }
    }

    /// Finds out whether an upstream is there.
    fn probe(&self, link: Link) {
        let Some(address) = self.addresses.get(&link).copied() else {
            return;
        };
        let send = self.shared.send.clone();
        task::spawn(async move {
            let is_gone = !reach::is_taken(address).await;
            // Sending fails only while the process ends.
            let _ = send.send(Message::Probed(link, is_gone)).await;
        });
    }

    fn execute(&mut self, output: Output) {
        match output {
            Output::Send(link, Frame::Start(start)) => {
                let (run, address) = (start.run, self.addresses.get(&link).copied());
                let response = self.responses.get(&run.request);
                let unread = response.map(Writer::unread).unwrap_or_default();
                let handle = self.client.open(link, address, *start, unread);
                self.runs.insert(run, handle);
            }
            Output::Send(_, Frame::Cancel(run)) => drop(self.runs.remove(&run)),
            Output::Probe(link) => self.probe(link),
            Output::Answer(request, part) => self.respond(request, part),
            Output::SpeedSums(sums) => {
                self.metrics.count_told_speed_sums(sums.len());
                self.relay.share_speeds(&sums);
            }
            Output::RequestStarted(account) => {
                let now = self.clock.now();
                self.relay.count_request(&account, &self.mirror, now);
            }
            Output::RecordQuarantine(change) => self.record_quarantine(change),
            Output::RequestEnded(done) => {
                self.metrics.record_request(&done);
                self.log_request(&done);
            }
            other => {
                let is_shared = self.relay.share(&other, self.clock.now());
                if !is_shared {
                    // The other outputs do not occur where upstreams are called directly.
                    log::debug!("ignoring output {other:?}");
                }
            }
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
}
