//! What the own upstream said last about its load, and when.

#[cfg(test)]
mod tests;

use std::cell::Cell;
use std::time::Duration;

use sailtrack_log::{catalogue, emit};
use sailtrack_units::{Moment, Pace};

use crate::dialect::{Dialect, Load};
use crate::key::UpstreamKey;

/// For how long a pace holds: it changes many times a second.
const PACE_MAX_AGE: Duration = Duration::from_millis(250);

/// The most bytes of a load that cannot be read that are logged.
const MAX_LOGGED_CHARS: usize = 64;

/// What the own upstream said last about its load.
#[derive(Debug, Default)]
pub(crate) struct Report {
    last_pace: Cell<Option<(Pace, Moment)>>,
    /// What was heard last.
    last_load: Cell<Option<Load>>,
    /// This life has said something that could not be read, which was logged.
    has_logged_unreadable: Cell<bool>,
}

impl Report {
    /// Forgets everything, as another life of the upstream is there.
    pub(super) fn reset(&self) {
        self.last_pace.set(None);
        self.last_load.set(None);
        self.has_logged_unreadable.set(false);
    }

    /// Takes in what this life says of its load, and returns it if it can be read.
    pub(crate) fn update(
        &self,
        dialect: &dyn Dialect,
        upstream: &UpstreamKey,
        value: &[u8],
        now: Moment,
    ) -> Option<Load> {
        let text = String::from_utf8_lossy(value);
        let load = dialect.load(&text);
        if !load.is_some_and(|load| load.is_whole) && !self.has_logged_unreadable.replace(true) {
            let value: String = text.chars().take(MAX_LOGGED_CHARS).collect();
            emit(
                &catalogue::LOAD_UNREADABLE,
                &[("upstream", upstream), ("value", &value)],
            );
        }
        let load = load?;
        self.last_load.set(Some(load));
        if let Some(pace) = load.pace {
            self.last_pace.set(Some((pace, now)));
        }
        Some(load)
    }

    /// Returns how many times as long as usual work takes, by the pace and the queue that were told
    /// last: while nothing is heard, nothing says that they have become better.
    pub(super) fn slowdown(&self) -> f64 {
        let pace = self.last_pace.get().map_or(1.0, |(pace, _)| pace.factor());
        let queue = self.last_load.get().map_or(0.0, |load| {
            f64::from(load.waiting) / f64::from(load.slots.max(1))
        });
        pace.max(1.0) * (1.0 + queue)
    }

    /// Returns how long work takes on the instance at present, if that was heard lately.
    pub(crate) fn pace(&self, now: Moment) -> Option<Pace> {
        let (pace, at) = self.last_pace.get()?;
        (now.since(at) < PACE_MAX_AGE).then_some(pace)
    }
}
