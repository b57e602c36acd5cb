//! The time limit of a planned stop.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use displaydoc::Display;
use sailtrack_units::Period;

/// In a shorter stop readiness probes would not have failed twice, and the margins at its end would
/// take more than its last sixth, in which requests may be cut off.
const MIN_STOP_TIME: Duration = Duration::from_secs(3);

/// The time limit of a planned stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopTime(Period);

/// a stop takes at least 3s
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub struct StopTimeError;

impl std::error::Error for StopTimeError {}

impl StopTime {
    pub(crate) fn get(self) -> Duration {
        self.0.0
    }
}

impl fmt::Display for StopTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for StopTime {
    type Err = StopTimeError;

    fn from_str(text: &str) -> Result<Self, StopTimeError> {
        let period = text.parse::<Period>().map_err(|_| StopTimeError)?;
        if period.0 < MIN_STOP_TIME {
            return Err(StopTimeError);
        }
        Ok(Self(period))
    }
}
