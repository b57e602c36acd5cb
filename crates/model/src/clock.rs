//! The time of the model.

use std::cell::Cell;
use std::time::{Duration, Instant};

thread_local! {
    static NOW: Cell<Instant> = Cell::new(Instant::now());
}

/// Returns the present moment of the model that runs on this thread.
pub(crate) fn now() -> Instant {
    NOW.get()
}

/// Moves the time on to `moment`.
pub(crate) fn set(moment: Instant) {
    NOW.set(moment);
}

/// Returns a duration in seconds, as the model reckons.
pub(crate) fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds.max(0.0))
}
