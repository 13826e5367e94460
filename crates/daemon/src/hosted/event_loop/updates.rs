//! Updates of the mirrored tables: they are logged and passed to the decisions.

use super::EventLoop;
use crate::hosted::holds::Record;
use crate::hosted::mirror::Update;
use log::{info, warn};
use sorreldeck::entry::Input;
use sorreldeck::quarantine::{Fingerprint, Hold};
use sorreldeck::Incarnation;
use sorreldeck_platform::member::Registration;
use sorreldeck_platform::store::CONFIG_KEY;
use sorreldeck_platform::Table;
use std::sync::Arc;

impl EventLoop {
    /// Handles updates; `from` names their source in the log.
    pub(super) fn apply_updates(&mut self, updates: Vec<Update>, from: &str) {
        let has_entries = updates
            .iter()
            .any(|update| matches!(update, Update::Entry(_)));
        for update in updates {
            self.apply_update(update, from);
        }
        if has_entries {
            // One input for all of them: when an installation starts, up to 300 entries appear
            // at once.
            let entries = self.relay.follow().entries().cloned().collect();
            self.handle(Input::Entries(entries));
        }
        for replaced in self.mirror.take_replaced() {
            info!(
                "event=table-restored table={:?} stamp={} before={} kept={:?} from={from}",
                replaced.table, replaced.after, replaced.before, replaced.retained
            );
        }
        for suspects in self.mirror.take_suspects() {
            info!(
                "event=held upstreams={:?} of={} for_ms={}",
                suspects.keys,
                suspects.listed,
                suspects.grace_period.millis()
            );
        }
        for late in self.mirror.take_deferred() {
            info!(
                "event=row-deferred upstream={} born={:?} address={} sequence={} row_version={} for_ms={} from={from}",
                late.key,
                late.row.born.map(|born| born.0),
                late.row.address,
                late.row.sequence,
                late.version,
                late.delay.millis()
            );
        }
        for row in self.mirror.take_malformed() {
            warn!(
                "event=not-understood table={:?} key={:?} error={:?}",
                row.table, row.key, row.message
            );
            self.metrics.count_not_understood(1);
            self.issues.add_row(row, self.clock.now());
        }
    }

    /// Logs the pages that were ignored.
    pub(super) fn log_ignored(&mut self) {
        for ignored in self.mirror.take_ignored() {
            self.metrics.count_ignored_page();
            warn!(
                "event=page-ignored table={:?} version={} known={} era={}",
                ignored.table,
                ignored.version,
                ignored.known,
                ignored
                    .era
                    .map_or_else(|| "-".to_owned(), |e| e.to_string())
            );
        }
    }

    /// Returns the log fields that describe the origin of an update: its source, the version up
    /// to which the table is mirrored, and how long the store has not answered this entry for
    /// it.
    fn origin(&self, table: Table, from: &str) -> String {
        let version = self.mirror.version(table);
        let silent = self.answers.silence_ms(table, self.clock.now());
        format!("from={from} version={version} silent_ms={silent}")
    }

    fn apply_update(&mut self, update: Update, from: &str) {
        match update {
            Update::Config(config) => self.apply_config(*config, from),
            Update::Joined(listed, start) => self.join(*listed, start, from),
            Update::Retired(upstream) => {
                let origin = self.origin(Table::Upstreams, from);
                info!("event=retired upstream={upstream} {origin}");
                if let Some(link) = self.upstreams.remove(&upstream) {
                    self.addresses.remove(&link);
                    self.handle(Input::Retire(link));
                }
            }
            Update::Move(order, state, began) => {
                let origin = self.origin(Table::Progress, from);
                info!(
                    "event=move pool={} to={} number={} state={state:?} began={began:?} {origin}",
                    order.pool, order.to, order.issued
                );
                self.handle(Input::Move(order, state, began));
            }
            Update::Cold(upstream, remaining) => {
                let origin = self.origin(Table::Upstreams, from);
                info!(
                    "event=cold upstream={upstream} for_ms={} {origin}",
                    remaining.millis()
                );
                if let Some(link) = self.upstreams.get(&upstream).copied() {
                    self.handle(Input::Cold(link, remaining));
                }
            }
            Update::Evacuated(halls) => {
                let origin = self.origin(Table::Operator, from);
                info!("event=evacuate halls={halls:?} {origin}");
                self.handle(Input::Evacuate(halls));
            }
            Update::Quarantine(fingerprint, record) => self.apply_quarantine(fingerprint, record),
            Update::Entry(peer) => {
                self.peering.add_peer(peer.name.clone(), peer.address);
                self.relay.learn(peer);
            }
        }
    }

    /// Handles the quarantine record of a request, or its removal.
    fn apply_quarantine(&mut self, fingerprint: Fingerprint, record: Option<Record>) {
        let Some(record) = record else {
            return self.handle(Input::QuarantineRemoved(fingerprint));
        };
        // Without the store's clock no row has arrived yet, and no record either.
        if let Some(until) = self.mirror.local_time(record.until_us) {
            let hold = Hold {
                until,
                previous: record.before,
                is_own: record.by == self.own.name,
            };
            self.handle(Input::Quarantined(fingerprint, hold));
        }
    }

    fn apply_config(&mut self, config: sorreldeck_platform::Configuration, from: &str) {
        let revision = config.tree.revision();
        if !self.entry.tree().precedes(&config.tree) {
            return;
        }
        let origin = self.origin(Table::Operator, from);
        info!(
            "event=config revision={revision} before={} routes={} not_understood={} {origin}",
            self.entry.tree().revision(),
            config.tree.routes().len(),
            config.issues.count()
        );
        for issue in config.issues.first() {
            warn!(
                "event=not-understood table={:?} key={CONFIG_KEY:?} revision={revision} place={:?} error={:?}",
                Table::Operator, issue.place, issue.message
            );
        }
        self.metrics.count_not_understood(config.issues.count());
        self.issues.set_configuration(config.issues);
        self.shared.set_limits(config.limits);
        self.handle(Input::Tree(Arc::new(config.tree)));
    }

    fn join(&mut self, mut listed: Registration, start: Incarnation, from: &str) {
        let born = listed.member.placement.incarnation.replace(start);
        let placement = &mut listed.member.placement;
        placement.region = placement
            .hall
            .as_ref()
            .and_then(|hall| self.regions.get(hall).cloned());
        let link = self.next_link;
        self.next_link += 1;
        let member = &listed.member;
        let origin = self.origin(Table::Upstreams, from);
        info!(
            "event=joined upstream={} start={start} born={} sequence={} pool={} address={} hall={:?} release={:?} {origin}",
            member.upstream,
            born.map_or_else(|| "-".to_owned(), |born| born.0.to_string()),
            listed.sequence,
            member.pool,
            listed.address,
            member.placement.hall,
            member.placement.release
        );
        self.upstreams.insert(member.upstream.clone(), link);
        self.addresses.insert(link, listed.address);
        self.handle(Input::Join(link, Box::new(listed.member)));
    }
}
