//! Emulates the upstreams and the platform of sorreldeck: model engines, plain services, and the
//! platform's services. Faults can be injected. Used by the standalone role, tests and
//! experiments.

pub mod answer;
pub mod crash;
pub mod engine;
pub mod hostile;
pub mod notice;
pub mod overload;
pub mod plain;
pub mod quality;
pub mod routed;
pub mod schedule;
pub mod server;
pub mod text;

pub use engine::Engine;
pub use plain::Plain;
pub use quality::Quality;

use async_std::net::TcpListener;
use std::io;
use std::net::SocketAddr;

/// Opens a listener on a free loopback port.
///
/// # Errors
///
/// Returns an error if no port can be bound.
pub async fn listen() -> io::Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}
