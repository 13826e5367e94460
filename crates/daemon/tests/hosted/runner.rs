//! Stand-in of an upstream that behaves as the last part of each request's path says.

use super::store::{header, read_message};
use async_channel::{Receiver, Sender};
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Time for which a request runs before it crashes its upstream.
const CRASHES_AFTER: Duration = Duration::from_millis(60);
/// Duration of a request that runs long enough for a crash to break it.
const STEADY: Duration = Duration::from_millis(150);

/// Number of events of a long stream and the bytes of each.
pub const EVENTS: usize = 4096;
pub const EVENT_BYTES: usize = 16 * 1024;

/// Number of events of a paced stream and the time between two of them.
const PACED_EVENTS: usize = 12;
const PACE: Duration = Duration::from_millis(40);

/// Bytes of a large answer: more than the sockets of a loopback connection hold.
pub const LARGE_BYTES: usize = 400_000;

/// Number of events of a stream that pauses in the middle, and the length of the pause.
pub const PAUSING_EVENTS: u64 = 40;
const PAUSES_FOR: Duration = Duration::from_millis(3_000);

/// A request that an upstream got, and when.
#[derive(Clone, Debug)]
pub struct Seen {
    pub at: Instant,
    pub head: String,
    pub body: Vec<u8>,
}

/// A stand-in of an upstream.
#[derive(Clone)]
pub struct Upstream {
    pub id: String,
    pub address: SocketAddr,
    seen: Arc<Mutex<Vec<Seen>>>,
    left: Arc<Mutex<u32>>,
    connections: Arc<Mutex<u32>>,
    sent_bytes: Arc<Mutex<usize>>,
    refused: Refused,
    /// Whether it refuses all requests.
    is_full: Arc<AtomicBool>,
    /// Header lines added to all answers.
    headers: Arc<Mutex<String>>,
    /// The answer to `raw` requests, whose connection is closed after it.
    raw: Arc<Mutex<Vec<u8>>>,
    /// Channel that is open until the simulated process crashes.
    life: (Sender<()>, Receiver<()>),
}

/// Paths that one of the upstreams has refused once.
pub type Refused = Arc<Mutex<BTreeSet<String>>>;

impl Upstream {
    pub async fn start(id: &str, refused: &Refused) -> Upstream {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let upstream = Upstream {
            id: id.to_owned(),
            address: listener.local_addr().unwrap(),
            seen: Arc::default(),
            left: Arc::default(),
            connections: Arc::default(),
            sent_bytes: Arc::default(),
            refused: refused.clone(),
            is_full: Arc::default(),
            headers: Arc::default(),
            raw: Arc::default(),
            life: async_channel::bounded(1),
        };
        let serving = upstream.clone();
        let accept = async move {
            while let Ok((stream, _)) = listener.accept().await {
                *serving.connections.lock().unwrap() += 1;
                let dead = serving.clone();
                let serve = serving.clone().serve(stream);
                task::spawn(serve.or(async move { dead.ended().await }));
            }
        };
        let dead = upstream.clone();
        task::spawn(accept.or(async move { dead.ended().await }));
        upstream
    }

    /// Refuses all requests from now on.
    pub fn fill(&self) {
        self.is_full.store(true, Ordering::Relaxed);
    }

    /// Simulates a crash of the process: the listener and all connections close.
    pub fn crash(&self) {
        self.life.0.close();
    }

    /// Returns whether the process has crashed.
    pub fn has_crashed(&self) -> bool {
        self.life.0.is_closed()
    }

    /// Waits until the process has crashed.
    pub async fn ended(&self) {
        // Nothing is sent over the channel; it is only closed.
        let _ = self.life.1.recv().await;
    }

    /// Adds header lines, each with its line end, to all answers from now on.
    pub fn set_headers(&self, lines: &str) {
        lines.clone_into(&mut self.headers.lock().unwrap());
    }

    /// Sets the bytes that answer `raw` requests from now on; their connections are closed after them.
    pub fn set_raw(&self, bytes: Vec<u8>) {
        *self.raw.lock().unwrap() = bytes;
    }

    /// Returns the requests received so far.
    pub fn seen(&self) -> Vec<Seen> {
        self.seen.lock().unwrap().clone()
    }

    /// Returns the number of connections opened so far.
    pub fn connections(&self) -> u32 {
        *self.connections.lock().unwrap()
    }

    /// Returns the bytes of the events of long streams that were sent so far.
    pub fn sent_bytes(&self) -> usize {
        *self.sent_bytes.lock().unwrap()
    }

    /// Returns the number of callers that disconnected while their request ran.
    pub fn left(&self) -> u32 {
        *self.left.lock().unwrap()
    }

    /// Serves a connection; one that is kept is closed by a `closes-kept` request, which does not run.
    async fn serve(self, mut stream: TcpStream) {
        let mut is_kept = false;
        while let Some((head, body)) = read_message(&mut stream).await {
            if is_kept && head.contains("/closes-kept ") {
                return;
            }
            is_kept = true;
            let seen = Seen {
                at: Instant::now(),
                head: head.clone(),
                body,
            };
            self.seen.lock().unwrap().push(seen);
            if !self.act(&mut stream, &head).await {
                return;
            }
        }
    }

    /// Answers as the last part of the path says; returns whether the connection stays open.
    async fn act(&self, stream: &mut TcpStream, head: &str) -> bool {
        let request_head = head;
        let label = header(head, "request-id").unwrap_or("none").to_owned();
        let path = head.split(' ').nth(1).unwrap();
        let action = path.rsplit('/').next().unwrap().split('?').next().unwrap();
        let good = |body: &str| {
            format!(
                "HTTP/1.1 200 OK\r\nrequest-id: {label}\r\nresponse-signature: s.{}\r\nserver-load: 1,0,8\r\ncontent-length: {}\r\n\r\n{body}",
                self.id,
                body.len()
            )
        };
        let stream_head = format!(
            "HTTP/1.1 200 OK\r\nrequest-id: {label}\r\nresponse-signature: s.{}\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n",
            self.id
        );
        let closing_head = stream_head.replace("transfer-encoding: chunked\r\n", "");
        let closing_head = format!("{closing_head}confidence: 90\r\n\r\n");
        let action = match self.is_full.load(Ordering::Relaxed) {
            true => "full",
            false => action,
        };
        let (text, goes_on) = match action {
            "foreign" => (good("other").replace(&label, "0badc0de"), true),
            "unsigned" => (good("body").replace("response-signature", "x-other"), true),
            "full" => (
                "HTTP/1.1 503 X\r\nnot-executed: 1\r\ncontent-length: 0\r\n\r\n".into(),
                true,
            ),
            "moved" => ("HTTP/1.1 421 X\r\ncontent-length: 0\r\n\r\n".into(), true),
            "error" => (good("sorry").replace("200 OK", "500 Broken"), true),
            "junk" => ("this is not an answer\r\n\r\n".into(), false),
            "close" => (String::new(), false),
            "cut" => (good("0123456789").replace("0123456789", "012"), false),
            "extra" => (format!("{}{}", good("whole"), good("extra")), true),
            "unframed" => {
                let text = format!("HTTP/1.1 200 OK\r\nrequest-id: {label}\r\nresponse-signature: s\r\n\r\nto the end");
                (text, false)
            }
            "hang" => {
                self.wait_for_end(stream).await;
                return false;
            }
            "stream" => {
                let events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
                (
                    format!(
                        "{stream_head}confidence: 90\r\n\r\n{}0\r\n\r\n",
                        chunk(events)
                    ),
                    true,
                )
            }
            "unsure" => {
                let model = header(head, "model").unwrap_or("none");
                let events = format!("id: 1\ndata: {model}\n\n");
                (
                    format!(
                        "{stream_head}confidence: 10\r\n\r\n{}0\r\n\r\n",
                        chunk(&events)
                    ),
                    true,
                )
            }
            "broken-stream" if header(head, "last-event-id").is_none() => {
                let events = "id: 1\ndata: a\n\nid: 2\nda";
                (
                    format!("{stream_head}confidence: 90\r\n\r\n{}", chunk(events)),
                    false,
                )
            }
            "broken-stream" => {
                let events = "id: 2\ndata: b\n\n";
                (format!("{stream_head}\r\n{}0\r\n\r\n", chunk(events)), true)
            }
            "crash" => {
                task::sleep(CRASHES_AFTER).await;
                self.crash();
                return false;
            }
            "crash-stream" => {
                let events = chunk("id: 1\ndata: a\n\n");
                let text = format!("{stream_head}confidence: 90\r\n\r\n{events}");
                if stream.write_all(text.as_bytes()).await.is_ok() {
                    task::sleep(CRASHES_AFTER).await;
                    self.crash();
                }
                return false;
            }
            // A whole event, and the end of the connection as the only mark.
            "closing-stream" | "crash-closing-stream" => {
                let text = format!("{closing_head}id: 1\ndata: a\n\n");
                let is_written = stream.write_all(text.as_bytes()).await.is_ok();
                if is_written && action == "crash-closing-stream" {
                    task::sleep(CRASHES_AFTER).await;
                    self.crash();
                }
                return false;
            }
            "broken-closing-stream" if header(head, "last-event-id").is_none() => {
                let events = "id: 1\ndata: a\n\nid: 2\nda";
                (format!("{closing_head}{events}"), false)
            }
            "broken-closing-stream" => {
                let events = "id: 2\ndata: b\n\n";
                (format!("{closing_head}{events}"), false)
            }
            "steady" => {
                task::sleep(STEADY).await;
                (good("steady"), true)
            }
            "steady-stream" => {
                task::sleep(STEADY).await;
                let events = chunk("id: 1\ndata: a\n\n");
                let text = format!("{stream_head}confidence: 90\r\n\r\n{events}0\r\n\r\n");
                (text, true)
            }
            "paced-stream" => {
                let head = format!("{stream_head}confidence: 90\r\n\r\n");
                return stream.write_all(head.as_bytes()).await.is_ok()
                    && self.send_paced_stream(stream).await;
            }
            "pausing-stream" => {
                let head = format!("{stream_head}confidence: 90\r\n\r\n");
                let after = header(request_head, "last-event-id");
                let after = after.and_then(|id| id.parse().ok()).unwrap_or(0);
                return stream.write_all(head.as_bytes()).await.is_ok()
                    && self.send_pausing_stream(stream, after).await;
            }
            "large" => (good(&"a".repeat(LARGE_BYTES)), true),
            // The number of milliseconds that the request runs.
            _ if action.starts_with("takes-") => {
                let ms = action["takes-".len()..].parse().unwrap();
                task::sleep(Duration::from_millis(ms)).await;
                (good("taken"), true)
            }
            "late" => {
                task::sleep(PAUSES_FOR).await;
                (good("late"), true)
            }
            "slow-stream" => {
                let text = format!(
                    "{stream_head}confidence: 90\r\n\r\n{}",
                    chunk("id: 1\ndata: a\n\n")
                );
                if stream.write_all(text.as_bytes()).await.is_err() {
                    return false;
                }
                self.wait_for_end(stream).await;
                return false;
            }
            "long-stream" => {
                let head = format!("{stream_head}confidence: 90\r\n\r\n");
                return stream.write_all(head.as_bytes()).await.is_ok()
                    && self.send_long_stream(stream).await;
            }
            "long" => {
                task::sleep(Duration::from_millis(700)).await;
                (good("long"), true)
            }
            "once-full" if self.refused.lock().unwrap().insert(path.to_owned()) => (
                "HTTP/1.1 503 X\r\nnot-executed: 1\r\ncontent-length: 0\r\n\r\n".into(),
                true,
            ),
            _ => (good("body"), true),
        };
        if action == "raw" {
            let bytes = self.raw.lock().unwrap().clone();
            // The caller may have closed after the head.
            let _ = stream.write_all(&bytes).await;
            return false;
        }
        let headers = self.headers.lock().unwrap().clone();
        let text = match text.split_once("\r\n") {
            Some((first, rest)) if first.starts_with("HTTP/") => {
                format!("{first}\r\n{headers}{rest}")
            }
            _ => text,
        };
        stream.write_all(text.as_bytes()).await.is_ok() && goes_on
    }

    /// Sends many events as fast as the caller reads them; returns whether it got all.
    async fn send_long_stream(&self, stream: &mut TcpStream) -> bool {
        for number in 1..=EVENTS {
            let begin = format!("id: {number}\ndata: ");
            let event = format!("{begin:x<0$}\n\n", EVENT_BYTES - 2);
            if stream.write_all(chunk(&event).as_bytes()).await.is_err() {
                return false;
            }
            *self.sent_bytes.lock().unwrap() += event.len();
        }
        stream.write_all(b"0\r\n\r\n").await.is_ok()
    }

    /// Sends the events after this one, with a pause in the middle of the whole stream; returns whether
    /// the caller got all.
    async fn send_pausing_stream(&self, stream: &mut TcpStream, after: u64) -> bool {
        for number in after + 1..=PAUSING_EVENTS {
            if number == PAUSING_EVENTS / 2 {
                task::sleep(PAUSES_FOR).await;
            }
            let event = format!("id: {number}\ndata: a\n\n");
            if stream.write_all(chunk(&event).as_bytes()).await.is_err() {
                return false;
            }
            task::sleep(PACE).await;
        }
        stream.write_all(b"0\r\n\r\n").await.is_ok()
    }

    /// Sends a few events one after the other; returns whether the caller got all.
    async fn send_paced_stream(&self, stream: &mut TcpStream) -> bool {
        for number in 1..=PACED_EVENTS {
            let event = format!("id: {number}\ndata: {:a<80}\n\n", "");
            if stream.write_all(chunk(&event).as_bytes()).await.is_err() {
                return false;
            }
            task::sleep(PACE).await;
        }
        stream.write_all(b"0\r\n\r\n").await.is_ok()
    }

    /// Waits until the caller closes the connection.
    async fn wait_for_end(&self, stream: &mut TcpStream) {
        let mut buf = [0; 64];
        while stream.read(&mut buf).await.is_ok_and(|n| n > 0) {}
        *self.left.lock().unwrap() += 1;
    }
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}
