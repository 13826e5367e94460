//! Distinguishes a run that an upstream aborted from one that ended because the upstream
//! crashed.
//!
//! The connection breaks in both cases. Whether the request may have crashed the upstream
//! shows only in whether the upstream still accepts connections.

use sorreldeck::{Failure, Reason, Verdict};
use sorreldeck_net::reach;
use std::net::SocketAddr;

/// Returns the failure, with its reason changed to [`Reason::UpstreamLost`] if the upstream
/// refuses connections.
///
/// This opens a connection for each broken run; a crashed process refuses it within one
/// round trip.
pub async fn classify(mut failure: Failure, address: SocketAddr) -> Failure {
    let may_be_lost = [Reason::UpstreamFailed, Reason::ConnectionClosed].contains(&failure.reason);
    let is_broken = may_be_lost && failure.verdict != Verdict::NotRun;
    if is_broken && reach::is_refused(address).await {
        failure.reason = Reason::UpstreamLost;
    }
    failure
}
