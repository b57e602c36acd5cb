//! How often something happens.

use std::time::Duration;

use sailtrack_units::Moment;

/// How often something happens, averaged with weights that fall off exponentially.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Meter {
    span: Duration,
    rate: f64,
    at: Moment,
}

impl Meter {
    /// Returns a meter that averages over so long.
    pub(crate) const fn over(span: Duration) -> Self {
        Self {
            span,
            rate: 0.0,
            at: Moment::since_boot(Duration::ZERO),
        }
    }

    /// Sets how many events there were a second up to now.
    pub(crate) fn set(&mut self, rate: f64, now: Moment) {
        self.rate = rate;
        self.at = now;
    }

    /// Notes so many events.
    pub(crate) fn note(&mut self, count: u32, now: Moment) {
        self.rate = self.rate(now) + f64::from(count) / self.span.as_secs_f64();
        self.at = now;
    }

    /// Returns how many events there are a second.
    pub(crate) fn rate(&self, now: Moment) -> f64 {
        let age = now.since(self.at).as_secs_f64() / self.span.as_secs_f64();
        self.rate * (-age).exp()
    }
}
