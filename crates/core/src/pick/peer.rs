//! One upstream as an entry sees it, and how it is scored.

use super::backlog::Backlog;
use super::pace::{Pace, Told};
use super::{Criteria, Placement, Prefix};
use crate::digest::mix;
use crate::entry::Snapshot;
use crate::id::UpstreamId;
use crate::subset;
use crate::tree::Warmup;
use crate::unit::{Rate, Span, Time};
use crate::warmup::Ramp;
use crate::wire::Load;
use std::collections::HashMap;

/// The prefixes that this entry remembers for each upstream: some 500 prompts
/// of a few thousand tokens fill the memory of an engine.
const PREFIXES: usize = 512;
/// How long a beginning that was not asked for again is taken to be cached: under
/// the usual load an engine reads as much as its memory holds in some 15 s.
pub(crate) const PREFIX_LIFETIME: Span = Span::from_millis(10_000);
/// What crossing to another data hall is taken to cost: so much longer may the
/// wait in the own hall be. Bytes between halls are dear.
pub(crate) const CROSS_HALL_PENALTY: Span = Span::from_millis(60);
/// What reading a shared prompt token again costs beyond the time it takes, in
/// microseconds of wait: it holds up what else runs there.
const REREAD_US: u64 = 30;
/// How long an upstream is passed over after its first failure in a row; each
/// further one doubles it.
pub(super) const AVOID: Span = Span::from_millis(250);
/// The same after an error that an upstream of a plain service answers with: many entries share
/// few of them, so each asks one about that often.
pub(super) const AVOID_ERRORS: Span = Span::from_millis(1_000);
/// The most doublings.
const AVOID_DOUBLINGS: u32 = 4;
/// The longest: a little longer than a lapsed heartbeat takes.
pub(super) const AVOID_MOST: Span = Span::from_millis(4_000);
/// The prompt tokens a second assumed until an upstream reports its own.
const PREFILL: u32 = 8000;
/// How long a report of load counts in full; it fades over the same time again.
const REPORT_LIFE: Span = Span::from_millis(500);
/// What one request in flight is taken to add to the wait where nothing is
/// known of the upstream.
const UNKNOWN_SERVICE: Span = Span::from_millis(50);

/// The part of what is still to be read at an upstream that a new prompt waits for:
/// prompts are read in pieces by turns, and a part of each is read already.
const WAITS_FOR: f64 = 0.5;

/// Returns how long a prompt waits at an upstream that has this much to read.
pub fn prefill_wait(unread: Span) -> Span {
    Span::from_secs_f64(unread.secs_f64() * WAITS_FOR)
}

/// A beginning that was sent to an upstream.
#[derive(Clone, Copy, Debug)]
struct Remembered {
    stamp: u64,
    used: Time,
}

/// An upstream in reach.
#[derive(Clone, Debug)]
pub struct Peer {
    /// The upstream.
    pub upstream: UpstreamId,
    /// What it reported last.
    pub load: Load,
    /// When it reported.
    pub reported: Time,
    /// The requests of this entry that are there.
    pub in_flight: u32,
    /// The requests sent since the last report.
    pub since_report: u32,
    /// The prompt tokens sent since the last report.
    pub tokens_since: u32,
    /// The reading sent by this entry that has not ended, where runs tell when it has.
    pub pending_prefill: Span,
    /// The reading that other entries told of.
    others: Backlog,
    /// Whether it said goodbye.
    pub leaving: bool,
    /// Where it is and what it runs.
    pub placement: Placement,
    /// When anything came from it last.
    pub last_heard: Time,
    /// Until when it is passed over, since it failed.
    pub avoided: Time,
    /// Whether it is forgotten when nothing of this entry runs there any more.
    pub(super) retired: bool,
    /// What it bears while it is cold, if that is limited.
    pub(super) warmup: Option<Warmup>,
    /// Whether it is cold.
    pub(super) ramp: Ramp,
    /// How long work took there when it said so last.
    pace: Told,
    /// Whether it has said anything of itself: most have not, and whoever chooses asks of all.
    pub(super) has_spoken: bool,
    strikes: u32,
    /// A number that stands for the upstream's name.
    seed: u64,
    /// A number that stands for this start of it.
    number: u64,
    prefixes: HashMap<u64, Remembered>,
    stamp: u64,
}

impl Peer {
    pub(super) fn new(upstream: UpstreamId, load: Load) -> Peer {
        let seed = subset::score("home", &upstream);
        Peer {
            seed,
            number: seed,
            upstream,
            load,
            reported: Time::default(),
            in_flight: 0,
            since_report: 0,
            tokens_since: 0,
            pending_prefill: Span::default(),
            others: Backlog::default(),
            leaving: false,
            placement: Placement::default(),
            last_heard: Time::default(),
            avoided: Time::default(),
            strikes: 0,
            retired: false,
            warmup: None,
            ramp: Ramp::default(),
            pace: Told::default(),
            has_spoken: false,
            prefixes: HashMap::new(),
            stamp: 0,
        }
    }

    /// Notes a request sent.
    pub(super) fn sent(&mut self, tokens: u32, chain: &[Prefix], now: Time) {
        self.ramp.sent(now);
        self.in_flight += 1;
        self.since_report += 1;
        self.tokens_since += tokens;
        for prefix in chain {
            self.remember(*prefix, now);
        }
    }

    /// Notes a good answer.
    pub(super) fn succeeded(&mut self) {
        self.strikes = 0;
        self.avoided = Time::default();
    }

    /// Passes the upstream over for a while, longer with each failure in a row.
    pub(super) fn avoid(&mut self, first: Span, now: Time) {
        let span = first.micros() << self.strikes.min(AVOID_DOUBLINGS);
        self.avoided = now + Span::from_micros(span.min(AVOID_MOST.micros()));
        self.strikes += 1;
    }

    /// Returns what is known of the upstream, for the record of a decision.
    pub fn known(&self, now: Time) -> Snapshot {
        Snapshot {
            running: self.load.running,
            queued: self.load.queued,
            slots: self.load.slots,
            age_ms: now.since(self.reported).millis(),
            own: self.in_flight,
        }
    }

    /// Returns whether the last answer was a failure.
    pub fn is_failing(&self) -> bool {
        self.strikes > 0
    }

    /// Returns whether the upstream runs the release that must answer, if one must, and is where
    /// the request may be served.
    pub(super) fn suits(&self, wish: &Criteria) -> bool {
        let release = wish.constraints.release;
        let runs = release.is_none_or(|r| self.placement.release.as_ref() == Some(r));
        runs && wish.constraints.allows(&self.placement)
    }

    /// Returns whether the upstream counts as cold; never, where it bears everything then.
    pub fn is_cold(&self, now: Time) -> bool {
        self.warmup.is_some() && self.ramp.is_cold(now)
    }

    /// Sets where it is and what it runs.
    pub(super) fn set_placement(&mut self, place: Placement) {
        // What entries tell of one start must not be taken for another's; where beginnings have
        // their home follows the name, which does not change.
        let start = place.incarnation.map_or(0, |start| start.0);
        self.number = mix(self.seed ^ start);
        self.placement = place;
    }

    /// Returns the number that stands for this start of it between entries.
    pub fn start_id(&self) -> u64 {
        self.number
    }

    /// Notes how long work takes there at the moment.
    pub(super) fn paces(&mut self, pace: Pace, now: Time) {
        self.pace = Told::new(pace, now);
    }

    /// Notes a reading that another entry sent there.
    pub(super) fn add_remote_prefill(&mut self, reading: Span, now: Time) {
        self.others.add(reading, now);
    }

    /// Returns what is to be read there, as far as this entry knows.
    pub(super) fn pending_prefill(&self, now: Time) -> Span {
        self.pending_prefill + self.others.left(now)
    }

    /// Returns what crossing to the upstream's data hall costs, in microseconds.
    pub(super) fn crossing(&self, wish: &Criteria) -> u64 {
        let there = wish.constraints.hall.zip(self.placement.hall.as_ref());
        match there.is_some_and(|(own, hall)| own != hall) {
            true => CROSS_HALL_PENALTY.micros(),
            false => 0,
        }
    }

    /// Returns the tokens of the prompt that are cached, as far as this entry
    /// knows.
    fn cached(&self, wish: &Criteria, is_home: bool, now: Time) -> u32 {
        if wish.last_upstream == Some(&self.upstream) {
            return wish.tokens;
        }
        let known = wish.prefixes.iter().rev().find(|p| self.remembers(p, now));
        let kept = known.map_or(0, |p| p.tokens);
        let shared = wish
            .shared_prefix
            .filter(|_| is_home)
            .map_or(0, |p| p.tokens);
        kept.max(shared).min(wish.tokens)
    }

    /// Returns the tokens of the prompt that the upstream has to read, as far as this
    /// entry knows.
    pub(super) fn uncached_tokens(&self, wish: &Criteria, is_home: bool, now: Time) -> u32 {
        wish.tokens - self.cached(wish, is_home, now)
    }

    /// Returns how high the upstream ranks as the home of a beginning.
    pub(super) fn rank(&self, hash: u64) -> u64 {
        mix(hash ^ self.seed)
    }

    /// Returns the expected time to the first token, in microseconds.
    pub(super) fn first_token(&self, wish: &Criteria, is_home: bool, now: Time) -> u64 {
        let fresh = u64::from(self.uncached_tokens(wish, is_home, now));
        // Who leaves the home of its beginning has that read again beside the prompts of others:
        // so what others sent to the home does not count.
        let unread = match is_home {
            true => self.pending_prefill,
            false => self.pending_prefill(now),
        };
        let work = self.work(wish.prefill_rate, fresh, unread);
        let reread = wish.shared_prefix.map_or(0, |_| fresh * REREAD_US);
        let work = self.pace.stretch(work + UNKNOWN_SERVICE.micros(), now);
        self.queue(wish.urgent, now) + work + reread + self.crossing(wish)
    }

    /// Returns how long reading these tokens takes, and what is read before them, in
    /// microseconds.
    fn work(&self, rate: Option<Rate>, fresh: u64, unread: Span) -> u64 {
        let (rate, before) = match (self.load.prefill_rate, rate) {
            (0, Some(learned)) => (learned.per_second(), prefill_wait(unread)),
            (0, None) => (f64::from(PREFILL), self.since(f64::from(PREFILL))),
            (told, _) => (f64::from(told), self.since(f64::from(told))),
        };
        before.micros() + (fresh as f64 / rate.max(1.0) * 1e6) as u64
    }

    /// Returns how long reading what was sent since the last report takes.
    fn since(&self, rate: f64) -> Span {
        Span::from_secs_f64(f64::from(self.tokens_since) / rate.max(1.0))
    }

    /// Returns the expected wait for a slot, in microseconds.
    fn queue(&self, urgent: bool, now: Time) -> u64 {
        let kept = if urgent { 0 } else { self.load.reserve };
        // An urgent request passes by those that wait.
        let waiting = if urgent { 0 } else { self.load.wait.micros() };
        let reported = (waiting as f64 * self.freshness(now)) as u64;
        // The share of slots in use breaks ties between idle upstreams and
        // steers away from one that is about to fill up.
        let slots = u64::from(self.load.slots.saturating_sub(kept).max(1));
        let busy = u64::from(self.load.running.max(self.in_flight) + self.since_report);
        let over = (busy + 1).saturating_sub(slots);
        reported + busy * 1000 / slots + over * UNKNOWN_SERVICE.micros() / slots
    }

    fn freshness(&self, now: Time) -> f64 {
        let age = now.since(self.reported).secs_f64() / REPORT_LIFE.secs_f64();
        (2.0 - age).clamp(0.0, 1.0)
    }

    fn remember(&mut self, prefix: Prefix, now: Time) {
        self.stamp += 1;
        let remembered = Remembered {
            stamp: self.stamp,
            used: now,
        };
        self.prefixes.insert(prefix.hash, remembered);
        if self.prefixes.len() > PREFIXES {
            // Half at a time, so that most additions cost nothing.
            let oldest = self.stamp.saturating_sub(PREFIXES as u64 / 2);
            self.prefixes.retain(|_, known| known.stamp > oldest);
        }
    }

    /// Returns whether a beginning that was sent here is taken to be cached still.
    fn remembers(&self, prefix: &Prefix, now: Time) -> bool {
        let known = self.prefixes.get(&prefix.hash);
        known.is_some_and(|known| now.since(known.used) < PREFIX_LIFETIME)
    }
}
