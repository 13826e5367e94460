//! Determines the node, model and version of a request, with the reason for the choice.
//!
//! All functions here are pure functions of the tree, the request and one random number, so
//! `explain` runs the same code as the daemon.
//!
//! ```
//! use sorreldeck::route::{self, Caller};
//! use sorreldeck::{Reason, Tree};
//!
//! let caller = Caller { key: Some("nobody"), route: None, class: None };
//! let failure = route::identify(&Tree::default(), &caller).unwrap_err();
//! assert_eq!(failure.reason, Reason::BadKey);
//! ```

use crate::failure::{Failure, Reason};
use crate::id::*;
use crate::session::Session;
use crate::tree::{Class, Intent, Node, Phase, Route, State, Tree};
use crate::unit::Share;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The identification that a caller sends with a request.
#[derive(Clone, Copy, Debug)]
pub struct Caller<'a> {
    /// The API key.
    pub key: Option<&'a str>,
    /// The route below the node of the key.
    pub route: Option<&'a str>,
    /// The requested class.
    pub class: Option<&'a str>,
}

/// The node of a request, with inherited settings.
#[derive(Clone, Debug)]
pub struct Context {
    /// The path of the node.
    pub path: NodePath,
    /// The client account.
    pub account: AccountId,
    /// The class of the request.
    pub class: Class,
    /// The settings in force, including inherited ones.
    pub node: Arc<Node>,
}

/// Why a version was chosen.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// The traffic split of the model or node.
    Split,
    /// The stage of a roll-out.
    Rollout(RolloutId),
    /// The session keeps its version.
    Session,
    /// The session moved from this version, which takes no new requests.
    Moved(VersionId),
    /// A step of a cascade.
    Cascade(CascadeId),
}

/// A chosen version and the reason for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Choice {
    /// The version.
    pub version: VersionId,
    /// The reason.
    pub cause: Cause,
}

/// What a requested model name refers to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Target {
    /// A model; one of its versions answers.
    Model(ModelId),
    /// A cascade; its versions are queried in turn.
    Cascade(CascadeId),
}

/// Determines the node, client account and class of a request.
///
/// # Errors
///
/// Fails with [`Verdict::NotRun`](crate::Verdict::NotRun) if the key, route or class is unknown or
/// not allowed.
pub fn identify(tree: &Tree, caller: &Caller) -> Result<Context, Failure> {
    let key = caller
        .key
        .ok_or_else(|| Failure::not_run(Reason::NoKey, "send the API key as a bearer token"))?;
    let path = tree
        .node_of_key(key)
        .ok_or_else(|| Failure::not_run(Reason::BadKey, "the API key is not known"))?;
    let path = descend(tree, path, caller.route)?;
    context(tree, path, caller.class)
}

/// Determines the client account of a request to a configured route.
///
/// # Errors
///
/// Fails with [`Verdict::NotRun`](crate::Verdict::NotRun) if the route requires an API key and this
/// one is unknown.
pub fn identify_on_route(
    tree: &Tree,
    route: &Route,
    key: Option<&str>,
) -> Result<Context, Failure> {
    let path = match key.and_then(|key| tree.node_of_key(key)) {
        Some(path) => path.clone(),
        None if route.public || !tree.asks_keys() => NodePath::root(),
        None if key.is_none() => {
            let message = "send the API key as a bearer token";
            return Err(Failure::not_run(Reason::NoKey, message));
        }
        None => return Err(Failure::not_run(Reason::BadKey, "the API key is not known")),
    };
    let node = tree.effective(&path).unwrap_or_default();
    let nobody = || "nobody".parse().expect("a legal name");
    Ok(Context {
        account: node.account.clone().unwrap_or_else(nobody),
        class: route.class(),
        path,
        node,
    })
}

/// Returns the context of a request at a node with the requested class.
///
/// # Errors
///
/// Fails with [`Verdict::NotRun`](crate::Verdict::NotRun) if the node does not exist or has no
/// client account, or if the class is not allowed.
pub fn context(tree: &Tree, path: NodePath, class: Option<&str>) -> Result<Context, Failure> {
    let node = tree
        .effective(&path)
        .ok_or_else(|| Failure::not_run(Reason::BadRequest, format!("there is no node {path}")))?;
    let account = node.account.clone().ok_or_else(|| {
        Failure::not_run(Reason::BadKey, format!("node {path} has no client account"))
    })?;
    let class = choose_class(&node, class)?;
    Ok(Context {
        path,
        account,
        class,
        node,
    })
}

fn descend(tree: &Tree, path: &NodePath, route: Option<&str>) -> Result<NodePath, Failure> {
    let Some(route) = route else {
        return Ok(path.clone());
    };
    let mut below = path.clone();
    for name in route.split('/') {
        below = below
            .child(name)
            .map_err(|e| Failure::not_run(Reason::BadRequest, e.to_string()))?;
    }
    match tree.node(&below) {
        Some(_) => Ok(below),
        None => Err(Failure::not_run(
            Reason::BadRequest,
            format!("there is no route {route} below {path}"),
        )),
    }
}

fn choose_class(node: &Node, asked: Option<&str>) -> Result<Class, Failure> {
    let Some(asked) = asked else {
        return Ok(node.class());
    };
    let class: Class = asked
        .parse()
        .map_err(|e: crate::Error| Failure::not_run(Reason::BadRequest, e.to_string()))?;
    if class > node.class() {
        return Err(Failure::not_run(
            Reason::NotAllowed,
            format!(
                "class {class} is above {}, the class of this route",
                node.class()
            ),
        ));
    }
    Ok(class)
}

/// Determines what a requested name refers to.
///
/// # Errors
///
/// Fails with [`Verdict::NotRun`](crate::Verdict::NotRun) if the name is unknown or not allowed.
/// The message does not tell a caller that may not use the name whether it exists, so that it learns
/// nothing about the names of others; only the reason differs.
pub fn target(tree: &Tree, context: &Context, name: &str) -> Result<Target, Failure> {
    if !context.node.allows_model(name) {
        let reason = match tree.has_model(name) {
            true => Reason::NotAllowed,
            false => Reason::UnknownModel,
        };
        let message = format!("client account {} may not use {name:?}", context.account);
        return Err(Failure::not_run(reason, message));
    }
    let unknown = || Failure::not_run(Reason::UnknownModel, format!("there is no model {name:?}"));
    if tree.cascade(name).is_some() {
        return name.parse().map(Target::Cascade).map_err(|_| unknown());
    }
    name.parse().map(Target::Model).map_err(|_| unknown())
}

/// Returns whether a version takes new requests according to the tree.
pub fn takes_work(tree: &Tree, version: &VersionId) -> bool {
    let serving = tree
        .version(version)
        .is_some_and(|v| v.state == State::Serving);
    serving && !held_back(tree, version)
}

/// Returns whether a roll-out holds the version back as bad.
fn held_back(tree: &Tree, version: &VersionId) -> bool {
    tree.progress().iter().any(|(name, progress)| {
        progress.phase == Phase::Held
            && tree
                .rollout(name)
                .is_some_and(|r| r.to == *version && r.intent != Intent::Planned)
    })
}

/// Chooses the version that answers a request.
///
/// `draw` is a random number in `[0, 1)`; `suspect` returns whether this process has stopped
/// sending requests to a version before the recorded state says so.
///
/// # Errors
///
/// Fails with [`Verdict::NotRun`](crate::Verdict::NotRun) if no version that the client account may
/// use takes new requests.
pub fn version(
    tree: &Tree,
    context: &Context,
    model: &ModelId,
    session: Option<&Session>,
    draw: f64,
    suspect: impl Fn(&VersionId) -> bool,
) -> Result<Choice, Failure> {
    let usable =
        |v: &VersionId| context.node.allows_version(v) && takes_work(tree, v) && !suspect(v);
    if let Some(session) = session {
        if usable(&session.version) {
            return Ok(Choice {
                version: session.version.clone(),
                cause: Cause::Session,
            });
        }
    }
    let drawn = draw_version(tree, context, model, draw, &usable);
    let Some(session) = session else {
        return drawn;
    };
    let version = match successor(tree, &session.version, &usable) {
        Some(version) => version,
        None => drawn?.version,
    };
    Ok(Choice {
        version,
        cause: Cause::Moved(session.version.clone()),
    })
}

fn successor(
    tree: &Tree,
    version: &VersionId,
    usable: &impl Fn(&VersionId) -> bool,
) -> Option<VersionId> {
    let mut next = tree.version(version)?.successor.as_ref()?;
    while !usable(next) {
        next = tree.version(next)?.successor.as_ref()?;
    }
    Some(next.clone())
}

fn draw_version(
    tree: &Tree,
    context: &Context,
    model: &ModelId,
    draw: f64,
    usable: &impl Fn(&VersionId) -> bool,
) -> Result<Choice, Failure> {
    let mut draw = draw;
    if let Some((name, to, share)) = active_rollout(tree, model) {
        let share = share.fraction();
        if draw < share && usable(to) {
            return Ok(Choice {
                version: to.clone(),
                cause: Cause::Rollout(name.clone()),
            });
        }
        // Rescaled, the rest of the draw is uniform again.
        draw = match draw < share {
            true => draw / share,
            false => (draw - share) / (1.0 - share),
        };
    }
    let split = split(tree, context, model)?;
    let candidates: Vec<(&VersionId, f64)> = split
        .iter()
        .filter(|(v, share)| share.fraction() > 0.0 && usable(v))
        .map(|(v, share)| (v, share.fraction()))
        .collect();
    let version = draw_weighted(&candidates, draw)
        .or_else(|| tree.versions_of(model.as_str()).find(|v| usable(v)))
        .ok_or_else(|| {
            let message = format!("no version of {model} that the account may use takes new work");
            Failure::not_run(Reason::Withdrawn, message)
        })?;
    Ok(Choice {
        version: version.clone(),
        cause: Cause::Split,
    })
}

/// Returns the roll-out in progress for a model, its version and current share.
fn active_rollout<'a>(
    tree: &'a Tree,
    model: &ModelId,
) -> Option<(&'a RolloutId, &'a VersionId, Share)> {
    let (name, rollout) = tree
        .rollouts()
        .iter()
        .find(|(_, r)| r.model == *model && matches!(r.intent, Intent::Running | Intent::Paused))?;
    let share = match tree.record(name) {
        None => rollout.stages[0],
        Some(p) if p.phase == Phase::Held => return None,
        Some(p) => rollout.stages[p.stage],
    };
    Some((name, &rollout.to, share))
}

fn split<'a>(
    tree: &'a Tree,
    context: &'a Context,
    model: &ModelId,
) -> Result<&'a BTreeMap<VersionId, Share>, Failure> {
    let own = context.node.splits.as_ref().and_then(|all| all.get(model));
    own.or_else(|| tree.model(model).map(|m| &m.split))
        .ok_or_else(|| Failure::not_run(Reason::UnknownModel, format!("there is no model {model}")))
}

fn draw_weighted<'a>(candidates: &[(&'a VersionId, f64)], draw: f64) -> Option<&'a VersionId> {
    let sum: f64 = candidates.iter().map(|(_, w)| w).sum();
    let mut left = draw * sum;
    for (version, weight) in candidates {
        if left < *weight {
            return Some(version);
        }
        left -= weight;
    }
    candidates.last().map(|(v, _)| *v)
}
