//! Guards against a peer without a key that sends without end while a link opens.

use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use sorreldeck::Incarnation;
use sorreldeck_net::link::{self, Keys};
use sorreldeck_net::socket::Socket;
use std::net::SocketAddr;
use std::time::Duration;
use test_case::test_case;
use tokio_tungstenite::tungstenite::handshake::derive_accept_key;

/// What the sockets of a loopback connection hold at most.
const MOST: usize = 16 << 20;
/// How long an opening may take to be given up.
const WITHIN: Duration = Duration::from_secs(10);

fn keys() -> Keys {
    format!("1:{}", "42".repeat(32)).parse().unwrap()
}

/// What a peer sends, again and again.
#[derive(Clone, Copy, Debug)]
enum Sent {
    /// Lines of a head.
    Lines,
    /// Bytes that are no head.
    Junk,
    /// Parts of one message, none of which is the last.
    Parts,
    /// Whole messages that ask for an answer.
    Pings,
}

impl Sent {
    fn unit(self) -> Vec<u8> {
        match self {
            Sent::Lines => b"x-more: 1\r\n".repeat(64),
            Sent::Junk => vec![b'a'; 4_096],
            Sent::Parts => [&[0x00, 126, 0x10, 0x00][..], &[0; 4_096]].concat(),
            Sent::Pings => [0x89, 0].repeat(2_048),
        }
    }

    /// Returns what comes before, for a request with this key.
    fn begin(self, key: &str) -> Vec<u8> {
        match self {
            Sent::Lines => b"HTTP/1.1 101 Switching Protocols\r\n".to_vec(),
            Sent::Junk => Vec::new(),
            Sent::Parts | Sent::Pings => {
                let accept = derive_accept_key(key.as_bytes());
                let head = format!(
                    "HTTP/1.1 101 Switching Protocols\r\nupgrade: websocket\r\nconnection: upgrade\r\n\
                     sec-websocket-accept: {accept}\r\n\r\n"
                );
                let first: &[u8] = match self {
                    Sent::Parts => &[0x02, 0],
                    _ => &[],
                };
                [head.as_bytes(), first].concat()
            }
        }
    }
}

/// Sends without end; returns how much was taken.
async fn send(mut stream: TcpStream, begin: Vec<u8>, unit: Vec<u8>) -> usize {
    let mut sent = 0;
    let mut next = begin;
    while stream.write_all(&next).await.is_ok() {
        sent += next.len();
        next.clone_from(&unit);
    }
    sent
}

async fn read_key(stream: &mut TcpStream) -> String {
    let mut buf = vec![0; 4_096];
    let read = stream.read(&mut buf).await.unwrap();
    let head = String::from_utf8_lossy(&buf[..read]).to_lowercase();
    let at = head.find("sec-websocket-key: ").unwrap() + "sec-websocket-key: ".len();
    String::from_utf8_lossy(&buf[at..])
        .lines()
        .next()
        .unwrap()
        .to_owned()
}

#[test_case(Sent::Lines)]
#[test_case(Sent::Junk)]
#[test_case(Sent::Parts)]
#[test_case(Sent::Pings)]
fn what_a_called_peer_sends_is_bounded(what: Sent) {
    task::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address: SocketAddr = listener.local_addr().unwrap();
        let serving = task::spawn(async move {
            let (mut stream, _) = listener.accept().await.unwrap();
            let key = read_key(&mut stream).await;
            send(stream, what.begin(&key), what.unit()).await
        });
        let opened = link::connect(address, &keys(), Incarnation(1), [7; 16]).await;
        assert!(opened.is_err());
        let sent = async_std::future::timeout(WITHIN, serving).await.unwrap();
        assert!(sent < MOST, "{sent} bytes were taken");
    });
}

#[test_case(Sent::Lines)]
#[test_case(Sent::Junk)]
#[test_case(Sent::Parts)]
fn what_a_calling_peer_sends_is_bounded(what: Sent) {
    task::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address: SocketAddr = listener.local_addr().unwrap();
        let calling = task::spawn(async move {
            let mut stream = TcpStream::connect(address).await.unwrap();
            let head = "GET /link HTTP/1.1\r\nhost: a\r\n";
            stream.write_all(head.as_bytes()).await.unwrap();
            let Sent::Parts = what else {
                return send(stream, Vec::new(), what.unit()).await;
            };
            let rest = "upgrade: websocket\r\nconnection: upgrade\r\nsec-websocket-version: 13\r\n\
                        sec-websocket-key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n";
            stream.write_all(rest.as_bytes()).await.unwrap();
            // Anything sent before the answer would be refused with the request.
            let read = stream.read(&mut [0; 1024]).await.unwrap();
            assert!(read > 0);
            // What a caller sends has a mask, here of zeros.
            let first = vec![0x02, 0x80, 0, 0, 0, 0];
            let unit = [&[0x00, 254, 0x10, 0x00, 0, 0, 0, 0][..], &[0; 4_096]].concat();
            send(stream, first, unit).await
        });
        let (stream, _) = listener.accept().await.unwrap();
        let opened = link::accept(Socket::from(stream), &keys(), [7; 16]).await;
        assert!(opened.is_err());
        let sent = async_std::future::timeout(WITHIN, calling).await.unwrap();
        assert!(sent < MOST, "{sent} bytes were taken");
    });
}
