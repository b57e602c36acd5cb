//! The port on which this node's upstream announces itself.

mod acceptance;
mod error;
mod evidence;
mod health;
mod retirement;
mod rows;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use http::StatusCode;
use sailtrack_kernel::Service;
use sailtrack_log::{catalogue, emit};
use sailtrack_net::http::{Handler, Request, Response};
use sailtrack_units::{Incarnation, ServiceName};

use crate::announcement::error::AnnouncementError;
use crate::announcement::evidence::Evidence;
pub(crate) use crate::announcement::rows::Rows;
use crate::configuration::Current;
use crate::dialect::{Announcement, Dialect, Heartbeat, Readiness};
use crate::directory::Directory;
use crate::gate::Upstream;
use crate::key::UpstreamKey;
use crate::metrics::Metrics;
use crate::peer::Peers;
use crate::retired::{Reason, Retired};
use crate::store::Store;

/// How often to check for a configuration or for connected peers.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

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
    pub(crate) incarnation: Incarnation,
    pub(crate) current: Rc<Current>,
    pub(crate) directory: Rc<Directory>,
    /// Whether a lookup for a new incarnation of the upstream is in progress.
    pub(crate) is_looking_up: Cell<bool>,
    pub(crate) evidence: RefCell<Evidence>,
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
}
