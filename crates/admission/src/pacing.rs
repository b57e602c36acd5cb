//! Admission of calls under a rate limit.

#[cfg(test)]
mod tests;

use std::rc::Rc;
use std::time::{Duration, Instant};

use monoio::time::sleep;
use sailtrack_net::task;
use sailtrack_units::Rate;

use crate::Admission;
use crate::rate::Limiter;

/// The shortest pause between two checks whether waiting calls may be sent.
const MIN_PAUSE: Duration = Duration::from_millis(1);

impl Admission {
    /// Limits how many calls per second are admitted, or ends the limit.
    pub fn limit_rate(self: &Rc<Self>, rate: Option<Rate>) {
        let now = (self.clock)();
        {
            let state = &mut *self.state.borrow_mut();
            let recent = state.recent.count(now);
            match (&mut state.limiter, rate) {
                (Some(limiter), Some(rate)) if limiter.rate() == rate => return,
                (None, None) => return,
                (Some(limiter), Some(rate)) => limiter.set_rate(rate, recent, now),
                (limiter, rate) => {
                    *limiter = rate.map(|rate| Limiter::new(rate, recent, now));
                }
            }
        }
        self.admit_waiting();
        self.start_pacing();
    }

    /// Returns the rate limit, if there is one.
    pub fn rate(&self) -> Option<Rate> {
        let state = self.state.borrow();
        state.limiter.as_ref().map(Limiter::rate)
    }

    /// Returns how many calls were admitted in the last second.
    pub fn recent_rate(&self, now: Instant) -> u32 {
        self.state.borrow_mut().recent.count(now)
    }

    /// Returns true if the rate limit admits a call now.
    pub fn has_rate_left(&self, now: Instant) -> bool {
        let state = &mut *self.state.borrow_mut();
        let is_waiting = state.queue.len() > 0;
        let limiter = state.limiter.as_mut();
        limiter.is_none_or(|limiter| !is_waiting && limiter.has_token(now))
    }

    /// Returns how long the sender of a call that was just refused should wait before it sends
    /// another one, or `None` if the rate limit is not the reason.
    pub fn rate_turn(&self, now: Instant) -> Option<Duration> {
        if self.in_flight() >= self.limit(now) {
            return None;
        }
        let mut state = self.state.borrow_mut();
        let limiter = state.limiter.as_mut()?;
        Some(limiter.turn(now))
    }

    /// Starts the task that admits waiting calls at the rate of the limit, unless it runs, no call
    /// waits or there is no limit.
    pub(crate) fn start_pacing(self: &Rc<Self>) {
        if self.time_until_admission().is_none() || self.is_pacing.replace(true) {
            return;
        }
        let admission = Rc::clone(self);
        task::spawn("paced admission", async move {
            while let Some(pause) = admission.time_until_admission() {
                sleep(pause.max(MIN_PAUSE)).await;
                admission.admit_waiting();
            }
            admission.is_pacing.set(false);
        });
    }

    /// Returns the time until the rate limit admits the next waiting call, or `None` if none waits.
    fn time_until_admission(&self) -> Option<Duration> {
        let now = (self.clock)();
        let mut state = self.state.borrow_mut();
        let is_waiting = state.queue.len() > 0;
        let limiter = state.limiter.as_mut().filter(|_| is_waiting)?;
        Some(limiter.time_until_token(now))
    }
}
