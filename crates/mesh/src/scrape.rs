//! The port on which the counters of the node are scraped.

use std::rc::Rc;
use std::time::Instant;

use http::StatusCode;
use sailtrack_admission::Admission;
use sailtrack_net::http::{Handler, Request, Response};

use crate::configuration::Current;
use crate::contexts::Contexts;
use crate::directory::Directory;
use crate::entry::Entry;
use crate::gate::{Records, Upstream};
use crate::metrics::{Metrics, Snapshot};
use crate::peer::Peers;
use crate::watch::Watch;

/// Where the counters are.
const PATH: &str = "/metrics";

/// Answers scrapes.
pub(crate) struct MetricsPort {
    pub(crate) metrics: Rc<Metrics>,
    pub(crate) contexts: Rc<Contexts>,
    pub(crate) admission: Rc<Admission>,
    pub(crate) upstream: Rc<Upstream>,
    pub(crate) records: Rc<Records>,
    pub(crate) directory: Rc<Directory>,
    pub(crate) peers: Rc<Peers>,
    pub(crate) current: Rc<Current>,
    pub(crate) watch: Rc<Watch>,
    pub(crate) entry: Rc<Entry>,
}

impl Handler for MetricsPort {
    async fn handle(&self, request: Request) -> Response {
        if request.path != PATH {
            return Response::text(StatusCode::NOT_FOUND, "the counters are at /metrics\n");
        }
        let snapshot = Snapshot {
            running: self.contexts.len(),
            waiting: self.admission.waiting(),
            slots: self.upstream.slots() as usize,
            records: self.records.len(),
            members: self.directory.len(),
            links: self.peers.open_count(),
            serving: self.peers.serving_count(),
            version: self.current.version().0,
            connections: self.entry.connections.get(),
            watching: usize::from(self.watch.is_ours(Instant::now())),
            foreign_rows: self.directory.foreign_row_count(),
        };
        Response::text(StatusCode::OK, self.metrics.text(&snapshot))
    }
}
