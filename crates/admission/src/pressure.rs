//! The load of an upstream relative to its limit, as nodes report it in their answers.

use std::fmt;
use std::time::{Duration, Instant};

/// A reported pressure is used unchanged for this long.
const FRESH_FOR: Duration = Duration::from_millis(100);
/// After that it decays with this half-life, so that the node gets requests again.
const HALF_LIFE: Duration = Duration::from_millis(100);
/// The maximum pressure that is reported, in percent.
const MAX_PERCENT: f64 = 10_000.0;

/// How much lower the pressure in another failure domain must be for calls to spill over to it. With
/// a much larger margin, callers in a domain with few upstreams of the last service in the call chain
/// are refused while other domains have capacity; with none, calls cross between failure domains for
/// no benefit.
const SPILL_MARGIN: f64 = 0.05;

/// The calls in an upstream and in its admission queue, as a share of its limit.
#[derive(Debug, Clone, Copy, Default, PartialEq, PartialOrd)]
pub struct Pressure(pub f64);

impl Pressure {
    /// The pressure from which calls have to wait.
    pub const FULL: Self = Self(1.0);

    /// The minimum pressure that a refusal for overload implies.
    pub const OVERLOADED: Self = Self(2.0);

    /// Returns the greater of two pressures.
    #[must_use]
    pub fn max(self, other: Self) -> Self {
        Self(self.0.max(other.0))
    }

    /// Returns true if a call should spill over from an upstream with this pressure to one in another
    /// failure domain.
    #[must_use]
    pub fn spills_to(self, far: Self) -> bool {
        self >= Self::FULL && far.0 + SPILL_MARGIN < self.0
    }

    /// Returns the pressure of this many calls on a limit.
    #[allow(clippy::cast_precision_loss)]
    #[must_use]
    pub fn of(calls: usize, limit: usize) -> Self {
        Self(calls as f64 / limit.max(1) as f64)
    }

    /// Returns the pressure as an integer percentage.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    #[must_use]
    pub fn percent(self) -> u32 {
        (self.0 * 100.0).clamp(0.0, MAX_PERCENT) as u32
    }

    /// Returns the pressure for an integer percentage.
    #[must_use]
    pub fn from_percent(percent: u32) -> Self {
        Self(f64::from(percent) / 100.0)
    }

    /// Returns the pressure decayed by the age of the report, which arrived at `heard`.
    #[must_use]
    pub fn decayed(self, heard: Instant, now: Instant) -> Self {
        let age = now
            .saturating_duration_since(heard)
            .saturating_sub(FRESH_FOR);
        let halvings = age.as_secs_f64() / HALF_LIFE.as_secs_f64();
        Self(self.0 * 0.5f64.powf(halvings))
    }
}

impl fmt::Display for Pressure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} %", self.percent())
    }
}
