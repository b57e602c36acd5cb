//! Interrupts tasks whose input never pauses.
//!
//! A read that finds bytes completes at once. A peer that sends faster than they are handled would
//! keep the only thread for its task: no timer, signal or other connection would be served.

#[cfg(test)]
mod tests;

use std::time::{Duration, Instant};

use monoio::time::sleep;

/// The number of reads in a row that may fill their buffers, with more probably waiting.
const MAX_FULL_READS: u32 = 16;
/// After this many reads it is checked how long they took.
const MAX_READS: u32 = 256;
/// Reads that took less than this arrived without a pause.
const MIN_TIME: Duration = Duration::from_millis(10);
/// How long the task waits. The runtime handles timers only when no task is ready, so it is not
/// enough that the task becomes ready again at once.
const PAUSE: Duration = Duration::from_millis(1);

/// Counts the reads of a task since it last let other tasks run.
#[derive(Debug)]
pub(crate) struct Turn {
    reads: u32,
    full_reads: u32,
    began: Instant,
}

impl Default for Turn {
    fn default() -> Self {
        Self {
            reads: 0,
            full_reads: 0,
            began: Instant::now(),
        }
    }
}

impl Turn {
    /// Records a read, and waits a moment if the input does not pause.
    pub(crate) async fn record_read(&mut self, was_full: bool) {
        if self.is_over(was_full) {
            *self = Self::default();
            sleep(PAUSE).await;
        }
    }

    fn is_over(&mut self, was_full: bool) -> bool {
        self.reads += 1;
        self.full_reads = if was_full { self.full_reads + 1 } else { 0 };
        if self.full_reads >= MAX_FULL_READS {
            return true;
        }
        if self.reads < MAX_READS {
            return false;
        }
        let is_over = self.began.elapsed() < MIN_TIME;
        *self = Self::default();
        is_over
    }
}
