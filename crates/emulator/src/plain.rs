//! A plain service: it answers every call with what the call was, and counts
//! the calls by the key that they carry.
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
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tide::{Body, Request, Response};

/// The header by whose value calls are counted.
pub const KEY_HEADER: &str = "x-entry-key";

/// A plain service; copies are the same service.
#[derive(Clone)]
pub struct Plain(Arc<Shared>);

struct Shared {
    name: String,
    time: Duration,
    ran: Mutex<BTreeMap<String, u32>>,
}

impl Plain {
    /// Creates a service that takes a time for each call.
    pub fn new(name: &str, time: Duration) -> Plain {
        Plain(Arc::new(Shared {
            name: name.to_owned(),
            time,
            ran: Mutex::default(),
        }))
    }

    /// Returns how often each key was called.
    pub fn runs(&self) -> BTreeMap<String, u32> {
        self.0.ran.lock().unwrap_or_else(|e| e.into_inner()).clone()
    }

    /// Serves on a loopback port that the system chooses.
    ///
    /// # Errors
    ///
    /// Fails when no port is free.
    pub async fn serve(&self) -> io::Result<SocketAddr> {
        let (listener, address) = crate::listen().await?;
        self.serve_on(listener);
        Ok(address)
    }

    /// Serves on a listener.
    pub fn serve_on(&self, listener: async_std::net::TcpListener) {
        let mut app = tide::with_state(self.clone());
        app.at("/").all(answer);
        app.at("/*").all(answer);
        task::spawn(http::serve(listener, app));
    }

    fn count(&self, key: &str) {
        let mut ran = self.0.ran.lock().unwrap_or_else(|e| e.into_inner());
        *ran.entry(key.to_owned()).or_default() += 1;
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
    task::sleep(plain.0.time).await;
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

/// Returns the answer to a call.
pub fn text_of(service: &str, method: &str, path: &str, body: &str) -> String {
    let answer = serde_json::json!({
        "service": service,
        "method": method,
        "path": path,
        "body": body,
    });
    answer.to_string()
}
