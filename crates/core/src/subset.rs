//! Chooses the upstreams to which an entry keeps links.
//!
//! This is two-sided rendezvous hashing: an entry takes the upstreams that rank highest for it, and
//! also those for which it ranks among the highest entries. The first rule limits the number of
//! upstreams that report to an entry; the second gives every upstream at least a few entries. When
//! a process leaves, only the pairs in which it was chosen are replaced.
//!
//! ```
//! use sorreldeck::subset::{choose, Sizes};
//!
//! let entries = vec!["e1".parse()?, "e2".parse()?];
//! let upstreams = vec!["u1".parse()?, "u2".parse()?, "u3".parse()?];
//! let sizes = Sizes { per_entry: 1, per_upstream: 1 };
//! let chosen = choose(&entries[0], &entries, &upstreams, sizes);
//! assert!(!chosen.is_empty());
//! # Ok::<(), sorreldeck::Error>(())
//! ```

use crate::digest;
use crate::id::{InstanceId, UpstreamId};
use std::collections::BTreeSet;

/// The number of links that each side requires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sizes {
    /// The number of upstreams that an entry takes.
    pub per_entry: usize,
    /// The minimum number of entries per upstream.
    pub per_upstream: usize,
}

/// The sizes that the daemon uses.
pub const SIZES: Sizes = Sizes {
    per_entry: 24,
    per_upstream: 4,
};

/// Returns the upstreams that entry `me` keeps links to.
pub fn choose(
    me: &InstanceId,
    entries: &[InstanceId],
    upstreams: &[UpstreamId],
    sizes: Sizes,
) -> BTreeSet<UpstreamId> {
    let mut ranked: Vec<(u64, &UpstreamId)> = upstreams
        .iter()
        .map(|u| (score(me.as_str(), u), u))
        .collect();
    ranked.sort_by(|a, b| b.cmp(a));
    let (taken, rest) = ranked.split_at(sizes.per_entry.min(ranked.len()));
    let mut chosen: BTreeSet<UpstreamId> = taken.iter().map(|(_, u)| (*u).clone()).collect();
    for (own_score, upstream) in rest {
        let better = entries
            .iter()
            .filter(|e| *e != me && score(e.as_str(), upstream) > *own_score)
            .take(sizes.per_upstream)
            .count();
        if better < sizes.per_upstream {
            chosen.insert((*upstream).clone());
        }
    }
    chosen
}

/// Returns the upstream whose sidecar keeps soft state about a subject for all entries, for example
/// the shares of a client account's rate.
pub fn home<'a>(
    subject: &str,
    upstreams: impl IntoIterator<Item = &'a UpstreamId>,
) -> Option<&'a UpstreamId> {
    upstreams.into_iter().max_by_key(|u| score(subject, u))
}

/// Returns the rank of an upstream for a subject. All processes compute the same rank.
pub fn score(left: &str, upstream: &UpstreamId) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(left.as_bytes());
    hasher.update(&[0]);
    hasher.update(upstream.as_str().as_bytes());
    digest::truncate(&hasher.finalize())
}
