//! The metrics of the node, for scraping and for reports.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Registry, Unit};
use sailtrack_kernel::Service;
use sailtrack_units::{Importance, KindName};
use sailtrack_wire::{Outcome, Reason};

use crate::call::{Answer, Call, outcome_word, reason_word};

/// Upper bound of the first bucket of added time, in seconds.
const FIRST_BUCKET: f64 = 0.000_02;
/// Growth factor of the buckets.
const BUCKET_FACTOR: f64 = 1.5;
/// Number of buckets; the last bound is near 50 ms.
const BUCKETS: u16 = 20;
/// Upper bound of the first bucket of the time in the upstream, in seconds.
const FIRST_UPSTREAM_BUCKET: f64 = 0.001;
/// Number of its buckets, each twice the one before; the last bound is near 8 s.
const UPSTREAM_BUCKETS: u16 = 14;

/// The labels of a call.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CallLabels {
    kind: String,
    outcome: &'static str,
    importance: &'static str,
}

/// The labels of a duration recorded by kind.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct KindLabels {
    kind: String,
}

/// The labels of a refused call.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ShedLabels {
    kind: String,
    reason: &'static str,
    importance: &'static str,
}

/// Gauge values, read at the time of a scrape.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Snapshot {
    pub(crate) limit: usize,
    pub(crate) in_flight: usize,
    pub(crate) waiting: usize,
    pub(crate) level: u8,
    pub(crate) config_version: u64,
    pub(crate) members: usize,
    pub(crate) members_dead: usize,
    pub(crate) tickets: usize,
    pub(crate) ticket_bytes: u64,
    pub(crate) unknown: usize,
    pub(crate) peer_connections: usize,
    pub(crate) upstream_connections: usize,
    pub(crate) platform_operations: u64,
    pub(crate) panics: u64,
    pub(crate) requests: usize,
    pub(crate) ejected: usize,
    pub(crate) reported_load: f64,
}

/// The outcomes of the calls of one kind and importance.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Tally {
    pub(crate) done: u64,
    pub(crate) not_run: u64,
    pub(crate) unknown: u64,
    pub(crate) shed: u64,
}

type Tallies = BTreeMap<(KindName, Importance), Tally>;

struct Gauges {
    limit: Gauge,
    in_flight: Gauge,
    waiting: Gauge,
    level: Gauge,
    config_version: Gauge,
    members: Gauge,
    members_dead: Gauge,
    tickets: Gauge,
    ticket_bytes: Gauge,
    unknown: Gauge,
    peer_connections: Gauge,
    upstream_connections: Gauge,
    platform_operations: Gauge,
    panics: Gauge,
    requests: Gauge,
    ejected: Gauge,
    reported_load: Gauge<f64, AtomicU64>,
}

/// The metrics of the node.
pub(crate) struct Metrics {
    registry: Registry,
    served: Family<CallLabels, Counter>,
    dispatched: Family<CallLabels, Counter>,
    shed: Family<ShedLabels, Counter>,
    retries: Counter,
    allowance_used: Counter,
    peers_lost: Counter,
    control_sent: Counter<u64, AtomicU64>,
    control_received: Counter<u64, AtomicU64>,
    added_time: Histogram,
    upstream_time: Family<KindLabels, Histogram>,
    gauges: Gauges,
    tallies: RefCell<Tallies>,
}

impl Service for Metrics {
    const NAME: &'static str = "metrics";
}

impl Metrics {
    pub(crate) fn new() -> Self {
        let mut registry = Registry::with_prefix("sailtrack");
        let served = Family::default();
        registry.register(
            "calls_served",
            "Calls run by the own upstream",
            served.clone(),
        );
        let dispatched = Family::default();
        let help = "Calls brought to an answer for clients and the own upstream";
        registry.register("calls_dispatched", help, dispatched.clone());
        let shed = Family::default();
        registry.register("calls_shed", "Calls refused before they ran", shed.clone());
        let retries = counter(
            &mut registry,
            "retries",
            "Calls sent again after they may have run",
        );
        let help = "Retries reported by callees as used up";
        let allowance_used = counter(&mut registry, "allowance_used", help);
        let help = "Connections to other nodes that were lost";
        let peers_lost = counter(&mut registry, "peer_connections_lost", help);
        let control_sent = Counter::default();
        let help = "Control traffic sent in datagrams";
        registry.register_with_unit("control_sent", help, Unit::Bytes, control_sent.clone());
        let control_received = Counter::default();
        let help = "Control traffic received in datagrams";
        registry.register_with_unit(
            "control_received",
            help,
            Unit::Bytes,
            control_received.clone(),
        );
        let buckets = exponential_buckets(FIRST_BUCKET, BUCKET_FACTOR, BUCKETS);
        let added_time = Histogram::new(buckets);
        let help = "Time that this node adds to a call that it serves, waiting included";
        registry.register_with_unit("added_time", help, Unit::Seconds, added_time.clone());
        let upstream_time = Family::new_with_constructor(upstream_histogram as fn() -> Histogram);
        let help = "Time that a call spent in the own upstream, with the calls made for it";
        registry.register_with_unit("upstream_time", help, Unit::Seconds, upstream_time.clone());
        let gauges = Gauges::register(&mut registry);
        Self {
            registry,
            served,
            dispatched,
            shed,
            retries,
            allowance_used,
            peers_lost,
            control_sent,
            control_received,
            added_time,
            upstream_time,
            gauges,
            tallies: RefCell::default(),
        }
    }

    /// Counts a call executed by the own upstream.
    pub(crate) fn record_served(&self, call: &Call, answer: &Answer) {
        self.served.get_or_create(&labels(call, answer)).inc();
    }

    /// Counts a dispatched call by its final answer.
    pub(crate) fn record_dispatched(&self, call: &Call, answer: &Answer) {
        self.dispatched.get_or_create(&labels(call, answer)).inc();
        self.tally(call, |tally| match answer.outcome {
            Outcome::Done => tally.done += 1,
            Outcome::NotRun => tally.not_run += 1,
            Outcome::Unknown => tally.unknown += 1,
        });
        self.allowance_used.inc_by(answer.used.0.into());
    }

    /// Counts a call refused before execution.
    pub(crate) fn record_shed(&self, call: &Call, reason: Reason) {
        let labels = ShedLabels {
            kind: call.kind.to_string(),
            reason: reason_word(reason),
            importance: call.rank.importance().as_str(),
        };
        self.shed.get_or_create(&labels).inc();
        self.tally(call, |tally| tally.shed += 1);
    }

    /// Returns the outcomes of calls so far, by kind and importance.
    pub(crate) fn tallies(&self) -> Tallies {
        self.tallies.borrow().clone()
    }

    fn tally(&self, call: &Call, change: impl FnOnce(&mut Tally)) {
        let key = (call.kind.clone(), call.rank.importance());
        change(self.tallies.borrow_mut().entry(key).or_default());
    }

    /// Counts a retry.
    pub(crate) fn record_retry(&self) {
        self.retries.inc();
    }

    /// Counts a lost connection to another node.
    pub(crate) fn record_peer_lost(&self) {
        self.peers_lost.inc();
    }

    /// Records the time that this node added to a call.
    pub(crate) fn record_added_time(&self, added: Duration) {
        self.added_time.observe(added.as_secs_f64());
    }

    /// Records the time that a call spent in the own upstream.
    pub(crate) fn record_upstream_time(&self, kind: &KindName, spent: Duration) {
        let labels = KindLabels {
            kind: kind.to_string(),
        };
        let histogram = self.upstream_time.get_or_create(&labels);
        histogram.observe(spent.as_secs_f64());
    }

    /// Counts the bytes of control traffic sent.
    pub(crate) fn record_control_sent(&self, bytes: usize) {
        self.control_sent.inc_by(bytes as u64);
    }

    /// Counts the bytes of control traffic received.
    pub(crate) fn record_control_received(&self, bytes: usize) {
        self.control_received.inc_by(bytes as u64);
    }

    /// Returns all metrics in the text format for scraping.
    pub(crate) fn scrape(&self, snapshot: Snapshot) -> String {
        self.gauges.set(snapshot);
        let mut text = String::new();
        // Writing to a `String` cannot fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}

fn labels(call: &Call, answer: &Answer) -> CallLabels {
    CallLabels {
        kind: call.kind.to_string(),
        outcome: outcome_word(answer.outcome),
        importance: call.rank.importance().as_str(),
    }
}

fn upstream_histogram() -> Histogram {
    let buckets = exponential_buckets(FIRST_UPSTREAM_BUCKET, 2.0, UPSTREAM_BUCKETS);
    Histogram::new(buckets)
}

fn counter(registry: &mut Registry, name: &str, help: &str) -> Counter {
    let counter = Counter::default();
    registry.register(name, help, counter.clone());
    counter
}

fn gauge(registry: &mut Registry, name: &str, help: &str) -> Gauge {
    let gauge: Gauge = Gauge::default();
    registry.register(name, help, gauge.clone());
    gauge
}

impl Gauges {
    fn register(registry: &mut Registry) -> Self {
        let reported_load = Gauge::<f64, AtomicU64>::default();
        let help = "Load that the own upstream reports, which may lag or mislead";
        registry.register("upstream_reported_load", help, reported_load.clone());
        let mut gauge = |name, help| gauge(registry, name, help);
        Self {
            reported_load,
            requests: gauge("request_ids", "Request ids whose retries are accounted for"),
            ejected: gauge("peers_ejected", "Members that get no calls after failures"),
            limit: gauge("limit", "Calls that may be in the own upstream at once"),
            in_flight: gauge("in_flight", "Calls in the own upstream"),
            waiting: gauge("waiting", "Calls that wait for admission"),
            level: gauge("admission_level", "Lowest rank that is admitted, 0 to 255"),
            config_version: gauge("config_version", "Version of the configuration in force"),
            members: gauge("members", "Other members that are known and not dead"),
            members_dead: gauge("members_dead", "Members held for dead"),
            tickets: gauge("tickets", "Tickets remembered"),
            ticket_bytes: gauge("ticket_memory_bytes", "Memory of the remembered tickets"),
            unknown: gauge("unknown_outcomes", "Unknown outcomes not settled"),
            peer_connections: gauge("peer_connections", "Open connections to other nodes"),
            upstream_connections: gauge("upstream_idle_connections", "Unused connections open"),
            platform_operations: gauge("platform_operations", "Operations tried on the platform"),
            panics: gauge("task_panics", "Tasks that panicked"),
        }
    }

    fn set(&self, snapshot: Snapshot) {
        let clamp = |value: usize| i64::try_from(value).unwrap_or(i64::MAX);
        let clamp64 = |value: u64| i64::try_from(value).unwrap_or(i64::MAX);
        self.limit.set(clamp(snapshot.limit));
        self.in_flight.set(clamp(snapshot.in_flight));
        self.waiting.set(clamp(snapshot.waiting));
        self.level.set(snapshot.level.into());
        self.config_version.set(clamp64(snapshot.config_version));
        self.members.set(clamp(snapshot.members));
        self.members_dead.set(clamp(snapshot.members_dead));
        self.tickets.set(clamp(snapshot.tickets));
        self.ticket_bytes.set(clamp64(snapshot.ticket_bytes));
        self.unknown.set(clamp(snapshot.unknown));
        self.peer_connections.set(clamp(snapshot.peer_connections));
        self.upstream_connections
            .set(clamp(snapshot.upstream_connections));
        self.platform_operations
            .set(clamp64(snapshot.platform_operations));
        self.panics.set(clamp64(snapshot.panics));
        self.requests.set(clamp(snapshot.requests));
        self.ejected.set(clamp(snapshot.ejected));
        self.reported_load.set(snapshot.reported_load);
    }
}
