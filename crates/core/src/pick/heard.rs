//! What upstreams have said of themselves, as far as it decides who gets work.

use super::{Link, Peer, Peers};
use crate::id::PoolId;
use crate::notice::{Change, Notice, Word};
use crate::unit::{Rate, Span, Time};

impl Peers {
    /// Takes in what an upstream says of itself in the answer to a request sent then.
    pub fn hear(&mut self, link: Link, notice: Notice, asked: Time, now: Time) {
        let Some(number) = self.get(link).map(Peer::number) else {
            return;
        };
        let before = self.notices.limit(number);
        let change = self.notices.hear(number, notice, asked, &self.entries, now);
        if let Some(change) = change {
            self.note_change(number, change, before, "answer", now);
        }
    }

    /// Takes in what another entry tells of an upstream.
    pub fn heard_of(&mut self, word: Word, now: Time) {
        let (Word::Limit(number, _) | Word::Unlimited(number)) = word;
        let before = self.notices.limit(number);
        if let Some(change) = self.notices.told(word, &self.entries, now) {
            self.note_change(number, change, before, "entry", now);
        }
    }

    fn note_change(
        &self,
        number: u64,
        change: Change,
        before: Option<(Rate, Time)>,
        from: &str,
        now: Time,
    ) {
        let mut peers = self.peers.values();
        let Some(peer) = peers.find(|peer| peer.number() == number) else {
            return;
        };
        let age = before.map_or(-1, |(_, heard)| now.since(heard).millis() as i64);
        let before = before.map_or_else(|| "none".to_owned(), |(rate, _)| rate.to_string());
        let limit = match change {
            Change::Limited(rate) => rate.to_string(),
            Change::Unlimited => "none".to_owned(),
        };
        log::info!(
            "event=notice upstream={} limit={limit} before={before} age_ms={age} from={from}",
            peer.upstream
        );
    }

    /// Returns what other entries are to be told of upstreams.
    pub fn words(&mut self) -> Vec<Word> {
        self.notices.words()
    }

    /// Returns the rate that an upstream takes from all entries, if it names one, and when that
    /// was heard last.
    pub fn limit(&self, link: Link) -> Option<(Rate, Time)> {
        self.notices.limit(self.get(link)?.number())
    }

    /// Returns how many upstreams take only so many requests a second from all entries.
    pub fn limited(&self) -> usize {
        let limited = |peer: &&Peer| self.notices.limit(peer.number()).is_some();
        self.peers.values().filter(limited).count()
    }

    /// Returns whether this entry may send an upstream a request now.
    pub(super) fn admits(&self, peer: &Peer, now: Time) -> bool {
        self.is_warm_enough(peer, now) && self.notices.opens(peer.number()) <= now
    }

    /// Returns how long it takes until an upstream of a pool may get a request that gets none now,
    /// as far as upstreams have said; `None` where none has said anything.
    pub fn opens_in(&self, pool: &PoolId, now: Time) -> Option<Span> {
        let opens = self
            .working(pool)
            .map(|(_, peer)| self.notices.opens(peer.number()));
        let next = opens.filter(|at| *at > now).min()?;
        Some(next.since(now))
    }
}
