//! Until when keys are believed.

use std::rc::Rc;
use std::time::Duration;

use sailtrack_units::{ConfigVersion, Moment};

use super::Freshness;
use crate::metrics::Metrics;
use crate::store::{Clock, StoreTime};

const BOUND: Duration = Duration::from_secs(5);

fn at(millis: u64) -> Moment {
    Moment::since_boot(Duration::from_millis(millis))
}

fn told(millis: u64) -> StoreTime {
    StoreTime::from_millis(millis)
}

/// Returns what a node knows that asked the store at 1 s of its own clock, 51 s of the store's.
fn known(bound: Option<Duration>) -> Freshness {
    let clock = Rc::new(Clock::default());
    clock.note(at(1000), told(51_000));
    Freshness::new(clock, Rc::new(Metrics::new()), bound)
}

#[test]
fn unbounded() {
    assert!(known(None).is_enough(at(1000)));
}

#[test]
fn never_confirmed() {
    assert!(!known(Some(BOUND)).is_enough(at(1000)));
}

#[test]
fn until_bound() {
    let known = known(Some(BOUND));
    let version = ConfigVersion(3);
    assert!(known.confirm(version, told(51_000), version, at(1000)));
    // Nine tenths of the time are used.
    assert!(known.is_enough(at(5500)));
    assert!(!known.is_enough(at(6000)));
    assert!(known.confirm(version, told(54_000), version, at(4000)));
    assert!(known.is_enough(at(6000)));
}

/// What another node says late, or had from another one, counts from the time that it is about.
#[test]
fn old_news() {
    let known = known(Some(BOUND));
    let version = ConfigVersion(3);
    known.confirm(version, told(54_000), version, at(4000));
    assert!(!known.confirm(version, told(52_000), version, at(4500)));
    assert!(known.is_enough(at(8500)));
    assert!(!known.is_enough(at(9000)));
}

/// A version that is not in force here confirms nothing until it is.
#[test]
fn ahead() {
    let known = known(Some(BOUND));
    let (old, new) = (ConfigVersion(3), ConfigVersion(4));
    known.confirm(old, told(51_000), old, at(1000));
    known.confirm(new, told(55_000), old, at(5000));
    assert!(!known.is_enough(at(6000)));
    known.note_version(new, at(5500));
    assert!(known.is_enough(at(6000)));
}

/// An older version was the newest one then, so what was taken away by then is gone in a later one.
#[test]
fn behind() {
    let known = known(Some(BOUND));
    let (old, new) = (ConfigVersion(3), ConfigVersion(4));
    assert!(known.confirm(old, told(51_500), new, at(1500)));
}

/// A time that lies ahead is not of the clock that this node knows.
#[test]
fn another_clock() {
    let known = known(Some(BOUND));
    let version = ConfigVersion(3);
    assert!(!known.confirm(version, told(90_000), version, at(1500)));
    assert!(!known.is_enough(at(1500)));
}

/// A store that begins anew is believed again.
#[test]
fn store_begins_anew() {
    let known = known(Some(BOUND));
    let version = ConfigVersion(3);
    known.confirm(version, told(51_000), version, at(1000));
    known.clock.note(at(2000), told(500));
    assert!(!known.is_enough(at(2000)));
    assert!(known.confirm(version, told(500), version, at(2000)));
    assert!(known.is_enough(at(2000)));
}
