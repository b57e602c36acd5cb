//! The port on which the own upstream announces itself.

mod error;
mod retirement;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
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
use crate::clock;
use crate::configuration::Current;
use crate::dialect::{Announcement, Dialect, Heartbeat, Readiness};
use crate::gate::Upstream;
use crate::key::UpstreamKey;
use crate::metrics::Metrics;
use crate::peer::Peers;
use crate::retired::Retired;
use crate::store::{Clock, Store};

/// How long an upstream may take to say who it is.
const PROBE_TIME: Duration = Duration::from_secs(1);
/// How often the word of other nodes is looked for while the store does not answer.
const LOOK: Duration = Duration::from_millis(50);
/// How long after its start a node waits for news before its upstream gets requests: others connect
/// within some 50 ms of reading its row. Its upstream is not to get a request that all others hold
/// back.
const NEWS_TIME: Duration = Duration::from_millis(300);
/// How often a connection is looked for meanwhile.
const NEWS_LOOK: Duration = Duration::from_millis(5);

/// Takes in what the own upstream announces.
pub(crate) struct Announcements {
    pub(crate) dialect: Rc<dyn Dialect>,
    pub(crate) store: Rc<dyn Store>,
    pub(crate) upstream: Rc<Upstream>,
    pub(crate) retired: Rc<Retired>,
    pub(crate) clock: Rc<Clock>,
    pub(crate) peers: Rc<Peers>,
    pub(crate) metrics: Rc<Metrics>,
    /// The service of the own upstream,
    pub(crate) service: ServiceName,
    /// and where it is.
    pub(crate) address: SocketAddr,
    /// The whole mesh starts for the first time: no upstream has left before.
    pub(crate) first_start: bool,
    pub(crate) started: Instant,
    /// Whether a beat of a new life is being looked into.
    pub(crate) is_looking_up: Cell<bool>,
    /// The last life that this process has acknowledged to leave, of each id.
    pub(crate) acknowledged: RefCell<BTreeMap<String, UpstreamKey>>,
}

impl Service for Announcements {
    const NAME: &'static str = "announcements";
}

/// The handler of the port.
pub(crate) struct Endpoint(pub(crate) Rc<Announcements>);

impl Handler for Endpoint {
    async fn handle(&self, request: Request) -> Response {
        let announcements = &self.0;
        match announcements.read(&request) {
            Ok(announcement) => announcements.take(announcement).await,
            Err(error) => announcements.refuse(&error),
        }
    }
}

impl Announcements {
    /// Reads a message and checks that it comes from the own upstream.
    fn read(&self, request: &Request) -> Result<Announcement, AnnouncementError> {
        let announcement = self.dialect.announcement(request);
        let announcement = announcement.map_err(AnnouncementError::Dialect)?;
        if let Announcement::Heartbeat(beat) = &announcement {
            self.check(beat)?;
        }
        Ok(announcement)
    }

    /// Refuses what somebody else says in place of the own upstream.
    fn check(&self, beat: &Heartbeat) -> Result<(), AnnouncementError> {
        if beat.service != self.service {
            return Err(AnnouncementError::Service {
                own: self.service.clone(),
                told: beat.service.clone(),
            });
        }
        if beat.address != self.address {
            return Err(AnnouncementError::Address {
                own: self.address,
                told: beat.address,
            });
        }
        if beat.upstream.started().is_none() && self.upstream.reports_start() {
            return Err(AnnouncementError::Start);
        }
        Ok(())
    }

    fn refuse(&self, error: &AnnouncementError) -> Response {
        self.metrics.record_refused_announcement();
        emit(
            &catalogue::INPUT_REFUSED,
            &[("port", &"announcements"), ("reason", error)],
        );
        Response::text(error.status(), format!("{error}\n"))
    }

    async fn take(self: &Rc<Self>, announcement: Announcement) -> Response {
        let is_safe = match announcement {
            Announcement::Deregistration(upstream) => self.retire(&upstream, "goodbye").await,
            Announcement::Heartbeat(beat) if beat.readiness == Readiness::Draining => {
                self.retire(&beat.upstream, "leaving").await
            }
            Announcement::Heartbeat(beat) => {
                self.take_ready(beat);
                true
            }
        };
        if is_safe {
            Response::json(StatusCode::OK, self.dialect.acknowledgement())
        } else {
            Response::text(StatusCode::SERVICE_UNAVAILABLE, "not remembered yet\n")
        }
    }

    /// Takes in a beat of an upstream that takes requests.
    ///
    /// A life that this process has not seen is believed only once nobody says
    /// that it has left: the beat may be older than what an earlier process of
    /// this node acknowledged.
    fn take_ready(self: &Rc<Self>, beat: Heartbeat) {
        let now = Instant::now();
        // At a first start what left is what this process has heard of itself.
        if self.first_start || !self.upstream.is_new_incarnation(&beat, now) {
            self.upstream.handle_heartbeat(&beat, now);
            return;
        }
        if self.is_looking_up.replace(true) {
            return;
        }
        let announcements = Rc::clone(self);
        task::spawn("upstream lookup", async move {
            if !announcements.has_left(&beat.upstream).await {
                announcements.hear_news().await;
                announcements
                    .upstream
                    .handle_heartbeat(&beat, Instant::now());
            }
            announcements.is_looking_up.set(false);
        });
    }

    /// Waits for the first connection to another node: its introduction tells which requests may
    /// end the upstream. A node that is alone goes without.
    async fn hear_news(&self) {
        while self.peers.open_count() == 0 && self.started.elapsed() < NEWS_TIME {
            sleep(NEWS_LOOK).await;
        }
    }

    /// Asks the own upstream who it is, so that a node that is back does not wait for a beat.
    ///
    /// An upstream announces itself every 1.5 s, and goes without work until then.
    pub(crate) async fn probe_upstream(self: Rc<Self>, current: Rc<Current>) {
        while current.get().is_none() {
            sleep(LOOK).await;
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
        let deadline = Instant::now() + PROBE_TIME;
        match pool.exchange(request, deadline).await {
            Ok(response) => self.take_health(&response),
            Err(error) => emit(
                &catalogue::UPSTREAM_SILENT,
                &[("address", &self.address), ("reason", &error)],
            ),
        }
    }

    fn take_health(self: &Rc<Self>, response: &Response) {
        let fields = self.dialect.fields();
        let load = response.header(fields.load);
        let load = load.and_then(|value| self.dialect.load(value));
        let upstream = response.header(fields.upstream);
        // The answer does not tell when the upstream was started; its first beat will.
        let upstream = upstream.and_then(|id| UpstreamKey::new(id, None).ok());
        let (StatusCode::OK, Some(upstream), Some(load)) = (response.status, upstream, load) else {
            // It leaves, or does not say enough; its beats decide.
            return;
        };
        self.upstream.note_first_load(load, clock::now());
        self.take_ready(Heartbeat {
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
