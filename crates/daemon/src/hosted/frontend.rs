//! The frontend: accepts requests of clients and sends the responses.

use super::load::{Active, Connection, Load};
use super::message::Message;
use super::refusals::Refusals;
use super::response::{self, Reader};
use super::shared::Shared;
use async_channel::Sender;
use async_io::Async;
use async_std::task;
use bytes::{Bytes, BytesMut};
use futures_lite::FutureExt;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, SizeHint};
use hyper::{Request, Response, StatusCode};
use log::warn;
use sorreldeck::entry::{Part, Payload, Request as EntryRequest, Routed};
use sorreldeck::wire::{Call, Header};
use sorreldeck::{Failure, Reason, RequestId, Span, Verdict};
use sorreldeck_net::h1::{self, Activity, Content, Door, Limits};
use sorreldeck_net::socket::Socket;
use sorreldeck_platform::call;
use std::net::TcpListener;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

/// The `Retry-After` of requests that are refused because no memory is left for their bodies.
const MEMORY_RETRY_AFTER: Span = Span::from_millis(500);
/// Bytes that are added to the maximum size of a head, for the request line and the read buffer.
const HEAD_MARGIN: usize = 8 * 1024;

/// The connections that are accepted in a row before other tasks run.
const ACCEPTED_IN_A_ROW: usize = 64;
/// The bytes that leave with the head of a response, about: the head itself, and the packets that
/// open and close the connection.
const HEAD_BYTES: usize = 600;
/// The bytes that leave with each part, about: its mark, the headers of its packet, and the packet
/// that acknowledges it to the upstream.
const PART_BYTES: usize = 140;

/// Accepts connections until the door is shut.
pub async fn listen(listener: Async<TcpListener>, shared: Shared, door: Arc<Door>) {
    let shut = door.clone();
    accept_all(listener, shared, door)
        .or(shut.wait_shut())
        .await;
}

async fn accept_all(listener: Async<TcpListener>, shared: Shared, door: Arc<Door>) {
    let mut in_a_row = 0;
    loop {
        in_a_row += 1;
        if in_a_row % ACCEPTED_IN_A_ROW == 0 {
            task::yield_now().await;
        }
        match listener.read_with(|listener| listener.accept()).await {
            Ok((stream, _)) => {
                // A connection that is not accepted is closed by dropping its stream unread.
                let activity = Arc::new(Activity::default());
                activity.open(&door);
                if let Some(accepted) = shared.load.accept(&door, activity.clone()) {
                    let stream = Socket::from(stream);
                    let (shared, door) = (shared.clone(), door.clone());
                    task::spawn(connection(stream, accepted, activity, shared, door));
                }
            }
            // For example, no file descriptors are left; connections that close will free some.
            Err(e) => {
                warn!("event=accept-failed at=door error={e}");
                task::sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

async fn connection(
    stream: Socket,
    accepted: Connection,
    activity: Arc<Activity>,
    shared: Shared,
    door: Arc<Door>,
) {
    let limits = shared.limits();
    let limits = Limits {
        head: limits.head.bytes() as usize + HEAD_MARGIN,
        head_timeout: limits.head_timeout.into(),
        idle_timeout: limits.idle_timeout.into(),
    };
    let refusals = Refusals::new(shared.load.clone());
    let handle_request = |request| {
        let (shared, refusals, accepted) = (shared.clone(), &refusals, &accepted);
        async move {
            if let Some(wait) = refusals.wait() {
                task::sleep(wait.into()).await;
            }
            let active = accepted.begin();
            let response = handle_request(request, active, shared).await;
            if response.body().is_refusal() {
                refusals.count();
            }
            response
        }
    };
    let served = h1::serve(stream, door, activity, limits, handle_request);
    served.or(accepted.ended()).await;
}

/// A request in progress. If it is dropped before its response is complete, the event loop
/// learns that the client disconnected.
struct DisconnectGuard {
    request: RequestId,
    send: Sender<Message>,
    done: bool,
}

impl Drop for DisconnectGuard {
    fn drop(&mut self) {
        if !self.done {
            // Sending fails only while the process ends, since the event loop runs until then.
            let _ = self.send.try_send(Message::Disconnected(self.request));
        }
    }
}

/// Memory that is reserved for a request body.
struct Reservation {
    shared: Shared,
    bytes: usize,
}

impl Reservation {
    fn grow(&mut self, bytes: usize) -> bool {
        let fits = self.shared.reserve(bytes);
        if fits {
            self.bytes += bytes;
        }
        fits
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.shared.release(self.bytes);
    }
}

async fn handle_request(
    request: Request<Content>,
    active: Active,
    shared: Shared,
) -> Response<ResponseBody> {
    let mut reservation = Reservation {
        shared: shared.clone(),
        bytes: 0,
    };
    let request = match read(request, &shared, &mut reservation).await {
        Ok(request) => request,
        Err(failure) => return error_response(&failure, None),
    };
    let guard = DisconnectGuard {
        request: request.request,
        send: shared.send.clone(),
        done: false,
    };
    let (writer, mut reader) = response::channel();
    let message = Message::Request(Box::new(request), writer);
    if shared.send.send(message).await.is_err() {
        let failure = Failure::not_run(Reason::Leaving, "the process is about to end");
        return error_response(&failure, Some(guard));
    }
    match reader.read().await {
        Some(Part::Head { status, headers }) => {
            shared.load.send(HEAD_BYTES);
            let rest = Streamed {
                reader,
                guard,
                sent: 0,
                load: shared.load.clone(),
                _active: active,
                _reserve: reservation,
            };
            streaming_response(status, headers, rest)
        }
        Some(Part::Fail(failure)) => error_response(&failure, Some(guard)),
        Some(Part::Data(_) | Part::End) | None => {
            let message = "the answer has no beginning";
            let failure = Failure::new(Reason::Invariant, Verdict::MayHaveRun, message);
            error_response(&failure, Some(guard))
        }
    }
}

/// Reads a whole request.
async fn read(
    request: Request<Content>,
    shared: &Shared,
    reservation: &mut Reservation,
) -> Result<EntryRequest, Failure> {
    let limits = shared.limits();
    let (head, mut body) = request.into_parts();
    let headers = h1::headers_of(&head.headers);
    let asked = call::parse_request(&headers);
    let host = host_of(&head, &headers);
    let path = head.uri.path_and_query().map_or("/", |p| p.as_str());
    let max_bytes = limits.body.bytes() as usize;
    if body.size_hint().lower() as usize > max_bytes {
        return Err(too_large(max_bytes));
    }
    let mut buf = BytesMut::new();
    let idle: Duration = limits.idle_timeout.into();
    loop {
        let frame = async_std::future::timeout(idle, body.frame()).await;
        let timed_out = |_| Failure::not_run(Reason::TooSlow, "the body did not come in time");
        let Some(frame) = frame.map_err(timed_out)? else {
            break;
        };
        let read_error = |e: hyper::Error| Failure::not_run(Reason::BadRequest, e.to_string());
        let Ok(data) = frame.map_err(read_error)?.into_data() else {
            continue;
        };
        if buf.len() + data.len() > max_bytes {
            return Err(too_large(max_bytes));
        }
        if !reservation.grow(data.len()) {
            let message = "no memory is left for bodies";
            return Err(
                Failure::not_run(Reason::Overloaded, message).retry_after(MEMORY_RETRY_AFTER)
            );
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
        max_tokens: asked.max_tokens,
        prefixes: asked.prefixes,
        parts: asked.parts,
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

/// Returns the requested host in lower case, without the port.
fn host_of(head: &hyper::http::request::Parts, headers: &[Header]) -> String {
    let named = headers.iter().find(|h| h.name == "host");
    let host = match named {
        Some(header) => header.value.as_str(),
        None => head.uri.host().unwrap_or_default(),
    };
    let host = host.split(':').next().unwrap_or_default();
    host.to_ascii_lowercase()
}

fn too_large(max_bytes: usize) -> Failure {
    Failure::not_run(
        Reason::TooLarge,
        format!("the body is larger than {max_bytes} bytes"),
    )
}

/// Returns the status for a failure. A status that promises that nothing ran is used only if
/// that is so.
fn status_of(failure: &Failure) -> u16 {
    let status = failure.reason.status();
    let promises_not_run = [408, 421, 429, 503].contains(&status);
    match (failure.verdict, failure.reason) {
        (Verdict::NotRun, Reason::TimedOut) => 503,
        (Verdict::NotRun, _) if status >= 500 => 503,
        (Verdict::NotRun, _) => status,
        (_, _) if promises_not_run => 502,
        _ => status,
    }
}

fn error_response(failure: &Failure, guard: Option<DisconnectGuard>) -> Response<ResponseBody> {
    if let Some(mut guard) = guard {
        guard.done = true;
    }
    let text = Bytes::from(format!("{}\n", failure.reason));
    let mut response = Response::new(ResponseBody::whole(text));
    let status = StatusCode::from_u16(status_of(failure));
    *response.status_mut() = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    if let (Verdict::NotRun, Some(after)) = (failure.verdict, failure.retry_after) {
        append_header(&mut response, &call::retry_after(after));
    }
    response
}

fn streaming_response(status: u16, headers: Vec<Header>, rest: Streamed) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody {
        first: None,
        length: length_of(&headers),
        rest: Some(rest),
    });
    let status = StatusCode::from_u16(status);
    *response.status_mut() = status.unwrap_or(StatusCode::BAD_GATEWAY);
    for header in &headers {
        append_header(&mut response, header);
    }
    response
}

fn length_of(headers: &[Header]) -> Option<u64> {
    let length = headers.iter().find(|h| h.name == "content-length")?;
    length.value.parse().ok()
}

fn append_header(response: &mut Response<ResponseBody>, header: &Header) {
    let name = hyper::header::HeaderName::from_bytes(header.name.as_bytes());
    if let (Ok(name), Some(value)) = (name, h1::value_of(&header.value)) {
        response.headers_mut().append(name, value);
    }
}

/// The body of a response.
struct ResponseBody {
    first: Option<Bytes>,
    length: Option<u64>,
    rest: Option<Streamed>,
}

struct Streamed {
    reader: Reader,
    guard: DisconnectGuard,
    /// The number of bytes sent so far.
    sent: u64,
    load: Load,
    _active: Active,
    /// The request body may be sent to another upstream until the response is complete.
    _reserve: Reservation,
}

impl ResponseBody {
    /// Returns whether the entry itself has answered.
    fn is_refusal(&self) -> bool {
        self.rest.is_none()
    }

    fn whole(text: Bytes) -> ResponseBody {
        ResponseBody {
            length: Some(text.len() as u64),
            first: Some(text),
            rest: None,
        }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, std::io::Error>>> {
        if let Some(first) = self.first.take() {
            return Poll::Ready(Some(Ok(Frame::data(first))));
        }
        let this = &mut *self;
        let Some(rest) = &mut this.rest else {
            return Poll::Ready(None);
        };
        let part = match rest.reader.poll_read(cx) {
            Poll::Pending => return Poll::Pending,
            Poll::Ready(part) => part,
        };
        match part {
            Some(Part::Data(data)) => {
                rest.load.pass_on(data.len() + PART_BYTES, rest.sent);
                rest.sent += data.len() as u64;
                if this.length.is_some_and(|length| rest.sent >= length) {
                    // hyper does not poll for the end of a body that is complete by its length.
                    rest.guard.done = true;
                }
                Poll::Ready(Some(Ok(Frame::data(data.into()))))
            }
            Some(Part::End) => {
                rest.guard.done = true;
                this.rest = None;
                Poll::Ready(None)
            }
            // A response that is cut off must not look complete.
            Some(Part::Fail(_) | Part::Head { .. }) | None => {
                rest.guard.done = true;
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
