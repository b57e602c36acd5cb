//! What the node counts, for scraping.

mod counters;
mod gauges;

use std::sync::atomic::AtomicU64;
use std::time::Duration;

use displaydoc::Display;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Registry, Unit};
use sailtrack_kernel::Service;
use sailtrack_units::{KindName, NodeName, ServiceName};
use sailtrack_wire::{Outcome, Reason};

use crate::request::Response;
use counters::Counters;
use gauges::Gauges;
pub(crate) use gauges::Snapshot;

/// The first and smallest bucket of the time to an answer, in seconds.
const FIRST_BUCKET: f64 = 0.001;
/// The number of buckets, each twice the one before; the last one is near 8 s.
const BUCKETS: u16 = 14;
/// The number of buckets of how many requests a connection has begun: 2, 4, 8 and 16.
const DEPTH_BUCKETS: u16 = 4;
/// The most different kinds that are counted apart; a configuration may have some hundred routes.
const MOST_KINDS: usize = 600;

/// The most upstreams of which speed and pace are shown.
const MOST_UPSTREAMS: usize = 256;

/// The part of the node at which a request ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub(crate) enum Stage {
    /// entry
    Entry,
    /// gate
    Gate,
}

/// The labels of requests that ended.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct EndLabels {
    place: String,
    kind: String,
    outcome: &'static str,
    reason: &'static str,
}

/// The labels of a time that is kept for each kind.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct KindLabels {
    kind: String,
}

/// The labels of what is counted for each service.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ServiceLabels {
    service: String,
}

/// The labels of what is shown for each other node.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct NodeLabels {
    node: String,
    service: String,
}

/// What is shown of the upstream beside another node.
#[derive(Debug, Clone)]
pub(crate) struct Sample {
    pub(crate) node: NodeName,
    pub(crate) service: ServiceName,
    /// How many times as long as the others of its service it takes.
    pub(crate) slowness: f64,
    /// How many times as long as usual work takes on its instance.
    pub(crate) pace: f64,
}

type Count<L> = Family<L, Counter<u64, AtomicU64>>;

/// What the node counts.
pub(crate) struct Metrics {
    registry: Registry,
    ended: Count<EndLabels>,
    repeats: Count<ServiceLabels>,
    left_domain: Count<ServiceLabels>,
    counters: Counters,
    pipelined: Histogram,
    times: Family<KindLabels, Histogram>,
    slowness: Family<NodeLabels, Gauge>,
    pace: Family<NodeLabels, Gauge>,
    gauges: Gauges,
}

impl Service for Metrics {
    const NAME: &'static str = "metrics";
}

impl Metrics {
    pub(crate) fn new() -> Self {
        let mut registry = Registry::with_prefix("sailtrack_mesh");
        let ended = Count::<EndLabels>::default();
        let repeats = Count::<ServiceLabels>::default();
        let times = Family::<KindLabels, Histogram>::new_with_constructor(|| {
            Histogram::new(exponential_buckets(FIRST_BUCKET, 2.0, BUCKETS))
        });
        registry.register(
            "requests",
            "Requests that ended, where and how",
            ended.clone(),
        );
        let help = "Requests sent to a service once more";
        registry.register("repeats", help, repeats.clone());
        let left_domain = Count::<ServiceLabels>::default();
        let help = "Requests sent to another failure domain, though the own one has upstreams";
        registry.register("left_domain", help, left_domain.clone());
        let counters = Counters::new(&mut registry);
        let pipelined = Histogram::new(exponential_buckets(2.0, 2.0, DEPTH_BUCKETS));
        let help = "Requests begun before those ahead of them were answered, by how many a \
                    connection had then";
        registry.register("pipelined_requests", help, pipelined.clone());
        let help = "Time from a request of a client to its answer";
        registry.register_with_unit("answer", help, Unit::Seconds, times.clone());
        let slowness = Family::<NodeLabels, Gauge>::default();
        let help = "Time of an upstream beside the others of its service, in percent";
        registry.register("upstream_slowness_percent", help, slowness.clone());
        let pace = Family::<NodeLabels, Gauge>::default();
        let help = "Time that work takes on the instance of an upstream, in percent of the usual";
        registry.register("upstream_pace_percent", help, pace.clone());
        let gauges = Gauges::new(&mut registry);
        Self {
            registry,
            ended,
            repeats,
            left_domain,
            counters,
            pipelined,
            times,
            slowness,
            pace,
            gauges,
        }
    }

    /// Notes how a request ended.
    pub(crate) fn record_completion(
        &self,
        stage: Stage,
        kind: &KindName,
        outcome: Outcome,
        reason: Reason,
    ) {
        let labels = EndLabels {
            place: stage.to_string(),
            kind: kind.to_string(),
            outcome: outcome.as_str_name(),
            reason: reason.as_str_name(),
        };
        self.ended.get_or_create(&labels).inc();
    }

    /// Notes that a message about the own upstream was refused.
    pub(crate) fn record_refused_announcement(&self) {
        self.counters.refused_announcements.inc();
    }

    /// Notes that the own upstream crashed.
    pub(crate) fn record_crash(&self) {
        self.counters.crashes.inc();
    }

    /// Notes that a request was put into quarantine.
    pub(crate) fn record_quarantine(&self) {
        self.counters.verdicts.inc();
    }

    /// Notes that a request was not let in for want of a key.
    pub(crate) fn record_credential_error(&self) {
        self.counters.refused_keys.inc();
    }

    /// Notes that requests with keys are refused from now on.
    pub(crate) fn record_keys_outdated(&self) {
        self.counters.outdated_keys.inc();
    }

    /// Notes that a request was refused since its workspace asks more than it may.
    pub(crate) fn record_over_quota(&self) {
        self.counters.over_quota.inc();
    }

    /// Notes that no answer of the own upstream to a request is expected any more.
    pub(crate) fn record_unanswered(&self) {
        self.counters.unanswered.inc();
    }

    /// Notes a request that was begun before those ahead of it were answered, with which its
    /// connection has `depth`.
    pub(crate) fn record_pipelined(&self, depth: usize) {
        self.pipelined
            .observe(f64::from(u32::try_from(depth).unwrap_or(u32::MAX)));
    }

    /// Notes requests that count as not read.
    pub(crate) fn record_unread(&self, count: usize) {
        self.counters.unread.inc_by(count as u64);
    }

    /// Notes how a request of a client ended after `time`.
    pub(crate) fn record_answer(&self, kind: &KindName, returned: &Response, time: Duration) {
        self.record_completion(Stage::Entry, kind, returned.outcome, returned.reason);
        let labels = KindLabels {
            kind: kind.to_string(),
        };
        let times = self.times.get_or_create(&labels);
        times.observe(time.as_secs_f64());
    }

    /// Notes that a request is sent to a service once more.
    pub(crate) fn record_retry(&self, service: &ServiceName) {
        let labels = ServiceLabels {
            service: service.to_string(),
        };
        self.repeats.get_or_create(&labels).inc();
    }

    /// Notes that a request leaves the failure domain, though that has upstreams of the service.
    pub(crate) fn record_other_domain(&self, service: &ServiceName) {
        let labels = ServiceLabels {
            service: service.to_string(),
        };
        self.left_domain.get_or_create(&labels).inc();
    }

    /// Forgets the counts of kinds when too many have been seen, as routes come and go.
    pub(crate) fn limit_kinds(&self, kinds: usize) {
        if kinds > MOST_KINDS {
            self.ended.clear();
            self.times.clear();
        }
    }

    /// Shows what is known of upstreams to which requests were sent, and of no others.
    pub(crate) fn set_upstreams(&self, upstreams: &[Sample]) {
        self.slowness.clear();
        self.pace.clear();
        for shown in upstreams.iter().take(MOST_UPSTREAMS) {
            let labels = NodeLabels {
                node: shown.node.to_string(),
                service: shown.service.to_string(),
            };
            let slowness = percent(shown.slowness);
            self.slowness.get_or_create(&labels).set(slowness);
            self.pace.get_or_create(&labels).set(percent(shown.pace));
        }
    }

    /// Returns everything in the text format of Prometheus.
    pub(crate) fn encode(&self, snapshot: &Snapshot) -> String {
        self.gauges.set(snapshot);
        let mut text = String::new();
        // Writing to a string does not fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}

#[allow(clippy::cast_possible_truncation)]
fn percent(factor: f64) -> i64 {
    (factor * 100.0).round() as i64
}
