//! A small HTTP client with kept connections, and the accept loop of servers.
//!
//! The client reads answers as [`h1`](crate::h1) does, so that one place decides what is an answer.
//! Both sides turn Nagle's algorithm off: with it on, a request over a kept
//! connection takes some 40 ms longer.
//!
//! ```no_run
//! # async_std::task::block_on(async {
//! let client = sorreldeck_net::http::Client::default();
//! let address = "127.0.0.1:8080".parse().unwrap();
//! let reply = client.get(address, "/health").await?;
//! assert_eq!(reply.status, 200);
//! # Ok::<(), sorreldeck_net::http::Trouble>(())
//! # }).unwrap();
//! ```

use crate::h1::{self, Answer, Channel, Content};
use crate::open::{Bound, Open};
use crate::socket::{self, Meter, Socket};
use async_channel::Receiver;
use async_std::future::timeout;
use async_std::io::{BufRead as AsyncBufRead, Read as AsyncRead};
use async_std::net::TcpListener;
use async_std::sync::Mutex;
use async_std::task;
use http_body_util::{BodyExt, Full};
use hyper::body::Bytes;
use sorreldeck::wire::{Call, Header};
use sorreldeck::{Size, Verdict};
use std::collections::HashMap;
use std::fmt;
use std::future::pending;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tide::http::{Body, Request, Response, Url};

/// The largest body of a whole reply, unless a client sets another.
const MAX_BODY: Size = Size::from_bytes(16 * 1024 * 1024);
/// The connections kept to one server.
const KEPT: usize = 64;
/// The most bytes read from a body at a time.
const CHUNK: usize = 16 * 1024;

/// Why a call failed, and whether the server may have run it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Trouble {
    /// Whether the server may have run the call.
    pub verdict: Verdict,
    /// Whether the body of the reply was larger than the client takes.
    pub is_too_large: bool,
    /// A sentence for people.
    pub message: String,
}

impl Trouble {
    fn not_run(message: impl fmt::Display) -> Trouble {
        Trouble {
            verdict: Verdict::NotRun,
            is_too_large: false,
            message: message.to_string(),
        }
    }

    fn unsure(message: impl fmt::Display) -> Trouble {
        Trouble {
            verdict: Verdict::MayHaveRun,
            is_too_large: false,
            message: message.to_string(),
        }
    }

    fn too_large(max: Size) -> Trouble {
        Trouble {
            is_too_large: true,
            ..Trouble::unsure(format!("the reply has more than {} bytes", max.bytes()))
        }
    }
}

impl fmt::Display for Trouble {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({})", self.message, self.verdict)
    }
}

impl std::error::Error for Trouble {}

/// A whole reply.
#[derive(Clone, Debug)]
pub struct Reply {
    /// The HTTP status.
    pub status: u16,
    /// The headers, in lower case.
    pub headers: Vec<Header>,
    /// The body.
    pub body: Vec<u8>,
}

impl Reply {
    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        find_header(&self.headers, name)
    }

    /// Returns the body as text, with what is no UTF-8 replaced.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Returns the value of a header.
pub fn find_header<'a>(headers: &'a [Header], name: &str) -> Option<&'a str> {
    let found = headers.iter().find(|h| h.name == name);
    found.map(|h| h.value.as_str())
}

/// A reply whose body is still coming.
pub struct Incoming {
    /// The HTTP status.
    pub status: u16,
    /// The headers, in lower case.
    pub headers: Vec<Header>,
    body: Content,
    client: Client,
    address: SocketAddr,
    channel: Option<Channel>,
}

impl Incoming {
    /// Returns the next bytes of the body, or `None` at its end.
    ///
    /// # Errors
    ///
    /// Fails when the connection breaks before the body is whole.
    pub async fn next(&mut self) -> Result<Option<Vec<u8>>, Trouble> {
        while let Some(frame) = self.body.frame().await {
            let frame = frame.map_err(Trouble::unsure)?;
            // Trailers are left out.
            if let Ok(data) = frame.into_data() {
                return Ok(Some(data.into()));
            }
        }
        if let Some(channel) = self.channel.take() {
            self.client.keep(self.address, channel).await;
        }
        Ok(None)
    }

    /// Reads the rest of the body.
    ///
    /// # Errors
    ///
    /// Fails when the connection breaks before the body is whole, and when the body is larger than
    /// the client takes.
    pub async fn whole(mut self) -> Result<Reply, Trouble> {
        let mut body = Vec::new();
        while let Some(data) = self.next().await? {
            if (body.len() + data.len()) as u64 > self.client.max_body.bytes() {
                return Err(Trouble::too_large(self.client.max_body));
            }
            body.extend_from_slice(&data);
        }
        Ok(Reply {
            status: self.status,
            headers: self.headers,
            body,
        })
    }
}

/// An HTTP/1.1 client that keeps connections.
#[derive(Clone)]
pub struct Client {
    kept: Arc<Mutex<HashMap<SocketAddr, Vec<Channel>>>>,
    max_body: Size,
}

impl Default for Client {
    fn default() -> Client {
        Client::new(MAX_BODY)
    }
}

impl Client {
    /// Creates a client that takes whole replies with bodies of up to this size.
    pub fn new(max_body: Size) -> Client {
        Client {
            kept: Arc::default(),
            max_body,
        }
    }

    /// Sends a call and returns the reply once its head is there.
    ///
    /// A kept connection is used if the server has not closed it. A call that may be repeated, or of
    /// which nothing has left, is sent once more over a new connection if it fails on a kept one.
    ///
    /// # Errors
    ///
    /// The verdict of the [`Trouble`] says whether the server may have run it.
    pub async fn send(
        &self,
        address: SocketAddr,
        call: &Call,
        repeat: bool,
    ) -> Result<Incoming, Trouble> {
        if let Some(channel) = self.take(address).await {
            match self.exchange(channel, address, call).await {
                Err(trouble) if repeat || trouble.verdict == Verdict::NotRun => {}
                sent => return sent,
            }
        }
        // The caller sets the limit of the whole call.
        let channel = Channel::open(address, pending()).await;
        let channel = channel.map_err(Trouble::not_run)?;
        self.exchange(channel, address, call).await
    }

    async fn exchange(
        &self,
        mut channel: Channel,
        address: SocketAddr,
        call: &Call,
    ) -> Result<Incoming, Trouble> {
        let request = request_of(address, call)?;
        let Answer { response, .. } = channel.send(request).await.map_err(|e| match e.unsent {
            Some(_) => Trouble::not_run(e.message),
            None => Trouble::unsure(e.message),
        })?;
        let (head, body) = response.into_parts();
        Ok(Incoming {
            status: head.status.as_u16(),
            headers: h1::headers_of(&head.headers),
            body,
            client: self.clone(),
            address,
            channel: Some(channel),
        })
    }

    /// Sends a GET and returns the whole reply.
    ///
    /// # Errors
    ///
    /// See [`Client::send`].
    pub async fn get(&self, address: SocketAddr, path: &str) -> Result<Reply, Trouble> {
        self.call(address, "GET", path, &[], Vec::new()).await
    }

    /// Sends a call and returns the whole reply. All but POST may be repeated.
    ///
    /// # Errors
    ///
    /// See [`Client::send`].
    pub async fn call(
        &self,
        address: SocketAddr,
        method: &str,
        path: &str,
        headers: &[Header],
        body: Vec<u8>,
    ) -> Result<Reply, Trouble> {
        let call = Call {
            method: method.to_owned(),
            path: path.to_owned(),
            headers: headers.to_vec(),
            body,
        };
        let repeat = method != "POST";
        self.send(address, &call, repeat).await?.whole().await
    }

    /// Like [`Client::call`], but fails when it takes longer than `limit`; the connections
    /// kept to the server are closed then.
    ///
    /// # Errors
    ///
    /// See [`Client::send`].
    pub async fn call_within(
        &self,
        limit: Duration,
        address: SocketAddr,
        method: &str,
        path: &str,
        headers: &[Header],
        body: Vec<u8>,
    ) -> Result<Reply, Trouble> {
        let call = self.call(address, method, path, headers, body);
        match timeout(limit, call).await {
            Ok(reply) => reply,
            Err(_) => {
                // Where one connection is silent, those kept beside it most likely are: each
                // would cost the next call its whole limit.
                self.forget(address).await;
                Err(Trouble::unsure("no reply in time"))
            }
        }
    }

    /// Closes the connections kept to a server, but for those in use.
    pub async fn forget(&self, address: SocketAddr) {
        self.kept.lock().await.remove(&address);
    }

    async fn take(&self, address: SocketAddr) -> Option<Channel> {
        loop {
            let mut channel = self.kept.lock().await.get_mut(&address)?.pop()?;
            if channel.is_reusable().await {
                return Some(channel);
            }
        }
    }

    async fn keep(&self, address: SocketAddr, channel: Channel) {
        let mut kept = self.kept.lock().await;
        let channels = kept.entry(address).or_default();
        if channels.len() < KEPT {
            channels.push(channel);
        }
    }
}

fn request_of(address: SocketAddr, call: &Call) -> Result<hyper::Request<Full<Bytes>>, Trouble> {
    let url = format!("http://{address}{}", call.path);
    let url = Url::parse(&url).map_err(Trouble::not_run)?;
    let target = match url.query() {
        Some(query) => format!("{}?{query}", url.path()),
        None => url.path().to_owned(),
    };
    let mut builder = hyper::Request::builder()
        .method(call.method.as_str())
        .uri(target);
    if find_header(&call.headers, "host").is_none() {
        builder = builder.header("host", address.to_string());
    }
    for header in &call.headers {
        let value = h1::value_of(&header.value);
        let value = value.ok_or_else(|| {
            Trouble::not_run(format!("{} has no value that can be sent", header.name))
        })?;
        builder = builder.header(header.name.as_str(), value);
    }
    let body = Full::new(Bytes::from(call.body.clone()));
    builder.body(body).map_err(Trouble::not_run)
}

/// Serves requests on a listener until it fails.
///
/// The head of a request must come within 60 s, the time set by async-h1.
///
/// The handler finds the connection among the request's extensions as a
/// [`Socket`], with which it can notice that the caller has gone.
pub async fn serve<S>(listener: TcpListener, app: tide::Server<S>, bound: Bound)
where
    S: Clone + Send + Sync + 'static,
{
    let mut open = Open::new(bound, listener.local_addr().ok());
    loop {
        match socket::accept(&listener).await {
            // Dropping the stream closes it unread.
            Ok(stream) if open.make_room().await => {
                open.run(serve_connection(stream, app.clone()));
            }
            Ok(_) => {}
            // Out of descriptors, say: the open connections will free some.
            Err(_) => task::sleep(Duration::from_millis(50)).await,
        }
    }
}

async fn serve_connection<S>(stream: Socket, app: tide::Server<S>)
where
    S: Clone + Send + Sync + 'static,
{
    if stream.stream().set_nodelay(true).is_err() {
        return;
    }
    let connection = stream.clone();
    connection.meter().begin(max_framing());
    let endpoint = move |mut request: Request| {
        let app = app.clone();
        let connection = connection.clone();
        async move {
            count_content(&mut request, connection.meter());
            request.ext_mut().insert(connection);
            app.respond::<Request, Response>(request).await
        }
    };
    // A connection that breaks ends only itself.
    let _ = async_h1::accept(stream, endpoint).await;
}

/// Returns the framing that a message may have: its head, what the library reads ahead, and more.
fn max_framing() -> Size {
    socket::framing().beyond(2 * CHUNK)
}

/// Tells the content of a request's body from its framing.
fn count_content(request: &mut Request, meter: Meter) {
    meter.begin(max_framing());
    let length = request.len();
    let kind = request.content_type();
    let body = Counted {
        body: request.take_body(),
        meter,
    };
    request.set_body(Body::from_reader(body, length));
    // The body's own kind took the place of the one that was told.
    match kind {
        Some(kind) => drop(request.set_content_type(kind)),
        None => drop(request.remove_header("content-type")),
    }
}

/// A body whose content is told from its framing.
struct Counted {
    body: Body,
    meter: Meter,
}

impl AsyncRead for Counted {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let read = Pin::new(&mut self.body).poll_read(cx, buf);
        if let Poll::Ready(Ok(bytes)) = &read {
            self.meter.add_content(*bytes);
        }
        read
    }
}

impl AsyncBufRead for Counted {
    fn poll_fill_buf(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        Pin::new(&mut self.get_mut().body).poll_fill_buf(cx)
    }

    fn consume(mut self: Pin<&mut Self>, amt: usize) {
        self.meter.add_content(amt);
        Pin::new(&mut self.body).consume(amt);
    }
}

/// Waits until the other side of a connection has closed it.
pub async fn closed(stream: &Socket) {
    let mut buf = [0];
    loop {
        match stream.stream().peek(&mut buf).await {
            Ok(0) | Err(_) => return,
            // The caller has sent more; it is read after this answer.
            Ok(_) => task::sleep(Duration::from_millis(100)).await,
        }
    }
}

/// What one part of a body comes to.
#[derive(Debug, Default)]
pub struct Piece {
    /// The bytes.
    pub data: Vec<u8>,
    /// Whether the connection is broken off after them.
    pub broken: bool,
}

impl From<Vec<u8>> for Piece {
    fn from(data: Vec<u8>) -> Piece {
        Piece {
            data,
            broken: false,
        }
    }
}

/// A body that is fed through a channel and ends when that is closed.
///
/// All parts that wait are taken at once, so that a busy stream pays for one
/// system call, not one for each part.
pub struct Stream<T> {
    parts: Pin<Box<Receiver<T>>>,
    read: fn(T) -> Piece,
    buf: Vec<u8>,
    at: usize,
    broken: bool,
}

impl<T> Stream<T> {
    /// Creates a body of the parts that come through a channel, each turned to
    /// bytes by `read`.
    pub fn new(parts: Receiver<T>, read: fn(T) -> Piece) -> Stream<T> {
        Stream {
            parts: Box::pin(parts),
            read,
            buf: Vec::new(),
            at: 0,
            broken: false,
        }
    }

    fn refill(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        use futures_util::Stream as _;
        self.buf.clear();
        self.at = 0;
        while !self.broken && self.buf.len() < CHUNK {
            match self.parts.as_mut().poll_next(cx) {
                Poll::Ready(Some(part)) => {
                    let piece = (self.read)(part);
                    self.buf.extend_from_slice(&piece.data);
                    self.broken = piece.broken;
                }
                Poll::Ready(None) => return Poll::Ready(Ok(())),
                Poll::Pending if self.buf.is_empty() => return Poll::Pending,
                Poll::Pending => return Poll::Ready(Ok(())),
            }
        }
        match self.broken && self.buf.is_empty() {
            true => Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into())),
            false => Poll::Ready(Ok(())),
        }
    }
}

impl<T> AsyncBufRead for Stream<T> {
    fn poll_fill_buf(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let this = self.get_mut();
        if this.at == this.buf.len() {
            match this.refill(cx) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(Err(e)) => return Poll::Ready(Err(e)),
                Poll::Ready(Ok(())) => {}
            }
        }
        Poll::Ready(Ok(&this.buf[this.at..]))
    }

    fn consume(self: Pin<&mut Self>, amt: usize) {
        self.get_mut().at += amt;
    }
}

impl<T> AsyncRead for Stream<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let available = match self.as_mut().poll_fill_buf(cx) {
            Poll::Pending => return Poll::Pending,
            Poll::Ready(Err(e)) => return Poll::Ready(Err(e)),
            Poll::Ready(Ok(available)) => available,
        };
        let n = available.len().min(buf.len());
        buf[..n].copy_from_slice(&available[..n]);
        self.consume(n);
        Poll::Ready(Ok(n))
    }
}
