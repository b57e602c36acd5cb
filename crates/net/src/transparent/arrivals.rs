//! Records when the bytes of a connection arrived.

#[cfg(test)]
mod tests;

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Bytes that arrive within this time after a recorded arrival are recorded under that time.
const RESOLUTION: Duration = Duration::from_millis(50);

/// The arrival times of the bytes of a connection that have not been consumed yet.
#[derive(Debug, Default)]
pub(super) struct Arrivals {
    /// The total number of bytes received.
    total: u64,
    /// The total number of bytes received up to an arrival time, and that time, in order.
    marks: VecDeque<(u64, Instant)>,
}

impl Arrivals {
    /// Records the arrival of `count` bytes while `unconsumed` earlier ones were still buffered.
    pub(super) fn record(&mut self, count: usize, unconsumed: usize, now: Instant) {
        let consumed = self.total - unconsumed as u64;
        while self.marks.front().is_some_and(|(end, _)| *end <= consumed) {
            self.marks.pop_front();
        }
        self.total += count as u64;
        match self.marks.back_mut() {
            Some((end, at)) if now.saturating_duration_since(*at) < RESOLUTION => *end = self.total,
            _ => self.marks.push_back((self.total, now)),
        }
    }

    /// Returns when the last consumed byte arrived; `unconsumed` later ones are still buffered.
    pub(super) fn last_consumed(&self, unconsumed: usize) -> Option<Instant> {
        let consumed = self.total - unconsumed as u64;
        let mark = self.marks.iter().find(|(end, _)| *end >= consumed);
        mark.map(|(_, at)| *at)
    }
}
