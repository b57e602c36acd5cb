//! Floors follow what is told, and are forgotten without news.

use std::time::{Duration, Instant};

use sailtrack_units::{KindName, Rank};

use crate::floor::{Floor, Floors};

/// The ranks of normal requests are 64 to 127.
const LEAST: u8 = 64;
const MIDDLE: u8 = 96;

fn kind() -> KindName {
    "browse".parse().expect("a name")
}

fn tell(floors: &Floors, number: u32, times: u32, now: Instant) {
    let floor = Floor::from_number(number);
    for _ in 0..times {
        floors.note(&kind(), Rank::from_index(MIDDLE), floor, now);
    }
}

fn lets_in(floors: &Floors, rank: u8, now: Instant) -> bool {
    floors.lets_in(&kind(), Rank::from_index(rank), now)
}

#[test]
fn higher_ranks_begin() {
    let (floors, now) = (Floors::new(), Instant::now());
    assert!(lets_in(&floors, LEAST, now), "nothing was told");
    tell(&floors, MIDDLE.into(), 40, now);
    assert!(!lets_in(&floors, MIDDLE - 2, now));
    assert!(lets_in(&floors, MIDDLE + 1, now));
    let other = "submit".parse().expect("a name");
    assert!(floors.lets_in(&other, Rank::LOWEST, now), "of another kind");
}

/// What was told twice, or of a higher importance, closes no more than the kind.
#[test]
fn doubled_news() {
    let (once, twice, now) = (Floors::new(), Floors::new(), Instant::now());
    tell(&once, 200, 40, now);
    tell(&twice, 200, 80, now);
    for floors in [once, twice] {
        assert!(!lets_in(&floors, 127, now));
        tell(&floors, 0, 20, now);
        assert!(lets_in(&floors, 80, now), "it falls with what is told");
    }
}

/// Without news a few begin to bring some, and after three seconds all.
#[test]
fn news_is_lost() {
    let (floors, start) = (Floors::new(), Instant::now());
    tell(&floors, 200, 40, start);
    let mut begun = 0;
    for millis in (1..2999).step_by(10) {
        let now = start + Duration::from_millis(millis);
        begun += u32::from(lets_in(&floors, MIDDLE, now));
    }
    assert!(
        (1..=6).contains(&begun),
        "{begun} begun without news in 3 s"
    );
    let later = start + Duration::from_secs(3);
    assert!(lets_in(&floors, LEAST, later));
}

/// Late news of a service that has room again opens the kind at once.
#[test]
fn late_news_opens() {
    let (floors, start) = (Floors::new(), Instant::now());
    tell(&floors, 200, 40, start);
    let later = start + Duration::from_millis(500);
    assert!(lets_in(&floors, MIDDLE, later), "one brings news");
    assert!(!lets_in(&floors, MIDDLE, later));
    tell(&floors, 0, 1, later);
    assert!(lets_in(&floors, LEAST, later));
}

#[test]
fn numbers_last() {
    for number in 0..=256 {
        assert_eq!(Floor::from_number(number).number(), number);
    }
    assert_eq!(Floor::from_number(u32::MAX).number(), 256);
    assert!(!Floor::above(Rank::HIGHEST).lets_in(Rank::HIGHEST));
}
