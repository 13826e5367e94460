//! When an entry that is full says that it is not ready, and when it is again.

use crate::unit::{Span, Time};

/// How long an entry must have been full, so that a burst does not count. A load balancer takes
/// seconds to notice, and whoever retries may reach the same entry until then.
const FULL_FOR: Span = Span::from_millis(300);
/// The part of the connections of that time that must have been turned away: an entry that is only
/// a little over its capacity helps more while it is in.
const TURNED_AWAY: f64 = 0.25;
/// How long an entry stays out at least: a load balancer needs two questions to notice.
const MIN_OUT: Span = Span::from_millis(3_000);
/// How much longer it stays out each time that it is full again soon after its return, and at most.
const GROWTH: u32 = 2;
const MAX_STAYS: u32 = 4;
/// How soon after its return that is.
const SOON: Span = Span::from_millis(5_000);
/// By how much longer the stay may be, so that entries that went together do not return together.
const SPREAD: Span = Span::from_millis(1_500);
/// How long an entry that is out must have had room before it returns.
const ROOM_FOR: Span = Span::from_millis(500);
/// The time without a connection that was turned away after which an entry is not full any more.
const FULL_ENDS: Span = Span::from_millis(400);

/// Whether an entry is ready.
#[derive(Clone, Copy, Debug)]
pub(super) struct Readiness {
    /// When the first connection of a series was turned away, and the last one.
    full: Option<(Time, Time)>,
    /// The connections of the series that were accepted, and those that were turned away.
    accepted: u32,
    turned_away: u32,
    /// Until when the entry stays out at least.
    out_until: Option<Time>,
    /// When the entry returned last.
    returned_at: Option<Time>,
    /// The length of the next stay, in the shortest stays.
    stays: u32,
    /// A number in `[0, 1)` that differs between entries.
    phase: f64,
}

impl Readiness {
    pub fn new(phase: f64) -> Readiness {
        Readiness {
            full: None,
            accepted: 0,
            turned_away: 0,
            out_until: None,
            returned_at: None,
            stays: 1,
            phase,
        }
    }

    /// Records that a connection was accepted.
    pub fn accept(&mut self) {
        self.accepted = self.accepted.saturating_add(1);
    }

    /// Records that a connection was turned away.
    pub fn turn_away(&mut self, now: Time) {
        let since = self.full_since(now);
        if since.is_none() {
            (self.accepted, self.turned_away) = (0, 0);
        }
        self.turned_away = self.turned_away.saturating_add(1);
        self.full = Some((since.unwrap_or(now), now));
    }

    /// Returns since when the entry turns connections away, if it does.
    pub fn full_since(&self, now: Time) -> Option<Time> {
        let (since, last) = self.full?;
        (now.since(last) < FULL_ENDS).then_some(since)
    }

    /// Updates whether the entry is out.
    pub fn step(&mut self, now: Time) {
        let series = self.full.filter(|_| self.full_since(now).is_some());
        let is_long_full = series.is_some_and(|(since, last)| last.since(since) >= FULL_FOR);
        let offered = f64::from(self.accepted) + f64::from(self.turned_away);
        let is_far_over = f64::from(self.turned_away) >= offered * TURNED_AWAY;
        if is_long_full && is_far_over && self.out_until.is_none() {
            self.go_out(now);
        }
        let has_room = self
            .full
            .is_none_or(|(_, last)| now.since(last) >= ROOM_FOR);
        if has_room && self.out_until.is_some_and(|until| now >= until) {
            self.out_until = None;
            self.returned_at = Some(now);
        }
    }

    fn go_out(&mut self, now: Time) {
        let is_soon = self.returned_at.is_some_and(|at| now.since(at) < SOON);
        self.stays = match is_soon {
            true => (self.stays * GROWTH).min(MAX_STAYS),
            false => 1,
        };
        let stay = MIN_OUT.secs_f64() * f64::from(self.stays);
        let spread = SPREAD.secs_f64() * self.phase;
        self.out_until = Some(now + Span::from_secs_f64(stay + spread));
    }

    /// Returns whether the entry is ready.
    pub fn is_ready(&self) -> bool {
        self.out_until.is_none()
    }
}
