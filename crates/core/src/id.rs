//! Names and identifiers.
//!
//! ```
//! use sorreldeck::{RequestId, VersionId};
//!
//! let version: VersionId = "scribe-2".parse()?;
//! assert_eq!(version.to_string(), "scribe-2");
//! assert!("no spaces".parse::<VersionId>().is_err());
//! assert_eq!(VersionId::external("no spaces")?.as_str(), "no spaces");
//!
//! let id = RequestId::new(7, 1);
//! assert_eq!(id.to_string().parse::<RequestId>()?, id);
//! # Ok::<(), sorreldeck::Error>(())
//! ```

use crate::error::{Category, Error, Result};
use serde::{de, Deserialize, Deserializer, Serialize, Serializer};
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

/// Maximum length in bytes of a name that a configuration of `sorreldeck` gives.
const MAX_NAME: usize = 64;
/// Maximum length in bytes of a name that another system gives.
const MAX_EXTERNAL_NAME: usize = 200;

fn check_name(what: &str, s: &str) -> Result<()> {
    let legal = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || "._-".contains(c);
    if s.is_empty() || s.len() > MAX_NAME || !s.chars().all(legal) {
        return Err(Error::new(
            Category::Invalid,
            format!("{s:?} is no {what}: 1 to {MAX_NAME} of a-z 0-9 . _ - are allowed"),
        ));
    }
    Ok(())
}

fn check_external(what: &str, s: &str) -> Result<()> {
    if s.is_empty() || s.len() > MAX_EXTERNAL_NAME || s.chars().any(char::is_control) {
        return Err(Error::new(
            Category::Invalid,
            format!("{s:?} is no {what}: 1 to {MAX_EXTERNAL_NAME} bytes without control characters are allowed"),
        ));
    }
    Ok(())
}

macro_rules! name {
    ($(#[$doc:meta])* $name:ident, $what:literal) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }

            /// Takes a name that another system gave, byte for byte.
            ///
            /// # Errors
            ///
            /// Fails if the name is empty, has more than 200 bytes or holds a control character.
            pub fn external(s: &str) -> Result<Self> {
                check_external($what, s)?;
                Ok($name(s.into()))
            }
        }

        impl FromStr for $name {
            type Err = Error;

            fn from_str(s: &str) -> Result<Self> {
                check_name($what, s)?;
                Ok($name(s.into()))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:?}", &*self.0)
            }
        }

        impl Serialize for $name {
            fn serialize<S: Serializer>(&self, s: S) -> std::result::Result<S::Ok, S::Error> {
                s.serialize_str(&self.0)
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(d: D) -> std::result::Result<Self, D::Error> {
                let s = String::deserialize(d)?;
                $name::external(&s).map_err(de::Error::custom)
            }
        }
    };
}

name!(
    /// The name of a region, which holds data halls.
    Region,
    "region name"
);
name!(
    /// The name of a client account.
    AccountId,
    "client account name"
);
name!(
    /// The name that callers use for a model, shared by its versions.
    ModelId,
    "model name"
);
name!(
    /// The name of one version of a model.
    VersionId,
    "version name"
);
name!(
    /// The name of a pool of upstreams.
    PoolId,
    "pool name"
);
name!(
    /// The name of a cascade, used by callers like a model name.
    CascadeId,
    "cascade name"
);
name!(
    /// The name of a roll-out.
    RolloutId,
    "roll-out name"
);
name!(
    /// The name of a route.
    RouteId,
    "route name"
);
name!(
    /// The name of an upstream: a model engine or a plain service instance.
    UpstreamId,
    "upstream name"
);
name!(
    /// The name of an instance that runs a daemon.
    InstanceId,
    "instance name"
);
name!(
    /// The name of a data hall.
    Hall,
    "data hall name"
);
name!(
    /// The name of an operator.
    OperatorId,
    "operator name"
);

/// The identifier of one run of a daemon process, drawn at random at start.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize, Default,
)]
pub struct Incarnation(pub u64);

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// The revision of an accepted configuration; every change raises it by one.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize, Default,
)]
pub struct Revision(pub u64);

impl Revision {
    /// Returns the revision of the next accepted change.
    pub fn next(self) -> Revision {
        Revision(self.0 + 1)
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for Revision {
    type Err = Error;

    fn from_str(s: &str) -> Result<Self> {
        s.parse()
            .map(Revision)
            .map_err(|_| Error::new(Category::Invalid, format!("{s:?} is no revision number")))
    }
}

/// The identifier of a request: the incarnation that accepted it and a sequence number.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestId {
    origin: u64,
    number: u64,
}

impl RequestId {
    /// Creates the identifier of the `number`th request of an incarnation.
    pub fn new(origin: u64, number: u64) -> RequestId {
        RequestId { origin, number }
    }

    /// Returns the incarnation that accepted the request.
    pub fn origin(self) -> Incarnation {
        Incarnation(self.origin)
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}{:016x}", self.origin, self.number)
    }
}

impl fmt::Debug for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl FromStr for RequestId {
    type Err = Error;

    fn from_str(s: &str) -> Result<Self> {
        let part = |s: &str| u64::from_str_radix(s, 16).ok();
        let id = if s.len() == 32 && s.is_ascii() {
            part(&s[..16]).zip(part(&s[16..]))
        } else {
            None
        };
        id.map(|(origin, number)| RequestId { origin, number })
            .ok_or_else(|| Error::new(Category::Invalid, format!("{s:?} is no request id")))
    }
}

/// A path in the settings tree, such as `/payroll/summaries`.
#[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct NodePath(Arc<str>);

impl NodePath {
    /// Returns the root of the tree, `/`.
    pub fn root() -> NodePath {
        NodePath("/".into())
    }

    /// Returns the path as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Returns the parent node, or `None` for the root.
    pub fn parent(&self) -> Option<NodePath> {
        if &*self.0 == "/" {
            return None;
        }
        let cut = self.0.rfind('/').unwrap_or(0);
        Some(if cut == 0 {
            NodePath::root()
        } else {
            NodePath(self.0[..cut].into())
        })
    }

    /// Returns whether this node is `branch` or a descendant of it.
    pub fn is_within(&self, branch: &NodePath) -> bool {
        if &*branch.0 == "/" || self == branch {
            return true;
        }
        self.0.starts_with(&*branch.0) && self.0.as_bytes()[branch.0.len()] == b'/'
    }

    /// Returns the path of a child node.
    ///
    /// # Errors
    ///
    /// Fails if the child's name is not a legal name.
    pub fn child(&self, name: &str) -> Result<NodePath> {
        check_name("node name", name)?;
        Ok(NodePath(match &*self.0 {
            "/" => format!("/{name}").into(),
            path => format!("{path}/{name}").into(),
        }))
    }

    /// Returns the nodes from the root to this one.
    pub fn lineage(&self) -> Vec<NodePath> {
        let mut nodes = vec![self.clone()];
        while let Some(parent) = nodes[nodes.len() - 1].parent() {
            nodes.push(parent);
        }
        nodes.reverse();
        nodes
    }
}

impl FromStr for NodePath {
    type Err = Error;

    fn from_str(s: &str) -> Result<Self> {
        if s == "/" {
            return Ok(NodePath::root());
        }
        let Some(rest) = s.strip_prefix('/') else {
            return Err(Error::new(
                Category::Invalid,
                format!("{s:?} is no node path: it must begin with /"),
            ));
        };
        for part in rest.split('/') {
            check_name("node name", part)?;
        }
        Ok(NodePath(s.into()))
    }
}

impl fmt::Display for NodePath {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl fmt::Debug for NodePath {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}", &*self.0)
    }
}

impl Serialize for NodePath {
    fn serialize<S: Serializer>(&self, s: S) -> std::result::Result<S::Ok, S::Error> {
        s.serialize_str(&self.0)
    }
}

impl<'de> Deserialize<'de> for NodePath {
    fn deserialize<D: Deserializer<'de>>(d: D) -> std::result::Result<Self, D::Error> {
        let s = String::deserialize(d)?;
        s.parse().map_err(de::Error::custom)
    }
}
