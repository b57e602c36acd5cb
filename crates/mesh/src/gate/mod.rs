//! The only way to the own upstream.
//!
//! Nothing else reaches the upstream, so what must hold for it is decided
//! here without agreement: which life of it gets requests, how many at once,
//! in which order, and that none runs twice that must not.

mod builder;
mod crash;
mod doubt;
mod entered;
mod exchange;
mod kinds;
mod loss;
mod patience;
mod pool;
mod port;
mod records;
mod refusal;
mod report;
mod room;
mod send;
mod silence;
mod single;
mod upstream;

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures::channel::oneshot;
use sailtrack_admission::{Admission, Pressure, Rejection, Throttle, ThrottlePermit};
use sailtrack_kernel::Service;
use sailtrack_log::{catalogue, emit};
use sailtrack_net::task::{self, Held};
use sailtrack_quarantine::Standing;
use sailtrack_units::ServiceName;
use sailtrack_wire::{Outcome, Reason};

use crate::clock;
use crate::contexts::Contexts;
use crate::dialect::Dialect;
use crate::events::{Events, Limiter};
use crate::key::{AttemptKey, UpstreamKey};
use crate::metrics::{Metrics, Stage};
use crate::quarantine::Quarantine;
use crate::request::{Request, Response};
use crate::suspension;
pub(crate) use builder::Builder;
use crash::Watcher;
use entered::Entered;
use kinds::Kinds;
use pool::Pool;
pub(crate) use port::Finding;
use records::Place;
pub(crate) use records::{Recalled, Records};
use room::Room;
use silence::until_told;
use single::{Single, Turn};
pub(crate) use upstream::Upstream;

/// How much longer than its deadline the answer to a request that must not run twice is awaited:
/// the upstream stops at the deadline and says so.
const ANSWER_GRACE: Duration = Duration::from_millis(250);

/// The only way to the own upstream.
pub(crate) struct Gate {
    dialect: Rc<dyn Dialect>,
    service: ServiceName,
    upstream: Rc<Upstream>,
    admission: Rc<Admission>,
    outset: Rc<Throttle>,
    contexts: Rc<Contexts>,
    records: Rc<Records>,
    events: Rc<Events>,
    metrics: Rc<Metrics>,
    /// The longest time that any request may take.
    longest: Cell<Duration>,
    kinds: Kinds,
    room: Rc<Room>,
    pool: Pool,
    watcher: Watcher,
    quarantine: Rc<Quarantine>,
    suspension: Rc<suspension::Detector>,
    /// A request that may end the upstream runs there alone among such requests.
    trials: Single,
    in_flight: Rc<Cell<usize>>,
}

impl Service for Gate {
    const NAME: &'static str = "gate";
}

impl Gate {
    /// Returns how full the own upstream is for requests that matter as much as this one, as far
    /// as it is shared with those who call it from further up.
    fn shared_pressure(&self, work: &Request) -> Pressure {
        self.admission.shared_pressure(Instant::now(), work.class)
    }

    /// Brings a request to the own upstream and returns what became of it.
    ///
    /// Dropping the future stops a request that may run again, and one that was not sent yet.
    pub(crate) async fn run(self: &Rc<Self>, work: Request) -> Response {
        let held = Held::new(&self.in_flight);
        let (attempt, kind) = (work.attempt.clone(), work.kind.clone());
        let class = work.class;
        let mut returned = self.admit(work).await;
        returned.body.hold(held);
        let pressure = self.admission.pressure(Instant::now(), class);
        if returned.outcome == Outcome::Unknown {
            self.events
                .log_unknown_outcome(&attempt, &kind, returned.reason);
        }
        self.metrics
            .record_completion(Stage::Gate, &kind, returned.outcome, returned.reason);
        Response {
            pressure,
            pace: self.upstream.report.pace(clock::now()),
            path_pressure: returned.path_pressure.max(pressure),
            ..returned
        }
    }

    async fn admit(self: &Rc<Self>, mut work: Request) -> Response {
        let now = Instant::now();
        if self.upstream.is_closed() {
            return self.refuse(&work, Reason::Draining);
        }
        self.suspension.catch_up().await;
        // Its sender may not know yet what this node knows.
        if self.quarantine.standing(&work.identity).is_quarantined() {
            return self.refuse(&work, Reason::Quarantined);
        }
        let Some(_) = self.open_upstream(&work, now) else {
            return self.refuse(&work, Reason::NoUpstream);
        };
        let place = if work.idempotent {
            None
        } else {
            match self.records.begin(&work.attempt, now) {
                Some(place) => Some(place),
                None => return self.recall(&work.attempt).await,
            }
        };
        let outset = match self.begin(&work, now) {
            Ok(outset) => outset,
            Err(hold) => return self.hold_back(&work, hold),
        };
        let entered = match self.enter(&mut work, outset).await {
            Ok(entered) => entered,
            Err(refused) => return refused,
        };
        match place {
            None => self.run_repeatable(&work, entered).await,
            Some(place) => self.run_once(work, entered, place).await,
        }
    }

    /// Waits for a slot of the own upstream, and looks again at what may have changed meanwhile.
    async fn enter(
        &self,
        work: &mut Request,
        outset: Option<ThrottlePermit>,
    ) -> Result<Entered, Response> {
        let permit = self
            .admission
            .enter_in_class(work.class, work.rank, work.is_nested, work.time_left())
            .await;
        let permit = permit.map_err(|reason| self.refuse_at(work, reason, Limiter::Queue))?;
        let Some(upstream) = self.open_upstream(work, Instant::now()) else {
            return Err(self.refuse(work, Reason::Draining));
        };
        let trial = self
            .begin_trial(work)
            .map_err(|reason| self.refuse(work, reason))?;
        Ok(Entered {
            upstream,
            ended: self.upstream.ended(),
            stay: self.room.enter(permit),
            outset,
            trial,
            is_silent: Rc::default(),
        })
    }

    /// Lets a request in by what is held against it at this moment: it may have waited, and its
    /// sender may know less.
    fn begin_trial(&self, work: &mut Request) -> Result<Option<Turn>, Reason> {
        let standing = self.quarantine.standing(&work.identity);
        work.known_crashes = work.known_crashes.max(standing.known_crashes());
        match standing {
            Standing::Clear | Standing::Suspected { .. } => Ok(None),
            Standing::OnTrial { .. } => {
                let trial = self.trials.begin();
                trial.map(Some).ok_or(Reason::OnTrial)
            }
            Standing::Quarantined { .. } => Err(Reason::Quarantined),
        }
    }

    /// Runs a request that may run again, for as long as somebody waits for it.
    async fn run_repeatable(self: &Rc<Self>, work: &Request, entered: Entered) -> Response {
        let mut returned = self.send(work, &entered, work.deadline).await;
        entered.note(&returned, self.shared_pressure(work));
        returned.body.hold(entered);
        returned
    }

    /// Runs a request that must not run twice to its end, whoever still waits for it.
    async fn run_once(self: &Rc<Self>, work: Request, entered: Entered, place: Place) -> Response {
        if !place.start() {
            return self.refuse(&work, Reason::TicketClosed);
        }
        let gate = Rc::clone(self);
        let deadline = work.deadline;
        let is_silent = Rc::clone(&entered.is_silent);
        let (sender, receiver) = oneshot::channel();
        let held = Held::new(&self.in_flight);
        task::spawn("execution", async move {
            let until = work.deadline + ANSWER_GRACE;
            let mut returned = gate.send(&work, &entered, until).await;
            place.end(&returned, Instant::now());
            entered.note(&returned, gate.shared_pressure(&work));
            returned.body.hold((entered, held));
            // The caller may have left; the record has the answer.
            let _ = sender.send(returned);
        });
        let returned = until_told(deadline, &is_silent, receiver).await;
        returned.unwrap_or_else(|_| Response::unknown(Reason::Cancelled))
    }

    /// Takes in how many connections the own upstream accepts.
    pub(crate) fn limit_connections(&self, connections: usize) {
        self.pool.bound(connections);
    }

    /// Takes in the longest time that any request may take.
    pub(crate) fn limit_request_time(&self, time: Duration) {
        self.longest.set(time);
    }

    /// Takes in that another life of the upstream begins: unused connections lead to an earlier
    /// one, and what broke its connections just before may have ended it.
    pub(crate) fn handle_new_incarnation(&self) {
        self.pool.clear();
        self.room.clear();
        self.adopt();
        let earlier = self.watcher.doubted(clock::now());
        if let Some(earlier) = earlier.filter(|earlier| self.upstream.was_replaced(earlier)) {
            self.note_crash(&earlier);
        }
    }

    /// Keeps the room of what an earlier process of this node left in the upstream.
    fn adopt(&self) {
        let Some((load, at)) = self.upstream.take_first_load() else {
            return;
        };
        let requests = load.requests();
        if requests > 0 {
            emit(&catalogue::REQUESTS_LEFT_BEHIND, &[("requests", &requests)]);
            let until = at + self.longest.get();
            self.room.adopt(&self.admission, requests, until);
        }
    }

    /// Returns what became of a request whose caller lost the answer.
    pub(crate) async fn recall(&self, attempt: &AttemptKey) -> Response {
        match self.records.recall(attempt, Instant::now()) {
            Recalled::Ended(returned) => returned,
            Recalled::Running(receiver) => {
                let returned = receiver.await;
                returned.unwrap_or_else(|_| Response::unknown(Reason::Connection))
            }
        }
    }

    /// Returns the life of the upstream that may run the request.
    fn open_upstream(&self, work: &Request, now: Instant) -> Option<UpstreamKey> {
        if work.service != self.service {
            return None;
        }
        self.upstream.ready(now)
    }

    /// Returns the place of a client's request among those of its kind.
    fn begin(&self, work: &Request, now: Instant) -> Result<Option<ThrottlePermit>, Rejection> {
        if work.is_nested {
            return Ok(None);
        }
        self.outset.acquire(&work.kind, now).map(Some)
    }
}
