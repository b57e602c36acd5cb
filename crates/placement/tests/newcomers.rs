//! An upstream without statistics gets requests, in the same failure domain and in others.

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

/// Returns the index of the upstream chosen for each of so many requests.
fn choices<L>(
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
    let choices = (0..requests).filter_map(|_| choose(&candidates, &estimate, &mut random));
    choices.map(|(_, index)| index).collect()
}

/// Returns how many of a thousand requests a new upstream gets next to one that is known to be fast.
fn choices_of_newcomer(same_domain: usize, other_domains: usize) -> usize {
    let unknown = Speed::default().uncertainty();
    let lookup =
        |_, index: usize| Some([candidate(0.1, 0.5, 0.0), candidate(0.1, 1.0, unknown)][index]);
    let choices = choices((same_domain, other_domains), lookup, 1, 1000);
    choices.into_iter().filter(|index| *index == 1).count()
}

#[test]
fn in_own_domain() {
    assert!((5..100).contains(&choices_of_newcomer(2, 0)));
}

#[test]
fn in_others_only() {
    assert!((5..100).contains(&choices_of_newcomer(0, 2)));
}

/// The first upstream to have statistics looks slightly faster than two without; each of these still
/// gets one of the first forty requests.
#[test]
fn beside_first_known() {
    let unknown = Speed::default().uncertainty();
    let lookup = |_, index: usize| {
        let slowness = [0.97, 1.0, 1.0][index];
        Some(candidate(0.0, slowness, [0.1, 1.0, 1.0][index] * unknown))
    };
    for seed in 0..200 {
        let tried: HashSet<usize> = choices((3, 0), lookup, seed, 40).into_iter().collect();
        assert_eq!(tried.len(), 3, "seed {seed}: {tried:?}");
    }
}
