//! Guards requests whose connections to upstreams open slowly because the link of the entry is full.

use super::*;
use std::io::{Read, Write};
use std::net::TcpListener;
use std::os::fd::AsRawFd;
use std::thread;

/// When a listener whose queue is full has room again; what was dropped before is sent anew after
/// a second.
const HELD_UP: Duration = Duration::from_millis(850);
/// What a caller reads of a long answer at a time, and how often.
const READ: usize = 512 * 1024;
const READ_EVERY: Duration = Duration::from_millis(50);
const LINK_MBPS: f64 = 40.0;

/// Returns a listener whose queue is full, and the connections in it.
fn full_listener() -> (TcpListener, Vec<std::net::TcpStream>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    // SAFETY: the descriptor is that of an open listener.
    assert_eq!(unsafe { libc::listen(listener.as_raw_fd(), 0) }, 0);
    let first = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    (listener, vec![first])
}

/// Answers one request after all connections that are in the queue now.
fn answer_later(listener: TcpListener, queued: Vec<std::net::TcpStream>) {
    thread::spawn(move || {
        thread::sleep(HELD_UP);
        for _ in &queued {
            listener.accept().unwrap();
        }
        let (mut stream, _) = listener.accept().unwrap();
        let mut buf = [0; 4096];
        let n = stream.read(&mut buf).unwrap();
        let head = String::from_utf8_lossy(&buf[..n]).into_owned();
        let id = store::header(&head, "request-id").unwrap();
        let answer = format!(
            "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nresponse-signature: s.i-9\r\nserver-load: 1,0,8\r\ncontent-length: 4\r\n\r\nlate"
        );
        stream.write_all(answer.as_bytes()).unwrap();
    });
}

/// Reads a long answer, neither slowly enough to stop it nor as fast as it comes.
async fn read_slowly(mut stream: TcpStream) {
    let mut buf = vec![0; READ];
    while stream.read(&mut buf).await.is_ok_and(|n| n > 0) {
        task::sleep(READ_EVERY).await;
    }
}

#[test]
fn a_connection_to_an_upstream_that_a_full_link_holds_up_is_waited_for() {
    task::block_on(async {
        let store = Store::start().await;
        let more = json!({"resumable": true, "timeout-ms": 20_000});
        let listen = route("listen", "engines", "stream", more);
        store.put("op", "config", &config(3, &[listen]));
        let upstream = Upstream::start("i-1", &Refused::default()).await;
        announce(&store, &upstream, "engines", "ready");
        let limits = json!({"limits": {"memory-mb": 100, "link-mbps": LINK_MBPS}});
        let clock = store.clock.clone();
        let entry = start_entry_with_settings(&store, "front-1", "a", &[], clock, limits).await;
        until_ready(&entry).await;
        let (listener, queued) = full_listener();
        let address = listener.local_addr().unwrap();
        let row = registration(&address.to_string(), "clock", "ready");
        store.put("servers", "i-9", &row);
        task::sleep(Duration::from_millis(1_000)).await;

        let mut caller = TcpStream::connect(entry.callers).await.unwrap();
        let mut stream = TcpStream::connect(entry.callers).await.unwrap();
        let text = request("/listen/long-stream", "").replace("ms: 4000", "ms: 20000");
        stream.write_all(text.as_bytes()).await.unwrap();
        task::spawn(read_slowly(stream));
        task::sleep(Duration::from_millis(600)).await;
        answer_later(listener, queued);
        let text = request("/once/body", "");
        caller.write_all(text.as_bytes()).await.unwrap();
        let mut answer = String::new();
        caller.read_to_string(&mut answer).await.unwrap();
        assert_eq!(status(&answer), 200, "{answer}");
        assert!(answer.ends_with("late"), "{answer}");
    });
}
