//! Guards the HTTP client against answers whose heads are broken.

use async_std::io::{ReadExt, WriteExt};
use async_std::net::TcpListener;
use async_std::task;
use sorreldeck::Verdict;
use sorreldeck_emulator::answer::{pairs, singles, Answer, Case, SPOILS, VARIANTS};
use sorreldeck_net::http::{Client, Reply, Trouble};
use std::net::SocketAddr;
use std::time::Duration;

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
