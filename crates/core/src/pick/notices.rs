//! Notices that upstreams send about themselves, as far as they affect which upstream is picked.

use super::peer::AVOID_MAX;
use super::{Link, Peer, Peers};
use crate::id::PoolId;
use crate::notice::{Change, Notice, Update};
use crate::unit::{Rate, Span, Time};

impl Peers {
    /// Applies a notice in the answer to a request that was sent at `asked`.
    pub fn apply_notice(&mut self, link: Link, notice: Notice, asked: Time, now: Time) {
        let Some(peer) = self.peers.get_mut(&link) else {
            return;
        };
        if let Some(pace) = notice.pace {
            peer.set_pace(pace, now);
            self.note_contended(link, "answer");
        }
        let Some(peer) = self.peers.get(&link) else {
            return;
        };
        // The pace changes too often to be shared with other entries.
        let notice = Notice {
            pace: None,
            ..notice
        };
        if notice.is_empty() && !peer.has_notice {
            return;
        }
        let start_id = peer.start_id();
        let before = self.notices.limit(start_id);
        let entries = &self.entries;
        for change in self.notices.observe(start_id, notice, asked, entries, now) {
            self.apply_change(start_id, change, before, "answer", now);
        }
    }

    /// Applies a notice about an upstream that another entry shared.
    pub fn apply_remote_notice(&mut self, update: Update, now: Time) {
        let start_id = update.upstream;
        if let Change::Paused(pause) = update.change {
            return self.avoid_paused(start_id, pause, now);
        }
        let before = self.notices.limit(start_id);
        if let Some(change) = self.notices.merge(update, &self.entries, now) {
            self.apply_change(start_id, change, before, "entry", now);
        }
    }

    /// Avoids an upstream that refuses requests of another entry, as long as there are others. It
    /// would also refuse requests of this entry, which would try one such upstream after another.
    fn avoid_paused(&mut self, start_id: u64, pause: Span, now: Time) {
        for peer in self.by_start_id(start_id) {
            peer.avoided = peer.avoided.max(now + pause.min(AVOID_MAX));
        }
    }

    fn apply_change(
        &mut self,
        start_id: u64,
        change: Change,
        before: Option<(Rate, Time)>,
        from: &str,
        now: Time,
    ) {
        for peer in self.by_start_id(start_id) {
            peer.has_notice = true;
        }
        self.log_change(start_id, change, before, from, now);
    }

    fn log_change(
        &self,
        start_id: u64,
        change: Change,
        before: Option<(Rate, Time)>,
        from: &str,
        now: Time,
    ) {
        let mut peers = self.peers.values();
        let Some(peer) = peers.find(|peer| peer.start_id() == start_id) else {
            return;
        };
        let upstream = &peer.upstream;
        let age = before.map_or(-1, |(_, received)| now.since(received).millis() as i64);
        let before = before.map_or_else(|| "none".to_owned(), |(rate, _)| rate.to_string());
        match change {
            Change::Leaving => {
                log::info!("event=notice upstream={upstream} leaving=true from={from}");
            }
            Change::Paused(pause) => {
                let for_ms = pause.millis();
                log::info!("event=notice upstream={upstream} rest_ms={for_ms} from={from}");
            }
            Change::Limited(rate) => log::info!(
                "event=notice upstream={upstream} limit={rate} before={before} age_ms={age} from={from}"
            ),
            Change::Unlimited => log::info!(
                "event=notice upstream={upstream} limit=none before={before} age_ms={age} from={from}"
            ),
        }
    }

    /// Returns whether an upstream takes no new requests because it is leaving, from either a
    /// message or a notice.
    pub(super) fn is_leaving(&self, peer: &Peer) -> bool {
        peer.leaving || (peer.has_notice && self.notices.leaving_since(peer.start_id()).is_some())
    }

    /// Returns the time from which an upstream takes requests of this entry, according to its
    /// notices.
    pub(super) fn available_at(&self, peer: &Peer) -> Time {
        match peer.has_notice {
            true => self.notices.available_at(peer.start_id()),
            false => Time::default(),
        }
    }

    pub(super) fn is_limited(&self, peer: &Peer) -> bool {
        peer.has_notice && self.notices.is_limited(peer.start_id())
    }

    /// Returns whether the next request should go to an upstream to get a current notice from it.
    pub(super) fn wants_probe(&self, peer: &Peer, now: Time) -> bool {
        peer.has_notice && self.notices.wants_probe(peer.start_id(), now)
    }

    /// Returns whether an upstream asked this entry for a pause that has not ended.
    pub fn is_resting(&self, link: Link, now: Time) -> bool {
        let start_id = self.get(link).map(Peer::start_id);
        start_id.is_some_and(|start_id| now < self.notices.paused_until(start_id))
    }

    /// Returns the number of upstreams that asked this entry for a pause.
    pub fn resting(&self, now: Time) -> usize {
        let resting = |peer: &&Peer| now < self.notices.paused_until(peer.start_id());
        self.peers.values().filter(resting).count()
    }

    /// Returns the number of upstreams that announced that they are leaving.
    pub fn leaving(&self) -> usize {
        let leaving = |peer: &&Peer| self.notices.leaving_since(peer.start_id()).is_some();
        self.peers.values().filter(leaving).count()
    }

    /// Removes the notices of the upstream on a link, which may have restarted.
    pub fn forget_notices(&mut self, link: Link) {
        if let Some(peer) = self.peers.get_mut(&link) {
            self.notices.remove(peer.start_id());
            peer.has_notice = false;
        }
    }

    /// Removes notices that have lost their effect.
    pub fn expire_notices(&mut self, now: Time) {
        self.notices.expire(now);
    }

    /// Takes the updates that are to be shared with other entries.
    pub fn take_updates(&mut self) -> Vec<Update> {
        self.notices.take_updates()
    }

    /// Returns the number of upstreams that limit the requests per second of all entries.
    pub fn limited(&self) -> usize {
        self.peers.values().filter(|p| self.is_limited(p)).count()
    }

    /// Returns whether this entry may send an upstream a request now.
    pub(super) fn admits(&self, peer: &Peer, now: Time) -> bool {
        self.is_warm_enough(peer, now) && self.available_at(peer) <= now
    }

    /// Returns the time until an upstream of a pool may receive a request again, according to the
    /// notices; `None` if no notice delays requests.
    pub fn available_in(&self, pool: &PoolId, now: Time) -> Option<Span> {
        let available = self
            .available(pool)
            .map(|(_, peer)| self.available_at(peer));
        let next = available.filter(|at| *at > now).min()?;
        Some(next.since(now))
    }
}
