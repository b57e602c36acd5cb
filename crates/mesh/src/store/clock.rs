//! The clock of the store, as far as this node can tell it.
//!
//! The store says its time with each answer. All nodes share it, so what one
//! of them knows to have held at some time of the store any other one can
//! place on its own clock, however late it hears of it.

#[cfg(test)]
mod tests;

use std::cell::Cell;
use std::time::Duration;

use sailtrack_kernel::Service;
use sailtrack_units::Moment;

/// What the store's clock may be off by in an answer: it is told in hundredths of a second.
const RESOLUTION: Duration = Duration::from_millis(20);
/// How far the two clocks may drift apart, in parts of the time passed: crystals are off by less
/// than 100 in a million each.
const DRIFT: f64 = 200e-6;

/// After this time a reading is to be replaced: it is off by up to 60 ms more.
const OLD: Duration = Duration::from_mins(5);

/// A time of the store's clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct StoreTime(pub Duration);

impl StoreTime {
    /// Returns the time with so many milliseconds.
    #[must_use]
    pub fn from_millis(millis: u64) -> Self {
        Self(Duration::from_millis(millis))
    }

    /// Returns it in whole milliseconds.
    #[must_use]
    pub fn millis(self) -> u64 {
        u64::try_from(self.0.as_millis()).unwrap_or(u64::MAX)
    }
}

/// One reading: at this own moment the store's clock showed at most this.
#[derive(Debug, Clone, Copy)]
struct Reading {
    at: Moment,
    at_most: StoreTime,
}

impl Reading {
    /// Returns what the store's clock shows at most at a later moment.
    fn at_most(&self, now: Moment) -> StoreTime {
        let passed = now.since(self.at);
        StoreTime(self.at_most.0 + passed + passed.mul_f64(DRIFT))
    }
}

/// What this node knows of the clock of the store.
#[derive(Debug, Default)]
pub(crate) struct Clock {
    reading: Cell<Option<Reading>>,
}

impl Service for Clock {
    const NAME: &'static str = "store-clock";
}

impl Clock {
    /// Takes in that an answer to what was asked at `asked` told this time.
    pub(crate) fn note(&self, asked: Moment, told: StoreTime) {
        self.note_at_most(asked, StoreTime(told.0 + RESOLUTION));
    }

    /// Takes in that the store's clock showed at most this at that moment.
    pub(crate) fn note_at_most(&self, at: Moment, at_most: StoreTime) {
        let reading = Reading { at, at_most };
        let known = self.reading.get();
        let is_better = known.is_none_or(|known| {
            let later = known.at.max(at);
            reading.at_most(later) <= known.at_most(later)
        });
        if is_better {
            self.reading.set(Some(reading));
        }
    }

    /// Returns true if nothing is known or the clocks may have drifted apart since.
    pub(crate) fn is_old(&self, now: Moment) -> bool {
        let reading = self.reading.get();
        reading.is_none_or(|reading| now.since(reading.at) >= OLD)
    }

    /// Returns what the store's clock shows at most.
    pub(crate) fn at_most(&self, now: Moment) -> Option<StoreTime> {
        self.reading.get().map(|reading| reading.at_most(now))
    }

    /// Returns the least time that has passed since the store's clock showed `then`; what cannot
    /// be told, or lies ahead, is nothing.
    pub(crate) fn age_at_most(&self, then: StoreTime, now: Moment) -> Option<Duration> {
        self.at_most(now)?.0.checked_sub(then.0)
    }
}
