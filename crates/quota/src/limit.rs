//! How much a workspace may ask.

use std::time::Duration;

/// The part of what may run beyond a limit that is used on purpose, as room for tokens, and the
/// part that a new allocator uses while nodes may hold tokens of the one before that it has not heard
/// of. Together they leave a twentieth for the clocks. With less for a new allocator, requests are
/// refused below their limits after each change of allocators.
const ROOM_SHARE: f64 = 0.55;
const YOUNG_ROOM_SHARE: f64 = 0.4;

/// How much a workspace may ask of all nodes together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    /// Requests a second.
    pub rate: f64,
    /// Requests on top of that.
    pub burst: f64,
}

/// How far the sum over all nodes may go beyond a limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Tolerance {
    /// In any window of this length
    pub window: Duration,
    /// this share of what the limit allows in it may run beside it,
    pub overage: f64,
    /// and this many requests more.
    pub slack: f64,
}

impl Limit {
    /// Returns how many tokens come a second: the mean that the limit allows over a window, its
    /// burst included.
    ///
    /// With the rate alone, and room for the burst besides, a workspace that asks steadily for a
    /// little more than its rate is refused what its limit allows in each window.
    #[must_use]
    pub fn refill_rate(&self, tolerance: &Tolerance) -> f64 {
        self.rate + self.burst / tolerance.window.as_secs_f64()
    }

    /// Returns the most tokens that may be there at once, in all places together.
    #[must_use]
    pub fn capacity(&self, tolerance: &Tolerance) -> f64 {
        ROOM_SHARE * self.surplus(tolerance)
    }

    /// Returns the same for those of new allocators.
    #[must_use]
    pub fn startup_capacity(&self, tolerance: &Tolerance) -> f64 {
        YOUNG_ROOM_SHARE * self.surplus(tolerance)
    }

    /// Returns how many requests may run in a window beside those that the limit allows.
    fn surplus(&self, tolerance: &Tolerance) -> f64 {
        let allowed = self.refill_rate(tolerance) * tolerance.window.as_secs_f64();
        tolerance.overage * allowed + tolerance.slack
    }
}
