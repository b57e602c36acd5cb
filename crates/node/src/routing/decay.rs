//! An admission level that was heard of and loses its force with time.

use std::time::{Duration, Instant};

use sailtrack_units::Rank;

/// A level is taken at its word for this long.
const HOLD: Duration = Duration::from_millis(300);
/// After that it falls by this many ranks a second, so that it is asked for again.
const FALL: f64 = 80.0;

/// An admission level with the time at which it was heard of.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Level {
    level: Rank,
    heard: Instant,
}

impl Level {
    pub(crate) fn new(level: Rank, heard: Instant) -> Self {
        Self { level, heard }
    }

    /// Returns what is left of the level.
    pub(crate) fn at(&self, now: Instant) -> Rank {
        let age = now.saturating_duration_since(self.heard);
        let fallen = age.saturating_sub(HOLD).as_secs_f64() * FALL;
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let fallen = fallen.min(255.0) as u8;
        Rank::from_index(self.level.index().saturating_sub(fallen))
    }
}
