//! Sends a request to the local upstream and classifies the result.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Instant;

use bytes::{Bytes, BytesMut};
use futures::FutureExt as _;
use futures::future::{Either, select};
use sailtrack_net::transparent::ResponseHead;
use sailtrack_units::Moment;
use sailtrack_wire::{Outcome, Reason};

use super::admitted::Admitted;
use super::demands::Demands;
use super::exchange::{Exchange, ExchangeError, MISDIRECTED, UpstreamResponse};
use super::incarnation::Ended;
use super::wait::with_context;
use super::{Gate, RESPONSE_GRACE};
use crate::clock;
use crate::key::{AttemptKey, UpstreamKey};
use crate::memory::Buffer;
use crate::request::{Request, Response};
use crate::retired::Reason as Retirement;
use crate::retry_after;

/// On a rejection: when callers should come back.
const RETRY_AFTER: &str = "retry-after";
/// Statuses that by their definition promise that the request did not run.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

impl Gate {
    /// Sends a request with its body and waits for its response.
    pub(super) async fn send(
        self: &Rc<Self>,
        request: &Request,
        body: Buffer,
        admitted: &Admitted,
    ) -> Response {
        let until = request.deadline + RESPONSE_GRACE;
        let upstream = &admitted.upstream;
        let guard = self.contexts.open(request, upstream);
        let is_leaving = Cell::new(false);
        let on_head = |head: &ResponseHead| {
            is_leaving.set(self.handle_head(upstream, head, &request.attempt));
        };
        let exchange = Exchange {
            pool: &self.pool,
            detector: &self.detector,
            answers: &self.memory.answers,
            fields: self.dialect.fields(),
            events: &self.events,
            metrics: &self.metrics,
            upstream,
            request,
        };
        // Boxed, since each of the enclosing futures would otherwise reserve space for its state.
        let exchange = exchange.run(body, on_head).boxed_local();
        let exchange = until_ended(exchange, admitted.ended.clone());
        let sent = self.track(request, admitted);
        let result = self
            .wait_for(&sent, &guard.context, clock::timeout_at(until, exchange))
            .await;
        sent.record_end(&result, admitted);
        let response = match result {
            Ok(Ok(response)) => self.handle_response(request, admitted, sent.at, response),
            Ok(Err(error)) => self.handle_error(request, upstream, &error).await,
            Err(_) => Response::unknown(Reason::Deadline),
        };
        if response.outcome == Outcome::Done {
            self.quarantine.record_response(&request.identity);
            sent.record_response(&response, self.upstream.report.slowdown());
            self.slots.release_confirmed(clock::now());
        }
        Response {
            leaving: is_leaving.get().then(|| upstream.clone()),
            ..with_context(&guard.context, response)
        }
    }

    /// Handles what a response demands, before its body is read, which may take minutes; returns
    /// true if its upstream has retired.
    fn handle_head(
        &self,
        upstream: &UpstreamKey,
        head: &ResponseHead,
        attempt: &AttemptKey,
    ) -> bool {
        if head.status == MISDIRECTED {
            return false;
        }
        let fields = self.dialect.fields();
        let values = |name| head.fields.all(name).map(|value| &**value);
        let demands = Demands::read(
            &*self.dialect,
            values(fields.rate_limit),
            values(fields.leaving),
        );
        let demands = if head.fields.get(fields.not_run).is_some() {
            demands.of_rejection()
        } else {
            demands
        };
        self.upstream.handle_demands(upstream, &demands, attempt);
        demands.is_leaving && self.upstream.has_left(upstream)
    }

    fn handle_response(
        &self,
        request: &Request,
        admitted: &Admitted,
        sent_at: Moment,
        response: UpstreamResponse,
    ) -> Response {
        let upstream = &admitted.upstream;
        let UpstreamResponse { head, body, memory } = response;
        let fields = self.dialect.fields();
        if let Some(value) = head.fields.all(fields.load).next()
            && head.status != MISDIRECTED
        {
            let (report, dialect) = (&self.upstream.report, &*self.dialect);
            let now = clock::now();
            if let Some(load) = report.update(dialect, upstream, value, now) {
                self.slots
                    .reconcile_soon(load.requests(), &admitted.slot, now);
            }
        }
        let says_not_run = head.fields.get(fields.not_run).is_some();
        if head.status == MISDIRECTED {
            self.upstream.retire(upstream, &Retirement::Replaced);
            self.pool.clear();
            return Response::rejected_by_upstream(Reason::NoUpstream)
                .with_retry_after(retry_after::no_upstream());
        }
        self.detector.record_response(upstream, sent_at);
        if says_not_run {
            let now = Instant::now();
            self.admission.record_shed(now);
            let stated = head.fields.get(RETRY_AFTER).and_then(retry_after::parse);
            let after = retry_after::rejection(stated, self.admission.retry_spread(now));
            return Response::rejected_by_upstream(Reason::UpstreamShed).with_retry_after(after);
        }
        if NOT_RUN_STATUSES.contains(&head.status) {
            let reason =
                "a status that implies that the request did not run, not confirmed by the upstream";
            self.events.log_lost_answer(&request.attempt, &reason);
            return Response::unknown(Reason::Connection);
        }
        Response::answered(head.status, forwarded_head(&head), body).with_memory(memory)
    }

    async fn handle_error(
        self: &Rc<Self>,
        request: &Request,
        upstream: &UpstreamKey,
        error: &ExchangeError,
    ) -> Response {
        self.events.log_lost_answer(&request.attempt, error);
        if matches!(error, ExchangeError::Late) {
            return Response::refused(Reason::Deadline);
        }
        if error.is_unsent() {
            self.upstream.record_unreachable(Instant::now());
            return Response::refused(Reason::NoUpstream)
                .with_retry_after(retry_after::no_upstream());
        }
        if self.has_crashed(upstream, &request.attempt, error).await {
            return Response::unknown(Reason::UpstreamCrashed);
        }
        Response::unknown(Reason::Connection)
    }
}

/// Waits for a response until the incarnation of the upstream is known to have ended.
///
/// An instance that lost power does not close its connections, so only a new incarnation shows that
/// the old one has ended.
async fn until_ended(
    exchange: impl Future<Output = Result<UpstreamResponse, ExchangeError>>,
    ended: Ended,
) -> Result<UpstreamResponse, ExchangeError> {
    match select(std::pin::pin!(exchange), ended).await {
        Either::Left((result, _)) => result,
        Either::Right(_) => Err(ExchangeError::Restarted),
    }
}

/// Returns the status line and the response fields that may be forwarded.
fn forwarded_head(head: &ResponseHead) -> Bytes {
    let mut bytes = BytesMut::with_capacity(512);
    bytes.extend_from_slice(format!("HTTP/1.1 {} ", head.status).as_bytes());
    bytes.extend_from_slice(&head.reason);
    bytes.extend_from_slice(b"\r\n");
    head.fields.append_end_to_end(&mut bytes, |_| false);
    bytes.freeze()
}
