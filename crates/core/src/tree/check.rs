//! The rules that a settings tree must keep, checked before it is accepted.
//!
//! ```
//! use sorreldeck::Tree;
//!
//! let err = Tree::from_toml("[nodes.'/a']\nmodels = ['scribe']").unwrap_err();
//! assert_eq!(err.place(), Some("nodes/a.models"));
//! ```

use super::entry::*;
use super::key::{Key, Section};
use super::Tree;
use crate::error::{Error, Result};
use crate::id::*;
use crate::unit::Share;
use std::collections::{BTreeMap, BTreeSet};

/// How far the shares of a split may be from 100%.
const SPLIT_TOLERANCE: f64 = 1e-6;
const HASH_LEN: usize = 64;

/// Checks every rule that spans more than one value.
pub(super) fn check(tree: &Tree) -> Result<()> {
    check_names(tree)?;
    check_pools(tree)?;
    check_models(tree)?;
    check_versions(tree)?;
    check_rollouts(tree)?;
    check_cascades(tree)?;
    check_operators(tree)?;
    check_progress(tree)?;
    super::route::check_routes(tree)?;
    check_nodes(tree)
}

fn place(section: Section, name: impl std::fmt::Display, field: &str) -> String {
    format!("{}.{field}", Key::new(section, name))
}

fn check_hash(place: &str, hash: &str) -> Result<()> {
    let hex = |c: char| c.is_ascii_digit() || ('a'..='f').contains(&c);
    if hash.len() != HASH_LEN || !hash.chars().all(hex) {
        return Err(Error::at(
            place,
            format!("{hash:?} is no BLAKE3 hash of {HASH_LEN} hexadecimal digits; `sorreldeck hash` makes one"),
        ));
    }
    Ok(())
}

fn check_owner(tree: &Tree, section: Section, name: &str, owner: &Option<NodePath>) -> Result<()> {
    match owner {
        Some(node) if !tree.nodes.contains_key(node) => Err(Error::at(
            place(section, name, "owner"),
            format!("there is no node {node}"),
        )),
        _ => Ok(()),
    }
}

/// Checks the names that refer to no other entry.
fn check_names(tree: &Tree) -> Result<()> {
    for (name, pool) in &tree.pools {
        for model in pool.costs.keys() {
            check_name::<ModelId>(&place(Section::Pools, name, "costs"), model.as_str())?;
        }
    }
    for (name, route) in &tree.routes {
        for model in &route.sizes {
            check_name::<ModelId>(&place(Section::Routes, name, "sizes"), model.as_str())?;
        }
        for region in route.regions.iter().flatten() {
            check_name::<Region>(&place(Section::Routes, name, "regions"), region.as_str())?;
        }
    }
    for (path, node) in &tree.nodes {
        if let Some(account) = &node.account {
            check_name::<AccountId>(&place(Section::Nodes, path, "account"), account.as_str())?;
        }
        for region in node.regions.iter().flatten() {
            check_name::<Region>(&place(Section::Nodes, path, "regions"), region.as_str())?;
        }
    }
    Ok(())
}

fn check_name<T: std::str::FromStr<Err = Error>>(at: &str, name: &str) -> Result<()> {
    let name = name.parse::<T>();
    name.map(drop).map_err(|e| Error::at(at, e.to_string()))
}

fn check_pools(tree: &Tree) -> Result<()> {
    let mut prefixes: BTreeMap<&str, &PoolId> = BTreeMap::new();
    for (name, pool) in &tree.pools {
        check_owner(tree, Section::Pools, name.as_str(), &pool.owner)?;
        if pool.warmup.is_some_and(|w| w.rate.per_second() <= 0.0) {
            return Err(Error::at(
                place(Section::Pools, name, "warmup"),
                "an upstream that gets nothing never warms up",
            ));
        }
        if !pool
            .costs
            .values()
            .all(|cost| cost.is_finite() && *cost >= 0.0)
        {
            return Err(Error::at(
                place(Section::Pools, name, "costs"),
                "a cost is no negative number",
            ));
        }
        let at = place(Section::Pools, name, "prefix");
        match (pool.kind, &pool.prefix) {
            (Kind::Engine, None) => {}
            (Kind::Engine, Some(_)) => {
                return Err(Error::at(at, "only a plain pool has a prefix"));
            }
            (Kind::Plain, None) if is_routed(tree, name) => {}
            (Kind::Plain, None) => {
                return Err(Error::at(at, "a plain pool needs a prefix or a route"));
            }
            (Kind::Plain, Some(prefix)) => {
                check_prefix(&at, prefix)?;
                if let Some(other) = prefixes.insert(prefix, name) {
                    return Err(Error::at(at, format!("pool {other} has the same prefix")));
                }
            }
        }
    }
    Ok(())
}

fn is_routed(tree: &Tree, pool: &PoolId) -> bool {
    tree.routes.values().any(|r| r.pools.contains_key(pool))
}

fn check_prefix(at: &str, prefix: &str) -> Result<()> {
    let reserved = ["/v1", "/admin", "/health", "/ready", "/metrics"];
    let bad = !prefix.starts_with('/') || prefix.len() < 2 || prefix.ends_with('/');
    if bad {
        return Err(Error::at(at, format!("{prefix:?} must look like /clock")));
    }
    let taken = |r: &str| prefix == r || prefix.starts_with(&format!("{r}/"));
    if reserved.into_iter().any(taken) {
        return Err(Error::at(at, format!("{prefix:?} is taken by sorreldeck")));
    }
    Ok(())
}

fn check_split(
    tree: &Tree,
    at: &str,
    model: &ModelId,
    split: &BTreeMap<VersionId, Share>,
) -> Result<()> {
    for version in split.keys() {
        match tree.versions.get(version) {
            None => return Err(Error::at(at, format!("there is no version {version}"))),
            Some(v) if v.model != *model => {
                return Err(Error::at(
                    at,
                    format!(
                        "version {version} belongs to model {}, not {model}",
                        v.model
                    ),
                ));
            }
            Some(_) => {}
        }
    }
    let sum: f64 = split.values().map(|s| s.fraction()).sum();
    if (sum - 1.0).abs() > SPLIT_TOLERANCE {
        let sum = (sum * 1e6).round() / 1e4;
        return Err(Error::at(
            at,
            format!("the shares add up to {sum}%, not 100%"),
        ));
    }
    Ok(())
}

fn check_models(tree: &Tree) -> Result<()> {
    for (name, model) in &tree.models {
        check_owner(tree, Section::Models, name.as_str(), &model.owner)?;
        let at = place(Section::Models, name, "split");
        check_split(tree, &at, name, &model.split)?;
        if tree.cascades.keys().any(|c| c.as_str() == name.as_str()) {
            let at = Key::new(Section::Models, name).to_string();
            return Err(Error::at(at, "a cascade has the same name"));
        }
    }
    Ok(())
}

fn check_versions(tree: &Tree) -> Result<()> {
    for (name, version) in &tree.versions {
        check_owner(tree, Section::Versions, name.as_str(), &version.owner)?;
        if !tree.models.contains_key(&version.model) {
            return Err(Error::at(
                place(Section::Versions, name, "model"),
                format!("there is no model {}", version.model),
            ));
        }
        let at = place(Section::Versions, name, "pool");
        match tree.pools.get(&version.pool) {
            None => return Err(Error::at(at, format!("there is no pool {}", version.pool))),
            Some(pool) if pool.kind != Kind::Engine => {
                return Err(Error::at(
                    at,
                    format!("pool {} has no engines", version.pool),
                ));
            }
            Some(_) => {}
        }
        check_successors(tree, name)?;
    }
    Ok(())
}

fn check_successors(tree: &Tree, start: &VersionId) -> Result<()> {
    let at = place(Section::Versions, start, "successor");
    let mut seen = BTreeSet::from([start]);
    let mut next = tree.versions[start].successor.as_ref();
    while let Some(name) = next {
        if !seen.insert(name) {
            return Err(Error::at(
                at,
                format!("the successors form a cycle at {name}"),
            ));
        }
        let Some(version) = tree.versions.get(name) else {
            return Err(Error::at(at, format!("there is no version {name}")));
        };
        next = version.successor.as_ref();
    }
    Ok(())
}

fn check_rollouts(tree: &Tree) -> Result<()> {
    let mut moved: BTreeMap<&ModelId, &RolloutId> = BTreeMap::new();
    for (name, rollout) in &tree.rollouts {
        check_owner(tree, Section::Rollouts, name.as_str(), &rollout.owner)?;
        check_rollout(tree, name, rollout)?;
        if rollout.intent == Intent::Running || rollout.intent == Intent::Paused {
            if let Some(other) = moved.insert(&rollout.model, name) {
                return Err(Error::at(
                    place(Section::Rollouts, name, "intent"),
                    format!("roll-out {other} already moves model {}", rollout.model),
                ));
            }
        }
    }
    Ok(())
}

fn check_rollout(tree: &Tree, name: &RolloutId, rollout: &Rollout) -> Result<()> {
    let at = |field| place(Section::Rollouts, name, field);
    if !tree.models.contains_key(&rollout.model) {
        let message = format!("there is no model {}", rollout.model);
        return Err(Error::at(at("model"), message));
    }
    match tree.versions.get(&rollout.to) {
        None => {
            return Err(Error::at(
                at("to"),
                format!("there is no version {}", rollout.to),
            ))
        }
        Some(v) if v.model != rollout.model => {
            let message = format!("{} is a version of {}", rollout.to, v.model);
            return Err(Error::at(at("to"), message));
        }
        Some(_) => {}
    }
    let rising = rollout.stages.windows(2).all(|w| w[0] < w[1]);
    let ends_whole = rollout.stages.last() == Some(&Share::ALL);
    if !rising || !ends_whole {
        return Err(Error::at(
            at("stages"),
            "the shares must rise and end with 100%",
        ));
    }
    if rollout.bad >= rollout.floor {
        return Err(Error::at(at("bad"), "must lie below the floor"));
    }
    let alarm = rollout.false_alarm.fraction();
    if !(1e-6..=0.5).contains(&alarm) {
        return Err(Error::at(
            at("false_alarm"),
            "must lie between 0.0001% and 50%",
        ));
    }
    Ok(())
}

fn check_cascades(tree: &Tree) -> Result<()> {
    for (name, cascade) in &tree.cascades {
        check_owner(tree, Section::Cascades, name.as_str(), &cascade.owner)?;
        let at = place(Section::Cascades, name, "steps");
        if cascade.steps.is_empty() {
            return Err(Error::at(at, "a cascade needs at least one step"));
        }
        let mut seen = BTreeSet::new();
        for step in &cascade.steps {
            if !tree.versions.contains_key(&step.version) {
                return Err(Error::at(
                    at,
                    format!("there is no version {}", step.version),
                ));
            }
            if !seen.insert(&step.version) {
                return Err(Error::at(
                    at,
                    format!("cycle: {} is asked twice", step.version),
                ));
            }
        }
    }
    Ok(())
}

fn check_operators(tree: &Tree) -> Result<()> {
    for (name, operator) in &tree.operators {
        check_hash(&place(Section::Operators, name, "token"), &operator.token)?;
        if !tree.nodes.contains_key(&operator.branch) {
            return Err(Error::at(
                place(Section::Operators, name, "branch"),
                format!("there is no node {}", operator.branch),
            ));
        }
    }
    Ok(())
}

fn check_progress(tree: &Tree) -> Result<()> {
    for (name, progress) in &tree.progress {
        let at = place(Section::Progress, name, "stage");
        match tree.rollouts.get(name) {
            None => return Err(Error::at(at, format!("there is no roll-out {name}"))),
            Some(rollout) if progress.stage >= rollout.stages.len() => {
                return Err(Error::at(at, "the roll-out has no such stage"));
            }
            Some(_) => {}
        }
    }
    Ok(())
}

fn check_nodes(tree: &Tree) -> Result<()> {
    let mut keys: BTreeMap<&str, &NodePath> = BTreeMap::new();
    let mut accounts: BTreeMap<&AccountId, &NodePath> = BTreeMap::new();
    for (path, node) in &tree.nodes {
        check_node_references(tree, path, node)?;
        if let Some(account) = &node.account {
            if let Some(other) = accounts.insert(account, path) {
                return Err(Error::at(
                    place(Section::Nodes, path, "account"),
                    format!("node {other} declares the same client account"),
                ));
            }
        }
        for key in node.keys.iter().flatten() {
            let at = place(Section::Nodes, path, "keys");
            check_hash(&at, key)?;
            if let Some(other) = keys.insert(key, path) {
                return Err(Error::at(at, format!("node {other} has the same key")));
            }
        }
        check_node_in_force(tree, path, node)?;
    }
    Ok(())
}

fn check_node_references(tree: &Tree, path: &NodePath, node: &Node) -> Result<()> {
    let at = |field| place(Section::Nodes, path, field);
    for name in node.models.iter().flatten() {
        if !tree.has_model(name) {
            let message = format!("there is no model or cascade {name}");
            return Err(Error::at(at("models"), message));
        }
    }
    for name in node.versions.iter().flatten() {
        if !tree.versions.contains_key(name) {
            return Err(Error::at(
                at("versions"),
                format!("there is no version {name}"),
            ));
        }
    }
    for name in node.services.iter().flatten() {
        if tree.pools.get(name).map(|p| p.kind) != Some(Kind::Plain) {
            return Err(Error::at(
                at("services"),
                format!("there is no plain pool {name}"),
            ));
        }
    }
    for (model, split) in node.splits.iter().flatten() {
        if !tree.models.contains_key(model) {
            return Err(Error::at(
                at("splits"),
                format!("there is no model {model}"),
            ));
        }
        let at = place(Section::Nodes, path, &format!("splits.{model}"));
        check_split(tree, &at, model, split)?;
    }
    Ok(())
}

/// Checks what a node comes to with all that it inherits.
fn check_node_in_force(tree: &Tree, path: &NodePath, node: &Node) -> Result<()> {
    let at = |field| place(Section::Nodes, path, field);
    if node.keyed.is_some() && *path != NodePath::root() {
        let message = "only the root tells whether requests to routes need a key";
        return Err(Error::at(at("keyed"), message));
    }
    if let Some(parent) = path.parent() {
        let Some(above) = tree.effective(&parent) else {
            let at = Key::new(Section::Nodes, path).to_string();
            return Err(Error::at(at, format!("there is no node {parent} above it")));
        };
        if let (Some(_), Some(outer)) = (&node.account, &above.account) {
            let message = format!("lies within client account {outer}");
            return Err(Error::at(at("account"), message));
        }
    }
    let whole = tree.effective(path).expect("the node was just found");
    if node.keys.is_some() && whole.account.is_none() {
        return Err(Error::at(at("keys"), "a key needs a client account"));
    }
    if whole.action() != Action::Route {
        match &whole.forward_to {
            None => {
                return Err(Error::at(
                    at("forward_to"),
                    "forward and observe need an address",
                ))
            }
            Some(address) => check_address(&at("forward_to"), address)?,
        }
    }
    if whole.account.is_some() {
        for name in whole.models.iter().flatten() {
            if !tree.versions_of(name).any(|v| whole.allows_version(v)) {
                let message = format!("{name} has no version that the account is allowed");
                return Err(Error::at(at("models"), message));
            }
        }
    }
    Ok(())
}

fn check_address(at: &str, address: &str) -> Result<()> {
    match address.parse::<std::net::SocketAddr>() {
        Ok(_) => Ok(()),
        Err(_) => Err(Error::at(at, format!("{address:?} is no IP:PORT"))),
    }
}
