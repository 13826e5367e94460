//! The name of one entry of the settings tree: a section and a name in it.
//!
//! ```
//! use sorreldeck::tree::{Key, Section};
//!
//! let key: Key = "nodes/payroll/summaries".parse()?;
//! assert_eq!(key.section, Section::Nodes);
//! assert_eq!(key.name, "/payroll/summaries");
//! assert_eq!(key.to_string(), "nodes/payroll/summaries");
//! # Ok::<(), sorreldeck::Error>(())
//! ```

use crate::error::{Category, Error, Result};
use serde::{de, Deserialize, Deserializer, Serialize, Serializer};
use std::fmt;
use std::str::FromStr;

/// A section of the settings tree.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Section {
    /// Groups of upstreams.
    Pools,
    /// Models that callers ask for.
    Models,
    /// Versions of models.
    Versions,
    /// Planned moves to a new version.
    Rollouts,
    /// Versions asked in turn.
    Cascades,
    /// Who may use the administration API.
    Operators,
    /// Client accounts, services and routes.
    Nodes,
    /// Which pool answers a host and path.
    Routes,
    /// The record of roll-outs, written by their controller only.
    Progress,
    /// Whether data halls get work.
    Halls,
}

impl Section {
    /// Every section.
    pub const ALL: [Section; 10] = [
        Section::Pools,
        Section::Models,
        Section::Versions,
        Section::Rollouts,
        Section::Cascades,
        Section::Operators,
        Section::Nodes,
        Section::Routes,
        Section::Progress,
        Section::Halls,
    ];

    /// Returns the name of the section in documents.
    pub fn as_str(self) -> &'static str {
        match self {
            Section::Pools => "pools",
            Section::Models => "models",
            Section::Versions => "versions",
            Section::Rollouts => "rollouts",
            Section::Cascades => "cascades",
            Section::Operators => "operators",
            Section::Nodes => "nodes",
            Section::Routes => "routes",
            Section::Progress => "progress",
            Section::Halls => "halls",
        }
    }
}

impl FromStr for Section {
    type Err = Error;

    fn from_str(s: &str) -> Result<Self> {
        Section::ALL
            .into_iter()
            .find(|section| section.as_str() == s)
            .ok_or_else(|| {
                let known: Vec<_> = Section::ALL.iter().map(|s| s.as_str()).collect();
                Error::new(
                    Category::Invalid,
                    format!(
                        "unknown section {s:?}: the sections are {}",
                        known.join(", ")
                    ),
                )
            })
    }
}

/// The name of one entry of the settings tree.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Key {
    /// The section of the entry.
    pub section: Section,
    /// The name in the section; a path in [`Section::Nodes`].
    pub name: String,
}

impl Key {
    /// Creates the key of an entry.
    pub fn new(section: Section, name: impl fmt::Display) -> Key {
        Key {
            section,
            name: name.to_string(),
        }
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.section {
            Section::Nodes => write!(f, "nodes{}", self.name),
            section => write!(f, "{}/{}", section.as_str(), self.name),
        }
    }
}

impl FromStr for Key {
    type Err = Error;

    fn from_str(s: &str) -> Result<Self> {
        let (section, name) = s.split_once('/').ok_or_else(|| {
            Error::new(
                Category::Invalid,
                format!("{s:?} is no entry: write SECTION/NAME, such as versions/scribe-2"),
            )
        })?;
        let section: Section = section.parse()?;
        let name = match section {
            Section::Nodes => format!("/{name}"),
            _ => name.to_owned(),
        };
        Ok(Key { section, name })
    }
}

impl Serialize for Key {
    fn serialize<S: Serializer>(&self, s: S) -> std::result::Result<S::Ok, S::Error> {
        s.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for Key {
    fn deserialize<D: Deserializer<'de>>(d: D) -> std::result::Result<Self, D::Error> {
        let s = String::deserialize(d)?;
        s.parse().map_err(de::Error::custom)
    }
}
