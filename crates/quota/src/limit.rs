//! The rate limit of a workspace, and the token bucket that enforces it.

use std::time::Duration;

/// The fraction of the permitted excess over a limit that is used as bucket capacity, and the
/// fraction that a new allocator uses while nodes may hold tokens of its predecessor that it does
/// not know of. The remaining 5 % allow for clock errors. With a smaller fraction for new
/// allocators, requests within the limits were rejected after each change of allocators.
const CAPACITY_FRACTION: f64 = 0.55;
const STARTUP_CAPACITY_FRACTION: f64 = 0.4;

/// The rate limit of a workspace over all nodes together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    /// Requests per second.
    pub rate: f64,
    /// Additional requests per window.
    pub burst: f64,
}

/// By how much all nodes together may exceed a limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Tolerance {
    /// The length of the sliding window in which requests are counted.
    pub window: Duration,
    /// The permitted excess per window, as a fraction of what the limit allows in it.
    pub overage: f64,
    /// The permitted excess per window in addition to that, in requests.
    pub slack: f64,
}

impl Limit {
    /// Returns the refill rate of the bucket in tokens per second: the mean rate that the limit
    /// allows over a window, including the burst.
    ///
    /// If tokens came at the plain rate, with the burst as additional capacity, a workspace that
    /// steadily sends a little more than its rate would be denied the burst that its limit allows
    /// in each window.
    #[must_use]
    pub fn refill_rate(&self, tolerance: &Tolerance) -> f64 {
        self.rate + self.burst / tolerance.window.as_secs_f64()
    }

    /// Returns the capacity of the bucket: the maximum number of tokens in all pools and caches.
    #[must_use]
    pub fn capacity(&self, tolerance: &Tolerance) -> f64 {
        CAPACITY_FRACTION * self.permitted_excess(tolerance)
    }

    /// Returns the capacity that allocators use just after they have started.
    #[must_use]
    pub fn startup_capacity(&self, tolerance: &Tolerance) -> f64 {
        STARTUP_CAPACITY_FRACTION * self.permitted_excess(tolerance)
    }

    /// Returns the permitted excess over the limit in a window, in requests.
    fn permitted_excess(&self, tolerance: &Tolerance) -> f64 {
        let allowed = self.refill_rate(tolerance) * tolerance.window.as_secs_f64();
        tolerance.overage * allowed + tolerance.slack
    }
}
