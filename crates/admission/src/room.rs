//! From which rank on requests find room at an upstream.
//!
//! Calls that wait hold slots of all services above, and a request that needs
//! several of them is late or lost. So no more are to come than the upstream
//! answers when it is full.

#[cfg(test)]
mod tests;

use std::time::{Duration, Instant};

use sailtrack_units::Rank;

use crate::fill::{Fill, TICK, faded};
use crate::floor::Floor;

/// The part of the counts that stays at each tick: a burst is to be seen within half a second.
const KEPT: f64 = 0.8;
/// The part of what the upstream can answer that is given out while no calls wait, more than all so
/// that no slot is free, and by how much less it is for each share of its limit that waits.
const GIVEN: f64 = 1.1;
const GIVEN_LESS: f64 = 0.3;
/// The least part that is given out.
const LEAST_GIVEN: f64 = 0.5;
/// Below this share of its limit an upstream holds back no more than it does: the first answers come
/// later than the first calls.
const LIGHT: f64 = 0.6;
/// The least calls that are reckoned with in the upstream.
const LEAST_RUNNING: f64 = 1.0;
/// After this time without calls nothing is known any more.
const STALE: Duration = Duration::from_secs(2);

/// How many calls are in the upstream and wait.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Occupancy {
    pub(crate) running: usize,
    pub(crate) waiting: usize,
    pub(crate) limit: usize,
}

/// The floor of one upstream.
#[derive(Debug)]
pub(crate) struct Room {
    ticked: Instant,
    fill: Fill,
    /// Sums over the calls that came lately, fading.
    calls: f64,
    running: f64,
    waiting: f64,
    /// How many calls were answered, fading.
    answered: f64,
}

impl Room {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            ticked: now,
            fill: Fill::new(KEPT),
            calls: 0.0,
            running: 0.0,
            waiting: 0.0,
            answered: 0.0,
        }
    }

    /// Notes a call that came, and how many it found.
    #[allow(clippy::cast_precision_loss)]
    pub(crate) fn note(&mut self, now: Instant, rank: Rank, found: Occupancy) {
        self.fill.note(rank);
        self.calls += 1.0;
        self.running += found.running as f64;
        self.waiting += found.waiting as f64;
        self.move_on(now, found.limit as f64);
    }

    /// Notes that a call was answered.
    pub(crate) fn note_answered(&mut self) {
        self.answered += 1.0;
    }

    /// Returns the floor that is told.
    pub(crate) fn floor(&self) -> Floor {
        self.fill.floor()
    }

    fn move_on(&mut self, now: Instant, limit: f64) {
        let age = now.saturating_duration_since(self.ticked);
        if age < TICK {
            return;
        }
        if age > STALE {
            *self = Self::new(now);
            return;
        }
        let running = self.running / self.calls;
        let waiting = self.waiting / self.calls;
        // So many are answered in a second when all of the limit is in use.
        let reach = TICK.as_secs_f64() / (1.0 - KEPT);
        let most = self.answered / reach * limit / running.max(LEAST_RUNNING);
        let given = GIVEN - GIVEN_LESS * waiting / limit;
        let mut room = most * given.max(LEAST_GIVEN);
        if running < limit * LIGHT {
            room = room.max(self.calls / reach);
        }
        self.fill.fit(1.0, room);
        self.fill.fade(age);
        let kept = faded(KEPT, age);
        for sum in [
            &mut self.calls,
            &mut self.running,
            &mut self.waiting,
            &mut self.answered,
        ] {
            *sum *= kept;
        }
        self.ticked = now;
    }
}
