//! The platform in memory, with faults that can be switched on.
//!
//! ```
//! use sorreldeck_net::platform::{Faults, Memory, Trouble};
//!
//! # async_std::task::block_on(async {
//! let memory = Memory::default();
//! memory.set_faults(Faults { down: true, ..Faults::default() });
//! assert!(matches!(memory.get("head").await, Err(Trouble::Down(_))));
//! # });
//! ```

use super::{Answer, Commit, Instance, Result, Row, Transaction, Trouble};
use async_std::task;
use serde::{Deserialize, Serialize};
use sorreldeck::Span;
use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// The faults of the platform.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Table and object store refuse every call.
    pub down: bool,
    /// The time that every call takes longer.
    pub slow: Option<Span>,
    /// The next writes, so many of them, take effect but are not answered.
    pub lose_answers: u32,
    /// How far the list of instances lags.
    pub list_lag: Option<Span>,
    /// The list of instances is out of reach too.
    pub list_down: bool,
    /// How long a rating takes.
    pub rating_lag: Option<Span>,
}

type Rater = Box<dyn Fn(&Answer) -> Option<f64> + Send + Sync>;

/// The platform in memory.
#[derive(Default)]
pub struct Memory {
    state: Mutex<State>,
    rater: Mutex<Option<Rater>>,
}

#[derive(Default)]
struct State {
    rows: BTreeMap<String, Row>,
    objects: BTreeMap<String, Vec<u8>>,
    instances: Vec<(Instant, Vec<Instance>)>,
    faults: Faults,
    clock: u64,
    reads: u64,
    writes: u64,
}

/// How many calls the platform has answered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Calls {
    /// The reads of rows and objects.
    pub reads: u64,
    /// The transactions and objects written.
    pub writes: u64,
}

impl Memory {
    fn state(&self) -> MutexGuard<'_, State> {
        // A panic elsewhere leaves the maps whole: each change is one insert.
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Switches faults on and off.
    pub fn set_faults(&self, faults: Faults) {
        self.state().faults = faults;
    }

    /// Returns the faults that are on.
    pub fn faults(&self) -> Faults {
        self.state().faults.clone()
    }

    /// Returns how many calls were answered.
    pub fn calls(&self) -> Calls {
        let state = self.state();
        Calls {
            reads: state.reads,
            writes: state.writes,
        }
    }

    /// Sets how answers are rated; `None` stands for no rating.
    pub fn set_rater(&self, rater: impl Fn(&Answer) -> Option<f64> + Send + Sync + 'static) {
        *self.rater.lock().unwrap_or_else(|e| e.into_inner()) = Some(Box::new(rater));
    }

    /// Puts a list of instances in place of the last.
    pub fn set_instances(&self, instances: Vec<Instance>) {
        self.state().instances.push((Instant::now(), instances));
    }

    /// Returns the latest list of instances, without lag or faults.
    pub fn latest_instances(&self) -> Vec<Instance> {
        let state = self.state();
        state
            .instances
            .last()
            .map(|(_, l)| l.clone())
            .unwrap_or_default()
    }

    async fn slow(&self) {
        let slow = self.state().faults.slow;
        if let Some(span) = slow {
            task::sleep(span.into()).await;
        }
    }

    fn reach(&self) -> Result<MutexGuard<'_, State>> {
        let state = self.state();
        match state.faults.down {
            true => Err(Trouble::Down("switched off".into())),
            false => Ok(state),
        }
    }

    /// See [`super::Platform::get`].
    pub async fn get(&self, key: &str) -> Result<Option<Row>> {
        self.slow().await;
        let mut state = self.reach()?;
        state.reads += 1;
        Ok(state.rows.get(key).cloned())
    }

    /// See [`super::Platform::list`].
    pub async fn list(&self, prefix: &str) -> Result<BTreeMap<String, Row>> {
        self.slow().await;
        let mut state = self.reach()?;
        state.reads += 1;
        let from = state.rows.range(prefix.to_owned()..);
        let rows = from.take_while(|(key, _)| key.starts_with(prefix));
        Ok(rows.map(|(k, r)| (k.clone(), r.clone())).collect())
    }

    /// See [`super::Platform::commit`].
    pub async fn commit(&self, transaction: &Transaction) -> Result<Commit> {
        self.slow().await;
        let mut state = self.reach()?;
        state.writes += 1;
        let version = |key: &String| state.rows.get(key).map_or(0, |row| row.version);
        let clash = transaction
            .expect
            .iter()
            .find(|(key, expected)| version(key) != **expected);
        if let Some((key, _)) = clash {
            return Ok(Commit::Conflict(key.clone()));
        }
        for (key, value) in &transaction.put {
            state.put_row(key, value.clone());
        }
        state.answer(Commit::Done)
    }

    /// See [`super::Platform::put_object`].
    pub async fn put_object(&self, name: &str, data: Vec<u8>) -> Result<()> {
        self.slow().await;
        let mut state = self.reach()?;
        state.writes += 1;
        state.objects.insert(name.to_owned(), data);
        state.answer(())
    }

    /// See [`super::Platform::get_object`].
    pub async fn get_object(&self, name: &str) -> Result<Option<Vec<u8>>> {
        self.slow().await;
        let mut state = self.reach()?;
        state.reads += 1;
        Ok(state.objects.get(name).cloned())
    }

    /// See [`super::Platform::list_objects`].
    pub async fn list_objects(&self, prefix: &str) -> Result<Vec<String>> {
        self.slow().await;
        let mut state = self.reach()?;
        state.reads += 1;
        let from = state.objects.range(prefix.to_owned()..);
        let names = from.map(|(name, _)| name.clone());
        Ok(names.take_while(|name| name.starts_with(prefix)).collect())
    }

    /// See [`super::Platform::instances`].
    pub async fn instances(&self) -> Result<Vec<Instance>> {
        let state = self.state();
        if state.faults.list_down {
            return Err(Trouble::Down("switched off".into()));
        }
        let lag: Duration = state.faults.list_lag.unwrap_or_default().into();
        let lists = state.instances.iter().rev();
        let old_enough = lists.filter(|(since, _)| since.elapsed() >= lag);
        let list = old_enough.map(|(_, list)| list.clone()).next();
        Ok(list.unwrap_or_default())
    }

    /// See [`super::Platform::rate`].
    pub async fn rate(&self, answer: &Answer) -> Result<f64> {
        let lag = self.state().faults.rating_lag;
        if let Some(span) = lag {
            task::sleep(span.into()).await;
        }
        let rater = self.rater.lock().unwrap_or_else(|e| e.into_inner());
        let score = rater.as_ref().and_then(|rate| rate(answer));
        score.ok_or_else(|| Trouble::Refused("there is no rating".into()))
    }
}

impl State {
    fn put_row(&mut self, key: &str, value: Option<serde_json::Value>) {
        let Some(value) = value else {
            self.rows.remove(key);
            return;
        };
        // One count for all rows: a row removed and put again is another one.
        self.clock += 1;
        let version = self.clock;
        self.rows.insert(key.to_owned(), Row { version, value });
    }

    /// Answers a write that took effect, unless the answer is to be lost.
    fn answer<T>(&mut self, done: T) -> Result<T> {
        if self.faults.lose_answers > 0 {
            self.faults.lose_answers -= 1;
            return Err(Trouble::Unknown("the answer was lost".into()));
        }
        Ok(done)
    }
}
