//! What the gate answers itself.

use std::time::Instant;

use sailtrack_admission::Rejection;
use sailtrack_wire::Reason;

use super::Gate;
use crate::events::{Limiter, Refusal};
use crate::request::{Request, Response};
use crate::retry_after;

impl Gate {
    pub(super) fn hold_back(&self, work: &Request, hold: Rejection) -> Response {
        match hold {
            Rejection::Window => self.refuse_at(work, Reason::Overload, Limiter::Window),
            Rejection::Breaker => Response {
                absent_below: true,
                ..self.refuse_at(work, Reason::NoUpstream, Limiter::Breaker)
            },
        }
    }

    pub(super) fn refuse(&self, work: &Request, reason: Reason) -> Response {
        self.refuse_at(work, reason, Limiter::None)
    }

    pub(super) fn refuse_at(&self, work: &Request, reason: Reason, limiter: Limiter) -> Response {
        self.events.log_gate_refusal(&Refusal {
            attempt: &work.attempt,
            kind: &work.kind,
            reason,
            limiter,
            in_flight: self.admission.in_flight() + self.admission.waiting(),
        });
        let after = match (limiter, reason) {
            (Limiter::Breaker, _) => retry_after::no_upstream(),
            (_, Reason::OnTrial) => retry_after::trial(),
            _ => retry_after::overload(self.admission.retry_spread(Instant::now())),
        };
        Response::refused(reason).with_retry_after(after)
    }
}
