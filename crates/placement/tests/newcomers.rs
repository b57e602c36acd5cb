//! An upstream of which nothing good is known yet gets requests, in whichever failure domain.

use rand::SeedableRng as _;
use rand::rngs::StdRng;
use sailtrack_placement::{Candidate, Need, Recent, Side, Sides, choose};

/// The first upstream is known to be quick, the second is new.
#[allow(clippy::unnecessary_wraps, reason = "an upstream may take no requests")]
fn look(_: Side, place: usize) -> Option<Candidate> {
    Some(Candidate {
        is_available: true,
        pressure: 0.1,
        failing: 0.0,
        slowness: [0.5, 1.0][place],
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
