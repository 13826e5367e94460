//! Links between entries and sidecars: WebSocket messages of CBOR frames.
//!
//! Both ends prove that they hold a key from the settings before the first
//! frame. Keys rotate without a break: every key on the ring is accepted, the
//! first is used. The link is not encrypted; `docs/DESIGN.md` says why.
//!
//! ```
//! use sorreldeck_net::link::Keys;
//!
//! let keys: Keys = format!("1:{}", "ab".repeat(32)).parse()?;
//! assert_eq!(format!("{keys:?}"), "Keys(1)");
//! # Ok::<(), sorreldeck::Error>(())
//! ```

use crate::socket;
use async_channel::{Receiver, Sender};
use async_std::future::timeout;
use async_std::task;
use eyre::{bail, eyre, Result};
use futures_util::stream::{SplitSink, SplitStream};
use futures_util::{SinkExt, StreamExt};
use serde::{Deserialize, Serialize};
use sorreldeck::pick::Link;
use sorreldeck::session::parse_hex;
use sorreldeck::wire::{self, Frame};
use sorreldeck::{Category, Error, Incarnation, Size};
use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use tokio_tungstenite::tungstenite::{Bytes, Message};
use tokio_tungstenite::WebSocketStream;
use tokio_util::compat::{Compat, FuturesAsyncReadCompatExt};

/// How long the opening of a link may take.
const OPEN_TIMEOUT: Duration = Duration::from_secs(3);
/// The most bytes that the opening of a link may take, before the other end has shown a key.
const MAX_OPENING: Size = Size::from_bytes(64 * 1024);
/// How long a link may be silent before it is taken for broken.
const SILENCE: Duration = Duration::from_secs(7);
/// The most frames that wait to be written; a peer that reads too slowly for
/// this loses the link rather than hold the loop up.
const WAITING: usize = 100_000;
/// What carries a message: the headers of IP, TCP and WebSocket, in bytes.
const OVERHEAD: u64 = 20 + 32 + 6;
/// The most frames in one message.
const BATCH: usize = 256;
/// The room, in bytes, that a link keeps for what comes in: most messages are smaller, and larger
/// ones get more while they are read.
const READ_BUFFER: usize = 4 * 1024;

type Socket = WebSocketStream<Compat<socket::Socket>>;

/// The keys by which processes know each other, the one in use first.
#[derive(Clone)]
pub struct Keys(Vec<Key>);

#[derive(Clone, Copy)]
struct Key {
    id: u8,
    secret: [u8; 32],
}

impl FromStr for Keys {
    type Err = Error;

    /// Reads `ID:HEX` keys separated by commas.
    fn from_str(s: &str) -> sorreldeck::Result<Self> {
        let key = |s: &str| {
            let (id, hex) = s.split_once(':')?;
            let id = id.parse().ok()?;
            let secret = parse_hex(hex)?;
            Some(Key { id, secret })
        };
        let keys: Option<Vec<Key>> = s.split(',').map(key).collect();
        // The text is a secret, so the error must not repeat it.
        keys.map(Keys).ok_or_else(|| {
            Error::new(
                Category::Invalid,
                "a key is written ID:HEX, ID 0 to 255 and 64 digits",
            )
        })
    }
}

impl fmt::Debug for Keys {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Keys({})", self.0.len())
    }
}

impl Keys {
    fn sign(&self, id: u8, role: &str, first: &[u8], second: &[u8]) -> Option<blake3::Hash> {
        let key = self.0.iter().find(|k| k.id == id)?;
        let mut hasher = blake3::Hasher::new_keyed(&key.secret);
        hasher.update(role.as_bytes());
        hasher.update(first);
        hasher.update(second);
        Some(hasher.finalize())
    }
}

#[derive(Debug, Serialize, Deserialize)]
enum Greeting {
    Hello {
        key: u8,
        entry: Incarnation,
        nonce: [u8; 16],
    },
    Challenge {
        nonce: [u8; 16],
        mac: [u8; 32],
    },
    Proof {
        mac: [u8; 32],
    },
}

/// Bytes that went over the links of a process.
#[derive(Debug, Default)]
pub struct Traffic {
    /// All bytes sent.
    pub sent: AtomicU64,
    /// The bytes sent for control, headers included: no requests and answers.
    pub control: AtomicU64,
    /// All bytes received.
    pub received: AtomicU64,
}

/// What happens on a link.
#[derive(Debug)]
pub enum Event {
    /// Frames came in.
    Frames(Link, Vec<Frame>),
    /// The link is gone.
    Down(Link),
}

/// The sending end of a link.
#[derive(Clone, Debug)]
pub struct Outbox(Sender<Frame>);

impl Outbox {
    /// Puts a frame in line; a link that is full or gone is closed.
    pub fn send(&self, frame: Frame) {
        if self.0.len() >= WAITING || self.0.try_send(frame).is_err() {
            self.0.close();
        }
    }

    /// Closes the link after what is in line.
    pub fn close(&self) {
        self.0.close();
    }
}

/// Opens a link to a sidecar.
///
/// # Errors
///
/// Fails when there is no connection in time or the other end does not know
/// the key.
pub async fn connect(
    address: SocketAddr,
    keys: &Keys,
    entry: Incarnation,
    nonce: [u8; 16],
) -> Result<Open> {
    timeout(OPEN_TIMEOUT, greet(address, keys, entry, nonce)).await?
}

async fn greet(
    address: SocketAddr,
    keys: &Keys,
    entry: Incarnation,
    nonce: [u8; 16],
) -> Result<Open> {
    let stream = socket::Socket::connect(address).await?;
    stream.stream().set_nodelay(true)?;
    let meter = stream.meter();
    meter.begin(MAX_OPENING);
    let url = format!("ws://{address}/link");
    let (mut socket, _) =
        tokio_tungstenite::client_async_with_config(url, stream.compat(), Some(config())).await?;
    let id = keys.0[0].id;
    let hello = Greeting::Hello {
        key: id,
        entry,
        nonce,
    };
    put(&mut socket, &hello).await?;
    let Greeting::Challenge { nonce: theirs, mac } = get(&mut socket).await? else {
        bail!("the sidecar answered out of turn");
    };
    if keys.sign(id, "sidecar", &nonce, &theirs) != Some(mac.into()) {
        bail!("the sidecar does not hold key {id}");
    }
    let mac = keys
        .sign(id, "entry", &theirs, &nonce)
        .ok_or_else(|| eyre!("there is no key {id}"))?;
    put(&mut socket, &Greeting::Proof { mac: mac.into() }).await?;
    meter.end();
    Ok(Open { socket, entry })
}

/// Takes a link from an entry.
///
/// # Errors
///
/// Fails when the other end does not prove in time that it holds a key.
pub async fn accept(stream: socket::Socket, keys: &Keys, nonce: [u8; 16]) -> Result<Open> {
    timeout(OPEN_TIMEOUT, welcome(stream, keys, nonce)).await?
}

async fn welcome(stream: socket::Socket, keys: &Keys, nonce: [u8; 16]) -> Result<Open> {
    stream.stream().set_nodelay(true)?;
    let meter = stream.meter();
    meter.begin(MAX_OPENING);
    let accepting = tokio_tungstenite::accept_async_with_config(stream.compat(), Some(config()));
    let mut socket = accepting.await?;
    let Greeting::Hello {
        key,
        entry,
        nonce: theirs,
    } = get(&mut socket).await?
    else {
        bail!("the entry spoke out of turn");
    };
    let mac = keys
        .sign(key, "sidecar", &theirs, &nonce)
        .ok_or_else(|| eyre!("the entry uses key {key}, which is not on the ring"))?;
    let mac = mac.into();
    put(&mut socket, &Greeting::Challenge { nonce, mac }).await?;
    let Greeting::Proof { mac } = get(&mut socket).await? else {
        bail!("the entry answered out of turn");
    };
    // Comparing hashes of this type takes the same time whatever they hold.
    if keys.sign(key, "entry", &nonce, &theirs) != Some(mac.into()) {
        bail!("the entry does not hold key {key}");
    }
    meter.end();
    Ok(Open { socket, entry })
}

fn config() -> WebSocketConfig {
    WebSocketConfig::default().read_buffer_size(READ_BUFFER)
}

async fn put(socket: &mut Socket, greeting: &Greeting) -> Result<()> {
    let mut buf = Vec::new();
    ciborium::into_writer(greeting, &mut buf)?;
    socket.send(Message::Binary(buf.into())).await?;
    Ok(())
}

async fn get(socket: &mut Socket) -> Result<Greeting> {
    match socket.next().await {
        Some(Ok(Message::Binary(buf))) => Ok(ciborium::from_reader(&buf[..])?),
        Some(Ok(_)) => bail!("the greeting is no binary message"),
        Some(Err(e)) => Err(e.into()),
        None => bail!("the other end closed"),
    }
}

/// A link whose ends know each other but that does not run yet.
pub struct Open {
    socket: Socket,
    /// The run of the entry at one end.
    pub entry: Incarnation,
}

impl Open {
    /// Runs the link: frames that come in go to `events`, and those put in the
    /// returned outbox go out.
    pub fn run(self, link: Link, events: Sender<Event>, traffic: Arc<Traffic>) -> Outbox {
        let (sink, stream) = self.socket.split();
        // A bounded channel would set aside room for all of WAITING at once.
        let (outbox, inbox) = async_channel::unbounded();
        let outbox = Outbox(outbox);
        task::spawn(write(sink, inbox, traffic.clone()));
        task::spawn(read(link, stream, outbox.clone(), events, traffic));
        outbox
    }
}

async fn write(
    mut sink: SplitSink<Socket, Message>,
    inbox: Receiver<Frame>,
    traffic: Arc<Traffic>,
) {
    while let Ok(first) = inbox.recv().await {
        let mut frames = vec![first];
        while frames.len() < BATCH {
            match inbox.try_recv() {
                Ok(frame) => frames.push(frame),
                Err(_) => break,
            }
        }
        let buf = wire::encode(&frames);
        traffic.sent.fetch_add(buf.len() as u64, Ordering::Relaxed);
        if frames.iter().all(is_control) {
            let len = buf.len() as u64 + OVERHEAD;
            traffic.control.fetch_add(len, Ordering::Relaxed);
        }
        if sink.send(Message::Binary(buf.into())).await.is_err() {
            break;
        }
    }
    inbox.close();
    let _ = sink.close().await;
}

fn is_control(frame: &Frame) -> bool {
    !matches!(
        frame,
        Frame::Start(_)
            | Frame::Head { .. }
            | Frame::Data { .. }
            | Frame::End { .. }
            | Frame::Fail { .. }
    )
}

async fn read(
    link: Link,
    mut stream: SplitStream<Socket>,
    outbox: Outbox,
    events: Sender<Event>,
    traffic: Arc<Traffic>,
) {
    while let Some(buf) = next_message(&mut stream).await {
        traffic
            .received
            .fetch_add(buf.len() as u64, Ordering::Relaxed);
        let Ok(frames) = wire::decode(&buf) else {
            break;
        };
        if events.send(Event::Frames(link, frames)).await.is_err() {
            break;
        }
    }
    outbox.close();
    let _ = events.send(Event::Down(link)).await;
}

async fn next_message(stream: &mut SplitStream<Socket>) -> Option<Bytes> {
    loop {
        match timeout(SILENCE, stream.next()).await {
            Ok(Some(Ok(Message::Binary(buf)))) => return Some(buf),
            Ok(Some(Ok(Message::Ping(_) | Message::Pong(_)))) => continue,
            _ => return None,
        }
    }
}
