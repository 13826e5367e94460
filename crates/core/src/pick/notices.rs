//! What upstreams have said of themselves, as far as it decides who gets work.

use super::peer::AVOID_MOST;
use super::{Link, Peer, Peers};
use crate::id::PoolId;
use crate::notice::{Change, Notice, Update};
use crate::unit::{Rate, Span, Time};

impl Peers {
    /// Takes in what an upstream says of itself in the answer to a request sent then.
    pub fn apply_notice(&mut self, link: Link, notice: Notice, asked: Time, now: Time) {
        let Some(peer) = self.peers.get_mut(&link) else {
            return;
        };
        if let Some(pace) = notice.pace {
            peer.paces(pace, now);
        }
        // That changes too often to be told to others.
        let notice = Notice {
            pace: None,
            ..notice
        };
        if notice.is_empty() && !peer.has_spoken {
            return;
        }
        let number = peer.start_id();
        let before = self.notices.limit(number);
        let entries = &self.entries;
        for change in self.notices.observe(number, notice, asked, entries, now) {
            self.note_change(number, change, before, "answer", now);
        }
    }

    /// Takes in what another entry tells of an upstream.
    pub fn apply_remote_notice(&mut self, word: Update, now: Time) {
        let number = word.upstream;
        if let Change::Paused(rest) = word.change {
            return self.spare(number, rest, now);
        }
        let before = self.notices.limit(number);
        if let Some(change) = self.notices.merge(word, &self.entries, now) {
            self.note_change(number, change, before, "entry", now);
        }
    }

    /// Passes an upstream over that turns the requests of another entry away, as long as others
    /// are there: this entry would be turned away too, and try one such upstream after another.
    fn spare(&mut self, number: u64, rest: Span, now: Time) {
        for peer in self.numbered(number) {
            peer.avoided = peer.avoided.max(now + rest.min(AVOID_MOST));
        }
    }

    fn note_change(
        &mut self,
        number: u64,
        change: Change,
        before: Option<(Rate, Time)>,
        from: &str,
        now: Time,
    ) {
        for peer in self.numbered(number) {
            peer.has_spoken = true;
        }
        self.log_change(number, change, before, from, now);
    }

    fn log_change(
        &self,
        number: u64,
        change: Change,
        before: Option<(Rate, Time)>,
        from: &str,
        now: Time,
    ) {
        let mut peers = self.peers.values();
        let Some(peer) = peers.find(|peer| peer.start_id() == number) else {
            return;
        };
        let upstream = &peer.upstream;
        let age = before.map_or(-1, |(_, heard)| now.since(heard).millis() as i64);
        let before = before.map_or_else(|| "none".to_owned(), |(rate, _)| rate.to_string());
        match change {
            Change::Leaving => {
                log::info!("event=notice upstream={upstream} leaving=true from={from}");
            }
            Change::Paused(rest) => {
                let for_ms = rest.millis();
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

    /// Returns whether an upstream takes no new requests any more, by whatever way that is known.
    pub(super) fn is_leaving(&self, peer: &Peer) -> bool {
        peer.leaving || (peer.has_spoken && self.notices.leaving_since(peer.start_id()).is_some())
    }

    /// Returns from when on an upstream takes requests of this entry, as far as it has said.
    pub(super) fn opens(&self, peer: &Peer) -> Time {
        match peer.has_spoken {
            true => self.notices.available_at(peer.start_id()),
            false => Time::default(),
        }
    }

    pub(super) fn is_limited(&self, peer: &Peer) -> bool {
        peer.has_spoken && self.notices.is_limited(peer.start_id())
    }

    /// Returns whether the next request is to go to an upstream to hear what it says now.
    pub(super) fn wants_trial(&self, peer: &Peer, now: Time) -> bool {
        peer.has_spoken && self.notices.wants_probe(peer.start_id(), now)
    }

    /// Returns whether an upstream has asked this entry for rest that has not ended.
    pub fn is_resting(&self, link: Link, now: Time) -> bool {
        let number = self.get(link).map(Peer::start_id);
        number.is_some_and(|number| now < self.notices.paused_until(number))
    }

    /// Returns how many upstreams want no requests of this entry for a while.
    pub fn resting(&self, now: Time) -> usize {
        let resting = |peer: &&Peer| now < self.notices.paused_until(peer.start_id());
        self.peers.values().filter(resting).count()
    }

    /// Returns how many upstreams have said that they leave.
    pub fn leaving(&self) -> usize {
        let leaving = |peer: &&Peer| self.notices.leaving_since(peer.start_id()).is_some();
        self.peers.values().filter(leaving).count()
    }

    /// Forgets what the upstream at a link has said, since it may be another start of it.
    pub fn forget_notices(&mut self, link: Link) {
        if let Some(peer) = self.peers.get_mut(&link) {
            self.notices.remove(peer.start_id());
            peer.has_spoken = false;
        }
    }

    /// Returns what other entries are to be told of upstreams.
    pub fn take_updates(&mut self) -> Vec<Update> {
        self.notices.take_updates()
    }

    /// Returns how many upstreams take only so many requests a second from all entries.
    pub fn limited(&self) -> usize {
        self.peers.values().filter(|p| self.is_limited(p)).count()
    }

    /// Returns whether this entry may send an upstream a request now.
    pub(super) fn admits(&self, peer: &Peer, now: Time) -> bool {
        self.is_warm_enough(peer, now) && self.opens(peer) <= now
    }

    /// Returns how long it takes until an upstream of a pool may get a request that gets none now,
    /// as far as upstreams have said; `None` where none has said anything.
    pub fn available_in(&self, pool: &PoolId, now: Time) -> Option<Span> {
        let opens = self.working(pool).map(|(_, peer)| self.opens(peer));
        let next = opens.filter(|at| *at > now).min()?;
        Some(next.since(now))
    }
}
