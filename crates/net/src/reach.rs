//! Whether a server is there at all.
//!
//! ```no_run
//! # async_std::task::block_on(async {
//! let address = "127.0.0.1:8080".parse().unwrap();
//! assert!(!sorreldeck_net::reach::is_refused(address).await);
//! # });
//! ```

use async_std::future::timeout;
use async_std::net::TcpStream;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

/// How long a server may take to take or refuse a connection: data halls are some
/// milliseconds apart, and whoever asks holds a request up meanwhile.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(150);

/// Returns whether nobody listens at an address. Silence is no refusal: it may be the
/// network's.
pub async fn is_refused(address: SocketAddr) -> bool {
    match timeout(ANSWER_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Err(e)) => e.kind() == ErrorKind::ConnectionRefused,
        Ok(Ok(_)) | Err(_) => false,
    }
}
