//! The state of all upstreams that follows from their notices.

use super::limit::Limit;
use super::{Change, Notice, Update};
use crate::unit::{Rate, Span, Time};
use crate::warmup::Entries;
use std::collections::HashMap;

/// The most upstreams that are kept; those with the latest notices stay.
const MAX_UPSTREAMS: usize = 8_192;

/// How long an upstream that said in an answer that it leaves gets no requests. One that still
/// leaves says so again in its next answer; one that started anew under the same name and address is
/// then used again.
pub const LEAVING_LIFETIME: Span = Span::from_millis(300_000);

/// The state of one upstream.
#[derive(Clone, Copy, Debug, Default)]
struct State {
    updated_at: Time,
    /// Since when it is known to leave.
    leaving: Option<Time>,
    /// Until when it accepts no requests of this entry.
    paused_until: Time,
    limit: Option<Limit>,
}

/// The notices of upstreams.
///
/// An upstream is identified by a number that stands for one start of it. Its state therefore
/// outlasts its row in the platform's store, but not the upstream itself.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    states: HashMap<u64, State>,
    updates: Vec<Update>,
}

impl Registry {
    /// Processes the notice in the answer to a request that was sent at `asked`; returns what
    /// changed.
    pub fn observe(
        &mut self,
        upstream: u64,
        notice: Notice,
        asked: Time,
        entries: &Entries,
        now: Time,
    ) -> Vec<Change> {
        let state = self.state_mut(upstream, now);
        let leaving = notice.leaving && state.leaving.is_none();
        if leaving {
            state.leaving = Some(now);
        }
        let leaving = leaving.then_some(Change::Leaving);
        let pause = notice
            .pause
            .and_then(|pause| state.extend_pause(pause, now));
        let limit = state.observe_limit(upstream, notice.limit, asked, entries, now);
        let changes: Vec<Change> = [leaving, pause, limit].into_iter().flatten().collect();
        let updates = changes.iter().copied();
        self.updates
            .extend(updates.map(|change| Update { upstream, change }));
        changes
    }

    /// Processes an update of another entry; returns what changed.
    pub fn merge(&mut self, update: Update, entries: &Entries, now: Time) -> Option<Change> {
        let upstream = update.upstream;
        match update.change {
            Change::Leaving => {
                let state = self.state_mut(upstream, now);
                let is_new = state.leaving.is_none();
                state.leaving.get_or_insert(now);
                is_new.then_some(Change::Leaving)
            }
            // An upstream asks each entry for a pause separately.
            Change::Paused(_) => None,
            Change::Limited(rate) => {
                let state = self.state_mut(upstream, now);
                let Some(limit) = &mut state.limit else {
                    state.limit = Some(Limit::new(upstream, rate, true, entries, now));
                    return Some(Change::Limited(rate));
                };
                let differs = limit.update(upstream, rate, entries, now);
                limit.mark_reported(rate);
                differs.then_some(Change::Limited(rate))
            }
            Change::Unlimited => {
                let state = self.states.get_mut(&upstream)?;
                state.limit.take().map(|_| Change::Unlimited)
            }
        }
    }

    /// Removes the notices that upstreams leave after [`LEAVING_LIFETIME`].
    pub fn expire(&mut self, now: Time) {
        for state in self.states.values_mut() {
            let is_valid = |since: &Time| now.since(*since) < LEAVING_LIFETIME;
            state.leaving = state.leaving.filter(is_valid);
        }
    }

    /// Returns whether any notice of an upstream is known.
    pub fn contains(&self, upstream: u64) -> bool {
        self.states.contains_key(&upstream)
    }

    /// Removes the state of an upstream.
    pub fn remove(&mut self, upstream: u64) {
        self.states.remove(&upstream);
    }

    /// Returns the updates for other entries since the last call.
    pub fn take_updates(&mut self) -> Vec<Update> {
        std::mem::take(&mut self.updates)
    }

    /// Records a request sent to an upstream.
    pub fn record_request(&mut self, upstream: u64, now: Time) {
        let state = self.states.get_mut(&upstream);
        if let Some(limit) = state.and_then(|state| state.limit.as_mut()) {
            limit.record_request(now);
        }
    }

    /// Sets the entries that share the rates.
    pub fn set_entries(&mut self, entries: &Entries, now: Time) {
        for (upstream, state) in &mut self.states {
            if let Some(limit) = &mut state.limit {
                limit.rebalance(*upstream, entries, now);
            }
        }
    }

    /// Returns since when an upstream is known to leave, or `None` if it is not.
    pub fn leaving_since(&self, upstream: u64) -> Option<Time> {
        self.states.get(&upstream)?.leaving
    }

    /// Returns until when an upstream accepts no requests of this entry, or a time that has passed.
    pub fn paused_until(&self, upstream: u64) -> Time {
        let state = self.states.get(&upstream);
        state.map_or(Time::default(), |state| state.paused_until)
    }

    /// Returns the earliest time at which this entry may send an upstream a request, as far as its
    /// notices say.
    pub fn available_at(&self, upstream: u64) -> Time {
        let Some(state) = self.states.get(&upstream) else {
            return Time::default();
        };
        let paced = state
            .limit
            .as_ref()
            .map_or(Time::default(), Limit::available_at);
        paced.max(state.paused_until)
    }

    /// Returns whether the next request should go to an upstream in preference to all others,
    /// because the rate that it named may not hold any more.
    pub fn wants_probe(&self, upstream: u64, now: Time) -> bool {
        let limit = self.states.get(&upstream).and_then(|state| state.limit);
        limit.is_some_and(|limit| limit.wants_probe(now))
    }

    /// Returns whether an upstream limits the request rate of all entries together.
    pub fn is_limited(&self, upstream: u64) -> bool {
        let state = self.states.get(&upstream);
        state.is_some_and(|state| state.limit.is_some())
    }

    /// Returns the request rate that an upstream accepts of all entries together, if it names one,
    /// and when it or another entry last reported it.
    pub fn limit(&self, upstream: u64) -> Option<(Rate, Time)> {
        let limit = self.states.get(&upstream)?.limit?;
        Some((limit.rate(), limit.reported_at()))
    }

    fn state_mut(&mut self, upstream: u64, now: Time) -> &mut State {
        if self.states.len() >= MAX_UPSTREAMS && !self.states.contains_key(&upstream) {
            self.forget_oldest();
        }
        let state = self.states.entry(upstream).or_default();
        state.updated_at = now;
        state
    }

    /// Removes the half with the oldest notices.
    fn forget_oldest(&mut self) {
        let by_age = self
            .states
            .iter()
            .map(|(upstream, state)| (state.updated_at, *upstream));
        let mut by_age: Vec<(Time, u64)> = by_age.collect();
        let half = by_age.len() / 2;
        by_age.select_nth_unstable(half);
        for (_, upstream) in &by_age[..half] {
            self.states.remove(upstream);
        }
    }
}

impl State {
    /// Extends the pause to the one that was just requested. A shorter one does not shorten it,
    /// because refusals may arrive out of order.
    fn extend_pause(&mut self, pause: Span, now: Time) -> Option<Change> {
        let was_paused = now < self.paused_until;
        self.paused_until = self.paused_until.max(now + pause);
        (!was_paused).then_some(Change::Paused(pause))
    }

    /// Processes the rate, or its absence, in the answer to a request that was sent at `asked`.
    fn observe_limit(
        &mut self,
        upstream: u64,
        rate: Option<Rate>,
        asked: Time,
        entries: &Entries,
        now: Time,
    ) -> Option<Change> {
        match (rate, &mut self.limit) {
            (Some(rate), None) => {
                self.limit = Some(Limit::new(upstream, rate, false, entries, now));
                Some(Change::Limited(rate))
            }
            (Some(rate), Some(limit)) => {
                let differs = limit.update(upstream, rate, entries, now);
                differs.then_some(Change::Limited(rate))
            }
            (None, Some(limit)) if limit.is_ended_by(asked) => {
                self.limit = None;
                Some(Change::Unlimited)
            }
            (None, _) => None,
        }
    }
}
