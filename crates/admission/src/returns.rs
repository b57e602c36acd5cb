//! How many calls are refused for each one admitted, over the last second or two.

use std::time::{Duration, Instant};

/// Counts are halved each time this has passed.
const HALF_LIFE: Duration = Duration::from_secs(1);

/// Fading counts of admitted and refused calls.
#[derive(Debug)]
pub(crate) struct Returns {
    halved: Instant,
    admitted: f64,
    refused: f64,
}

impl Returns {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            halved: now,
            admitted: 0.0,
            refused: 0.0,
        }
    }

    /// Notes one call that was admitted or refused.
    pub(crate) fn record(&mut self, now: Instant, admitted: bool) {
        self.fade(now);
        if admitted {
            self.admitted += 1.0;
        } else {
            self.refused += 1.0;
        }
    }

    /// Returns how many calls are refused for each one admitted.
    pub(crate) fn refused_per_admitted(&mut self, now: Instant) -> f64 {
        self.fade(now);
        self.refused / self.admitted.max(1.0)
    }

    fn fade(&mut self, now: Instant) {
        let age = now.saturating_duration_since(self.halved);
        if age < HALF_LIFE {
            return;
        }
        let factor = 0.5f64.powf(age.as_secs_f64() / HALF_LIFE.as_secs_f64());
        self.admitted *= factor;
        self.refused *= factor;
        self.halved = now;
    }
}
