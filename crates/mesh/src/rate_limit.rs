//! What is known of the rate limit that an upstream names in its responses.

use sailtrack_units::Rate;

/// The rate limit of an upstream: how many requests per second it accepts from all nodes together.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub(crate) enum RateLimit {
    /// No response of this incarnation has been seen.
    #[default]
    Unknown,
    /// Its last response named no limit.
    Unlimited,
    /// Its last response named this limit.
    Limited(Rate),
}

impl RateLimit {
    /// Returns the rate, if there is a limit.
    pub(crate) fn rate(self) -> Option<Rate> {
        match self {
            Self::Limited(rate) => Some(rate),
            Self::Unknown | Self::Unlimited => None,
        }
    }
}
