//! Guards against broken answers of an upstream behind a sidecar, and of the scripts that a call is
//! forwarded to.

#[allow(dead_code)]
mod common;

use async_std::io::{ReadExt, WriteExt};
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use common::eventually;
use serde_json::json;
use sorreldeck::header;
use sorreldeck::wire::Header;
use sorreldeck_emulator::answer::{pairs, singles, Answer, Case, SPOILS, VARIANTS};
use sorreldeck_net::http::{Client, Reply};
use sorreldeckd::standalone::{self, Sample, KEY};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

/// How many pairs of changes are played, and by which seed.
const PAIRS: usize = 60;
const SEED: u64 = 3;

/// The bytes that an upstream answers with.
type Bytes = Arc<Mutex<Vec<u8>>>;

fn sound() -> Answer {
    Answer::new("r1", b"work")
}

/// What was sent of the last answer.
#[derive(Clone, Default)]
struct Sent(Arc<Mutex<(usize, bool)>>);

impl Sent {
    fn bytes(&self) -> usize {
        self.0.lock().unwrap().0
    }

    fn has_ended(&self) -> bool {
        self.0.lock().unwrap().1
    }

    async fn write(&self, stream: &mut TcpStream, bytes: &[u8]) {
        *self.0.lock().unwrap() = (0, false);
        for part in bytes.chunks(64 * 1024) {
            if stream.write_all(part).await.is_err() {
                break;
            }
            self.0.lock().unwrap().0 += part.len();
        }
        self.0.lock().unwrap().1 = true;
    }
}

async fn serve(bytes: Bytes, sent: Sent) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    task::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut buf = [0; 4096];
            let _ = stream.read(&mut buf).await;
            let bytes = bytes.lock().unwrap().clone();
            sent.write(&mut stream, &bytes).await;
        }
    });
    address
}

/// A sample with one more upstream, alone in its pool, and a branch that is forwarded.
struct Room {
    sample: Sample,
    bytes: Bytes,
    /// What the upstream has sent.
    sent: Sent,
}

impl Room {
    async fn start() -> Room {
        let bytes = Bytes::default();
        let sent = Sent::default();
        let upstream = serve(bytes.clone(), sent.clone()).await;
        let scripts = serve(bytes.clone(), Sent::default()).await;
        let more = format!(
            "[pools.raw]\nkind = \"plain\"\nprefix = \"/raw\"\n\
             [nodes.\"/demo/scripts\"]\naction = \"forward\"\nforward_to = \"{scripts}\"\n"
        );
        let tree = standalone::TREE.replace("[\"clock\"]", "[\"clock\", \"raw\"]");
        let sample = common::start_unlinked(&format!("{tree}\n{more}")).await;
        standalone::add_plain(&sample, "raw-1", "raw", upstream)
            .await
            .unwrap();
        common::until_linked(&sample, 5).await;
        Room {
            sample,
            bytes,
            sent,
        }
    }

    /// Sends a call to the upstream behind a sidecar, or to the scripts.
    async fn call(&self, is_forwarded: bool, answer: &Answer) -> Reply {
        *self.bytes.lock().unwrap() = answer.bytes();
        let mut headers = vec![Header::new("authorization", format!("Bearer {KEY}"))];
        let path = match is_forwarded {
            true => {
                headers.push(Header::new(header::ROUTE, "scripts"));
                "/v1/chat/completions"
            }
            false => "/raw/a",
        };
        let body = json!({"model": "scribe", "messages": [{"role": "user", "content": "a"}]});
        let body = body.to_string().into_bytes();
        let address = self.sample.entry.address;
        let client = Client::default();
        let reply = client.call(address, "POST", path, &headers, body).await;
        reply.unwrap()
    }
}

fn check_none_passes(is_forwarded: bool) {
    task::block_on(async {
        let room = Room::start().await;
        let mut cases = singles(&sound(), SPOILS);
        cases.extend(pairs(&sound(), PAIRS, SEED));
        let mut passed = Vec::new();
        for Case { name, answer } in &cases {
            let reply = room.call(is_forwarded, answer).await;
            if reply.status != 502 {
                passed.push(format!("{name}: {} {:?}", reply.status, reply.text()));
            }
        }
        let (count, of) = (passed.len(), cases.len());
        assert!(passed.is_empty(), "{count} of {of}:\n{}", passed.join("\n"));
        let reply = room.call(is_forwarded, &sound()).await;
        assert_eq!((reply.status, &reply.body[..]), (200, &b"work"[..]));
    });
}

#[test]
fn no_broken_answer_passes_a_sidecar() {
    check_none_passes(false);
}

#[test]
fn no_broken_answer_of_the_scripts_is_passed_on() {
    check_none_passes(true);
}

/// Statuses and bytes that the library of the own interface does not know end as an error.
#[test]
fn sound_answers_pass_and_others_end_no_process() {
    task::block_on(async {
        let room = Room::start().await;
        for Case { name, answer } in singles(&sound(), VARIANTS) {
            for is_forwarded in [false, true] {
                let reply = room.call(is_forwarded, &answer).await;
                match is_known(&answer) {
                    true => assert_eq!(reply.body, b"work", "{name}: {}", reply.status),
                    false => assert_eq!(reply.status, 502, "{name}"),
                }
            }
        }
    });
}

/// Guards against an upstream that sends without end and fills the memory of its sidecar and entry.
#[test]
fn a_body_without_end_is_read_no_further_than_the_largest_answer() {
    /// The largest answer of a sidecar, and what the sockets on its way hold.
    const MOST: usize = (16 << 20) + (24 << 20);
    task::block_on(async {
        let room = Room::start().await;
        let mut endless = b"HTTP/1.1 200 OK\r\n\r\n".to_vec();
        endless.resize(8 * MOST, b'a');
        *room.bytes.lock().unwrap() = endless;
        let mut stream = TcpStream::connect(room.sample.entry.address).await.unwrap();
        let text = format!("GET /raw/a HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {KEY}\r\n\r\n");
        stream.write_all(text.as_bytes()).await.unwrap();
        // The caller reads nothing meanwhile.
        eventually("the upstream is told to stop", || async {
            room.sent.has_ended()
        })
        .await;
        let sent = room.sent.bytes();
        assert!(sent < MOST, "{sent} bytes were read");
        let reply = room.call(false, &sound()).await;
        assert_eq!((reply.status, &reply.body[..]), (200, &b"work"[..]));
    });
}

/// Returns whether the own interface can pass an answer on.
fn is_known(answer: &Answer) -> bool {
    let is_ascii = answer.lines.iter().all(|line| line.is_ascii());
    is_ascii && !answer.status.starts_with(b"299")
}
