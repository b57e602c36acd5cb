//! How full a member is, as it says in its answers.

use std::fmt;
use std::time::{Duration, Instant};

/// What was heard is taken at its word for this long.
const HOLD: Duration = Duration::from_millis(100);
/// After that it is halved each time this has passed, so that the member is tried again.
const HALF_LIFE: Duration = Duration::from_millis(100);
/// The greatest pressure that is told, in percent.
const GREATEST_PERCENT: f64 = 10_000.0;

/// A full member's calls go to another failure domain if one there is emptier by this share of its
/// slots. With much more, callers beside few upstreams of the deepest service are refused while the
/// others have room; without one, calls cross between failure domains for nothing.
const SPILL_MARGIN: f64 = 0.05;

/// The calls in an upstream and in the queue before it, as a share of its limit.
#[derive(Debug, Clone, Copy, Default, PartialEq, PartialOrd)]
pub struct Pressure(pub f64);

impl Pressure {
    /// The pressure from which on calls wait.
    pub const FULL: Self = Self(1.0);

    /// The least pressure that a refusal for overload stands for.
    pub const OVERLOADED: Self = Self(2.0);

    /// Returns the greater of two pressures.
    #[must_use]
    pub fn max(self, other: Self) -> Self {
        Self(self.0.max(other.0))
    }

    /// Returns true if a call to a member this full is better sent to one in another failure
    /// domain.
    #[must_use]
    pub fn spills_to(self, far: Self) -> bool {
        self >= Self::FULL && far.0 + SPILL_MARGIN < self.0
    }

    /// Returns the pressure of `calls` on a limit.
    #[allow(clippy::cast_precision_loss)]
    #[must_use]
    pub fn of(calls: usize, limit: usize) -> Self {
        Self(calls as f64 / limit.max(1) as f64)
    }

    /// Returns the pressure in whole percent.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    #[must_use]
    pub fn percent(self) -> u32 {
        (self.0 * 100.0).clamp(0.0, GREATEST_PERCENT) as u32
    }

    /// Returns the pressure that a whole percentage stands for.
    #[must_use]
    pub fn from_percent(percent: u32) -> Self {
        Self(f64::from(percent) / 100.0)
    }

    /// Returns what is left of a pressure that was heard of at `heard`.
    #[must_use]
    pub fn decayed(self, heard: Instant, now: Instant) -> Self {
        let age = now.saturating_duration_since(heard).saturating_sub(HOLD);
        let halvings = age.as_secs_f64() / HALF_LIFE.as_secs_f64();
        Self(self.0 * 0.5f64.powf(halvings))
    }
}

impl fmt::Display for Pressure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} %", self.percent())
    }
}
