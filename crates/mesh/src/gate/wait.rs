//! Waits for responses, and tells the sender of a request when its response is overdue.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures::future::{Either, select};
use monoio::time::sleep;
use sailtrack_units::Moment;
use sailtrack_wire::Reason;

use super::Gate;
use super::admitted::Admitted;
use super::exchange::{ExchangeError, UpstreamResponse};
use super::kinds::{InFlight, Kind};
use super::slots::Expectation;
use super::timeout::{Decision, Pending};
use crate::clock::{self, Elapsed, READ_GRACE};
use crate::contexts::Context;
use crate::events::Silence;
use crate::request::{Request, Response};

/// The maximum time between two checks.
const MAX_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// The result of an exchange, or `Elapsed` after the deadline.
pub(super) type Exchanged = Result<Result<UpstreamResponse, ExchangeError>, Elapsed>;

/// A request that has been sent, with the statistics of its kind.
pub(super) struct Sent<'a> {
    request: &'a Request,
    kind: Rc<Kind>,
    in_flight: InFlight,
    /// When it was sent.
    pub(super) at: Moment,
    expectation: Expectation,
    /// It has been counted as unanswered.
    is_unanswered: Cell<bool>,
    admitted: &'a Admitted,
}

impl Sent<'_> {
    /// Releases the request's slot, or retains it if the upstream may still work on the request.
    pub(super) fn record_end(&self, end: &Exchanged, admitted: &Admitted) {
        match end {
            // A broken connection does not mean that the upstream has stopped work on the request.
            Ok(Err(error)) if error.may_still_run() => {}
            // An upstream stops work at the deadline that it was given.
            _ => admitted.slot.finish(),
        }
        if end.is_err() {
            self.record_unanswered();
        }
    }

    fn record_unanswered(&self) {
        if !self.is_unanswered.replace(true) {
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
            request,
            in_flight: kind.begin(Instant::now()),
            kind,
            at: now,
            expectation,
            is_unanswered: Cell::default(),
            admitted,
        }
    }

    /// Waits for the end of an exchange.
    ///
    /// If the response takes longer than usual, the sender of the request is told so, and the slot
    /// is no longer counted as in flight. The exchange goes on: a slow upstream looks like one that
    /// has lost the request.
    pub(super) async fn wait_for(
        &self,
        sent: &Sent<'_>,
        context: &Context,
        exchange: impl Future<Output = Exchanged>,
    ) -> Exchanged {
        let exchange = std::pin::pin!(exchange);
        let wait = std::pin::pin!(self.until_overdue(sent, context));
        match select(exchange, wait).await {
            Either::Left((end, _)) => end,
            Either::Right(((), exchange)) => {
                self.report_overdue(sent, context);
                exchange.await
            }
        }
    }

    /// Waits until the response is overdue.
    async fn until_overdue(&self, sent: &Sent<'_>, context: &Context) {
        let mut is_recheck = false;
        loop {
            let pending = self.pending(sent, context);
            match pending.decide() {
                Decision::Wait(time) => {
                    is_recheck = false;
                    sleep(time.min(MAX_CHECK_INTERVAL)).await;
                }
                Decision::Overdue if !is_recheck => {
                    is_recheck = true;
                    sleep(READ_GRACE).await;
                }
                Decision::Overdue => return,
            }
        }
    }

    fn pending(&self, sent: &Sent<'_>, context: &Context) -> Pending {
        let remaining = if sent.request.idempotent {
            sent.request.deadline.since(clock::now())
        } else {
            Duration::MAX
        };
        let is_cold = self.upstream.is_cold(clock::now());
        Pending {
            waited: sent.in_flight.waited(Instant::now()),
            remaining,
            latency: sent.kind.latency(),
            slowdown: self.upstream.report.slowdown(),
            last_overdue: sent.in_flight.last_overdue(),
            overtaken: sent.in_flight.overtaken(),
            unanswered_share: sent.kind.unanswered_share(Instant::now()),
            is_lenient: context.has_made_calls.get() || sent.request.is_retry || is_cold,
        }
    }

    fn report_overdue(&self, sent: &Sent<'_>, context: &Context) {
        let pending = self.pending(sent, context);
        if !pending.is_overtaken() {
            sent.in_flight.record_overdue(Instant::now());
        }
        if sent.request.idempotent {
            sent.record_unanswered();
        }
        sent.admitted.slot.mark_overdue();
        self.metrics.record_unanswered();
        self.events.log_missing_answer(&Silence {
            attempt: &sent.request.attempt,
            kind: &sent.request.kind,
            waited: pending.waited,
            expected: pending
                .latency
                .map_or(Duration::ZERO, |latency| latency.p99),
            overtaken: pending.overtaken,
        });
        let response = with_context(context, Response::unknown(Reason::Connection));
        let response = self.with_load(sent.request.class, response);
        sent.request.overdue.raise(response);
    }
}

/// Adds what is known of the calls that were made for a request.
pub(super) fn with_context(context: &Context, response: Response) -> Response {
    Response {
        path_pressure: context.pressure.get(),
        failed_below: context.failed_below.get(),
        absent_below: context.absent_below.get(),
        ..response
    }
}
