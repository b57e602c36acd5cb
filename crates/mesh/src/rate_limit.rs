//! What is known of the rate limit that an upstream names in its responses.

use sailtrack_units::Rate;
use sailtrack_wire::RateLimit as Message;

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

    /// Returns the message for the limit.
    pub(crate) fn to_wire(self) -> Option<Message> {
        (self != Self::Unknown).then(|| Message {
            limited: self.rate().is_some(),
            per_second: self.rate().unwrap_or_default().0,
            upstream: String::new(),
        })
    }

    /// Parses a message; a rate that is no number limits nothing.
    pub(crate) fn from_wire(message: Option<&Message>) -> Self {
        let Some(message) = message else {
            return Self::Unknown;
        };
        let is_rate = message.per_second.is_finite() && message.per_second >= 0.0;
        if message.limited && is_rate {
            Self::Limited(Rate(message.per_second))
        } else {
            Self::Unlimited
        }
    }
}
