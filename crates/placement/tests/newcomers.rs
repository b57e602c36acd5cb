//! An upstream of which nothing good is known yet gets requests, in whichever failure domain.

use std::collections::HashSet;

use rand::SeedableRng as _;
use rand::rngs::StdRng;
use sailtrack_placement::{Candidate, Candidates, Estimate, Locality, Shortlist, Speed, choose};

fn candidate(pressure: f64, slowness: f64, uncertainty: f64) -> Candidate {
    Candidate {
        is_available: true,
        pressure,
        failure_rate: 0.0,
        slowness,
        uncertainty,
    }
}

/// Returns the places that so many requests get.
fn chosen<L>(
    (same_domain, other_domains): (usize, usize),
    lookup: L,
    seed: u64,
    requests: usize,
) -> Vec<usize>
where
    L: Fn(Locality, usize) -> Option<Candidate>,
{
    let shortlist = Shortlist::default();
    let candidates = Candidates {
        same_domain,
        other_domains,
        lookup,
        pressure_gap: 0.0,
        shortlist: &shortlist,
    };
    let mut random = StdRng::seed_from_u64(seed);
    let estimate = Estimate::unknown(1.0);
    let chosen = (0..requests).filter_map(|_| choose(&candidates, &estimate, &mut random));
    chosen.map(|(_, place)| place).collect()
}

/// Returns how many of a thousand requests a new upstream gets beside one that is known to be quick.
fn taken_by_newcomer(same_domain: usize, other_domains: usize) -> usize {
    let unknown = Speed::default().uncertainty();
    let lookup =
        |_, place: usize| Some([candidate(0.1, 0.5, 0.0), candidate(0.1, 1.0, unknown)][place]);
    let chosen = chosen((same_domain, other_domains), lookup, 1, 1000);
    chosen.into_iter().filter(|place| *place == 1).count()
}

#[test]
fn in_own_domain() {
    assert!((5..100).contains(&taken_by_newcomer(2, 0)));
}

#[test]
fn in_others_only() {
    assert!((5..100).contains(&taken_by_newcomer(0, 2)));
}

/// The first upstream that is known looks a little quicker than two of which nothing is known; in
/// forty requests each of these is tried.
#[test]
fn beside_first_known() {
    let unknown = Speed::default().uncertainty();
    let lookup = |_, place: usize| {
        let slowness = [0.97, 1.0, 1.0][place];
        Some(candidate(0.0, slowness, [0.1, 1.0, 1.0][place] * unknown))
    };
    for seed in 0..200 {
        let tried: HashSet<usize> = chosen((3, 0), lookup, seed, 40).into_iter().collect();
        assert_eq!(tried.len(), 3, "seed {seed}: {tried:?}");
    }
}
