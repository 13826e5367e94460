//! A stream that had begun before a planned stop left its connection open, over which the
//! caller sent another request 5 s into the stop; the process ended in the middle of that
//! answer.

use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use http_body_util::StreamBody;
use hyper::body::{Bytes, Frame};
use hyper::Response;
use sorreldeck_net::h1::{serve, Door, Limits};
use std::sync::Arc;
use std::time::Duration;

const LIMITS: Limits = Limits {
    head: 16_384,
    head_timeout: Duration::from_secs(3),
    idle_timeout: Duration::from_secs(15),
};

#[test]
fn a_connection_ends_with_the_answer_under_way() {
    task::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let door = Arc::new(Door::default());
        let (send, parts) = async_channel::unbounded::<Result<Frame<Bytes>, std::io::Error>>();
        let shared = door.clone();
        let served = task::spawn(async move {
            let (stream, _) = listener.accept().await.unwrap();
            let answer = move |_| {
                let body = StreamBody::new(Box::pin(parts.clone()));
                async move { Response::new(body) }
            };
            serve(stream.into(), shared, Arc::default(), LIMITS, answer).await;
        });
        let mut caller = TcpStream::connect(address).await.unwrap();
        let ask = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n";
        caller.write_all(ask).await.unwrap();
        send.send(Ok(Frame::data("one".into()))).await.unwrap();
        let mut buf = [0; 1024];
        assert!(caller.read(&mut buf).await.unwrap() > 0);
        door.close();
        // The connection is looked at once a second.
        task::sleep(Duration::from_millis(1_500)).await;
        drop(send);
        task::sleep(Duration::from_millis(50)).await;
        // The caller may notice the end only when it reads.
        let _ = caller.write_all(ask).await;
        let mut rest = Vec::new();
        let end = caller.read_to_end(&mut rest);
        let end = async_std::future::timeout(Duration::from_secs(5), end).await;
        // What was sent after the end resets the connection.
        let _ = end.expect("the connection is closed after the answer");
        let text = String::from_utf8_lossy(&rest);
        assert!(
            !text.contains("HTTP/1.1"),
            "a second request was served: {text}"
        );
        served.await;
    });
}
