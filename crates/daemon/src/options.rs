//! The settings of a process: flags, each with an environment variable.

use crate::upstream::MaxAnswer;
use bpaf::Bpaf;
use sorreldeck::admission::Scope;
use sorreldeck::entry::{Judge, CONFIDENCE_THRESHOLDS};
use sorreldeck::escalation::ModelChoice;
use sorreldeck::pick::{Contention, Policy};
use sorreldeck::session::Keyring;
use sorreldeck::{Hall, InstanceId, PoolId, Share, Span, UpstreamId};
use sorreldeck_net::events;
use sorreldeck_net::link::Keys;
use sorreldeck_net::socket::{Framing, Turn};
use std::net::SocketAddr;

/// The role of a daemon and its settings.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version, fallback_to_usage)]
/// The daemon of sorreldeck, a model-aware router for versions and cascades.
///
/// A daemon has one role. Entries serve callers and operators; each upstream
/// has a sidecar as its proxy; `standalone` runs both in one process, with
/// sample upstreams, for evaluation.
pub enum Options {
    /// Serve callers and operators
    #[bpaf(command)]
    Entry(#[bpaf(external(entry))] Entry),
    /// Proxy the requests to one upstream
    #[bpaf(command)]
    Sidecar(#[bpaf(external(sidecar))] Sidecar),
    /// Run an entry, sidecars and sample upstreams in one process
    #[bpaf(command)]
    Standalone(#[bpaf(external(standalone))] Standalone),
    /// Serve callers and call upstreams directly, on a platform that manages the instances
    #[bpaf(command)]
    Hosted(#[bpaf(external(hosted))] Hosted),
}

/// The settings of a hosted entry that the platform does not provide.
#[derive(Clone, Debug, Bpaf)]
pub struct Hosted {
    /// The settings file of the platform; by default the path that the platform provides
    #[bpaf(long, argument("FILE"), optional)]
    pub settings: Option<std::path::PathBuf>,
    /// Keys of links between processes, ID:HEX,..., the one in use first
    #[bpaf(long, env("SORRELDECK_LINK_KEYS"), argument("KEYS"))]
    pub link_keys: Keys,
    /// Keys of session tokens, ID:HEX,..., the one in use first
    #[bpaf(long, env("SORRELDECK_SESSION_KEYS"), argument("KEYS"))]
    pub session_keys: Keyring,
    /// The port of the metrics endpoint; without it no metrics are served
    #[bpaf(long, argument("PORT"), optional)]
    pub metrics: Option<u16>,
    /// How an upstream is chosen: first-token, or a baseline: round-robin, least-in-flight, two-choices
    #[bpaf(long, argument("POLICY"), fallback(Policy::FirstToken))]
    pub policy: Policy,
    /// The minimum confidence of a small model's answer that is returned, for routes of rank 0, 1, and 2 and above
    #[bpaf(
        long,
        argument("SHARE,SHARE,SHARE"),
        fallback(Thresholds(CONFIDENCE_THRESHOLDS))
    )]
    pub accept: Thresholds,
    /// Which pools are contended: on (all), off (none) or auto (all where the platform's settings ask for it, else those whose upstreams tell their pace)
    #[bpaf(long, argument("on|off|auto"), fallback(Contention::Detect))]
    pub contention: Contention,
    /// For what contended pools refuse requests: time (what cannot be served in its time) or room (also by rank and client account while room is short)
    #[bpaf(long, argument("time|room"), fallback(Scope::Time))]
    pub admission: Scope,
    /// How contended pools choose models: thresholds (of --accept) or worth (of an answer against the work it takes)
    #[bpaf(long, argument("thresholds|worth"), fallback(ModelChoice::Thresholds))]
    pub model_choice: ModelChoice,
    /// The bytes that a connection may read before others get their turn, 4096 to 1048576
    #[bpaf(
        long("turn-bytes"),
        argument("BYTES"),
        fallback(Turn::default()),
        display_fallback
    )]
    pub turn: Turn,
    /// The bytes of framing that a message may have besides its head, 65536 to 67108864, and for each byte of its content, 1 to 1024
    #[bpaf(
        long,
        argument("BYTES:RATIO"),
        fallback(Framing::default()),
        display_fallback
    )]
    pub framing: Framing,
    /// The largest event of a stream in bytes, 16384 to 16777216
    #[bpaf(
        long("event-bytes"),
        argument("BYTES"),
        fallback(events::MaxSize::default()),
        display_fallback
    )]
    pub max_event: events::MaxSize,
    /// The format of log lines
    #[bpaf(external(log_format))]
    pub log: LogFormat,
}

/// The settings of an entry.
#[derive(Clone, Debug, Bpaf)]
pub struct Entry {
    /// The name of this instance
    #[bpaf(long, env("SORRELDECK_NAME"), argument("NAME"))]
    pub name: InstanceId,
    /// The listening address for callers and operators; with port 0 the system chooses one
    #[bpaf(
        long,
        env("SORRELDECK_LISTEN"),
        argument("IP:PORT"),
        fallback("127.0.0.1:8080".parse().unwrap()),
        display_fallback
    )]
    pub listen: SocketAddr,
    /// The address of the platform
    #[bpaf(long, env("SORRELDECK_PLATFORM"), argument("IP:PORT"))]
    pub platform: SocketAddr,
    /// Keys of links between processes, ID:HEX,..., the one in use first
    #[bpaf(long, env("SORRELDECK_LINK_KEYS"), argument("KEYS"))]
    pub link_keys: Keys,
    /// Keys of session tokens, ID:HEX,..., the one in use first
    #[bpaf(long, env("SORRELDECK_SESSION_KEYS"), argument("KEYS"))]
    pub session_keys: Keyring,
    /// The hash of a token that may edit the whole settings tree, for the initial set-up
    #[bpaf(long, env("SORRELDECK_ROOT_TOKEN"), argument("HASH"), optional)]
    pub root_token: Option<String>,
    /// The link address of a sidecar to connect to in addition to those in the platform's list
    #[bpaf(long("sidecar"), argument("IP:PORT"), many)]
    pub sidecars: Vec<SocketAddr>,
    /// How an upstream is chosen: first-token, or a baseline: round-robin, least-in-flight, two-choices
    #[bpaf(
        long,
        env("SORRELDECK_POLICY"),
        argument("POLICY"),
        fallback(Policy::FirstToken)
    )]
    pub policy: Policy,
    /// The share of answers that is sent to the rating service
    #[bpaf(
        long,
        env("SORRELDECK_SAMPLE"),
        argument("SHARE"),
        fallback(Share::ALL),
        display_fallback
    )]
    pub sample: Share,
    /// How a new version is evaluated: sequential, or a baseline: window
    #[bpaf(
        long,
        env("SORRELDECK_JUDGE"),
        argument("JUDGE"),
        fallback(Judge::Sequential)
    )]
    pub judge: Judge,
    /// Divide limits evenly over the entries, regardless of demand (a baseline)
    #[bpaf(long, switch)]
    pub even_limits: bool,
    /// How long requests are still accepted after SIGTERM, until the load balancer stops sending them
    #[bpaf(
        long,
        env("SORRELDECK_GRACE"),
        argument("SPAN"),
        fallback(Span::from_millis(3000)),
        display_fallback
    )]
    pub grace: Span,
    /// The format of log lines
    #[bpaf(external(log_format))]
    pub log: LogFormat,
}

/// The settings of a sidecar.
#[derive(Clone, Debug, Bpaf)]
pub struct Sidecar {
    /// The name of the upstream
    #[bpaf(long, env("SORRELDECK_NAME"), argument("NAME"))]
    pub name: UpstreamId,
    /// The pool of the upstream
    #[bpaf(long, env("SORRELDECK_POOL"), argument("POOL"))]
    pub pool: PoolId,
    /// The data hall of the upstream
    #[bpaf(long, env("SORRELDECK_HALL"), argument("HALL"))]
    pub hall: Hall,
    /// The address of the upstream
    #[bpaf(long, env("SORRELDECK_UPSTREAM"), argument("IP:PORT"))]
    pub upstream: SocketAddr,
    /// The listening address for links; with port 0 the system chooses one
    #[bpaf(
        long,
        env("SORRELDECK_LISTEN"),
        argument("IP:PORT"),
        fallback("127.0.0.1:8090".parse().unwrap()),
        display_fallback
    )]
    pub listen: SocketAddr,
    /// The listening address for health checks and metrics; with port 0 the system chooses one
    #[bpaf(
        long,
        env("SORRELDECK_HEALTH"),
        argument("IP:PORT"),
        fallback("127.0.0.1:8091".parse().unwrap()),
        display_fallback
    )]
    pub health: SocketAddr,
    /// The address of the platform
    #[bpaf(long, env("SORRELDECK_PLATFORM"), argument("IP:PORT"))]
    pub platform: SocketAddr,
    /// Keys of links between processes, ID:HEX,..., the one in use first
    #[bpaf(long, env("SORRELDECK_LINK_KEYS"), argument("KEYS"))]
    pub link_keys: Keys,
    /// The number of requests that the upstream runs concurrently
    #[bpaf(
        long,
        env("SORRELDECK_SLOTS"),
        argument("N"),
        fallback(16),
        display_fallback
    )]
    pub slots: u32,
    /// The number of slots reserved for the priority class
    #[bpaf(
        long,
        env("SORRELDECK_RESERVE"),
        argument("N"),
        fallback(1),
        display_fallback
    )]
    pub reserve: u32,
    /// The prefill rate of the upstream, in prompt tokens per second
    #[bpaf(
        long,
        env("SORRELDECK_PREFILL"),
        argument("N"),
        fallback(20000),
        display_fallback
    )]
    pub prefill: u32,
    /// The largest body of an answer, in bytes
    #[bpaf(
        long,
        env("SORRELDECK_MAX_ANSWER"),
        argument("BYTES"),
        fallback(MaxAnswer::default()),
        display_fallback
    )]
    pub max_answer: MaxAnswer,
    /// The upstream is a plain service, not a model engine
    #[bpaf(long, switch)]
    pub plain: bool,
    /// Serve requests in order of arrival, without load shedding (a baseline)
    #[bpaf(long, switch)]
    pub fifo: bool,
    /// The format of log lines
    #[bpaf(external(log_format))]
    pub log: LogFormat,
}

/// The settings of the standalone role.
#[derive(Clone, Debug, Bpaf)]
pub struct Standalone {
    /// The listening address for callers and operators; with port 0 the system chooses one
    #[bpaf(
        long,
        env("SORRELDECK_LISTEN"),
        argument("IP:PORT"),
        fallback("127.0.0.1:8080".parse().unwrap()),
        display_fallback
    )]
    pub listen: SocketAddr,
    /// The format of log lines
    #[bpaf(external(log_format))]
    pub log: LogFormat,
}

/// The format of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// Human-readable text.
    Text,
    /// One JSON object per line.
    Json,
}

/// Minimum confidences, by the rank of the route.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Thresholds(pub [Share; 3]);

impl std::str::FromStr for Thresholds {
    type Err = String;

    fn from_str(s: &str) -> Result<Self, String> {
        let shares: Result<Vec<Share>, _> = s.split(',').map(str::parse).collect();
        let shares = shares.map_err(|e| e.to_string())?;
        let thresholds = <[Share; 3]>::try_from(shares);
        thresholds.map(Thresholds).map_err(|_| {
            format!("expected three comma-separated shares such as 50%,50%,50%, got {s:?}")
        })
    }
}

impl std::str::FromStr for LogFormat {
    type Err = String;

    fn from_str(s: &str) -> Result<Self, String> {
        match s {
            "text" => Ok(LogFormat::Text),
            "json" => Ok(LogFormat::Json),
            _ => Err(format!("unknown log format {s:?}: expected text or json")),
        }
    }
}

fn log_format() -> impl bpaf::Parser<LogFormat> {
    use bpaf::Parser;
    bpaf::long("log")
        .env("SORRELDECK_LOG")
        .help("The format of log lines: text or json")
        .argument::<LogFormat>("FORMAT")
        .fallback(LogFormat::Text)
}

impl Options {
    /// Returns the format of log lines.
    pub fn log_format(&self) -> LogFormat {
        match self {
            Options::Entry(entry) => entry.log,
            Options::Sidecar(sidecar) => sidecar.log,
            Options::Standalone(standalone) => standalone.log,
            Options::Hosted(hosted) => hosted.log,
        }
    }
}
