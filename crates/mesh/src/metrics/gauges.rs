//! Gauges: values that are read at the time of a scrape.

use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

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

/// A gauge with the value that it shows.
type Sampled = (Gauge, fn(&Snapshot) -> u64);

/// The gauges of a node.
pub(super) struct Gauges(Vec<Sampled>);

impl Gauges {
    pub(super) fn new(registry: &mut Registry) -> Self {
        let mut gauges = of_work(registry);
        gauges.extend(of_state(registry));
        Self(gauges)
    }

    /// Shows the values of this moment.
    pub(super) fn set(&self, snapshot: &Snapshot) {
        for (gauge, value) in &self.0 {
            gauge.set(i64::try_from(value(snapshot)).unwrap_or(i64::MAX));
        }
    }
}

fn register(
    registry: &mut Registry,
    name: &str,
    help: &str,
    value: fn(&Snapshot) -> u64,
) -> Sampled {
    let gauge = Gauge::default();
    registry.register(name, help, gauge.clone());
    (gauge, value)
}

/// Requests, members and connections.
fn of_work(registry: &mut Registry) -> Vec<Sampled> {
    let mut gauge = |name, help, value| register(registry, name, help, value);
    vec![
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
    ]
}

/// Configuration, quota, pace and quarantine.
fn of_state(registry: &mut Registry) -> Vec<Sampled> {
    let mut gauge = |name, help, value| register(registry, name, help, value);
    vec![
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
