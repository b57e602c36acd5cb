//! Resources that a request holds while the local upstream executes it.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Instant;

use sailtrack_admission::{Feedback, Pressure, ThrottlePermit};

use super::lock::Guard;
use super::slots::Slot;
use super::upstream::Ended;
use crate::key::UpstreamKey;
use crate::request::Response;

/// Resources that a request holds while the local upstream executes it.
pub(super) struct Admitted {
    pub(super) upstream: UpstreamKey,
    /// Resolves when this incarnation of the upstream has ended.
    pub(super) ended: Ended,
    pub(super) slot: Slot,
    /// Its place in the admission window of its kind, if it comes directly from a client.
    pub(super) outset: Option<ThrottlePermit>,
    /// Held if the request is a crash suspect on trial.
    #[allow(dead_code, reason = "it is held, not read")]
    pub(super) trial: Option<Guard>,
    /// Whether the wait for a response was given up before the deadline.
    pub(super) is_given_up: Rc<Cell<bool>>,
}

impl Admitted {
    /// Reports the pressure on the local upstream (`local`) and on the upstreams below it to the
    /// admission window.
    pub(super) fn record_result(&self, returned: &Response, local: Pressure) {
        if let Some(outset) = &self.outset {
            let met = Feedback {
                local,
                callees: returned.path_pressure,
                no_upstream: returned.found_no_upstream(),
            };
            outset.record(Instant::now(), met);
        }
    }
}
