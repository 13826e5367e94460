//! The hosted role: an entry that calls upstreams itself, on a platform that runs the instances
//! and has a durable store.
//!
//! All entries share the same decision logic ([`sorreldeck::entry`]). This module adds the
//! frontend for clients, one task per run at an upstream, tasks that follow the platform's
//! store, and links to other hosted entries, which are asked for the tables when the store is
//! unreachable. One event loop owns the state.

mod answers;
mod client;
mod connections;
mod duties;
mod event_loop;
mod followers;
mod frontend;
mod hints;
mod holds;
mod issues;
mod load;
mod log;
mod message;
mod mirror;
mod mover;
mod pack;
mod peer;
mod reconcile;
mod refusals;
mod relay;
mod replica;
mod reports;
pub mod response;
mod restorer;
mod shared;
mod speeds;
mod usage;
mod web;

pub use event_loop::EventLoop;
pub use holds::Record;
pub use log::start as start_log;
pub use message::Message;
pub use mirror::{Ignored, Malformed, Merge, Mirror, Replaced, Rewrite, Suspects, Update};
pub use relay::{Command, Relay};
pub use shared::Shared;

use crate::clock::{self, Clock};
use crate::event_loop::Stop;
use crate::options;
use ::log::info;
use async_io::Async;
use async_std::net::TcpListener;
use async_std::task;
use eyre::{eyre, Result, WrapErr};
use sorreldeck::Incarnation;
use sorreldeck_net::h1::Door;
use sorreldeck_net::http;
use sorreldeck_net::socket;
use sorreldeck_platform::{Settings, Store};
use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::Arc;

/// A running hosted entry.
pub struct Running {
    /// The address for clients.
    pub callers: SocketAddr,
    /// The address of the readiness check.
    pub ready: SocketAddr,
    /// The address for links from other entries, if there is one.
    pub links: Option<SocketAddr>,
    /// The address of the metrics and the status, if they are served.
    pub metrics: Option<SocketAddr>,
    /// Stops the entry.
    pub stop: Stop,
}

/// Runs a hosted entry until SIGTERM or SIGINT.
///
/// # Errors
///
/// Fails if the settings are invalid or an address cannot be listened on.
pub async fn run(options: options::Hosted) -> Result<()> {
    let path = options
        .settings
        .clone()
        .or_else(Settings::path)
        .ok_or_else(|| eyre!("no settings file: give --settings"))?;
    let text = std::fs::read_to_string(&path).wrap_err("the settings file cannot be read")?;
    let settings = Settings::from_json(&text)?;
    let clock = Clock::start();
    let stop = crate::event_loop::stop_flag()?;
    let reload = crate::event_loop::reload_flag()?;
    task::spawn(watch_settings(path, settings.clone(), reload));
    let running = start(options, settings, clock, stop).await?;
    running.stop.ended().await;
    info!("event=stop");
    Ok(())
}

/// Interval at which the SIGHUP flag is checked.
const RELOAD_CHECK_INTERVAL: std::time::Duration = std::time::Duration::from_millis(500);

/// Reads the settings again on SIGHUP. They are fixed for the lifetime of a process, so a
/// change is only logged.
async fn watch_settings(path: std::path::PathBuf, current: Settings, reload: Arc<AtomicBool>) {
    loop {
        task::sleep(RELOAD_CHECK_INTERVAL).await;
        if !reload.swap(false, std::sync::atomic::Ordering::Relaxed) {
            continue;
        }
        let result = std::fs::read_to_string(&path);
        let result = result.map_err(|e| e.to_string());
        match result.and_then(|text| Settings::from_json(&text).map_err(|e| e.to_string())) {
            Ok(settings) => info!("event=reload changed={}", settings != current),
            Err(e) => ::log::error!("event=reload error={e:?}"),
        }
    }
}

/// Starts a hosted entry in this process.
///
/// # Errors
///
/// Fails if an address cannot be listened on.
pub async fn start(
    options: options::Hosted,
    settings: Settings,
    clock: Clock,
    stop: Arc<AtomicBool>,
) -> Result<Running> {
    socket::configure(options.turn, options.framing);
    let callers = Async::<std::net::TcpListener>::bind(settings.front_address)?;
    let ready = TcpListener::bind(settings.readiness_address).await?;
    let (callers_at, ready_at) = (callers.get_ref().local_addr()?, ready.local_addr()?);
    let incarnation = Incarnation(u64::from_le_bytes(clock::random()));
    info!(
        "event=start instance={} hall={} incarnation={incarnation} callers={callers_at}",
        settings.instance, settings.hall
    );
    let (send, receive) = async_channel::unbounded();
    let (end, ended) = async_channel::bounded::<()>(1);
    let shared = Shared::new(send, incarnation, &settings, clock.clone());
    let door = Arc::new(Door::default());
    let store = Store::new(settings.store_address);
    task::spawn(frontend::listen(callers, shared.clone(), door.clone()));
    task::spawn(http::serve(ready, web::health(shared.clone()), web::OPEN));
    let mut metrics_at = None;
    if let Some(port) = options.metrics {
        let metrics = TcpListener::bind((settings.ip, port)).await?;
        metrics_at = Some(metrics.local_addr()?);
        task::spawn(http::serve(
            metrics,
            web::metrics(shared.clone()),
            web::OPEN,
        ));
    }
    let mut links_at = None;
    if let Some(links) = settings.link_address {
        let links = TcpListener::bind(links).await?;
        links_at = Some(links.local_addr()?);
        let keys = options.link_keys.clone();
        task::spawn(peer::listen(links, keys, shared.clone()));
    }
    let room = EventLoop::new(&options, &settings, shared, store, door, links_at, clock);
    let flag = stop.clone();
    task::spawn(async move {
        room.work(receive, flag).await;
        drop(end);
    });
    Ok(Running {
        callers: callers_at,
        ready: ready_at,
        links: links_at,
        metrics: metrics_at,
        stop: Stop::new(stop, ended),
    })
}
