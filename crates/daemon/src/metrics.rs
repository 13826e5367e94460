//! The metrics of a process, in the text format of Prometheus.

use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{exponential_buckets, Histogram};
use prometheus_client::registry::Registry;
use sorreldeck::admission::Gates;
use sorreldeck::entry::Summary;
use sorreldeck::{Invariant, Invariants};
use sorreldeck_net::link::Traffic;
use std::sync::atomic::Ordering;

/// The labels of histograms: client account and class.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RequestLabels {
    account: String,
    class: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OutcomeLabels {
    account: String,
    class: String,
    outcome: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct InvariantLabels {
    promise: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct GateLabels {
    pool: String,
    rank: u32,
    reason: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct TableLabels {
    table: String,
}

fn duration_histogram() -> Histogram {
    // Bucket bounds from 1 ms to 32.8 s, doubling.
    Histogram::new(exponential_buckets(0.001, 2.0, 16))
}

/// The metrics of one process.
pub struct Metrics {
    registry: Registry,
    requests: Family<OutcomeLabels, Counter>,
    first_byte: Family<RequestLabels, Histogram>,
    duration: Family<RequestLabels, Histogram>,
    checked: Family<InvariantLabels, Gauge>,
    violated: Family<InvariantLabels, Gauge>,
    gates: Family<GateLabels, Gauge>,
    versions: Family<TableLabels, Gauge>,
    silences: Family<TableLabels, Gauge>,
    ignored_pages: Counter,
    not_understood: Counter,
    told_speed_sums: Counter,
    heard_speed_sums: Counter,
    paused_reads: Counter,
    gauges: Gauges,
}

/// Gauges that are set whenever the metrics are encoded.
#[derive(Clone, Default)]
pub struct Gauges {
    /// The revision in force.
    pub revision: Gauge,
    /// The time at which the revision came into force, in microseconds since 1970-01-01 UTC.
    pub revision_since: Gauge,
    /// The number of established links.
    pub links: Gauge,
    /// The age of the tables of the platform's store, in milliseconds; -1 before they are known.
    pub tables_age: Gauge,
    /// The latest era of the platform's store, -1 if it is unknown.
    pub era: Gauge,
    /// The number of parts of the configuration in force that are not understood.
    pub configuration_issues: Gauge,
    /// The number of requests in progress.
    pub in_flight: Gauge,
    /// The number of open connections of callers.
    pub connections: Gauge,
    /// The number of connections that were closed unread because a resource was full.
    pub closed_unread: Gauge,
    /// The number of connections without a request that were closed for others.
    pub closed_no_request: Gauge,
    /// The number of idle connections that were closed for others.
    pub closed_idle: Gauge,
    /// The number of connections with unread answers that were closed for others.
    pub closed_not_read: Gauge,
    /// The number of connections that were closed because a message had too much framing.
    pub framing_closed: Gauge,
    /// How often connections gave way to others in the middle of what they had to read.
    pub gave_way: Gauge,
    /// How long tasks wait for the processor, or it needs for what it owes, in milliseconds.
    pub processor_owed: Gauge,
    /// How long the network link needs for what it owes, in milliseconds.
    pub link_owed: Gauge,
    /// The memory in use, in bytes.
    pub memory_owed: Gauge,
    /// The number of requests in quarantine because they crash upstreams.
    pub quarantined: Gauge,
    /// The number of cold upstreams, which get few requests.
    pub cold: Gauge,
    /// The number of upstreams that announced that they are leaving.
    pub leaving: Gauge,
    /// The number of upstreams that asked this entry for a pause.
    pub paused: Gauge,
    /// The number of upstreams with a limit on the request rate of all entries together.
    pub limited: Gauge,
    /// The number of evacuated data halls.
    pub evacuated: Gauge,
    /// The number of second runs started beside silent ones.
    pub second_runs: Gauge,
    /// The number of second runs that went on with the answer.
    pub second_runs_went_on: Gauge,
    /// The number of second runs that were refused or failed.
    pub second_runs_failed: Gauge,
    /// The number of this entry's usage reports that the platform accepted.
    pub reports_taken: Gauge,
    /// The number of this entry's usage reports that the platform rejected, or whose outcome
    /// is unknown.
    pub reports_failed: Gauge,
    /// The number of settled windows that are not reported yet, as far as this entry knows.
    pub unreported: Gauge,
    /// The fencing token with which this entry may act for all entries, 0 if it may not.
    pub fence: Gauge,
    /// The number of bill records that are not confirmed as stored by the platform.
    pub unbilled: Gauge,
    /// The number of bytes sent over links.
    pub link_sent: Gauge,
    /// The number of bytes of control traffic sent over links.
    pub link_control: Gauge,
    /// The number of bytes received over links.
    pub link_received: Gauge,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("sorreldeck");
        let requests = Family::default();
        let first_byte = Family::new_with_constructor(duration_histogram as fn() -> Histogram);
        let duration = Family::new_with_constructor(duration_histogram as fn() -> Histogram);
        let checked = Family::default();
        let violated = Family::default();
        let gauges = Gauges::default();
        registry.register("requests", "Requests by outcome", requests.clone());
        registry.register(
            "first_token_seconds",
            "Time to the first part of the answer",
            first_byte.clone(),
        );
        registry.register(
            "answer_seconds",
            "Time to the end of the answer",
            duration.clone(),
        );
        registry.register("promise_checked", "Checks of each promise", checked.clone());
        registry.register("promise_violated", "Checks that failed", violated.clone());
        let gates = Family::default();
        registry.register(
            "gate_decisions",
            "Requests that the gate of a pool admitted, or refused for a reason",
            gates.clone(),
        );
        let (versions, silences) = (Family::default(), Family::default());
        registry.register(
            "table_version",
            "Version of the platform's store up to which a table is known",
            versions.clone(),
        );
        registry.register(
            "table_silence_milliseconds",
            "Time since the platform's store answered for a table, -1 if it never did",
            silences.clone(),
        );
        let ignored_pages = Counter::default();
        registry.register(
            "pages_ignored",
            "Answers of the platform's store that changed nothing, since a later version is known",
            ignored_pages.clone(),
        );
        let not_understood = Counter::default();
        registry.register(
            "not_understood",
            "Rows, and parts of configurations, that were not understood and have no effect",
            not_understood.clone(),
        );
        let (told_speed_sums, heard_speed_sums) = (Counter::default(), Counter::default());
        registry.register(
            "speed_sums_told",
            "Sums of how long work took at an upstream that this entry told to others",
            told_speed_sums.clone(),
        );
        registry.register(
            "speed_sums_heard",
            "Sums of how long work took at an upstream that this entry heard from others",
            heard_speed_sums.clone(),
        );
        let paused_reads = Counter::default();
        registry.register(
            "reads_paused",
            "How often an answer was not read from its upstream, since its client was slow to read",
            paused_reads.clone(),
        );
        gauges.register(&mut registry);
        Metrics {
            registry,
            requests,
            first_byte,
            duration,
            checked,
            violated,
            gates,
            versions,
            silences,
            ignored_pages,
            not_understood,
            told_speed_sums,
            heard_speed_sums,
            paused_reads,
            gauges,
        }
    }
}

impl Gauges {
    fn register(&self, registry: &mut Registry) {
        let gauges = [
            ("revision", "Revision in force", &self.revision),
            (
                "revision_since_microseconds",
                "When the revision came in force, since 1970-01-01 UTC",
                &self.revision_since,
            ),
            ("links", "Links that are up", &self.links),
            (
                "tables_age_milliseconds",
                "Age of what is known of the platform's store by whatever way, -1 if nothing is",
                &self.tables_age,
            ),
            (
                "store_era",
                "Era that the platform's store told last, -1 if it told none",
                &self.era,
            ),
            (
                "framing_exceeded",
                "Connections closed because a message had too much that is no content",
                &self.framing_closed,
            ),
            (
                "turns_ended",
                "How often a connection gave way to others while it had more to read",
                &self.gave_way,
            ),
            (
                "configuration_not_understood",
                "Parts of the configuration in force that are not understood and have no effect",
                &self.configuration_issues,
            ),
            ("in_flight", "Requests under way", &self.in_flight),
            (
                "connections",
                "Open connections of callers",
                &self.connections,
            ),
            (
                "connections_closed_unread",
                "Connections closed unread since a resource was full",
                &self.closed_unread,
            ),
            (
                "connections_closed_no_request",
                "Connections closed for others on which no request had come",
                &self.closed_no_request,
            ),
            (
                "connections_closed_idle",
                "Connections closed for others that were kept open without a request",
                &self.closed_idle,
            ),
            (
                "connections_closed_answer_unread",
                "Connections closed for others whose callers did not read their answers",
                &self.closed_not_read,
            ),
            (
                "processor_owed_milliseconds",
                "How long tasks wait for the processor, or it needs for what it owes",
                &self.processor_owed,
            ),
            (
                "link_owed_milliseconds",
                "How long the network link needs for what it owes",
                &self.link_owed,
            ),
            ("memory_owed_bytes", "Memory in use", &self.memory_owed),
            (
                "held_back",
                "Requests held back, since they crash upstreams",
                &self.quarantined,
            ),
            (
                "cold",
                "Upstreams that count as cold, and get little",
                &self.cold,
            ),
            (
                "leaving",
                "Upstreams that said that they leave, and get nothing",
                &self.leaving,
            ),
            (
                "resting",
                "Upstreams that asked this entry for rest, and get nothing until its end",
                &self.paused,
            ),
            (
                "limited",
                "Upstreams that named the rate they take from all entries",
                &self.limited,
            ),
            ("evacuated", "Data halls that get no work", &self.evacuated),
            (
                "second_runs",
                "Second runs started beside silent ones since the start",
                &self.second_runs,
            ),
            (
                "second_runs_went_on",
                "Second runs that went on with the answer, since the first was silent",
                &self.second_runs_went_on,
            ),
            (
                "second_runs_failed",
                "Second runs that were refused or failed",
                &self.second_runs_failed,
            ),
            (
                "duty_reports_taken",
                "Reports of what client accounts used that the platform took of this entry",
                &self.reports_taken,
            ),
            (
                "duty_reports_failed",
                "Reports that the platform did not take, or of which nothing is known",
                &self.reports_failed,
            ),
            (
                "duty_unreported",
                "Windows that are settled and not reported yet",
                &self.unreported,
            ),
            (
                "duty_fence",
                "Fence by which this entry may act for all, 0 where it may not",
                &self.fence,
            ),
            ("unbilled", "Bill records not yet stored", &self.unbilled),
            ("link_sent_bytes", "Bytes sent over links", &self.link_sent),
            (
                "link_control_bytes",
                "Bytes sent over links for control",
                &self.link_control,
            ),
            (
                "link_received_bytes",
                "Bytes received over links",
                &self.link_received,
            ),
        ];
        for (name, help, gauge) in gauges {
            registry.register(name, help, gauge.clone());
        }
    }

    /// Sets the gauges of link traffic.
    pub fn set_traffic(&self, traffic: &Traffic) {
        self.link_sent
            .set(traffic.sent.load(Ordering::Relaxed) as i64);
        self.link_control
            .set(traffic.control.load(Ordering::Relaxed) as i64);
        self.link_received
            .set(traffic.received.load(Ordering::Relaxed) as i64);
    }
}

impl Metrics {
    /// Returns the gauges.
    pub fn gauges(&self) -> &Gauges {
        &self.gauges
    }

    /// Records the outcome and durations of an ended request.
    pub fn record_request(&self, summary: &Summary) {
        let account = summary
            .account
            .as_ref()
            .map_or("none", |a| a.as_str())
            .to_owned();
        let class = match summary.plain {
            true => "plain",
            false => summary.class.as_str(),
        };
        let class = class.to_owned();
        let labels = RequestLabels {
            account: account.clone(),
            class: class.clone(),
        };
        if let Some(first_byte) = summary.first_byte {
            self.first_byte
                .get_or_create(&labels)
                .observe(first_byte.secs_f64());
        }
        if summary.failure.is_none() {
            self.duration
                .get_or_create(&labels)
                .observe(summary.duration.secs_f64());
        }
        let outcome = summary.failure.map_or("answered", |reason| reason.code());
        let labels = OutcomeLabels {
            account,
            class,
            outcome: outcome.to_owned(),
        };
        self.requests.get_or_create(&labels).inc();
    }

    /// Sets the gauges of invariants.
    pub fn set_invariants(&self, invariants: &Invariants) {
        for invariant in Invariant::ALL {
            let labels = InvariantLabels {
                promise: invariant.to_string(),
            };
            self.checked
                .get_or_create(&labels)
                .set(invariants.checked(invariant) as i64);
            self.violated
                .get_or_create(&labels)
                .set(invariants.violated(invariant) as i64);
        }
    }

    /// Sets the numbers of requests that gates admitted and refused.
    pub fn set_gates(&self, gates: &Gates) {
        for (pool, gate) in gates.iter() {
            for (rank, outcome, count) in gate.counts().iter() {
                let labels = GateLabels {
                    pool: pool.to_string(),
                    rank: u32::from(rank),
                    reason: outcome
                        .map_or("admitted", |reason| reason.as_str())
                        .to_owned(),
                };
                self.gates.get_or_create(&labels).set(count as i64);
            }
        }
    }

    /// Sets the version up to which a table is known, and the time in milliseconds since the
    /// platform's store last answered for it, -1 if it never did.
    pub fn set_table(&self, table: &str, version: i64, silence: i64) {
        let labels = TableLabels {
            table: table.to_owned(),
        };
        self.versions.get_or_create(&labels).set(version);
        self.silences.get_or_create(&labels).set(silence);
    }

    /// Counts an answer of the platform's store that was ignored because a later version is
    /// known.
    pub fn count_ignored_page(&self) {
        self.ignored_pages.inc();
    }

    /// Counts rows, or parts of a configuration, that were not understood.
    pub fn count_not_understood(&self, count: usize) {
        self.not_understood.inc_by(count as u64);
    }

    /// Counts speed sums that this entry told to others.
    pub fn count_told_speed_sums(&self, sums: usize) {
        self.told_speed_sums.inc_by(sums as u64);
    }

    /// Counts speed sums that this entry heard from others.
    pub fn count_heard_speed_sums(&self, sums: usize) {
        self.heard_speed_sums.inc_by(sums as u64);
    }

    /// Counts an answer that is not read from its upstream until its client has read more.
    pub fn count_paused_read(&self) {
        self.paused_reads.inc();
    }

    /// Encodes all metrics.
    pub fn encode(&self) -> String {
        let mut buf = String::new();
        // Writing to a string cannot fail.
        let _ = encode(&mut buf, &self.registry);
        buf
    }
}
