//! Which pools are contended: their upstreams share machines with others or have less room than
//! callers ask for. Only there are speeds learned and used.

use super::{usual, Link, Peer, Peers, SpeedSum};
use crate::id::PoolId;
use crate::latency::Workload;
use crate::unit::{Rate, Span, Time};
use std::collections::HashSet;

/// The part of the time to the first token that counts as work whatever wait was expected: one in
/// this number.
const MIN_SERVED_PART: u64 = 4;

/// For which pools the decisions under contention are made.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Contention {
    /// For none.
    Off,
    /// For those whose upstreams tell their pace, which they do where they share their machines.
    #[default]
    Detect,
    /// For all.
    On,
}

impl std::str::FromStr for Contention {
    type Err = crate::Error;

    fn from_str(s: &str) -> crate::Result<Self> {
        match s {
            "off" => Ok(Contention::Off),
            "auto" => Ok(Contention::Detect),
            "on" => Ok(Contention::On),
            _ => Err(crate::Error::new(
                crate::Category::Invalid,
                format!("{s:?} is not on, off or auto"),
            )),
        }
    }
}

impl Peers {
    /// Sets for which pools the decisions under contention are made.
    pub fn set_contention(&mut self, contention: Contention) {
        self.contention = contention;
    }

    /// Returns whether the decisions under contention are made for a pool.
    pub fn is_contended(&self, pool: &PoolId) -> bool {
        match self.contention {
            Contention::Off => false,
            Contention::Detect => self.contended.contains(pool),
            Contention::On => true,
        }
    }

    /// Records that an upstream told its pace, here or to another entry.
    pub(super) fn note_contended(&mut self, link: Link, from: &str) {
        if self.peers.get(&link).is_none_or(|peer| peer.is_contended) {
            return;
        }
        let of_link = |(_, links): &(&PoolId, &Vec<Link>)| links.contains(&link);
        let Some((pool, links)) = self.pools.iter().find(of_link) else {
            return;
        };
        if self.contention != Contention::Detect || !self.contended.insert(pool.clone()) {
            return;
        }
        log::info!("event=contended pool={pool} from={from}");
        for link in links {
            if let Some(peer) = self.peers.get_mut(link) {
                peer.is_contended = true;
            }
        }
    }

    /// Records that a run started to answer after `took`, of which `wait` is attributed to earlier
    /// prompts.
    pub fn record_start(
        &mut self,
        link: Link,
        workload: &Workload,
        tokens: u32,
        (wait, took): (Span, Span),
        now: Time,
    ) {
        let Some(peer) = self.peers.get(&link) else {
            return;
        };
        let usual = self.usual_time(workload, tokens, now);
        // The wait is an estimate, so part of the time always counts as work. Behind a long wait
        // the rest tells little.
        let served = (took - wait).max(Span::from_micros(took.micros() / MIN_SERVED_PART));
        if wait <= usual {
            let start_id = peer.start_id();
            let at_pace = peer.without_pace(served, now);
            self.speeds.record(start_id, at_pace, usual, now);
        }
        let served = self.peers[&link].slowdown(now).usual(served);
        usual::record(&mut self.speeds, workload, tokens, served, now);
    }

    /// Returns the usual time in which a prompt starts to be answered.
    pub fn usual_time(&self, workload: &Workload, tokens: u32, now: Time) -> Span {
        usual::time(&self.speeds, workload, tokens, now)
    }

    /// Returns the rate at which prompts of this length are usually read.
    pub fn usual_rate(&self, workload: &Workload, tokens: u32, now: Time) -> Rate {
        usual::rate(&self.speeds, workload, tokens, now)
    }

    /// Adds the runs that other entries recorded. They recorded them because the pool is contended.
    pub fn merge_speeds(&mut self, sums: &[SpeedSum], now: Time) {
        for sum in sums {
            self.speeds.merge(sum, now);
        }
        let told: HashSet<u64> = sums.iter().map(|sum| sum.upstream).collect();
        let is_told = |peer: &Peer| told.contains(&peer.start_id());
        let plain = self.peers.iter().filter(|(_, peer)| !peer.is_contended);
        let told: Vec<Link> = plain
            .filter(|(_, peer)| is_told(peer))
            .map(|(link, _)| *link)
            .collect();
        for link in told {
            self.note_contended(link, "entry");
        }
    }

    /// Updates the slowdowns of all upstreams; returns the own runs that the other entries do not
    /// know yet.
    pub fn refresh_speeds(&mut self, now: Time) -> Vec<SpeedSum> {
        for (pool, links) in &self.pools {
            if !self.is_contended(pool) {
                continue;
            }
            let starts: Vec<u64> = links.iter().map(|l| self.peers[l].start_id()).collect();
            let slowdowns = self.speeds.relative(&starts, now);
            for (link, slowdown) in links.iter().zip(slowdowns) {
                if let Some(peer) = self.peers.get_mut(link) {
                    peer.set_slowdown(slowdown);
                }
            }
        }
        self.speeds.prune(now);
        self.speeds.take_unreported()
    }
}
