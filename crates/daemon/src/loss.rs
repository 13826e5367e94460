//! Tells a run that an upstream cut off from one that went down with its upstream.
//!
//! The connection breaks in both cases; what a request does to its upstreams shows only
//! in whether somebody still listens there.

use sorreldeck::{Failure, Reason, Verdict};
use sorreldeck_net::reach;
use std::net::SocketAddr;

/// Returns a failure with its reason changed where the upstream is gone. It costs a
/// connection for each run that broke; a crashed process refuses it within a round trip.
pub async fn classify(mut failure: Failure, address: SocketAddr) -> Failure {
    let broke = failure.reason == Reason::UpstreamFailed && failure.verdict != Verdict::NotRun;
    if broke && reach::is_refused(address).await {
        failure.reason = Reason::UpstreamLost;
    }
    failure
}
