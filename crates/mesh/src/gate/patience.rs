//! Whether an answer is still to be waited for.
//!
//! An upstream may never answer a request that it could not queue, or a share
//! of its requests, while others are served. A machine may also be slow, and
//! then giving up throws work away. What tells them apart is how long the kind
//! takes, what the upstream says about its pace and its queue, and whether
//! requests of the same kind that were sent later have been answered.

#[cfg(test)]
mod tests;

use std::time::Duration;

/// How many times as long as the slowest hundredth of its kind a request may take that later ones
/// have overtaken.
const OVERTAKEN_FACTOR: f64 = 1.5;
/// How many times as long as the median of its kind it may take in any case: work that is seldom and
/// long may not have been seen yet.
const TAIL_FACTOR: f64 = 10.0;
/// How many times as long as the slowest hundredth one may take that none has overtaken: the
/// upstream as a whole may be slow.
const QUIET_FACTOR: f64 = 4.0;
/// From this share of requests without an answer on, one that takes longer than the usual late ones
/// (a twentieth of those with an answer) is much more likely to be silent than slow.
const SILENT_SHARE: f64 = 0.2;
/// How many times as long as the last that was waited for in vain, while it is not known whether
/// the upstream has become slow.
const DOUBT_FACTOR: f64 = 2.0;
/// How many later requests of its kind must have been answered: one may have been quick by chance.
const OVERTAKING: u32 = 3;
/// It is waited for at least this long: an instance with little of a processor pauses now and then.
const LEAST: Duration = Duration::from_millis(100);
/// How often it is looked at whether later ones were answered.
const LOOK: Duration = Duration::from_millis(50);

/// How long a kind of request takes when nothing slows it down.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Usual {
    /// Half of them are quicker,
    pub(super) middle: Duration,
    /// all but one in twenty are quicker than this,
    pub(super) late: Duration,
    /// and all but a hundredth are quicker than this.
    pub(super) longest: Duration,
}

/// What is known of a request without an answer.
#[derive(Debug, Clone, Copy)]
pub(super) struct Waiting {
    /// How long ago it was sent.
    pub(super) waited: Duration,
    /// How much time it has left.
    pub(super) left: Duration,
    /// How long its kind takes here, if enough of it was answered.
    pub(super) usual: Option<Usual>,
    /// How many times as long as usual work takes here at present.
    pub(super) slowness: f64,
    /// For how long one was waited for in vain before it was sent, if none has been quick since:
    /// the upstream may have become slow.
    pub(super) doubted: Duration,
    /// How many requests of its kind that were sent later have been answered.
    pub(super) overtaken: u32,
    /// The share of its kind that was not answered lately.
    pub(super) silent: f64,
    /// Only a long silence counts: it was taken in, since it has made calls, or it was sent
    /// elsewhere before, or the upstream has just started and is slow.
    pub(super) is_lenient: bool,
}

/// Whether it is still waited for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Decision {
    /// It is waited for, and looked at again after this time.
    Wait(Duration),
    /// No answer is expected any more.
    GiveUp,
}

impl Waiting {
    /// Decides whether it is waited for.
    pub(super) fn decide(&self) -> Decision {
        let Some(usual) = self.usual else {
            return Decision::Wait(self.left);
        };
        // Another upstream would need about this long.
        if self.left < usual.middle.mul_f64(self.slowness) {
            return Decision::Wait(self.left);
        }
        let (least, most) = self.bounds(usual);
        let due = if self.is_passed_over() { least } else { most };
        if self.waited >= due {
            return Decision::GiveUp;
        }
        let next = if self.waited < least { least } else { most };
        let rest = next.saturating_sub(self.waited);
        if self.waited < least {
            Decision::Wait(rest)
        } else {
            Decision::Wait(rest.min(LOOK))
        }
    }

    /// Returns how long it is waited for if others have passed it, and if none has.
    fn bounds(&self, usual: Usual) -> (Duration, Duration) {
        let at_pace = |time: Duration| time.mul_f64(self.slowness).max(LEAST);
        let doubt = self.doubted.mul_f64(DOUBT_FACTOR);
        if self.silent >= SILENT_SHARE && !self.is_lenient {
            return (at_pace(usual.late), at_pace(usual.longest).max(doubt));
        }
        let least = usual.longest.mul_f64(OVERTAKEN_FACTOR);
        let least = at_pace(least.max(usual.middle.mul_f64(TAIL_FACTOR)));
        let most = at_pace(usual.longest.mul_f64(QUIET_FACTOR)).max(doubt);
        (least, most.max(least))
    }

    /// Returns true if the upstream answers others and not it.
    pub(super) fn is_passed_over(&self) -> bool {
        self.overtaken >= OVERTAKING && !self.is_lenient
    }
}
