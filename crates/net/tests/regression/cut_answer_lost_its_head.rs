//! An answer whose failure was known by the time its head could be written reached the
//! caller as a connection closed without a byte: what was in line was dropped.

use async_std::io::{ReadExt, WriteExt};
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use hyper::body::{Body, Bytes, Frame, SizeHint};
use hyper::Response;
use sorreldeck_net::h1::{self, Door, Limits};
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

/// A body whose parts are all there at once: three bytes of ten, then a failure.
struct Cut(u8);

impl Body for Cut {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        self.0 += 1;
        Poll::Ready(Some(match self.0 {
            1 => Ok(Frame::data(Bytes::from_static(b"012"))),
            _ => Err(io::ErrorKind::ConnectionAborted.into()),
        }))
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(10)
    }
}

#[test]
fn what_came_before_a_failure_goes_out() {
    task::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        task::spawn(async move {
            let (stream, _) = listener.accept().await.unwrap();
            let limits = Limits {
                head: 8192,
                head_timeout: Duration::from_secs(3),
                idle_timeout: Duration::from_secs(3),
            };
            let answer = |_| async { Response::new(Cut(0)) };
            h1::serve(
                stream.into(),
                Arc::new(Door::default()),
                Arc::default(),
                limits,
                answer,
            )
            .await;
        });
        let mut stream = TcpStream::connect(address).await.unwrap();
        let request = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n";
        stream.write_all(request).await.unwrap();
        let mut answer = String::new();
        // Whether the end is a close or a reset is not what is asked here.
        let _ = stream.read_to_string(&mut answer).await;
        assert!(answer.contains("content-length: 10"), "{answer:?}");
        assert!(answer.ends_with("\r\n\r\n012"), "{answer:?}");
    });
}
