//! Executes calls in the upstream of this node.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures::channel::oneshot;
use http::StatusCode;
use monoio::time::{Instant as Deadline, timeout_at};
use rand::Rng as _;
use sailtrack_kernel::{Phase, Service};
use sailtrack_log::{catalogue, emit};
use sailtrack_net::http::{ExchangeError, Request, Response};
use sailtrack_net::task;
use sailtrack_units::{Rate, Ticket};
use sailtrack_wire::{Outcome, Reason};

use crate::call::{Answer, Call};
use crate::context::{Contexts, Registration};
use crate::header;
use crate::metrics::Metrics;
use crate::routing::Downstream;
use crate::ticket::{CloseGuard, Disposition, Tickets};
use crate::upstream::{Upstream, is_rejection};
use sailtrack_admission::Policy;
use sailtrack_admission::{Admission, WindowPermit, Windows};

/// How long the node waits for the upstream after the deadline of a non-idempotent call.
///
/// The caller has been answered by then; the late answer is kept for a retry with the same ticket.
const AT_MOST_ONCE_GRACE: Duration = Duration::from_secs(30);
/// Lower bound of the retry delay given to refused callers.
const MIN_RETRY_AFTER_MS: u64 = 500;

/// What admission control learns from a completed call.
#[derive(Debug, Clone, Copy)]
struct Sample {
    /// Time spent in the upstream, without nested calls.
    self_time: Duration,
    /// Whether the upstream was at most half full when the call arrived.
    is_lightly_loaded: bool,
}

/// Executes calls in the upstream of this node, subject to admission control.
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
    /// When a call was last refused because the node is draining.
    pub(crate) last_draining_refusal: Cell<Option<Instant>>,
}

impl Service for Executor {
    const NAME: &'static str = "executor";
}

impl Executor {
    /// Executes a call, or returns the recorded answer of its ticket.
    pub(crate) async fn execute(self: &Rc<Self>, call: Call) -> Answer {
        let in_flight_guard = task::Guard::new(&self.in_flight);
        let answer = match call.ticket.clone() {
            Some(ticket) if self.policy == Policy::Adaptive => {
                self.execute_once(call, ticket).await
            }
            _ if self.policy == Policy::Adaptive => self.run(&call, call.deadline).await,
            _ => self.run_detached(call).await,
        };
        drop(in_flight_guard);
        answer
    }

    /// Executes a call to completion even if the caller disconnects, as the baseline policies do.
    async fn run_detached(self: &Rc<Self>, call: Call) -> Answer {
        let wait_until = call.deadline;
        let answer = self.start(call, wait_until, |_| {});
        answer
            .await
            .unwrap_or_else(|_| Answer::unknown(Reason::Cancelled))
    }

    /// Executes a call in its own task, which continues if the caller disconnects.
    fn start(
        self: &Rc<Self>,
        call: Call,
        wait_until: Instant,
        on_end: impl FnOnce(&Answer) + 'static,
    ) -> oneshot::Receiver<Answer> {
        let (sender, receiver) = oneshot::channel();
        let executor = Rc::clone(self);
        let in_flight_guard = task::Guard::new(&self.in_flight);
        task::spawn("execution", async move {
            let answer = executor.run(&call, wait_until).await;
            on_end(&answer);
            // The caller may have disconnected.
            let _ = sender.send(answer);
            drop(in_flight_guard);
        });
        receiver
    }

    async fn execute_once(self: &Rc<Self>, call: Call, ticket: Ticket) -> Answer {
        let deadline = Deadline::from_std(call.deadline);
        let answer = match self.tickets.begin(&ticket) {
            Disposition::Run => self.start_once(call, &ticket),
            Disposition::Wait(answer) => answer,
            Disposition::Closed(answer) => return answer,
            Disposition::Expired => return Answer::unknown(Reason::TicketExpired),
            Disposition::Full => return self.retry_later(Answer::unknown(Reason::RecordsFull)),
            Disposition::Foreign => return Answer::unknown(Reason::HomeGone),
        };
        match timeout_at(deadline, answer).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(_)) => Answer::unknown(Reason::Cancelled),
            Err(_) => Answer::unknown(Reason::Deadline),
        }
    }

    /// Starts an at-most-once call, whose answer is recorded so that a later retry can find it by
    /// its ticket.
    fn start_once(self: &Rc<Self>, call: Call, ticket: &Ticket) -> oneshot::Receiver<Answer> {
        let close_guard = CloseGuard::new(&self.tickets, ticket);
        let wait_until = call.deadline + AT_MOST_ONCE_GRACE;
        self.start(call, wait_until, |answer| close_guard.close(answer))
    }

    async fn run(self: &Rc<Self>, call: &Call, wait_until: Instant) -> Answer {
        let arrived = Instant::now();
        if let Some(refusal) = self.refusal(arrived) {
            return refusal;
        }
        if self.is_shed_downstream(call, arrived) {
            return self.shed(call, Reason::Overload);
        }
        let window_permit = match self.window_permit(call) {
            Ok(window_permit) => window_permit,
            Err(reason) => return self.shed(call, reason),
        };
        let admitted = self
            .admission
            .enter(call.rank, call.depth > 0, call.time_left())
            .await;
        let permit = match admitted {
            Ok(permit) => permit,
            Err(reason) => return self.shed(call, reason),
        };
        let registration = self.contexts.open(call);
        let is_lightly_loaded = self.admission.is_lightly_loaded(arrived);
        let sent_at = Instant::now();
        let result = self
            .upstream
            .exchange(upstream_request(call, &registration), wait_until)
            .await;
        let spent = sent_at.elapsed();
        let self_time = spent.saturating_sub(registration.context.subcall_time());
        drop(permit);
        let answer = match result {
            None => Answer::not_run(Reason::NoUpstream),
            Some(Ok(response)) => self.handle_response(
                call,
                &registration,
                response,
                Sample {
                    self_time,
                    is_lightly_loaded,
                },
            ),
            Some(Err(error)) => self.handle_error(&error),
        };
        self.metrics
            .record_added_time(arrived.elapsed().saturating_sub(spent));
        self.metrics.record_upstream_time(&call.kind, spent);
        self.metrics.record_served(call, &answer);
        let now = Instant::now();
        let downstream_level = registration.context.level.get();
        self.downstream
            .record(now, &call.root_kind, downstream_level);
        let level = downstream_level.max(self.admission.level(now));
        if let Some(window_permit) = window_permit {
            window_permit.record(now, registration.context.pressure.get());
        }
        let pressure = self.admission.pressure(now, call.rank.importance());
        Answer {
            used: registration.context.budget.used(),
            pressure,
            path_pressure: registration.context.pressure.get().max(pressure),
            ..answer.at_level(level)
        }
    }

    /// Acquires a place in the concurrency window of the request's kind; only root requests need
    /// one.
    fn window_permit(&self, call: &Call) -> Result<Option<WindowPermit>, Reason> {
        if call.depth > 0 || self.policy != Policy::Adaptive {
            return Ok(None);
        }
        match self.windows.acquire(&call.root_kind, Instant::now()) {
            Some(permit) => Ok(Some(permit)),
            None => Err(Reason::Overload),
        }
    }

    /// Returns true if a service further downstream would reject the request, so that executing it
    /// here would be wasted work.
    fn is_shed_downstream(&self, call: &Call, now: Instant) -> bool {
        self.policy == Policy::Adaptive && self.downstream.level(now, &call.root_kind) > call.rank
    }

    /// Returns a refusal if the node accepts no calls at present.
    fn refusal(&self, now: Instant) -> Option<Answer> {
        let reason = match self.phase.get() {
            Phase::Joining => Reason::NotConfigured,
            Phase::Draining | Phase::Stopped => {
                self.last_draining_refusal.set(Some(now));
                Reason::Draining
            }
            Phase::Serving if self.upstream.is_ready(now) => return None,
            Phase::Serving => Reason::NoUpstream,
        };
        Some(self.retry_later(Answer::not_run(reason)))
    }

    /// Returns true if the node has refused no call for draining during the last `time`.
    pub(crate) fn has_been_quiet(&self, now: Instant, time: Duration) -> bool {
        let last_refusal = self.last_draining_refusal.get();
        last_refusal.is_none_or(|last_refusal| now.saturating_duration_since(last_refusal) >= time)
    }

    fn shed(&self, call: &Call, reason: Reason) -> Answer {
        self.metrics.record_shed(call, reason);
        let now = Instant::now();
        let downstream_level = self.downstream.level(now, &call.root_kind);
        let level = downstream_level.max(self.admission.level(now));
        let pressure = self.admission.pressure(now, call.rank.importance());
        Answer {
            pressure,
            path_pressure: pressure,
            ..self.retry_later(Answer::not_run(reason)).at_level(level)
        }
    }

    /// Adds a random retry delay to the answer, so that the retries of many callers spread out.
    pub(crate) fn retry_later(&self, answer: Answer) -> Answer {
        let spread = self.admission.retry_spread(Instant::now());
        let spread = u64::try_from(spread.as_millis()).unwrap_or(u64::MAX);
        let millis = MIN_RETRY_AFTER_MS + rand::rng().random_range(0..=spread);
        answer.with_retry_after(Duration::from_millis(millis))
    }

    /// Applies the rate limit that an answer names, and keeps new calls from an upstream that is
    /// leaving. A limit that cannot be read leaves the one before in force.
    fn apply_demands(&self, response: &Response) {
        match response.header(header::RATE_LIMIT).map(str::parse::<Rate>) {
            // A call that was shed ends no limit: what sheds it may know of none.
            None if response.status == StatusCode::SERVICE_UNAVAILABLE => {}
            None => self.admission.limit_rate(None),
            Some(Ok(rate)) => self.admission.limit_rate(Some(rate)),
            Some(Err(error)) => emit(
                &catalogue::INPUT_REFUSED,
                &[("port", &"upstream"), ("reason", &error)],
            ),
        }
        if response.header(header::LEAVING) == Some("1") {
            self.upstream.mark_leaving();
        }
    }

    fn handle_response(
        &self,
        call: &Call,
        registration: &Registration,
        response: Response,
        sample: Sample,
    ) -> Answer {
        let now = Instant::now();
        self.apply_demands(&response);
        if is_rejection(&response) && registration.context.made_no_calls() {
            self.admission.record_shed(now);
            return self.retry_later(Answer::not_run(Reason::UpstreamShed));
        }
        let Sample {
            self_time,
            is_lightly_loaded,
        } = sample;
        self.admission
            .record_completion(now, &call.kind, self_time, is_lightly_loaded);
        let content_type = response
            .header("content-type")
            .unwrap_or_default()
            .to_owned();
        Answer::done(response.status.as_u16(), content_type, response.body)
    }

    fn handle_error(&self, error: &ExchangeError) -> Answer {
        match error {
            ExchangeError::Connect(_) => {
                self.upstream.mark_unreachable();
                self.retry_later(Answer::not_run(Reason::NoUpstream))
            }
            ExchangeError::LateBeforeSending => Answer::not_run(Reason::Deadline),
            ExchangeError::Late => Answer::unknown(Reason::Deadline),
            ExchangeError::Lost => Answer::unknown(Reason::Connection),
            ExchangeError::Answer(_) => Answer::unknown(Reason::AnswerTooLarge),
        }
    }
}

fn upstream_request(call: &Call, registration: &Registration) -> Request {
    let time_left = call.time_left().as_millis().to_string();
    let mut request = Request::new(call.method.clone(), call.path.clone(), call.body.clone())
        .with(header::CONTEXT, &registration.token())
        .with(header::REQUEST, &call.request.to_string())
        .with(header::KIND, call.kind.as_str())
        .with(header::TIMEOUT, &time_left);
    if !call.content_type.is_empty() {
        request = request.with("content-type", &call.content_type);
    }
    request
}

/// Returns true unless the call certainly did not run.
pub(crate) fn may_have_run(answer: &Answer) -> bool {
    answer.outcome != Outcome::NotRun
}
