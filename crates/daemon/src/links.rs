//! Which sidecars an entry keeps links to, and how it gets them back.

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

/// The mean time between two readings of the list of instances.
const READ_EVERY: Duration = Duration::from_millis(1000);
/// The pause before a link is tried again; it doubles up to the longest, and
/// each is drawn between one half and one and a half of that.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
const LONGEST_PAUSE: Duration = Duration::from_secs(3);
/// The log lines are for changes of state, so only the first failure has one.
const SAY_AT: u32 = 1;

/// What the keeper of links works with.
#[derive(Clone)]
pub struct Context {
    /// This instance.
    pub me: InstanceId,
    /// The run of this process.
    pub incarnation: Incarnation,
    /// The platform.
    pub platform: Platform,
    /// The keys of links.
    pub keys: Keys,
    /// Link addresses that are tried whatever the list says.
    pub fixed: Vec<SocketAddr>,
    /// The way to the loop.
    pub send: Sender<Message>,
    /// The bytes that go over links.
    pub traffic: Arc<Traffic>,
}

type Wanted = Arc<Mutex<BTreeSet<SocketAddr>>>;

/// Keeps links to the sidecars of the subset for as long as the loop runs.
pub async fn maintain(directory: Context) {
    let wanted: Wanted = Arc::default();
    let numbers = Arc::new(AtomicU64::new(1));
    let mut last: Option<Vec<Instance>> = None;
    let mut running: BTreeSet<SocketAddr> = BTreeSet::new();
    while !directory.send.is_closed() {
        if let Ok(list) = directory.platform.instances().await {
            if last.as_ref() != Some(&list) {
                let message = Message::Instances(list.clone());
                let _ = directory.send.send(message).await;
                last = Some(list);
            }
        }
        let list = last.as_deref().unwrap_or_default();
        let mut now = choose(&directory.me, list);
        now.extend(&directory.fixed);
        for address in &now {
            if running.insert(*address) {
                let dialer = Dialer {
                    directory: directory.clone(),
                    address: *address,
                    wanted: wanted.clone(),
                    numbers: numbers.clone(),
                };
                wanted.lock().await.insert(*address);
                task::spawn(dialer.run());
            }
        }
        running.retain(|address| now.contains(address));
        *wanted.lock().await = now;
        task::sleep(READ_EVERY.mul_f64(0.5 + random_fraction())).await;
    }
}

/// Returns the addresses of the sidecars that this entry is to be linked to.
fn choose(me: &InstanceId, list: &[Instance]) -> BTreeSet<SocketAddr> {
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

/// Keeps one link up for as long as it is wanted.
struct Dialer {
    directory: Context,
    address: SocketAddr,
    wanted: Wanted,
    numbers: Arc<AtomicU64>,
}

impl Dialer {
    async fn run(self) {
        let mut pause = FIRST_PAUSE;
        let mut failures = 0;
        while self.is_wanted().await {
            match self.connect().await {
                Ok(open) => {
                    info!("linked to {}", self.address);
                    self.hold(open).await;
                    info!("the link to {} is gone", self.address);
                    pause = FIRST_PAUSE;
                    failures = 0;
                }
                Err(e) => {
                    failures += 1;
                    if failures == SAY_AT {
                        warn!("no link to {}: {e}", self.address);
                    }
                }
            }
            task::sleep(pause.mul_f64(0.5 + random_fraction())).await;
            pause = (pause * 2).min(LONGEST_PAUSE);
        }
    }

    async fn is_wanted(&self) -> bool {
        !self.directory.send.is_closed() && self.wanted.lock().await.contains(&self.address)
    }

    async fn connect(&self) -> eyre::Result<link::Open> {
        let directory = &self.directory;
        link::connect(
            self.address,
            &directory.keys,
            directory.incarnation,
            clock::random(),
        )
        .await
    }

    /// Runs a link until it breaks.
    async fn hold(&self, open: link::Open) {
        let number: Link = self.numbers.fetch_add(1, Ordering::Relaxed);
        let (events, incoming) = async_channel::bounded(64);
        let outbox = open.run(number, events, self.directory.traffic.clone());
        let send = &self.directory.send;
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
