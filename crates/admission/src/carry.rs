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

use crate::floor::Floor;

/// How often counts fade and the floor is worked out.
const TICK: Duration = Duration::from_millis(100);
/// The part of the counts of what is sent and turned away that stays at each tick.
const KEPT: f64 = 0.85;
/// The part of the counts of calls by rank that stays: there are few for each rank.
const KEPT_BY_RANK: f64 = 0.94;
/// Over how many seconds counts by rank reach back.
const REACH: f64 = 0.1 / (1.0 - KEPT_BY_RANK);
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
/// The most ranks by which the floor falls at a tick, where no repeats are needed. What is refused is
/// not counted, so it falls little by little, and the less the fewer are to spare.
const MOST_FALL: f64 = 128.0;
/// Once less than this part of the repeats of a window is left, fewer calls are let in.
const SCARCE_LEFT: f64 = 0.1;
/// Repeats are allowed by the calls made, and what is refused makes none. A floor is given up when
/// fewer than this part of the repeats are allowed that were when it began.
const FUNDED_SHARE: f64 = 0.4;
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
    by_rank: Box<[f64; Rank::COUNT]>,
    sent: f64,
    turned_away: f64,
    /// How many were sent since one was turned away.
    in_a_row: u32,
    /// The number of the floor, with what it has fallen of the next one.
    number: f64,
    /// The latest numbers.
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
            by_rank: Box::new([0.0; Rank::COUNT]),
            sent: 0.0,
            turned_away: 0.0,
            in_a_row: 0,
            number: 0.0,
            latest: VecDeque::from([0.0; GRACE_TICKS]),
            funded: 0.0,
            rests_until: None,
        }
    }

    /// Notes a call of this rank, which is sent for the first time.
    pub fn note_call(&mut self, rank: Rank) {
        self.by_rank[usize::from(rank.index())] += 1.0;
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
        self.number = self.work_out(now, allowed());
        self.latest.pop_front();
        self.latest.push_back(self.number);
        self.fade(age);
        self.ticked = now;
        self.current()
    }

    /// Returns the floor that is told.
    #[must_use]
    pub fn current(&self) -> Floor {
        floor_of(self.number)
    }

    /// Returns from which rank on calls get repeats: what was let in lately is carried to its end.
    #[must_use]
    pub fn granted(&self) -> Floor {
        let lowest = self.latest.iter().copied().fold(self.number, f64::min);
        floor_of((lowest - GRACE_RANKS).max(0.0))
    }

    fn work_out(&mut self, now: Moment, allowance: Allowance) -> f64 {
        let rests = |until: Moment| !until.since(now).is_zero();
        if self.sent < ENOUGH_SENT || self.rests_until.is_some_and(rests) {
            return 0.0;
        }
        if self.in_a_row >= TAKEN_IN_A_ROW {
            self.turned_away = 0.0;
        }
        let funded = allowance.each_second;
        let allowed = funded * (allowance.left / SCARCE_LEFT).min(1.0);
        let (floor, needed) = self.lowest_carried(allowed);
        let spare = (1.0 - needed / allowed.max(f64::MIN_POSITIVE)).max(0.0);
        let number = f64::from(floor.number()).max(self.number - MOST_FALL * spare * spare);
        if number > 0.0 && self.number <= 0.0 {
            self.funded = funded;
        }
        if number > 0.0 && funded < self.funded * FUNDED_SHARE {
            self.rests_until = Some(now + REST);
            return 0.0;
        }
        number
    }

    /// Returns the lowest rank whose calls so many repeats in a second carry, and how many are
    /// needed for all that come.
    fn lowest_carried(&self, allowed: f64) -> (Floor, f64) {
        let part = (self.turned_away / self.sent).min(MOST_TURNED_AWAY);
        let needed_each = part / (1.0 - part) / REACH;
        let mut needed = 0.0;
        let mut floor = Floor::NONE;
        for (index, calls) in self.by_rank.iter().enumerate().rev() {
            needed += calls * needed_each;
            if floor.is_none() && needed > allowed {
                let rank = Rank::from_index(u8::try_from(index).unwrap_or(u8::MAX));
                floor = Floor::above(rank);
            }
        }
        (floor, needed)
    }

    fn fade(&mut self, age: Duration) {
        let ticks = age.as_secs_f64() / TICK.as_secs_f64();
        let kept = KEPT_BY_RANK.powf(ticks);
        self.by_rank.iter_mut().for_each(|calls| *calls *= kept);
        let kept = KEPT.powf(ticks);
        self.sent *= kept;
        self.turned_away *= kept;
    }
}

fn floor_of(number: f64) -> Floor {
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    Floor::from_number(number.ceil() as u32)
}
