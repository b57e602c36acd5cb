//! How full the upstreams of one side are together.

use std::time::{Duration, Instant};

use crate::decay::remaining;

/// Over how long what upstreams tell is averaged: the calls in one come and go by a tenth of its
/// slots within the time of an answer, and that is no difference between failure domains.
const AVERAGED: Duration = Duration::from_millis(300);
/// Without news half of the level is forgotten in this time, so that the side is tried again.
const HALF_LIFE: Duration = Duration::from_millis(500);
/// The least weight of the newest news, however fast they come, and the greatest.
const WEIGHTS: (f64, f64) = (0.01, 0.3);

/// How full the upstreams of one side are together, as they tell it.
#[derive(Debug, Clone, Copy, Default)]
pub struct Average {
    value: f64,
    heard: Option<Instant>,
}

impl Average {
    /// Notes how full one of the upstreams is.
    pub fn record(&mut self, now: Instant, pressure: f64) {
        let Some(heard) = self.heard.replace(now) else {
            self.value = pressure;
            return;
        };
        let age = now.saturating_duration_since(heard);
        let weight = age.as_secs_f64() / AVERAGED.as_secs_f64();
        self.value += (pressure - self.value) * weight.clamp(WEIGHTS.0, WEIGHTS.1);
    }

    /// Returns true if anything was told.
    #[must_use]
    pub fn is_known(&self) -> bool {
        self.heard.is_some()
    }

    /// Returns the level, as far as it is still known.
    #[must_use]
    pub fn at(&self, now: Instant) -> f64 {
        let age = self
            .heard
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let age = age.saturating_sub(AVERAGED);
        self.value * remaining(age, HALF_LIFE)
    }
}
