//! How old something is by the store's clock.

mod apart;
pub(crate) mod pair;

use std::time::Duration;

use sailtrack_units::Moment;

use super::{Clock, StoreTime};

fn at(millis: u64) -> Moment {
    Moment::since_boot(Duration::from_millis(millis))
}

fn note(clock: &Clock, asked: u64, answered: u64, told: u64) {
    clock.record(at(asked), at(answered), StoreTime::from_millis(told));
}

fn age(clock: &Clock, then: u64, now: u64) -> Option<u64> {
    let age = clock.max_age(StoreTime::from_millis(then), at(now))?;
    u64::try_from(age.as_millis()).ok()
}

#[test]
fn nothing_known() {
    assert_eq!(age(&Clock::default(), 5, 100), None);
}

/// An answer that waited looks older, never younger.
#[test]
fn late_answer() {
    let clock = Clock::default();
    note(&clock, 1000, 1000, 50_000);
    assert_eq!(age(&clock, 50_000, 1000), Some(20));
    // Asked at 2000, answered by the store at 51 500, heard at 4000: the first reading is closer.
    note(&clock, 2000, 4000, 51_500);
    assert_eq!(age(&clock, 51_500, 4000), Some(1520 + 18));
}

#[test]
fn better_answer() {
    let clock = Clock::default();
    note(&clock, 1000, 1900, 50_900);
    note(&clock, 2000, 2000, 51_000);
    assert_eq!(age(&clock, 51_000, 2000), Some(20));
}

/// A clock that began anew makes everything of before lie ahead.
#[test]
fn lies_ahead() {
    let clock = Clock::default();
    note(&clock, 1000, 1000, 50_000);
    assert_eq!(age(&clock, 60_000, 1000), None);
}

/// A reading loses against the drift of the clocks after a while.
#[test]
fn drift() {
    let clock = Clock::default();
    note(&clock, 0, 0, 0);
    let minute = 60_000;
    assert_eq!(age(&clock, minute, minute), Some(20 + 360));
    note(&clock, minute, minute, minute);
    assert_eq!(age(&clock, minute, minute), Some(20));
}

/// Between two nodes that hear of it in turn a small step back is no new clock.
#[test]
fn steps_back() {
    let clock = Clock::default();
    note(&clock, 1000, 1000, 50_000);
    note(&clock, 2000, 2000, 50_950);
    assert_eq!(age(&clock, 51_000, 2000), Some(0));
}
