//! Gauges, which are set at each scrape.

use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use sailtrack_units::Rate;

use crate::memory::Sample;

/// The values of all gauges at the time of a scrape.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Snapshot {
    /// The requests in flight in the own upstream.
    pub(crate) running: usize,
    /// The requests that wait for admission.
    pub(crate) waiting: usize,
    /// The concurrent requests that the own upstream accepts; zero while it accepts none.
    pub(crate) slots: usize,
    /// The remembered requests that must not run twice.
    pub(crate) records: usize,
    /// The other nodes that are known.
    pub(crate) members: usize,
    /// The other nodes to which a connection is open.
    pub(crate) links: usize,
    /// The other nodes that accept requests for their upstreams.
    pub(crate) serving: usize,
    /// The version of the configuration in force.
    pub(crate) version: u64,
    /// The open connections of clients.
    pub(crate) connections: usize,
    /// The rows in the store's table of nodes that do not describe a node.
    pub(crate) foreign_rows: usize,
    /// The remembered requests that were in flight when an upstream crashed.
    pub(crate) suspects: usize,
    /// The quarantined requests, which are sent to no upstream.
    pub(crate) quarantined: usize,
    /// 1 while this node follows the store on behalf of its failure domain.
    pub(crate) watching: usize,
    /// Upper bound on the time since the configuration in force was known to be the newest; zero
    /// if unknown.
    pub(crate) key_age_ms: u64,
    /// The term of this node as the allocator of its failure domain's tokens; zero if it is not
    /// the allocator.
    pub(crate) quota_term: u64,
    /// How long work currently takes on the own instance, in percent of the usual time; zero if
    /// not reported.
    pub(crate) pace_percent: u32,
    /// The rate limit that the own upstream names.
    pub(crate) rate_limit: Option<Rate>,
    /// The requests admitted to the own upstream in the last second.
    pub(crate) recent_rate: u32,
    /// The bytes of answers that clients have not taken, and of requests in flight.
    pub(crate) response_bytes: usize,
    /// The bytes that clients have sent and that have not been handled.
    pub(crate) input_bytes: usize,
    /// How many bytes of both there may be.
    pub(crate) max_client_bytes: usize,
    /// Connections of clients closed for lack of room.
    pub(crate) closed_connections: u64,
    /// The memory used by request bodies of clients.
    pub(crate) client_bodies: Sample,
    /// The memory used by request bodies of peers.
    pub(crate) peer_bodies: Sample,
}

/// Reads the value of a gauge from a snapshot.
type Value = Box<dyn Fn(&Snapshot) -> u64>;

/// A gauge and the function that reads its value.
type Sampled = (Gauge, Value);

/// The gauges of a node.
pub(super) struct Gauges(Vec<Sampled>);

impl Gauges {
    pub(super) fn new(registry: &mut Registry) -> Self {
        let mut gauges = register_traffic(registry);
        gauges.extend(register_state(registry));
        let clients = ("client", "clients");
        gauges.extend(register_bodies(registry, clients, |now| &now.client_bodies));
        let peers = ("peer", "peers");
        gauges.extend(register_bodies(registry, peers, |now| &now.peer_bodies));
        Self(gauges)
    }

    /// Sets all gauges from a snapshot.
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
    (gauge, Box::new(value))
}

/// Returns the rate in requests per 1000 s.
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "rates are not negative, and the conversion saturates"
)]
fn milli(rate: Rate) -> u64 {
    (rate.0 * 1000.0) as u64
}

/// Registers the gauges of requests, nodes and connections.
fn register_traffic(registry: &mut Registry) -> Vec<Sampled> {
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

/// Registers the gauges of configuration, quota, pace and quarantine.
fn register_state(registry: &mut Registry) -> Vec<Sampled> {
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
            "rate_limited",
            "1 while the own upstream names a rate limit",
            |now| u64::from(now.rate_limit.is_some()),
        ),
        gauge(
            "rate_limit_milli",
            "Rate limit that the own upstream names, in requests per 1000 s; 0 if it names none",
            |now| now.rate_limit.map_or(0, milli),
        ),
        gauge(
            "rate",
            "Requests admitted to the own upstream in the last second",
            |now| u64::from(now.recent_rate),
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
            "answers_bytes",
            "Bytes of answers in memory that clients have not taken",
            |now| now.response_bytes as u64,
        ),
        gauge(
            "answers_bytes_limit",
            "Bytes of answers and input of clients beyond which their connections are closed",
            |now| now.max_client_bytes as u64,
        ),
        gauge(
            "input_bytes",
            "Bytes that clients have sent and that wait to be handled",
            |now| now.input_bytes as u64,
        ),
        gauge(
            "connections_closed",
            "Connections of clients closed for lack of room since the start",
            |now| now.closed_connections,
        ),
        gauge(
            "foreign_rows",
            "Rows among those of nodes that name no node",
            |now| now.foreign_rows as u64,
        ),
    ]
}

/// A gauge of a budget for request bodies: the end of its name, its help, and its value.
type BodyGauge = (&'static str, &'static str, fn(&Sample) -> u64);

const BODY_GAUGES: [BodyGauge; 5] = [
    ("bytes", "in memory, in bytes", |sample| sample.held as u64),
    (
        "bytes_peak",
        "in memory at once at most, in bytes",
        |sample| sample.peak as u64,
    ),
    ("bytes_limit", "that may be in memory, in bytes", |sample| {
        sample.capacity as u64
    }),
    ("waiting", "that wait for memory", |sample| {
        sample.waiting as u64
    }),
    ("refused", "refused for lack of memory", |sample| {
        sample.refused
    }),
];

/// Registers the gauges of the budget that `budget` selects, for the request bodies of `origin`.
fn register_bodies(
    registry: &mut Registry,
    (prefix, origin): (&str, &str),
    budget: fn(&Snapshot) -> &Sample,
) -> Vec<Sampled> {
    let gauges = BODY_GAUGES.map(|(suffix, help, value)| {
        let gauge = Gauge::default();
        let name = format!("{prefix}_bodies_{suffix}");
        let help = format!("Request bodies of {origin} {help}");
        registry.register(name, help, gauge.clone());
        let sampled = move |now: &Snapshot| value(budget(now));
        (gauge, Box::new(sampled) as Value)
    });
    gauges.into()
}
