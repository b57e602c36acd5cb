//! Sizes, periods, rates, ratios and retry allowances, parsed with their units.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use displaydoc::Display;
use serde::{Deserialize, Serialize};

/// Why a quantity could not be parsed.
#[derive(Debug, Clone, PartialEq, Display)]
pub enum QuantityError {
    /// a period is a number with a unit, such as 250ms, 5s, 10m or 1h: {0}
    Period(humantime::DurationError),
    /// a size is a whole number with an optional unit B, KiB or MiB, such as 64KiB
    Size,
    /// a rate is a number followed by /s, such as 100/s
    Rate,
    /// a ratio is a number from 0 to 1, such as 0.1
    Ratio,
    /// an allowance is a whole number from 0 to 100
    Allowance,
}

impl std::error::Error for QuantityError {}

/// A duration, written with its unit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct Period(pub Duration);

impl Period {
    /// Returns a period of this many milliseconds.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(Duration::from_millis(millis))
    }

    /// Returns the number of whole milliseconds, saturating at `u64::MAX`.
    #[must_use]
    pub fn as_millis(self) -> u64 {
        u64::try_from(self.0.as_millis()).unwrap_or(u64::MAX)
    }
}

impl fmt::Display for Period {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = humantime::format_duration(self.0).to_string();
        f.pad(&text.replace(' ', ""))
    }
}

impl FromStr for Period {
    type Err = QuantityError;

    fn from_str(text: &str) -> Result<Self, QuantityError> {
        if let Some(seconds) = fractional_seconds(text) {
            return Ok(Self(seconds));
        }
        humantime::parse_duration(text)
            .map(Self)
            .map_err(QuantityError::Period)
    }
}

/// Parses fractional seconds such as `2.5s`, which `humantime` does not accept.
fn fractional_seconds(text: &str) -> Option<Duration> {
    let number = text.strip_suffix('s')?;
    if !number.contains('.') {
        return None;
    }
    Duration::try_from_secs_f64(number.parse().ok()?).ok()
}

const KIB: u64 = 1024;
const MIB: u64 = 1024 * KIB;

/// A size in bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct ByteSize(pub u64);

impl ByteSize {
    /// Returns the size as a `usize`, saturating at `usize::MAX`.
    #[must_use]
    pub fn as_usize(self) -> usize {
        usize::try_from(self.0).unwrap_or(usize::MAX)
    }
}

impl fmt::Display for ByteSize {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            bytes if bytes >= MIB && bytes % MIB == 0 => write!(f, "{}MiB", bytes / MIB),
            bytes if bytes >= KIB && bytes % KIB == 0 => write!(f, "{}KiB", bytes / KIB),
            bytes => write!(f, "{bytes}B"),
        }
    }
}

impl FromStr for ByteSize {
    type Err = QuantityError;

    fn from_str(text: &str) -> Result<Self, QuantityError> {
        let (digits, unit) = if let Some(digits) = text.strip_suffix("MiB") {
            (digits, MIB)
        } else if let Some(digits) = text.strip_suffix("KiB") {
            (digits, KIB)
        } else {
            (text.strip_suffix('B').unwrap_or(text), 1)
        };
        let count: u64 = digits.parse().map_err(|_| QuantityError::Size)?;
        count.checked_mul(unit).map(Self).ok_or(QuantityError::Size)
    }
}

/// A number of occurrences per second.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, Default)]
pub struct Rate(pub f64);

impl Rate {
    /// Returns a rate unless it is negative or not a finite number.
    #[must_use]
    pub fn new(per_second: f64) -> Option<Self> {
        (per_second.is_finite() && per_second >= 0.0).then_some(Self(per_second))
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

impl FromStr for Rate {
    type Err = QuantityError;

    fn from_str(text: &str) -> Result<Self, QuantityError> {
        let number = text.strip_suffix("/s").ok_or(QuantityError::Rate)?;
        let rate = number.parse().ok().and_then(Self::new);
        rate.ok_or(QuantityError::Rate)
    }
}

/// A fraction between zero and one.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, Default, Serialize, Deserialize)]
pub struct Ratio(pub f64);

impl fmt::Display for Ratio {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for Ratio {
    type Err = QuantityError;

    fn from_str(text: &str) -> Result<Self, QuantityError> {
        match text.parse::<f64>() {
            Ok(ratio) if (0.0..=1.0).contains(&ratio) => Ok(Self(ratio)),
            _ => Err(QuantityError::Ratio),
        }
    }
}

/// The largest retry allowance that can be declared.
const MAX_ALLOWANCE: u32 = 100;

/// How many retries a request may still cause, counted over all services that it passes through.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Allowance(pub u32);

impl fmt::Display for Allowance {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for Allowance {
    type Err = QuantityError;

    fn from_str(text: &str) -> Result<Self, QuantityError> {
        match text.parse() {
            Ok(count) if count <= MAX_ALLOWANCE => Ok(Self(count)),
            _ => Err(QuantityError::Allowance),
        }
    }
}
