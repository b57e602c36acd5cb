//! The port on which this node's upstream announces itself.

mod error;
mod retirement;
mod rows;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use http::{Method, StatusCode};
use monoio::time::sleep;
use sailtrack_kernel::Service;
use sailtrack_log::{catalogue, emit};
use sailtrack_net::http::{Handler, Pool, Request, Response};
use sailtrack_net::task;
use sailtrack_units::ServiceName;

use crate::announcement::error::AnnouncementError;
pub(crate) use crate::announcement::rows::Rows;
use crate::clock;
use crate::configuration::Current;
use crate::dialect::{Announcement, Dialect, Heartbeat, Readiness};
use crate::gate::{Demands, Upstream};
use crate::key::UpstreamKey;
use crate::metrics::Metrics;
use crate::peer::Peers;
use crate::retired::{Reason, Retired};
use crate::store::Store;

/// Timeout for the health check that identifies the upstream at the start.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
/// How often to check for a configuration or for connected peers.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// How long after its start a node waits for a first peer before its upstream gets requests. Peers
/// connect within about 50 ms of reading the node's row, and tell it which requests are in
/// quarantine, so that its upstream does not receive a request that all other nodes hold back.
const PEER_WAIT: Duration = Duration::from_millis(300);
/// How often to check for a first peer meanwhile.
const PEER_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Handles the announcements of this node's upstream.
pub(crate) struct Announcements {
    pub(crate) dialect: Rc<dyn Dialect>,
    pub(crate) store: Rc<dyn Store>,
    pub(crate) upstream: Rc<Upstream>,
    pub(crate) retired: Rc<Retired>,
    pub(crate) peers: Rc<Peers>,
    pub(crate) metrics: Rc<Metrics>,
    /// The service of this node's upstream.
    pub(crate) service: ServiceName,
    /// The address of this node's upstream.
    pub(crate) address: SocketAddr,
    /// Whether the whole mesh starts for the first time, so no upstream was retired before.
    pub(crate) first_start: bool,
    pub(crate) started: Instant,
    /// Whether a lookup for a new incarnation of the upstream is in progress.
    pub(crate) is_looking_up: Cell<bool>,
    /// The incarnation that the upstream named last.
    pub(crate) named: RefCell<Option<UpstreamKey>>,
    pub(crate) rows: Rows,
}

impl Service for Announcements {
    const NAME: &'static str = "announcements";
}

/// The HTTP endpoint of the port.
pub(crate) struct Endpoint(pub(crate) Rc<Announcements>);

impl Handler for Endpoint {
    async fn handle(&self, request: Request) -> Response {
        let announcements = &self.0;
        match announcements.parse(&request) {
            Ok(announcement) => announcements.handle_announcement(announcement).await,
            Err(error) => announcements.reject(&error),
        }
    }
}

impl Announcements {
    /// Parses a message and checks that it describes this node's upstream.
    fn parse(&self, request: &Request) -> Result<Announcement, AnnouncementError> {
        let announcement = self.dialect.announcement(request);
        let announcement = announcement.map_err(AnnouncementError::Dialect)?;
        if let Announcement::Heartbeat(heartbeat) = &announcement {
            self.check(heartbeat)?;
        }
        Ok(announcement)
    }

    /// Rejects a heartbeat that does not describe this node's upstream.
    fn check(&self, heartbeat: &Heartbeat) -> Result<(), AnnouncementError> {
        if heartbeat.service != self.service {
            return Err(AnnouncementError::Service {
                expected: self.service.clone(),
                announced: heartbeat.service.clone(),
            });
        }
        if heartbeat.address != self.address {
            return Err(AnnouncementError::Address {
                expected: self.address,
                announced: heartbeat.address,
            });
        }
        if heartbeat.upstream.started().is_none() && self.upstream.reports_start() {
            return Err(AnnouncementError::MissingStart);
        }
        Ok(())
    }

    fn reject(&self, error: &AnnouncementError) -> Response {
        self.metrics.record_refused_announcement();
        emit(
            &catalogue::INPUT_REFUSED,
            &[("port", &"announcements"), ("reason", error)],
        );
        Response::text(error.status(), format!("{error}\n"))
    }

    async fn handle_announcement(self: &Rc<Self>, announcement: Announcement) -> Response {
        let is_durable = match announcement {
            Announcement::Deregistration(upstream) => {
                self.retire(&upstream, &Reason::Deregistered).await
            }
            Announcement::Heartbeat(heartbeat) if heartbeat.readiness == Readiness::Draining => {
                self.retire(&heartbeat.upstream, &Reason::Draining).await
            }
            Announcement::Heartbeat(heartbeat) => {
                self.handle_ready(heartbeat);
                true
            }
        };
        if is_durable {
            Response::json(StatusCode::OK, self.dialect.acknowledgement())
        } else {
            Response::text(StatusCode::SERVICE_UNAVAILABLE, "not remembered yet\n")
        }
    }

    /// Handles a heartbeat of an upstream that accepts requests.
    ///
    /// An incarnation that is new to this process is accepted only if neither
    /// the store nor a peer reports it as retired. The heartbeat may be a late
    /// one, sent before an earlier process of this node acknowledged that the
    /// upstream retires.
    fn handle_ready(self: &Rc<Self>, heartbeat: Heartbeat) {
        self.record_name(&heartbeat.upstream);
        let now = Instant::now();
        // At a first start this process knows of all retirements.
        if self.first_start || !self.upstream.is_new_incarnation(&heartbeat, now) {
            self.upstream.handle_heartbeat(&heartbeat, now);
            return;
        }
        if self.is_looking_up.replace(true) {
            return;
        }
        let announcements = Rc::clone(self);
        task::spawn("upstream lookup", async move {
            if !announcements.is_retired(&heartbeat.upstream).await {
                announcements.wait_for_peer().await;
                announcements
                    .upstream
                    .handle_heartbeat(&heartbeat, Instant::now());
            }
            announcements.is_looking_up.set(false);
        });
    }

    /// Waits for the first connection to a peer, which reports the requests that may crash the
    /// upstream. Gives up after [`PEER_WAIT`], so that a single node can start.
    async fn wait_for_peer(&self) {
        while self.peers.open_count() == 0 && self.started.elapsed() < PEER_WAIT {
            sleep(PEER_POLL_INTERVAL).await;
        }
    }

    /// Asks the upstream for its identity, so that a restarted node need not wait for a heartbeat.
    ///
    /// An upstream announces itself every 1.5 s, and would not get any requests until then.
    pub(crate) async fn probe_upstream(self: Rc<Self>, current: Rc<Current>) {
        while current.get().is_none() {
            sleep(POLL_INTERVAL).await;
        }
        let configuration = current.get();
        let rules = configuration
            .as_ref()
            .and_then(|known| known.service(&self.service));
        let Some(rules) = rules else {
            return;
        };
        if !self.upstream.is_unknown() {
            return;
        }
        let pool = Pool::new(self.address, None, 1);
        let request = Request::new(Method::GET, rules.health_path.clone(), "");
        let deadline = Instant::now() + PROBE_TIMEOUT;
        match pool.exchange(request, deadline).await {
            Ok(response) => self.handle_health(&response),
            Err(error) => emit(
                &catalogue::UPSTREAM_SILENT,
                &[("address", &self.address), ("reason", &error)],
            ),
        }
    }

    fn handle_health(self: &Rc<Self>, response: &Response) {
        let fields = self.dialect.fields();
        let load = response.header(fields.load);
        let load = load.and_then(|value| self.dialect.load(value));
        let upstream = response.header(fields.upstream);
        let values = |name| response.header(name).map(str::as_bytes).into_iter();
        let demands = Demands::read(
            &*self.dialect,
            values(fields.rate_limit),
            values(fields.leaving),
        );
        // The response lacks the start time of the upstream; its first heartbeat contains it.
        let upstream = upstream.and_then(|id| UpstreamKey::new(id, None).ok());
        if let Some(upstream) = &upstream {
            self.upstream.record_initial_limit(upstream.id(), &demands);
            self.record_name(upstream);
        }
        if demands.is_leaving {
            return;
        }
        let (StatusCode::OK, Some(upstream), Some(load)) = (response.status, upstream, load) else {
            // The upstream is draining or the response is incomplete: wait for its heartbeats.
            return;
        };
        self.upstream.record_initial_load(load, clock::now());
        self.handle_ready(Heartbeat {
            upstream,
            service: self.service.clone(),
            address: self.address,
            readiness: Readiness::Ready,
            sequence: 0,
            slots: load.slots,
            warm_up: Duration::ZERO,
        });
    }
}
