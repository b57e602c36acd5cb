//! Refusals by the gate itself, of requests that the upstream never saw.

use std::time::Instant;

use sailtrack_admission::Rejection;
use sailtrack_wire::Reason;

use super::Gate;
use crate::events::{Limiter, Refusal};
use crate::request::{Request, Response};
use crate::retry_after;

impl Gate {
    pub(super) fn refuse_throttled(&self, request: &Request, rejection: Rejection) -> Response {
        match rejection {
            Rejection::Window => self.refuse_at(request, Reason::Overload, Limiter::Window),
            Rejection::Breaker => Response {
                absent_below: true,
                ..self.refuse_at(request, Reason::NoUpstream, Limiter::Breaker)
            },
        }
    }

    /// Refuses a request that the admission control did not admit.
    pub(super) fn refuse_unadmitted(&self, request: &Request, reason: Reason) -> Response {
        let turn = self.admission.rate_turn(Instant::now());
        let Some(turn) = turn.filter(|_| reason == Reason::Overload) else {
            return self.refuse_at(request, reason, Limiter::Queue);
        };
        self.metrics.record_rate_refusal();
        Response {
            turn: Some(turn),
            ..self.refuse_at(request, reason, Limiter::Rate)
        }
    }

    /// Refuses a request for whose body there is no memory.
    pub(crate) fn refuse_without_memory(&self, request: &Request) -> Response {
        self.refuse_at(request, Reason::Overload, Limiter::Memory)
    }

    pub(super) fn refuse(&self, request: &Request, reason: Reason) -> Response {
        self.refuse_at(request, reason, Limiter::None)
    }

    pub(super) fn refuse_at(
        &self,
        request: &Request,
        reason: Reason,
        limiter: Limiter,
    ) -> Response {
        self.events.log_gate_refusal(&Refusal {
            attempt: &request.attempt,
            kind: &request.kind,
            reason,
            limiter,
            rate: self
                .upstream
                .rate_limit()
                .rate()
                .filter(|_| limiter == Limiter::Rate),
            in_flight: self.admission.in_flight() + self.admission.waiting(),
        });
        let after = match (limiter, reason) {
            (Limiter::Breaker, _) => retry_after::no_upstream(),
            (Limiter::Memory, _) => retry_after::memory(),
            (_, Reason::OnTrial) => retry_after::trial(),
            _ => retry_after::overload(self.admission.retry_spread(Instant::now())),
        };
        Response::refused(reason).with_retry_after(after)
    }
}
