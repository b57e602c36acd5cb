//! Chooses among a few upstreams that are drawn.

use std::cell::Cell;

use rand::Rng;

use crate::candidate::Candidate;
use crate::estimate::Estimate;
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
pub enum Locality {
    /// In the own one.
    SameDomain,
    /// In another one.
    OtherDomain,
}

/// The upstreams of a service that were the best among those that were drawn lately.
#[derive(Debug, Default)]
pub struct Shortlist {
    same_domain: Cell<[usize; REMEMBERED]>,
    other_domains: Cell<[usize; REMEMBERED]>,
}

impl Shortlist {
    fn of(&self, locality: Locality) -> &Cell<[usize; REMEMBERED]> {
        match locality {
            Locality::SameDomain => &self.same_domain,
            Locality::OtherDomain => &self.other_domains,
        }
    }
}

/// The upstreams of a service.
pub struct Candidates<'a, L> {
    /// How many there are in the own failure domain,
    pub same_domain: usize,
    /// and in the others.
    pub other_domains: usize,
    /// Returns what is known of one, or nothing if it takes no requests.
    pub lookup: L,
    /// By how much those in the other domains are emptier together.
    pub pressure_gap: f64,
    /// Those that were the best lately.
    pub shortlist: &'a Shortlist,
}

type Found = (usize, Candidate);

/// Returns which upstream gets a request.
///
/// Those that failed lately are left out unless there is no other one.
pub fn choose<L, R>(
    candidates: &Candidates<'_, L>,
    estimate: &Estimate,
    random: &mut R,
) -> Option<(Locality, usize)>
where
    L: Fn(Locality, usize) -> Option<Candidate>,
    R: Rng,
{
    let near = candidates.best(Locality::SameDomain, estimate, random);
    let is_sound = |found: &Found| found.1.is_available;
    if let Some((place, candidate)) = near.filter(is_sound)
        && !wants_far(&candidate, estimate)
    {
        let explored = candidates.explored(Locality::SameDomain, estimate, random);
        return Some((Locality::SameDomain, explored.unwrap_or(place)));
    }
    let far = candidates.best(Locality::OtherDomain, estimate, random);
    let prefers = match (&near, &far) {
        (Some((_, near)), Some((_, far))) if near.is_available == far.is_available => {
            prefers_far(near, far, estimate, candidates.pressure_gap, random)
        }
        (Some((_, near)), Some(_)) => !near.is_available,
        (near, _) => near.is_none(),
    };
    let (locality, found) = if prefers {
        (Locality::OtherDomain, far)
    } else {
        (Locality::SameDomain, near)
    };
    let (place, _) = found?;
    let explored = candidates.explored(locality, estimate, random);
    Some((locality, explored.unwrap_or(place)))
}

impl<L> Candidates<'_, L>
where
    L: Fn(Locality, usize) -> Option<Candidate>,
{
    fn len(&self, locality: Locality) -> usize {
        match locality {
            Locality::SameDomain => self.same_domain,
            Locality::OtherDomain => self.other_domains,
        }
    }

    /// Returns the best of a few upstreams of one side.
    fn best(
        &self,
        locality: Locality,
        estimate: &Estimate,
        random: &mut impl Rng,
    ) -> Option<Found> {
        let len = self.len(locality);
        if len == 0 {
            return None;
        }
        let mut best = Best::default();
        let first = random.random_range(0..len);
        if len <= FEW {
            for step in 0..len {
                self.weigh(locality, (first + step) % len, estimate, &mut best, random);
            }
            let found = best.found();
            let is_crowded = |found: &Found| found.1.pressure >= CROWDED_FROM;
            if !found.as_ref().is_some_and(is_crowded) {
                return found;
            }
            let mut best = Best::default();
            self.weigh(locality, first, estimate, &mut best, random);
            let place = random.random_range(0..len);
            self.weigh(locality, place, estimate, &mut best, random);
            return best.found().or(found);
        }
        self.weigh(locality, first, estimate, &mut best, random);
        for _ in 1..DRAWN {
            let place = random.random_range(0..len);
            self.weigh(locality, place, estimate, &mut best, random);
        }
        let shortlist = self.shortlist.of(locality);
        for place in shortlist.get() {
            if place < len {
                self.weigh(locality, place, estimate, &mut best, random);
            }
        }
        shortlist.set(best.places.map(|place| place.unwrap_or(usize::MAX)));
        if best.sound.is_none() {
            self.scan(locality, first, estimate, &mut best, random);
        }
        best.found()
    }

    /// Looks for the first sound upstream when none was drawn.
    fn scan(
        &self,
        locality: Locality,
        first: usize,
        estimate: &Estimate,
        best: &mut Best,
        random: &mut impl Rng,
    ) {
        let len = self.len(locality);
        for step in 0..len {
            self.weigh(locality, (first + step) % len, estimate, best, random);
            if best.sound.is_some() {
                return;
            }
        }
    }

    fn weigh(
        &self,
        locality: Locality,
        place: usize,
        estimate: &Estimate,
        best: &mut Best,
        random: &mut impl Rng,
    ) {
        if best.places.contains(&Some(place)) {
            return;
        }
        if let Some(candidate) = (self.lookup)(locality, place) {
            let perturbed = candidate.perturbed(random);
            best.take(place, candidate, perturbed.cost(estimate));
        }
    }

    /// Returns any upstream of one side with room, from time to time.
    fn explored(
        &self,
        locality: Locality,
        estimate: &Estimate,
        random: &mut impl Rng,
    ) -> Option<usize> {
        if !random.random_ratio(1, EXPLORED) {
            return None;
        }
        let place = random.random_range(0..self.len(locality));
        let candidate = (self.lookup)(locality, place)?;
        let has_room = candidate.is_available && candidate.pressure < EXPLORED_BELOW;
        (has_room && candidate.late(estimate) < EXPLORED_LATE).then_some(place)
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
