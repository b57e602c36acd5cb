//! How long work currently takes on an instance, compared with what is usual there.

use std::fmt;
use std::str::FromStr;

use displaydoc::Display;

/// The plausible paces, in percent; others are rejected.
const PLAUSIBLE: std::ops::RangeInclusive<u32> = 10..=10_000;

/// a pace is a whole number of percent from 10 to 10000
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub struct PaceError;

impl std::error::Error for PaceError {}

/// How long work currently takes on an instance, in percent of its usual duration there.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Pace(u32);

impl Pace {
    /// Work takes as long as usual.
    pub const USUAL: Self = Self(100);

    /// Returns the pace of this many percent.
    ///
    /// # Errors
    ///
    /// Returns an error if the pace is not plausible, that is, not from 10 to 10000 percent.
    pub fn from_percent(percent: u32) -> Result<Self, PaceError> {
        if PLAUSIBLE.contains(&percent) {
            Ok(Self(percent))
        } else {
            Err(PaceError)
        }
    }

    /// Returns the pace in percent.
    #[must_use]
    pub fn percent(self) -> u32 {
        self.0
    }

    /// Returns the pace as a factor of the usual duration: 2.0 if work takes twice as long.
    #[must_use]
    pub fn factor(self) -> f64 {
        f64::from(self.0) / 100.0
    }
}

impl fmt::Display for Pace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}%", self.0)
    }
}

impl FromStr for Pace {
    type Err = PaceError;

    fn from_str(text: &str) -> Result<Self, PaceError> {
        let digits = text.strip_suffix('%').unwrap_or(text);
        let percent = digits.parse().map_err(|_| PaceError)?;
        Self::from_percent(percent)
    }
}
