//! The ratio of refused to admitted calls, as an exponentially decaying average.

use std::time::{Duration, Instant};

/// The half-life of the counts.
const HALF_LIFE: Duration = Duration::from_secs(1);

/// Exponentially decaying counts of admitted and refused calls.
#[derive(Debug)]
pub(crate) struct Ratio {
    decayed_at: Instant,
    admitted: f64,
    refused: f64,
}

impl Ratio {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            decayed_at: now,
            admitted: 0.0,
            refused: 0.0,
        }
    }

    /// Records one call that was admitted or refused.
    pub(crate) fn record(&mut self, now: Instant, admitted: bool) {
        self.decay(now);
        if admitted {
            self.admitted += 1.0;
        } else {
            self.refused += 1.0;
        }
    }

    /// Returns how many calls are refused for each admitted one.
    pub(crate) fn refused_per_admitted(&mut self, now: Instant) -> f64 {
        self.decay(now);
        self.refused / self.admitted.max(1.0)
    }

    fn decay(&mut self, now: Instant) {
        let age = now.saturating_duration_since(self.decayed_at);
        if age < HALF_LIFE {
            return;
        }
        let factor = 0.5f64.powf(age.as_secs_f64() / HALF_LIFE.as_secs_f64());
        self.admitted *= factor;
        self.refused *= factor;
        self.decayed_at = now;
    }
}
