//! Chooses among a few upstreams that are drawn.

use std::cell::Cell;

use rand::Rng;

use crate::candidate::Candidate;
use crate::need::Need;
use crate::spill::{prefers_far, wants_far};

/// Of this many upstreams or fewer all are looked at.
const FEW: usize = 8;
/// How many of more are drawn, beside those that were the best lately.
const DRAWN: usize = 6;
/// From this pressure of the best on only two are compared: where all are nearly full, many senders
/// that each know the best would all send there before the news of it comes.
const CROWDED_FROM: f64 = 0.9;
/// How many of the best are looked at again.
const REMEMBERED: usize = 2;
/// One request in this many goes to any upstream with room, so that what is known of each stays
/// new.
const EXPLORED: u32 = 32;
/// No request goes to any upstream from this pressure on,
const EXPLORED_BELOW: f64 = 0.9;
/// or if this share of its kind would not end in time there.
const EXPLORED_LATE: f64 = 0.02;

/// In which failure domain an upstream stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Side {
    /// In the own one.
    Near,
    /// In another one.
    Far,
}

/// The upstreams of a service that were the best among those that were drawn lately.
#[derive(Debug, Default)]
pub struct Recent {
    near: Cell<[usize; REMEMBERED]>,
    far: Cell<[usize; REMEMBERED]>,
}

impl Recent {
    fn of(&self, side: Side) -> &Cell<[usize; REMEMBERED]> {
        match side {
            Side::Near => &self.near,
            Side::Far => &self.far,
        }
    }
}

/// The upstreams of a service.
pub struct Sides<'a, L> {
    /// How many there are in the own failure domain,
    pub near: usize,
    /// and in the others.
    pub far: usize,
    /// Returns what is known of one, or nothing if it takes no requests.
    pub look: L,
    /// By how much those in the other domains are emptier together.
    pub emptier: f64,
    /// Those that were the best lately.
    pub recent: &'a Recent,
}

type Found = (usize, Candidate);

/// Returns which upstream gets a request.
///
/// Those that failed lately are left out unless there is no other one.
pub fn choose<L, R>(sides: &Sides<'_, L>, need: &Need, random: &mut R) -> Option<(Side, usize)>
where
    L: Fn(Side, usize) -> Option<Candidate>,
    R: Rng,
{
    let near = sides.best(Side::Near, need, random);
    let is_sound = |found: &Found| found.1.is_available;
    if let Some((place, candidate)) = near.filter(is_sound)
        && !wants_far(&candidate, need)
    {
        let explored = sides.explored(Side::Near, need, random);
        return Some((Side::Near, explored.unwrap_or(place)));
    }
    let far = sides.best(Side::Far, need, random);
    let prefers = match (&near, &far) {
        (Some((_, near)), Some((_, far))) if near.is_available == far.is_available => {
            prefers_far(near, far, need, sides.emptier, random)
        }
        (Some((_, near)), Some(_)) => !near.is_available,
        (near, _) => near.is_none(),
    };
    let (side, found) = if prefers {
        (Side::Far, far)
    } else {
        (Side::Near, near)
    };
    let (place, _) = found?;
    let explored = sides.explored(side, need, random);
    Some((side, explored.unwrap_or(place)))
}

impl<L> Sides<'_, L>
where
    L: Fn(Side, usize) -> Option<Candidate>,
{
    fn len(&self, side: Side) -> usize {
        match side {
            Side::Near => self.near,
            Side::Far => self.far,
        }
    }

    /// Returns the best of a few upstreams of one side.
    fn best(&self, side: Side, need: &Need, random: &mut impl Rng) -> Option<Found> {
        let len = self.len(side);
        if len == 0 {
            return None;
        }
        let mut best = Best::default();
        let first = random.random_range(0..len);
        if len <= FEW {
            for step in 0..len {
                self.weigh(side, (first + step) % len, need, &mut best, random);
            }
            let found = best.found();
            let is_crowded = |found: &Found| found.1.pressure >= CROWDED_FROM;
            if !found.as_ref().is_some_and(is_crowded) {
                return found;
            }
            let mut best = Best::default();
            self.weigh(side, first, need, &mut best, random);
            let place = random.random_range(0..len);
            self.weigh(side, place, need, &mut best, random);
            return best.found().or(found);
        }
        self.weigh(side, first, need, &mut best, random);
        for _ in 1..DRAWN {
            let place = random.random_range(0..len);
            self.weigh(side, place, need, &mut best, random);
        }
        let recent = self.recent.of(side);
        for place in recent.get() {
            if place < len {
                self.weigh(side, place, need, &mut best, random);
            }
        }
        recent.set(best.places.map(|place| place.unwrap_or(usize::MAX)));
        if best.sound.is_none() {
            self.scan(side, first, need, &mut best, random);
        }
        best.found()
    }

    /// Looks for the first sound upstream when none was drawn.
    fn scan(&self, side: Side, first: usize, need: &Need, best: &mut Best, random: &mut impl Rng) {
        let len = self.len(side);
        for step in 0..len {
            self.weigh(side, (first + step) % len, need, best, random);
            if best.sound.is_some() {
                return;
            }
        }
    }

    fn weigh(&self, side: Side, place: usize, need: &Need, best: &mut Best, random: &mut impl Rng) {
        if best.places.contains(&Some(place)) {
            return;
        }
        if let Some(candidate) = (self.look)(side, place) {
            let doubted = candidate.doubted(random);
            best.take(place, candidate, doubted.cost(need));
        }
    }

    /// Returns any upstream of one side with room, from time to time.
    fn explored(&self, side: Side, need: &Need, random: &mut impl Rng) -> Option<usize> {
        if !random.random_ratio(1, EXPLORED) {
            return None;
        }
        let place = random.random_range(0..self.len(side));
        let candidate = (self.look)(side, place)?;
        let has_room = candidate.is_available && candidate.pressure < EXPLORED_BELOW;
        (has_room && candidate.late(need) < EXPLORED_LATE).then_some(place)
    }
}

/// The best of those that were looked at.
#[derive(Default)]
struct Best {
    sound: Option<(Found, f64)>,
    unsound: Option<(Found, f64)>,
    /// The best sound ones, the best first.
    places: [Option<usize>; REMEMBERED],
    second: f64,
}

impl Best {
    fn take(&mut self, place: usize, candidate: Candidate, cost: f64) {
        let found = (place, candidate);
        if !candidate.is_available {
            if self.unsound.is_none_or(|(_, least)| cost < least) {
                self.unsound = Some((found, cost));
            }
            return;
        }
        match self.sound {
            Some((_, least)) if cost >= least => {
                if self.places[1].is_none() || cost < self.second {
                    self.places[1] = Some(place);
                    self.second = cost;
                }
            }
            before => {
                self.places = [Some(place), self.places[0]];
                self.second = before.map_or(f64::MAX, |(_, least)| least);
                self.sound = Some((found, cost));
            }
        }
    }

    fn found(self) -> Option<Found> {
        self.sound.or(self.unsound).map(|(found, _)| found)
    }
}
