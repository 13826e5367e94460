//! Connections to other hosted entries.
//!
//! An entry that cannot reach the store connects to another entry, sends the versions it has
//! and gets the tables that are newer there; this module also answers such requests. It opens
//! and accepts the long-lived replication links as well, whose messages are handled by
//! [`relay`](super::relay).

use super::message::{Message, Snapshot};
use super::mirror::Mirror;
use super::pack;
use super::shared::Shared;
use crate::clock;
use async_std::future::timeout;
use async_std::net::TcpListener;
use async_std::task;
use log::{info, warn};
use sorreldeck::era::Stamp;
use sorreldeck::pick::Link;
use sorreldeck::wire::{Cursor, Frame, TableCopy};
use sorreldeck::InstanceId;
use sorreldeck_net::link::{self, Event, Keys, Open, Outbox};
use sorreldeck_net::open::{self, Bound};
use sorreldeck_net::socket::{self, Socket};
use sorreldeck_platform::store::{Page, Row};
use sorreldeck_platform::{Settings, Table};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// The incoming connections that have not shown a key; a data hall may connect as a whole at once.
const OPENING: Bound = Bound::Oldest(256);
/// Timeout of a request for tables to another entry.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(900);
/// Maximum number of open links; further ones are refused. With 360 entries in 5 data halls, an
/// entry that reads the store has about 72 links from its own data hall and 8 from others.
const MAX_LINKS: usize = 256;
/// Timeout for opening a link to a source: two round trips within a data hall or to the next
/// one, on an instance with 0.09 cores.
const OPEN_TIMEOUT: Duration = Duration::from_millis(500);
/// First number of the links that this entry opens; accepted links have lower numbers.
const FIRST_OPENED: Link = 1 << 32;
/// The number of entries that are asked at a time; one of them may be unreachable too.
const CONCURRENT_REQUESTS: usize = 2;

/// The links to other entries.
pub struct Peering {
    keys: Keys,
    own_address: Option<SocketAddr>,
    addresses: BTreeMap<InstanceId, SocketAddr>,
    seeds: Vec<SocketAddr>,
    next_peer: usize,
    links: HashMap<Link, Outbox>,
    next_link: Link,
}

impl Peering {
    /// Creates the set of links of an entry; none is open.
    pub fn new(keys: Keys, settings: &Settings) -> Peering {
        Peering {
            keys,
            own_address: settings.link_address,
            addresses: BTreeMap::new(),
            seeds: settings.seeds.clone(),
            next_peer: usize::from(clock::random::<1>()[0]),
            links: HashMap::new(),
            next_link: FIRST_OPENED,
        }
    }

    /// Returns the number of open links.
    pub fn links(&self) -> usize {
        self.links.len()
    }

    /// Records the address of another entry.
    pub fn add_peer(&mut self, name: InstanceId, address: SocketAddr) {
        self.addresses.insert(name, address);
    }

    /// Opens a link to an entry; the event loop gets the outcome as a [`Message`].
    pub fn open(&mut self, name: InstanceId, address: SocketAddr, shared: &Shared) {
        let number = self.next_link;
        self.next_link += 1;
        let (keys, shared) = (self.keys.clone(), shared.clone());
        task::spawn(async move {
            let opening = link::connect(address, &keys, shared.incarnation, clock::random());
            let open = match timeout(OPEN_TIMEOUT, opening).await {
                Ok(open) => open.map_err(|e| format!("{e:#}")),
                Err(_) => Err("no answer".to_owned()),
            };
            let error = match open {
                Ok(open) => {
                    let opened = |outbox| Message::LinkOpened(name, number, Ok(outbox));
                    return run(open, number, opened, shared).await;
                }
                Err(error) => error,
            };
            // Sending fails only while the process ends, since the event loop runs until then.
            let failed = Message::LinkOpened(name, number, Err(error));
            let _ = shared.send.send(failed).await;
        });
    }

    /// Sends a frame over a link, if it is open.
    pub fn send(&self, link: Link, frame: Frame) {
        if let Some(outbox) = self.links.get(&link) {
            outbox.send(frame);
        }
    }

    pub fn close(&mut self, link: Link) {
        if let Some(outbox) = self.links.remove(&link) {
            outbox.close();
        }
    }

    /// Asks other entries for newer tables, rotating through them from call to call.
    pub fn request_tables(&mut self, mirror: &Mirror, shared: &Shared) {
        let addresses = self.addresses.values().chain(&self.seeds).copied();
        let mut others: Vec<SocketAddr> =
            addresses.filter(|a| Some(*a) != self.own_address).collect();
        others.sort_unstable();
        others.dedup();
        let cursor = mirror.cursor();
        for _ in 0..CONCURRENT_REQUESTS.min(others.len()) {
            self.next_peer = self.next_peer.wrapping_add(1);
            let address = others[self.next_peer % others.len()];
            let (keys, shared, cursor) = (self.keys.clone(), shared.clone(), cursor.clone());
            task::spawn(async move {
                match timeout(ANSWER_TIMEOUT, fetch(address, &keys, &shared, cursor)).await {
                    // Sending fails only while the process ends, since the event loop runs
                    // until then.
                    Ok(Ok(copies)) => drop(shared.send.send(Message::Snapshots(copies)).await),
                    Ok(Err(e)) => warn!(
                        "event=entry-not-asked address={address} error={:?}",
                        chain(&e)
                    ),
                    Err(_) => warn!("event=entry-not-asked address={address} error=\"no answer\""),
                }
            });
        }
    }

    /// Adds an open link, or closes it if the maximum number of links is reached.
    pub fn add(&mut self, link: Link, outbox: Outbox) {
        if self.links.len() >= MAX_LINKS {
            return outbox.close();
        }
        self.links.insert(link, outbox);
    }

    /// Answers an entry's request for tables.
    pub fn answer(&self, link: Link, cursor: &Cursor, mirror: &Mirror) {
        let copies = newer(mirror, cursor);
        info!("event=asked-by-entry link={link} tables={}", copies.len());
        self.send(link, Frame::Tables(copies));
    }
}

/// Returns the tables that are newer here than at the entry that asks.
fn newer(mirror: &Mirror, cursor: &Cursor) -> Vec<TableCopy> {
    let mut copies = Vec::new();
    for (number, table) in Table::ALL.iter().enumerate() {
        let remote = Stamp::new(cursor.era, cursor.versions[number]);
        let own = mirror.stamp(*table);
        if own <= remote {
            continue;
        }
        let row = |row: &Row| {
            let value = serde_bytes::ByteBuf::from(row.value.clone()?);
            Some((row.key.clone(), row.version, value))
        };
        copies.push(TableCopy {
            number,
            version: own.version,
            era: own.era,
            rows: mirror.stored_rows(*table).filter_map(row).collect(),
            retained: mirror.retained(*table).map(pack::to_retained).collect(),
        });
    }
    copies
}

fn snapshot_of(copy: TableCopy) -> Option<Snapshot> {
    let row = |(key, version, value): (String, u64, serde_bytes::ByteBuf)| Row {
        key,
        value: Some(value.into_vec()),
        version,
    };
    let page = Page {
        rows: copy.rows.into_iter().map(row).collect(),
        version: copy.version,
        now: Duration::ZERO,
        era: Some(copy.era),
    };
    let retained = copy.retained.into_iter().map(pack::from_retained);
    Some(Snapshot {
        table: *Table::ALL.get(copy.number)?,
        page,
        retained: retained.collect(),
    })
}

async fn fetch(
    address: SocketAddr,
    keys: &Keys,
    shared: &Shared,
    cursor: Cursor,
) -> eyre::Result<Vec<Snapshot>> {
    let open = link::connect(address, keys, shared.incarnation, clock::random()).await?;
    let (send, events) = async_channel::unbounded();
    let outbox = open.run(0, send, Arc::default());
    outbox.send(Frame::FetchTables(cursor));
    while let Ok(event) = events.recv().await {
        let Event::Frames(_, frames) = event else {
            break;
        };
        for frame in frames {
            if let Frame::Tables(copies) = frame {
                outbox.close();
                return Ok(copies.into_iter().filter_map(snapshot_of).collect());
            }
        }
    }
    outbox.close();
    eyre::bail!("the link was closed before the tables arrived")
}

/// Runs an open link. The event loop learns of the link before the first frame that arrives over
/// it; otherwise it would have no link over which to answer that frame.
async fn run(open: Open, link: Link, opened: impl FnOnce(Outbox) -> Message, shared: Shared) {
    let (send, events) = async_channel::unbounded();
    let outbox = open.run(link, send, Arc::default());
    if shared.send.send(opened(outbox)).await.is_err() {
        return;
    }
    while let Ok(event) = events.recv().await {
        if shared.send.send(Message::Link(event)).await.is_err() {
            return;
        }
    }
}

/// Accepts links from other entries.
pub async fn listen(listener: TcpListener, keys: Keys, shared: Shared) {
    let mut opening = open::Open::new(OPENING, listener.local_addr().ok());
    let mut next_number = 1;
    loop {
        match socket::accept(&listener).await {
            Ok(stream) => {
                opening.make_room().await;
                opening.run(accept(stream, keys.clone(), next_number, shared.clone()));
                next_number += 1;
            }
            // For example, no file descriptors are left; connections that close will free some.
            Err(e) => {
                warn!("event=accept-failed at=links error={e}");
                task::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

/// Opens an incoming link, which then runs by itself.
async fn accept(stream: Socket, keys: Keys, number: Link, shared: Shared) {
    match link::accept(stream, &keys, clock::random()).await {
        Ok(open) => {
            let accepted = move |outbox| Message::LinkAccepted(number, outbox);
            task::spawn(run(open, number, accepted, shared));
        }
        Err(e) => warn!("event=link-refused error={:?}", chain(&e)),
    }
}

/// Returns an error with its causes; its debug form would look up the symbols of a backtrace.
fn chain(error: &eyre::Report) -> String {
    format!("{error:#}")
}
