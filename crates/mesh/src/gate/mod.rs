//! The single access point to the local upstream.
//!
//! All requests to the local upstream pass through this module, so its
//! guarantees need no agreement between nodes: which incarnation of the
//! upstream gets requests, how many run concurrently, in which order they are
//! admitted, and that a non-idempotent request runs at most once.

mod admitted;
mod builder;
mod crash;
mod demands;
mod exchange;
mod history;
mod incarnation;
mod kinds;
mod lock;
mod loss;
mod pool;
mod port;
mod records;
mod refusal;
mod report;
mod send;
mod slots;
mod suspicion;
mod timeout;
mod upstream;
mod wait;

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures::channel::oneshot;
use monoio::time::sleep;
use sailtrack_admission::{Admission, Pressure, Rejection, Throttle, ThrottlePermit};
use sailtrack_kernel::Service;
use sailtrack_log::{catalogue, emit};
use sailtrack_net::task;
use sailtrack_quarantine::Standing;
use sailtrack_units::{Class, ServiceName};
use sailtrack_wire::{Outcome, Reason};

use crate::clock;
use crate::contexts::Contexts;
use crate::dialect::Dialect;
use crate::events::Events;
use crate::key::{AttemptKey, UpstreamKey};
use crate::memory::{Buffer, Memory};
use crate::metrics::{Metrics, Stage};
use crate::quarantine::Quarantine;
use crate::request::{OverLimit, Request, Response};
use crate::suspension;
use admitted::Admitted;
pub(crate) use builder::Builder;
use crash::Detector;
pub(crate) use demands::Demands;
use kinds::Kinds;
use lock::{Guard, Lock};
use pool::Pool;
pub(crate) use port::Finding;
use records::Entry;
pub(crate) use records::{Recalled, Records};
use slots::Slots;
pub(crate) use upstream::Upstream;

/// How long after its deadline a request still waits for its response: the upstream stops work at
/// the deadline and then reports that.
const RESPONSE_GRACE: Duration = Duration::from_millis(250);

/// How often idle connections to the upstream are checked.
const SWEEP_INTERVAL: Duration = Duration::from_secs(2);

/// Admits requests to the local upstream and executes them there.
pub(crate) struct Gate {
    dialect: Rc<dyn Dialect>,
    service: ServiceName,
    upstream: Rc<Upstream>,
    admission: Rc<Admission>,
    throttle: Rc<Throttle>,
    contexts: Rc<Contexts>,
    records: Rc<Records>,
    events: Rc<Events>,
    metrics: Rc<Metrics>,
    /// The longest timeout of any request.
    max_request_time: Cell<Duration>,
    kinds: Kinds,
    slots: Rc<Slots>,
    pool: Pool,
    memory: Rc<Memory>,
    detector: Rc<Detector>,
    quarantine: Rc<Quarantine>,
    suspension: Rc<suspension::Detector>,
    /// Held by the one request on trial that may run at a time, since it might crash the upstream.
    trials: Lock,
    in_flight: Rc<Cell<usize>>,
}

impl Service for Gate {
    const NAME: &'static str = "gate";
}

impl Gate {
    /// Returns the pressure on the local upstream for the request's class, as far as it is shared
    /// with callers further up the call chain.
    fn shared_pressure(&self, request: &Request) -> Pressure {
        self.admission
            .shared_pressure(Instant::now(), request.class)
    }

    /// Executes a request on the local upstream and returns the result.
    ///
    /// Dropping the future cancels an idempotent request, and any request that has not been sent
    /// yet.
    pub(crate) async fn run(self: &Rc<Self>, request: Request) -> Response {
        let in_flight_guard = task::Guard::new(&self.in_flight);
        let (attempt, kind) = (request.attempt.clone(), request.kind.clone());
        let class = request.class;
        let mut response = self.admit(request).await;
        response.body.hold(in_flight_guard);
        if response.outcome == Outcome::Unknown {
            self.events
                .log_unknown_outcome(&attempt, &kind, response.reason);
        }
        self.metrics
            .record_completion(Stage::Gate, &kind, response.outcome, response.reason);
        self.with_load(class, response)
    }

    /// Adds how loaded the local upstream is.
    fn with_load(&self, class: Class, response: Response) -> Response {
        let pressure = self.admission.pressure(Instant::now(), class);
        Response {
            pressure,
            pace: self.upstream.report.pace(clock::now()),
            path_pressure: response.path_pressure.max(pressure),
            rate_limit: self.upstream.rate_limit(),
            ..response
        }
    }

    async fn admit(self: &Rc<Self>, mut request: Request) -> Response {
        let now = Instant::now();
        if self.upstream.is_closed() {
            return self.refuse(&request, Reason::Draining);
        }
        self.suspension.catch_up().await;
        // The sending node may not have received the evidence that this node has.
        if self.quarantine.standing(&request.identity).is_quarantined() {
            return self.refuse(&request, Reason::Quarantined);
        }
        let Some(_) = self.ready_upstream(&request, now) else {
            return self.refuse(&request, Reason::NoUpstream);
        };
        let entry = if request.idempotent {
            None
        } else if !self.records.has_room_for(&request.attempt, now) {
            return self.refuse_without_memory(&request);
        } else {
            match self.records.begin(&request.attempt, now) {
                Some(entry) => Some(entry),
                None => return self.recall(&request.attempt).await,
            }
        };
        let throttle_permit = match self.acquire_throttle_permit(&request, now) {
            Ok(throttle_permit) => throttle_permit,
            Err(rejection) => return self.refuse_throttled(&request, rejection),
        };
        let admitted = match self.acquire_slot(&mut request, throttle_permit).await {
            Ok(admitted) => admitted,
            Err(refused) => return refused,
        };
        // Taken out of the request, so that it is released once the upstream has it.
        let body = std::mem::take(&mut request.body);
        match entry {
            None => self.run_idempotent(&request, body, admitted).await,
            Some(entry) => self.run_once(request, body, admitted, entry).await,
        }
    }

    /// Waits for a concurrency slot of the local upstream, then repeats the checks whose result may
    /// have changed during the wait.
    async fn acquire_slot(
        &self,
        request: &mut Request,
        throttle_permit: Option<ThrottlePermit>,
    ) -> Result<Admitted, Response> {
        let is_over_limit = !self.admission.has_rate_left(Instant::now());
        if is_over_limit && request.over_limit == OverLimit::Refuse {
            return Err(self.refuse_unadmitted(request, Reason::Overload));
        }
        let permit = self
            .admission
            .enter_in_class(
                request.class,
                request.rank,
                request.is_nested,
                request.time_left(),
            )
            .await;
        let permit = permit.map_err(|reason| self.refuse_unadmitted(request, reason))?;
        let Some(upstream) = self.ready_upstream(request, Instant::now()) else {
            return Err(self.refuse(request, Reason::Draining));
        };
        let trial = self
            .begin_trial(request)
            .map_err(|reason| self.refuse(request, reason))?;
        Ok(Admitted {
            upstream,
            ended: self.upstream.ended(),
            slot: self.slots.admit(permit),
            throttle_permit,
            trial,
        })
    }

    /// Checks the quarantine state again, since it may have changed while the request waited and
    /// the sending node may know less.
    fn begin_trial(&self, request: &mut Request) -> Result<Option<Guard>, Reason> {
        let standing = self.quarantine.standing(&request.identity);
        request.known_crashes = request.known_crashes.max(standing.known_crashes());
        match standing {
            Standing::Clear | Standing::Suspected { .. } => Ok(None),
            Standing::OnTrial { .. } => {
                let trial = self.trials.try_acquire();
                trial.map(Some).ok_or(Reason::OnTrial)
            }
            Standing::Quarantined { .. } => Err(Reason::Quarantined),
        }
    }

    /// Executes an idempotent request, which is cancelled when the caller stops waiting.
    async fn run_idempotent(
        self: &Rc<Self>,
        request: &Request,
        body: Buffer,
        admitted: Admitted,
    ) -> Response {
        let mut response = self.send(request, body, &admitted).await;
        admitted.record_result(&response, self.shared_pressure(request));
        response.body.hold(admitted);
        response
    }

    /// Executes a non-idempotent request to completion, even if the caller stops waiting.
    async fn run_once(
        self: &Rc<Self>,
        request: Request,
        body: Buffer,
        admitted: Admitted,
        entry: Entry,
    ) -> Response {
        if !entry.start() {
            return self.refuse(&request, Reason::TicketClosed);
        }
        let gate = Rc::clone(self);
        let (sender, receiver) = oneshot::channel();
        let in_flight_guard = task::Guard::new(&self.in_flight);
        task::spawn("execution", async move {
            let mut response = gate.send(&request, body, &admitted).await;
            entry.finish(&response, Instant::now());
            admitted.record_result(&response, gate.shared_pressure(&request));
            response.body.hold((admitted, in_flight_guard));
            // The caller may have gone away; the execution record keeps the response.
            let _ = sender.send(response);
        });
        let response = receiver.await;
        response.unwrap_or_else(|_| Response::unknown(Reason::Cancelled))
    }

    /// Closes idle connections to the upstream that cannot be used again, forever.
    pub(crate) async fn sweep_connections(self: Rc<Self>) {
        loop {
            sleep(SWEEP_INTERVAL).await;
            self.pool.sweep();
        }
    }

    /// Sets the maximum number of connections that the local upstream accepts.
    pub(crate) fn limit_connections(&self, connections: usize) {
        self.pool.limit_idle(connections);
    }

    /// Sets the longest timeout of any request.
    pub(crate) fn limit_request_time(&self, time: Duration) {
        self.max_request_time.set(time);
    }

    /// Handles the start of a new incarnation of the upstream.
    ///
    /// Idle connections belong to the previous incarnation and are closed. If that one was
    /// suspected of a crash after broken connections and was replaced without a farewell, the crash
    /// is now confirmed.
    pub(crate) fn handle_new_incarnation(&self) {
        self.pool.clear();
        self.slots.release_all();
        self.reserve_leftovers();
        let earlier = self.detector.suspected(clock::now());
        if let Some(earlier) = earlier.filter(|earlier| self.upstream.was_replaced(earlier)) {
            self.handle_crash(&earlier);
        }
    }

    /// Reserves slots for requests of an earlier process of this node that still run in the
    /// upstream.
    fn reserve_leftovers(&self) {
        let Some((load, at)) = self.upstream.take_initial_load() else {
            return;
        };
        let requests = load.requests();
        if requests > 0 {
            emit(&catalogue::REQUESTS_LEFT_BEHIND, &[("requests", &requests)]);
            let until = at + self.max_request_time.get();
            self.slots
                .reserve_reported(&self.admission, requests, until);
        }
    }

    /// Returns the result of a request whose caller lost the response.
    pub(crate) async fn recall(&self, attempt: &AttemptKey) -> Response {
        match self.records.recall(attempt, Instant::now()) {
            Recalled::Ended(response) => *response,
            Recalled::Running(receiver) => {
                let response = receiver.await;
                response.unwrap_or_else(|_| Response::unknown(Reason::Connection))
            }
        }
    }

    /// Returns the incarnation of the upstream that may execute the request.
    fn ready_upstream(&self, request: &Request, now: Instant) -> Option<UpstreamKey> {
        if request.service != self.service {
            return None;
        }
        self.upstream.ready(now)
    }

    /// Acquires a throttle permit for a request that comes directly from a client; calls made for a
    /// running request need none.
    fn acquire_throttle_permit(
        &self,
        request: &Request,
        now: Instant,
    ) -> Result<Option<ThrottlePermit>, Rejection> {
        if request.is_nested {
            return Ok(None);
        }
        self.throttle.acquire(&request.kind, now).map(Some)
    }
}
