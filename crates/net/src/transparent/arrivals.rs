//! When the bytes of a connection came.

#[cfg(test)]
mod tests;

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Bytes that came within this time of each other are kept under one moment, the first.
const STEP: Duration = Duration::from_millis(50);

/// When the bytes of a connection came that have not been taken yet.
#[derive(Debug, Default)]
pub(super) struct Arrivals {
    /// How many bytes have come in all.
    read: u64,
    /// Up to which byte had come by when, in order.
    marks: VecDeque<(u64, Instant)>,
}

impl Arrivals {
    /// Notes that bytes came while `waiting` earlier ones had not been taken.
    pub(super) fn note(&mut self, count: usize, waiting: usize, now: Instant) {
        let taken = self.read - waiting as u64;
        while self.marks.front().is_some_and(|(end, _)| *end <= taken) {
            self.marks.pop_front();
        }
        self.read += count as u64;
        match self.marks.back_mut() {
            Some((end, at)) if now.saturating_duration_since(*at) < STEP => *end = self.read,
            _ => self.marks.push_back((self.read, now)),
        }
    }

    /// Returns when the last byte that was taken came, while `waiting` later ones have come.
    pub(super) fn last_taken(&self, waiting: usize) -> Option<Instant> {
        let taken = self.read - waiting as u64;
        let mark = self.marks.iter().find(|(end, _)| *end >= taken);
        mark.map(|(_, at)| *at)
    }
}
