//! Connections of a server that is full.

use async_std::io::prelude::*;
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use http_body_util::Full;
use hyper::body::Bytes;
use hyper::{Request, Response};
use sorreldeck_net::h1::{self, Door, Limits};
use std::sync::Arc;
use std::time::Duration;
use test_case::test_case;

const LIMITS: Limits = Limits {
    head: 8_192,
    head_timeout: Duration::from_secs(5),
    idle_timeout: Duration::from_secs(5),
};

async fn answer(_: Request<h1::Content>) -> Response<Full<Bytes>> {
    Response::new(Full::new(Bytes::from_static(b"body")))
}

/// Sends a request and returns the answer, and whether the connection stays open after it.
async fn ask(stream: &mut TcpStream) -> (String, bool) {
    stream
        .write_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
        .await
        .unwrap();
    let mut buf = [0; 1024];
    let mut text = String::new();
    while !text.ends_with("body") {
        let n = stream.read(&mut buf).await.unwrap();
        assert!(n > 0, "no whole answer: {text}");
        text.push_str(std::str::from_utf8(&buf[..n]).unwrap());
    }
    let rest = async_std::future::timeout(Duration::from_millis(300), stream.read(&mut buf)).await;
    (text, rest.is_err())
}

#[test_case(true; "full")]
#[test_case(false; "not full")]
fn a_kept_connection_ends_after_its_answer_only_while_the_server_is_full(is_full: bool) {
    task::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let door = Arc::new(Door::default());
        let served = door.clone();
        task::spawn(async move {
            let (stream, _) = listener.accept().await.unwrap();
            h1::serve(stream.into(), served, Arc::default(), LIMITS, answer).await;
        });
        let mut stream = TcpStream::connect(address).await.unwrap();
        let (_, stays) = ask(&mut stream).await;
        assert!(stays);
        door.set_full(is_full);
        let (text, stays) = ask(&mut stream).await;
        assert!(text.starts_with("HTTP/1.1 200"), "{text}");
        assert_eq!(stays, !is_full, "{text}");
        assert_eq!(text.contains("connection: close"), is_full, "{text}");
    });
}
