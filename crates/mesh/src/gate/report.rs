//! The load that the local upstream reported last.

#[cfg(test)]
mod tests;

use std::cell::Cell;
use std::time::Duration;

use sailtrack_log::{catalogue, emit};
use sailtrack_units::{Moment, Pace};

use crate::dialect::{Dialect, Load};
use crate::key::UpstreamKey;

/// How long a reported pace is valid: it changes many times a second.
const PACE_MAX_AGE: Duration = Duration::from_millis(250);

/// How much of an unreadable report is logged.
const MAX_LOGGED_CHARS: usize = 64;

/// The load that the local upstream reported last.
#[derive(Debug, Default)]
pub(crate) struct Report {
    last_pace: Cell<Option<(Pace, Moment)>>,
    /// The last readable report.
    last_load: Cell<Option<Load>>,
    /// Whether an unreadable report of this incarnation has been logged.
    has_logged_unreadable: Cell<bool>,
}

impl Report {
    /// Forgets the reports of the previous incarnation.
    pub(super) fn reset(&self) {
        self.last_pace.set(None);
        self.last_load.set(None);
        self.has_logged_unreadable.set(false);
    }

    /// Parses a load report of this incarnation and stores it; returns it if it is readable.
    pub(crate) fn update(
        &self,
        dialect: &dyn Dialect,
        upstream: &UpstreamKey,
        value: &[u8],
        now: Moment,
    ) -> Option<Load> {
        let text = String::from_utf8_lossy(value);
        let load = dialect.load(&text);
        if !load.is_some_and(|load| load.is_complete) && !self.has_logged_unreadable.replace(true) {
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

    /// Returns the factor by which work takes longer than usual, from the last reported pace and
    /// queue length. These do not expire: without a new report nothing indicates an improvement.
    pub(super) fn slowdown(&self) -> f64 {
        let pace = self.last_pace.get().map_or(1.0, |(pace, _)| pace.factor());
        let queue = self.last_load.get().map_or(0.0, |load| {
            f64::from(load.waiting) / f64::from(load.slots.max(1))
        });
        pace.max(1.0) * (1.0 + queue)
    }

    /// Returns the reported pace of work on the instance, unless it is outdated.
    pub(crate) fn pace(&self, now: Moment) -> Option<Pace> {
        let (pace, at) = self.last_pace.get()?;
        (now.since(at) < PACE_MAX_AGE).then_some(pace)
    }
}
