//! The release of each session, and the sessions to report to other entries.
//!
//! A session stays at its release in the first half of a move, whichever entries its requests
//! reach. All entries draw the same sessions for the release on trial, by their numbers. A session
//! that was drawn but is at the old release, because it began there, is known only to the entry
//! that served it. That entry reports it to the others at the start and at the end of each of its
//! requests.

use crate::id::{PoolId, VersionId};
use crate::unit::{Span, Time};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeSet, HashMap};

/// How long a session is kept after its last request; the sites count requests within 5 s as one
/// session.
pub const SESSION_TTL: Span = Span::from_millis(6_000);
/// The number of sessions from which on expired ones are removed.
const PRUNE_ABOVE: usize = 4096;

/// A session that stays at a release, as entries report it to one another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Affinity {
    /// The pool of the release.
    pub pool: PoolId,
    /// The release that serves the session.
    pub release: VersionId,
    /// The number of the session.
    pub session: u64,
    /// How long the session lasts without another request.
    pub left: Span,
}

#[derive(Clone, Debug)]
pub(super) struct Session {
    pool: PoolId,
    pub release: VersionId,
    /// When the session expires.
    expires_at: Time,
}

/// The sessions of one entry, and those that others reported to it.
#[derive(Clone, Debug, Default)]
pub(super) struct Sessions {
    sessions: HashMap<u64, Session>,
    /// The sessions to report to other entries.
    queued: BTreeSet<u64>,
}

impl Sessions {
    /// Returns the release of a session that has not expired.
    pub fn get(&self, session: u64, now: Time) -> Option<&Session> {
        self.sessions
            .get(&session)
            .filter(|known| now < known.expires_at)
    }

    /// Records the release of a session.
    pub fn insert(&mut self, affinity: Affinity, now: Time) {
        if self.sessions.len() >= PRUNE_ABOVE {
            self.sessions.retain(|_, known| now < known.expires_at);
        }
        let known = Session {
            pool: affinity.pool,
            release: affinity.release,
            expires_at: now + affinity.left,
        };
        self.sessions.insert(affinity.session, known);
    }

    /// Queues a session to be reported to other entries.
    pub fn queue(&mut self, session: u64) {
        self.queued.insert(session);
    }

    /// Queues all matching sessions of a pool to be reported to other entries.
    pub fn queue_matching(&mut self, pool: &PoolId, is_selected: impl Fn(u64, &VersionId) -> bool) {
        let of = self.sessions.iter().filter(|(_, k)| k.pool == *pool);
        let matching = of.filter(|(session, k)| is_selected(**session, &k.release));
        self.queued.extend(matching.map(|(session, _)| *session));
    }

    /// Returns the sessions to report to other entries since the last call.
    pub fn take_queued(&mut self, now: Time) -> Vec<Affinity> {
        let queued = std::mem::take(&mut self.queued);
        let affinity = |session: u64| {
            let known = self.get(session, now)?;
            Some(Affinity {
                pool: known.pool.clone(),
                release: known.release.clone(),
                session,
                left: known.expires_at.since(now),
            })
        };
        queued.into_iter().filter_map(affinity).collect()
    }
}
