//! The latency of an upstream relative to the others of its service.

use std::time::{Duration, Instant};

use crate::decay::remaining;

/// The minimum weight of the newest answer; the first answers weigh more.
const MIN_WEIGHT: f64 = 0.08;
/// The weight of the prior assumption that the upstream is like the others, in answers.
const PRIOR_ANSWERS: f64 = 1.0;
/// The half-life of the estimate without answers, so that an upstream that was slow while it was new
/// or full gets requests again.
const HALF_LIFE: Duration = Duration::from_secs(6);
/// The maximum deviation of one answer from the expected latency that is counted, as a logarithm.
const MAX_DEVIATION: f64 = 1.5;
/// The uncertainty about an upstream without answers, as a logarithm. It shrinks with each answer.
const INITIAL_UNCERTAINTY: f64 = 0.5;

/// The latency of an upstream relative to the others of its service, over all kinds of requests.
#[derive(Debug, Clone, Copy, Default)]
pub struct Speed {
    /// The logarithm of its latency divided by that of the others.
    log_slowness: f64,
    answers: f64,
    last_answer: Option<Instant>,
}

impl Speed {
    /// Returns the latency of the upstream divided by that of the others.
    #[must_use]
    pub fn slowness(&self, now: Instant) -> f64 {
        self.log_slowness(now).exp()
    }

    /// Returns the uncertainty of the slowness, as a difference of its logarithm.
    #[must_use]
    pub fn uncertainty(&self) -> f64 {
        INITIAL_UNCERTAINTY / (1.0 + self.answers)
    }

    /// Returns true if the upstream has answered a request.
    #[must_use]
    pub fn is_known(&self) -> bool {
        self.last_answer.is_some()
    }

    /// Records an answer whose latency exceeded the average of its kind by this logarithm.
    pub(crate) fn record(&mut self, now: Instant, log_slowness: f64) {
        let previous = self.log_slowness(now);
        self.answers += 1.0;
        let weight = MIN_WEIGHT.max(1.0 / (self.answers + PRIOR_ANSWERS));
        let deviation = (log_slowness - previous).clamp(-MAX_DEVIATION, MAX_DEVIATION);
        self.log_slowness = previous + deviation * weight;
        self.last_answer = Some(now);
    }

    pub(crate) fn log_slowness(&self, now: Instant) -> f64 {
        let age = self
            .last_answer
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.log_slowness * remaining(age, HALF_LIFE)
    }
}
