//! The HTTP API for callers: chat completions, models, plain services and health.

use crate::entry::{Message, Shared};
use async_channel::Receiver;
use async_std::future::timeout;
use async_std::io::ReadExt;
use futures_lite::FutureExt;
use serde_json::{json, Value};
use sorreldeck::entry::{Chat, Part, Payload, Request as EntryRequest};
use sorreldeck::header;
use sorreldeck::route::{self, Caller};
use sorreldeck::wire::{Call, Header};
use sorreldeck::{Failure, Reason, RequestId, Size, Span, Verdict};
use sorreldeck_net::http::{self, Piece, Stream};
use sorreldeck_net::socket::Socket;
use std::net::SocketAddr;
use tide::{Body, Request, Response, StatusCode};

/// The internal header in which the event loop gives a handler the address of the legacy
/// scripts that a call is forwarded to.
pub const FORWARD: &str = "x-sorreldeck-forward";

/// The largest response body, in bytes, that is buffered; a longer one is streamed.
const MAX_BUFFERED: u64 = 1 << 20;

/// Adds the routes for callers.
pub fn routes(app: &mut tide::Server<Shared>) {
    app.at("/health").get(|_| async { Ok("ok\n") });
    app.at("/ready").get(ready);
    app.at("/metrics").get(metrics);
    app.at("/v1/models").get(models);
    app.at("/v1/chat/completions").post(chat);
    app.at("/").all(plain);
    app.at("/*").all(plain);
}

async fn ready(request: Request<Shared>) -> tide::Result {
    match request.state().is_ready() {
        true => Ok("ready\n".into()),
        false => Ok(Response::builder(503).body("not ready\n").build()),
    }
}

async fn metrics(request: Request<Shared>) -> tide::Result {
    match request
        .state()
        .query(|event_loop| event_loop.metrics_text())
        .await
    {
        Some(text) => Ok(text.into()),
        None => Ok(Response::new(503)),
    }
}

/// Returns the bearer token of a request: an API key or an operator's token.
pub fn bearer_token(request: &Request<Shared>) -> Option<String> {
    let value = request.header("authorization")?.as_str();
    Some(value.strip_prefix("Bearer ")?.trim().to_owned())
}

fn header_value(request: &Request<Shared>, name: &str) -> Option<String> {
    request.header(name).map(|v| v.as_str().to_owned())
}

async fn models(request: Request<Shared>) -> tide::Result {
    let tree = request.state().tree();
    let key = bearer_token(&request);
    let route = header_value(&request, header::ROUTE);
    let caller = Caller {
        key: key.as_deref(),
        route: route.as_deref(),
        class: None,
    };
    let context = match route::identify(&tree, &caller) {
        Ok(context) => context,
        Err(failure) => return Ok(error_response(None, &failure)),
    };
    let names = context.node.models.iter().flatten();
    let data: Vec<Value> = names
        .map(|name| json!({"id": name, "object": "model", "created": 0, "owned_by": "sorreldeck"}))
        .collect();
    Ok(json!({"object": "list", "data": data}).into())
}

async fn chat(request: Request<Shared>) -> tide::Result {
    serve(request, |_, body| {
        let chat = Chat::from_slice(&body)?;
        Ok(Payload::Chat(Box::new(chat)))
    })
    .await
}

async fn plain(request: Request<Shared>) -> tide::Result {
    serve(request, |mut call, body| {
        // The API key authenticates to sorreldeck and must not reach the service.
        call.headers.retain(|h| h.name != "authorization");
        Ok(Payload::Plain(Call { body, ..call }))
    })
    .await
}

/// Serves one request; `read` makes the payload from the call and its body.
async fn serve(
    mut request: Request<Shared>,
    read: fn(Call, Vec<u8>) -> Result<Payload, Failure>,
) -> tide::Result {
    let shared = request.state().clone();
    let id = shared.next_request();
    let call = to_call(&request);
    let parsed = match receive_body(&mut request, &shared).await {
        Ok(body) => read(call.clone(), body.clone()).map(|payload| (payload, body)),
        Err(failure) => Err(failure),
    };
    let (payload, body) = match parsed {
        Ok(parsed) => parsed,
        Err(failure) => {
            return Ok(refuse_unread(&request, id, &failure));
        }
    };
    let entry_request = entry_request(&request, id, payload);
    let (send, parts) = async_channel::unbounded();
    let message = Message::Request(Box::new(entry_request), send);
    if shared.send.send(message).await.is_err() {
        let failure = Failure::not_run(Reason::Leaving, "this entry has stopped");
        return Ok(error_response(Some(id), &failure));
    }
    let connection = request.ext::<Socket>().cloned();
    let call = Call { body, ..call };
    Ok(answer(&shared, id, call, parts, connection).await)
}

/// Refuses a request whose body may not have been read to its end.
fn refuse_unread(request: &Request<Shared>, id: RequestId, failure: &Failure) -> Response {
    let mut response = error_response(Some(id), failure);
    // On a kept connection the rest of the body would be read as the next request.
    response.insert_header("connection", "close");
    // The server reads a request to its end before it closes the connection, so a
    // slow sender could keep it open forever; the shutdown ends the request here.
    if let Some(stream) = request.ext::<Socket>() {
        let _ = stream.stream().shutdown(std::net::Shutdown::Read);
    }
    response
}

fn to_call(request: &Request<Shared>) -> Call {
    let url = request.url();
    let path = match url.query() {
        Some(query) => format!("{}?{query}", url.path()),
        None => url.path().to_owned(),
    };
    let mut headers = Vec::new();
    for (name, values) in request.iter() {
        let name = name.as_str();
        let own = name.starts_with("x-sorreldeck-") || name == "host";
        if own || !crate::upstream::is_end_to_end(name) {
            continue;
        }
        for value in values {
            headers.push(Header::new(name, value.as_str()));
        }
    }
    Call {
        method: request.method().to_string(),
        path,
        headers,
        body: Vec::new(),
    }
}

fn entry_request(request: &Request<Shared>, id: RequestId, parsed: Payload) -> EntryRequest {
    EntryRequest {
        request: id,
        key: bearer_token(request),
        route: header_value(request, header::ROUTE),
        class: header_value(request, header::CLASS),
        session: header_value(request, header::SESSION),
        at_most_once: header_value(request, header::ONCE).as_deref() == Some("true"),
        idempotency_key: header_value(request, header::IDEMPOTENCY_KEY),
        payload: parsed,
    }
}

/// Reads the body within the size and time limits of the caller's node. An unknown
/// caller is refused before its body is read.
async fn receive_body(request: &mut Request<Shared>, shared: &Shared) -> Result<Vec<u8>, Failure> {
    let key = bearer_token(request);
    let route = header_value(request, header::ROUTE);
    let caller = Caller {
        key: key.as_deref(),
        route: route.as_deref(),
        class: None,
    };
    let context = route::identify(&shared.tree(), &caller)?;
    let limit = context.node.max_body();
    let expected = request.len();
    if expected.is_some_and(|len| len as u64 > limit.bytes()) {
        return Err(too_large(limit));
    }
    let span = context.node.body_timeout();
    let body = timeout(span.into(), read_body(request, limit))
        .await
        .map_err(|_| too_slow(span))??;
    if expected.is_some_and(|len| body.len() < len) {
        let message = "the body ended before its stated length";
        return Err(Failure::not_run(Reason::BadRequest, message));
    }
    Ok(body)
}

fn too_large(limit: Size) -> Failure {
    Failure::not_run(Reason::TooLarge, format!("the body may be at most {limit}"))
}

fn too_slow(span: Span) -> Failure {
    Failure::not_run(Reason::TooSlow, format!("the body must come within {span}"))
}

async fn read_body(request: &mut Request<Shared>, limit: Size) -> Result<Vec<u8>, Failure> {
    let mut body = Vec::new();
    let mut buf = vec![0; 16 * 1024];
    loop {
        let n = request.read(&mut buf).await.map_err(|e| {
            Failure::not_run(
                Reason::BadRequest,
                format!("the body could not be read: {e}"),
            )
        })?;
        if n == 0 {
            return Ok(body);
        }
        body.extend_from_slice(&buf[..n]);
        if body.len() as u64 > limit.bytes() {
            return Err(too_large(limit));
        }
    }
}

/// Waits for the first part of the answer and returns the response. If the caller
/// disconnects first, the event loop is notified; if it does so later, the loop finds
/// the channel of the parts closed.
async fn answer(
    shared: &Shared,
    id: RequestId,
    call: Call,
    parts: Receiver<Part>,
    connection: Option<Socket>,
) -> Response {
    let first = async { parts.recv().await.ok() };
    let disconnected = async {
        match &connection {
            Some(stream) => http::closed(stream).await,
            None => futures_lite::future::pending().await,
        }
        None
    };
    match first.or(disconnected).await {
        Some(Part::Head { status: 0, headers }) => forward(shared, id, call, &headers).await,
        Some(Part::Head { status, headers }) => respond(id, status, headers, parts).await,
        Some(Part::Fail(failure)) => error_response(Some(id), &failure),
        Some(Part::Data(_) | Part::End) => {
            let message = "the answer has no head";
            error_response(
                Some(id),
                &Failure::new(Reason::Invariant, Verdict::Ran, message),
            )
        }
        None => {
            parts.close();
            let message = sorreldeck::entry::Input::Disconnected(id);
            let _ = shared.send.send(Message::Input(message)).await;
            let failure = Failure::new(
                Reason::Cancelled,
                Verdict::MayHaveRun,
                "the caller went away",
            );
            error_response(Some(id), &failure)
        }
    }
}

async fn respond(
    id: RequestId,
    status: u16,
    headers: Vec<Header>,
    parts: Receiver<Part>,
) -> Response {
    let Some(mut response) = response_of(status, &headers) else {
        let message = "the answer has a status or bytes that this interface cannot send";
        let failure = Failure::new(Reason::UpstreamFailed, Verdict::Ran, message);
        return error_response(Some(id), &failure);
    };
    let streamed = http::find_header(&headers, "content-type")
        .is_some_and(|v| v.starts_with("text/event-stream"));
    if streamed {
        response.set_body(Body::from_reader(Stream::new(parts, event_piece), None));
        return with_content_type(response, &headers);
    }
    let mut body = Vec::new();
    while let Ok(part) = parts.recv().await {
        match part {
            Part::Data(data) => body.extend_from_slice(&data),
            Part::End => break,
            Part::Fail(failure) => return error_response(Some(id), &failure),
            Part::Head { .. } => {}
        }
        if body.len() as u64 > MAX_BUFFERED {
            return stream_rest(response, &headers, body, parts);
        }
    }
    response.set_body(body);
    with_content_type(response, &headers)
}

/// Returns a response without a body, or `None` where tide knows no such status or bytes.
fn response_of(status: u16, headers: &[Header]) -> Option<Response> {
    let status = StatusCode::try_from(status).ok()?;
    let mut response = Response::new(status);
    for header in headers {
        let is_sendable = header.name.is_ascii() && header.value.is_ascii();
        is_sendable.then(|| response.append_header(header.name.as_str(), header.value.as_str()))?;
    }
    Some(response)
}

/// Returns a response that streams the rest of an answer that is too long to buffer.
fn stream_rest(
    mut response: Response,
    headers: &[Header],
    body: Vec<u8>,
    parts: Receiver<Part>,
) -> Response {
    let start = async_std::io::Cursor::new(body);
    let rest = Stream::new(parts, plain_piece);
    let whole = async_std::io::BufReader::new(start.chain(rest));
    response.set_body(Body::from_reader(whole, None));
    with_content_type(response, headers)
}

/// Sets the content type again, since setting a body replaces it.
fn with_content_type(mut response: Response, headers: &[Header]) -> Response {
    if let Some(kind) = http::find_header(headers, "content-type") {
        response.insert_header("content-type", kind);
    }
    response
}

/// Returns the bytes of a part of an event stream. A failure becomes an event of its
/// own, after which the connection is aborted.
fn event_piece(part: Part) -> Piece {
    match part {
        Part::Fail(failure) => Piece {
            data: format!("data: {}\n\n", error_body(None, &failure)).into_bytes(),
            broken: true,
        },
        part => plain_piece(part),
    }
}

fn plain_piece(part: Part) -> Piece {
    match part {
        Part::Data(data) => data.into(),
        Part::Head { .. } | Part::End => Piece::default(),
        Part::Fail(_) => Piece {
            data: Vec::new(),
            broken: true,
        },
    }
}

/// Forwards a call to the legacy scripts.
async fn forward(shared: &Shared, id: RequestId, call: Call, headers: &[Header]) -> Response {
    let address = http::find_header(headers, FORWARD).and_then(|a| a.parse::<SocketAddr>().ok());
    let Some(address) = address else {
        let message = "the address of the old scripts is not understood";
        return error_response(Some(id), &Failure::not_run(Reason::NoUpstream, message));
    };
    let sent = shared.client.send(address, &call, false).await;
    let mut incoming = match sent {
        Ok(incoming) => incoming,
        Err(trouble) => {
            let message = format!("the old scripts: {}", trouble.message);
            let failure = Failure::new(Reason::UpstreamFailed, trouble.verdict, message);
            return error_response(Some(id), &failure);
        }
    };
    let passed = incoming.headers.iter();
    let mut headers: Vec<Header> = passed
        .filter(|h| crate::upstream::is_end_to_end(&h.name))
        .cloned()
        .collect();
    headers.push(Header::new(header::REQUEST, id));
    headers.push(Header::new(header::VERDICT, Verdict::Ran));
    let status = incoming.status;
    let (send, parts) = async_channel::bounded(16);
    async_std::task::spawn(async move {
        loop {
            let part = match incoming.next().await {
                Ok(Some(data)) => Part::Data(data),
                Ok(None) => Part::End,
                Err(trouble) => Part::Fail(Failure::new(
                    Reason::UpstreamFailed,
                    Verdict::Ran,
                    trouble.message,
                )),
            };
            let last = !matches!(part, Part::Data(_));
            if send.send(part).await.is_err() || last {
                return;
            }
        }
    });
    respond(id, status, headers, parts).await
}

/// Returns the response that reports a failure to a caller.
pub fn error_response(id: Option<RequestId>, failure: &Failure) -> Response {
    let mut response = Response::new(failure.reason.status());
    response.set_body(error_body(id, failure));
    response.insert_header(header::VERDICT, failure.verdict.as_str());
    if let Some(id) = id {
        response.insert_header(header::REQUEST, id.to_string());
    }
    if let Some(span) = failure.retry_after {
        // The header has whole seconds, rounded up; the body has the exact time.
        let seconds = span.millis().div_ceil(1000).max(1);
        response.insert_header("retry-after", seconds.to_string());
    }
    response
}

fn error_body(id: Option<RequestId>, failure: &Failure) -> Value {
    let kind = match failure.reason.status() {
        401 => "authentication_error",
        403 => "permission_error",
        429 => "rate_limit_error",
        400..=499 => "invalid_request_error",
        _ => "server_error",
    };
    json!({
        "error": {
            "message": failure.message,
            "type": kind,
            "code": failure.reason.code(),
            "param": null,
            "verdict": failure.verdict,
            "retry_after_ms": failure.retry_after.map(Span::millis),
            "request": id.map(|id| id.to_string()),
        }
    })
}

/// Returns the text of an engine's answer, whether a single object or an event stream.
pub fn answer_text(answer: &[u8]) -> String {
    let piece = |value: &Value, field: &str| {
        let content = &value["choices"][0][field]["content"];
        content.as_str().unwrap_or_default().to_owned()
    };
    if let Ok(value) = serde_json::from_slice::<Value>(answer) {
        return piece(&value, "message");
    }
    let answer = String::from_utf8_lossy(answer);
    let events = answer.lines().filter_map(|l| l.strip_prefix("data: "));
    events
        .filter_map(|data| serde_json::from_str::<Value>(data).ok())
        .map(|value| piece(&value, "delta"))
        .collect()
}
