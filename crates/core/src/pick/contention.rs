//! Which pools are contended: their upstreams share machines with others or have less room than
//! callers ask for. Only there are speeds learned and used.

use super::{usual, Link, Peer, Peers, Slowdown, SpeedSum};
use crate::id::PoolId;
use crate::latency::Workload;
use crate::unit::{Rate, Span, Time};
use std::collections::{BTreeSet, HashSet};

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

/// The time to the first token of a run, and what was expected when it was sent.
#[derive(Clone, Copy, Debug)]
pub struct Start {
    /// The upstream.
    pub link: Link,
    /// The expected wait for earlier prompts.
    pub wait: Span,
    /// How long work was expected to take at the upstream.
    pub slowdown: Slowdown,
    /// The time to the first token.
    pub took: Span,
}

impl Peers {
    /// Sets for which pools the decisions under contention are made.
    pub fn set_contention(&mut self, contention: Contention) {
        self.contention = contention;
    }

    /// Returns whether the decisions under contention are made for a pool. Plain services work on
    /// several requests side by side and have no prompts to read, so they are never contended.
    pub fn is_contended(&self, pool: &PoolId) -> bool {
        !self.plain.contains(pool)
            && match self.contention {
                Contention::Off => false,
                Contention::Detect => self.contended.contains(pool),
                Contention::On => true,
            }
    }

    /// Sets the pools of plain services.
    pub(super) fn set_plain(&mut self, plain: BTreeSet<PoolId>) {
        self.plain = plain;
        self.refresh_contended();
    }

    /// Records that an upstream told its pace, here or to another entry.
    pub(super) fn note_contended(&mut self, link: Link, from: &str) {
        if self.contention != Contention::Detect
            || self.peers.get(&link).is_none_or(|peer| peer.is_contended)
        {
            return;
        }
        let of_link = |(_, links): &(&PoolId, &Vec<Link>)| links.contains(&link);
        let Some((pool, _)) = self.pools.iter().find(of_link) else {
            return;
        };
        let pool = pool.clone();
        if self.plain.contains(&pool) || !self.contended.insert(pool.clone()) {
            return;
        }
        log::info!("event=contended pool={pool} from={from}");
        self.refresh_contended();
    }

    fn refresh_contended(&mut self) {
        for (pool, links) in &self.pools {
            let is_contended = self.is_contended(pool);
            for link in links {
                if let Some(peer) = self.peers.get_mut(link) {
                    peer.is_contended = is_contended;
                }
            }
        }
    }

    /// Records that a run of a prompt with this many uncached tokens started to answer.
    pub fn record_start(&mut self, workload: &Workload, tokens: u32, start: Start, now: Time) {
        let Some(peer) = self.peers.get(&start.link) else {
            return;
        };
        let usual = self.usual_time(workload, tokens, now);
        // A slow upstream is slow to read the prompts before this one as well, so the error of the
        // whole time is attributed to its speed.
        let expected = start.wait + start.slowdown.scale(usual);
        let error = start.took.secs_f64() / expected.secs_f64().max(1e-3);
        let corrected = Span::from_secs_f64(usual.secs_f64() * error);
        let at_upstream = start.slowdown.scale(corrected);
        let start_id = peer.start_id();
        self.speeds.record(start_id, at_upstream, usual, now);
        usual::record(&mut self.speeds, workload, tokens, corrected, now);
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
        let others = self.peers.iter().filter(|(_, peer)| !peer.is_contended);
        let told: Vec<Link> = others
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
