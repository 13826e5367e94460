//! Usage reporting, which one entry at a time does for all.
//!
//! [`sorreldeck::duty`] makes the decisions; this module makes the calls to the store and the
//! platform and writes the log lines.

use super::event_loop::EventLoop;
use super::message::Message;
use async_channel::Sender;
use async_std::task;
use log::{info, warn};
use sorreldeck::duty::{Context, Outcome, Report, Reporter, Row, Settings, Step, Transaction};
use sorreldeck::era::Stamp;
use sorreldeck::{Incarnation, Time};
use sorreldeck_platform::store::{self, Page, Trouble};
use sorreldeck_platform::{settings, Cloud, Settings as Process, Store, Table};
use std::future::Future;

/// Usage reporting of an entry.
pub struct Duties {
    duty: Reporter,
    cloud: Cloud,
    store: Store,
    messages: Sender<Message>,
    /// The fence that was last logged.
    fence: Option<u64>,
    outcomes: Outcomes,
}

/// Numbers of reports by outcome.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcomes {
    /// The reports that the platform accepted.
    pub taken: u64,
    /// The reports that the platform refused or whose outcome is unknown.
    pub failed: u64,
}

impl Duties {
    /// Returns usage reporting of an entry, or `None` if the platform does not ask for it.
    pub fn new(
        settings: &Process,
        incarnation: Incarnation,
        store: Store,
        messages: Sender<Message>,
    ) -> Option<Duties> {
        let asked = settings.duties.filter(|duties| duties.reports_usage)?;
        Some(Duties {
            duty: Reporter::new(settings_of(settings, &asked, incarnation)),
            cloud: Cloud::new(asked.address),
            store,
            messages,
            fence: None,
            outcomes: Outcomes::default(),
        })
    }

    /// Returns the decision logic.
    pub fn duty(&self) -> &Reporter {
        &self.duty
    }

    /// Returns whether this entry did not hold the lease at the last step.
    pub fn is_idle(&self) -> bool {
        self.fence.is_none()
    }

    /// Returns the numbers of reports by outcome.
    pub fn outcomes(&self) -> Outcomes {
        self.outcomes
    }

    /// Begins the next call, if one is due.
    pub fn step(&mut self, around: &Context, now: Time) {
        self.log_lease(now);
        match self.duty.next(around, now) {
            Step::Read => self.read(),
            Step::Write(change) => self.write(change),
            Step::Report(report) => self.report(report),
            Step::Rest => {}
        }
    }

    fn log_lease(&mut self, now: Time) {
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
        self.spawn_call(call, |event_loop, read| {
            event_loop.with_duties(|duties, now| duties.on_read(read, now));
        });
    }

    /// Makes a call in a task of its own and passes its outcome to the event loop.
    fn spawn_call<T: Send + 'static>(
        &self,
        call: impl Future<Output = T> + Send + 'static,
        take: impl FnOnce(&mut EventLoop, T) + Send + 'static,
    ) {
        let messages = self.messages.clone();
        task::spawn(async move {
            let answer = call.await;
            let take = move |event_loop: &mut EventLoop| take(event_loop, answer);
            // Sending fails only while the process ends, since the event loop runs until then.
            let _ = messages.send(Message::Execute(Box::new(take))).await;
        });
    }

    fn on_read(&mut self, read: Result<Page, Trouble>, now: Time) {
        match read {
            Ok(page) => {
                let rows = page.rows.into_iter().filter_map(row_of);
                self.duty.on_read(page.era, rows.collect(), now);
            }
            Err(error) => {
                warn!("event=duty-not-read error={error}");
                self.duty.on_failed(now);
            }
        }
    }

    fn write(&self, change: Transaction) {
        let (store, transaction) = (self.store.clone(), change_of(&change));
        let call = async move { store.change(&transaction).await };
        self.spawn_call(call, move |event_loop, written| {
            event_loop.with_duties(|duties, now| duties.on_written(&change, written, now));
        });
    }

    fn on_written(&mut self, change: &Transaction, written: Result<Stamp, Trouble>, now: Time) {
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
            Err(error) => {
                warn!("event=duty-not-written keys={keys:?} error={error}");
                self.duty.on_failed(now);
            }
        }
    }

    fn report(&self, report: Report) {
        let (cloud, sent) = (self.cloud.clone(), report.clone());
        let call = async move { cloud.report(&sent).await };
        self.spawn_call(call, move |event_loop, (outcome, message)| {
            let time = event_loop.utc();
            event_loop.with_duties(|duties, now| {
                duties.on_reported(&report, outcome, &message, time, now);
            });
        });
    }

    fn on_reported(
        &mut self,
        report: &Report,
        outcome: Outcome,
        message: &str,
        time: Time,
        now: Time,
    ) {
        info!(
            "event=duty-report window={} fence={} requests={} accounts={} outcome={outcome:?} words={message:?}",
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
    let mut transaction = store::Change::default();
    for (key, version) in &change.expect {
        transaction = transaction.expect(Table::Duties, key, *version);
    }
    for (key, value) in &change.put {
        transaction = transaction.put(Table::Duties, key, value);
    }
    for key in &change.remove {
        transaction = transaction.remove(Table::Duties, key);
    }
    transaction
}
