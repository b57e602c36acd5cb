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
use super::admitted::Admitted;
use super::exchange::{ExchangeError, UpstreamAnswer, exchange};
use super::upstream::Ended;
use super::wait::Waited;
use crate::clock;
use crate::key::UpstreamKey;
use crate::work::{Returned, Work};

/// The statuses that promise that a request did not run.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

impl Gate {
    /// Sends a request and waits for its answer until a moment at most.
    pub(super) async fn send(
        self: &Rc<Self>,
        work: &Work,
        admitted: &Admitted,
        until: Moment,
    ) -> Returned {
        let upstream = &admitted.upstream;
        let entry = self.contexts.open(work, upstream);
        let exchange = exchange(&self.pool, self.dialect.fields(), upstream, work);
        // Its state would otherwise be kept once in each of the futures that it passes through.
        let exchange = exchange.boxed_local();
        let exchange = until_ended(exchange, admitted.ended.clone());
        let sent = self.track(work, admitted);
        let result = self
            .wait_for(&sent, &entry.context, clock::until(until, exchange))
            .await;
        sent.record_end(&result, admitted);
        let returned = match result {
            Waited::Finished(Ok(Ok(answer))) => self.take_answer(work, admitted, sent.at, answer),
            Waited::Finished(Ok(Err(error))) => self.take_error(work, upstream, &error).await,
            Waited::Finished(Err(_)) => Returned::unknown(Reason::Deadline),
            Waited::GivenUp => Returned::unknown(Reason::Connection),
        };
        if returned.outcome == Outcome::Done {
            self.quarantine.record_answer(&work.identity);
            sent.record_answer(&returned, self.upstream.report.slowdown());
        }
        Returned {
            path_pressure: entry.context.pressure.get(),
            failed_below: entry.context.failed_below.get(),
            absent_below: entry.context.absent_below.get(),
            ..returned
        }
    }

    fn take_answer(
        &self,
        work: &Work,
        admitted: &Admitted,
        sent_at: Moment,
        answer: UpstreamAnswer,
    ) -> Returned {
        let upstream = &admitted.upstream;
        let UpstreamAnswer { head, body } = answer;
        let fields = self.dialect.fields();
        if let Some(value) = head.fields.all(fields.load).next()
            && head.status != 421
        {
            let (report, dialect) = (&self.upstream.report, &*self.dialect);
            let now = clock::now();
            if let Some(load) = report.update(dialect, upstream, value, now) {
                self.slots
                    .reconcile_soon(load.requests(), &admitted.slot, now);
            }
        }
        let says_not_run = head.fields.get(fields.not_run).is_some();
        if head.status == 421 {
            self.upstream
                .retire(upstream, "another upstream has its address");
            self.pool.clear();
            return Returned::turned_away(Reason::NoUpstream);
        }
        self.detector.record_answer(upstream, sent_at);
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
        if matches!(error, ExchangeError::Late) {
            return Returned::refused(Reason::Deadline);
        }
        if error.is_unsent() {
            self.upstream.record_unreachable(Instant::now());
            return Returned::refused(Reason::NoUpstream);
        }
        if self.has_crashed(upstream, &work.attempt, error).await {
            return Returned::unknown(Reason::UpstreamCrashed);
        }
        Returned::unknown(Reason::Connection)
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
