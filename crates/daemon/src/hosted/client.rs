//! One run of a request at an upstream that is called directly.
//!
//! Connections are kept for a moment. A call that may run at most once goes over a
//! new one: an upstream may close a kept one without notice, and whether what was
//! sent just then ran would not be known.

use super::event_loop::Message;
use crate::clock::Clock;
use crate::loss;
use async_channel::Sender;
use async_std::future::timeout;
use async_std::task::{self, JoinHandle};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Request, Response};
use sorreldeck::entry::{Head, Reply};
use sorreldeck::pick::Link;
use sorreldeck::wire::{Header, Metadata, Run, Start};
use sorreldeck::{Failure, Reason, Span, Time, Verdict};
use sorreldeck_net::h1::{self, Channel};
use sorreldeck_platform::call;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How long a connection is kept for the next call; upstreams close idle ones
/// after a time of whole seconds.
const KEPT_FOR: Duration = Duration::from_millis(800);
/// The connections kept to one upstream.
const KEPT: usize = 16;
/// How long a connection may take to note the end of an answer before it is given up.
/// It takes one turn of its task, well under a millisecond on an idle machine; the caller
/// has all bytes of its answer meanwhile.
const READY_TIMEOUT: Duration = Duration::from_millis(200);
/// The most of a refusal's body that is read to keep its connection.
const REFUSAL: usize = 4096;

type Pool = Arc<Mutex<HashMap<SocketAddr, Vec<Channel>>>>;

/// Starts runs at upstreams.
pub struct Client {
    kept: Pool,
    tell: Sender<Message>,
    clock: Clock,
}

/// A run; dropping it closes its connection, by which the upstream stops.
pub struct Handle(Option<JoinHandle<()>>);

impl Drop for Handle {
    fn drop(&mut self) {
        if let Some(task) = self.0.take() {
            task::spawn(task.cancel());
        }
    }
}

impl Client {
    /// Creates a caller without connections.
    pub fn new(tell: Sender<Message>, clock: Clock) -> Client {
        Client {
            kept: Pool::default(),
            tell,
            clock,
        }
    }

    /// Closes the connections that are kept: upstreams may have left or closed them meanwhile.
    pub fn forget(&self) {
        self.kept.lock().unwrap_or_else(|e| e.into_inner()).clear();
    }

    /// Starts a run; what the upstream does is told to the loop.
    pub fn open(&self, link: Link, address: Option<SocketAddr>, start: Start) -> Handle {
        let job = Job {
            kept: self.kept.clone(),
            tell: self.tell.clone(),
            link,
            run: start.run,
            order: start.metadata.as_deref().cloned(),
            clock: self.clock.clone(),
            began: self.clock.now(),
            left: Span::from_micros(start.deadline_us),
        };
        Handle(Some(task::spawn(job.work(address, start))))
    }
}

struct Job {
    kept: Pool,
    tell: Sender<Message>,
    link: Link,
    run: Run,
    order: Option<Metadata>,
    clock: Clock,
    began: Time,
    left: Span,
}

/// What an upstream answered.
enum Answer {
    /// The request ran.
    Ran(Response<Incoming>),
    /// The upstream did not run it.
    NotRun(u16, Response<Incoming>),
}

fn unsure(message: impl Into<String>) -> Failure {
    Failure::new(Reason::UpstreamFailed, Verdict::MayHaveRun, message)
}

impl Job {
    async fn work(self, address: Option<SocketAddr>, start: Start) {
        let reply = match (self.exchange(address, start).await, address) {
            (Ok(()), _) => Reply::End,
            (Err(failure), Some(address)) => Reply::Fail(loss::explain(failure, address).await),
            (Err(failure), None) => Reply::Fail(failure),
        };
        self.say(reply).await;
    }

    async fn say(&self, reply: Reply) {
        // The loop ends only with the process.
        let _ = self
            .tell
            .send(Message::Reply(self.link, self.run, reply))
            .await;
    }

    async fn exchange(&self, address: Option<SocketAddr>, start: Start) -> Result<(), Failure> {
        let gone = || Failure::not_run(Reason::Leaving, "the upstream has just left");
        let address = address.ok_or_else(gone)?;
        let order = self.order.as_ref().ok_or_else(gone)?;
        let mut channel = self.channel(address, order.at_most_once).await?;
        let left = self.left_now()?;
        let request = request_of(start, order, left)?;
        let sent = channel.send(request).await;
        let response = sent.map_err(|e| match e.unsent {
            true => Failure::not_run(Reason::LinkLost, e.message),
            false => unsure(e.message),
        })?;
        match self.read_head(response).await? {
            Answer::Ran(response) => self.pass_body(response).await?,
            Answer::NotRun(status, response) => {
                drain(response).await;
                self.keep(address, channel).await;
                let reason = match status {
                    421 => Reason::Leaving,
                    _ => Reason::Overloaded,
                };
                return Err(Failure::not_run(reason, format!("refused with {status}")));
            }
        }
        self.keep(address, channel).await;
        Ok(())
    }

    /// Returns the time left for the upstream.
    fn left_now(&self) -> Result<Span, Failure> {
        let used = self.clock.now().since(self.began);
        match self.left > used {
            true => Ok(self.left - used),
            false => Err(Failure::not_run(Reason::TimedOut, "no time is left")),
        }
    }

    async fn channel(&self, address: SocketAddr, fresh: bool) -> Result<Channel, Failure> {
        if !fresh {
            if let Some(channel) = self.kept_channel(address) {
                return Ok(channel);
            }
        }
        Channel::open(address)
            .await
            .map_err(|e| Failure::not_run(Reason::LinkLost, format!("no connection: {e}")))
    }

    fn kept_channel(&self, address: SocketAddr) -> Option<Channel> {
        let mut kept = self.kept.lock().unwrap_or_else(|e| e.into_inner());
        let channels = kept.get_mut(&address)?;
        while let Some(channel) = channels.pop() {
            if channel.is_open() && channel.free_since.elapsed() < KEPT_FOR {
                return Some(channel);
            }
        }
        None
    }

    async fn keep(&self, address: SocketAddr, mut channel: Channel) {
        let ready = timeout(READY_TIMEOUT, channel.ready()).await;
        if ready != Ok(true) || !channel.is_open() {
            return;
        }
        channel.free_since = Instant::now();
        let mut kept = self.kept.lock().unwrap_or_else(|e| e.into_inner());
        let channels = kept.entry(address).or_default();
        channels.retain(|c| c.free_since.elapsed() < KEPT_FOR);
        if channels.len() < KEPT {
            channels.push(channel);
        }
    }

    /// Checks that the answer belongs to the request and is one.
    async fn read_head(&self, response: Response<Incoming>) -> Result<Answer, Failure> {
        let status = response.status().as_u16();
        let headers = h1::headers_of(response.headers());
        let told = call::parse_response(status, &headers);
        let order = self.order.as_ref();
        let label = order.map(|o| o.label.as_str());
        let is_foreign = told.label.is_some() && told.label.as_deref() != label;
        let is_given = !is_foreign && !told.not_run && (status >= 300 || told.receipt);
        if let Some(notice) = told.notice.filter(|_| !is_given) {
            // What the upstream says of itself holds whatever becomes of the request.
            self.say(Reply::Notice(notice, told.load)).await;
        }
        if is_foreign {
            let message = "the answer belongs to another request";
            return Err(Failure::new(
                Reason::ForeignAnswer,
                Verdict::MayHaveRun,
                message,
            ));
        }
        if told.not_run {
            return Ok(Answer::NotRun(status, response));
        }
        if status < 300 && !told.receipt {
            return Err(unsure("a success without its receipt"));
        }
        let stream = order.is_some_and(|o| o.stream);
        let mut headers = call::filter_response_headers(headers);
        if stream {
            headers.retain(|h| h.name != "content-length");
        }
        self.say(Reply::Head(Head {
            status,
            headers,
            confidence: told.confidence,
            load: told.load,
            notice: told.notice.unwrap_or_default(),
        }))
        .await;
        Ok(Answer::Ran(response))
    }

    async fn pass_body(&self, response: Response<Incoming>) -> Result<(), Failure> {
        let stream = self.order.as_ref().is_some_and(|o| o.stream) && response.status() == 200;
        let mut body = response.into_body();
        let mut pending = Vec::new();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|e| unsure(format!("the answer broke off: {e}")))?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            match stream {
                true => {
                    pending.extend_from_slice(&data);
                    self.pass_events(&mut pending).await;
                }
                false => {
                    let data = data.to_vec();
                    self.say(Reply::Data {
                        data,
                        last_event: None,
                    })
                    .await;
                }
            }
        }
        match pending.is_empty() {
            true => Ok(()),
            false => Err(unsure("the answer ended inside an event")),
        }
    }

    /// Passes on the events that are whole.
    async fn pass_events(&self, pending: &mut Vec<u8>) {
        let end = pending.windows(2).rposition(|pair| pair == b"\n\n");
        let Some(end) = end else {
            return;
        };
        let rest = pending.split_off(end + 2);
        let data = std::mem::replace(pending, rest);
        let last = call::last_event_id(&data);
        self.say(Reply::Data {
            data,
            last_event: last,
        })
        .await;
    }
}

/// Reads the rest of a refusal, so that its connection can be used again.
async fn drain(response: Response<Incoming>) {
    let mut body = response.into_body();
    let mut read = 0;
    while let Some(Ok(frame)) = body.frame().await {
        read += frame.data_ref().map_or(0, Bytes::len);
        if read > REFUSAL {
            return;
        }
    }
}

fn request_of(start: Start, order: &Metadata, left: Span) -> Result<Request<Full<Bytes>>, Failure> {
    let bad = |e: hyper::http::Error| Failure::not_run(Reason::BadRequest, e.to_string());
    let mut builder = Request::builder()
        .method(start.call.method.as_str())
        .uri(start.call.path.as_str());
    let kept = start.call.headers.iter();
    let kept = kept.filter(|h| !call::replaces(order, &h.name));
    let added = call::headers(order, left);
    for Header { name, value } in kept.chain(&added) {
        match h1::value_of(value) {
            Some(value) => builder = builder.header(name.as_str(), value),
            None => log::warn!("event=header-left-out id={} name={name}", order.label),
        }
    }
    builder
        .body(Full::new(Bytes::from(start.call.body)))
        .map_err(bad)
}
