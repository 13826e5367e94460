//! Connections beyond the most that a listener keeps open.

use async_std::future::timeout;
use async_std::io::prelude::*;
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use sorreldeck_net::http;
use sorreldeck_net::open::Bound;
use std::net::SocketAddr;
use std::time::Duration;

const MAX: usize = 8;
/// What a listener may take to notice that a connection was opened or closed.
const NOTICE: Duration = Duration::from_millis(200);

async fn start(bound: Bound) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let mut app = tide::new();
    app.at("/").get(|_| async { Ok("body") });
    task::spawn(http::serve(listener, app, bound));
    address
}

/// Opens connections on which nothing is sent.
async fn open_idle(address: SocketAddr, count: usize) -> Vec<TcpStream> {
    let mut streams = Vec::new();
    for _ in 0..count {
        streams.push(TcpStream::connect(address).await.unwrap());
    }
    task::sleep(NOTICE).await;
    streams
}

/// Returns whether the other side still keeps a connection open.
async fn is_open(stream: &TcpStream) -> bool {
    timeout(Duration::from_millis(10), stream.peek(&mut [0]))
        .await
        .is_err()
}

async fn count_open(streams: &[TcpStream]) -> usize {
    let mut count = 0;
    for stream in streams {
        count += usize::from(is_open(stream).await);
    }
    count
}

/// Returns whether a request on a new connection is answered.
async fn is_served(address: SocketAddr) -> bool {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let request = b"GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
    // A connection that is closed unread is reset.
    if stream.write_all(request).await.is_err() {
        return false;
    }
    let mut answer = String::new();
    let read = timeout(NOTICE, stream.read_to_string(&mut answer)).await;
    read.is_ok() && answer.contains("body")
}

#[test]
fn requests_are_answered_while_idle_connections_are_as_many_as_are_kept() {
    task::block_on(async {
        let address = start(Bound::Oldest(MAX)).await;
        let streams = open_idle(address, MAX * 2).await;
        assert_eq!(count_open(&streams).await, MAX);
        assert!(!is_open(&streams[0]).await);
        assert!(is_served(address).await);
        assert!(is_open(&streams[MAX * 2 - 1]).await);
    });
}

#[test]
fn connections_beyond_the_bound_are_closed_unread_until_others_end() {
    task::block_on(async {
        let address = start(Bound::New(MAX)).await;
        let mut streams = open_idle(address, MAX * 2).await;
        assert_eq!(count_open(&streams).await, MAX);
        assert!(is_open(&streams[0]).await);
        assert!(!is_served(address).await);
        streams.clear();
        task::sleep(NOTICE).await;
        assert!(is_served(address).await);
    });
}

#[test]
fn connections_that_ended_do_not_count() {
    task::block_on(async {
        let address = start(Bound::New(MAX)).await;
        for _ in 0..MAX * 4 {
            assert!(is_served(address).await);
            task::sleep(Duration::from_millis(5)).await;
        }
    });
}
