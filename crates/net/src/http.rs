//! A small HTTP client with kept connections, and the accept loop of servers.
//!
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

use crate::open::{Bound, Open};
use crate::socket::{self, Meter, Socket};
use async_channel::Receiver;
use async_std::future::timeout;
use async_std::io::{BufRead as AsyncBufRead, Read as AsyncRead, ReadExt};
use async_std::net::TcpListener;
use async_std::sync::Mutex;
use async_std::task;
use sorreldeck::wire::{Call, Header};
use sorreldeck::{Size, Verdict};
use std::collections::HashMap;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tide::http::{Body, Method, Request, Response, Url};

/// The connections kept to one server.
const KEPT: usize = 64;
/// The most bytes read from a body at a time.
const CHUNK: usize = 16 * 1024;

/// Why a call failed, and whether the server may have run it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Trouble {
    /// Whether the server may have run the call.
    pub verdict: Verdict,
    /// A sentence for people.
    pub message: String,
}

impl Trouble {
    fn not_run(message: impl fmt::Display) -> Trouble {
        Trouble {
            verdict: Verdict::NotRun,
            message: message.to_string(),
        }
    }

    fn unsure(message: impl fmt::Display) -> Trouble {
        Trouble {
            verdict: Verdict::MayHaveRun,
            message: message.to_string(),
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
    body: Response,
    home: Option<(Client, SocketAddr, Socket)>,
    buf: Vec<u8>,
    expected: Option<usize>,
    got: usize,
    meter: Meter,
}

impl Incoming {
    /// Returns the next bytes of the body, or `None` at its end.
    ///
    /// # Errors
    ///
    /// Fails when the connection breaks before the body is whole.
    pub async fn next(&mut self) -> Result<Option<Vec<u8>>, Trouble> {
        let n = self
            .body
            .read(&mut self.buf)
            .await
            .map_err(Trouble::unsure)?;
        if n > 0 {
            self.got += n;
            self.meter.add_content(n);
            return Ok(Some(self.buf[..n].to_vec()));
        }
        if self.expected.is_some_and(|len| self.got < len) {
            return Err(Trouble::unsure("the server closed in mid-answer"));
        }
        if let Some((client, address, stream)) = self.home.take() {
            client.keep(address, stream).await;
        }
        Ok(None)
    }

    /// Reads the rest of the body.
    ///
    /// # Errors
    ///
    /// Fails when the connection breaks before the body is whole.
    pub async fn whole(mut self) -> Result<Reply, Trouble> {
        let mut body = Vec::new();
        while let Some(data) = self.next().await? {
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
#[derive(Clone, Default)]
pub struct Client {
    kept: Arc<Mutex<HashMap<SocketAddr, Vec<Socket>>>>,
}

impl Client {
    /// Sends a call and returns the reply once its head is there.
    ///
    /// A kept connection is used if the server has not closed it. A call that
    /// may be repeated is sent once more, over a new connection, if it fails on
    /// a kept one.
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
        if let Some(stream) = self.take(address).await {
            let sent = self.exchange(stream, address, call).await;
            if sent.is_ok() || !repeat {
                return sent;
            }
        }
        let stream = Socket::connect(address).await.map_err(Trouble::not_run)?;
        stream
            .stream()
            .set_nodelay(true)
            .map_err(Trouble::not_run)?;
        self.exchange(stream, address, call).await
    }

    async fn exchange(
        &self,
        stream: Socket,
        address: SocketAddr,
        call: &Call,
    ) -> Result<Incoming, Trouble> {
        let request = request_of(address, call)?;
        let meter = stream.meter();
        meter.begin(max_framing());
        let response = async_h1::connect(stream.clone(), request)
            .await
            .map_err(Trouble::unsure)?;
        let headers = headers_of(&response);
        let closes = find_header(&headers, "connection").is_some_and(|v| v == "close");
        let expected = find_header(&headers, "content-length").and_then(|v| v.parse().ok());
        Ok(Incoming {
            status: response.status().into(),
            headers,
            body: response,
            home: (!closes).then(|| (self.clone(), address, stream)),
            buf: vec![0; CHUNK],
            expected,
            got: 0,
            meter,
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

    async fn take(&self, address: SocketAddr) -> Option<Socket> {
        loop {
            let stream = self.kept.lock().await.get_mut(&address)?.pop()?;
            if is_open(&stream).await {
                return Some(stream);
            }
        }
    }

    async fn keep(&self, address: SocketAddr, stream: Socket) {
        let mut kept = self.kept.lock().await;
        let streams = kept.entry(address).or_default();
        if streams.len() < KEPT {
            streams.push(stream);
        }
    }
}

/// Returns whether the server has neither closed an idle connection nor sent
/// anything over it.
async fn is_open(stream: &Socket) -> bool {
    let mut buf = [0];
    let peeked = futures_lite::future::poll_once(stream.stream().peek(&mut buf)).await;
    peeked.is_none()
}

fn request_of(address: SocketAddr, call: &Call) -> Result<Request, Trouble> {
    let url = format!("http://{address}{}", call.path);
    let url = Url::parse(&url).map_err(Trouble::not_run)?;
    let method: Method = call.method.parse().map_err(Trouble::not_run)?;
    let mut request = Request::new(method, url);
    request.set_body(Body::from_bytes(call.body.clone()));
    request.remove_header("content-type");
    for header in &call.headers {
        request.append_header(header.name.as_str(), header.value.as_str());
    }
    Ok(request)
}

fn headers_of(response: &Response) -> Vec<Header> {
    let mut headers = Vec::new();
    for (name, values) in response.iter() {
        for value in values {
            headers.push(Header::new(name.as_str(), value.as_str()));
        }
    }
    headers
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
