//! Stand-ins for what sorreldeck serves and is served by: model engines, plain
//! services and the platform. They are small models with switches for faults,
//! for the standalone role, the tests and the experiments.

pub mod crash;
pub mod engine;
pub mod notice;
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

/// Opens a listener on a loopback port that the system chooses.
///
/// # Errors
///
/// Fails when no port is free.
pub async fn listen() -> io::Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}
