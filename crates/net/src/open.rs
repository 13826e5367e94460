//! The connections that a listener keeps open, and what becomes of those beyond.
//!
//! ```
//! use sorreldeck_net::open::Bound;
//!
//! // A readiness check: answers are short, so whoever was first can go.
//! let bound = Bound::Oldest(64);
//! assert_eq!(bound.max(), Some(64));
//! ```

use async_std::task::{self, JoinHandle};
use log::warn;
use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// The time between two log lines about connections that were closed.
const LOG_INTERVAL: Duration = Duration::from_secs(5);

/// What becomes of connections beyond the most that a listener keeps open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Bound {
    /// There is no bound.
    None,
    /// The connection that has been open longest is closed, as befits short answers.
    Oldest(usize),
    /// New connections are closed unread.
    New(usize),
}

impl Bound {
    /// Returns the most connections that are kept open, if there is a bound.
    pub fn max(self) -> Option<usize> {
        match self {
            Bound::None => None,
            Bound::Oldest(max) | Bound::New(max) => Some(max),
        }
    }
}

/// The connections by their numbers, which follow the order in which they were opened.
type Tasks = Arc<Mutex<BTreeMap<u64, JoinHandle<()>>>>;

/// The open connections of a listener.
pub struct Open {
    bound: Bound,
    address: Option<SocketAddr>,
    tasks: Tasks,
    next: u64,
    /// The connections that were closed since the last log line, and when that was.
    closed: u64,
    logged_at: Option<Instant>,
}

impl Open {
    /// Creates the list of a listener at an address, which log lines name.
    pub fn new(bound: Bound, address: Option<SocketAddr>) -> Open {
        Open {
            bound,
            address,
            tasks: Tasks::default(),
            next: 0,
            closed: 0,
            logged_at: None,
        }
    }

    /// Makes room for a new connection; returns whether there is some.
    pub async fn make_room(&mut self) -> bool {
        let oldest = {
            let mut tasks = lock(&self.tasks);
            if self.bound.max().is_none_or(|max| tasks.len() < max) {
                return true;
            }
            match self.bound {
                Bound::Oldest(_) => tasks.pop_first(),
                _ => None,
            }
        };
        self.count_closed();
        let Some((_, oldest)) = oldest else {
            return false;
        };
        oldest.cancel().await;
        true
    }

    fn count_closed(&mut self) {
        self.closed += 1;
        if self.logged_at.is_some_and(|at| at.elapsed() < LOG_INTERVAL) {
            return;
        }
        let at = self.address.map_or_else(String::new, |a| a.to_string());
        let max = self.bound.max().unwrap_or_default();
        warn!(
            "event=connections-closed at={at} open={max} closed={}",
            self.closed
        );
        self.closed = 0;
        self.logged_at = Some(Instant::now());
    }

    /// Runs a connection, which counts as open until it ends.
    pub fn run(&mut self, connection: impl Future<Output = ()> + Send + 'static) {
        let number = self.next;
        self.next += 1;
        let all = self.tasks.clone();
        // A connection that ends at once waits here until it is in the list.
        let mut tasks = lock(&self.tasks);
        let task = task::spawn(async move {
            connection.await;
            lock(&all).remove(&number);
        });
        tasks.insert(number, task);
    }
}

fn lock(tasks: &Tasks) -> MutexGuard<'_, BTreeMap<u64, JoinHandle<()>>> {
    tasks.lock().unwrap_or_else(|e| e.into_inner())
}
