//! Sends a request to the own upstream and judges what comes back.

use std::rc::Rc;
use std::time::Instant;

use bytes::{Bytes, BytesMut};
use futures::FutureExt as _;
use futures::future::{Either, select};
use sailtrack_net::transparent::ResponseHead;
use sailtrack_units::Moment;
use sailtrack_wire::{Outcome, Reason};

use super::Gate;
use super::entered::Entered;
use super::exchange::{ExchangeError, UpstreamAnswer, exchange};
use super::silence::Waited;
use super::upstream::Ended;
use crate::clock;
use crate::key::UpstreamKey;
use crate::request::{Request, Response};

/// The statuses that promise that a request did not run.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

impl Gate {
    /// Sends a request and waits for its answer until a moment at most.
    pub(super) async fn send(
        self: &Rc<Self>,
        work: &Request,
        entered: &Entered,
        until: Moment,
    ) -> Response {
        let upstream = &entered.upstream;
        let entry = self.contexts.open(work, upstream);
        let exchange = exchange(&self.pool, self.dialect.fields(), upstream, work);
        // Its state would otherwise be kept once in each of the futures that it passes through.
        let exchange = exchange.boxed_local();
        let exchange = until_ended(exchange, entered.ended.clone());
        let sent = self.begin_wait(work, entered);
        let result = self
            .wait_for(&sent, &entry.context, clock::timeout_at(until, exchange))
            .await;
        sent.note_end(&result, entered);
        let returned = match result {
            Waited::Over(Ok(Ok(answer))) => self.take_answer(work, entered, sent.at, answer),
            Waited::Over(Ok(Err(error))) => self.take_error(work, upstream, &error).await,
            Waited::Over(Err(_)) => Response::unknown(Reason::Deadline),
            Waited::Silent => Response::unknown(Reason::Connection),
        };
        if returned.outcome == Outcome::Done {
            self.quarantine.record_answer(&work.identity);
            sent.note_answer(&returned, self.upstream.report.slowness());
        }
        Response {
            path_pressure: entry.context.pressure.get(),
            failed_below: entry.context.failed_below.get(),
            absent_below: entry.context.absent_below.get(),
            ..returned
        }
    }

    fn take_answer(
        &self,
        work: &Request,
        entered: &Entered,
        sent_at: Moment,
        answer: UpstreamAnswer,
    ) -> Response {
        let upstream = &entered.upstream;
        let UpstreamAnswer { head, body } = answer;
        let fields = self.dialect.fields();
        if let Some(value) = head.fields.all(fields.load).next()
            && head.status != 421
        {
            let (report, dialect) = (&self.upstream.report, &*self.dialect);
            let now = clock::now();
            if let Some(load) = report.take(dialect, upstream, value, now) {
                self.room.settle_soon(load.requests(), &entered.stay, now);
            }
        }
        let says_not_run = head.fields.get(fields.not_run).is_some();
        if head.status == 421 {
            self.upstream
                .retire(upstream, "another upstream has its address");
            self.pool.clear();
            return Response::rejected_by_upstream(Reason::NoUpstream);
        }
        self.watcher.note_answer(upstream, sent_at);
        if says_not_run {
            self.admission.record_shed(Instant::now());
            return Response::rejected_by_upstream(Reason::UpstreamShed);
        }
        if PROMISES.contains(&head.status) {
            let reason = "a status that promises what the upstream does not say";
            self.events.log_lost_answer(&work.attempt, &reason);
            return Response::unknown(Reason::Connection);
        }
        Response::answered(head.status, passed_on(&head), body)
    }

    async fn take_error(
        self: &Rc<Self>,
        work: &Request,
        upstream: &UpstreamKey,
        error: &ExchangeError,
    ) -> Response {
        self.events.log_lost_answer(&work.attempt, error);
        if matches!(error, ExchangeError::Late) {
            return Response::refused(Reason::Deadline);
        }
        if error.is_unsent() {
            self.upstream.note_unreachable(Instant::now());
            return Response::refused(Reason::NoUpstream);
        }
        if self.has_crashed(upstream, &work.attempt, error).await {
            return Response::unknown(Reason::UpstreamCrashed);
        }
        Response::unknown(Reason::Connection)
    }
}

/// Waits for an answer of a life of the upstream for as long as that life may give one.
///
/// An instance that lost power closes no connections, so only its successor shows that it ended.
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
