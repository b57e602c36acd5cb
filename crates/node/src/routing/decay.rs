//! An admission level that was heard of and loses its force with time.

use std::time::{Duration, Instant};

use sailtrack_units::Rank;

/// A level is taken at its word for this long.
const HOLD_TIME: Duration = Duration::from_millis(300);
/// After that it falls by this many ranks a second, so that it is asked for again.
const DECAY_PER_SECOND: f64 = 80.0;

/// An admission level with the time at which it was heard of.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Level {
    level: Rank,
    reported_at: Instant,
}

impl Level {
    pub(crate) fn new(level: Rank, reported_at: Instant) -> Self {
        Self { level, reported_at }
    }

    /// Returns what is left of the level.
    pub(crate) fn at(&self, now: Instant) -> Rank {
        let age = now.saturating_duration_since(self.reported_at);
        let decay = age.saturating_sub(HOLD_TIME).as_secs_f64() * DECAY_PER_SECOND;
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let decay = decay.min(255.0) as u8;
        Rank::from_index(self.level.index().saturating_sub(decay))
    }
}
