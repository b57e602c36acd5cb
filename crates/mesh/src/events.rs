//! Log events about single requests, bounded in number.

use std::cell::RefCell;
use std::fmt::Display;
use std::time::{Duration, Instant};

use sailtrack_kernel::Service;
use sailtrack_log::{Entry, Field, catalogue, emit};
use sailtrack_units::{KindName, NodeName};
use sailtrack_wire::{Outcome, Reason};

use crate::key::AttemptKey;
use crate::metrics::Stage;
use crate::work::Returned;

/// The most events about single requests in one second; a line costs some 10 us of processor
/// time, so these are at most 0.05 % of a core.
const EVENTS_PER_SECOND: u32 = 50;

/// A request that was refused, and what decided it.
pub(crate) struct Refusal<'a> {
    pub(crate) attempt: &'a AttemptKey,
    pub(crate) kind: &'a KindName,
    pub(crate) at: Stage,
    pub(crate) reason: Reason,
    /// The requests that ran and waited there.
    pub(crate) calls: usize,
}

/// The events of the present second.
#[derive(Debug)]
struct Second {
    began: Instant,
    written: u32,
    left_out: u32,
}

/// Writes log events about single requests, and leaves out what is too many.
#[derive(Debug)]
pub(crate) struct Events {
    second: RefCell<Second>,
}

impl Default for Events {
    fn default() -> Self {
        Self {
            second: RefCell::new(Second {
                began: Instant::now(),
                written: 0,
                left_out: 0,
            }),
        }
    }
}

impl Service for Events {
    const NAME: &'static str = "events";
}

impl Events {
    /// Notes that a request was refused.
    pub(crate) fn note_refusal(&self, refusal: &Refusal<'_>) {
        let reason = refusal.reason.as_str_name();
        self.write(
            &catalogue::REQUEST_REFUSED,
            &[
                ("request", refusal.attempt),
                ("kind", refusal.kind),
                ("at", &refusal.at),
                ("reason", &reason),
                ("calls", &refusal.calls),
            ],
        );
    }

    /// Notes that the answer of the own upstream to a request was lost or cannot be passed on.
    pub(crate) fn note_loss(&self, attempt: &AttemptKey, reason: &dyn Display) {
        self.write(
            &catalogue::ANSWER_LOST,
            &[("request", attempt), ("reason", reason)],
        );
    }

    /// Notes that a request is sent to another upstream.
    pub(crate) fn note_retry(&self, attempt: &AttemptKey, node: &NodeName, returned: &Returned) {
        let reason = returned.reason.as_str_name();
        let outcome = returned.outcome.as_str_name();
        self.write(
            &catalogue::REQUEST_REPEATED,
            &[
                ("request", attempt),
                ("node", node),
                ("outcome", &outcome),
                ("reason", &reason),
            ],
        );
    }

    /// Notes that a request ends without an answer of an upstream.
    pub(crate) fn note_failure(
        &self,
        attempt: &AttemptKey,
        kind: &KindName,
        status: u16,
        reason: Reason,
    ) {
        let reason = reason.as_str_name();
        self.write(
            &catalogue::REQUEST_FAILED,
            &[
                ("request", attempt),
                ("kind", kind),
                ("status", &status),
                ("reason", &reason),
            ],
        );
    }

    /// Notes what became of a request at the gate.
    pub(crate) fn note_gate(&self, kind: &KindName, returned: &Returned) {
        if returned.outcome == Outcome::Unknown {
            let reason = returned.reason.as_str_name();
            self.write(
                &catalogue::OUTCOME_NOT_KNOWN,
                &[("kind", kind), ("reason", &reason)],
            );
        }
    }

    fn write(&self, entry: &Entry, fields: &[Field<'_>]) {
        if self.may_write(Instant::now()) {
            emit(entry, fields);
        }
    }

    fn may_write(&self, now: Instant) -> bool {
        let mut second = self.second.borrow_mut();
        if now.saturating_duration_since(second.began) >= Duration::from_secs(1) {
            if second.left_out > 0 {
                let left_out = second.left_out;
                emit(&catalogue::EVENTS_LEFT_OUT, &[("count", &left_out)]);
            }
            *second = Second {
                began: now,
                written: 0,
                left_out: 0,
            };
        }
        let fits = second.written < EVENTS_PER_SECOND;
        if fits {
            second.written += 1;
        } else {
            second.left_out += 1;
        }
        fits
    }
}
