//! Rate limits of client accounts, enforced across entries without a counter in the platform's
//! store.
//!
//! Each limited client account has a *home*: the sidecar that ranks highest for its name by
//! rendezvous hashing. Entries report their demand to the home and get a share of the limit. Shares
//! of entries that have not reported yet count as given out, so all shares together never exceed
//! the limit. They may reach 1.1 times the limit while the entries use less than the limit though
//! their demand exceeds it, because an entry with bursty arrivals cannot use all of its share.
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

/// The capacity of a bucket, in seconds of its rate.
const BURST: f64 = 1.0;
/// The interval between reports of an entry's demand.
pub const REPORT_EVERY: Span = Span::from_millis(500);
/// How long a share is valid without renewal.
pub const GRANT_TTL: Span = Span::from_millis(5000);
/// The fraction of a limit that is split evenly, so that an entry whose traffic starts does not
/// have to wait for its first share.
const EVEN_FRACTION: f64 = 0.06;
/// The factor on an entry's mean demand by which its share is sized while the limit suffices, to
/// absorb bursts.
const HEADROOM: f64 = 1.05;
/// The largest sum of all shares, and the gain by which the sum follows the unused part.
const MAX_SHARE_SUM: f64 = 1.1;
const SHARE_SUM_GAIN: f64 = 0.1;
/// The weight of the newest report in the moving average of the demand.
const DEMAND_GAIN: f64 = 0.25;

/// A token bucket that can be overdrawn by charges known only afterwards.
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

    /// Changes the rate from `now` on.
    pub fn set_rate(&mut self, rate: Rate, now: Time) {
        self.fill(now);
        self.rate = rate;
        self.level = self.level.min(burst(rate));
    }

    /// Takes `n` tokens if the bucket holds that many; for an `n` above its capacity it must be
    /// full.
    ///
    /// # Errors
    ///
    /// Returns the time until enough tokens are available.
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

    /// Takes `n` tokens even if that overdraws the bucket, or returns tokens if `n` is negative.
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
    offered_requests: f64,
    offered_tokens: f64,
    admitted_requests: f64,
    admitted_tokens: f64,
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

/// An entry's demand on the limit of a client account.
#[derive(Clone, Debug, PartialEq)]
pub struct Demand {
    /// The client account.
    pub account: AccountId,
    /// The demand as a multiple of the limit.
    pub demand: f64,
    /// The admitted part, as a multiple of the limit.
    pub used: f64,
}

impl Limits {
    /// Sets the number of entries, by which a limit is divided until shares are assigned.
    pub fn set_entries(&mut self, entries: usize) {
        self.entries = entries.max(1);
    }

    /// Admits a request or returns when to retry.
    ///
    /// `tokens` is the expected usage of the request.
    ///
    /// # Errors
    ///
    /// Fails with a "not run" verdict if this entry's share of a limit is used up.
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
        own.offered_requests += 1.0;
        own.offered_tokens += f64::from(tokens);
        own.admit(f64::from(tokens), now)
    }

    /// Ends an admitted request and charges the tokens used beyond the expected usage.
    pub fn settle(&mut self, account: &AccountId, beyond: f64) {
        if let Some(own) = self.accounts.get_mut(account) {
            own.running = own.running.saturating_sub(1);
            if let Some((_, bucket)) = &mut own.tokens {
                bucket.charge(beyond);
            }
        }
    }

    /// Sets the share assigned by the account's home.
    pub fn set_share(&mut self, account: &AccountId, share: f64, now: Time) {
        if let Some(own) = self.accounts.get_mut(account) {
            own.share = share;
            own.granted = Some(now);
        }
    }

    /// Returns the demands to report, or nothing if the next report is not due.
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
            offered_requests: 0.0,
            offered_tokens: 0.0,
            admitted_requests: 0.0,
            admitted_tokens: 0.0,
            demand: 0.0,
            used: 0.0,
        }
    }

    /// Updates the buckets to the current settings and share.
    fn refresh(&mut self, node: &Node, even: f64, now: Time) {
        let is_fresh = self.granted.is_some_and(|t| now.since(t) < GRANT_TTL);
        if !is_fresh {
            // The home no longer bounds the sum of the shares, so this entry uses its even part at
            // most.
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
                .map_err(|wait| limit_error(limit, "requests", wait))?;
        }
        if let Some((limit, bucket)) = &mut self.tokens {
            let limit = *limit;
            if let Err(wait) = bucket.take(tokens, now) {
                if let Some((_, requests)) = &mut self.requests {
                    requests.charge(-1.0);
                }
                return Err(limit_error(limit, "tokens", wait));
            }
        }
        self.running += 1;
        self.admitted_requests += 1.0;
        self.admitted_tokens += tokens;
        Ok(())
    }

    fn take_demand(&mut self, account: &AccountId, passed: Span) -> Demand {
        let over = |demanded: f64, limit: &Option<(Rate, Bucket)>| match limit {
            Some((rate, _)) => demanded / passed.secs_f64() / rate.per_second().max(1e-6),
            None => 0.0,
        };
        let requests = over(self.offered_requests, &self.requests);
        let tokens = over(self.offered_tokens, &self.tokens);
        let admitted = over(self.admitted_requests, &self.requests);
        let admitted = admitted.max(over(self.admitted_tokens, &self.tokens));
        let running = match self.concurrency {
            Some(limit) => f64::from(self.running) / f64::from(limit.max(1)),
            None => 0.0,
        };
        self.offered_requests = 0.0;
        self.offered_tokens = 0.0;
        self.admitted_requests = 0.0;
        self.admitted_tokens = 0.0;
        let now = requests.max(tokens).max(running);
        self.demand += DEMAND_GAIN * (now - self.demand);
        self.used += DEMAND_GAIN * (admitted.max(running) - self.used);
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

fn limit_error(limit: Rate, what: &str, wait: Span) -> Failure {
    let message = format!("the limit of {limit} {what} is used up");
    Failure::not_run(Reason::LimitReached, message).retry_after(wait)
}

/// Assigns the shares of limits, at their home.
#[derive(Debug, Default)]
pub struct Allocator {
    accounts: BTreeMap<AccountId, Claims>,
    since: Option<Time>,
}

#[derive(Debug, Default)]
struct Claims {
    by_link: BTreeMap<Link, Claim>,
    /// How much the sum of the shares may exceed the limit.
    extra: f64,
    adjusted: Time,
}

#[derive(Clone, Copy, Debug)]
struct Claim {
    demand: f64,
    used: f64,
    share: f64,
    reported_at: Time,
}

impl Allocator {
    /// Records an entry's demand and returns its share.
    ///
    /// `entries` is the number of entries that may hold shares. It bounds each share while a new
    /// home does not know what its predecessor assigned.
    pub fn claim(&mut self, link: Link, demand: &Demand, entries: usize, now: Time) -> f64 {
        let started = *self.since.get_or_insert(now);
        let claims = self.accounts.entry(demand.account.clone()).or_default();
        let share = claims.update(link, demand, now);
        let is_warm = now.since(started) >= GRANT_TTL;
        if is_warm {
            claims.adjust(now);
        }
        let max_sum = 1.0 + claims.extra;
        let allocated = claims.allocated() - share;
        let mut share =
            (target(&claims.by_link, link) * max_sum).min((max_sum - allocated).max(0.0));
        if !is_warm {
            share = share.min(1.0 / entries.max(1) as f64);
        }
        if let Some(claim) = claims.by_link.get_mut(&link) {
            claim.share = share;
        }
        share
    }

    /// Removes an entry whose link is gone. Its share stays reserved, since the entry may go on
    /// using it for [`GRANT_TTL`].
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
    /// Records a demand and returns the entry's current share.
    fn update(&mut self, link: Link, demand: &Demand, now: Time) -> f64 {
        self.by_link
            .retain(|_, claim| now.since(claim.reported_at) < GRANT_TTL + GRANT_TTL);
        let share = self.by_link.get(&link).map_or(0.0, |claim| claim.share);
        let claim = Claim {
            demand: demand.demand,
            used: demand.used,
            share,
            reported_at: now,
        };
        self.by_link.insert(link, claim);
        share
    }

    fn allocated(&self) -> f64 {
        self.by_link.values().map(|claim| claim.share).sum()
    }

    /// Raises the sum of the shares while some go unused although the demand exceeds the limit, and
    /// lowers it otherwise.
    fn adjust(&mut self, now: Time) {
        if now.since(self.adjusted) < REPORT_EVERY {
            return;
        }
        self.adjusted = now;
        let used: f64 = self.by_link.values().map(|claim| claim.used).sum();
        let demanded: f64 = self.by_link.values().map(|claim| claim.demand).sum();
        let unused = if demanded > 1.0 { 1.0 - used } else { -1.0 };
        self.extra = (self.extra + SHARE_SUM_GAIN * unused).clamp(0.0, MAX_SHARE_SUM - 1.0);
    }
}

/// Returns the target share of a link: an even part for all, the rest by demand with max-min
/// fairness.
fn target(claims: &BTreeMap<Link, Claim>, link: Link) -> f64 {
    let even = EVEN_FRACTION / claims.len() as f64;
    let mut left = 1.0 - EVEN_FRACTION;
    let mut open: Vec<(Link, f64)> = claims.iter().map(|(l, c)| (*l, c.demand)).collect();
    open.sort_by(|a, b| a.1.total_cmp(&b.1));
    let mut own = even;
    for (i, (l, demand)) in open.iter().enumerate() {
        let fair = left / (open.len() - i) as f64;
        let granted_part = (demand * HEADROOM - even).clamp(0.0, fair);
        left -= granted_part;
        if *l == link {
            own += granted_part;
        }
    }
    // What is not requested is split evenly, as room for growth.
    own + left.max(0.0) / open.len() as f64
}
