//! Waits for answers, and gives up those that are not expected any more.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures::channel::oneshot;
use futures::future::{Either, select};
use monoio::time::sleep;
use sailtrack_units::{KindName, Moment};

use super::Gate;
use super::entered::Entered;
use super::exchange::{ExchangeError, UpstreamAnswer};
use super::kinds::{Kind, Open};
use super::patience::{Decision, Waiting};
use crate::clock::{self, Elapsed, READ_GRACE};
use crate::contexts::Context;
use crate::events::Silence;
use crate::key::AttemptKey;
use crate::request::{Request, Response};

/// How long it is waited at most before it is looked again.
const LONGEST_LOOK: Duration = Duration::from_secs(1);
/// How long before the deadline the caller is told that no answer is expected, so that it hears
/// of it before its own time is over.
const TELL_AHEAD: Duration = Duration::from_millis(25);

/// What an exchange ends with, if it does in time.
type Exchanged = Result<Result<UpstreamAnswer, ExchangeError>, Elapsed>;

/// What came of waiting.
pub(super) enum Waited {
    /// The exchange or its time is over.
    Over(Exchanged),
    /// No answer is expected any more, and the connection is closed.
    Silent,
}

/// A request that is sent, and what is known of its kind.
pub(super) struct Sent<'a> {
    attempt: &'a AttemptKey,
    name: &'a KindName,
    kind: Rc<Kind>,
    open: Open,
    /// When it is sent.
    pub(super) at: Moment,
    deadline: Moment,
    /// It may be sent elsewhere after silence.
    is_repeatable: bool,
    was_repeated: bool,
    entered: &'a Entered,
}

impl Sent<'_> {
    /// Takes in the end of an exchange: what of its room is free.
    pub(super) fn note_end(&self, end: &Waited, entered: &Entered) {
        match end {
            Waited::Silent => entered.stay.give_up(self.deadline),
            // A broken connection does not say that the upstream stopped.
            Waited::Over(Ok(Err(error))) if error.may_go_on() => {}
            // An upstream stops at the deadline that it was told.
            Waited::Over(_) => entered.stay.end(),
        }
        if matches!(end, Waited::Silent | Waited::Over(Err(Elapsed))) {
            self.kind.note_silent(true, Instant::now());
        }
    }

    /// Takes in its answer.
    pub(super) fn note_answer(&self, returned: &Response, slowness: f64) {
        if returned.is_success() {
            self.open.note_answer(slowness, Instant::now());
            self.kind.note_silent(false, Instant::now());
        }
    }
}

impl Gate {
    /// Notes that a request is sent now.
    pub(super) fn begin_wait<'a>(&self, work: &'a Request, entered: &'a Entered) -> Sent<'a> {
        let kind = self.kinds.get(&work.kind);
        let usual = kind.usual();
        let slowness = self.upstream.report.slowness();
        let now = clock::now();
        let done = usual.map(|usual| now + usual.longest.mul_f64(slowness));
        let until = done.map_or(work.deadline, |done| done.min(work.deadline));
        entered.stay.begin(now, until);
        Sent {
            attempt: &work.attempt,
            name: &work.kind,
            open: kind.begin(Instant::now()),
            kind,
            at: now,
            deadline: work.deadline,
            is_repeatable: work.idempotent,
            was_repeated: work.is_retry,
            entered,
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
        let silence = std::pin::pin!(self.find_silence(sent, context));
        match select(exchange, silence).await {
            Either::Left((end, _)) => Waited::Over(end),
            Either::Right(((), _)) if sent.is_repeatable => Waited::Silent,
            Either::Right(((), exchange)) => {
                sent.entered.stay.give_up(sent.deadline);
                sent.entered.is_silent.set(true);
                Waited::Over(exchange.await)
            }
        }
    }

    /// Waits until no answer to a request is expected any more.
    async fn find_silence(&self, sent: &Sent<'_>, context: &Context) {
        let mut is_second_look = false;
        loop {
            let waiting = self.waiting(sent, context);
            match waiting.decide() {
                Decision::Wait(time) => {
                    is_second_look = false;
                    sleep(time.min(LONGEST_LOOK)).await;
                }
                Decision::GiveUp if !is_second_look => {
                    is_second_look = true;
                    sleep(READ_GRACE).await;
                }
                Decision::GiveUp => {
                    self.note_silence(sent, &waiting);
                    return;
                }
            }
        }
    }

    fn waiting(&self, sent: &Sent<'_>, context: &Context) -> Waiting {
        let left = if sent.is_repeatable {
            sent.deadline.since(clock::now())
        } else {
            Duration::MAX
        };
        let is_cold = self.upstream.is_cold(clock::now());
        Waiting {
            waited: sent.open.waited(Instant::now()),
            left,
            usual: sent.kind.usual(),
            slowness: self.upstream.report.slowness(),
            doubted: sent.open.doubted(),
            overtaken: sent.open.overtaken(),
            silent: sent.kind.silent(Instant::now()),
            is_lenient: context.has_made_calls.get() || sent.was_repeated || is_cold,
        }
    }

    fn note_silence(&self, sent: &Sent<'_>, waiting: &Waiting) {
        if !waiting.is_passed_over() {
            sent.open.note_doubt(Instant::now());
        }
        self.metrics.record_unanswered();
        self.events.log_missing_answer(&Silence {
            attempt: sent.attempt,
            kind: sent.name,
            waited: waiting.waited,
            expected: waiting.usual.map_or(Duration::ZERO, |usual| usual.longest),
            overtaken: waiting.overtaken,
        });
    }
}

/// Waits for the end of a request that must not run twice, until shortly before its deadline if
/// no answer to it is expected any more.
pub(super) async fn until_told(
    deadline: Moment,
    is_silent: &Cell<bool>,
    mut receiver: oneshot::Receiver<Response>,
) -> Result<Response, oneshot::Canceled> {
    let told = clock::timeout_at(deadline.before(TELL_AHEAD), &mut receiver).await;
    match told {
        Ok(returned) => returned,
        Err(Elapsed) if is_silent.get() => Ok(Response::unknown(sailtrack_wire::Reason::Deadline)),
        Err(Elapsed) => receiver.await,
    }
}
