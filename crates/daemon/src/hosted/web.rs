//! HTTP endpoints for readiness, metrics and status.

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

/// Returns the application that serves the metrics and the status.
pub fn metrics(shared: Shared) -> tide::Server<Shared> {
    let mut app = tide::with_state(shared);
    app.at("/metrics")
        .get(|request: tide::Request<Shared>| async move {
            let text = ask(request.state(), EventLoop::metrics_text).await;
            Ok(reply(text, "text/plain; version=0.0.4"))
        });
    app.at("/admin/v1/status")
        .get(|request: tide::Request<Shared>| async move {
            let status = ask(request.state(), |event_loop| {
                event_loop.status().to_string()
            });
            Ok(reply(status.await, "application/json"))
        });
    app
}

/// Returns what the event loop answers, or `None` once it has ended.
async fn ask(
    shared: &Shared,
    query: impl FnOnce(&mut EventLoop) -> String + Send + 'static,
) -> Option<String> {
    let (sender, answer) = async_channel::bounded(1);
    let execute = move |event_loop: &mut EventLoop| {
        // Sending fails if the client disconnected in the meantime.
        let _ = sender.try_send(query(event_loop));
    };
    let message = Message::Execute(Box::new(execute));
    shared.send.send(message).await.ok()?;
    answer.recv().await.ok()
}

fn reply(text: Option<String>, content_type: &str) -> tide::Response {
    match text {
        Some(text) => {
            let response = tide::Response::builder(200).body(text);
            response.content_type(content_type).build()
        }
        None => tide::Response::new(503),
    }
}
