//! How old something is by the store's clock.

use std::time::Duration;

use sailtrack_units::Moment;

use super::{Clock, StoreTime};

fn at(millis: u64) -> Moment {
    Moment::since_boot(Duration::from_millis(millis))
}

fn age(clock: &Clock, then: u64, now: u64) -> Option<u64> {
    let age = clock.age_at_most(StoreTime::from_millis(then), at(now))?;
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
    clock.note(at(1000), StoreTime::from_millis(50_000));
    assert_eq!(age(&clock, 50_000, 1000), Some(20));
    // Asked at 2000, answered by the store at 51 500, heard whenever: the first reading is closer.
    clock.note(at(2000), StoreTime::from_millis(51_500));
    assert_eq!(age(&clock, 51_500, 4000), Some(1520));
}

#[test]
fn better_answer() {
    let clock = Clock::default();
    clock.note(at(1000), StoreTime::from_millis(50_900));
    clock.note(at(2000), StoreTime::from_millis(51_000));
    assert_eq!(age(&clock, 51_000, 2000), Some(20));
}

/// A clock that began anew makes everything of before lie ahead.
#[test]
fn lies_ahead() {
    let clock = Clock::default();
    clock.note(at(1000), StoreTime::from_millis(50_000));
    assert_eq!(age(&clock, 60_000, 1000), None);
}

/// A reading loses against the drift of the clocks after a while.
#[test]
fn drift() {
    let clock = Clock::default();
    clock.note(at(0), StoreTime::from_millis(0));
    let hour = 3_600_000;
    assert_eq!(age(&clock, hour, hour), Some(20 + 720));
    clock.note(at(hour), StoreTime::from_millis(hour));
    assert_eq!(age(&clock, hour, hour), Some(20));
}
