//! Selects the sidecars that an entry has links to, and reconnects broken links.

use crate::clock;
use crate::clock::random_fraction;
use crate::entry::Message;
use async_channel::Sender;
use async_std::sync::Mutex;
use async_std::task;
use log::{info, warn};
use sorreldeck::pick::Link;
use sorreldeck::subset::{self, SIZES};
use sorreldeck::{Incarnation, InstanceId, UpstreamId};
use sorreldeck_net::link::{self, Event, Keys, Traffic};
use sorreldeck_net::platform::{Instance, Platform, Role};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// The mean interval between two reads of the list of instances.
const READ_INTERVAL: Duration = Duration::from_millis(1000);
/// The first and longest pause before a link is reconnected. The pause doubles after
/// each attempt and is jittered between 0.5 and 1.5 times its value.
const MIN_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_secs(3);
/// The number of the consecutive failure that is logged. Only the first one is, since log
/// lines are for changes of state.
const LOGGED_FAILURE: u32 = 1;

/// The dependencies of the task that maintains the links.
#[derive(Clone)]
pub struct Context {
    /// The name of this instance.
    pub me: InstanceId,
    /// The incarnation of this process.
    pub incarnation: Incarnation,
    /// The platform.
    pub platform: Platform,
    /// The keys for authenticating links.
    pub keys: Keys,
    /// Link addresses that are always connected to, whether or not the list has them.
    pub fixed: Vec<SocketAddr>,
    /// The channel to the event loop.
    pub send: Sender<Message>,
    /// The counters of bytes sent and received over links.
    pub traffic: Arc<Traffic>,
}

/// The addresses that links are kept to.
type Targets = Arc<Mutex<BTreeSet<SocketAddr>>>;

/// Maintains links to the sidecars of this entry's subset until the event loop ends.
pub async fn maintain(context: Context) {
    let targets: Targets = Arc::default();
    let next_link = Arc::new(AtomicU64::new(1));
    let mut last: Option<Vec<Instance>> = None;
    let mut running: BTreeSet<SocketAddr> = BTreeSet::new();
    while !context.send.is_closed() {
        if let Ok(list) = context.platform.instances().await {
            if last.as_ref() != Some(&list) {
                let message = Message::Instances(list.clone());
                let _ = context.send.send(message).await;
                last = Some(list);
            }
        }
        let list = last.as_deref().unwrap_or_default();
        let mut selected = select(&context.me, list);
        selected.extend(&context.fixed);
        for address in &selected {
            if running.insert(*address) {
                let dialer = Dialer {
                    context: context.clone(),
                    address: *address,
                    targets: targets.clone(),
                    next_link: next_link.clone(),
                };
                targets.lock().await.insert(*address);
                task::spawn(dialer.run());
            }
        }
        running.retain(|address| selected.contains(address));
        *targets.lock().await = selected;
        task::sleep(READ_INTERVAL.mul_f64(0.5 + random_fraction())).await;
    }
}

/// Returns the addresses of the sidecars in the subset of this entry.
fn select(me: &InstanceId, list: &[Instance]) -> BTreeSet<SocketAddr> {
    let entries: Vec<InstanceId> = list
        .iter()
        .filter(|i| i.role == Role::Entry)
        .map(|i| i.name.clone())
        .collect();
    let sidecars: BTreeMap<UpstreamId, SocketAddr> = list
        .iter()
        .filter(|i| i.role == Role::Sidecar)
        .filter_map(|i| Some((i.name.as_str().parse().ok()?, i.address)))
        .collect();
    let names: Vec<UpstreamId> = sidecars.keys().cloned().collect();
    let chosen = subset::choose(me, &entries, &names, SIZES);
    chosen.iter().map(|name| sidecars[name]).collect()
}

/// Keeps a link connected as long as its address is in the set of targets.
struct Dialer {
    context: Context,
    address: SocketAddr,
    targets: Targets,
    next_link: Arc<AtomicU64>,
}

impl Dialer {
    async fn run(self) {
        let mut pause = MIN_BACKOFF;
        let mut failures = 0;
        while self.is_target().await {
            match self.connect().await {
                Ok(open) => {
                    info!("connected link to {}", self.address);
                    self.serve(open).await;
                    info!("link to {} closed", self.address);
                    pause = MIN_BACKOFF;
                    failures = 0;
                }
                Err(e) => {
                    failures += 1;
                    if failures == LOGGED_FAILURE {
                        warn!("failed to connect link to {}: {e}", self.address);
                    }
                }
            }
            task::sleep(pause.mul_f64(0.5 + random_fraction())).await;
            pause = (pause * 2).min(MAX_BACKOFF);
        }
    }

    async fn is_target(&self) -> bool {
        !self.context.send.is_closed() && self.targets.lock().await.contains(&self.address)
    }

    async fn connect(&self) -> eyre::Result<link::Open> {
        let context = &self.context;
        link::connect(
            self.address,
            &context.keys,
            context.incarnation,
            clock::random(),
        )
        .await
    }

    /// Passes the events of a link to the event loop until the link closes.
    async fn serve(&self, open: link::Open) {
        let number: Link = self.next_link.fetch_add(1, Ordering::Relaxed);
        let (events, incoming) = async_channel::bounded(64);
        let outbox = open.run(number, events, self.context.traffic.clone());
        let send = &self.context.send;
        if send.send(Message::LinkUp(number, outbox)).await.is_err() {
            return;
        }
        while let Ok(event) = incoming.recv().await {
            let down = matches!(event, Event::Down(_));
            if send.send(Message::Link(event)).await.is_err() || down {
                return;
            }
        }
    }
}
