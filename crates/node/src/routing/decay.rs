//! A reported admission level that decays with time.

use std::time::{Duration, Instant};

use sailtrack_units::Rank;

/// How long a reported level counts in full.
const HOLD_TIME: Duration = Duration::from_millis(300);
/// Decay after that, in ranks per second; so that a service that rejected requests is tried again.
const DECAY_PER_SECOND: f64 = 80.0;

/// An admission level and the time of the report.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Level {
    level: Rank,
    reported_at: Instant,
}

impl Level {
    pub(crate) fn new(level: Rank, reported_at: Instant) -> Self {
        Self { level, reported_at }
    }

    /// Returns the level after decay.
    pub(crate) fn at(&self, now: Instant) -> Rank {
        let age = now.saturating_duration_since(self.reported_at);
        let decay = age.saturating_sub(HOLD_TIME).as_secs_f64() * DECAY_PER_SECOND;
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let decay = decay.min(255.0) as u8;
        Rank::from_index(self.level.index().saturating_sub(decay))
    }
}
