//! What all upstreams have said of themselves, and what holds of it.

use super::limit::Limit;
use super::{Change, Notice, Update};
use crate::unit::{Rate, Span, Time};
use crate::warmup::Entries;
use std::collections::HashMap;

/// The most upstreams that are remembered; those that were heard last stay.
const MOST: usize = 8_192;

/// What is known of one upstream.
#[derive(Clone, Copy, Debug, Default)]
struct Known {
    heard: Time,
    /// Since when it is known to leave; nothing undoes that.
    leaving: Option<Time>,
    /// Until when it wants no requests of this entry.
    rests_until: Time,
    limit: Option<Limit>,
}

/// What upstreams have said of themselves.
///
/// An upstream is known by a number that stands for one start of it, so what was heard outlasts
/// its row in the platform's store, and does not outlast the upstream.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    known: HashMap<u64, Known>,
    words: Vec<Update>,
}

impl Registry {
    /// Takes in what an upstream says in the answer to a request sent then.
    pub fn observe(
        &mut self,
        upstream: u64,
        notice: Notice,
        asked: Time,
        entries: &Entries,
        now: Time,
    ) -> Vec<Change> {
        let known = self.entry(upstream, now);
        let leaving = notice.leaving && known.leaving.is_none();
        if leaving {
            known.leaving = Some(now);
        }
        let leaving = leaving.then_some(Change::Leaving);
        let rest = notice.pause.and_then(|rest| known.hear_rest(rest, now));
        let limit = known.hear_limit(upstream, notice.limit, asked, entries, now);
        let changes: Vec<Change> = [leaving, rest, limit].into_iter().flatten().collect();
        let words = changes.iter().copied();
        self.words
            .extend(words.map(|change| Update { upstream, change }));
        changes
    }

    /// Takes in what another entry tells.
    pub fn merge(&mut self, word: Update, entries: &Entries, now: Time) -> Option<Change> {
        let upstream = word.upstream;
        match word.change {
            Change::Leaving => {
                let known = self.entry(upstream, now);
                let is_news = known.leaving.is_none();
                known.leaving.get_or_insert(now);
                is_news.then_some(Change::Leaving)
            }
            // Each entry is asked for rest by itself.
            Change::Paused(_) => None,
            Change::Limited(rate) => {
                let known = self.entry(upstream, now);
                let Some(limit) = &mut known.limit else {
                    known.limit = Some(Limit::new(upstream, rate, true, entries, now));
                    return Some(Change::Limited(rate));
                };
                let differs = limit.change(upstream, rate, entries, now);
                limit.is_told(rate);
                differs.then_some(Change::Limited(rate))
            }
            Change::Unlimited => {
                let known = self.known.get_mut(&upstream)?;
                known.limit.take().map(|_| Change::Unlimited)
            }
        }
    }

    /// Returns whether an upstream has said anything of itself.
    pub fn contains(&self, upstream: u64) -> bool {
        self.known.contains_key(&upstream)
    }

    /// Forgets what an upstream has said.
    pub fn remove(&mut self, upstream: u64) {
        self.known.remove(&upstream);
    }

    /// Returns what other entries are to be told.
    pub fn take_updates(&mut self) -> Vec<Update> {
        std::mem::take(&mut self.words)
    }

    /// Notes a request sent to an upstream.
    pub fn record_request(&mut self, upstream: u64, now: Time) {
        let known = self.known.get_mut(&upstream);
        if let Some(limit) = known.and_then(|known| known.limit.as_mut()) {
            limit.sent(now);
        }
    }

    /// Takes in which entries share the rates.
    pub fn set_entries(&mut self, entries: &Entries, now: Time) {
        for (upstream, known) in &mut self.known {
            if let Some(limit) = &mut known.limit {
                limit.share(*upstream, entries, now);
            }
        }
    }

    /// Returns since when an upstream is known to leave, if it does.
    pub fn leaving_since(&self, upstream: u64) -> Option<Time> {
        self.known.get(&upstream)?.leaving
    }

    /// Returns until when an upstream wants no requests of this entry, or a time that has passed.
    pub fn paused_until(&self, upstream: u64) -> Time {
        let known = self.known.get(&upstream);
        known.map_or(Time::default(), |known| known.rests_until)
    }

    /// Returns from when on this entry may send an upstream a request, as far as it has said.
    pub fn available_at(&self, upstream: u64) -> Time {
        let Some(known) = self.known.get(&upstream) else {
            return Time::default();
        };
        let paced = known.limit.as_ref().map_or(Time::default(), Limit::opens);
        paced.max(known.rests_until)
    }

    /// Returns whether the next request is to go to an upstream, wherever else it would go, since
    /// the rate that it named may not hold any more.
    pub fn wants_probe(&self, upstream: u64, now: Time) -> bool {
        let limit = self.known.get(&upstream).and_then(|known| known.limit);
        limit.is_some_and(|limit| limit.wants_trial(now))
    }

    /// Returns whether an upstream takes only so many requests a second from all entries.
    pub fn is_limited(&self, upstream: u64) -> bool {
        let known = self.known.get(&upstream);
        known.is_some_and(|known| known.limit.is_some())
    }

    /// Returns the rate that an upstream takes from all entries, if it names one, and when it, or
    /// another entry, said so last.
    pub fn limit(&self, upstream: u64) -> Option<(Rate, Time)> {
        let limit = self.known.get(&upstream)?.limit?;
        Some((limit.rate(), limit.heard_at()))
    }

    fn entry(&mut self, upstream: u64, now: Time) -> &mut Known {
        if self.known.len() >= MOST && !self.known.contains_key(&upstream) {
            self.forget_oldest();
        }
        let known = self.known.entry(upstream).or_default();
        known.heard = now;
        known
    }

    /// Forgets the half that was heard longest ago.
    fn forget_oldest(&mut self) {
        let heard = self
            .known
            .iter()
            .map(|(upstream, known)| (known.heard, *upstream));
        let mut heard: Vec<(Time, u64)> = heard.collect();
        let half = heard.len() / 2;
        heard.select_nth_unstable(half);
        for (_, upstream) in &heard[..half] {
            self.known.remove(upstream);
        }
    }
}

impl Known {
    /// Takes in for how long it wants no requests of this entry. What is asked for last does not
    /// shorten what was asked for before: refusals may overtake one another.
    fn hear_rest(&mut self, rest: Span, now: Time) -> Option<Change> {
        let was_resting = now < self.rests_until;
        self.rests_until = self.rests_until.max(now + rest);
        (!was_resting).then_some(Change::Paused(rest))
    }

    /// Takes in the rate that an answer to a request sent then names, or that it names none.
    fn hear_limit(
        &mut self,
        upstream: u64,
        named: Option<Rate>,
        asked: Time,
        entries: &Entries,
        now: Time,
    ) -> Option<Change> {
        match (named, &mut self.limit) {
            (Some(rate), None) => {
                self.limit = Some(Limit::new(upstream, rate, false, entries, now));
                Some(Change::Limited(rate))
            }
            (Some(rate), Some(limit)) => {
                let differs = limit.change(upstream, rate, entries, now);
                differs.then_some(Change::Limited(rate))
            }
            (None, Some(limit)) if limit.ends_by(asked) => {
                self.limit = None;
                Some(Change::Unlimited)
            }
            (None, _) => None,
        }
    }
}
