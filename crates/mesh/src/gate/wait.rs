//! Waits for responses, and gives up when none is expected any more.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures::channel::oneshot;
use futures::future::{Either, select};
use monoio::time::sleep;
use sailtrack_units::{KindName, Moment};

use super::Gate;
use super::admitted::Admitted;
use super::exchange::{ExchangeError, UpstreamResponse};
use super::kinds::{InFlight, Kind};
use super::slots::Expectation;
use super::timeout::{Decision, Pending};
use crate::clock::{self, Elapsed, READ_GRACE};
use crate::contexts::Context;
use crate::events::Silence;
use crate::key::AttemptKey;
use crate::request::{Request, Response};

/// The maximum time between two checks.
const MAX_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// How long before the deadline the caller is told that no response is expected, so that it hears
/// of that before its own timeout.
const REPLY_MARGIN: Duration = Duration::from_millis(25);

/// The result of an exchange, or `Late` after the deadline.
type Exchanged = Result<Result<UpstreamResponse, ExchangeError>, Elapsed>;

/// How the wait for a response ended.
pub(super) enum Waited {
    /// The exchange is complete or its deadline has passed.
    Finished(Exchanged),
    /// No response is expected any more, and the connection is closed.
    GivenUp,
}

/// A request that has been sent, with the statistics of its kind.
pub(super) struct Sent<'a> {
    attempt: &'a AttemptKey,
    name: &'a KindName,
    kind: Rc<Kind>,
    in_flight: InFlight,
    /// When it was sent.
    pub(super) at: Moment,
    deadline: Moment,
    expectation: Expectation,
    /// Whether it may be sent again elsewhere if no response comes.
    is_idempotent: bool,
    is_retry: bool,
    admitted: &'a Admitted,
}

impl Sent<'_> {
    /// Releases the request's slot, or retains it if the upstream may still work on the request.
    pub(super) fn record_end(&self, end: &Waited, admitted: &Admitted) {
        match end {
            Waited::GivenUp => admitted.slot.give_up(),
            // A broken connection does not mean that the upstream has stopped work on the request.
            Waited::Finished(Ok(Err(error))) if error.may_still_run() => {}
            // An upstream stops work at the deadline that it was given.
            Waited::Finished(_) => admitted.slot.finish(),
        }
        if matches!(end, Waited::GivenUp | Waited::Finished(Err(Elapsed))) {
            self.kind.record_outcome(true, Instant::now());
        }
    }

    /// Records the latency of a successful response.
    pub(super) fn record_response(&self, response: &Response, slowdown: f64) {
        if response.is_success() {
            self.in_flight.record_response(slowdown, Instant::now());
            self.expectation.record_response(clock::now());
            self.kind.record_outcome(false, Instant::now());
        }
    }
}

impl Gate {
    /// Starts tracking a request that is sent now.
    pub(super) fn track<'a>(&self, request: &'a Request, admitted: &'a Admitted) -> Sent<'a> {
        self.metrics.record_sent();
        let kind = self.kinds.get(&request.kind);
        let slowdown = self.upstream.report.slowdown();
        let now = clock::now();
        let expectation = Expectation::until(request.deadline, now);
        let expectation = match kind.latency() {
            Some(latency) => {
                expectation.with_usual(latency.p99.mul_f64(slowdown), Rc::clone(&kind))
            }
            None => expectation,
        };
        admitted.slot.start(now, expectation.clone());
        Sent {
            attempt: &request.attempt,
            name: &request.kind,
            in_flight: kind.begin(Instant::now()),
            kind,
            at: now,
            deadline: request.deadline,
            expectation,
            is_idempotent: request.idempotent,
            is_retry: request.is_retry,
            admitted,
        }
    }

    /// Waits for the end of an exchange as long as a response is expected.
    ///
    /// A non-idempotent request always waits until its deadline, as it can't be retried and giving
    /// up gains nothing; only its slot is treated as abandoned.
    pub(super) async fn wait_for(
        &self,
        sent: &Sent<'_>,
        context: &Context,
        exchange: impl Future<Output = Exchanged>,
    ) -> Waited {
        let exchange = std::pin::pin!(exchange);
        let wait = std::pin::pin!(self.until_given_up(sent, context));
        match select(exchange, wait).await {
            Either::Left((end, _)) => Waited::Finished(end),
            Either::Right(((), _)) if sent.is_idempotent => Waited::GivenUp,
            Either::Right(((), exchange)) => {
                sent.admitted.slot.give_up();
                sent.admitted.is_given_up.set(true);
                Waited::Finished(exchange.await)
            }
        }
    }

    /// Waits until no response is expected any more.
    async fn until_given_up(&self, sent: &Sent<'_>, context: &Context) {
        let mut is_recheck = false;
        loop {
            let pending = self.pending(sent, context);
            match pending.decide() {
                Decision::Wait(time) => {
                    is_recheck = false;
                    sleep(time.min(MAX_CHECK_INTERVAL)).await;
                }
                Decision::GiveUp if !is_recheck => {
                    is_recheck = true;
                    sleep(READ_GRACE).await;
                }
                Decision::GiveUp => {
                    self.report_abandoned(sent, &pending);
                    return;
                }
            }
        }
    }

    fn pending(&self, sent: &Sent<'_>, context: &Context) -> Pending {
        let remaining = if sent.is_idempotent {
            sent.deadline.since(clock::now())
        } else {
            Duration::MAX
        };
        let is_cold = self.upstream.is_cold(clock::now());
        Pending {
            waited: sent.in_flight.waited(Instant::now()),
            remaining,
            latency: sent.kind.latency(),
            slowdown: self.upstream.report.slowdown(),
            last_abandoned: sent.in_flight.last_abandoned(),
            overtaken: sent.in_flight.overtaken(),
            unanswered_share: sent.kind.unanswered_share(Instant::now()),
            is_lenient: context.has_made_calls.get() || sent.is_retry || is_cold,
        }
    }

    fn report_abandoned(&self, sent: &Sent<'_>, pending: &Pending) {
        if !pending.is_overtaken() {
            sent.in_flight.record_abandoned(Instant::now());
        }
        self.metrics.record_unanswered();
        self.events.log_missing_answer(&Silence {
            attempt: sent.attempt,
            kind: sent.name,
            waited: pending.waited,
            expected: pending
                .latency
                .map_or(Duration::ZERO, |latency| latency.p99),
            overtaken: pending.overtaken,
        });
    }
}

/// Waits for the result of a non-idempotent request.
///
/// If no response is expected any more, the wait ends shortly before the deadline.
pub(super) async fn await_result(
    deadline: Moment,
    is_given_up: &Cell<bool>,
    mut receiver: oneshot::Receiver<Response>,
) -> Result<Response, oneshot::Canceled> {
    let result = clock::timeout_at(deadline.before(REPLY_MARGIN), &mut receiver).await;
    match result {
        Ok(response) => response,
        Err(Elapsed) if is_given_up.get() => {
            Ok(Response::unknown(sailtrack_wire::Reason::Deadline))
        }
        Err(Elapsed) => receiver.await,
    }
}
