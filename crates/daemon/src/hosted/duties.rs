//! Makes the calls of duties that one entry does at a time for all.
//!
//! [`sorreldeck::duty`] decides; here stand the calls to the store and to the platform, and the
//! lines in the log.

use super::event_loop::{EventLoop, Message};
use async_channel::Sender;
use async_std::task;
use log::{info, warn};
use sorreldeck::duty::{Context, Outcome, Report, Reporter, Row, Settings, Step, Transaction};
use sorreldeck::era::Stamp;
use sorreldeck::{Incarnation, Time};
use sorreldeck_platform::store::{self, Page, Trouble};
use sorreldeck_platform::{settings, Cloud, Settings as Process, Store, Table};
use std::future::Future;

/// The duties of an entry.
pub struct Duties {
    duty: Reporter,
    cloud: Cloud,
    store: Store,
    tell: Sender<Message>,
    /// The fence that was told of in the log.
    fence: Option<u64>,
    outcomes: Outcomes,
}

/// What came of reports so far.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcomes {
    /// The reports that the platform took.
    pub taken: u64,
    /// Those that it did not take, or of which nothing is known.
    pub failed: u64,
}

impl Duties {
    /// Creates the duties of an entry, where the platform asks for any.
    pub fn new(
        settings: &Process,
        incarnation: Incarnation,
        store: Store,
        tell: Sender<Message>,
    ) -> Option<Duties> {
        let asked = settings.duties.filter(|duties| duties.reports_usage)?;
        Some(Duties {
            duty: Reporter::new(settings_of(settings, &asked, incarnation)),
            cloud: Cloud::new(asked.address),
            store,
            tell,
            fence: None,
            outcomes: Outcomes::default(),
        })
    }

    /// Returns the decisions.
    pub fn duty(&self) -> &Reporter {
        &self.duty
    }

    /// Returns whether this entry was last known not to make any calls.
    pub fn is_idle(&self) -> bool {
        self.fence.is_none()
    }

    /// Returns what came of reports so far.
    pub fn outcomes(&self) -> Outcomes {
        self.outcomes
    }

    /// Begins the next call, if one is due.
    pub fn step(&mut self, around: &Context, now: Time) {
        self.tell_of_lease(now);
        match self.duty.next(around, now) {
            Step::Read => self.read(),
            Step::Write(change) => self.write(change),
            Step::Report(report) => self.report(report),
            Step::Rest => {}
        }
    }

    fn tell_of_lease(&mut self, now: Time) {
        let fence = self.duty.fence(now);
        if fence == self.fence {
            return;
        }
        match (fence, self.fence) {
            (Some(fence), _) => info!("event=duty-lease held=true fence={fence}"),
            (None, Some(before)) => info!("event=duty-lease held=false fence={before}"),
            (None, None) => {}
        }
        self.fence = fence;
    }

    fn read(&self) {
        let store = self.store.clone();
        let call = async move { store.read(Table::Duties).await };
        self.make(call, |room, read| {
            room.with_duties(|duties, now| duties.was_read(read, now));
        });
    }

    /// Makes a call beside the loop, which then takes in what came of it.
    fn make<T: Send + 'static>(
        &self,
        call: impl Future<Output = T> + Send + 'static,
        take: impl FnOnce(&mut EventLoop, T) + Send + 'static,
    ) {
        let tell = self.tell.clone();
        task::spawn(async move {
            let answer = call.await;
            let take = move |room: &mut EventLoop| take(room, answer);
            // The loop ends only with the process.
            let _ = tell.send(Message::Execute(Box::new(take))).await;
        });
    }

    fn was_read(&mut self, read: Result<Page, Trouble>, now: Time) {
        match read {
            Ok(page) => {
                let rows = page.rows.into_iter().filter_map(row_of);
                self.duty.on_read(page.era, rows.collect(), now);
            }
            Err(trouble) => {
                warn!("event=duty-not-read error={trouble}");
                self.duty.on_failed(now);
            }
        }
    }

    fn write(&self, change: Transaction) {
        let (store, made) = (self.store.clone(), change_of(&change));
        let call = async move { store.change(&made).await };
        self.make(call, move |room, written| {
            room.with_duties(|duties, now| duties.was_written(&change, written, now));
        });
    }

    fn was_written(&mut self, change: &Transaction, written: Result<Stamp, Trouble>, now: Time) {
        let keys: Vec<&str> = change.put.iter().map(|(key, _)| key.as_str()).collect();
        match written {
            Ok(at) => {
                info!("event=duty-written keys={keys:?} at={at}");
                self.duty.on_written(Some(at), now);
            }
            Err(Trouble::Conflict) => {
                info!("event=duty-written keys={keys:?} at=- error=\"written by another\"");
                self.duty.on_written(None, now);
            }
            Err(trouble) => {
                warn!("event=duty-not-written keys={keys:?} error={trouble}");
                self.duty.on_failed(now);
            }
        }
    }

    fn report(&self, report: Report) {
        let (cloud, sent) = (self.cloud.clone(), report.clone());
        let call = async move { cloud.report(&sent).await };
        self.make(call, move |room, (outcome, words)| {
            let time = room.true_time();
            room.with_duties(|duties, now| {
                duties.was_reported(&report, outcome, &words, time, now);
            });
        });
    }

    fn was_reported(
        &mut self,
        report: &Report,
        outcome: Outcome,
        words: &str,
        time: Time,
        now: Time,
    ) {
        info!(
            "event=duty-report window={} fence={} requests={} accounts={} outcome={outcome:?} words={words:?}",
            report.window,
            report.fence,
            report.counts.total(),
            report.counts.iter().count()
        );
        match outcome {
            Outcome::Taken => self.outcomes.taken += 1,
            Outcome::Refused | Outcome::Unknown => self.outcomes.failed += 1,
        }
        self.duty.on_reported(outcome, time, now);
    }
}

fn settings_of(settings: &Process, asked: &settings::Duties, incarnation: Incarnation) -> Settings {
    Settings {
        instance: settings.instance.clone(),
        incarnation,
        hall: settings.hall.clone(),
        window_length: asked.report_window,
        report_deadline: asked.report_deadline,
        lease: asked.lease,
        min_report_interval: asked.min_interval,
        is_first_start: settings.first_start,
    }
}

fn row_of(row: store::Row) -> Option<Row> {
    Some(Row {
        key: row.key,
        version: row.version,
        value: row.value?,
    })
}

fn change_of(change: &Transaction) -> store::Change {
    let mut made = store::Change::default();
    for (key, version) in &change.expect {
        made = made.expect(Table::Duties, key, *version);
    }
    for (key, value) in &change.put {
        made = made.put(Table::Duties, key, value);
    }
    for key in &change.remove {
        made = made.remove(Table::Duties, key);
    }
    made
}
