//! Decides which instance reports, which windows and with which counts.
//!
//! Only one call is in flight at a time. If the outcome of a write is unknown, the rows are read
//! again before the next write. Every write of the lease holder is conditional on the version of
//! the lease row that it last saw, so of two concurrent writers one fails.
//!
//! After the store was restored from a backup, a write sent before the restore may still be
//! applied, and its condition may hold by coincidence. Rows under a lease of an earlier era are
//! therefore not trusted: of the windows that ended before the restore, only those are reported
//! whose counts this process saw under a valid lease, or that no other instance can have settled.

use super::rows::{self, LeaseRow, Rows, Settled, Sum};
use super::{Counts, Row, Tally, Window};
use crate::era::{Era, Stamp};
use crate::id::{Hall, Incarnation, InstanceId};
use crate::lease::{self, Elector};
use crate::unit::{Span, Time};
use std::collections::{BTreeMap, BTreeSet};

/// The number of windows that may be open at a time; older ones are given up.
const MAX_OPEN_WINDOWS: u64 = 24;
/// The number of windows that one write may settle. Each also removes the sums of its data halls,
/// and a transaction is limited to 100 rows.
const MAX_SETTLED_PER_WRITE: usize = 4;
/// The number of rows that one write may remove.
const MAX_REMOVED_PER_WRITE: usize = 40;
/// For how many windows the settled counts stay in the store and in memory. Memory keeps more,
/// because a store restored from a backup may have lost the rows.
const STORED_WINDOWS: u64 = 4;
const CACHED_WINDOWS: u64 = 24;
/// The shortest and the longest back-off after failures.
const MIN_BACKOFF: Span = Span::from_millis(200);
const MAX_BACKOFF: Span = Span::from_millis(1_600);
/// The shortest timeout given to a call; with less, a slow platform could not be told from a failed
/// one.
const MIN_CALL_TIMEOUT: Span = Span::from_millis(250);

/// The settings of the reporter.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// This instance.
    pub instance: InstanceId,
    /// The incarnation of this process.
    pub incarnation: Incarnation,
    /// The data hall of this instance.
    pub hall: Hall,
    /// The length of a window.
    pub window_length: Span,
    /// The time after the end of a window within which it must be reported.
    pub report_deadline: Span,
    /// The lease time set by the platform: once another instance has acted, this one may act again
    /// no sooner than this after its own last action.
    pub lease: Span,
    /// The shortest time between two reports.
    pub min_report_interval: Span,
    /// Whether the whole installation starts for the first time, so that no lease can have been
    /// held before.
    pub is_first_start: bool,
}

impl Settings {
    /// Returns a percentage of the report deadline.
    fn deadline_percent(&self, percent: u64) -> Span {
        Span::from_micros(self.report_deadline.micros() / 100 * percent)
    }

    /// Returns the delay after a window until the sum of a data hall is written. By then the
    /// updates of the entries have arrived, and an entry that reads the store again has had time to
    /// announce it.
    fn write_sums_delay(&self) -> Span {
        self.deadline_percent(12)
    }

    /// Returns the delay after a window until the holder reads the sums.
    fn settle_delay(&self) -> Span {
        self.deadline_percent(20)
    }

    /// Returns the delay after a window until the other instances check whether it was settled.
    fn check_delay(&self) -> Span {
        self.deadline_percent(36)
    }

    /// Returns how long after a window the holder waits for missing sums.
    fn missing_sums_timeout(&self) -> Span {
        self.deadline_percent(55)
    }

    fn terms(&self) -> lease::Terms {
        // An active holder writes once a window; the term covers the time between two writes.
        let term = self.lease.max(self.deadline_percent(60));
        lease::Terms {
            term,
            margin: Span::from_micros(term.micros() / 6),
            renew_after: Span::default(),
            is_durable: self.is_first_start,
        }
    }
}

/// The inputs of one decision.
#[derive(Clone, Copy, Debug)]
pub struct Context<'a> {
    /// Whether this entry reads the platform's store.
    pub reads_store: bool,
    /// Whether it is the first entry of its data hall that does.
    pub is_hall_leader: bool,
    /// The data halls that have entries.
    pub halls: &'a BTreeSet<Hall>,
    /// The counts of its data hall.
    pub tally: &'a Tally,
    /// The UTC time, as agreed on by the entries.
    pub utc: Time,
    /// The time on the store's clock, if known.
    pub store_time: Option<Time>,
    /// The UTC time at the origin of the store's clock, as agreed on by the entries of the data
    /// hall, in microseconds.
    pub epoch_us: Option<i64>,
}

/// An atomic write with conditions.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Transaction {
    /// The versions that rows must have; 0 stands for a missing row.
    pub expect: Vec<(String, u64)>,
    /// The rows to write.
    pub put: Vec<(String, Vec<u8>)>,
    /// The keys of the rows to remove.
    pub remove: Vec<String>,
}

/// The report of one window.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// The instance that holds the lease.
    pub holder: InstanceId,
    /// The fencing token of the lease.
    pub fence: u64,
    /// The window.
    pub window: Window,
    /// The requests by client account.
    pub counts: Counts,
    /// The time limit of the call; another instance may act after it.
    pub timeout: Span,
}

/// The next action.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Read all rows.
    Read,
    /// Write rows.
    Write(Transaction),
    /// Report a window.
    Report(Report),
    /// Do nothing for now.
    Rest,
}

/// The outcome of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The platform accepted it.
    Taken,
    /// The platform rejected its content.
    Refused,
    /// The platform may or may not have accepted it.
    Unknown,
}

/// The state machine of one entry for usage reports.
#[derive(Clone, Debug)]
pub struct Reporter {
    settings: Settings,
    elector: Elector,
    rows: Rows,
    /// Whether `rows` matches the store as last read or written, with no write of unknown outcome
    /// since.
    is_synced: bool,
    /// When the last read was started, in UTC and on this process's clock.
    read_started_utc: Time,
    read_started: Time,
    era: Era,
    /// When this process first saw that era, in UTC.
    era_since: Time,
    /// The settled windows seen by this process.
    settled_cache: BTreeMap<Window, Settled>,
    /// The windows that this process reported or gave up.
    completed: BTreeSet<Window>,
    pending: Option<Pending>,
    not_before: Time,
    failures: u32,
}

/// The call in flight.
#[derive(Clone, Debug)]
enum Pending {
    Read,
    Sums(Vec<(Window, Sum)>),
    Settle(LeaseRow, BTreeMap<Window, Settled>, Vec<String>),
    Report(Window),
}

impl Reporter {
    /// Creates a reporter that has not read the store yet.
    pub fn new(settings: Settings) -> Reporter {
        let instance = settings.instance.clone();
        let elector = Elector::with_terms(instance, settings.incarnation, settings.terms());
        Reporter {
            settings,
            elector,
            rows: Rows::default(),
            is_synced: false,
            read_started_utc: Time::default(),
            read_started: Time::default(),
            era: Era::default(),
            era_since: Time::default(),
            settled_cache: BTreeMap::new(),
            completed: BTreeSet::new(),
            pending: None,
            not_before: Time::default(),
            failures: 0,
        }
    }

    /// Returns the fencing token if this entry holds the lease now.
    pub fn fence(&self, now: Time) -> Option<u64> {
        self.elector.held(now).map(|(_, fence)| fence)
    }

    /// Returns the UTC time at the origin of the store's clock as recorded by the holder, in
    /// microseconds.
    pub fn epoch_us(&self) -> Option<i64> {
        self.rows.lease.as_ref()?.epoch_us
    }

    /// Returns the last window up to which every window was reported or given up.
    pub fn completed_through(&self) -> Option<Window> {
        Some(self.rows.lease.as_ref()?.done)
    }

    /// Returns the number of windows that this process knows to be settled but not reported.
    pub fn unreported(&self) -> usize {
        self.open_windows().filter(|(_, s)| s.is_some()).count()
    }

    /// Returns the next action. Its outcome must be passed to [`on_read`](Reporter::on_read),
    /// [`on_written`](Reporter::on_written), [`on_reported`](Reporter::on_reported) or
    /// [`on_failed`](Reporter::on_failed) before the next call.
    pub fn next(&mut self, context: &Context, now: Time) -> Step {
        if self.pending.is_some() || !context.reads_store || now < self.not_before {
            return Step::Rest;
        }
        if !self.is_synced {
            return self.start_read(context, now);
        }
        let step = self.report(now);
        let step = step.or_else(|| self.settle(context, now));
        let step = step.or_else(|| self.write_sums(context));
        if let Some(step) = step {
            return step;
        }
        match self.is_due_to_read(context, now) {
            true => self.start_read(context, now),
            false => Step::Rest,
        }
    }

    fn start_read(&mut self, context: &Context, now: Time) -> Step {
        self.read_started_utc = context.utc;
        self.read_started = now;
        self.pending = Some(Pending::Read);
        Step::Read
    }

    /// Returns whether other instances may have changed rows that affect the next action.
    fn is_due_to_read(&self, context: &Context, now: Time) -> bool {
        let Some(done) = self.completed_through() else {
            // No lease row exists yet; read again later to see whether another instance created it.
            return context.utc.since(self.read_started_utc) >= self.settings.check_delay();
        };
        let after = self.action_delay(now);
        let Some(window) = self.last_window_before(context.utc, after) else {
            return false;
        };
        let is_open = window > done && !self.rows.settled.contains_key(&window);
        let was_read_since =
            self.read_started_utc >= window.end(self.settings.window_length) + after;
        match (is_open, was_read_since) {
            (_, false) => window > done,
            (true, true) => {
                context.utc.since(self.read_started_utc) >= self.settings.write_sums_delay()
            }
            (false, true) => false,
        }
    }

    /// Returns the delay after a window until this entry checks whether it is settled, and settles
    /// it if it holds the lease.
    fn action_delay(&self, now: Time) -> Span {
        match self.elector.held(now) {
            Some(_) => self.settings.settle_delay(),
            None => self.settings.check_delay(),
        }
    }

    /// Returns the last window that ended at least this long before a UTC time.
    fn last_window_before(&self, time: Time, ago: Span) -> Option<Window> {
        let then = Time(time.0.checked_sub(ago.micros())?);
        let window = Window::at(then, self.settings.window_length);
        (window > Window(0)).then(|| window.back(1))
    }

    /// Reports the first window that is settled but not reported.
    fn report(&mut self, now: Time) -> Option<Step> {
        if self.is_previous_era() {
            return None;
        }
        let timeout = self.elector.remaining(now);
        let fence = self.fence(now).filter(|_| timeout >= MIN_CALL_TIMEOUT)?;
        let (window, counts) = self.open_windows().find_map(|(window, settled)| {
            let counts = settled.as_ref()?;
            Some((window, counts.clone()))
        })?;
        self.pending = Some(Pending::Report(window));
        Some(Step::Report(Report {
            holder: self.settings.instance.clone(),
            fence,
            window,
            counts,
            timeout,
        }))
    }

    /// Returns the settled windows after the completed ones, in order.
    fn open_windows(&self) -> impl Iterator<Item = (Window, &Settled)> {
        let done = self.completed_through();
        let settled = self.rows.settled.iter().map(|(w, s)| (*w, s));
        settled.filter(move |(w, _)| done.is_some_and(|d| *w > d) && !self.completed.contains(w))
    }

    /// Settles the windows whose counts are complete, or renews the lease while a settled window is
    /// still to be reported.
    fn settle(&mut self, context: &Context, now: Time) -> Option<Step> {
        let settled = self.due_windows(context, now);
        let is_held = self.elector.remaining(now) >= MIN_CALL_TIMEOUT && !self.is_previous_era();
        let has_unreported = self.open_windows().any(|(_, s)| s.is_some());
        let is_new = self.rows.lease.is_none();
        if settled.is_empty() && (is_held || !has_unreported) && !is_new {
            return None;
        }
        let (lease, expect) = self.elector.claim(context.store_time, now)?;
        let lease_row = LeaseRow {
            lease,
            done: self.completed_window(context.utc, &settled),
            epoch_us: self.median_epoch_us().or(context.epoch_us),
        };
        let remove = self.obsolete_keys(lease_row.done);
        let mut put = vec![(rows::LEASE.to_owned(), rows::encode(&lease_row))];
        for (window, counts) in &settled {
            put.push((rows::settled_key(*window), rows::encode(counts)));
        }
        let transaction = Transaction {
            expect: vec![(rows::LEASE.to_owned(), expect)],
            put,
            remove: remove.clone(),
        };
        self.pending = Some(Pending::Settle(lease_row, settled, remove));
        Some(Step::Write(transaction))
    }

    /// Returns the windows to settle now, with their counts.
    fn due_windows(&self, context: &Context, now: Time) -> BTreeMap<Window, Settled> {
        let mut settled = BTreeMap::new();
        let last = self.last_window_before(context.utc, self.action_delay(now));
        let (Some(done), Some(last)) = (self.completed_through(), last) else {
            return settled;
        };
        let mut window = first_open_window(done, last);
        let is_previous_era = self.is_previous_era();
        // Once the lease is written in the present era, the settled rows count as valid again. That
        // write must therefore replace those of all open windows.
        let most = match is_previous_era {
            true => MAX_OPEN_WINDOWS as usize,
            false => MAX_SETTLED_PER_WRITE,
        };
        while window <= last && settled.len() < most {
            if is_previous_era || !self.rows.settled.contains_key(&window) {
                let Some(counts) = self.settlement_counts(window, context, now) else {
                    break;
                };
                settled.insert(window, counts);
            }
            window = window.next();
        }
        settled
    }

    /// Returns the counts to settle a window with, or `None` while sums are still missing.
    fn settlement_counts(&self, window: Window, context: &Context, now: Time) -> Option<Settled> {
        if let Some(settled) = self.settled_cache.get(&window) {
            return Some(settled.clone());
        }
        let end = window.end(self.settings.window_length);
        let is_lost = self.is_previous_era() && end <= self.era_since;
        if is_lost && self.elector.held(now).is_none() {
            // The window may have been reported with counts that are lost, so it is given up.
            return Some(None);
        }
        let sums = self.rows.sums.iter().filter(|((w, _), _)| *w == window);
        let sums: BTreeMap<&Hall, &Sum> = sums.map(|((_, h), (_, s))| (h, s)).collect();
        let is_complete = context.halls.iter().all(|hall| sums.contains_key(hall));
        if !is_complete && context.utc < end + self.settings.missing_sums_timeout() {
            return None;
        }
        let mut counts = Counts::default();
        for (hall, sum) in &sums {
            if **hall != self.settings.hall {
                counts.add_all(&sum.counts);
            }
        }
        let own = sums.get(&self.settings.hall).map(|s| &s.counts);
        let local = context.tally.sum(window);
        counts.add_all(
            own.filter(|own| own.total() >= local.total())
                .unwrap_or(&local),
        );
        Some(Some(counts))
    }

    /// Returns whether the lease row is from an earlier era, so that recently settled windows may
    /// be lost.
    fn is_previous_era(&self) -> bool {
        let lease = self.rows.lease.as_ref();
        lease.is_none_or(|lease_row| lease_row.lease.era < self.era)
    }

    /// Returns the last window up to which every window is complete, including those that the
    /// pending write settles.
    fn completed_window(&self, time: Time, settled: &BTreeMap<Window, Settled>) -> Window {
        let current = Window::at(time, self.settings.window_length);
        let Some(done) = self.completed_through() else {
            return current.back(1);
        };
        let mut done = done.max(current.back(MAX_OPEN_WINDOWS + 1));
        // Windows that this process completed count as complete even if the store lost their rows.
        loop {
            let next = done.next();
            let of_row = settled.get(&next).or(self.rows.settled.get(&next));
            let is_given_up = of_row.is_some_and(|s| s.is_none());
            if !self.completed.contains(&next) && !is_given_up {
                return done;
            }
            done = next;
        }
    }

    /// Returns the keys of rows that are no longer needed.
    fn obsolete_keys(&self, done: Window) -> Vec<String> {
        let sums = self.rows.sums.keys().filter(|(w, _)| *w <= done);
        let sums = sums.map(|(w, hall)| rows::sum_key(*w, hall));
        let settled = self
            .rows
            .settled
            .keys()
            .filter(|w| **w < done.back(STORED_WINDOWS));
        let settled = settled.map(|w| rows::settled_key(*w));
        let unparsed = self.rows.unparsed.iter().filter(|key| *key != rows::LEASE);
        let keys = unparsed.cloned().chain(settled).chain(sums);
        keys.take(MAX_REMOVED_PER_WRITE).collect()
    }

    /// Returns the UTC time at the origin of the store's clock as the median of the data halls.
    fn median_epoch_us(&self) -> Option<i64> {
        let (last, _) = self.rows.sums.keys().next_back()?;
        let of_last = self.rows.sums.iter().filter(|((w, _), _)| w == last);
        median(of_last.filter_map(|(_, (_, sum))| sum.epoch_us).collect())
    }

    /// Writes the sums of this data hall that are missing from the store or too low there.
    fn write_sums(&mut self, context: &Context) -> Option<Step> {
        let after = match context.is_hall_leader {
            true => self.settings.write_sums_delay(),
            false => self.settings.check_delay(),
        };
        let last = self.last_window_before(context.utc, after)?;
        let done = self.completed_through().unwrap_or(last.back(1));
        let hall = self.settings.hall.clone();
        let mut transaction = Transaction::default();
        let mut sums = Vec::new();
        let windows = (first_open_window(done, last).0..=last.0).map(Window);
        for window in windows.filter(|w| !self.rows.settled.contains_key(w)) {
            if sums.len() == MAX_SETTLED_PER_WRITE {
                break;
            }
            let sum_id = (window, hall.clone());
            let stored = self.rows.sums.get(&sum_id);
            let counts = context.tally.sum(window);
            if stored.is_none_or(|(_, sum)| counts.total() > sum.counts.total()) {
                let sum = Sum {
                    counts,
                    epoch_us: context.epoch_us,
                };
                let key = rows::sum_key(window, &hall);
                let version = stored.map_or(0, |(version, _)| *version);
                transaction.expect.push((key.clone(), version));
                transaction.put.push((key, rows::encode(&sum)));
                sums.push((window, sum));
            }
        }
        if sums.is_empty() {
            return None;
        }
        self.pending = Some(Pending::Sums(sums));
        Some(Step::Write(transaction))
    }

    /// Handles the rows read, with the era of the store at that time.
    pub fn on_read(&mut self, era: Option<Era>, rows: Vec<Row>, now: Time) {
        self.pending = None;
        let era = era.unwrap_or(self.era);
        if era < self.era {
            // The answer was sent before the store was restored.
            return self.on_failed(now);
        }
        self.observe_era(era, self.read_started_utc + now.since(self.read_started));
        self.failures = 0;
        self.is_synced = true;
        self.rows = Rows::read(rows);
        if !self.is_previous_era() {
            for (window, settled) in &self.rows.settled {
                self.settled_cache
                    .entry(*window)
                    .or_insert_with(|| settled.clone());
            }
        }
        while self.settled_cache.len() as u64 > CACHED_WINDOWS {
            self.settled_cache.pop_first();
        }
        self.record_lease(now);
    }

    fn observe_era(&mut self, era: Era, at: Time) {
        if era > self.era || self.era_since == Time::default() {
            self.era = era;
            self.era_since = at;
        }
    }

    fn record_lease(&mut self, now: Time) {
        let at = Stamp::new(self.era, self.rows.lease_version);
        let lease = self
            .rows
            .lease
            .as_ref()
            .map(|lease_row| lease_row.lease.clone());
        self.elector.record(at, lease, now);
    }

    /// Handles a call that failed or whose outcome is unknown.
    pub fn on_failed(&mut self, now: Time) {
        self.pending = None;
        self.is_synced = false;
        self.back_off(now);
    }

    fn back_off(&mut self, now: Time) {
        let factor = 1 << self.failures.min(8);
        let backoff = Span::from_micros(MIN_BACKOFF.micros() * factor);
        self.not_before = now + backoff.min(MAX_BACKOFF);
        self.failures += 1;
    }

    /// Handles the outcome of a write: the version that the rows got, or `None` if a condition did
    /// not hold.
    pub fn on_written(&mut self, stamp: Option<Stamp>, now: Time) {
        let Some(pending) = self.pending.take() else {
            return;
        };
        let Some(at) = stamp.filter(|at| at.era >= self.era) else {
            self.is_synced = false;
            return;
        };
        if at.era > self.era {
            // The write was based on rows from before the store was restored.
            self.is_synced = false;
            return;
        }
        self.failures = 0;
        match pending {
            Pending::Sums(sums) => {
                let hall = &self.settings.hall;
                for (window, sum) in sums {
                    let sum_id = (window, hall.clone());
                    self.rows.sums.insert(sum_id, (at.version, sum));
                }
            }
            Pending::Settle(lease_row, settled, removed) => {
                self.rows.lease_version = at.version;
                self.rows.lease = Some(lease_row);
                self.settled_cache.extend(settled.clone());
                self.rows.settled.extend(settled);
                self.remove_rows(&removed);
                self.record_lease(now);
            }
            Pending::Read | Pending::Report(_) => {}
        }
    }

    fn remove_rows(&mut self, keys: &[String]) {
        let is_kept = |key: String| !keys.contains(&key);
        let rows = &mut self.rows;
        rows.sums
            .retain(|(w, hall), _| is_kept(rows::sum_key(*w, hall)));
        rows.settled.retain(|w, _| is_kept(rows::settled_key(*w)));
        rows.unparsed.retain(|key| is_kept(key.clone()));
        if let Some(done) = rows.lease.as_ref().map(|lease_row| lease_row.done) {
            self.completed = self.completed.split_off(&done.back(CACHED_WINDOWS));
        }
    }

    /// Handles the outcome of a report.
    pub fn on_reported(&mut self, outcome: Outcome, time: Time, now: Time) {
        let Some(Pending::Report(window)) = self.pending.take() else {
            return;
        };
        let is_late =
            time >= window.end(self.settings.window_length) + self.settings.report_deadline;
        match outcome {
            Outcome::Taken => self.complete(window, now),
            Outcome::Refused if is_late => self.complete(window, now),
            Outcome::Refused | Outcome::Unknown => self.back_off(now),
        }
    }

    fn complete(&mut self, window: Window, now: Time) {
        self.failures = 0;
        self.completed.insert(window);
        self.not_before = now + self.settings.min_report_interval;
    }
}

/// Returns the first open window after the completed ones; older ones are given up with the next
/// write.
fn first_open_window(done: Window, last: Window) -> Window {
    done.next().max(last.back(MAX_OPEN_WINDOWS - 1))
}

/// Returns the median, the upper one of the two middle values for an even count.
pub fn median(mut numbers: Vec<i64>) -> Option<i64> {
    numbers.sort_unstable();
    numbers.get(numbers.len() / 2).copied()
}
