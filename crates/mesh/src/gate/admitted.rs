//! What a request holds while it is in the own upstream.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Instant;

use sailtrack_admission::{Met, OutsetPlace, Pressure};

use super::lock::Guard;
use super::slots::Slot;
use super::upstream::Ended;
use crate::key::UpstreamKey;
use crate::work::Returned;

/// What a request holds while it is in the own upstream.
pub(super) struct Admitted {
    pub(super) upstream: UpstreamKey,
    /// Tells that this life of the upstream has ended.
    pub(super) ended: Ended,
    /// Its slot.
    pub(super) slot: Slot,
    /// Its place among those of its kind, if a client made it.
    pub(super) outset: Option<OutsetPlace>,
    /// Held if it may end the upstream.
    #[allow(dead_code, reason = "it is held, not read")]
    pub(super) trial: Option<Guard>,
    /// No answer to it is expected any more.
    pub(super) is_given_up: Rc<Cell<bool>>,
}

impl Admitted {
    /// Notes what the request met further down; `here` is how full its own upstream is.
    pub(super) fn record_result(&self, returned: &Returned, here: Pressure) {
        if let Some(outset) = &self.outset {
            let met = Met {
                here,
                below: returned.path_pressure,
                found_nobody: returned.found_nobody(),
            };
            outset.note(Instant::now(), met);
        }
    }
}
