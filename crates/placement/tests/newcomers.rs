//! An upstream of which nothing good is known yet gets requests, in whichever failure domain.

use std::collections::HashSet;

use rand::SeedableRng as _;
use rand::rngs::StdRng;
use sailtrack_placement::{Candidate, Need, Recent, Side, Sides, Speed, choose};

/// The first upstream is known to be quick, the second is new.
#[allow(clippy::unnecessary_wraps, reason = "an upstream may take no requests")]
fn look(_: Side, place: usize) -> Option<Candidate> {
    Some(Candidate {
        is_available: true,
        pressure: 0.1,
        failing: 0.0,
        slowness: [0.5, 1.0][place],
        doubt: [0.0, Speed::default().doubt()][place],
    })
}

/// Returns how many of a thousand requests the new one gets.
fn taken_by_newcomer(near: usize, far: usize) -> usize {
    let recent = Recent::default();
    let sides = Sides {
        near,
        far,
        look,
        emptier: 0.0,
        recent: &recent,
    };
    let mut random = StdRng::seed_from_u64(1);
    let need = Need::unknown(1.0);
    let chosen = (0..1000).map(|_| choose(&sides, &need, &mut random));
    chosen
        .filter(|place| place.is_some_and(|(_, place)| place == 1))
        .count()
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
    let look = |_: Side, place: usize| {
        Some(Candidate {
            is_available: true,
            pressure: 0.0,
            failing: 0.0,
            slowness: [0.97, 1.0, 1.0][place],
            doubt: [0.1, 1.0, 1.0][place] * Speed::default().doubt(),
        })
    };
    for seed in 0..200 {
        let recent = Recent::default();
        let sides = Sides {
            near: 3,
            far: 0,
            look,
            emptier: 0.0,
            recent: &recent,
        };
        let mut random = StdRng::seed_from_u64(seed);
        let need = Need::unknown(1.0);
        let chosen = (0..40).filter_map(|_| choose(&sides, &need, &mut random));
        let tried: HashSet<usize> = chosen.map(|(_, place)| place).collect();
        assert_eq!(tried.len(), 3, "seed {seed}: {tried:?}");
    }
}
