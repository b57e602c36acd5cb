//! A monotonic clock that keeps counting while the instance is suspended.

use std::ops::Add;
use std::time::Duration;

use nix::time::{ClockId, clock_gettime};

/// A point in time as the duration since the instance was booted, suspended time included.
///
/// [`std::time::Instant`] does not advance while the instance is suspended. Use `Instant` to time
/// what happens in this process alone, and `Moment` for what is shared with others or ages outside
/// this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Moment(Duration);

impl Moment {
    /// Returns the current moment.
    #[must_use]
    pub fn now() -> Self {
        // CLOCK_BOOTTIME exists on every Linux since 2.6.39, and reading it does not fail.
        let since_boot = clock_gettime(ClockId::CLOCK_BOOTTIME).map(Duration::from);
        Self::since_boot(since_boot.unwrap_or_default())
    }

    /// Returns the moment `time` after boot.
    #[must_use]
    pub const fn since_boot(time: Duration) -> Self {
        Self(time)
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later.
    #[must_use]
    pub fn since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// Returns the moment `time` earlier, saturating at boot.
    #[must_use]
    pub fn before(self, time: Duration) -> Self {
        Self(self.0.saturating_sub(time))
    }
}

impl Add<Duration> for Moment {
    type Output = Self;

    fn add(self, time: Duration) -> Self {
        Self(self.0.saturating_add(time))
    }
}
