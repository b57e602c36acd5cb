//! A limit on operations per second.

use std::time::Instant;

use sailtrack_units::Rate;

/// A token bucket that holds one second's worth of operations.
pub(crate) struct RateLimit {
    rate: Rate,
    tokens: f64,
    filled: Instant,
}

impl RateLimit {
    pub(crate) fn new(rate: Rate) -> Self {
        Self {
            rate,
            tokens: rate.0,
            filled: Instant::now(),
        }
    }

    /// Takes one operation; returns false if the rate is exceeded.
    pub(crate) fn take(&mut self) -> bool {
        let now = Instant::now();
        let gained = now.duration_since(self.filled).as_secs_f64() * self.rate.0;
        self.tokens = (self.tokens + gained).min(self.rate.0);
        self.filled = now;
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Counts more operations, such as the further rows of a scan; the next ones wait for them.
    pub(crate) fn charge(&mut self, operations: usize) {
        let operations = u32::try_from(operations).unwrap_or(u32::MAX);
        self.tokens -= f64::from(operations);
    }
}
