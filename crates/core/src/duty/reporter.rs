//! Who reports, which windows, and with which counts.
//!
//! One call is made at a time. Whatever is not known of a write's outcome is read before the next
//! one, and every write of the holder is made only if the lease is as it was known, so that of two
//! writers one succeeds.
//!
//! After the store came back from a copy a write of before may still be done, and its condition hold
//! by chance. So rows under a lease of an earlier era tell nothing: of the windows that ended before
//! the loss only those are reported whose counts this process has seen under a valid lease, or that
//! nobody else can have settled.

use super::rows::{self, Holding, Rows, Settled, Sum};
use super::{Counts, Row, Tally, Window};
use crate::era::{Era, Stamp};
use crate::id::{Hall, Incarnation, InstanceId};
use crate::lease::{self, Elector};
use crate::unit::{Span, Time};
use std::collections::{BTreeMap, BTreeSet};

/// The windows that may be open at a time; older ones are given up.
const MOST_OPEN: u64 = 24;
/// The windows that one write settles at most: each drops the sums of its data halls, and a write
/// holds 100 rows.
const MOST_SETTLED: usize = 4;
/// The rows that one write drops at most.
const MOST_DROPPED: usize = 40;
/// For how many windows what was settled stays in the store and in memory: a store that comes back
/// from a copy may have lost the rows.
const KEPT: u64 = 4;
const KNOWN: u64 = 24;
/// The pauses after failures: from the first to the most.
const PAUSE_FIRST: Span = Span::from_millis(200);
const PAUSE_MOST: Span = Span::from_millis(1_600);
/// The shortest time that a call is given: less says nothing of a slow platform.
const LEAST_CALL: Span = Span::from_millis(250);

/// What the duty is bound by.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The instance.
    pub instance: InstanceId,
    /// The run of this process.
    pub incarnation: Incarnation,
    /// Its data hall.
    pub hall: Hall,
    /// The length of a window.
    pub window_length: Span,
    /// How long after its end a window is to be reported at the latest.
    pub report_deadline: Span,
    /// Within which time no two others may act in turn.
    pub lease: Span,
    /// The shortest time between two reports.
    pub min_report_interval: Span,
    /// Whether the whole installation starts for the first time, so that no lease was ever held.
    pub is_first_start: bool,
}

impl Settings {
    /// Returns the part of the time for a report, in hundredths.
    fn part(&self, hundredths: u64) -> Span {
        Span::from_micros(self.report_deadline.micros() / 100 * hundredths)
    }

    /// Returns how long after a window the sum of a data hall is written: what entries tell of it
    /// is there, and all that reads the store again has time to be heard.
    fn sums_after(&self) -> Span {
        self.part(12)
    }

    /// Returns how long after a window the holder reads the sums.
    fn settles_after(&self) -> Span {
        self.part(20)
    }

    /// Returns how long after a window the others look whether it was settled.
    fn looks_after(&self) -> Span {
        self.part(36)
    }

    /// Returns how long after a window the sums that are missing are waited for.
    fn waits_for(&self) -> Span {
        self.part(55)
    }

    fn terms(&self) -> lease::Terms {
        // A holder that does its work writes once a window.
        let term = self.lease.max(self.part(60));
        lease::Terms {
            term,
            margin: Span::from_micros(term.micros() / 6),
            renew_after: Span::default(),
            is_durable: self.is_first_start,
        }
    }
}

/// What an entry knows of its surroundings.
#[derive(Clone, Copy, Debug)]
pub struct Context<'a> {
    /// Whether it reads the platform's store.
    pub reads_store: bool,
    /// Whether it is the first of its data hall to do so.
    pub is_hall_leader: bool,
    /// The data halls that have entries.
    pub halls: &'a BTreeSet<Hall>,
    /// What was counted in its data hall.
    pub tally: &'a Tally,
    /// True time.
    pub utc: Time,
    /// The time on the store's clock, where it is known.
    pub store_time: Option<Time>,
    /// True time less the store's clock as the entries of its data hall have it, in
    /// microseconds.
    pub epoch_us: Option<i64>,
}

/// A change of rows, made whole or not at all.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Transaction {
    /// The versions that rows must have; 0 stands for no row.
    pub expect: Vec<(String, u64)>,
    /// The rows that are written.
    pub put: Vec<(String, Vec<u8>)>,
    /// The keys of rows that go.
    pub remove: Vec<String>,
}

/// A report of one window.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// The holder.
    pub holder: InstanceId,
    /// The fence.
    pub fence: u64,
    /// The window.
    pub window: Window,
    /// The requests.
    pub counts: Counts,
    /// Within which time the call must have ended, since another may act afterwards.
    pub timeout: Span,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Read all rows.
    Read,
    /// Make a change.
    Write(Transaction),
    /// Report a window.
    Report(Report),
    /// Nothing for now.
    Rest,
}

/// What came of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The platform took it.
    Taken,
    /// The platform turned it away for what it says.
    Refused,
    /// It may or may not have been taken.
    Unknown,
}

/// The decisions of one entry about duties.
#[derive(Clone, Debug)]
pub struct Reporter {
    settings: Settings,
    keeper: Elector,
    rows: Rows,
    /// Whether the rows are as they were read or written last, with nothing in doubt.
    is_read: bool,
    /// When they were asked for, in true time and on this process's clock.
    read_at: Time,
    asked_at: Time,
    era: Era,
    /// When this process first heard of that era, in true time.
    era_since: Time,
    /// What was ever settled, as far as it was seen here.
    known: BTreeMap<Window, Settled>,
    /// The windows that this process reported or gave up.
    done: BTreeSet<Window>,
    pending: Option<Pending>,
    paused_until: Time,
    failures: u32,
}

/// The call that is under way.
#[derive(Clone, Debug)]
enum Pending {
    Read,
    Sums(Vec<(Window, Sum)>),
    Settle(Holding, BTreeMap<Window, Settled>, Vec<String>),
    Report(Window),
}

impl Reporter {
    /// Creates the decisions of an entry that knows nothing yet.
    pub fn new(settings: Settings) -> Reporter {
        let own = settings.instance.clone();
        let keeper = Elector::with_terms(own, settings.incarnation, settings.terms());
        Reporter {
            settings,
            keeper,
            rows: Rows::default(),
            is_read: false,
            read_at: Time::default(),
            asked_at: Time::default(),
            era: Era::default(),
            era_since: Time::default(),
            known: BTreeMap::new(),
            done: BTreeSet::new(),
            pending: None,
            paused_until: Time::default(),
            failures: 0,
        }
    }

    /// Returns the fence, if this entry may act now.
    pub fn fence(&self, now: Time) -> Option<u64> {
        self.keeper.held(now).map(|(_, fence)| fence)
    }

    /// Returns true time less the store's clock as the holder has it, in microseconds.
    pub fn epoch_us(&self) -> Option<i64> {
        self.rows.lease.as_ref()?.epoch_us
    }

    /// Returns the last window up to which all were reported or given up.
    pub fn completed_through(&self) -> Option<Window> {
        Some(self.rows.lease.as_ref()?.done)
    }

    /// Returns the windows that are settled and not reported yet, as far as is known here.
    pub fn unreported(&self) -> usize {
        self.open().filter(|(_, s)| s.is_some()).count()
    }

    /// Returns what to do now. What came of it is told by [`on_read`](Reporter::on_read),
    /// [`on_written`](Reporter::on_written) or [`on_reported`](Reporter::on_reported) before the next call.
    pub fn next(&mut self, around: &Context, now: Time) -> Step {
        if self.pending.is_some() || !around.reads_store || now < self.paused_until {
            return Step::Rest;
        }
        if !self.is_read {
            return self.read_now(around, now);
        }
        let step = self.report(now);
        let step = step.or_else(|| self.settle(around, now));
        let step = step.or_else(|| self.write_sums(around));
        if let Some(step) = step {
            return step;
        }
        match self.is_due_to_read(around, now) {
            true => self.read_now(around, now),
            false => Step::Rest,
        }
    }

    fn read_now(&mut self, around: &Context, now: Time) -> Step {
        self.read_at = around.utc;
        self.asked_at = now;
        self.pending = Some(Pending::Read);
        Step::Read
    }

    /// Returns whether the rows may have changed in a way that matters.
    fn is_due_to_read(&self, around: &Context, now: Time) -> bool {
        let Some(done) = self.completed_through() else {
            // Whether anybody takes the lease shows after a term.
            return around.utc.since(self.read_at) >= self.settings.looks_after();
        };
        let after = self.acts_after(now);
        let Some(window) = self.last_ended(around.utc, after) else {
            return false;
        };
        let is_open = window > done && !self.rows.settled.contains_key(&window);
        let was_read = self.read_at >= window.end(self.settings.window_length) + after;
        match (is_open, was_read) {
            (_, false) => window > done,
            (true, true) => around.utc.since(self.read_at) >= self.settings.sums_after(),
            (false, true) => false,
        }
    }

    /// Returns how long after a window this entry looks whether it is settled, and settles it.
    fn acts_after(&self, now: Time) -> Span {
        match self.keeper.held(now) {
            Some(_) => self.settings.settles_after(),
            None => self.settings.looks_after(),
        }
    }

    /// Returns the last window that ended so long ago, in true time.
    fn last_ended(&self, time: Time, ago: Span) -> Option<Window> {
        let then = Time(time.0.checked_sub(ago.micros())?);
        let window = Window::at(then, self.settings.window_length);
        (window > Window(0)).then(|| window.back(1))
    }

    /// Reports the first window that is settled and not reported.
    fn report(&mut self, now: Time) -> Option<Step> {
        if self.is_outdated() {
            return None;
        }
        let within = self.keeper.remaining(now);
        let fence = self.fence(now).filter(|_| within >= LEAST_CALL)?;
        let (window, counts) = self.open().find_map(|(window, settled)| {
            let counts = settled.as_ref()?;
            Some((window, counts.clone()))
        })?;
        self.pending = Some(Pending::Report(window));
        Some(Step::Report(Report {
            holder: self.settings.instance.clone(),
            fence,
            window,
            counts,
            timeout: within,
        }))
    }

    /// Returns the settled windows that are not finished, in order.
    fn open(&self) -> impl Iterator<Item = (Window, &Settled)> {
        let done = self.completed_through();
        let settled = self.rows.settled.iter().map(|(w, s)| (*w, s));
        settled.filter(move |(w, _)| done.is_some_and(|d| *w > d) && !self.done.contains(w))
    }

    /// Settles the windows whose counts are there, or renews the lease where one that is settled
    /// is still to be reported.
    fn settle(&mut self, around: &Context, now: Time) -> Option<Step> {
        let settled = self.to_settle(around, now);
        let is_held = self.keeper.remaining(now) >= LEAST_CALL && !self.is_outdated();
        let is_unreported = self.open().any(|(_, s)| s.is_some());
        let is_new = self.rows.lease.is_none();
        if settled.is_empty() && (is_held || !is_unreported) && !is_new {
            return None;
        }
        let (lease, expect) = self.keeper.claim(around.store_time, now)?;
        let holding = Holding {
            lease,
            done: self.done_now(around.utc, &settled),
            epoch_us: self.epoch_of_sums().or(around.epoch_us),
        };
        let remove = self.outdated(holding.done);
        let mut put = vec![(rows::LEASE.to_owned(), rows::encode(&holding))];
        for (window, counts) in &settled {
            put.push((rows::settled_key(*window), rows::encode(counts)));
        }
        let change = Transaction {
            expect: vec![(rows::LEASE.to_owned(), expect)],
            put,
            remove: remove.clone(),
        };
        self.pending = Some(Pending::Settle(holding, settled, remove));
        Some(Step::Write(change))
    }

    /// Returns the windows that are to be settled now, with their counts.
    fn to_settle(&self, around: &Context, now: Time) -> BTreeMap<Window, Settled> {
        let mut settled = BTreeMap::new();
        let last = self.last_ended(around.utc, self.acts_after(now));
        let (Some(done), Some(last)) = (self.completed_through(), last) else {
            return settled;
        };
        let mut window = first_open(done, last);
        let is_outdated = self.is_outdated();
        // What is not said of windows before a loss now is taken for settled afterwards.
        let most = match is_outdated {
            true => MOST_OPEN as usize,
            false => MOST_SETTLED,
        };
        while window <= last && settled.len() < most {
            if is_outdated || !self.rows.settled.contains_key(&window) {
                let Some(counts) = self.counts_of(window, around, now) else {
                    break;
                };
                settled.insert(window, counts);
            }
            window = window.next();
        }
        settled
    }

    /// Returns what a window that is not settled is to be settled with; `None` while sums are
    /// waited for.
    fn counts_of(&self, window: Window, around: &Context, now: Time) -> Option<Settled> {
        if let Some(known) = self.known.get(&window) {
            return Some(known.clone());
        }
        let end = window.end(self.settings.window_length);
        let is_lost = self.is_outdated() && end <= self.era_since;
        if is_lost && self.keeper.held(now).is_none() {
            // It may have been reported with counts that nobody knows any more.
            return Some(None);
        }
        let sums = self.rows.sums.iter().filter(|((w, _), _)| *w == window);
        let sums: BTreeMap<&Hall, &Sum> = sums.map(|((_, h), (_, s))| (h, s)).collect();
        let is_whole = around.halls.iter().all(|hall| sums.contains_key(hall));
        if !is_whole && around.utc < end + self.settings.waits_for() {
            return None;
        }
        let mut counts = Counts::default();
        for (hall, sum) in &sums {
            if **hall != self.settings.hall {
                counts.add_all(&sum.counts);
            }
        }
        let own = sums.get(&self.settings.hall).map(|s| &s.counts);
        let near = around.tally.sum(window);
        counts.add_all(
            own.filter(|own| own.total() >= near.total())
                .unwrap_or(&near),
        );
        Some(Some(counts))
    }

    /// Returns whether the rows show an era before the present one, so that what was settled last
    /// may be lost.
    fn is_outdated(&self) -> bool {
        let lease = self.rows.lease.as_ref();
        lease.is_none_or(|holding| holding.lease.era < self.era)
    }

    /// Returns the last window up to which all are finished, with a write that settles some.
    fn done_now(&self, time: Time, settled: &BTreeMap<Window, Settled>) -> Window {
        let current = Window::at(time, self.settings.window_length);
        let Some(done) = self.completed_through() else {
            return current.back(1);
        };
        let mut done = done.max(current.back(MOST_OPEN + 1));
        // What the store lost of this process's own work is finished all the same.
        loop {
            let next = done.next();
            let of_row = settled.get(&next).or(self.rows.settled.get(&next));
            let is_given_up = of_row.is_some_and(|s| s.is_none());
            if !self.done.contains(&next) && !is_given_up {
                return done;
            }
            done = next;
        }
    }

    /// Returns the keys of rows that nobody needs any more.
    fn outdated(&self, done: Window) -> Vec<String> {
        let sums = self.rows.sums.keys().filter(|(w, _)| *w <= done);
        let sums = sums.map(|(w, hall)| rows::sum_key(*w, hall));
        let settled = self.rows.settled.keys().filter(|w| **w < done.back(KEPT));
        let settled = settled.map(|w| rows::settled_key(*w));
        let unread = self.rows.unread.iter().filter(|key| *key != rows::LEASE);
        let keys = unread.cloned().chain(settled).chain(sums);
        keys.take(MOST_DROPPED).collect()
    }

    /// Returns true time less the store's clock as the data halls have it.
    fn epoch_of_sums(&self) -> Option<i64> {
        let (last, _) = self.rows.sums.keys().next_back()?;
        let of_last = self.rows.sums.iter().filter(|((w, _), _)| w == last);
        median(of_last.filter_map(|(_, (_, sum))| sum.epoch_us).collect())
    }

    /// Writes the sums of the own data hall that the store lacks.
    fn write_sums(&mut self, around: &Context) -> Option<Step> {
        let after = match around.is_hall_leader {
            true => self.settings.sums_after(),
            false => self.settings.looks_after(),
        };
        let last = self.last_ended(around.utc, after)?;
        let done = self.completed_through().unwrap_or(last.back(1));
        let hall = self.settings.hall.clone();
        let mut change = Transaction::default();
        let mut sums = Vec::new();
        let windows = (first_open(done, last).0..=last.0).map(Window);
        for window in windows.filter(|w| !self.rows.settled.contains_key(w)) {
            if sums.len() == MOST_SETTLED {
                break;
            }
            let place = (window, hall.clone());
            let known = self.rows.sums.get(&place);
            let counts = around.tally.sum(window);
            if known.is_none_or(|(_, sum)| counts.total() > sum.counts.total()) {
                let sum = Sum {
                    counts,
                    epoch_us: around.epoch_us,
                };
                let key = rows::sum_key(window, &hall);
                let version = known.map_or(0, |(version, _)| *version);
                change.expect.push((key.clone(), version));
                change.put.push((key, rows::encode(&sum)));
                sums.push((window, sum));
            }
        }
        if sums.is_empty() {
            return None;
        }
        self.pending = Some(Pending::Sums(sums));
        Some(Step::Write(change))
    }

    /// Takes in all rows, and the era of the store that told them.
    pub fn on_read(&mut self, era: Option<Era>, rows: Vec<Row>, now: Time) {
        self.pending = None;
        let era = era.unwrap_or(self.era);
        if era < self.era {
            // An answer of before a loss.
            return self.on_failed(now);
        }
        self.hear(era, self.read_at + now.since(self.asked_at));
        self.failures = 0;
        self.is_read = true;
        self.rows = Rows::read(rows);
        if !self.is_outdated() {
            for (window, settled) in &self.rows.settled {
                self.known.entry(*window).or_insert_with(|| settled.clone());
            }
        }
        while self.known.len() as u64 > KNOWN {
            self.known.pop_first();
        }
        self.note_lease(now);
    }

    fn hear(&mut self, era: Era, at: Time) {
        if era > self.era || self.era_since == Time::default() {
            self.era = era;
            self.era_since = at;
        }
    }

    fn note_lease(&mut self, now: Time) {
        let at = Stamp::new(self.era, self.rows.lease_version);
        let lease = self
            .rows
            .lease
            .as_ref()
            .map(|holding| holding.lease.clone());
        self.keeper.record(at, lease, now);
    }

    /// Takes in that the call that was under way failed, or may have.
    pub fn on_failed(&mut self, now: Time) {
        self.pending = None;
        self.is_read = false;
        self.pause(now);
    }

    fn pause(&mut self, now: Time) {
        let times = 1 << self.failures.min(8);
        let pause = Span::from_micros(PAUSE_FIRST.micros() * times);
        self.paused_until = now + pause.min(PAUSE_MOST);
        self.failures += 1;
    }

    /// Takes in what came of a write: the version that the rows got, or `None` where a condition
    /// did not hold.
    pub fn on_written(&mut self, made: Option<Stamp>, now: Time) {
        let Some(pending) = self.pending.take() else {
            return;
        };
        let Some(at) = made.filter(|at| at.era >= self.era) else {
            self.is_read = false;
            return;
        };
        if at.era > self.era {
            // What this write was based on is of before a loss.
            self.is_read = false;
            return;
        }
        self.failures = 0;
        match pending {
            Pending::Sums(sums) => {
                let hall = &self.settings.hall;
                for (window, sum) in sums {
                    let place = (window, hall.clone());
                    self.rows.sums.insert(place, (at.version, sum));
                }
            }
            Pending::Settle(holding, settled, removed) => {
                self.rows.lease_version = at.version;
                self.rows.lease = Some(holding);
                self.known.extend(settled.clone());
                self.rows.settled.extend(settled);
                self.drop_rows(&removed);
                self.note_lease(now);
            }
            Pending::Read | Pending::Report(_) => {}
        }
    }

    fn drop_rows(&mut self, keys: &[String]) {
        let is_kept = |key: String| !keys.contains(&key);
        let rows = &mut self.rows;
        rows.sums
            .retain(|(w, hall), _| is_kept(rows::sum_key(*w, hall)));
        rows.settled.retain(|w, _| is_kept(rows::settled_key(*w)));
        rows.unread.retain(|key| is_kept(key.clone()));
        if let Some(done) = rows.lease.as_ref().map(|holding| holding.done) {
            self.done = self.done.split_off(&done.back(KNOWN));
        }
    }

    /// Takes in what came of a report.
    pub fn on_reported(&mut self, outcome: Outcome, time: Time, now: Time) {
        let Some(Pending::Report(window)) = self.pending.take() else {
            return;
        };
        let is_late =
            time >= window.end(self.settings.window_length) + self.settings.report_deadline;
        match outcome {
            Outcome::Taken => self.finish(window, now),
            Outcome::Refused if is_late => self.finish(window, now),
            Outcome::Refused | Outcome::Unknown => self.pause(now),
        }
    }

    fn finish(&mut self, window: Window, now: Time) {
        self.failures = 0;
        self.done.insert(window);
        self.paused_until = now + self.settings.min_report_interval;
    }
}

/// Returns the first window after the finished ones that is still open; older ones are given up with
/// the next write.
fn first_open(done: Window, last: Window) -> Window {
    done.next().max(last.back(MOST_OPEN - 1))
}

/// Returns the middle one of some numbers.
pub fn median(mut numbers: Vec<i64>) -> Option<i64> {
    numbers.sort_unstable();
    numbers.get(numbers.len() / 2).copied()
}
