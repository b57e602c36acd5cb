//! Measures the rate of events.

use std::time::Duration;

use sailtrack_units::Moment;

/// Measures the rate of events as an exponentially weighted moving average.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Meter {
    time_constant: Duration,
    rate: f64,
    updated: Moment,
}

impl Meter {
    /// Creates a meter whose weights decay by a factor of e in `time_constant`.
    pub(crate) const fn new(time_constant: Duration) -> Self {
        Self {
            time_constant,
            rate: 0.0,
            updated: Moment::since_boot(Duration::ZERO),
        }
    }

    /// Sets the rate in events per second.
    pub(crate) fn set(&mut self, rate: f64, now: Moment) {
        self.rate = rate;
        self.updated = now;
    }

    /// Records a number of events.
    pub(crate) fn record(&mut self, count: u32, now: Moment) {
        self.rate = self.rate(now) + f64::from(count) / self.time_constant.as_secs_f64();
        self.updated = now;
    }

    /// Returns the rate in events per second.
    pub(crate) fn rate(&self, now: Moment) -> f64 {
        let age = now.since(self.updated).as_secs_f64() / self.time_constant.as_secs_f64();
        self.rate * (-age).exp()
    }
}
