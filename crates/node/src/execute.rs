//! Runs calls in the own upstream.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures::channel::oneshot;
use http::StatusCode;
use monoio::time::{Instant as Deadline, timeout_at};
use rand::Rng as _;
use sailtrack_kernel::{Phase, Service};
use sailtrack_net::http::{ExchangeError, Request, Response};
use sailtrack_net::task;
use sailtrack_units::Ticket;
use sailtrack_wire::{Outcome, Reason};

use crate::call::{Answer, Call};
use crate::context::{Contexts, Entry};
use crate::header;
use crate::metrics::Metrics;
use crate::routing::Downstream;
use crate::ticket::{Begin, Closing, Tickets};
use crate::upstream::Upstream;
use sailtrack_admission::Policy;
use sailtrack_admission::{Admission, WindowPermit, Windows};

/// How long past its deadline a non-idempotent call is still waited for.
///
/// Its caller has had its answer by then; what comes is kept for a repeat.
const ONCE_GRACE: Duration = Duration::from_secs(30);
/// The shortest time after which a refused caller may come back.
const SHORTEST_RETURN_MS: u64 = 500;

/// What a completed call tells about the upstream.
#[derive(Debug, Clone, Copy)]
struct Sample {
    /// The time that the upstream itself took.
    own_time: Duration,
    /// Whether the call found the upstream at most half full.
    light: bool,
}

/// Runs calls in the own upstream.
pub(crate) struct Executor {
    pub(crate) policy: Policy,
    pub(crate) phase: Rc<Cell<Phase>>,
    pub(crate) admission: Rc<Admission>,
    pub(crate) windows: Rc<Windows>,
    pub(crate) downstream: Rc<Downstream>,
    pub(crate) upstream: Rc<Upstream>,
    pub(crate) contexts: Rc<Contexts>,
    pub(crate) tickets: Rc<Tickets>,
    pub(crate) metrics: Rc<Metrics>,
    pub(crate) in_flight: Rc<Cell<usize>>,
    /// When a call was last refused because the node leaves.
    pub(crate) refused_leaving: Cell<Option<Instant>>,
}

impl Service for Executor {
    const NAME: &'static str = "executor";
}

impl Executor {
    /// Runs a call, or gives the answer of its ticket if that ran before.
    pub(crate) async fn execute(self: &Rc<Self>, call: Call) -> Answer {
        let held = task::Guard::new(&self.in_flight);
        let answer = match call.ticket.clone() {
            Some(ticket) if self.policy == Policy::Adaptive => {
                self.execute_once(call, ticket).await
            }
            _ if self.policy == Policy::Adaptive => self.run(&call, call.deadline).await,
            _ => self.run_detached(call).await,
        };
        drop(held);
        answer
    }

    /// Runs a call to its end even if the caller leaves, as the baselines do.
    async fn run_detached(self: &Rc<Self>, call: Call) -> Answer {
        let patience = call.deadline;
        let answer = self.start(call, patience, |_| {});
        answer
            .await
            .unwrap_or_else(|_| Answer::unknown(Reason::Cancelled))
    }

    /// Runs a call in a task of its own, which goes on when the caller has left.
    fn start(
        self: &Rc<Self>,
        call: Call,
        patience: Instant,
        ended: impl FnOnce(&Answer) + 'static,
    ) -> oneshot::Receiver<Answer> {
        let (sender, receiver) = oneshot::channel();
        let executor = Rc::clone(self);
        let held = task::Guard::new(&self.in_flight);
        task::spawn("execution", async move {
            let answer = executor.run(&call, patience).await;
            ended(&answer);
            // The caller may have left.
            let _ = sender.send(answer);
            drop(held);
        });
        receiver
    }

    async fn execute_once(self: &Rc<Self>, call: Call, ticket: Ticket) -> Answer {
        let deadline = Deadline::from_std(call.deadline);
        let answer = match self.tickets.begin(&ticket) {
            Begin::Run => self.start_once(call, &ticket),
            Begin::Wait(answer) => answer,
            Begin::Closed(answer) => return answer,
            Begin::Expired => return Answer::unknown(Reason::TicketExpired),
            Begin::Full => return self.later(Answer::unknown(Reason::RecordsFull)),
            Begin::Foreign => return Answer::unknown(Reason::HomeGone),
        };
        match timeout_at(deadline, answer).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(_)) => Answer::unknown(Reason::Cancelled),
            Err(_) => Answer::unknown(Reason::Deadline),
        }
    }

    /// Runs a call whose answer is kept, so a caller that has left finds it by its ticket.
    fn start_once(self: &Rc<Self>, call: Call, ticket: &Ticket) -> oneshot::Receiver<Answer> {
        let closing = Closing::new(&self.tickets, ticket);
        let patience = call.deadline + ONCE_GRACE;
        self.start(call, patience, |answer| closing.close(answer))
    }

    async fn run(self: &Rc<Self>, call: &Call, patience: Instant) -> Answer {
        let arrived = Instant::now();
        if let Some(refusal) = self.refusal(arrived) {
            return refusal;
        }
        if self.is_lost_below(call, arrived) {
            return self.shed(call, Reason::Overload);
        }
        let window = match self.window(call) {
            Ok(window) => window,
            Err(reason) => return self.shed(call, reason),
        };
        let entered = self
            .admission
            .enter(call.rank, call.depth > 0, call.time_left())
            .await;
        let permit = match entered {
            Ok(permit) => permit,
            Err(reason) => return self.shed(call, reason),
        };
        let entry = self.contexts.open(call);
        let light = self.admission.is_lightly_loaded(arrived);
        let handed_over = Instant::now();
        let result = self
            .upstream
            .exchange(message(call, &entry), patience)
            .await;
        let spent = handed_over.elapsed();
        let own_time = spent.saturating_sub(entry.context.time_outside());
        drop(permit);
        let answer = match result {
            None => Answer::not_run(Reason::NoUpstream),
            Some(Ok(response)) => {
                self.take_response(call, &entry, response, Sample { own_time, light })
            }
            Some(Err(error)) => self.take_error(&error),
        };
        self.metrics
            .note_added_time(arrived.elapsed().saturating_sub(spent));
        self.metrics.note_upstream_time(&call.kind, spent);
        self.metrics.note_served(call, &answer);
        let now = Instant::now();
        let below = entry.context.level.get();
        self.downstream.note(now, &call.root_kind, below);
        let level = below.max(self.admission.level(now));
        if let Some(window) = window {
            window.record(now, entry.context.pressure.get());
        }
        let pressure = self.admission.pressure(now, call.rank.importance());
        Answer {
            used: entry.context.budget.used(),
            pressure,
            path_pressure: entry.context.pressure.get().max(pressure),
            ..answer.at_level(level)
        }
    }

    /// Returns the place of a root request in the window of its kind.
    fn window(&self, call: &Call) -> Result<Option<WindowPermit>, Reason> {
        if call.depth > 0 || self.policy != Policy::Adaptive {
            return Ok(None);
        }
        match self.windows.acquire(&call.root_kind, Instant::now()) {
            Some(place) => Ok(Some(place)),
            None => Err(Reason::Overload),
        }
    }

    /// Returns true if a service further down would refuse the request, so that work is wasted.
    fn is_lost_below(&self, call: &Call, now: Instant) -> bool {
        self.policy == Policy::Adaptive && self.downstream.level(now, &call.root_kind) > call.rank
    }

    /// Returns the refusal of a node that takes no calls at present.
    fn refusal(&self, now: Instant) -> Option<Answer> {
        let reason = match self.phase.get() {
            Phase::Joining => Reason::NotConfigured,
            Phase::Draining | Phase::Stopped => {
                self.refused_leaving.set(Some(now));
                Reason::Draining
            }
            Phase::Serving if self.upstream.is_ready(now) => return None,
            Phase::Serving => Reason::NoUpstream,
        };
        Some(self.later(Answer::not_run(reason)))
    }

    /// Returns true if no call had to be refused for `time` because the node leaves.
    pub(crate) fn is_quiet(&self, now: Instant, time: Duration) -> bool {
        let refused = self.refused_leaving.get();
        refused.is_none_or(|refused| now.saturating_duration_since(refused) >= time)
    }

    fn shed(&self, call: &Call, reason: Reason) -> Answer {
        self.metrics.note_shed(call, reason);
        let now = Instant::now();
        let below = self.downstream.level(now, &call.root_kind);
        let level = below.max(self.admission.level(now));
        let pressure = self.admission.pressure(now, call.rank.importance());
        Answer {
            pressure,
            path_pressure: pressure,
            ..self.later(Answer::not_run(reason)).at_level(level)
        }
    }

    /// Returns the answer with a time to come back, spread so that returns do not surge.
    pub(crate) fn later(&self, answer: Answer) -> Answer {
        let spread = self.admission.retry_spread(Instant::now());
        let spread = u64::try_from(spread.as_millis()).unwrap_or(u64::MAX);
        let millis = SHORTEST_RETURN_MS + rand::rng().random_range(0..=spread);
        answer.come_back(Duration::from_millis(millis))
    }

    fn take_response(
        &self,
        call: &Call,
        entry: &Entry,
        response: Response,
        sample: Sample,
    ) -> Answer {
        let now = Instant::now();
        let says_not_run = response.status == StatusCode::SERVICE_UNAVAILABLE
            && response.header(header::OUTCOME) == Some("not-run");
        if says_not_run && entry.context.made_no_calls() {
            self.admission.record_shed(now);
            return self.later(Answer::not_run(Reason::UpstreamShed));
        }
        let Sample { own_time, light } = sample;
        self.admission
            .record_completion(now, &call.kind, own_time, light);
        let content_type = response
            .header("content-type")
            .unwrap_or_default()
            .to_owned();
        Answer::done(response.status.as_u16(), content_type, response.body)
    }

    fn take_error(&self, error: &ExchangeError) -> Answer {
        match error {
            ExchangeError::Connect(_) => {
                self.upstream.note_unreachable();
                self.later(Answer::not_run(Reason::NoUpstream))
            }
            ExchangeError::LateBeforeSending => Answer::not_run(Reason::Deadline),
            ExchangeError::Late => Answer::unknown(Reason::Deadline),
            ExchangeError::Lost => Answer::unknown(Reason::Connection),
            ExchangeError::Answer(_) => Answer::unknown(Reason::AnswerTooLarge),
        }
    }
}

fn message(call: &Call, entry: &Entry) -> Request {
    let time_left = call.time_left().as_millis().to_string();
    let mut request = Request::new(call.method.clone(), call.path.clone(), call.body.clone())
        .with(header::CONTEXT, &entry.token())
        .with(header::REQUEST, &call.request.to_string())
        .with(header::KIND, call.kind.as_str())
        .with(header::TIMEOUT, &time_left);
    if !call.content_type.is_empty() {
        request = request.with("content-type", &call.content_type);
    }
    request
}

/// Returns true if a call with this answer may have run.
pub(crate) fn may_have_run(answer: &Answer) -> bool {
    answer.outcome != Outcome::NotRun
}
