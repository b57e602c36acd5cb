//! The only way to the own upstream.
//!
//! Nothing else reaches the upstream, so what must hold for it is decided
//! here without agreement: which life of it gets requests, how many at once,
//! in which order, and that none runs twice that must not.

mod crash;
mod exchange;
mod pool;
mod records;
mod trial;
mod upstream;

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use futures::channel::oneshot;
use futures::future::{Either, select};
use sailtrack_admission::{
    Admission, Floor, Hold, Met, Outset, OutsetPlace, Permit, Pressure, Windows,
};
use sailtrack_kernel::Service;
use sailtrack_net::task::{self, Held};
use sailtrack_net::transparent::ResponseHead;
use sailtrack_quarantine::Standing;
use sailtrack_units::{Moment, ServiceName};
use sailtrack_wire::{Outcome, Reason};

use crate::clock;
use crate::contexts::{Context, Contexts};
use crate::dialect::Dialect;
use crate::events::{Bound, Events, Refusal};
use crate::key::{AttemptKey, UpstreamKey};
use crate::metrics::{Metrics, Stage};
use crate::quarantine::Quarantine;
use crate::returns;
use crate::wake::Wake;
use crate::work::{Returned, Work};
use crash::Watcher;
use exchange::{ExchangeError, UpstreamAnswer, exchange};
use pool::Pool;
use records::Place;
pub(crate) use records::{Recalled, Records};
use trial::{Trial, Trials};
use upstream::Ended;
pub(crate) use upstream::Upstream;

/// How much longer than its deadline the answer to a request that must not run twice is awaited:
/// the upstream stops at the deadline and says so.
const ANSWER_GRACE: Duration = Duration::from_millis(250);
/// The statuses that promise that a request did not run.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// The only way to the own upstream.
pub(crate) struct Gate {
    dialect: Rc<dyn Dialect>,
    service: ServiceName,
    upstream: Rc<Upstream>,
    admission: Rc<Admission>,
    outset: Rc<Outset>,
    contexts: Rc<Contexts>,
    records: Rc<Records>,
    events: Rc<Events>,
    metrics: Rc<Metrics>,
    pool: Pool,
    watcher: Watcher,
    quarantine: Rc<Quarantine>,
    wake: Rc<Wake>,
    trials: Trials,
    in_flight: Rc<Cell<usize>>,
}

impl Service for Gate {
    const NAME: &'static str = "gate";
}

/// What a request holds while it is in the own upstream.
struct Entered {
    upstream: UpstreamKey,
    /// Tells that this life of the upstream has ended.
    ended: Ended,
    /// Its slot; given back when it is dropped.
    #[allow(dead_code, reason = "it is held, not read")]
    permit: Permit,
    /// Its place among those of its kind, if a client made it.
    outset: Option<OutsetPlace>,
    /// Held if it may end the upstream.
    #[allow(dead_code, reason = "it is held, not read")]
    trial: Option<Trial>,
}

impl Entered {
    /// Notes what the request met further down; `here` is how full its own upstream is.
    fn note(&self, returned: &Returned, here: Pressure) {
        if let Some(outset) = &self.outset {
            let met = Met {
                here,
                below: returned.path_pressure,
                found_nobody: returned.found_nobody(),
            };
            outset.note(Instant::now(), met);
        }
    }
}

/// Builds a gate from the services that it uses.
pub(crate) struct Builder {
    gate: Gate,
    windows: Rc<Windows>,
}

impl Builder {
    /// Starts with the services that every gate needs.
    pub(crate) fn new(
        service: ServiceName,
        target: SocketAddr,
        dialect: Rc<dyn Dialect>,
        upstream: Rc<Upstream>,
        (quarantine, wake): (Rc<Quarantine>, Rc<Wake>),
    ) -> Self {
        let rules = crate::node::ADMISSION_RULES;
        let gate = Gate {
            dialect,
            service,
            upstream,
            admission: Rc::new(Admission::new(rules, Instant::now())),
            outset: Outset::new(Rc::default(), Rc::default()),
            contexts: Rc::default(),
            records: Rc::default(),
            events: Rc::default(),
            metrics: Rc::new(Metrics::new()),
            pool: Pool::new(target),
            watcher: Watcher::new(target),
            quarantine,
            wake,
            trials: Trials::default(),
            in_flight: Rc::default(),
        };
        Self {
            gate,
            windows: Rc::default(),
        }
    }

    /// Sets the count of what the node works on.
    pub(crate) fn in_flight(mut self, in_flight: Rc<Cell<usize>>) -> Self {
        self.gate.in_flight = in_flight;
        self
    }

    /// Sets who may enter the upstream.
    pub(crate) fn admission(mut self, admission: Rc<Admission>, windows: Rc<Windows>) -> Self {
        self.gate.admission = admission;
        self.windows = windows;
        self
    }

    /// Sets what is remembered about requests.
    pub(crate) fn memory(mut self, contexts: Rc<Contexts>, records: Rc<Records>) -> Self {
        self.gate.contexts = contexts;
        self.gate.records = records;
        self
    }

    /// Sets where decisions are logged and counted.
    pub(crate) fn reports(mut self, events: Rc<Events>, metrics: Rc<Metrics>) -> Self {
        self.gate.events = events;
        self.gate.metrics = metrics;
        self
    }

    /// Returns the gate.
    pub(crate) fn build(mut self) -> Gate {
        let floors = Rc::clone(self.gate.contexts.floors());
        self.gate.outset = Outset::new(self.windows, floors);
        self.gate
    }
}

impl Gate {
    /// Returns how full the own upstream is for requests that matter as much as this one, as far
    /// as it is shared with those who call it from further up.
    fn shared_pressure(&self, work: &Work) -> Pressure {
        self.admission.shared_pressure(Instant::now(), work.class)
    }

    /// Brings a request to the own upstream and returns what became of it.
    ///
    /// Dropping the future stops a request that may run again, and one that was not sent yet.
    pub(crate) async fn run(self: &Rc<Self>, work: Work) -> Returned {
        let held = Held::new(&self.in_flight);
        let (attempt, kind) = (work.attempt.clone(), work.kind.clone());
        let (class, begun) = (work.class, work.begun);
        let mut returned = self.admit(work).await;
        returned.body.hold(held);
        let pressure = self.admission.pressure(Instant::now(), class);
        if returned.outcome == Outcome::Unknown {
            self.events.note_unknown(&attempt, &kind, returned.reason);
        }
        self.metrics
            .note_end(Stage::Gate, &kind, returned.outcome, returned.reason);
        // Who brings a request here directly finds a place in the queue or goes elsewhere.
        let here = if begun {
            self.admission.floor()
        } else {
            Floor::NONE
        };
        Returned {
            floor: returned.floor.higher(here),
            pressure,
            path_pressure: returned.path_pressure.greater(pressure),
            ..returned
        }
    }

    async fn admit(self: &Rc<Self>, mut work: Work) -> Returned {
        let now = Instant::now();
        if self.upstream.is_closed() {
            return self.refuse(&work, Reason::Draining);
        }
        self.wake.news().await;
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
        let entered = self
            .admission
            .enter_as(work.class, work.rank, work.begun, work.time_left())
            .await;
        let permit = match entered {
            Ok(permit) => permit,
            Err(reason) => return self.refuse_at(&work, reason, Bound::Queue),
        };
        // It may have left while the request waited.
        let Some(upstream) = self.open_upstream(&work, Instant::now()) else {
            return self.refuse(&work, Reason::Draining);
        };
        let trial = match self.begin_trial(&mut work) {
            Ok(trial) => trial,
            Err(reason) => return self.refuse(&work, reason),
        };
        let entered = Entered {
            upstream,
            ended: self.upstream.ended(),
            permit,
            outset,
            trial,
        };
        match place {
            None => self.run_repeatable(&work, entered).await,
            Some(place) => self.run_once(work, entered, place).await,
        }
    }

    /// Lets a request in by what is held against it at this moment: it may have waited, and its
    /// sender may know less.
    fn begin_trial(&self, work: &mut Work) -> Result<Option<Trial>, Reason> {
        let standing = self.quarantine.standing(&work.identity);
        work.known_crashes = work.known_crashes.max(standing.known());
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
    async fn run_repeatable(self: &Rc<Self>, work: &Work, entered: Entered) -> Returned {
        let mut returned = self.send(work, &entered, work.deadline).await;
        entered.note(&returned, self.shared_pressure(work));
        returned.body.hold(entered);
        returned
    }

    /// Runs a request that must not run twice to its end, whoever still waits for it.
    async fn run_once(self: &Rc<Self>, work: Work, entered: Entered, place: Place) -> Returned {
        if !place.start() {
            return self.refuse(&work, Reason::TicketClosed);
        }
        let gate = Rc::clone(self);
        let (sender, receiver) = oneshot::channel();
        let held = Held::new(&self.in_flight);
        task::spawn("execution", async move {
            let patience = work.deadline + ANSWER_GRACE;
            let mut returned = gate.send(&work, &entered, patience).await;
            place.end(&returned, Instant::now());
            entered.note(&returned, gate.shared_pressure(&work));
            returned.body.hold((entered, held));
            // The caller may have left; the record has the answer.
            let _ = sender.send(returned);
        });
        let returned = receiver.await;
        returned.unwrap_or_else(|_| Returned::unknown(Reason::Cancelled))
    }

    /// Takes in how many connections the own upstream accepts.
    pub(crate) fn bound_connections(&self, connections: usize) {
        self.pool.bound(connections);
    }

    /// Takes in that another life of the upstream begins: unused connections lead to an earlier
    /// one, and what broke its connections just before may have ended it.
    pub(crate) fn note_new_life(&self) {
        self.pool.clear();
        let Some((upstream, ran)) = self.watcher.take_doubt(clock::now()) else {
            return;
        };
        // The present life is there; only the earlier one is told of.
        if self.upstream.was_replaced(&upstream) && self.watcher.note(&upstream) {
            self.quarantine.note_crash(&upstream, &ran);
        }
    }

    /// Returns what became of a request whose caller lost the answer.
    pub(crate) async fn recall(&self, attempt: &AttemptKey) -> Returned {
        match self.records.recall(attempt, Instant::now()) {
            Recalled::Ended(returned) => returned,
            Recalled::Running(receiver) => {
                let returned = receiver.await;
                returned.unwrap_or_else(|_| Returned::unknown(Reason::Connection))
            }
        }
    }

    /// Returns the life of the upstream that may run the request.
    fn open_upstream(&self, work: &Work, now: Instant) -> Option<UpstreamKey> {
        if work.service != self.service {
            return None;
        }
        self.upstream.ready(now)
    }

    /// Returns the place of a client's request among those of its kind.
    fn begin(&self, work: &Work, now: Instant) -> Result<Option<OutsetPlace>, Hold> {
        if work.begun {
            return Ok(None);
        }
        self.outset.begin(&work.kind, work.rank, now).map(Some)
    }

    fn hold_back(&self, work: &Work, hold: Hold) -> Returned {
        match hold {
            Hold::Window => self.refuse_at(work, Reason::Overload, Bound::Window),
            // Other nodes would refuse it for the same reason.
            Hold::Floor => Returned {
                floor: Floor::above(work.rank),
                ..self.refuse_at(work, Reason::Overload, Bound::Floor)
            },
            Hold::Path => Returned {
                absent_below: true,
                ..self.refuse_at(work, Reason::NoUpstream, Bound::Path)
            },
        }
    }

    fn refuse(&self, work: &Work, reason: Reason) -> Returned {
        self.refuse_at(work, reason, Bound::Nothing)
    }

    fn refuse_at(&self, work: &Work, reason: Reason, bound: Bound) -> Returned {
        self.events.note_refusal(&Refusal {
            attempt: &work.attempt,
            kind: &work.kind,
            reason,
            bound,
            calls: self.admission.in_flight() + self.admission.waiting(),
        });
        let after = match (bound, reason) {
            (Bound::Path, _) => returns::after_absence(),
            (_, Reason::OnTrial) => returns::after_trial(),
            _ => returns::after_overload(self.admission.return_spread(Instant::now())),
        };
        Returned::refused(reason).come_back(after)
    }

    async fn send(self: &Rc<Self>, work: &Work, entered: &Entered, patience: Moment) -> Returned {
        let upstream = &entered.upstream;
        let entry = self.contexts.open(work, upstream);
        let exchange = exchange(&self.pool, self.dialect.fields(), upstream, work);
        let exchange = until_ended(exchange, entered.ended.clone());
        let result = clock::until(patience, exchange).await;
        let returned = match result {
            Ok(Ok(answer)) => self.take_answer(work, upstream, answer),
            Ok(Err(error)) => self.take_error(work, upstream, &error).await,
            Err(_) => Returned::unknown(Reason::Deadline),
        };
        if returned.outcome == Outcome::Done {
            self.quarantine.note_answered(&work.identity);
        }
        Returned {
            path_pressure: entry.context.pressure.get(),
            floor: entry.context.floor(),
            failed_below: entry.context.failed_below.get(),
            absent_below: entry.context.absent_below.get(),
            ..returned
        }
    }

    fn take_answer(&self, work: &Work, upstream: &UpstreamKey, answer: UpstreamAnswer) -> Returned {
        let UpstreamAnswer { head, body } = answer;
        let fields = self.dialect.fields();
        let says_not_run = head.fields.get(fields.not_run).is_some();
        if head.status == 421 {
            self.upstream
                .retire(upstream, "another upstream has its address");
            self.pool.clear();
            return Returned::turned_away(Reason::NoUpstream);
        }
        if says_not_run {
            self.admission.note_shed(Instant::now());
            return Returned::turned_away(Reason::UpstreamShed);
        }
        if PROMISES.contains(&head.status) {
            let reason = "a status that promises what the upstream does not say";
            self.events.note_loss(&work.attempt, &reason);
            return Returned::unknown(Reason::Connection);
        }
        Returned::answered(head.status, passed_on(&head), body)
    }

    async fn take_error(
        self: &Rc<Self>,
        work: &Work,
        upstream: &UpstreamKey,
        error: &ExchangeError,
    ) -> Returned {
        self.events.note_loss(&work.attempt, error);
        if error.is_unsent() {
            self.upstream.note_unreachable(Instant::now());
            return Returned::refused(Reason::NoUpstream);
        }
        if self.has_crashed(upstream, error).await {
            return Returned::unknown(Reason::UpstreamCrashed);
        }
        Returned::unknown(Reason::Connection)
    }

    /// Returns true if a life of the upstream has ended without having announced it.
    ///
    /// The requests that it ran are all still open here: each of them waits for this answer.
    async fn has_crashed(self: &Rc<Self>, upstream: &UpstreamKey, error: &ExchangeError) -> bool {
        if self.watcher.has_seen(upstream) {
            return true;
        }
        let has_ended = match error {
            ExchangeError::Restarted => self.upstream.was_replaced(upstream),
            error if error.is_broken() => self.watcher.is_gone().await,
            _ => return false,
        };
        let ran = self.contexts.running_in(upstream);
        if has_ended {
            return self.note_crash(upstream, &ran);
        }
        self.watcher.doubt(upstream, &ran, clock::now());
        if self.watcher.wants_second_look() {
            self.look_again(upstream.clone(), ran);
        }
        false
    }

    /// Takes in that a life of the upstream ended; returns false if it had said that it would.
    fn note_crash(&self, upstream: &UpstreamKey, ran: &[Rc<Context>]) -> bool {
        if self.upstream.has_left(upstream) {
            return false;
        }
        if self.watcher.note(upstream) {
            self.upstream.note_unreachable(Instant::now());
            self.quarantine.note_crash(upstream, ran);
        }
        true
    }

    /// Looks again in a moment whether the upstream that broke a connection is there, without
    /// holding up the request that was lost.
    fn look_again(self: &Rc<Self>, upstream: UpstreamKey, ran: Vec<Rc<Context>>) {
        let gate = Rc::clone(self);
        task::spawn("second look", async move {
            if gate.watcher.look_again().await {
                gate.note_crash(&upstream, &ran);
            }
        });
    }
}

/// Waits for an answer of a life of the upstream for as long as that life may give one.
///
/// An instance that lost power closes no connections. Without this a caller waits for its whole
/// timeout, 1.5 s and more, for a life that its successor shows to have ended.
async fn until_ended(
    exchange: impl Future<Output = Result<UpstreamAnswer, ExchangeError>>,
    ended: Ended,
) -> Result<UpstreamAnswer, ExchangeError> {
    match select(std::pin::pin!(exchange), ended).await {
        Either::Left((result, _)) => result,
        Either::Right(_) => Err(ExchangeError::Restarted),
    }
}

/// Returns the status line of an answer with the fields that may be passed on.
fn passed_on(head: &ResponseHead) -> Bytes {
    let mut bytes = BytesMut::with_capacity(512);
    bytes.extend_from_slice(format!("HTTP/1.1 {} ", head.status).as_bytes());
    bytes.extend_from_slice(&head.reason);
    bytes.extend_from_slice(b"\r\n");
    head.fields.pass_on(&mut bytes, |_| false);
    bytes.freeze()
}
