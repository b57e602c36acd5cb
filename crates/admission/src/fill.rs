//! The lowest rank whose calls fit into what a service can take.
//!
//! Calls are counted by rank, and the floor is where those at and above it need
//! as much as there is. Its place does not depend on how many calls of lower
//! ranks are still under way, so it rises at once by as much as it must, and
//! not again while they come in. What is held back is not counted, so it falls
//! little by little, and the less the less there is to spare.

#[cfg(test)]
mod tests;

use std::time::Duration;

use sailtrack_units::Rank;

use crate::floor::Floor;

/// How often a floor is worked out.
pub(crate) const TICK: Duration = Duration::from_millis(100);
/// The most ranks by which a floor falls at a tick, where nothing is needed.
const MOST_FALL: f64 = 128.0;

/// Counts of calls by rank, and the floor that follows.
#[derive(Debug)]
pub(crate) struct Fill {
    by_rank: Box<[f64; Rank::COUNT]>,
    /// The part of the counts that stays at each tick.
    kept: f64,
    /// The number of the floor, with what it has fallen of the next one.
    number: f64,
}

impl Fill {
    pub(crate) fn new(kept: f64) -> Self {
        Self {
            by_rank: Box::new([0.0; Rank::COUNT]),
            kept,
            number: 0.0,
        }
    }

    /// Notes a call of this rank.
    pub(crate) fn note(&mut self, rank: Rank) {
        self.by_rank[usize::from(rank.index())] += 1.0;
    }

    /// Returns the floor.
    pub(crate) fn floor(&self) -> Floor {
        floor_of(self.number)
    }

    /// Moves the floor to where the calls of a second need no more than `room`, if each of them
    /// needs `each` of it.
    pub(crate) fn fit(&mut self, each: f64, room: f64) {
        let reach = TICK.as_secs_f64() / (1.0 - self.kept);
        let mut needed = 0.0;
        let mut floor = Floor::NONE;
        for (index, calls) in self.by_rank.iter().enumerate().rev() {
            needed += calls / reach * each;
            if floor.is_none() && needed > room {
                let rank = Rank::from_index(u8::try_from(index).unwrap_or(u8::MAX));
                floor = Floor::above(rank);
            }
        }
        let spare = (1.0 - needed / room.max(f64::MIN_POSITIVE)).max(0.0);
        let fallen = (self.number - MOST_FALL * spare * spare).max(0.0);
        self.number = f64::from(floor.number()).max(fallen);
    }

    /// Lets counts fade that are so much older.
    pub(crate) fn fade(&mut self, age: Duration) {
        let kept = faded(self.kept, age);
        for calls in self.by_rank.iter_mut() {
            *calls *= kept;
        }
    }
}

/// Returns what is left after some time of a count of which `kept` stays at each tick.
pub(crate) fn faded(kept: f64, age: Duration) -> f64 {
    kept.powf(age.as_secs_f64() / TICK.as_secs_f64())
}

/// Returns the floor with this number.
pub(crate) fn floor_of(number: f64) -> Floor {
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    Floor::from_number(number.max(0.0).ceil() as u32)
}
