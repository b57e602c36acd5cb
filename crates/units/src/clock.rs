//! Wall-clock timestamps, and a wall clock that never goes back.

use std::cell::Cell;
use std::fmt;
use std::str::FromStr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};

/// A point in wall-clock time, in milliseconds since the Unix epoch.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Timestamp(pub u64);

impl Timestamp {
    /// Returns the current time of the system clock.
    #[must_use]
    pub fn now() -> Self {
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Self(u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX))
    }

    /// Returns the time `period` later, saturating at the largest timestamp.
    #[must_use]
    pub fn after(self, period: Duration) -> Self {
        let millis = u64::try_from(period.as_millis()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(millis))
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later.
    #[must_use]
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

impl fmt::Display for Timestamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let time = UNIX_EPOCH + Duration::from_millis(self.0);
        write!(f, "{}", humantime::format_rfc3339_millis(time))
    }
}

impl FromStr for Timestamp {
    type Err = humantime::TimestampError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let time = humantime::parse_rfc3339_weak(text)?;
        let since_epoch = time.duration_since(UNIX_EPOCH).unwrap_or_default();
        Ok(Self(
            u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX),
        ))
    }
}

/// A wall clock that never goes back, even when the system clock is set back.
#[derive(Debug, Default)]
pub struct Clock {
    latest: Cell<Timestamp>,
}

impl Clock {
    /// Returns the current time, or the latest time returned before if that is later.
    pub fn now(&self) -> Timestamp {
        self.advance(Timestamp::now())
    }

    /// Advances the clock to `reading` unless it is already later, and returns its time.
    pub fn advance(&self, reading: Timestamp) -> Timestamp {
        let now = reading.max(self.latest.get());
        self.latest.set(now);
        now
    }
}
