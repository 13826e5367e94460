//! Which upstream of a pool gets a request.
//!
//! Each upstream in reach is scored by the time to the first token that it is
//! expected to give: the wait that it reported last, what this entry has sent
//! since, and the prefill of the prompt tokens that are not in its cache.
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
//! let wish = Criteria { pool: &pool, tokens: 100, urgent: false, rank: 0, prefixes: &[], shared_prefix: None, last_upstream: None, tried: &[], constraints: Constraints::default(), prefill_rate: None, scope: Scope::Hall };
//! assert_eq!(peers.pick(&wish, Policy::FirstToken, Time(0), 0.5), Some(1));
//! # Ok::<(), sorreldeck::Error>(())
//! ```

mod availability;
mod backlog;
mod impact;
mod notices;
mod pace;
mod peer;
mod warmup;

pub use availability::Availability;
pub use impact::Impact;
pub use pace::Pace;
pub use peer::{prefill_wait, Peer};
pub(crate) use peer::{CROSS_HALL_PENALTY, PREFIX_LIFETIME};

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
use peer::{AVOID, AVOID_ERRORS};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use warmup::First;

/// How long an upstream that takes only so much is left to requests of a rank before those of the
/// next one may go there, where all take only so much.
const STANDS_BACK: Span = Span::from_millis(200);

/// The number of a link, unique in one run of a process.
pub type Link = u64;

/// How an upstream is chosen; all but the first are baselines for experiments.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Policy {
    /// The least expected time to the first token.
    #[default]
    FirstToken,
    /// Each in turn.
    RoundRobin,
    /// The fewest requests of this entry in flight.
    LeastInFlight,
    /// The lower reported load of two drawn at random.
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
                    "{s:?} is no policy: first-token, round-robin, least-in-flight, two-choices"
                ),
            )),
        }
    }
}

/// A beginning of a prompt, which requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Prefix {
    /// The hash of the text.
    pub hash: u64,
    /// The length in tokens.
    pub tokens: u32,
}

/// Where an upstream is and what it runs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Placement {
    /// The data hall.
    pub hall: Option<Hall>,
    /// The region that the data hall is in.
    pub region: Option<Region>,
    /// The release of its software.
    pub release: Option<VersionId>,
    /// Which start of it this is, where it may start again under its name.
    pub incarnation: Option<Incarnation>,
}

/// What a request wants of an upstream's place.
#[derive(Clone, Copy, Debug, Default)]
pub struct Constraints<'a> {
    /// The data hall that is cheap to reach.
    pub hall: Option<&'a Hall>,
    /// The release that must answer.
    pub release: Option<&'a VersionId>,
    /// Which few of the upstreams that run it may answer, if not all.
    pub subset: Option<Canary>,
    /// The regions in which the request may be served, by its route and by its client account.
    pub regions: [Option<&'a BTreeSet<Region>>; 2],
}

impl Constraints<'_> {
    /// Returns whether a request may be served at a place; one whose region is not known is in
    /// none that is allowed.
    fn allows(&self, place: &Placement) -> bool {
        let is_in = |regions: &BTreeSet<Region>| {
            let region = place.region.as_ref();
            region.is_some_and(|region| regions.contains(region))
        };
        self.regions.iter().flatten().all(|regions| is_in(regions))
    }
}

/// What a request wants of an upstream.
#[derive(Clone, Copy, Debug)]
pub struct Criteria<'a> {
    /// The pool.
    pub pool: &'a PoolId,
    /// The prompt tokens.
    pub tokens: u32,
    /// Whether the request may take a place kept for the priority class.
    pub urgent: bool,
    /// What goes before it where upstreams take only so much: 0 goes first.
    pub rank: u8,
    /// The beginnings of the prompt that may be cached, the shortest first.
    pub prefixes: &'a [Prefix],
    /// The longest beginning that other requests share.
    pub shared_prefix: Option<Prefix>,
    /// The upstream that answered the session last.
    pub last_upstream: Option<&'a UpstreamId>,
    /// The links already tried.
    pub tried: &'a [Link],
    /// Where the upstream ought to be.
    pub constraints: Constraints<'a>,
    /// How fast its prompt is read, in tokens, where that is learned from answers; each
    /// upstream then counts as reading until it answers.
    pub prefill_rate: Option<Rate>,
    /// Over which upstreams the shared beginning has one home.
    pub scope: Scope,
}

/// An upstream that was chosen, and what a request finds there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Chosen {
    /// The link to it.
    pub link: Link,
    /// The tokens of the prompt that it has to read.
    pub uncached_tokens: u32,
    /// The reading that this entry and others sent there before and that has not ended.
    pub pending_prefill: Span,
}

/// The upstreams in reach of an entry, by pool.
#[derive(Clone, Debug, Default)]
pub struct Peers {
    peers: HashMap<Link, Peer>,
    pools: BTreeMap<PoolId, Vec<Link>>,
    halls: Halls,
    warmups: BTreeMap<PoolId, Warmup>,
    entries: Entries,
    notices: notice::Registry,
    /// The first upstreams that joined, which were there before.
    first: First,
    turn: usize,
}

impl Peers {
    /// Adds an upstream.
    pub fn join(&mut self, link: Link, upstream: UpstreamId, pool: &PoolId, load: Load) {
        let mut peer = Peer::new(upstream, load);
        peer.warmup = self.warmups.get(pool).copied();
        self.peers.insert(link, peer);
        let links = self.pools.entry(pool.clone()).or_default();
        links.push(link);
        // A fixed order makes runs with one seed alike.
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

    /// Returns the pools in reach with the links to each.
    pub fn pools(&self) -> &BTreeMap<PoolId, Vec<Link>> {
        &self.pools
    }

    /// Notes a report of load.
    pub fn report(&mut self, link: Link, load: Load, now: Time) {
        if let Some(peer) = self.peers.get_mut(&link) {
            peer.load = load;
            peer.reported = now;
            peer.since_report = 0;
            peer.tokens_since = 0;
        }
    }

    /// Notes that the upstream takes no new work.
    pub fn mark_leaving(&mut self, link: Link) {
        if let Some(peer) = self.peers.get_mut(&link) {
            peer.leaving = true;
        }
    }

    /// Notes that the upstream takes no new work; it is forgotten when nothing
    /// of this entry runs there any more.
    pub fn retire(&mut self, link: Link) {
        match self.peers.get_mut(&link) {
            Some(peer) if peer.in_flight > 0 => {
                peer.leaving = true;
                peer.retired = true;
            }
            _ => self.leave(link),
        }
    }

    /// Notes a request sent.
    pub fn sent(&mut self, link: Link, tokens: u32, chain: &[Prefix], now: Time) {
        if let Some(peer) = self.peers.get_mut(&link) {
            peer.sent(tokens, chain, now);
            if peer.has_spoken {
                self.notices.record_request(peer.start_id(), now);
            }
        }
    }

    /// Notes that an upstream has a prompt to read that takes this long.
    pub fn prefill_started(&mut self, link: Link, reading: Span) {
        if let Some(peer) = self.peers.get_mut(&link) {
            peer.pending_prefill = peer.pending_prefill + reading;
        }
    }

    /// Notes that an upstream has read a prompt, or does not have to any more.
    pub fn prefill_ended(&mut self, link: Link, reading: Span) {
        if let Some(peer) = self.peers.get_mut(&link) {
            peer.pending_prefill = peer.pending_prefill - reading;
        }
    }

    /// Notes that another entry sent an upstream a prompt that takes this long to be read.
    pub fn add_remote_prefill(&mut self, number: u64, reading: Span, now: Time) {
        if let Some(peer) = self.numbered(number).next() {
            peer.add_remote_prefill(reading, now);
        }
    }

    /// Returns the upstreams for which a number stands: one that left and has requests here still
    /// may have joined again.
    fn numbered(&mut self, number: u64) -> impl Iterator<Item = &mut Peer> {
        let peers = self.peers.values_mut();
        peers.filter(move |peer| peer.start_id() == number)
    }

    /// Sets where an upstream is and what it runs.
    pub fn set_placement(&mut self, link: Link, place: Placement) {
        if let Some(peer) = self.peers.get_mut(&link) {
            peer.set_placement(place);
            peer.has_spoken = self.notices.contains(peer.start_id());
        }
    }

    /// Notes that something came from an upstream.
    pub fn heard_from(&mut self, link: Link, now: Time) {
        if let Some(peer) = self.peers.get_mut(&link) {
            peer.last_heard = now;
        }
    }

    /// Notes that something came from every upstream, as far as can be known
    /// after this process itself stood still.
    pub fn heard_from_all(&mut self, now: Time) {
        for peer in self.peers.values_mut() {
            peer.last_heard = now;
        }
    }

    /// Notes a good answer.
    pub fn succeeded(&mut self, link: Link) {
        if let Some(peer) = self.peers.get_mut(&link) {
            peer.succeeded();
        }
    }

    /// Notes a failure: the upstream is passed over for a while.
    pub fn failed(&mut self, link: Link, now: Time) {
        if let Some(peer) = self.peers.get_mut(&link) {
            peer.avoid(AVOID, now);
        }
    }

    /// Notes that an upstream answered with an error of its own. It may be the
    /// request's, so what comes next goes elsewhere and nothing is sent again; an
    /// upstream that fails everything is left for longer each time.
    pub fn returned_error(&mut self, link: Link, now: Time) {
        if let Some(peer) = self.peers.get_mut(&link) {
            peer.avoid(AVOID_ERRORS, now);
        }
    }

    /// Returns whether the last answers of an upstream were failures.
    pub fn is_failing(&self, link: Link) -> bool {
        self.get(link).is_some_and(Peer::is_failing)
    }

    /// Returns whether an upstream may get work.
    ///
    /// Whoever looks for an upstream asks here, so that none which leaves, or whose data hall is
    /// emptied, is found by another way.
    pub fn gets_work(&self, link: Link) -> bool {
        self.get(link).is_some_and(|peer| self.takes_work(peer))
    }

    fn takes_work(&self, peer: &Peer) -> bool {
        !self.is_leaving(peer) && self.halls.is_open(peer.placement.hall.as_ref())
    }

    /// Returns the upstreams of a pool in reach.
    fn of_pool(&self, pool: &PoolId) -> impl Iterator<Item = (Link, &Peer)> {
        let links = self.pools.get(pool).map_or(&[][..], Vec::as_slice);
        links.iter().map(|link| (*link, &self.peers[link]))
    }

    /// Returns the upstreams of a pool that may get work.
    fn working(&self, pool: &PoolId) -> impl Iterator<Item = (Link, &Peer)> {
        let all = self.of_pool(pool);
        all.filter(|(_, peer)| self.takes_work(peer))
    }

    /// Returns the releases that the upstreams of a pool run, each with the
    /// number of them that may get work.
    pub fn releases(&self, pool: &PoolId) -> BTreeMap<&VersionId, usize> {
        let mut releases = BTreeMap::new();
        let working = self.working(pool).map(|(_, peer)| peer);
        for release in working.filter_map(|p| p.placement.release.as_ref()) {
            *releases.entry(release).or_default() += 1;
        }
        releases
    }

    /// Returns the releases that the upstreams of a pool run, whether or not their data hall
    /// gets work, without those that are leaving.
    pub fn present_releases(&self, pool: &PoolId) -> BTreeSet<VersionId> {
        let staying = self.of_pool(pool).filter(|(_, p)| !self.is_leaving(p));
        let releases = staying.filter_map(|(_, p)| p.placement.release.clone());
        releases.collect()
    }

    /// Notes the end of a request.
    pub fn ended(&mut self, link: Link) {
        if let Some(peer) = self.peers.get_mut(&link) {
            peer.in_flight = peer.in_flight.saturating_sub(1);
            if peer.retired && peer.in_flight == 0 {
                self.leave(link);
            }
        }
    }

    /// Returns the link to the upstream that gets the request, if one may.
    ///
    /// `draw` is a random number in `[0, 1)`.
    pub fn pick(&mut self, wish: &Criteria, policy: Policy, now: Time, draw: f64) -> Option<Link> {
        let chosen = self.choose(wish, policy, now, draw);
        chosen.map(|chosen| chosen.link)
    }

    /// Returns the upstream that gets the request, if one may, and what it finds there.
    ///
    /// `draw` is a random number in `[0, 1)`.
    pub fn choose(
        &mut self,
        wish: &Criteria,
        policy: Policy,
        now: Time,
        draw: f64,
    ) -> Option<Chosen> {
        let may = |link: &Link, peer: &Peer| {
            !wish.tried.contains(link) && peer.suits(wish) && self.admits(peer, now)
        };
        let usable = self
            .working(wish.pool)
            .filter(|(link, peer)| may(link, peer));
        let mut usable: Vec<Link> = usable.map(|(link, _)| link).collect();
        if let Some(few) = wish.constraints.subset {
            self.keep_few(&mut usable, few);
        }
        let sound = |l: &Link| self.peers[l].avoided <= now;
        if usable.iter().any(sound) {
            usable.retain(sound);
        }
        if usable.iter().all(|l| self.is_limited(&self.peers[l])) {
            // What is more urgent has some time to take what they take.
            let stands_back = STANDS_BACK.micros() * u64::from(wish.rank);
            let opened = Time(now.0.saturating_sub(stands_back));
            usable.retain(|l| self.opens(&self.peers[l]) <= opened);
        }
        let wants_trial = |l: &Link| self.wants_trial(&self.peers[l], now);
        if let Some(link) = usable.iter().copied().find(wants_trial) {
            usable = vec![link];
        }
        if usable.is_empty() {
            return None;
        }
        let home = self.home(&usable, wish);
        let start = (draw * usable.len() as f64) as usize % usable.len();
        let link = match policy {
            Policy::RoundRobin => {
                self.turn = self.turn.wrapping_add(1);
                usable[self.turn % usable.len()]
            }
            Policy::LeastInFlight => self.least(&usable, start, |_, p| u64::from(p.in_flight))?,
            Policy::TwoChoices => {
                let second = usable[(start + 1) % usable.len()];
                self.least(&[usable[start], second], 0, |_, p| p.load.wait.micros())?
            }
            Policy::FirstToken => self.least(&usable, start, |link, peer| {
                peer.first_token(wish, home == Some(link), now)
            })?,
        };
        let peer = self.peers.get(&link)?;
        Some(Chosen {
            link,
            uncached_tokens: peer.uncached_tokens(wish, home == Some(link), now),
            pending_prefill: peer.pending_prefill(now),
        })
    }

    /// Returns the upstream that gets a request which had better not go where others are,
    /// besides those `tried`; it goes there where nothing else is left.
    pub fn choose_distinct(
        &mut self,
        wish: &Criteria,
        tried: &[Link],
        policy: Policy,
        now: Time,
        draw: f64,
    ) -> Option<Chosen> {
        let chosen = self.choose(wish, policy, now, draw);
        let is_sound = |c: &Chosen| self.peers[&c.link].avoided <= now;
        if chosen.as_ref().is_some_and(is_sound) || wish.tried.len() == tried.len() {
            return chosen;
        }
        let wish = Criteria { tried, ..*wish };
        self.choose(&wish, policy, now, draw)
    }

    /// Keeps the links that rank highest for a turn.
    fn keep_few(&self, links: &mut Vec<Link>, few: Canary) {
        let subject = few.round.to_string();
        links.sort_by_cached_key(|l| subset::score(&subject, &self.peers[l].upstream));
        links.reverse();
        links.truncate(few.count);
    }

    /// Returns in how many data halls the upstreams of a pool are.
    pub fn hall_count(&self, pool: &PoolId) -> usize {
        let halls = self
            .working(pool)
            .filter_map(|(_, p)| p.placement.hall.as_ref());
        halls.collect::<BTreeSet<&Hall>>().len()
    }

    /// Returns the upstream that keeps a shared beginning for all entries, or those of a
    /// data hall: they agree on it without talking, so it is read once and stays in
    /// the cache there. Where the own data hall has none left, all have one.
    fn home(&self, links: &[Link], wish: &Criteria) -> Option<Link> {
        let shared = wish.shared_prefix?;
        let is_near = |l: &&Link| self.peers[*l].crossing(wish) == 0;
        let anywhere = wish.scope == Scope::All || !links.iter().any(|l| is_near(&l));
        let ranked = links.iter().filter(|l| anywhere || is_near(l));
        ranked
            .max_by_key(|l| self.peers[l].rank(shared.hash))
            .copied()
    }

    /// Returns the link with the least score; ties go to the first after `start`.
    fn least(
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

    /// Returns how many upstreams of a pool may get work.
    pub fn available_count(&self, pool: &PoolId) -> usize {
        self.working(pool).count()
    }

    /// Returns the least wait that the upstreams of a pool report.
    pub fn min_wait(&self, pool: &PoolId) -> Option<Span> {
        self.working(pool).map(|(_, p)| p.load.wait).min()
    }
}
