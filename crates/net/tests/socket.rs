//! Sockets give way to other tasks, and end where a message has too many bytes of framing.

use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use futures_lite::future::poll_once;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use sorreldeck::Size;
use sorreldeck_net::socket::{Framing, Socket, Turn};
use std::io::ErrorKind;
use std::path::Path;
use std::time::Duration;
use test_case::test_case;

const TURN: usize = 32 * 1024;

async fn pair() -> (Socket, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let other = TcpStream::connect(listener.local_addr().unwrap()).await;
    let (stream, _) = listener.accept().await.unwrap();
    (stream.into(), other.unwrap())
}

/// Returns what can be read without giving way, in reads of up to `size` bytes.
async fn read_in_a_row(socket: &mut Socket, size: usize) -> usize {
    let mut buf = vec![0; size];
    let mut total = 0;
    while let Some(Ok(bytes)) = poll_once(socket.read(&mut buf)).await {
        total += bytes;
    }
    total
}

/// Guards against a peer that sends without end and keeps one task going.
#[test_case(1 << 20, TURN; "large reads")]
#[test_case(1, TURN / 512; "reads of single bytes")]
fn a_socket_gives_way_after_its_turn(size: usize, most: usize) {
    task::block_on(async {
        let (mut socket, mut other) = pair().await;
        other.write_all(&[0; 4 * TURN]).await.unwrap();
        task::sleep(Duration::from_millis(50)).await;
        for turn in 0..3 {
            assert_eq!(read_in_a_row(&mut socket, size).await, most, "turn {turn}");
        }
    });
}

#[test]
fn a_socket_that_gave_way_is_read_again_at_once() {
    task::block_on(async {
        let (mut socket, mut other) = pair().await;
        let writing = task::spawn(async move {
            other.write_all(&[0; 1 << 20]).await.unwrap();
        });
        let mut all = Vec::new();
        let reading = socket.read_to_end(&mut all);
        let read = async_std::future::timeout(Duration::from_secs(5), reading).await;
        assert_eq!(read.unwrap().unwrap(), 1 << 20);
        writing.await;
    });
}

#[test_case(0, false; "framing beyond its budget")]
#[test_case(2_000, true; "as much content")]
fn a_connection_ends_where_framing_exceeds_its_budget(content: usize, goes_on: bool) {
    task::block_on(async {
        let (mut socket, mut other) = pair().await;
        let meter = socket.meter();
        meter.begin(Size::from_bytes(1_000));
        meter.add_content(content);
        other.write_all(&[0; 4_000]).await.unwrap();
        let read = socket.read_exact(&mut [0; 4_000]).await;
        match goes_on {
            true => assert!(read.is_ok()),
            false => assert_eq!(read.unwrap_err().kind(), ErrorKind::InvalidData),
        }
    });
}

#[test]
fn each_message_has_a_budget_of_its_own() {
    task::block_on(async {
        let (mut socket, mut other) = pair().await;
        let meter = socket.meter();
        for _ in 0..20 {
            meter.begin(Size::from_bytes(1_000));
            other.write_all(&[0; 900]).await.unwrap();
            socket.read_exact(&mut [0; 900]).await.unwrap();
        }
    });
}

#[test_case("4095"; "too small")]
#[test_case("1048577"; "too large")]
#[test_case("-1"; "negative")]
fn a_turn_beyond_its_bounds_is_refused(text: &str) {
    assert!(text.parse::<Turn>().is_err());
}

#[test]
fn settings_are_read_as_they_are_written() {
    let framing: Framing = "65536:1".parse().unwrap();
    assert_eq!(framing.to_string(), "65536:1");
    assert!("65535:1".parse::<Framing>().is_err());
    assert!("65536:0".parse::<Framing>().is_err());
    assert!("65536".parse::<Framing>().is_err());
    let turn: Turn = "4096".parse().unwrap();
    assert_eq!(turn.to_string(), "4096");
}

/// Guards against connections without a budget.
#[test]
fn only_this_module_makes_the_sockets_of_connections() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let folders = [
        "crates/net/src",
        "crates/daemon/src",
        "crates/cli/src",
        "platform/src",
    ];
    let mut found = Vec::new();
    for folder in folders {
        look_through(&root.join(folder), &mut found);
    }
    assert_eq!(found, Vec::<String>::new());
}

/// Finds lines that make a connection.
fn look_through(folder: &Path, found: &mut Vec<String>) {
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            look_through(&path, found);
            continue;
        }
        if path.ends_with("net/src/socket.rs") {
            continue;
        }
        let text = std::fs::read_to_string(&path).unwrap();
        for line in text.lines() {
            let makes = [
                "TcpStream::connect",
                "TcpStream::from",
                ".accept().await",
                "listener.incoming",
            ];
            if makes.iter().any(|made| line.contains(made)) {
                found.push(format!("{}: {}", path.display(), line.trim()));
            }
        }
    }
}
