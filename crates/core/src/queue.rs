//! A queue that is fair between classes and, within a class, between client accounts.
//!
//! Both levels use start-time fair queueing: each flow has a virtual time that advances by cost
//! over weight as it is served, and the flow with the lowest virtual time goes next. A class with a
//! large weight therefore goes first whenever it was idle before, yet no class starves.
//!
//! ```
//! use sorreldeck::queue::{Item, Next, Queue};
//! use sorreldeck::{Class, Time};
//!
//! let mut queue = Queue::default();
//! for (name, class) in [("tariff note", Class::Bulk), ("dispute", Class::Priority)] {
//!     queue.push(Item {
//!         class,
//!         account: "billing".parse()?,
//!         weight: 1,
//!         cost: 100,
//!         deadline: Time(1_000_000),
//!         value: name,
//!     });
//! }
//! assert_eq!(queue.pop(Time(0), |_| true), Next::Ready("dispute"));
//! # Ok::<(), sorreldeck::Error>(())
//! ```

use crate::id::AccountId;
use crate::tree::Class;
use crate::unit::Time;
use std::collections::{BTreeMap, VecDeque};

/// Returns the weight of a class against the other classes.
fn class_weight(class: Class) -> f64 {
    match class {
        Class::Priority => 64.0,
        Class::Standard => 8.0,
        Class::Bulk => 1.0,
    }
}

/// A waiting request.
#[derive(Clone, Debug)]
pub struct Item<T> {
    /// The class.
    pub class: Class,
    /// The client account.
    pub account: AccountId,
    /// The weight of the client account.
    pub weight: u32,
    /// The expected cost, in tokens.
    pub cost: u32,
    /// The time after which the request is not started any more.
    pub deadline: Time,
    /// The request.
    pub value: T,
}

/// The result of [`Queue::pop`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Next<T> {
    /// A request to start.
    Ready(T),
    /// A request to refuse, as its deadline has passed.
    Expired(T),
    /// No eligible request waits.
    Empty,
}

/// A fair queue with deadlines.
#[derive(Debug)]
pub struct Queue<T> {
    classes: BTreeMap<Class, Lane<T>>,
    virtual_time: f64,
    len: usize,
    cost: u64,
}

#[derive(Debug)]
struct Lane<T> {
    flows: BTreeMap<AccountId, Flow<T>>,
    virtual_time: f64,
    start: f64,
    len: usize,
}

#[derive(Debug)]
struct Flow<T> {
    items: VecDeque<Item<T>>,
    start: f64,
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        Queue {
            classes: BTreeMap::new(),
            virtual_time: 0.0,
            len: 0,
            cost: 0,
        }
    }
}

impl<T> Default for Lane<T> {
    fn default() -> Self {
        Lane {
            flows: BTreeMap::new(),
            virtual_time: 0.0,
            start: 0.0,
            len: 0,
        }
    }
}

impl<T> Queue<T> {
    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the expected cost of all waiting requests, in tokens.
    pub fn cost(&self) -> u64 {
        self.cost
    }

    /// Returns the cost of the waiting requests that would be served before a new request of the
    /// class and client account, in tokens.
    pub fn cost_before(&self, class: Class, account: &AccountId, weight: u32) -> u64 {
        let ahead = self.classes.iter().map(|(other, lane)| {
            if *other > class {
                return lane.cost() as f64;
            }
            if *other < class {
                return 0.0;
            }
            let own = lane.flows.get(account).map_or(0.0, |f| f.cost() as f64);
            let others = lane
                .flows
                .iter()
                .filter(|(name, _)| *name != account)
                .map(|(_, flow)| {
                    let fair = own * flow.weight() / f64::from(weight.max(1));
                    (flow.cost() as f64).min(fair.max(flow.first_cost() as f64))
                });
            own + others.sum::<f64>()
        });
        ahead.sum::<f64>() as u64
    }

    /// Appends a request to the flow of its client account.
    pub fn push(&mut self, item: Item<T>) {
        let now = self.virtual_time;
        let lane = self.classes.entry(item.class).or_default();
        if lane.len == 0 {
            lane.start = lane.start.max(now);
        }
        self.len += 1;
        self.cost += u64::from(item.cost);
        lane.push(item);
    }

    /// Removes the next request among the eligible classes.
    pub fn pop(&mut self, now: Time, is_eligible: impl Fn(Class) -> bool) -> Next<T> {
        let next = self
            .classes
            .iter()
            .filter(|(class, lane)| lane.len > 0 && is_eligible(**class))
            .min_by(|(a, x), (b, y)| x.start.total_cmp(&y.start).then(b.cmp(a)))
            .map(|(class, _)| *class);
        let Some(class) = next else {
            return Next::Empty;
        };
        let lane = self.classes.get_mut(&class).expect("the class was found");
        let item = lane.pop();
        self.len -= 1;
        self.cost -= u64::from(item.cost);
        if item.deadline < now {
            return Next::Expired(item.value);
        }
        self.virtual_time = self.virtual_time.max(lane.start);
        lane.start += f64::from(item.cost) / class_weight(class);
        lane.charge(&item);
        Next::Ready(item.value)
    }

    /// Removes the requests that the predicate selects and those past their deadline.
    pub fn sweep(&mut self, now: Time, should_remove: impl Fn(&T) -> bool) -> Vec<T> {
        let mut removed = Vec::new();
        for lane in self.classes.values_mut() {
            lane.sweep(
                |item| item.deadline < now || should_remove(&item.value),
                &mut removed,
            );
        }
        self.len -= removed.len();
        let cost: u64 = removed.iter().map(|item| u64::from(item.cost)).sum();
        self.cost -= cost;
        removed.into_iter().map(|item| item.value).collect()
    }
}

impl<T> Lane<T> {
    fn cost(&self) -> u64 {
        self.flows.values().map(Flow::cost).sum()
    }

    fn push(&mut self, item: Item<T>) {
        let now = self.virtual_time;
        self.len += 1;
        let flow = self.flows.entry(item.account.clone()).or_insert(Flow {
            items: VecDeque::new(),
            start: now,
        });
        if flow.items.is_empty() {
            flow.start = flow.start.max(now);
        }
        flow.items.push_back(item);
    }

    fn pop(&mut self) -> Item<T> {
        self.len -= 1;
        let flow = self
            .flows
            .values_mut()
            .filter(|flow| !flow.items.is_empty())
            .min_by(|a, b| a.start.total_cmp(&b.start));
        let flow = flow.expect("a lane with a length holds an item");
        flow.items.pop_front().expect("the flow is not empty")
    }

    fn charge(&mut self, item: &Item<T>) {
        let Some(flow) = self.flows.get_mut(&item.account) else {
            return;
        };
        self.virtual_time = self.virtual_time.max(flow.start);
        flow.start += f64::from(item.cost) / f64::from(item.weight.max(1));
        let is_idle = flow.items.is_empty();
        // A flow with a low virtual time is dropped. One that used more than its share is kept, or
        // an account could clear its debt by pausing.
        if is_idle && flow.start <= self.virtual_time {
            self.flows.remove(&item.account);
        }
    }

    fn sweep(&mut self, should_remove: impl Fn(&Item<T>) -> bool, removed: &mut Vec<Item<T>>) {
        for flow in self.flows.values_mut() {
            if !flow.items.iter().any(&should_remove) {
                continue;
            }
            let items = std::mem::take(&mut flow.items);
            let (matching, kept): (Vec<_>, Vec<_>) = items.into_iter().partition(&should_remove);
            self.len -= matching.len();
            removed.extend(matching);
            flow.items = kept.into();
        }
    }
}

impl<T> Flow<T> {
    fn cost(&self) -> u64 {
        self.items.iter().map(|item| u64::from(item.cost)).sum()
    }

    fn first_cost(&self) -> u64 {
        self.items.front().map_or(0, |item| u64::from(item.cost))
    }

    fn weight(&self) -> f64 {
        self.items
            .front()
            .map_or(1.0, |i| f64::from(i.weight.max(1)))
    }
}
