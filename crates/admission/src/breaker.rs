//! Which kinds of requests are not begun since a service further down has no upstream.
//!
//! While a service at the bottom is out of reach, every request that needs it
//! runs in vain at all services above, and fails where a refusal would have
//! let its caller come back. A kind is held back after a few such ends in a
//! row; one request at a time still tries the path, so that the kind returns
//! as soon as the path does.

#[cfg(test)]
mod tests;

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::{Duration, Instant};

use sailtrack_units::KindName;

/// The ends in a row for want of an upstream further down that hold a kind back. One or two may
/// come of a node that has just left while another one takes over.
const ENDS_TO_TRIP: u32 = 3;
/// How often one request of the kind tries the path. It is sacrificed while the path is gone, and
/// the kind comes back this much later than the path at most: at 20 requests a second at one gate,
/// one in five.
const TRIAL_PAUSE: Duration = Duration::from_millis(250);

/// What is known of the path of one kind.
#[derive(Debug, Clone, Copy, Default)]
struct Path {
    /// The latest ends in a row for want of an upstream further down.
    absences: u32,
    next_trial: Option<Instant>,
}

/// Which kinds of requests are not begun at this node.
#[derive(Debug, Default)]
pub(crate) struct Breaker {
    paths: RefCell<HashMap<KindName, Path>>,
}

impl Breaker {
    /// Returns true if a request of the kind may begin; while it is held back, that is a trial.
    pub(crate) fn lets_in(&self, kind: &KindName, now: Instant) -> bool {
        let mut paths = self.paths.borrow_mut();
        let Some(path) = paths.get_mut(kind) else {
            return true;
        };
        if path.absences < ENDS_TO_TRIP {
            return true;
        }
        if path.next_trial.is_some_and(|next| now < next) {
            return false;
        }
        path.next_trial = Some(now + TRIAL_PAUSE);
        true
    }

    /// Notes that a request of the kind ended, and whether for want of an upstream further down.
    pub(crate) fn record(&self, kind: &KindName, now: Instant, no_upstream: bool) {
        let mut paths = self.paths.borrow_mut();
        if !no_upstream {
            paths.remove(kind);
            return;
        }
        let path = paths.entry(kind.clone()).or_default();
        path.absences = path.absences.saturating_add(1);
        if path.absences == ENDS_TO_TRIP {
            path.next_trial = Some(now + TRIAL_PAUSE);
        }
    }
}
