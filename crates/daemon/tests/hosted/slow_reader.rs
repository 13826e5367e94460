//! A client stops reading a long answer for a while. What is kept of the answer must be bounded, its
//! upstream must not count as silent, and the client must get everything once it reads again.
//!
//! Guards against unbounded memory: whatever an upstream sent was kept for a client that did not
//! read, as fast as the upstream could send it.

use super::runner::{EVENTS, EVENT_BYTES};
use super::*;

/// Bytes that the buffers of the two connections may hold besides what the entry keeps.
const MAX_IN_SOCKETS: usize = 24 << 20;
/// Time for which the client does not read; a silent stream is left after 0.7 s.
const UNREAD_FOR: Duration = Duration::from_millis(1_600);

/// Returns the content of a body in chunks.
fn joined(mut body: &[u8]) -> Vec<u8> {
    let mut all = Vec::new();
    while let Some(end) = body.windows(2).position(|pair| pair == b"\r\n") {
        let size = std::str::from_utf8(&body[..end]).unwrap();
        let size = usize::from_str_radix(size, 16).unwrap();
        all.extend_from_slice(&body[end + 2..end + 2 + size]);
        body = &body[end + 2 + size + 2..];
    }
    all
}

#[test]
fn a_client_that_does_not_read_is_waited_for() {
    task::block_on(async {
        let harness = Harness::start().await;
        let more = json!({"resumable": true, "timeout-ms": 20_000});
        let listen = route("listen", "engines", "stream", more);
        harness.store.put("op", "config", &config(4, &[listen]));
        eventually("the route is known", || async {
            status(&harness.call("/listen/stream").await) == 200
        })
        .await;

        let mut stream = TcpStream::connect(harness.entry.callers).await.unwrap();
        let text = request("/listen/long-stream", "").replace("ms: 4000", "ms: 20000");
        stream.write_all(text.as_bytes()).await.unwrap();
        task::sleep(UNREAD_FOR).await;
        let sent: usize = harness.upstreams.iter().map(Upstream::sent_bytes).sum();
        assert!(sent > 0, "the answer has not begun");
        assert!(
            sent < MAX_IN_SOCKETS,
            "{sent} of {} bytes were read from the upstream",
            EVENTS * EVENT_BYTES
        );

        let mut answer = Vec::new();
        stream.read_to_end(&mut answer).await.unwrap();
        let head_end = answer.windows(4).position(|w| w == b"\r\n\r\n").unwrap() + 4;
        let events = joined(&answer[head_end..]);
        assert_eq!(events.len(), EVENTS * EVENT_BYTES);
        for (event, number) in events.chunks(EVENT_BYTES).zip(1..) {
            let begin = format!("id: {number}\n");
            assert!(event.starts_with(begin.as_bytes()), "event {number}");
        }
        assert_eq!(harness.request_count("/listen/long-stream"), 1);
    });
}
