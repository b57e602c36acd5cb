//! Which calls the repeats that are left can carry to their end.
//!
//! A service may turn away a part of what comes, whatever it holds. A call gets
//! through after a few repeats, so each call needs so many on average, and the
//! repeats that are allowed are enough for some of the calls only. They go to
//! those of the highest ranks; for the others it is told upwards that they are
//! not to begin.

use std::collections::VecDeque;
use std::time::Duration;

use sailtrack_units::{Moment, Rank};

use crate::fill::{Fill, TICK, faded, floor_of};
use crate::floor::Floor;

/// The part of the counts of what is sent and turned away that stays at each tick.
const KEPT: f64 = 0.85;
/// The part of the counts of calls by rank that stays: there are few for each rank.
const KEPT_BY_RANK: f64 = 0.94;
/// For how many ticks calls go on to get repeats that were let in by a lower floor.
const GRACE_TICKS: usize = 8;
/// How far below the floor calls get repeats still: other nodes tell a lower one.
const GRACE_RANKS: f64 = 32.0;
/// The calls that are enough to tell what part is turned away.
const ENOUGH_SENT: f64 = 20.0;
/// When so many in a row were not turned away, none are any more: of those of which a floor follows
/// one in seven is.
const TAKEN_IN_A_ROW: u32 = 20;
/// The greatest part turned away that is reckoned with: beyond it there are no repeats for anybody.
const MOST_TURNED_AWAY: f64 = 0.9;
/// Once less than this part of the repeats of a window is left, fewer calls are let in.
const SCARCE_LEFT: f64 = 0.1;
/// Repeats are allowed by the calls made, and what is refused makes none. A floor is given up when
/// fewer than this part of the repeats are allowed that were when it began.
const FUNDED_SHARE: f64 = 0.4;
/// No floor is told for so long after the first call: fewer repeats are allowed until then than the
/// calls will bring, and other nodes have more.
const WARM_UP: Duration = Duration::from_secs(5);
/// No floor is set for so long after one was given up.
const REST: Duration = Duration::from_secs(10);

/// The repeats that are allowed.
#[derive(Debug, Clone, Copy)]
pub struct Allowance {
    /// How many for each second of the window that they are counted in.
    pub each_second: f64,
    /// Which part of those of the present window is left.
    pub left: f64,
}

/// What one service does with the calls of this node, and the floor that follows.
#[derive(Debug)]
pub struct Carry {
    ticked: Moment,
    fill: Fill,
    sent: f64,
    turned_away: f64,
    /// How many were sent since one was turned away.
    in_a_row: u32,
    /// The latest numbers of the floor.
    latest: VecDeque<f64>,
    /// The repeats in a second that were allowed when the floor began.
    funded: f64,
    rests_until: Option<Moment>,
}

impl Carry {
    /// Returns one that knows of no calls.
    #[must_use]
    pub fn new(now: Moment) -> Self {
        Self {
            ticked: now,
            fill: Fill::new(KEPT_BY_RANK),
            sent: 0.0,
            turned_away: 0.0,
            in_a_row: 0,
            latest: VecDeque::from([0.0; GRACE_TICKS]),
            funded: 0.0,
            rests_until: Some(now + WARM_UP),
        }
    }

    /// Notes a call of this rank, which is sent for the first time.
    pub fn note_call(&mut self, rank: Rank) {
        self.fill.note(rank);
        self.note_repeat();
    }

    /// Notes that a call was sent once more.
    pub fn note_repeat(&mut self) {
        self.sent += 1.0;
        self.in_a_row = self.in_a_row.saturating_add(1);
    }

    /// Notes that a call was turned away or lost.
    pub fn note_turned_away(&mut self) {
        self.turned_away += 1.0;
        self.in_a_row = 0;
    }

    /// Returns the lowest rank whose calls the repeats can carry.
    pub fn floor(&mut self, now: Moment, allowed: impl FnOnce() -> Allowance) -> Floor {
        let age = now.since(self.ticked);
        if age < TICK {
            return self.current();
        }
        self.work_out(now, allowed());
        self.latest.pop_front();
        self.latest.push_back(self.fill.number());
        self.fade(age);
        self.ticked = now;
        self.current()
    }

    /// Returns the floor that is told.
    #[must_use]
    pub fn current(&self) -> Floor {
        self.fill.floor()
    }

    /// Returns from which rank on calls get repeats: what was let in lately is carried to its end.
    #[must_use]
    pub fn granted(&self) -> Floor {
        let lowest = self
            .latest
            .iter()
            .copied()
            .fold(self.fill.number(), f64::min);
        floor_of(lowest - GRACE_RANKS)
    }

    fn work_out(&mut self, now: Moment, allowance: Allowance) {
        let rests = |until: Moment| !until.since(now).is_zero();
        if self.sent < ENOUGH_SENT || self.rests_until.is_some_and(rests) {
            return self.fill.open();
        }
        if self.in_a_row >= TAKEN_IN_A_ROW {
            self.turned_away = 0.0;
        }
        let was_open = self.fill.floor().is_none();
        let part = (self.turned_away / self.sent).min(MOST_TURNED_AWAY);
        let room = allowance.each_second * (allowance.left / SCARCE_LEFT).min(1.0);
        self.fill.fit(part / (1.0 - part), room);
        if self.fill.floor().is_none() {
            return;
        }
        if was_open {
            self.funded = allowance.each_second;
        }
        if allowance.each_second < self.funded * FUNDED_SHARE {
            self.rests_until = Some(now + REST);
            self.fill.open();
        }
    }

    fn fade(&mut self, age: Duration) {
        self.fill.fade(age);
        let kept = faded(KEPT, age);
        self.sent *= kept;
        self.turned_away *= kept;
    }
}
