//! At which release each session is, and which of them other entries must be told of.
//!
//! A session stays at its release in the first half of a move, whichever entries its requests
//! come to. All of them draw the same sessions for the release on trial, by their names; one
//! that was drawn but is at the old release, since it was there before, is known only to the
//! entry that served it. So that entry tells the others, at the beginning and at the end of
//! each of its requests.

use crate::id::{PoolId, VersionId};
use crate::unit::{Span, Time};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeSet, HashMap};

/// How long a session is remembered after its last request; the sites count
/// requests within 5 s as one session.
pub const SESSION_TTL: Span = Span::from_millis(6_000);
/// The sessions remembered before old ones are looked for.
const MOST: usize = 4096;

/// A session that stays at a release, as entries note it and tell one another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Affinity {
    /// The pool.
    pub pool: PoolId,
    /// The release.
    pub release: VersionId,
    /// The session.
    pub session: u64,
    /// For how long its next request may come.
    pub left: Span,
}

#[derive(Clone, Debug)]
pub(super) struct Kept {
    pool: PoolId,
    pub release: VersionId,
    /// Until when the next request may come.
    until: Time,
}

/// The sessions of one entry, and those that it was told of.
#[derive(Clone, Debug, Default)]
pub(super) struct Sessions {
    kept: HashMap<u64, Kept>,
    /// Those that other entries are to be told of.
    untold: BTreeSet<u64>,
}

impl Sessions {
    /// Returns where a session is, if its next request may still come.
    pub fn get(&self, session: u64, now: Time) -> Option<&Kept> {
        self.kept.get(&session).filter(|kept| now < kept.until)
    }

    /// Notes where a session is.
    pub fn keep(&mut self, stay: Affinity, now: Time) {
        if self.kept.len() >= MOST {
            self.kept.retain(|_, kept| now < kept.until);
        }
        let kept = Kept {
            pool: stay.pool,
            release: stay.release,
            until: now + stay.left,
        };
        self.kept.insert(stay.session, kept);
    }

    /// Notes that other entries are to be told of a session.
    pub fn tell(&mut self, session: u64) {
        self.untold.insert(session);
    }

    /// Notes that other entries are to be told of all sessions of a pool for which `is_told`.
    pub fn tell_all(&mut self, pool: &PoolId, is_told: impl Fn(u64, &VersionId) -> bool) {
        let of = self.kept.iter().filter(|(_, k)| k.pool == *pool);
        let told = of.filter(|(session, k)| is_told(**session, &k.release));
        self.untold.extend(told.map(|(session, _)| *session));
    }

    /// Returns what other entries are to be told since the last call.
    pub fn stays(&mut self, now: Time) -> Vec<Affinity> {
        let untold = std::mem::take(&mut self.untold);
        let stay = |session: u64| {
            let kept = self.get(session, now)?;
            Some(Affinity {
                pool: kept.pool.clone(),
                release: kept.release.clone(),
                session,
                left: kept.until.since(now),
            })
        };
        untold.into_iter().filter_map(stay).collect()
    }
}
