//! Until when keys are believed.

use std::rc::Rc;
use std::time::Duration;

use sailtrack_units::{ConfigVersion, Era, Moment};

use super::{Freshness, RESERVE};
use crate::metrics::Metrics;
use crate::store::clock::tests::pair::{Calls, Pair, all};
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
    clock.record(at(1000), at(1000), told(51_000));
    Freshness::new(clock, Rc::new(Metrics::new()), bound)
}

#[test]
fn unbounded() {
    assert!(known(None).is_fresh(at(1000)));
}

#[test]
fn never_confirmed() {
    assert!(!known(Some(BOUND)).is_fresh(at(1000)));
}

#[test]
fn until_bound() {
    let known = known(Some(BOUND));
    let version = ConfigVersion(3);
    assert!(known.confirm(version, told(51_000), version, at(1000)));
    // Nine tenths of the time are used.
    assert!(known.is_fresh(at(5500)));
    assert!(!known.is_fresh(at(6000)));
    assert!(known.confirm(version, told(54_000), version, at(4000)));
    assert!(known.is_fresh(at(6000)));
}

/// What another node says late, or had from another one, counts from the time that it is about.
#[test]
fn old_news() {
    let known = known(Some(BOUND));
    let version = ConfigVersion(3);
    known.confirm(version, told(54_000), version, at(4000));
    assert!(!known.confirm(version, told(52_000), version, at(4500)));
    assert!(known.is_fresh(at(8500)));
    assert!(!known.is_fresh(at(9000)));
}

/// A version that is not in force here confirms nothing until it is.
#[test]
fn ahead() {
    let known = known(Some(BOUND));
    let (old, new) = (ConfigVersion(3), ConfigVersion(4));
    known.confirm(old, told(51_000), old, at(1000));
    known.confirm(new, told(55_000), old, at(5000));
    assert!(!known.is_fresh(at(6000)));
    known.apply_version(new, at(5500));
    assert!(known.is_fresh(at(6000)));
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
    assert!(!known.is_fresh(at(1500)));
}

/// A store that begins anew is believed again.
#[test]
fn store_begins_anew() {
    let known = known(Some(BOUND));
    let version = ConfigVersion(3);
    known.confirm(version, told(51_000), version, at(1000));
    known.clock.record(at(2000), at(2000), told(500));
    assert!(!known.is_fresh(at(2000)));
    assert!(known.confirm(version, told(500), version, at(2000)));
    assert!(known.is_fresh(at(2000)));
}

/// Plays a node that follows the store, and one that hears of it from this one alone.
///
/// Returns by how much the age looked too young at either, and whether both served all the time.
fn follow(pair: Pair, seed: u64) -> (Duration, bool) {
    let version = ConfigVersion(3);
    let node = || {
        let clock = Rc::new(Clock::default());
        Freshness::new(clock, Rc::new(Metrics::new()), Some(BOUND))
    };
    let (follower, peer) = (node(), node());
    let mut calls = Calls::new(pair, seed);
    let mut now = at(1000);
    let mut young = Duration::ZERO;
    let mut is_served = true;
    let mut is_known = false;
    while now < at(80_000) {
        let answer = calls.call(&follower.clock, now);
        while now < answer.answered {
            for node in [&follower, &peer].into_iter().filter(|_| is_known) {
                let as_of = node.as_of().expect("it was told");
                let true_age = pair.shown(now).0.saturating_sub(as_of.0);
                if let Some(age) = node.age(now) {
                    young = young.max(true_age.saturating_sub(age));
                }
                is_served &= node.is_fresh(now);
            }
            now = now + Duration::from_millis(10);
        }
        now = answer.answered;
        follower
            .clock
            .record(answer.requested, now, answer.reported);
        follower.confirm(version, answer.reported, version, now);
        peer.confirm(version, answer.reported, version, now);
        if peer.clock.is_stale(now)
            && let Some(at_most) = follower.clock.published_bound(now)
        {
            peer.clock.record_peer_bound(now, at_most);
            peer.confirm(version, answer.reported, version, now);
        }
        is_known = true;
    }
    (young, is_served)
}

/// Clocks that run apart by as much as they may make no key run longer than it may.
#[test]
fn never_too_young() {
    for pair in all(&[0.005, 1.0, 2.0]) {
        for seed in 0..10 {
            let (young, _) = follow(pair, seed);
            assert!(
                young < RESERVE,
                "{pair:?}, seed {seed}: {young:?} too young"
            );
        }
    }
}

/// While the store is reached keys are believed, however the clocks run apart.
#[test]
fn served_all_along() {
    for pair in all(&[0.005, 0.5, 0.9]) {
        for seed in 0..10 {
            let (_, is_served) = follow(pair, seed);
            assert!(is_served, "{pair:?}, seed {seed}");
        }
    }
}

const VERSION: ConfigVersion = ConfigVersion(3);

/// Returns what a node knows at 1 s in the first era, confirmed then.
fn confirmed() -> Freshness {
    let clock = Rc::new(Clock::default());
    clock.observe_era(Era(1), at(900));
    clock.record(at(1000), at(1000), told(51_000));
    let known = Freshness::new(clock, Rc::new(Metrics::new()), Some(BOUND));
    assert!(known.confirm(VERSION, told(51_000), VERSION, at(1000)));
    known
}

/// What was proved before the store came back from a copy holds for the rest of its time, by the
/// own clock, whatever that of the store shows now.
#[test]
fn proof_outlasts_copy() {
    let known = confirmed();
    assert!(known.clock.observe_era(Era(2), at(3000)));
    assert!(known.is_fresh(at(3000)));
    assert_eq!(known.as_of(), None, "others are told nothing of it");
    known.clock.record(at(3100), at(3100), told(500));
    assert!(known.is_fresh(at(5500)));
    assert!(!known.is_fresh(at(6000)));
}

/// The copy may lack what others have: for a while nothing proves that the version is the newest.
#[test]
fn settles_after_copy() {
    let known = confirmed();
    known.clock.observe_era(Era(2), at(3000));
    known.clock.record(at(3100), at(3100), told(500));
    assert!(!known.confirm(VERSION, told(500), VERSION, at(3100)));
    assert!(known.confirm(VERSION, told(1000), VERSION, at(3600)));
    assert!(known.is_fresh(at(7000)));
    assert_eq!(known.as_of(), Some(told(1000)));
}

/// A node that has an older version than another one, since the copy has it.
#[test]
fn others_have_newer() {
    let known = confirmed();
    known.clock.observe_era(Era(2), at(3000));
    known.clock.record(at(4000), at(4000), told(52_000));
    known.observe_version(ConfigVersion(4));
    assert!(!known.confirm(VERSION, told(52_000), VERSION, at(4000)));
    assert!(known.confirm(ConfigVersion(4), told(52_000), ConfigVersion(4), at(4000)));
}

/// Without a reading of the new era its times say nothing, and what was known before goes on.
#[test]
fn era_without_reading() {
    let known = confirmed();
    known.clock.observe_era(Era(2), at(2000));
    assert!(!known.confirm(VERSION, told(90_000), VERSION, at(3000)));
    assert!(known.is_fresh(at(5500)));
    assert!(!known.is_fresh(at(6000)));
}

#[test]
fn era_is_over() {
    let known = confirmed();
    assert!(known.clock.observe_era(Era(2), at(2000)));
    assert!(known.clock.observe_era(Era(3), at(2100)));
    assert!(!known.clock.observe_era(Era(2), at(2200)));
    assert!(!known.clock.observe_era(Era(1), at(2200)));
    assert!(known.clock.observe_era(Era(3), at(2200)));
    assert!(known.is_fresh(at(5500)));
}

/// What was said ahead of the version in force goes with its era.
#[test]
fn ahead_of_another_era() {
    let known = confirmed();
    let new = ConfigVersion(4);
    known.confirm(new, told(54_000), VERSION, at(4000));
    known.clock.observe_era(Era(2), at(4100));
    known.clock.record(at(4100), at(4100), told(54_100));
    known.apply_version(new, at(5000));
    assert_eq!(known.as_of(), None);
}

/// A node that starts hears others before it believes what may be a copy; what they have proved it
/// believes at once.
#[test]
fn starts_after_copy() {
    let clock = Rc::new(Clock::default());
    clock.observe_era(Era(2), at(900));
    clock.record(at(1000), at(1000), told(51_000));
    let known = Freshness::new(clock, Rc::new(Metrics::new()), Some(BOUND));
    assert!(!known.confirm_by_store(told(51_000), VERSION, at(1000)));
    assert!(known.confirm(VERSION, told(50_900), VERSION, at(1000)));
    known.observe_version(ConfigVersion(4));
    assert!(!known.confirm_by_store(told(51_500), VERSION, at(1500)));
    let new = ConfigVersion(4);
    assert!(known.confirm_by_store(told(51_600), new, at(1600)));
}
