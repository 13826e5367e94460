//! The entry's loop and what feeds it.

use crate::admin;
use crate::callers;
use crate::clock::{self, Clock};
use crate::controller::{self, Lease};
use crate::event_loop::{self, Flow, Stop};
use crate::links::{self, Context};
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
use sorreldeck_net::platform::{Answer, Commit, Instance, Platform, Transaction, Trouble};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, RwLock};
use std::time::{Duration, Instant};

/// How long a stopping entry goes on with what is under way.
const STOP_TIMEOUT: Duration = Duration::from_secs(120);
/// The heartbeats on one link: with many links they come less often, so that
/// all of them together stay within the budget for control.
const HEARTBEAT_PER_LINK: Duration = Duration::from_millis(50);
const HEARTBEAT_MIN: Duration = Duration::from_millis(1000);
const HEARTBEAT_MAX: Duration = Duration::from_millis(2500);

/// What reaches the loop.
pub enum Message {
    /// Something for the decisions.
    Input(Input),
    /// A request and where its answer goes.
    Request(Box<sorreldeck::entry::Request>, Sender<Part>),
    /// A link is up; the name is that of the platform's list.
    LinkUp(Link, Outbox),
    /// Something happened on a link.
    Link(Event),
    /// A newer configuration.
    Config(Transfer),
    /// The platform's list of instances.
    Instances(Vec<Instance>),
    /// Something that only the loop can do; the closure says what.
    Execute(Box<dyn FnOnce(&mut EventLoop) + Send>),
}

/// What handlers share with the loop.
#[derive(Clone)]
pub struct Shared {
    /// The way to the loop.
    pub send: Sender<Message>,
    /// The configuration in force, for what a handler must know by itself.
    pub tree: Arc<RwLock<Arc<Tree>>>,
    /// The platform.
    pub platform: Platform,
    /// The hash of the token that may edit everything, from the settings.
    pub root_token: Option<String>,
    /// The instance and run of this process.
    pub incarnation: Incarnation,
    /// Calls of the old scripts.
    pub client: http::Client,
    ready: Arc<AtomicBool>,
    next: Arc<AtomicU64>,
}

impl Shared {
    /// Returns the identity of the next request.
    pub fn next_request(&self) -> RequestId {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        RequestId::new(self.incarnation.0, number)
    }

    /// Returns the configuration in force.
    pub fn tree(&self) -> Arc<Tree> {
        let tree = self.tree.read().unwrap_or_else(|e| e.into_inner());
        tree.clone()
    }

    /// Returns whether callers may be sent here.
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Relaxed)
    }

    /// Has the loop do something and returns what it says, or `None` if the
    /// loop has ended.
    pub async fn query<T: Send + 'static>(
        &self,
        ask: impl FnOnce(&mut EventLoop) -> T + Send + 'static,
    ) -> Option<T> {
        let (reply, answer) = async_channel::bounded(1);
        let with = move |room: &mut EventLoop| {
            // The handler may have gone; then nobody wants the answer.
            let _ = reply.try_send(ask(room));
        };
        self.send
            .send(Message::Execute(Box::new(with)))
            .await
            .ok()?;
        answer.recv().await.ok()
    }
}

/// A running entry.
#[derive(Clone)]
pub struct Running {
    /// The address for callers and operators.
    pub address: SocketAddr,
    /// What handlers share with the loop.
    pub shared: Shared,
    /// The planned stop.
    pub stop: Stop,
}

/// Runs an entry until it is told to stop by SIGTERM or SIGINT.
///
/// # Errors
///
/// Fails when the address cannot be listened on.
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
/// Fails when the address cannot be listened on.
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
    let room = EventLoop {
        entry: Entry::new(decisions),
        config: Config::default(),
        clock: Clock::start(),
        links: HashMap::new(),
        callers: HashMap::new(),
        metrics: Metrics::default(),
        traffic: Arc::default(),
        instances: Vec::new(),
        asker: Throttle::default(),
        beat: Instant::now(),
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
        traffic: room.traffic.clone(),
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
    task::spawn(http::serve(listener, app(shared.clone())));
    let flag = stop.clone();
    let grace = settings.grace.into();
    task::spawn(async move {
        room.work(receive, flag, grace).await;
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

/// What the loop holds.
pub struct EventLoop {
    /// The decisions.
    pub entry: Entry,
    /// The configuration and its last changes.
    pub config: Config,
    /// The clock.
    pub clock: Clock,
    /// The metrics.
    pub metrics: Metrics,
    /// The latest list of instances.
    pub instances: Vec<Instance>,
    links: HashMap<Link, Outbox>,
    callers: HashMap<RequestId, Sender<Part>>,
    traffic: Arc<Traffic>,
    asker: Throttle,
    beat: Instant,
    violated: u64,
    shared: Shared,
}

impl EventLoop {
    async fn work(mut self, receive: Receiver<Message>, stop: Arc<AtomicBool>, grace: Duration) {
        let mut stopping: Option<Instant> = None;
        let tick = |room: &mut EventLoop| {
            room.tick(stopping.is_some());
            if stop.load(Ordering::Relaxed) && stopping.is_none() {
                info!("the entry leaves");
                stopping = Some(Instant::now());
            }
            match stopping.is_some_and(|since| room.is_done(since, grace)) {
                true => Flow::End,
                false => Flow::Continue,
            }
        };
        event_loop::run(&mut self, receive, EventLoop::take, tick).await;
        if !self.entry.record_stop() {
            warn!("the stop cuts {} requests", self.entry.in_flight());
        }
        info!("the entry has ended");
        for outbox in self.links.values() {
            outbox.close();
        }
        // What is in line still goes out.
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
        self.watch_promises();
        let pause = HEARTBEAT_PER_LINK * self.links.len() as u32;
        if self.beat.elapsed() >= pause.clamp(HEARTBEAT_MIN, HEARTBEAT_MAX) {
            self.beat = Instant::now();
            for outbox in self.links.values() {
                outbox.send(Frame::Revision(self.config.revision()));
            }
        }
    }

    fn take(&mut self, message: Message) {
        match message {
            Message::Input(input) => self.handle(input),
            Message::Request(ask, parts) => {
                self.callers.insert(ask.request, parts);
                self.handle(Input::Request(ask));
            }
            Message::LinkUp(link, outbox) => drop(self.links.insert(link, outbox)),
            Message::Link(Event::Frames(link, frames)) => {
                for frame in frames {
                    self.frame(link, frame);
                }
            }
            Message::Link(Event::Down(link)) => {
                self.links.remove(&link);
                self.handle(Input::LinkDown(link));
            }
            Message::Config(news) => self.apply(news),
            Message::Instances(instances) => self.note_instances(instances),
            Message::Execute(with) => with(self),
        }
    }

    fn frame(&mut self, link: Link, frame: Frame) {
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

    fn note_instances(&mut self, instances: Vec<Instance>) {
        let entries = instances
            .iter()
            .filter(|i| i.role == sorreldeck_net::platform::Role::Entry)
            .map(|i| i.name.clone())
            .collect();
        self.instances = instances;
        self.handle(Input::Entries(entries));
    }

    /// Puts a newer configuration in force and passes it on.
    pub fn apply(&mut self, news: Transfer) {
        let before = self.config.revision();
        let Some(tree) = propagation::apply(&mut self.config, news) else {
            return;
        };
        info!("revision {} is in force", tree.revision());
        self.metrics
            .gauges()
            .revision_since
            .set(self.clock.now().0 as i64);
        *self.shared.tree.write().unwrap_or_else(|e| e.into_inner()) = tree.clone();
        self.handle(Input::Tree(tree));
        // The other ends get the changes at once, not after asking for them.
        if let Some(changes) = self.config.since(before) {
            for outbox in self.links.values() {
                outbox.send(Frame::Changes(changes.clone()));
            }
        }
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
            Output::Send(link, frame) => self.post(link, frame),
            Output::Answer(request, part) => self.answer(request, part),
            Output::Forward(request, address) => self.forward(request, address),
            Output::Claim(request, key) => self.claim(request, key),
            Output::Rate(sample) => self.rate(sample),
            Output::Write(batch) => self.write(batch),
            Output::Behind(link) => {
                if self.asker.admits(self.config.revision()) {
                    self.post(link, Frame::FetchChanges(self.config.revision()));
                }
            }
            Output::Ahead(link, revision) => {
                let frame = propagation::frame_since(&self.config, revision);
                self.post(link, frame);
            }
            Output::Suspect(version) => warn!("version {version} is held back here"),
            Output::RequestEnded(done) => self.metrics.record_request(&done),
            // Sidecars tell all entries what waits to be read.
            Output::Prefill(..) | Output::SessionPin(..) => {}
            Output::QuarantineUpdate(word) => self.tell_all(&word),
            // What is held back is remembered by the sidecars, which pass the words on.
            Output::RecordQuarantine(_) => {}
            // Only upstreams without a sidecar answer entries themselves.
            Output::Notice(_) => {}
            // Records of runs tell what client accounts used.
            Output::RequestStarted(_) => {}
        }
    }

    /// Has the sidecars tell the other entries of requests; there are no links to these.
    fn tell_all(&self, word: &quarantine::Update) {
        for outbox in self.links.values() {
            outbox.send(Frame::Quarantine(vec![word.clone()]));
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
        let heard = parts.try_send(part).is_ok();
        if last || !heard {
            self.callers.remove(&request);
        }
        if !heard && !last {
            self.handle(Input::Disconnected(request));
        }
    }

    fn forward(&mut self, request: RequestId, address: String) {
        // The handler holds the call; it is told where to send it.
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
            // Without a rating the answer is simply not counted.
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

    fn watch_promises(&mut self) {
        let promises = self.entry.invariants();
        let violated: u64 = Invariant::ALL.iter().map(|p| promises.violated(*p)).sum();
        if violated > self.violated {
            self.violated = violated;
            error!("a promise would have been broken; {violated} actions were refused");
        }
    }

    /// Writes all metrics.
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

/// Claims an idempotency key for a request.
async fn claim(platform: &Platform, request: RequestId, key: &str) -> Result<(), Failure> {
    let transaction = Transaction::default()
        .expect_absent(key)
        .put(key, request.to_string().into());
    match platform.commit(&transaction).await {
        Ok(Commit::Done) => Ok(()),
        Ok(Commit::Conflict(_)) | Err(Trouble::Unknown(_)) => {
            settle_claim(platform, request, key).await
        }
        Err(trouble) => Err(Failure::not_run(Reason::StoreDown, trouble.to_string())
            .retry_after(sorreldeck::Span::from_millis(2000))),
    }
}

/// Finds out who holds a claim that was there already or whose answer was lost.
async fn settle_claim(platform: &Platform, request: RequestId, key: &str) -> Result<(), Failure> {
    let holder = platform.get(key).await;
    let unsure = |message: String| {
        // This request did not run; the earlier one with the key may have.
        Failure::new(Reason::Duplicate, sorreldeck::Verdict::MayHaveRun, message)
    };
    match holder {
        Ok(Some(row)) if row.value == request.to_string() => Ok(()),
        Ok(Some(row)) => Err(unsure(format!("request {} has the same key", row.value))),
        Ok(None) => Err(Failure::not_run(
            Reason::StoreDown,
            "the claim was not kept",
        )),
        Err(trouble) => Err(Failure::not_run(Reason::StoreDown, trouble.to_string())),
    }
}
