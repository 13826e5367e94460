//! The event loop of a sidecar and the tasks that send messages to it.

use crate::clock::{self, Clock};
use crate::event_loop::{self, Flow, Stop};
use crate::metrics::Metrics;
use crate::options;
use crate::propagation::{self, Throttle, Transfer};
use crate::upstream::{self, Handle, MaxAnswer};
use async_channel::{Receiver, Sender};
use async_std::net::TcpListener;
use async_std::task;
use eyre::Result;
use log::{error, info};
use sorreldeck::config::Config;
use sorreldeck::pick::Link;
use sorreldeck::sidecar::{Input, Output, Settings, Sidecar};
use sorreldeck::spool::Batch;
use sorreldeck::wire::{Frame, Run};
use sorreldeck::{Incarnation, Invariant};
use sorreldeck_net::http::{self, Client};
use sorreldeck_net::link::{self, Event, Keys, Outbox, Traffic};
use sorreldeck_net::open::{Bound, Open};
use sorreldeck_net::socket;
use sorreldeck_net::Platform;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tide::{Request, Response};

/// The open connections of the health check; descriptors and memory are for runs.
const HEALTH_OPEN: Bound = Bound::Oldest(64);
/// The incoming connections that have not shown a key.
const OPENING: Bound = Bound::Oldest(256);
/// The pause after a failure to accept a connection.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);
/// The time that a stopping sidecar has to finish the runs in progress.
const STOP_TIMEOUT: Duration = Duration::from_secs(120);

/// A message to the event loop.
enum Message {
    Input(Input),
    LinkUp(Link, Outbox),
    Link(Event),
    Config(Transfer),
    Metrics(Sender<String>),
}

/// A running sidecar.
#[derive(Clone, Debug)]
pub struct Running {
    /// The listening address for links.
    pub address: SocketAddr,
    /// The listening address for health checks and metrics.
    pub health: SocketAddr,
    /// The handle for a graceful stop.
    pub stop: Stop,
}

/// Runs a sidecar until SIGTERM or SIGINT stops it.
///
/// # Errors
///
/// Fails if an address cannot be bound or the signal handlers cannot be installed.
pub async fn run(settings: options::Sidecar) -> Result<()> {
    let platform = Platform::connect(settings.platform);
    let stop = event_loop::stop_flag()?;
    let running = start(settings, platform, stop).await?;
    println!("links on {}, health on {}", running.address, running.health);
    running.stop.ended().await;
    Ok(())
}

/// Starts a sidecar in this process.
///
/// # Errors
///
/// Fails if an address cannot be bound.
pub async fn start(
    settings: options::Sidecar,
    platform: Platform,
    stop: Arc<AtomicBool>,
) -> Result<Running> {
    let listener = TcpListener::bind(settings.listen).await?;
    let address = listener.local_addr()?;
    let health = TcpListener::bind(settings.health).await?;
    let health_address = health.local_addr()?;
    let (send, receive) = async_channel::unbounded();
    let (end, ended) = async_channel::bounded::<()>(1);
    let incarnation = Incarnation(u64::from_le_bytes(clock::random()));
    info!("sidecar {} starts as {incarnation}", settings.name);
    let config = Config::default();
    let event_loop = EventLoop {
        sidecar: Sidecar::new(Settings {
            upstream: settings.name.clone(),
            pool: settings.pool.clone(),
            hall: settings.hall.clone(),
            incarnation,
            slots: settings.slots,
            reserve: settings.reserve,
            prefill_rate: settings.prefill,
            fifo: settings.fifo,
        }),
        config,
        clock: Clock::start(),
        client: Client::default(),
        upstream: settings.upstream,
        max_answer: settings.max_answer,
        platform: platform.clone(),
        links: HashMap::new(),
        runs: HashMap::new(),
        metrics: Metrics::default(),
        traffic: Arc::default(),
        throttle: Throttle::default(),
        violated: 0,
        send: send.clone(),
    };
    let traffic = event_loop.traffic.clone();
    task::spawn(accept_links(
        listener,
        settings.link_keys,
        send.clone(),
        traffic,
    ));
    task::spawn(propagation::poll(platform, send.clone(), Message::Config));
    task::spawn(http::serve(health, app(send), HEALTH_OPEN));
    let flag = stop.clone();
    task::spawn(async move {
        event_loop.run(receive, flag).await;
        drop(end);
    });
    Ok(Running {
        address,
        health: health_address,
        stop: Stop::new(stop, ended),
    })
}

async fn accept_links(
    listener: TcpListener,
    keys: Keys,
    send: Sender<Message>,
    traffic: Arc<Traffic>,
) {
    let mut opening = Open::new(OPENING, listener.local_addr().ok());
    let mut next: Link = 1;
    loop {
        let Ok(stream) = socket::accept(&listener).await else {
            task::sleep(ACCEPT_BACKOFF).await;
            continue;
        };
        let (keys, send, traffic) = (keys.clone(), send.clone(), traffic.clone());
        let link = next;
        next += 1;
        opening.make_room().await;
        opening.run(async move {
            match link::accept(stream, &keys, clock::random()).await {
                Ok(open) => {
                    task::spawn(run_link(open, link, send, traffic));
                }
                Err(e) => info!("rejected an incoming link: {e}"),
            }
        });
    }
}

async fn run_link(open: link::Open, link: Link, send: Sender<Message>, traffic: Arc<Traffic>) {
    let (events, incoming) = async_channel::bounded(64);
    let outbox = open.run(link, events, traffic);
    if send.send(Message::LinkUp(link, outbox)).await.is_err() {
        return;
    }
    while let Ok(event) = incoming.recv().await {
        if send.send(Message::Link(event)).await.is_err() {
            return;
        }
    }
}

/// The event loop of a sidecar and its state.
struct EventLoop {
    sidecar: Sidecar,
    config: Config,
    clock: Clock,
    client: Client,
    upstream: SocketAddr,
    max_answer: MaxAnswer,
    platform: Platform,
    links: HashMap<Link, Outbox>,
    runs: HashMap<Run, Handle>,
    metrics: Metrics,
    traffic: Arc<Traffic>,
    throttle: Throttle,
    violated: u64,
    send: Sender<Message>,
}

impl EventLoop {
    async fn run(mut self, receive: Receiver<Message>, stop: Arc<AtomicBool>) {
        let mut stopping: Option<Instant> = None;
        let tick = |event_loop: &mut EventLoop| {
            event_loop.handle(Input::Tick);
            event_loop.report_violations();
            if stop.load(Ordering::Relaxed) && stopping.is_none() {
                info!("sidecar is stopping");
                stopping = Some(Instant::now());
                event_loop.handle(Input::Drain);
            }
            match stopping.is_some_and(|since| event_loop.is_done(since)) {
                true => Flow::End,
                false => Flow::Continue,
            }
        };
        event_loop::run(&mut self, receive, EventLoop::handle_message, tick).await;
        info!("sidecar stopped");
        self.close_links().await;
    }

    async fn close_links(&self) {
        for outbox in self.links.values() {
            outbox.close();
        }
        // Lets the links send the frames that are still queued.
        task::sleep(Duration::from_millis(50)).await;
    }

    fn is_done(&self, since: Instant) -> bool {
        self.sidecar.is_idle() || since.elapsed() >= STOP_TIMEOUT
    }

    fn handle_message(&mut self, message: Message) {
        match message {
            Message::Input(input) => self.handle(input),
            Message::LinkUp(link, outbox) => {
                self.links.insert(link, outbox);
                self.handle(Input::LinkUp(link));
            }
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
            Message::Metrics(reply) => {
                let _ = reply.try_send(self.metrics_text());
            }
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

    fn apply(&mut self, transfer: Transfer) {
        if let Some(tree) = propagation::apply(&mut self.config, transfer) {
            info!("configuration revision {} is in force", tree.revision());
            self.metrics
                .gauges()
                .revision_since
                .set(self.clock.now().0 as i64);
            self.handle(Input::Tree(tree));
        }
    }

    fn handle(&mut self, input: Input) {
        let now = self.clock.now();
        for output in self.sidecar.handle(now, input) {
            self.execute(output);
        }
    }

    fn execute(&mut self, output: Output) {
        match output {
            Output::Send(link, frame) => self.post(link, frame),
            Output::Open(start) => {
                let send = self.send.clone();
                let run = start.run;
                let report = move |run, event| {
                    // Fails only when the process ends: the loop outlives every run.
                    let _ = send.try_send(Message::Input(Input::Upstream(run, event)));
                };
                let handle =
                    upstream::spawn(&self.client, self.upstream, *start, self.max_answer, report);
                self.runs.insert(run, handle);
            }
            Output::Abort(run) => {
                if let Some(handle) = self.runs.get(&run) {
                    handle.abort();
                }
            }
            Output::Closed(run) => drop(self.runs.remove(&run)),
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
        }
    }

    fn post(&self, link: Link, frame: Frame) {
        if let Some(outbox) = self.links.get(&link) {
            outbox.send(frame);
        }
    }

    fn write(&self, batch: Batch) {
        let (platform, send) = (self.platform.clone(), self.send.clone());
        task::spawn(async move {
            let input = match write_batch(&platform, &batch).await {
                true => Input::Written(batch.number),
                false => Input::NotWritten(batch.number),
            };
            let _ = send.send(Message::Input(input)).await;
        });
    }

    fn report_violations(&mut self) {
        let invariants = self.sidecar.invariants();
        let violated: u64 = Invariant::ALL.iter().map(|i| invariants.violated(*i)).sum();
        if violated > self.violated {
            self.violated = violated;
            error!("refused {violated} actions that would violate an invariant");
        }
    }

    fn metrics_text(&self) -> String {
        let gauges = self.metrics.gauges();
        gauges.revision.set(self.config.revision().0 as i64);
        gauges.links.set(self.links.len() as i64);
        gauges.in_flight.set(i64::from(self.sidecar.load().running));
        gauges.unbilled.set(self.sidecar.unbilled() as i64);
        gauges.set_traffic(&self.traffic);
        self.metrics.set_invariants(self.sidecar.invariants());
        self.metrics.encode()
    }
}

/// Writes a batch of bill records to the object store and returns whether it is confirmed
/// as stored.
pub async fn write_batch(platform: &Platform, batch: &Batch) -> bool {
    let Ok(data) = serde_json::to_vec(&batch.records) else {
        return false;
    };
    platform.put_object(&batch.name(), data).await.is_ok()
}

fn app(send: Sender<Message>) -> tide::Server<Sender<Message>> {
    let mut app = tide::with_state(send);
    app.at("/health").get(|_| async { Ok("ok\n") });
    app.at("/metrics").get(metrics);
    app
}

async fn metrics(request: Request<Sender<Message>>) -> tide::Result {
    let (reply, text) = async_channel::bounded(1);
    let sent = request.state().send(Message::Metrics(reply)).await;
    match (sent, text.recv().await) {
        (Ok(()), Ok(text)) => Ok(Response::from(text)),
        _ => Ok(Response::new(503)),
    }
}
