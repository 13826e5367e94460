//! Tracks which upstreams are cold and which data halls receive requests.

use super::{Link, Peer, Peers};
use crate::halls::{Change, Halls};
use crate::id::{Hall, InstanceId, PoolId};
use crate::tree::{Kind, Tree};
use crate::unit::{Span, Time};
use crate::warmup::Entries;
use std::collections::BTreeSet;

/// The longest time between two upstreams that join as part of the initial set. A table is read at
/// once, and its upstreams then join one after another.
const MAX_JOIN_GAP: Span = Span::from_millis(500);
/// The longest time for the whole initial set to join. An instance with 0.09 cores takes about
/// 500 ms for 3,000 upstreams.
const MAX_JOIN_TIME: Span = Span::from_millis(2_000);

/// The progress of the initial set of upstreams, which joins when an entry starts.
#[derive(Clone, Copy, Debug, Default)]
pub(super) enum InitialSet {
    /// No upstream has joined.
    #[default]
    None,
    /// The upstreams are joining.
    Joining {
        /// When the first one joined.
        since: Time,
        /// When the latest one joined.
        last: Time,
    },
    /// All have joined.
    Over,
}

impl InitialSet {
    /// Records that an upstream joins and returns whether it belongs to the initial set.
    fn joins(&mut self, now: Time) -> bool {
        *self = match *self {
            InitialSet::None => InitialSet::Joining {
                since: now,
                last: now,
            },
            InitialSet::Joining { since, last }
                if now.since(last) <= MAX_JOIN_GAP && now.since(since) <= MAX_JOIN_TIME =>
            {
                InitialSet::Joining { since, last: now }
            }
            InitialSet::Joining { .. } | InitialSet::Over => InitialSet::Over,
        };
        !matches!(self, InitialSet::Over)
    }
}

impl Peers {
    /// Returns which data halls receive requests.
    pub fn hall_states(&self) -> &Halls {
        &self.halls
    }

    /// Sets which data halls are evacuated by command, independently of the configuration.
    pub fn evacuate(&mut self, evacuated: BTreeSet<Hall>, now: Time) -> Change {
        let change = self.halls.evacuate(evacuated);
        self.mark_halls_cold(&change, now);
        change
    }

    /// Applies the settings of pools and data halls in a configuration.
    pub fn configure(&mut self, tree: &Tree, now: Time) -> Change {
        let warmups = tree.pools().iter();
        let warmups = warmups.filter_map(|(pool, p)| Some((pool.clone(), p.warmup?)));
        self.warmups = warmups.collect();
        for (pool, links) in &self.pools {
            let warmup = self.warmups.get(pool).copied();
            for link in links {
                if let Some(peer) = self.peers.get_mut(link) {
                    peer.warmup = warmup;
                }
            }
        }
        let plain = tree.pools().iter().filter(|(_, p)| p.kind == Kind::Plain);
        self.set_plain(plain.map(|(pool, _)| pool.clone()).collect());
        let change = self.halls.configure(tree.evacuated().cloned().collect());
        self.mark_halls_cold(&change, now);
        change
    }

    /// Marks the upstreams of restored data halls as cold, since they may have been started shortly
    /// before.
    fn mark_halls_cold(&mut self, change: &Change, now: Time) {
        for peer in self.peers.values_mut() {
            let hall = peer.placement.hall.as_ref();
            let is_restored = hall.is_some_and(|hall| change.restored.contains(hall));
            if let Some(warmup) = peer.warmup.filter(|_| is_restored) {
                peer.ramp.mark_cold(now, warmup.span);
            }
        }
    }

    /// Sets the entries that send requests: this one and the other known ones.
    pub fn set_entries<'a>(
        &mut self,
        own: &InstanceId,
        others: impl Iterator<Item = &'a InstanceId>,
        now: Time,
    ) {
        self.entries = Entries::new(own, others);
        self.notices.set_entries(&self.entries, now);
    }

    /// Marks an upstream that joined as cold, since it may have just started. Upstreams of the
    /// initial set were there before this entry started and are not marked.
    pub fn joined(&mut self, link: Link, now: Time) {
        let is_initial = self.initial_set.joins(now);
        let Some(peer) = self.peers.get_mut(&link) else {
            return;
        };
        if let Some(warmup) = peer.warmup.filter(|_| !is_initial) {
            peer.ramp.mark_cold(now, warmup.span);
        }
    }

    /// Marks an upstream as cold for this long from now on.
    pub fn mark_cold(&mut self, link: Link, left: Span, now: Time) {
        if let Some(peer) = self.peers.get_mut(&link) {
            peer.ramp.mark_cold(now, left);
        }
    }

    /// Marks an upstream as possibly restarted, after it was unreachable or went down. It may
    /// return cold at any moment, long before its row is updated.
    pub fn suspect_restart(&mut self, link: Link) {
        if let Some(peer) = self.peers.get_mut(&link) {
            peer.ramp.suspect_restart();
        }
    }

    /// Marks an upstream, given by its start identifier, as possibly restarted after another entry
    /// saw it go down.
    pub fn suspect_restart_of_id(&mut self, start_id: u64) {
        for peer in self.by_start_id(start_id) {
            peer.ramp.suspect_restart();
        }
    }

    /// Records that an upstream answered.
    pub fn answered(&mut self, link: Link, now: Time) {
        if let Some(peer) = self.peers.get_mut(&link) {
            let span = peer.warmup.map_or(Span::default(), |w| w.span);
            peer.ramp.answered(now, span);
        }
    }

    /// Returns the number of cold upstreams.
    pub fn cold(&self, now: Time) -> usize {
        self.iter().filter(|(_, peer)| peer.is_cold(now)).count()
    }

    /// Returns the pools that have upstreams of which none may receive requests.
    pub fn pools_without_upstream(&self) -> impl Iterator<Item = &PoolId> {
        let pools = self.pools.iter().filter(|(_, links)| !links.is_empty());
        let idle = pools.filter(|(pool, _)| self.available(pool).next().is_none());
        idle.map(|(pool, _)| pool)
    }

    /// Returns whether the warm-up limit allows this entry to send an upstream a request now.
    pub(super) fn is_warm_enough(&self, peer: &Peer, now: Time) -> bool {
        peer.warmup.is_none_or(|warmup| {
            let pause = || self.entries.pause(peer.start_id(), warmup.rate);
            peer.ramp.admits(now, pause)
        })
    }
}
