//! How long an upstream takes beside the others of its service.

use std::time::{Duration, Instant};

use crate::decay::remaining;

/// The weight of the newest answer once some are known.
const NEWEST_WEIGHT: f64 = 0.08;
/// How many answers the assumption that it is like the others stands for.
const ASSUMED_ANSWERS: f64 = 1.0;
/// Without answers half of what is known is forgotten in this time, so that an upstream that was
/// slow when it was new, or while it was full, is tried again.
const HALF_LIFE: Duration = Duration::from_secs(6);
/// The greatest logarithm by which one answer may differ from what is expected.
const MOST_SURPRISE: f64 = 1.5;
/// The logarithm by which an upstream without answers may differ from the others. Each answer
/// leaves less of it.
const FIRST_DOUBT: f64 = 0.5;

/// How long an upstream takes beside the others of its service, whatever the kind.
#[derive(Debug, Clone, Copy, Default)]
pub struct Speed {
    /// The logarithm of its time as a share of what the others take.
    log: f64,
    answers: f64,
    answered: Option<Instant>,
}

impl Speed {
    /// Returns how many times as long as the others it takes.
    #[must_use]
    pub fn slowness(&self, now: Instant) -> f64 {
        self.log(now).exp()
    }

    /// Returns by how much it may be quicker or slower than that, as a logarithm.
    #[must_use]
    pub fn uncertainty(&self) -> f64 {
        FIRST_DOUBT / (1.0 + self.answers)
    }

    /// Returns true if an answer of it was seen.
    #[must_use]
    pub fn is_known(&self) -> bool {
        self.answered.is_some()
    }

    /// Notes an answer that took so much longer, as a logarithm, than one of its kind usually does.
    pub(crate) fn record(&mut self, now: Instant, log: f64) {
        let before = self.log(now);
        self.answers += 1.0;
        let weight = NEWEST_WEIGHT.max(1.0 / (self.answers + ASSUMED_ANSWERS));
        let surprise = (log - before).clamp(-MOST_SURPRISE, MOST_SURPRISE);
        self.log = before + surprise * weight;
        self.answered = Some(now);
    }

    pub(crate) fn log(&self, now: Instant) -> f64 {
        let age = self
            .answered
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.log * remaining(age, HALF_LIFE)
    }
}
