//! Follows the tables of the platform's store.
//!
//! Each table is read whole once and followed from there. The operator's table
//! is asked often, which also shows in time that the store is out of reach; the
//! others wait long and begin anew when it was.

use super::room::Message;
use super::shared::Shared;
use async_channel::{Receiver, Sender};
use async_std::task;
use futures_lite::FutureExt;
use sorreldeck_platform::store::{Page, Trouble};
use sorreldeck_platform::{Store, Table};
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

/// Starts the followers of all tables.
pub fn start(store: &Store, shared: &Shared) {
    let others = Table::ALL.iter().filter(|t| **t != Table::Operator);
    let mut bells = Vec::new();
    for table in others {
        let (ring, rung) = async_channel::bounded(1);
        bells.push(ring);
        let follower = Follower::new(store, shared, *table, WAIT_OTHERS);
        task::spawn(follower.work(Some(rung), Vec::new()));
    }
    let follower = Follower::new(store, shared, Table::Operator, WAIT_OPERATOR);
    task::spawn(follower.work(None, bells));
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
    wait: Duration,
    version: Option<u64>,
    failures: u32,
}

impl Follower {
    fn new(store: &Store, shared: &Shared, table: Table, wait: Duration) -> Follower {
        Follower {
            store: store.clone(),
            shared: shared.clone(),
            table,
            wait,
            version: None,
            failures: 0,
        }
    }

    /// Follows the table until the process ends. `rung` begins the wait anew;
    /// `bells` are rung when the store comes back.
    async fn work(mut self, rung: Option<Receiver<()>>, bells: Vec<Sender<()>>) {
        loop {
            let next = async { Turn::Read(self.next().await) };
            let turn = match &rung {
                Some(rung) => next.or(wait(rung)).await,
                None => next.await,
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
        match (self.table, self.failures) {
            (Table::Operator, 1..) => WAIT_FAILING,
            _ => self.wait,
        }
    }

    async fn next(&self) -> Result<(Page, bool), Trouble> {
        match self.version {
            None => self.store.read(self.table).await.map(|page| (page, true)),
            Some(version) => {
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
