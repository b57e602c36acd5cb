//! Metrics of a mesh node, scraped in the text format of Prometheus.

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

/// The smallest bucket of the response time histogram.
const FIRST_BUCKET_SECONDS: f64 = 0.001;
/// The number of response time buckets, each twice the one before; the last one is near 8 s.
const BUCKET_COUNT: u16 = 14;
/// The number of pipeline depth buckets: 2, 4, 8 and 16 requests.
const DEPTH_BUCKET_COUNT: u16 = 4;
/// The most request kinds with counters of their own; a configuration may have some hundred routes.
const MAX_KINDS: usize = 600;

/// The most upstreams whose slowness and pace are exported.
const MAX_UPSTREAMS: usize = 256;

/// The part of the node at which a request ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub(crate) enum Stage {
    /// entry
    Entry,
    /// gate
    Gate,
}

/// The labels of completed requests.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CompletionLabels {
    place: String,
    kind: String,
    outcome: &'static str,
    reason: &'static str,
}

/// The labels of histograms kept for each kind.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct KindLabels {
    kind: String,
}

/// The labels of counters kept for each service.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ServiceLabels {
    service: String,
}

/// The labels of gauges kept for each other node.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct NodeLabels {
    node: String,
    service: String,
}

/// Measurements of another node's upstream.
#[derive(Debug, Clone)]
pub(crate) struct Sample {
    pub(crate) node: NodeName,
    pub(crate) service: ServiceName,
    /// Its response time, as a multiple of that of the other upstreams of its service.
    pub(crate) slowness: f64,
    /// How long work currently takes on its instance, as a multiple of the usual time.
    pub(crate) pace: f64,
}

type CounterFamily<L> = Family<L, Counter<u64, AtomicU64>>;

/// The metrics of a node and the registry that exports them.
pub(crate) struct Metrics {
    registry: Registry,
    completed: CounterFamily<CompletionLabels>,
    retries: CounterFamily<ServiceLabels>,
    other_domain: CounterFamily<ServiceLabels>,
    counters: Counters,
    pipeline_depth: Histogram,
    response_times: Family<KindLabels, Histogram>,
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
        let completed = CounterFamily::<CompletionLabels>::default();
        let retries = CounterFamily::<ServiceLabels>::default();
        let response_times = Family::<KindLabels, Histogram>::new_with_constructor(|| {
            Histogram::new(exponential_buckets(FIRST_BUCKET_SECONDS, 2.0, BUCKET_COUNT))
        });
        registry.register(
            "requests",
            "Requests that ended, where and how",
            completed.clone(),
        );
        let help = "Requests sent to a service once more";
        registry.register("repeats", help, retries.clone());
        let other_domain = CounterFamily::<ServiceLabels>::default();
        let help = "Requests sent to another failure domain, though the own one has upstreams";
        registry.register("left_domain", help, other_domain.clone());
        let counters = Counters::new(&mut registry);
        let pipeline_depth = Histogram::new(exponential_buckets(2.0, 2.0, DEPTH_BUCKET_COUNT));
        let help = "Requests begun before those ahead of them were answered, by how many a \
                    connection had then";
        registry.register("pipelined_requests", help, pipeline_depth.clone());
        let help = "Time from a request of a client to its answer";
        registry.register_with_unit("answer", help, Unit::Seconds, response_times.clone());
        let slowness = Family::<NodeLabels, Gauge>::default();
        let help = "Time of an upstream beside the others of its service, in percent";
        registry.register("upstream_slowness_percent", help, slowness.clone());
        let pace = Family::<NodeLabels, Gauge>::default();
        let help = "Time that work takes on the instance of an upstream, in percent of the usual";
        registry.register("upstream_pace_percent", help, pace.clone());
        let gauges = Gauges::new(&mut registry);
        Self {
            registry,
            completed,
            retries,
            other_domain,
            counters,
            pipeline_depth,
            response_times,
            slowness,
            pace,
            gauges,
        }
    }

    /// Counts a completed request by its outcome.
    pub(crate) fn record_completion(
        &self,
        stage: Stage,
        kind: &KindName,
        outcome: Outcome,
        reason: Reason,
    ) {
        let labels = CompletionLabels {
            place: stage.to_string(),
            kind: kind.to_string(),
            outcome: outcome.as_str_name(),
            reason: reason.as_str_name(),
        };
        self.completed.get_or_create(&labels).inc();
    }

    /// Counts a refused announcement of the own upstream.
    pub(crate) fn record_refused_announcement(&self) {
        self.counters.refused_announcements.inc();
    }

    /// Counts a crash of the own upstream.
    pub(crate) fn record_crash(&self) {
        self.counters.crashes.inc();
    }

    /// Counts a request that was put into quarantine.
    pub(crate) fn record_quarantine(&self) {
        self.counters.quarantines.inc();
    }

    /// Counts a request that was refused since its key does not identify a workspace.
    pub(crate) fn record_credential_error(&self) {
        self.counters.credential_errors.inc();
    }

    /// Counts each time that the node begins to refuse requests with keys, since its configuration
    /// may be outdated.
    pub(crate) fn record_keys_outdated(&self) {
        self.counters.keys_outdated.inc();
    }

    /// Counts a request that was refused since its workspace exceeds its quota.
    pub(crate) fn record_over_quota(&self) {
        self.counters.over_quota.inc();
    }

    /// Counts a request that the node stopped waiting for, since the own upstream does not answer.
    pub(crate) fn record_unanswered(&self) {
        self.counters.unanswered.inc();
    }

    /// Counts a request that is sent to the own upstream.
    pub(crate) fn record_sent(&self) {
        self.counters.sent.inc();
    }

    /// Counts a request that is refused for the rate limit of the own upstream.
    pub(crate) fn record_rate_refusal(&self) {
        self.counters.rate_refusals.inc();
    }

    /// Counts a response of the own upstream that does not belong to the request it was read for.
    pub(crate) fn record_skipped_response(&self) {
        self.counters.skipped_responses.inc();
    }

    /// Counts a long answer that was not completed.
    pub(crate) fn record_truncated_response(&self) {
        self.counters.truncated_responses.inc();
    }

    /// Records a pipelined request; `depth` is the number of unanswered requests of its connection,
    /// including this one.
    pub(crate) fn record_pipelined(&self, depth: usize) {
        self.pipeline_depth
            .observe(f64::from(u32::try_from(depth).unwrap_or(u32::MAX)));
    }

    /// Counts pipelined requests that were cancelled because an earlier answer closed their
    /// connection.
    pub(crate) fn record_unread(&self, count: usize) {
        self.counters.unread.inc_by(count as u64);
    }

    /// Records the outcome and the response time of a client's request.
    pub(crate) fn record_answer(&self, kind: &KindName, returned: &Response, time: Duration) {
        self.record_completion(Stage::Entry, kind, returned.outcome, returned.reason);
        let labels = KindLabels {
            kind: kind.to_string(),
        };
        let response_times = self.response_times.get_or_create(&labels);
        response_times.observe(time.as_secs_f64());
    }

    /// Counts a retry.
    pub(crate) fn record_retry(&self, service: &ServiceName) {
        let labels = ServiceLabels {
            service: service.to_string(),
        };
        self.retries.get_or_create(&labels).inc();
    }

    /// Counts a request that is sent to another failure domain although the own one has upstreams of
    /// the service.
    pub(crate) fn record_other_domain(&self, service: &ServiceName) {
        let labels = ServiceLabels {
            service: service.to_string(),
        };
        self.other_domain.get_or_create(&labels).inc();
    }

    /// Drops the metrics of all kinds when there are too many kinds, which happens over time as
    /// routes are added and removed.
    pub(crate) fn limit_kinds(&self, kinds: usize) {
        if kinds > MAX_KINDS {
            self.completed.clear();
            self.response_times.clear();
        }
    }

    /// Replaces the gauges of other upstreams.
    pub(crate) fn set_upstreams(&self, upstreams: &[Sample]) {
        self.slowness.clear();
        self.pace.clear();
        for sample in upstreams.iter().take(MAX_UPSTREAMS) {
            let labels = NodeLabels {
                node: sample.node.to_string(),
                service: sample.service.to_string(),
            };
            let slowness = percent(sample.slowness);
            self.slowness.get_or_create(&labels).set(slowness);
            self.pace.get_or_create(&labels).set(percent(sample.pace));
        }
    }

    /// Returns all metrics in the text format of Prometheus.
    pub(crate) fn encode(&self, snapshot: &Snapshot) -> String {
        self.gauges.set(snapshot);
        let mut text = String::new();
        // Writing to a string cannot fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}

#[allow(clippy::cast_possible_truncation)]
fn percent(factor: f64) -> i64 {
    (factor * 100.0).round() as i64
}
