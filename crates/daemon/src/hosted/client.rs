//! HTTP client for upstreams: one run of a request at an upstream that is called directly.
//!
//! Connections are pooled for a short time. A request that may run at most once uses a new
//! connection: an upstream may close a pooled connection without notice, and then it would be
//! unknown whether the request ran.

use super::load::{Load, LONG_RESPONSE};
use super::message::Message;
use super::response::Unread;
use crate::clock::Clock;
use crate::loss;
use async_channel::Sender;
use async_std::task::{self, JoinHandle};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Body;
use hyper::{Request, Response};
use sorreldeck::entry::{Head, Reply};
use sorreldeck::pick::Link;
use sorreldeck::wire::{Header, Metadata, Run, Start};
use sorreldeck::{Failure, Reason, Size, Span, Time, Verdict};
use sorreldeck_net::events::Events;
use sorreldeck_net::h1::{self, Channel, Content, Unanswered};
use sorreldeck_net::head::End;
use sorreldeck_net::reach;
use sorreldeck_platform::call;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How long an idle connection is pooled; upstreams close idle connections after whole seconds.
const POOL_TTL: Duration = Duration::from_millis(800);
/// Maximum number of pooled connections per upstream.
const MAX_POOLED: usize = 16;
/// Interval at which a connection that has not opened is looked at.
const CONNECT_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of bytes of a refusal's body that are read to reuse its connection.
const MAX_REFUSAL_BYTES: usize = 4096;

/// How long a long response waits while others need what it takes, and the bytes between two such
/// pauses.
const LONG_RESPONSE_PAUSE: Duration = Duration::from_millis(10);
const LONG_RESPONSE_STEP: usize = 64 * 1024;

/// The bytes that leave with a request besides its body, about: its head, and the packets that open
/// and close the connection.
const HEAD_BYTES: usize = 800;

type Pool = Arc<Mutex<HashMap<SocketAddr, Vec<Channel>>>>;

/// Starts runs at upstreams.
pub struct Client {
    pool: Pool,
    messages: Sender<Message>,
    load: Load,
    clock: Clock,
    max_event: Size,
}

/// A run. Dropping it closes its connection, which cancels the run at the upstream.
pub struct Handle(Option<JoinHandle<()>>);

impl Drop for Handle {
    fn drop(&mut self) {
        if let Some(task) = self.0.take() {
            task::spawn(task.cancel());
        }
    }
}

impl Client {
    /// Creates a client without connections that takes events of up to this size.
    pub fn new(messages: Sender<Message>, load: Load, clock: Clock, max_event: Size) -> Client {
        Client {
            pool: Pool::default(),
            messages,
            load,
            clock,
            max_event,
        }
    }

    /// Closes the pooled connections; after a suspension, upstreams may have left or closed
    /// them.
    pub fn clear_pool(&self) {
        self.pool.lock().unwrap_or_else(|e| e.into_inner()).clear();
    }

    /// Starts a run; the event loop gets the parts of the response as messages. While the caller
    /// has too much of it `unread`, nothing is read from the upstream.
    pub fn open(
        &self,
        link: Link,
        address: Option<SocketAddr>,
        start: Start,
        unread: Unread,
    ) -> Handle {
        let run_task = RunTask {
            pool: self.pool.clone(),
            messages: self.messages.clone(),
            load: self.load.clone(),
            link,
            run: start.run,
            metadata: start.metadata.as_deref().cloned(),
            clock: self.clock.clone(),
            started_at: self.clock.now(),
            time_left: Span::from_micros(start.deadline_us),
            unread,
            max_event: self.max_event,
        };
        Handle(Some(task::spawn(run_task.work(address, start))))
    }
}

struct RunTask {
    pool: Pool,
    messages: Sender<Message>,
    load: Load,
    link: Link,
    run: Run,
    metadata: Option<Metadata>,
    clock: Clock,
    started_at: Time,
    time_left: Span,
    unread: Unread,
    max_event: Size,
}

/// The response of an upstream.
enum Answer {
    /// The request ran.
    Ran(Response<Content>),
    /// The upstream refused the request with this status.
    NotRun(u16, Response<Content>),
}

fn may_have_run(message: impl Into<String>) -> Failure {
    Failure::new(Reason::UpstreamFailed, Verdict::MayHaveRun, message)
}

/// Takes the request back of which nothing was sent.
fn take_unsent(sent: &mut Result<h1::Answer, Unanswered>) -> Option<Request<Full<Bytes>>> {
    sent.as_mut().err()?.unsent.take()
}

/// Returns the failure of a request without an answer. An upstream may close a pooled connection at
/// any time, also one that is sound.
fn failure_of(unanswered: Unanswered, is_pooled: bool) -> Failure {
    let Unanswered {
        unsent,
        is_closed,
        message,
    } = unanswered;
    match (unsent, is_closed && is_pooled) {
        (Some(_), _) => Failure::not_run(Reason::LinkLost, message),
        (None, true) => Failure::new(Reason::ConnectionClosed, Verdict::MayHaveRun, message),
        (None, false) => may_have_run(message),
    }
}

impl RunTask {
    async fn work(self, address: Option<SocketAddr>, start: Start) {
        let reply = match (self.exchange(address, start).await, address) {
            (Ok(End::Connection), Some(address)) => return self.end_closed(address).await,
            (Ok(_), _) => Reply::End,
            (Err(failure), Some(address)) => Reply::Fail(loss::classify(failure, address).await),
            (Err(failure), None) => Reply::Fail(failure),
        };
        self.send_reply(reply).await;
    }

    /// Ends a response that ended with its connection, which does not tell whether its upstream
    /// crashed.
    async fn end_closed(self, address: SocketAddr) {
        self.send_reply(Reply::Closed).await;
        let is_gone = reach::is_refused(address).await;
        self.send_reply(Reply::Checked { is_gone }).await;
    }

    async fn send_reply(&self, reply: Reply) {
        // Sending fails only while the process ends, since the event loop runs until then.
        let _ = self
            .messages
            .send(Message::Reply(self.link, self.run, reply))
            .await;
    }

    /// Runs the request; returns what told the end of its response.
    async fn exchange(&self, address: Option<SocketAddr>, start: Start) -> Result<End, Failure> {
        let upstream_left = || Failure::not_run(Reason::Leaving, "the upstream has just left");
        let address = address.ok_or_else(upstream_left)?;
        let metadata = self.metadata.as_ref().ok_or_else(upstream_left)?;
        let pooled = match metadata.new_connection {
            true => None,
            false => self.reusable_channel(address).await,
        };
        let is_pooled = pooled.is_some();
        let mut channel = match pooled {
            Some(channel) => channel,
            None => self.new_channel(address).await?,
        };
        let time_left = self.remaining_time()?;
        self.load.send(HEAD_BYTES + start.call.body.len());
        let request = request_of(start, metadata, time_left)?;
        let mut sent = channel.send(request).await;
        let unsent = is_pooled.then(|| take_unsent(&mut sent)).flatten();
        if let Some(request) = unsent {
            channel = self.new_channel(address).await?;
            sent = channel.send(request).await;
        }
        let h1::Answer { response, end } = sent.map_err(|e| failure_of(e, is_pooled))?;
        match self.read_head(response).await? {
            Answer::Ran(response) => {
                self.forward_body(response, address, channel).await?;
                Ok(end)
            }
            Answer::NotRun(status, response) => {
                if drain(response).await {
                    self.return_channel(address, Some(channel));
                }
                let reason = match status {
                    421 => Reason::Leaving,
                    _ => Reason::Overloaded,
                };
                Err(Failure::not_run(reason, format!("refused with {status}")))
            }
        }
    }

    /// Returns the time that is left for the upstream.
    fn remaining_time(&self) -> Result<Span, Failure> {
        let elapsed = self.clock.now().since(self.started_at);
        match self.time_left > elapsed {
            true => Ok(self.time_left - elapsed),
            false => Err(Failure::not_run(Reason::TimedOut, "no time is left")),
        }
    }

    /// Returns a pooled connection that its upstream has not closed, as far as is known.
    async fn reusable_channel(&self, address: SocketAddr) -> Option<Channel> {
        loop {
            let mut channel = self.pooled_channel(address)?;
            if channel.is_reusable().await {
                return Some(channel);
            }
        }
    }

    async fn new_channel(&self, address: SocketAddr) -> Result<Channel, Failure> {
        let began = self.clock.now();
        let channel = Channel::open(address, self.wait_too_long(address, began)).await;
        if channel.is_ok() {
            self.load.connect(address, self.clock.now().since(began));
        }
        channel.map_err(|e| Failure::not_run(Reason::LinkLost, format!("no connection: {e}")))
    }

    /// Waits until a connection has taken too long to open; how long that is may change meanwhile.
    async fn wait_too_long(&self, address: SocketAddr, began: Time) {
        loop {
            task::sleep(CONNECT_INTERVAL).await;
            let passed = self.clock.now().since(began);
            if self.load.wait_for(address, passed) {
                return;
            }
        }
    }

    fn pooled_channel(&self, address: SocketAddr) -> Option<Channel> {
        let mut pool = self.pool.lock().unwrap_or_else(|e| e.into_inner());
        let channels = pool.get_mut(&address)?;
        while let Some(channel) = channels.pop() {
            if channel.free_since.elapsed() < POOL_TTL {
                return Some(channel);
            }
        }
        None
    }

    /// Pools the connection of a response whose body has arrived completely, unless it was
    /// pooled before.
    fn return_channel(&self, address: SocketAddr, channel: Option<Channel>) {
        let Some(mut channel) = channel else {
            return;
        };
        channel.free_since = Instant::now();
        let mut pool = self.pool.lock().unwrap_or_else(|e| e.into_inner());
        let channels = pool.entry(address).or_default();
        channels.retain(|c| c.free_since.elapsed() < POOL_TTL);
        if channels.len() < MAX_POOLED {
            channels.push(channel);
        }
    }

    /// Checks that the response belongs to the request and has the headers that a response must
    /// have.
    async fn read_head(&self, response: Response<Content>) -> Result<Answer, Failure> {
        let status = response.status().as_u16();
        let headers = h1::headers_of(response.headers());
        let head = call::parse_response(status, &headers);
        let metadata = self.metadata.as_ref();
        let label = metadata.map(|o| o.label.as_str());
        if head.is_ambiguous {
            return Err(may_have_run("the answer has several ids or receipts"));
        }
        let is_foreign = head.label.is_some() && head.label.as_deref() != label;
        let is_forwarded =
            !is_foreign && !head.not_run && !head.is_encoded && (status >= 300 || head.receipt);
        if let Some(notice) = head.notice.filter(|_| !is_forwarded) {
            // The notice applies regardless of the request's outcome.
            self.send_reply(Reply::Notice(notice, head.load)).await;
        }
        if is_foreign {
            let message = "the answer belongs to another request";
            return Err(Failure::new(
                Reason::ForeignAnswer,
                Verdict::MayHaveRun,
                message,
            ));
        }
        if head.not_run {
            return Ok(Answer::NotRun(status, response));
        }
        if head.is_encoded {
            return Err(may_have_run(
                "the body has an encoding that nobody asked for",
            ));
        }
        if status < 300 && !head.receipt {
            return Err(may_have_run("a success without its receipt"));
        }
        let is_stream = metadata.is_some_and(|o| o.stream);
        let mut headers = call::filter_response_headers(headers);
        if is_stream {
            headers.retain(|h| h.name != "content-length");
        }
        self.send_reply(Reply::Head(Head {
            status,
            headers,
            confidence: head.confidence,
            load: head.load,
            notice: head.notice.unwrap_or_default(),
        }))
        .await;
        Ok(Answer::Ran(response))
    }

    /// Forwards the body of a response and pools its connection.
    ///
    /// The connection is pooled before the last part is forwarded: the client may send its next
    /// request as soon as it has that part.
    async fn forward_body(
        &self,
        response: Response<Content>,
        address: SocketAddr,
        channel: Channel,
    ) -> Result<(), Failure> {
        let mut channel = Some(channel);
        let is_stream =
            self.metadata.as_ref().is_some_and(|o| o.stream) && response.status() == 200;
        let mut body = response.into_body();
        let mut events = Events::new(self.max_event);
        let mut read = 0;
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|e| may_have_run(format!("the answer broke off: {e}")))?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            let before = read;
            read += data.len();
            if body.is_end_stream() {
                self.return_channel(address, channel.take());
            }
            match is_stream {
                true => self.forward_events(&mut events, &data).await?,
                false => {
                    let data = data.to_vec();
                    self.send_reply(Reply::Data {
                        data,
                        last_event: None,
                    })
                    .await;
                }
            }
            self.until_read().await;
            self.let_others_go_first(before, read).await;
        }
        self.return_channel(address, channel);
        match events.is_empty() {
            true => Ok(()),
            false => Err(may_have_run("the answer ended inside an event")),
        }
    }

    /// Waits a moment with each step of a long response if others need what it takes.
    async fn let_others_go_first(&self, before: usize, read: usize) {
        let is_step = before / LONG_RESPONSE_STEP < read / LONG_RESPONSE_STEP;
        if is_step && read as u64 > LONG_RESPONSE.bytes() && self.load.is_pressed() {
            task::sleep(LONG_RESPONSE_PAUSE).await;
        }
    }

    /// Waits until the caller has read enough of the response.
    async fn until_read(&self) {
        if self.unread.is_full() {
            self.send_reply(Reply::Paused).await;
            self.unread.drained().await;
            self.send_reply(Reply::Continued).await;
        }
    }

    /// Forwards the events that are complete.
    async fn forward_events(&self, events: &mut Events, data: &[u8]) -> Result<(), Failure> {
        let whole = events.push(data);
        let Some(data) = whole.map_err(|e| may_have_run(e.to_string()))? else {
            return Ok(());
        };
        let last_event = call::last_event_id(&data);
        self.send_reply(Reply::Data { data, last_event }).await;
        Ok(())
    }
}

/// Reads the rest of a refusal so that its connection can be reused, and returns whether it can.
async fn drain(response: Response<Content>) -> bool {
    let mut body = response.into_body();
    let mut read = 0;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return false;
        };
        read += frame.data_ref().map_or(0, Bytes::len);
        if read > MAX_REFUSAL_BYTES {
            return false;
        }
    }
    true
}

fn request_of(
    start: Start,
    metadata: &Metadata,
    time_left: Span,
) -> Result<Request<Full<Bytes>>, Failure> {
    let invalid = |e: hyper::http::Error| Failure::not_run(Reason::BadRequest, e.to_string());
    let mut builder = Request::builder()
        .method(start.call.method.as_str())
        .uri(start.call.path.as_str());
    let forwarded = start.call.headers.iter();
    let forwarded = forwarded.filter(|h| !call::replaces(metadata, &h.name));
    let added = call::headers(metadata, time_left);
    for Header { name, value } in forwarded.chain(&added) {
        match h1::value_of(value) {
            Some(value) => builder = builder.header(name.as_str(), value),
            None => log::warn!("event=header-left-out id={} name={name}", metadata.label),
        }
    }
    builder
        .body(Full::new(Bytes::from(start.call.body)))
        .map_err(invalid)
}
