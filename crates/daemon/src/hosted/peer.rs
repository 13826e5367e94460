//! Asks other hosted entries for what they know of the store while it is out of
//! reach from here, and answers when they ask.
//!
//! An entry that reads the store and cannot reach it opens a link to another one, tells
//! the versions it has and gets the tables that are newer there. The links over which
//! tables go from entry to entry at all times are opened and taken here as well; what is
//! said over them is [`relay`](super::relay)'s.

use super::event_loop::Message;
use super::mirror::Mirror;
use super::pack;
use super::replica::Kept;
use super::shared::Shared;
use crate::clock;
use async_channel::{Receiver, Sender};
use async_std::future::timeout;
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use log::{info, warn};
use sorreldeck::era::{Era, Stamp};
use sorreldeck::pick::Link;
use sorreldeck::wire::{Cursor, Frame, RetainedRow, TableCopy};
use sorreldeck::InstanceId;
use sorreldeck_net::link::{self, Event, Keys, Outbox};
use sorreldeck_platform::store::{Page, Row};
use sorreldeck_platform::{Settings, Table};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// How long an entry that is asked may take.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(900);
/// The links that may be open at a time, beyond which new ones are turned away: at 360
/// entries in 5 data halls a reader has some 72 of its own and 8 of others.
const LINKS: usize = 256;
/// How long the opening of a link to a source may take: two round trips within a data
/// hall or to the next, on an instance of 0.09 cores.
const OPEN_TIMEOUT: Duration = Duration::from_millis(500);
/// Where the numbers of links begin that this entry opens; below are those it takes.
const OPENED: Link = 1 << 32;
/// How many other entries are asked at a time; one of them may be cut off too.
const AT_ONCE: usize = 2;

/// A table as another entry knows it.
#[derive(Clone, Debug)]
pub struct Snapshot {
    /// Which table.
    pub table: Table,
    version: u64,
    era: Era,
    rows: Vec<Row>,
    kept: Vec<RetainedRow>,
}

impl Snapshot {
    /// Returns the copy as a page of the store, and what holds though the store has lost it.
    pub fn page(self) -> (Page, Vec<Kept>) {
        let page = Page {
            rows: self.rows,
            version: self.version,
            now: Duration::ZERO,
            era: Some(self.era),
        };
        let kept = self.kept.into_iter().map(pack::kept);
        (page, kept.collect())
    }
}

/// The links to other entries.
pub struct Peering {
    keys: Keys,
    own: Option<SocketAddr>,
    known: BTreeMap<InstanceId, SocketAddr>,
    seeds: Vec<SocketAddr>,
    turn: usize,
    links: HashMap<Link, Outbox>,
    next: Link,
    events: Sender<Event>,
}

impl Peering {
    /// Creates the links of an entry; none is open.
    pub fn new(keys: Keys, settings: &Settings, events: Sender<Event>) -> Peering {
        Peering {
            keys,
            own: settings.link_address,
            known: BTreeMap::new(),
            seeds: settings.seeds.clone(),
            turn: usize::from(clock::random::<1>()[0]),
            links: HashMap::new(),
            next: OPENED,
            events,
        }
    }

    /// Returns how many links are open.
    pub fn links(&self) -> usize {
        self.links.len()
    }

    /// Notes where another entry is.
    pub fn learn(&mut self, name: InstanceId, address: SocketAddr) {
        self.known.insert(name, address);
    }

    /// Opens a link to an entry; the loop is told what came of it.
    pub fn open(&mut self, name: InstanceId, address: SocketAddr, shared: &Shared) {
        let number = self.next;
        self.next += 1;
        let (keys, shared, events) = (self.keys.clone(), shared.clone(), self.events.clone());
        task::spawn(async move {
            let opening = link::connect(address, &keys, shared.incarnation, clock::random());
            let open = match timeout(OPEN_TIMEOUT, opening).await {
                Ok(open) => open.map_err(|e| format!("{e:#}")),
                Err(_) => Err("no answer".to_owned()),
            };
            let outbox = open.map(|open| open.run(number, events, Arc::default()));
            // The loop ends only with the process.
            let _ = shared
                .send
                .send(Message::LinkOpened(name, number, outbox))
                .await;
        });
    }

    /// Sends a frame over a link, if it is open.
    pub fn send(&self, link: Link, frame: Frame) {
        if let Some(outbox) = self.links.get(&link) {
            outbox.send(frame);
        }
    }

    /// Closes a link.
    pub fn close(&mut self, link: Link) {
        if let Some(outbox) = self.links.remove(&link) {
            outbox.close();
        }
    }

    /// Asks other entries, each time others in turn.
    pub fn ask(&mut self, mirror: &Mirror, shared: &Shared) {
        let known = self.known.values().chain(&self.seeds).copied();
        let mut others: Vec<SocketAddr> = known.filter(|a| Some(*a) != self.own).collect();
        others.sort_unstable();
        others.dedup();
        let have = mirror.have();
        for _ in 0..AT_ONCE.min(others.len()) {
            self.turn = self.turn.wrapping_add(1);
            let address = others[self.turn % others.len()];
            let (keys, shared, have) = (self.keys.clone(), shared.clone(), have.clone());
            task::spawn(async move {
                match timeout(ANSWER_TIMEOUT, fetch(address, &keys, &shared, have)).await {
                    // The loop ends only with the process.
                    Ok(Ok(copies)) => drop(shared.send.send(Message::Snapshots(copies)).await),
                    Ok(Err(e)) => warn!("event=entry-not-asked address={address} error={e:?}"),
                    Err(_) => warn!("event=entry-not-asked address={address} error=\"no answer\""),
                }
            });
        }
    }

    /// Keeps a link that another entry opened.
    pub fn add(&mut self, link: Link, outbox: Outbox) {
        if self.links.len() >= LINKS {
            return outbox.close();
        }
        self.links.insert(link, outbox);
    }

    /// Answers an entry that asks for tables once.
    pub fn answer(&self, link: Link, have: &Cursor, mirror: &Mirror) {
        let copies = newer(mirror, have);
        info!("event=asked-by-entry link={link} tables={}", copies.len());
        self.send(link, Frame::Tables(copies));
    }
}

/// Returns the tables that are newer here than at whoever asks.
fn newer(mirror: &Mirror, have: &Cursor) -> Vec<TableCopy> {
    let mut copies = Vec::new();
    for (number, table) in Table::ALL.iter().enumerate() {
        let theirs = Stamp::new(have.era, have.versions[number]);
        let own = mirror.stamp(*table);
        if own <= theirs {
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
            retained: mirror.kept(*table).map(pack::kept_row).collect(),
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
    Some(Snapshot {
        table: *Table::ALL.get(copy.number)?,
        version: copy.version,
        era: copy.era,
        rows: copy.rows.into_iter().map(row).collect(),
        kept: copy.retained,
    })
}

async fn fetch(
    address: SocketAddr,
    keys: &Keys,
    shared: &Shared,
    have: Cursor,
) -> eyre::Result<Vec<Snapshot>> {
    let open = link::connect(address, keys, shared.incarnation, clock::random()).await?;
    let (send, events) = async_channel::unbounded();
    let outbox = open.run(0, send, Arc::default());
    outbox.send(Frame::FetchTables(have));
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
    eyre::bail!("the link was closed")
}

/// Passes what happens on links on to the loop.
pub async fn pass_on(events: Receiver<Event>, shared: Shared) {
    while let Ok(event) = events.recv().await {
        if shared.send.send(Message::Link(event)).await.is_err() {
            return;
        }
    }
}

/// Takes links from other entries.
pub async fn listen(listener: TcpListener, keys: Keys, events: Sender<Event>, shared: Shared) {
    let numbers = AtomicU64::new(1);
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let number = numbers.fetch_add(1, Ordering::Relaxed);
                task::spawn(accept(
                    stream,
                    keys.clone(),
                    number,
                    events.clone(),
                    shared.clone(),
                ));
            }
            // Out of descriptors, say: the open connections will free some.
            Err(e) => {
                warn!("event=accept-failed at=links error={e}");
                task::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

async fn accept(
    stream: TcpStream,
    keys: Keys,
    number: Link,
    events: Sender<Event>,
    shared: Shared,
) {
    match link::accept(stream, &keys, clock::random()).await {
        Ok(open) => {
            let outbox = open.run(number, events, Arc::default());
            // The loop ends only with the process.
            let _ = shared
                .send
                .send(Message::LinkAccepted(number, outbox))
                .await;
        }
        Err(e) => warn!("event=link-refused error={e:?}"),
    }
}
