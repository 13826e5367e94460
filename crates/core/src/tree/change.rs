//! Accepted changes of the settings tree and the difference of two trees.
//!
//! ```
//! use sorreldeck::tree::{Change, Edit};
//! use sorreldeck::Tree;
//!
//! let old = Tree::default();
//! let new = Tree::from_toml("[pools.main]\nkind = 'engine'")?;
//! let edits = old.diff(&new);
//! assert_eq!(edits[0].to_string(), "+ pools/main");
//! # Ok::<(), sorreldeck::Error>(())
//! ```

use super::key::Key;
use super::Tree;
use crate::id::Revision;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::fmt;

/// One entry put or removed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Edit {
    /// The entry.
    pub key: Key,
    /// What it was, for people; not needed to apply the edit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub old: Option<Value>,
    /// What it is to be, or `None` to remove it.
    pub new: Option<Value>,
}

impl fmt::Display for Edit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mark = match (&self.old, &self.new) {
            (None, Some(_)) => '+',
            (_, None) => '-',
            (Some(_), Some(_)) => '~',
        };
        write!(f, "{mark} {}", self.key)
    }
}

/// One accepted change: the edits that raised the revision.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// The revision that the change made.
    pub revision: Revision,
    /// Who made it.
    pub author: String,
    /// A number drawn by the author, by which a repeated try is recognised.
    pub ticket: u64,
    /// The entries put and removed.
    pub edits: Vec<Edit>,
}

impl Tree {
    /// Returns the edits that turn this tree into `new`.
    pub fn diff(&self, new: &Tree) -> Vec<Edit> {
        let mut edits = Vec::new();
        for (key, old) in self.entries() {
            let now = new.entries().get(key);
            if now != Some(old) {
                edits.push(Edit {
                    key: key.clone(),
                    old: Some(old.clone()),
                    new: now.cloned(),
                });
            }
        }
        for (key, value) in new.entries() {
            if !self.entries().contains_key(key) {
                edits.push(Edit {
                    key: key.clone(),
                    old: None,
                    new: Some(value.clone()),
                });
            }
        }
        edits.sort_by(|a, b| a.key.cmp(&b.key));
        edits
    }
}
