//! Which upstream of a pool gets a request.
//!
//! Each upstream in reach is scored by the time to the first token that it is
//! expected to give: the wait that it reported last, what this entry has sent
//! since, and the prefill of the prompt tokens that are not in its cache.
//!
//! ```
//! use sorreldeck::pick::{Near, Peers, Policy, Wish};
//! use sorreldeck::wire::Load;
//! use sorreldeck::Time;
//!
//! let mut peers = Peers::default();
//! let pool = "assistant".parse()?;
//! peers.join(1, "u1".parse()?, &pool, Load { slots: 4, ..Load::default() });
//! let wish = Wish { pool: &pool, tokens: 100, urgent: false, chain: &[], last: None, tried: &[], near: Near::default() };
//! assert_eq!(peers.pick(&wish, Policy::FirstToken, Time(0), 0.5), Some(1));
//! # Ok::<(), sorreldeck::Error>(())
//! ```

use crate::id::{Hall, PoolId, UpstreamId, VersionId};
use crate::release::Few;
use crate::subset;
use crate::unit::{Span, Time};
use crate::wire::Load;
use std::collections::{BTreeMap, HashMap};

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
pub struct Place {
    /// The data hall.
    pub hall: Option<Hall>,
    /// The release of its software.
    pub release: Option<VersionId>,
}

/// What a request wants of an upstream's place.
#[derive(Clone, Copy, Debug, Default)]
pub struct Near<'a> {
    /// The data hall that is cheap to reach.
    pub hall: Option<&'a Hall>,
    /// The release that must answer.
    pub release: Option<&'a VersionId>,
    /// Which few of the upstreams that run it may answer, if not all.
    pub few: Option<Few>,
}

/// What a request wants of an upstream.
#[derive(Clone, Copy, Debug)]
pub struct Wish<'a> {
    /// The pool.
    pub pool: &'a PoolId,
    /// The prompt tokens.
    pub tokens: u32,
    /// Whether the request may take a place kept for the priority class.
    pub urgent: bool,
    /// The beginnings of the prompt that may be cached, the shortest first.
    pub chain: &'a [Prefix],
    /// The upstream that answered the session last.
    pub last: Option<&'a UpstreamId>,
    /// The links already tried.
    pub tried: &'a [Link],
    /// Where the upstream ought to be.
    pub near: Near<'a>,
}

/// The prefixes that this entry remembers for each upstream: some 500 prompts
/// of a few thousand tokens fill the memory of an engine.
const PREFIXES: usize = 512;
/// What crossing to another data hall is taken to cost: so much longer may the
/// wait in the own hall be. Bytes between halls are dear, a prompt of 12 kB
/// costs about 3% of what its answer is worth.
const CROSSING: Span = Span::from_millis(60);
/// How long an upstream is passed over after its first failure in a row; each
/// further one doubles it.
const AVOID: Span = Span::from_millis(250);
/// The most doublings: 4 s, a little longer than a lapsed heartbeat takes.
const AVOID_DOUBLINGS: u32 = 4;
/// The prompt tokens a second assumed until an upstream reports its own.
const PREFILL: u32 = 8000;
/// How long a report of load counts in full; it fades over the same time again.
const REPORT_LIFE: Span = Span::from_millis(500);
/// What one request in flight is taken to add to the wait where nothing is
/// known of the upstream.
const UNKNOWN_SERVICE: Span = Span::from_millis(50);

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
    /// Whether it said goodbye.
    pub leaving: bool,
    /// Where it is and what it runs.
    pub place: Place,
    /// When anything came from it last.
    pub heard: Time,
    /// Until when it is passed over, since it failed.
    pub avoided: Time,
    strikes: u32,
    retired: bool,
    prefixes: HashMap<u64, u64>,
    stamp: u64,
}

/// The upstreams in reach of an entry, by pool.
#[derive(Clone, Debug, Default)]
pub struct Peers {
    peers: HashMap<Link, Peer>,
    pools: BTreeMap<PoolId, Vec<Link>>,
    turn: usize,
}

impl Peers {
    /// Adds an upstream.
    pub fn join(&mut self, link: Link, upstream: UpstreamId, pool: &PoolId, load: Load) {
        let peer = Peer {
            upstream,
            load,
            reported: Time::default(),
            in_flight: 0,
            since_report: 0,
            tokens_since: 0,
            leaving: false,
            place: Place::default(),
            heard: Time::default(),
            avoided: Time::default(),
            strikes: 0,
            retired: false,
            prefixes: HashMap::new(),
            stamp: 0,
        };
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
    pub fn goodbye(&mut self, link: Link) {
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
    pub fn sent(&mut self, link: Link, tokens: u32, chain: &[Prefix]) {
        let Some(peer) = self.peers.get_mut(&link) else {
            return;
        };
        peer.in_flight += 1;
        peer.since_report += 1;
        peer.tokens_since += tokens;
        for prefix in chain {
            peer.remember(*prefix);
        }
    }

    /// Sets where an upstream is and what it runs.
    pub fn settle(&mut self, link: Link, place: Place) {
        if let Some(peer) = self.peers.get_mut(&link) {
            peer.place = place;
        }
    }

    /// Notes that something came from an upstream.
    pub fn heard(&mut self, link: Link, now: Time) {
        if let Some(peer) = self.peers.get_mut(&link) {
            peer.heard = now;
        }
    }

    /// Notes that something came from every upstream, as far as can be known
    /// after this process itself stood still.
    pub fn heard_all(&mut self, now: Time) {
        for peer in self.peers.values_mut() {
            peer.heard = now;
        }
    }

    /// Notes a good answer.
    pub fn succeeded(&mut self, link: Link) {
        if let Some(peer) = self.peers.get_mut(&link) {
            peer.strikes = 0;
            peer.avoided = Time::default();
        }
    }

    /// Notes a failure: the upstream is passed over for a while.
    pub fn struck(&mut self, link: Link, now: Time) {
        if let Some(peer) = self.peers.get_mut(&link) {
            let span = AVOID.micros() << peer.strikes.min(AVOID_DOUBLINGS);
            peer.avoided = now + Span::from_micros(span);
            peer.strikes += 1;
        }
    }

    /// Returns the releases that the upstreams of a pool run, each with the
    /// number of them, without those that are leaving.
    pub fn releases(&self, pool: &PoolId) -> BTreeMap<&VersionId, usize> {
        let links = self.pools.get(pool).map_or(&[][..], Vec::as_slice);
        let staying = links.iter().map(|l| &self.peers[l]).filter(|p| !p.leaving);
        let mut releases = BTreeMap::new();
        for release in staying.filter_map(|p| p.place.release.as_ref()) {
            *releases.entry(release).or_default() += 1;
        }
        releases
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
    pub fn pick(&mut self, wish: &Wish, policy: Policy, now: Time, draw: f64) -> Option<Link> {
        let links = self.pools.get(wish.pool)?;
        let mut usable: Vec<Link> = links
            .iter()
            .copied()
            .filter(|l| !wish.tried.contains(l) && self.peers[l].suits(wish))
            .collect();
        if let Some(few) = wish.near.few {
            self.keep_few(&mut usable, few);
        }
        let sound = |l: &Link| self.peers[l].avoided <= now;
        if usable.iter().any(sound) {
            usable.retain(sound);
        }
        if usable.is_empty() {
            return None;
        }
        let start = (draw * usable.len() as f64) as usize % usable.len();
        match policy {
            Policy::RoundRobin => {
                self.turn = self.turn.wrapping_add(1);
                Some(usable[self.turn % usable.len()])
            }
            Policy::LeastInFlight => self.least(&usable, start, |p| u64::from(p.in_flight)),
            Policy::TwoChoices => {
                let second = usable[(start + 1) % usable.len()];
                self.least(&[usable[start], second], 0, |p| p.load.wait.micros())
            }
            Policy::FirstToken => self.least(&usable, start, |p| p.first_token(wish, now)),
        }
    }

    /// Keeps the links that rank highest for a turn.
    fn keep_few(&self, links: &mut Vec<Link>, few: Few) {
        let subject = few.turn.to_string();
        links.sort_by_cached_key(|l| subset::score(&subject, &self.peers[l].upstream));
        links.reverse();
        links.truncate(few.count);
    }

    /// Returns the link with the least score; ties go to the first after `start`.
    fn least(&self, links: &[Link], start: usize, score: impl Fn(&Peer) -> u64) -> Option<Link> {
        let (after, before) = (&links[start..], &links[..start]);
        after
            .iter()
            .chain(before)
            .min_by_key(|l| score(&self.peers[l]))
            .copied()
    }

    /// Returns how many upstreams of a pool are in reach.
    pub fn in_pool(&self, pool: &PoolId) -> usize {
        self.pools.get(pool).map_or(0, Vec::len)
    }

    /// Returns the least wait that the upstreams of a pool report.
    pub fn least_wait(&self, pool: &PoolId) -> Option<Span> {
        let links = self.pools.get(pool)?;
        links.iter().map(|l| self.peers[l].load.wait).min()
    }
}

impl Peer {
    /// Returns whether the upstream may be given the request at all.
    fn suits(&self, wish: &Wish) -> bool {
        let release = wish.near.release;
        !self.leaving && release.is_none_or(|r| self.place.release.as_ref() == Some(r))
    }

    /// Returns what crossing to the upstream's data hall costs, in microseconds.
    fn crossing(&self, wish: &Wish) -> u64 {
        let there = wish.near.hall.zip(self.place.hall.as_ref());
        match there.is_some_and(|(own, hall)| own != hall) {
            true => CROSSING.micros(),
            false => 0,
        }
    }

    /// Returns the tokens of the prompt that are cached, as far as this entry
    /// knows.
    fn cached(&self, wish: &Wish) -> u32 {
        if wish.last == Some(&self.upstream) {
            return wish.tokens;
        }
        let known = wish.chain.iter().rev();
        let mut known = known.filter(|p| self.prefixes.contains_key(&p.hash));
        known.next().map_or(0, |p| p.tokens.min(wish.tokens))
    }

    /// Returns the expected time to the first token, in microseconds.
    fn first_token(&self, wish: &Wish, now: Time) -> u64 {
        let prefill = match self.load.prefill {
            0 => PREFILL,
            known => known,
        };
        let fresh = u64::from(wish.tokens - self.cached(wish)) + u64::from(self.tokens_since);
        let work = fresh * 1_000_000 / u64::from(prefill);
        self.queue(wish.urgent, now) + work + self.crossing(wish)
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

    fn remember(&mut self, prefix: Prefix) {
        self.stamp += 1;
        self.prefixes.insert(prefix.hash, self.stamp);
        if self.prefixes.len() > PREFIXES {
            // Half at a time, so that most additions cost nothing.
            let oldest = self.stamp.saturating_sub(PREFIXES as u64 / 2);
            self.prefixes.retain(|_, stamp| *stamp > oldest);
        }
    }
}
