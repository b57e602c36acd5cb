//! How long the upstream may work on a request.

#[cfg(test)]
mod tests;

use std::rc::Rc;
use std::time::Duration;

use sailtrack_units::Moment;

use crate::gate::kinds::Kind;

/// The factor by which a slot is retained longer for each unconfirmed release.
const DOUBT_FACTOR: u32 = 4;
/// From this many unconfirmed releases on, slots are practically retained until the deadline.
const MAX_DOUBT: u32 = 15;

/// How long requests of a kind usually take.
#[derive(Clone)]
struct Usual {
    time: Duration,
    kind: Rc<Kind>,
}

/// How long the upstream may work on a request.
#[derive(Clone)]
pub(in crate::gate) struct Expectation {
    sent: Moment,
    /// The upstream stops work on the request at this moment.
    deadline: Moment,
    usual: Option<Usual>,
}

impl Expectation {
    /// The upstream may work on a request until its deadline.
    pub(in crate::gate) fn until(deadline: Moment, sent: Moment) -> Self {
        Self {
            sent,
            deadline,
            usual: None,
        }
    }

    /// Adds how long requests of this kind usually take.
    pub(in crate::gate) fn with_usual(self, time: Duration, kind: Rc<Kind>) -> Self {
        Self {
            usual: Some(Usual { time, kind }),
            ..self
        }
    }

    /// Returns the expectation for a request that has not ended when it usually would have.
    pub(super) fn without_usual(self) -> Self {
        Self::until(self.deadline, self.sent)
    }

    /// Records a response: if it came in the usual time, the upstream works at its usual pace.
    pub(in crate::gate) fn record_response(&self, now: Moment) {
        if let Some(usual) = &self.usual
            && now <= self.sent + usual.time
        {
            usual.kind.record_prompt(self.sent);
        }
    }

    pub(super) fn deadline(&self) -> Moment {
        self.deadline
    }

    /// Returns when the request should have ended.
    pub(super) fn usual_end(&self) -> Moment {
        let usual_end = self.usual.as_ref().map(|usual| self.sent + usual.time);
        usual_end.map_or(self.deadline, |end| end.min(self.deadline))
    }

    /// Returns true if the request must have ended: its deadline has passed, or its usual time has
    /// and a later request of its kind was answered in the usual time.
    pub(super) fn is_confirmed(&self, now: Moment) -> bool {
        let is_usual_pace = self
            .usual
            .as_ref()
            .is_some_and(|usual| usual.kind.was_prompt_after(self.sent));
        now >= self.deadline || (is_usual_pace && now >= self.usual_end())
    }

    /// Returns when the slot is released without confirmation, after `unconfirmed` others
    /// whose requests may still run.
    pub(super) fn unconfirmed_end(&self, unconfirmed: usize) -> Moment {
        let doubt = u32::try_from(unconfirmed).map_or(MAX_DOUBT, |count| count.min(MAX_DOUBT));
        let time = self.usual_end().since(self.sent);
        (self.sent + time.saturating_mul(DOUBT_FACTOR.pow(doubt))).min(self.deadline)
    }
}
