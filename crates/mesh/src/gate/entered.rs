//! What a request holds while it is in the own upstream.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Instant;

use sailtrack_admission::{Feedback, Pressure, ThrottlePermit};

use super::room::Stay;
use super::single::Turn;
use super::upstream::Ended;
use crate::key::UpstreamKey;
use crate::request::Response;

/// What a request holds while it is in the own upstream.
pub(super) struct Entered {
    pub(super) upstream: UpstreamKey,
    /// Tells that this life of the upstream has ended.
    pub(super) ended: Ended,
    /// Its slot.
    pub(super) stay: Stay,
    /// Its place among those of its kind, if a client made it.
    pub(super) outset: Option<ThrottlePermit>,
    /// Held if it may end the upstream.
    #[allow(dead_code, reason = "it is held, not read")]
    pub(super) trial: Option<Turn>,
    /// No answer to it is expected any more.
    pub(super) is_silent: Rc<Cell<bool>>,
}

impl Entered {
    /// Notes what the request met further down; `local` is how full its own upstream is.
    pub(super) fn note(&self, returned: &Response, local: Pressure) {
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
