//! How an entry takes in requests that a route of the tree describes, and how it
//! sends them straight to upstreams.
//!
//! Such a request carries all that decides about it: the host and path, the time
//! left, the beginnings of its prompt. Upstreams tell their load with each
//! answer and refuse what they cannot take, so no sidecar stands between.

mod learn;
mod overdue;
mod reply;
mod send;

use super::flight::Flight;
use super::*;
use crate::latency::Workload;
use crate::notice::Notice;
use crate::pick::{Placement, Prefix};
use crate::tree::Route;
use crate::wire::{Confidence, Header, Load};

/// From what confidence the answer of a smaller model is given, by the rank of
/// the route, where the settings say nothing. The largest model holds an upstream for
/// ten times as long as the smallest, so what earns less for its length is asked again
/// less often. Measured on days of four sites (docs/MEASUREMENTS.md, *model choice*).
pub const CONFIDENCE_THRESHOLDS: [Share; 3] = [Share::HALF, Share::percent(40), Share::percent(30)];
/// How long a caller is told to stay away when upstreams are full.
pub(super) const COME_BACK: Span = Span::from_millis(500);

/// A request that a route describes.
#[derive(Clone, Debug)]
pub struct Routed {
    /// The name that the caller gave the request.
    pub label: String,
    /// The host asked for.
    pub host: String,
    /// The call, with the headers that are passed on.
    pub call: Call,
    /// How long the caller waits, if it says so.
    pub time_left: Option<Span>,
    /// Whether the caller leaves the choice of the model to the route.
    pub any_model: bool,
    /// The tokens of the prompt.
    pub tokens: u32,
    /// The beginnings of the prompt that may be cached, the shortest first.
    pub prefixes: Vec<Prefix>,
    /// What the session is known by.
    pub session: Option<u64>,
    /// Whether the caller goes on with a stream that broke off.
    pub is_resumption: bool,
}

/// What a route means for one request.
#[derive(Clone, Debug)]
pub(super) struct Terms {
    pub name: RouteId,
    pub route: Arc<Route>,
    /// The place of the present model among the sizes of the route.
    pub size: usize,
    /// The beginnings of the prompt, as the present model names them.
    pub chain: Vec<Prefix>,
    /// The last event that the caller was given.
    pub last: Option<u64>,
    /// When the present run was sent.
    pub sent: Time,
    /// The runs so far.
    pub runs: u16,
    /// The runs before the present one that reached their upstreams.
    pub arrivals: u16,
    /// How many of them were taken from the budget of repeats.
    pub paid: u16,
    /// What the present run was expected to take.
    pub outlook: Outlook,
    /// Whether the present run has counted as slow before it began to answer.
    pub told_slow: bool,
    /// Whether the run before was answered with an error of a plain service.
    pub erred: bool,
}

/// What a run was expected to take when it was sent.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Outlook {
    /// The tokens that its upstream had to read.
    pub fresh: u32,
    /// The time for reading them.
    pub reading: Span,
    /// The part of the time that is put down to what was to be read there before.
    pub behind: Span,
    /// Whether the upstream is still counted as reading.
    pub reads: bool,
}

impl Outlook {
    /// Returns what was expected, for the record of a decision.
    pub fn due(&self) -> Forecast {
        Forecast {
            uncached_tokens: self.fresh,
            behind_ms: self.behind.millis(),
            first_ms: self.first().millis(),
        }
    }

    /// Returns the expected time to the beginning of the answer.
    pub fn first(&self) -> Span {
        self.behind + self.reading
    }
}

impl Terms {
    /// Returns what the time to the beginning of an answer is learned by.
    pub fn subject(&self, pool: &PoolId) -> Workload {
        match self.route.sizes.get(self.size) {
            Some(model) => Workload::Model(pool.clone(), model.clone()),
            None => Workload::Route(self.name.clone()),
        }
    }
}

/// An upstream that is called directly.
#[derive(Clone, Debug)]
pub struct Member {
    /// Its name, which changes with each start.
    pub upstream: UpstreamId,
    /// The pool.
    pub pool: PoolId,
    /// Where it is and what it runs.
    pub placement: Placement,
    /// The requests that it runs at a time, and what else is known of its load.
    pub load: Load,
}

/// The beginning of an upstream's answer.
#[derive(Clone, Debug)]
pub struct Head {
    /// The HTTP status.
    pub status: u16,
    /// The headers that are passed on.
    pub headers: Vec<Header>,
    /// How sure the model is of its answer.
    pub confidence: Option<Confidence>,
    /// What runs and waits at the upstream, and how much it runs at a time.
    pub load: Option<(u32, u32, u32)>,
    /// What the upstream says of itself.
    pub notice: Notice,
}

/// What an upstream that is called directly does with a run.
#[derive(Clone, Debug)]
pub enum Reply {
    /// The answer begins.
    Head(Head),
    /// An answer that is not given says this of its upstream: of itself, and what runs and waits
    /// there and how much it runs at a time.
    Notice(Notice, Option<(u32, u32, u32)>),
    /// Bytes of the answer; of a stream, whole events.
    Data {
        /// The bytes.
        data: Vec<u8>,
        /// The number of the last event among them.
        last_event: Option<u64>,
    },
    /// The answer is whole.
    End,
    /// There is no answer, or it broke off.
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
        // Once for a pool: of 3,000 upstreams that join together each would look at all others.
        if !self.releases.has_baseline(&member.pool) {
            let present = self.peers.present_releases(&member.pool);
            self.releases.set_baseline(&member.pool, &present);
        }
    }

    /// Finds the route and client account of a request.
    pub(in crate::entry) fn locate(
        &self,
        routed: &Routed,
        key: Option<&str>,
    ) -> Result<(Context, Terms), Failure> {
        if self.tree.revision() == Revision(0) {
            let failure = Failure::not_run(Reason::NotReady, "no configuration is known yet");
            return Err(failure.retry_after(COME_BACK));
        }
        let found = self.tree.route_of(&routed.host, &routed.call.path);
        let (name, route) = found.ok_or_else(|| {
            let message = format!("no route for {}{}", routed.host, routed.call.path);
            Failure::not_run(Reason::UnknownPath, message)
        })?;
        let site = route::identify_on_route(&self.tree, route, key)?;
        if !route.sizes.is_empty() && !routed.any_model {
            let message = "this route chooses the model";
            return Err(Failure::not_run(Reason::ModelNamed, message));
        }
        let terms = Terms {
            name: name.clone(),
            route: route.clone(),
            size: 0,
            chain: Vec::new(),
            last: None,
            sent: Time::default(),
            runs: 0,
            arrivals: 0,
            paid: 0,
            outlook: Outlook::default(),
            told_slow: false,
            erred: false,
        };
        Ok((site, terms))
    }

    /// Returns what other entries are to be told of moves.
    pub fn move_reports(&mut self) -> Vec<(PoolId, release::Report)> {
        self.releases.take_reports()
    }

    /// Returns what the move of a pool to another release is judged by.
    pub fn move_grounds(&self, pool: &PoolId) -> release::Totals {
        self.releases.totals(pool)
    }

    /// Returns what ought to be recorded about moves to other releases.
    pub fn propose_moves(&self, now: Time) -> Vec<(release::Order, release::State)> {
        let running = |_: &PoolId, v: &VersionId| self.running.get(v).copied().unwrap_or(0);
        self.releases.propose(now, running)
    }
}

impl Flight {
    /// Returns what the present run tells about the release that answers, with
    /// the time to its beginning.
    fn tells(&self, now: Time, first: Option<Span>) -> Option<release::Answer<'_>> {
        let terms = self.terms.as_ref()?;
        Some(release::Answer {
            pool: &self.pool,
            release: self.version()?,
            upstream: self.upstream.as_ref()?,
            kind: (&terms.name, terms.size),
            expected: terms.outlook.first(),
            sent: terms.sent,
            seen: now,
            ttft: first,
        })
    }

    pub(super) fn routed(&self) -> Option<&Routed> {
        match &self.ask.payload {
            Payload::Routed(routed) => Some(routed),
            _ => None,
        }
    }
}

// That a request which did not run may come back is added when it is given up.

pub(super) fn none_left(pool: &PoolId) -> Failure {
    let message = format!("no upstream of {pool} takes the request");
    Failure::not_run(Reason::NoUpstream, message)
}

impl Entry {
    /// Returns the failure of a request that no upstream of its pool takes. Where they said why,
    /// its caller may come back as soon as one takes requests again.
    fn none_takes(&self, pool: &PoolId, now: Time) -> Failure {
        Failure {
            retry_after: self
                .peers
                .available_in(pool, now)
                .map(|left| left.max(COME_BACK)),
            ..none_left(pool)
        }
    }
}

pub(super) fn timed_out(flight: &Flight) -> Failure {
    let verdict = flight.known_verdict();
    Failure::new(Reason::TimedOut, verdict, "the time allowed has passed")
}
