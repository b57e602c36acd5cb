//! A token bucket.

use std::time::Duration;

/// The tokens of a bucket; negative while earlier use has to be worked off.
///
/// Rate and capacity are passed with each refill, since both may change at any time.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Bucket {
    tokens: f64,
}

impl Bucket {
    /// Adds the tokens that are due after a time at this rate in tokens per second, up to the
    /// capacity.
    pub fn refill(&mut self, rate: f64, capacity: f64, elapsed: Duration) {
        self.tokens = (self.tokens + rate * elapsed.as_secs_f64()).min(capacity);
    }

    /// Removes tokens.
    pub fn take(&mut self, tokens: f64) {
        self.tokens -= tokens;
    }

    /// Removes all tokens above this number.
    pub fn truncate(&mut self, tokens: f64) {
        self.tokens = self.tokens.min(tokens);
    }

    /// Returns the number of tokens.
    #[must_use]
    pub fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Returns the time until there are `tokens` tokens at this rate, or `None` if there never are.
    #[must_use]
    pub fn time_until(&self, tokens: f64, rate: f64) -> Option<Duration> {
        let missing = (tokens - self.tokens).max(0.0);
        if missing == 0.0 {
            return Some(Duration::ZERO);
        }
        Duration::try_from_secs_f64(missing / rate).ok()
    }
}
