//! What the node counts, for scraping.

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

use crate::work::Returned;

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
pub(crate) struct Shown {
    pub(crate) node: NodeName,
    pub(crate) service: ServiceName,
    /// How many times as long as the others of its service it takes.
    pub(crate) slowness: f64,
    /// How many times as long as usual work takes on its instance.
    pub(crate) pace: f64,
}

/// Values that are read at the time of a scrape.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Snapshot {
    /// The requests that run in the own upstream.
    pub(crate) running: usize,
    /// The requests that wait for admission.
    pub(crate) waiting: usize,
    /// The slots of the own upstream; zero while it takes nothing.
    pub(crate) slots: usize,
    /// The requests that must not run twice and are remembered.
    pub(crate) records: usize,
    /// The other nodes that are known,
    pub(crate) members: usize,
    /// those to which a connection is open,
    pub(crate) links: usize,
    /// and those that take requests for their upstreams.
    pub(crate) serving: usize,
    /// The version of the configuration in force.
    pub(crate) version: u64,
    /// The connections of clients that are open.
    pub(crate) connections: usize,
    /// The rows of the store among those of nodes that name no node.
    pub(crate) foreign_rows: usize,
    /// The requests that are remembered since they ran when upstreams ended,
    pub(crate) suspects: usize,
    /// and those of them that are sent to no upstream.
    pub(crate) quarantined: usize,
    /// 1 while this node follows the store on behalf of its failure domain.
    pub(crate) watching: usize,
    /// How many milliseconds ago, at most, the configuration in force was surely the newest; zero
    /// if that is not known.
    pub(crate) key_age_ms: u64,
    /// The term of this node as the allocator of its failure domain's tokens, zero if it is not.
    pub(crate) quota_term: u64,
    /// How long work takes on the instance of the own upstream, in percent; zero if not told.
    pub(crate) pace_percent: u32,
}

type Count<L> = Family<L, Counter<u64, AtomicU64>>;

/// The gauges, each with the value that it shows.
type Gauges = [(Gauge, fn(&Snapshot) -> u64); 16];

/// What the node counts.
pub(crate) struct Metrics {
    registry: Registry,
    ended: Count<EndLabels>,
    repeats: Count<ServiceLabels>,
    left_domain: Count<ServiceLabels>,
    refused_announcements: Counter<u64, AtomicU64>,
    crashes: Counter<u64, AtomicU64>,
    verdicts: Counter<u64, AtomicU64>,
    refused_keys: Counter<u64, AtomicU64>,
    outdated_keys: Counter<u64, AtomicU64>,
    over_quota: Counter<u64, AtomicU64>,
    unanswered: Counter<u64, AtomicU64>,
    pipelined: Histogram,
    unread: Counter<u64, AtomicU64>,
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
        let refused_announcements = counter(
            &mut registry,
            "refused_announcements",
            "Messages about the own upstream that were not its own or could not be read",
        );
        let crashes = counter(
            &mut registry,
            "upstream_crashes",
            "Ends of the own upstream that it had not announced",
        );
        let verdicts = counter(
            &mut registry,
            "verdicts",
            "Requests that were put into quarantine",
        );
        let refused_keys = counter(
            &mut registry,
            "refused_keys",
            "Requests without a key that a workspace has",
        );
        let outdated_keys = counter(
            &mut registry,
            "outdated_keys",
            "Times that requests with keys were refused from then on, since too little is known",
        );
        let over_quota = counter(
            &mut registry,
            "over_quota",
            "Requests beyond the limits of their workspaces",
        );
        let unanswered = counter(
            &mut registry,
            "unanswered",
            "Requests to which no answer of the own upstream was expected any more",
        );
        let unread = counter(
            &mut registry,
            "requests_not_read",
            "Requests that were stopped behind an answer that ended their connection",
        );
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
        let gauges = register_gauges(&mut registry);
        Self {
            registry,
            ended,
            repeats,
            left_domain,
            refused_announcements,
            crashes,
            verdicts,
            refused_keys,
            outdated_keys,
            over_quota,
            unanswered,
            pipelined,
            unread,
            times,
            slowness,
            pace,
            gauges,
        }
    }

    /// Notes how a request ended.
    pub(crate) fn note_end(&self, stage: Stage, kind: &KindName, outcome: Outcome, reason: Reason) {
        let labels = EndLabels {
            place: stage.to_string(),
            kind: kind.to_string(),
            outcome: outcome.as_str_name(),
            reason: reason.as_str_name(),
        };
        self.ended.get_or_create(&labels).inc();
    }

    /// Notes that a message about the own upstream was refused.
    pub(crate) fn note_refused_announcement(&self) {
        self.refused_announcements.inc();
    }

    /// Notes that the own upstream crashed.
    pub(crate) fn note_crash(&self) {
        self.crashes.inc();
    }

    /// Notes that a request was put into quarantine.
    pub(crate) fn note_verdict(&self) {
        self.verdicts.inc();
    }

    /// Notes that a request was not let in for want of a key.
    pub(crate) fn note_key_refused(&self) {
        self.refused_keys.inc();
    }

    /// Notes that requests with keys are refused from now on.
    pub(crate) fn note_keys_outdated(&self) {
        self.outdated_keys.inc();
    }

    /// Notes that a request was refused since its workspace asks more than it may.
    pub(crate) fn note_over_quota(&self) {
        self.over_quota.inc();
    }

    /// Notes that no answer of the own upstream to a request is expected any more.
    pub(crate) fn note_unanswered(&self) {
        self.unanswered.inc();
    }

    /// Notes a request that was begun before those ahead of it were answered, with which its
    /// connection has `depth`.
    pub(crate) fn note_pipelined(&self, depth: usize) {
        self.pipelined
            .observe(f64::from(u32::try_from(depth).unwrap_or(u32::MAX)));
    }

    /// Notes requests that count as not read.
    pub(crate) fn note_unread(&self, count: usize) {
        self.unread.inc_by(count as u64);
    }

    /// Notes how a request of a client ended after `time`.
    pub(crate) fn note_answer(&self, kind: &KindName, returned: &Returned, time: Duration) {
        self.note_end(Stage::Entry, kind, returned.outcome, returned.reason);
        let labels = KindLabels {
            kind: kind.to_string(),
        };
        let times = self.times.get_or_create(&labels);
        times.observe(time.as_secs_f64());
    }

    /// Notes that a request is sent to a service once more.
    pub(crate) fn note_repeat(&self, service: &ServiceName) {
        let labels = ServiceLabels {
            service: service.to_string(),
        };
        self.repeats.get_or_create(&labels).inc();
    }

    /// Notes that a request leaves the failure domain, though that has upstreams of the service.
    pub(crate) fn note_left_domain(&self, service: &ServiceName) {
        let labels = ServiceLabels {
            service: service.to_string(),
        };
        self.left_domain.get_or_create(&labels).inc();
    }

    /// Forgets the counts of kinds when too many have been seen, as routes come and go.
    pub(crate) fn bound(&self, kinds: usize) {
        if kinds > MOST_KINDS {
            self.ended.clear();
            self.times.clear();
        }
    }

    /// Shows what is known of upstreams to which requests were sent, and of no others.
    pub(crate) fn show(&self, upstreams: &[Shown]) {
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
    pub(crate) fn text(&self, snapshot: &Snapshot) -> String {
        for (gauge, value) in &self.gauges {
            gauge.set(i64::try_from(value(snapshot)).unwrap_or(i64::MAX));
        }
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

fn counter(
    registry: &mut Registry,
    name: &'static str,
    help: &'static str,
) -> Counter<u64, AtomicU64> {
    let counter = Counter::default();
    registry.register(name, help, counter.clone());
    counter
}

fn register_gauges(registry: &mut Registry) -> Gauges {
    let mut gauge = |name: &str, help: &str, value: fn(&Snapshot) -> u64| {
        let gauge = Gauge::default();
        registry.register(name, help, gauge.clone());
        (gauge, value)
    };
    [
        gauge("running", "Requests that run in the own upstream", |now| {
            now.running as u64
        }),
        gauge("waiting", "Requests that wait for admission", |now| {
            now.waiting as u64
        }),
        gauge(
            "slots",
            "Slots of the own upstream, 0 while it takes nothing",
            |now| now.slots as u64,
        ),
        gauge(
            "records",
            "Remembered requests that must not run twice",
            |now| now.records as u64,
        ),
        gauge("members", "Other nodes that are known", |now| {
            now.members as u64
        }),
        gauge(
            "links",
            "Other nodes to which a connection is open",
            |now| now.links as u64,
        ),
        gauge(
            "serving",
            "Other nodes that take requests for their upstreams",
            |now| now.serving as u64,
        ),
        gauge(
            "config_version",
            "Version of the configuration in force",
            |now| now.version,
        ),
        gauge(
            "connections",
            "Connections of clients that are open",
            |now| now.connections as u64,
        ),
        gauge(
            "watching",
            "1 while the node follows the store for its failure domain",
            |now| now.watching as u64,
        ),
        gauge(
            "key_age_ms",
            "Milliseconds since the configuration was surely the newest, at most; 0 if not known",
            |now| now.key_age_ms,
        ),
        gauge(
            "quota_term",
            "Term of the node as allocator of its domain's tokens, 0 if it is not",
            |now| now.quota_term,
        ),
        gauge(
            "pace_percent",
            "Time of work on the instance in percent of the usual, 0 if not told",
            |now| u64::from(now.pace_percent),
        ),
        gauge(
            "suspects",
            "Requests remembered since they ran when upstreams ended",
            |now| now.suspects as u64,
        ),
        gauge(
            "quarantined",
            "Requests that are sent to no upstream",
            |now| now.quarantined as u64,
        ),
        gauge(
            "foreign_rows",
            "Rows among those of nodes that name no node",
            |now| now.foreign_rows as u64,
        ),
    ]
}
