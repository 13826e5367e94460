//! The active configuration and its recent changes.
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

/// The number of changes retained for other processes; one that is further behind gets a full
/// snapshot.
const MAX_CHANGES: usize = 256;

/// The result of applying a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Update {
    /// The change is now active.
    Applied,
    /// The change was already active.
    AlreadyApplied,
    /// Earlier changes are missing.
    Gap,
}

/// The active configuration and its recent changes.
#[derive(Clone, Debug, Default)]
pub struct Config {
    tree: Arc<Tree>,
    changes: VecDeque<Change>,
}

impl Config {
    /// Returns the active configuration.
    pub fn tree(&self) -> &Arc<Tree> {
        &self.tree
    }

    /// Returns the active revision.
    pub fn revision(&self) -> Revision {
        self.tree.revision()
    }

    /// Applies a change if it is the next revision.
    ///
    /// # Errors
    ///
    /// Fails if the change breaks a rule of the tree, which an accepted change cannot; the
    /// configuration then stays as it was.
    pub fn apply(&mut self, change: &Change) -> Result<Update> {
        if change.revision <= self.revision() {
            return Ok(Update::AlreadyApplied);
        }
        if change.revision > self.revision().next() {
            return Ok(Update::Gap);
        }
        self.tree = Arc::new(self.tree.apply(change)?);
        self.changes.push_back(change.clone());
        if self.changes.len() > MAX_CHANGES {
            self.changes.pop_front();
        }
        Ok(Update::Applied)
    }

    /// Replaces the whole configuration if the given revision is newer.
    ///
    /// # Errors
    ///
    /// Fails if the entries break a rule of the tree.
    pub fn replace(&mut self, revision: Revision, entries: BTreeMap<Key, Value>) -> Result<Update> {
        if revision <= self.revision() {
            return Ok(Update::AlreadyApplied);
        }
        self.tree = Arc::new(Tree::from_entries(revision, entries)?);
        self.changes.clear();
        Ok(Update::Applied)
    }

    /// Returns all retained changes, or `None` if there are none.
    pub fn retained(&self) -> Option<Vec<Change>> {
        let first = self.changes.front()?;
        self.since(Revision(first.revision.0 - 1))
    }

    /// Returns the changes after a revision, or `None` if not all of them are retained.
    pub fn since(&self, revision: Revision) -> Option<Vec<Change>> {
        let first = self.changes.front().map(|c| c.revision)?;
        if revision.next() < first {
            return None;
        }
        let newer = |c: &&Change| c.revision > revision;
        Some(self.changes.iter().filter(newer).cloned().collect())
    }
}
