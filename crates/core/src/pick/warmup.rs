//! Which upstreams are cold, and which data halls get work.

use super::{Link, Peer, Peers};
use crate::halls::{Change, Halls};
use crate::id::{Hall, InstanceId, PoolId};
use crate::tree::Tree;
use crate::unit::{Span, Time};
use crate::warmup::Entries;
use std::collections::BTreeSet;

/// How long after another upstream one may join that was there before: a table is read whole, and
/// its upstreams join one after another.
const TOGETHER: Span = Span::from_millis(500);
/// How long that may go on: an instance of 0.09 cores takes some 0.5 s for 3,000 upstreams.
const ALL_WITHIN: Span = Span::from_millis(2_000);

/// The upstreams that join together when an entry starts.
#[derive(Clone, Copy, Debug, Default)]
pub(super) enum First {
    /// None has joined yet.
    #[default]
    None,
    /// They are joining.
    Joining {
        /// When the first one did.
        since: Time,
        /// When the latest one did.
        last: Time,
    },
    /// All have joined.
    Over,
}

impl First {
    /// Notes that an upstream joins; returns whether it is among the first.
    fn joins(&mut self, now: Time) -> bool {
        *self = match *self {
            First::None => First::Joining {
                since: now,
                last: now,
            },
            First::Joining { since, last }
                if now.since(last) <= TOGETHER && now.since(since) <= ALL_WITHIN =>
            {
                First::Joining { since, last: now }
            }
            First::Joining { .. } | First::Over => First::Over,
        };
        !matches!(self, First::Over)
    }
}

impl Peers {
    /// Returns which data halls get work.
    pub fn hall_states(&self) -> &Halls {
        &self.halls
    }

    /// Sets which data halls are ordered to be empty, apart from the configuration.
    pub fn evacuate(&mut self, evacuated: BTreeSet<Hall>, now: Time) -> Change {
        let change = self.halls.evacuate(evacuated);
        self.cool_halls(&change, now);
        change
    }

    /// Takes in what a configuration says of pools and data halls.
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
        let change = self.halls.configure(tree.evacuated().cloned().collect());
        self.cool_halls(&change, now);
        change
    }

    /// Upstreams of a data hall that gets work again may have been started shortly before.
    fn cool_halls(&mut self, change: &Change, now: Time) {
        for peer in self.peers.values_mut() {
            let hall = peer.placement.hall.as_ref();
            let is_back = hall.is_some_and(|hall| change.restored.contains(hall));
            if let Some(warmup) = peer.warmup.filter(|_| is_back) {
                peer.ramp.mark_cold(now, warmup.span);
            }
        }
    }

    /// Notes which entries send requests, this one and the others that are known.
    pub fn set_entries<'a>(
        &mut self,
        own: &InstanceId,
        others: impl Iterator<Item = &'a InstanceId>,
        now: Time,
    ) {
        self.entries = Entries::new(own, others);
        self.notices.set_entries(&self.entries, now);
    }

    /// Notes that an upstream which just joined may have just started. Those that join with
    /// the first were there before this entry knew of any.
    pub fn joined(&mut self, link: Link, now: Time) {
        let is_first = self.first.joins(now);
        let Some(peer) = self.peers.get_mut(&link) else {
            return;
        };
        if let Some(warmup) = peer.warmup.filter(|_| !is_first) {
            peer.ramp.mark_cold(now, warmup.span);
        }
    }

    /// Notes that an upstream is cold for so long from now on.
    pub fn mark_cold(&mut self, link: Link, left: Span, now: Time) {
        if let Some(peer) = self.peers.get_mut(&link) {
            peer.ramp.mark_cold(now, left);
        }
    }

    /// Notes that an upstream could not be reached or went down: it may come back cold at any
    /// moment, long before its row says so.
    pub fn suspect_restart(&mut self, link: Link) {
        if let Some(peer) = self.peers.get_mut(&link) {
            peer.ramp.suspect_restart();
        }
    }

    /// Notes that another entry saw an upstream go down, which a number stands for.
    pub fn suspect_restart_of_id(&mut self, number: u64) {
        for peer in self.numbered(number) {
            peer.ramp.suspect_restart();
        }
    }

    /// Notes that an upstream answers.
    pub fn answered(&mut self, link: Link, now: Time) {
        if let Some(peer) = self.peers.get_mut(&link) {
            let span = peer.warmup.map_or(Span::default(), |w| w.span);
            peer.ramp.answered(now, span);
        }
    }

    /// Returns how many upstreams count as cold.
    pub fn cold(&self, now: Time) -> usize {
        self.iter().filter(|(_, peer)| peer.is_cold(now)).count()
    }

    /// Returns the pools of which no upstream may get work, though there are some.
    pub fn pools_without_upstream(&self) -> impl Iterator<Item = &PoolId> {
        let pools = self.pools.iter().filter(|(_, links)| !links.is_empty());
        let idle = pools.filter(|(pool, _)| self.working(pool).next().is_none());
        idle.map(|(pool, _)| pool)
    }

    /// Returns whether this entry may send an upstream a request now, as far as that is limited
    /// while it is cold.
    pub(super) fn is_warm_enough(&self, peer: &Peer, now: Time) -> bool {
        peer.warmup.is_none_or(|warmup| {
            let pause = || self.entries.pause(peer.start_id(), warmup.rate);
            peer.ramp.admits(now, pause)
        })
    }
}
