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
const MEDIAN_FACTOR: f64 = 10.0;
/// How many times as long as the slowest hundredth one may take that none has overtaken: the
/// upstream as a whole may be slow.
const NOT_OVERTAKEN_FACTOR: f64 = 4.0;
/// From this share of requests without an answer on, one that takes longer than the usual late ones
/// (a twentieth of those with an answer) is much more likely to be silent than slow.
const HIGH_UNANSWERED_SHARE: f64 = 0.2;
/// How many times as long as the last that was waited for in vain, while it is not known whether
/// the upstream has become slow.
const ABANDONED_FACTOR: f64 = 2.0;
/// How many later requests of its kind must have been answered: one may have been quick by chance.
const MIN_OVERTAKEN: u32 = 3;
/// It is waited for at least this long: an instance with little of a processor pauses now and then.
const MIN_TIMEOUT: Duration = Duration::from_millis(100);
/// How often it is looked at whether later ones were answered.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// How long a kind of request takes when nothing slows it down.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Latency {
    /// Half of them are quicker,
    pub(super) median: Duration,
    /// all but one in twenty are quicker than this,
    pub(super) p95: Duration,
    /// and all but a hundredth are quicker than this.
    pub(super) p99: Duration,
}

/// What is known of a request without an answer.
#[derive(Debug, Clone, Copy)]
pub(super) struct Pending {
    /// How long ago it was sent.
    pub(super) waited: Duration,
    /// How much time it has left.
    pub(super) remaining: Duration,
    /// How long its kind takes here, if enough of it was answered.
    pub(super) latency: Option<Latency>,
    /// How many times as long as usual work takes here at present.
    pub(super) slowdown: f64,
    /// For how long one was waited for in vain before it was sent, if none has been quick since:
    /// the upstream may have become slow.
    pub(super) last_abandoned: Duration,
    /// How many requests of its kind that were sent later have been answered.
    pub(super) overtaken: u32,
    /// The share of its kind that was not answered lately.
    pub(super) unanswered_share: f64,
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

impl Pending {
    /// Decides whether it is waited for.
    pub(super) fn decide(&self) -> Decision {
        let Some(latency) = self.latency else {
            return Decision::Wait(self.remaining);
        };
        // Another upstream would need about this long.
        if self.remaining < latency.median.mul_f64(self.slowdown) {
            return Decision::Wait(self.remaining);
        }
        let (short, long) = self.limits(latency);
        let due = if self.is_overtaken() { short } else { long };
        if self.waited >= due {
            return Decision::GiveUp;
        }
        let next = if self.waited < short { short } else { long };
        let until_next = next.saturating_sub(self.waited);
        if self.waited < short {
            Decision::Wait(until_next)
        } else {
            Decision::Wait(until_next.min(CHECK_INTERVAL))
        }
    }

    /// Returns how long it is waited for if others have passed it, and if none has.
    fn limits(&self, latency: Latency) -> (Duration, Duration) {
        let scaled = |time: Duration| time.mul_f64(self.slowdown).max(MIN_TIMEOUT);
        let after_abandoned = self.last_abandoned.mul_f64(ABANDONED_FACTOR);
        if self.unanswered_share >= HIGH_UNANSWERED_SHARE && !self.is_lenient {
            return (
                scaled(latency.p95),
                scaled(latency.p99).max(after_abandoned),
            );
        }
        let short = latency.p99.mul_f64(OVERTAKEN_FACTOR);
        let short = scaled(short.max(latency.median.mul_f64(MEDIAN_FACTOR)));
        let long = scaled(latency.p99.mul_f64(NOT_OVERTAKEN_FACTOR)).max(after_abandoned);
        (short, long.max(short))
    }

    /// Returns true if the upstream answers others and not it.
    pub(super) fn is_overtaken(&self) -> bool {
        self.overtaken >= MIN_OVERTAKEN && !self.is_lenient
    }
}
