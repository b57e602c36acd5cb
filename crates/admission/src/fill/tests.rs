//! A floor is where the calls above it need as much as there is.

use sailtrack_units::Rank;

use crate::fill::{Fill, TICK};

/// Counts all but fade within two ticks.
const KEPT: f64 = 0.5;

/// Plays so many ticks in which one call of each rank above the floor comes, and two ticks more
/// until counts are even.
fn ticks(fill: &mut Fill, number: u32, room: f64) {
    for _ in 0..number {
        for index in 0..=u8::MAX {
            let rank = Rank::from_index(index);
            if fill.floor().lets_in(rank) {
                fill.note(rank);
            }
        }
        fill.fit(1.0, room);
        fill.fade(TICK);
    }
}

/// With room for half of the calls it settles at the middle, and stays there.
#[test]
fn half_fits() {
    let mut fill = Fill::new(KEPT);
    ticks(&mut fill, 20, 1280.0);
    for _ in 0..50 {
        ticks(&mut fill, 1, 1280.0);
        let number = fill.floor().number();
        assert!((115..=150).contains(&number), "{number}");
    }
}

/// Three times the calls than fit are cut within five ticks.
#[test]
fn rises_at_once() {
    let mut fill = Fill::new(KEPT);
    ticks(&mut fill, 5, 853.0);
    let number = fill.floor().number();
    assert!(number > 150, "{number}");
}

#[test]
fn falls_with_room() {
    let mut fill = Fill::new(KEPT);
    ticks(&mut fill, 10, 100.0);
    assert!(fill.floor().number() > 200);
    ticks(&mut fill, 10, 10_000.0);
    assert!(fill.floor().is_none(), "{}", fill.floor());
}
