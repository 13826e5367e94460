//! The settings of a process: flags, each with an environment variable.

use bpaf::Bpaf;
use sorreldeck::entry::{Judge, CONFIDENCE_THRESHOLDS};
use sorreldeck::pick::Policy;
use sorreldeck::session::Keyring;
use sorreldeck::{Hall, InstanceId, PoolId, Share, Span, UpstreamId};
use sorreldeck_net::link::Keys;
use std::net::SocketAddr;

/// What a daemon is to be.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version, fallback_to_usage)]
/// The daemon of sorreldeck, a model-aware router for versions and cascades.
///
/// One daemon has one role. Entries face callers and operators; a sidecar
/// stands before each upstream; `standalone` is both in one process, with
/// sample upstreams, to try things out.
pub enum Options {
    /// Face callers and operators
    #[bpaf(command)]
    Entry(#[bpaf(external(entry))] Entry),
    /// Stand before one upstream
    #[bpaf(command)]
    Sidecar(#[bpaf(external(sidecar))] Sidecar),
    /// Serve a sample of everything in one process
    #[bpaf(command)]
    Standalone(#[bpaf(external(standalone))] Standalone),
    /// Face callers and call upstreams directly, on a platform that runs the instances
    #[bpaf(command)]
    Hosted(#[bpaf(external(hosted))] Hosted),
}

/// The settings of a hosted entry besides those that the platform tells.
#[derive(Clone, Debug, Bpaf)]
pub struct Hosted {
    /// The settings file of the platform; the platform names it otherwise
    #[bpaf(long, argument("FILE"), optional)]
    pub settings: Option<std::path::PathBuf>,
    /// Keys of links between processes, ID:HEX,..., the one in use first
    #[bpaf(long, env("SORRELDECK_LINK_KEYS"), argument("KEYS"))]
    pub link_keys: Keys,
    /// Keys of session tokens, ID:HEX,..., the one in use first
    #[bpaf(long, env("SORRELDECK_SESSION_KEYS"), argument("KEYS"))]
    pub session_keys: Keyring,
    /// The port of the metrics; none are told otherwise
    #[bpaf(long, argument("PORT"), optional)]
    pub metrics: Option<u16>,
    /// How an upstream is chosen: first-token, or a baseline: round-robin, least-in-flight, two-choices
    #[bpaf(long, argument("POLICY"), fallback(Policy::FirstToken))]
    pub policy: Policy,
    /// The confidence from which a small model's answer is given, for routes of rank 0, 1, and 2 and more
    #[bpaf(
        long,
        argument("SHARE,SHARE,SHARE"),
        fallback(Thresholds(CONFIDENCE_THRESHOLDS))
    )]
    pub accept: Thresholds,
    /// Logs as text or json
    #[bpaf(external(log_format))]
    pub log: LogFormat,
}

/// The settings of an entry.
#[derive(Clone, Debug, Bpaf)]
pub struct Entry {
    /// The name of this instance
    #[bpaf(long, env("SORRELDECK_NAME"), argument("NAME"))]
    pub name: InstanceId,
    /// The address for callers and operators; port 0 lets the system choose
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
    /// The hash of a token that may edit the whole tree, for the first set-up
    #[bpaf(long, env("SORRELDECK_ROOT_TOKEN"), argument("HASH"), optional)]
    pub root_token: Option<String>,
    /// A sidecar's link address that is tried besides the platform's list
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
    /// The share of answers that are sent to the rating service
    #[bpaf(
        long,
        env("SORRELDECK_SAMPLE"),
        argument("SHARE"),
        fallback(Share::ALL),
        display_fallback
    )]
    pub sample: Share,
    /// How a new version is judged: sequential, or a baseline: window
    #[bpaf(
        long,
        env("SORRELDECK_JUDGE"),
        argument("JUDGE"),
        fallback(Judge::Sequential)
    )]
    pub judge: Judge,
    /// Divide limits evenly over the entries, whatever the demand (a baseline)
    #[bpaf(long, switch)]
    pub even_limits: bool,
    /// How long requests are still taken after SIGTERM, while the balancer notices
    #[bpaf(
        long,
        env("SORRELDECK_GRACE"),
        argument("SPAN"),
        fallback(Span::from_millis(3000)),
        display_fallback
    )]
    pub grace: Span,
    /// Logs as text or json
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
    /// The address for links; port 0 lets the system choose
    #[bpaf(
        long,
        env("SORRELDECK_LISTEN"),
        argument("IP:PORT"),
        fallback("127.0.0.1:8090".parse().unwrap()),
        display_fallback
    )]
    pub listen: SocketAddr,
    /// The address for health checks and metrics; port 0 lets the system choose
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
    /// The requests that the upstream runs at a time
    #[bpaf(
        long,
        env("SORRELDECK_SLOTS"),
        argument("N"),
        fallback(16),
        display_fallback
    )]
    pub slots: u32,
    /// The slots kept for the priority class
    #[bpaf(
        long,
        env("SORRELDECK_RESERVE"),
        argument("N"),
        fallback(1),
        display_fallback
    )]
    pub reserve: u32,
    /// The prompt tokens that the upstream works through in a second
    #[bpaf(
        long,
        env("SORRELDECK_PREFILL"),
        argument("N"),
        fallback(20000),
        display_fallback
    )]
    pub prefill: u32,
    /// The upstream is a plain service, not a model engine
    #[bpaf(long, switch)]
    pub plain: bool,
    /// First come first served, without shedding (a baseline)
    #[bpaf(long, switch)]
    pub fifo: bool,
    /// Logs as text or json
    #[bpaf(external(log_format))]
    pub log: LogFormat,
}

/// The settings of the standalone role.
#[derive(Clone, Debug, Bpaf)]
pub struct Standalone {
    /// The address for callers and operators; port 0 lets the system choose
    #[bpaf(
        long,
        env("SORRELDECK_LISTEN"),
        argument("IP:PORT"),
        fallback("127.0.0.1:8080".parse().unwrap()),
        display_fallback
    )]
    pub listen: SocketAddr,
    /// Logs as text or json
    #[bpaf(external(log_format))]
    pub log: LogFormat,
}

/// How log lines are written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// For people.
    Text,
    /// One JSON object a line.
    Json,
}

/// Confidences by the rank of routes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Thresholds(pub [Share; 3]);

impl std::str::FromStr for Thresholds {
    type Err = String;

    fn from_str(s: &str) -> Result<Self, String> {
        let shares: Result<Vec<Share>, _> = s.split(',').map(str::parse).collect();
        let shares = shares.map_err(|e| e.to_string())?;
        let three = <[Share; 3]>::try_from(shares);
        three
            .map(Thresholds)
            .map_err(|_| format!("{s:?} must name three shares, such as 50%,50%,50%"))
    }
}

impl std::str::FromStr for LogFormat {
    type Err = String;

    fn from_str(s: &str) -> Result<Self, String> {
        match s {
            "text" => Ok(LogFormat::Text),
            "json" => Ok(LogFormat::Json),
            _ => Err(format!("{s:?} is no log format: text and json are")),
        }
    }
}

fn log_format() -> impl bpaf::Parser<LogFormat> {
    use bpaf::Parser;
    bpaf::long("log")
        .env("SORRELDECK_LOG")
        .help("How log lines are written: text or json")
        .argument::<LogFormat>("FORMAT")
        .fallback(LogFormat::Text)
}

impl Options {
    /// Returns how log lines are written.
    pub fn log_format(&self) -> LogFormat {
        match self {
            Options::Entry(entry) => entry.log,
            Options::Sidecar(sidecar) => sidecar.log,
            Options::Standalone(standalone) => standalone.log,
            Options::Hosted(hosted) => hosted.log,
        }
    }
}
