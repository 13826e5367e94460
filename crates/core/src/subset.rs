//! Which upstreams an entry keeps links to.
//!
//! Two-sided rendezvous hashing: an entry takes the upstreams that rank highest
//! for it, and also those for which the entry itself ranks among the highest.
//! The first side bounds what an entry hears; the second gives every upstream
//! at least a few entries. A departure moves only the pairs that named it.
//!
//! ```
//! use sorreldeck::subset::{choose, Sizes};
//!
//! let entries = vec!["e1".parse()?, "e2".parse()?];
//! let upstreams = vec!["u1".parse()?, "u2".parse()?, "u3".parse()?];
//! let sides = Sizes { per_entry: 1, per_upstream: 1 };
//! let chosen = choose(&entries[0], &entries, &upstreams, sides);
//! assert!(!chosen.is_empty());
//! # Ok::<(), sorreldeck::Error>(())
//! ```

use crate::digest;
use crate::id::{InstanceId, UpstreamId};
use std::collections::BTreeSet;

/// How many links each side asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sizes {
    /// The upstreams that an entry takes.
    pub per_entry: usize,
    /// The entries that every upstream gets at least.
    pub per_upstream: usize,
}

/// The sides used by the daemon.
pub const SIZES: Sizes = Sizes {
    per_entry: 24,
    per_upstream: 4,
};

/// Returns the upstreams that entry `me` keeps links to.
pub fn choose(
    me: &InstanceId,
    entries: &[InstanceId],
    upstreams: &[UpstreamId],
    sides: Sizes,
) -> BTreeSet<UpstreamId> {
    let mut ranked: Vec<(u64, &UpstreamId)> = upstreams
        .iter()
        .map(|u| (score(me.as_str(), u), u))
        .collect();
    ranked.sort_by(|a, b| b.cmp(a));
    let (taken, rest) = ranked.split_at(sides.per_entry.min(ranked.len()));
    let mut chosen: BTreeSet<UpstreamId> = taken.iter().map(|(_, u)| (*u).clone()).collect();
    for (own, upstream) in rest {
        let better = entries
            .iter()
            .filter(|e| *e != me && score(e.as_str(), upstream) > *own)
            .take(sides.per_upstream)
            .count();
        if better < sides.per_upstream {
            chosen.insert((*upstream).clone());
        }
    }
    chosen
}

/// Returns the upstream whose sidecar keeps soft state about a subject for all
/// entries, such as the shares of a client account's rate.
pub fn home<'a>(
    subject: &str,
    upstreams: impl IntoIterator<Item = &'a UpstreamId>,
) -> Option<&'a UpstreamId> {
    upstreams.into_iter().max_by_key(|u| score(subject, u))
}

/// Returns how high an upstream ranks for a subject; the same everywhere.
pub fn score(left: &str, upstream: &UpstreamId) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(left.as_bytes());
    hasher.update(&[0]);
    hasher.update(upstream.as_str().as_bytes());
    digest::truncate(&hasher.finalize())
}
