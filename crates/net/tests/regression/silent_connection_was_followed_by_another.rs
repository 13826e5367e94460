//! A server's open connections went silent without a reset. A call that was given up on one
//! of them was followed by the next call on another that had been kept beside it, and so on
//! for as many as were kept, each for the whole time that a call may take.

use async_std::io::{ReadExt, WriteExt};
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use futures_util::future::join_all;
use sorreldeck_net::http::Client;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// How long an answer takes, so that calls overlap and each has a connection of its own.
const WORK: Duration = Duration::from_millis(50);
/// How long a call may take.
const LIMIT: Duration = Duration::from_millis(400);
/// The connections that are kept.
const KEPT: usize = 4;

/// Answers calls on a connection until it is to be silent.
async fn serve(mut stream: TcpStream, is_silent: Arc<AtomicBool>) {
    let mut buf = [0; 1024];
    while stream.read(&mut buf).await.is_ok_and(|n| n > 0) {
        task::sleep(WORK).await;
        if is_silent.load(Ordering::Relaxed) {
            return task::sleep(Duration::from_secs(60)).await;
        }
        let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
        if stream.write_all(answer).await.is_err() {
            return;
        }
    }
}

#[test]
fn after_a_silent_connection_comes_a_new_one() {
    task::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let old = Arc::new(AtomicBool::new(false));
        let all = old.clone();
        task::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                // What is opened once the others are silent works.
                let own = match all.load(Ordering::Relaxed) {
                    true => Arc::default(),
                    false => all.clone(),
                };
                task::spawn(serve(stream, own));
            }
        });
        let client = Client::default();
        let call = || client.call_within(LIMIT, address, "GET", "/", &[], Vec::new());
        for reply in join_all((0..KEPT).map(|_| call())).await {
            assert_eq!(reply.unwrap().status, 200);
        }
        old.store(true, Ordering::Relaxed);
        assert!(call().await.is_err(), "the connection is silent");
        assert_eq!(call().await.unwrap().status, 200);
    });
}
