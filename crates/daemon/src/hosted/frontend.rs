//! Takes callers' requests in and gives them their answers.

use super::event_loop::Message;
use super::shared::Shared;
use async_channel::{Receiver, Sender};
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use bytes::{Bytes, BytesMut};
use futures_lite::FutureExt;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::{Request, Response, StatusCode};
use log::warn;
use sorreldeck::entry::{Part, Payload, Request as EntryRequest, Routed};
use sorreldeck::wire::{Call, Header};
use sorreldeck::{Failure, Reason, RequestId, Span, Verdict};
use sorreldeck_net::h1::{self, Door, Limits};
use sorreldeck_platform::call;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

/// How long a caller that sent too much may come back after.
const COME_BACK: Span = Span::from_millis(500);
/// What is added to the largest head for the request line and our reading.
const LINE: usize = 8 * 1024;

/// Takes connections until the door is shut.
pub async fn listen(listener: TcpListener, shared: Shared, door: Arc<Door>) {
    let shut = door.clone();
    take_in(listener, shared, door).or(shut.wait_shut()).await;
}

async fn take_in(listener: TcpListener, shared: Shared, door: Arc<Door>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                task::spawn(connection(stream, shared.clone(), door.clone()));
            }
            // Out of descriptors, say: the open connections will free some.
            Err(e) => {
                warn!("event=accept-failed at=door error={e}");
                task::sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

async fn connection(stream: TcpStream, shared: Shared, door: Arc<Door>) {
    let limits = shared.limits();
    let limits = Limits {
        head: limits.head.bytes() as usize + LINE,
        head_timeout: limits.head_timeout.into(),
        idle_timeout: limits.idle_timeout.into(),
    };
    let answer = |request| answer(request, shared.clone());
    h1::serve(stream, door, limits, answer).await;
}

/// A request under way; dropping it before its answer is whole tells the loop
/// that the caller went away.
struct Ticket {
    request: RequestId,
    send: Sender<Message>,
    done: bool,
}

impl Drop for Ticket {
    fn drop(&mut self) {
        if !self.done {
            // The loop ends only with the process.
            let _ = self.send.try_send(Message::Disconnected(self.request));
        }
    }
}

/// Memory set aside for a body.
struct Reserve {
    shared: Shared,
    bytes: usize,
}

impl Reserve {
    fn grow(&mut self, bytes: usize) -> bool {
        let fits = self.shared.reserve(bytes);
        if fits {
            self.bytes += bytes;
        }
        fits
    }
}

impl Drop for Reserve {
    fn drop(&mut self) {
        self.shared.release(self.bytes);
    }
}

async fn answer(request: Request<Incoming>, shared: Shared) -> Response<Parts> {
    let mut reserve = Reserve {
        shared: shared.clone(),
        bytes: 0,
    };
    let ask = match read(request, &shared, &mut reserve).await {
        Ok(ask) => ask,
        Err(failure) => return refusal(&failure, None),
    };
    let ticket = Ticket {
        request: ask.request,
        send: shared.send.clone(),
        done: false,
    };
    let (send, parts) = async_channel::unbounded();
    let message = Message::Ask(Box::new(ask), send);
    if shared.send.send(message).await.is_err() {
        let failure = Failure::not_run(Reason::Leaving, "the process is about to end");
        return refusal(&failure, Some(ticket));
    }
    match parts.recv().await {
        Ok(Part::Head { status, headers }) => begun(status, headers, parts, ticket, reserve),
        Ok(Part::Fail(failure)) => refusal(&failure, Some(ticket)),
        Ok(Part::Data(_) | Part::End) | Err(_) => {
            let message = "the answer has no beginning";
            let failure = Failure::new(Reason::Invariant, Verdict::MayHaveRun, message);
            refusal(&failure, Some(ticket))
        }
    }
}

/// Reads a request whole.
async fn read(
    request: Request<Incoming>,
    shared: &Shared,
    reserve: &mut Reserve,
) -> Result<EntryRequest, Failure> {
    let limits = shared.limits();
    let (head, mut body) = request.into_parts();
    let headers = h1::headers_of(&head.headers);
    let asked = call::parse_request(&headers);
    let host = host_of(&head, &headers);
    let path = head.uri.path_and_query().map_or("/", |p| p.as_str());
    let most = limits.body.bytes() as usize;
    if body.size_hint().lower() as usize > most {
        return Err(too_large(most));
    }
    let mut buf = BytesMut::new();
    let idle: Duration = limits.idle_timeout.into();
    loop {
        let frame = async_std::future::timeout(idle, body.frame()).await;
        let slow = |_| Failure::not_run(Reason::TooSlow, "the body did not come in time");
        let Some(frame) = frame.map_err(slow)? else {
            break;
        };
        let broken = |e: hyper::Error| Failure::not_run(Reason::BadRequest, e.to_string());
        let Ok(data) = frame.map_err(broken)?.into_data() else {
            continue;
        };
        if buf.len() + data.len() > most {
            return Err(too_large(most));
        }
        if !reserve.grow(data.len()) {
            let message = "no memory is left for bodies";
            return Err(Failure::not_run(Reason::Overloaded, message).retry_after(COME_BACK));
        }
        buf.extend_from_slice(&data);
    }
    let routed = Routed {
        label: asked.label,
        host,
        call: Call {
            method: head.method.as_str().to_owned(),
            path: path.to_owned(),
            headers: call::filter_request_headers(headers, asked.api_key.is_some()),
            body: buf.to_vec(),
        },
        time_left: asked.time_left,
        any_model: asked.any_model,
        tokens: asked.tokens,
        prefixes: asked.prefixes,
        session: asked.session,
        is_resumption: asked.is_resumption,
    };
    Ok(EntryRequest {
        request: shared.next_request(),
        key: asked.api_key,
        route: None,
        class: None,
        session: None,
        at_most_once: false,
        idempotency_key: None,
        payload: Payload::Routed(Box::new(routed)),
    })
}

/// Returns the host asked for, without the port.
fn host_of(head: &hyper::http::request::Parts, headers: &[Header]) -> String {
    let named = headers.iter().find(|h| h.name == "host");
    let host = match named {
        Some(header) => header.value.as_str(),
        None => head.uri.host().unwrap_or_default(),
    };
    let host = host.split(':').next().unwrap_or_default();
    host.to_ascii_lowercase()
}

fn too_large(most: usize) -> Failure {
    Failure::not_run(
        Reason::TooLarge,
        format!("the body is larger than {most} bytes"),
    )
}

/// Returns the status that tells a failure: one that promises that nothing ran
/// is given only where that is so.
fn status_of(failure: &Failure) -> u16 {
    let status = failure.reason.status();
    let promises = [408, 421, 429, 503].contains(&status);
    match (failure.verdict, failure.reason) {
        (Verdict::NotRun, Reason::TimedOut) => 503,
        (Verdict::NotRun, _) if status >= 500 => 503,
        (Verdict::NotRun, _) => status,
        (_, _) if promises => 502,
        _ => status,
    }
}

fn refusal(failure: &Failure, ticket: Option<Ticket>) -> Response<Parts> {
    if let Some(mut ticket) = ticket {
        ticket.done = true;
    }
    let text = Bytes::from(format!("{}\n", failure.reason));
    let mut response = Response::new(Parts::whole(text));
    let status = StatusCode::from_u16(status_of(failure));
    *response.status_mut() = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    if let (Verdict::NotRun, Some(after)) = (failure.verdict, failure.retry_after) {
        put(&mut response, &call::retry_after(after));
    }
    response
}

fn begun(
    status: u16,
    headers: Vec<Header>,
    parts: Receiver<Part>,
    ticket: Ticket,
    reserve: Reserve,
) -> Response<Parts> {
    let mut response = Response::new(Parts {
        first: None,
        length: length_of(&headers),
        rest: Some(Rest {
            parts: Box::pin(parts),
            ticket,
            given: 0,
            _reserve: reserve,
        }),
    });
    let status = StatusCode::from_u16(status);
    *response.status_mut() = status.unwrap_or(StatusCode::BAD_GATEWAY);
    for header in &headers {
        put(&mut response, header);
    }
    response
}

fn length_of(headers: &[Header]) -> Option<u64> {
    let length = headers.iter().find(|h| h.name == "content-length")?;
    length.value.parse().ok()
}

fn put(response: &mut Response<Parts>, header: &Header) {
    let name = hyper::header::HeaderName::from_bytes(header.name.as_bytes());
    if let (Ok(name), Some(value)) = (name, h1::value_of(&header.value)) {
        response.headers_mut().append(name, value);
    }
}

/// The body of an answer.
struct Parts {
    first: Option<Bytes>,
    length: Option<u64>,
    rest: Option<Rest>,
}

struct Rest {
    parts: Pin<Box<Receiver<Part>>>,
    ticket: Ticket,
    /// The bytes given so far.
    given: u64,
    /// The body of the request may be sent again until the answer is whole.
    _reserve: Reserve,
}

impl Parts {
    fn whole(text: Bytes) -> Parts {
        Parts {
            length: Some(text.len() as u64),
            first: Some(text),
            rest: None,
        }
    }
}

impl Body for Parts {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, std::io::Error>>> {
        use futures_util::Stream as _;
        if let Some(first) = self.first.take() {
            return Poll::Ready(Some(Ok(Frame::data(first))));
        }
        let this = &mut *self;
        let Some(rest) = &mut this.rest else {
            return Poll::Ready(None);
        };
        let part = match rest.parts.as_mut().poll_next(cx) {
            Poll::Pending => return Poll::Pending,
            Poll::Ready(part) => part,
        };
        match part {
            Some(Part::Data(data)) => {
                rest.given += data.len() as u64;
                if this.length.is_some_and(|length| rest.given >= length) {
                    // What is whole by its length is not asked for its end.
                    rest.ticket.done = true;
                }
                Poll::Ready(Some(Ok(Frame::data(data.into()))))
            }
            Some(Part::End) => {
                rest.ticket.done = true;
                this.rest = None;
                Poll::Ready(None)
            }
            // An answer that breaks off must not look whole.
            Some(Part::Fail(_) | Part::Head { .. }) | None => {
                rest.ticket.done = true;
                this.rest = None;
                Poll::Ready(Some(Err(std::io::ErrorKind::ConnectionAborted.into())))
            }
        }
    }

    fn size_hint(&self) -> SizeHint {
        self.length
            .map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}
