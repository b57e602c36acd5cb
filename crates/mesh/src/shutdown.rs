//! The times of a planned stop by which requests have to end.
//!
//! A request that is cut at the end of a stop gets no answer, and its caller must not repeat it if
//! it is not idempotent. So no request is given more time than the stop leaves, and none is accepted
//! that the rest of it is too short for.

#[cfg(test)]
mod tests;

use std::cell::Cell;
use std::time::Duration;

use sailtrack_kernel::Service;
use sailtrack_units::Moment;

/// How long before the end of the stop all requests have been answered; the answers still have to
/// be written.
const ANSWER_MARGIN: Duration = Duration::from_millis(150);
/// How long before that upstreams are told to stop work, so that their own answers arrive.
const WORK_MARGIN: Duration = Duration::from_millis(250);
/// A call that would have less time than this is refused.
const MIN_CALL_TIME: Duration = Duration::from_millis(500);

/// The planned stop of this process, once it has begun.
#[derive(Debug, Default)]
pub(crate) struct Shutdown {
    /// When the process ends at the latest.
    end: Cell<Option<Moment>>,
}

impl Service for Shutdown {
    const NAME: &'static str = "shutdown";
}

impl Shutdown {
    /// Begins the stop; the process ends at `end` at the latest.
    pub(crate) fn begin(&self, end: Moment) {
        self.end.set(Some(end));
    }

    /// Returns the time by which a request is answered.
    pub(crate) fn answer_deadline(&self, deadline: Moment) -> Moment {
        self.bounded(deadline, ANSWER_MARGIN)
    }

    /// Returns the time until which an upstream may work on a request.
    pub(crate) fn work_deadline(&self, deadline: Moment) -> Moment {
        self.bounded(deadline, ANSWER_MARGIN + WORK_MARGIN)
    }

    /// Returns true if too little time is left for a call of the own upstream.
    pub(crate) fn is_too_late(&self, now: Moment) -> bool {
        let margin = ANSWER_MARGIN + WORK_MARGIN + MIN_CALL_TIME;
        let end = self.end.get();
        end.is_some_and(|end| end.since(now) < margin)
    }

    fn bounded(&self, deadline: Moment, margin: Duration) -> Moment {
        let end = self.end.get().map(|end| end.before(margin));
        end.map_or(deadline, |end| end.min(deadline))
    }
}
