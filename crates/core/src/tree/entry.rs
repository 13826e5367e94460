//! The typed entries of the settings tree, as operators write them.
//!
//! ```
//! use sorreldeck::tree::Pool;
//!
//! let pool: Pool = serde_json::from_str(r#"{"kind": "engine"}"#)?;
//! assert!(pool.prefix.is_none());
//! # Ok::<(), serde_json::Error>(())
//! ```

use crate::id::*;
use crate::unit::*;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// What the upstreams of a pool are.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// Model engines that answer chat completions.
    Engine,
    /// Plain services whose calls are passed through.
    Plain,
}

/// A group of upstreams that serve the same versions or the same plain service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// What the upstreams are.
    pub kind: Kind,
    /// The path prefix of a plain service, such as `/clock`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub prefix: Option<String>,
    /// The methods of a plain service whose calls may not be repeated.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub once: BTreeSet<String>,
    /// What an upstream bears that has just started; everything, where nothing is written.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub warmup: Option<Warmup>,
    /// What 1,000 tokens of a model cost the operator, in any unit; a token read counts a quarter.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub costs: BTreeMap<ModelId, f64>,
    /// The node whose operators may edit this entry; the root by default.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub owner: Option<NodePath>,
}

impl Pool {
    /// Returns whether a call with this method may be sent more than once.
    pub fn may_repeat(&self, method: &str) -> bool {
        !self.once.contains(method)
    }
}

impl super::Tree {
    /// Returns what the models of a pool cost.
    pub fn costs(&self, pool: &PoolId) -> Option<&BTreeMap<ModelId, f64>> {
        self.pools.get(pool).map(|pool| &pool.costs)
    }
}

/// What an upstream bears that has just started.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Warmup {
    /// How long it takes.
    pub span: Span,
    /// The requests that it gets in that time, from all entries together.
    pub rate: Rate,
}

/// How a data hall stands, as its operators want it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Standing {
    /// Whether its upstreams get no new work.
    #[serde(default)]
    pub evacuated: bool,
}

/// A model that callers ask for by name.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// How new sessions are split over the versions; adds up to 100%.
    pub split: BTreeMap<VersionId, Share>,
    /// The node whose operators may edit this entry; the root by default.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub owner: Option<NodePath>,
}

/// Whether a version takes new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// The version takes new work.
    #[default]
    Serving,
    /// The version takes no new work.
    Withdrawn,
}

/// One version of a model.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Version {
    /// The model that this is a version of.
    pub model: ModelId,
    /// The pool whose engines run the version.
    pub pool: PoolId,
    /// The price of prompt tokens, in millionths of a unit per 1,000 tokens.
    #[serde(default)]
    pub price_in: Price,
    /// The price of generated tokens, in millionths of a unit per 1,000 tokens.
    #[serde(default)]
    pub price_out: Price,
    /// Whether the version takes new work.
    #[serde(default)]
    pub state: State,
    /// The version that sessions move to when this one is withdrawn.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub successor: Option<VersionId>,
    /// The node whose operators may edit this entry; the root by default.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub owner: Option<NodePath>,
}

/// What an operator wants of a roll-out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Intent {
    /// Nothing is given to the new version yet.
    #[default]
    Planned,
    /// The controller moves through the stages.
    Running,
    /// The stage stays as it is.
    Paused,
    /// The new version takes no new work through this roll-out.
    Aborted,
}

/// A planned move of a model's traffic to a new version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rollout {
    /// The model whose traffic moves.
    pub model: ModelId,
    /// The version that the traffic moves to.
    pub to: VersionId,
    /// The shares of new sessions given to the new version, rising.
    pub stages: Vec<Share>,
    /// The least mean rating that a good version has.
    pub floor: Share,
    /// The mean rating at which the version must be caught; below the floor.
    pub bad: Share,
    /// The largest share of failed answers that a good version has.
    #[serde(default = "default_max_error")]
    pub max_error: Share,
    /// The chance that a good version is held back by mistake.
    #[serde(default = "default_false_alarm")]
    pub false_alarm: Share,
    /// The ratings wanted in each stage before the next one.
    #[serde(default = "default_evidence")]
    pub evidence: u32,
    /// What the operator wants now.
    #[serde(default)]
    pub intent: Intent,
    /// The node whose operators may edit this entry; the root by default.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub owner: Option<NodePath>,
}

fn default_max_error() -> Share {
    Share::from_fraction(0.05)
}

fn default_false_alarm() -> Share {
    Share::from_fraction(0.01)
}

fn default_evidence() -> u32 {
    60
}

/// How far a roll-out has come, as its controller recorded it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Progress {
    /// The index of the stage in force.
    pub stage: usize,
    /// Where the roll-out stands.
    pub phase: Phase,
    /// The fence of the lease under which this was recorded.
    pub fence: u64,
}

/// Where a roll-out stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// The stage in force is gathering evidence.
    Watching,
    /// The version was found bad and takes no new work.
    Held,
    /// Every stage was passed.
    Done,
}

/// One step of a cascade.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Step {
    /// The version asked at this step.
    pub version: VersionId,
    /// The confidence from which the answer is accepted until one is learned.
    #[serde(default = "default_accept")]
    pub accept: Share,
}

fn default_accept() -> Share {
    Share::from_fraction(0.5)
}

/// Versions asked in turn, cheap ones first, until an answer is good enough.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Cascade {
    /// The versions in the order in which they are asked.
    pub steps: Vec<Step>,
    /// The mean rating that answers must reach.
    pub target: Share,
    /// The node whose operators may edit this entry; the root by default.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub owner: Option<NodePath>,
}

/// A person or program that may use the administration API.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// The BLAKE3 hash of the operator's token, in hexadecimal.
    pub token: String,
    /// The branch of the tree that the operator may read and edit.
    pub branch: NodePath,
}

/// The order in which waiting requests are served.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// Work that can wait.
    Bulk,
    /// Ordinary work.
    #[default]
    Standard,
    /// Work that goes before the other classes.
    Priority,
}

impl Class {
    /// Every class, the most urgent first.
    pub const ALL: [Class; 3] = [Class::Priority, Class::Standard, Class::Bulk];

    /// Returns the class as it is written in settings and headers.
    pub fn as_str(self) -> &'static str {
        match self {
            Class::Bulk => "bulk",
            Class::Standard => "standard",
            Class::Priority => "priority",
        }
    }
}

impl std::fmt::Display for Class {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(self.as_str())
    }
}

impl std::str::FromStr for Class {
    type Err = crate::Error;

    fn from_str(s: &str) -> crate::Result<Self> {
        Class::ALL
            .into_iter()
            .find(|class| class.as_str() == s)
            .ok_or_else(|| {
                crate::Error::new(
                    crate::Category::Invalid,
                    format!("{s:?} is no class: priority, standard and bulk are"),
                )
            })
    }
}

/// Who decides on the requests of a branch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Action {
    /// sorreldeck decides and serves.
    #[default]
    Route,
    /// The old scripts decide and serve.
    Forward,
    /// The old scripts serve; sorreldeck's decision is only recorded.
    Observe,
}

/// A node of the settings tree; what it leaves out comes from the node above.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Node {
    /// The client account that this node and those below belong to.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub account: Option<AccountId>,
    /// The BLAKE3 hashes of the API keys that lead to this node; not inherited.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub keys: Option<BTreeSet<String>>,
    /// Whether requests to routes that are not public need an API key; told at the root only.
    /// Unless told, they need one as soon as there are client accounts.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub keyed: Option<bool>,
    /// The models and cascades that may be asked for.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub models: Option<BTreeSet<String>>,
    /// The versions that may answer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub versions: Option<BTreeSet<VersionId>>,
    /// The pools of plain services that may be called.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub services: Option<BTreeSet<PoolId>>,
    /// The class of requests; callers may ask for a lower one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub class: Option<Class>,
    /// The weight of the client account among others when capacity is short.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub weight: Option<u32>,
    /// The most requests a second.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub requests: Option<Rate>,
    /// The most prompt and generated tokens a second.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tokens: Option<Rate>,
    /// The most requests at a time.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub concurrency: Option<u32>,
    /// The time within which an answer must begin.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline: Option<Span>,
    /// The largest request body.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_body: Option<Size>,
    /// The time within which a caller must have sent its whole request.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub body_timeout: Option<Span>,
    /// Who decides on the requests.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub action: Option<Action>,
    /// The address of the old scripts, such as `127.0.0.1:9000`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub forward_to: Option<String>,
    /// Splits that replace those of the models.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub splits: Option<BTreeMap<ModelId, BTreeMap<VersionId, Share>>>,
    /// The order in which waiting requests of routes are served, 0 first; it
    /// goes before the rank of the route.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rank: Option<u8>,
    /// The regions whose upstreams may get the requests, besides what their route allows.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub regions: Option<BTreeSet<Region>>,
}

/// The default of [`Node::deadline`].
pub const DEADLINE: Span = Span::from_millis(10_000);
/// The default of [`Node::max_body`].
pub const MAX_BODY: Size = Size::from_bytes(1 << 20);
/// The default of [`Node::body_timeout`].
pub const BODY_TIMEOUT: Span = Span::from_millis(10_000);

impl Node {
    /// Returns the class in force.
    pub fn class(&self) -> Class {
        self.class.unwrap_or_default()
    }

    /// Returns the weight in force, at least 1.
    pub fn weight(&self) -> u32 {
        self.weight.unwrap_or(1).max(1)
    }

    /// Returns the deadline in force.
    pub fn deadline(&self) -> Span {
        self.deadline.unwrap_or(DEADLINE)
    }

    /// Returns the largest request body in force.
    pub fn max_body(&self) -> Size {
        self.max_body.unwrap_or(MAX_BODY)
    }

    /// Returns the time in which a request must have arrived.
    pub fn body_timeout(&self) -> Span {
        self.body_timeout.unwrap_or(BODY_TIMEOUT)
    }

    /// Returns who decides.
    pub fn action(&self) -> Action {
        self.action.unwrap_or_default()
    }

    /// Returns whether callers may ask for the model or cascade.
    pub fn allows_model(&self, name: &str) -> bool {
        self.models.as_ref().is_some_and(|set| set.contains(name))
    }

    /// Returns whether the version may answer.
    pub fn allows_version(&self, version: &VersionId) -> bool {
        self.versions
            .as_ref()
            .is_some_and(|set| set.contains(version))
    }

    /// Returns whether the plain service may be called.
    pub fn allows_service(&self, pool: &PoolId) -> bool {
        self.services.as_ref().is_some_and(|set| set.contains(pool))
    }
}
