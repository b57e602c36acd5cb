//! Declared services.

use std::fmt;
use std::str::FromStr;

use displaydoc::Display;
use sailtrack_units::ServiceName;

/// The highest concurrency limit that can be declared.
const MAX_LIMIT: u32 = 100_000;

/// The maximum number of requests that a node runs concurrently in its upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Limit {
    /// Adapted to the measured behaviour of the upstream.
    #[default]
    Auto,
    /// Set by an operator.
    Fixed(u32),
}

/// a limit is auto or a whole number from 1 to 100000
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub struct LimitError;

impl std::error::Error for LimitError {}

impl fmt::Display for Limit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Auto => f.write_str("auto"),
            Self::Fixed(limit) => write!(f, "{limit}"),
        }
    }
}

impl FromStr for Limit {
    type Err = LimitError;

    fn from_str(text: &str) -> Result<Self, LimitError> {
        if text == "auto" {
            return Ok(Self::Auto);
        }
        match text.parse() {
            Ok(limit) if (1..=MAX_LIMIT).contains(&limit) => Ok(Self::Fixed(limit)),
            _ => Err(LimitError),
        }
    }
}

/// A declared service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// Its name, unique in the declaration.
    pub name: ServiceName,
    /// The concurrency limit of each of its upstreams.
    pub limit: Limit,
}
