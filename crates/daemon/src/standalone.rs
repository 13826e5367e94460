//! An entry, sidecars, sample upstreams and an in-memory platform in one
//! process, so that a newcomer sees an answer after one command.

use crate::options::{self, LogFormat};
use crate::{entry, sidecar, spread, turn};
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

/// The settings tree that the standalone role starts with.
pub const TREE: &str = include_str!("../samples/standalone.toml");
/// The API key of the sample client account.
pub const KEY: &str = "demo-key";
/// The token of the sample operator.
pub const TOKEN: &str = "demo-operator";
/// The key that the links within this one process use.
const LINK_KEYS: &str = "1:5f0c5a1e2b3d4c6f7a8b9c0d1e2f30415263748596a7b8c9dadbecfd0e1f2a3b";
const ENGINES: usize = 2;
const PLAINS: usize = 2;

/// Runs everything in one process until it is told to stop.
///
/// # Errors
///
/// Fails when the address cannot be listened on.
pub async fn run(settings: options::Standalone) -> Result<()> {
    let stop = turn::on_signal()?;
    let running = start(settings.listen, TREE, stop).await?.entry;
    let address = running.address;
    println!("sorreldeck answers on http://{address}, try:");
    println!("  curl -N http://{address}/v1/chat/completions -H 'authorization: Bearer {KEY}' \\");
    println!("    -d '{{\"model\": \"scribe\", \"stream\": true, \"messages\": [{{\"role\": \"user\", \"content\": \"hello\"}}]}}'");
    println!("  sorreldeck --server {address} --token {TOKEN} status");
    running.stop.ended().await;
    Ok(())
}

/// Everything that runs in this process.
pub struct Sample {
    /// The entry.
    pub entry: entry::Running,
    /// The sidecars, those of engines first.
    pub sidecars: Vec<sidecar::Running>,
    /// The model engines.
    pub engines: Vec<Engine>,
    /// The plain services.
    pub plains: Vec<Plain>,
    /// The platform.
    pub memory: Arc<Memory>,
    /// How good the versions are.
    pub quality: Quality,
}

/// Starts everything in this process, with a tree in force.
///
/// # Errors
///
/// Fails when the address cannot be listened on or the tree is not valid.
pub async fn start(listen: SocketAddr, tree: &str, stop: Arc<AtomicBool>) -> Result<Sample> {
    let memory: Arc<Memory> = Arc::default();
    let platform = Platform::of_memory(memory.clone());
    let quality = Quality::default();
    server::install_rater(&memory, quality.clone());
    plant(&platform, tree).await?;
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
        let mut settings = sidecar_settings(&format!("clock-{i}"), "clock", plain.serve().await?)?;
        settings.plain = true;
        let (instance, running) = start_sidecar(settings, &platform).await?;
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
    // Until then no key and no token is known to the entry.
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

/// Has a first tree accepted.
async fn plant(platform: &Platform, text: &str) -> Result<()> {
    let entries = tree::parse_toml(text)?;
    let put = |(key, value)| Edit {
        key,
        old: None,
        new: Some(value),
    };
    let wish = spread::Wish {
        author: "standalone".into(),
        ticket: 1,
        edits: entries.into_iter().map(put).collect(),
        lease: None,
    };
    match spread::accept(platform, &Tree::default(), wish).await? {
        spread::Outcome::Accepted(_) => Ok(()),
        other => Err(eyre!("the sample tree was not accepted: {other:?}")),
    }
}

fn sidecar_settings(name: &str, pool: &str, upstream: SocketAddr) -> Result<options::Sidecar> {
    let free: SocketAddr = "127.0.0.1:0".parse()?;
    Ok(options::Sidecar {
        name: name.parse()?,
        pool: pool.parse()?,
        hall: "hall-a".parse()?,
        upstream,
        listen: free,
        health: free,
        platform: free,
        link_keys: LINK_KEYS.parse()?,
        slots: Speed::default().slots as u32,
        reserve: 1,
        prefill: Speed::default().prefill as u32,
        plain: false,
        fifo: false,
        log: LogFormat::Text,
    })
}

async fn start_sidecar(
    settings: options::Sidecar,
    platform: &Platform,
) -> Result<(Instance, sidecar::Running)> {
    let name = settings.name.as_str().parse()?;
    let hall = settings.hall.clone();
    // Each has a stop of its own; what lasts here ends with the process.
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
