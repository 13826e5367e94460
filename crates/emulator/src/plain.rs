//! An emulated plain service that echoes every call and counts calls by the key in a header.
//!
//! ```
//! use sorreldeck_emulator::Plain;
//!
//! # async_std::task::block_on(async {
//! let plain = Plain::new("clock", std::time::Duration::ZERO);
//! let address = plain.serve().await?;
//! let client = sorreldeck_net::http::Client::default();
//! let reply = client.get(address, "/in?site=7").await.unwrap();
//! assert_eq!(reply.text(), r#"{"service":"clock","method":"GET","path":"/in?site=7","body":""}"#);
//! # std::io::Result::Ok(())
//! # }).unwrap();
//! ```

use async_std::task;
use sorreldeck_net::http;
use sorreldeck_net::open::Bound;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tide::{Body, Request, Response};

/// The header whose value calls are counted by.
pub const KEY_HEADER: &str = "x-entry-key";

/// An emulated plain service; clones share its state.
#[derive(Clone)]
pub struct Plain(Arc<Shared>);

struct Shared {
    name: String,
    delay: Duration,
    runs: Mutex<BTreeMap<String, u32>>,
}

impl Plain {
    /// Creates a service that answers each call after a delay.
    pub fn new(name: &str, delay: Duration) -> Plain {
        Plain(Arc::new(Shared {
            name: name.to_owned(),
            delay,
            runs: Mutex::default(),
        }))
    }

    /// Returns the number of calls by key.
    pub fn runs(&self) -> BTreeMap<String, u32> {
        self.0
            .runs
            .lock()
            .unwrap_or_else(|e| e.into_inner())
            .clone()
    }

    /// Starts the server on a free loopback port.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub async fn serve(&self) -> io::Result<SocketAddr> {
        let (listener, address) = crate::listen().await?;
        self.serve_on(listener);
        Ok(address)
    }

    /// Starts the server on a listener.
    pub fn serve_on(&self, listener: async_std::net::TcpListener) {
        let mut app = tide::with_state(self.clone());
        app.at("/").all(answer);
        app.at("/*").all(answer);
        task::spawn(http::serve(listener, app, Bound::None));
    }

    fn count(&self, key: &str) {
        let mut runs = self.0.runs.lock().unwrap_or_else(|e| e.into_inner());
        *runs.entry(key.to_owned()).or_default() += 1;
    }
}

async fn answer(mut request: Request<Plain>) -> tide::Result {
    let plain = request.state().clone();
    if request.url().path() == "/ran" {
        return Ok(Body::from_json(&plain.runs())?.into());
    }
    let body = request.body_string().await.unwrap_or_default();
    if let Some(key) = request.header(KEY_HEADER) {
        plain.count(key.as_str());
    }
    task::sleep(plain.0.delay).await;
    let text = text_of(
        &plain.0.name,
        request.method().as_ref(),
        &target(&request),
        &body,
    );
    let mut response = Response::new(200);
    response.insert_header("content-type", "application/json");
    response.set_body(text);
    Ok(response)
}

fn target(request: &Request<Plain>) -> String {
    let url = request.url();
    match url.query() {
        Some(query) => format!("{}?{query}", url.path()),
        None => url.path().to_owned(),
    }
}

/// Returns the body of the answer to a call.
pub fn text_of(service: &str, method: &str, path: &str, body: &str) -> String {
    let answer = serde_json::json!({
        "service": service,
        "method": method,
        "path": path,
        "body": body,
    });
    answer.to_string()
}
