//! Routes: which pool answers the requests of a host and path.
//!
//! ```
//! use sorreldeck::tree::{Repeat, Route};
//!
//! let route: Route = serde_json::from_str(
//!     r#"{"host": "pay.example", "prefix": "/drafts/", "pools": {"assistant": 1}}"#,
//! )?;
//! assert_eq!(route.repeat, Repeat::Never);
//! # Ok::<(), serde_json::Error>(())
//! ```

use super::entry::{Class, DEADLINE};
use super::Tree;
use crate::error::{Error, Result};
use crate::id::*;
use crate::unit::Span;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

/// The tries of a request where a route sets none: the first and one more.
const TRIES: u16 = 2;
/// The pause between events where a route sets none: the shorter of the installations' sheets
/// allow 0.8 to 1.2 s.
pub const PAUSE: Span = Span::from_millis(1_000);
/// The rank of a route that sets none: below two more urgent ones.
const RANK: u8 = 2;

/// How often a request may run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Repeat {
    /// At most once.
    #[default]
    Never,
    /// As often as need be.
    Always,
    /// Again from the start, or from the last event of a stream that broke off.
    Resume,
}

/// Which pool answers the requests of a host and path, and how.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// The host that callers name.
    pub host: String,
    /// The beginning of the path; begins and ends with a slash.
    pub prefix: String,
    /// The pools that answer, by weight.
    pub pools: BTreeMap<PoolId, u32>,
    /// The longest time that a request is held.
    #[serde(default = "deadline")]
    pub timeout: Span,
    /// The time within which an answer, or its first event, ought to come.
    #[serde(default = "deadline")]
    pub objective: Span,
    /// The longest pause between two events of a stream at which it is still in time.
    #[serde(default = "pause")]
    pub pause: Span,
    /// The most upstreams that one request is sent to.
    #[serde(default = "tries")]
    pub tries: u16,
    /// The order in which waiting requests are served, 0 first.
    #[serde(default = "rank")]
    pub rank: u8,
    /// Whether callers need no API key.
    #[serde(default)]
    pub public: bool,
    /// How often a request may run.
    #[serde(default)]
    pub repeat: Repeat,
    /// Whether the answer is a stream of events.
    #[serde(default)]
    pub stream: bool,
    /// The models of which one is chosen for each request, the cheapest first.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub sizes: Vec<ModelId>,
    /// The regions whose upstreams may get its requests; all where none are named.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub regions: Option<BTreeSet<Region>>,
}

fn deadline() -> Span {
    DEADLINE
}

fn pause() -> Span {
    PAUSE
}

fn tries() -> u16 {
    TRIES
}

fn rank() -> u8 {
    RANK
}

impl Route {
    /// Returns whether a request may run more than once.
    pub fn may_repeat(&self) -> bool {
        self.repeat != Repeat::Never
    }

    /// Returns the class that the rank stands for in histograms.
    pub fn class(&self) -> Class {
        match self.rank {
            0 => Class::Priority,
            1 => Class::Standard,
            _ => Class::Bulk,
        }
    }

    /// Returns the pool for a random number in `[0, 1)`, or `None` if no pool has a weight.
    pub fn pool(&self, draw: f64) -> Option<&PoolId> {
        let weighted = || self.pools.iter().filter(|(_, weight)| **weight > 0);
        let sum: f64 = weighted().map(|(_, weight)| f64::from(*weight)).sum();
        let mut left = draw * sum;
        for (pool, weight) in weighted() {
            left -= f64::from(*weight);
            if left < 0.0 {
                return Some(pool);
            }
        }
        weighted().next_back().map(|(pool, _)| pool)
    }
}

/// The routes by host and prefix.
#[derive(Clone, Debug, Default)]
pub(super) struct Index(HashMap<String, HashMap<String, (RouteId, Arc<Route>)>>);

impl Index {
    pub fn insert(&mut self, name: &RouteId, route: &Arc<Route>) {
        let of_host = self.0.entry(route.host.clone()).or_default();
        let named = (name.clone(), route.clone());
        of_host.insert(route.prefix.clone(), named);
    }

    /// Returns the route of the longest prefix that begins the path.
    fn find(&self, host: &str, path: &str) -> Option<&(RouteId, Arc<Route>)> {
        let of_host = self.0.get(host)?;
        let path = path.split('?').next().unwrap_or(path);
        path.rmatch_indices('/')
            .find_map(|(at, _)| of_host.get(&path[..=at]))
    }
}

impl Tree {
    /// Returns the shortest objective of the routes that choose among the models of a pool.
    pub fn shortest_objective(&self, pool: &PoolId) -> Option<Span> {
        self.objectives.get(pool).copied()
    }

    /// Returns the route of a request: of those of the host, the one whose
    /// prefix begins the path and is the longest.
    pub fn route_of(&self, host: &str, path: &str) -> Option<(&RouteId, &Arc<Route>)> {
        let (name, route) = self.by_host.find(host, path)?;
        Some((name, route))
    }
}

pub(super) fn check_routes(tree: &Tree) -> Result<()> {
    let mut places: BTreeMap<(&str, &str), &RouteId> = BTreeMap::new();
    for (name, route) in &tree.routes {
        let at = |field: &str| format!("routes/{name}.{field}");
        if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
            let message = format!("{:?} must begin and end with a slash", route.prefix);
            return Err(Error::at(at("prefix"), message));
        }
        if let Some(other) = places.insert((&route.host, &route.prefix), name) {
            return Err(Error::at(
                at("prefix"),
                format!("route {other} has the same"),
            ));
        }
        if route.pools.values().all(|weight| *weight == 0) {
            return Err(Error::at(at("pools"), "no pool has a weight"));
        }
        if let Some(pool) = route.pools.keys().find(|p| !tree.pools.contains_key(*p)) {
            return Err(Error::at(at("pools"), format!("there is no pool {pool}")));
        }
        if route.tries == 0 {
            return Err(Error::at(at("tries"), "a request needs a try"));
        }
    }
    Ok(())
}
