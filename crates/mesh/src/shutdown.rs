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

use crate::settings::StopTime;

/// A stop accepts every request for this long, and for no more than this share of its time. A client
/// may keep sending if too few other nodes are ready, and accepted requests have to be finished.
const ACCEPT_TIME: Duration = Duration::from_secs(3);
const ACCEPT_SHARE: f64 = 0.45;
/// How long before the time limit of the stop the process ends at the latest.
const EXIT_MARGIN: Duration = Duration::from_millis(300);
/// How long before that all requests have been answered; the answers still have to be written.
const ANSWER_MARGIN: Duration = Duration::from_millis(150);
/// How long before that upstreams are told to stop work, so that their own answers arrive.
const WORK_MARGIN: Duration = Duration::from_millis(250);
/// A call that would have less time than this is refused.
const MIN_CALL_TIME: Duration = Duration::from_millis(500);

/// The planned stop of this process, once it has begun.
#[derive(Debug, Default)]
pub(crate) struct Shutdown(Cell<Option<Schedule>>);

/// The times of a stop.
#[derive(Debug, Clone, Copy)]
struct Schedule {
    /// Until when every request is accepted.
    accept: Moment,
    /// Until when upstreams may work.
    work: Moment,
    /// When all requests have been answered.
    answer: Moment,
    /// When the process ends at the latest.
    exit: Moment,
}

impl Service for Shutdown {
    const NAME: &'static str = "shutdown";
}

impl Schedule {
    fn new(start: Moment, stop_time: StopTime) -> Self {
        let exit = start + stop_time.get().saturating_sub(EXIT_MARGIN);
        let answer = exit.before(ANSWER_MARGIN);
        Self {
            accept: start + ACCEPT_TIME.min(stop_time.get().mul_f64(ACCEPT_SHARE)),
            work: answer.before(WORK_MARGIN),
            answer,
            exit,
        }
    }
}

impl Shutdown {
    /// Begins the stop; returns when the process ends at the latest.
    pub(crate) fn begin(&self, start: Moment, stop_time: StopTime) -> Moment {
        let schedule = Schedule::new(start, stop_time);
        self.0.set(Some(schedule));
        schedule.exit
    }

    /// Returns the time by which a request is answered.
    pub(crate) fn answer_deadline(&self, deadline: Moment) -> Moment {
        let schedule = self.0.get();
        schedule.map_or(deadline, |schedule| schedule.answer.min(deadline))
    }

    /// Returns the time until which an upstream may work on a request.
    pub(crate) fn work_deadline(&self, deadline: Moment) -> Moment {
        let schedule = self.0.get();
        schedule.map_or(deadline, |schedule| schedule.work.min(deadline))
    }

    /// Returns true if the rest of the stop is needed for the requests of clients that have been
    /// accepted.
    pub(crate) fn is_too_late(&self, now: Moment) -> bool {
        let schedule = self.0.get();
        schedule.is_some_and(|schedule| now >= schedule.accept)
    }

    /// Returns true if too little time is left for a call of the own upstream. Calls are accepted
    /// for longer than requests of clients, since their parent request fails without them.
    pub(crate) fn is_too_late_for_call(&self, now: Moment) -> bool {
        let schedule = self.0.get();
        schedule.is_some_and(|schedule| schedule.work.since(now) < MIN_CALL_TIME)
    }
}
