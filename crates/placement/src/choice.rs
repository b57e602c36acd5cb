//! Chooses an upstream for a request, by least expected cost among a random sample.
//!
//! This is the power of two choices with a larger sample and a memory of recent winners.

use std::cell::Cell;

use rand::Rng;

use crate::candidate::Candidate;
use crate::estimate::Estimate;
use crate::spill::{needs_spillover, prefers_other_domain};

/// All upstreams are compared if there are at most this many.
const MAX_FULL_SCAN: usize = 8;
/// The size of the random sample if there are more, in addition to the shortlist.
const SAMPLED: usize = 6;
/// The pressure of the best upstream from which only two random ones are compared: when all are
/// nearly full, many senders that know the best one would all send there before its next report.
const SATURATED_FROM: f64 = 0.9;
/// How many of the best upstreams are kept for the next choice.
const SHORTLIST_LEN: usize = 2;
/// One request in this many goes to a random upstream with capacity, so that the statistics of all
/// upstreams stay up to date.
const EXPLORATION_INTERVAL: u32 = 32;
/// The pressure from which an upstream is not explored.
const MAX_EXPLORED_PRESSURE: f64 = 0.9;
/// The expected share of requests of the kind missing their deadline from which an upstream is not
/// explored.
const MAX_EXPLORED_LATE_SHARE: f64 = 0.02;

/// Where an upstream is, relative to the failure domain of this node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Locality {
    /// In the same failure domain.
    SameDomain,
    /// In another failure domain.
    OtherDomain,
}

/// The best upstreams of a service in the last sample, by index.
#[derive(Debug, Default)]
pub struct Shortlist {
    same_domain: Cell<[usize; SHORTLIST_LEN]>,
    other_domains: Cell<[usize; SHORTLIST_LEN]>,
}

impl Shortlist {
    fn of(&self, locality: Locality) -> &Cell<[usize; SHORTLIST_LEN]> {
        match locality {
            Locality::SameDomain => &self.same_domain,
            Locality::OtherDomain => &self.other_domains,
        }
    }
}

/// The upstreams of a service, addressed by locality and index.
pub struct Candidates<'a, L> {
    /// How many there are in the same failure domain.
    pub same_domain: usize,
    /// How many there are in other failure domains.
    pub other_domains: usize,
    /// Returns the state of one upstream, or nothing if it takes no requests.
    pub lookup: L,
    /// The average pressure in the same domain minus that in the other domains.
    pub pressure_gap: f64,
    /// The best upstreams of recent choices.
    pub shortlist: &'a Shortlist,
}

type Entry = (usize, Candidate);

/// Returns the locality and index of the upstream that gets a request.
///
/// Ejected upstreams are left out unless there is no other one.
pub fn choose<L, R>(
    candidates: &Candidates<'_, L>,
    estimate: &Estimate,
    random: &mut R,
) -> Option<(Locality, usize)>
where
    L: Fn(Locality, usize) -> Option<Candidate>,
    R: Rng,
{
    let same_domain = candidates.best(Locality::SameDomain, estimate, random);
    let is_available = |found: &Entry| found.1.is_available;
    if let Some((index, candidate)) = same_domain.filter(is_available)
        && !needs_spillover(&candidate, estimate)
    {
        let explored = candidates.explore(Locality::SameDomain, estimate, random);
        return Some((Locality::SameDomain, explored.unwrap_or(index)));
    }
    let other_domain = candidates.best(Locality::OtherDomain, estimate, random);
    let spills_over = match (&same_domain, &other_domain) {
        (Some((_, same_domain)), Some((_, other_domain)))
            if same_domain.is_available == other_domain.is_available =>
        {
            prefers_other_domain(
                same_domain,
                other_domain,
                estimate,
                candidates.pressure_gap,
                random,
            )
        }
        (Some((_, same_domain)), Some(_)) => !same_domain.is_available,
        (same_domain, _) => same_domain.is_none(),
    };
    let (locality, found) = if spills_over {
        (Locality::OtherDomain, other_domain)
    } else {
        (Locality::SameDomain, same_domain)
    };
    let (index, _) = found?;
    let explored = candidates.explore(locality, estimate, random);
    Some((locality, explored.unwrap_or(index)))
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

    /// Returns the best of a sample of the upstreams of one locality.
    fn best(
        &self,
        locality: Locality,
        estimate: &Estimate,
        random: &mut impl Rng,
    ) -> Option<Entry> {
        let len = self.len(locality);
        if len == 0 {
            return None;
        }
        let mut best = Best::default();
        let start = random.random_range(0..len);
        if len <= MAX_FULL_SCAN {
            for offset in 0..len {
                self.evaluate(
                    locality,
                    (start + offset) % len,
                    estimate,
                    &mut best,
                    random,
                );
            }
            let found = best.found();
            let is_saturated = |found: &Entry| found.1.pressure >= SATURATED_FROM;
            if !found.as_ref().is_some_and(is_saturated) {
                return found;
            }
            let mut best = Best::default();
            self.evaluate(locality, start, estimate, &mut best, random);
            let index = random.random_range(0..len);
            self.evaluate(locality, index, estimate, &mut best, random);
            return best.found().or(found);
        }
        self.evaluate(locality, start, estimate, &mut best, random);
        for _ in 1..SAMPLED {
            let index = random.random_range(0..len);
            self.evaluate(locality, index, estimate, &mut best, random);
        }
        let shortlist = self.shortlist.of(locality);
        for index in shortlist.get() {
            if index < len {
                self.evaluate(locality, index, estimate, &mut best, random);
            }
        }
        shortlist.set(best.shortlist.map(|index| index.unwrap_or(usize::MAX)));
        if best.available.is_none() {
            self.find_available(locality, start, estimate, &mut best, random);
        }
        best.found()
    }

    /// Looks for the first available upstream when the sample contained none.
    fn find_available(
        &self,
        locality: Locality,
        start: usize,
        estimate: &Estimate,
        best: &mut Best,
        random: &mut impl Rng,
    ) {
        let len = self.len(locality);
        for offset in 0..len {
            self.evaluate(locality, (start + offset) % len, estimate, best, random);
            if best.available.is_some() {
                return;
            }
        }
    }

    fn evaluate(
        &self,
        locality: Locality,
        index: usize,
        estimate: &Estimate,
        best: &mut Best,
        random: &mut impl Rng,
    ) {
        if best.shortlist.contains(&Some(index)) {
            return;
        }
        if let Some(candidate) = (self.lookup)(locality, index) {
            let perturbed = candidate.perturbed(random);
            best.offer(index, candidate, perturbed.cost(estimate));
        }
    }

    /// Returns a random upstream with capacity once in a while, in place of the best one.
    fn explore(
        &self,
        locality: Locality,
        estimate: &Estimate,
        random: &mut impl Rng,
    ) -> Option<usize> {
        if !random.random_ratio(1, EXPLORATION_INTERVAL) {
            return None;
        }
        let index = random.random_range(0..self.len(locality));
        let candidate = (self.lookup)(locality, index)?;
        let has_room = candidate.is_available && candidate.pressure < MAX_EXPLORED_PRESSURE;
        (has_room && candidate.late_share(estimate) < MAX_EXPLORED_LATE_SHARE).then_some(index)
    }
}

/// The best of the upstreams evaluated so far.
#[derive(Default)]
struct Best {
    available: Option<(Entry, f64)>,
    unavailable: Option<(Entry, f64)>,
    /// The best available ones, the best first.
    shortlist: [Option<usize>; SHORTLIST_LEN],
    second_cost: f64,
}

impl Best {
    fn offer(&mut self, index: usize, candidate: Candidate, cost: f64) {
        let found = (index, candidate);
        if !candidate.is_available {
            if self.unavailable.is_none_or(|(_, lowest)| cost < lowest) {
                self.unavailable = Some((found, cost));
            }
            return;
        }
        match self.available {
            Some((_, lowest)) if cost >= lowest => {
                if self.shortlist[1].is_none() || cost < self.second_cost {
                    self.shortlist[1] = Some(index);
                    self.second_cost = cost;
                }
            }
            previous => {
                self.shortlist = [Some(index), self.shortlist[0]];
                self.second_cost = previous.map_or(f64::MAX, |(_, lowest)| lowest);
                self.available = Some((found, cost));
            }
        }
    }

    fn found(self) -> Option<Entry> {
        self.available.or(self.unavailable).map(|(found, _)| found)
    }
}
