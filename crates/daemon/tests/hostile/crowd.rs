//! Crowds of connections that ask for nothing, or read nothing, driven by one thread.

use super::room::KEY;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// The time between two bytes of a connection that sends one at a time.
const BYTE_EVERY: Duration = Duration::from_millis(1_000);
const ROUND: Duration = Duration::from_millis(10);
/// Requests of a connection whose answers are not read.
const UNREAD_REQUESTS: usize = 100;
/// Connections that are opened in one round.
const OPENED_AT_ONCE: usize = 200;

/// What each connection of a crowd does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// It sends nothing.
    Nothing,
    /// It sends a byte of a head a second.
    SlowHead,
    /// It sends half a head and waits.
    HalfHead,
    /// It sends a head with a key and then a byte of a body a second.
    SlowBody,
    /// It sends many requests and reads no answer.
    Unread,
}

impl Kind {
    fn first_bytes(self) -> Vec<u8> {
        let head = format!("POST /good/body HTTP/1.1\r\nHost: pay.example\r\nRequest-Id: c\r\nAuthorization: Bearer {KEY}\r\n");
        match self {
            Kind::Nothing | Kind::SlowHead => Vec::new(),
            Kind::HalfHead => head.into_bytes(),
            Kind::SlowBody => format!("{head}Content-Length: 1000\r\n\r\n").into_bytes(),
            Kind::Unread => format!("{head}Content-Length: 0\r\n\r\n")
                .repeat(UNREAD_REQUESTS)
                .into_bytes(),
        }
    }

    fn next_byte(self, sent: usize) -> Option<u8> {
        match self {
            Kind::SlowHead => b"GET /good/body HTTP/1.1\r\nHost: a\r\n".get(sent).copied(),
            Kind::SlowBody => Some(b'a'),
            Kind::Nothing | Kind::HalfHead | Kind::Unread => None,
        }
    }
}

struct Connection {
    stream: TcpStream,
    sent: usize,
    next: Instant,
}

fn open(address: SocketAddr, kind: Kind) -> Option<Connection> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_millis(200)).ok()?;
    stream.set_nonblocking(true).ok()?;
    // What does not fit into the buffers is not sent.
    let _ = stream.write(&kind.first_bytes());
    Some(Connection {
        stream,
        sent: 0,
        next: Instant::now() + BYTE_EVERY,
    })
}

/// Returns whether a connection was closed by the entry.
fn is_closed(connection: &mut Connection, kind: Kind) -> bool {
    let mut buf = [0; 1];
    let read = match kind {
        Kind::Unread => connection.stream.peek(&mut buf),
        _ => connection.stream.read(&mut buf),
    };
    match read {
        Ok(0) => true,
        Ok(_) => false,
        Err(e) => e.kind() != ErrorKind::WouldBlock,
    }
}

/// Keeps this many connections open until `leaves`; opens those again that are closed.
pub fn drive(address: SocketAddr, kind: Kind, count: usize, leaves: &AtomicBool) {
    let mut connections: Vec<Connection> = Vec::new();
    while !leaves.load(Ordering::Relaxed) {
        connections.retain_mut(|connection| !is_closed(connection, kind));
        for _ in 0..OPENED_AT_ONCE.min(count - connections.len()) {
            connections.extend(open(address, kind));
        }
        let now = Instant::now();
        for connection in &mut connections {
            let byte = kind.next_byte(connection.sent);
            if let (Some(byte), true) = (byte, now >= connection.next) {
                let _ = connection.stream.write(&[byte]);
                connection.sent += 1;
                connection.next = now + BYTE_EVERY;
            }
        }
        thread::sleep(ROUND);
    }
}
