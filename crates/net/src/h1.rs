//! HTTP/1.1 on hyper, for requests that pass through.
//!
//! hyper notices at once when the other side leaves, and tells the end of a body
//! from a connection that broke; `async-h1`, which the rest of the HTTP layer
//! uses, does neither.
//!
//! ```no_run
//! # async_std::task::block_on(async {
//! use sorreldeck_net::h1::Channel;
//! use std::time::Duration;
//!
//! let too_long = async_std::task::sleep(Duration::from_millis(600));
//! let channel = Channel::open("127.0.0.1:8080".parse().unwrap(), too_long).await?;
//! assert!(channel.is_open());
//! # Ok::<(), std::io::Error>(())
//! # }).unwrap();
//! ```

use crate::head::{self, End};
use crate::socket::{self, Meter, Socket};
use async_std::future::timeout;
use async_std::task::{self, JoinHandle};
use futures_lite::FutureExt;
use futures_util::future::{select, Either};
use http_body_util::Full;
use hyper::body::{Body, Bytes, Incoming};
use hyper::client::conn::http1::{self as client, SendRequest};
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper::{Request, Response};
use smol_hyper::rt::FuturesIo;
use sorreldeck::wire::Header;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::{pin, Pin};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

/// How often a connection is looked at for having been idle too long.
const LOOK_EVERY: Duration = Duration::from_millis(1000);

/// The bytes that are kept of what a connection has read or is to write.
const BUFFER: usize = 64 * 1024;

/// How long a kept connection may take to notice the end of its last answer before it is closed
/// instead of used. This takes one poll of its task, well under a millisecond on an idle machine.
const READY_TIMEOUT: Duration = Duration::from_millis(200);

/// What a caller's connection may do.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// The largest head of a request, in bytes.
    pub head: usize,
    /// The longest time for a head to come in.
    pub head_timeout: Duration,
    /// The longest time that a connection may be idle.
    pub idle_timeout: Duration,
}

/// What all connections of a listener share.
#[derive(Debug)]
pub struct Door {
    closing: AtomicBool,
    full: AtomicBool,
    shut: (async_channel::Sender<()>, async_channel::Receiver<()>),
    open: AtomicUsize,
    owing: AtomicUsize,
    start: Instant,
}

impl Default for Door {
    fn default() -> Self {
        Door {
            closing: AtomicBool::new(false),
            full: AtomicBool::new(false),
            shut: async_channel::bounded(1),
            open: AtomicUsize::new(0),
            owing: AtomicUsize::new(0),
            start: Instant::now(),
        }
    }
}

impl Door {
    /// Closes connections after the answer under way, and idle ones soon.
    pub fn close(&self) {
        self.closing.store(true, Ordering::Relaxed);
    }

    /// Sets whether connections close after the answer under way, so that their callers open new
    /// ones, which a load balancer may send elsewhere.
    pub fn set_full(&self, is_full: bool) {
        self.full.store(is_full, Ordering::Relaxed);
    }

    /// Returns whether a connection closes after the answer under way.
    fn ends_connections(&self) -> bool {
        self.is_closing() || self.full.load(Ordering::Relaxed)
    }

    /// Takes no more connections.
    pub fn shut(&self) {
        self.shut.0.close();
    }

    /// Returns whether no more connections are taken.
    pub fn is_shut(&self) -> bool {
        self.shut.0.is_closed()
    }

    /// Waits until no more connections are to be taken.
    pub async fn wait_shut(&self) {
        // The channel carries nothing; it is closed when the door is shut.
        let _ = self.shut.1.recv().await;
    }

    /// Returns whether connections are being closed.
    pub fn is_closing(&self) -> bool {
        self.closing.load(Ordering::Relaxed)
    }

    /// Returns how many connections are open.
    pub fn open(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// Returns how many connections have read a request whose answer their sockets have not taken
    /// whole.
    pub fn owing(&self) -> usize {
        self.owing.load(Ordering::Relaxed)
    }

    /// Returns the time of this door's clock in milliseconds.
    pub fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }
}

/// What a connection owes its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    /// No whole head of a request has come.
    NoRequest,
    /// All answers were taken, and no request is under way.
    Idle,
    /// Its caller does not read an answer that was made whole.
    Unread,
    /// A request is under way.
    Busy,
}

/// What happens on one connection, in milliseconds of its door's clock.
#[derive(Debug, Default)]
pub struct Activity {
    busy: AtomicUsize,
    /// When a request ended last, or the connection opened.
    free_since: AtomicU64,
    /// When the first byte after that came in; 0 while none has.
    head_since: AtomicU64,
    /// Whether the connection counts as owing.
    owes: AtomicBool,
    has_begun: AtomicBool,
}

impl Activity {
    /// Records that the connection has opened.
    pub fn open(&self, door: &Door) {
        self.free_since.store(door.now(), Ordering::Relaxed);
    }

    /// Returns what the connection owes, and since when, in milliseconds of its door's clock.
    pub fn standing(&self) -> (Standing, u64) {
        let since = self.free_since.load(Ordering::Relaxed);
        let standing = match self.busy.load(Ordering::Relaxed) > 0 {
            true => Standing::Busy,
            false if self.owes.load(Ordering::Relaxed) => Standing::Unread,
            false if self.has_begun.load(Ordering::Relaxed) => Standing::Idle,
            false => Standing::NoRequest,
        };
        (standing, since)
    }

    fn begin(&self, door: &Door) {
        self.has_begun.store(true, Ordering::Relaxed);
        self.busy.fetch_add(1, Ordering::Relaxed);
        self.head_since.store(0, Ordering::Relaxed);
        if !self.owes.swap(true, Ordering::Relaxed) {
            door.owing.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Records that the socket has taken all that was written.
    fn has_flushed(&self, door: &Door) {
        if self.busy.load(Ordering::Relaxed) == 0 {
            self.settle(door);
        }
    }

    /// Records that no answer is owed any more.
    fn settle(&self, door: &Door) {
        if self.owes.swap(false, Ordering::Relaxed) {
            door.owing.fetch_sub(1, Ordering::Relaxed);
        }
    }

    fn end(&self, now: u64) {
        self.free_since.store(now, Ordering::Relaxed);
        self.head_since.store(0, Ordering::Relaxed);
        self.busy.fetch_sub(1, Ordering::Relaxed);
    }

    fn has_read(&self, now: u64) {
        if self.busy.load(Ordering::Relaxed) == 0 && self.head_since.load(Ordering::Relaxed) == 0 {
            self.head_since.store(now.max(1), Ordering::Relaxed);
        }
    }

    /// Returns what is to become of the connection.
    fn verdict(&self, now: u64, limits: &Limits) -> Idle {
        if self.busy.load(Ordering::Relaxed) > 0 {
            return Idle::Busy;
        }
        let head = self.head_since.load(Ordering::Relaxed);
        let free = now.saturating_sub(self.free_since.load(Ordering::Relaxed));
        match head {
            0 if u128::from(free) > limits.idle_timeout.as_millis() => Idle::Expired,
            0 => Idle::Waiting,
            _ if u128::from(now.saturating_sub(head)) > limits.head_timeout.as_millis() => {
                Idle::Stuck
            }
            _ => Idle::Busy,
        }
    }
}

/// How idle a connection is.
#[derive(Debug, PartialEq, Eq)]
enum Idle {
    /// A request is under way or coming in.
    Busy,
    /// No request is under way.
    Waiting,
    /// No request has come for too long.
    Expired,
    /// The head of a request has not come in whole for too long.
    Stuck,
}

/// A body that comes in, whose content is told from its framing.
pub struct Content {
    body: Incoming,
    meter: Meter,
}

/// An answer whose head was checked.
pub struct Answer {
    /// The head and the body.
    pub response: Response<Content>,
    /// What tells the end of the body.
    pub end: End,
}

impl Body for Content {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<hyper::body::Frame<Bytes>, hyper::Error>>> {
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        if let Poll::Ready(Some(Ok(frame))) = &polled {
            let bytes = frame.data_ref().map_or(0, Bytes::len);
            self.meter.add_content(bytes);
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> hyper::body::SizeHint {
        self.body.size_hint()
    }
}

/// A body that notes when it has ended or was given up.
pub struct Tracked<B: Body> {
    body: B,
    /// Why the body breaks off, until what came before has gone out.
    broken: Option<B::Error>,
    _end: Ending,
}

struct Ending {
    activity: Arc<Activity>,
    door: Arc<Door>,
}

impl Drop for Ending {
    fn drop(&mut self) {
        self.activity.end(self.door.now());
    }
}

impl<B: Body + Unpin> Body for Tracked<B>
where
    B::Error: Unpin,
{
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<hyper::body::Frame<B::Data>, B::Error>>> {
        let this = &mut *self;
        if let Some(error) = this.broken.take() {
            return Poll::Ready(Some(Err(error)));
        }
        match Pin::new(&mut this.body).poll_frame(cx) {
            // hyper drops what it has not written yet when a body fails, the head
            // included; it writes it when a body has nothing at the moment.
            Poll::Ready(Some(Err(error))) => {
                this.broken = Some(error);
                cx.waker().wake_by_ref();
                Poll::Pending
            }
            polled => polled,
        }
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> hyper::body::SizeHint {
        self.body.size_hint()
    }
}

/// Serves the requests of one connection until it ends.
///
/// The future of `answer` is dropped when the caller leaves.
pub async fn serve<F, A, B>(
    stream: Socket,
    door: Arc<Door>,
    activity: Arc<Activity>,
    limits: Limits,
    answer: F,
) where
    F: Fn(Request<Content>) -> A,
    A: Future<Output = Response<B>>,
    B: Body + Unpin + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>> + Unpin,
{
    if stream.stream().set_nodelay(true).is_err() {
        return;
    }
    // Of what was read, the next requests may be in the buffer.
    let framing = socket::framing().beyond(limits.head + BUFFER);
    let meter = stream.meter();
    meter.begin(framing);
    door.open.fetch_add(1, Ordering::Relaxed);
    let _count = Count {
        activity: activity.clone(),
        door: door.clone(),
    };
    activity.open(&door);
    let (reading, clock) = (activity.clone(), door.clone());
    let io = stream.on_read(move || reading.has_read(clock.now()));
    let (writing, counter) = (activity.clone(), door.clone());
    let io = io.on_flush(move || writing.has_flushed(&counter));
    let service = service_fn(|request: Request<Incoming>| {
        activity.begin(&door);
        meter.begin(framing);
        let request = request.map(|body| Content {
            body,
            meter: meter.clone(),
        });
        let end = Ending {
            activity: activity.clone(),
            door: door.clone(),
        };
        let answered = answer(request);
        let door = door.clone();
        async move {
            let mut response = answered.await.map(|body| Tracked {
                body,
                broken: None,
                _end: end,
            });
            if door.ends_connections() {
                let close = hyper::header::HeaderValue::from_static("close");
                response
                    .headers_mut()
                    .insert(hyper::header::CONNECTION, close);
            }
            Ok::<_, std::convert::Infallible>(response)
        }
    });
    let mut builder = Builder::new();
    builder.max_header_size(limits.head);
    builder.max_buf_size(limits.head.max(BUFFER));
    builder.auto_date_header(false);
    let mut connection = pin!(builder.serve_connection(FuturesIo::new(io), service));
    loop {
        let look = pin!(task::sleep(LOOK_EVERY));
        match select(connection.as_mut(), look).await {
            // A connection that breaks ends only itself.
            Either::Left(_) => break,
            // The answer under way is the last one of its connection.
            Either::Right(_) if door.is_closing() => connection.as_mut().graceful_shutdown(),
            Either::Right(_) => match activity.verdict(door.now(), &limits) {
                Idle::Busy | Idle::Waiting => {}
                Idle::Expired => connection.as_mut().graceful_shutdown(),
                Idle::Stuck => break,
            },
        }
    }
}

/// An open connection, which is no more counted once this is dropped.
struct Count {
    activity: Arc<Activity>,
    door: Arc<Door>,
}

impl Drop for Count {
    fn drop(&mut self) {
        self.activity.settle(&self.door);
        self.door.open.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A connection to a server that carries one request at a time; dropping it
/// closes the connection at once.
pub struct Channel {
    send: SendRequest<Full<Bytes>>,
    meter: Meter,
    task: Option<JoinHandle<()>>,
    /// When the last request ended.
    pub free_since: Instant,
}

/// Why a request got no answer, and whether it may have left.
#[derive(Debug)]
pub struct Unanswered {
    /// The request, if nothing of it left this process.
    pub unsent: Option<Request<Full<Bytes>>>,
    /// Whether the connection ended before the head of an answer, sound or not.
    pub is_closed: bool,
    /// A sentence for people.
    pub message: String,
}

impl Channel {
    /// Opens a connection, unless that takes `too_long`.
    ///
    /// # Errors
    ///
    /// Fails when there is no connection in time.
    pub async fn open(
        address: SocketAddr,
        too_long: impl Future<Output = ()>,
    ) -> io::Result<Channel> {
        let give_up = async {
            too_long.await;
            Err(io::ErrorKind::TimedOut.into())
        };
        let stream = Socket::connect(address).or(give_up).await?;
        stream.stream().set_nodelay(true)?;
        let meter = stream.meter();
        let handshake = client::Builder::new()
            .max_buf_size(BUFFER)
            .handshake(FuturesIo::new(stream));
        let (send, connection) = handshake.await.map_err(io::Error::other)?;
        let task = task::spawn(async move {
            // Whoever waits for an answer is told of the error.
            let _ = connection.await;
        });
        Ok(Channel {
            send,
            meter,
            task: Some(task),
            free_since: Instant::now(),
        })
    }

    /// Returns whether the next request can be sent.
    pub fn is_open(&self) -> bool {
        self.send.is_ready() && !self.send.is_closed()
    }

    /// Returns whether the next request can be sent, once the end of the last answer was noticed.
    pub async fn is_reusable(&mut self) -> bool {
        let ready = timeout(READY_TIMEOUT, self.send.ready()).await;
        ready.is_ok_and(|ready| ready.is_ok()) && self.is_open()
    }

    /// Sends a request and returns the answer once its head is there.
    ///
    /// # Errors
    ///
    /// The error says whether anything may have left. A head that is none is an error too; the
    /// connection is of no use then.
    pub async fn send(&mut self, request: Request<Full<Bytes>>) -> Result<Answer, Unanswered> {
        self.meter.begin(socket::framing().beyond(BUFFER));
        let method = request.method().clone();
        let sent = self.send.try_send_request(request).await;
        let meter = self.meter.clone();
        let response = sent.map_err(|mut e| Unanswered {
            unsent: e.take_message(),
            is_closed: !e.error().is_parse(),
            message: e.error().to_string(),
        })?;
        let (mut parts, body) = response.into_parts();
        let end = head::check(&method, &mut parts).map_err(|fault| Unanswered {
            unsent: None,
            is_closed: false,
            message: fault.to_string(),
        })?;
        let response = Response::from_parts(parts, Content { body, meter });
        Ok(Answer { response, end })
    }
}

impl Drop for Channel {
    fn drop(&mut self) {
        if let Some(task) = self.task.take() {
            // Cancelling drops the socket; the task ends by itself otherwise.
            task::spawn(task.cancel());
        }
    }
}

/// Returns headers with their names in lower case. Values that are no ASCII are
/// kept byte by byte, each as the character of its number.
pub fn headers_of(map: &hyper::HeaderMap) -> Vec<Header> {
    let text = |bytes: &[u8]| bytes.iter().map(|b| *b as char).collect::<String>();
    map.iter()
        .map(|(name, value)| Header {
            name: name.as_str().to_owned(),
            value: text(value.as_bytes()),
        })
        .collect()
}

/// Returns the value of a header as [`headers_of`] gave it, as it goes out, or
/// `None` if it cannot be sent.
pub fn value_of(value: &str) -> Option<hyper::header::HeaderValue> {
    let bytes: Option<Vec<u8>> = value.chars().map(|c| u8::try_from(c).ok()).collect();
    hyper::header::HeaderValue::from_bytes(&bytes?).ok()
}
