//! What all upstreams have said of themselves, and what holds of it.

use super::limit::Limit;
use super::{Notice, Word};
use crate::unit::{Rate, Time};
use crate::warmup::Entries;
use std::collections::HashMap;

/// The most upstreams that are remembered; those that were heard last stay.
const MOST: usize = 8_192;

/// What is known of one upstream.
#[derive(Clone, Copy, Debug, Default)]
struct Known {
    heard: Time,
    limit: Option<Limit>,
}

/// A change of what holds of an upstream, for the log.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Change {
    /// It takes only so many requests a second from all entries.
    Limited(Rate),
    /// It takes what it gets again.
    Unlimited,
}

/// What upstreams have said of themselves.
///
/// An upstream is known by a number that stands for one start of it, so what was heard outlasts
/// its row in the platform's store, and does not outlast the upstream.
#[derive(Clone, Debug, Default)]
pub struct Board {
    known: HashMap<u64, Known>,
    words: Vec<Word>,
}

impl Board {
    /// Takes in what an upstream says in the answer to a request sent then.
    pub fn hear(
        &mut self,
        upstream: u64,
        notice: Notice,
        asked: Time,
        entries: &Entries,
        now: Time,
    ) -> Option<Change> {
        if notice.is_empty() && !self.known.contains_key(&upstream) {
            return None;
        }
        let known = self.entry(upstream, now);
        match (notice.limit, &mut known.limit) {
            (Some(rate), None) => {
                known.limit = Some(Limit::new(upstream, rate, false, entries, now));
                self.words.push(Word::Limit(upstream, rate));
                Some(Change::Limited(rate))
            }
            (Some(rate), Some(limit)) => {
                let differs = limit.change(upstream, rate, entries, now);
                differs.then(|| {
                    self.words.push(Word::Limit(upstream, rate));
                    Change::Limited(rate)
                })
            }
            (None, Some(limit)) if limit.ends_by(asked) => {
                known.limit = None;
                self.words.push(Word::Unlimited(upstream));
                Some(Change::Unlimited)
            }
            (None, _) => None,
        }
    }

    /// Takes in what another entry tells.
    pub fn told(&mut self, word: Word, entries: &Entries, now: Time) -> Option<Change> {
        match word {
            Word::Limit(upstream, rate) => {
                let known = self.entry(upstream, now);
                match &mut known.limit {
                    Some(limit) => {
                        limit.change(upstream, rate, entries, now);
                        limit.is_told(rate);
                    }
                    None => known.limit = Some(Limit::new(upstream, rate, true, entries, now)),
                }
                Some(Change::Limited(rate))
            }
            Word::Unlimited(upstream) => {
                let known = self.known.get_mut(&upstream)?;
                known.limit.take().map(|_| Change::Unlimited)
            }
        }
    }

    /// Returns what other entries are to be told.
    pub fn words(&mut self) -> Vec<Word> {
        std::mem::take(&mut self.words)
    }

    /// Notes a request sent to an upstream.
    pub fn sent(&mut self, upstream: u64, now: Time) {
        let known = self.known.get_mut(&upstream);
        if let Some(limit) = known.and_then(|known| known.limit.as_mut()) {
            limit.sent(now);
        }
    }

    /// Takes in which entries share the rates.
    pub fn share(&mut self, entries: &Entries, now: Time) {
        for (upstream, known) in &mut self.known {
            if let Some(limit) = &mut known.limit {
                limit.share(*upstream, entries, now);
            }
        }
    }

    /// Returns from when on this entry may send an upstream a request, as far as it has said.
    pub fn opens(&self, upstream: u64) -> Time {
        let known = self.known.get(&upstream);
        let limit = known.and_then(|known| known.limit.as_ref());
        limit.map_or(Time::default(), Limit::opens)
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
        let mut heard: Vec<Time> = self.known.values().map(|known| known.heard).collect();
        let middle = heard.len() / 2;
        let (_, median, _) = heard.select_nth_unstable(middle);
        let median = *median;
        self.known.retain(|_, known| known.heard > median);
    }
}
