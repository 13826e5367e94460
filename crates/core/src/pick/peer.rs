//! The state of one upstream as known to an entry, and its score.

use super::backlog::{Backlog, Queue};
use super::pace::{Pace, PaceReport};
use super::probe::Probe;
use super::speed::Slowdown;
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

/// The prefixes tracked per upstream. About 500 prompts of a few thousand tokens fill the memory of
/// an engine.
const MAX_PREFIXES: usize = 512;
/// The time for which a prefix counts as cached after its last request. Under normal load an engine
/// reads as many tokens as its memory holds in about 15 s.
pub(crate) const PREFIX_LIFETIME: Span = Span::from_millis(10_000);
/// The score penalty of an upstream in another data hall: the wait in the own hall may be this much
/// longer. Traffic between halls is expensive.
pub(crate) const CROSS_HALL_PENALTY: Span = Span::from_millis(60);
/// The penalty per token of a shared prompt that is read again, in microseconds of wait in addition
/// to the time that it takes. The repeated prefill delays other requests on the upstream.
const REREAD_PENALTY_US: u64 = 30;
/// The time for which an upstream is avoided after its first failure in a row. Each further failure
/// doubles it.
pub(super) const AVOID_BASE: Span = Span::from_millis(250);
/// The same after an error response from an upstream of a plain service. Such upstreams are few and
/// shared by many entries, each of which tries a failing one again at this interval.
pub(super) const AVOID_ERROR_BASE: Span = Span::from_millis(1_000);
/// The maximum number of doublings.
const AVOID_MAX_DOUBLINGS: u32 = 4;
/// The longest time for which an upstream is avoided, slightly longer than the detection of a
/// missing heartbeat.
pub(super) const AVOID_MAX: Span = Span::from_millis(4_000);
/// The prefill rate in tokens per second until an upstream reports its own.
const DEFAULT_PREFILL_RATE: u32 = 8000;
/// The time for which a load report has full weight. The weight then falls to zero over the same
/// time.
const REPORT_LIFETIME: Span = Span::from_millis(500);
/// The expected wait per request in flight at an upstream of which nothing is known.
const DEFAULT_SERVICE_TIME: Span = Span::from_millis(50);

/// The share of the pending prefill of an upstream that delays a new prompt. Engines interleave
/// prompts in chunks, and part of each pending prompt is already processed.
const PENDING_SHARE: f64 = 0.5;

/// The expected time to the first token of a contended upstream, beside the prefill of the prompt.
const CONTENDED_BASE: Span = Span::from_millis(25);
/// The steps of the weight of a home per doubling of the speed.
const HOME_STEPS: f64 = 2.0;
/// The distance from its step beyond which a speed changes the weight of a home.
const HOME_HYSTERESIS: f64 = 0.75;

/// Returns the wait of a prompt at an upstream with this pending prefill.
fn prefill_wait(pending: Span) -> Span {
    Span::from_secs_f64(pending.secs_f64() * PENDING_SHARE)
}

/// How the prefill of a prompt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PrefillEnd {
    /// The prompt was read.
    Read {
        /// When it was sent.
        sent_at: Time,
        /// When its answer began.
        read_at: Time,
    },
    /// Its run ended before.
    Abandoned,
}

/// A prefix that was sent to an upstream.
#[derive(Clone, Copy, Debug)]
struct SentPrefix {
    stamp: u64,
    used: Time,
}

/// An upstream to which the entry has a link.
#[derive(Clone, Debug)]
pub struct Peer {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Its latest load report.
    pub load: Load,
    /// The time of the latest load report.
    pub reported: Time,
    /// The requests of this entry in flight there.
    pub in_flight: u32,
    /// The requests sent since the last report.
    pub since_report: u32,
    /// The prompt tokens sent since the last report.
    pub tokens_since: u32,
    /// The prefill of this entry's requests that has not ended, as far as runs report its end.
    pub pending_prefill: Span,
    /// The pending prefill that other entries reported.
    remote_prefill: Backlog,
    /// Whether it announced that it is leaving.
    pub leaving: bool,
    /// Its location and software.
    pub placement: Placement,
    /// When something was received from it last.
    pub last_heard: Time,
    /// The latest probe since then.
    pub probe: Probe,
    /// The time until which it is avoided after a failure.
    pub avoided: Time,
    /// Whether it is removed once no requests of this entry run there.
    pub(super) retired: bool,
    /// The request limit while it is cold, if there is one.
    pub(super) warmup: Option<Warmup>,
    /// Whether it may be cold, and when a request was last sent to it.
    pub(super) ramp: Ramp,
    /// The latest pace that it reported.
    pace: PaceReport,
    /// Whether the decisions under contention are made for its pool.
    pub(super) is_contended: bool,
    /// How long its work takes, for contended pools.
    slowdown: Slowdown,
    /// The prompts that it has to read, for contended pools.
    queue: Queue,
    /// The speed by which it is the home of prefixes, in steps.
    home_step: i32,
    /// Whether it has sent a notice. Most upstreams have not; the flag saves the lookup on each
    /// pick.
    pub(super) has_notice: bool,
    failures: u32,
    /// The hash of the upstream's name.
    name_hash: u64,
    /// The identifier of this start of the upstream.
    start_id: u64,
    prefixes: HashMap<u64, SentPrefix>,
    stamp: u64,
}

impl Peer {
    pub(super) fn new(upstream: UpstreamId, load: Load) -> Peer {
        let name_hash = subset::score("home", &upstream);
        Peer {
            name_hash,
            start_id: name_hash,
            upstream,
            load,
            reported: Time::default(),
            in_flight: 0,
            since_report: 0,
            tokens_since: 0,
            pending_prefill: Span::default(),
            remote_prefill: Backlog::default(),
            leaving: false,
            placement: Placement::default(),
            last_heard: Time::default(),
            probe: Probe::default(),
            avoided: Time::default(),
            failures: 0,
            retired: false,
            warmup: None,
            ramp: Ramp::default(),
            pace: PaceReport::default(),
            is_contended: false,
            slowdown: Slowdown::USUAL,
            queue: Queue::default(),
            home_step: 0,
            has_notice: false,
            prefixes: HashMap::new(),
            stamp: 0,
        }
    }

    /// Records a sent request.
    pub(super) fn sent(&mut self, tokens: u32, prefixes: &[Prefix], now: Time) {
        self.ramp.sent(now);
        self.in_flight += 1;
        self.since_report += 1;
        self.tokens_since += tokens;
        for prefix in prefixes {
            self.remember(*prefix, now);
        }
    }

    /// Records a successful answer.
    pub(super) fn succeeded(&mut self) {
        self.failures = 0;
        self.avoided = Time::default();
    }

    /// Avoids the upstream for a while, longer with each failure in a row.
    pub(super) fn avoid(&mut self, first: Span, now: Time) {
        let span = first.micros() << self.failures.min(AVOID_MAX_DOUBLINGS);
        self.avoided = now + Span::from_micros(span.min(AVOID_MAX.micros()));
        self.failures += 1;
    }

    /// Returns the load figures that were used, for the record of a decision.
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
        self.failures > 0
    }

    /// Returns whether the upstream runs the required release, if there is one, and may serve the
    /// request where it is.
    pub(super) fn matches(&self, criteria: &Criteria) -> bool {
        let release = criteria.constraints.release;
        let runs = release.is_none_or(|r| self.placement.release.as_ref() == Some(r));
        runs && criteria.constraints.allows(&self.placement)
    }

    /// Returns whether the upstream is cold; always false without a limit for cold upstreams.
    pub fn is_cold(&self, now: Time) -> bool {
        self.warmup.is_some() && self.ramp.is_cold(now)
    }

    /// Sets the location and software of the upstream.
    pub(super) fn set_placement(&mut self, placement: Placement) {
        // Reports of other entries about one start must not be applied to another. The homes of
        // prefixes depend only on the name, which survives restarts.
        let start = placement.incarnation.map_or(0, |start| start.0);
        self.start_id = mix(self.name_hash ^ start);
        self.placement = placement;
    }

    /// Returns the identifier of this start of the upstream, which entries use among themselves.
    pub fn start_id(&self) -> u64 {
        self.start_id
    }

    /// Records the pace that the upstream reported.
    pub(super) fn set_pace(&mut self, pace: Pace, now: Time) {
        self.pace = PaceReport::new(pace, now);
    }

    /// Adds a prefill of this duration that another entry sent.
    pub(super) fn add_remote_prefill(&mut self, prefill: Span, now: Time) {
        self.remote_prefill.add(prefill, now);
        self.queue_prompt(prefill, now);
    }

    fn queue_prompt(&mut self, prefill: Span, now: Time) {
        if self.is_contended {
            self.queue.add(prefill, now);
        }
    }

    /// Returns the pending prefill of all known requests.
    pub(super) fn pending_prefill(&self, now: Time) -> Span {
        self.pending_prefill + self.remote_prefill.remaining(now)
    }

    /// Returns the penalty for crossing to the upstream's data hall, in microseconds.
    pub(super) fn cross_hall_cost(&self, criteria: &Criteria) -> u64 {
        let there = criteria.constraints.hall.zip(self.placement.hall.as_ref());
        match there.is_some_and(|(own, hall)| own != hall) {
            true => CROSS_HALL_PENALTY.micros(),
            false => 0,
        }
    }

    /// Returns the prompt tokens that are expected to be cached.
    fn cached_tokens(&self, criteria: &Criteria, is_home: bool, now: Time) -> u32 {
        if criteria.last_upstream == Some(&self.upstream) {
            return criteria.tokens;
        }
        let known = criteria
            .prefixes
            .iter()
            .rev()
            .find(|p| self.is_cached(p, now));
        let sent = known.map_or(0, |p| p.tokens);
        let shared = criteria
            .shared_prefix
            .filter(|_| is_home)
            .map_or(0, |p| p.tokens);
        sent.max(shared).min(criteria.tokens)
    }

    /// Returns the prompt tokens that are expected not to be cached.
    pub(super) fn uncached_tokens(&self, criteria: &Criteria, is_home: bool, now: Time) -> u32 {
        criteria.tokens - self.cached_tokens(criteria, is_home, now)
    }

    /// Returns the rank of the upstream as the home of a prefix.
    pub(super) fn home_rank(&self, hash: u64) -> u64 {
        mix(hash ^ self.name_hash)
    }

    /// Returns the rank of the upstream as the home of a prefix, where fast upstreams are the home
    /// of more prefixes than slow ones.
    pub(super) fn weighted_home_rank(&self, hash: u64) -> f64 {
        let draw = (self.home_rank(hash) as f64 + 1.0) / (u64::MAX as f64 + 2.0);
        let weight = (f64::from(self.home_step) / HOME_STEPS).exp2();
        -weight / draw.ln()
    }

    /// Sets how long work takes at the upstream.
    pub(super) fn set_slowdown(&mut self, slowdown: Slowdown) {
        self.slowdown = slowdown;
        let speed = -slowdown.factor().log2() * HOME_STEPS;
        if (speed - f64::from(self.home_step)).abs() > HOME_HYSTERESIS {
            self.home_step = speed.round() as i32;
        }
    }

    /// Returns how long work takes at the upstream now, relative to the usual duration.
    pub(super) fn slowdown(&self, now: Time) -> Slowdown {
        match self.is_contended {
            true => self.slowdown.times(self.pace.factor(now)),
            false => Slowdown::USUAL,
        }
    }

    /// Returns the time until the upstream has read its known prompts.
    pub(super) fn backlog(&self, now: Time) -> Span {
        let reported = self.load.wait.secs_f64() * self.freshness(now);
        Span::from_secs_f64(reported) + self.wait(now)
    }

    /// Returns whether requests wait there by a report that is not too old to count.
    pub(super) fn has_queue(&self, now: Time) -> bool {
        self.load.queued > 0 && self.freshness(now) > 0.0
    }

    /// Returns the expected wait of a prompt for the prompts before it.
    pub(super) fn wait(&self, now: Time) -> Span {
        match self.is_contended {
            true => self.queue.remaining(now),
            false => prefill_wait(self.pending_prefill(now)),
        }
    }

    /// Records that a prompt was sent that takes this long to read.
    pub(super) fn prefill_started(&mut self, prefill: Span, now: Time) {
        self.pending_prefill = self.pending_prefill + prefill;
        self.queue_prompt(prefill, now);
    }

    /// Records that a prompt was read or abandoned.
    pub(super) fn prefill_ended(&mut self, prefill: Span, end: PrefillEnd) {
        self.pending_prefill = self.pending_prefill - prefill;
        if let PrefillEnd::Read { sent_at, read_at } = end {
            self.queue.read_through(sent_at, read_at);
        }
    }

    /// Records that the upstream has prompts to read for this long at least.
    pub(super) fn extend_queue(&mut self, left: Span, now: Time) {
        self.queue.extend_to(left, now);
    }

    /// Returns the expected time to the first token.
    pub(super) fn expected(&self, criteria: &Criteria, is_home: bool, now: Time) -> Span {
        let uncached = f64::from(self.uncached_tokens(criteria, is_home, now));
        let rate = criteria.prefill_rate.map_or(
            f64::from(self.load.prefill_rate.max(DEFAULT_PREFILL_RATE)),
            Rate::per_second,
        );
        let usual = CONTENDED_BASE + Span::from_secs_f64(uncached / rate.max(1.0));
        let queued = Span::from_micros(self.queue_wait(criteria.urgent, now));
        queued + self.wait(now) + self.slowdown(now).scale(usual)
    }

    /// Returns the score of a contended upstream, in microseconds: the expected time to the first
    /// token, the cost of reading a shared prefix again and that of another data hall.
    fn contended_score(&self, criteria: &Criteria, is_home: bool, now: Time) -> u64 {
        let uncached = u64::from(self.uncached_tokens(criteria, is_home, now));
        let reread = criteria
            .shared_prefix
            .map_or(0, |_| uncached * REREAD_PENALTY_US);
        let expected = self.expected(criteria, is_home, now).micros();
        expected + reread + self.cross_hall_cost(criteria)
    }

    /// Returns the expected time to the first token, in microseconds.
    pub(super) fn first_token(&self, criteria: &Criteria, is_home: bool, now: Time) -> u64 {
        if self.is_contended {
            return self.contended_score(criteria, is_home, now);
        }
        let uncached = u64::from(self.uncached_tokens(criteria, is_home, now));
        // The home is scored without the prefill that other entries sent to it: a request that
        // leaves the home of its prefix has the prefix read again, beside the prompts of others.
        let pending = match is_home {
            true => self.pending_prefill,
            false => self.pending_prefill(now),
        };
        let work = self.prefill_time(criteria.prefill_rate, uncached, pending);
        let reread = criteria
            .shared_prefix
            .map_or(0, |_| uncached * REREAD_PENALTY_US);
        let work = self.pace.scale(work + DEFAULT_SERVICE_TIME.micros(), now);
        self.queue_wait(criteria.urgent, now) + work + reread + self.cross_hall_cost(criteria)
    }

    /// Returns the time to read these tokens and the pending prefill before them, in microseconds.
    fn prefill_time(&self, rate: Option<Rate>, uncached: u64, pending: Span) -> u64 {
        let (rate, before) = match (self.load.prefill_rate, rate) {
            (0, Some(learned)) => (learned.per_second(), prefill_wait(pending)),
            (0, None) => (
                f64::from(DEFAULT_PREFILL_RATE),
                self.unreported_prefill(f64::from(DEFAULT_PREFILL_RATE)),
            ),
            (reported, _) => (
                f64::from(reported),
                self.unreported_prefill(f64::from(reported)),
            ),
        };
        before.micros() + (uncached as f64 / rate.max(1.0) * 1e6) as u64
    }

    /// Returns the time to read the tokens sent since the last report.
    fn unreported_prefill(&self, rate: f64) -> Span {
        Span::from_secs_f64(f64::from(self.tokens_since) / rate.max(1.0))
    }

    /// Returns the expected wait for a slot, in microseconds.
    fn queue_wait(&self, urgent: bool, now: Time) -> u64 {
        let reserved = if urgent { 0 } else { self.load.reserve };
        // An urgent request overtakes the queued ones.
        let waiting = if urgent { 0 } else { self.load.wait.micros() };
        let reported = (waiting as f64 * self.freshness(now)) as u64;
        // The share of used slots breaks ties between idle upstreams and avoids those that are
        // almost full.
        let slots = u64::from(self.load.slots.saturating_sub(reserved).max(1));
        let busy = u64::from(self.load.running.max(self.in_flight) + self.since_report);
        let over = (busy + 1).saturating_sub(slots);
        reported + busy * 1000 / slots + over * DEFAULT_SERVICE_TIME.micros() / slots
    }

    fn freshness(&self, now: Time) -> f64 {
        let age = now.since(self.reported).secs_f64() / REPORT_LIFETIME.secs_f64();
        (2.0 - age).clamp(0.0, 1.0)
    }

    fn remember(&mut self, prefix: Prefix, now: Time) {
        self.stamp += 1;
        let remembered = SentPrefix {
            stamp: self.stamp,
            used: now,
        };
        self.prefixes.insert(prefix.hash, remembered);
        if self.prefixes.len() > MAX_PREFIXES {
            // Removing half of the prefixes at once makes most insertions cheap.
            let oldest = self.stamp.saturating_sub(MAX_PREFIXES as u64 / 2);
            self.prefixes.retain(|_, known| known.stamp > oldest);
        }
    }

    /// Returns whether a prefix that was sent here is expected to be cached.
    fn is_cached(&self, prefix: &Prefix, now: Time) -> bool {
        let known = self.prefixes.get(&prefix.hash);
        known.is_some_and(|known| now.since(known.used) < PREFIX_LIFETIME)
    }
}
