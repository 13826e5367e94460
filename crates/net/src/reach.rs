//! Whether a server is there at all.
//!
//! ```no_run
//! # async_std::task::block_on(async {
//! let address = "127.0.0.1:8080".parse().unwrap();
//! assert!(!sorreldeck_net::reach::is_refused(address).await);
//! # });
//! ```

use crate::socket::Socket;
use async_std::future::timeout;
use futures_lite::AsyncReadExt;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

/// How long a server may take to take or refuse a connection: data halls are some
/// milliseconds apart, and whoever asks holds a request up meanwhile.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(150);

/// How long a connection that was taken must stay open for its server to be there. A process
/// that ends closes its connections before its listener, or the other way round; that took over a
/// millisecond once where the machine was busy.
const STAYS: Duration = Duration::from_millis(40);

/// What came of opening a connection.
enum Look {
    Taken(Socket),
    Refused,
    /// Silence, or the network's trouble.
    Unknown,
}

/// Returns whether nobody listens at an address. Silence is no refusal: it may be the
/// network's.
pub async fn is_refused(address: SocketAddr) -> bool {
    match look(address).await {
        Look::Refused => true,
        Look::Taken(stream) if closes(&stream).await => {
            matches!(look(address).await, Look::Refused)
        }
        Look::Taken(_) | Look::Unknown => false,
    }
}

/// Returns whether somebody takes a connection at an address and keeps it, within
/// some 200 ms.
pub async fn is_taken(address: SocketAddr) -> bool {
    match look(address).await {
        Look::Taken(stream) => !closes(&stream).await,
        Look::Refused | Look::Unknown => false,
    }
}

async fn look(address: SocketAddr) -> Look {
    match timeout(ANSWER_TIMEOUT, Socket::connect(address)).await {
        Ok(Ok(stream)) => Look::Taken(stream),
        Ok(Err(e)) if e.kind() == ErrorKind::ConnectionRefused => Look::Refused,
        Ok(Err(_)) | Err(_) => Look::Unknown,
    }
}

/// Returns whether the other end closes a connection at once.
async fn closes(stream: &Socket) -> bool {
    let mut byte = [0];
    let mut stream = stream.stream();
    let read = timeout(STAYS, stream.read(&mut byte)).await;
    matches!(read, Ok(Ok(0) | Err(_)))
}
