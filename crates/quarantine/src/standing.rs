//! What follows for a request from what is held against it.

use std::time::Duration;

/// What follows for a request from what is held against it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// Nothing.
    Clear,
    /// It goes to the upstream that all nodes prefer for it, so that those that were lost together
    /// are not repeated together.
    Suspected {
        /// How many crashes followed each other under it.
        known_crashes: u8,
    },
    /// Besides, it runs there one at a time, beside no other request on trial.
    OnTrial {
        /// How many crashes followed each other under it.
        known_crashes: u8,
    },
    /// It is sent to no upstream.
    Quarantined {
        /// How long that lasts.
        remaining: Duration,
    },
}

impl Standing {
    /// Returns the generation of crashes that is known.
    #[must_use]
    pub fn known_crashes(self) -> u8 {
        match self {
            Self::Clear | Self::Quarantined { .. } => 0,
            Self::Suspected { known_crashes } | Self::OnTrial { known_crashes } => known_crashes,
        }
    }

    /// Returns true if it is sent to no upstream.
    #[must_use]
    pub fn is_quarantined(self) -> bool {
        matches!(self, Self::Quarantined { .. })
    }

    /// Returns true if it runs on trial only.
    #[must_use]
    pub fn is_on_trial(self) -> bool {
        matches!(self, Self::OnTrial { .. })
    }

    /// Returns true if all nodes have to know of it.
    #[must_use]
    pub fn is_restricted(self) -> bool {
        self.is_on_trial() || self.is_quarantined()
    }
}
