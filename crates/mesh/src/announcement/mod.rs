//! The port on which the own upstream announces itself.

mod error;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt::Display;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures::future::{Either, select};
use http::{Method, StatusCode};
use monoio::time::{sleep, timeout};
use rand::Rng as _;
use sailtrack_kernel::Service;
use sailtrack_log::{catalogue, emit};
use sailtrack_net::http::{Handler, Pool, Request, Response};
use sailtrack_net::task;
use sailtrack_units::{Era, ServiceName};

use crate::announcement::error::{AnnouncementError, RowError};
use crate::clock;
use crate::configuration::Current;
use crate::dialect::{Announcement, Beat, Dialect, Readiness};
use crate::gate::Upstream;
use crate::key::UpstreamKey;
use crate::metrics::Metrics;
use crate::peer::Peers;
use crate::retired::Retired;
use crate::store::{Clock, Content, Row, Store, Table};

/// How long an upstream waits for the acknowledgement that it leaves: it hears of none after 1 s.
const RETIRE_TIME: Duration = Duration::from_millis(900);
/// How long the store may take to remember a leaving upstream before the other nodes suffice.
const STORE_TIME: Duration = Duration::from_millis(600);
/// How long the store may take to say whether an upstream has left before.
const LOOKUP_TIME: Duration = Duration::from_millis(800);
/// The pause after a row that the copy lacked could not be written.
const RESTORE_PAUSE: Duration = Duration::from_millis(500);
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
/// How long after its start a node waits for the word of others before it believes a beat.
const PATIENCE: Duration = Duration::from_secs(3);

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
    pub(crate) looking: Cell<bool>,
    /// The last life that this process has acknowledged to leave, of each id.
    pub(crate) acknowledged: RefCell<BTreeMap<String, UpstreamKey>>,
}

impl Service for Announcements {
    const NAME: &'static str = "announcements";
}

/// The handler of the port.
pub(crate) struct AnnouncementPort(pub(crate) Rc<Announcements>);

impl Handler for AnnouncementPort {
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
        if let Announcement::Beat(beat) = &announcement {
            self.check(beat)?;
        }
        Ok(announcement)
    }

    /// Refuses what somebody else says in place of the own upstream.
    fn check(&self, beat: &Beat) -> Result<(), AnnouncementError> {
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
        if beat.upstream.born().is_none() && self.upstream.tells_start() {
            return Err(AnnouncementError::Start);
        }
        Ok(())
    }

    fn refuse(&self, error: &AnnouncementError) -> Response {
        self.metrics.note_refused_announcement();
        emit(
            &catalogue::INPUT_REFUSED,
            &[("port", &"announcements"), ("reason", error)],
        );
        Response::text(error.status(), format!("{error}\n"))
    }

    async fn take(self: &Rc<Self>, announcement: Announcement) -> Response {
        let is_safe = match announcement {
            Announcement::Goodbye(upstream) => self.retire(&upstream, "goodbye").await,
            Announcement::Beat(beat) if beat.readiness == Readiness::Leaving => {
                self.retire(&beat.upstream, "leaving").await
            }
            Announcement::Beat(beat) => {
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

    /// Sends nothing new to an upstream, and returns true once that outlasts this process.
    async fn retire(self: &Rc<Self>, upstream: &UpstreamKey, reason: &str) -> bool {
        let key = self.upstream.retire(upstream, reason);
        let id = key.id().to_owned();
        self.acknowledged.borrow_mut().insert(id, key.clone());
        let work = Rc::clone(self);
        let (sender, receiver) = futures::channel::oneshot::channel();
        // The task goes on when the upstream stops waiting, so that its next try succeeds at once.
        task::spawn("retirement", async move {
            let is_safe = work.remember(&key).await;
            // The upstream may have stopped waiting.
            let _ = sender.send(is_safe);
        });
        matches!(timeout(RETIRE_TIME, receiver).await, Ok(Ok(true)))
    }

    /// Lets the store and other nodes remember an upstream.
    ///
    /// The store suffices; while it does not answer, the other nodes do.
    async fn remember(&self, upstream: &UpstreamKey) -> bool {
        let stored = std::pin::pin!(self.store_retired(upstream));
        let witnessed = std::pin::pin!(self.peers.retire(upstream));
        match select(stored, witnessed).await {
            Either::Left((true, _)) => true,
            Either::Left((false, witnessed)) => witnessed.await,
            Either::Right((witnessed, stored)) => stored.await || witnessed,
        }
    }

    /// Writes the rows of what was acknowledged again, since the store came back from a copy: another
    /// process of this node would believe a late beat.
    pub(crate) fn restore(self: &Rc<Self>) {
        let work = Rc::clone(self);
        let era = self.clock.era();
        task::spawn("retired rows", async move {
            let all: Vec<_> = work.acknowledged.borrow().values().cloned().collect();
            for upstream in all {
                // The next copy writes all of them again.
                while work.clock.era() == era && !work.store_retired(&upstream).await {
                    sleep(RESTORE_PAUSE.mul_f64(rand::rng().random_range(1.0..2.0))).await;
                }
                let fields: &[(&str, &dyn Display)] =
                    &[("table", &Table::Retired), ("key", &upstream.id())];
                emit(&catalogue::ROW_RESTORED, fields);
            }
        });
    }

    async fn store_retired(&self, upstream: &UpstreamKey) -> bool {
        let life = upstream.to_string();
        let put = self.store.put(Table::Retired, upstream.id(), &life);
        let reason = match timeout(STORE_TIME, put).await {
            Ok(Ok(())) => return true,
            Ok(Err(error)) => error.to_string(),
            Err(_) => "late".to_owned(),
        };
        emit(
            &catalogue::STORE_FAILED,
            &[("operation", &"remember upstream"), ("reason", &reason)],
        );
        false
    }

    /// Takes in a beat of an upstream that takes requests.
    ///
    /// A life that this process has not seen is believed only once nobody says
    /// that it has left: the beat may be older than what an earlier process of
    /// this node acknowledged.
    fn take_ready(self: &Rc<Self>, beat: Beat) {
        let now = Instant::now();
        // At a first start what left is what this process has heard of itself.
        if self.first_start || !self.upstream.is_new(&beat, now) {
            self.upstream.take(&beat, now);
            return;
        }
        if self.looking.replace(true) {
            return;
        }
        let announcements = Rc::clone(self);
        task::spawn("upstream lookup", async move {
            if !announcements.has_left(&beat.upstream).await {
                announcements.hear_news().await;
                announcements.upstream.take(&beat, Instant::now());
            }
            announcements.looking.set(false);
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
    pub(crate) async fn ask_upstream(self: Rc<Self>, current: Rc<Current>) {
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
        self.take_ready(Beat {
            upstream,
            service: self.service.clone(),
            address: self.address,
            readiness: Readiness::Ready,
            sequence: 0,
            slots: load.slots,
            cold: Duration::ZERO,
        });
    }

    async fn has_left(&self, upstream: &UpstreamKey) -> bool {
        let row = self.store.row(Table::Retired, upstream.id());
        let reason = match timeout(LOOKUP_TIME, row).await {
            Ok(Ok(reading)) => match reading.row.as_ref().map(retired_life) {
                // A copy may lack the row, so others are heard too.
                None if reading.era > Era::default() => {
                    return self.is_known_to_others(upstream).await;
                }
                None => return self.retired.contains(upstream),
                Some(Ok(life)) => return self.has_left_with(upstream, life),
                // Somebody else wrote it, and it names nobody.
                Some(Err(error)) => error.to_string(),
            },
            Ok(Err(error)) => error.to_string(),
            Err(_) => "late".to_owned(),
        };
        emit(
            &catalogue::STORE_FAILED,
            &[("operation", &"look up upstream"), ("reason", &reason)],
        );
        self.is_known_to_others(upstream).await
    }

    /// Returns true if a node says that this life has left, after the first ones were met.
    async fn is_known_to_others(&self, upstream: &UpstreamKey) -> bool {
        while self.peers.open_count() == 0 && self.started.elapsed() < PATIENCE {
            sleep(LOOK).await;
        }
        // The introductions of others come with the opening of their connections.
        sleep(LOOK).await;
        self.retired.contains(upstream)
    }

    /// Takes in that a life with the same id has left; returns true if `upstream` is that one or
    /// an earlier one.
    fn has_left_with(&self, upstream: &UpstreamKey, left: UpstreamKey) -> bool {
        if upstream.is_older_than(&left) {
            self.retired.note(upstream.clone());
        }
        self.retired.note(left);
        self.retired.contains(upstream)
    }
}

/// Returns the life that a row says has left.
fn retired_life(row: &Row) -> Result<UpstreamKey, RowError> {
    let text = match &row.content {
        Content::Text(text) => text,
        Content::Unreadable(reason) => return Err(RowError::Unreadable(reason.clone())),
        Content::Removed => return Err(RowError::Removed),
    };
    let life: UpstreamKey = text.parse().map_err(RowError::Key)?;
    if life.id() == row.key {
        Ok(life)
    } else {
        Err(RowError::OtherId)
    }
}
