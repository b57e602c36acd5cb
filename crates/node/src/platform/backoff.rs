//! The pause before an operation on the platform that failed is tried again.

use std::time::Duration;

use rand::Rng;

/// A pause that doubles with each failure, so that many nodes together do not hold the
/// platform down when it comes back.
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

    /// Starts again with the first pause.
    pub(crate) fn reset(&mut self) {
        self.next = self.first;
    }

    /// Returns the pause after one more failure: from half of the present one to all of it.
    pub(crate) fn pause(&mut self, random: &mut impl Rng) -> Duration {
        let pause = self.next.mul_f64(random.random_range(0.5..1.0));
        self.next = (self.next * 2).min(self.max);
        pause
    }
}
