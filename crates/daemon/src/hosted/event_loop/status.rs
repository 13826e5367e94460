//! The log line with the sizes of this entry's state, and its metrics.

use super::EventLoop;
use crate::clock;
use crate::hosted::{load, shared};
use crate::status;
use log::info;
use serde_json::{json, Value};
use sorreldeck::{Span, Time};
use sorreldeck_net::socket;
use sorreldeck_platform::Table;

/// Interval between log lines with the sizes of this entry's state.
const STATE_LOG_INTERVAL: Span = Span::from_millis(10_000);

impl EventLoop {
    /// Logs the sizes of this entry's state.
    pub(super) fn log_state(&mut self, now: Time) {
        if now.since(self.state_logged_at) < STATE_LOG_INTERVAL {
            return;
        }
        self.state_logged_at = now;
        let rows: usize = Table::ALL
            .iter()
            .map(|t| self.mirror.rows(*t).count())
            .sum();
        let (memory, peak) = shared::memory();
        info!(
            "event=state memory_kb={memory} peak_kb={peak} links={} takers={} rows={rows} upstreams={} explained={} counts={} closed_unread={} used_ms={} {}",
            self.peering.links(),
            self.relay.subscribers(),
            self.upstreams.len(),
            self.entry.history().len(),
            self.relay.usage().map_or(0, |c| c.tally().retained()),
            self.shared.load.closed(),
            clock::processor_time().millis(),
            load::describe(&self.shared.load.owed()),
        );
    }

    /// Returns the status of this entry: what is in force, and what is not understood.
    pub fn status(&self) -> Value {
        let now = self.clock.now();
        let tree = self.entry.tree();
        let evacuated = self.entry.peers().hall_states().evacuated();
        json!({
            "revision": tree.revision(),
            "known": tree.is_known(),
            "asks_keys": tree.asks_keys(),
            "routes": tree.routes().len(),
            "in_flight": self.entry.in_flight(),
            "evacuated": evacuated,
            "upstreams": status::upstreams(&self.entry, now),
            "issues": self.issues.status(tree.revision(), now),
        })
    }

    /// Returns the metrics of this process as text.
    pub fn metrics_text(&mut self) -> String {
        self.metrics.set_invariants(self.entry.invariants());
        self.metrics.set_gates(self.entry.gates());
        let now = self.clock.now();
        for table in Table::ALL {
            let silence = self.answers.silence_ms(table, now);
            let version = self.mirror.version(table);
            self.metrics
                .set_table(&format!("{table:?}"), version as i64, silence);
        }
        let gauges = self.metrics.gauges();
        gauges.revision.set(self.entry.tree().revision().0 as i64);
        gauges.configuration_issues.set(self.issues.parts() as i64);
        gauges.in_flight.set(self.entry.in_flight() as i64);
        gauges.quarantined.set(self.entry.quarantined(now) as i64);
        let owed = self.shared.load.owed();
        gauges.connections.set(owed.connections as i64);
        gauges.framing_closed.set(socket::closed() as i64);
        gauges.gave_way.set(socket::gave_way() as i64);
        gauges.closed_unread.set(self.shared.load.closed() as i64);
        let closed = self.shared.load.closed_for_others();
        gauges.closed_no_request.set(closed.no_request as i64);
        gauges.closed_idle.set(closed.idle as i64);
        gauges.closed_not_read.set(closed.unread as i64);
        gauges.processor_owed.set(owed.processor.millis() as i64);
        gauges.link_owed.set(owed.link.millis() as i64);
        gauges.memory_owed.set(owed.memory.bytes() as i64);
        let peers = self.entry.peers();
        gauges.cold.set(peers.cold(now) as i64);
        gauges.leaving.set(peers.leaving() as i64);
        gauges.paused.set(peers.resting(now) as i64);
        gauges.limited.set(peers.limited() as i64);
        let second_runs = self.entry.second_runs();
        gauges.second_runs.set(second_runs.started as i64);
        gauges.second_runs_went_on.set(second_runs.went_on as i64);
        gauges.second_runs_failed.set(second_runs.failed as i64);
        let evacuated = peers.hall_states().evacuated();
        gauges.evacuated.set(evacuated.len() as i64);
        if let Some(duties) = &self.duties {
            let outcomes = duties.outcomes();
            gauges.reports_taken.set(outcomes.taken as i64);
            gauges.reports_failed.set(outcomes.failed as i64);
            gauges.unreported.set(duties.duty().unreported() as i64);
            let fence = duties.duty().fence(now).unwrap_or(0);
            gauges.fence.set(fence as i64);
        }
        gauges.links.set(self.upstreams.len() as i64);
        let age = self.relay.follow().age(now);
        gauges.era.set(self.mirror.era().0 as i64);
        gauges
            .tables_age
            .set(age.map_or(-1, |age| age.millis() as i64));
        self.metrics.encode()
    }
}
