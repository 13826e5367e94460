//! Requests that match a route of the settings tree and are sent directly to upstreams.
//!
//! Such a request carries everything that its routing depends on: the host and path, the remaining
//! time and the prompt prefixes. Upstreams report their load with each answer and refuse requests
//! beyond their capacity, so no sidecar is needed.

mod gate;
mod learn;
mod reply;
mod second;
mod send;
mod timeout;
mod worth;

use self::second::Second;
use super::flight::Flight;
use super::*;
use crate::escalation::Dropped;
use crate::latency::Workload;
use crate::notice::Notice;
use crate::pick::{Placement, Prefix, Slowdown};
use crate::tree::Route;
use crate::wire::{Confidence, Header, Load};

/// The default of [`Settings::confidence_thresholds`]. The largest model occupies an upstream ten
/// times as long as the smallest, so routes whose answers earn less for their length are escalated
/// less often (see docs/MEASUREMENTS.md, *model choice*).
pub const CONFIDENCE_THRESHOLDS: [Share; 3] = [Share::HALF, Share::percent(40), Share::percent(30)];
/// The minimum and default `Retry-After` of routed requests that did not run.
pub(super) const MIN_RETRY_AFTER: Span = Span::from_millis(500);

/// A request that matches a route.
#[derive(Clone, Debug)]
pub struct Routed {
    /// The request identifier that the caller sent.
    pub label: String,
    /// The requested host.
    pub host: String,
    /// The call, with the headers to forward.
    pub call: Call,
    /// The remaining time that the caller waits, if it sent one.
    pub time_left: Option<Span>,
    /// Whether the route may choose the model.
    pub any_model: bool,
    /// The number of prompt tokens.
    pub tokens: u32,
    /// The most tokens that the answer may have.
    pub max_tokens: u32,
    /// The prompt prefixes that may be cached, shortest first.
    pub prefixes: Vec<Prefix>,
    /// The parts of the prompt that other requests may share, in order.
    pub parts: Vec<Fingerprint>,
    /// The identifier of the session.
    pub session: Option<u64>,
    /// Whether the caller resumes an interrupted stream.
    pub is_resumption: bool,
}

/// The route of a request and the state of its attempts.
#[derive(Clone, Debug)]
pub(super) struct RouteState {
    pub name: RouteId,
    pub route: Arc<Route>,
    /// The index of the current model in the sizes of the route.
    pub size_index: usize,
    /// The answer that was dropped for the current model, in a contended pool.
    pub dropped: Option<Dropped>,
    /// The prompt prefixes, hashed for the current model.
    pub prefixes: Vec<Prefix>,
    /// The last event that was sent to the caller.
    pub last_event: Option<u64>,
    /// The state of the current run.
    pub run: RunState,
    /// A second run beside the current one; whichever goes on first with the answer stays.
    pub second: Option<Second>,
    /// The time before which no other second run is started.
    pub second_after: Time,
    /// The number of the latest attempt.
    pub last_attempt: u16,
    /// The number of second runs that upstreams refused.
    pub refused_runs: u16,
    /// The number of runs, including the current one.
    pub runs: u16,
    /// The number of earlier runs that reached their upstreams.
    pub runs_reached: u16,
    /// The number of retries charged to the budget.
    pub charged: u16,
    /// Whether the previous run ended with an error of a plain service.
    pub retries_error: bool,
}

/// The state of one run.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RunState {
    /// When it was sent.
    pub sent_at: Time,
    /// When something was last heard of it, or when it was sent.
    pub heard_at: Time,
    /// The estimate of its work.
    pub estimate: Estimate,
    /// Whether it was recorded as slow before it started to answer.
    pub recorded_slow: bool,
    /// Whether it was recorded as silent.
    pub recorded_silent: bool,
    /// How its answer is read.
    pub reading: Reading,
}

/// How an answer is read from its upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Reading {
    /// As it comes.
    #[default]
    Steady,
    /// Not at the moment, because the caller is slow to read.
    Paused,
    /// Again, since this time.
    Continued(Time),
}

/// The expected work of a run when it was sent.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Estimate {
    /// The prompt tokens that are not in the prefix cache of the upstream.
    pub uncached_tokens: u32,
    /// The prefill time of these tokens.
    pub prefill: Span,
    /// The wait for earlier prefills at the upstream.
    pub wait: Span,
    /// How long work takes at the upstream.
    pub slowdown: Slowdown,
    /// Whether the prefill still counts as pending at the upstream.
    pub prefill_pending: bool,
}

impl Estimate {
    /// Returns the estimate in the form of the decision history.
    pub fn forecast(&self) -> Forecast {
        Forecast {
            uncached_tokens: self.uncached_tokens,
            behind_ms: self.wait.millis(),
            first_ms: self.time_to_first_byte().millis(),
        }
    }

    /// Returns the expected time to the start of the answer.
    pub fn time_to_first_byte(&self) -> Span {
        self.wait + self.prefill
    }
}

impl RouteState {
    /// Returns the key of the latency model.
    pub fn workload(&self, pool: &PoolId) -> Workload {
        match self.route.sizes.get(self.size_index) {
            Some(model) => Workload::Model(pool.clone(), model.clone()),
            None => Workload::Route(self.name.clone()),
        }
    }
}

/// An upstream that is called directly, without a sidecar.
#[derive(Clone, Debug)]
pub struct Member {
    /// The name, which changes with each start of the upstream.
    pub upstream: UpstreamId,
    /// The pool.
    pub pool: PoolId,
    /// Its location and release.
    pub placement: Placement,
    /// Its capacity and last known load.
    pub load: Load,
}

/// The head of an upstream's answer.
#[derive(Clone, Debug)]
pub struct Head {
    /// The HTTP status.
    pub status: u16,
    /// The headers to forward.
    pub headers: Vec<Header>,
    /// The confidence of the model.
    pub confidence: Option<Confidence>,
    /// The numbers of running and queued requests and of slots.
    pub load: Option<(u32, u32, u32)>,
    /// The notice of the upstream about its own state.
    pub notice: Notice,
}

/// An event of a run at an upstream that is called directly.
#[derive(Clone, Debug)]
pub enum Reply {
    /// The head of the answer.
    Head(Head),
    /// The notice and the load (running, queued, slots) in an answer that is not delivered.
    Notice(Notice, Option<(u32, u32, u32)>),
    /// A chunk of the answer; for a stream, only complete events.
    Data {
        /// The bytes of the chunk.
        data: Vec<u8>,
        /// The number of the last event in the chunk.
        last_event: Option<u64>,
    },
    /// Nothing more of the answer is read until its caller has read what has come.
    Paused,
    /// The answer is read again.
    Continued,
    /// The end of a complete answer.
    End,
    /// The same, by the end of its connection: whether its upstream is gone is told next.
    Closed,
    /// Whether the upstream was gone when the answer ended with its connection.
    Checked {
        /// Whether it refuses connections.
        is_gone: bool,
    },
    /// The run failed, before or in the middle of the answer.
    Fail(Failure),
}

impl Entry {
    /// Adds an upstream that is called directly.
    pub(in crate::entry) fn join(&mut self, link: Link, member: Member, now: Time) {
        self.peers
            .join(link, member.upstream, &member.pool, member.load);
        self.peers.set_placement(link, member.placement);
        self.peers.report(link, member.load, now);
        self.peers.heard_from(link, now);
        self.peers.joined(link, now);
        // Once per pool: with 3,000 upstreams that join together, a scan of all others for each
        // would be quadratic.
        if !self.releases.has_baseline(&member.pool) {
            let present = self.peers.present_releases(&member.pool);
            self.releases.set_baseline(&member.pool, &present);
        }
    }

    /// Resolves the route and client account of a request.
    pub(in crate::entry) fn resolve_route(
        &self,
        routed: &Routed,
        key: Option<&str>,
    ) -> Result<(Context, RouteState), Failure> {
        if !self.tree.is_known() {
            let failure = Failure::not_run(Reason::NotReady, "no configuration is known yet");
            return Err(failure.retry_after(MIN_RETRY_AFTER));
        }
        let found = self.tree.route_of(&routed.host, &routed.call.path);
        let (name, route) = found.ok_or_else(|| {
            let message = format!("no route for {}{}", routed.host, routed.call.path);
            Failure::not_run(Reason::UnknownPath, message)
        })?;
        let context = route::identify_on_route(&self.tree, route, key)?;
        if !route.sizes.is_empty() && !routed.any_model {
            let message = "this route chooses the model";
            return Err(Failure::not_run(Reason::ModelNamed, message));
        }
        let route_state = RouteState {
            name: name.clone(),
            route: route.clone(),
            size_index: 0,
            dropped: None,
            prefixes: Vec::new(),
            last_event: None,
            run: RunState::default(),
            second: None,
            second_after: Time::default(),
            last_attempt: 0,
            refused_runs: 0,
            runs: 0,
            runs_reached: 0,
            charged: 0,
            retries_error: false,
        };
        Ok((context, route_state))
    }

    /// Returns the reports on moves for the other entries.
    pub fn move_reports(&mut self) -> Vec<(PoolId, release::Report)> {
        self.releases.take_reports()
    }

    /// Returns the evidence on the move of a pool to another release.
    pub fn move_grounds(&self, pool: &PoolId) -> release::Totals {
        self.releases.totals(pool)
    }

    /// Returns the moves whose recorded state must change, with the new state.
    pub fn propose_moves(&self, now: Time) -> Vec<(release::Order, release::State)> {
        self.releases.propose(now)
    }
}

impl Flight {
    /// Returns the current run as a sample for the comparison of releases; `first` is the time to
    /// the start of the answer.
    fn release_answer(&self, now: Time, first: Option<Span>) -> Option<release::Answer<'_>> {
        let route_state = self.route_state.as_ref()?;
        Some(release::Answer {
            pool: &self.pool,
            release: self.version()?,
            upstream: self.upstream.as_ref()?,
            kind: (&route_state.name, route_state.size_index),
            expected: route_state.run.estimate.time_to_first_byte(),
            sent: route_state.run.sent_at,
            seen: now,
            ttft: first,
        })
    }

    pub(super) fn routed(&self) -> Option<&Routed> {
        match &self.request.payload {
            Payload::Routed(routed) => Some(routed),
            _ => None,
        }
    }
}

/// Returns the failure of a request without a usable upstream. [`Entry::fail`] adds a `Retry-After`
/// to the failures of requests that did not run.
pub(super) fn no_upstream(pool: &PoolId) -> Failure {
    let message = format!("no upstream of {pool} takes the request");
    Failure::not_run(Reason::NoUpstream, message)
}

impl Entry {
    /// Returns the failure of a request that no upstream of its pool accepts. If upstreams
    /// announced when they accept requests again, the caller may retry then.
    fn no_upstream_available(&self, pool: &PoolId, now: Time) -> Failure {
        Failure {
            retry_after: self
                .peers
                .available_in(pool, now)
                .map(|left| left.max(MIN_RETRY_AFTER)),
            ..no_upstream(pool)
        }
    }
}

pub(super) fn timed_out(flight: &Flight) -> Failure {
    let verdict = flight.current_verdict();
    Failure::new(Reason::TimedOut, verdict, "the time allowed has passed")
}
