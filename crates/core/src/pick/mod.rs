//! Picks the upstream of a pool that receives a request.
//!
//! Each connected upstream is scored by its expected time to the first token: the wait that it
//! reported last, the requests that this entry has sent since, and the prefill of the prompt tokens
//! that are not in its cache.
//!
//! ```
//! use sorreldeck::pick::{Constraints, Peers, Policy, Criteria};
//! use sorreldeck::reuse::Scope;
//! use sorreldeck::wire::Load;
//! use sorreldeck::Time;
//!
//! let mut peers = Peers::default();
//! let pool = "assistant".parse()?;
//! peers.join(1, "u1".parse()?, &pool, Load { slots: 4, ..Load::default() });
//! let criteria = Criteria { pool: &pool, tokens: 100, urgent: false, rank: 0, prefixes: &[], shared_prefix: None, last_upstream: None, tried: &[], constraints: Constraints::default(), prefill_rate: None, scope: Scope::Hall };
//! assert_eq!(peers.pick(&criteria, Policy::FirstToken, Time(0), 0.5), Some(1));
//! # Ok::<(), sorreldeck::Error>(())
//! ```

mod availability;
mod backlog;
mod contention;
mod impact;
mod notices;
mod outlook;
mod pace;
mod peer;
mod probe;
mod speed;
pub mod usual;
mod warmup;

pub use availability::Availability;
pub use contention::{Contention, Start};
pub use impact::Impact;
pub use outlook::Outlook;
pub use pace::Pace;
pub use peer::{Peer, PrefillEnd};
pub(crate) use peer::{CROSS_HALL_PENALTY, PREFIX_LIFETIME};
pub use speed::{Slowdown, SpeedSum, Speeds};

use crate::halls::Halls;
use crate::id::{Hall, Incarnation, PoolId, Region, UpstreamId, VersionId};
use crate::notice;
use crate::release::Canary;
use crate::reuse::Scope;
use crate::subset;
use crate::tree::Warmup;
use crate::unit::{Rate, Span, Time};
use crate::warmup::Entries;
use crate::wire::Load;
use peer::{AVOID_BASE, AVOID_ERROR_BASE};
use probe::Probe;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use warmup::InitialSet;

/// The delay per rank after which requests may use newly available capacity if all upstreams limit
/// their rate. Requests of lower ranks go first.
const RANK_DELAY: Span = Span::from_millis(200);

/// The number of a link, unique within one run of a process.
pub type Link = u64;

/// The policy for choosing an upstream. All but the first are baselines for experiments.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Policy {
    /// The least expected time to the first token.
    #[default]
    FirstToken,
    /// Each upstream in turn.
    RoundRobin,
    /// The fewest requests of this entry in flight.
    LeastInFlight,
    /// The lower reported wait of two adjacent upstreams, the first drawn at random.
    TwoChoices,
}

impl std::str::FromStr for Policy {
    type Err = crate::Error;

    fn from_str(s: &str) -> crate::Result<Self> {
        match s {
            "first-token" => Ok(Policy::FirstToken),
            "round-robin" => Ok(Policy::RoundRobin),
            "least-in-flight" => Ok(Policy::LeastInFlight),
            "two-choices" => Ok(Policy::TwoChoices),
            _ => Err(crate::Error::new(
                crate::Category::Invalid,
                format!(
                    "{s:?} is not a policy: expected first-token, round-robin, least-in-flight or two-choices"
                ),
            )),
        }
    }
}

/// A prefix of a prompt, which requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Prefix {
    /// The hash of the text.
    pub hash: u64,
    /// The length in tokens.
    pub tokens: u32,
}

/// The location of an upstream and the software that it runs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Placement {
    /// The data hall.
    pub hall: Option<Hall>,
    /// The region that the data hall is in.
    pub region: Option<Region>,
    /// The release of its software.
    pub release: Option<VersionId>,
    /// The start of the upstream, if it may restart under the same name.
    pub incarnation: Option<Incarnation>,
}

/// The constraints of a request on the placement of its upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct Constraints<'a> {
    /// The data hall that is cheapest to reach.
    pub hall: Option<&'a Hall>,
    /// The release that must answer.
    pub release: Option<&'a VersionId>,
    /// The canary upstreams of that release, if only these may answer.
    pub subset: Option<Canary>,
    /// The regions in which the request may be served, as restricted by its route and by its client
    /// account.
    pub regions: [Option<&'a BTreeSet<Region>>; 2],
}

impl Constraints<'_> {
    /// Returns whether the request may be served at a placement. One with an unknown region is not
    /// in any of the allowed regions.
    fn allows(&self, placement: &Placement) -> bool {
        let is_in = |regions: &BTreeSet<Region>| {
            let region = placement.region.as_ref();
            region.is_some_and(|region| regions.contains(region))
        };
        self.regions.iter().flatten().all(|regions| is_in(regions))
    }
}

/// The requirements of a request on its upstream.
#[derive(Clone, Copy, Debug)]
pub struct Criteria<'a> {
    /// The pool.
    pub pool: &'a PoolId,
    /// The prompt tokens.
    pub tokens: u32,
    /// Whether the request may use a slot that is reserved for the priority class.
    pub urgent: bool,
    /// The order of requests where upstreams limit their rate; 0 goes first.
    pub rank: u8,
    /// The prefixes of the prompt that may be cached, the shortest first.
    pub prefixes: &'a [Prefix],
    /// The longest prefix that is shared with other requests.
    pub shared_prefix: Option<Prefix>,
    /// The upstream that last answered the session.
    pub last_upstream: Option<&'a UpstreamId>,
    /// The links of earlier attempts.
    pub tried: &'a [Link],
    /// The constraints on the placement.
    pub constraints: Constraints<'a>,
    /// The learned prefill rate in tokens per second, if known. Each upstream then counts as busy
    /// with the prefill of a request until it answers.
    pub prefill_rate: Option<Rate>,
    /// The upstreams among which the shared prefix has one home.
    pub scope: Scope,
}

/// A chosen upstream and its state for the request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Chosen {
    /// The link to the upstream.
    pub link: Link,
    /// The prompt tokens that are not in its cache.
    pub uncached_tokens: u32,
    /// The expected wait for earlier requests.
    pub wait: Span,
    /// How long work takes at the upstream.
    pub slowdown: Slowdown,
}

/// The upstreams to which an entry has links, by pool.
#[derive(Clone, Debug, Default)]
pub struct Peers {
    peers: HashMap<Link, Peer>,
    pools: BTreeMap<PoolId, Vec<Link>>,
    halls: Halls,
    warmups: BTreeMap<PoolId, Warmup>,
    entries: Entries,
    notices: notice::Registry,
    /// The progress of the initial set of upstreams, which were there before this entry started.
    initial_set: InitialSet,
    contention: Contention,
    /// The pools whose upstreams told their pace.
    contended: BTreeSet<PoolId>,
    /// The pools of plain services.
    plain: BTreeSet<PoolId>,
    speeds: Speeds,
    turn: usize,
}

impl Peers {
    /// Adds an upstream.
    pub fn join(&mut self, link: Link, upstream: UpstreamId, pool: &PoolId, load: Load) {
        let mut peer = Peer::new(upstream, load);
        peer.is_contended = self.is_contended(pool);
        peer.warmup = self.warmups.get(pool).copied();
        self.peers.insert(link, peer);
        let links = self.pools.entry(pool.clone()).or_default();
        links.push(link);
        // A fixed order keeps runs with the same seed reproducible.
        links.sort_unstable();
    }

    /// Removes an upstream.
    pub fn leave(&mut self, link: Link) {
        self.peers.remove(&link);
        for links in self.pools.values_mut() {
            links.retain(|l| *l != link);
        }
    }

    /// Returns an upstream.
    pub fn get(&self, link: Link) -> Option<&Peer> {
        self.peers.get(&link)
    }

    /// Returns all upstreams.
    pub fn iter(&self) -> impl Iterator<Item = (Link, &Peer)> {
        self.peers.iter().map(|(link, peer)| (*link, peer))
    }

    /// Returns the pools that have links, with the links of each.
    pub fn pools(&self) -> &BTreeMap<PoolId, Vec<Link>> {
        &self.pools
    }

    /// Records a load report.
    pub fn report(&mut self, link: Link, load: Load, now: Time) {
        if let Some(peer) = self.peers.get_mut(&link) {
            peer.load = load;
            peer.reported = now;
            peer.since_report = 0;
            peer.tokens_since = 0;
        }
    }

    /// Marks an upstream as taking no new requests.
    pub fn mark_leaving(&mut self, link: Link) {
        if let Some(peer) = self.peers.get_mut(&link) {
            peer.leaving = true;
        }
    }

    /// Marks an upstream as taking no new requests, and removes it once no requests of this entry
    /// run there.
    pub fn retire(&mut self, link: Link) {
        match self.peers.get_mut(&link) {
            Some(peer) if peer.in_flight > 0 => {
                peer.leaving = true;
                peer.retired = true;
            }
            _ => self.leave(link),
        }
    }

    /// Records a sent request.
    pub fn sent(&mut self, link: Link, tokens: u32, prefixes: &[Prefix], now: Time) {
        if let Some(peer) = self.peers.get_mut(&link) {
            peer.sent(tokens, prefixes, now);
            if peer.has_notice {
                self.notices.record_request(peer.start_id(), now);
            }
        }
    }

    /// Adds a prefill of this duration to an upstream.
    pub fn prefill_started(&mut self, link: Link, prefill: Span, now: Time) {
        if let Some(peer) = self.peers.get_mut(&link) {
            peer.prefill_started(prefill, now);
        }
    }

    /// Removes a prefill of this duration, after it has ended or was abandoned.
    pub fn prefill_ended(&mut self, link: Link, prefill: Span, end: PrefillEnd) {
        if let Some(peer) = self.peers.get_mut(&link) {
            peer.prefill_ended(prefill, end);
        }
    }

    /// Records that an upstream has prompts to read for this long at least; returns the identifier
    /// of its start.
    pub fn extend_queue(&mut self, link: Link, left: Span, now: Time) -> Option<u64> {
        let peer = self.peers.get_mut(&link)?;
        peer.extend_queue(left, now);
        Some(peer.start_id())
    }

    /// Records the same on the report of another entry.
    pub fn extend_remote_queue(&mut self, start_id: u64, left: Span, now: Time) {
        if let Some(peer) = self.by_start_id(start_id).next() {
            peer.extend_queue(left, now);
        }
    }

    /// Adds a prefill of this duration that another entry sent to an upstream.
    pub fn add_remote_prefill(&mut self, start_id: u64, prefill: Span, now: Time) {
        if let Some(peer) = self.by_start_id(start_id).next() {
            peer.add_remote_prefill(prefill, now);
        }
    }

    /// Returns the upstreams with a start identifier. An upstream that left but still runs requests
    /// of this entry may have joined again.
    fn by_start_id(&mut self, start_id: u64) -> impl Iterator<Item = &mut Peer> {
        let peers = self.peers.values_mut();
        peers.filter(move |peer| peer.start_id() == start_id)
    }

    /// Sets the placement of an upstream.
    pub fn set_placement(&mut self, link: Link, placement: Placement) {
        if let Some(peer) = self.peers.get_mut(&link) {
            peer.set_placement(placement);
            peer.has_notice = self.notices.contains(peer.start_id());
        }
    }

    /// Records that something was received from an upstream.
    pub fn heard_from(&mut self, link: Link, now: Time) {
        if let Some(peer) = self.peers.get_mut(&link) {
            peer.last_heard = now;
            peer.probe = Probe::default();
        }
    }

    /// Records that an upstream is probed; returns whether it is due.
    pub fn probe(&mut self, link: Link, now: Time) -> bool {
        let peer = self.peers.get_mut(&link);
        peer.is_some_and(|peer| peer.probe.ask(now))
    }

    /// Records the result of a probe.
    pub fn probed(&mut self, link: Link, is_gone: bool) {
        if let Some(peer) = self.peers.get_mut(&link) {
            peer.probe.answered(is_gone);
        }
    }

    /// Counts every upstream as heard from, after this process itself was suspended and may have
    /// missed messages.
    pub fn heard_from_all(&mut self, now: Time) {
        for peer in self.peers.values_mut() {
            peer.last_heard = now;
        }
    }

    /// Records a successful answer.
    pub fn succeeded(&mut self, link: Link) {
        if let Some(peer) = self.peers.get_mut(&link) {
            peer.succeeded();
        }
    }

    /// Records a failure; the upstream is avoided for a while.
    pub fn failed(&mut self, link: Link, now: Time) {
        if let Some(peer) = self.peers.get_mut(&link) {
            peer.avoid(AVOID_BASE, now);
        }
    }

    /// Records that an upstream answered with an error of its own. The request may have caused it,
    /// so nothing is sent again here; only later requests avoid the upstream, for longer with each
    /// error in a row.
    pub fn returned_error(&mut self, link: Link, now: Time) {
        if let Some(peer) = self.peers.get_mut(&link) {
            peer.avoid(AVOID_ERROR_BASE, now);
        }
    }

    /// Returns whether the latest answers of an upstream were failures.
    pub fn is_failing(&self, link: Link) -> bool {
        self.get(link).is_some_and(Peer::is_failing)
    }

    /// Returns whether an upstream may receive requests.
    ///
    /// Every search for an upstream must check this, so that no path reaches one that is leaving or
    /// in an evacuated data hall.
    pub fn gets_work(&self, link: Link) -> bool {
        self.get(link).is_some_and(|peer| self.takes_work(peer))
    }

    fn takes_work(&self, peer: &Peer) -> bool {
        !self.is_leaving(peer) && self.halls.is_open(peer.placement.hall.as_ref())
    }

    /// Returns the connected upstreams of a pool.
    fn of_pool(&self, pool: &PoolId) -> impl Iterator<Item = (Link, &Peer)> {
        let links = self.pools.get(pool).map_or(&[][..], Vec::as_slice);
        links.iter().map(|link| (*link, &self.peers[link]))
    }

    /// Returns the upstreams of a pool that may receive requests.
    fn available(&self, pool: &PoolId) -> impl Iterator<Item = (Link, &Peer)> {
        let all = self.of_pool(pool);
        all.filter(|(_, peer)| self.takes_work(peer))
    }

    /// Returns the releases that the upstreams of a pool run, each with the number of upstreams
    /// that may receive requests.
    pub fn releases(&self, pool: &PoolId) -> BTreeMap<&VersionId, usize> {
        let mut releases = BTreeMap::new();
        let available = self.available(pool).map(|(_, peer)| peer);
        for release in available.filter_map(|p| p.placement.release.as_ref()) {
            *releases.entry(release).or_default() += 1;
        }
        releases
    }

    /// Returns the releases that the upstreams of a pool run, including those in evacuated data
    /// halls but not those that are leaving.
    pub fn present_releases(&self, pool: &PoolId) -> BTreeSet<VersionId> {
        let staying = self.of_pool(pool).filter(|(_, p)| !self.is_leaving(p));
        let releases = staying.filter_map(|(_, p)| p.placement.release.clone());
        releases.collect()
    }

    /// Records the end of a request.
    pub fn ended(&mut self, link: Link) {
        if let Some(peer) = self.peers.get_mut(&link) {
            peer.in_flight = peer.in_flight.saturating_sub(1);
            if peer.retired && peer.in_flight == 0 {
                self.leave(link);
            }
        }
    }

    /// Returns the link to the upstream for a request, if there is one.
    ///
    /// `draw` is a random number in `[0, 1)`.
    pub fn pick(
        &mut self,
        criteria: &Criteria,
        policy: Policy,
        now: Time,
        draw: f64,
    ) -> Option<Link> {
        let chosen = self.choose(criteria, policy, now, draw);
        chosen.map(|chosen| chosen.link)
    }

    /// Returns the upstream for a request, if there is one, and its state for the request.
    ///
    /// `draw` is a random number in `[0, 1)`.
    pub fn choose(
        &mut self,
        criteria: &Criteria,
        policy: Policy,
        now: Time,
        draw: f64,
    ) -> Option<Chosen> {
        let mut usable = self.usable(criteria, now);
        let wants_probe = |l: &Link| self.wants_probe(&self.peers[l], now);
        if let Some(link) = usable.iter().copied().find(wants_probe) {
            usable = vec![link];
        }
        if usable.is_empty() {
            return None;
        }
        let home = self.home(&usable, criteria);
        let start = (draw * usable.len() as f64) as usize % usable.len();
        let link = match policy {
            Policy::RoundRobin => {
                self.turn = self.turn.wrapping_add(1);
                usable[self.turn % usable.len()]
            }
            Policy::LeastInFlight => {
                self.min_by_score(&usable, start, |_, p| u64::from(p.in_flight))?
            }
            Policy::TwoChoices => {
                let second = usable[(start + 1) % usable.len()];
                self.min_by_score(&[usable[start], second], 0, |_, p| p.load.wait.micros())?
            }
            Policy::FirstToken => self.min_by_score(&usable, start, |link, peer| {
                peer.first_token(criteria, home == Some(link), now)
            })?,
        };
        let peer = self.peers.get(&link)?;
        Some(Chosen {
            link,
            uncached_tokens: peer.uncached_tokens(criteria, home == Some(link), now),
            wait: peer.wait(now),
            slowdown: peer.slowdown(now),
        })
    }

    /// Returns the upstreams that may get a request now.
    fn usable(&self, criteria: &Criteria, now: Time) -> Vec<Link> {
        let is_eligible = |link: &Link, peer: &Peer| {
            !criteria.tried.contains(link) && peer.matches(criteria) && self.admits(peer, now)
        };
        let usable = self
            .available(criteria.pool)
            .filter(|(link, peer)| is_eligible(link, peer));
        let mut usable: Vec<Link> = usable.map(|(link, _)| link).collect();
        if let Some(canary) = criteria.constraints.subset {
            self.keep_canary(&mut usable, canary);
        }
        let is_healthy = |l: &Link| self.peers[l].avoided <= now;
        if usable.iter().any(is_healthy) {
            usable.retain(is_healthy);
        }
        if usable.iter().all(|l| self.is_limited(&self.peers[l])) {
            // Requests of a lower rank get the first chance to use newly available capacity.
            let rank_delay = RANK_DELAY.micros() * u64::from(criteria.rank);
            let latest = Time(now.0.saturating_sub(rank_delay));
            usable.retain(|l| self.available_at(&self.peers[l]) <= latest);
        }
        usable
    }

    /// Like [`Peers::choose`], where `criteria.tried` may also contain upstreams to avoid, such as
    /// those that run requests suspected of crashes. If no healthy upstream is left, only those in
    /// `tried` are excluded.
    pub fn choose_distinct(
        &mut self,
        criteria: &Criteria,
        tried: &[Link],
        policy: Policy,
        now: Time,
        draw: f64,
    ) -> Option<Chosen> {
        let chosen = self.choose(criteria, policy, now, draw);
        let is_healthy = |c: &Chosen| self.peers[&c.link].avoided <= now;
        if chosen.as_ref().is_some_and(is_healthy) || criteria.tried.len() == tried.len() {
            return chosen;
        }
        let criteria = Criteria { tried, ..*criteria };
        self.choose(&criteria, policy, now, draw)
    }

    /// Keeps the links that rank highest in a canary round.
    fn keep_canary(&self, links: &mut Vec<Link>, canary: Canary) {
        let subject = canary.round.to_string();
        links.sort_by_cached_key(|l| subset::score(&subject, &self.peers[l].upstream));
        links.reverse();
        links.truncate(canary.count);
    }

    /// Returns the number of data halls with available upstreams of a pool.
    pub fn hall_count(&self, pool: &PoolId) -> usize {
        let halls = self
            .available(pool)
            .filter_map(|(_, p)| p.placement.hall.as_ref());
        halls.collect::<BTreeSet<&Hall>>().len()
    }

    /// Returns the home of the shared prefix: the upstream that caches it for all entries, or for
    /// those of one data hall. These compute the same home without communication, so that the
    /// prefix is read once and stays in the cache there. If the own data hall has no usable
    /// upstream, the home is chosen among all.
    fn home(&self, links: &[Link], criteria: &Criteria) -> Option<Link> {
        let shared = criteria.shared_prefix?;
        let is_near = |l: &&Link| self.peers[*l].cross_hall_cost(criteria) == 0;
        let anywhere = criteria.scope == Scope::All || !links.iter().any(|l| is_near(&l));
        let ranked = links.iter().filter(|l| anywhere || is_near(l));
        if self.is_contended(criteria.pool) {
            let weighted = |l: &&Link| self.peers[*l].weighted_home_rank(shared.hash);
            return ranked
                .max_by(|a, b| weighted(a).total_cmp(&weighted(b)))
                .copied();
        }
        ranked
            .max_by_key(|l| self.peers[l].home_rank(shared.hash))
            .copied()
    }

    /// Returns the link with the lowest score. The search starts at `start`, so the first one from
    /// there wins ties.
    fn min_by_score(
        &self,
        links: &[Link],
        start: usize,
        score: impl Fn(Link, &Peer) -> u64,
    ) -> Option<Link> {
        let (after, before) = (&links[start..], &links[..start]);
        after
            .iter()
            .chain(before)
            .min_by_key(|l| score(**l, &self.peers[l]))
            .copied()
    }

    /// Returns the number of upstreams of a pool that may receive requests.
    pub fn available_count(&self, pool: &PoolId) -> usize {
        self.available(pool).count()
    }

    /// Returns the shortest wait reported by the available upstreams of a pool.
    pub fn min_wait(&self, pool: &PoolId) -> Option<Span> {
        self.available(pool).map(|(_, p)| p.load.wait).min()
    }
}
