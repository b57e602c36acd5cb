//! Exponential backoff for operations on the platform.

use std::time::Duration;

use rand::Rng;

/// A delay with jitter that doubles with each failure, so that many nodes retrying together do not
/// overload a platform that is just recovering.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Backoff {
    first: Duration,
    max: Duration,
    next: Duration,
}

impl Backoff {
    pub(crate) fn new(first: Duration, max: Duration) -> Self {
        Self {
            first,
            max,
            next: first,
        }
    }

    /// Resets the delay after a success.
    pub(crate) fn reset(&mut self) {
        self.next = self.first;
    }

    /// Returns the delay after one more failure: between half of the current one and all of it.
    pub(crate) fn pause(&mut self, random: &mut impl Rng) -> Duration {
        let pause = self.next.mul_f64(random.random_range(0.5..1.0));
        self.next = (self.next * 2).min(self.max);
        pause
    }
}
