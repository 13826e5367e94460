//! Counters and histograms in the format of Prometheus.

use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{exponential_buckets, Histogram};
use prometheus_client::registry::Registry;
use sorreldeck::entry::Summary;
use sorreldeck::{Invariant, Invariants};
use sorreldeck_net::link::Traffic;
use std::sync::atomic::Ordering;

/// The client account and class of a request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Who {
    account: String,
    class: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Outcome {
    account: String,
    class: String,
    outcome: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OfPromise {
    promise: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OfTable {
    table: String,
}

fn seconds() -> Histogram {
    // 1 ms to 32 s, each bucket twice the one before.
    Histogram::new(exponential_buckets(0.001, 2.0, 16))
}

/// The metrics of one process.
pub struct Metrics {
    registry: Registry,
    requests: Family<Outcome, Counter>,
    first: Family<Who, Histogram>,
    whole: Family<Who, Histogram>,
    checked: Family<OfPromise, Gauge>,
    violated: Family<OfPromise, Gauge>,
    versions: Family<OfTable, Gauge>,
    silences: Family<OfTable, Gauge>,
    ignored: Counter,
    gauges: Gauges,
}

/// Values that are read off when the metrics are asked for.
#[derive(Clone, Default)]
pub struct Gauges {
    /// The revision in force.
    pub revision: Gauge,
    /// When that came in force, in microseconds since 1970-01-01 UTC.
    pub revision_since: Gauge,
    /// The links that are up.
    pub links: Gauge,
    /// How old what is known of the platform's store is, in milliseconds.
    pub tables_age: Gauge,
    /// The era that the platform's store told last, -1 if it told none.
    pub era: Gauge,
    /// The requests under way.
    pub in_flight: Gauge,
    /// The requests that are held back, since they crash upstreams.
    pub quarantined: Gauge,
    /// The upstreams that count as cold, and get little.
    pub cold: Gauge,
    /// The upstreams that said that they leave.
    pub leaving: Gauge,
    /// The upstreams that asked this entry for rest.
    pub paused: Gauge,
    /// The upstreams that take only so many requests a second from all entries.
    pub limited: Gauge,
    /// The data halls that get no work.
    pub evacuated: Gauge,
    /// The reports of what client accounts used that the platform took of this entry.
    pub reports_taken: Gauge,
    /// Those that it did not take, or of which nothing is known.
    pub reports_failed: Gauge,
    /// The windows that are settled and not reported yet, as far as this entry knows.
    pub unreported: Gauge,
    /// The fence by which this entry may act for all, 0 where it may not.
    pub fence: Gauge,
    /// The bill records that are not known to be in the platform's store.
    pub unbilled: Gauge,
    /// The bytes sent over links.
    pub link_sent: Gauge,
    /// The bytes sent over links for control.
    pub link_control: Gauge,
    /// The bytes received over links.
    pub link_received: Gauge,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("sorreldeck");
        let requests = Family::default();
        let first = Family::new_with_constructor(seconds as fn() -> Histogram);
        let whole = Family::new_with_constructor(seconds as fn() -> Histogram);
        let checked = Family::default();
        let violated = Family::default();
        let gauges = Gauges::default();
        registry.register("requests", "Requests by outcome", requests.clone());
        registry.register(
            "first_token_seconds",
            "Time to the first part of the answer",
            first.clone(),
        );
        registry.register(
            "answer_seconds",
            "Time to the end of the answer",
            whole.clone(),
        );
        registry.register("promise_checked", "Checks of each promise", checked.clone());
        registry.register("promise_violated", "Checks that failed", violated.clone());
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
        let ignored = Counter::default();
        registry.register(
            "pages_ignored",
            "Answers of the platform's store that changed nothing, since a later version is known",
            ignored.clone(),
        );
        gauges.register(&mut registry);
        Metrics {
            registry,
            requests,
            first,
            whole,
            checked,
            violated,
            versions,
            silences,
            ignored,
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
            ("in_flight", "Requests under way", &self.in_flight),
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

    /// Reads off the bytes that went over links.
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
    /// Returns the values that are read off.
    pub fn gauges(&self) -> &Gauges {
        &self.gauges
    }

    /// Counts a request that has ended.
    pub fn record_request(&self, done: &Summary) {
        let account = done
            .account
            .as_ref()
            .map_or("none", |a| a.as_str())
            .to_owned();
        let class = match done.plain {
            true => "plain",
            false => done.class.as_str(),
        };
        let class = class.to_owned();
        let who = Who {
            account: account.clone(),
            class: class.clone(),
        };
        if let Some(first) = done.first_byte {
            self.first.get_or_create(&who).observe(first.secs_f64());
        }
        if done.failure.is_none() {
            self.whole
                .get_or_create(&who)
                .observe(done.duration.secs_f64());
        }
        let outcome = done.failure.map_or("answered", |reason| reason.code());
        let outcome = Outcome {
            account,
            class,
            outcome: outcome.to_owned(),
        };
        self.requests.get_or_create(&outcome).inc();
    }

    /// Reads off the promises.
    pub fn set_invariants(&self, promises: &Invariants) {
        for promise in Invariant::ALL {
            let label = OfPromise {
                promise: promise.to_string(),
            };
            self.checked
                .get_or_create(&label)
                .set(promises.checked(promise) as i64);
            self.violated
                .get_or_create(&label)
                .set(promises.violated(promise) as i64);
        }
    }

    /// Sets up to which version a table is known, and for how many milliseconds the
    /// platform's store has not answered for it.
    pub fn set_table(&self, table: &str, version: i64, silence: i64) {
        let label = OfTable {
            table: table.to_owned(),
        };
        self.versions.get_or_create(&label).set(version);
        self.silences.get_or_create(&label).set(silence);
    }

    /// Counts an answer of the platform's store that changed nothing.
    pub fn count_ignored_page(&self) {
        self.ignored.inc();
    }

    /// Writes all metrics.
    pub fn encode(&self) -> String {
        let mut buf = String::new();
        // Writing to a string cannot fail.
        let _ = encode(&mut buf, &self.registry);
        buf
    }
}
