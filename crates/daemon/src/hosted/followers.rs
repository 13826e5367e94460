//! Tasks that follow the tables of the platform's store.
//!
//! Each table is read as a whole once and then followed by long polls, as far as this entry
//! reads it ([`Subscription`]). The operator table is polled with short waits. Its answers also
//! reveal in time that the store is unreachable and which version is the newest. The other
//! tables are polled with long waits, which restart when the store is reachable again or when
//! none of them delivered a change that the operator table announced.

use super::message::{Message, Outcome, Read};
use super::shared::Shared;
use crate::clock::{self, Clock};
use async_channel::{Receiver, Sender};
use async_std::task;
use futures_lite::FutureExt;
use sorreldeck::era::Stamp;
use sorreldeck::replication::Subscription;
use sorreldeck::Span;
use sorreldeck_platform::store::Trouble;
use sorreldeck_platform::{Store, Table};
use std::sync::atomic::{AtomicU64, AtomicU8, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// Wait of a poll of the operator table: a configuration must take effect within 2 s even if a
/// poll hangs on a dead connection.
const OPERATOR_WAIT: Duration = Duration::from_millis(2_500);
/// Wait of a poll of the other tables; every call is charged for.
const OTHERS_WAIT: Duration = Duration::from_millis(20_000);
/// Pause after a change before the next poll, so that consecutive changes cost one call. An
/// upstream that leaves must get no request after 2 s, a configuration must take effect within
/// 2 s, and a bad release must be abandoned sooner.
const UPSTREAMS_PAUSE: Duration = Duration::from_millis(600);
const OPERATOR_PAUSE: Duration = Duration::from_millis(250);
const PROGRESS_PAUSE: Duration = Duration::from_millis(250);
/// Records of a canary are written by all entries at once. The first one is delivered without
/// this pause.
const OWN_PAUSE: Duration = Duration::from_millis(1_000);
/// First and longest pause after failed calls.
const FIRST_RETRY_PAUSE: Duration = Duration::from_millis(150);
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(600);
/// Pause of the other tables after a failed call; they restart anyway when the operator table
/// can be read.
const OTHERS_RETRY_PAUSE: Duration = Duration::from_millis(2_000);
/// Bounds of the random pause in milliseconds for an entry that only checks whether the store
/// is reachable because its sources cannot reach it. It is random so that not all entries call
/// at once when the store recovers.
const PROBE_PAUSE_MS: (u64, u64) = (1_500, 2_500);

/// Time after the wait at which an answer for the operator table is overdue: a slow store takes
/// about 0.2 s.
const OVERDUE: Duration = Duration::from_millis(350);
/// Timeout of an additional call when an answer is overdue, and the pause before the next one.
const EXTRA_CALL_TIMEOUT: Duration = Duration::from_millis(500);
const EXTRA_CALL_PAUSE: Duration = Duration::from_millis(100);

/// What the follower of a table does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mode {
    /// Does not read the table.
    Idle = 0,
    /// Reads the table once.
    Once = 1,
    /// Follows the table.
    Follow = 2,
    /// Follows the table, with long random pauses while it cannot be read.
    Probe = 3,
}

/// Instructions of the event loop to the follower of a table.
#[derive(Debug, Default)]
struct Control {
    mode: AtomicU8,
    /// The version that is mirrored from any source, if it is of the store's current era.
    mirrored: Mutex<Option<Stamp>>,
    /// Maximum wait of a poll of the operator table, in microseconds; 0 for the default.
    wait: AtomicU64,
}

impl Control {
    fn mode(&self) -> Mode {
        match self.mode.load(Ordering::Relaxed) {
            0 => Mode::Idle,
            1 => Mode::Once,
            2 => Mode::Follow,
            _ => Mode::Probe,
        }
    }

    /// Returns the version that is mirrored from any source, if it is of the store's current
    /// era.
    fn mirrored(&self) -> Option<Stamp> {
        *self.mirrored.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn set_mirrored(&self, mirrored: Option<Stamp>) {
        *self.mirrored.lock().unwrap_or_else(PoisonError::into_inner) = mirrored;
    }

    /// Ends a single read, unless the event loop has changed the mode in the meantime.
    fn finish_single_read(&self) {
        let (once, idle) = (Mode::Once as u8, Mode::Idle as u8);
        let _ = self
            .mode
            .compare_exchange(once, idle, Ordering::Relaxed, Ordering::Relaxed);
    }
}

/// The followers of all tables.
pub struct Followers {
    controls: Vec<Arc<Control>>,
    wakers: Vec<Sender<()>>,
}

impl Followers {
    /// Starts the followers; they are idle at first.
    pub fn start(store: &Store, shared: &Shared, clock: &Clock) -> Followers {
        let mut followers = Followers {
            controls: Vec::new(),
            wakers: Vec::new(),
        };
        let mut receivers = Vec::new();
        for _ in Table::ALL {
            let (wake, woken) = async_channel::bounded(1);
            followers.wakers.push(wake);
            followers.controls.push(Arc::default());
            receivers.push(woken);
        }
        let others = Table::ALL.iter().zip(&followers.wakers);
        let others = others.filter(|(table, _)| **table != Table::Operator);
        let others: Vec<Sender<()>> = others.map(|(_, waker)| waker.clone()).collect();
        for (number, woken) in receivers.into_iter().enumerate() {
            let table = Table::ALL[number];
            let wakers = match table {
                Table::Operator => others.clone(),
                _ => Vec::new(),
            };
            let follower = Follower {
                store: store.clone(),
                shared: shared.clone(),
                table,
                control: followers.controls[number].clone(),
                clock: clock.clone(),
                version: None,
                times_forgotten: 0,
                has_answered: false,
                failures: 0,
            };
            task::spawn(follower.work(woken, wakers));
        }
        followers
    }

    /// Sets the maximum wait of a poll of the operator table where all tables are read. Its
    /// answers announce changes that the polls of other tables may have missed.
    pub fn set_max_wait(&self, wait: Option<Span>) {
        let wait = wait.map_or(0, Span::micros);
        let control = &self.controls[Table::Operator as usize];
        control.wait.store(wait, Ordering::Relaxed);
    }

    /// Sets which tables are read.
    pub fn read(&self, subscription: Subscription) {
        for (number, table) in Table::ALL.iter().enumerate() {
            let mode = match (subscription, table) {
                (Subscription::All, _) => Mode::Follow,
                (Subscription::Operator, Table::Operator) => Mode::Probe,
                (Subscription::Entries, Table::Own) => Mode::Once,
                _ => Mode::Idle,
            };
            let control = &self.controls[number];
            if control.mode.swap(mode as u8, Ordering::Relaxed) != mode as u8 {
                wake(&self.wakers[number]);
            }
        }
    }

    /// Aborts the long poll of a table and polls it at once.
    pub fn poll(&self, table: Table) {
        wake(&self.wakers[table as usize]);
    }

    /// Sets the version up to which a table is mirrored from any source, if it is of the
    /// store's current era.
    pub fn set_mirrored(&self, table: Table, mirrored: Option<Stamp>) {
        self.controls[table as usize].set_mirrored(mirrored);
    }
}

/// Wakes the follower of a table so that it polls at once.
fn wake(waker: &Sender<()>) {
    // If the channel is full, the follower has a pending wake-up already.
    let _ = waker.try_send(());
}

/// Returns the pause after this number of consecutive failures.
fn pause_after(failures: u32) -> Duration {
    MAX_RETRY_PAUSE.min(FIRST_RETRY_PAUSE * failures.min(4))
}

/// Returns a random pause within [`PROBE_PAUSE_MS`].
fn probe_pause() -> Duration {
    let (least, most) = PROBE_PAUSE_MS;
    let part = u64::from(clock::random::<1>()[0]);
    Duration::from_millis(least + (most - least) * part / 255)
}

/// Returns the pause after a change of a table.
fn pause_after_change(table: Table) -> Duration {
    match table {
        Table::Upstreams => UPSTREAMS_PAUSE,
        Table::Operator => OPERATOR_PAUSE,
        Table::Progress => PROGRESS_PAUSE,
        Table::Own | Table::Duties => OWN_PAUSE,
    }
}

/// The next step of a follower.
enum Step {
    /// Deliver the outcome of a call.
    Read(Result<Read, Trouble>),
    /// Poll at once.
    Poll,
    /// Stop, because the process ends.
    End,
}

/// Waits until the follower is woken, or until the process ends.
async fn wait(woken: &Receiver<()>) -> Step {
    match woken.recv().await {
        Ok(()) => Step::Poll,
        Err(_) => Step::End,
    }
}

struct Follower {
    store: Store,
    shared: Shared,
    table: Table,
    control: Arc<Control>,
    clock: Clock,
    /// The version up to which this follower has read the table; `None` if it must be read as a
    /// whole.
    version: Option<Stamp>,
    /// The number of consecutive times that the store had forgotten the changes.
    times_forgotten: u32,
    /// Whether the store has answered since the reading began.
    has_answered: bool,
    failures: u32,
}

impl Follower {
    /// Follows the table according to its mode until the process ends. `woken` makes it poll at
    /// once; it wakes `wakers` when the store is reachable again.
    async fn work(mut self, woken: Receiver<()>, wakers: Vec<Sender<()>>) {
        loop {
            // The next poll has no wait if the follower was woken, so further wake-ups are
            // redundant.
            while woken.try_recv().is_ok() {
                self.has_answered = false;
            }
            let step = match self.control.mode() {
                Mode::Idle => wait(&woken).await,
                _ => {
                    let next = async { Step::Read(self.next().await) };
                    next.or(wait(&woken)).await
                }
            };
            let pause = match step {
                Step::Read(read) => self.deliver(read, &wakers).await,
                Step::Poll => {
                    if self.has_answered {
                        // A poll without an answer may have hung on a silent connection.
                        self.store.reconnect().await;
                    }
                    self.has_answered = false;
                    Some(Duration::ZERO)
                }
                Step::End => None,
            };
            let Some(pause) = pause else {
                return;
            };
            if pause.is_zero() {
                continue;
            }
            // A wake-up ends the pause and makes the next poll immediate.
            let paused = async_std::future::timeout(pause, woken.recv()).await;
            match paused {
                Ok(Ok(())) => self.has_answered = false,
                Ok(Err(_)) => return,
                Err(_) => {}
            }
        }
    }

    /// Returns the pause after a failure.
    fn pause(&self) -> Duration {
        match (self.table, self.control.mode()) {
            (Table::Operator, Mode::Probe) => probe_pause(),
            (Table::Operator, _) => pause_after(self.failures),
            // The list of entries is needed for the start.
            (_, Mode::Once) => FIRST_RETRY_PAUSE,
            _ => OTHERS_RETRY_PAUSE,
        }
    }

    /// Returns the wait of the next poll. The polls of the other tables restart when the
    /// operator table can be read again.
    fn wait(&self) -> Duration {
        let max_wait = Duration::from_micros(self.control.wait.load(Ordering::Relaxed));
        match self.table {
            // When the reading begins, and after a failure, even an unchanged table must be
            // confirmed at once.
            _ if !self.has_answered => Duration::ZERO,
            Table::Operator if max_wait.is_zero() => OPERATOR_WAIT,
            Table::Operator => max_wait.min(OPERATOR_WAIT),
            _ => OTHERS_WAIT,
        }
    }

    /// Returns the version after which changes are polled, or `None` if the table must be read
    /// as a whole.
    fn base(&self) -> Option<Stamp> {
        match self.times_forgotten {
            // Other entries may have delivered a newer version than this follower read.
            0 => self.version.max(self.control.mirrored()),
            _ => self.version,
        }
    }

    /// Makes the next call. If the answer for the operator table is overdue, its connection may
    /// be dead, so it is polled over other connections as well and the first answer counts.
    async fn next(&self) -> Result<Read, Trouble> {
        let wait = self.wait();
        let first = self.call(wait);
        match (self.table, self.control.mode()) {
            (Table::Operator, Mode::Follow) => first.or(self.poll_besides(wait)).await,
            _ => first.await,
        }
    }

    /// Polls repeatedly without a wait once a call is overdue, until the store answers.
    async fn poll_besides(&self, wait: Duration) -> Result<Read, Trouble> {
        task::sleep(wait + OVERDUE).await;
        loop {
            // Other pooled connections are probably dead if one of them is.
            self.store.reconnect().await;
            let call = self.call(Duration::ZERO);
            let answer = async_std::future::timeout(EXTRA_CALL_TIMEOUT, call).await;
            if let Ok(answer @ (Ok(_) | Err(Trouble::HistoryLost))) = answer {
                return answer;
            }
            task::sleep(EXTRA_CALL_PAUSE).await;
        }
    }

    async fn call(&self, wait: Duration) -> Result<Read, Trouble> {
        let started = self.clock.now();
        let Some(base) = self.base() else {
            let page = self.store.read(self.table).await?;
            let whole = true;
            return Ok(Read {
                page,
                whole,
                started,
            });
        };
        let page = self.store.follow(self.table, base.version, wait).await?;
        // Versions of another era say nothing about the changes after this one.
        if page.era.is_some_and(|era| era != base.era) {
            return Err(Trouble::HistoryLost);
        }
        let whole = false;
        Ok(Read {
            page,
            whole,
            started,
        })
    }

    /// Delivers the outcome of a call. Returns the pause before the next one, or `None` if the
    /// process ends.
    async fn deliver(
        &mut self,
        outcome: Result<Read, Trouble>,
        wakers: &[Sender<()>],
    ) -> Option<Duration> {
        let has_changes = matches!(&outcome, Ok(read) if !read.whole && !read.page.rows.is_empty());
        let outcome = match outcome {
            Ok(read) => {
                if !read.whole {
                    self.times_forgotten = 0;
                }
                let era = read.page.era.or(self.base().map(|base| base.era));
                self.version = Some(Stamp::new(era.unwrap_or_default(), read.page.version));
                self.has_answered = true;
                self.control.finish_single_read();
                if self.failures > 0 {
                    self.failures = 0;
                    wakers.iter().for_each(wake);
                }
                Outcome::Page(read)
            }
            Err(Trouble::HistoryLost) => {
                let mirrored = self.base().unwrap_or_default();
                self.version = None;
                let pause = pause_after(self.times_forgotten);
                self.times_forgotten = self.times_forgotten.saturating_add(1);
                let message = Message::Store(self.table, Outcome::Forgotten(mirrored));
                self.shared.send.send(message).await.ok()?;
                return Some(pause);
            }
            Err(trouble) => {
                self.failures += 1;
                self.has_answered = false;
                Outcome::Failed(trouble)
            }
        };
        let message = Message::Store(self.table, outcome);
        self.shared.send.send(message).await.ok()?;
        Some(match self.failures {
            0 if has_changes => pause_after_change(self.table),
            0 => Duration::ZERO,
            _ => self.pause(),
        })
    }
}
