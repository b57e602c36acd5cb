//! What the own upstream said last about its load, and when.

#[cfg(test)]
mod tests;

use std::cell::Cell;
use std::time::Duration;

use sailtrack_log::{catalogue, emit};
use sailtrack_units::{Moment, Pace};

use crate::dialect::Dialect;
use crate::key::UpstreamKey;

/// For how long a pace holds: it changes many times a second.
const PACE_TIME: Duration = Duration::from_millis(250);

/// The most bytes of a load that cannot be read that are logged.
const MOST_SHOWN: usize = 64;

/// What the own upstream said last about its load.
#[derive(Debug, Default)]
pub(crate) struct Report {
    paced: Cell<Option<(Pace, Moment)>>,
    /// This life has said something that could not be read, which was logged.
    is_unreadable: Cell<bool>,
}

impl Report {
    /// Forgets everything, as another life of the upstream is there.
    pub(super) fn renew(&self) {
        self.paced.set(None);
        self.is_unreadable.set(false);
    }

    /// Takes in what this life says of its load.
    pub(crate) fn take(
        &self,
        dialect: &dyn Dialect,
        upstream: &UpstreamKey,
        value: &[u8],
        now: Moment,
    ) {
        let text = String::from_utf8_lossy(value);
        let load = dialect.load(&text);
        if !load.is_some_and(|load| load.is_whole) && !self.is_unreadable.replace(true) {
            let value: String = text.chars().take(MOST_SHOWN).collect();
            emit(
                &catalogue::LOAD_UNREADABLE,
                &[("upstream", upstream), ("value", &value)],
            );
        }
        if let Some(pace) = load.and_then(|load| load.pace) {
            self.paced.set(Some((pace, now)));
        }
    }

    /// Returns how long work takes on the instance at present, if that was heard lately.
    pub(crate) fn pace(&self, now: Moment) -> Option<Pace> {
        let (pace, at) = self.paced.get()?;
        (now.since(at) < PACE_TIME).then_some(pace)
    }
}
