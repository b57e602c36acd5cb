//! How nodes handle a request, given the crashes recorded against it.

use std::time::Duration;

/// How nodes handle a request, given the crashes recorded against it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// No restriction.
    Clear,
    /// Routed to the upstream that all nodes prefer for this request, so that requests lost in the
    /// same crash are not retried together.
    Suspected {
        /// How many consecutive crashes are known.
        known_crashes: u8,
    },
    /// Routed like a suspect. It also runs one at a time, and never beside another request on
    /// trial.
    OnTrial {
        /// How many consecutive crashes are known.
        known_crashes: u8,
    },
    /// Rejected without being sent to any upstream.
    Quarantined {
        /// How long the quarantine still lasts.
        remaining: Duration,
    },
}

impl Standing {
    /// Returns the number of consecutive crashes to send along with the request.
    #[must_use]
    pub fn known_crashes(self) -> u8 {
        match self {
            Self::Clear | Self::Quarantined { .. } => 0,
            Self::Suspected { known_crashes } | Self::OnTrial { known_crashes } => known_crashes,
        }
    }

    /// Returns true if the request must not be sent to any upstream.
    #[must_use]
    pub fn is_quarantined(self) -> bool {
        matches!(self, Self::Quarantined { .. })
    }

    /// Returns true if the request may only run as a trial.
    #[must_use]
    pub fn is_on_trial(self) -> bool {
        matches!(self, Self::OnTrial { .. })
    }

    /// Returns true for requests on trial or in quarantine, which all nodes have to know of.
    #[must_use]
    pub fn is_restricted(self) -> bool {
        self.is_on_trial() || self.is_quarantined()
    }
}
