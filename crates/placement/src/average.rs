//! The average pressure of the upstreams of one locality.

use std::time::{Duration, Instant};

use crate::decay::remaining;

/// The time constant of the moving average. Within one response time the calls in an upstream vary by
/// a tenth of its slots, which must not count as a difference between failure domains.
const TIME_CONSTANT: Duration = Duration::from_millis(300);
/// The half-life of the average without reports, so that these upstreams get requests again.
const HALF_LIFE: Duration = Duration::from_millis(500);
/// The minimum and the maximum weight of one report, however soon or late after the last one.
const WEIGHT_RANGE: (f64, f64) = (0.01, 0.3);

/// The exponentially weighted moving average of the pressure that upstreams report.
#[derive(Debug, Clone, Copy, Default)]
pub struct Average {
    value: f64,
    updated: Option<Instant>,
}

impl Average {
    /// Records the pressure that one of the upstreams reports.
    pub fn record(&mut self, now: Instant, pressure: f64) {
        let Some(updated) = self.updated.replace(now) else {
            self.value = pressure;
            return;
        };
        let age = now.saturating_duration_since(updated);
        let weight = age.as_secs_f64() / TIME_CONSTANT.as_secs_f64();
        self.value += (pressure - self.value) * weight.clamp(WEIGHT_RANGE.0, WEIGHT_RANGE.1);
    }

    /// Returns true if there has been a report.
    #[must_use]
    pub fn is_known(&self) -> bool {
        self.updated.is_some()
    }

    /// Returns the average, decayed if the last report is old.
    #[must_use]
    pub fn at(&self, now: Instant) -> f64 {
        let age = self
            .updated
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let age = age.saturating_sub(TIME_CONSTANT);
        self.value * remaining(age, HALF_LIFE)
    }
}
