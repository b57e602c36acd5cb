//! How long work takes on an instance at a moment.

use std::fmt;
use std::str::FromStr;

use displaydoc::Display;

/// The least and the greatest pace that is believed, in percent.
const BELIEVED: std::ops::RangeInclusive<u32> = 10..=10_000;

/// a pace is a whole number of percent from 10 to 10000
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub struct PaceError;

impl std::error::Error for PaceError {}

/// How long work takes on an instance at a moment, in percent of what it usually takes there.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Pace(u32);

impl Pace {
    /// Work takes as long as usual.
    pub const USUAL: Self = Self(100);

    /// Returns the pace of this many percent.
    ///
    /// # Errors
    ///
    /// Nobody works at such a pace.
    pub fn from_percent(percent: u32) -> Result<Self, PaceError> {
        if BELIEVED.contains(&percent) {
            Ok(Self(percent))
        } else {
            Err(PaceError)
        }
    }

    /// Returns it in percent.
    #[must_use]
    pub fn percent(self) -> u32 {
        self.0
    }

    /// Returns how many times as long as usual work takes.
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
