//! The store: answers for its tables, its restores from backups, and other entries' tables while
//! it is unreachable.

use super::EventLoop;
use crate::hosted::message::{Outcome, Read, Snapshot};
use log::{info, warn};
use sorreldeck::era::Freshness;
use sorreldeck::{Span, Time};
use sorreldeck_platform::store::Trouble;
use sorreldeck_platform::Table;

/// How long the store must be unreachable before other entries are asked for tables, and the
/// interval between these requests.
const FETCH_AFTER: Span = Span::from_millis(300);
const FETCH_INTERVAL: Span = Span::from_millis(500);
/// Interval between requests for tables after several brought nothing newer, since all entries
/// may have lost contact with the store. A change must be known within about 7 s.
const SLOW_FETCH_INTERVAL: Span = Span::from_millis(2_000);
/// Minimum interval between polls of all tables because the store's era changed. A store that
/// reports a different era in each answer is polled only by the followers' own pauses.
const MIN_RESTORE_INTERVAL: Span = Span::from_millis(1_000);

impl EventLoop {
    /// Handles the outcome of a poll of a table.
    pub(super) fn handle_outcome(&mut self, table: Table, outcome: Outcome) {
        match outcome {
            Outcome::Page(read) => self.handle_page(table, read),
            Outcome::Failed(error) => self.handle_failure(table, &error),
            Outcome::Forgotten(known) => {
                let silent = self.answers.silence_ms(table, self.clock.now());
                warn!("event=store-forgot table={table:?} known={known} silent_ms={silent}");
            }
        }
    }

    fn handle_page(&mut self, table: Table, read: Read) {
        let Read {
            page,
            whole,
            started,
        } = read;
        let now = self.clock.now();
        if self.mirror.observe_era(table, &page, whole, started, now) == Freshness::Stale {
            return;
        }
        self.handle_restore("store");
        // The answer may have waited in the channel while the machine was suspended.
        let sent_at = self.mirror.local_time(page.now.as_micros() as u64);
        let contact = sent_at
            .filter(|_| !page.now.is_zero())
            .map_or(now, |at| at.min(now));
        self.record_answer(table, contact);
        let updates = self.mirror.apply(table, page, whole, now);
        self.log_ignored();
        self.apply_updates(updates, "store");
        self.answers.record(table, now);
        if table == Table::Own && self.first_start_until.is_none() {
            self.relay.listed(now);
        }
        let commands = self.relay.publish(&mut self.mirror, now);
        self.execute_commands(commands);
    }

    fn handle_failure(&mut self, table: Table, error: &Trouble) {
        let now = self.clock.now();
        if !self.mirror.is_failing(table) {
            warn!("event=store-lost table={table:?} error={error}");
        }
        self.mirror.mark_failing(table);
        // Without the list of entries this entry works on its own.
        self.first_start_until = None;
        self.relay.listed(now);
        self.relay.note_failure(table);
        if table == Table::Operator {
            self.failing_since.get_or_insert(now);
        }
    }

    fn record_answer(&mut self, table: Table, now: Time) {
        if self.mirror.is_failing(table) {
            info!("event=store-regained table={table:?}");
        }
        self.relay.note_answer(table, now);
        // At the start, any answer shows that the store is reachable, and the other tables will
        // follow.
        if table == Table::Operator || !self.mirror.has_operator_table() {
            self.failing_since = None;
        }
        if table == Table::Operator {
            self.vain_fetches = 0;
        }
    }

    /// Polls a table anew whose long poll yields nothing.
    pub(super) fn poll_table(&mut self, table: Table) {
        let silent = self.answers.silence_ms(table, self.clock.now());
        let version = self.mirror.version(table);
        info!("event=asked-anew table={table:?} version={version} silent_ms={silent}");
        self.followers.poll(table);
    }

    /// Handles a restore of the store from a backup. The mirrored tables remain in use until
    /// all tables have been read as a whole, and pending long polls are useless.
    pub(super) fn handle_restore(&mut self, from: &str) {
        let Some(before) = self.mirror.take_restored() else {
            return;
        };
        let now = self.clock.now();
        let era = self.mirror.era();
        warn!("event=store-era era={era} before={before} from={from}");
        self.relay.invalidate(now);
        let is_due = self
            .restore_polled_at
            .is_none_or(|at| now.since(at) >= MIN_RESTORE_INTERVAL);
        for table in Table::ALL {
            self.followers.set_mirrored(table, None);
            if is_due {
                self.followers.poll(table);
            }
        }
        if is_due {
            self.restore_polled_at = Some(now);
        }
    }

    /// Asks other entries for tables while the store is unreachable.
    pub(super) fn fetch_tables(&mut self, now: Time) {
        let Some(since) = self.failing_since else {
            return;
        };
        let pause = match self.vain_fetches {
            0..=2 => FETCH_INTERVAL,
            _ => SLOW_FETCH_INTERVAL,
        };
        if now.since(since) < FETCH_AFTER || now.since(self.fetched_at) < pause {
            return;
        }
        self.fetched_at = now;
        self.vain_fetches += 1;
        self.peering.request_tables(&self.mirror, &self.shared);
    }

    pub(super) fn apply_snapshots(&mut self, copies: Vec<Snapshot>) {
        let now = self.clock.now();
        for copy in copies {
            let table = copy.table;
            let before = self.mirror.stamp(table);
            let updates = self.mirror.apply_copy(table, copy.page, copy.retained, now);
            self.handle_restore("asked");
            let version = self.mirror.stamp(table);
            if version > before {
                self.vain_fetches = 0;
                info!("event=learned-from-entry table={table:?} version={version} before={before}");
            }
            self.apply_updates(updates, "asked");
        }
    }
}
