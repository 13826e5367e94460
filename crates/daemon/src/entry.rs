//! The event loop of an entry and the tasks that send messages to it.

use crate::admin;
use crate::callers;
use crate::clock::{self, Clock};
use crate::controller::{self, Lease};
use crate::event_loop::{self, Flow, Stop};
use crate::links::{self, Context};
use crate::machine;
use crate::metrics::Metrics;
use crate::options;
use crate::propagation::{self, Throttle, Transfer};
use crate::sidecar::write_batch;
use async_channel::{Receiver, Sender};
use async_std::net::TcpListener;
use async_std::task;
use eyre::Result;
use log::{error, info, warn};
use sorreldeck::config::Config;
use sorreldeck::entry::{Entry, Input, Output, Part, Rating, Sample, Settings};
use sorreldeck::pick::Link;
use sorreldeck::quarantine;
use sorreldeck::spool::Batch;
use sorreldeck::wire::Frame;
use sorreldeck::{Failure, Incarnation, Invariant, Reason, RequestId, Tree};
use sorreldeck_net::http;
use sorreldeck_net::link::{Event, Outbox, Traffic};
use sorreldeck_net::open::Bound;
use sorreldeck_net::platform::{Answer, Commit, Instance, Platform, Transaction, Trouble};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, RwLock};
use std::time::{Duration, Instant};

/// The time that a stopping entry has to finish the requests in progress.
const STOP_TIMEOUT: Duration = Duration::from_secs(120);
/// The descriptors for each connection of a caller; its request may call the platform.
const DESCRIPTORS_EACH: usize = 2;
/// The heartbeat interval of a link grows by this much per link, within the limits
/// below, so that the heartbeats of all links stay within the bandwidth budget for
/// control traffic.
const HEARTBEAT_PER_LINK: Duration = Duration::from_millis(50);
const HEARTBEAT_MIN: Duration = Duration::from_millis(1000);
const HEARTBEAT_MAX: Duration = Duration::from_millis(2500);

/// A message to the event loop.
pub enum Message {
    /// An input of the entry's state machine.
    Input(Input),
    /// A request and the channel for its answer.
    Request(Box<sorreldeck::entry::Request>, Sender<Part>),
    /// A link was established.
    LinkUp(Link, Outbox),
    /// An event on a link.
    Link(Event),
    /// A configuration update.
    Config(Transfer),
    /// The platform's list of instances.
    Instances(Vec<Instance>),
    /// A closure to run on the event loop.
    Execute(Box<dyn FnOnce(&mut EventLoop) + Send>),
}

/// State that handlers share with the event loop.
#[derive(Clone)]
pub struct Shared {
    /// The channel to the event loop.
    pub send: Sender<Message>,
    /// The configuration in force, for handlers that read it without the event loop.
    pub tree: Arc<RwLock<Arc<Tree>>>,
    /// The platform.
    pub platform: Platform,
    /// The hash of the token that may edit the whole settings tree, from the daemon's settings.
    pub root_token: Option<String>,
    /// The incarnation of this process.
    pub incarnation: Incarnation,
    /// The HTTP client for calls that are forwarded to legacy scripts.
    pub client: http::Client,
    ready: Arc<AtomicBool>,
    next: Arc<AtomicU64>,
}

impl Shared {
    /// Returns the identifier of the next request.
    pub fn next_request(&self) -> RequestId {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        RequestId::new(self.incarnation.0, number)
    }

    /// Returns the configuration in force.
    pub fn tree(&self) -> Arc<Tree> {
        let tree = self.tree.read().unwrap_or_else(|e| e.into_inner());
        tree.clone()
    }

    /// Returns whether this entry accepts requests.
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Relaxed)
    }

    /// Runs a closure on the event loop and returns its result, or `None` if the
    /// loop has ended.
    pub async fn query<T: Send + 'static>(
        &self,
        query: impl FnOnce(&mut EventLoop) -> T + Send + 'static,
    ) -> Option<T> {
        let (reply, answer) = async_channel::bounded(1);
        let execute = move |event_loop: &mut EventLoop| {
            // Fails if the handler was dropped; the result is then not needed.
            let _ = reply.try_send(query(event_loop));
        };
        self.send
            .send(Message::Execute(Box::new(execute)))
            .await
            .ok()?;
        answer.recv().await.ok()
    }
}

/// A running entry.
#[derive(Clone)]
pub struct Running {
    /// The listening address for callers and operators.
    pub address: SocketAddr,
    /// State that handlers share with the event loop.
    pub shared: Shared,
    /// The handle for a graceful stop.
    pub stop: Stop,
}

/// Runs an entry until SIGTERM or SIGINT stops it.
///
/// # Errors
///
/// Fails if the address cannot be bound or the signal handlers cannot be installed.
pub async fn run(settings: options::Entry) -> Result<()> {
    let platform = Platform::connect(settings.platform);
    let stop = event_loop::stop_flag()?;
    let running = start(settings, platform, stop).await?;
    println!("callers and operators on {}", running.address);
    running.stop.ended().await;
    Ok(())
}

/// Starts an entry in this process.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub async fn start(
    settings: options::Entry,
    platform: Platform,
    stop: Arc<AtomicBool>,
) -> Result<Running> {
    let listener = TcpListener::bind(settings.listen).await?;
    let address = listener.local_addr()?;
    let incarnation = Incarnation(u64::from_le_bytes(clock::random()));
    info!("entry {} starts as {incarnation}", settings.name);
    let (send, receive) = async_channel::unbounded();
    let (end, ended) = async_channel::bounded::<()>(1);
    let shared = Shared {
        send: send.clone(),
        tree: Arc::default(),
        platform: platform.clone(),
        root_token: settings.root_token.clone(),
        incarnation,
        client: http::Client::default(),
        ready: Arc::default(),
        next: Arc::new(AtomicU64::new(1)),
    };
    let mut decisions = Settings::new(
        settings.name.clone(),
        incarnation,
        settings.session_keys.clone(),
        u64::from_le_bytes(clock::random()),
    );
    decisions.policy = settings.policy;
    decisions.sample = settings.sample;
    decisions.judge = settings.judge;
    decisions.even_limits = settings.even_limits;
    let event_loop = EventLoop {
        entry: Entry::new(decisions),
        config: Config::default(),
        clock: Clock::start(),
        links: HashMap::new(),
        callers: HashMap::new(),
        metrics: Metrics::default(),
        traffic: Arc::default(),
        instances: Vec::new(),
        throttle: Throttle::default(),
        last_heartbeat: Instant::now(),
        violated: 0,
        shared: shared.clone(),
    };
    let directory = Context {
        me: settings.name.clone(),
        incarnation,
        platform: platform.clone(),
        keys: settings.link_keys.clone(),
        fixed: settings.sidecars.clone(),
        send: send.clone(),
        traffic: event_loop.traffic.clone(),
    };
    task::spawn(links::maintain(directory));
    task::spawn(propagation::poll(
        platform.clone(),
        send.clone(),
        Message::Config,
    ));
    task::spawn(controller::run(
        shared.clone(),
        Lease::new(&settings.name, incarnation),
    ));
    let open = machine::descriptors().map_or(Bound::None, |n| Bound::New(n / DESCRIPTORS_EACH));
    task::spawn(http::serve(listener, app(shared.clone()), open));
    let flag = stop.clone();
    let grace = settings.grace.into();
    task::spawn(async move {
        event_loop.run(receive, flag, grace).await;
        drop(end);
    });
    Ok(Running {
        address,
        shared,
        stop: Stop::new(stop, ended),
    })
}

fn app(shared: Shared) -> tide::Server<Shared> {
    let mut app = tide::with_state(shared);
    admin::routes(&mut app);
    callers::routes(&mut app);
    app
}

/// The event loop of an entry and its state.
pub struct EventLoop {
    /// The state machine that makes the decisions.
    pub entry: Entry,
    /// The configuration and its latest changes.
    pub config: Config,
    /// The clock from which the state machine gets the time.
    pub clock: Clock,
    /// The metrics of this process.
    pub metrics: Metrics,
    /// The latest list of instances.
    pub instances: Vec<Instance>,
    links: HashMap<Link, Outbox>,
    callers: HashMap<RequestId, Sender<Part>>,
    traffic: Arc<Traffic>,
    throttle: Throttle,
    last_heartbeat: Instant,
    violated: u64,
    shared: Shared,
}

impl EventLoop {
    async fn run(mut self, receive: Receiver<Message>, stop: Arc<AtomicBool>, grace: Duration) {
        let mut stopping: Option<Instant> = None;
        let tick = |event_loop: &mut EventLoop| {
            event_loop.tick(stopping.is_some());
            if stop.load(Ordering::Relaxed) && stopping.is_none() {
                info!("entry is stopping");
                stopping = Some(Instant::now());
            }
            match stopping.is_some_and(|since| event_loop.is_done(since, grace)) {
                true => Flow::End,
                false => Flow::Continue,
            }
        };
        event_loop::run(&mut self, receive, EventLoop::handle_message, tick).await;
        if !self.entry.record_stop() {
            warn!(
                "entry stopped with {} requests in progress",
                self.entry.in_flight()
            );
        }
        info!("entry stopped");
        for outbox in self.links.values() {
            outbox.close();
        }
        // Lets the links send the frames that are still queued.
        task::sleep(Duration::from_millis(50)).await;
    }

    fn is_done(&mut self, since: Instant, grace: Duration) -> bool {
        if since.elapsed() < grace {
            return false;
        }
        self.handle(Input::Drain);
        let idle = self.entry.is_idle() && self.callers.is_empty() && self.entry.unbilled() == 0;
        idle || since.elapsed() >= STOP_TIMEOUT
    }

    fn tick(&mut self, stopping: bool) {
        self.handle(Input::Tick);
        let ready = self.entry.is_ready() && !stopping;
        self.shared.ready.store(ready, Ordering::Relaxed);
        self.report_violations();
        let pause = HEARTBEAT_PER_LINK * self.links.len() as u32;
        if self.last_heartbeat.elapsed() >= pause.clamp(HEARTBEAT_MIN, HEARTBEAT_MAX) {
            self.last_heartbeat = Instant::now();
            for outbox in self.links.values() {
                outbox.send(Frame::Revision(self.config.revision()));
            }
        }
    }

    fn handle_message(&mut self, message: Message) {
        match message {
            Message::Input(input) => self.handle(input),
            Message::Request(request, parts) => {
                self.callers.insert(request.request, parts);
                self.handle(Input::Request(request));
            }
            Message::LinkUp(link, outbox) => drop(self.links.insert(link, outbox)),
            Message::Link(Event::Frames(link, frames)) => {
                for frame in frames {
                    self.handle_frame(link, frame);
                }
            }
            Message::Link(Event::Down(link)) => {
                self.links.remove(&link);
                self.handle(Input::LinkDown(link));
            }
            Message::Config(transfer) => self.apply(transfer),
            Message::Instances(instances) => self.set_instances(instances),
            Message::Execute(execute) => execute(self),
        }
    }

    fn handle_frame(&mut self, link: Link, frame: Frame) {
        match frame {
            Frame::Changes(changes) => self.apply(Transfer::Changes(changes)),
            Frame::Snapshot { revision, entries } => {
                self.apply(Transfer::Snapshot(propagation::Snapshot {
                    revision,
                    entries,
                }));
            }
            frame => self.handle(Input::Frame(link, frame)),
        }
    }

    fn set_instances(&mut self, instances: Vec<Instance>) {
        let entries = instances
            .iter()
            .filter(|i| i.role == sorreldeck_net::platform::Role::Entry)
            .map(|i| i.name.clone())
            .collect();
        self.instances = instances;
        self.handle(Input::Entries(entries));
    }

    /// Puts a newer configuration in force and sends its changes to all links.
    pub fn apply(&mut self, transfer: Transfer) {
        let before = self.config.revision();
        let Some(tree) = propagation::apply(&mut self.config, transfer) else {
            return;
        };
        info!("configuration revision {} is in force", tree.revision());
        self.metrics
            .gauges()
            .revision_since
            .set(self.clock.now().0 as i64);
        *self.shared.tree.write().unwrap_or_else(|e| e.into_inner()) = tree.clone();
        self.handle(Input::Tree(tree));
        // Pushed at once, so that the sidecars need not request the changes.
        if let Some(changes) = self.config.since(before) {
            for outbox in self.links.values() {
                outbox.send(Frame::Changes(changes.clone()));
            }
        }
    }

    /// Passes an input to the state machine and executes its outputs.
    pub fn handle(&mut self, input: Input) {
        let now = self.clock.now();
        for output in self.entry.handle(now, input) {
            self.execute(output);
        }
    }

    fn execute(&mut self, output: Output) {
        match output {
            Output::Send(link, frame) => self.post(link, frame),
            Output::Answer(request, part) => self.answer(request, part),
            Output::Forward(request, address) => self.forward(request, address),
            Output::Claim(request, key) => self.claim(request, key),
            Output::Rate(sample) => self.rate(sample),
            Output::Write(batch) => self.write(batch),
            Output::Behind(link) => {
                if self.throttle.admits(self.config.revision()) {
                    self.post(link, Frame::FetchChanges(self.config.revision()));
                }
            }
            Output::Ahead(link, revision) => {
                let frame = propagation::frame_since(&self.config, revision);
                self.post(link, frame);
            }
            Output::Suspect(version) => warn!("suspect version {version} gets no new requests"),
            Output::RequestEnded(summary) => self.metrics.record_request(&summary),
            // Sidecars report the pending prefill to all entries.
            Output::Prefill(..) | Output::Overdue(..) | Output::SessionAffinity(..) => {}
            Output::SpeedSums(_) => {}
            Output::QuarantineUpdate(update) => self.broadcast(&update),
            // Sidecars keep the quarantine and relay its updates.
            // Sidecars tell whether their upstreams are there.
            Output::RecordQuarantine(_) | Output::Probe(_) => {}
            // Only upstreams without a sidecar send notices to entries directly.
            Output::Notice(_) => {}
            // The usage of client accounts is taken from the records of runs.
            Output::RequestStarted(_) => {}
        }
    }

    /// Sends an update of the quarantine to all sidecars, which relay it to the other
    /// entries, since entries have no links to each other.
    fn broadcast(&self, update: &quarantine::Update) {
        for outbox in self.links.values() {
            outbox.send(Frame::Quarantine(vec![update.clone()]));
        }
    }

    fn post(&self, link: Link, frame: Frame) {
        if let Some(outbox) = self.links.get(&link) {
            outbox.send(frame);
        }
    }

    fn answer(&mut self, request: RequestId, part: Part) {
        let last = matches!(part, Part::End | Part::Fail(_));
        let Some(parts) = self.callers.get(&request) else {
            return;
        };
        let delivered = parts.try_send(part).is_ok();
        if last || !delivered {
            self.callers.remove(&request);
        }
        if !delivered && !last {
            self.handle(Input::Disconnected(request));
        }
    }

    fn forward(&mut self, request: RequestId, address: String) {
        // The handler has the call and forwards it to the address in this header.
        let part = Part::Head {
            status: 0,
            headers: vec![sorreldeck::wire::Header::new(callers::FORWARD, address)],
        };
        self.answer(request, part);
        self.callers.remove(&request);
    }

    fn claim(&self, request: RequestId, key: String) {
        let shared = self.shared.clone();
        task::spawn(async move {
            let claim = claim(&shared.platform, request, &key).await;
            let message = Message::Input(Input::Claimed(request, claim));
            let _ = shared.send.send(message).await;
        });
    }

    fn rate(&self, sample: Sample) {
        let shared = self.shared.clone();
        task::spawn(async move {
            let answer = Answer {
                version: sample.version.clone(),
                class: sample.class,
                text: callers::answer_text(&sample.answer),
            };
            // An answer without a rating is not counted.
            if let Ok(score) = shared.platform.rate(&answer).await {
                let rating = Rating { sample, score };
                let _ = shared.send.send(Message::Input(Input::Rated(rating))).await;
            }
        });
    }

    fn write(&self, batch: Batch) {
        let shared = self.shared.clone();
        task::spawn(async move {
            let input = match write_batch(&shared.platform, &batch).await {
                true => Input::Written(batch.number),
                false => Input::NotWritten(batch.number),
            };
            let _ = shared.send.send(Message::Input(input)).await;
        });
    }

    fn report_violations(&mut self) {
        let invariants = self.entry.invariants();
        let violated: u64 = Invariant::ALL.iter().map(|i| invariants.violated(*i)).sum();
        if violated > self.violated {
            self.violated = violated;
            error!("refused {violated} actions that would violate an invariant");
        }
    }

    /// Returns all metrics in the text format of Prometheus.
    pub fn metrics_text(&self) -> String {
        let gauges = self.metrics.gauges();
        gauges.revision.set(self.config.revision().0 as i64);
        gauges.links.set(self.links.len() as i64);
        gauges.in_flight.set(self.entry.in_flight() as i64);
        gauges.unbilled.set(self.entry.unbilled() as i64);
        gauges.set_traffic(&self.traffic);
        self.metrics.set_invariants(self.entry.invariants());
        self.metrics.encode()
    }
}

/// Claims an idempotency key for a request with a row in the platform's store.
async fn claim(platform: &Platform, request: RequestId, key: &str) -> Result<(), Failure> {
    let transaction = Transaction::default()
        .expect_absent(key)
        .put(key, request.to_string().into());
    match platform.commit(&transaction).await {
        Ok(Commit::Done) => Ok(()),
        Ok(Commit::Conflict(_)) | Err(Trouble::Unknown(_)) => {
            resolve_claim(platform, request, key).await
        }
        Err(trouble) => Err(Failure::not_run(Reason::StoreDown, trouble.to_string())
            .retry_after(sorreldeck::Span::from_millis(2000))),
    }
}

/// Reads which request holds a claim after a conflict or a lost answer.
async fn resolve_claim(platform: &Platform, request: RequestId, key: &str) -> Result<(), Failure> {
    let holder = platform.get(key).await;
    let duplicate = |message: String| {
        // This request did not run, but the earlier one with the same key may have.
        Failure::new(Reason::Duplicate, sorreldeck::Verdict::MayHaveRun, message)
    };
    match holder {
        Ok(Some(row)) if row.value == request.to_string() => Ok(()),
        Ok(Some(row)) => Err(duplicate(format!("request {} has the same key", row.value))),
        Ok(None) => Err(Failure::not_run(
            Reason::StoreDown,
            "the claim was not kept",
        )),
        Err(trouble) => Err(Failure::not_run(Reason::StoreDown, trouble.to_string())),
    }
}
