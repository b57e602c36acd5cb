//! Refusals by the gate itself, of requests that the upstream never saw.

use std::time::Instant;

use sailtrack_admission::Hold;
use sailtrack_wire::Reason;

use super::Gate;
use crate::events::{Bound, Refusal};
use crate::returns;
use crate::work::{Returned, Work};

impl Gate {
    pub(super) fn refuse_held(&self, work: &Work, hold: Hold) -> Returned {
        match hold {
            Hold::Window => self.refuse_at(work, Reason::Overload, Bound::Window),
            Hold::Path => Returned {
                absent_below: true,
                ..self.refuse_at(work, Reason::NoUpstream, Bound::Path)
            },
        }
    }

    pub(super) fn refuse(&self, work: &Work, reason: Reason) -> Returned {
        self.refuse_at(work, reason, Bound::Nothing)
    }

    pub(super) fn refuse_at(&self, work: &Work, reason: Reason, bound: Bound) -> Returned {
        self.events.note_refusal(&Refusal {
            attempt: &work.attempt,
            kind: &work.kind,
            reason,
            bound,
            calls: self.admission.in_flight() + self.admission.waiting(),
        });
        let after = match (bound, reason) {
            (Bound::Path, _) => returns::after_absence(),
            (_, Reason::OnTrial) => returns::after_trial(),
            _ => returns::after_overload(self.admission.return_spread(Instant::now())),
        };
        Returned::refused(reason).come_back(after)
    }
}
