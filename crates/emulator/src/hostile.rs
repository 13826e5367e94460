//! Peers that send messages of which one place never ends, comes slowly, stops or comes twice.
//!
//! ```
//! use sorreldeck_emulator::hostile::{Peer, Place, Side, Way};
//!
//! let peer: Peer = "caller/chunk-size/endless".parse()?;
//! assert_eq!((peer.side, peer.place, peer.way), (Side::Caller, Place::ChunkSize, Way::Endless));
//! assert!(peer.script("r1", "/a/", None).unit.starts_with(b"0"));
//! # Ok::<(), String>(())
//! ```

use std::fmt;
use std::io::Write;
use std::net::TcpStream;
use std::str::FromStr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

/// Bytes that are written at once.
const WRITE: usize = 64 * 1024;
/// Bytes of a place that comes all at once.
const BURST: usize = 1 << 20;
/// Time between two bytes of a place that comes a byte at a time.
const PACE: Duration = Duration::from_millis(20);
/// Time between two looks at whether a peer that sends nothing is to leave.
const LOOK: Duration = Duration::from_millis(20);

macro_rules! words {
    ($(#[$doc:meta])* $name:ident { $($(#[$of:meta])* $variant:ident = $word:literal,)* }) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum $name {
            $($(#[$of])* $variant,)*
        }

        impl $name {
            /// All of them.
            pub const ALL: &'static [$name] = &[$($name::$variant),*];
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(match self {
                    $($name::$variant => $word,)*
                })
            }
        }

        impl FromStr for $name {
            type Err = String;

            fn from_str(s: &str) -> Result<Self, String> {
                let mut all = $name::ALL.iter();
                let found = all.find(|one| one.to_string() == s);
                found.copied().ok_or_else(|| format!("{s:?} is not known"))
            }
        }
    };
}

words! {
    /// Who sends the message.
    Side {
        /// A caller of an entry.
        Caller = "caller",
        /// An upstream that answers a plain request.
        Upstream = "upstream",
        /// An upstream that answers with a stream of events.
        Stream = "stream",
    }
}

words! {
    /// The place of a message.
    Place {
        /// Blank lines before the message.
        Blank = "blank",
        /// Bytes that are no message.
        Junk = "junk",
        /// The first line.
        StartLine = "start-line",
        /// The value of one header.
        HeaderLine = "header-line",
        /// The headers.
        Headers = "headers",
        /// Informational heads before the answer.
        Informational = "informational",
        /// The digits of the size of a chunk.
        ChunkSize = "chunk-size",
        /// The extension of a chunk.
        ChunkExtension = "chunk-extension",
        /// Chunks of one byte.
        SmallChunks = "small-chunks",
        /// Chunks.
        Chunks = "chunks",
        /// Trailers.
        Trailers = "trailers",
        /// A body of known length.
        Length = "length",
        /// A body that ends with its connection.
        Unframed = "unframed",
        /// The data of one event.
        Event = "event",
        /// Events without data.
        Comments = "comments",
        /// Bytes after a whole message.
        After = "after",
        /// Whole requests for a route that is not there, one behind the other.
        Requests = "requests",
    }
}

words! {
    /// How the place comes.
    Way {
        /// As fast as it is read, until the peer is told to leave.
        Endless = "endless",
        /// A byte at a time.
        Slow = "slow",
        /// A megabyte at once, then nothing.
        Burst = "burst",
        /// Nothing of it comes.
        Stops = "stops",
        /// Twice, with the rest of the message.
        Twice = "twice",
    }
}

/// A peer with one place of its message that comes in one way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Peer {
    /// Who sends the message.
    pub side: Side,
    /// The place.
    pub place: Place,
    /// How it comes.
    pub way: Way,
}

impl fmt::Display for Peer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.side, self.place, self.way)
    }
}

impl FromStr for Peer {
    type Err = String;

    fn from_str(s: &str) -> Result<Peer, String> {
        let parts: Vec<&str> = s.split('/').collect();
        let [side, place, way] = parts[..] else {
            return Err(format!("{s:?} is no SIDE/PLACE/WAY"));
        };
        Ok(Peer {
            side: side.parse()?,
            place: place.parse()?,
            way: way.parse()?,
        })
    }
}

/// The bytes of a message around the place, and of the place.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Script {
    /// What comes before the place.
    pub before: Vec<u8>,
    /// What the place consists of, again and again.
    pub unit: Vec<u8>,
    /// What comes after the place.
    pub after: Vec<u8>,
}

impl Side {
    fn has(self, place: Place) -> bool {
        match place {
            Place::Informational | Place::Unframed => self != Side::Caller,
            Place::Event | Place::Comments => self == Side::Stream,
            Place::Requests => self == Side::Caller,
            _ => true,
        }
    }
}

impl Peer {
    /// Returns all peers that make sense.
    pub fn all() -> Vec<Peer> {
        let mut peers = Vec::new();
        for &side in Side::ALL {
            for &place in Place::ALL.iter().filter(|place| side.has(**place)) {
                let peer = |way: &Way| Peer {
                    side,
                    place,
                    way: *way,
                };
                peers.extend(Way::ALL.iter().map(peer));
            }
        }
        peers
    }

    /// Returns the message of a request or answer with this id.
    pub fn script(self, id: &str, path: &str, key: Option<&str>) -> Script {
        let key = key.map_or_else(String::new, |key| {
            format!("Authorization: Bearer {key}\r\n")
        });
        let (start, headers) = match self.side {
            Side::Caller => (
                format!("POST {path} HTTP/1.1\r\n"),
                format!("Host: pay.example\r\nRequest-Id: {id}\r\n{key}"),
            ),
            Side::Upstream => (
                "HTTP/1.1 200 OK\r\n".to_owned(),
                format!("Request-Id: {id}\r\nResponse-Signature: s\r\n"),
            ),
            Side::Stream => (
                "HTTP/1.1 200 OK\r\n".to_owned(),
                format!(
                    "Request-Id: {id}\r\nResponse-Signature: s\r\nContent-Type: text/event-stream\r\n"
                ),
            ),
        };
        let head = format!("{start}{headers}");
        let chunked = format!("{head}Transfer-Encoding: chunked\r\n\r\n");
        let empty = format!("{head}Content-Length: 0\r\n\r\n");
        let script = |before: &str, unit: &str, after: &str| Script {
            before: before.into(),
            unit: unit.into(),
            after: after.into(),
        };
        let kilobyte = "x".repeat(1024);
        match self.place {
            Place::Blank => script("", "\r\n", &empty),
            Place::Junk => script("", "no message at all ", &empty),
            Place::StartLine => script(start.trim_end(), "x", &format!("\r\n{headers}\r\n")),
            Place::HeaderLine => script(&format!("{head}X-Long: "), "x", "\r\n\r\n"),
            Place::Headers => script(&head, "X-More: 1\r\n", "\r\n"),
            Place::Informational => script("", "HTTP/1.1 103 Early Hints\r\n\r\n", &empty),
            Place::ChunkSize => script(&chunked, "0", "\r\n\r\n"),
            Place::ChunkExtension => script(&format!("{chunked}1;a="), "x", "\r\nx\r\n0\r\n\r\n"),
            Place::SmallChunks => script(&chunked, "1\r\nx\r\n", "0\r\n\r\n"),
            Place::Chunks => script(&chunked, &format!("400\r\n{kilobyte}\r\n"), "0\r\n\r\n"),
            Place::Trailers => script(&format!("{chunked}0\r\n"), "X-More: 1\r\n", "\r\n"),
            Place::Length => script(
                &format!("{head}Content-Length: 1000000000000\r\n\r\n"),
                "x",
                "",
            ),
            Place::Unframed => script(&format!("{head}\r\n"), "x", ""),
            Place::Event => {
                let event = format!("{chunked}9\r\nid: 1\ndat\r\n3\r\na: \r\n");
                script(
                    &event,
                    &format!("400\r\n{kilobyte}\r\n"),
                    "2\r\n\n\n\r\n0\r\n\r\n",
                )
            }
            Place::Comments => script(&chunked, "4\r\n: x\n\r\n", "0\r\n\r\n"),
            Place::After => script(&empty, "x", ""),
            Place::Requests => {
                let request =
                    "GET /nowhere/ HTTP/1.1\r\nHost: pay.example\r\nRequest-Id: x\r\n\r\n";
                script("", request, "")
            }
        }
    }
}

/// Sends a message over a connection, until it has ended, the other end closes or `leaves` is set;
/// returns the number of bytes sent.
pub fn send(mut stream: &TcpStream, script: &Script, way: Way, leaves: &AtomicBool) -> u64 {
    // A write that can't go on ends soon enough to look at `leaves`.
    let _ = stream.set_write_timeout(Some(LOOK));
    let mut sent = 0;
    let mut put = |bytes: &[u8]| {
        let mut rest = bytes;
        while !rest.is_empty() && !leaves.load(Ordering::Relaxed) {
            match stream.write(rest) {
                Ok(0) => return false,
                Ok(count) => {
                    sent += count as u64;
                    rest = &rest[count..];
                }
                Err(e) if is_pause(&e) => {}
                Err(_) => return false,
            }
        }
        rest.is_empty()
    };
    let many = script.unit.repeat(WRITE.div_ceil(script.unit.len()));
    let whole = match way {
        Way::Endless => {
            put(&script.before)
                && loop {
                    if !put(&many) {
                        break false;
                    }
                }
        }
        Way::Slow => {
            put(&script.before)
                && loop {
                    let ends = script.unit.iter().any(|byte| {
                        thread::sleep(PACE);
                        !put(&[*byte])
                    });
                    if ends {
                        break false;
                    }
                }
        }
        Way::Burst => put(&script.before) && (0..BURST / WRITE).all(|_| put(&many)),
        Way::Stops => put(&script.before),
        Way::Twice => {
            let twice = script.unit.repeat(2);
            (0..2).all(|_| put(&script.before) && put(&twice) && put(&script.after))
        }
    };
    while whole && !leaves.load(Ordering::Relaxed) {
        thread::sleep(LOOK);
    }
    sent
}

fn is_pause(e: &std::io::Error) -> bool {
    use std::io::ErrorKind;
    matches!(
        e.kind(),
        ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted
    )
}
