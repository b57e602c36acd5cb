//! When a response is overdue.
//!
//! An upstream may never answer a request that it could not queue, or a
//! fraction of its requests, while it serves the others. A slow machine looks
//! similar, but trying its requests elsewhere costs work there. The two cases
//! are told apart by the usual latency of the request's kind, the slowdown and
//! queue length that the upstream reports, and whether requests of the same
//! kind that were sent later have been answered. This can be wrong, so an
//! overdue request goes on.

#[cfg(test)]
mod tests;

use std::time::Duration;

/// The timeout of a request that later requests have overtaken, as a multiple of the p99 latency of
/// its kind.
const OVERTAKEN_FACTOR: f64 = 1.5;
/// The minimum timeout as a multiple of the median latency: rare long requests may be missing from
/// the samples.
const MEDIAN_FACTOR: f64 = 10.0;
/// The timeout of a request that none has overtaken, as a multiple of the p99 latency: the upstream
/// as a whole may be slow.
const NOT_OVERTAKEN_FACTOR: f64 = 4.0;
/// From this fraction of unanswered requests on, a request that exceeds the p95 latency is much
/// more likely to be lost than slow.
const HIGH_UNANSWERED_SHARE: f64 = 0.2;
/// The timeout as a multiple of the last wait that was too long, while the upstream may have become
/// slow.
const OVERDUE_FACTOR: f64 = 2.0;
/// How many later requests of the same kind must have been answered; a single one may have been
/// fast by chance.
const MIN_OVERTAKEN: u32 = 3;
/// The minimum timeout: an instance with little CPU time pauses now and then.
const MIN_TIMEOUT: Duration = Duration::from_millis(100);
/// How often to check whether later requests were answered.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Percentiles of the latency of a kind of request, without the slowdown of the instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Latency {
    pub(super) median: Duration,
    pub(super) p95: Duration,
    pub(super) p99: Duration,
}

/// What is known of a request that has not been answered yet.
#[derive(Debug, Clone, Copy)]
pub(super) struct Pending {
    /// The time since it was sent.
    pub(super) waited: Duration,
    /// The time left until its deadline.
    pub(super) remaining: Duration,
    /// The latency of its kind on this upstream, if there are enough samples.
    pub(super) latency: Option<Latency>,
    /// The present slowdown of the upstream, as a factor of the usual latency.
    pub(super) slowdown: f64,
    /// How long an earlier request had waited when it became overdue, unless a fast response has come
    /// since: the upstream may have become slow.
    pub(super) last_overdue: Duration,
    /// How many requests of its kind that were sent later have been answered.
    pub(super) overtaken: u32,
    /// The recent fraction of unanswered requests of its kind.
    pub(super) unanswered_share: f64,
    /// Whether only the longer timeout applies: the request is known to run because it has made
    /// calls, or it is a retry, or the upstream is slow after a cold start.
    pub(super) is_lenient: bool,
}

/// Whether to go on waiting for a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Decision {
    /// Wait, and decide again after this time.
    Wait(Duration),
    /// The response is overdue, and the request may be tried elsewhere.
    Overdue,
}

impl Pending {
    /// Decides whether to go on waiting.
    pub(super) fn decide(&self) -> Decision {
        let Some(latency) = self.latency else {
            return Decision::Wait(self.remaining);
        };
        // Another upstream would need about this long, so there is no time left for a retry.
        if self.remaining < latency.median.mul_f64(self.slowdown) {
            return Decision::Wait(self.remaining);
        }
        let (short, long) = self.limits(latency);
        let due = if self.is_overtaken() { short } else { long };
        if self.waited >= due {
            return Decision::Overdue;
        }
        let next = if self.waited < short { short } else { long };
        let until_next = next.saturating_sub(self.waited);
        if self.waited < short {
            Decision::Wait(until_next)
        } else {
            Decision::Wait(until_next.min(CHECK_INTERVAL))
        }
    }

    /// Returns the timeouts of a request that others have overtaken and of one that none has.
    fn limits(&self, latency: Latency) -> (Duration, Duration) {
        let scaled = |time: Duration| time.mul_f64(self.slowdown).max(MIN_TIMEOUT);
        let after_overdue = self.last_overdue.mul_f64(OVERDUE_FACTOR);
        if self.unanswered_share >= HIGH_UNANSWERED_SHARE && !self.is_lenient {
            return (scaled(latency.p95), scaled(latency.p99).max(after_overdue));
        }
        let short = latency.p99.mul_f64(OVERTAKEN_FACTOR);
        let short = scaled(short.max(latency.median.mul_f64(MEDIAN_FACTOR)));
        let long = scaled(latency.p99.mul_f64(NOT_OVERTAKEN_FACTOR)).max(after_overdue);
        (short, long.max(short))
    }

    /// Returns true if the upstream answers later requests but not this one.
    pub(super) fn is_overtaken(&self) -> bool {
        self.overtaken >= MIN_OVERTAKEN && !self.is_lenient
    }
}
