//! Callers that read slowly while their entry is stopped as planned.

use super::*;
use crate::entry::Limits;
use crate::runner::LARGE_BYTES;
use async_std::net::TcpStream;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use rustix::net::{self, AddressFamily, SocketType};
use std::io;
use std::net::SocketAddr;
use std::os::fd::AsRawFd;
use test_case::test_case;

/// The grace time of an entry whose settings name none.
const GRACE: Duration = Duration::from_millis(8_000);
/// The bytes of one read, and the time between two.
const STEP: usize = 4 * 1024;
const PAUSE: Duration = Duration::from_millis(40);
/// How long an entry that runs as usual may turn a caller away.
const SERVED_WITHIN: Duration = Duration::from_millis(5_000);
const LIMITS: Limits = Limits {
    share: 1.0,
    memory: 800,
    mbps: 1_000.0,
};

/// Opens a connection that holds few bytes that were not read, and asks for a large answer.
async fn ask(address: SocketAddr) -> io::Result<TcpStream> {
    let socket = net::socket(AddressFamily::INET, SocketType::STREAM, None)?;
    net::sockopt::set_socket_recv_buffer_size(&socket, STEP)?;
    set_segment_size(&socket, 1_460);
    net::connect(&socket, &address)?;
    let mut stream = TcpStream::from(std::net::TcpStream::from(socket));
    let text = format!(
        "POST /once/large HTTP/1.1\r\nhost: pay.example\r\nrequest-id: 9c41d07b\r\ndeadline-ms: 30000\r\n\
         authorization: Bearer {KEY}\r\ncontent-length: 4\r\n\r\nwork"
    );
    stream.write_all(text.as_bytes()).await?;
    Ok(stream)
}

/// Has packets of an ordinary network, in place of those of a loopback interface.
fn set_segment_size(socket: &impl AsRawFd, bytes: libc::c_int) {
    let size = std::mem::size_of_val(&bytes) as libc::socklen_t;
    // SAFETY: the value is an integer of the given size that outlives the call.
    let set = unsafe {
        let value = std::ptr::from_ref(&bytes).cast();
        libc::setsockopt(
            socket.as_raw_fd(),
            libc::IPPROTO_TCP,
            libc::TCP_MAXSEG,
            value,
            size,
        )
    };
    assert_eq!(set, 0);
}

/// An answer of which a part was read.
struct Answer {
    stream: TcpStream,
    read: Vec<u8>,
}

impl Answer {
    /// Asks, and reads the beginning of the answer.
    async fn begin(address: SocketAddr) -> io::Result<Answer> {
        let stream = ask(address).await?;
        let read = Vec::new();
        let mut answer = Answer { stream, read };
        answer.read_step().await?;
        Ok(answer)
    }

    /// Asks until an answer begins; a busy entry closes connections that it has not read.
    async fn begin_in_time(address: SocketAddr, within: Duration) -> Answer {
        let asked_at = Instant::now();
        loop {
            match Answer::begin(address).await {
                Ok(answer) if answer.read.starts_with(b"HTTP/1.1 200") => return answer,
                _ => assert!(asked_at.elapsed() < within, "not served"),
            }
            task::sleep(PAUSE).await;
        }
    }

    /// Reads a few bytes; returns whether there were any.
    async fn read_step(&mut self) -> io::Result<bool> {
        let mut buf = [0; STEP];
        let count = self.stream.read(&mut buf).await?;
        self.read.extend_from_slice(&buf[..count]);
        Ok(count > 0)
    }

    fn is_whole(&self) -> bool {
        let head_end = self.read.windows(4).position(|w| w == b"\r\n\r\n");
        head_end.is_some_and(|at| self.read.len() - at - 4 == LARGE_BYTES)
    }

    /// Reads the rest slowly; returns whether the whole answer came.
    async fn read_slowly(mut self) -> bool {
        while !self.is_whole() && self.read_step().await.unwrap_or(false) {
            task::sleep(PAUSE).await;
        }
        self.is_whole()
    }
}

/// Starts an entry with a route for large answers.
async fn start() -> (Store, Entry) {
    let store = start_store().await;
    let mut config = configuration();
    config["version"] = json!(4);
    config["routes"] = json!([{
        "name": "once", "host": "pay.example", "path-prefix": "/once/", "route-type": "unsafe",
        "timeout-ms": 30_000, "target-latency-ms": 500, "priority": 1, "service": "engines",
        "max-attempts": 1, "public": false
    }]);
    config["services"][0]["max-conns"] = json!(4_000);
    store.put("op", "config", &config);
    let entry = Entry::start(&store, "front-1", LIMITS);
    until_ready(&entry, STARTS_WITHIN).await;
    (store, entry)
}

/// Waits until an entry has ended; returns how long after a moment.
async fn until_ended(entry: &mut Entry, since: Instant) -> Duration {
    while entry.is_running() && since.elapsed() < GRACE * 2 {
        task::sleep(Duration::from_millis(20)).await;
    }
    since.elapsed()
}

#[test_case(1; "one")]
#[test_case(100; "a hundred")]
#[test_case(1_000; "a thousand")]
fn answers_that_slow_callers_still_read_were_cut_at_a_planned_stop(callers: usize) {
    task::block_on(async {
        let (_store, mut entry) = start().await;
        // A request that comes after the signal may be refused.
        let mut answers = Vec::new();
        for _ in 0..callers {
            let answer = Answer::begin_in_time(entry.callers, SERVED_WITHIN).await;
            assert!(!answer.is_whole());
            answers.push(answer);
        }
        let stopped_at = Instant::now();
        entry.signal(libc::SIGTERM);
        let reads = answers.into_iter().map(Answer::read_slowly);
        let reads: Vec<_> = reads.map(task::spawn).collect();
        let took = until_ended(&mut entry, stopped_at).await;
        let mut whole = 0;
        for read in reads {
            whole += usize::from(read.await);
        }
        assert_eq!(whole, callers, "the stop took {took:?}");
        assert!(took < GRACE, "the stop took {took:?}");
    });
}

#[test]
fn callers_that_do_not_read_hold_no_stop_beyond_its_grace_time() {
    task::block_on(async {
        let (_store, mut entry) = start().await;
        let mut unread = Vec::new();
        for _ in 0..4 {
            unread.push(ask(entry.callers).await.unwrap());
        }
        task::sleep(Duration::from_millis(500)).await;
        let stopped_at = Instant::now();
        entry.signal(libc::SIGTERM);
        assert!(until_ended(&mut entry, stopped_at).await < GRACE);
    });
}
