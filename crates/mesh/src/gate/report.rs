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
const PACE_TIME: Duration = Duration::from_millis(250);

/// The most bytes of a load that cannot be read that are logged.
const MOST_SHOWN: usize = 64;

/// What the own upstream said last about its load.
#[derive(Debug, Default)]
pub(crate) struct Report {
    paced: Cell<Option<(Pace, Moment)>>,
    /// What was heard last.
    last: Cell<Option<Load>>,
    /// This life has said something that could not be read, which was logged.
    is_unreadable: Cell<bool>,
}

impl Report {
    /// Forgets everything, as another life of the upstream is there.
    pub(super) fn renew(&self) {
        self.paced.set(None);
        self.last.set(None);
        self.is_unreadable.set(false);
    }

    /// Takes in what this life says of its load, and returns it if it can be read.
    pub(crate) fn take(
        &self,
        dialect: &dyn Dialect,
        upstream: &UpstreamKey,
        value: &[u8],
        now: Moment,
    ) -> Option<Load> {
        let text = String::from_utf8_lossy(value);
        let load = dialect.load(&text);
        if !load.is_some_and(|load| load.is_complete) && !self.is_unreadable.replace(true) {
            let value: String = text.chars().take(MOST_SHOWN).collect();
            emit(
                &catalogue::LOAD_UNREADABLE,
                &[("upstream", upstream), ("value", &value)],
            );
        }
        let load = load?;
        self.last.set(Some(load));
        if let Some(pace) = load.pace {
            self.paced.set(Some((pace, now)));
        }
        Some(load)
    }

    /// Returns how many times as long as usual work takes, by the pace and the queue that were told
    /// last: while nothing is heard, nothing says that they have become better.
    pub(super) fn slowness(&self) -> f64 {
        let pace = self.paced.get().map_or(1.0, |(pace, _)| pace.factor());
        let queue = self.last.get().map_or(0.0, |load| {
            f64::from(load.waiting) / f64::from(load.slots.max(1))
        });
        pace.max(1.0) * (1.0 + queue)
    }

    /// Returns how long work takes on the instance at present, if that was heard lately.
    pub(crate) fn pace(&self, now: Moment) -> Option<Pace> {
        let (pace, at) = self.paced.get()?;
        (now.since(at) < PACE_TIME).then_some(pace)
    }
}
