//! Follows the tables of the platform's store.
//!
//! Each table is read whole once and followed from there, as far as this entry is to read
//! it ([`Reading`]). The operator's table is asked often, which also shows in time that the
//! store is out of reach; the others wait long and begin anew when it was.

use super::room::Message;
use super::shared::Shared;
use async_channel::{Receiver, Sender};
use async_std::task;
use futures_lite::FutureExt;
use sorreldeck::follow::Reading;
use sorreldeck::Span;
use sorreldeck_platform::store::{Page, Trouble};
use sorreldeck_platform::{Store, Table};
use std::sync::atomic::{AtomicU64, AtomicU8, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// How long the operator's table is waited on: a configuration must be in force
/// within 2 s even when a wait hangs on a connection that is dead.
const WAIT_OPERATOR: Duration = Duration::from_millis(2_500);
/// The same after it could not be read: a wait that hangs then must be given up, and
/// the table read, before 3 s after the end of the trouble, from when on what came in
/// force meanwhile counts. A hanging wait is given up 1.5 s after its time.
const WAIT_FAILING: Duration = Duration::from_millis(500);
/// How long the other tables are waited on; every call is priced.
const WAIT_OTHERS: Duration = Duration::from_millis(20_000);
/// How long after a change the next one is waited for, so that changes that come
/// one after another cost one call: on the larger sites 32 entries paid 0.12 of a
/// day for each upstream's row by itself. A leaving upstream must get nothing
/// more after 2 s, a configuration be in force after 2 s, and a bad release be
/// left sooner.
const GATHER_UPSTREAMS: Duration = Duration::from_millis(600);
const GATHER_OPERATOR: Duration = Duration::from_millis(250);
const GATHER_PROGRESS: Duration = Duration::from_millis(250);
/// What entries tell one another of a trial comes from all of them at once: 32
/// entries paid 775 of 2,434 calls of a quiet day for it at 250 ms. The first of
/// it comes at once.
const GATHER_OWN: Duration = Duration::from_millis(1_000);
/// The pauses after failures: from the first to the most.
const PAUSE_FIRST: Duration = Duration::from_millis(150);
const PAUSE_MOST: Duration = Duration::from_millis(600);

/// What a follower tells.
pub enum Update {
    /// Rows; `true` says that they are the whole table.
    Page(Page, bool),
    /// The table could not be read.
    Failed(Trouble),
}

/// What the follower of a table is to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Task {
    /// Nothing.
    Rest = 0,
    /// Read the table once.
    Once = 1,
    /// Follow it.
    Follow = 2,
}

/// What the loop tells the follower of a table.
#[derive(Debug, Default)]
struct Wanted {
    task: AtomicU8,
    /// The version that is known from elsewhere.
    known: AtomicU64,
    /// How long the operator's table is waited on, in microseconds.
    wait: AtomicU64,
}

impl Wanted {
    fn task(&self) -> Task {
        match self.task.load(Ordering::Relaxed) {
            0 => Task::Rest,
            1 => Task::Once,
            _ => Task::Follow,
        }
    }
}

/// The followers of all tables.
pub struct Feed {
    wanted: Vec<Arc<Wanted>>,
    bells: Vec<Sender<()>>,
}

impl Feed {
    /// Starts the followers, which read nothing yet.
    pub fn start(store: &Store, shared: &Shared) -> Feed {
        let mut feed = Feed {
            wanted: Vec::new(),
            bells: Vec::new(),
        };
        let mut rungs = Vec::new();
        for _ in Table::ALL {
            let (ring, rung) = async_channel::bounded(1);
            feed.bells.push(ring);
            feed.wanted.push(Arc::default());
            rungs.push(rung);
        }
        let others = Table::ALL.iter().zip(&feed.bells);
        let others = others.filter(|(table, _)| **table != Table::Operator);
        let others: Vec<Sender<()>> = others.map(|(_, bell)| bell.clone()).collect();
        for (number, rung) in rungs.into_iter().enumerate() {
            let table = Table::ALL[number];
            let bells = match table {
                Table::Operator => others.clone(),
                _ => Vec::new(),
            };
            let follower = Follower {
                store: store.clone(),
                shared: shared.clone(),
                table,
                wanted: feed.wanted[number].clone(),
                version: None,
                failures: 0,
            };
            task::spawn(follower.work(rung, bells));
        }
        feed
    }

    /// Sets what is read from now on. `handed` is how long the operator's table is waited
    /// on at most where its changes are handed on to others.
    pub fn read(&self, reading: Reading, handed: Option<Span>) {
        for (number, table) in Table::ALL.iter().enumerate() {
            let task = match (reading, table) {
                (Reading::All, _) | (Reading::Operator, Table::Operator) => Task::Follow,
                (Reading::Entries, Table::Own) => Task::Once,
                _ => Task::Rest,
            };
            let wanted = &self.wanted[number];
            let wait = handed.map_or(0, Span::micros);
            wanted.wait.store(wait, Ordering::Relaxed);
            if wanted.task.swap(task as u8, Ordering::Relaxed) != task as u8 {
                // A bell that has not been heard yet rings already.
                let _ = self.bells[number].try_send(());
            }
        }
    }

    /// Notes up to which version a table is known, from wherever.
    pub fn known(&self, table: Table, version: u64) {
        let known = &self.wanted[table as usize].known;
        known.fetch_max(version, Ordering::Relaxed);
    }
}

/// Returns how long changes of a table are gathered.
fn gathering(table: Table) -> Duration {
    match table {
        Table::Upstreams => GATHER_UPSTREAMS,
        Table::Operator => GATHER_OPERATOR,
        Table::Progress => GATHER_PROGRESS,
        Table::Own => GATHER_OWN,
    }
}

/// What a follower does next.
enum Turn {
    /// Pass on what was read.
    Read(Result<(Page, bool), Trouble>),
    /// Begin the wait anew.
    Anew,
    /// End, as the process does.
    End,
}

/// Waits for the bell, or for the end of the follower that rings it.
async fn wait(rung: &Receiver<()>) -> Turn {
    match rung.recv().await {
        Ok(()) => Turn::Anew,
        Err(_) => Turn::End,
    }
}

struct Follower {
    store: Store,
    shared: Shared,
    table: Table,
    wanted: Arc<Wanted>,
    version: Option<u64>,
    failures: u32,
}

impl Follower {
    /// Follows the table as long as that is wanted, until the process ends. `rung` begins
    /// the wait anew; `bells` are rung when the store comes back.
    async fn work(mut self, rung: Receiver<()>, bells: Vec<Sender<()>>) {
        loop {
            let turn = match self.wanted.task() {
                Task::Rest => wait(&rung).await,
                _ => {
                    let next = async { Turn::Read(self.next().await) };
                    next.or(wait(&rung)).await
                }
            };
            let goes_on = match turn {
                Turn::Read(read) => self.tell(read, &bells).await,
                Turn::Anew => true,
                Turn::End => false,
            };
            if !goes_on {
                return;
            }
        }
    }

    /// Returns how long a change is waited for. The other tables are waited on anew
    /// when the operator's can be read again.
    fn wait(&self) -> Duration {
        let handed = Duration::from_micros(self.wanted.wait.load(Ordering::Relaxed));
        match (self.table, self.failures) {
            (Table::Operator, 1..) => WAIT_FAILING,
            (Table::Operator, _) if handed.is_zero() => WAIT_OPERATOR,
            (Table::Operator, _) => handed.min(WAIT_OPERATOR),
            _ => WAIT_OTHERS,
        }
    }

    async fn next(&self) -> Result<(Page, bool), Trouble> {
        let known = self.wanted.known.load(Ordering::Relaxed);
        // What was handed on by others may be newer than what was read here.
        match self.version.or((known > 0).then_some(known)) {
            None => self.store.read(self.table).await.map(|page| (page, true)),
            Some(version) => {
                let version = version.max(known);
                let page = self.store.follow(self.table, version, self.wait()).await?;
                Ok((page, false))
            }
        }
    }

    /// Passes on what was read; returns whether the process still runs.
    async fn tell(&mut self, told: Result<(Page, bool), Trouble>, bells: &[Sender<()>]) -> bool {
        let gathers = matches!(&told, Ok((page, false)) if !page.rows.is_empty());
        let told = match told {
            Ok((page, whole)) => {
                self.version = Some(page.version);
                let once = (Task::Once as u8, Task::Rest as u8);
                // The loop may want more already; then that holds.
                let _ = self.wanted.task.compare_exchange(
                    once.0,
                    once.1,
                    Ordering::Relaxed,
                    Ordering::Relaxed,
                );
                if self.failures > 0 {
                    self.failures = 0;
                    for bell in bells {
                        // A bell that has not been heard yet rings already.
                        let _ = bell.try_send(());
                    }
                }
                Update::Page(page, whole)
            }
            Err(Trouble::Forgotten) => {
                self.version = None;
                self.wanted.known.store(0, Ordering::Relaxed);
                return true;
            }
            Err(trouble) => {
                self.failures += 1;
                Update::Failed(trouble)
            }
        };
        let message = Message::Store(self.table, told);
        if self.shared.send.send(message).await.is_err() {
            return false;
        }
        if gathers {
            task::sleep(gathering(self.table)).await;
        }
        if self.failures > 0 {
            let pause = PAUSE_FIRST * self.failures.min(4);
            task::sleep(pause.min(PAUSE_MOST)).await;
        }
        true
    }
}
