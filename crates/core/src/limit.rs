//! Rate limits of client accounts, held across entries without a counter in the
//! platform's table.
//!
//! Each limited client account has a *home*: the sidecar that ranks highest for
//! its name. Entries tell the home their demand once a second and get a share
//! of the limit. Shares of entries that have not spoken yet count as given, so
//! the shares handed out never add up to more than the whole, or 1.1 of it while
//! the entries together use less than the limit though more is asked for: an
//! entry whose arrivals bunch cannot use all of its share.
//!
//! ```
//! use sorreldeck::limit::Bucket;
//! use sorreldeck::{Rate, Time};
//!
//! let mut bucket = Bucket::new(Rate::from_per_second(10.0), Time(0));
//! while bucket.take(1.0, Time(0)).is_ok() {}
//! assert!(bucket.take(1.0, Time(0)).is_err());
//! assert!(bucket.take(1.0, Time(200_000)).is_ok());
//! ```

use crate::failure::{Failure, Reason};
use crate::id::AccountId;
use crate::pick::Link;
use crate::tree::Node;
use crate::unit::{Rate, Span, Time};
use std::collections::{BTreeMap, HashMap};

/// How much of a second's rate can be saved up.
const BURST: f64 = 1.0;
/// How often an entry reports its demand.
pub const REPORT_EVERY: Span = Span::from_millis(500);
/// How long a share holds that is not renewed.
pub const GRANT_TTL: Span = Span::from_millis(5000);
/// The part of a limit that is spread evenly, so that an entry whose traffic
/// begins does not have to wait for its first share.
const EVEN_PART: f64 = 0.06;
/// How much more than its mean demand an entry is given where there is enough,
/// since arrivals bunch.
const HEADROOM: f64 = 1.05;
/// The largest sum of the shares, and how fast it follows what goes unused.
const MOST_SHARES: f64 = 1.1;
const SHARES_GAIN: f64 = 0.1;
/// The weight of the newest report in the running mean of the demand.
const DEMAND_GAIN: f64 = 0.25;

/// A token bucket that may be overdrawn by charges known only afterwards.
#[derive(Clone, Debug)]
pub struct Bucket {
    rate: Rate,
    level: f64,
    filled: Time,
}

impl Bucket {
    /// Creates a full bucket.
    pub fn new(rate: Rate, now: Time) -> Bucket {
        Bucket {
            rate,
            level: burst(rate),
            filled: now,
        }
    }

    /// Changes the rate from now on.
    pub fn set_rate(&mut self, rate: Rate, now: Time) {
        self.fill(now);
        self.rate = rate;
        self.level = self.level.min(burst(rate));
    }

    /// Takes `n` if the bucket is not overdrawn.
    ///
    /// # Errors
    ///
    /// Returns the time until it will not be.
    pub fn take(&mut self, n: f64, now: Time) -> Result<(), Span> {
        self.fill(now);
        if self.level >= n.min(burst(self.rate)) {
            self.level -= n;
            return Ok(());
        }
        let missing = n.min(burst(self.rate)) - self.level;
        let rate = self.rate.per_second().max(1e-6);
        Err(Span::from_secs_f64(missing / rate))
    }

    /// Takes `n` even if that overdraws the bucket, or gives back if negative.
    pub fn charge(&mut self, n: f64) {
        self.level = (self.level - n).min(burst(self.rate));
    }

    fn fill(&mut self, now: Time) {
        let passed = now.since(self.filled).secs_f64();
        let level = self.level + passed * self.rate.per_second();
        self.level = level.min(burst(self.rate));
        self.filled = self.filled.max(now);
    }
}

fn burst(rate: Rate) -> f64 {
    (rate.per_second() * BURST).max(1.0)
}

/// The limits of one client account at one entry.
#[derive(Debug)]
struct Account {
    share: f64,
    granted: Option<Time>,
    requests: Option<(Rate, Bucket)>,
    tokens: Option<(Rate, Bucket)>,
    concurrency: Option<u32>,
    running: u32,
    asked_requests: f64,
    asked_tokens: f64,
    taken_requests: f64,
    taken_tokens: f64,
    demand: f64,
    used: f64,
}

/// The limits of all client accounts at one entry.
#[derive(Debug)]
pub struct Limits {
    accounts: HashMap<AccountId, Account>,
    entries: usize,
    reported: Time,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            accounts: HashMap::new(),
            entries: 1,
            reported: Time::default(),
        }
    }
}

/// What an entry wants of a client account's limit.
#[derive(Clone, Debug, PartialEq)]
pub struct Demand {
    /// The client account.
    pub account: AccountId,
    /// The demand as a multiple of the limit.
    pub demand: f64,
    /// What was taken in, as a multiple of the limit.
    pub used: f64,
}

impl Limits {
    /// Sets the number of entries, by which a limit is split until shares come.
    pub fn set_entries(&mut self, entries: usize) {
        self.entries = entries.max(1);
    }

    /// Takes a request in, or says when to come back.
    ///
    /// `tokens` is what the request is expected to use.
    ///
    /// # Errors
    ///
    /// Fails, not run, when the account's part of its limit is used up.
    pub fn admit(
        &mut self,
        account: &AccountId,
        node: &Node,
        tokens: u32,
        now: Time,
    ) -> Result<(), Failure> {
        if node.requests.is_none() && node.tokens.is_none() && node.concurrency.is_none() {
            return Ok(());
        }
        let even = 1.0 / self.entries as f64;
        let own = self
            .accounts
            .entry(account.clone())
            .or_insert_with(|| Account::new(even));
        own.refresh(node, even, now);
        own.asked_requests += 1.0;
        own.asked_tokens += f64::from(tokens);
        own.admit(f64::from(tokens), now)
    }

    /// Notes the end of a request and what it used beyond what was expected.
    pub fn settle(&mut self, account: &AccountId, beyond: f64) {
        if let Some(own) = self.accounts.get_mut(account) {
            own.running = own.running.saturating_sub(1);
            if let Some((_, bucket)) = &mut own.tokens {
                bucket.charge(beyond);
            }
        }
    }

    /// Notes a share given by the account's home.
    pub fn set_share(&mut self, account: &AccountId, share: f64, now: Time) {
        if let Some(own) = self.accounts.get_mut(account) {
            own.share = share;
            own.granted = Some(now);
        }
    }

    /// Returns the demands to be reported now, if it is time.
    pub fn report(&mut self, now: Time) -> Vec<Demand> {
        let passed = now.since(self.reported);
        if passed < REPORT_EVERY {
            return Vec::new();
        }
        self.reported = now;
        let mut demands: Vec<Demand> = self
            .accounts
            .iter_mut()
            .map(|(account, own)| own.take_demand(account, passed))
            .collect();
        demands.sort_by(|a, b| a.account.cmp(&b.account));
        demands
    }
}

impl Account {
    fn new(share: f64) -> Account {
        Account {
            share,
            granted: None,
            requests: None,
            tokens: None,
            concurrency: None,
            running: 0,
            asked_requests: 0.0,
            asked_tokens: 0.0,
            taken_requests: 0.0,
            taken_tokens: 0.0,
            demand: 0.0,
            used: 0.0,
        }
    }

    /// Brings the buckets to the settings and the share in force.
    fn refresh(&mut self, node: &Node, even: f64, now: Time) {
        let fresh = self.granted.is_some_and(|t| now.since(t) < GRANT_TTL);
        if !fresh {
            // Nobody keeps the sum any more, so no more than the even part.
            self.share = self.share.min(even);
            if self.granted.is_none() {
                self.share = even;
            }
        }
        set_bucket(&mut self.requests, node.requests, self.share, now);
        set_bucket(&mut self.tokens, node.tokens, self.share, now);
        self.concurrency = node.concurrency;
    }

    fn admit(&mut self, tokens: f64, now: Time) -> Result<(), Failure> {
        if let Some(limit) = self.concurrency {
            let part = (f64::from(limit) * self.share).round().max(1.0) as u32;
            if self.running >= part {
                let message = format!("{limit} requests at a time are allowed");
                return Err(Failure::not_run(Reason::LimitReached, message)
                    .retry_after(Span::from_millis(1000)));
            }
        }
        if let Some((limit, bucket)) = &mut self.requests {
            let limit = *limit;
            bucket
                .take(1.0, now)
                .map_err(|wait| reached(limit, "requests", wait))?;
        }
        if let Some((limit, bucket)) = &mut self.tokens {
            let limit = *limit;
            if let Err(wait) = bucket.take(tokens, now) {
                if let Some((_, requests)) = &mut self.requests {
                    requests.charge(-1.0);
                }
                return Err(reached(limit, "tokens", wait));
            }
        }
        self.running += 1;
        self.taken_requests += 1.0;
        self.taken_tokens += tokens;
        Ok(())
    }

    fn take_demand(&mut self, account: &AccountId, passed: Span) -> Demand {
        let over = |asked: f64, limit: &Option<(Rate, Bucket)>| match limit {
            Some((rate, _)) => asked / passed.secs_f64() / rate.per_second().max(1e-6),
            None => 0.0,
        };
        let requests = over(self.asked_requests, &self.requests);
        let tokens = over(self.asked_tokens, &self.tokens);
        let taken = over(self.taken_requests, &self.requests);
        let taken = taken.max(over(self.taken_tokens, &self.tokens));
        let running = match self.concurrency {
            Some(limit) => f64::from(self.running) / f64::from(limit.max(1)),
            None => 0.0,
        };
        self.asked_requests = 0.0;
        self.asked_tokens = 0.0;
        self.taken_requests = 0.0;
        self.taken_tokens = 0.0;
        let now = requests.max(tokens).max(running);
        self.demand += DEMAND_GAIN * (now - self.demand);
        self.used += DEMAND_GAIN * (taken.max(running) - self.used);
        Demand {
            account: account.clone(),
            demand: self.demand,
            used: self.used,
        }
    }
}

fn set_bucket(slot: &mut Option<(Rate, Bucket)>, limit: Option<Rate>, share: f64, now: Time) {
    let Some(limit) = limit else {
        *slot = None;
        return;
    };
    let part = Rate::from_per_second(limit.per_second() * share);
    match slot {
        Some((known, bucket)) => {
            *known = limit;
            if bucket.rate != part {
                bucket.set_rate(part, now);
            }
        }
        None => *slot = Some((limit, Bucket::new(part, now))),
    }
}

fn reached(limit: Rate, what: &str, wait: Span) -> Failure {
    let message = format!("the limit of {limit} {what} is used up");
    Failure::not_run(Reason::LimitReached, message).retry_after(wait)
}

/// The shares that a home hands out.
#[derive(Debug, Default)]
pub struct Allocator {
    accounts: BTreeMap<AccountId, Claims>,
    since: Option<Time>,
}

#[derive(Debug, Default)]
struct Claims {
    by_link: BTreeMap<Link, Claim>,
    /// What the shares may add up to beyond the whole.
    extra: f64,
    adjusted: Time,
}

#[derive(Clone, Copy, Debug)]
struct Claim {
    demand: f64,
    used: f64,
    share: f64,
    heard: Time,
}

impl Allocator {
    /// Notes an entry's demand and returns its share.
    ///
    /// `entries` is the number of entries that may claim, for the time in which
    /// a new home does not know yet what its forerunner handed out.
    pub fn claim(&mut self, link: Link, demand: &Demand, entries: usize, now: Time) -> f64 {
        let started = *self.since.get_or_insert(now);
        let claims = self.accounts.entry(demand.account.clone()).or_default();
        let share = claims.note(link, demand, now);
        let warm = now.since(started) >= GRANT_TTL;
        if warm {
            claims.adjust(now);
        }
        let most = 1.0 + claims.extra;
        let taken = claims.taken() - share;
        let mut share = (target(&claims.by_link, link) * most).min((most - taken).max(0.0));
        if !warm {
            share = share.min(1.0 / entries.max(1) as f64);
        }
        if let Some(claim) = claims.by_link.get_mut(&link) {
            claim.share = share;
        }
        share
    }

    /// Forgets an entry whose link is gone; its shares are free after
    /// [`GRANT_TTL`], since it may go on using them that long.
    pub fn remove_link(&mut self, link: Link) {
        for claims in self.accounts.values_mut() {
            if let Some(claim) = claims.by_link.get_mut(&link) {
                claim.demand = 0.0;
                claim.used = 0.0;
            }
        }
    }
}

impl Claims {
    /// Notes a demand and returns the share that the entry has until now.
    fn note(&mut self, link: Link, demand: &Demand, now: Time) -> f64 {
        self.by_link
            .retain(|_, claim| now.since(claim.heard) < GRANT_TTL + GRANT_TTL);
        let share = self.by_link.get(&link).map_or(0.0, |claim| claim.share);
        let claim = Claim {
            demand: demand.demand,
            used: demand.used,
            share,
            heard: now,
        };
        self.by_link.insert(link, claim);
        share
    }

    fn taken(&self) -> f64 {
        self.by_link.values().map(|claim| claim.share).sum()
    }

    /// Lets the shares add up to more while some go unused though more is asked
    /// for than there is, and takes it back otherwise.
    fn adjust(&mut self, now: Time) {
        if now.since(self.adjusted) < REPORT_EVERY {
            return;
        }
        self.adjusted = now;
        let used: f64 = self.by_link.values().map(|claim| claim.used).sum();
        let asked: f64 = self.by_link.values().map(|claim| claim.demand).sum();
        let unused = if asked > 1.0 { 1.0 - used } else { -1.0 };
        self.extra = (self.extra + SHARES_GAIN * unused).clamp(0.0, MOST_SHARES - 1.0);
    }
}

/// Returns the share that a link ought to have: an even part for all, and the
/// rest by demand, where nobody gets more than its demand while others lack.
fn target(claims: &BTreeMap<Link, Claim>, link: Link) -> f64 {
    let even = EVEN_PART / claims.len() as f64;
    let mut left = 1.0 - EVEN_PART;
    let mut open: Vec<(Link, f64)> = claims.iter().map(|(l, c)| (*l, c.demand)).collect();
    open.sort_by(|a, b| a.1.total_cmp(&b.1));
    let mut own = even;
    for (i, (l, demand)) in open.iter().enumerate() {
        let fair = left / (open.len() - i) as f64;
        let given = (demand * HEADROOM - even).clamp(0.0, fair);
        left -= given;
        if *l == link {
            own += given;
        }
    }
    // What nobody asked for is spread evenly, as room for growth.
    own + left.max(0.0) / open.len() as f64
}
