//! Guards the HTTP client against answers whose heads are broken or whose bodies do not end.

use async_std::io::{ReadExt, WriteExt};
use async_std::net::TcpListener;
use async_std::task;
use sorreldeck::{Size, Verdict};
use sorreldeck_emulator::answer::{pairs, singles, Answer, Case, SPOILS, VARIANTS};
use sorreldeck_net::http::{Client, Reply, Trouble};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;
use test_case::test_case;

/// How many pairs of changes are played, and by which seed.
const PAIRS: usize = 300;
const SEED: u64 = 2;
/// How long an answer may take.
const LIMIT: Duration = Duration::from_secs(5);

fn sound() -> Answer {
    Answer::new("r1", b"work")
}

/// Starts a server that sends these bytes on each connection, then closes it.
async fn serve(bytes: Vec<u8>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    task::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut buf = [0; 1024];
            let _ = stream.read(&mut buf).await;
            let _ = stream.write_all(&bytes).await;
        }
    });
    address
}

async fn call(answer: &Answer) -> Result<Reply, Trouble> {
    let address = serve(answer.bytes()).await;
    let client = Client::default();
    client
        .call_within(LIMIT, address, "POST", "/", &[], Vec::new())
        .await
}

fn check_none_passes(cases: &[Case]) {
    task::block_on(async {
        let mut passed = Vec::new();
        for Case { name, answer } in cases {
            match call(answer).await {
                Ok(reply) => passed.push(format!("{name}: {} {:?}", reply.status, reply.text())),
                Err(trouble) => assert_eq!(trouble.verdict, Verdict::MayHaveRun, "{name}"),
            }
        }
        let (count, of) = (passed.len(), cases.len());
        assert!(passed.is_empty(), "{count} of {of}:\n{}", passed.join("\n"));
    });
}

#[test]
fn no_answer_with_a_spoilt_head_is_taken() {
    check_none_passes(&singles(&sound(), SPOILS));
}

#[test]
fn no_answer_with_a_head_spoilt_twice_is_taken() {
    check_none_passes(&pairs(&sound(), PAIRS, SEED));
}

#[test]
fn sound_answers_are_taken_whole() {
    task::block_on(async {
        for Case { name, answer } in singles(&sound(), VARIANTS) {
            let reply = call(&answer).await;
            let reply = reply.unwrap_or_else(|trouble| panic!("{name}: {trouble}"));
            assert_eq!(reply.body, b"work", "{name}");
            assert_eq!(reply.header("x-own"), Some("kept"), "{name}");
        }
    });
}

/// Guards against a server that sends without end and fills the memory of its caller.
#[test_case("HTTP/1.1 200 OK\r\n\r\n", &[b'a'; 4096]; "a body that ends with its connection")]
#[test_case("HTTP/1.1 200 OK\r\ncontent-length: 1000000000000\r\n\r\n", &[b'a'; 4096]; "a body of a terabyte")]
#[test_case("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", b"4\r\nwork\r\n"; "chunks")]
#[test_case("HTTP/1.1 200 OK\r\nx-more: ", &[b'a'; 4096]; "the value of a field")]
#[test_case("HTTP/1.1 200 OK\r\n", b"x-more: 1\r\n"; "fields")]
#[test_case("HTTP/1.1 ", &[b'2'; 4096]; "a status")]
#[test_case("", b"HTTP/1.1 102 X\r\n\r\n"; "informational heads")]
#[test_case("", &[b'a'; 4096]; "bytes that are no head")]
fn bytes_without_end_are_read_no_further_than_the_largest_body(begin: &str, unit: &[u8]) {
    /// The largest body that the client takes.
    const MAX: Size = Size::from_bytes(1 << 20);
    /// What the sockets of a loopback connection and chunks of four bytes add to it at most.
    const BESIDE: usize = 24 << 20;
    task::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let sent = Arc::new(AtomicUsize::new(0));
        let (begin, unit, count) = (begin.to_owned(), unit.repeat(16), sent.clone());
        let serving = task::spawn(async move {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut buf = [0; 1024];
            let _ = stream.read(&mut buf).await;
            let _ = stream.write_all(begin.as_bytes()).await;
            while stream.write_all(&unit).await.is_ok() {
                count.fetch_add(unit.len(), Ordering::Relaxed);
            }
        });
        let client = Client::new(MAX);
        let call = client.call(address, "POST", "/", &[], Vec::new());
        let reply = async_std::future::timeout(LIMIT, call).await;
        let trouble = reply.expect("the call ends by itself").unwrap_err();
        assert_eq!(trouble.verdict, Verdict::MayHaveRun);
        serving.await;
        let sent = sent.load(Ordering::Relaxed);
        assert!(
            sent < MAX.bytes() as usize + BESIDE,
            "{sent} bytes were read"
        );
    });
}
