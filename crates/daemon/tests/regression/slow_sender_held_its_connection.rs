//! Guards against connections that stay open: a caller that never sent the rest of its body was
//! refused, but the server then waited for the rest without a limit and kept the connection.

use crate::common::start;
use async_std::io::{ReadExt, WriteExt};
use async_std::net::TcpStream;
use sorreldeckd::standalone::KEY;

#[test]
fn the_connection_of_a_slow_sender_is_closed() {
    async_std::task::block_on(async {
        let sample = start("[nodes.\"/demo/slow\"]\nbody_timeout = \"100ms\"").await;
        let mut stream = TcpStream::connect(sample.entry.address).await.unwrap();
        let head = format!(
            "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {KEY}\r\nx-sorreldeck-route: slow\r\ncontent-length: 1000\r\n\r\nonly this"
        );
        stream.write_all(head.as_bytes()).await.unwrap();
        let mut reply = String::new();
        // With the fault this read never ends.
        stream.read_to_string(&mut reply).await.unwrap();
        assert!(reply.starts_with("HTTP/1.1 408 "), "{reply}");
    });
}
