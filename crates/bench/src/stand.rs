//! The process that runs the stand-ins.

use bpaf::Bpaf;
use eyre::Result;
use serde::{Deserialize, Serialize};
use sorreldeck_emulator::engine::Speed;
use sorreldeck_emulator::{listen, server, Engine, Plain, Quality};
use sorreldeck_net::platform::Memory;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// What stand-ins are run.
#[derive(Clone, Debug, Bpaf)]
pub struct Options {
    /// The number of model engines
    #[bpaf(long, argument("N"), fallback(0))]
    pub engines: usize,
    /// The number of plain services
    #[bpaf(long, argument("N"), fallback(0))]
    pub plains: usize,
    /// The versions that every engine has loaded, separated by commas
    #[bpaf(long, argument("NAMES"), fallback(String::new()))]
    pub versions: String,
    /// The requests in the batch of an engine
    #[bpaf(long, argument("N"), fallback(16))]
    pub slots: usize,
    /// The time of a step of an engine, in microseconds
    #[bpaf(long, argument("US"), fallback(8000))]
    pub base: u64,
    /// The time that each request in the batch adds to a step, in microseconds
    #[bpaf(long, argument("US"), fallback(250))]
    pub each: u64,
    /// The prompt tokens that an engine works through in a second
    #[bpaf(long, argument("N"), fallback(20000.0))]
    pub prefill: f64,
    /// The prompt tokens that an engine works through in one step
    #[bpaf(long, argument("N"), fallback(512.0))]
    pub chunk: f64,
    /// The tokens that the prefix cache of an engine holds
    #[bpaf(long, argument("N"), fallback(65536))]
    pub cache: usize,
    /// The time of a call of a plain service, in microseconds
    #[bpaf(long, argument("US"), fallback(2000))]
    pub plain_time: u64,
}

impl Options {
    /// Returns the arguments that give these options.
    pub fn arguments(&self) -> Vec<String> {
        let pairs = [
            ("--engines", self.engines.to_string()),
            ("--plains", self.plains.to_string()),
            ("--versions", self.versions.clone()),
            ("--slots", self.slots.to_string()),
            ("--base", self.base.to_string()),
            ("--each", self.each.to_string()),
            ("--prefill", self.prefill.to_string()),
            ("--chunk", self.chunk.to_string()),
            ("--cache", self.cache.to_string()),
            ("--plain-time", self.plain_time.to_string()),
        ];
        let pair = |(name, value): (&str, String)| [name.to_owned(), value];
        pairs.into_iter().flat_map(pair).collect()
    }

    fn speed(&self) -> Speed {
        Speed {
            slots: self.slots,
            prefill: self.prefill,
            chunk: self.chunk,
            base: Duration::from_micros(self.base),
            per_request: Duration::from_micros(self.each),
            cache: self.cache,
            ..Speed::default()
        }
    }
}

/// Where the stand-ins are.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Addresses {
    /// The platform.
    pub platform: SocketAddr,
    /// The model engines.
    pub engines: Vec<SocketAddr>,
    /// The plain services.
    pub plains: Vec<SocketAddr>,
}

/// Runs stand-ins; the first line printed tells where they are.
pub async fn run(options: Options) -> Result<bool> {
    let quality = Quality::default();
    let (listener, platform) = listen().await?;
    server::serve_on(listener, Arc::new(Memory::default()), quality.clone());
    let mut addresses = Addresses {
        platform,
        engines: Vec::new(),
        plains: Vec::new(),
    };
    for i in 0..options.engines {
        let engine = Engine::new(&format!("engine-{i}"), options.speed(), quality.clone());
        for version in options.versions.split(',').filter(|v| !v.is_empty()) {
            engine.load_version(version);
        }
        addresses.engines.push(engine.serve().await?);
    }
    for _ in 0..options.plains {
        let plain = Plain::new("plain", Duration::from_micros(options.plain_time));
        addresses.plains.push(plain.serve().await?);
    }
    println!("{}", serde_json::to_string(&addresses)?);
    futures_lite::future::pending::<()>().await;
    Ok(true)
}
