//! The settings tree: client accounts, pools, versions, roll-outs and cascades.
//!
//! ```
//! use sorreldeck::Tree;
//!
//! let tree = Tree::from_toml(
//!     r#"
//!     [nodes."/"]
//!     deadline = "5s"
//!     [nodes."/payroll"]
//!     account = "payroll"
//!     "#,
//! )?;
//! let payroll = tree.effective(&"/payroll".parse()?).unwrap();
//! assert_eq!(payroll.deadline().millis(), 5000);
//! # Ok::<(), sorreldeck::Error>(())
//! ```

mod change;
mod check;
mod entry;
mod key;
mod route;

pub use change::{Change, Edit};
pub use entry::*;
pub use key::{Key, Section};
pub use route::{Repeat, Route, PAUSE};

use crate::error::{Category, Error, Result};
use crate::id::*;
use serde::de::DeserializeOwned;
use serde::Serialize;
use serde_json::{Map, Value};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::{Arc, OnceLock};

/// A checked settings tree at one revision.
#[derive(Clone, Debug, Default)]
pub struct Tree {
    revision: Revision,
    known: bool,
    /// Written from the sections when they are first asked for, unless the tree was read from them.
    entries: OnceLock<BTreeMap<Key, Value>>,
    pools: BTreeMap<PoolId, Pool>,
    models: BTreeMap<ModelId, Model>,
    versions: BTreeMap<VersionId, Version>,
    rollouts: BTreeMap<RolloutId, Rollout>,
    cascades: BTreeMap<CascadeId, Cascade>,
    operators: BTreeMap<OperatorId, Operator>,
    nodes: BTreeMap<NodePath, Node>,
    routes: BTreeMap<RouteId, Arc<Route>>,
    progress: BTreeMap<RolloutId, Progress>,
    halls: BTreeMap<Hall, Standing>,
    by_host: route::Index,
    /// The shortest objective of the routes of a pool that choose among models.
    objectives: BTreeMap<PoolId, crate::unit::Span>,
    in_force: HashMap<NodePath, Arc<Node>>,
    by_key: HashMap<String, NodePath>,
    asks_keys: bool,
    allowed: HashSet<(AccountId, VersionId)>,
}

/// The typed entries of a tree that leads requests from routes to pools.
///
/// ```
/// use sorreldeck::tree::Sections;
/// use sorreldeck::{Revision, Tree};
///
/// let tree = Tree::from_sections(Revision(3), Sections::default());
/// assert!(tree.entries().is_empty());
/// ```
#[derive(Clone, Debug, Default)]
pub struct Sections {
    /// The pools.
    pub pools: BTreeMap<PoolId, Pool>,
    /// The nodes.
    pub nodes: BTreeMap<NodePath, Node>,
    /// The routes.
    pub routes: BTreeMap<RouteId, Arc<Route>>,
}

/// One setting in force at a node and the node that it was written at.
#[derive(Clone, Debug, PartialEq, Serialize, serde::Deserialize)]
pub struct Origin {
    /// The name of the field.
    pub field: String,
    /// The value in force.
    pub value: Value,
    /// The node that the value was written at, or `None` for a default.
    pub node: Option<NodePath>,
}

impl Tree {
    /// Reads a tree from a TOML document, at revision 0.
    ///
    /// # Errors
    ///
    /// Fails with [`Category::Invalid`] when the text is no TOML or breaks a
    /// rule of the tree; the error names the entry and field.
    pub fn from_toml(s: &str) -> Result<Tree> {
        Tree::from_entries(Revision(0), parse_toml(s)?)
    }

    /// Builds and checks a tree from its entries.
    ///
    /// # Errors
    ///
    /// Fails with [`Category::Invalid`]; the error names the entry and field.
    pub fn from_entries(revision: Revision, entries: BTreeMap<Key, Value>) -> Result<Tree> {
        let mut tree = Tree {
            revision,
            ..Tree::default()
        };
        for (key, value) in &entries {
            tree.put(key, value)?;
        }
        tree.entries = OnceLock::from(entries);
        tree.compile();
        check::check(&tree)?;
        Ok(tree)
    }

    /// Builds a tree from typed entries that another system has accepted, and keeps nothing else
    /// of them. The rules for configurations of `sorreldeck` do not apply to them.
    pub fn from_sections(revision: Revision, sections: Sections) -> Tree {
        let mut tree = Tree {
            revision,
            pools: sections.pools,
            nodes: sections.nodes,
            routes: sections.routes,
            ..Tree::default()
        };
        tree.compile();
        tree
    }

    /// Returns the tree that a change makes of this one.
    ///
    /// # Errors
    ///
    /// Fails with [`Category::Conflict`] unless the change follows directly on
    /// this revision, and with [`Category::Invalid`] if a rule is broken.
    pub fn apply(&self, change: &Change) -> Result<Tree> {
        if change.revision != self.revision.next() {
            return Err(Error::new(
                Category::Conflict,
                format!(
                    "revision {} does not follow {}",
                    change.revision, self.revision
                ),
            ));
        }
        self.with(&change.edits, change.revision)
    }

    /// Returns the tree with the edits made, without accepting them.
    ///
    /// # Errors
    ///
    /// Fails with [`Category::Invalid`] if a rule is broken.
    pub fn with(&self, edits: &[Edit], revision: Revision) -> Result<Tree> {
        let mut entries = self.entries().clone();
        for edit in edits {
            match &edit.new {
                Some(value) => entries.insert(edit.key.clone(), value.clone()),
                None => entries.remove(&edit.key),
            };
        }
        Tree::from_entries(revision, entries)
    }

    fn put(&mut self, key: &Key, value: &Value) -> Result<()> {
        match key.section {
            Section::Pools => put(&mut self.pools, key, value),
            Section::Models => put(&mut self.models, key, value),
            Section::Versions => put(&mut self.versions, key, value),
            Section::Rollouts => put(&mut self.rollouts, key, value),
            Section::Cascades => put(&mut self.cascades, key, value),
            Section::Operators => put(&mut self.operators, key, value),
            Section::Nodes => put(&mut self.nodes, key, value),
            Section::Routes => put(&mut self.routes, key, value),
            Section::Progress => put(&mut self.progress, key, value),
            Section::Halls => put(&mut self.halls, key, value),
        }
    }

    /// Derives the lookups from the sections.
    fn compile(&mut self) {
        self.compile_nodes();
        self.compile_routes();
        self.compile_allowed();
        self.known = true;
    }

    /// Works out what each node comes to, parents before children.
    fn compile_nodes(&mut self) {
        for (path, node) in &self.nodes {
            let above = match path.parent() {
                None => Some(Node::default()),
                Some(parent) => self.in_force.get(&parent).map(|n| (**n).clone()),
            };
            if let Some(above) = above {
                self.in_force
                    .insert(path.clone(), Arc::new(inherit(above, node)));
            }
            for key in node.keys.iter().flatten() {
                self.by_key.insert(key.clone(), path.clone());
            }
        }
        let root = self.nodes.get(&NodePath::root());
        let has_accounts = || {
            let mut nodes = self.nodes.values();
            nodes.any(|node| node.account.is_some() || node.keys.is_some())
        };
        let told = root.and_then(|root| root.keyed);
        self.asks_keys = told.unwrap_or_else(has_accounts);
    }

    fn compile_routes(&mut self) {
        for (name, route) in &self.routes {
            self.by_host.insert(name, route);
            for pool in route.pools.keys().filter(|_| !route.sizes.is_empty()) {
                let objective = self.objectives.entry(pool.clone());
                let shortest = objective.or_insert(route.objective);
                *shortest = route.objective.min(*shortest);
            }
        }
    }

    /// Notes which account may use which version at any of its nodes.
    fn compile_allowed(&mut self) {
        for node in self.in_force.values() {
            let Some(account) = &node.account else {
                continue;
            };
            for version in node.versions.iter().flatten() {
                self.allowed.insert((account.clone(), version.clone()));
            }
        }
    }

    /// Returns whether a client account may use a version at any of its nodes.
    pub fn allows(&self, account: &AccountId, version: &VersionId) -> bool {
        self.allowed.contains(&(account.clone(), version.clone()))
    }

    /// Returns the revision of the tree.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the entries as they were written, or as they would be for a tree of typed entries.
    pub fn entries(&self) -> &BTreeMap<Key, Value> {
        self.entries.get_or_init(|| self.write())
    }

    fn write(&self) -> BTreeMap<Key, Value> {
        let mut entries = BTreeMap::new();
        write(&mut entries, Section::Pools, &self.pools);
        write(&mut entries, Section::Nodes, &self.nodes);
        write(&mut entries, Section::Routes, &self.routes);
        entries
    }

    /// Returns a node with all that it inherits, or `None` if there is none.
    pub fn effective(&self, path: &NodePath) -> Option<Arc<Node>> {
        self.in_force.get(path).cloned()
    }

    /// Returns each setting in force at a node and where it was written.
    pub fn origins(&self, path: &NodePath) -> Option<Vec<Origin>> {
        self.nodes.get(path)?;
        let mut found: BTreeMap<String, Origin> = defaults();
        for node in path.lineage() {
            let key = Key::new(Section::Nodes, &node);
            let Some(Value::Object(fields)) = self.entries().get(&key) else {
                continue;
            };
            for (field, value) in fields {
                if field == "keys" && node != *path {
                    continue;
                }
                let origin = Origin {
                    field: field.clone(),
                    value: value.clone(),
                    node: Some(node.clone()),
                };
                found.insert(field.clone(), origin);
            }
        }
        Some(found.into_values().collect())
    }

    /// Returns the node that an API key leads to.
    pub fn node_of_key(&self, key: &str) -> Option<&NodePath> {
        self.by_key.get(hash_key(key).as_str())
    }

    /// Returns whether requests to routes that are not public need an API key, whether or not any
    /// key is known: the root tells it, or else they do as soon as there are client accounts.
    pub fn asks_keys(&self) -> bool {
        self.asks_keys
    }

    /// Returns whether another tree replaces this one: it is of a later revision, or this one is no
    /// configuration at all.
    pub fn precedes(&self, other: &Tree) -> bool {
        !self.known || self.revision < other.revision
    }

    /// Returns whether this is a configuration, not the absence of one.
    pub fn is_known(&self) -> bool {
        self.known
    }

    /// Returns the operator whose token this is.
    pub fn operator_of_token(&self, token: &str) -> Option<(&OperatorId, &Operator)> {
        let hash = hash_key(token);
        self.operators.iter().find(|(_, o)| o.token == hash)
    }

    /// Returns the branch in which an entry may be edited.
    pub fn owner(&self, key: &Key) -> NodePath {
        let owner = match key.section {
            Section::Nodes => key.name.parse().ok(),
            _ => self.entries().get(key).and_then(written_owner),
        };
        owner.unwrap_or_else(NodePath::root)
    }

    /// Returns the data halls whose upstreams get no new work.
    pub fn evacuated(&self) -> impl Iterator<Item = &Hall> {
        let evacuated = self.halls.iter().filter(|(_, standing)| standing.evacuated);
        evacuated.map(|(hall, _)| hall)
    }

    /// Returns whether callers can ask for a model or cascade of this name.
    pub fn has_model(&self, name: &str) -> bool {
        self.models.keys().any(|m| m.as_str() == name) || self.cascade(name).is_some()
    }

    /// Returns the cascade of this name.
    pub fn cascade(&self, name: &str) -> Option<&Cascade> {
        let id: CascadeId = name.parse().ok()?;
        self.cascades.get(&id)
    }

    /// Returns the versions that can answer for a model or cascade.
    pub fn versions_of<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a VersionId> + 'a {
        let steps = self.cascade(name).into_iter().flat_map(|c| &c.steps);
        let of_cascade = steps.map(|step| &step.version);
        let of_model = self
            .versions
            .iter()
            .filter(move |(_, v)| v.model.as_str() == name)
            .map(|(id, _)| id);
        of_cascade.chain(of_model)
    }

    /// Returns the pool whose prefix begins the path, the longest first.
    pub fn service_of_path(&self, path: &str) -> Option<(&PoolId, &Pool)> {
        let fits = |prefix: &str| {
            path.strip_prefix(prefix)
                .is_some_and(|rest| rest.is_empty() || rest.starts_with(['/', '?']))
        };
        self.pools
            .iter()
            .filter(|(_, pool)| pool.prefix.as_deref().is_some_and(fits))
            .max_by_key(|(_, pool)| pool.prefix.as_ref().map(String::len))
    }
}

macro_rules! lookups {
    ($($(#[$doc:meta])* $one:ident, $all:ident, $id:ty, $entry:ty;)*) => {
        impl Tree {
            $(
                $(#[$doc])*
                pub fn $one(&self, id: &$id) -> Option<&$entry> {
                    self.$all.get(id)
                }

                /// Returns all entries of this section.
                pub fn $all(&self) -> &BTreeMap<$id, $entry> {
                    &self.$all
                }
            )*
        }
    };
}

lookups! {
    /// Returns a pool.
    pool, pools, PoolId, Pool;
    /// Returns a model.
    model, models, ModelId, Model;
    /// Returns a version.
    version, versions, VersionId, Version;
    /// Returns a roll-out.
    rollout, rollouts, RolloutId, Rollout;
    /// Returns a node as it was written.
    node, nodes, NodePath, Node;
    /// Returns a route.
    route, routes, RouteId, Arc<Route>;
    /// Returns the record of a roll-out.
    record, progress, RolloutId, Progress;
    /// Returns how a data hall stands.
    hall, halls, Hall, Standing;
}

/// Returns the hash under which an API key or operator token is stored.
///
/// Keys are drawn at random and long, so a fast hash without salt is enough.
pub fn hash_key(key: &str) -> String {
    blake3::hash(key.as_bytes()).to_hex().to_string()
}

/// Reads the entries of a TOML document without checking the tree's rules.
///
/// # Errors
///
/// Fails with [`Category::Invalid`] when the text is no TOML or has an unknown
/// section.
pub fn parse_toml(s: &str) -> Result<BTreeMap<Key, Value>> {
    let sections: Map<String, Value> =
        toml::from_str(s).map_err(|e| Error::new(Category::Invalid, e.to_string()))?;
    split_sections(sections)
}

/// Reads the entries of a JSON document without checking the tree's rules.
///
/// # Errors
///
/// Fails with [`Category::Invalid`] when the text is no JSON object or has an
/// unknown section.
pub fn parse_json(s: &str) -> Result<BTreeMap<Key, Value>> {
    let sections: Map<String, Value> =
        serde_json::from_str(s).map_err(|e| Error::new(Category::Invalid, e.to_string()))?;
    split_sections(sections)
}

fn split_sections(sections: Map<String, Value>) -> Result<BTreeMap<Key, Value>> {
    let mut entries = BTreeMap::new();
    for (section, names) in sections {
        let section: Section = section.parse()?;
        let Value::Object(names) = names else {
            return Err(Error::at(section.as_str(), "must hold entries by name"));
        };
        for (name, value) in names {
            entries.insert(Key { section, name }, value);
        }
    }
    Ok(entries)
}

fn put<K, V>(map: &mut BTreeMap<K, V>, key: &Key, value: &Value) -> Result<()>
where
    K: Ord + std::str::FromStr<Err = Error>,
    V: DeserializeOwned,
{
    let name = key
        .name
        .parse()
        .map_err(|e: Error| Error::at(key.to_string(), e.to_string()))?;
    let entry = serde_path_to_error::deserialize(value).map_err(|e| {
        let place = match e.path().to_string().as_str() {
            "." => key.to_string(),
            field => format!("{key}.{field}"),
        };
        Error::at(place, e.inner().to_string())
    })?;
    map.insert(name, entry);
    Ok(())
}

fn write<K, V>(entries: &mut BTreeMap<Key, Value>, section: Section, of: &BTreeMap<K, V>)
where
    K: std::fmt::Display,
    V: Serialize,
{
    for (name, entry) in of {
        let value = serde_json::to_value(entry).expect("the names of fields are strings");
        entries.insert(Key::new(section, name), value);
    }
}

fn written_owner(entry: &Value) -> Option<NodePath> {
    entry.get("owner")?.as_str()?.parse().ok()
}

fn inherit(above: Node, own: &Node) -> Node {
    let own = own.clone();
    Node {
        account: own.account.or(above.account),
        keys: own.keys,
        models: own.models.or(above.models),
        versions: own.versions.or(above.versions),
        services: own.services.or(above.services),
        class: own.class.or(above.class),
        weight: own.weight.or(above.weight),
        requests: own.requests.or(above.requests),
        tokens: own.tokens.or(above.tokens),
        concurrency: own.concurrency.or(above.concurrency),
        deadline: own.deadline.or(above.deadline),
        max_body: own.max_body.or(above.max_body),
        body_timeout: own.body_timeout.or(above.body_timeout),
        action: own.action.or(above.action),
        forward_to: own.forward_to.or(above.forward_to),
        splits: own.splits.or(above.splits),
        rank: own.rank.or(above.rank),
        regions: own.regions.or(above.regions),
        keyed: own.keyed.or(above.keyed),
    }
}

fn defaults() -> BTreeMap<String, Origin> {
    let node = Node::default();
    let all = Node {
        class: Some(node.class()),
        weight: Some(node.weight()),
        deadline: Some(node.deadline()),
        max_body: Some(node.max_body()),
        body_timeout: Some(node.body_timeout()),
        action: Some(node.action()),
        ..node
    };
    let Ok(Value::Object(fields)) = serde_json::to_value(all) else {
        return BTreeMap::new();
    };
    let origin = |(field, value): (String, Value)| {
        let origin = Origin {
            field: field.clone(),
            value,
            node: None,
        };
        (field, origin)
    };
    fields.into_iter().map(origin).collect()
}
