//! The sockets of all connections, with a budget for each turn and one for bytes that are no
//! content.
//!
//! A peer that sends as fast as it is read would keep one poll of the HTTP library going, and with
//! it all tasks of the thread. A socket gives way after a number of bytes or reads, as if nothing
//! more had come, and other tasks get their turn. And it ends where a message has too many bytes of
//! framing: heads, sizes and extensions of chunks, trailers.
//!
//! ```no_run
//! # async_std::task::block_on(async {
//! use sorreldeck_net::socket::{self, Socket};
//!
//! let socket = Socket::connect("127.0.0.1:8080".parse().unwrap()).await?;
//! let meter = socket.meter();
//! meter.begin(socket::framing().base);
//! // Of what was read since, this much was the content of a message.
//! meter.add_content(4_096);
//! # Ok::<(), std::io::Error>(())
//! # }).unwrap();
//! ```

use crate::bytes::{self, Bytes};
use async_io::Timer;
use async_std::net::{TcpListener, TcpStream};
use futures_lite::{AsyncRead, AsyncWrite};
use log::warn;
use sorreldeck::Size;
use std::fmt;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::str::FromStr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

/// Bytes that a connection may read in one turn, unless set.
const TURN: usize = 32 * 1024;
/// What a read costs of a turn at least, so that a peer that sends single bytes gives way too.
const READ_COST: usize = 512;
/// Framing of one message beyond its head, unless set.
const FRAMING: u64 = 128 * 1024;
/// Framing for each byte of content, unless set: chunks of four bytes have one and a half.
const FRAMING_PER_BYTE: u64 = 2;
/// How long a connection waits for its next turn while its message has more framing than a turn.
const PAUSE: Duration = Duration::from_millis(10);
/// Time between two log lines about connections that were closed for their framing.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

static TURN_BYTES: AtomicUsize = AtomicUsize::new(TURN);
static FRAMING_BYTES: AtomicU64 = AtomicU64::new(FRAMING);
static FRAMING_RATIO: AtomicU64 = AtomicU64::new(FRAMING_PER_BYTE);
static CLOSED: AtomicU64 = AtomicU64::new(0);
static GAVE_WAY: AtomicU64 = AtomicU64::new(0);
static LOGGED: Mutex<Option<Instant>> = Mutex::new(None);

/// The bytes that a connection may read in one turn: 4 KiB to 1 MiB.
pub type Turn = Bytes<{ 4 * 1024 }, { 1024 * 1024 }, { TURN as u64 }>;

/// The framing that a message may have, written as `BYTES:RATIO`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Framing {
    /// The bytes that any message may have beyond its head.
    pub base: Size,
    /// The bytes for each byte of its content.
    pub per_byte: u64,
}

impl Default for Framing {
    fn default() -> Framing {
        Framing {
            base: Size::from_bytes(FRAMING),
            per_byte: FRAMING_PER_BYTE,
        }
    }
}

impl FromStr for Framing {
    type Err = String;

    fn from_str(s: &str) -> Result<Framing, String> {
        let (base, per_byte) = s.split_once(':').ok_or("BYTES:RATIO is expected")?;
        Ok(Framing {
            base: Size::from_bytes(bytes::parse_within(base, 64 * 1024, 64 * 1024 * 1024)?),
            per_byte: bytes::parse_within(per_byte, 1, 1024)?,
        })
    }
}

impl Framing {
    /// Returns the framing that a message may have beyond bytes of its head and of what is read
    /// ahead.
    pub fn beyond(self, bytes: usize) -> Size {
        Size::from_bytes(self.base.bytes() + bytes as u64)
    }
}

impl fmt::Display for Framing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.base.bytes(), self.per_byte)
    }
}

/// Sets the budgets of all sockets of this process.
pub fn configure(turn: Turn, framing: Framing) {
    TURN_BYTES.store(turn.size().bytes() as usize, Ordering::Relaxed);
    FRAMING_BYTES.store(framing.base.bytes(), Ordering::Relaxed);
    FRAMING_RATIO.store(framing.per_byte, Ordering::Relaxed);
}

/// Returns the budget for framing.
pub fn framing() -> Framing {
    Framing {
        base: Size::from_bytes(FRAMING_BYTES.load(Ordering::Relaxed)),
        per_byte: FRAMING_RATIO.load(Ordering::Relaxed),
    }
}

/// Returns the number of connections that were closed for their framing.
pub fn closed() -> u64 {
    CLOSED.load(Ordering::Relaxed)
}

/// Returns how often connections gave way to others.
pub fn gave_way() -> u64 {
    GAVE_WAY.load(Ordering::Relaxed)
}

/// Accepts a connection.
///
/// # Errors
///
/// Fails if the listener does, for example because no descriptors are left.
pub async fn accept(listener: &TcpListener) -> io::Result<Socket> {
    let (stream, _) = listener.accept().await?;
    Ok(Socket::from(stream))
}

/// The bytes read of one message, and how many of them were content.
#[derive(Debug, Default)]
struct Count {
    /// Whether a message is being read whose framing counts.
    is_counting: AtomicBool,
    read: AtomicU64,
    content: AtomicU64,
    base: AtomicU64,
}

/// The count of a connection's framing, for whoever reads its messages.
#[derive(Clone, Debug, Default)]
pub struct Meter(Arc<Count>);

impl Meter {
    /// Begins a message that may have this much framing, its head included.
    pub fn begin(&self, base: Size) {
        self.0.read.store(0, Ordering::Relaxed);
        self.0.content.store(0, Ordering::Relaxed);
        self.0.base.store(base.bytes(), Ordering::Relaxed);
        self.0.is_counting.store(true, Ordering::Relaxed);
    }

    /// Ends counting: what follows has bounds of its own.
    pub fn end(&self) {
        self.0.is_counting.store(false, Ordering::Relaxed);
    }

    /// Adds bytes of content, which were read before.
    pub fn add_content(&self, bytes: usize) {
        self.0.content.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Adds bytes that were read; returns whether the framing is within its budget.
    fn add_read(&self, bytes: usize) -> bool {
        self.0.read.fetch_add(bytes as u64, Ordering::Relaxed);
        let content = self.0.content.load(Ordering::Relaxed);
        let ratio = FRAMING_RATIO.load(Ordering::Relaxed);
        let allowed = self.0.base.load(Ordering::Relaxed) + content.saturating_mul(ratio);
        self.framing() <= allowed
    }

    /// Returns the bytes of the message that are no content, with those not handed on yet.
    fn framing(&self) -> u64 {
        if !self.0.is_counting.load(Ordering::Relaxed) {
            return 0;
        }
        let read = self.0.read.load(Ordering::Relaxed);
        read.saturating_sub(self.0.content.load(Ordering::Relaxed))
    }
}

/// A connection. Clones share it and its budgets.
pub struct Socket {
    stream: TcpStream,
    /// What was read in this turn.
    turn: Arc<AtomicUsize>,
    meter: Meter,
    /// The end of a pause between two turns.
    pause: Option<Timer>,
    /// Called whenever bytes have come in.
    on_read: Option<Arc<dyn Fn() + Send + Sync>>,
    /// Called whenever all bytes written so far have gone out.
    on_flush: Option<Arc<dyn Fn() + Send + Sync>>,
}

impl Clone for Socket {
    fn clone(&self) -> Socket {
        Socket {
            stream: self.stream.clone(),
            turn: self.turn.clone(),
            meter: self.meter.clone(),
            pause: None,
            on_read: self.on_read.clone(),
            on_flush: self.on_flush.clone(),
        }
    }
}

impl From<TcpStream> for Socket {
    fn from(stream: TcpStream) -> Socket {
        Socket {
            stream,
            turn: Arc::default(),
            meter: Meter::default(),
            pause: None,
            on_read: None,
            on_flush: None,
        }
    }
}

impl From<std::net::TcpStream> for Socket {
    fn from(stream: std::net::TcpStream) -> Socket {
        Socket::from(TcpStream::from(stream))
    }
}

impl Socket {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Fails if the other end refuses it or cannot be reached.
    pub async fn connect(address: SocketAddr) -> io::Result<Socket> {
        Ok(Socket::from(TcpStream::connect(address).await?))
    }

    /// Has a function called whenever bytes have come in.
    pub fn on_read(mut self, note: impl Fn() + Send + Sync + 'static) -> Socket {
        self.on_read = Some(Arc::new(note));
        self
    }

    /// Has a function called whenever all bytes written so far have gone out to the network.
    pub fn on_flush(mut self, note: impl Fn() + Send + Sync + 'static) -> Socket {
        self.on_flush = Some(Arc::new(note));
        self
    }

    /// Returns the count of framing of this connection.
    pub fn meter(&self) -> Meter {
        self.meter.clone()
    }

    /// Returns the connection without its budgets, to look at or to configure.
    pub fn stream(&self) -> &TcpStream {
        &self.stream
    }

    fn left(&self) -> usize {
        let turn = TURN_BYTES.load(Ordering::Relaxed);
        turn.saturating_sub(self.turn.load(Ordering::Relaxed))
    }

    fn end_turn(&self) {
        self.turn.store(0, Ordering::Relaxed);
    }

    /// Ends the turn: others go first, and what has much framing waits.
    fn give_way<T>(&mut self, cx: &mut Context<'_>) -> Poll<T> {
        self.end_turn();
        GAVE_WAY.fetch_add(1, Ordering::Relaxed);
        let turn = TURN_BYTES.load(Ordering::Relaxed) as u64;
        if self.meter.framing() > turn {
            let pause = self.pause.insert(Timer::after(PAUSE));
            if Pin::new(pause).poll(cx).is_pending() {
                return Poll::Pending;
            }
        }
        cx.waker().wake_by_ref();
        Poll::Pending
    }

    fn refuse_framing(&self) -> io::Error {
        CLOSED.fetch_add(1, Ordering::Relaxed);
        let mut logged = LOGGED.lock().unwrap_or_else(|e| e.into_inner());
        if logged.is_none_or(|at| at.elapsed() >= LOG_INTERVAL) {
            *logged = Some(Instant::now());
            let peer = self.stream.peer_addr();
            let peer = peer.map_or_else(|_| "-".to_owned(), |peer| peer.to_string());
            let count = &self.meter.0;
            warn!(
                "event=framing-exceeded peer={peer} read={} content={} closed={}",
                count.read.load(Ordering::Relaxed),
                count.content.load(Ordering::Relaxed),
                closed()
            );
        }
        io::Error::new(io::ErrorKind::InvalidData, "too much framing")
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if let Some(pause) = &mut self.pause {
            if Pin::new(pause).poll(cx).is_pending() {
                return Poll::Pending;
            }
            self.pause = None;
        }
        let left = self.left();
        if left == 0 {
            return self.give_way(cx);
        }
        let most = buf.len().min(left);
        match Pin::new(&mut self.stream).poll_read(cx, &mut buf[..most]) {
            Poll::Ready(Ok(bytes)) => {
                self.turn.fetch_add(bytes.max(READ_COST), Ordering::Relaxed);
                if !self.meter.add_read(bytes) {
                    return Poll::Ready(Err(self.refuse_framing()));
                }
                if let Some(note) = self.on_read.as_ref().filter(|_| bytes > 0) {
                    note();
                }
                Poll::Ready(Ok(bytes))
            }
            Poll::Pending => {
                self.end_turn();
                Poll::Pending
            }
            failed => failed,
        }
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut self.stream).poll_flush(cx);
        if let (Poll::Ready(Ok(())), Some(note)) = (&flushed, &self.on_flush) {
            note();
        }
        flushed
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
