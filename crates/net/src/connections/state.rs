//! The state of one connection.

use std::cell::Cell;
use std::time::{Duration, Instant};

use futures::future::AbortHandle;

/// Is added to the age of what a connection holds, so that of several that began at the same moment
/// the one that holds the most is closed.
const MIN_AGE: Duration = Duration::from_millis(50);

/// The state of one connection.
pub(super) struct State {
    pub(super) number: u64,
    pub(super) abort: AbortHandle,
    /// Bytes that were received and not handled yet.
    pub(super) input: Cell<usize>,
    /// Bytes of answers, and of what is needed to get them.
    pub(super) answers: Cell<usize>,
    /// Since when bytes have been held, or since when the peer has taken none of them.
    pub(super) held_since: Cell<Instant>,
    /// Since when the process has waited for the peer; `None` while the peer waits for the process.
    pub(super) quiet_since: Cell<Option<Instant>>,
    pub(super) was_served: Cell<bool>,
    /// It has neither ended nor been closed.
    pub(super) is_open: Cell<bool>,
}

impl State {
    /// Returns how many bytes it holds.
    pub(super) fn bytes(&self) -> usize {
        self.input.get() + self.answers.get()
    }

    /// Returns how much a connection holds on to: bytes, and for how long.
    pub(super) fn weight(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.held_since.get()) + MIN_AGE;
        #[allow(clippy::cast_precision_loss)]
        let bytes = self.bytes() as f64;
        bytes * age.as_secs_f64()
    }
}
