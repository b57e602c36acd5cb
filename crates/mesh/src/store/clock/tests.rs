//! Ages computed with the estimate of the store's clock.

mod apart;
pub(crate) mod pair;

use std::time::Duration;

use sailtrack_units::Moment;

use super::{Clock, StoreTime};

fn at(millis: u64) -> Moment {
    Moment::since_boot(Duration::from_millis(millis))
}

fn record(clock: &Clock, requested: u64, answered: u64, reported: u64) {
    clock.record(
        at(requested),
        at(answered),
        StoreTime::from_millis(reported),
    );
}

fn age(clock: &Clock, then: u64, now: u64) -> Option<u64> {
    let age = clock.max_age(StoreTime::from_millis(then), at(now))?;
    u64::try_from(age.as_millis()).ok()
}

#[test]
fn nothing_known() {
    assert_eq!(age(&Clock::default(), 5, 100), None);
}

/// A slow response may make data look older than it is, never younger.
#[test]
fn late_answer() {
    let clock = Clock::default();
    record(&clock, 1000, 1000, 50_000);
    assert_eq!(age(&clock, 50_000, 1000), Some(20));
    // Requested at 2000, read by the store at 51 500, received at 4000: the first bound is closer.
    record(&clock, 2000, 4000, 51_500);
    assert_eq!(age(&clock, 51_500, 4000), Some(1520 + 18));
}

#[test]
fn better_answer() {
    let clock = Clock::default();
    record(&clock, 1000, 1900, 50_900);
    record(&clock, 2000, 2000, 51_000);
    assert_eq!(age(&clock, 51_000, 2000), Some(20));
}

/// The age of a time that is far ahead of the store's clock is unknown, as after a clock reset.
#[test]
fn lies_ahead() {
    let clock = Clock::default();
    record(&clock, 1000, 1000, 50_000);
    assert_eq!(age(&clock, 60_000, 1000), None);
}

/// The bound grows by the maximum drift with the age of its reading, until the next reading.
#[test]
fn drift() {
    let clock = Clock::default();
    record(&clock, 0, 0, 0);
    let minute = 60_000;
    assert_eq!(age(&clock, minute, minute), Some(20 + 360));
    record(&clock, minute, minute, minute);
    assert_eq!(age(&clock, minute, minute), Some(20));
}

/// A time that is slightly ahead of the bound, as seen through another node, has age zero.
#[test]
fn steps_back() {
    let clock = Clock::default();
    record(&clock, 1000, 1000, 50_000);
    record(&clock, 2000, 2000, 50_950);
    assert_eq!(age(&clock, 51_000, 2000), Some(0));
}
