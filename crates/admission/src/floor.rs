//! From which rank on requests can be finished, as nodes further down tell with their answers.
//!
//! A request that needs several calls is lost with the first one that does not
//! get through. Where a service cannot take all of them, the nodes beside it
//! name the lowest rank that it can, the same for all calls of a request, and
//! requests below it are refused where they would begin, before any work.

#[cfg(test)]
mod tests;

use std::cell::RefCell;
use std::collections::HashMap;
use std::fmt;
use std::rc::Rc;
use std::time::{Duration, Instant};

use sailtrack_kernel::Service;
use sailtrack_log::{catalogue, emit};
use sailtrack_units::{KindName, Rank};

use crate::fill::floor_of;

/// How long a floor holds after the last news of it; answers come several times in that time while
/// any requests of the kind are under way.
const HOLD: Duration = Duration::from_millis(300);
/// After that one request is let in each time this has passed, to bring news, until the floor is
/// forgotten.
const PROBE_TIME: Duration = Duration::from_millis(500);
/// Without any news the floor is forgotten after this time.
const FORGET: Duration = Duration::from_secs(3);
/// The weight of the newest answer in a floor where it tells a higher one, and a lower one. Several
/// nodes tell each their own, and a request may need the one that can finish the fewest.
const RISING_WEIGHT: f64 = 0.4;
const FALLING_WEIGHT: f64 = 0.15;
/// How often it is logged at most that a kind is held back.
const LOG_PAUSE: Duration = Duration::from_secs(5);
/// The ranks of one importance.
const RANKS_EACH: usize = Rank::COUNT / 4;

/// The lowest rank whose requests can be finished; zero holds nothing back.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct Floor(u16);

impl Floor {
    /// Nothing is held back.
    pub const NONE: Self = Self(0);

    /// Returns the floor that lets this rank in and none below it.
    #[must_use]
    pub fn at(rank: Rank) -> Self {
        Self(u16::from(rank.index()))
    }

    /// Returns the floor that lets no rank in up to this one.
    #[must_use]
    pub fn above(rank: Rank) -> Self {
        Self(u16::from(rank.index()) + 1)
    }

    /// Returns the floor as a number for a message.
    #[must_use]
    pub fn number(self) -> u32 {
        self.0.into()
    }

    /// Returns the floor that a number of a message stands for.
    #[must_use]
    pub fn from_number(number: u32) -> Self {
        let most = u16::try_from(Rank::COUNT).unwrap_or(u16::MAX);
        Self(u16::try_from(number).unwrap_or(most).min(most))
    }

    /// Returns the higher one of two.
    #[must_use]
    pub fn higher(self, other: Self) -> Self {
        self.max(other)
    }

    /// Returns true if requests of this rank can be finished.
    #[must_use]
    pub fn lets_in(self, rank: Rank) -> bool {
        u16::from(rank.index()) >= self.0
    }

    /// Returns true if nothing is held back.
    #[must_use]
    pub fn is_none(self) -> bool {
        self == Self::NONE
    }
}

impl fmt::Display for Floor {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// The floors that the calls of one request told, by the kinds of the calls.
///
/// Calls of a kind go to several upstreams, and what one of them cannot take another one does, so
/// they count by their mean. Calls of other kinds go to other services, and the request needs all.
#[derive(Debug, Default)]
pub struct Tellings {
    kinds: Vec<(KindName, f64, f64)>,
}

impl Tellings {
    /// Notes the floor that a call of this kind told.
    pub fn note(&mut self, kind: &KindName, floor: Floor) {
        let told = f64::from(floor.0);
        match self.kinds.iter_mut().find(|(known, ..)| known == kind) {
            Some((_, sum, calls)) => {
                *sum += told;
                *calls += 1.0;
            }
            None => self.kinds.push((kind.clone(), told, 1.0)),
        }
    }

    /// Returns the floor of the request.
    #[must_use]
    pub fn floor(&self) -> Floor {
        let means = self.kinds.iter().map(|(_, sum, calls)| sum / calls);
        floor_of(means.fold(0.0, f64::max))
    }
}

/// What was told of one kind.
#[derive(Debug, Clone, Copy)]
struct Told {
    floor: f64,
    heard: Instant,
    /// When a request was let in last only to bring news.
    probed: Instant,
    is_logged: bool,
}

/// The floors of all kinds of requests that begin on this node.
#[derive(Debug, Default)]
pub struct Floors {
    kinds: RefCell<HashMap<KindName, Told>>,
    /// When it was logged last that a kind is held back.
    logged: RefCell<HashMap<KindName, Instant>>,
}

impl Service for Floors {
    const NAME: &'static str = "floors";
}

impl Floors {
    /// Returns floors that hold nothing back.
    #[must_use]
    pub fn new() -> Rc<Self> {
        Rc::default()
    }

    /// Notes the floor that a call told which was made for a request of this kind and rank.
    ///
    /// A floor beyond all ranks of the importance says no more than that none of them is let in.
    pub fn note(&self, kind: &KindName, rank: Rank, floor: Floor, now: Instant) {
        let mut kinds = self.kinds.borrow_mut();
        let (least, most) = bounds_of(rank);
        let told = f64::from(floor.0).min(most);
        let Some(known) = kinds.get_mut(kind) else {
            if told > least {
                let known = Told {
                    floor: least + (told - least) * RISING_WEIGHT,
                    heard: now,
                    probed: now,
                    is_logged: false,
                };
                kinds.insert(kind.clone(), known);
            }
            return;
        };
        let told = told.max(least);
        known.floor = known.floor.clamp(least, most);
        let weight = if now.saturating_duration_since(known.heard) >= HOLD {
            // What was told before is too old to be mixed with.
            1.0
        } else if told > known.floor {
            RISING_WEIGHT
        } else {
            FALLING_WEIGHT
        };
        known.floor += (told - known.floor) * weight;
        known.heard = now;
        if known.floor < least + 0.5 {
            lift(&mut kinds, kind);
        }
    }

    /// Returns true if a request of this kind and rank may begin.
    pub fn lets_in(&self, kind: &KindName, rank: Rank, now: Instant) -> bool {
        let mut kinds = self.kinds.borrow_mut();
        let Some(told) = kinds.get_mut(kind) else {
            return true;
        };
        let age = now.saturating_duration_since(told.heard);
        if age >= FORGET {
            lift(&mut kinds, kind);
            return true;
        }
        if f64::from(rank.index()) >= told.floor {
            return true;
        }
        let since_probe = now.saturating_duration_since(told.probed);
        if age >= HOLD && since_probe >= PROBE_TIME {
            told.probed = now;
            return true;
        }
        self.log(kind, told, now);
        false
    }

    /// Logs that requests of a kind are refused, unless that was done lately.
    fn log(&self, kind: &KindName, told: &mut Told, now: Instant) {
        let mut logged = self.logged.borrow_mut();
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) < LOG_PAUSE;
        if told.is_logged || logged.get(kind).is_some_and(is_recent) {
            return;
        }
        logged.insert(kind.clone(), now);
        told.is_logged = true;
        let floor = floor_of(told.floor);
        emit(&catalogue::FLOOR_SET, &[("kind", kind), ("floor", &floor)]);
    }
}

/// Forgets the floor of a kind, and logs that if its beginning was.
fn lift(kinds: &mut HashMap<KindName, Told>, kind: &KindName) {
    if kinds.remove(kind).is_some_and(|told| told.is_logged) {
        emit(&catalogue::FLOOR_LIFTED, &[("kind", kind)]);
    }
}

/// Returns the lowest rank of the importance of this one, and the number above its highest.
#[allow(clippy::cast_precision_loss)]
fn bounds_of(rank: Rank) -> (f64, f64) {
    let least = usize::from(rank.index()) / RANKS_EACH * RANKS_EACH;
    (least as f64, (least + RANKS_EACH) as f64)
}
