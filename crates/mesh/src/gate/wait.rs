//! Waits for answers, and gives up those that are not expected any more.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures::channel::oneshot;
use futures::future::{Either, select};
use monoio::time::sleep;
use sailtrack_units::{KindName, Moment};

use super::Gate;
use super::admitted::Admitted;
use super::exchange::{ExchangeError, UpstreamAnswer};
use super::kinds::{InFlight, Kind};
use super::timeout::{Decision, Pending};
use crate::clock::{self, LAST_LOOK, Late};
use crate::contexts::Context;
use crate::events::Silence;
use crate::key::AttemptKey;
use crate::work::{Returned, Work};

/// How long it is waited at most before it is looked again.
const MAX_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// How long before the deadline the caller is told that no answer is expected, so that it hears
/// of it before its own time is over.
const REPLY_MARGIN: Duration = Duration::from_millis(25);

/// What an exchange ends with, if it does in time.
type Exchanged = Result<Result<UpstreamAnswer, ExchangeError>, Late>;

/// What came of waiting.
pub(super) enum Waited {
    /// The exchange or its time is over.
    Finished(Exchanged),
    /// No answer is expected any more, and the connection is closed.
    GivenUp,
}

/// A request that is sent, and what is known of its kind.
pub(super) struct Sent<'a> {
    attempt: &'a AttemptKey,
    name: &'a KindName,
    kind: Rc<Kind>,
    in_flight: InFlight,
    /// When it is sent.
    pub(super) at: Moment,
    deadline: Moment,
    /// It may be sent elsewhere after silence.
    is_repeatable: bool,
    is_retry: bool,
    admitted: &'a Admitted,
}

impl Sent<'_> {
    /// Takes in the end of an exchange: what of its room is free.
    pub(super) fn record_end(&self, end: &Waited, admitted: &Admitted) {
        match end {
            Waited::GivenUp => admitted.slot.abandon(self.deadline),
            // A broken connection does not say that the upstream stopped.
            Waited::Finished(Ok(Err(error))) if error.may_still_run() => {}
            // An upstream stops at the deadline that it was told.
            Waited::Finished(_) => admitted.slot.finish(),
        }
        if matches!(end, Waited::GivenUp | Waited::Finished(Err(Late))) {
            self.kind.record_outcome(true, Instant::now());
        }
    }

    /// Takes in its answer.
    pub(super) fn record_answer(&self, returned: &Returned, slowdown: f64) {
        if returned.is_success() {
            self.in_flight.record_answer(slowdown, Instant::now());
            self.kind.record_outcome(false, Instant::now());
        }
    }
}

impl Gate {
    /// Notes that a request is sent now.
    pub(super) fn track<'a>(&self, work: &'a Work, admitted: &'a Admitted) -> Sent<'a> {
        let kind = self.kinds.get(&work.kind);
        let latency = kind.latency();
        let slowdown = self.upstream.report.slowdown();
        let now = clock::now();
        let expected_end = latency.map(|latency| now + latency.p99.mul_f64(slowdown));
        let until = expected_end.map_or(work.deadline, |expected_end| {
            expected_end.min(work.deadline)
        });
        admitted.slot.start(now, until);
        Sent {
            attempt: &work.attempt,
            name: &work.kind,
            in_flight: kind.begin(Instant::now()),
            kind,
            at: now,
            deadline: work.deadline,
            is_repeatable: work.idempotent,
            is_retry: work.repeated,
            admitted,
        }
    }

    /// Waits for the end of an exchange for as long as one is expected.
    ///
    /// What must not run twice is waited for to its deadline, since nothing is gained by giving it
    /// up; only its room is.
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
            Either::Right(((), _)) if sent.is_repeatable => Waited::GivenUp,
            Either::Right(((), exchange)) => {
                sent.admitted.slot.abandon(sent.deadline);
                sent.admitted.is_given_up.set(true);
                Waited::Finished(exchange.await)
            }
        }
    }

    /// Waits until no answer to a request is expected any more.
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
                    sleep(LAST_LOOK).await;
                }
                Decision::GiveUp => {
                    self.report_abandoned(sent, &pending);
                    return;
                }
            }
        }
    }

    fn pending(&self, sent: &Sent<'_>, context: &Context) -> Pending {
        let remaining = if sent.is_repeatable {
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
        self.metrics.note_unanswered();
        self.events.note_silence(&Silence {
            attempt: sent.attempt,
            kind: sent.name,
            waited: pending.waited,
            usual: pending
                .latency
                .map_or(Duration::ZERO, |latency| latency.p99),
            overtaken: pending.overtaken,
        });
    }
}

/// Waits for the end of a request that must not run twice, until shortly before its deadline if
/// no answer to it is expected any more.
pub(super) async fn await_result(
    deadline: Moment,
    is_given_up: &Cell<bool>,
    mut receiver: oneshot::Receiver<Returned>,
) -> Result<Returned, oneshot::Canceled> {
    let told = clock::until(deadline.before(REPLY_MARGIN), &mut receiver).await;
    match told {
        Ok(returned) => returned,
        Err(Late) if is_given_up.get() => Ok(Returned::unknown(sailtrack_wire::Reason::Deadline)),
        Err(Late) => receiver.await,
    }
}
