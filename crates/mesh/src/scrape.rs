//! The port for metrics, on which quarantined requests are also listed and cleared.

use std::rc::Rc;
use std::time::Instant;

use http::{Method, StatusCode};
use sailtrack_admission::Admission;
use sailtrack_net::http::{Handler, Request, Response};
use sailtrack_quarantine::Identity;
use sailtrack_units::Pace;

use crate::clock;
use crate::configuration::Current;
use crate::contexts::Contexts;
use crate::directory::Directory;
use crate::entry::Entry;
use crate::freshness::Freshness;
use crate::gate::{Records, Upstream};
use crate::memory::Memory;
use crate::metrics::{Metrics, Sample, Snapshot};
use crate::peer::Peers;
use crate::quarantine::Quarantine;
use crate::status::Status;
use crate::watch::Watch;

/// The path of the metrics.
const METRICS: &str = "/metrics";
/// The path that lists requests on trial or in quarantine; each has a path below it, named by its
/// identity.
const QUARANTINE: &str = "/quarantine";
/// The answer for any other path.
const USAGE: &str = "the counters are at /metrics, requests on trial or in quarantine at \
    /quarantine; DELETE /quarantine/IDENTITY clears one on all nodes\n";

/// Answers scrapes and requests about the quarantine.
pub(crate) struct Endpoint {
    pub(crate) metrics: Rc<Metrics>,
    pub(crate) contexts: Rc<Contexts>,
    pub(crate) admission: Rc<Admission>,
    pub(crate) upstream: Rc<Upstream>,
    pub(crate) records: Rc<Records>,
    pub(crate) memory: Rc<Memory>,
    pub(crate) directory: Rc<Directory>,
    pub(crate) peers: Rc<Peers>,
    pub(crate) current: Rc<Current>,
    pub(crate) watch: Rc<Watch>,
    pub(crate) quarantine: Rc<Quarantine>,
    pub(crate) entry: Rc<Entry>,
    pub(crate) freshness: Rc<Freshness>,
    pub(crate) status: Rc<Status>,
}

impl Handler for Endpoint {
    async fn handle(&self, request: Request) -> Response {
        match (&request.method, request.path.as_str()) {
            (_, METRICS) => Response::text(StatusCode::OK, self.metrics_text()),
            (&Method::GET, QUARANTINE) => Response::text(StatusCode::OK, self.quarantine_list()),
            (&Method::DELETE, path) => self.clear(path),
            _ => Response::text(StatusCode::NOT_FOUND, USAGE),
        }
    }
}

impl Endpoint {
    fn metrics_text(&self) -> String {
        let (suspects, quarantined) = self.quarantine.counts();
        let age = self.freshness.age(clock::now());
        let snapshot = Snapshot {
            suspects,
            quarantined,
            running: self.contexts.len(),
            waiting: self.admission.waiting(),
            slots: self.upstream.slots() as usize,
            records: self.records.len(),
            response_bytes: self.entry.connections.answers(),
            input_bytes: self.entry.connections.input(),
            max_client_bytes: self.entry.connections.max_bytes(),
            closed_connections: self.entry.connections.closed(),
            client_bodies: self.memory.clients.sample(),
            peer_bodies: self.memory.peers.sample(),
            members: self.directory.len(),
            links: self.peers.open_count(),
            serving: self.peers.serving_count(),
            version: self.current.version().0,
            connections: self.entry.connections.len(),
            watching: usize::from(self.watch.is_active()),
            foreign_rows: self.directory.foreign_row_count(),
            key_age_ms: age.map_or(0, |age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX)),
            quota_term: self.status.quota_term.get(),
            recent_rate: self.admission.recent_rate(Instant::now()),
            rate_limit: self.upstream.rate_limit().rate(),
            pace_percent: self
                .upstream
                .report
                .pace(clock::now())
                .map_or(0, Pace::percent),
        };
        self.metrics.set_upstreams(&self.upstreams());
        self.metrics.encode(&snapshot)
    }

    /// Returns measurements of the upstreams to which this node has sent requests.
    fn upstreams(&self) -> Vec<Sample> {
        let now = Instant::now();
        let links = self.peers.with_known_load();
        let samples = links.iter().map(|link| {
            let (slowness, pace) = link.load.borrow().slowness_and_pace(now);
            Sample {
                node: link.member.name.clone(),
                service: link.member.service.clone(),
                slowness,
                pace,
            }
        });
        samples.collect()
    }

    /// Returns one line for each request on trial or in quarantine: its identity, the number of
    /// consecutive crashes, the seconds since the last crash, and the remaining seconds of
    /// quarantine.
    fn quarantine_list(&self) -> String {
        let records = self.quarantine.records();
        let lines = records.iter().map(|record| {
            format!(
                "{} crashes={} last_s={} left_s={}\n",
                record.identity,
                record.consecutive_crashes,
                record.age.as_secs(),
                record.remaining.as_secs()
            )
        });
        lines.collect()
    }

    fn clear(&self, path: &str) -> Response {
        let identity = path.strip_prefix(QUARANTINE).unwrap_or_default();
        let identity = identity.trim_start_matches('/').parse::<Identity>();
        match identity {
            Ok(identity) if self.quarantine.lift(&identity) => {
                Response::text(StatusCode::OK, "nothing is held against it any more\n")
            }
            Ok(_) => Response::text(StatusCode::NOT_FOUND, "nothing is held against it here\n"),
            Err(error) => Response::text(StatusCode::BAD_REQUEST, format!("{error}\n")),
        }
    }
}
