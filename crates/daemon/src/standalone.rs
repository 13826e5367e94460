//! An entry, sidecars, sample upstreams and an in-memory platform in one
//! process, so that new users can try sorreldeck with a single command.

use crate::options::{self, LogFormat};
use crate::{entry, event_loop, propagation, sidecar};
use async_std::task;
use eyre::{eyre, Result};
use sorreldeck::tree::{self, Edit, Tree};
use sorreldeck::Revision;
use sorreldeck_emulator::engine::Speed;
use sorreldeck_emulator::{server, Engine, Plain, Quality};
use sorreldeck_net::platform::{Instance, Memory, Platform, Role};
use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::Arc;
use std::time::Duration;

/// The initial settings tree of the standalone role.
pub const TREE: &str = include_str!("../samples/standalone.toml");
/// The API key of the sample client account.
pub const KEY: &str = "demo-key";
/// The token of the sample operator.
pub const TOKEN: &str = "demo-operator";
/// The key of the links and session tokens of this process.
const LINK_KEYS: &str = "1:5f0c5a1e2b3d4c6f7a8b9c0d1e2f30415263748596a7b8c9dadbecfd0e1f2a3b";
const ENGINES: usize = 2;
const PLAINS: usize = 2;

/// Runs everything in one process until SIGTERM or SIGINT stops it.
///
/// # Errors
///
/// Fails if the address cannot be bound or the signal handlers cannot be installed.
pub async fn run(settings: options::Standalone) -> Result<()> {
    let stop = event_loop::stop_flag()?;
    let running = start(settings.listen, TREE, stop).await?.entry;
    let address = running.address;
    println!("sorreldeck answers on http://{address}, try:");
    println!("  curl -N http://{address}/v1/chat/completions -H 'authorization: Bearer {KEY}' \\");
    println!("    -d '{{\"model\": \"scribe\", \"stream\": true, \"messages\": [{{\"role\": \"user\", \"content\": \"hello\"}}]}}'");
    println!("  sorreldeck --server {address} --token {TOKEN} status");
    running.stop.ended().await;
    Ok(())
}

/// The components that run in this process.
pub struct Sample {
    /// The entry.
    pub entry: entry::Running,
    /// The sidecars; those of engines come first.
    pub sidecars: Vec<sidecar::Running>,
    /// The model engines.
    pub engines: Vec<Engine>,
    /// The plain services.
    pub plains: Vec<Plain>,
    /// The platform.
    pub memory: Arc<Memory>,
    /// The emulated quality of the versions.
    pub quality: Quality,
}

/// Starts all components in this process and waits until the settings tree is in force.
///
/// # Errors
///
/// Fails if the address cannot be bound or the tree is not valid.
pub async fn start(listen: SocketAddr, tree: &str, stop: Arc<AtomicBool>) -> Result<Sample> {
    let memory: Arc<Memory> = Arc::default();
    let platform = Platform::of_memory(memory.clone());
    let quality = Quality::default();
    server::install_rater(&memory, quality.clone());
    submit_tree(&platform, tree).await?;
    let mut instances = Vec::new();
    let (mut sidecars, mut engines, mut plains) = (Vec::new(), Vec::new(), Vec::new());
    for i in 1..=ENGINES {
        let engine = Engine::new(&format!("engine-{i}"), Speed::default(), quality.clone());
        for version in ["mini-1", "scribe-1", "scribe-2"] {
            engine.load_version(version);
        }
        let settings =
            sidecar_settings(&format!("engine-{i}"), "assistant", engine.serve().await?)?;
        let (instance, running) = start_sidecar(settings, &platform).await?;
        instances.push(instance);
        sidecars.push(running);
        engines.push(engine);
    }
    for i in 1..=PLAINS {
        let plain = Plain::new("clock", Duration::from_millis(5));
        let upstream = plain.serve().await?;
        let (instance, running) =
            start_plain(&format!("clock-{i}"), "clock", upstream, &platform).await?;
        instances.push(instance);
        sidecars.push(running);
        plains.push(plain);
    }
    let running = entry::start(entry_settings(listen)?, platform, stop).await?;
    instances.push(Instance {
        name: "entry-1".parse()?,
        role: Role::Entry,
        address: running.address,
        hall: "hall-a".parse()?,
        leaving: false,
    });
    memory.set_instances(instances);
    // Before the tree is in force, the entry knows no API key and no operator's token.
    while running.shared.tree().revision() == Revision(0) {
        task::sleep(Duration::from_millis(5)).await;
    }
    Ok(Sample {
        entry: running,
        sidecars,
        engines,
        plains,
        memory,
        quality,
    })
}

/// Adds a sidecar for a plain service at an address to a sample that runs.
///
/// # Errors
///
/// Fails if a name is not valid or the sidecar cannot start.
pub async fn add_plain(
    sample: &Sample,
    name: &str,
    pool: &str,
    upstream: SocketAddr,
) -> Result<()> {
    let platform = Platform::of_memory(sample.memory.clone());
    let (instance, _) = start_plain(name, pool, upstream, &platform).await?;
    let mut instances = platform.instances().await?;
    instances.push(instance);
    sample.memory.set_instances(instances);
    Ok(())
}

/// Submits the initial settings tree.
async fn submit_tree(platform: &Platform, text: &str) -> Result<()> {
    let entries = tree::parse_toml(text)?;
    let put = |(key, value)| Edit {
        key,
        old: None,
        new: Some(value),
    };
    let proposal = propagation::Proposal {
        author: "standalone".into(),
        ticket: 1,
        edits: entries.into_iter().map(put).collect(),
        lease: None,
    };
    match propagation::submit(platform, &Tree::default(), proposal).await? {
        propagation::Outcome::Accepted(_) => Ok(()),
        other => Err(eyre!(
            "the initial settings tree was not accepted: {other:?}"
        )),
    }
}

fn sidecar_settings(name: &str, pool: &str, upstream: SocketAddr) -> Result<options::Sidecar> {
    let any_port: SocketAddr = "127.0.0.1:0".parse()?;
    Ok(options::Sidecar {
        name: name.parse()?,
        pool: pool.parse()?,
        hall: "hall-a".parse()?,
        upstream,
        listen: any_port,
        health: any_port,
        platform: any_port,
        link_keys: LINK_KEYS.parse()?,
        slots: Speed::default().slots as u32,
        reserve: 1,
        prefill: Speed::default().prefill as u32,
        max_answer: Default::default(),
        plain: false,
        fifo: false,
        log: LogFormat::Text,
    })
}

/// Starts a sidecar for a plain service.
async fn start_plain(
    name: &str,
    pool: &str,
    upstream: SocketAddr,
    platform: &Platform,
) -> Result<(Instance, sidecar::Running)> {
    let mut settings = sidecar_settings(name, pool, upstream)?;
    settings.plain = true;
    start_sidecar(settings, platform).await
}

async fn start_sidecar(
    settings: options::Sidecar,
    platform: &Platform,
) -> Result<(Instance, sidecar::Running)> {
    let name = settings.name.as_str().parse()?;
    let hall = settings.hall.clone();
    // Sidecars are not stopped by the signals; they run until the process ends.
    let running = sidecar::start(settings, platform.clone(), Arc::default()).await?;
    let instance = Instance {
        name,
        role: Role::Sidecar,
        address: running.address,
        hall,
        leaving: false,
    };
    Ok((instance, running))
}

fn entry_settings(listen: SocketAddr) -> Result<options::Entry> {
    Ok(options::Entry {
        name: "entry-1".parse()?,
        listen,
        platform: "127.0.0.1:0".parse()?,
        link_keys: LINK_KEYS.parse()?,
        session_keys: LINK_KEYS.parse()?,
        root_token: None,
        sidecars: Vec::new(),
        policy: sorreldeck::pick::Policy::FirstToken,
        sample: sorreldeck::Share::ALL,
        judge: sorreldeck::entry::Judge::Sequential,
        even_limits: false,
        grace: sorreldeck::Span::from_millis(500),
        log: LogFormat::Text,
    })
}
