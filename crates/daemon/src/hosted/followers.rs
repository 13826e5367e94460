//! Follows the tables of the platform's store.
//!
//! Each table is read whole once and followed from there, as far as this entry is to read
//! it ([`Subscription`]). The operator's table is asked often, which also shows in time that the
//! store is out of reach, and which version is its newest; the others wait long and begin
//! anew when it was, or when a change that it named is told of by none of them.

use super::event_loop::Message;
use super::shared::Shared;
use crate::clock::{self, Clock};
use async_channel::{Receiver, Sender};
use async_std::task;
use futures_lite::FutureExt;
use sorreldeck::era::Stamp;
use sorreldeck::replication::Subscription;
use sorreldeck::{Span, Time};
use sorreldeck_platform::store::{Page, Trouble};
use sorreldeck_platform::{Store, Table};
use std::sync::atomic::{AtomicU64, AtomicU8, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// How long the operator's table is waited on: a configuration must be in force
/// within 2 s even when a wait hangs on a connection that is dead.
const WAIT_OPERATOR: Duration = Duration::from_millis(2_500);
/// How long the other tables are waited on; every call is priced.
const WAIT_OTHERS: Duration = Duration::from_millis(20_000);
/// How long after a change the next one is waited for, so that changes that come
/// one after another cost one call. A leaving upstream must get nothing more after 2 s, a
/// configuration be in force after 2 s, and a bad release be left sooner.
const GATHER_UPSTREAMS: Duration = Duration::from_millis(600);
const GATHER_OPERATOR: Duration = Duration::from_millis(250);
const GATHER_PROGRESS: Duration = Duration::from_millis(250);
/// What entries tell one another of a trial comes from all of them at once, and the first of it
/// comes at once.
const GATHER_OWN: Duration = Duration::from_millis(1_000);
/// The pauses after failures: from the first to the most.
const PAUSE_FIRST: Duration = Duration::from_millis(150);
const PAUSE_MOST: Duration = Duration::from_millis(600);
/// The pause of the other tables, which begin anew anyway when the operator's can be read.
const PAUSE_OTHERS: Duration = Duration::from_millis(2_000);
/// The pauses of an entry that asks only whether the store is there, since its sources
/// cannot reach it: within these bounds at random, so that not all ask at once when it
/// comes back.
const PAUSE_PROBE: (u64, u64) = (1_500, 2_500);

/// How long after its wait an answer for the operator's table is overdue: one of a slow store takes
/// some 0.2 s.
const OVERDUE: Duration = Duration::from_millis(350);
/// How long a call besides one that is overdue may take, and the pause before the next.
const ASK_EVERY: Duration = Duration::from_millis(500);
const ASK_PAUSE: Duration = Duration::from_millis(100);

/// What was read of a table.
pub struct Read {
    /// The rows.
    pub page: Page,
    /// Whether they are the whole table.
    pub whole: bool,
    /// When they were asked for.
    pub asked: Time,
}

/// What a follower tells.
pub enum Outcome {
    /// Rows.
    Page(Read),
    /// The table could not be read.
    Failed(Trouble),
    /// The changes after the version that was known are forgotten, or it is of another era; the
    /// table is read whole.
    Forgotten(Stamp),
}

/// What the follower of a table is to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mode {
    /// Nothing.
    Idle = 0,
    /// Read the table once.
    Once = 1,
    /// Follow it.
    Follow = 2,
    /// Follow it, and ask seldom while it cannot be read.
    Probe = 3,
}

/// What the loop tells the follower of a table.
#[derive(Debug, Default)]
struct Control {
    task: AtomicU8,
    /// What is known from wherever, if that is of the era of the store.
    known: Mutex<Option<Stamp>>,
    /// How long the operator's table is waited on at most, in microseconds; 0 for as long as
    /// usual.
    wait: AtomicU64,
}

impl Control {
    fn task(&self) -> Mode {
        match self.task.load(Ordering::Relaxed) {
            0 => Mode::Idle,
            1 => Mode::Once,
            2 => Mode::Follow,
            _ => Mode::Probe,
        }
    }

    /// Returns what is known from wherever, if that is of the era of the store.
    fn known(&self) -> Option<Stamp> {
        *self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn set_known(&self, known: Option<Stamp>) {
        *self.known.lock().unwrap_or_else(PoisonError::into_inner) = known;
    }

    /// Notes that the table was read; where it was to be read once, nothing more is to be
    /// done, unless the loop wants more already.
    fn done_once(&self) {
        let (once, rest) = (Mode::Once as u8, Mode::Idle as u8);
        let _ = self
            .task
            .compare_exchange(once, rest, Ordering::Relaxed, Ordering::Relaxed);
    }
}

/// The followers of all tables.
pub struct Followers {
    wanted: Vec<Arc<Control>>,
    bells: Vec<Sender<()>>,
}

impl Followers {
    /// Starts the followers, which read nothing yet.
    pub fn start(store: &Store, shared: &Shared, clock: &Clock) -> Followers {
        let mut feed = Followers {
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
                clock: clock.clone(),
                version: None,
                forgotten: 0,
                answered: false,
                failures: 0,
            };
            task::spawn(follower.work(rung, bells));
        }
        feed
    }

    /// Sets how long the operator's table is waited on at most, where all tables are read:
    /// its answers name the changes that other waits may not have told of.
    pub fn wait_at_most(&self, wait: Option<Span>) {
        let wait = wait.map_or(0, Span::micros);
        let wanted = &self.wanted[Table::Operator as usize];
        wanted.wait.store(wait, Ordering::Relaxed);
    }

    /// Sets what is read from now on.
    pub fn read(&self, reading: Subscription) {
        for (number, table) in Table::ALL.iter().enumerate() {
            let task = match (reading, table) {
                (Subscription::All, _) => Mode::Follow,
                (Subscription::Operator, Table::Operator) => Mode::Probe,
                (Subscription::Entries, Table::Own) => Mode::Once,
                _ => Mode::Idle,
            };
            let wanted = &self.wanted[number];
            if wanted.task.swap(task as u8, Ordering::Relaxed) != task as u8 {
                ring(&self.bells[number]);
            }
        }
    }

    /// Breaks off the wait for a table, and asks for it at once.
    pub fn ask(&self, table: Table) {
        ring(&self.bells[table as usize]);
    }

    /// Notes up to which version a table is known, from wherever, in the era of the store.
    pub fn known(&self, table: Table, known: Option<Stamp>) {
        self.wanted[table as usize].set_known(known);
    }
}

/// Lets the follower of a table begin anew.
fn ring(bell: &Sender<()>) {
    // A bell that has not been heard yet rings already.
    let _ = bell.try_send(());
}

/// Returns the pause after so many calls in a row that were in vain.
fn pause_after(times: u32) -> Duration {
    PAUSE_MOST.min(PAUSE_FIRST * times.min(4))
}

/// Returns a pause at random within the bounds of those that only look.
fn pause_of_probe() -> Duration {
    let (least, most) = PAUSE_PROBE;
    let part = u64::from(clock::random::<1>()[0]);
    Duration::from_millis(least + (most - least) * part / 255)
}

/// Returns how long changes of a table are gathered.
fn gathering(table: Table) -> Duration {
    match table {
        Table::Upstreams => GATHER_UPSTREAMS,
        Table::Operator => GATHER_OPERATOR,
        Table::Progress => GATHER_PROGRESS,
        Table::Own | Table::Duties => GATHER_OWN,
    }
}

/// What a follower does next.
enum Turn {
    /// Pass on what was read.
    Read(Result<Read, Trouble>),
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
    wanted: Arc<Control>,
    clock: Clock,
    /// Up to which version the table was read here; `None` where it must be read whole.
    version: Option<Stamp>,
    /// How often in a row the table had to be read whole.
    forgotten: u32,
    /// Whether the store has answered since the reading began.
    answered: bool,
    failures: u32,
}

impl Follower {
    /// Follows the table as long as that is wanted, until the process ends. `rung` begins
    /// the wait anew; `bells` are rung when the store comes back.
    async fn work(mut self, rung: Receiver<()>, bells: Vec<Sender<()>>) {
        loop {
            // The next call asks at once by itself after a bell.
            while rung.try_recv().is_ok() {
                self.answered = false;
            }
            let turn = match self.wanted.task() {
                Mode::Idle => wait(&rung).await,
                _ => {
                    let next = async { Turn::Read(self.next().await) };
                    next.or(wait(&rung)).await
                }
            };
            let pause = match turn {
                Turn::Read(read) => self.tell(read, &bells).await,
                Turn::Anew => {
                    if self.answered {
                        // A wait that told nothing may have hung on a silent connection.
                        self.store.reconnect().await;
                    }
                    self.answered = false;
                    Some(Duration::ZERO)
                }
                Turn::End => None,
            };
            let Some(pause) = pause else {
                return;
            };
            if pause.is_zero() {
                continue;
            }
            // A bell ends the pause; the next turn finds that it rang.
            let paused = async_std::future::timeout(pause, rung.recv()).await;
            match paused {
                Ok(Ok(())) => self.answered = false,
                Ok(Err(_)) => return,
                Err(_) => {}
            }
        }
    }

    /// Returns how long to wait after a failure.
    fn pause(&self) -> Duration {
        match (self.table, self.wanted.task()) {
            (Table::Operator, Mode::Probe) => pause_of_probe(),
            (Table::Operator, _) => pause_after(self.failures),
            // The list of entries is needed to begin.
            (_, Mode::Once) => PAUSE_FIRST,
            _ => PAUSE_OTHERS,
        }
    }

    /// Returns how long a change is waited for. The other tables are waited on anew
    /// when the operator's can be read again.
    fn wait(&self) -> Duration {
        let handed = Duration::from_micros(self.wanted.wait.load(Ordering::Relaxed));
        match self.table {
            // That nothing has changed must be known at once when the reading begins, and
            // after a failure.
            _ if !self.answered => Duration::ZERO,
            Table::Operator if handed.is_zero() => WAIT_OPERATOR,
            Table::Operator => handed.min(WAIT_OPERATOR),
            _ => WAIT_OTHERS,
        }
    }

    /// Returns the version from which changes are waited for, or `None` where the table is read
    /// whole.
    fn base(&self) -> Option<Stamp> {
        match self.forgotten {
            // What was handed on by others may be newer than what was read here.
            0 => self.version.max(self.wanted.known()),
            _ => self.version,
        }
    }

    /// Reads what comes next. Where the operator's table is not answered for in time, the connection
    /// may be dead: it is asked for over others as well, and the first answer counts.
    async fn next(&self) -> Result<Read, Trouble> {
        let wait = self.wait();
        let first = self.call(wait);
        match (self.table, self.wanted.task()) {
            (Table::Operator, Mode::Follow) => first.or(self.ask_besides(wait)).await,
            _ => first.await,
        }
    }

    /// Asks again and again after a wait that ought to have ended, until an answer comes.
    async fn ask_besides(&self, wait: Duration) -> Result<Read, Trouble> {
        task::sleep(wait + OVERDUE).await;
        loop {
            // Those that are kept beside a dead connection are most likely dead, too.
            self.store.reconnect().await;
            let call = self.call(Duration::ZERO);
            let answer = async_std::future::timeout(ASK_EVERY, call).await;
            if let Ok(answer @ (Ok(_) | Err(Trouble::HistoryLost))) = answer {
                return answer;
            }
            task::sleep(ASK_PAUSE).await;
        }
    }

    async fn call(&self, wait: Duration) -> Result<Read, Trouble> {
        let asked = self.clock.now();
        let Some(base) = self.base() else {
            let page = self.store.read(self.table).await?;
            let whole = true;
            return Ok(Read { page, whole, asked });
        };
        let page = self.store.follow(self.table, base.version, wait).await?;
        // Versions of another era say nothing about what came after this one.
        if page.era.is_some_and(|era| era != base.era) {
            return Err(Trouble::HistoryLost);
        }
        let whole = false;
        Ok(Read { page, whole, asked })
    }

    /// Passes on what was read; returns how long to wait then, or `None` where the process
    /// ends.
    async fn tell(
        &mut self,
        told: Result<Read, Trouble>,
        bells: &[Sender<()>],
    ) -> Option<Duration> {
        let gathers = matches!(&told, Ok(read) if !read.whole && !read.page.rows.is_empty());
        let told = match told {
            Ok(read) => {
                if !read.whole {
                    self.forgotten = 0;
                }
                let era = read.page.era.or(self.base().map(|base| base.era));
                self.version = Some(Stamp::new(era.unwrap_or_default(), read.page.version));
                self.answered = true;
                self.wanted.done_once();
                if self.failures > 0 {
                    self.failures = 0;
                    bells.iter().for_each(ring);
                }
                Outcome::Page(read)
            }
            Err(Trouble::HistoryLost) => {
                let known = self.base().unwrap_or_default();
                self.version = None;
                let pause = pause_after(self.forgotten);
                self.forgotten = self.forgotten.saturating_add(1);
                let message = Message::Store(self.table, Outcome::Forgotten(known));
                self.shared.send.send(message).await.ok()?;
                return Some(pause);
            }
            Err(trouble) => {
                self.failures += 1;
                self.answered = false;
                Outcome::Failed(trouble)
            }
        };
        let message = Message::Store(self.table, told);
        self.shared.send.send(message).await.ok()?;
        Some(match self.failures {
            0 if gathers => gathering(self.table),
            0 => Duration::ZERO,
            _ => self.pause(),
        })
    }
}
