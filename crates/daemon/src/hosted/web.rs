//! HTTP endpoints for readiness and metrics.

use super::event_loop::EventLoop;
use super::message::Message;
use super::shared::Shared;
use sorreldeck_net::open::Bound;

/// The open connections of each endpoint; descriptors and memory are for requests.
pub const OPEN: Bound = Bound::Oldest(64);

/// Returns the application of the readiness check.
pub fn health(shared: Shared) -> tide::Server<Shared> {
    let mut app = tide::with_state(shared);
    app.at("/ready")
        .get(|request: tide::Request<Shared>| async move {
            let ready = request.state().is_ready();
            Ok(tide::Response::new(if ready { 200 } else { 503 }))
        });
    app
}

/// Returns the application that serves the metrics.
pub fn metrics(shared: Shared) -> tide::Server<Shared> {
    let mut app = tide::with_state(shared);
    app.at("/metrics")
        .get(|request: tide::Request<Shared>| async move {
            let (sender, text) = async_channel::bounded(1);
            let collect = move |event_loop: &mut EventLoop| {
                // Sending fails if the client disconnected in the meantime.
                let _ = sender.try_send(event_loop.metrics_text());
            };
            let message = Message::Execute(Box::new(collect));
            if request.state().send.send(message).await.is_err() {
                return Ok(tide::Response::new(503));
            }
            let text = text.recv().await.unwrap_or_default();
            let response = tide::Response::builder(200).body(text);
            Ok(response.content_type("text/plain; version=0.0.4").build())
        });
    app
}
