//! Resources that a request holds while the local upstream executes it.

use std::time::Instant;

use sailtrack_admission::{Feedback, Pressure, ThrottlePermit};

use super::incarnation::Ended;
use super::lock::Guard;
use super::slots::Slot;
use crate::key::UpstreamKey;
use crate::request::Response;

/// Resources that a request holds while the local upstream executes it.
pub(super) struct Admitted {
    pub(super) upstream: UpstreamKey,
    /// Resolves when this incarnation of the upstream has ended.
    pub(super) ended: Ended,
    pub(super) slot: Slot,
    /// Its throttle permit, if it comes directly from a client.
    pub(super) throttle_permit: Option<ThrottlePermit>,
    /// Held if the request is on trial.
    #[allow(dead_code, reason = "it is held, not read")]
    pub(super) trial: Option<Guard>,
}

impl Admitted {
    /// Reports the pressure on the local upstream (`local`) and on the upstreams that it called to
    /// the throttle.
    pub(super) fn record_result(&self, response: &Response, local: Pressure) {
        if let Some(throttle_permit) = &self.throttle_permit {
            let feedback = Feedback {
                local,
                callees: response.path_pressure,
                no_upstream: response.found_no_upstream(),
            };
            throttle_permit.record(Instant::now(), feedback);
        }
    }
}
