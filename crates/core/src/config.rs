//! The configuration in force and the changes that led to it.
//!
//! ```
//! use sorreldeck::config::{Config, Update};
//! use sorreldeck::tree::Change;
//! use sorreldeck::Revision;
//!
//! let mut config = Config::default();
//! let change = Change { revision: Revision(1), author: "op".into(), ticket: 1, edits: vec![] };
//! assert_eq!(config.apply(&change)?, Update::Applied);
//! assert_eq!(config.apply(&change)?, Update::AlreadyApplied);
//! assert_eq!(config.since(Revision(0)), Some(vec![change]));
//! # Ok::<(), sorreldeck::Error>(())
//! ```

use crate::error::Result;
use crate::id::Revision;
use crate::tree::{Change, Key, Tree};
use serde_json::Value;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// The changes kept to hand on; one further behind gets the whole.
const KEPT: usize = 256;

/// What became of a change that came in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Update {
    /// It is in force now.
    Applied,
    /// It was in force already.
    AlreadyApplied,
    /// Changes before it are missing.
    Gap,
}

/// The configuration in force and the last changes.
#[derive(Clone, Debug, Default)]
pub struct Config {
    tree: Arc<Tree>,
    changes: VecDeque<Change>,
}

impl Config {
    /// Returns the configuration in force.
    pub fn tree(&self) -> &Arc<Tree> {
        &self.tree
    }

    /// Returns the revision in force.
    pub fn revision(&self) -> Revision {
        self.tree.revision()
    }

    /// Puts a change in force if it follows directly.
    ///
    /// # Errors
    ///
    /// Fails if the change breaks a rule of the tree, which an accepted one
    /// cannot; the configuration is then as it was.
    pub fn apply(&mut self, change: &Change) -> Result<Update> {
        if change.revision <= self.revision() {
            return Ok(Update::AlreadyApplied);
        }
        if change.revision > self.revision().next() {
            return Ok(Update::Gap);
        }
        self.tree = Arc::new(self.tree.apply(change)?);
        self.changes.push_back(change.clone());
        if self.changes.len() > KEPT {
            self.changes.pop_front();
        }
        Ok(Update::Applied)
    }

    /// Puts a whole configuration in force if it is newer.
    ///
    /// # Errors
    ///
    /// Fails if it breaks a rule of the tree.
    pub fn replace(&mut self, revision: Revision, entries: BTreeMap<Key, Value>) -> Result<Update> {
        if revision <= self.revision() {
            return Ok(Update::AlreadyApplied);
        }
        self.tree = Arc::new(Tree::from_entries(revision, entries)?);
        self.changes.clear();
        Ok(Update::Applied)
    }

    /// Returns all the changes that are kept, or `None` if there are none.
    pub fn retained(&self) -> Option<Vec<Change>> {
        let first = self.changes.front()?;
        self.since(Revision(first.revision.0 - 1))
    }

    /// Returns the changes after a revision, or `None` if they are not kept.
    pub fn since(&self, revision: Revision) -> Option<Vec<Change>> {
        let first = self.changes.front().map(|c| c.revision)?;
        if revision.next() < first {
            return None;
        }
        let newer = |c: &&Change| c.revision > revision;
        Some(self.changes.iter().filter(newer).cloned().collect())
    }
}
